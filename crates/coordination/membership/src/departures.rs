//! Backend servers that are leaving, as any instance has heard.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use hemlockwind_core::time::Instant;
use hemlockwind_core::time::WallTime;

/// Backend servers in the list at most.
const LIMIT: usize = 4_096;
/// The time after its observation when an entry that nobody repeats is dropped,
/// by the wall clock, so that it ends everywhere and peers don't bring it back.
const KEEP_FOR: Duration = Duration::from_secs(120);

/// `Departure` tells whether a backend server is leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departure {
    /// The backend server's name.
    pub name: Arc<str>,
    /// Orders what is said of one backend server; the highest wins. It is the
    /// wall time of the observation, or one above what was known.
    pub incarnation: u64,
    /// Whether it is leaving, or back again.
    pub leaving: bool,
}

/// The time after which an observation is told again, so that it is not dropped.
const REPEAT_AFTER: Duration = Duration::from_secs(10);

#[derive(Clone, Debug)]
struct Entry {
    departure: Departure,
    expires_at: Instant,
}

/// `Departures` is the bounded list of backend servers that are leaving.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    entries: BTreeMap<Arc<str>, Entry>,
    digest: u64,
}

impl Departures {
    /// Whether `name` is known to be leaving.
    pub fn is_leaving(&self, name: &str) -> bool {
        let entry = self.entries.get(name);
        entry.is_some_and(|entry| entry.departure.leaving)
    }

    /// Names of all that are leaving.
    pub fn leaving(&self) -> impl Iterator<Item = &Arc<str>> {
        let leaving = self.entries.iter().filter(|(_, e)| e.departure.leaving);
        leaving.map(|(name, _)| name)
    }

    /// A number that is the same where the same is known.
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// What to tell others when `name` was seen leaving or back; `None` when that
    /// is known and needs no repetition yet.
    pub fn observe(&self, wall: WallTime, name: &Arc<str>, leaving: bool) -> Option<Departure> {
        let known = self.entries.get(name);
        let same = known.map_or(!leaving, |entry| entry.departure.leaving == leaving);
        let told_at = known.map_or(0, |entry| entry.departure.incarnation);
        let fresh = WallTime::from_millis(told_at) + REPEAT_AFTER > wall;
        if same && (fresh || !leaving) {
            return None;
        }
        let above = known.map_or(0, |entry| entry.departure.incarnation + 1);
        Some(Departure {
            name: Arc::clone(name),
            incarnation: wall.as_millis().max(above),
            leaving,
        })
    }

    /// Takes `departure` if it is newer than what is known and not yet over; tells
    /// whether it did.
    pub fn apply(&mut self, now: Instant, wall: WallTime, departure: Departure) -> bool {
        let known = self.entries.get(&departure.name);
        if known.is_some_and(|entry| entry.departure.incarnation >= departure.incarnation) {
            return false;
        }
        let ends = WallTime::from_millis(departure.incarnation) + KEEP_FOR;
        if ends <= wall {
            return false;
        }
        if known.is_none() && self.entries.len() >= LIMIT {
            self.drop_oldest();
        }
        let name = Arc::clone(&departure.name);
        self.remove(&name);
        self.digest ^= hash(&departure);
        let expires_at = now + ends.since(wall);
        let entry = Entry {
            departure,
            expires_at,
        };
        self.entries.insert(name, entry);
        true
    }

    /// Drops what nobody has repeated.
    pub fn expire(&mut self, now: Instant) {
        let over = self.entries.iter().filter(|(_, e)| e.expires_at <= now);
        let over: Vec<_> = over.map(|(name, _)| Arc::clone(name)).collect();
        over.iter().for_each(|name| self.remove(name));
    }

    /// All entries, for a peer that may have missed some.
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

/// The part of the digest that one entry makes.
fn hash(departure: &Departure) -> u64 {
    let mut bytes = departure.name.as_bytes().to_vec();
    bytes.extend(departure.incarnation.to_le_bytes());
    bytes.push(u8::from(departure.leaving));
    xxh3_64(&bytes)
}
