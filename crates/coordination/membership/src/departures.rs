//! Backend servers that are leaving, as any instance has heard.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hemlockwind_core::time::Instant;

/// Backend servers in the list at most.
const LIMIT: usize = 4_096;
/// The time after which an entry that nobody repeats is dropped.
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

#[derive(Clone, Debug)]
struct Entry {
    departure: Departure,
    expires_at: Instant,
}

/// `Departures` is the bounded list of backend servers that are leaving.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    entries: BTreeMap<Arc<str>, Entry>,
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

    /// What to tell others when `name` was seen leaving or back at `wall_ms`;
    /// `None` when that is known and needs no repetition yet.
    pub fn observe(
        &self,
        now: Instant,
        wall_ms: u64,
        name: &Arc<str>,
        leaving: bool,
    ) -> Option<Departure> {
        let known = self.entries.get(name);
        let same = known.map_or(!leaving, |entry| entry.departure.leaving == leaving);
        let fresh = known.is_none_or(|entry| entry.expires_at > now + KEEP_FOR / 2);
        if same && (fresh || !leaving) {
            return None;
        }
        let above = known.map_or(0, |entry| entry.departure.incarnation + 1);
        Some(Departure {
            name: Arc::clone(name),
            incarnation: wall_ms.max(above),
            leaving,
        })
    }

    /// Takes `departure` if it is newer than what is known; tells whether it was.
    pub fn apply(&mut self, now: Instant, departure: Departure) -> bool {
        let known = self.entries.get(&departure.name);
        if known.is_some_and(|entry| entry.departure.incarnation >= departure.incarnation) {
            return false;
        }
        if known.is_none() && self.entries.len() >= LIMIT {
            self.drop_oldest();
        }
        let name = Arc::clone(&departure.name);
        let expires_at = now + KEEP_FOR;
        let entry = Entry {
            departure,
            expires_at,
        };
        self.entries.insert(name, entry);
        true
    }

    /// Drops what nobody has repeated.
    pub fn expire(&mut self, now: Instant) {
        self.entries.retain(|_, entry| entry.expires_at > now);
    }

    /// All entries, for a peer that may have missed some.
    pub fn all(&self) -> impl Iterator<Item = &Departure> {
        self.entries.values().map(|entry| &entry.departure)
    }

    fn drop_oldest(&mut self) {
        let oldest = self.entries.values().min_by_key(|entry| entry.expires_at);
        if let Some(name) = oldest.map(|entry| Arc::clone(&entry.departure.name)) {
            self.entries.remove(&name);
        }
    }
}
