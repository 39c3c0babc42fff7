//! Which data centres count as silent, which instances have an assignment, and how long calls take.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use proptest::collection::vec;
use proptest::prelude::*;
use tokio::net::TcpListener;

use hemlockwind_core::time::Instant;
use hemlockwind_gateway::peers::Instance;
use hemlockwind_gateway::peers::Peers;
use hemlockwind_peer::SharedKey;
use hemlockwind_peer::server;
use hemlockwind_protocol::peer::Handler;
use hemlockwind_protocol::peer::Reply;
use hemlockwind_protocol::peer::Request;
use hemlockwind_protocol::peer::paths::Crossing;
use hemlockwind_protocol::peer::paths::Message;
use hemlockwind_protocol::peer::paths::Reroute;
use hemlockwind_protocol::peer::paths::Urgency;
use hemlockwind_protocol::peer::store::Kind;

fn instance(name: &str, data_centre: &str) -> Instance {
    // No process listens on this port.
    let addr: SocketAddr = "127.0.0.1:9".parse().unwrap();
    Instance {
        name: name.into(),
        data_centre: data_centre.into(),
        addr,
        processor_share: 0.25,
        process: 1,
    }
}

fn weak(name: &str, data_centre: &str) -> Instance {
    Instance {
        processor_share: 0.1,
        ..instance(name, data_centre)
    }
}

fn peers() -> Peers {
    let peers = Peers::new(
        instance("front-1", "east"),
        &[],
        SharedKey::new(b"a key of tests"),
    );
    peers.put(instance("front-2", "west"));
    peers.put(instance("front-3", "west"));
    peers.put(instance("front-4", "east"));
    peers
}

#[test]
fn silent_data_centres_none_before_a_probe() {
    assert!(peers().silent_data_centres().is_empty());
}

#[tokio::test]
async fn silent_data_centres_when_no_instance_answers() {
    let peers = peers();
    peers.probe_data_centres().await;
    // All instances of a data centre are probed as soon as one does not answer. The
    // instance's own data centre never counts as silent.
    assert_eq!(peers.silent_data_centres(), ["west".into()]);
    assert_eq!(&*peers.queue_owner("drafts").data_centre, "east");
}

#[test]
fn queue_owner_on_a_strong_instance() {
    let peers = peers();
    for i in 0..40 {
        peers.put(weak(&format!("weak-{i}"), "east"));
    }
    for service in ["drafts", "notes", "loans", "stock"] {
        let queue_owner = peers.queue_owner(service);
        assert!(queue_owner.processor_share > 0.2, "{queue_owner:?}");
    }
}

#[test]
fn queue_owner_on_a_weak_instance_without_a_strong_one() {
    let peers = Peers::new(
        weak("front-1", "east"),
        &[],
        SharedKey::new(b"a key of tests"),
    );
    assert_eq!(&*peers.queue_owner("drafts").name, "front-1");
}

#[test]
fn watches_few_in_each_data_centre() {
    let now = Instant::from_millis(1_000);
    let names: Vec<String> = (0..20).map(|i| format!("front-{i:02}")).collect();
    let seen_by = |me: &str| {
        let peers = Peers::new(instance(me, "east"), &[], SharedKey::new(b"a key of tests"));
        for name in &names {
            peers.put(instance(name, "east"));
        }
        peers.put(instance("front-far", "west"));
        peers
    };
    let watch = |kind: Kind| {
        let of_kind = names.iter().filter(|me| seen_by(me).watches(now, kind));
        of_kind.count()
    };
    assert_eq!(watch(Kind::Routes), 2);
    assert_eq!(watch(Kind::Servers), 1);
    assert_eq!(watch(Kind::Instances), 1);
}

#[test]
fn watches_next_while_the_store_does_not_serve_the_first() {
    let now = Instant::from_millis(1_000);
    let peers = peers();
    peers.put(instance("front-5", "east"));
    // All others of the data centre report that the store does not serve them.
    for name in ["front-4", "front-5"] {
        peers.set_unserved(&name.into(), Instant::from_millis(2_000));
    }
    assert!(peers.watches(now, Kind::Servers));
    let later = Instant::from_millis(3_000);
    let watchers = ["front-1", "front-4", "front-5"].iter().filter(|me| {
        let peers = Peers::new(instance(me, "east"), &[], SharedKey::new(b"a key of tests"));
        for other in ["front-1", "front-4", "front-5"] {
            peers.put(instance(other, "east"));
        }
        peers.watches(later, Kind::Servers)
    });
    assert_eq!(watchers.count(), 1);
}

#[test]
fn update_source_never_one_that_the_store_does_not_serve() {
    let now = Instant::from_millis(1_000);
    let peers = peers();
    peers.set_unserved(&"front-2".into(), Instant::from_millis(2_000));
    for _ in 0..50 {
        let update_source = peers.update_source(now).unwrap();
        assert_ne!(&*update_source.name, "front-2");
    }
}

/// `Late` answers every message after a time.
struct Late(Duration);

#[async_trait]
impl Handler for Late {
    async fn handle(&self, _from: &str, _req: Request) -> Reply {
        tokio::time::sleep(self.0).await;
        Reply::Done
    }
}

