//! The queue owner of a pool, which queues and grants the pool's queue entries.
//!
//! [`QueueOwner`] starts empty and rebuilds its state from the drivers' reports. Slots of
//! live drivers that have not reported yet stay reserved, so that neither a new queue
//! owner nor two queue owners at once grant much more than the pool's capacity.

mod admission;
mod reports;
mod slots;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::collections::HashSet;
use hemlockwind_core::engine::RequestId;
use hemlockwind_core::names::InstanceKey;
use hemlockwind_core::names::Rank;
use hemlockwind_core::time::Instant;

use crate::credit::Offers;
use crate::estimate::Meter;
use crate::fair::Position;
use crate::fair::Queue;
use crate::message::Grants;
use crate::message::Report;
use crate::message::Stamp;
use crate::order::RankOrder;
use crate::queue_entry::QueueEntry;

/// The time within which a message and its answer are expected to arrive.
const ROUND_TRIP: Duration = Duration::from_millis(250);

/// `Options` holds the settings of a queue owner.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The minimum share of the served cost by rank, the most urgent rank first.
    pub floors: Vec<f64>,
    /// The share of the slots that only the most urgent rank and ranks below their floor
    /// may use.
    pub headroom: f64,
    /// The limit of waiting queue entries of one organisation and rank.
    pub queue_limit: usize,
    /// The part of the time to its deadline that a queue entry may be expected to wait.
    /// One with a longer estimated wait is refused.
    pub admission_margin: f64,
    /// The limit of credits that a driver may hold.
    pub credits: u32,
    /// The time without a report after which a driver is removed.
    pub report_timeout: Duration,
    /// The time that a new queue owner waits for reports of all live drivers before it
    /// grants.
    pub startup_wait: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            floors: vec![0.0, 0.1, 0.1],
            headroom: 0.0,
            queue_limit: 256,
            admission_margin: 0.8,
            credits: 2,
            report_timeout: Duration::from_secs(3),
            startup_wait: Duration::from_millis(500),
        }
    }
}

/// `Event` is an input of a queue owner.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A report of a driver arrived.
    Report(InstanceKey, Report),
    /// The number of streams that the pool may run at once has changed.
    Capacity(u32),
    /// The set of live instances of the data centre has changed.
    Drivers(Vec<InstanceKey>),
    /// The time of [`QueueOwner::next_deadline`] has come.
    Tick,
}

/// `Action` is an output of a queue owner, for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send these grants to the driver.
    Send(InstanceKey, Grants),
}

/// `QueueOwner` holds the waiting and running queue entries of one pool.
#[derive(Debug)]
pub struct QueueOwner {
    options: Options,
    session: u64,
    /// The highest number of any message to a driver that has been removed. Messages to
    /// drivers added later are numbered from there on, so that a driver that returns gets no
    /// number twice.
    last_number: u64,
    capacity: u32,
    in_use: u32,
    credit_slots: u32,
    queues: Vec<Queue>,
    order: RankOrder,
    meter: Meter,
    queue_entries: HashMap<RequestId, TrackedEntry>,
    expiries: BTreeSet<(Instant, RequestId)>,
    live: HashSet<InstanceKey>,
    unreported: u32,
    drivers: BTreeMap<InstanceKey, DriverState>,
    credit_holders: BTreeSet<InstanceKey>,
    outbox: BTreeMap<InstanceKey, Grants>,
    /// The end of the startup wait, or `Instant::ZERO` once it is over.
    granting_starts_at: Instant,
    sweep_at: Instant,
}

#[derive(Debug)]
struct TrackedEntry {
    driver: InstanceKey,
    queue_entry: QueueEntry,
    state: EntryState,
}

#[derive(Clone, Copy, Debug)]
enum EntryState {
    Waiting(Position),
    /// Running since this time, or `None` when it is unknown.
    Running(Option<Instant>),
}

