//! Exchanges the store's objects between instances.
//!
//! In each data centre a few instances watch the store and push its changes to the others
//! there at once. In addition, each instance pulls from one of them a few times a second,
//! and these pull from each other: an instance that the store refuses, that missed a
//! message or whose watch is stuck is behind by two such intervals at most. So the calls
//! to the store grow with the data centres, not with the instances.
//!
//! Each instance is sent one update of a kind at a time. What changes meanwhile follows as one
//! update with the newest state: large manifests in quick succession would else take the links of the
//! instances for longer than the time in which their other messages must be answered.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use slog::info;
use slog::warn;
use tokio::time::sleep;

use hemlockwind_core::collections::SeededHashMap;
use hemlockwind_core::edges::ObjectVersion;
use hemlockwind_core::time::Instant;
use hemlockwind_peer::Frame;
use hemlockwind_platform::manifest;
use hemlockwind_platform::store::Change;
use hemlockwind_platform::store::Object;
use hemlockwind_protocol::peer::Reply;
use hemlockwind_protocol::peer::Request;
use hemlockwind_protocol::peer::store::Answer;
use hemlockwind_protocol::peer::store::Changed;
use hemlockwind_protocol::peer::store::Changes;
use hemlockwind_protocol::peer::store::Kind;
use hemlockwind_protocol::peer::store::Message;

use crate::gateway::Gateway;
use crate::merge;
use crate::peers::Instance;

/// Interval of the pulls: a change reaches an instance that missed its message well
/// within half of the platform's bound, and each request is a message of a few dozen bytes.
const PULL_INTERVAL: Duration = Duration::from_millis(350);
/// Interval of the pulls before the first routes and servers arrive.
const FIRST_PULL_INTERVAL: Duration = Duration::from_millis(50);
/// How long an instance is not pulled from after it reported that the store does not
/// serve it.
const UNSERVED_TIME: Duration = Duration::from_millis(1_500);

/// Pulls newer objects from other instances, until the task is ended.
pub async fn pull(gateway: Arc<Gateway>) {
    loop {
        let now = gateway.now();
        if let Some(other) = gateway.peers.update_source(now) {
            let mut versions = gateway.store_cache.versions();
            versions.retain(|(kind, _)| !gateway.pushes.is_fresh(now, *kind));
            pull_from(&gateway, &other, versions).await;
        }
        // No caller can be served before the first routes and servers arrive.
        let is_missing = |kind| gateway.store_cache.version(kind) == 0;
        let interval = match is_missing(Kind::Routes) || is_missing(Kind::Servers) {
            true => FIRST_PULL_INTERVAL,
            false => PULL_INTERVAL,
        };
        let jitter = 0.75 + rand::random::<f64>() / 2.0;
        sleep(interval.mul_f64(jitter)).await;
    }
}

/// Requests what is newer than these versions.
async fn pull_from(gateway: &Arc<Gateway>, other: &Instance, versions: Vec<(Kind, u64)>) {
    let mut versions = versions;
    if needs_manifest(gateway) {
        versions.retain(|(kind, _)| *kind != Kind::Routes);
        versions.push((Kind::Routes, 0));
    }
    let message = Message::Query(versions);
    let reply = gateway.peers.call(other, Request::Store(message)).await;
    // An instance that does not answer is skipped; the next round asks another.
    if let Ok(Reply::Store(answer)) = reply {
        apply_pulled(gateway, other, answer);
    }
}

/// Whether the routes are to be requested although no newer version is known: this instance has
/// started in a store that may have been restored, and may have read an older manifest there than
/// the one in force at the others.
fn needs_manifest(gateway: &Gateway) -> bool {
    gateway.store_cache.era() > 0 && !gateway.has_manifest_of_peer.load(Ordering::Relaxed)
}

