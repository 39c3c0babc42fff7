//! A pool of HTTP/1.1 connections, with one exchange at a time on each.
//!
//! Each error states whether the server may have read the request. An idle connection is
//! reused only within the time for which the server announced to keep it open.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use hemlockwind_core::Error;
use hemlockwind_core::attempt::Attempt;
use hemlockwind_core::collections::HashMap;

use crate::buffer_budget::BufferBudget;
use crate::connection::Failure;
use crate::status;

/// Time within which a connection must be opened, or the address is unreachable. A lost SYN
/// is retransmitted after a second, which is too late for most requests.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time that sent bytes may stay unacknowledged: four retransmissions inside a data centre.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time without traffic before a connection is probed, and between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection is closed.
const MAX_PROBES: u32 = 2;
/// Time that an idle connection is kept if the server announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest time that an idle connection is kept.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3_600);
/// Fraction of the announced idle time that is not used, to allow for differences of the
/// clocks and the network delay.
const IDLE_MARGIN: f64 = 0.25;
/// Time within which an idle connection must become ready for the next exchange.
const READY_TIMEOUT: Duration = Duration::from_millis(5);
/// Maximum idle connections for one address.
const MAX_IDLE_PER_ADDR: usize = 64;
/// Maximum header fields of a response.
const MAX_HEADER_FIELDS: usize = 100;
/// Maximum size of a response head, and of data read ahead of the consumer, in bytes. A
/// connection to a server that sends an endless head uses this much memory.
const MAX_READ_BUFFER_BYTES: usize = 64 << 10;

type Body = Full<Bytes>;

struct Idle {
    send: SendRequest<Body>,
    until: Instant,
}

/// `Http1` keeps idle connections by address.
#[derive(Default)]
pub struct Http1 {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
    opened: AtomicU64,
    budget: BufferBudget,
}

/// `Exchange` holds a response whose body has not been read yet. Dropping it closes the
/// connection, so that the server notices that the response is no longer needed.
pub struct Exchange {
    /// The status and headers.
    pub head: Response<()>,
    /// The body.
    pub body: Incoming,
    send: SendRequest<Body>,
    addr: SocketAddr,
}

impl Http1 {
    /// Returns a pool whose responses are buffered within `budget`.
    pub fn new(budget: BufferBudget) -> Self {
        Self {
            budget,
            ..Self::default()
        }
    }

    /// Returns the number of connections opened so far.
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Closes the idle connections to `addr`.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.idle.lock().remove(&addr);
    }

    /// Sends `req` and waits until `deadline` for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns `Unsent` if the server can't have read the request, else `Sent`, also for a response
    /// with an invalid status.
    pub async fn send(
        &self,
        addr: SocketAddr,
        req: Request<Body>,
        deadline: Instant,
    ) -> Result<Exchange, Failure> {
        let mut req = req;
        let mut is_new = false;
        loop {
            let idle = if is_new { None } else { self.take(addr).await };
            is_new = idle.is_none();
            let mut send = match idle {
                Some(send) => send,
                None => open(addr, deadline, &self.opened).await?,
            };
            match timeout_at(deadline, send.try_send_request(req)).await {
                Ok(Ok(response)) => {
                    // Dropping the response closes its connection.
                    status::check(addr, response.status())?;
                    let (parts, body) = response.into_parts();
                    let head = Response::from_parts(parts, ());
                    return Ok(Exchange {
                        head,
                        body,
                        send,
                        addr,
                    });
                }
                Ok(Err(mut e)) => match e.take_message() {
                    // The server closed the idle connection before it read the request.
                    Some(unsent) if !is_new => req = unsent,
                    Some(_) => return Err((Attempt::Unsent, unreachable(addr, e.error()))),
                    None => return Err((Attempt::Sent, failed(addr, e.error()))),
                },
                Err(_) => {
                    let error = Error::backend_failed(format!("{addr} did not respond in time"));
                    return Err((Attempt::Sent, error));
                }
            }
        }
    }

    /// Sends `req` and reads the whole response, of at most `limit` bytes. A response whose
    /// headers don't pass `is_answer` belongs to another request: it is rejected and its
    /// connection is closed, as the right response may still follow on it.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Http1::send`] and [`Http1::read`], and `Sent` for a
    /// response to another request.
    pub async fn call(
        &self,
        addr: SocketAddr,
        req: Request<Body>,
        deadline: Instant,
        limit: usize,
        is_answer: impl Fn(&HeaderMap) -> bool,
    ) -> Result<Response<Bytes>, Failure> {
        let exchange = self.send(addr, req, deadline).await?;
        if !is_answer(exchange.head.headers()) {
            let error = Error::backend_answer(format!("{addr} answered another request"));
            return Err((Attempt::Sent, error));
        }
        self.read(exchange, deadline, limit).await
    }

    /// Reads the body of a response and returns its connection to the pool.
    ///
    /// # Errors
    ///
    /// Returns `Sent` if the body exceeds `limit` bytes or the budget of all responses, breaks off
    /// or is not complete by `deadline`.
    pub async fn read(
        &self,
        exchange: Exchange,
        deadline: Instant,
        limit: usize,
    ) -> Result<Response<Bytes>, Failure> {
        let Exchange {
            head,
            body,
            send,
            addr,
        } = exchange;
        let body = timeout_at(deadline, self.budget.read(addr, body, limit)).await;
        let Ok(body) = body else {
            let error =
                Error::backend_failed(format!("{addr} did not complete its response in time"));
            return Err((Attempt::Sent, error));
        };
        let body = body.map_err(|e| (Attempt::Sent, e))?;
        let (parts, ()) = head.into_parts();
        // A faulty server may write a refusal once more. On this connection it would be taken for
        // the answer to the next request, which has the same id if it is this one sent again.
        if !is_refusal(parts.status) {
            self.keep(addr, send, &parts.headers);
        }
        Ok(Response::from_parts(parts, body))
    }

    /// Returns a connection to the pool. The caller must have read the whole response body.
    pub fn finish(&self, addr: SocketAddr, sender: Sender, headers: &HeaderMap) {
        self.keep(addr, sender.0, headers);
    }

    /// Takes an idle connection to `addr` that is still open out of the pool.
    async fn take(&self, addr: SocketAddr) -> Option<SendRequest<Body>> {
        loop {
            let idle = self.idle.lock().get_mut(&addr)?.pop()?;
            let mut send = idle.send;
            if idle.until <= Instant::now() || send.is_closed() {
                continue;
            }
            if let Ok(Ok(())) = timeout(READY_TIMEOUT, send.ready()).await {
                return Some(send);
            }
        }
    }

    /// Puts a connection into the pool for the idle time that the server announced.
    fn keep(&self, addr: SocketAddr, send: SendRequest<Body>, headers: &HeaderMap) {
        if send.is_closed() {
            return;
        }
        let keep_for = idle_time(headers);
        if keep_for.is_zero() {
            return;
        }
        let now = Instant::now();
        let mut idle = self.idle.lock();
        let connections = idle.entry(addr).or_default();
        connections.retain(|c| c.until > now && !c.send.is_closed());
        if connections.len() < MAX_IDLE_PER_ADDR {
            connections.push(Idle {
                send,
                until: now + keep_for,
            });
        }
    }
}

