//! Updates to other instances while manifests come faster than an instance receives them.
//!
//! Guards against the fault of `docs/incidents/saturated-links.md`: each update was sent at once, however
//! many were on their way, and an instance that did not receive one within the time of a call was skipped.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use parking_lot::Mutex;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use hemlockwind_gateway::Gateway;
use hemlockwind_gateway::peers::Instance;
use hemlockwind_gateway::updates;
use hemlockwind_peer::SharedKey;
use hemlockwind_peer::server;
use hemlockwind_platform::settings::Settings;
use hemlockwind_platform::store::Change;
use hemlockwind_platform::store::Object;
use hemlockwind_protocol::peer::Handler;
use hemlockwind_protocol::peer::Reply;
use hemlockwind_protocol::peer::Request;
use hemlockwind_protocol::peer::store::Answer;
use hemlockwind_protocol::peer::store::Kind;
use hemlockwind_protocol::peer::store::Message;
use hemlockwind_telemetry::logs;

/// The number of manifests.
const MANIFESTS: u64 = 30;
/// Interval between two manifests.
const INTERVAL: Duration = Duration::from_millis(10);
/// The time that the slow instance takes for an update: longer than a usual call may take.
const SLOW_TIME: Duration = Duration::from_millis(400);
/// The number of routes of a manifest.
const ROUTES: u64 = 12_000;

const SETTINGS: &str = r#"{ "nodeName": "front-a-1", "zone": "a",
    "listen": { "frontend": "127.0.0.1:1", "readyAddress": "127.0.0.1:2" },
    "internalPortRange": [3, 5], "bounds": {}, "limits": { "memoryMb": 260 },
    "platform": { "address": "127.0.0.1:9" } }"#;

/// `Slow` is an instance that takes a time for each update.
struct Slow {
    time: Duration,
    open: AtomicUsize,
    most_open: AtomicUsize,
    versions: Mutex<Vec<(u64, u64)>>,
}

impl Slow {
    fn new(time: Duration) -> Arc<Self> {
        Arc::new(Self {
            time,
            open: AtomicUsize::new(0),
            most_open: AtomicUsize::new(0),
            versions: Mutex::default(),
        })
    }

    fn newest(&self) -> Option<u64> {
        self.versions.lock().last().map(|(_, version)| *version)
    }
}

#[async_trait]
impl Handler for Slow {
    async fn handle(&self, _from: &str, req: Request) -> Reply {
        if let Request::Store(Message::Update(changes)) = req {
            let open = self.open.fetch_add(1, Ordering::SeqCst) + 1;
            self.most_open.fetch_max(open, Ordering::SeqCst);
            sleep(self.time).await;
            self.open.fetch_sub(1, Ordering::SeqCst);
            self.versions.lock().push((changes.after, changes.version));
        }
        Reply::Store(Answer::default())
    }
}

/// Starts an instance with this handler and returns it as listed.
async fn instance(name: &str, handler: Arc<Slow>) -> Instance {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr: SocketAddr = listener.local_addr().unwrap();
    let settings = Settings::parse(SETTINGS).unwrap();
    let key = SharedKey::new(settings.peer_key.as_bytes());
    tokio::spawn(server::serve(
        listener,
        key,
        handler,
        8_192,
        logs::discard(),
    ));
    Instance {
        name: name.into(),
        data_centre: "a".into(),
        addr,
        processor_share: 0.25,
        process: 1,
    }
}

/// Returns a manifest whose update is large also when it is compressed.
fn manifest(version: u64) -> Change {
    let routes: Vec<String> = (0..ROUTES)
        .map(|i| format!("{:032x}", (i + version).wrapping_mul(0x9E37_79B9_7F4A_7C15)))
        .collect();
    let content = json!({ "version": version, "names": routes });
    Change {
        object: Object::new("main".into(), content.to_string()).unwrap(),
        is_removed: false,
    }
}

/// Pushes manifests in quick succession, as an instance that watches the store.
async fn push_all(gateway: &Arc<Gateway>, receivers: &[Instance]) {
    for version in 1..=MANIFESTS {
        let changes = [manifest(version)];
        updates::push(
            gateway,
            receivers.to_vec(),
            Kind::Routes,
            version - 1,
            version,
            &changes,
        );
        sleep(INTERVAL).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn push_one_update_at_a_time_to_an_instance() {
    let gateway = Gateway::new(Settings::parse(SETTINGS).unwrap(), logs::discard());
    let gateway = Arc::new(gateway);
    let (fast, slow) = (Slow::new(Duration::ZERO), Slow::new(SLOW_TIME));
    let receivers = [
        instance("front-a-2", Arc::clone(&fast)).await,
        instance("front-a-3", Arc::clone(&slow)).await,
    ];
    for receiver in &receivers {
        gateway.peers.put(receiver.clone());
    }
    let started = Instant::now();
    push_all(&gateway, &receivers).await;
    let delivered = async {
        while slow.newest() != Some(MANIFESTS) || fast.newest() != Some(MANIFESTS) {
            sleep(Duration::from_millis(10)).await;
        }
    };
    let is_delivered = timeout(Duration::from_secs(5), delivered).await.is_ok();
    assert!(is_delivered, "the newest one arrives: {:?}", slow.newest());
    assert_eq!(slow.most_open.load(Ordering::SeqCst), 1);
    assert_eq!(fast.most_open.load(Ordering::SeqCst), 1);
    let received = slow.versions.lock().len();
    let most = started.elapsed().div_duration_f64(SLOW_TIME) as usize;
    assert!(received <= most, "{received} updates, {most} fit");
    assert!(received < MANIFESTS as usize / 2, "{received} updates");
    let fast_received = fast.versions.lock().len();
    assert!(
        fast_received > received,
        "it does not wait for the slow one"
    );
    assert!(
        slow.versions.lock().iter().all(|(after, _)| *after == 0),
        "whole manifests"
    );
    // It is slow, and it answers.
    assert_eq!(gateway.peers.all().len(), 2);
}
