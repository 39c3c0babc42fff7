//! Reads the bodies of requests within limits of size and time.

use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use serde::de::DeserializeOwned;

use hemlockwind_backend::buffer_budget::Pieces;
use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_settings::settings::Limits;

use crate::caller_connections::Lease;
use crate::instance::Instance;

/// Reads a whole body within the limits and the budget of all callers.
///
/// # Errors
///
/// `Error::TooLarge`, `Error::SlowSender`, `Error::CallerMemory` when the budget does not suffice,
/// or `Error::Body` when reading fails.
pub async fn read(body: Body, limits: &Limits, lease: &Lease) -> Result<Bytes> {
    let time = Duration::from_millis(limits.receive_ms);
    let whole = tokio::time::timeout(time, collect(body, limits.body_bytes, lease));
    tokio::select! {
        whole = whole => {
            whole.map_err(|_| Error::slow_sender(format!("no complete body within {time:?}")))?
        }
        error = lease.evicted() => Err(error),
    }
}

/// Reads a whole body of at most `limit` bytes. It is copied, as each frame keeps the buffer
/// allocated that it was read into.
async fn collect(mut body: Body, limit: usize, lease: &Lease) -> Result<Bytes> {
    if body.size_hint().lower() > limit as u64 {
        return Err(Error::TooLarge(limit));
    }
    let mut pieces = Pieces::default();
    let mut reserved = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| Error::body(e.to_string()))?;
        // Trailers are not used.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let size = pieces.len() + data.len();
        if size > limit {
            return Err(Error::TooLarge(limit));
        }
        // Memory is reserved before it is used.
        let needed = pieces.capacity_for(size);
        if needed > reserved {
            lease.reserve(needed - reserved)?;
            reserved = needed;
        }
        pieces.append(&data);
        lease.receive(data.len());
    }
    lease.complete();
    Ok(pieces.join().into())
}

/// As [`read`], for the body of a caller's request.
///
/// # Errors
///
/// Those of [`read`], and `Error::Stopping` when the process is about to end.
pub async fn receive(instance: &Instance, body: Body, lease: &Lease) -> Result<Bytes> {
    tokio::select! {
        body = read(body, &instance.settings.limits, lease) => body,
        () = instance.ending.cancelled() => Err(Error::Stopping),
    }
}

/// Parses a body as JSON.
///
/// # Errors
///
/// `Error::Body` with the position of the fault.
pub fn json<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|e| Error::body(e.to_string()))
}
