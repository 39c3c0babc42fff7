//! Caches the store's objects, for instances that don't watch the store.

use std::collections::BTreeMap;
use std::time::Duration;

use parking_lot::Mutex;

use hemlockwind_core::edges::ObjectVersion;
use hemlockwind_core::store_view::Confirmed;
use hemlockwind_core::store_view::Next;
use hemlockwind_core::store_view::Observed;
use hemlockwind_core::store_view::StoreView;
use hemlockwind_core::time::Instant;
use hemlockwind_platform::manifest;
use hemlockwind_platform::store::Change;
use hemlockwind_platform::store::Object;
use hemlockwind_protocol::peer::store::Answer;
use hemlockwind_protocol::peer::store::Kind;
use hemlockwind_protocol::peer::store::Snapshot;

/// `CachedKind` holds the objects of one kind.
#[derive(Debug, Default)]
struct CachedKind {
    /// The version at which an object last changed.
    changed: u64,
    /// Whether the store answered the last call.
    is_served: bool,
    objects: BTreeMap<String, String>,
}

/// `StoreCache` holds the objects of all kinds, each as of a version of the store.
#[derive(Debug)]
pub struct StoreCache {
    /// Which version the objects of each kind reflect. Locked within the lock of a kind only.
    view: Mutex<StoreView<Kind>>,
    /// A restore whose objects were all read again, until it is taken for the log.
    confirmed: Mutex<Option<Confirmed>>,
    routes: Mutex<CachedKind>,
    servers: Mutex<CachedKind>,
    instances: Mutex<CachedKind>,
    /// When another instance last reported that the store serves it.
    other_served_at: Mutex<Instant>,
}

/// How long the report of another instance that the store serves it is valid: another
/// instance is queried a few times a second.
const SERVED_TTL: Duration = Duration::from_millis(1_500);

impl Default for StoreCache {
    fn default() -> Self {
        Self {
            view: Mutex::new(StoreView::new(&Kind::ALL)),
            confirmed: Mutex::default(),
            routes: Mutex::default(),
            servers: Mutex::default(),
            instances: Mutex::default(),
            other_served_at: Mutex::default(),
        }
    }
}

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
        self.view.lock().version(kind).0
    }

    /// Returns the newest era that was seen.
    pub fn era(&self) -> u16 {
        self.view.lock().era()
    }

    /// Records that an era was seen. If it shows that the store was restored, calls `restored` with
    /// the era before, within the same step: no object of the new era is put in force before.
    pub fn observe(&self, now: Instant, era: u16, restored: impl FnOnce(u16)) {
        let mut view = self.view.lock();
        match view.observe(now, era) {
            Observed::Restored { from } => restored(from),
            Observed::Older | Observed::Current => {}
        }
    }

    /// Returns how a kind is to be read from the store next.
    pub fn next(&self, kind: Kind) -> Next {
        self.view.lock().next(kind)
    }

    /// Whether the objects of a kind are of an older era.
    pub fn is_to_be_confirmed(&self, kind: Kind) -> bool {
        self.view.lock().is_to_be_confirmed(kind)
    }

    /// Returns the last restore once all kinds were read in its era, and only once.
    pub fn take_confirmed(&self) -> Option<Confirmed> {
        self.confirmed.lock().take()
    }

    /// Returns the content of an object.
    pub fn content(&self, kind: Kind, name: &str) -> Option<String> {
        self.of(kind).lock().objects.get(name).cloned()
    }

    fn record(&self, now: Instant, kind: Kind, version: ObjectVersion) {
        if let Some(confirmed) = self.view.lock().record(now, kind, version) {
            *self.confirmed.lock() = Some(confirmed);
        }
    }

    /// Returns the version at which an object of a kind last changed, 0 if there is none.
    pub fn changed(&self, kind: Kind) -> u64 {
        self.of(kind).lock().changed
    }

    /// Replaces all objects of a kind by those as of `version`, unless a later version is cached or
    /// a newer era was seen. Returns whether it did. `put_in_force` is called within the same step, so that of two
    /// concurrent calls the one with the older version can't come last.
    pub fn replace(
        &self,
        now: Instant,
        kind: Kind,
        version: u64,
        objects: &[Object],
        put_in_force: impl FnOnce(),
    ) -> bool {
        let mut cached = self.of(kind).lock();
        let version = ObjectVersion(version);
        if !self.view.lock().accepts_all(kind, version) {
            return false;
        }
        let objects = objects.iter();
        let objects = objects.map(|o| (o.name.clone(), o.content.get().to_string()));
        let before = std::mem::replace(&mut cached.objects, objects.collect());
        if kind == Kind::Routes && version.era() > 0 {
            keep_newer_manifest(&mut cached.objects, before);
        }
        cached.changed = version.0;
        self.record(now, kind, version);
        put_in_force();
        true
    }

    /// Takes the manifest that another instance shows if it has a higher manifest version, whatever
    /// version of the store it comes from: a store that was restored may show an older manifest
    /// than the one that is in force elsewhere. Returns whether it did.
    pub fn adopt_manifest(&self, objects: &[Object], put_in_force: impl FnOnce()) -> bool {
        let mut cached = self.of(Kind::Routes).lock();
        if self.era() == 0 {
            return false;
        }
        let shown = objects.iter().find(|o| o.name == manifest::NAME);
        let Some(shown) = shown.map(|o| o.content.get()) else {
            return false;
        };
        let known = cached.objects.get(manifest::NAME);
        let known = known.and_then(|content| manifest::version(content));
        if manifest::version(shown) <= known {
            return false;
        }
        cached
            .objects
            .insert(manifest::NAME.to_string(), shown.to_string());
        put_in_force();
        true
    }

    /// Applies all changes of a kind up to `version`, unless that version is cached already.
    /// Returns whether it did. As in [`StoreCache::replace`], all of it is one step.
    pub fn apply_changes(
        &self,
        now: Instant,
        kind: Kind,
        version: u64,
        changes: &[Change],
        put_in_force: impl FnOnce(),
    ) -> bool {
        let mut cached = self.of(kind).lock();
        let version = ObjectVersion(version);
        if !self.view.lock().accepts_changes(kind, version) {
            return false;
        }
        let keeps_manifest = kind == Kind::Routes && version.era() > 0;
        let before = keeps_manifest.then(|| cached.objects.clone());
        for Change { object, is_removed } in changes {
            match is_removed {
                true => cached.objects.remove(&object.name),
                false => {
                    let content = object.content.get().to_string();
                    cached.objects.insert(object.name.clone(), content)
                }
            };
        }
        if let Some(before) = before {
            keep_newer_manifest(&mut cached.objects, before);
        }
        if !changes.is_empty() {
            cached.changed = version.0;
        }
        self.record(now, kind, version);
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
            version: self.version(kind),
            objects: cached.objects.clone().into_iter().collect(),
        })
    }
}

/// Keeps the manifest in `before` unless `objects` has one with at least its manifest version: a
/// store that was restored shows an older one until the operator has written the newer one again.
fn keep_newer_manifest(objects: &mut BTreeMap<String, String>, before: BTreeMap<String, String>) {
    let mut before = before;
    let Some((name, kept)) = before.remove_entry(manifest::NAME) else {
        return;
    };
    let shown = objects.get(&name);
    let shown = shown.and_then(|content| manifest::version(content));
    if shown < manifest::version(&kept) {
        objects.insert(name, kept);
    }
}
