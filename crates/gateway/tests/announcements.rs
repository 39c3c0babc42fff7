//! What servers announce holds for one process of a server.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::StatusCode;

use hemlockwind_core::servers::BackendServer;
use hemlockwind_core::servers::ServerState;
use hemlockwind_gateway::Gateway;
use hemlockwind_gateway::announcements;
use hemlockwind_platform::headers::ServerHeaders;
use hemlockwind_platform::settings::Settings;
use hemlockwind_telemetry::logs;

const SETTINGS: &str = r#"{ "nodeName": "front-a-1", "zone": "a",
    "listen": { "frontend": "127.0.0.1:1", "readyAddress": "127.0.0.1:2" },
    "internalPortRange": [3, 5], "bounds": {}, "limits": { "memoryMb": 260 },
    "platform": { "address": "127.0.0.1:9" } }"#;

fn process(born_ms: u64) -> BackendServer {
    BackendServer {
        id: "server".into(),
        service: "ledger".into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        data_centre: "a".into(),
        version: "v1".into(),
        state: ServerState::Ready,
        slots: 6,
        card: None,
        layers: None,
        born_ms,
    }
}

/// Guards against a late answer of the process before that shortens, or ends, the pause of a server.
#[tokio::test]
async fn pause_of_a_later_process_stays() {
    let gateway = Gateway::new(Settings::parse(SETTINGS).unwrap(), logs::discard());
    let gateway = Arc::new(gateway);
    let refuse = |born_ms: u64, seconds: &str| {
        let mut headers = HeaderMap::new();
        headers.insert("retry-after", seconds.parse().unwrap());
        let answered = ServerHeaders::read(&headers);
        let status = StatusCode::SERVICE_UNAVAILABLE;
        announcements::record(&gateway, &process(born_ms), status, &answered);
    };
    let rest = |born_ms| gateway.pauses.rest(gateway.now(), &process(born_ms));
    refuse(4, "10");
    assert!(rest(4).is_some());
    assert!(rest(5).is_none(), "the next process");
    refuse(5, "20");
    refuse(4, "60");
    refuse(5, "1");
    let rest = rest(5).expect("it still pauses");
    assert!(rest > Duration::from_secs(10) && rest <= Duration::from_secs(20));
}