/// Applies another instance's answer.
fn apply_pulled(gateway: &Arc<Gateway>, other: &Instance, answer: Answer) {
    let now = gateway.now();
    match answer.is_served {
        true => gateway.store_cache.record_other_served(now),
        false => gateway.peers.set_unserved(&other.name, now + UNSERVED_TIME),
    }
    extend_settling(gateway, answer.settling_ms);
    for newer in answer.newer {
        let objects = newer.objects.into_iter();
        let objects = objects.filter_map(|(name, content)| Object::new(name, content));
        let objects: Vec<Object> = objects.collect();
        info!(gateway.log, "updates received from another instance"; "kind" => ?newer.kind,
            "other" => &*other.name, "version" => newer.version,
            "before" => gateway.store_cache.version(newer.kind), "is_served" => answer.is_served);
        let is_newer = newer.version > gateway.store_cache.version(newer.kind);
        if newer.kind == Kind::Routes {
            gateway.has_manifest_of_peer.store(true, Ordering::Relaxed);
        }
        merge::apply_all(gateway, newer.kind, newer.version, &objects);
        // Other instances receive the updates from this one. Changes of the routes have a
        // time bound, so they are pushed at once.
        if is_newer && newer.kind == Kind::Routes && gateway.peers.watches(now, newer.kind) {
            let changes = objects.into_iter().map(|object| Change {
                object,
                is_removed: false,
            });
            let changes: Vec<Change> = changes.collect();
            let receivers = gateway.peers.same_data_centre();
            push(gateway, receivers, newer.kind, 0, newer.version, &changes);
        }
    }
}

/// Notifies the instances of the data centre that all objects of a kind were read in a new era of
/// the store, so that they pull them at once.
pub fn push_restored(gateway: &Arc<Gateway>, kind: Kind, version: ObjectVersion) {
    let receivers = gateway.peers.same_data_centre();
    push(gateway, receivers, kind, version.0, version.0, &[]);
}

/// Pushes the changes of a kind between two versions of the store to other instances.
pub fn push(
    gateway: &Arc<Gateway>,
    receivers: Vec<Instance>,
    kind: Kind,
    after: u64,
    version: u64,
    changes: &[Change],
) {
    let settling = gateway.directory.read().settling(gateway.now());
    let is_manifest = |change: &Change| change.object.name == manifest::NAME && !change.is_removed;
    // The manifest is all that is used of its kind, so no earlier change is missed.
    let after = match kind == Kind::Routes && changes.iter().any(is_manifest) {
        true => 0,
        false => after,
    };
    let objects = changes.iter().map(|change| Changed {
        name: change.object.name.clone(),
        content: (!change.is_removed).then(|| change.object.content.get().to_string()),
    });
    let changes = Changes {
        kind,
        after,
        version,
        settling_ms: u32::try_from(settling.as_millis()).unwrap_or(u32::MAX),
        objects: objects.collect(),
    };
    send(gateway, receivers, changes);
}

/// `Push` is an encoded update.
#[derive(Debug)]
struct Push {
    version: u64,
    frame: Frame,
}

/// `Receiver` is a kind and the name of an instance that is sent updates of it.
type Receiver = (Kind, Arc<str>);

/// `Pushes` holds the updates that are sent to other instances, and when some were last received.
#[derive(Default)]
pub struct Pushes {
    /// The instances to which an update of a kind is being sent, each with the one that follows.
    open: Mutex<SeededHashMap<Receiver, Option<Arc<Push>>>>,
    received_at: Mutex<SeededHashMap<Kind, Instant>>,
}

impl Pushes {
    /// Begins to send an update to an instance. Returns false if one is being sent: then the newest
    /// one follows it.
    fn begin(&self, kind: Kind, to: &Arc<str>, push: &Arc<Push>) -> bool {
        let mut open = self.open.lock();
        match open.get_mut(&(kind, Arc::clone(to))) {
            Some(next) => {
                if next.as_ref().is_none_or(|n| n.version < push.version) {
                    *next = Some(Arc::clone(push));
                }
                false
            }
            None => {
                open.insert((kind, Arc::clone(to)), None);
                true
            }
        }
    }

    /// Ends an update. Returns the one that follows, if any.
    fn end(&self, kind: Kind, to: &Arc<str>) -> Option<Arc<Push>> {
        let mut open = self.open.lock();
        let key = (kind, Arc::clone(to));
        let next = open.get_mut(&key).and_then(Option::take);
        if next.is_none() {
            open.remove(&key);
        }
        next
    }

    /// Records that an update of a kind was received.
    fn record_received(&self, now: Instant, kind: Kind) {
        self.received_at.lock().insert(kind, now);
    }

    /// Whether an update of a kind was received so recently that the kind need not be requested.
    fn is_fresh(&self, now: Instant, kind: Kind) -> bool {
        let received_at = self.received_at.lock().get(&kind).copied();
        received_at.is_some_and(|at| now.since(at) < PULL_INTERVAL)
    }
}

