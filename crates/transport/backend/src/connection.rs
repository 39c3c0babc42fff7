//! HTTP connections to backend servers and the platform.
//!
//! Each address has one HTTP/2 connection, which proves itself by keep-alive
//! pings. [`Connections::reset`] forgets a connection that is in doubt, so that
//! the next request opens a new one.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use parking_lot::Mutex;

use hemlockwind_core::Error;
use hemlockwind_core::attempt::Attempt;
use hemlockwind_core::collections::HashMap;

/// Time after which an address that takes no connection counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between keep-alive pings.
const PING_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time that a ping may stay unanswered before its connection is closed.
const PING_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Bytes that one answer may hold.
pub const ANSWER_LIMIT: usize = 8 << 20;

/// `Failure` is why a request has no answer, and whether it may have run.
pub type Failure = (Attempt, Error);

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// `Protocol` is the version of HTTP that a kind of server speaks.
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
}

impl Connections {
    /// No connections yet.
    pub fn new(protocol: Protocol) -> Self {
        Self {
            protocol,
            clients: Mutex::default(),
        }
    }

    /// Forgets the connections to `addr`; the next request opens a new one.
    pub fn reset(&self, addr: SocketAddr) {
        self.clients.lock().remove(&addr);
    }

    /// Sends one request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// `Unsent` when no connection came about, else `Sent`.
    pub async fn exchange(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, Failure> {
        let exchange = async {
            let response = self.open(addr, req).await?;
            let (parts, body) = response.into_parts();
            let body = Limited::new(body, ANSWER_LIMIT).collect().await;
            let body = body.map_err(|e| (Attempt::Sent, Error::backend_failed(e.to_string())))?;
            Ok(Response::from_parts(parts, body.to_bytes()))
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => {
                let error = Error::backend_failed(format!("{addr} gave no answer in {timeout:?}"));
                Err((Attempt::Sent, error))
            }
        }
    }

    /// Sends one request and leaves the answer's body to the caller.
    ///
    /// # Errors
    ///
    /// As [`Connections::exchange`].
    pub async fn open(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Failure> {
        let client = self.client(addr);
        client.request(req).await.map_err(|e| {
            if e.is_connect() {
                let error = Error::backend_unreachable(format!("{addr}: {e}"));
                (Attempt::Unsent, error)
            } else {
                self.reset(addr);
                (Attempt::Sent, Error::backend_failed(format!("{addr}: {e}")))
            }
        })
    }

    /// The client for `addr`, a new one when there is none.
    fn client(&self, addr: SocketAddr) -> HttpClient {
        let mut clients = self.clients.lock();
        let client = clients.entry(addr).or_insert_with(|| build(self.protocol));
        client.clone()
    }
}

/// Builds a client with keep-alive and no retries of its own.
fn build(protocol: Protocol) -> HttpClient {
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
        // An idle HTTP/1.1 connection can't be probed, so none is kept for long.
        Protocol::Http1 => builder.pool_idle_timeout(PING_INTERVAL),
    };
    builder.build(connector)
}

/// A request with a JSON body.
pub fn json(method: Method, addr: SocketAddr, path: &str, body: Vec<u8>) -> Request<Full<Bytes>> {
    let req = Request::builder()
        .method(method)
        .uri(format!("http://{addr}{path}"))
        .header("content-type", "application/json")
        .body(Full::from(body));
    req.expect("an address and a path of this crate make a URI")
}

/// A request without a body.
pub fn get(addr: SocketAddr, path: &str) -> Request<Full<Bytes>> {
    json(Method::GET, addr, path, Vec::new())
}
