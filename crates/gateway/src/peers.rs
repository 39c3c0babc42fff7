//! The other instances, their assignments, and messages to them.
//!
//! Instances register in the store. An instance that fails to answer is skipped until it
//! answers a probe.

use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use parking_lot::Mutex;
use parking_lot::RwLock;
use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;
use rustc_hash::FxBuildHasher;
use tokio::time::sleep;
use tokio::time::timeout;

use hemlockwind_core::Error;
use hemlockwind_core::attempt::Attempt;
use hemlockwind_core::collections::SeededHashMap;
use hemlockwind_core::time::Instant;
use hemlockwind_peer::Frame;
use hemlockwind_peer::H2Peer;
use hemlockwind_peer::SharedKey;
use hemlockwind_protocol::peer::Handler;
use hemlockwind_protocol::peer::Peer;
use hemlockwind_protocol::peer::Reply;
use hemlockwind_protocol::peer::Request;
use hemlockwind_protocol::peer::paths::MAX_REROUTE_WAIT;
use hemlockwind_protocol::peer::paths::Message;
use hemlockwind_protocol::peer::store;

use crate::gateway::Gateway;
use crate::quarantine;
use crate::updates;

/// The assignment of watching the store.
const WATCH_ASSIGNMENT: &str = "watch";
/// Number of instances of a data centre that watch the routes, whose changes have a time
/// bound.
const ROUTES_WATCHERS: usize = 2;
/// An instance counts as strong from this share of the strongest one's processor time.
const STRONG_SHARE: f64 = 0.5;
/// Interval at which an instance that did not answer is probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Time limit of a call; for a queue entry and an urgent reroute, in addition to the time that it may
/// wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// The size from which an update is large, in bytes: the slowest links take some 30 ms for it.
const MAX_SMALL_UPDATE_BYTES: usize = 48 << 10;
/// Time limit of a large update. It is shorter than that of [`H2Peer`], which closes the connection
/// that all messages to the instance use.
const LARGE_UPDATE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time in which the instances write their entries again after the store was restored: each of them
/// receives the list of the new era within a second and then writes.
const REAPPEAR_TIME: Duration = Duration::from_millis(2_300);

/// `Instance` describes one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// Its name.
    pub name: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// The address for peer messages.
    pub addr: SocketAddr,
    /// The processor time that it may use, in cores.
    pub processor_share: f64,
    /// Distinguishes this process from others of the name; 0 if it is not known.
    pub process: u64,
}

impl Instance {
    /// Whether both are the same process at the same address.
    fn is_same_process(&self, other: &Self) -> bool {
        (self.addr, self.process) == (other.addr, other.process)
    }
}

/// `Peers` holds the other instances.
pub struct Peers {
    me: Instance,
    /// Where updates are pulled from as long as no other instance is listed.
    seeds: Vec<Instance>,
    /// Where both are locked, `suspects` is locked first.
    others: RwLock<SeededHashMap<Arc<str>, Instance>>,
    /// Whether the others know this instance, as the store lists its entry.
    is_listed: AtomicBool,
    /// Instances that did not answer; they are skipped until they answer a probe.
    suspects: Mutex<SeededHashMap<Arc<str>, Instance>>,
    /// Instances that the store does not serve, and until when that is valid.
    unserved: Mutex<SeededHashMap<Arc<str>, Instant>>,
    client: H2Peer,
    /// Whether a list of all instances was received.
    has_list: AtomicBool,
    /// While the instances write their entries again after the store was restored: until when, and
    /// those that are missing from the list.
    settling: Mutex<Option<Settling>>,
}

/// `Settling` holds the instances that a restored store does not list.
struct Settling {
    /// [`Instant::NEVER`] before the first list of the new era.
    until: Instant,
    missing: Vec<Arc<str>>,
}

impl Peers {
    /// Returns an empty set. As long as it is empty, updates are pulled from the instances
    /// at `seeds`.
    pub fn new(me: Instance, seeds: &[SocketAddr], key: SharedKey) -> Self {
        let seeds = seeds.iter().filter(|addr| **addr != me.addr);
        let seeds = seeds.map(|addr| Instance {
            name: addr.to_string().into(),
            addr: *addr,
            data_centre: Arc::clone(&me.data_centre),
            processor_share: 0.0,
            process: 0,
        });
        Self {
            client: H2Peer::new(&*me.name, key),
            seeds: seeds.collect(),
            unserved: Mutex::default(),
            me,
            others: RwLock::default(),
            is_listed: AtomicBool::new(false),
            suspects: Mutex::default(),
            has_list: AtomicBool::new(false),
            settling: Mutex::default(),
        }
    }

