//! HTTP/1.1 connections that are kept and reused, one exchange at a time on each.
//!
//! A failure tells whether the request may have been read. An idle connection is
//! used only while the server has announced that it keeps it open.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
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

use crate::connection::Failure;

/// Time after which an address that takes no connection counts as unreachable: a
/// lost opening packet is sent again after a second, which is too late for most requests.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time that sent bytes may stay unacknowledged: four retransmissions inside a data centre.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1_000);
/// Time without traffic before a connection is probed, and between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection is closed.
const PROBES: u32 = 2;
/// Time that an idle connection is kept when its server does not say.
const IDLE_DEFAULT: Duration = Duration::from_millis(1_000);
/// The part of the announced idle time that is left unused, for clocks and transit.
const IDLE_MARGIN: f64 = 0.25;
/// Time that a connection has to become ready for its next exchange.
const READY_TIMEOUT: Duration = Duration::from_millis(5);
/// Idle connections that are kept for one address.
const IDLE_LIMIT: usize = 64;
/// Header fields of one answer at most.
const HEADER_FIELDS: usize = 100;
/// Bytes that one answer's head may take at most, and that are read ahead of its reader. Each
/// connection to a server that sends a head without end holds as much.
const READ_AHEAD: usize = 64 << 10;

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
}

/// `Exchange` is an answer whose body has not been read yet. Dropping it closes the
/// connection, so that the server sees that nobody waits.
pub struct Exchange {
    /// The status and headers.
    pub head: Response<()>,
    /// The body.
    pub body: Incoming,
    send: SendRequest<Body>,
    addr: SocketAddr,
}

impl Http1 {
    /// Connections that were opened.
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Closes the idle connections to `addr`.
    pub fn forget(&self, addr: SocketAddr) {
        self.idle.lock().remove(&addr);
    }

    /// Sends `req` and waits for the head of the answer until `deadline`.
    ///
    /// # Errors
    ///
    /// `Unsent` when the server can't have read the request, else `Sent`.
    pub async fn send(
        &self,
        addr: SocketAddr,
        req: Request<Body>,
        deadline: Instant,
    ) -> Result<Exchange, Failure> {
        let mut req = req;
        let mut fresh = false;
        loop {
            let kept = if fresh { None } else { self.take(addr).await };
            fresh = kept.is_none();
            let mut send = match kept {
                Some(send) => send,
                None => open(addr, deadline, &self.opened).await?,
            };
            match timeout_at(deadline, send.try_send_request(req)).await {
                Ok(Ok(response)) => {
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
                    // The server closed the kept connection before it was used.
                    Some(unsent) if !fresh => req = unsent,
                    Some(_) => return Err((Attempt::Unsent, unreachable(addr, e.error()))),
                    None => return Err((Attempt::Sent, failed(addr, e.error()))),
                },
                Err(_) => {
                    let error = Error::backend_failed(format!("{addr} gave no answer in time"));
                    return Err((Attempt::Sent, error));
                }
            }
        }
    }

    /// Sends `req` and reads the whole answer of at most `limit` bytes. An answer that is
    /// not to this request by its headers is none, and its connection is not used again:
    /// the real answer may follow on it.
    ///
    /// # Errors
    ///
    /// As [`Http1::send`].
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

    /// Reads the rest of an answer and keeps its connection.
    ///
    /// # Errors
    ///
    /// `Sent` when the body is longer than `limit`, breaks off or comes too late.
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
        let body = timeout_at(deadline, Limited::new(body, limit).collect()).await;
        let Ok(body) = body else {
            let error = Error::backend_failed(format!("{addr} did not end its answer in time"));
            return Err((Attempt::Sent, error));
        };
        let body = body.map_err(|e| (Attempt::Sent, failed(addr, &*e)))?;
        let (parts, ()) = head.into_parts();
        self.keep(addr, send, &parts.headers);
        Ok(Response::from_parts(parts, body.to_bytes()))
    }

    /// Keeps the connection of an answer whose body was read to its end elsewhere.
    pub fn finish(&self, addr: SocketAddr, sender: Sender, headers: &HeaderMap) {
        self.keep(addr, sender.0, headers);
    }

    /// An idle connection that is still open.
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

    /// Keeps a connection for the time that its server announced.
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
        let of_addr = idle.entry(addr).or_default();
        of_addr.retain(|c| c.until > now && !c.send.is_closed());
        if of_addr.len() < IDLE_LIMIT {
            of_addr.push(Idle {
                send,
                until: now + keep_for,
            });
        }
    }
}

/// `Sender` is the sending half of a connection whose answer is being read.
pub struct Sender(SendRequest<Body>);

impl Exchange {
    /// The head, the body and what [`Http1::finish`] needs.
    pub fn into_parts(self) -> (Response<()>, Incoming, Sender) {
        (self.head, self.body, Sender(self.send))
    }
}

/// The time that a connection may be kept idle, by the headers of its last answer.
fn idle_time(headers: &HeaderMap) -> Duration {
    let closes = headers.get(http::header::CONNECTION);
    if closes.is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close")) {
        return Duration::ZERO;
    }
    let announced = headers.get("keep-alive").and_then(|v| v.to_str().ok());
    let Some(announced) = announced else {
        return IDLE_DEFAULT;
    };
    let seconds = announced.split(',').find_map(|part| {
        let value = part.trim().strip_prefix("timeout=")?;
        value.parse::<f64>().ok()
    });
    match seconds {
        Some(s) if s.is_finite() && s > 0.0 => Duration::from_secs_f64(s * (1.0 - IDLE_MARGIN)),
        Some(_) => Duration::ZERO,
        None => IDLE_DEFAULT,
    }
}

/// Opens a connection.
async fn open(
    addr: SocketAddr,
    deadline: Instant,
    opened: &AtomicU64,
) -> Result<SendRequest<Body>, Failure> {
    let connect = async {
        let tcp = TcpStream::connect(addr).await?;
        guard(&tcp)?;
        Ok::<_, std::io::Error>(tcp)
    };
    let by = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let unsent = |e: Error| (Attempt::Unsent, e);
    let tcp = match timeout_at(by, connect).await {
        Ok(Ok(tcp)) => tcp,
        Ok(Err(e)) => return Err(unsent(unreachable(addr, &e))),
        Err(_) => {
            let error = format!("{addr} takes no connection");
            return Err(unsent(Error::backend_unreachable(error)));
        }
    };
    opened.fetch_add(1, Ordering::Relaxed);
    let handshake = http1::Builder::new()
        .max_headers(HEADER_FIELDS)
        .max_buf_size(READ_AHEAD)
        .handshake(TokioIo::new(tcp))
        .await;
    let (send, connection) = handshake.map_err(|e| unsent(unreachable(addr, &e)))?;
    tokio::spawn(async move {
        // The exchange that uses the connection reports its failure.
        let _ = connection.await;
    });
    Ok(send)
}

/// Sets the options by which a connection that has gone silent is noticed.
///
/// # Errors
///
/// The system's error when an option can't be set.
pub fn guard(tcp: &TcpStream) -> std::io::Result<()> {
    tcp.set_nodelay(true)?;
    let socket = SockRef::from(tcp);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))
}

fn unreachable(addr: SocketAddr, e: &(dyn std::error::Error + 'static)) -> Error {
    Error::backend_unreachable(format!("{addr}: {e}"))
}

fn failed(addr: SocketAddr, e: &(dyn std::error::Error + 'static)) -> Error {
    Error::backend_failed(format!("{addr}: {e}"))
}
