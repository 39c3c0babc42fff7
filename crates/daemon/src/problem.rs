//! Failures as HTTP responses.

use axum::http::HeaderValue;
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::http::header::RETRY_AFTER;
use axum::response::IntoResponse;
use axum::response::Response;

use hemlockwind_core::Error;
use hemlockwind_core::attempt::Attempts;
use hemlockwind_core::attempt::Ran;
use hemlockwind_protocol::problem::Problem;

/// `Failure` is an error, with whether its request may have had an effect.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The error.
    pub error: Error,
    /// Whether the request may have had an effect.
    pub ran: Ran,
    /// The request's id, empty as long as it has none.
    pub request: String,
}

impl Failure {
    /// Creates the failure of the request `request`.
    pub fn new(error: Error, ran: Ran, request: impl ToString) -> Self {
        let request = request.to_string();
        Self {
            error,
            ran,
            request,
        }
    }

    /// Returns the problem details of this failure.
    pub fn problem(&self) -> Problem {
        Problem::new(&self.error, self.ran, self.request.clone())
    }
}

impl From<Error> for Failure {
    /// Creates the failure of a request that was not dispatched.
    fn from(error: Error) -> Self {
        Self::new(error, Attempts::default().ran(), "")
    }
}

impl IntoResponse for Failure {
    fn into_response(self) -> Response {
        let problem = self.problem();
        let status = StatusCode::from_u16(problem.status);
        let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let body = serde_json::to_vec(&problem).unwrap_or_default();
        let mut response = (status, body).into_response();
        let json = HeaderValue::from_static("application/problem+json");
        response.headers_mut().insert(CONTENT_TYPE, json);
        if let Some(after) = problem.retry_after_ms {
            let seconds = HeaderValue::from(after.div_ceil(1_000).max(1));
            response.headers_mut().insert(RETRY_AFTER, seconds);
        }
        response
    }
}
