//! The platform's conditional writes, watches and faults.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt as _;
use hemlockwind::backend::platform::HttpPlatform;
use hemlockwind_core::edges;
use hemlockwind_core::edges::ObjectVersion;
use hemlockwind_core::edges::Platform as _;
use hemlockwind_core::edges::PutOutcome;
use hemlockwind_protocol::platform::Object;
use hemlockwind_protocol::platform::Precondition;
use hemlockwind_protocol::platform::WatchLine;
use hemlockwind_protocol::platform::Write;
use hemlockwind_protocol::platform::Written;
use hemlockwind_standin::platform;
use hemlockwind_standin::platform::Faults;
use hemlockwind_standin::platform::Options;
use hemlockwind_standin::platform::Outage;
use http::Method;
use http::StatusCode;
use http_body_util::BodyExt as _;
use http_body_util::Empty;
use hyper_util::client::legacy::Client as Http;
use hyper_util::rt::TokioExecutor;

use crate::client::Client;

async fn write(
    client: &Client,
    name: &str,
    when: Precondition,
) -> Result<(StatusCode, Bytes), String> {
    let value = "AAAA".to_owned();
    let path = format!("/v1/objects/{name}");
    client
        .json(Method::PUT, &path, &Write { value, when })
        .await
}

#[tokio::test]
async fn write_precondition_enforced() {
    let platform = platform::start(Options::default()).await.unwrap();
    let client = Client::new(platform.addr);
    let first = write(&client, "a/b", Precondition::Absent).await.unwrap();
    let first: Written = serde_json::from_slice(&first.1).unwrap();
    write(&client, "c", Precondition::None).await.unwrap();
    let tries = [
        (Precondition::Absent, StatusCode::CONFLICT),
        (
            Precondition::Version(first.version + 1),
            StatusCode::CONFLICT,
        ),
        (Precondition::Version(first.version), StatusCode::OK),
        (Precondition::Version(first.version), StatusCode::CONFLICT),
    ];
    for (when, expected) in tries {
        assert_eq!(write(&client, "a/b", when).await.unwrap().0, expected);
    }
    let object: Object = client.get("/v1/objects/a/b").await;
    assert_eq!(object.version, 3);
}

#[tokio::test]
async fn write_answer_lost_takes_effect() {
    let platform = platform::start(Options::default()).await.unwrap();
    let client = Client::new(platform.addr);
    platform.state.set_faults(Faults {
        lose_answers: 1,
        ..Faults::default()
    });
    let lost = write(&client, "lease", Precondition::Absent).await;
    assert!(lost.is_err(), "{lost:?}");
    let object: Object = client.get("/v1/objects/lease").await;
    assert_eq!(object.version, 1);
    let again = write(&client, "lease", Precondition::Absent).await;
    assert_eq!(again.unwrap().0, StatusCode::CONFLICT);
}

#[tokio::test]
async fn call_outage_or_over_rate_no_effect() {
    let platform = platform::start(Options::default()).await.unwrap();
    let client = Client::new(platform.addr);
    let expected = [
        (
            Some(Outage::Refuse),
            None,
            Some(StatusCode::SERVICE_UNAVAILABLE),
        ),
        (Some(Outage::Reset), None, None),
        (None, Some(0), Some(StatusCode::TOO_MANY_REQUESTS)),
    ];
    for (outage, writes_per_s, status) in expected {
        platform.state.set_faults(Faults {
            outage,
            writes_per_s,
            ..Faults::default()
        });
        let answer = write(&client, "x", Precondition::None).await;
        assert_eq!(answer.ok().map(|(status, _)| status), status);
    }
    assert_eq!(platform.state.get("x"), None);
    let calls = platform.state.calls();
    assert_eq!((calls.writes >= 3, calls.over_rate), (true, 1));
}

/// Reads a watch until version `last` and a bookmark; returns the versions of all puts.
async fn watch(addr: SocketAddr, from: u64, last: u64) -> Vec<u64> {
    let http = Http::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let uri = format!("http://{addr}/v1/watch?prefix=w/&from={from}");
    let mut body = http.get(uri.parse().unwrap()).await.unwrap().into_body();
    let mut text = Vec::new();
    loop {
        let end = text.iter().rposition(|&byte| byte == b'\n');
        let lines = text[..end.unwrap_or(0)].split(|&byte| byte == b'\n');
        let lines = lines.filter(|line| !line.is_empty());
        let lines: Vec<WatchLine> = lines
            .map(|line| serde_json::from_slice(line).unwrap())
            .collect();
        let has_bookmark = lines.contains(&WatchLine::Bookmark);
        let puts = lines.into_iter().filter_map(|line| match line {
            WatchLine::Put(object) => Some(object.version),
            WatchLine::Delete(_) | WatchLine::Bookmark => None,
        });
        let puts: Vec<u64> = puts.collect();
        if has_bookmark && puts.contains(&last) {
            return puts;
        }
        let frame = body.frame().await.expect("the watch stays open").unwrap();
        text.extend_from_slice(&frame.into_data().unwrap());
    }
}

