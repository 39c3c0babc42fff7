//! One odd entry in an answer of the platform affects no other.
//!
//! Guards against the fault of `docs/incidents/odd-names.md`: an entry of another writer that can't be
//! read ended the whole list, or the watch.

use std::net::SocketAddr;

use futures::StreamExt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use hemlockwind_backend::platform::HttpPlatform;
use hemlockwind_core::edges::ObjectVersion;
use hemlockwind_core::edges::Platform;
use hemlockwind_core::edges::WatchEvent;

/// Starts a platform that answers each call with `body`.
async fn serve(body: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut tcp, _)) = listener.accept().await {
            let mut buf = [0; 4_096];
            let _ = tcp.read(&mut buf).await;
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
                body.len()
            );
            let _ = tcp.write_all(head.as_bytes()).await;
            let _ = tcp.write_all(&body).await;
        }
    });
    addr
}

/// Joins parts, of which each is an odd entry but the first and the last.
fn between(first: &str, odd: &[&[u8]], last: &str, separator: &[u8]) -> Vec<u8> {
    let mut parts = vec![first.as_bytes()];
    parts.extend(odd);
    parts.push(last.as_bytes());
    parts.join(separator)
}

#[tokio::test]
async fn instances_odd_entries_are_skipped() {
    let nested = format!("{}{}", "[".repeat(300), "]".repeat(300));
    let entry = |name: &str| {
        format!(
            r#"{{"name":"{name}","data_centre":"east","addr":"10.0.0.1:80","kind":"instance","state":"live"}}"#
        )
    };
    let odd: [&[u8]; 9] = [
        b"null",
        b"{}",
        b"7",
        nested.as_bytes(),
        br#"{"name":"x","data_centre":"east","addr":"nowhere","kind":"instance","state":"live"}"#,
        br#"{"name":"x","data_centre":"east","addr":"10.0.0.1:80","kind":"lamp","state":"live"}"#,
        br#"{"name":"x","data_centre":"east","addr":"10.0.0.1:80","kind":"instance","state":3}"#,
        br#"{"name":"\ud800","data_centre":"east","addr":"10.0.0.1:80","kind":"instance","state":"live"}"#,
        b"{\"name\":\"\xFF\xFE\",\"data_centre\":\"east\",\"addr\":\"10.0.0.1:80\",\"kind\":\"instance\",\"state\":\"live\"}",
    ];
    let mut body = b"{\"instances\":[".to_vec();
    body.extend(between(&entry("é"), &odd, &entry("z"), b","));
    body.extend(b"]}");
    let platform = HttpPlatform::new(serve(body).await);
    let found = platform.instances().await.unwrap();
    let names: Vec<&str> = found.iter().map(|e| e.name.as_str()).collect();
    assert_eq!(names, ["é", "z"]);
}

/// Returns objects that another writer left.
const ODD_OBJECTS: [&[u8]; 5] = [
    b"{}",
    br#"{"name":"x","version":1,"value":"%"}"#,
    br#"{"name":"x","version":-1,"value":"AAAA"}"#,
    br#"{"name":"x","version":18446744073709551615,"value":"AAAA"}"#,
    b"{\"name\":\"\xFF\",\"version\":1,\"value\":\"AAAA\"}",
];

#[tokio::test]
async fn list_odd_objects_are_skipped() {
    let object = |name: &str| format!(r#"{{"name":"{name}","version":1,"value":"AAAA"}}"#);
    let mut body = b"{\"objects\":[".to_vec();
    body.extend(between(&object("a"), &ODD_OBJECTS, &object("z"), b","));
    body.extend(b"]}");
    let platform = HttpPlatform::new(serve(body).await);
    let found = platform.list("").await.unwrap();
    let names: Vec<&str> = found.iter().map(|o| o.name.as_str()).collect();
    assert_eq!(names, ["a", "z"]);
}

#[tokio::test]
async fn watch_odd_lines_are_skipped() {
    let put = |name: &str| format!(r#"{{"put":{{"name":"{name}","version":1,"value":"AAAA"}}}}"#);
    let odd = ODD_OBJECTS.map(|o| [b"{\"put\":", o, b"}"].concat());
    let mut odd: Vec<&[u8]> = odd.iter().map(Vec::as_slice).collect();
    odd.extend([&b"\"bookmarks\""[..], b"", b"{", b"\xFF\xFE"]);
    let mut body = between(&put("a"), &odd, &put("z"), b"\r\n");
    body.extend(b"\n");
    let platform = HttpPlatform::new(serve(body).await);
    let events = platform.watch("", ObjectVersion(0)).await.unwrap();
    let events: Vec<_> = events.collect().await;
    let names = events.iter().map(|event| match event {
        Ok(WatchEvent::Put(object)) => object.name.as_str(),
        other => panic!("{other:?}"),
    });
    assert_eq!(names.collect::<Vec<_>>(), ["a", "z"]);
}
