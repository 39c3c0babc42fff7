//! Connections to other instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use h2::PingPong;
use h2::client::SendRequest;
use http::HeaderMap;
use http::Request as HttpRequest;
use http::header::ACCEPT_ENCODING;
use http::header::CONTENT_ENCODING;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::sync::Mutex as AsyncMutex;
use tokio::time::Instant;
use tokio::time::timeout;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::attempt::Attempt;
use hemlockwind_core::collections::HashMap;
use hemlockwind_protocol::peer::Peer;
use hemlockwind_protocol::peer::Reply;
use hemlockwind_protocol::peer::Request;
use hemlockwind_protocol::peer::VERSION;
use hemlockwind_protocol::peer::decode;
use hemlockwind_protocol::peer::encode;
use hemlockwind_protocol::peer::paths::MAX_REROUTE_WAIT;
use hemlockwind_protocol::peer::paths::Message;

use crate::body;
use crate::compression;
use crate::proof;
use crate::proof::SharedKey;
use crate::proof::Side;

/// Time within which a connection must be opened and authenticated.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);
/// Time within which a control message must be answered.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Time within which a message that may carry a configuration document must be answered.
const DOCUMENT_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Time beyond the deadline of a dispatch, or the latest start of a path request that may wait,
/// in which the queue owner can reply that it has passed.
const DISPATCH_GRACE: Duration = Duration::from_millis(300);
/// Time within which a queue owner must answer a message that may not wait: many times
/// the network delay within a region.
const PATHS_TIMEOUT: Duration = Duration::from_millis(250);
/// Time between pings.
const PING_INTERVAL: Duration = Duration::from_millis(1_000);

/// `Connection` is an authenticated connection.
#[derive(Clone)]
struct Connection {
    h2: SendRequest<Bytes>,
    /// Whether the other side accepts compressed messages.
    accepts_compressed: bool,
}

type SharedState = Arc<AsyncMutex<State>>;

/// `State` holds the connection to one address and the time of its last failed attempt.
#[derive(Default)]
struct State {
    open: Option<Connection>,
    failed_at: Option<Instant>,
}

/// `Frame` is an encoded message, which may be sent to many instances.
#[derive(Clone, Debug)]
pub struct Frame {
    plain: Bytes,
    compressed: Option<Bytes>,
    time_limit: Duration,
}

impl Frame {
    /// Encodes a message and, if it is large, compresses it.
    ///
    /// # Errors
    ///
    /// `Error::PeerFrame` if the message can't be encoded.
    pub fn new(req: &Request) -> Result<Self> {
        let plain = encode(req)?;
        Ok(Self {
            compressed: compression::compress(&plain),
            plain: plain.into(),
            time_limit: time_limit(req),
        })
    }

    /// Returns the number of bytes that are sent to an instance that accepts compressed messages.
    pub fn len(&self) -> usize {
        self.compressed.as_ref().unwrap_or(&self.plain).len()
    }

    /// Whether the message has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// `H2Peer` calls other instances over one connection to each.
pub struct H2Peer {
    name: String,
    key: SharedKey,
    connections: Mutex<HashMap<SocketAddr, SharedState>>,
}

impl H2Peer {
    /// Returns a client that identifies itself as the instance `name`.
    pub fn new(name: impl Into<String>, key: SharedKey) -> Self {
        Self {
            name: name.into(),
            key,
            connections: Mutex::default(),
        }
    }

    /// Returns the open connection to `to`, or opens one. Callers that wait while another
    /// call tries to open the connection share its failure.
    async fn connection(&self, to: SocketAddr) -> Result<Connection> {
        let requested_at = Instant::now();
        let state = Arc::clone(self.connections.lock().entry(to).or_default());
        let mut state = state.lock().await;
        if let Some(open) = state.open.as_ref() {
            return Ok(open.clone());
        }
        let no_connection = || Error::peer_unreachable(format!("no connection to {to}"));
        if state.failed_at.is_some_and(|at| at >= requested_at) {
            return Err(no_connection());
        }
        let opened = timeout(OPEN_TIMEOUT, self.open(to)).await;
        let opened = opened.unwrap_or_else(|_| Err(no_connection()));
        match &opened {
            Ok(open) => state.open = Some(open.clone()),
            Err(_) => state.failed_at = Some(Instant::now()),
        }
        opened
    }

