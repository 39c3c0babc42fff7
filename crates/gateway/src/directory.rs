//! The backend servers that the store lists.
//!
//! Entries may expire while the store is unavailable although their servers are alive.
//! They reappear within a bounded time after its recovery; until then a removal is only
//! recorded.
//!
//! Several entries may name one address: that of a server that crashed there stands until it
//! expires, and other writers may leave entries of their own. One of them is in use; the others are
//! kept, as any of them may be the one that remains. The choice depends on the entries alone, not on
//! the order in which they were received.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::collections::SeededHashMap;
use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::servers::BackendServer;
use hemlockwind_core::servers::ServerState;
use hemlockwind_core::time::Instant;

/// Time from the store's recovery until expired entries have reappeared, with a margin:
/// the platform promises about two seconds.
const REAPPEAR_TIME: Duration = Duration::from_millis(2_300);

/// How long a removed server is remembered: a store that is restored from a snapshot lists it
/// again. Snapshots are some seconds old.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);

/// Number of announcements from which those of servers without an entry are removed.
const MAX_LEAVING: usize = 1_024;

#[derive(Clone, Debug)]
struct Entry {
    server: Arc<BackendServer>,
    /// When the entry is removed, unless it reappears before.
    remove_at: Instant,
    /// Whether another entry with the same address is in use instead.
    is_superseded: bool,
    /// Whether the server at the address answered that it is another one.
    is_refuted: bool,
}

/// `Directory` holds the listed backend servers.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: SeededHashMap<Arc<str>, Entry>,
    /// The ids of the entries with each address.
    by_addr: HashMap<SocketAddr, Vec<Arc<str>>>,
    /// The names of the services that the routes in force use.
    services: SeededHashMap<Arc<str>, ()>,
    is_store_lost: bool,
    /// Until this time, removed entries may reappear.
    settled_at: Instant,
    /// Servers that announced in their answers that they leave, and when they had started, in
    /// milliseconds since the Unix epoch. Their entries may still say that they are ready.
    leaving: SeededHashMap<Arc<str>, u64>,
    /// The servers that were removed, when they had started, and until when they are remembered.
    removed: SeededHashMap<Arc<str>, (u64, Instant)>,
    /// Until this time, lists may contain entries that were removed, as the store was restored.
    restored_until: Instant,
    /// The entries of the last list that were skipped and have not changed since. They are taken
    /// when the time in which removed entries are skipped ends, as the servers may have written them
    /// after the restore and before the list.
    skipped: SeededHashMap<Arc<str>, BackendServer>,
    /// Whether no list was read since the store was restored.
    is_list_pending: bool,
}

impl Directory {
    /// Records that the store can't be reached.
    pub fn mark_store_lost(&mut self) {
        self.is_store_lost = true;
    }

    /// Records that the store answers again after an outage.
    pub fn mark_store_regained(&mut self, now: Instant) {
        if self.is_store_lost {
            self.is_store_lost = false;
            self.extend_settling(now + REAPPEAR_TIME);
        }
    }

    /// Records that the store answers again after it was unreachable from this instance
    /// only.
    pub fn mark_store_reconnected(&mut self) {
        self.is_store_lost = false;
    }

    /// Records that the store was restored from a snapshot: the servers write their entries again
    /// within a bounded time, and the list may show earlier states of them until then. An error
    /// answer may show the restore, so the store still counts as lost: the servers can't write before
    /// it is regained.
    pub fn mark_store_restored(&mut self, now: Instant) {
        self.is_list_pending = true;
        self.extend_settling(now + REAPPEAR_TIME);
        // The restore may have undone writes of these servers after they were found missing.
        for entry in self.entries.values_mut() {
            if entry.remove_at != Instant::NEVER {
                entry.remove_at = entry.remove_at.max(self.settled_at);
            }
        }
        let entries = self.entries.values();
        let leaving = entries.filter(|e| e.server.state == ServerState::Leaving);
        let leaving = leaving.map(|e| (Arc::clone(&e.server.id), e.server.born_ms));
        self.leaving.extend(leaving);
    }

    /// Extends the time in which removed entries may reappear, as another instance
    /// reported.
    pub fn extend_settling(&mut self, until: Instant) {
        self.settled_at = self.settled_at.max(until);
        if self.is_list_pending {
            self.restored_until = self.settled_at;
        }
    }

    /// Returns the time for which removed entries may still reappear.
    pub fn settling(&self, now: Instant) -> Duration {
        self.settled_at.since(now)
    }

