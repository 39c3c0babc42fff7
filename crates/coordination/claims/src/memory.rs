//! What the owner of a slot remembers of its keys.

use std::collections::VecDeque;
use std::sync::Arc;

use uuid::Uuid;

use hemlockwind_core::collections::SeededHashMap;
use hemlockwind_core::edges::Answer;
use hemlockwind_core::time::Instant;
use hemlockwind_core::time::WallTime;

use crate::key::Key;
use crate::slots::CallId;

/// `Id` is a key in the scope of its organisation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Id {
    /// The organisation's name.
    pub organisation: Arc<str>,
    /// The key.
    pub key: Key,
}

/// `State` is what is known of a key.
#[derive(Clone, Debug, PartialEq)]
pub enum State {
    /// A claim in the platform is being made; an earlier owner may have made one.
    Claiming,
    /// A dispatch runs.
    Open,
    /// The service answered.
    Answered(Answer),
    /// It was sent, and whether it ran is not known; or the answer was not kept.
    Unknown,
    /// It did not run. A request with a later id may run.
    Refused {
        /// The highest id of a request that was told so.
        up_to: Uuid,
    },
}

/// `Entry` is what is remembered of one key.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The digest of the request that the key was first used for.
    pub digest: u128,
    /// What is known.
    pub state: State,
    /// Other requests that wait for the outcome.
    pub joined: Vec<(CallId, Uuid)>,
}

/// `Memory` holds the keys that a slot's owner accepted in its term.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    entries: SeededHashMap<Id, Entry>,
    /// Entries in the order in which they may be dropped.
    expiry: VecDeque<(Instant, Id)>,
    /// A key that was made before this time and is not remembered may have run.
    floor: WallTime,
    /// For each organisation, the highest id of a request that was refused without
    /// an entry.
    refused: SeededHashMap<Arc<str>, Uuid>,
    /// The number of keys of each organisation.
    organisations: SeededHashMap<Arc<str>, usize>,
    answer_bytes: usize,
}

impl Memory {
    /// An empty memory, for a term in which a key made before `floor` may have run
    /// under an earlier owner.
    pub fn new(floor: WallTime) -> Self {
        Self {
            floor,
            ..Self::default()
        }
    }

    /// The time before which a key that is not remembered may have run.
    pub fn floor(&self) -> WallTime {
        self.floor
    }

    /// The number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// The number of keys of one organisation.
    pub fn len_of(&self, organisation: &Arc<str>) -> usize {
        self.organisations.get(organisation).copied().unwrap_or(0)
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of the answers that are kept.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// What is remembered of `id`.
    pub fn get_mut(&mut self, id: &Id) -> Option<&mut Entry> {
        self.entries.get_mut(id)
    }

    /// Remembers a key that was just accepted, until `expires_at`.
    pub fn open(&mut self, id: Id, digest: u128, state: State, expires_at: Instant) {
        let entry = Entry {
            digest,
            state,
            joined: Vec::new(),
        };
        self.entries.insert(id.clone(), entry);
        let keys = self.organisations.entry(Arc::clone(&id.organisation));
        *keys.or_default() += 1;
        self.expiry.push_back((expires_at, id));
    }

    /// Forgets a key without time, whose claim in the platform guards it.
    pub fn remove(&mut self, id: &Id) -> Option<Entry> {
        let entry = self.entries.remove(id)?;
        if let Some(keys) = self.organisations.get_mut(&id.organisation) {
            *keys -= 1;
            if *keys == 0 {
                self.organisations.remove(&id.organisation);
            }
        }
        Some(entry)
    }

    /// Sets the state of an open key and gives the requests that waited for it.
    pub fn settle(&mut self, id: &Id, state: State) -> Vec<(CallId, Uuid)> {
        let Some(entry) = self.entries.get_mut(id) else {
            return Vec::new();
        };
        if let State::Answered(answer) = &state {
            self.answer_bytes += answer.body.len();
        }
        entry.state = state;
        std::mem::take(&mut entry.joined)
    }

    /// Notes that `request` was refused without an entry for its key.
    pub fn refuse(&mut self, organisation: &Arc<str>, request: Uuid) {
        let up_to = self.refused.entry(Arc::clone(organisation));
        let up_to = up_to.or_insert(request);
        *up_to = request.max(*up_to);
    }

    /// Whether `request` may be a copy of one that was refused without an entry.
    pub fn is_refused(&self, organisation: &Arc<str>, request: Uuid) -> bool {
        let up_to = self.refused.get(organisation);
        up_to.is_some_and(|up_to| request <= *up_to)
    }

    /// Drops what has expired. The floor rises above the time of each dropped key,
    /// so that the key is not taken for a new one.
    pub fn expire(&mut self, now: Instant, next: Instant) {
        while self.expiry.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, id)) = self.expiry.pop_front() else {
                return;
            };
            match self.entries.get(&id).map(|entry| &entry.state) {
                Some(State::Claiming | State::Open) => self.expiry.push_back((next, id)),
                Some(State::Answered(_) | State::Unknown | State::Refused { .. }) => {
                    self.drop_entry(&id);
                }
                None => {}
            }
        }
    }

    fn drop_entry(&mut self, id: &Id) {
        let Some(entry) = self.remove(id) else {
            return;
        };
        if let State::Answered(answer) = entry.state {
            self.answer_bytes -= answer.body.len();
        }
        if let Some(time) = id.key.time() {
            let above = WallTime::from_millis(time.as_millis().saturating_add(1));
            self.floor = self.floor.max(above);
        }
    }

    /// The requests that wait for an outcome that this memory won't learn.
    pub fn into_joined(self) -> Vec<CallId> {
        let joined = self.entries.into_values().flat_map(|entry| entry.joined);
        joined.map(|(call, _)| call).collect()
    }
}
