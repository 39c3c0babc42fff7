//! Reroutes that wait for a batch are answered, and the queue owner's record is right after an answer
//! that was not read.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use futures::FutureExt;
use parking_lot::Mutex;
use slotmap::SlotMap;
use tokio::net::TcpListener;
use tokio::time::timeout;

use hemlockwind_backend::clock::SystemClock;
use hemlockwind_core::collections::SeededHashMap;
use hemlockwind_core::edges::Clock;
use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::names::InstanceKey;
use hemlockwind_core::names::Rank;
use hemlockwind_core::servers::BackendServer;
use hemlockwind_core::servers::Card;
use hemlockwind_core::servers::EngineModel;
use hemlockwind_core::servers::ServerState;
use hemlockwind_gateway::Gateway;
use hemlockwind_gateway::peers::Instance;
use hemlockwind_gateway::queue_owners::PathRequest;
use hemlockwind_gateway::queue_owners::local::LocalQueue;
use hemlockwind_gateway::queue_owners::local::SharedQueue;
use hemlockwind_gateway::queue_owners::local::reroute_in_batch;
use hemlockwind_paths::Engines;
use hemlockwind_paths::QueueEntryId;
use hemlockwind_paths::QueueOwner;
use hemlockwind_paths::queue_owner::Crossing;
use hemlockwind_paths::queue_owner::Held;
use hemlockwind_paths::queue_owner::Reroute;
use hemlockwind_paths::reroutes::PendingReroute;
use hemlockwind_peer::SharedKey;
use hemlockwind_peer::server;
use hemlockwind_platform::settings::Settings;
use hemlockwind_protocol::peer::Handler;
use hemlockwind_protocol::peer::Reply;
use hemlockwind_protocol::peer::Request;
use hemlockwind_protocol::peer::paths as message;
use hemlockwind_tasks::Tasks;
use hemlockwind_telemetry::logs;

/// How long an instance waits for the answer of a queue owner.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Returns two engines that each hold the whole model.
fn engines() -> Engines {
    let mut cards: SeededHashMap<Arc<str>, Card> = SeededHashMap::default();
    let card = Card {
        memory_bytes: 36e9,
        step_factor: 16.0,
        prefill_factor: 8.2,
    };
    cards.insert("big".into(), card);
    let model = EngineModel {
        layers: 8,
        layer_bytes: 1.75e9,
        kv_token_bytes: 59_000.0,
        activation_bytes: 29_500.0,
        link_bits_per_s: 9e9,
        step_ms: 0.85,
        step_request_ms: 0.003_82,
        step_context_ms: 0.005_12,
        prefill_tokens_per_s: 196_000.0,
        load_time: Duration::from_secs(14),
        loads_at_once: 6,
        mean_prompt_tokens: 772.0,
        mean_answer_tokens: 172.0,
        cards,
    };
    let entries = (0..2).map(|i| BackendServer {
        id: format!("e{i}").into(),
        service: "drafts".into(),
        addr: ([10, 0, 0, i + 1], 80).into(),
        data_centre: "a".into(),
        version: "v1".into(),
        state: ServerState::Ready,
        slots: 192,
        card: Some("big".into()),
        layers: LayerRange::new(0, 8).ok(),
        born_ms: 1,
    });
    let entries: Vec<BackendServer> = entries.collect();
    let mut engines = Engines::new(Arc::new(model));
    engines.update(entries.iter());
    engines
}

// Guards against streams that wait for a batch that nobody decides, and against requests of streams
// without a record that are never answered.
#[tokio::test]
async fn reroute_in_batch_answers_all_requests() {
    let clock = SystemClock::default();
    let now = clock.now();
    let mut instances: SlotMap<InstanceKey, ()> = SlotMap::with_key();
    let instance = instances.insert(());
    let mut owner = QueueOwner::new(engines());
    let engine = owner.engines.key("e0").unwrap();
    let layers = LayerRange::new(0, 8).unwrap();
    for number in 0..100 {
        let held = Held {
            tokens: 900,
            path: vec![hemlockwind_paths::engines::Stage { engine, layers }],
        };
        owner.adopt(now, QueueEntryId { instance, number }, held);
    }
    let lost = owner.engines.get(engine).unwrap().addr;
    owner.engines.exclude(now, lost, Duration::from_secs(4));
    let queue: SharedQueue = Arc::new(Mutex::new(LocalQueue::new(owner)));
    let calls = (0..101).map(|number| {
        let request = PendingReroute {
            id: QueueEntryId { instance, number },
            reroute: Reroute {
                must_fit: false,
                keeps_first: false,
                crossing: Crossing::Free,
            },
            rank: Rank(0),
            silent_since: now,
            leaves_at: now + Duration::from_secs(2),
        };
        let queue = Arc::clone(&queue);
        async move { reroute_in_batch(&queue, &clock, &Tasks::default(), request).await }
    });
    let answers = timeout(CALL_TIMEOUT, futures::future::join_all(calls)).await;
    let answers = answers.expect("answers while the instances wait");
    assert!(
        answers[..100]
            .iter()
            .flatten()
            .all(|path| &*path[0].id == "e1")
    );
    assert_eq!(answers.iter().flatten().count(), 100);
    assert_eq!(answers[100], None);
}