    /// Returns this instance.
    pub fn me(&self) -> &Instance {
        &self.me
    }

    /// Adds or replaces an instance as registered in the store. What is known of an earlier process of
    /// the name does not apply to a later one.
    pub fn put(&self, instance: Instance) {
        let name = Arc::clone(&instance.name);
        if let Some(settling) = &mut *self.settling.lock() {
            settling.missing.retain(|missing| *missing != name);
        }
        if name == self.me.name {
            // An entry with the address of an earlier process leads the others elsewhere.
            let leads_here = instance.addr == self.me.addr;
            self.is_listed.store(leads_here, Ordering::Relaxed);
            return;
        }
        let mut suspects = self.suspects.lock();
        let mut others = self.others.write();
        let known = others.get(&name);
        if known.is_some_and(|known| !known.is_same_process(&instance)) {
            suspects.remove(&name);
            self.unserved.lock().remove(&name);
        }
        others.insert(name, instance);
    }

    /// Records that the store was restored from a snapshot: the instances write their entries again
    /// within a bounded time, and those without an entry are not removed before.
    pub fn mark_store_restored(&self) {
        *self.settling.lock() = Some(Settling {
            // An instance writes its entry again only after the first list of the new era.
            until: Instant::NEVER,
            missing: Vec::new(),
        });
    }

    /// Removes the instances that have not written their entries again since the store was restored.
    pub fn expire(&self, now: Instant) {
        let settled = self.settling.lock().take_if(|s| s.until <= now);
        for name in settled.into_iter().flat_map(|s| s.missing) {
            self.remove(&name);
        }
    }

    /// Replaces all instances by those registered in the store. Those that are missing stay for a
    /// time after the first list since the store was restored.
    pub fn replace(&self, now: Instant, listed: Vec<Instance>) {
        let mut missing: Vec<Arc<str>> = self.others.read().keys().cloned().collect();
        missing.push(Arc::clone(&self.me.name));
        missing.retain(|name| !listed.iter().any(|i| i.name == *name));
        if let Some(settling) = &mut *self.settling.lock() {
            settling.missing = std::mem::take(&mut missing);
            if settling.until == Instant::NEVER {
                settling.until = now + REAPPEAR_TIME;
            }
        }
        for name in missing {
            self.remove(&name);
        }
        for instance in listed {
            self.put(instance);
        }
        self.has_list.store(true, Ordering::Relaxed);
    }

    /// Removes an instance that has left.
    pub fn remove(&self, name: &str) {
        if *name == *self.me.name {
            self.is_listed.store(false, Ordering::Relaxed);
            return;
        }
        self.others.write().remove(name);
        self.suspects.lock().remove(name);
    }

    /// Returns the number of instances including this one; `None` before the first list.
    pub fn count(&self) -> Option<usize> {
        let has_list = self.has_list.load(Ordering::Relaxed);
        has_list.then(|| self.others.read().len() + 1)
    }

    /// Returns the owner of a service's queue: the first by rendezvous hashing over the
    /// strong instances that answer, or this instance if there is none.
    pub fn queue_owner(&self, service: &str) -> Instance {
        let first = self.ranked(service, |_| true).into_iter().next();
        first.unwrap_or_else(|| self.me.clone())
    }

    /// Returns the eligible instances that answer, including this one, in the order of
    /// rendezvous hashing for an assignment. An assignment costs the same on each
    /// instance, so weak instances are left out unless there are no others. While the others don't
    /// know this instance, it is left out too: they give its assignments to another one.
    fn ranked(&self, assignment: &str, is_eligible: impl Fn(&Instance) -> bool) -> Vec<Instance> {
        let suspects = self.suspects.lock();
        let others = self.others.read();
        let live = others
            .values()
            .filter(|i| !suspects.contains_key(&i.name))
            .filter(|i| is_eligible(i));
        let mut live: Vec<&Instance> = live.collect();
        if is_eligible(&self.me) && (live.is_empty() || self.is_listed.load(Ordering::Relaxed)) {
            live.push(&self.me);
        }
        let strongest = live.iter().map(|i| i.processor_share).fold(0.0, f64::max);
        live.retain(|i| i.processor_share >= strongest * STRONG_SHARE);
        live.sort_by_cached_key(|i| std::cmp::Reverse(weight(i, assignment)));
        live.into_iter().cloned().collect()
    }

