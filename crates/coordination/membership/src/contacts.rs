//! Instances of other data centres, of which a few are contacts.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use rand::seq::IteratorRandom;

use hemlockwind_core::time::Instant;

use crate::member::Identity;
use crate::rendezvous::Duty;
use crate::rendezvous::score;

/// Contacts in each other data centre.
pub(crate) const CONTACTS: usize = 4;
/// Contacts in each other data centre that are probed before others.
const FIRST: usize = 2;
/// The time for which an instance that did not answer is left out.
const AVOID_FOR: Duration = Duration::from_secs(10);

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
    /// Adds an instance, or its new address.
    pub fn insert(&mut self, identity: Identity) {
        let of = self.by_data_centre.entry(Arc::clone(&identity.data_centre));
        let contacts = of.or_default();
        let known = contacts.get(&identity.name);
        let contact = Contact {
            score: score(Duty::Configuration, &identity.name),
            avoid_until: known.map_or(Instant::ZERO, |known| known.avoid_until),
            identity,
        };
        let name = Arc::clone(&contact.identity.name);
        contacts.insert(name, contact);
    }

    /// Leaves out an instance that did not answer, for a while.
    pub fn avoid(&mut self, now: Instant, name: &str) {
        if let Some(contact) = self.get_mut(name) {
            contact.avoid_until = now + AVOID_FOR;
        }
    }

    /// Takes an instance that was heard from back in.
    pub fn heard(&mut self, name: &str) {
        if let Some(contact) = self.get_mut(name) {
            contact.avoid_until = Instant::ZERO;
        }
    }

    fn get_mut(&mut self, name: &str) -> Option<&mut Contact> {
        let mut all = self.by_data_centre.values_mut();
        all.find_map(|contacts| contacts.get_mut(name))
    }

    /// The instance of this name.
    pub fn get(&self, name: &str) -> Option<&Identity> {
        let mut all = self.by_data_centre.values();
        let contact = all.find_map(|contacts| contacts.get(name));
        contact.map(|contact| &contact.identity)
    }

    /// The contacts in each other data centre, those that are likely to watch
    /// the configuration first.
    pub fn each(&self, now: Instant) -> Vec<Vec<&Identity>> {
        let all = self.by_data_centre.values();
        all.filter(|contacts| !contacts.is_empty())
            .map(|contacts| best(now, contacts).take(CONTACTS))
            .map(|contacts| contacts.map(|contact| &contact.identity).collect())
            .collect()
    }

    /// All instances but those that did not answer lately; where none of a data
    /// centre did, all of it.
    pub fn answering(&self, now: Instant) -> impl Iterator<Item = &Identity> {
        self.by_data_centre.values().flat_map(move |contacts| {
            let is_cut = contacts.values().all(|c| c.avoid_until > now);
            let answering = contacts.values();
            let answering = answering.filter(move |c| is_cut || c.avoid_until <= now);
            answering.map(|contact| &contact.identity)
        })
    }

    /// The number of other data centres.
    pub fn len(&self) -> usize {
        self.by_data_centre.len()
    }

    /// A random instance of data centre number `at`: one of the first contacts,
    /// or any.
    pub fn choose<R: Rng>(
        &self,
        now: Instant,
        at: usize,
        first: bool,
        rng: &mut R,
    ) -> Option<&Identity> {
        let contacts = self.by_data_centre.values().nth(at)?;
        if first {
            let best: Vec<_> = best(now, contacts).take(FIRST).collect();
            return best.choose(rng).map(|contact| &contact.identity);
        }
        let live = contacts.values().filter(|c| c.avoid_until <= now);
        let chosen = live.choose(rng).or_else(|| contacts.values().choose(rng));
        chosen.map(|contact| &contact.identity)
    }

    /// The first contact in the same data centre as `identity` that answers, as
    /// far as is known.
    pub fn another(&self, now: Instant, identity: &Identity) -> Option<&Identity> {
        let contacts = self.by_data_centre.get(&identity.data_centre)?;
        let first = best(now, contacts).next()?;
        (first.avoid_until <= now).then_some(&first.identity)
    }
}

fn best(now: Instant, contacts: &BTreeMap<Arc<str>, Contact>) -> impl Iterator<Item = &Contact> {
    let mut order: Vec<_> = contacts.values().collect();
    let avoid = |contact: &Contact| contact.avoid_until.max(now);
    order.sort_by_key(|contact| (avoid(contact), Reverse(contact.score)));
    order.into_iter()
}
