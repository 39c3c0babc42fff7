//! What this instance has read from the store, for others that it does not serve.

use std::collections::BTreeMap;
use std::time::Duration;

use parking_lot::Mutex;

use hemlockwind_core::time::Instant;
use hemlockwind_platform::store::Object;
use hemlockwind_protocol::peer::store::Answer;
use hemlockwind_protocol::peer::store::Kind;
use hemlockwind_protocol::peer::store::Message;

#[derive(Debug, Default)]
struct Read {
    /// As of this version of the store.
    version: u64,
    /// The version at which something changed last.
    changed: u64,
    heard: Instant,
    objects: BTreeMap<String, String>,
}

/// `Known` holds the objects of two kinds, as of a version of the store.
#[derive(Debug, Default)]
pub struct Known {
    routes: Mutex<Read>,
    servers: Mutex<Read>,
    /// When another instance was last known to hear from the store.
    others: Mutex<Instant>,
}

/// Time within which the store counts as heard: a watch returns every five seconds.
const FRESH: Duration = Duration::from_millis(5_500);

impl Known {
    fn of(&self, kind: Kind) -> &Mutex<Read> {
        match kind {
            Kind::Routes => &self.routes,
            Kind::Servers => &self.servers,
        }
    }

    /// The version as of which a kind is known, 0 for never.
    pub fn version(&self, kind: Kind) -> u64 {
        self.of(kind).lock().version
    }

    /// Takes a whole list.
    pub fn replace(&self, now: Instant, kind: Kind, version: u64, objects: &[Object]) {
        let mut read = self.of(kind).lock();
        if version < read.version {
            return;
        }
        let objects = objects.iter();
        read.objects = objects
            .map(|o| (o.name.clone(), o.content.get().to_string()))
            .collect();
        (read.version, read.changed, read.heard) = (version, version, now);
    }

    /// Takes one change; the version is raised by [`Known::reached`].
    pub fn change(&self, kind: Kind, object: &Object, is_removed: bool) {
        let mut read = self.of(kind).lock();
        match is_removed {
            true => read.objects.remove(&object.name),
            false => {
                let content = object.content.get().to_string();
                read.objects.insert(object.name.clone(), content)
            }
        };
    }

    /// All changes up to `version` were taken.
    pub fn reached(&self, now: Instant, kind: Kind, version: u64, has_changes: bool) {
        let mut read = self.of(kind).lock();
        read.version = read.version.max(version);
        if has_changes {
            read.changed = read.version;
        }
        read.heard = now;
    }

    /// Time since the store was last heard about a kind.
    pub fn age(&self, now: Instant, kind: Kind) -> Duration {
        now.since(self.of(kind).lock().heard)
    }

    /// Another instance has heard from the store `age` ago.
    pub fn other_heard(&self, now: Instant, age: Duration) {
        if age < FRESH {
            *self.others.lock() = now;
        }
    }

    /// Whether another instance has lately heard from the store.
    pub fn others_hear(&self, now: Instant) -> bool {
        let heard = *self.others.lock();
        heard != Instant::ZERO && now.since(heard) < FRESH
    }

    /// The answer to an instance that asks.
    pub fn answer(&self, now: Instant, message: Message) -> Answer {
        let read = self.of(message.kind).lock();
        let age_ms = u32::try_from(now.since(read.heard).as_millis()).unwrap_or(u32::MAX);
        if read.changed <= message.version {
            return Answer::Same { age_ms };
        }
        Answer::Newer {
            version: read.version,
            age_ms,
            objects: read.objects.clone().into_iter().collect(),
        }
    }
}