#[tokio::test]
async fn watch_sends_all_but_dropped() {
    let platform = platform::start(Options::default()).await.unwrap();
    let client = Client::new(platform.addr);
    for name in ["w/1", "w/2", "v/3"] {
        write(&client, name, Precondition::None).await.unwrap();
    }
    let watching = tokio::spawn(watch(platform.addr, 1, 5));
    while platform.state.calls().watches_open == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let watch_drop = 1;
    platform.state.set_faults(Faults {
        watch_drop,
        ..Faults::default()
    });
    for name in ["w/4", "w/5", "v/6"] {
        write(&client, name, Precondition::None).await.unwrap();
    }
    assert_eq!(watching.await.unwrap(), [2, 5]);
}

// Guards against a conditional write that a version of before a restore satisfies: the platform issues
// the lost versions again.
#[tokio::test]
async fn restore_ends_what_is_of_the_older_era() {
    let platform = platform::start(Options::default()).await.unwrap();
    let client = HttpPlatform::new(platform.addr);
    let version = |era, revision| ObjectVersion::new(era, revision).unwrap();
    let put = async |when| client.put("lease", Bytes::from_static(b"x"), when).await;
    let first = put(edges::Precondition::Absent).await;
    assert_eq!(first, PutOutcome::Done(version(0, 1)));
    let second = put(edges::Precondition::Version(version(0, 1))).await;
    assert_eq!(second, PutOutcome::Done(version(0, 2)));
    let mut watch = client.watch("", version(0, 2)).await.unwrap();
    platform.state.restore(1);
    while watch.next().await.is_some_and(|event| event.is_ok()) {}
    // The client does not know of the restore yet.
    assert_eq!(
        put(edges::Precondition::Version(version(0, 2))).await,
        PutOutcome::Conflict
    );
    assert_eq!(client.era(), 1);
    assert_eq!(
        client.get("lease").await.unwrap().unwrap().version,
        version(1, 1)
    );
    assert!(client.watch("", version(0, 1)).await.is_err());
    // The platform would accept the revision, but it is that of another state.
    assert_eq!(
        put(edges::Precondition::Version(version(0, 1))).await,
        PutOutcome::Conflict
    );
    assert_eq!(
        client.get("lease").await.unwrap().unwrap().version,
        version(1, 1)
    );
    let third = put(edges::Precondition::Version(version(1, 1))).await;
    assert_eq!(third, PutOutcome::Done(version(1, 2)));
    platform.state.restore(0);
    // The revision is the same, and the write takes effect, but shows that the era is another one.
    let late = put(edges::Precondition::Version(version(1, 2))).await;
    assert!(matches!(late, PutOutcome::Unknown(_)), "{late:?}");
}

// Names hold those of data centres, which come from the settings.
#[tokio::test]
async fn objects_of_any_name_are_written_and_read() {
    let platform = platform::start(Options::default()).await.unwrap();
    let client = HttpPlatform::new(platform.addr);
    for part in [
        "a b", "a&b", "a?b", "a#b", "a+b", "a%41", "a\u{1}", "é", "a\\\"<>",
    ] {
        let name = format!("slots/{part}/1");
        let value = Bytes::from(part.to_string());
        let put = client.put(&name, value.clone(), edges::Precondition::Absent);
        let put = put.await;
        assert!(matches!(put, PutOutcome::Done(_)), "{name}: {put:?}");
        let found = client.get(&name).await.unwrap().unwrap();
        assert_eq!((found.name, found.value), (name.clone(), value));
        let listed = client.list(&name).await.unwrap();
        assert_eq!(listed.len(), 1, "{name}");
        let watch = client.watch(&name, ObjectVersion(0)).await.unwrap();
        let first = watch.take(1).collect::<Vec<_>>().await;
        let first = first.into_iter().next().unwrap().unwrap();
        assert!(matches!(first, edges::WatchEvent::Put(o) if o.name == name));
    }
    let long = "x".repeat(70_000);
    assert_eq!(client.get(&long).await.unwrap_err().code().number(), 1002);
}
