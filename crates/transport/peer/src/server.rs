//! Connections from other instances.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::RecvStream;
use h2::server::Connection;
use h2::server::SendResponse;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use slog::Logger;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_protocol::peer::Handler;
use hemlockwind_protocol::peer::Reply;
use hemlockwind_protocol::peer::VERSION;
use hemlockwind_protocol::peer::decode;
use hemlockwind_protocol::peer::encode;

use crate::body;
use crate::proof;
use crate::proof::SharedKey;
use crate::proof::Side;

/// Time within which a new connection must be authenticated.
const AUTHENTICATION_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time within which a whole message must arrive.
const BODY_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Streams that one peer may have open at the same time.
const MAX_STREAMS: u32 = 4_096;

type Server = Connection<TcpStream, Bytes>;

/// Serves peers that connect to `listener` until the future is dropped.
pub async fn serve(listener: TcpListener, key: SharedKey, handler: Arc<dyn Handler>, log: Logger) {
    loop {
        let Ok((tcp, addr)) = listener.accept().await else {
            // The process is out of sockets: wait until some are closed.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let key = key.clone();
        let handler = Arc::clone(&handler);
        let log = log.clone();
        tokio::spawn(async move {
            if let Err(e) = serve_connection(tcp, &key, handler).await {
                warn!(log, "a peer's connection ended"; "peer" => %addr, "code" => e.code().number(), "error" => %e);
            }
        });
    }
}

/// Authenticates one connection, then serves its messages.
async fn serve_connection(
    tcp: TcpStream,
    key: &SharedKey,
    handler: Arc<dyn Handler>,
) -> Result<()> {
    let error = |e: h2::Error| Error::peer_unreachable(e.to_string());
    let _ = tcp.set_nodelay(true);
    let open = async {
        let mut server: Server = h2::server::Builder::new()
            .max_concurrent_streams(MAX_STREAMS)
            .handshake(tcp)
            .await
            .map_err(error)?;
        let from = authenticate(&mut server, key).await?;
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

/// Authenticates both sides with proofs of the shared key; returns the peer's name.
async fn authenticate(server: &mut Server, key: &SharedKey) -> Result<String> {
    let nonce = proof::nonce();
    let (hello, respond) = next_headers(server).await?;
    let version = proof::header(&hello, proof::VERSION_HEADER);
    let from = proof::header(&hello, proof::FROM_HEADER).to_string();
    let peer_nonce = proof::header(&hello, proof::NONCE_HEADER).to_string();
    let own_proof = key.proof(Side::Server, &from, &peer_nonce, &nonce);
    let answer = Response::builder()
        .header(proof::VERSION_HEADER, VERSION)
        .header(proof::NONCE_HEADER, &nonce)
        .header(proof::PROOF_HEADER, own_proof);
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
    let frame = timeout(BODY_TIMEOUT, body::read(req.into_body())).await;
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
    // Errors are ignored: if the peer has disconnected, no one waits for this reply.
    if let Ok(mut stream) = respond.send_response(Response::new(()), false) {
        let _ = body::write(&mut stream, frame.into()).await;
    }
}
