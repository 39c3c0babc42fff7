//! Backend servers that are leaving, as observed by any instance.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use hemlockwind_core::time::Instant;
use hemlockwind_core::time::WallTime;

/// The maximum number of backend servers in the list.
const MAX_ENTRIES: usize = 4_096;
/// How long after its observation an entry that is not repeated is dropped. The wall clock
/// is used so that it expires everywhere at about the same time and peers don't
/// reintroduce it.
const RETENTION: Duration = Duration::from_secs(120);

/// `Departure` states whether a backend server is leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departure {
    /// The backend server's name.
    pub name: Arc<str>,
    /// Orders the statements about one backend server; the highest wins. It is the wall
    /// time of the observation, or the previous incarnation plus one if that is higher.
    pub incarnation: u64,
    /// Whether it is leaving; `false` once it is back.
    pub leaving: bool,
}

/// How long after its observation a departure is sent again if it is observed again, so
/// that its entry does not expire.
const REPEAT_INTERVAL: Duration = Duration::from_secs(10);

#[derive(Clone, Debug)]
struct Entry {
    departure: Departure,
    expires_at: Instant,
}

/// `Departures` is a bounded list of backend servers that are leaving.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    entries: BTreeMap<Arc<str>, Entry>,
    digest: u64,
}

impl Departures {
    /// Whether `name` is recorded as leaving.
    pub fn is_leaving(&self, name: &str) -> bool {
        let entry = self.entries.get(name);
        entry.is_some_and(|entry| entry.departure.leaving)
    }

    /// Returns the names of all backend servers that are leaving.
    pub fn leaving(&self) -> impl Iterator<Item = &Arc<str>> {
        let leaving = self.entries.iter().filter(|(_, e)| e.departure.leaving);
        leaving.map(|(name, _)| name)
    }

    /// Returns a digest that is equal at instances that record the same entries.
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the departure to send to others after `name` was seen leaving or back, or
    /// `None` if it is already recorded and need not be repeated yet.
    pub fn observe(&self, wall: WallTime, name: &Arc<str>, leaving: bool) -> Option<Departure> {
        let existing = self.entries.get(name);
        let same = existing.map_or(!leaving, |entry| entry.departure.leaving == leaving);
        let observed_at = existing.map_or(0, |entry| entry.departure.incarnation);
        let is_recent = WallTime::from_millis(observed_at) + REPEAT_INTERVAL > wall;
        if same && (is_recent || !leaving) {
            return None;
        }
        let above = existing.map_or(0, |entry| entry.departure.incarnation + 1);
        Some(Departure {
            name: Arc::clone(name),
            incarnation: wall.as_millis().max(above),
            leaving,
        })
    }

    /// Records `departure` if it is newer than the recorded one and has not expired.
    /// Returns whether it was recorded.
    pub fn apply(&mut self, now: Instant, wall: WallTime, departure: Departure) -> bool {
        let existing = self.entries.get(&departure.name);
        if existing.is_some_and(|entry| entry.departure.incarnation >= departure.incarnation) {
            return false;
        }
        let expires_wall = WallTime::from_millis(departure.incarnation) + RETENTION;
        if expires_wall <= wall {
            return false;
        }
        if existing.is_none() && self.entries.len() >= MAX_ENTRIES {
            self.drop_oldest();
        }
        let name = Arc::clone(&departure.name);
        self.remove(&name);
        self.digest ^= hash(&departure);
        let expires_at = now + expires_wall.since(wall);
        let entry = Entry {
            departure,
            expires_at,
        };
        self.entries.insert(name, entry);
        true
    }

    /// Removes the expired entries, which no instance has repeated.
    pub fn expire(&mut self, now: Instant) {
        let expired = self.entries.iter().filter(|(_, e)| e.expires_at <= now);
        let expired: Vec<_> = expired.map(|(name, _)| Arc::clone(name)).collect();
        expired.iter().for_each(|name| self.remove(name));
    }

    /// Returns all entries, for a peer that may have missed some.
    pub fn all(&self) -> impl Iterator<Item = &Departure> {
        self.entries.values().map(|entry| &entry.departure)
    }

    fn drop_oldest(&mut self) {
        let oldest = self.entries.values().min_by_key(|entry| entry.expires_at);
        if let Some(name) = oldest.map(|entry| Arc::clone(&entry.departure.name)) {
            self.remove(&name);
        }
    }

    fn remove(&mut self, name: &str) {
        if let Some(entry) = self.entries.remove(name) {
            self.digest ^= hash(&entry.departure);
        }
    }
}

/// Returns the contribution of one entry to the digest.
fn hash(departure: &Departure) -> u64 {
    let mut bytes = departure.name.as_bytes().to_vec();
    bytes.extend(departure.incarnation.to_le_bytes());
    bytes.push(u8::from(departure.leaving));
    xxh3_64(&bytes)
}
