//! From the bytes that a spreadsheet program exports to text.

use encoding_rs::Encoding;
use encoding_rs::WINDOWS_1252;

/// The text of `bytes`: by its byte order mark, else UTF-8, else Windows-1252.
///
/// # Errors
///
/// A sentence when the bytes don't fit the encoding that they announce, or end
/// in the middle of a character.
pub(crate) fn decode(bytes: &[u8]) -> Result<String, &'static str> {
    if let Some((encoding, mark)) = Encoding::for_bom(bytes) {
        let text = encoding.decode_without_bom_handling_and_without_replacement(&bytes[mark..]);
        return text
            .map(String::from)
            .ok_or("the file's characters are damaged; export it again");
    }
    match std::str::from_utf8(bytes) {
        Ok(text) => Ok(text.into()),
        // As Windows-1252 the names before the end would read differently.
        Err(e) if e.error_len().is_none() && !bytes[..e.valid_up_to()].is_ascii() => {
            Err("the file ends in the middle of a character; export it again")
        }
        Err(_) => {
            let (text, _) = WINDOWS_1252.decode_without_bom_handling(bytes);
            Ok(text.into())
        }
    }
}
