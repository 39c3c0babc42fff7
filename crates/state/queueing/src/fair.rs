//! Start-time fair queueing by cost over the organisations of one rank.
//!
//! Goyal, Vin and Cheng, "Start-time fair queueing", SIGCOMM 1996. An organisation
//! pays when its ticket is granted. Only organisations with waiting tickets, or with
//! a tag ahead of the virtual time, have state here.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::engine::RequestId;
use hemlockwind_core::names::OrganisationKey;

use crate::ticket::Ticket;

/// Virtual time for a cost of one at a share of one.
const VIRTUAL_SCALE: f64 = 65_536.0;
/// The least share, so that a share of zero still moves.
const SHARE_MIN: f64 = 1e-6;

/// `Queue` holds the waiting tickets of one rank.
#[derive(Debug, Default)]
pub struct Queue {
    flows: HashMap<OrganisationKey, Flow>,
    backlogged: BTreeSet<(u128, OrganisationKey)>,
    idle: BTreeSet<(u128, OrganisationKey)>,
    virtual_time: u128,
    latest_tag: u128,
    share: f64,
    cost: u64,
    len: usize,
    arrivals: u64,
}

/// `Place` is where a ticket waits.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    organisation: OrganisationKey,
    arrival: u64,
}

#[derive(Debug)]
struct Flow {
    tag: u128,
    share: f64,
    cost: u64,
    queue: BTreeMap<u64, (RequestId, u64)>,
}

impl Queue {
    /// The number of waiting tickets.
    pub fn len(&self) -> usize {
        self.len
    }

    /// The cost of all waiting tickets.
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// The number of waiting tickets of `organisation`.
    pub fn len_of(&self, organisation: OrganisationKey) -> usize {
        self.flows.get(&organisation).map_or(0, |f| f.queue.len())
    }

    /// The cost that this rank serves until the last ticket of `organisation` is
    /// served: its own backlog and, by share, what the others get meanwhile.
    pub fn cost_until(&self, organisation: OrganisationKey) -> f64 {
        let Some(flow) = self.flows.get(&organisation) else {
            return 0.0;
        };
        let shared = flow.cost as f64 * self.share.max(flow.share) / flow.share;
        shared.min(self.cost as f64)
    }

    /// The shares of the organisations with waiting tickets.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Adds a waiting ticket.
    pub fn push(&mut self, ticket: &Ticket) -> Place {
        self.arrivals += 1;
        let place = Place {
            organisation: ticket.organisation,
            arrival: self.arrivals,
        };
        let share = ticket.share.max(SHARE_MIN);
        let now = self.virtual_time;
        let flow = self.flows.entry(ticket.organisation).or_insert(Flow {
            tag: now,
            share,
            cost: 0,
            queue: BTreeMap::new(),
        });
        if flow.queue.is_empty() {
            self.idle.remove(&(flow.tag, ticket.organisation));
            flow.share = share;
            self.share += share;
            self.backlogged.insert((flow.tag, ticket.organisation));
        }
        flow.queue
            .insert(place.arrival, (ticket.request, ticket.cost));
        flow.cost += ticket.cost;
        self.cost += ticket.cost;
        self.len += 1;
        place
    }

    /// Takes the next ticket in fair order and charges its organisation.
    pub fn pop(&mut self) -> Option<(RequestId, u64)> {
        let (tag, organisation) = self.backlogged.pop_first()?;
        self.virtual_time = tag;
        let flow = self.flows.get_mut(&organisation)?;
        let (_, (request, cost)) = flow.queue.pop_first()?;
        flow.cost -= cost;
        flow.tag += charge(cost, flow.share);
        self.latest_tag = self.latest_tag.max(flow.tag);
        self.cost -= cost;
        self.len -= 1;
        self.settle(organisation);
        Some((request, cost))
    }

    /// Takes the ticket at `place` without a charge.
    pub fn remove(&mut self, place: Place) {
        let Some(flow) = self.flows.get_mut(&place.organisation) else {
            return;
        };
        let Some((_, cost)) = flow.queue.remove(&place.arrival) else {
            return;
        };
        flow.cost -= cost;
        self.backlogged.remove(&(flow.tag, place.organisation));
        self.cost -= cost;
        self.len -= 1;
        self.settle(place.organisation);
    }

    /// Puts `organisation` among the backlogged or the idle, and forgets idle ones
    /// whose tag the virtual time has passed.
    fn settle(&mut self, organisation: OrganisationKey) {
        if let Some(flow) = self.flows.get(&organisation) {
            if flow.queue.is_empty() {
                self.share -= flow.share;
                self.idle.insert((flow.tag, organisation));
            } else {
                self.backlogged.insert((flow.tag, organisation));
            }
        }
        if self.backlogged.is_empty() {
            self.end_busy_period();
        }
        while let Some(&(tag, idle)) = self.idle.first()
            && tag <= self.virtual_time
        {
            self.idle.pop_first();
            self.flows.remove(&idle);
        }
    }

    /// With nothing waiting, nobody is ahead of anybody.
    fn end_busy_period(&mut self) {
        self.virtual_time = self.virtual_time.max(self.latest_tag);
        self.share = 0.0;
    }
}

/// The virtual time that `cost` takes at `share`.
fn charge(cost: u64, share: f64) -> u128 {
    (cost.max(1) as f64 * VIRTUAL_SCALE / share) as u128
}
