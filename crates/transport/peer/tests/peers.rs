//! Connections between instances: with the right key, with a wrong key, without a proof, with
//! data that is not HTTP/2, and to a server that does not answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use hemlockwind_core::Error;
use hemlockwind_core::attempt::Attempt;
use hemlockwind_peer::H2Peer;
use hemlockwind_peer::SharedKey;
use hemlockwind_peer::server;
use hemlockwind_protocol::peer::Handler;
use hemlockwind_protocol::peer::Peer;
use hemlockwind_protocol::peer::Reply;
use hemlockwind_protocol::peer::Request;
use hemlockwind_protocol::peer::configuration::Message;
use hemlockwind_protocol::peer::paths;
use hemlockwind_protocol::peer::paths::AdmissionRequest;
use hemlockwind_protocol::peer::paths::PathRequest;

/// How long a message about paths waits for its answer, as in a queue.
const QUEUE_WAIT: Duration = Duration::from_millis(600);

/// `Echo` returns configuration messages unchanged and counts all requests.
#[derive(Default)]
struct Echo {
    handled: AtomicUsize,
    /// The name of the last sender.
    from: Mutex<String>,
}

#[async_trait]
impl Handler for Echo {
    async fn handle(&self, from: &str, req: Request) -> Reply {
        *self.from.lock().unwrap() = from.to_string();
        self.handled.fetch_add(1, Ordering::SeqCst);
        match req {
            Request::Configuration(message) => Reply::Configuration(message),
            Request::Membership(_)
            | Request::QueueReport(_)
            | Request::Grants(_)
            | Request::Dispatch(_)
            | Request::Store(_)
            | Request::Quarantine(_) => Reply::Done,
            Request::Paths(_) => {
                tokio::time::sleep(QUEUE_WAIT).await;
                Reply::Done
            }
        }
    }
}

/// Returns a request for a path that may start after `latest_ms`.
fn path_request(latest_ms: u32) -> PathRequest {
    PathRequest {
        number: 1,
        data_centre: "a".into(),
        organisation: "o".into(),
        rank: 0,
        tokens: 900,
        on_time_ms: latest_ms,
        latest_ms,
        may_wait: true,
    }
}

/// Starts a server with the key `right` and enough descriptors for the most connections without a
/// proof.
async fn serve() -> (SocketAddr, Arc<Echo>) {
    serve_with_files(8_192).await
}

async fn serve_with_files(open_files: usize) -> (SocketAddr, Arc<Echo>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let echo = Arc::new(Echo::default());
    let handler: Arc<dyn Handler> = echo.clone();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    tokio::spawn(server::serve(
        listener,
        SharedKey::new("right"),
        handler,
        open_files,
        log,
    ));
    (addr, echo)
}

/// Returns a message with `len` bytes of payload.
fn message(len: usize) -> Request {
    Request::Configuration(Message::Chunks(vec![vec![1; len]]))
}

#[tokio::test]
async fn call_right_key() {
    let (addr, echo) = serve().await;
    let peer = H2Peer::new("a", SharedKey::new("right"));
    // The longest message spans many h2 frames.
    for len in [0, 10, 3_000_000] {
        let reply = peer.call(addr, message(len)).await.unwrap();
        let Reply::Configuration(Message::Chunks(chunks)) = reply else {
            panic!("the reply is not a configuration message");
        };
        assert_eq!(chunks, [vec![1; len]]);
    }
    assert_eq!(echo.handled.load(Ordering::SeqCst), 3);
}

// Guards against a panic: a sender names itself in a header, and its name comes from its settings.
#[tokio::test]
async fn call_from_an_instance_of_any_name() {
    let (addr, echo) = serve().await;
    for name in [
        "front-a-1",
        "a b",
        "a%41",
        "a&+#",
        "ä",
        "a\u{1}\n\u{7f}",
        "\u{1F980}",
        " a ",
    ] {
        let peer = H2Peer::new(name, SharedKey::new("right"));
        let reply = peer.call(addr, message(1)).await;
        assert!(reply.is_ok(), "{name:?}: {reply:?}");
        assert_eq!(*echo.from.lock().unwrap(), name);
    }
}