/// Returns an urgent request for a new path of a running stream.
fn urgent_reroute() -> Request {
    let reroute = Reroute {
        number: 1,
        must_fit: false,
        keeps_first: false,
        crossing: Crossing::Free,
    };
    let urgency = Urgency {
        rank: 0,
        silent_ms: 100,
        leaves_in_ms: 2_000,
    };
    Request::Paths(Message::UrgentReroute("drafts".into(), reroute, urgency))
}

// Guards against a queue owner that becomes a suspect, with its connection reset, because a reroute
// waited in a batch before the time of a usual call began.
#[tokio::test]
async fn call_urgent_reroute_waits_for_a_batch() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let owner = Instance {
        addr: listener.local_addr().unwrap(),
        ..instance("front-2", "east")
    };
    // Longer than a usual call may take, and shorter than a wait in a batch and a usual call.
    let handler: Arc<dyn Handler> = Arc::new(Late(Duration::from_millis(300)));
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let key = || SharedKey::new(b"a key of tests");
    tokio::spawn(server::serve(listener, key(), handler, 8_192, log));
    let peers = Peers::new(instance("front-1", "east"), &[], key());
    peers.put(owner.clone());
    let reply = peers.call(&owner, urgent_reroute()).await;
    assert!(matches!(reply, Ok(Reply::Done)), "{reply:?}");
    assert!(peers.all().contains(&owner));
}

/// Guards against removing all missing instances at once if the first list of a new era comes late:
/// an instance writes its entry again only after that list.
#[test]
fn replace_late_after_a_restore() {
    let at = Instant::from_millis;
    let peers = peers();
    peers.mark_store_restored();
    peers.expire(at(6_000));
    peers.replace(at(6_000), vec![instance("front-2", "west")]);
    peers.expire(at(8_200));
    assert_eq!(peers.count(), Some(4));
    peers.put(instance("front-3", "west"));
    peers.expire(at(8_300));
    assert_eq!(peers.count(), Some(3), "front-4 has not come back");
}

/// Guards against a settling time that a later list of the same era extends, and against one that
/// does not start again with the next era.
#[test]
fn replace_again_after_a_restore() {
    let at = Instant::from_millis;
    let peers = peers();
    peers.mark_store_restored();
    peers.replace(at(1_000), Vec::new());
    peers.mark_store_restored();
    peers.expire(at(3_300));
    assert_eq!(peers.count(), Some(4));
    peers.replace(at(4_000), Vec::new());
    peers.replace(at(5_000), vec![instance("front-2", "west")]);
    peers.expire(at(6_200));
    assert_eq!(peers.count(), Some(4));
    peers.expire(at(6_300));
    assert_eq!(peers.count(), Some(2));
}

/// Returns the names of the other instances that are used.
fn used(peers: &Peers) -> Vec<Arc<str>> {
    let mut names: Vec<Arc<str>> = peers.all().into_iter().map(|i| i.name).collect();
    names.sort_unstable();
    names
}

/// Another process of the instance `name`, at another address.
fn next_process(name: &str, data_centre: &str) -> Instance {
    Instance {
        addr: "127.0.0.1:10".parse().unwrap(),
        process: 2,
        ..instance(name, data_centre)
    }
}

/// Guards against skipping an instance for good that registered again at another address: only the
/// former address was probed.
#[tokio::test]
async fn put_next_process_of_one_that_did_not_answer() {
    let peers = peers();
    let former = instance("front-4", "east");
    assert!(peers.call(&former, urgent_reroute()).await.is_err());
    assert_eq!(used(&peers), ["front-2".into(), "front-3".into()]);
    peers.put(former);
    assert_eq!(used(&peers).len(), 2, "the same process");
    peers.put(next_process("front-4", "east"));
    assert_eq!(used(&peers).len(), 3);
}

/// The same if a call to the former process fails after the next one has registered.
#[tokio::test]
async fn call_that_fails_late_concerns_the_former_process() {
    let peers = peers();
    peers.put(next_process("front-4", "east"));
    let former = instance("front-4", "east");
    assert!(peers.call(&former, urgent_reroute()).await.is_err());
    assert_eq!(used(&peers).len(), 3);
}

/// Guards against two owners of one assignment: an instance whose entry is missing, or that of an
/// earlier process at another address, counted itself while the others could not.
#[test]
fn queue_owner_without_an_own_entry() {
    let own = instance("front-1", "east");
    let owned = |peers: &Peers| {
        let services = (0..64).map(|i| format!("service-{i}"));
        let owners = services.map(|service| peers.queue_owner(&service).name);
        owners.filter(|owner| **owner == *own.name).count()
    };
    let peers = peers();
    assert_eq!(owned(&peers), 0, "not registered yet");
    peers.put(own.clone());
    assert!(owned(&peers) > 0);
    peers.remove("front-1");
    assert_eq!(owned(&peers), 0);
    peers.put(own.clone());
    peers.put(next_process("front-1", "east"));
    assert_eq!(owned(&peers), 0, "the others know another address");
    let others = ["front-2", "front-3", "front-4"].map(|name| instance(name, "east"));
    let at = Instant::from_millis;
    peers.replace(at(0), [others.to_vec(), vec![own.clone()]].concat());
    assert!(owned(&peers) > 0);
    peers.replace(at(0), others.to_vec());
    assert_eq!(owned(&peers), 0);
    peers.replace(at(0), Vec::new());
    assert_eq!(owned(&peers), 64, "no other instance is known");
}