    /// Adds or replaces an entry.
    pub fn put(&mut self, server: BackendServer) {
        let mut server = server;
        match self.leaving.get(&server.id) {
            Some(born_ms) if server.born_ms <= *born_ms => server.state = ServerState::Leaving,
            // A later process of this id has started.
            Some(_) => drop(self.leaving.remove(&server.id)),
            None => {}
        }
        self.removed.remove(&server.id);
        self.skipped.remove(&server.id);
        let before = self.entries.get(&server.id);
        let is_unchanged = before.is_some_and(|e| *e.server == server);
        let entry = Entry {
            remove_at: Instant::NEVER,
            is_superseded: false,
            // A server that writes another entry runs.
            is_refuted: is_unchanged && before.is_some_and(|e| e.is_refuted),
            server: Arc::new(server),
        };
        self.drop_entry(&entry.server.id);
        let (id, addr) = (Arc::clone(&entry.server.id), entry.server.addr);
        self.by_addr.entry(addr).or_default().push(Arc::clone(&id));
        self.entries.insert(id, entry);
        self.choose(addr);
    }

    /// Removes an entry and returns its server.
    fn drop_entry(&mut self, id: &str) -> Option<Arc<BackendServer>> {
        let server = self.entries.remove(id)?.server;
        if let Some(ids) = self.by_addr.get_mut(&server.addr) {
            ids.retain(|other| **other != *id);
            if ids.is_empty() {
                self.by_addr.remove(&server.addr);
            }
        }
        self.choose(server.addr);
        Some(server)
    }

    /// Chooses the entry of an address that is in use.
    fn choose(&mut self, addr: SocketAddr) {
        let Some(ids) = self.by_addr.get(&addr) else {
            return;
        };
        // Most addresses have one entry.
        let chosen = match &ids[..] {
            [id] => Some(id),
            ids => ids.iter().max_by_key(|id| {
                let entry = self.entries.get(*id);
                entry.map(|e| (self.precedence(e), Reverse(Arc::clone(id))))
            }),
        };
        let chosen = chosen.cloned();
        for id in ids.clone() {
            if let Some(entry) = self.entries.get_mut(&id) {
                entry.is_superseded = Some(&id) != chosen.as_ref();
            }
        }
    }

    /// Returns a value that is higher for the entry that is more likely to describe the server at its
    /// address: that of a service that is in use, of a server that has not denied it, of the latest
    /// process, and one that the store still lists.
    fn precedence(&self, entry: &Entry) -> (bool, bool, u64, bool) {
        (
            self.services.contains_key(&entry.server.service),
            !entry.is_refuted,
            entry.server.born_ms,
            entry.remove_at == Instant::NEVER,
        )
    }