/// Guards against requests for paths that are given up while they may still wait in a queue: the
/// connection was reset after the 250 ms of other messages, and the queue owner became a suspect.
#[tokio::test]
async fn call_waits_in_the_queue_of_the_owner() {
    let (addr, _) = serve().await;
    let peer = H2Peer::new("a", SharedKey::new("right"));
    let request = path_request(1_800);
    let admission = AdmissionRequest {
        request: request.clone(),
        fingerprint: None,
        deadline_ms: 20_000,
        route_rank: 0,
    };
    let messages = [
        paths::Message::PathRequest("s".into(), request),
        paths::Message::AdmissionRequest("s".into(), admission),
    ];
    for message in messages {
        let reply = peer.call(addr, Request::Paths(message)).await;
        assert_eq!(reply.unwrap(), Reply::Done);
    }
}

#[tokio::test]
async fn call_wrong_key() {
    let (addr, echo) = serve().await;
    let peer = H2Peer::new("a", SharedKey::new("wrong"));
    let (attempt, error) = peer.call(addr, message(1)).await.unwrap_err();
    assert_eq!((attempt, error), (Attempt::Unsent, Error::PeerKey));
    assert_eq!(echo.handled.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn call_without_proof() {
    let (addr, echo) = serve().await;
    let tcp = TcpStream::connect(addr).await.unwrap();
    let (send, connection) = h2::client::handshake(tcp).await.unwrap();
    let connection = tokio::spawn(connection);
    for path in ["/call", "/call", "/call"] {
        let Ok(mut send) = send.clone().ready().await else {
            break;
        };
        let req = http::Request::post(format!("http://peer{path}"))
            .body(())
            .unwrap();
        let Ok((answer, mut stream)) = send.send_request(req, false) else {
            break;
        };
        let frame = hemlockwind_protocol::peer::encode(&message(1)).unwrap();
        let _ = stream.send_data(bytes::Bytes::from(frame), true);
        let _ = answer.await;
    }
    connection.abort();
    assert_eq!(echo.handled.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn connect_garbage() {
    let (addr, echo) = serve().await;
    let mut tcp = TcpStream::connect(addr).await.unwrap();
    tcp.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    let mut buf = Vec::new();
    let _ = tokio::time::timeout(Duration::from_secs(5), tcp.read_to_end(&mut buf))
        .await
        .unwrap();
    // The server still accepts other connections.
    let peer = H2Peer::new("a", SharedKey::new("right"));
    assert!(peer.call(addr, message(1)).await.is_ok());
    assert_eq!(echo.handled.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn connect_silent() {
    // The listener completes TCP connections, but nothing answers on them.
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let peer = H2Peer::new("a", SharedKey::new("right"));
    let begin = Instant::now();
    let (attempt, _) = peer.call(addr, message(1)).await.unwrap_err();
    assert_eq!(attempt, Attempt::Unsent);
    assert!(begin.elapsed() < Duration::from_secs(2));
}

// Guards against a stranger that makes an instance hold what it sends before it is authenticated:
// pings, header fields and streams were processed for the whole second that it has for a proof.
#[tokio::test]
async fn call_beside_strangers_that_send_much() {
    let (addr, _) = serve().await;
    let mut strangers = Vec::new();
    for _ in 0..50 {
        let mut tcp = TcpStream::connect(addr).await.unwrap();
        let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";
        tcp.write_all(preface).await.unwrap();
        // The stranger may be closed while it writes.
        let _ = tcp
            .write_all(&b"\0\0\x08\x06\0\0\0\0\0pingping".repeat(1_000))
            .await;
        strangers.push(tcp);
    }
    let closed = async {
        for tcp in &mut strangers {
            let _ = tcp.read_to_end(&mut Vec::new()).await;
        }
    };
    let closed = tokio::time::timeout(Duration::from_millis(800), closed).await;
    assert!(
        closed.is_ok(),
        "strangers are closed before their time is over"
    );
    let peer = H2Peer::new("a", SharedKey::new("right"));
    assert!(peer.call(addr, message(3_000_000)).await.is_ok());
}

// Guards against silent strangers that use up the descriptors of an instance.
#[tokio::test]
async fn call_beside_many_silent_strangers() {
    let (addr, _) = serve().await;
    let mut strangers = Vec::new();
    let started = Instant::now();
    for _ in 0..600 {
        strangers.push(TcpStream::connect(addr).await.unwrap());
    }
    let peer = H2Peer::new("a", SharedKey::new("right"));
    assert!(peer.call(addr, message(10)).await.is_ok());
    let mut received = Vec::new();
    let closed = strangers[0].read_to_end(&mut received);
    let closed = tokio::time::timeout(Duration::from_millis(100), closed).await;
    assert!(closed.is_ok(), "the oldest one is closed for a newer one");
    assert!(started.elapsed() < Duration::from_millis(900));
}

// Guards against strangers that use all descriptors of a process that may open few.
#[tokio::test]
async fn serve_keeps_strangers_to_a_share_of_the_descriptors() {
    let (addr, _) = serve_with_files(320).await;
    let mut strangers = Vec::new();
    for _ in 0..50 {
        strangers.push(TcpStream::connect(addr).await.unwrap());
    }
    let peer = H2Peer::new("a", SharedKey::new("right"));
    assert!(peer.call(addr, message(10)).await.is_ok());
    let mut open = 0;
    for tcp in &mut strangers {
        let mut received = Vec::new();
        let closed = tcp.read_to_end(&mut received);
        let closed = tokio::time::timeout(Duration::from_millis(5), closed).await;
        open += usize::from(closed.is_err());
    }
    assert!(open <= 20, "{open} are open");
}

/// Forwards one connection to `to` and counts the bytes in both directions.
async fn counting_proxy(to: SocketAddr) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let bytes = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&bytes);
    tokio::spawn(async move {
        let (mut client, _) = listener.accept().await.unwrap();
        let mut server = TcpStream::connect(to).await.unwrap();
        let (mut up, mut down) = ([0; 16 << 10], [0; 16 << 10]);
        loop {
            tokio::select! {
                n = client.read(&mut up) => {
                    let n = n.unwrap_or_default();
                    count.fetch_add(n, Ordering::SeqCst);
                    server.write_all(&up[..n]).await.unwrap();
                }
                n = server.read(&mut down) => {
                    let n = n.unwrap_or_default();
                    count.fetch_add(n, Ordering::SeqCst);
                    client.write_all(&down[..n]).await.unwrap();
                }
            }
        }
    });
    (addr, bytes)
}

// Guards against messages that take a link of a few Mbit/s for longer than other messages may wait:
// manifests are text with many repetitions.
#[tokio::test]
async fn call_large_message_is_compressed() {
    let (addr, _) = serve().await;
    let (addr, bytes) = counting_proxy(addr).await;
    let peer = H2Peer::new("a", SharedKey::new("right"));
    let req = message(1_000_000);
    let reply = peer.call(addr, req).await.unwrap();
    assert!(matches!(reply, Reply::Configuration(Message::Chunks(c)) if c[0].len() == 1_000_000));
    // The message and its reply.
    let sent = bytes.load(Ordering::SeqCst);
    assert!(sent < 100_000, "{sent} bytes");
}

// Guards against a compressed message that is larger than the limit on messages.
#[tokio::test]
async fn call_message_beyond_the_limit_is_refused() {
    let (addr, echo) = serve().await;
    let peer = H2Peer::new("a", SharedKey::new("right"));
    let reply = peer.call(addr, message(5 << 20)).await;
    assert!(!matches!(reply, Ok(Reply::Configuration(_))), "{reply:?}");
    assert_eq!(echo.handled.load(Ordering::SeqCst), 0);
}
