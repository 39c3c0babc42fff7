//! The gateway's own answers, for requests that no backend server answered.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;

use hemlockwind_core::Error;
use hemlockwind_platform::headers;

/// `Body` is the body of an answer to a caller. Its error breaks the connection, so
/// that an answer which ends early does not look complete.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Returns a complete body.
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns the answer that describes `error`; `attempt` is the id of the caller's
/// attempt.
pub fn failure(
    error: &Error,
    attempt: Option<&str>,
    retry_after: Option<Duration>,
) -> Response<Body> {
    let code = error.code();
    let status = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let text = serde_json::json!({ "code": code.number(), "detail": error.to_string() });
    let mut response = Response::new(full(text.to_string().into()));
    *response.status_mut() = status;
    let out = response.headers_mut();
    out.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    let after = retry_after.or(error.retry_after());
    if let Some(after) = after
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", after.as_secs_f64()))
    {
        out.insert(header::RETRY_AFTER, value);
    }
    if let Some(attempt) = attempt {
        headers::echo(out, attempt);
    }
    response
}
