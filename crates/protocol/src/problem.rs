//! RFC 9457 problem details, with the numbered code and what is known of the effect.

use serde::Deserialize;
use serde::Serialize;

use hemlockwind_core::Error;
use hemlockwind_core::attempt::Ran;

/// `Problem` is the body of every error answer.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Problem {
    /// A reference to the table of codes.
    #[serde(rename = "type")]
    pub kind: String,
    /// The HTTP status.
    pub status: u16,
    /// The sentence of the code.
    pub title: String,
    /// The numbered code.
    pub code: u16,
    /// `no` when nothing was run, else `unknown`.
    pub ran: String,
    /// Milliseconds after which a try may succeed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The request's id.
    pub request: String,
}

impl Problem {
    /// The problem for `error` of the request `request`.
    pub fn new(error: &Error, ran: Ran, request: impl Into<String>) -> Self {
        let code = error.code();
        let after = error.retry_after();
        Self {
            kind: format!("urn:hemlockwind:error:{}", code.number()),
            status: code.status(),
            title: error.to_string(),
            code: code.number(),
            ran: match ran {
                Ran::No(_) => "no".into(),
                Ran::Unknown => "unknown".into(),
            },
            retry_after_ms: after.map(|d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX)),
            request: request.into(),
        }
    }
}
