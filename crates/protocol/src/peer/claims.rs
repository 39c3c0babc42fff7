//! Non-idempotent requests that are passed to the owner of their key's slot.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use hemlockwind_claims::Reply;
use hemlockwind_core::Error;
use hemlockwind_core::edges::Answer;

/// `Dispatch` passes a request to the owner of its key's slot.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Dispatch {
    /// The request.
    pub request: Uuid,
    /// The organisation's name.
    pub organisation: String,
    /// The caller's idempotency key.
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
    /// The time to the deadline, in milliseconds.
    pub deadline_ms: u32,
}

/// `Dispatched` is the wire form of [`hemlockwind_claims::Reply`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Dispatched {
    /// The service's complete answer to this request or to the first one with the key.
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
    /// The request did not run, and nor did an earlier one with its key and content.
    NotRun(DispatchError),
    /// A request with this key may have run.
    Unknown(DispatchError),
    /// The receiver does not own the slot and ran nothing. Carries the name of the owner if
    /// the receiver has recorded it.
    NotOwner(Option<String>),
}

/// `DispatchError` is the wire form of the errors that an owner returns.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum DispatchError {
    /// [`Error::IdempotencyKey`].
    IdempotencyKey(String),
    /// [`Error::KeyReused`].
    KeyReused,
    /// [`Error::QueueFull`], with the time to a retry in milliseconds.
    QueueFull(u32),
    /// [`Error::DeadlinePassed`].
    DeadlinePassed,
    /// [`Error::NoPath`].
    NoPath(String),
    /// [`Error::BackendRefused`].
    BackendRefused(String),
    /// [`Error::BackendUnreachable`].
    BackendUnreachable(String),
    /// [`Error::OutcomeUnknown`].
    OutcomeUnknown(String),
    /// [`Error::ClaimUnavailable`], or any error that is not listed here.
    ClaimUnavailable(String),
}

impl From<Reply> for Dispatched {
    fn from(reply: Reply) -> Self {
        match reply {
            Reply::Answered { answer, replayed } => Self::Answered {
                status: answer.status,
                content_type: answer.content_type,
                body: answer.body.into(),
                replayed,
            },
            Reply::NotRun(error) => Self::NotRun(error_to_wire(error)),
            Reply::Unknown(error) => Self::Unknown(error_to_wire(error)),
            Reply::NotOwner(owner) => Self::NotOwner(owner.map(|name| name.to_string())),
        }
    }
}

impl From<Dispatched> for Reply {
    fn from(dispatched: Dispatched) -> Self {
        match dispatched {
            Dispatched::Answered {
                status,
                content_type,
                body,
                replayed,
            } => Self::Answered {
                answer: Answer {
                    status,
                    content_type,
                    body: body.into(),
                },
                replayed,
            },
            Dispatched::NotRun(error) => Self::NotRun(error_from_wire(error)),
            Dispatched::Unknown(error) => Self::Unknown(error_from_wire(error)),
            Dispatched::NotOwner(owner) => Self::NotOwner(owner.map(Into::into)),
        }
    }
}

fn error_to_wire(error: Error) -> DispatchError {
    match error {
        Error::IdempotencyKey(why) => DispatchError::IdempotencyKey(why),
        Error::KeyReused => DispatchError::KeyReused,
        Error::QueueFull(after) => {
            DispatchError::QueueFull(u32::try_from(after.as_millis()).unwrap_or(u32::MAX))
        }
        Error::DeadlinePassed => DispatchError::DeadlinePassed,
        Error::NoPath(why) => DispatchError::NoPath(why),
        Error::BackendRefused(why) => DispatchError::BackendRefused(why),
        Error::BackendUnreachable(why) => DispatchError::BackendUnreachable(why),
        Error::OutcomeUnknown(why) => DispatchError::OutcomeUnknown(why),
        Error::ClaimUnavailable(why) => DispatchError::ClaimUnavailable(why),
        other => DispatchError::ClaimUnavailable(other.to_string()),
    }
}

fn error_from_wire(error: DispatchError) -> Error {
    match error {
        DispatchError::IdempotencyKey(why) => Error::IdempotencyKey(why),
        DispatchError::KeyReused => Error::KeyReused,
        DispatchError::QueueFull(ms) => Error::QueueFull(Duration::from_millis(ms.into())),
        DispatchError::DeadlinePassed => Error::DeadlinePassed,
        DispatchError::NoPath(why) => Error::NoPath(why),
        DispatchError::BackendRefused(why) => Error::BackendRefused(why),
        DispatchError::BackendUnreachable(why) => Error::BackendUnreachable(why),
        DispatchError::OutcomeUnknown(why) => Error::OutcomeUnknown(why),
        DispatchError::ClaimUnavailable(why) => Error::ClaimUnavailable(why),
    }
}