    /// Sets the names of the services that the routes in force use.
    pub fn set_services<'a>(&mut self, names: impl Iterator<Item = &'a Arc<str>>) {
        let services: SeededHashMap<Arc<str>, ()> = names.map(|n| (Arc::clone(n), ())).collect();
        if services == self.services {
            return;
        }
        self.services = services;
        let shared = self.by_addr.iter().filter(|(_, ids)| ids.len() > 1);
        let shared: Vec<SocketAddr> = shared.map(|(addr, _)| *addr).collect();
        for addr in shared {
            self.choose(addr);
        }
    }

    /// Records that the server at the address of an entry answered that it is not this one. Returns
    /// whether another entry is in use from now on.
    pub fn refute(&mut self, server: &BackendServer) -> bool {
        let Some(entry) = self.entries.get_mut(&server.id) else {
            return false;
        };
        if (entry.server.addr, entry.server.born_ms) != (server.addr, server.born_ms) {
            return false;
        }
        entry.is_refuted = true;
        self.choose(server.addr);
        self.get(&server.id).is_none()
    }

    /// Records that the process of a server that started at `born_ms` announced that it leaves.
    /// Returns whether that was not known. A later process of the id is not concerned.
    pub fn announce_leaving(&mut self, id: &str, born_ms: u64) -> bool {
        if self.leaving.len() >= MAX_LEAVING {
            let entries = &self.entries;
            self.leaving.retain(|id, _| entries.contains_key(id));
        }
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        if born_ms < entry.server.born_ms {
            return false;
        }
        let known = self.leaving.entry(Arc::clone(&entry.server.id));
        let known = known.or_insert(born_ms);
        *known = born_ms.max(*known);
        let server = Arc::make_mut(&mut entry.server);
        let is_new = server.state == ServerState::Ready && server.born_ms == born_ms;
        if is_new {
            server.state = ServerState::Leaving;
        }
        is_new
    }

    /// Returns whether a server leaves, by its entry or its own announcement.
    pub fn is_leaving(&self, id: &str) -> bool {
        let server = self.get(id);
        server.is_some_and(|s| s.state == ServerState::Leaving) || self.leaving.contains_key(id)
    }

    /// Sets the layers that an engine reported. Returns whether they have changed.
    pub fn set_layers(&mut self, id: &str, layers: Option<LayerRange>) -> bool {
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        let is_changed = entry.server.layers != layers;
        if is_changed {
            Arc::make_mut(&mut entry.server).layers = layers;
        }
        is_changed
    }

    /// Removes an entry, or schedules its removal while entries may still reappear.
    pub fn remove(&mut self, now: Instant, id: &str) {
        self.skipped.remove(id);
        if self.settled_at <= now {
            if let Some(server) = self.drop_entry(id) {
                self.remember_removed(now, &server);
            }
        } else if let Some(entry) = self.entries.get_mut(id) {
            entry.remove_at = entry.remove_at.min(self.settled_at);
            let addr = entry.server.addr;
            self.choose(addr);
        }
    }

    fn remember_removed(&mut self, now: Instant, server: &BackendServer) {
        self.removed.retain(|_, (_, until)| *until > now);
        if self.removed.len() < MAX_LEAVING {
            let removed = (server.born_ms, now + REMOVED_RETENTION);
            self.removed.insert(Arc::clone(&server.id), removed);
        }
    }

    /// Whether a list shows a server only because the store was restored to a state before its
    /// removal. Its own next write, or that of a later process, comes as a change.
    fn is_undone_removal(&self, now: Instant, server: &BackendServer) -> bool {
        let removed = self.removed.get(&server.id);
        now < self.restored_until && removed.is_some_and(|(born_ms, _)| server.born_ms <= *born_ms)
    }

    /// Replaces all entries; those that are not listed are removed.
    pub fn replace(&mut self, now: Instant, listed: Vec<BackendServer>) {
        self.is_list_pending = false;
        let names: SeededHashMap<&str, ()> = listed.iter().map(|s| (&*s.id, ())).collect();
        let missing = self.entries.keys().filter(|id| !names.contains_key(&***id));
        let missing: Vec<Arc<str>> = missing.cloned().collect();
        for id in missing {
            self.remove(now, &id);
        }
        let (skipped, taken): (Vec<_>, Vec<_>) = listed
            .into_iter()
            .partition(|s| self.is_undone_removal(now, s));
        self.skipped.clear();
        for server in skipped {
            self.skipped.insert(Arc::clone(&server.id), server);
        }
        for server in taken {
            self.put(server);
        }
    }

    /// Removes the entries that did not reappear, and takes those that were skipped after a restore
    /// and are still listed. Returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let due = self.entries.values().filter(|e| e.remove_at <= now);
        let due: Vec<Arc<BackendServer>> = due.map(|e| Arc::clone(&e.server)).collect();
        for server in &due {
            self.drop_entry(&server.id);
            self.remember_removed(now, server);
        }
        let mut skipped = Vec::new();
        if self.restored_until <= now {
            skipped.extend(std::mem::take(&mut self.skipped).into_values());
        }
        let mut is_changed = !due.is_empty();
        for server in skipped {
            let id = Arc::clone(&server.id);
            self.put(server);
            is_changed |= self.get(&id).is_some();
        }
        is_changed
    }

    /// Returns when [`Directory::expire`] is next due.
    pub fn next_deadline(&self) -> Instant {
        let removal = self.entries.values().map(|e| e.remove_at).min();
        let removal = removal.unwrap_or(Instant::NEVER);
        match self.skipped.is_empty() {
            true => removal,
            false => removal.min(self.restored_until),
        }
    }

    /// Returns the listed backend servers, also those that may still reappear. No two of them have the
    /// same address.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<BackendServer>> {
        let in_use = self.entries.values().filter(|e| !e.is_superseded);
        in_use.map(|e| &e.server)
    }

    /// Returns the servers of one service.
    pub fn of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<BackendServer>> {
        self.iter().filter(move |s| *s.service == *service)
    }

    /// Returns the server with this id, unless another one is in use at its address.
    pub fn get(&self, id: &str) -> Option<&Arc<BackendServer>> {
        let entry = self.entries.get(id).filter(|e| !e.is_superseded);
        entry.map(|e| &e.server)
    }

    /// Returns the server at this address.
    pub fn at(&self, addr: SocketAddr) -> Option<&Arc<BackendServer>> {
        self.by_addr.get(&addr)?.iter().find_map(|id| self.get(id))
    }

    /// Returns the servers that are not used, each with the one that is in use at its address.
    pub fn superseded(&self) -> impl Iterator<Item = (&Arc<BackendServer>, &Arc<BackendServer>)> {
        let superseded = self.entries.values().filter(|e| e.is_superseded);
        superseded.filter_map(|e| Some((&e.server, self.at(e.server.addr)?)))
    }
}
