//! Caches the store's objects, for instances that don't watch the store.

use std::collections::BTreeMap;
use std::time::Duration;

use parking_lot::Mutex;

use hemlockwind_core::time::Instant;
use hemlockwind_platform::store::Change;
use hemlockwind_platform::store::Object;
use hemlockwind_protocol::peer::store::Answer;
use hemlockwind_protocol::peer::store::Kind;
use hemlockwind_protocol::peer::store::Snapshot;

/// `CachedKind` holds the objects of one kind.
#[derive(Debug, Default)]
struct CachedKind {
    /// The version of the store that the objects reflect.
    version: u64,
    /// The version at which an object last changed.
    changed: u64,
    /// Whether the store answered the last call.
    is_served: bool,
    objects: BTreeMap<String, String>,
}

/// `StoreCache` holds the objects of all kinds, each as of a version of the store.
#[derive(Debug, Default)]
pub struct StoreCache {
    routes: Mutex<CachedKind>,
    servers: Mutex<CachedKind>,
    instances: Mutex<CachedKind>,
    /// When another instance last reported that the store serves it.
    other_served_at: Mutex<Instant>,
}

/// How long the report of another instance that the store serves it is valid: another
/// instance is queried a few times a second.
const SERVED_TTL: Duration = Duration::from_millis(1_500);

impl StoreCache {
    const fn of(&self, kind: Kind) -> &Mutex<CachedKind> {
        match kind {
            Kind::Routes => &self.routes,
            Kind::Servers => &self.servers,
            Kind::Instances => &self.instances,
        }
    }

    /// Returns the cached versions of all kinds, for a request to another instance.
    pub fn versions(&self) -> Vec<(Kind, u64)> {
        let kinds = Kind::ALL.iter();
        kinds.map(|kind| (*kind, self.version(*kind))).collect()
    }

    /// Returns the cached version of a kind, 0 if there is none.
    pub fn version(&self, kind: Kind) -> u64 {
        self.of(kind).lock().version
    }

    /// Returns the version at which an object of a kind last changed, 0 if there is none.
    pub fn changed(&self, kind: Kind) -> u64 {
        self.of(kind).lock().changed
    }

    /// Replaces all objects of a kind by those as of `version`, unless a later version is cached.
    /// Returns whether it did. `put_in_force` is called within the same step, so that of two
    /// concurrent calls the one with the older version can't come last.
    pub fn replace(
        &self,
        kind: Kind,
        version: u64,
        objects: &[Object],
        put_in_force: impl FnOnce(),
    ) -> bool {
        let mut cached = self.of(kind).lock();
        if version < cached.version {
            return false;
        }
        let objects = objects.iter();
        cached.objects = objects
            .map(|o| (o.name.clone(), o.content.get().to_string()))
            .collect();
        (cached.version, cached.changed) = (version, version);
        put_in_force();
        true
    }

    /// Applies all changes of a kind up to `version`, unless that version is cached already.
    /// Returns whether it did. As in [`StoreCache::replace`], all of it is one step.
    pub fn apply_changes(
        &self,
        kind: Kind,
        version: u64,
        changes: &[Change],
        put_in_force: impl FnOnce(),
    ) -> bool {
        let mut cached = self.of(kind).lock();
        if version <= cached.version {
            return false;
        }
        for Change { object, is_removed } in changes {
            match is_removed {
                true => cached.objects.remove(&object.name),
                false => {
                    let content = object.content.get().to_string();
                    cached.objects.insert(object.name.clone(), content)
                }
            };
        }
        cached.version = version;
        if !changes.is_empty() {
            cached.changed = version;
        }
        put_in_force();
        true
    }

    /// Sets whether the store answered the last call about a kind.
    pub fn set_served(&self, kind: Kind, is_served: bool) {
        self.of(kind).lock().is_served = is_served;
    }

    /// Whether the store answered the last call about a kind.
    pub fn is_served(&self, kind: Kind) -> bool {
        self.of(kind).lock().is_served
    }

    /// Records that another instance reported that the store serves it.
    pub fn record_other_served(&self, now: Instant) {
        *self.other_served_at.lock() = now;
    }

    /// Whether another instance has recently reported that the store serves it.
    pub fn others_are_served(&self, now: Instant) -> bool {
        let served_at = *self.other_served_at.lock();
        served_at != Instant::ZERO && now.since(served_at) < SERVED_TTL
    }

    /// Returns the answer to an instance that has cached these versions. Removed entries
    /// may reappear for `settling`.
    pub fn answer(&self, versions: &[(Kind, u64)], settling: Duration) -> Answer {
        Answer {
            is_served: self.is_served(Kind::Routes),
            settling_ms: u32::try_from(settling.as_millis()).unwrap_or(u32::MAX),
            newer: versions
                .iter()
                .filter_map(|v| self.newer(v.0, v.1))
                .collect(),
        }
    }

    fn newer(&self, kind: Kind, version: u64) -> Option<Snapshot> {
        let cached = self.of(kind).lock();
        (cached.changed > version).then(|| Snapshot {
            kind,
            version: cached.version,
            objects: cached.objects.clone().into_iter().collect(),
        })
    }
}
