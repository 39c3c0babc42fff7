//! This instance's view of the instances of the local data centre.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use hemlockwind_core::time::Instant;

use crate::member::MemberUpdate;
use crate::member::State;
use crate::rendezvous::Assignment;
use crate::rendezvous::score;

/// How long a dead instance stays in the table.
const DEAD_RETENTION: Duration = Duration::from_secs(600);

/// `Member` is one instance in the table.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    /// The latest accepted update.
    pub update: MemberUpdate,
    /// When a suspect is marked dead, or a dead instance is removed.
    pub expires_at: Instant,
    hash: u64,
    ring_position: u64,
}

/// `Table` holds the local view of the instances of one data centre.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    members: BTreeMap<Arc<str>, Member>,
    digest: u64,
}

impl Table {
    /// Records `update` if it supersedes the recorded one. Returns whether it did.
    pub fn apply(
        &mut self,
        now: Instant,
        update: MemberUpdate,
        suspicion_timeout: Duration,
    ) -> bool {
        let old = self.members.get(&update.identity.name);
        if old.is_some_and(|old| !update.supersedes(&old.update)) {
            return false;
        }
        let expires_at = match update.state {
            State::Live | State::Leaving => Instant::NEVER,
            State::Suspect => now + suspicion_timeout,
            State::Dead => now + DEAD_RETENTION,
        };
        self.digest ^= old.map_or(0, |old| old.hash);
        let hash = hash(&update);
        self.digest ^= hash;
        let name = Arc::clone(&update.identity.name);
        let member = Member {
            ring_position: xxh3_64(name.as_bytes()),
            update,
            expires_at,
            hash,
        };
        self.members.insert(name, member);
        true
    }

    /// Removes an instance.
    pub fn remove(&mut self, name: &str) {
        if let Some(member) = self.members.remove(name) {
            self.digest ^= member.hash;
        }
    }

    /// Returns the entry of `name`.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Iterates over the instances in the order of their names.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the number of instances, including dead ones.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns a digest that is equal for tables with the same content.
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the `n` instances after `name` on a ring of hashed names, skipping dead
    /// ones.
    pub fn successors(&self, name: &str, n: usize) -> Vec<&MemberUpdate> {
        let start = xxh3_64(name.as_bytes());
        let others = self.members.iter();
        let others = others.filter(|(other, m)| &***other != name && m.update.state != State::Dead);
        let mut order: Vec<_> = others.map(|(_, m)| m).collect();
        order.sort_unstable_by_key(|member| member.ring_position.wrapping_sub(start));
        order
            .into_iter()
            .take(n)
            .map(|member| &member.update)
            .collect()
    }

    /// Extends every suspicion until at least `at`.
    pub fn extend_suspicions(&mut self, at: Instant) {
        let members = self.members.values_mut();
        let suspects = members.filter(|m| m.update.state == State::Suspect);
        suspects.for_each(|m| m.expires_at = m.expires_at.max(at));
    }

    /// Returns when the next suspect is to be marked dead or the next dead instance
    /// removed.
    pub fn next_expiry(&self) -> Instant {
        let times = self.members.values().map(|member| member.expires_at);
        times.min().unwrap_or(Instant::NEVER)
    }

    /// Returns the `n` instances that hold `assignment`, the highest score first.
    pub fn holders(&self, assignment: Assignment<'_>, n: usize) -> Vec<Arc<str>> {
        let eligible = self.members.iter().filter(|(_, m)| match m.update.state {
            State::Live | State::Suspect => true,
            State::Leaving | State::Dead => false,
        });
        let mut scored: Vec<_> = eligible
            .map(|(name, _)| (score(assignment, name), name))
            .collect();
        scored.sort_unstable_by(|a, b| b.cmp(a));
        let first = scored.into_iter().take(n);
        first.map(|(_, name)| Arc::clone(name)).collect()
    }
}

/// Returns the contribution of one update to the table's digest.
fn hash(update: &MemberUpdate) -> u64 {
    let mut bytes = update.identity.name.as_bytes().to_vec();
    bytes.extend(update.incarnation.0.to_le_bytes());
    bytes.push(update.state as u8);
    xxh3_64(&bytes)
}
