//! The keys that a slot's owner has accepted, with their outcomes.

use std::collections::VecDeque;
use std::sync::Arc;

use uuid::Uuid;

use hemlockwind_core::collections::SeededHashMap;
use hemlockwind_core::edges::Answer;
use hemlockwind_core::time::Instant;
use hemlockwind_core::time::WallTime;

use crate::key::Key;
use crate::slots::CallId;

/// `ScopedKey` identifies a key within its organisation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ScopedKey {
    /// The organisation's name.
    pub organisation: Arc<str>,
    /// The key.
    pub key: Key,
}

/// `State` describes the progress or outcome of a key's request.
#[derive(Clone, Debug, PartialEq)]
pub enum State {
    /// The claim in the platform is being created; an earlier owner may have created it.
    Claiming,
    /// A request is being sent or runs.
    InFlight,
    /// The service answered.
    Answered(Answer),
    /// The request was sent and it is unknown whether it ran, or its answer was not kept.
    Unknown,
    /// The request did not run. A request with a higher id may run.
    Refused {
        /// The highest id among the requests that received this reply.
        up_to: Uuid,
    },
}

/// `Entry` holds the state of one key.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The digest of the request that the key was first used for.
    pub digest: u128,
    /// The progress or outcome.
    pub state: State,
    /// Other requests that wait for the outcome: their calls and ids.
    pub waiters: Vec<(CallId, Uuid)>,
}

/// `KeyTable` holds the keys that a slot's owner accepted in its term.
#[derive(Clone, Debug, Default)]
pub struct KeyTable {
    entries: SeededHashMap<ScopedKey, Entry>,
    /// Keys in the order in which they expire; may contain removed keys.
    expiry: VecDeque<(Instant, ScopedKey)>,
    /// A key that was created before this time and has no entry may have run.
    cutoff: WallTime,
    /// For each organisation, the highest id of a request that was refused without
    /// an entry.
    refused: SeededHashMap<Arc<str>, Uuid>,
    /// Number of keys of each organisation.
    organisations: SeededHashMap<Arc<str>, usize>,
    /// Total size of the stored answers' bodies, in bytes.
    answer_bytes: usize,
}

impl KeyTable {
    /// Returns an empty table for a term in which a key that was created before
    /// `cutoff` may have run under an earlier owner.
    pub fn new(cutoff: WallTime) -> Self {
        Self {
            cutoff,
            ..Self::default()
        }
    }

    /// Returns the creation time before which a key without an entry may have run.
    pub fn cutoff(&self) -> WallTime {
        self.cutoff
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of keys of one organisation.
    pub fn organisation_len(&self, organisation: &Arc<str>) -> usize {
        self.organisations.get(organisation).copied().unwrap_or(0)
    }

    /// Whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the total size of the stored answers' bodies, in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Returns the entry of a key.
    pub fn get_mut(&mut self, scoped_key: &ScopedKey) -> Option<&mut Entry> {
        self.entries.get_mut(scoped_key)
    }

    /// Inserts a key that was just accepted. It expires at `expires_at`.
    pub fn insert(
        &mut self,
        scoped_key: ScopedKey,
        digest: u128,
        state: State,
        expires_at: Instant,
    ) {
        let entry = Entry {
            digest,
            state,
            waiters: Vec::new(),
        };
        self.entries.insert(scoped_key.clone(), entry);
        let keys = self
            .organisations
            .entry(Arc::clone(&scoped_key.organisation));
        *keys.or_default() += 1;
        self.expiry.push_back((expires_at, scoped_key));
    }

    /// Removes a key without raising the cutoff. This is for keys without a creation
    /// time, which are protected by their claims in the platform.
    pub fn remove(&mut self, scoped_key: &ScopedKey) -> Option<Entry> {
        let entry = self.entries.remove(scoped_key)?;
        if let Some(keys) = self.organisations.get_mut(&scoped_key.organisation) {
            *keys -= 1;
            if *keys == 0 {
                self.organisations.remove(&scoped_key.organisation);
            }
        }
        Some(entry)
    }

    /// Sets the state of a key in flight and returns the requests that wait for it.
    pub fn complete(&mut self, scoped_key: &ScopedKey, state: State) -> Vec<(CallId, Uuid)> {
        let Some(entry) = self.entries.get_mut(scoped_key) else {
            return Vec::new();
        };
        if let State::Answered(answer) = &state {
            self.answer_bytes += answer.body.len();
        }
        entry.state = state;
        std::mem::take(&mut entry.waiters)
    }

    /// Records that `request` was refused without an entry for its key.
    pub fn record_refusal(&mut self, organisation: &Arc<str>, request: Uuid) {
        let up_to = self.refused.entry(Arc::clone(organisation));
        let up_to = up_to.or_insert(request);
        *up_to = request.max(*up_to);
    }

    /// Whether `request` may be a copy of one that was refused without an entry.
    pub fn was_refused(&self, organisation: &Arc<str>, request: Uuid) -> bool {
        let up_to = self.refused.get(organisation);
        up_to.is_some_and(|up_to| request <= *up_to)
    }

    /// Removes expired keys. A key whose request is still in flight is checked again
    /// at `next`. The cutoff rises above the creation time of each removed key so that
    /// the key isn't accepted as a new one.
    pub fn expire(&mut self, now: Instant, next: Instant) {
        while self.expiry.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, scoped_key)) = self.expiry.pop_front() else {
                return;
            };
            match self.entries.get(&scoped_key).map(|entry| &entry.state) {
                Some(State::Claiming | State::InFlight) => {
                    self.expiry.push_back((next, scoped_key))
                }
                Some(State::Answered(_) | State::Unknown | State::Refused { .. }) => {
                    self.evict(&scoped_key);
                }
                None => {}
            }
        }
    }

    fn evict(&mut self, scoped_key: &ScopedKey) {
        let Some(entry) = self.remove(scoped_key) else {
            return;
        };
        if let State::Answered(answer) = entry.state {
            self.answer_bytes -= answer.body.len();
        }
        if let Some(time) = scoped_key.key.time() {
            let above = WallTime::from_millis(time.as_millis().saturating_add(1));
            self.cutoff = self.cutoff.max(above);
        }
    }

    /// Consumes the table at the end of its term and returns the requests that still wait
    /// for an outcome.
    pub fn into_waiters(self) -> Vec<CallId> {
        let waiters = self.entries.into_values().flat_map(|entry| entry.waiters);
        waiters.map(|(call, _)| call).collect()
    }
}
