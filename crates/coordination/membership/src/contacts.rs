//! The instances of other data centres, a few of which serve as contacts.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use rand::seq::IteratorRandom;

use hemlockwind_core::time::Instant;

use crate::member::Identity;
use crate::rendezvous::Assignment;
use crate::rendezvous::score;

/// The number of contacts in each other data centre.
pub(crate) const CONTACTS: usize = 4;
/// The number of contacts in each other data centre that are preferred for probes.
const PREFERRED: usize = 2;
/// How long an instance that did not answer is avoided.
const AVOID_DURATION: Duration = Duration::from_secs(10);

#[derive(Clone, Debug)]
struct Contact {
    identity: Identity,
    score: u64,
    avoid_until: Instant,
}

/// `Contacts` holds instances of other data centres.
#[derive(Clone, Debug, Default)]
pub(crate) struct Contacts {
    by_data_centre: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Contact>>,
}

impl Contacts {
    /// Adds an instance, or updates its address.
    pub fn insert(&mut self, identity: Identity) {
        let entry = self.by_data_centre.entry(Arc::clone(&identity.data_centre));
        let contacts = entry.or_default();
        let existing = contacts.get(&identity.name);
        let contact = Contact {
            score: score(Assignment::Configuration, &identity.name),
            avoid_until: existing.map_or(Instant::ZERO, |existing| existing.avoid_until),
            identity,
        };
        let name = Arc::clone(&contact.identity.name);
        contacts.insert(name, contact);
    }

    /// Avoids an instance for [`AVOID_DURATION`], as it did not answer.
    pub fn mark_unreachable(&mut self, now: Instant, name: &str) {
        if let Some(contact) = self.get_mut(name) {
            contact.avoid_until = now + AVOID_DURATION;
        }
    }

    /// Stops avoiding an instance, as a message from it was received.
    pub fn mark_reachable(&mut self, name: &str) {
        if let Some(contact) = self.get_mut(name) {
            contact.avoid_until = Instant::ZERO;
        }
    }

    fn get_mut(&mut self, name: &str) -> Option<&mut Contact> {
        let mut all = self.by_data_centre.values_mut();
        all.find_map(|contacts| contacts.get_mut(name))
    }

    /// Returns the instance with this name.
    pub fn get(&self, name: &str) -> Option<&Identity> {
        let mut all = self.by_data_centre.values();
        let contact = all.find_map(|contacts| contacts.get(name));
        contact.map(|contact| &contact.identity)
    }

    /// Returns the contacts in each other data centre, first those that are likely to
    /// watch the configuration.
    pub fn per_data_centre(&self, now: Instant) -> Vec<Vec<&Identity>> {
        let all = self.by_data_centre.values();
        all.filter(|contacts| !contacts.is_empty())
            .map(|contacts| by_preference(now, contacts).take(CONTACTS))
            .map(|contacts| contacts.map(|contact| &contact.identity).collect())
            .collect()
    }

    /// Returns all instances except those that recently failed to answer. If that applies
    /// to every instance of a data centre, all of them are returned.
    pub fn answering(&self, now: Instant) -> impl Iterator<Item = &Identity> {
        self.by_data_centre.values().flat_map(move |contacts| {
            let none_answer = contacts.values().all(|c| c.avoid_until > now);
            let answering = contacts.values();
            let answering = answering.filter(move |c| none_answer || c.avoid_until <= now);
            answering.map(|contact| &contact.identity)
        })
    }

    /// Returns the number of other data centres.
    pub fn len(&self) -> usize {
        self.by_data_centre.len()
    }

    /// Returns a random instance of the data centre with this index: one of the preferred
    /// contacts if `preferred` is set, otherwise any.
    pub fn choose<R: Rng>(
        &self,
        now: Instant,
        index: usize,
        preferred: bool,
        rng: &mut R,
    ) -> Option<&Identity> {
        let contacts = self.by_data_centre.values().nth(index)?;
        if preferred {
            let chosen: Vec<_> = by_preference(now, contacts).take(PREFERRED).collect();
            return chosen.choose(rng).map(|contact| &contact.identity);
        }
        let live = contacts.values().filter(|c| c.avoid_until <= now);
        let chosen = live.choose(rng).or_else(|| contacts.values().choose(rng));
        chosen.map(|contact| &contact.identity)
    }

    /// Returns the most preferred contact in the data centre of `identity`, unless every
    /// contact there is being avoided.
    pub fn alternative(&self, now: Instant, identity: &Identity) -> Option<&Identity> {
        let contacts = self.by_data_centre.get(&identity.data_centre)?;
        let first = by_preference(now, contacts).next()?;
        (first.avoid_until <= now).then_some(&first.identity)
    }
}

/// Returns the contacts: first those that are not avoided, by descending score, then the
/// avoided ones in the order in which they may be used again.
fn by_preference(
    now: Instant,
    contacts: &BTreeMap<Arc<str>, Contact>,
) -> impl Iterator<Item = &Contact> {
    let mut order: Vec<_> = contacts.values().collect();
    let usable_at = |contact: &Contact| contact.avoid_until.max(now);
    order.sort_by_key(|contact| (usable_at(contact), Reverse(contact.score)));
    order.into_iter()
}
