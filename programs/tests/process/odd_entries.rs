//! Entries of another writer in the list of backend servers, under names of their own, while all
//! instances are restarted.
//!
//! Guards against the fault of `docs/incidents/odd-names.md`: while a page of the list ended with such
//! an entry, restarted instances served almost no request.

use std::time::Duration;

use hemlockwind_emulator::caller;
use hemlockwind_emulator::store::MAX_PAGE_OBJECTS;
use hemlockwind_emulator::store::UNREADABLE;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::fleet::Fleet;

/// The platform's bound on the time from a restart of all processes until requests are served.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// How long a caller waits.
const WAIT: Duration = Duration::from_millis(1_500);
/// The number of requests to each instance.
const REQUESTS: usize = 20;

/// Sends a request to the instance at `index`. Returns whether it is served.
async fn is_served(fleet: &Fleet, index: usize, attempt: &str) -> bool {
    let addr = fleet.instances[index].callers;
    let req = caller::request(addr, "/reads/a", attempt, WAIT, 1).unwrap();
    let mut text = format!(
        "POST /reads/a HTTP/1.1\r\nconnection: close\r\ncontent-length: {}\r\n",
        req.body().len()
    );
    for (name, value) in req.headers() {
        text.push_str(&format!("{name}: {}\r\n", value.to_str().unwrap()));
    }
    text.push_str("\r\n");
    let exchange = async {
        let mut tcp = TcpStream::connect(addr).await?;
        tcp.write_all(text.as_bytes()).await?;
        tcp.write_all(req.body()).await?;
        let mut answer = Vec::new();
        tcp.read_to_end(&mut answer).await?;
        std::io::Result::Ok(answer)
    };
    let answer = timeout(WAIT * 2, exchange).await;
    matches!(answer, Ok(Ok(answer)) if answer.starts_with(b"HTTP/1.1 200 "))
}

/// Returns the number of requests that all instances together serve.
async fn count_served(fleet: &Fleet, name: &str) -> usize {
    let mut served = 0;
    for index in 0..fleet.instances.len() {
        for number in 0..REQUESTS {
            let attempt = format!("{name}-{index}-{number}");
            served += usize::from(is_served(fleet, index, &attempt).await);
        }
    }
    served
}

/// Checks that requests are served after all processes were killed and started again while pages of
/// the list of backend servers hold nothing but entries whose names begin with one of `names`.
async fn check_restart(test: &str, names: &[&str]) {
    let mut fleet = Fleet::start(test, 2).await;
    for (page, odd) in names.iter().enumerate() {
        for i in 0..MAX_PAGE_OBJECTS {
            // All these names are before those of the servers.
            let name = format!("{page}-{odd}-{i:03}");
            fleet.site.store.write("servers", &name, json!({}));
        }
    }
    sleep(Duration::from_secs(1)).await;
    let all = REQUESTS * fleet.instances.len();
    assert_eq!(count_served(&fleet, "before").await, all);
    for instance in &mut fleet.instances {
        instance.process.kill();
    }
    for instance in &mut fleet.instances {
        instance.restart();
    }
    sleep(RECOVERY_TIME).await;
    assert_eq!(count_served(&fleet, "after").await, all);
}

#[tokio::test(flavor = "multi_thread")]
async fn restart_beside_names_with_characters_of_uris() {
    let names = ["x&y", "x+y", "x#y", "x%41", "x y", "x\u{1}y", "é"];
    check_restart("names-of-uris", &names).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn restart_beside_unreadable_names() {
    check_restart("unreadable-names", &[&format!("x{UNREADABLE}")]).await;
}
