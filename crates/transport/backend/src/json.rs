//! JSON of answers whose strings may hold bytes that JSON doesn't permit, as other writers left them in
//! their objects and entries: such that are no UTF-8, and control characters. An answer is split into
//! these, which are decoded by themselves, so that a malformed one affects no other.

use std::borrow::Cow;

use encoding_rs::mem::decode_latin1;
use encoding_rs::mem::encode_latin1_lossy;
use encoding_rs::mem::is_str_latin1;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

/// The first control character stands for itself plus this, so that its low byte is the character.
const MARK: u32 = 0x100;

/// Parses an answer. Each byte is taken for one character, which leaves the structure as it is; only
/// the [`RawValue`]s of the result are to be used as text, see [`bytes`].
///
/// # Errors
///
/// The error of `serde_json` if the answer is not of this form.
pub fn split<T: DeserializeOwned>(answer: &[u8]) -> serde_json::Result<T> {
    let text = decode_latin1(answer);
    serde_json::from_str(&text).or_else(|e| match mark_controls(&text) {
        Some(marked) => serde_json::from_str(&marked),
        None => Err(e),
    })
}

/// Returns the text with a mark for each control character in a string, or `None` if there is none.
fn mark_controls(text: &str) -> Option<String> {
    let (mut is_in_string, mut is_escaped, mut has_marks) = (false, false, false);
    let marked = text.chars().map(|c| {
        let was_escaped = std::mem::replace(&mut is_escaped, false);
        match c {
            '"' if !was_escaped => is_in_string = !is_in_string,
            '\\' if is_in_string => is_escaped = !was_escaped,
            '\0'..' ' if is_in_string => {
                has_marks = true;
                return char::from_u32(MARK + u32::from(c)).unwrap_or(c);
            }
            _ => {}
        }
        c
    });
    let marked = marked.collect();
    has_marks.then_some(marked)
}

/// Returns the bytes of a part of an answer.
pub fn bytes(part: &RawValue) -> Cow<'_, [u8]> {
    let text = part.get();
    match is_str_latin1(text) {
        true => encode_latin1_lossy(text),
        // The low byte of a mark is the control character.
        false => text.chars().map(|c| u32::from(c) as u8).collect(),
    }
}

/// Returns a part of an answer, or `None` if it is malformed.
pub fn decode<T: DeserializeOwned>(part: &RawValue) -> Option<T> {
    serde_json::from_slice(&bytes(part)).ok()
}
