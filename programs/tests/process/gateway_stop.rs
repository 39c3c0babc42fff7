//! Planned stops of `hemlockwind-gateway` processes.

use std::time::Duration;

use hemlockwind_emulator::caller;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::fleet::Fleet;

/// The time after which the platform kills a process that is stopping.
const GRACE: Duration = Duration::from_secs(8);
/// The number of events of a stream that takes about three seconds.
const EVENTS: u64 = 100;
/// How long its caller waits.
const WAIT: Duration = Duration::from_secs(5);

/// Starts a stream at the first instance and reads its first bytes.
async fn start_stream(fleet: &Fleet) -> (TcpStream, String) {
    let addr = fleet.instances[0].callers;
    let req = caller::request(addr, "/notes/a", "stream", WAIT, EVENTS).unwrap();
    let mut text = format!(
        "POST /notes/a HTTP/1.1\r\ncontent-length: {}\r\n",
        req.body().len()
    );
    for (name, value) in req.headers() {
        text.push_str(&format!("{name}: {}\r\n", value.to_str().unwrap()));
    }
    let mut tcp = TcpStream::connect(addr).await.unwrap();
    text.push_str("connection: close\r\n\r\n");
    tcp.write_all(text.as_bytes()).await.unwrap();
    tcp.write_all(req.body()).await.unwrap();
    let mut buf = [0; 4_096];
    let n = timeout(GRACE, tcp.read(&mut buf)).await.expect("an answer");
    let text = String::from_utf8_lossy(&buf[..n.unwrap()]).to_string();
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    (tcp, text)
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_signalled_again_cuts_nothing() {
    let mut fleet = Fleet::start("stop_signalled_again", 2).await;
    let (mut tcp, mut text) = start_stream(&fleet).await;
    for _ in 0..3 {
        fleet.instances[0].process.signal("TERM");
        sleep(Duration::from_millis(200)).await;
    }
    let mut rest = Vec::new();
    let read = timeout(GRACE, tcp.read_to_end(&mut rest)).await;
    read.expect("an end").unwrap();
    text.push_str(&String::from_utf8_lossy(&rest));
    assert!(text.contains(&format!("id: {EVENTS}\n")), "{text}");
    let status = fleet.instances[0].process.wait(GRACE).await;
    assert!(status.success(), "{status}");
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_interrupted_twice_ends_at_once() {
    let mut fleet = Fleet::start("stop_interrupted_twice", 2).await;
    let (_tcp, _text) = start_stream(&fleet).await;
    fleet.instances[0].process.signal("INT");
    sleep(Duration::from_millis(200)).await;
    fleet.instances[0].process.signal("INT");
    let status = fleet.instances[0]
        .process
        .wait(Duration::from_secs(1))
        .await;
    assert_eq!(status.code(), Some(1));
}
