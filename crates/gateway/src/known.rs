//! What this instance knows of the store, for others that don't watch it.

use std::collections::BTreeMap;
use std::time::Duration;

use parking_lot::Mutex;

use hemlockwind_core::time::Instant;
use hemlockwind_platform::store::Object;
use hemlockwind_protocol::peer::store::Answer;
use hemlockwind_protocol::peer::store::Kind;
use hemlockwind_protocol::peer::store::Newer;

#[derive(Debug, Default)]
struct Read {
    /// As of this version of the store.
    version: u64,
    /// The version at which something changed last.
    changed: u64,
    /// Whether the store answered the last call.
    is_served: bool,
    objects: BTreeMap<String, String>,
}

/// `Known` holds the objects of all kinds, as of a version of the store.
#[derive(Debug, Default)]
pub struct Known {
    routes: Mutex<Read>,
    servers: Mutex<Read>,
    instances: Mutex<Read>,
    /// When another instance last said that the store serves it.
    others: Mutex<Instant>,
}

/// Time that the word of another instance is believed: it is asked twice a second.
const FRESH: Duration = Duration::from_millis(1_500);

impl Known {
    const fn of(&self, kind: Kind) -> &Mutex<Read> {
        match kind {
            Kind::Routes => &self.routes,
            Kind::Servers => &self.servers,
            Kind::Instances => &self.instances,
        }
    }

    /// The versions as of which all kinds are known, for a question to another instance.
    pub fn versions(&self) -> Vec<(Kind, u64)> {
        let kinds = Kind::ALL.iter();
        kinds.map(|kind| (*kind, self.version(*kind))).collect()
    }

    /// The version as of which a kind is known, 0 for never.
    pub fn version(&self, kind: Kind) -> u64 {
        self.of(kind).lock().version
    }

    /// Takes a whole list.
    pub fn replace(&self, kind: Kind, version: u64, objects: &[Object]) {
        let mut read = self.of(kind).lock();
        if version < read.version {
            return;
        }
        let objects = objects.iter();
        read.objects = objects
            .map(|o| (o.name.clone(), o.content.get().to_string()))
            .collect();
        (read.version, read.changed) = (version, version);
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
    pub fn reached(&self, kind: Kind, version: u64, has_changes: bool) {
        let mut read = self.of(kind).lock();
        read.version = read.version.max(version);
        if has_changes {
            read.changed = read.version;
        }
    }

    /// Takes whether the store answered the last call about a kind.
    pub fn set_served(&self, kind: Kind, is_served: bool) {
        self.of(kind).lock().is_served = is_served;
    }

    /// Whether the store answered the last call about a kind.
    pub fn is_served(&self, kind: Kind) -> bool {
        self.of(kind).lock().is_served
    }

    /// Another instance said that the store serves it.
    pub fn other_is_served(&self, now: Instant) {
        *self.others.lock() = now;
    }

    /// Whether another instance has lately said that the store serves it.
    pub fn others_are_served(&self, now: Instant) -> bool {
        let heard = *self.others.lock();
        heard != Instant::ZERO && now.since(heard) < FRESH
    }

    /// The answer to an instance that knows kinds as of these versions. Removed entries
    /// may come back for `settling`.
    pub fn answer(&self, asked: &[(Kind, u64)], settling: Duration) -> Answer {
        Answer {
            is_served: self.is_served(Kind::Routes),
            settling_ms: u32::try_from(settling.as_millis()).unwrap_or(u32::MAX),
            newer: asked.iter().filter_map(|a| self.newer(a.0, a.1)).collect(),
        }
    }

    fn newer(&self, kind: Kind, version: u64) -> Option<Newer> {
        let read = self.of(kind).lock();
        (read.changed > version).then(|| Newer {
            kind,
            version: read.version,
            objects: read.objects.clone().into_iter().collect(),
        })
    }
}
