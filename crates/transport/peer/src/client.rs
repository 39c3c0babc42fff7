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
use hemlockwind_protocol::peer::paths::Message;

use crate::body;
use crate::proof;
use crate::proof::SharedKey;
use crate::proof::Side;

/// Time in which a connection must have been opened and proved.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);
/// Time in which a message of control must have been answered.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Time in which a message that may carry a document must have been answered.
const DOCUMENT_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Time beyond a dispatch's deadline for the owner's word that it passed.
const DISPATCH_GRACE: Duration = Duration::from_millis(300);
/// Time in which a home must have decided at once: many times the delay in a region.
const PATHS_TIMEOUT: Duration = Duration::from_millis(250);
/// Time between pings.
const PING_INTERVAL: Duration = Duration::from_millis(1_000);

type Connection = SendRequest<Bytes>;
type Slot = Arc<AsyncMutex<State>>;

/// `State` is the connection to one address, and when it last could not be opened.
#[derive(Default)]
struct State {
    open: Option<Connection>,
    failed_at: Option<Instant>,
}

/// `H2Peer` reaches other instances, by one connection to each.
pub struct H2Peer {
    name: String,
    key: SharedKey,
    connections: Mutex<HashMap<SocketAddr, Slot>>,
}

impl H2Peer {
    /// The client of the instance `name`.
    pub fn new(name: impl Into<String>, key: SharedKey) -> Self {
        Self {
            name: name.into(),
            key,
            connections: Mutex::default(),
        }
    }

    /// The open connection to `to`, a new one when there is none. Those that wait while
    /// another call fails to open one share its failure.
    async fn connection(&self, to: SocketAddr) -> Result<Connection> {
        let asked_at = Instant::now();
        let slot = Arc::clone(self.connections.lock().entry(to).or_default());
        let mut slot = slot.lock().await;
        if let Some(open) = slot.open.as_ref() {
            return Ok(open.clone());
        }
        let silent = || Error::peer_unreachable(format!("{to} is silent"));
        if slot.failed_at.is_some_and(|at| at >= asked_at) {
            return Err(silent());
        }
        let opened = timeout(OPEN_TIMEOUT, self.open(to)).await;
        let opened = opened.unwrap_or_else(|_| Err(silent()));
        match &opened {
            Ok(open) => slot.open = Some(open.clone()),
            Err(_) => slot.failed_at = Some(Instant::now()),
        }
        opened
    }

    /// Forgets the connection to `to`; the next call opens a new one.
    fn reset(&self, to: SocketAddr) {
        let slot = self.connections.lock().get(&to).cloned();
        // Whoever holds the lock is opening a new connection just now.
        if let Some(slot) = slot
            && let Ok(mut slot) = slot.try_lock()
        {
            slot.open = None;
        }
    }

    /// Opens a connection and proves the shared key on it.
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
        self.prove(send).await
    }

    /// Exchanges proofs of the shared key.
    async fn prove(&self, send: Connection) -> Result<Connection> {
        let nonce = proof::nonce();
        let hello = [
            (proof::VERSION_HEADER, VERSION.to_string()),
            (proof::FROM_HEADER, self.name.clone()),
            (proof::NONCE_HEADER, nonce.clone()),
        ];
        let (send, answer) = ask(send, "/hello", &hello).await?;
        let version = proof::header(&answer, proof::VERSION_HEADER);
        if version != VERSION.to_string() {
            return Err(Error::peer_version(version));
        }
        let other = proof::header(&answer, proof::NONCE_HEADER).to_string();
        let its_proof = proof::header(&answer, proof::PROOF_HEADER);
        let is_proved = self
            .key
            .is_proof(its_proof, Side::Server, &self.name, &nonce, &other);
        if !is_proved {
            return Err(Error::PeerKey);
        }
        let mine = self.key.proof(Side::Client, &self.name, &nonce, &other);
        let (send, _) = ask(send, "/proof", &[(proof::PROOF_HEADER, mine)]).await?;
        Ok(send)
    }

    /// Sends a frame on an open connection and reads the reply.
    async fn exchange(
        &self,
        connection: Connection,
        frame: Bytes,
    ) -> Result<Reply, (Attempt, Error)> {
        let unsent = |e: h2::Error| (Attempt::Unsent, Error::peer_unreachable(e.to_string()));
        let sent = |e: h2::Error| (Attempt::Sent, Error::peer_unreachable(e.to_string()));
        let mut connection = connection.ready().await.map_err(unsent)?;
        let req = request("/call", &[]);
        let (answer, mut stream) = connection.send_request(req, false).map_err(unsent)?;
        let written = body::write(&mut stream, frame).await;
        written.map_err(|e| (Attempt::Sent, e))?;
        let answer = answer.await.map_err(sent)?;
        if !answer.status().is_success() {
            let error = Error::peer_frame(format!("answered {}", answer.status()));
            return Err((Attempt::Sent, error));
        }
        let reply = body::read(answer.into_body()).await;
        let reply = reply.and_then(|frame| decode(&frame));
        reply.map_err(|e| (Attempt::Sent, e))
    }
}

/// An HTTP request of this protocol.
fn request(path: &str, headers: &[(&str, String)]) -> HttpRequest<()> {
    let mut req = HttpRequest::post(format!("http://peer{path}"));
    for (name, value) in headers {
        req = req.header(*name, value);
    }
    req.body(())
        .expect("paths and headers of this module are well-formed")
}

/// Sends header fields and gives those of the answer.
async fn ask(
    send: Connection,
    path: &str,
    headers: &[(&str, String)],
) -> Result<(Connection, HeaderMap)> {
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

/// Pings until a ping stays unanswered.
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

/// The time that a call may take.
fn time_limit(req: &Request) -> Duration {
    match req {
        Request::Dispatch(dispatch) => {
            Duration::from_millis(dispatch.deadline_ms.into()) + DISPATCH_GRACE
        }
        Request::Configuration(_) => DOCUMENT_TIMEOUT,
        Request::Paths(Message::Ask(_, ask)) if ask.may_wait => {
            Duration::from_millis(ask.latest_ms.into()) + DISPATCH_GRACE
        }
        Request::Paths(_) => PATHS_TIMEOUT,
        Request::Store(_) => CALL_TIMEOUT,
        Request::Membership(_) | Request::Tickets(_) | Request::Grants(_) => CALL_TIMEOUT,
    }
}

#[async_trait]
impl Peer for H2Peer {
    async fn call(&self, to: SocketAddr, req: Request) -> Result<Reply, (Attempt, Error)> {
        let frame = encode(&req).map_err(|e| (Attempt::Unsent, e))?;
        let connection = self.connection(to).await;
        let connection = connection.map_err(|e| (Attempt::Unsent, e))?;
        let exchange = self.exchange(connection, frame.into());
        let reply = match timeout(time_limit(&req), exchange).await {
            Ok(reply) => reply,
            Err(_) => {
                let error = Error::peer_unreachable(format!("{to} gave no answer"));
                Err((Attempt::Sent, error))
            }
        };
        if reply.is_err() {
            self.reset(to);
        }
        reply
    }
}
