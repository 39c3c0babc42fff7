//! The other instances: who they are, which of them is a home, and messages to them.
//!
//! Instances register in the store. Whether one lives is judged by its answers: one
//! that fails to answer is passed over for a while.

use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use parking_lot::Mutex;
use parking_lot::RwLock;
use rand::seq::IndexedRandom;
use rustc_hash::FxBuildHasher;

use hemlockwind_core::Error;
use hemlockwind_core::attempt::Attempt;
use hemlockwind_core::collections::SeededHashMap;
use hemlockwind_core::time::Instant;
use hemlockwind_peer::H2Peer;
use hemlockwind_peer::SharedKey;
use hemlockwind_protocol::peer::Handler;
use hemlockwind_protocol::peer::Peer;
use hemlockwind_protocol::peer::Reply;
use hemlockwind_protocol::peer::Request;

use crate::gateway::Gateway;

/// Time that an instance which did not answer is passed over. A restart takes about a
/// second, a freeze a few.
const SUSPECT_TIME: Duration = Duration::from_millis(1_500);

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
    suspects: Mutex<SeededHashMap<Arc<str>, Instant>>,
    client: H2Peer,
}

impl Peers {
    /// No others yet.
    pub fn new(me: Instance, key: SharedKey) -> Self {
        Self {
            client: H2Peer::new(&*me.name, key),
            me,
            others: RwLock::default(),
            suspects: Mutex::default(),
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
    }

    /// The number of instances that are known, this one included.
    pub fn len(&self) -> usize {
        self.others.read().len() + 1
    }

    /// Whether no other instance is known.
    pub fn is_empty(&self) -> bool {
        self.others.read().is_empty()
    }

    /// The instance that keeps the home of these engines: by rendezvous hashing over the
    /// instances of their data centre, this one where none of them answers.
    pub fn home(&self, now: Instant, service: &str, data_centre: &str) -> Instance {
        let suspects = self.suspects.lock();
        let others = self.others.read();
        let all = others.values().chain([&self.me]);
        let candidates = all.filter(|i| *i.data_centre == *data_centre);
        let live = candidates.filter(|i| suspects.get(&i.name).is_none_or(|until| *until <= now));
        let best = live.max_by_key(|i| FxBuildHasher.hash_one((&i.name, service)));
        best.unwrap_or(&self.me).clone()
    }

    /// Another instance that may be asked anything.
    pub fn any(&self, now: Instant) -> Option<Instance> {
        let suspects = self.suspects.lock();
        let others = self.others.read();
        let live: Vec<&Instance> = others
            .values()
            .filter(|i| suspects.get(&i.name).is_none_or(|until| *until <= now))
            .collect();
        live.choose(&mut rand::rng()).map(|i| (*i).clone())
    }

    /// The instance with this name.
    pub fn get(&self, name: &str) -> Option<Instance> {
        self.others.read().get(name).cloned()
    }

    /// Sends a message and waits for the reply. An instance that gives none is passed
    /// over for a while.
    ///
    /// # Errors
    ///
    /// The peer's error, and whether it may have read the message.
    pub async fn call(
        &self,
        now: Instant,
        to: &Instance,
        req: Request,
    ) -> Result<Reply, (Attempt, Error)> {
        let reply = self.client.call(to.addr, req).await;
        if reply.is_err() {
            let mut suspects = self.suspects.lock();
            suspects.insert(Arc::clone(&to.name), now + SUSPECT_TIME);
        }
        reply
    }
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
