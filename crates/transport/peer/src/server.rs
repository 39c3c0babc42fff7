//! Connections from other instances.
//!
//! Anyone may connect. Until a connection is authenticated, it may send little, it is one of a
//! limited number, and it is closed for a newer one.

use std::collections::VecDeque;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use h2::RecvStream;
use h2::server::Connection;
use h2::server::SendResponse;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::ACCEPT_ENCODING;
use http::header::CONTENT_ENCODING;
use slog::Logger;
use slog::warn;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio::time::timeout;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_protocol::peer::Handler;
use hemlockwind_protocol::peer::Reply;
use hemlockwind_protocol::peer::VERSION;
use hemlockwind_protocol::peer::decode;
use hemlockwind_protocol::peer::encode;

use crate::body;
use crate::compression;
use crate::proof;
use crate::proof::SharedKey;
use crate::proof::Side;

/// Time within which a new connection must be authenticated.
const AUTHENTICATION_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time within which a whole message must arrive.
const BODY_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Streams that one peer may have open at the same time.
const MAX_STREAMS: u32 = 4_096;

/// Connections that may be unauthenticated at the same time. All instances of a large deployment
/// may connect to one that starts.
const MAX_UNAUTHENTICATED: usize = 512;
/// Share of the descriptors for unauthenticated connections, where these are fewer. The others are
/// for callers, servers and the store.
const UNAUTHENTICATED_DIVISOR: usize = 16;
/// Bytes that are read from a connection until it is authenticated. A peer sends less than 1 KiB.
const MAX_UNAUTHENTICATED_BYTES: usize = 4 << 10;
/// Maximum size of the header fields of one message. A peer sends a few short ones.
const MAX_HEADER_BYTES: u32 = 16 << 10;
/// Interval between log lines about connections that were not authenticated.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

type Server = Connection<PeerStream, Bytes>;

/// `PeerStream` is a socket that is read up to a limit until it is authenticated.
struct PeerStream {
    tcp: TcpStream,
    received: usize,
    is_authenticated: Arc<AtomicBool>,
}

/// `Unauthenticated` is a connection that may not be authenticated yet.
struct Unauthenticated {
    task: AbortHandle,
    is_authenticated: Arc<AtomicBool>,
}

/// Serves peers that connect to `listener` until the future is dropped. The process may use
/// `open_files` descriptors.
pub async fn serve(
    listener: TcpListener,
    key: SharedKey,
    handler: Arc<dyn Handler>,
    open_files: usize,
    log: Logger,
) {
    let max_unauthenticated = (open_files / UNAUTHENTICATED_DIVISOR).clamp(1, MAX_UNAUTHENTICATED);
    let mut unauthenticated: VecDeque<Unauthenticated> = VecDeque::new();
    let failures = Arc::new(Failures::new());
    loop {
        let accepted = listener.accept().await;
        unauthenticated
            .retain(|c| !c.is_authenticated.load(Ordering::Relaxed) && !c.task.is_finished());
        // A peer is authenticated within some round trips, so the oldest one is none.
        if (accepted.is_err() || unauthenticated.len() >= max_unauthenticated)
            && let Some(oldest) = unauthenticated.pop_front()
        {
            oldest.task.abort();
        }
        let Ok((tcp, addr)) = accepted else {
            // The process is out of sockets: wait until some are closed.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let key = key.clone();
        let handler = Arc::clone(&handler);
        let log = log.clone();
        let failures = Arc::clone(&failures);
        let is_authenticated = Arc::new(AtomicBool::new(false));
        let stream = PeerStream {
            tcp,
            received: 0,
            is_authenticated: Arc::clone(&is_authenticated),
        };
        let task = tokio::spawn(async move {
            let is_authenticated = Arc::clone(&stream.is_authenticated);
            let Err(e) = serve_connection(stream, &key, handler).await else {
                return;
            };
            let left_out = match is_authenticated.load(Ordering::Relaxed) {
                true => Some(0),
                false => failures.take(),
            };
            if let Some(left_out) = left_out {
                warn!(log, "a peer's connection ended"; "peer" => %addr, "code" => e.code().number(),
                    "error" => %e, "left_out" => left_out);
            }
        });
        unauthenticated.push_back(Unauthenticated {
            task: task.abort_handle(),
            is_authenticated,
        });
    }
}

/// `Failures` limits the log lines about connections that were not authenticated.
struct Failures {
    started: Instant,
    /// When a line may be written again, in milliseconds since the start.
    next_ms: AtomicU64,
    left_out: AtomicU64,
}

impl Failures {
    fn new() -> Self {
        Self {
            started: Instant::now(),
            next_ms: AtomicU64::new(0),
            left_out: AtomicU64::new(0),
        }
    }

    /// Returns the number of lines that were left out since the last one, or `None` if no line may
    /// be written now.
    fn take(&self) -> Option<u64> {
        let now_ms = self.started.elapsed().as_millis() as u64;
        let next_ms = now_ms + LOG_INTERVAL.as_millis() as u64;
        let is_due = |due: u64| (now_ms >= due).then_some(next_ms);
        let taken = self
            .next_ms
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, is_due);
        match taken {
            Ok(_) => Some(self.left_out.swap(0, Ordering::Relaxed)),
            Err(_) => {
                self.left_out.fetch_add(1, Ordering::Relaxed);
                None
            }
        }
    }
}

