//! Compresses large messages: a manifest with many routes goes to all instances of a data centre, over
//! links of a few Mbit/s. A message is compressed only if its receiver says that it accepts that.

use std::io::Read;

use bytes::Bytes;
use flate2::Compression;
use flate2::bufread::DeflateDecoder;
use flate2::bufread::DeflateEncoder;
use http::HeaderMap;
use http::HeaderValue;
use http::header::ACCEPT_ENCODING;
use http::header::CONTENT_ENCODING;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_protocol::peer::MAX_FRAME_BYTES;

/// The coding of a compressed message.
pub const DEFLATE: HeaderValue = HeaderValue::from_static("deflate");
/// The smallest message that is compressed, in bytes.
const MIN_BYTES: usize = 4 << 10;

/// Whether the sender of these headers accepts compressed messages.
pub fn is_accepted(headers: &HeaderMap) -> bool {
    headers.get(ACCEPT_ENCODING) == Some(&DEFLATE)
}

/// Whether a message with these headers is compressed.
pub fn is_compressed(headers: &HeaderMap) -> bool {
    headers.get(CONTENT_ENCODING) == Some(&DEFLATE)
}

/// Returns a compressed message, or `None` if it is small.
pub fn compress(frame: &[u8]) -> Option<Bytes> {
    if frame.len() < MIN_BYTES {
        return None;
    }
    let mut compressed = Vec::with_capacity(frame.len() / 4);
    let mut encoder = DeflateEncoder::new(frame, Compression::fast());
    encoder.read_to_end(&mut compressed).ok()?;
    Some(compressed.into())
}

/// Returns the message of a compressed frame.
///
/// # Errors
///
/// `Error::PeerFrame` if it can't be decompressed or exceeds the size limit.
pub fn decompress(frame: &[u8]) -> Result<Bytes> {
    let mut message = Vec::with_capacity(frame.len().saturating_mul(4).min(MAX_FRAME_BYTES));
    let limit = MAX_FRAME_BYTES as u64 + 1;
    let read = DeflateDecoder::new(frame)
        .take(limit)
        .read_to_end(&mut message);
    read.map_err(|e| Error::peer_frame(e.to_string()))?;
    if message.len() > MAX_FRAME_BYTES {
        return Err(Error::peer_frame("the message exceeds the size limit"));
    }
    Ok(message.into())
}
