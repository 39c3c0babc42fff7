//! The requests in progress with their states, for the log lines of a planned stop.

use std::fmt::Write;
use std::sync::Arc;

use parking_lot::Mutex;
use slog::Logger;
use slog::warn;
use uuid::Uuid;

use hemlockwind_core::collections::HashMap;

/// Maximum number of requests that one log line names.
const MAX_NAMED_REQUESTS: usize = 16;

/// `RequestState` is what a request in progress waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// Its body, a slot, or a first path.
    Waiting,
    /// A backend server.
    Running,
    /// Another path, after a run that did not end.
    BetweenRuns,
    /// The transmission of the rest of its answer.
    Answering,
}

impl RequestState {
    /// Returns the name of this state in log lines.
    fn name(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Running => "running",
            Self::BetweenRuns => "between_runs",
            Self::Answering => "answering",
        }
    }
}

/// `InProgress` holds the state of each request from its arrival until its answer is transmitted.
#[derive(Debug, Default)]
pub struct InProgress {
    requests: Mutex<HashMap<Uuid, RequestState>>,
}

impl InProgress {
    /// Adds a request. It is removed when all clones of the entry are dropped.
    pub fn add(self: &Arc<Self>, id: Uuid) -> Entry {
        self.requests.lock().insert(id, RequestState::Waiting);
        let table = Arc::clone(self);
        Entry(Arc::new(EntryGuard { table, id }))
    }

    /// Updates the state of a request, unless it was removed.
    pub fn set(&self, id: Uuid, state: RequestState) {
        if let Some(present) = self.requests.lock().get_mut(&id) {
            *present = state;
        }
    }

    /// Returns the current requests in the states for which `filter` returns true.
    pub fn snapshot(&self, filter: impl Fn(RequestState) -> bool) -> Snapshot {
        let requests = self.requests.lock();
        let requests = requests.iter().map(|(&id, &state)| (id, state));
        let mut requests: Vec<_> = requests.filter(|&(_, state)| filter(state)).collect();
        // The ids begin with the time of arrival.
        requests.sort_unstable_by_key(|&(id, _)| id);
        Snapshot { requests }
    }
}

/// `Snapshot` holds requests with their states at one time, the oldest request first.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    requests: Vec<(Uuid, RequestState)>,
}

impl Snapshot {
    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of requests that are in this or in `other`.
    pub fn union_len(&self, other: &Self) -> usize {
        let is_here = |id: Uuid| self.requests.binary_search_by_key(&id, |r| r.0).is_ok();
        let others = other.requests.iter().filter(|r| !is_here(r.0));
        self.len() + others.count()
    }

    /// Returns whether there is no request.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Logs `message` with the number of requests as `key`, the numbers by state, and the oldest
    /// requests.
    pub fn warn(&self, log: &Logger, message: &str, key: &'static str) {
        let count = |state| self.requests.iter().filter(|r| r.1 == state).count();
        let mut named = String::new();
        for (id, state) in self.requests.iter().take(MAX_NAMED_REQUESTS) {
            let separator = if named.is_empty() { "" } else { " " };
            // Writing to a string can't fail.
            let _ = write!(named, "{separator}{id}={}", state.name());
        }
        warn!(log, "{}", message; key => self.len(), "waiting" => count(RequestState::Waiting),
            "running" => count(RequestState::Running), "between_runs" => count(RequestState::BetweenRuns),
            "answering" => count(RequestState::Answering), "requests" => named);
    }
}

/// `Entry` keeps a request among those in progress.
#[derive(Clone, Debug)]
pub struct Entry(Arc<EntryGuard>);

/// `EntryGuard` removes a request when it is dropped.
#[derive(Debug)]
struct EntryGuard {
    table: Arc<InProgress>,
    id: Uuid,
}

impl Entry {
    /// Updates the state of the request.
    pub fn set(&self, state: RequestState) {
        self.0.table.set(self.0.id, state);
    }
}

impl Drop for EntryGuard {
    fn drop(&mut self) {
        self.table.requests.lock().remove(&self.id);
    }
}
