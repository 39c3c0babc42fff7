//! JSON of answers whose strings may hold bytes that are no UTF-8, as other writers left them in their
//! objects and entries. An answer is split into these, which are decoded by themselves, so that a
//! malformed one affects no other.

use std::borrow::Cow;

use encoding_rs::mem::decode_latin1;
use encoding_rs::mem::encode_latin1_lossy;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

/// Parses an answer. Each byte is taken for one character, which leaves the structure as it is; only
/// the [`RawValue`]s of the result are to be used as text, see [`bytes`].
///
/// # Errors
///
/// The error of `serde_json` if the answer is not of this form.
pub fn split<T: DeserializeOwned>(answer: &[u8]) -> serde_json::Result<T> {
    serde_json::from_str(&decode_latin1(answer))
}

/// Returns the bytes of a part of an answer.
pub fn bytes(part: &RawValue) -> Cow<'_, [u8]> {
    encode_latin1_lossy(part.get())
}

/// Returns a part of an answer, or `None` if it is malformed.
pub fn decode<T: DeserializeOwned>(part: &RawValue) -> Option<T> {
    serde_json::from_slice(&bytes(part)).ok()
}