    /// Returns the instances that the store does not serve.
    fn unserved(&self, now: Instant) -> SeededHashMap<Arc<str>, Instant> {
        let mut unserved = self.unserved.lock();
        unserved.retain(|_, until| *until > now);
        unserved.clone()
    }

    /// Returns the instances of a data centre that watch a kind in the store.
    fn watchers(&self, now: Instant, kind: store::Kind, data_centre: &str) -> Vec<Instance> {
        let unserved = self.unserved(now);
        let may_watch =
            |i: &Instance| *i.data_centre == *data_centre && !unserved.contains_key(&i.name);
        let mut watchers = self.ranked(WATCH_ASSIGNMENT, may_watch);
        watchers.truncate(match kind {
            store::Kind::Routes => ROUTES_WATCHERS,
            store::Kind::Servers | store::Kind::Instances => 1,
        });
        watchers
    }

    /// Whether this instance is one of those that watch a kind in the store.
    pub fn watches(&self, now: Instant, kind: store::Kind) -> bool {
        let watchers = self.watchers(now, kind, &self.me.data_centre);
        watchers.iter().any(|i| i.name == self.me.name)
    }

    /// Whether this instance is the one, of all that watch the store, whose watches are short.
    pub fn has_short_watches(&self, now: Instant) -> bool {
        let unserved = self.unserved(now);
        let may_watch = |i: &Instance| !unserved.contains_key(&i.name);
        let first = self.ranked(WATCH_ASSIGNMENT, may_watch).into_iter().next();
        first.is_none_or(|i| i.name == self.me.name)
    }

    /// Returns the instances of the other data centres that watch a kind in the store.
    pub fn remote_watchers(&self, now: Instant, kind: store::Kind) -> Vec<Instance> {
        let data_centres = self.data_centres();
        let watchers = data_centres.iter().map(|d| self.watchers(now, kind, d));
        watchers.flatten().collect()
    }

    /// Returns another instance to pull updates from: one that watches the store.
    /// Instances that watch it themselves pull from the watchers of all data centres.
    pub fn update_source(&self, now: Instant) -> Option<Instance> {
        if self.others.read().is_empty() {
            return self.seeds.choose(&mut rand::rng()).cloned();
        }
        let mut sources = self.watchers(now, store::Kind::Routes, &self.me.data_centre);
        if sources.iter().any(|i| i.name == self.me.name) {
            sources.extend(self.remote_watchers(now, store::Kind::Routes));
            sources.retain(|i| i.name != self.me.name);
        }
        let source = sources.choose(&mut rand::rng()).cloned();
        source.or_else(|| self.any())
    }

