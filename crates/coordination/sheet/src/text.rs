//! Decodes the bytes that a spreadsheet program exports.

use encoding_rs::Encoding;
use encoding_rs::WINDOWS_1252;

/// Decodes `bytes` by their byte order mark, else as UTF-8, else as Windows-1252.
///
/// # Errors
///
/// Returns a message if the bytes are invalid in the encoding of their byte order mark,
/// or end in the middle of a character.
pub(crate) fn decode(bytes: &[u8]) -> Result<String, &'static str> {
    if let Some((encoding, bom_len)) = Encoding::for_bom(bytes) {
        let text = encoding.decode_without_bom_handling_and_without_replacement(&bytes[bom_len..]);
        return text
            .map(String::from)
            .ok_or("the file has invalid characters; export it again");
    }
    match std::str::from_utf8(bytes) {
        Ok(text) => Ok(text.into()),
        // The valid non-ASCII characters before the end show that the text is UTF-8. Decoded
        // as Windows-1252, they would be garbled.
        Err(e) if e.error_len().is_none() && !bytes[..e.valid_up_to()].is_ascii() => {
            Err("the file ends in the middle of a character; export it again")
        }
        Err(_) => {
            let (text, _) = WINDOWS_1252.decode_without_bom_handling(bytes);
            Ok(text.into())
        }
    }
}
