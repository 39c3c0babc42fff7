//! The client of plain services.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use http::Method;
use http::Request;
use http::header::CONTENT_TYPE;
use http_body_util::Full;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::attempt::Attempt;
use hemlockwind_core::edges::Answer;
use hemlockwind_core::edges::Call;
use hemlockwind_core::edges::Clock;
use hemlockwind_core::edges::Service;
use hemlockwind_core::time::Instant;

use crate::connection::Connections;
use crate::connection::Failure;
use crate::connection::Protocol;

/// Header of a response to a request that the service refused before starting it.
const NOT_STARTED: &str = "x-not-started";

/// `HttpService` calls plain services over HTTP/1.1.
pub struct HttpService {
    clock: Arc<dyn Clock>,
    connections: Connections,
}

impl HttpService {
    /// Returns a client without connections.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        let connections = Connections::new(Protocol::Http1);
        Self { clock, connections }
    }
}

/// Builds the HTTP request for `call`.
fn request(to: SocketAddr, call: Call) -> Result<Request<Full<bytes::Bytes>>> {
    let method = Method::from_bytes(call.method.as_bytes());
    let method = method.map_err(|e| Error::header(e.to_string()))?;
    let mut req = Request::builder()
        .method(method)
        .uri(format!("http://{to}{}", call.path));
    for (name, value) in call.headers {
        req = req.header(name, value.as_ref());
    }
    let req = req.body(Full::from(call.body));
    req.map_err(|e| Error::header(e.to_string()))
}

#[async_trait]
impl Service for HttpService {
    async fn call(&self, to: SocketAddr, call: Call, deadline: Instant) -> Result<Answer, Failure> {
        let timeout = deadline.since(self.clock.now());
        if timeout.is_zero() {
            return Err((Attempt::Unsent, Error::DeadlinePassed));
        }
        let req = request(to, call).map_err(|e| (Attempt::Unsent, e))?;
        let response = self.connections.exchange(to, req, timeout).await?;
        if response.headers().contains_key(NOT_STARTED) {
            let error = Error::backend_refused(format!("{to} answered {}", response.status()));
            return Err((Attempt::Refused, error));
        }
        let content_type = response.headers().get(CONTENT_TYPE);
        let content_type = content_type.and_then(|v| v.to_str().ok());
        Ok(Answer {
            status: response.status().as_u16(),
            content_type: content_type.unwrap_or("application/octet-stream").into(),
            body: response.into_body(),
        })
    }
}