/// `Sender` holds the sending half of a connection while the response is being read.
pub struct Sender(SendRequest<Body>);

impl Exchange {
    /// Returns the head, the body, and the sender to pass to [`Http1::finish`].
    pub fn into_parts(self) -> (Response<()>, Incoming, Sender) {
        (self.head, self.body, Sender(self.send))
    }
}

/// Whether a status states that the request was not run.
fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns how long a connection may stay idle, by the headers of its last response.
fn idle_time(headers: &HeaderMap) -> Duration {
    let closes = headers.get(http::header::CONNECTION);
    if closes.is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close")) {
        return Duration::ZERO;
    }
    let announced = headers.get("keep-alive").and_then(|v| v.to_str().ok());
    let Some(announced) = announced else {
        return DEFAULT_IDLE_TIMEOUT;
    };
    let seconds = announced.split(',').find_map(|part| {
        let value = part.trim().strip_prefix("timeout=")?;
        value.parse::<f64>().ok()
    });
    match seconds {
        Some(s) => {
            let time = Duration::try_from_secs_f64(s * (1.0 - IDLE_MARGIN));
            time.unwrap_or_default().min(MAX_IDLE_TIME)
        }
        None => DEFAULT_IDLE_TIMEOUT,
    }
}

/// Opens a connection to `addr`.
async fn open(
    addr: SocketAddr,
    deadline: Instant,
    opened: &AtomicU64,
) -> Result<SendRequest<Body>, Failure> {
    let connect = async {
        let tcp = TcpStream::connect(addr).await?;
        set_tcp_options(&tcp)?;
        Ok::<_, std::io::Error>(tcp)
    };
    let connect_deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let unsent = |e: Error| (Attempt::Unsent, e);
    let tcp = match timeout_at(connect_deadline, connect).await {
        Ok(Ok(tcp)) => tcp,
        Ok(Err(e)) => return Err(unsent(unreachable(addr, &e))),
        Err(_) => {
            let error = format!("{addr} did not accept a connection in time");
            return Err(unsent(Error::backend_unreachable(error)));
        }
    };
    opened.fetch_add(1, Ordering::Relaxed);
    let handshake = http1::Builder::new()
        .max_headers(MAX_HEADER_FIELDS)
        .max_buf_size(MAX_READ_BUFFER_BYTES)
        .handshake(TokioIo::new(tcp))
        .await;
    let (send, connection) = handshake.map_err(|e| unsent(unreachable(addr, &e)))?;
    tokio::spawn(async move {
        // The exchange that uses the connection reports its failure.
        let _ = connection.await;
    });
    Ok(send)
}

/// Sets `TCP_NODELAY` and the options that detect a dead connection.
///
/// # Errors
///
/// Returns the system's error if an option can't be set.
pub fn set_tcp_options(tcp: &TcpStream) -> std::io::Result<()> {
    tcp.set_nodelay(true)?;
    let socket = SockRef::from(tcp);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

fn unreachable(addr: SocketAddr, e: &(dyn std::error::Error + 'static)) -> Error {
    Error::backend_unreachable(format!("{addr}: {e}"))
}

fn failed(addr: SocketAddr, e: &(dyn std::error::Error + 'static)) -> Error {
    Error::backend_failed(format!("{addr}: {e}"))
}