/// `DriverState` holds the last reported state of one driver, and that of the messages to it.
#[derive(Debug)]
struct DriverState {
    /// The stamp of the last accepted report.
    stamp: Stamp,
    /// The number of the last message to the driver.
    last_sent: u64,
    /// When the last message to the driver and its answer should have arrived.
    quiescent_at: Instant,
    /// When another whole report may be requested.
    resend_at: Instant,
    /// When the driver is removed unless it reports before.
    report_due_at: Instant,
    offers: Offers,
    /// Whether the driver's credits were revoked and it may still hold some.
    revoked: bool,
    /// The number of waiting queue entries.
    waiting: u32,
    /// The requests that wait or run.
    requests: HashSet<RequestId>,
}

impl QueueOwner {
    /// Returns an empty queue owner. A later `session` of the same instance must have a
    /// higher number.
    pub fn new(options: Options, session: u64, now: Instant) -> Self {
        let ranks = options.floors.len().max(1);
        let mut floors = options.floors.clone();
        floors.resize(ranks, 0.0);
        Self {
            granting_starts_at: now + options.startup_wait,
            sweep_at: now + options.report_timeout,
            options,
            session,
            last_number: 0,
            capacity: 0,
            in_use: 0,
            credit_slots: 0,
            queues: (0..ranks).map(|_| Queue::default()).collect(),
            order: RankOrder::new(&floors),
            meter: Meter::new(ranks),
            queue_entries: HashMap::default(),
            expiries: BTreeSet::new(),
            live: HashSet::default(),
            unreported: 0,
            drivers: BTreeMap::new(),
            credit_holders: BTreeSet::new(),
            outbox: BTreeMap::new(),
        }
    }

    /// Processes one event and returns the actions that follow from it.
    pub fn on_event(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Report(from, report) => self.on_report(now, from, report),
            Event::Capacity(slots) => self.capacity = slots,
            Event::Drivers(live) => self.on_drivers(live),
            Event::Tick => {}
        }
        self.expire_queue_entries(now);
        self.sweep(now);
        self.grant(now);
        self.send(now)
    }

    /// Returns when the queue owner next needs an [`Event::Tick`].
    pub fn next_deadline(&self) -> Instant {
        let expiry = self.expiries.first().map_or(Instant::NEVER, |e| e.0);
        let startup_end = if self.granting_starts_at == Instant::ZERO {
            Instant::NEVER
        } else {
            self.granting_starts_at
        };
        expiry.min(self.sweep_at).min(startup_end)
    }

    /// Returns the number of slots of requests that run or were granted.
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Returns the number of slots that are set aside for credits.
    pub fn credit_slots(&self) -> u32 {
        self.credit_slots
    }

    /// Returns the number of waiting queue entries of `rank`.
    pub fn waiting(&self, rank: Rank) -> usize {
        self.queues[self.index(rank)].len()
    }

    fn index(&self, rank: Rank) -> usize {
        usize::from(rank.0).min(self.queues.len() - 1)
    }

    /// Stamps the pending messages and returns them as actions.
    fn send(&mut self, now: Instant) -> Vec<Action> {
        let outbox = std::mem::take(&mut self.outbox);
        if outbox.is_empty() {
            return Vec::new();
        }
        let ranks = 0..self.queues.len();
        let waits: Vec<_> = ranks.map(|r| self.wait(now, Rank(r as u8))).collect();
        let mut actions = Vec::with_capacity(outbox.len());
        for (driver, mut grants) in outbox {
            let Some(driver_state) = self.drivers.get_mut(&driver) else {
                continue;
            };
            driver_state.last_sent += 1;
            driver_state.quiescent_at = now + ROUND_TRIP;
            grants.stamp = Stamp {
                session: self.session,
                number: driver_state.last_sent,
            };
            grants.waits.clone_from(&waits);
            actions.push(Action::Send(driver, grants));
        }
        actions
    }
}

impl DriverState {
    fn new(now: Instant, last_sent: u64) -> Self {
        Self {
            stamp: Stamp::default(),
            last_sent,
            quiescent_at: now,
            resend_at: now,
            report_due_at: now,
            offers: Offers::default(),
            revoked: false,
            waiting: 0,
            requests: HashSet::default(),
        }
    }
}
