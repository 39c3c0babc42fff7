//! The backend servers that the store lists.
//!
//! Entries may lapse while the store is away although their servers live. They come
//! back within a known time of its return; until then a removal is only noted.

use std::sync::Arc;
use std::time::Duration;

use hemlockwind_core::collections::SeededHashMap;
use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::servers::BackendServer;
use hemlockwind_core::time::Instant;

/// Time from the store's return until entries that lapsed are back, with a margin: the
/// platform promises about two seconds.
const RETURN_TIME: Duration = Duration::from_millis(2_300);

#[derive(Clone, Debug)]
struct Entry {
    server: Arc<BackendServer>,
    /// When it is taken as gone, unless it comes back.
    gone_at: Instant,
}

/// `Directory` holds the listed backend servers.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: SeededHashMap<Arc<str>, Entry>,
    is_away: bool,
    settled_at: Instant,
}

impl Directory {
    /// The store can't be reached.
    pub fn lost(&mut self) {
        self.is_away = true;
    }

    /// The store answers again.
    pub fn regained(&mut self, now: Instant) {
        if self.is_away {
            self.is_away = false;
            self.settled_at = now + RETURN_TIME;
        }
    }

    /// The store answers again, and it was away from this instance alone.
    pub fn found(&mut self) {
        self.is_away = false;
    }

    /// Removed entries may come back until `until`, as another instance says.
    pub fn settle(&mut self, until: Instant) {
        self.settled_at = self.settled_at.max(until);
    }

    /// The time for which removed entries may still come back.
    pub fn settling(&self, now: Instant) -> Duration {
        self.settled_at.since(now)
    }

    /// Takes an entry as it is now.
    pub fn put(&mut self, server: BackendServer) {
        // An address belongs to one server; an older entry for it is out of date.
        self.entries
            .retain(|id, e| e.server.addr != server.addr || *id == server.id);
        let entry = Entry {
            gone_at: Instant::NEVER,
            server: Arc::new(server),
        };
        self.entries.insert(Arc::clone(&entry.server.id), entry);
    }

    /// Takes an engine's own word on its layers. Returns whether it is news.
    pub fn set_layers(&mut self, id: &str, layers: Option<LayerRange>) -> bool {
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        let is_news = entry.server.layers != layers;
        if is_news {
            Arc::make_mut(&mut entry.server).layers = layers;
        }
        is_news
    }

    /// An entry was removed.
    pub fn remove(&mut self, now: Instant, id: &str) {
        if self.settled_at <= now {
            self.entries.remove(id);
        } else if let Some(entry) = self.entries.get_mut(id) {
            entry.gone_at = entry.gone_at.min(self.settled_at);
        }
    }

    /// Takes a whole list; entries that are not in it were removed.
    pub fn replace(&mut self, now: Instant, listed: Vec<BackendServer>) {
        let missing: Vec<Arc<str>> = self
            .entries
            .keys()
            .filter(|id| !listed.iter().any(|s| s.id == **id))
            .cloned()
            .collect();
        for id in missing {
            self.remove(now, &id);
        }
        for server in listed {
            self.put(server);
        }
    }

    /// Forgets the entries that did not come back. Returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.entries.len();
        self.entries.retain(|_, e| e.gone_at > now);
        self.entries.len() != before
    }

    /// When [`Directory::expire`] is next due.
    pub fn next_deadline(&self) -> Instant {
        let gone = self.entries.values().map(|e| e.gone_at).min();
        gone.unwrap_or(Instant::NEVER)
    }

    /// All backend servers that count as there.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<BackendServer>> {
        self.entries.values().map(|e| &e.server)
    }

    /// Those of one service.
    pub fn of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<BackendServer>> {
        self.iter().filter(move |s| *s.service == *service)
    }

    /// The server with this id.
    pub fn get(&self, id: &str) -> Option<&Arc<BackendServer>> {
        self.entries.get(id).map(|e| &e.server)
    }
}
