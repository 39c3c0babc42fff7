//! Instances of other data centres, of which a few are contacts.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hemlockwind_core::time::Instant;

use crate::member::Identity;
use crate::rendezvous::Duty;
use crate::rendezvous::score;

/// Contacts in each other data centre.
pub(crate) const CONTACTS: usize = 4;
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
            .map(|contacts| best(now, contacts))
            .collect()
    }
}

fn best(now: Instant, contacts: &BTreeMap<Arc<str>, Contact>) -> Vec<&Identity> {
    let mut order: Vec<_> = contacts.values().collect();
    order.sort_by_key(|c| (c.avoid_until > now, std::cmp::Reverse(c.score)));
    order
        .into_iter()
        .take(CONTACTS)
        .map(|c| &c.identity)
        .collect()
}
