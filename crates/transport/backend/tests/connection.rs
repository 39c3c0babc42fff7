//! Responses are read whole, and servers that send bytes without end use little memory of the instance.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use hemlockwind_backend::connection::Connections;
use hemlockwind_backend::connection::Protocol;
use hemlockwind_backend::connection::get;

/// The number of bytes of each response that are sent. Nothing follows them.
const SENT_BYTES: usize = 4 << 20;

/// Starts a server whose responses announce a large body and stop after a part of it.
async fn serve() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut tcp, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buf = [0; 1_024];
                let _ = tcp.read(&mut buf).await;
                let head = "HTTP/1.1 200 OK\r\ncontent-length: 8000000\r\n\r\n";
                let _ = tcp.write_all(head.as_bytes()).await;
                let _ = tcp.write_all(&vec![b'x'; SENT_BYTES]).await;
                let _ = tcp.read(&mut buf).await;
            });
        }
    });
    addr
}

// Guards against the report of issue 36 on bytes without end, in hemlockwindd: each response was
// bounded, but not all of them together.
#[tokio::test(flavor = "multi_thread")]
async fn exchange_many_endless_responses() {
    let addr = serve().await;
    let connections = Connections::new(Protocol::Http1);
    let exchanges = (0..40).map(|_| async {
        let response = connections.exchange(addr, get(addr, "/").unwrap(), Duration::from_secs(4));
        response.await.unwrap_err().1.to_string()
    });
    let errors = futures::future::join_all(exchanges).await;
    // 40 times 4 MiB don't fit into 64 MiB; what is refused doesn't wait for the time limit.
    let refused = errors.iter().filter(|e| e.contains("no memory")).count();
    assert!(refused >= 20, "{refused} refused, {:?}", errors.first());
}

/// Returns a body whose bytes differ from those at the same place of the pieces before.
fn body(length: usize) -> Vec<u8> {
    (0..length).map(|i| (i % 251) as u8).collect()
}

/// Starts a server whose response has as many bytes as the path says, sent in parts of odd sizes.
async fn serve_whole() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut tcp, _)) = listener.accept().await {
            let mut buf = [0; 1_024];
            let n = tcp.read(&mut buf).await.unwrap();
            let head = String::from_utf8_lossy(&buf[..n]).into_owned();
            let path = head.split(' ').nth(1).unwrap();
            let length: usize = path[1..].parse().unwrap();
            let head =
                format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n");
            tcp.write_all(head.as_bytes()).await.unwrap();
            for part in body(length).chunks(9_973) {
                tcp.write_all(part).await.unwrap();
                tokio::task::yield_now().await;
            }
        }
    });
    addr
}

#[tokio::test(flavor = "multi_thread")]
async fn exchange_returns_responses_of_all_sizes_whole() {
    let addr = serve_whole().await;
    let connections = Connections::new(Protocol::Http1);
    let piece = 64 << 10;
    let near = |n: usize| [n - 1, n, n + 1];
    let sizes = [0, 1, 8_191, 16_384, 200_000, 3_000_000];
    let sizes = sizes.into_iter().chain(near(piece));
    for length in sizes.chain(near(2 * piece)).chain(near(3 * piece)) {
        let request = get(addr, &format!("/{length}")).unwrap();
        let response = connections.exchange(addr, request, Duration::from_secs(4));
        let received = response.await.map_err(|e| e.1.to_string()).unwrap();
        assert!(received.body() == &body(length), "{length}");
    }
}