// Guards against a record of a path that the stream is not on: a report of the running streams has
// numbers only and does not correct it.
#[tokio::test]
async fn reroute_in_batch_restores_the_path_if_the_caller_stopped_waiting() {
    let clock = SystemClock::default();
    let now = clock.now();
    let mut instances: SlotMap<InstanceKey, ()> = SlotMap::with_key();
    let id = QueueEntryId {
        instance: instances.insert(()),
        number: 0,
    };
    let mut owner = QueueOwner::new(engines());
    let engine = owner.engines.key("e0").unwrap();
    let layers = LayerRange::new(0, 8).unwrap();
    let path = vec![hemlockwind_paths::engines::Stage { engine, layers }];
    let held = Held {
        tokens: 900,
        path: path.clone(),
    };
    owner.adopt(now, id, held);
    let reserved = owner.engines.get(engine).unwrap().reserved;
    let lost = owner.engines.get(engine).unwrap().addr;
    owner.engines.exclude(now, lost, Duration::from_secs(4));
    let queue: SharedQueue = Arc::new(Mutex::new(LocalQueue::new(owner)));
    let request = PendingReroute {
        id,
        reroute: Reroute {
            must_fit: false,
            keeps_first: false,
            crossing: Crossing::Free,
        },
        rank: Rank(0),
        silent_since: now,
        leaves_at: now + Duration::from_secs(2),
    };
    let tasks = Tasks::default();
    let call = reroute_in_batch(&queue, &clock, &tasks, request);
    // The request is made, and the caller stops waiting before the batch is decided.
    assert_eq!(call.now_or_never(), None);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let queue = queue.lock();
    assert_eq!(queue.queue_owner.waiting_reroutes(), 0);
    assert_eq!(queue.queue_owner.path_of(id), path);
    assert_eq!(
        queue.queue_owner.engines.get(engine).unwrap().reserved,
        reserved
    );
}

const SETTINGS: &str = r#"{"nodeName":"front-a-1","zone":"a","listen":{"frontend":"127.0.0.1:1",
  "readyAddress":"127.0.0.1:2"},"internalPortRange":[3,4],"bounds":{"retryBudgetRatio":0.2,
  "retryBudgetSlack":200,"budgetWindowS":10},"platform":{"address":"127.0.0.1:5"}}"#;

/// `LateOwner` grants paths over `e0`, answers no reroute in time, and records what it is told.
#[derive(Default)]
struct LateOwner {
    held: Mutex<Vec<message::Held>>,
}

fn on_e0() -> message::Stage {
    message::Stage {
        id: "e0".into(),
        addr: ([10, 0, 0, 1], 80).into(),
        start: 0,
        end: 8,
    }
}

#[async_trait]
impl Handler for LateOwner {
    async fn handle(&self, _from: &str, req: Request) -> Reply {
        let Request::Paths(req) = req else {
            return Reply::Done;
        };
        if matches!(req, message::Message::PathRequest(..)) {
            return Reply::Paths(message::Answer::Granted(vec![on_e0()]));
        }
        if matches!(req, message::Message::Reroute(..)) {
            tokio::time::sleep(Duration::from_secs(2)).await;
        }
        if let message::Message::Held(_, held) = req {
            self.held.lock().extend(held);
        }
        Reply::Paths(message::Answer::Done)
    }
}

// Guards against the same at an owner whose answer did not reach the instance.
#[tokio::test]
async fn reroute_without_an_answer_reports_the_path() {
    let settings = Settings::parse(SETTINGS).unwrap();
    let key = SharedKey::new(settings.peer_key.as_bytes());
    let gateway = Arc::new(Gateway::new(settings, logs::discard()));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let strong = Instance {
        name: "front-a-2".into(),
        data_centre: "a".into(),
        addr: listener.local_addr().unwrap(),
        processor_share: 1_000.0,
        process: 1,
    };
    let owner = Arc::new(LateOwner::default());
    tokio::spawn(server::serve(
        listener,
        key,
        owner.clone(),
        8_192,
        logs::discard(),
    ));
    gateway.peers.put(strong);
    let now = gateway.now();
    let request = PathRequest {
        service: "drafts".into(),
        organisation: "works".into(),
        rank: Rank(0),
        tokens: 900,
        on_time_by: now,
        latest: now,
        may_wait: false,
        caller: None,
    };
    let granted = gateway.queue_owners.request_path(&gateway, &request).await;
    let mut grant = granted.expect("a path");
    let reroute = Reroute {
        must_fit: true,
        keeps_first: false,
        crossing: Crossing::Free,
    };
    let urgency = message::Urgency {
        rank: 0,
        silent_ms: 100,
        leaves_in_ms: 2_000,
    };
    let queue_owners = &gateway.queue_owners;
    let is_moved = queue_owners
        .reroute(&gateway, &mut grant, reroute, urgency)
        .await;
    assert!(!is_moved);
    let reported = async {
        while owner.held.lock().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let reported = timeout(Duration::from_secs(2), reported).await;
    assert!(reported.is_ok(), "the owner is told the path");
    let held = owner.held.lock();
    assert_eq!((held[0].tokens, &*held[0].path), (900, &[on_e0()][..]));
}