/// Authenticates one connection, then serves its messages.
async fn serve_connection(
    stream: PeerStream,
    key: &SharedKey,
    handler: Arc<dyn Handler>,
) -> Result<()> {
    let error = |e: h2::Error| Error::peer_unreachable(e.to_string());
    let _ = stream.tcp.set_nodelay(true);
    let is_authenticated = Arc::clone(&stream.is_authenticated);
    let open = async {
        let mut server: Server = h2::server::Builder::new()
            .max_concurrent_streams(MAX_STREAMS)
            .max_header_list_size(MAX_HEADER_BYTES)
            .handshake(stream)
            .await
            .map_err(error)?;
        let from = authenticate(&mut server, key, &is_authenticated).await?;
        Ok((server, from))
    };
    let opened = timeout(AUTHENTICATION_TIMEOUT, open).await;
    let (mut server, from) = opened.map_err(|_| Error::PeerKey)??;
    let from: Arc<str> = from.into();
    while let Some(stream) = server.accept().await {
        let (req, respond) = stream.map_err(error)?;
        let handler = Arc::clone(&handler);
        let from = Arc::clone(&from);
        tokio::spawn(async move { handle_message(req, respond, &from, &*handler).await });
    }
    Ok(())
}

impl AsyncRead for PeerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.tcp).poll_read(cx, buf);
        if self.is_authenticated.load(Ordering::Relaxed) {
            return result;
        }
        self.received += buf.filled().len() - before;
        match self.received {
            ..=MAX_UNAUTHENTICATED_BYTES => result,
            _ => Poll::Ready(Err(io::Error::other("too much before authentication"))),
        }
    }
}

impl AsyncWrite for PeerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }
}

/// Authenticates both sides with proofs of the shared key; returns the peer's name.
async fn authenticate(
    server: &mut Server,
    key: &SharedKey,
    is_authenticated: &AtomicBool,
) -> Result<String> {
    let nonce = proof::nonce();
    let (hello, respond) = next_headers(server).await?;
    let version = proof::header(&hello, proof::VERSION_HEADER);
    let from = proof::unescape_name(proof::header(&hello, proof::FROM_HEADER));
    let peer_nonce = proof::header(&hello, proof::NONCE_HEADER).to_string();
    let own_proof = key.proof(Side::Server, &from, &peer_nonce, &nonce);
    let answer = Response::builder()
        .header(proof::VERSION_HEADER, VERSION)
        .header(proof::NONCE_HEADER, &nonce)
        .header(proof::PROOF_HEADER, own_proof)
        .header(ACCEPT_ENCODING, compression::DEFLATE);
    send_headers(respond, answer)?;
    if version != VERSION.to_string() {
        return Err(Error::peer_version(version));
    }
    let (headers, respond) = next_headers(server).await?;
    let peer_proof = proof::header(&headers, proof::PROOF_HEADER);
    if !key.verify(peer_proof, Side::Client, &from, &peer_nonce, &nonce) {
        send_headers(
            respond,
            Response::builder().status(StatusCode::UNAUTHORIZED),
        )?;
        server.graceful_shutdown();
        while server.accept().await.is_some() {}
        return Err(Error::PeerKey);
    }
    // The answer lets the peer send messages, so the limit ends before it.
    is_authenticated.store(true, Ordering::Relaxed);
    send_headers(respond, Response::builder())?;
    Ok(from)
}

/// Returns the header fields of the next stream without reading its body.
async fn next_headers(server: &mut Server) -> Result<(HeaderMap, SendResponse<Bytes>)> {
    let stream = server.accept().await.ok_or(Error::PeerKey)?;
    let (req, respond) = stream.map_err(|e| Error::peer_unreachable(e.to_string()))?;
    Ok((req.headers().clone(), respond))
}

/// Sends a response without a body.
fn send_headers(mut respond: SendResponse<Bytes>, answer: http::response::Builder) -> Result<()> {
    let answer = answer
        .body(())
        .map_err(|e| Error::peer_frame(e.to_string()))?;
    let sent = respond.send_response(answer, true);
    sent.map(drop)
        .map_err(|e| Error::peer_unreachable(e.to_string()))
}

/// Handles one message and sends the reply.
async fn handle_message(
    req: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    from: &str,
    handler: &dyn Handler,
) {
    let is_compressed = compression::is_compressed(req.headers());
    let accepts_compressed = compression::is_accepted(req.headers());
    let frame = timeout(BODY_TIMEOUT, body::read(req.into_body(), is_compressed)).await;
    let frame =
        frame.unwrap_or_else(|_| Err(Error::peer_frame("the message was not complete in time")));
    let reply = match frame.and_then(|frame| decode(&frame)) {
        Ok(req) => handler.handle(from, req).await,
        Err(e) => Reply::Refused(e.code().number(), e.to_string()),
    };
    let frame = encode(&reply).or_else(|e| {
        let refused = Reply::Refused(e.code().number(), e.to_string());
        encode(&refused)
    });
    let Ok(frame) = frame else {
        return;
    };
    let mut answer = Response::new(());
    let compressed = accepts_compressed
        .then(|| compression::compress(&frame))
        .flatten();
    if compressed.is_some() {
        let headers = answer.headers_mut();
        headers.insert(CONTENT_ENCODING, compression::DEFLATE);
    }
    let frame = compressed.unwrap_or_else(|| frame.into());
    // Errors are ignored: if the peer has disconnected, no one waits for this reply.
    if let Ok(mut stream) = respond.send_response(answer, false) {
        let _ = body::write(&mut stream, frame).await;
    }
}
