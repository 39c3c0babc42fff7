//! The other instances: who they are, which of them is a home, and messages to them.
//!
//! Instances register in the store. Whether one lives is judged by its answers: one
//! that fails to answer is passed over for a while.

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
use hemlockwind_peer::H2Peer;
use hemlockwind_peer::SharedKey;
use hemlockwind_protocol::peer::Handler;
use hemlockwind_protocol::peer::Peer;
use hemlockwind_protocol::peer::Reply;
use hemlockwind_protocol::peer::Request;
use hemlockwind_protocol::peer::paths::Message;
use hemlockwind_protocol::peer::store;

use crate::gateway::Gateway;

/// Time between two probes of an instance that did not answer.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Time beyond a ticket's own wait in which a home must have answered.
const ASK_TIME: Duration = Duration::from_millis(250);

/// `Instance` is one other instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its name.
    pub name: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Where it takes messages.
    pub addr: SocketAddr,
}

/// `Peers` holds the other instances.
pub struct Peers {
    me: Instance,
    others: RwLock<SeededHashMap<Arc<str>, Instance>>,
    suspects: Mutex<SeededHashMap<Arc<str>, Instance>>,
    client: H2Peer,
    is_known: AtomicBool,
}

impl Peers {
    /// No others yet.
    pub fn new(me: Instance, key: SharedKey) -> Self {
        Self {
            client: H2Peer::new(&*me.name, key),
            me,
            others: RwLock::default(),
            suspects: Mutex::default(),
            is_known: AtomicBool::new(false),
        }
    }

    /// This instance.
    pub fn me(&self) -> &Instance {
        &self.me
    }

    /// Takes an instance as the store has it.
    pub fn put(&self, instance: Instance) {
        if instance.name != self.me.name {
            let name = Arc::clone(&instance.name);
            self.others.write().insert(name, instance);
        }
    }

    /// An instance has left.
    pub fn remove(&self, name: &str) {
        self.others.write().remove(name);
        self.suspects.lock().remove(name);
    }

    /// The number of instances, this one included; `None` before the others are known.
    pub fn count(&self) -> Option<usize> {
        let is_known = self.is_known.load(Ordering::Relaxed);
        is_known.then(|| self.others.read().len() + 1)
    }

    /// All instances of the store were taken.
    pub fn set_known(&self) {
        self.is_known.store(true, Ordering::Relaxed);
    }

    /// The instance that keeps the home of a service: by rendezvous hashing over all that
    /// answer; this one where none does.
    pub fn home(&self, service: &str) -> Instance {
        let suspects = self.suspects.lock();
        let others = self.others.read();
        let all = others.values().chain([&self.me]);
        let live = all.filter(|i| !suspects.contains_key(&i.name));
        let best = live.max_by_key(|i| weight(i, service));
        best.unwrap_or(&self.me).clone()
    }

    /// The data centres of which no instance answers, although some are listed.
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

    /// Whether this instance is among the first `count` of all for a duty.
    pub fn is_candidate(&self, duty: &str, count: usize) -> bool {
        let others = self.candidates(duty, count);
        let mine = weight(&self.me, duty);
        let before = others.iter().filter(|i| weight(i, duty) > mine);
        before.count() < count
    }

    /// The first `count` other instances for a duty.
    pub fn candidates(&self, duty: &str, count: usize) -> Vec<Instance> {
        let suspects = self.suspects.lock();
        let others = self.others.read();
        let live = others.values().filter(|i| !suspects.contains_key(&i.name));
        let mut live: Vec<Instance> = live.cloned().collect();
        live.sort_unstable_by_key(|i| std::cmp::Reverse(weight(i, duty)));
        live.truncate(count);
        live
    }

    /// All other instances that answer, in any order.
    pub fn all(&self) -> Vec<Instance> {
        let mut all = self.candidates("", usize::MAX);
        all.shuffle(&mut rand::rng());
        all
    }