    /// Drops the connection to `to`, so that the next call opens a new one.
    fn reset(&self, to: SocketAddr) {
        let state = self.connections.lock().get(&to).cloned();
        // If the lock is held, a new connection is being opened already.
        if let Some(state) = state
            && let Ok(mut state) = state.try_lock()
        {
            state.open = None;
        }
    }

    /// Opens a connection and authenticates it with the shared key.
    async fn open(&self, to: SocketAddr) -> Result<Connection> {
        let unreachable = |e: String| Error::peer_unreachable(format!("{to}: {e}"));
        let tcp = TcpStream::connect(to).await;
        let tcp = tcp.map_err(|e| unreachable(e.to_string()))?;
        tcp.set_nodelay(true)
            .map_err(|e| unreachable(e.to_string()))?;
        let (send, mut connection) = h2::client::handshake(tcp)
            .await
            .map_err(|e| unreachable(e.to_string()))?;
        let pings = connection.ping_pong();
        tokio::spawn(async move {
            tokio::select! {
                _ = connection => {}
                () = keep_alive(pings) => {}
            }
        });
        self.authenticate(send).await
    }

    /// Authenticates both sides with proofs of the shared key.
    async fn authenticate(&self, send: SendRequest<Bytes>) -> Result<Connection> {
        let nonce = proof::nonce();
        let hello = [
            (proof::VERSION_HEADER, VERSION.to_string()),
            (proof::FROM_HEADER, proof::escape_name(&self.name)),
            (proof::NONCE_HEADER, nonce.clone()),
        ];
        let (send, answer) = exchange_headers(send, "/hello", &hello).await?;
        let version = proof::header(&answer, proof::VERSION_HEADER);
        if version != VERSION.to_string() {
            return Err(Error::peer_version(version));
        }
        let peer_nonce = proof::header(&answer, proof::NONCE_HEADER).to_string();
        let peer_proof = proof::header(&answer, proof::PROOF_HEADER);
        let is_valid = self
            .key
            .verify(peer_proof, Side::Server, &self.name, &nonce, &peer_nonce);
        if !is_valid {
            return Err(Error::PeerKey);
        }
        let own_proof = self
            .key
            .proof(Side::Client, &self.name, &nonce, &peer_nonce);
        let (send, _) =
            exchange_headers(send, "/proof", &[(proof::PROOF_HEADER, own_proof)]).await?;
        Ok(Connection {
            h2: send,
            accepts_compressed: compression::is_accepted(&answer),
        })
    }

