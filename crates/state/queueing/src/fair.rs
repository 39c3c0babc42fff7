//! Start-time fair queueing by cost over the organisations of one rank.
//!
//! Goyal, Vin and Cheng, "Start-time fair queueing", SIGCOMM 1996. An organisation is
//! charged when its queue entry is granted. Only organisations with waiting queue
//! entries, or with a tag ahead of the virtual time, have state here.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::engine::RequestId;
use hemlockwind_core::names::OrganisationKey;

use crate::queue_entry::QueueEntry;

/// The virtual time that a cost of 1 takes at a share of 1.
const VIRTUAL_SCALE: f64 = 65_536.0;
/// The least share. It keeps a share of zero from blocking its organisation for ever.
const MIN_SHARE: f64 = 1e-6;

/// `Queue` holds the waiting queue entries of one rank.
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

/// `Position` identifies a waiting queue entry in a [`Queue`].
#[derive(Clone, Copy, Debug)]
pub struct Position {
    organisation: OrganisationKey,
    arrival: u64,
}

/// `Flow` holds the waiting queue entries and the start tag of one organisation.
#[derive(Debug)]
struct Flow {
    tag: u128,
    share: f64,
    cost: u64,
    queue: BTreeMap<u64, (RequestId, u64)>,
}

impl Queue {
    /// Returns the number of waiting queue entries.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns the cost of all waiting queue entries.
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// Returns the number of waiting queue entries of `organisation`.
    pub fn len_of(&self, organisation: OrganisationKey) -> usize {
        self.flows.get(&organisation).map_or(0, |f| f.queue.len())
    }

    /// Returns the cost that this rank serves until the last queue entry of
    /// `organisation` is served: its own backlog and what the other organisations get
    /// meanwhile by their shares.
    pub fn cost_until(&self, organisation: OrganisationKey) -> f64 {
        let Some(flow) = self.flows.get(&organisation) else {
            return 0.0;
        };
        let shared = flow.cost as f64 * self.share.max(flow.share) / flow.share;
        shared.min(self.cost as f64)
    }

    /// Returns the sum of the shares of the organisations with waiting queue entries.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Adds a waiting queue entry and returns its position.
    pub fn push(&mut self, queue_entry: &QueueEntry) -> Position {
        self.arrivals += 1;
        let position = Position {
            organisation: queue_entry.organisation,
            arrival: self.arrivals,
        };
        let share = queue_entry.share.max(MIN_SHARE);
        let now = self.virtual_time;
        let flow = self.flows.entry(queue_entry.organisation).or_insert(Flow {
            tag: now,
            share,
            cost: 0,
            queue: BTreeMap::new(),
        });
        if flow.queue.is_empty() {
            self.idle.remove(&(flow.tag, queue_entry.organisation));
            flow.share = share;
            self.share += share;
            self.backlogged.insert((flow.tag, queue_entry.organisation));
        }
        flow.queue
            .insert(position.arrival, (queue_entry.request, queue_entry.cost));
        flow.cost += queue_entry.cost;
        self.cost += queue_entry.cost;
        self.len += 1;
        position
    }

    /// Removes the next queue entry in fair order and charges its organisation. Returns
    /// its request and cost.
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
        self.reclassify(organisation);
        Some((request, cost))
    }

    /// Removes the queue entry at `position` without a charge.
    pub fn remove(&mut self, position: Position) {
        let Some(flow) = self.flows.get_mut(&position.organisation) else {
            return;
        };
        let Some((_, cost)) = flow.queue.remove(&position.arrival) else {
            return;
        };
        flow.cost -= cost;
        self.backlogged.remove(&(flow.tag, position.organisation));
        self.cost -= cost;
        self.len -= 1;
        self.reclassify(position.organisation);
    }

    /// Adds `organisation` to the backlogged or the idle ones, and removes the idle ones
    /// whose tag the virtual time has reached.
    fn reclassify(&mut self, organisation: OrganisationKey) {
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

    /// Advances the virtual time to the latest tag when nothing waits, so that no
    /// organisation carries a charge over into the next busy period.
    fn end_busy_period(&mut self) {
        self.virtual_time = self.virtual_time.max(self.latest_tag);
        self.share = 0.0;
    }
}

/// Returns the virtual time that `cost` takes at `share`.
fn charge(cost: u64, share: f64) -> u128 {
    (cost.max(1) as f64 * VIRTUAL_SCALE / share) as u128
}