    /// Returns the other data centres.
    fn data_centres(&self) -> Vec<Arc<str>> {
        let others = self.others.read();
        let names = others.values().map(|i| &i.data_centre);
        let names = names.filter(|d| **d != self.me.data_centre);
        let mut names: Vec<Arc<str>> = names.cloned().collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Marks an instance as not served by the store until `until`.
    pub fn set_unserved(&self, name: &Arc<str>, until: Instant) {
        self.unserved.lock().insert(Arc::clone(name), until);
    }

    /// Returns the other instances of this data centre that answer.
    pub fn same_data_centre(&self) -> Vec<Instance> {
        let mut instances = self.all();
        instances.retain(|i| i.data_centre == self.me.data_centre);
        instances
    }

    /// Returns the other data centres that have registered instances of which none
    /// answers.
    pub fn silent_data_centres(&self) -> Vec<Arc<str>> {
        let suspects = self.suspects.lock();
        let others = self.others.read();
        let is_live = |i: &Instance| !suspects.contains_key(&i.name);
        let mut silent: Vec<Arc<str>> = others
            .values()
            .filter(|i| i.data_centre != self.me.data_centre && !is_live(i))
            .map(|i| Arc::clone(&i.data_centre))
            .filter(|d| !others.values().any(|i| i.data_centre == *d && is_live(i)))
            .collect();
        silent.sort_unstable();
        silent.dedup();
        silent
    }

    /// Whether this instance is among the first `count` instances for an assignment.
    pub fn is_candidate(&self, assignment: &str, count: usize) -> bool {
        let first = self.ranked(assignment, |_| true);
        first.iter().take(count).any(|i| i.name == self.me.name)
    }

    /// Returns the first `count` instances for an assignment, without this one.
    pub fn candidates(&self, assignment: &str, count: usize) -> Vec<Instance> {
        let mut first = self.ranked(assignment, |_| true);
        first.truncate(count);
        first.retain(|i| i.name != self.me.name);
        first
    }

    /// Returns all other instances that answer, in random order.
    pub fn all(&self) -> Vec<Instance> {
        let suspects = self.suspects.lock();
        let others = self.others.read();
        let live = others.values().filter(|i| !suspects.contains_key(&i.name));
        let mut all: Vec<Instance> = live.cloned().collect();
        all.shuffle(&mut rand::rng());
        all
    }

    /// Returns whether it is this instance's turn for an assignment that passes from one of the
    /// instances that answer to the next with each turn.
    pub fn is_on_turn(&self, assignment: &str, turn: u64) -> bool {
        let mut live = self.all();
        live.push(self.me.clone());
        live.sort_by_cached_key(|i| weight(i, assignment));
        let index = turn % live.len() as u64;
        live.get(index as usize)
            .is_some_and(|i| i.name == self.me.name)
    }

    /// Returns all other instances of this data centre that answer, and `count` of each other
    /// one.
    pub fn fan_out(&self, count: usize) -> Vec<Instance> {
        let mut instances = self.all();
        let mut taken: SeededHashMap<Arc<str>, usize> = SeededHashMap::default();
        instances.retain(|i| {
            if i.data_centre == self.me.data_centre {
                return true;
            }
            let taken = taken.entry(Arc::clone(&i.data_centre)).or_default();
            *taken += 1;
            *taken <= count
        });
        instances
    }

    /// Returns a random other instance that answers, of this data centre or of another one; a
    /// seed as long as none is listed.
    pub fn random_peer(&self, is_near: bool) -> Option<Instance> {
        if self.others.read().is_empty() {
            return self.seeds.choose(&mut rand::rng()).cloned();
        }
        let all = self.all();
        let mut sided = all
            .iter()
            .filter(|i| (i.data_centre == self.me.data_centre) == is_near);
        sided.next().or(all.first()).cloned()
    }

    /// Returns a random other instance that answers.
    pub fn any(&self) -> Option<Instance> {
        let suspects = self.suspects.lock();
        let others = self.others.read();
        let live: Vec<&Instance> = others
            .values()
            .filter(|i| !suspects.contains_key(&i.name))
            .collect();
        live.choose(&mut rand::rng()).map(|i| (*i).clone())
    }

    /// Returns the other instance with this name.
    pub fn get(&self, name: &str) -> Option<Instance> {
        self.others.read().get(name).cloned()
    }

    /// Sends a message and waits for the reply. An instance that does not reply is
    /// skipped until it answers a probe.
    ///
    /// # Errors
    ///
    /// Returns the peer's error, and whether it may have read the message.
    pub async fn call(&self, to: &Instance, req: Request) -> Result<Reply, (Attempt, Error)> {
        let limit = match &req {
            Request::Paths(Message::PathRequest(_, request)) if request.may_wait => {
                Duration::from_millis(request.latest_ms.into()) + CALL_TIMEOUT
            }
            Request::Paths(Message::AdmissionRequest(_, admission)) => {
                Duration::from_millis(admission.request.latest_ms.into()) + CALL_TIMEOUT
            }
            Request::Paths(Message::UrgentReroute(..)) => MAX_REROUTE_WAIT + CALL_TIMEOUT,
            _ => CALL_TIMEOUT,
        };
        let reply = timeout(limit, self.client.call(to.addr, req)).await;
        let reply = reply.unwrap_or_else(|_| {
            let error = Error::peer_unreachable(format!("{} gave no answer", to.name));
            Err((Attempt::Sent, error))
        });
        if reply.is_err() {
            self.suspect(to);
        }
        reply
    }

    /// Sends an encoded update and waits for the reply. An instance that does not reply is skipped as
    /// after [`Peers::call`], unless the update is large: then it or the link to it may be slow.
    ///
    /// # Errors
    ///
    /// Returns the peer's error, and whether it may have read the update.
    pub async fn push(&self, to: &Instance, frame: &Frame) -> Result<Reply, (Attempt, Error)> {
        let is_large = frame.len() > MAX_SMALL_UPDATE_BYTES;
        let limit = match is_large {
            true => LARGE_UPDATE_TIMEOUT,
            false => CALL_TIMEOUT,
        };
        match timeout(limit, self.client.call_frame(to.addr, frame)).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(e)) => {
                self.suspect(to);
                Err(e)
            }
            Err(_) => {
                if !is_large {
                    self.suspect(to);
                }
                let error = Error::peer_unreachable(format!("{} gave no answer", to.name));
                Err((Attempt::Sent, error))
            }
        }
    }

    /// Skips an instance until it answers a probe, unless a later process has its name by now.
    fn suspect(&self, instance: &Instance) {
        let mut suspects = self.suspects.lock();
        let current = self.get(&instance.name);
        if current.is_some_and(|i| i.is_same_process(instance)) {
            suspects.insert(Arc::clone(&instance.name), instance.clone());
        }
    }

    /// Probes one instance of each other data centre, and all instances of those data
    /// centres where it did not answer.
    pub async fn probe_data_centres(&self) {
        let mut sample: Vec<Instance> = Vec::new();
        for instance in self.all() {
            let is_new = !sample.iter().any(|i| i.data_centre == instance.data_centre);
            if instance.data_centre != self.me.data_centre && is_new {
                sample.push(instance);
            }
        }
        let silent = self.probe_all(sample).await;
        let mut rest = self.all();
        rest.retain(|i| silent.iter().any(|s| s.data_centre == i.data_centre));
        self.probe_all(rest).await;
    }

    /// Probes instances. Returns those that did not answer, which are skipped from now
    /// on.
    async fn probe_all(&self, instances: Vec<Instance>) -> Vec<Instance> {
        let probes = instances.into_iter().map(|instance| async move {
            let silent = self.call(&instance, probe_message()).await.is_err();
            silent.then_some(instance)
        });
        let answers = futures::future::join_all(probes).await;
        answers.into_iter().flatten().collect()
    }

    /// Probes the instances that did not answer, until the task is ended.
    pub async fn probe(&self) {
        loop {
            sleep(PROBE_INTERVAL).await;
            let suspects: Vec<Instance> = self.suspects.lock().values().cloned().collect();
            let probes = suspects.iter().map(|instance| async move {
                let probe = self.client.call(instance.addr, probe_message());
                if let Ok(Ok(_)) = timeout(CALL_TIMEOUT, probe).await {
                    let mut suspects = self.suspects.lock();
                    if suspects.get(&instance.name) == Some(instance) {
                        suspects.remove(&instance.name);
                    }
                }
            });
            futures::future::join_all(probes).await;
        }
    }
}