    /// Another instance that may be asked anything.
    pub fn any(&self) -> Option<Instance> {
        let suspects = self.suspects.lock();
        let others = self.others.read();
        let live: Vec<&Instance> = others
            .values()
            .filter(|i| !suspects.contains_key(&i.name))
            .collect();
        live.choose(&mut rand::rng()).map(|i| (*i).clone())
    }

    /// The instance with this name.
    pub fn get(&self, name: &str) -> Option<Instance> {
        self.others.read().get(name).cloned()
    }

    /// Sends a message and waits for the reply. An instance that gives none is passed
    /// over until it answers a probe.
    ///
    /// # Errors
    ///
    /// The peer's error, and whether it may have read the message.
    pub async fn call(&self, to: &Instance, req: Request) -> Result<Reply, (Attempt, Error)> {
        let limit = match &req {
            Request::Paths(Message::Ask(_, ask)) if ask.may_wait => {
                Duration::from_millis(ask.latest_ms.into()) + ASK_TIME
            }
            _ => ASK_TIME,
        };
        let reply = timeout(limit, self.client.call(to.addr, req)).await;
        let reply = reply.unwrap_or_else(|_| {
            let error = Error::peer_unreachable(format!("{} gave no answer", to.name));
            Err((Attempt::Sent, error))
        });
        if reply.is_err() {
            let mut suspects = self.suspects.lock();
            suspects.insert(Arc::clone(&to.name), to.clone());
        }
        reply
    }

    /// Probes one instance of each other data centre, and all of one that did not answer.
    pub async fn sample(&self) {
        let mut sample: Vec<Instance> = Vec::new();
        for instance in self.all() {
            let is_new = !sample.iter().any(|i| i.data_centre == instance.data_centre);
            if instance.data_centre != self.me.data_centre && is_new {
                sample.push(instance);
            }
        }
        let silent = self.probe_all(sample).await;
        let mut beside = self.all();
        beside.retain(|i| silent.iter().any(|s| s.data_centre == i.data_centre));
        self.probe_all(beside).await;
    }

    /// Probes instances. Returns those that did not answer, which are passed over now.
    async fn probe_all(&self, instances: Vec<Instance>) -> Vec<Instance> {
        let probes = instances.into_iter().map(|instance| async move {
            let silent = self.call(&instance, nothing()).await.is_err();
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
                let probe = self.client.call(instance.addr, nothing());
                if let Ok(Ok(_)) = timeout(ASK_TIME, probe).await {
                    self.suspects.lock().remove(&instance.name);
                }
            });
            futures::future::join_all(probes).await;
        }
    }
}

/// A probe. Nothing is newer than the newest version, so the reply is short.
const fn nothing() -> Request {
    Request::Store(store::Message {
        kind: store::Kind::Routes,
        version: u64::MAX,
    })
}

/// The weight of an instance for a duty, by rendezvous hashing.
fn weight(instance: &Instance, duty: &str) -> u64 {
    FxBuildHasher.hash_one((&instance.name, duty))
}

/// `Answers` answers the messages of other instances.
pub struct Answers {
    /// What the parts of the instance share.
    pub gateway: Arc<Gateway>,
}

#[async_trait]
impl Handler for Answers {
    async fn handle(&self, from: &str, req: Request) -> Reply {
        match req {
            Request::Paths(message) => {
                let answer = self
                    .gateway
                    .homes
                    .answer(&self.gateway, from, message)
                    .await;
                Reply::Paths(answer)
            }
            Request::Store(message) => Reply::Store(self.gateway.known.answer(message)),
            Request::Membership(_)
            | Request::Tickets(_)
            | Request::Grants(_)
            | Request::Configuration(_)
            | Request::Dispatch(_) => {
                let error = Error::peer_frame("a message that this daemon doesn't take");
                Reply::Refused(error.code().number(), error.to_string())
            }
        }
    }
}
