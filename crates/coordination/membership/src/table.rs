//! The instances of the own data centre, as believed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use hemlockwind_core::time::Instant;

use crate::member::News;
use crate::member::State;
use crate::rendezvous::Duty;
use crate::rendezvous::score;

/// The time after which a dead instance is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// `Member` is one instance in the table.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    /// What is believed.
    pub news: News,
    /// When a suspect is taken for dead, or a dead one forgotten.
    pub expires_at: Instant,
    hash: u64,
    place: u64,
}

/// `Table` holds what is believed of the instances of one data centre.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    members: BTreeMap<Arc<str>, Member>,
    digest: u64,
}

impl Table {
    /// Takes `news` if it wins over what is believed; tells whether it did.
    pub fn apply(&mut self, now: Instant, news: News, suspicion: Duration) -> bool {
        let old = self.members.get(&news.identity.name);
        if old.is_some_and(|old| !news.wins_over(&old.news)) {
            return false;
        }
        let expires_at = match news.state {
            State::Live | State::Leaving => Instant::NEVER,
            State::Suspect => now + suspicion,
            State::Dead => now + FORGET_AFTER,
        };
        self.digest ^= old.map_or(0, |old| old.hash);
        let hash = hash(&news);
        self.digest ^= hash;
        let name = Arc::clone(&news.identity.name);
        let member = Member {
            place: xxh3_64(name.as_bytes()),
            news,
            expires_at,
            hash,
        };
        self.members.insert(name, member);
        true
    }

    /// Forgets an instance.
    pub fn remove(&mut self, name: &str) {
        if let Some(member) = self.members.remove(name) {
            self.digest ^= member.hash;
        }
    }

    /// What is believed of `name`.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// The instances in the order of their names.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Member> {
        self.members.values()
    }

    /// The number of instances, the dead among them.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// A number that is the same where the same is believed.
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// The `n` instances after `name` on a ring of hashed names, without the dead.
    pub fn successors(&self, name: &str, n: usize) -> Vec<&News> {
        let start = xxh3_64(name.as_bytes());
        let others = self.members.iter();
        let others = others.filter(|(other, m)| &***other != name && m.news.state != State::Dead);
        let mut order: Vec<_> = others.map(|(_, m)| m).collect();
        order.sort_unstable_by_key(|member| member.place.wrapping_sub(start));
        order
            .into_iter()
            .take(n)
            .map(|member| &member.news)
            .collect()
    }

    /// Moves the end of every suspicion to `at` or later.
    pub fn extend_suspicions(&mut self, at: Instant) {
        let members = self.members.values_mut();
        let suspects = members.filter(|m| m.news.state == State::Suspect);
        suspects.for_each(|m| m.expires_at = m.expires_at.max(at));
    }

    /// The next time at which a suspect is dead or a dead one forgotten.
    pub fn next_expiry(&self) -> Instant {
        let times = self.members.values().map(|member| member.expires_at);
        times.min().unwrap_or(Instant::NEVER)
    }

    /// The `n` instances that hold `duty`, the first one first.
    pub fn holders(&self, duty: Duty<'_>, n: usize) -> Vec<Arc<str>> {
        let able = self.members.iter().filter(|(_, m)| match m.news.state {
            State::Live | State::Suspect => true,
            State::Leaving | State::Dead => false,
        });
        let mut scored: Vec<_> = able.map(|(name, _)| (score(duty, name), name)).collect();
        scored.sort_unstable_by(|a, b| b.cmp(a));
        let first = scored.into_iter().take(n);
        first.map(|(_, name)| Arc::clone(name)).collect()
    }
}

/// The part of the table's digest that one belief makes.
fn hash(news: &News) -> u64 {
    let mut bytes = news.identity.name.as_bytes().to_vec();
    bytes.extend(news.incarnation.0.to_le_bytes());
    bytes.push(news.state as u8);
    xxh3_64(&bytes)
}