/// Returns a probe: a request for no objects.
fn probe_message() -> Request {
    Request::Store(store::Message::Query(Vec::new()))
}

/// Returns the weight of an instance for an assignment in rendezvous hashing.
fn weight(instance: &Instance, assignment: &str) -> u64 {
    FxBuildHasher.hash_one((&instance.name, assignment))
}

/// `PeerHandler` answers the messages of other instances.
pub struct PeerHandler {
    /// The shared state of the instance.
    pub gateway: Arc<Gateway>,
}

#[async_trait]
impl Handler for PeerHandler {
    async fn handle(&self, from: &str, req: Request) -> Reply {
        match req {
            Request::Paths(message) => {
                let answer = self
                    .gateway
                    .queue_owners
                    .answer(&self.gateway, from, message)
                    .await;
                Reply::Paths(answer)
            }
            Request::Store(message) => Reply::Store(updates::answer(&self.gateway, from, message)),
            Request::Quarantine(message) => {
                Reply::Quarantine(quarantine::answer(&self.gateway, from, message))
            }
            Request::Membership(_)
            | Request::QueueReport(_)
            | Request::Grants(_)
            | Request::Configuration(_)
            | Request::Dispatch(_) => {
                let error = Error::peer_frame("it is a message for hemlockwindd");
                Reply::Refused(error.code().number(), error.to_string())
            }
        }
    }
}
