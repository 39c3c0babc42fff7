//! RFC 9457 problem details, with the error code and whether the request may have run.

use serde::Deserialize;
use serde::Serialize;

use hemlockwind_core::Error;
use hemlockwind_core::attempt::Ran;

/// `Problem` is the body of every error response.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Problem {
    /// The URI of the error code.
    #[serde(rename = "type")]
    pub kind: String,
    /// The HTTP status.
    pub status: u16,
    /// The error message.
    pub title: String,
    /// The error code.
    pub code: u16,
    /// `no` if nothing was run, otherwise `unknown`.
    pub ran: String,
    /// The time after which a retry may succeed, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The request's id.
    pub request: String,
}

impl Problem {
    /// Returns the problem details for `error` of the request with the id `request`.
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