fn send(gateway: &Arc<Gateway>, receivers: Vec<Instance>, changes: Changes) {
    if receivers.is_empty() {
        return;
    }
    let (kind, version) = (changes.kind, changes.version);
    let frame = match Frame::new(&Request::Store(Message::Update(changes))) {
        Ok(frame) => frame,
        Err(e) => {
            warn!(gateway.log, "update not sent"; "kind" => ?kind, "version" => version,
                "code" => e.code().number(), "error" => %e);
            return;
        }
    };
    let bytes = frame.len();
    let push = Arc::new(Push { version, frame });
    let count = receivers.len();
    let (free, busy): (Vec<_>, Vec<_>) = receivers
        .into_iter()
        .partition(|to| gateway.pushes.begin(kind, &to.name, &push));
    for to in free {
        let (gateway, push) = (Arc::clone(gateway), Arc::clone(&push));
        tokio::spawn(async move { send_to(&gateway, kind, &to, push).await });
    }
    if let Some(left_out) = gateway.lines.take(gateway.now(), "pushed") {
        info!(gateway.log, "updates pushed"; "kind" => ?kind, "version" => version, "bytes" => bytes,
            "receivers" => count, "busy" => busy.len(), "left_out" => left_out);
    }
}

/// Sends an update to an instance, and then those that followed meanwhile.
async fn send_to(gateway: &Gateway, kind: Kind, to: &Instance, push: Arc<Push>) {
    let mut push = push;
    loop {
        // An instance that is not reached pulls the changes later.
        if gateway.peers.push(to, &push.frame).await.is_err() {
            gateway.counters.add("updates_not_delivered");
        }
        match gateway.pushes.end(kind, &to.name) {
            Some(next) => push = next,
            None => return,
        }
    }
}

/// Answers a message of another instance.
pub fn answer(gateway: &Arc<Gateway>, from: &str, message: Message) -> Answer {
    match message {
        Message::Query(versions) => {
            let settling = gateway.directory.read().settling(gateway.now());
            gateway.store_cache.answer(&versions, settling)
        }
        Message::Update(changes) => {
            apply_pushed(gateway, from, changes);
            Answer::default()
        }
    }
}

/// Applies the changes that another instance pushed.
fn apply_pushed(gateway: &Arc<Gateway>, from: &str, changes: Changes) {
    let cached = gateway.store_cache.version(changes.kind);
    if changes.version <= cached {
        return;
    }
    // Only an instance with the assignment to watch the store sends this, so the store is
    // assumed to serve it.
    gateway.store_cache.record_other_served(gateway.now());
    extend_settling(gateway, changes.settling_ms);
    let era = ObjectVersion(changes.version).era();
    merge::observe_era(gateway, era);
    if cached < changes.after || ObjectVersion(cached).era() != era {
        // An earlier change was missed, or the store was restored.
        if let Some(other) = gateway.peers.get(from) {
            let gateway = Arc::clone(gateway);
            let versions = gateway.store_cache.versions();
            tokio::spawn(async move { pull_from(&gateway, &other, versions).await });
        }
        return;
    }
    let objects = changes.objects.iter().cloned().filter_map(parse_change);
    let objects: Vec<Change> = objects.collect();
    let is_applied = merge::apply_changes(gateway, changes.kind, changes.version, &objects);
    gateway.pushes.record_received(gateway.now(), changes.kind);
    let sender = gateway.peers.get(from);
    let is_remote = sender.is_some_and(|i| i.data_centre != gateway.peers.me().data_centre);
    if is_applied && is_remote {
        send(gateway, gateway.peers.same_data_centre(), changes);
    }
}

/// Returns the change of one object, or `None` if its content is not JSON.
fn parse_change(changed: Changed) -> Option<Change> {
    let is_removed = changed.content.is_none();
    let content = changed.content.unwrap_or_else(|| "null".into());
    Some(Change {
        object: Object::new(changed.name, content)?,
        is_removed,
    })
}

fn extend_settling(gateway: &Gateway, ms: u32) {
    if ms > 0 {
        let until = gateway.now() + Duration::from_millis(ms.into());
        gateway.directory.write().extend_settling(until);
    }
}
