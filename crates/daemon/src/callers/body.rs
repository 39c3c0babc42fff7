//! Reads the bodies of requests within limits of size and time.

use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use serde::de::DeserializeOwned;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_settings::settings::Limits;

use crate::instance::Instance;

/// Reads a whole body within the limits.
///
/// # Errors
///
/// `Error::TooLarge`, `Error::SlowSender`, or `Error::Body` when reading fails.
pub async fn read(body: Body, limits: &Limits) -> Result<Bytes> {
    let whole = Limited::new(body, limits.body_bytes).collect();
    let time = Duration::from_millis(limits.receive_ms);
    let whole = tokio::time::timeout(time, whole).await;
    let whole =
        whole.map_err(|_| Error::slow_sender(format!("no complete body within {time:?}")))?;
    let whole = whole.map_err(|e| {
        if e.is::<LengthLimitError>() {
            Error::TooLarge(limits.body_bytes)
        } else {
            Error::body(e.to_string())
        }
    })?;
    Ok(whole.to_bytes())
}

/// As [`read`], for the body of a caller's request.
///
/// # Errors
///
/// Those of [`read`], and `Error::Stopping` when the process is about to end.
pub async fn receive(instance: &Instance, body: Body) -> Result<Bytes> {
    tokio::select! {
        body = read(body, &instance.settings.limits) => body,
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
