//! Non-idempotent requests on their way to the owner of their key's slot.

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

/// `Dispatch` hands a request to the owner of its key's slot.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Dispatch {
    /// The request.
    pub request: Uuid,
    /// The organisation's name.
    pub organisation: String,
    /// The caller's idempotency key, or the one that the entry instance minted.
    pub key: String,
    /// The service's name.
    pub service: String,
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body.
    pub body: Vec<u8>,
    /// Milliseconds that remain until the deadline.
    pub deadline_ms: u32,
}

/// `Dispatched` is what the owner knows of a request.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Dispatched {
    /// The service's whole answer, of this or the first request with the key.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The content type.
        content_type: String,
        /// The body.
        body: Vec<u8>,
        /// Whether the answer belongs to an earlier request with this key.
        replayed: bool,
    },
    /// Nothing was run, with the code's number and a sentence.
    NotRun(u16, String),
    /// It is not known whether it ran, with the code's number and a sentence.
    Unknown(u16, String),
}
