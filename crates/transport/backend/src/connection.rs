//! HTTP connections to backend servers and the platform.
//!
//! An HTTP/2 server has one connection, which is checked by keep-alive pings; an HTTP/1.1
//! server has a pool of connections. [`Connections::reset`] drops connections that may be
//! dead, so that the next request opens a new one.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use parking_lot::Mutex;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::attempt::Attempt;
use hemlockwind_core::collections::HashMap;

use crate::buffer_budget::BufferBudget;
use crate::status;

/// Time within which a connection must be opened, or the address is unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between keep-alive pings.
const PING_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time after which a connection with an unanswered ping is closed.
const PING_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum size of a response body, in bytes.
pub const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Maximum size of all response bodies that are being read at a time, in bytes.
const MAX_BUFFERED_BYTES: usize = 64 << 20;

/// `Failure` is the outcome of a request without a usable answer: whether the request may have
/// run, and the error.
pub type Failure = (Attempt, Error);

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// `Protocol` is the version of HTTP that a server supports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/2 with prior knowledge.
    Http2,
    /// HTTP/1.1.
    Http1,
}

/// `Connections` holds a client for each address.
pub struct Connections {
    protocol: Protocol,
    clients: Mutex<HashMap<SocketAddr, HttpClient>>,
    budget: BufferBudget,
}

impl Connections {
    /// Returns a set without connections.
    pub fn new(protocol: Protocol) -> Self {
        Self {
            protocol,
            clients: Mutex::default(),
            budget: BufferBudget::new(MAX_BUFFERED_BYTES),
        }
    }

    /// Drops the client for `addr`, so that the next request opens a new connection.
    pub fn reset(&self, addr: SocketAddr) {
        self.clients.lock().remove(&addr);
    }

    /// Sends a request and reads the whole response within `timeout`.
    ///
    /// # Errors
    ///
    /// Returns `Unsent` if no connection could be opened, else `Sent`.
    pub async fn exchange(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, Failure> {
        let exchange = async {
            let response = self.open(addr, req).await?;
            let (parts, body) = response.into_parts();
            let body = self.budget.read(addr, body, MAX_ANSWER_BYTES).await;
            let body = body.map_err(|e| (Attempt::Sent, e))?;
            Ok(Response::from_parts(parts, body))
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => {
                let error = Error::backend_failed(format!("{addr} did not respond in {timeout:?}"));
                Err((Attempt::Sent, error))
            }
        }
    }

    /// Sends a request and returns the response with its body unread.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Connections::exchange`].
    pub async fn open(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Failure> {
        let client = self.client(addr);
        let response = client.request(req).await.map_err(|e| {
            if e.is_connect() {
                let error = Error::backend_unreachable(format!("{addr}: {e}"));
                (Attempt::Unsent, error)
            } else {
                self.reset(addr);
                (Attempt::Sent, Error::backend_failed(format!("{addr}: {e}")))
            }
        })?;
        status::check(addr, response.status())?;
        Ok(response)
    }

    /// Returns the client for `addr`; builds one if there is none.
    fn client(&self, addr: SocketAddr) -> HttpClient {
        let mut clients = self.clients.lock();
        let client = clients
            .entry(addr)
            .or_insert_with(|| build_client(self.protocol));
        client.clone()
    }
}

/// Builds a client with keep-alive and without retries.
fn build_client(protocol: Protocol) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    let mut builder = Client::builder(TokioExecutor::new());
    builder
        .timer(TokioTimer::new())
        .pool_timer(TokioTimer::new())
        .retry_canceled_requests(false);
    match protocol {
        Protocol::Http2 => builder
            .http2_only(true)
            .http2_keep_alive_interval(PING_INTERVAL)
            .http2_keep_alive_timeout(PING_TIMEOUT)
            .http2_keep_alive_while_idle(true),
        // HTTP/1.1 has no pings to check an idle connection with, so none is kept for long.
        Protocol::Http1 => builder.pool_idle_timeout(PING_INTERVAL),
    };
    builder.build(connector)
}

/// Returns a request with a JSON body.
///
/// # Errors
///
/// `Error::Header` if the path can't be part of a URI.
pub fn json_request(
    method: Method,
    addr: SocketAddr,
    path: &str,
    body: Vec<u8>,
) -> Result<Request<Full<Bytes>>> {
    let req = Request::builder()
        .method(method)
        .uri(format!("http://{addr}{path}"))
        .header("content-type", "application/json")
        .body(Full::from(body));
    req.map_err(|e| Error::header(e.to_string()))
}

/// Returns a GET request with an empty body.
///
/// # Errors
///
/// As [`json_request`].
pub fn get(addr: SocketAddr, path: &str) -> Result<Request<Full<Bytes>>> {
    json_request(Method::GET, addr, path, Vec::new())
}