    /// Sends a frame over an open connection and reads the reply.
    async fn exchange(
        &self,
        connection: Connection,
        frame: &Frame,
    ) -> Result<Reply, (Attempt, Error)> {
        let unsent = |e: h2::Error| (Attempt::Unsent, Error::peer_unreachable(e.to_string()));
        let sent = |e: h2::Error| (Attempt::Sent, Error::peer_unreachable(e.to_string()));
        let mut req = request("/call", &[]);
        let headers = req.headers_mut();
        headers.insert(ACCEPT_ENCODING, compression::DEFLATE);
        let compressed = frame.compressed.as_ref();
        let compressed = compressed.filter(|_| connection.accepts_compressed);
        if compressed.is_some() {
            headers.insert(CONTENT_ENCODING, compression::DEFLATE);
        }
        let frame = compressed.unwrap_or(&frame.plain).clone();
        let mut h2 = connection.h2.ready().await.map_err(unsent)?;
        let (answer, mut stream) = h2.send_request(req, false).map_err(unsent)?;
        let written = body::write(&mut stream, frame).await;
        written.map_err(|e| (Attempt::Sent, e))?;
        let answer = answer.await.map_err(sent)?;
        if !answer.status().is_success() {
            let error = Error::peer_frame(format!("unexpected status {}", answer.status()));
            return Err((Attempt::Sent, error));
        }
        let is_compressed = compression::is_compressed(answer.headers());
        let reply = body::read(answer.into_body(), is_compressed).await;
        let reply = reply.and_then(|frame| decode(&frame));
        reply.map_err(|e| (Attempt::Sent, e))
    }
}

/// Returns an HTTP request to `path` with these headers.
fn request(path: &str, headers: &[(&str, String)]) -> HttpRequest<()> {
    let mut req = HttpRequest::post(format!("http://peer{path}"));
    for (name, value) in headers {
        req = req.header(*name, value);
    }
    req.body(())
        .expect("paths and headers of this module are well-formed")
}

/// Sends a request of headers only and returns the response headers.
async fn exchange_headers(
    send: SendRequest<Bytes>,
    path: &str,
    headers: &[(&str, String)],
) -> Result<(SendRequest<Bytes>, HeaderMap)> {
    let unreachable = |e: h2::Error| Error::peer_unreachable(e.to_string());
    let mut send = send.ready().await.map_err(unreachable)?;
    let (answer, _) = send
        .send_request(request(path, headers), true)
        .map_err(unreachable)?;
    let answer = answer.await.map_err(unreachable)?;
    if !answer.status().is_success() {
        return Err(Error::PeerKey);
    }
    Ok((send, answer.headers().clone()))
}

/// Sends pings and returns once one is not answered within `PING_INTERVAL`.
async fn keep_alive(pings: Option<PingPong>) {
    let Some(mut pings) = pings else {
        return std::future::pending().await;
    };
    loop {
        tokio::time::sleep(PING_INTERVAL).await;
        match timeout(PING_INTERVAL, pings.ping(h2::Ping::opaque())).await {
            Ok(Ok(_)) => {}
            Ok(Err(_)) | Err(_) => return,
        }
    }
}

/// Returns the time that a call may take.
fn time_limit(req: &Request) -> Duration {
    match req {
        Request::Dispatch(dispatch) => {
            Duration::from_millis(dispatch.deadline_ms.into()) + DISPATCH_GRACE
        }
        Request::Configuration(_) => DOCUMENT_TIMEOUT,
        Request::Paths(Message::PathRequest(_, request)) if request.may_wait => {
            Duration::from_millis(request.latest_ms.into()) + DISPATCH_GRACE
        }
        Request::Paths(Message::AdmissionRequest(_, admission)) if admission.request.may_wait => {
            Duration::from_millis(admission.request.latest_ms.into()) + DISPATCH_GRACE
        }
        Request::Paths(Message::UrgentReroute(..)) => MAX_REROUTE_WAIT + PATHS_TIMEOUT,
        Request::Paths(_) => PATHS_TIMEOUT,
        Request::Store(_) | Request::Quarantine(_) => CALL_TIMEOUT,
        Request::Membership(_) | Request::QueueReport(_) | Request::Grants(_) => CALL_TIMEOUT,
    }
}

impl H2Peer {
    /// Sends an encoded message to the instance at `to` and waits for its reply.
    ///
    /// # Errors
    ///
    /// As [`Peer::call`].
    pub async fn call_frame(
        &self,
        to: SocketAddr,
        frame: &Frame,
    ) -> Result<Reply, (Attempt, Error)> {
        let connection = self.connection(to).await;
        let connection = connection.map_err(|e| (Attempt::Unsent, e))?;
        let exchange = self.exchange(connection, frame);
        let reply = match timeout(frame.time_limit, exchange).await {
            Ok(reply) => reply,
            Err(_) => {
                let error = Error::peer_unreachable(format!("{to} did not reply in time"));
                Err((Attempt::Sent, error))
            }
        };
        if reply.is_err() {
            self.reset(to);
        }
        reply
    }
}

#[async_trait]
impl Peer for H2Peer {
    async fn call(&self, to: SocketAddr, req: Request) -> Result<Reply, (Attempt, Error)> {
        let frame = Frame::new(&req).map_err(|e| (Attempt::Unsent, e))?;
        self.call_frame(to, &frame).await
    }
}