/// Guards against giving assignments up in a restore, in which the others keep the missing entry.
#[test]
fn queue_owner_without_an_own_entry_after_a_restore() {
    let peers = peers();
    let own = instance("front-1", "east");
    peers.put(own.clone());
    let before = peers.queue_owner("service-1");
    let others = ["front-2", "front-3", "front-4"].map(|name| instance(name, "east"));
    let at = Instant::from_millis;
    let service = |owner: &str| {
        let mut services = (0..64).map(|i| format!("service-{i}"));
        services
            .find(|s| *peers.queue_owner(s).name == *owner)
            .unwrap()
    };
    let own_service = service("front-1");
    peers.mark_store_restored();
    peers.replace(at(1_000), others.to_vec());
    assert_eq!(peers.queue_owner(&own_service).name, own.name);
    peers.expire(at(3_300));
    assert_ne!(peers.queue_owner(&own_service).name, own.name);
    peers.put(own);
    assert_eq!(peers.queue_owner("service-1").name, before.name);
}

/// `Step` is what happens to the entries of the instances, or to what one of them receives.
#[derive(Clone, Debug)]
enum Step {
    /// An entry is written, and the change is received or not.
    Put(Instance, bool),
    /// An entry is removed, and the change is received or not.
    Remove(usize, bool),
    /// All entries are received.
    List,
    /// The store goes back by up to this many steps and raises the era; all entries are received.
    Restore(usize),
    /// Time passes, in milliseconds.
    Wait(u64),
}

fn nth_name(i: usize) -> String {
    format!("front-{}", i + 1)
}

fn any_step() -> impl Strategy<Value = Step> {
    let put = (0..4_usize, 1..4_u64, 9..12_u16, any::<bool>());
    let put = put.prop_map(|(i, process, port, is_received)| {
        let entry = Instance {
            addr: SocketAddr::from(([127, 0, 0, 1], port)),
            process,
            ..instance(&nth_name(i), "east")
        };
        Step::Put(entry, is_received)
    });
    prop_oneof![
        6 => put,
        3 => (0..4_usize, any::<bool>()).prop_map(|(i, is_received)| Step::Remove(i, is_received)),
        2 => Just(Step::List),
        1 => (1..5_usize).prop_map(Step::Restore),
        2 => (1..3_000_u64).prop_map(Step::Wait),
    ]
}

type Entries = BTreeMap<Arc<str>, Instance>;

proptest! {
    /// Guards against a view of the instances that depends on the way and the order in which entries were
    /// received, and against owning what the others can't see.
    #[test]
    fn any_order_knows_the_listed_instances(steps in vec(any_step(), 1..40)) {
        let me = instance("front-1", "east");
        let peers = Peers::new(me.clone(), &[], SharedKey::new(b"a key of tests"));
        let (mut store, mut history) = (Entries::new(), Vec::<Entries>::new());
        let mut now = Instant::from_millis(1_000);
        let mut is_behind = true;
        let listed = |store: &Entries| store.values().cloned().collect::<Vec<_>>();
        for step in steps {
            history.push(store.clone());
            match step {
                Step::Put(entry, is_received) => {
                    store.insert(Arc::clone(&entry.name), entry.clone());
                    is_behind |= !is_received;
                    if is_received {
                        peers.put(entry);
                    }
                }
                Step::Remove(i, is_received) => {
                    store.remove(&*nth_name(i));
                    is_behind |= !is_received;
                    if is_received {
                        peers.remove(&nth_name(i));
                    }
                }
                Step::List => {
                    is_behind = false;
                    peers.replace(now, listed(&store));
                }
                Step::Restore(steps) => {
                    let back_to = history.len().saturating_sub(steps);
                    store = history[back_to..].first().cloned().unwrap_or_default();
                    history.truncate(back_to);
                    is_behind = false;
                    peers.mark_store_restored();
                    peers.replace(now, listed(&store));
                }
                Step::Wait(ms) => now = now + Duration::from_millis(ms),
            }
            peers.expire(now);
        }
        if is_behind {
            peers.replace(now, listed(&store));
        }
        // Missing entries are kept until then.
        peers.expire(now + Duration::from_secs(60));
        for i in 1..4 {
            let name = nth_name(i);
            prop_assert_eq!(peers.get(&name), store.get(&*name).cloned());
        }
        let others = store.keys().filter(|name| **name != me.name).count();
        prop_assert_eq!(peers.count(), Some(others + 1));
        let is_visible = store.get(&me.name).is_some_and(|i| i.addr == me.addr);
        let owners = (0..64).map(|i| peers.queue_owner(&format!("service-{i}")).name);
        let owned = owners.filter(|owner| *owner == me.name).count();
        prop_assert_eq!(owned > 0, is_visible || others == 0);
    }
}
