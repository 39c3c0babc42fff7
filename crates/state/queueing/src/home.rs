//! The one place of a pool where tickets wait and are granted.
//!
//! [`Home`] starts empty and learns all from the drivers' reports. Slots of live
//! drivers that it has not heard yet stay reserved, so that neither a new home nor
//! two homes at once grant much more than the pool's capacity.

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
use crate::fair::Place;
use crate::fair::Queue;
use crate::message::Grants;
use crate::message::Report;
use crate::message::Stamp;
use crate::order::Order;
use crate::ticket::Ticket;

/// The time in which a message and its answer are expected to have passed.
const ROUND_TRIP: Duration = Duration::from_millis(250);

/// `Options` holds the settings of a home.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The share of served cost that each rank keeps, the most urgent rank first.
    pub floors: Vec<f64>,
    /// The share of the slots that only the most urgent rank may use.
    pub headroom: f64,
    /// Waiting tickets of one organisation and rank at most.
    pub queue_limit: usize,
    /// The part of the time to its deadline that a ticket may be expected to wait.
    pub admission_margin: f64,
    /// Credits that a driver may hold at most.
    pub credits: u32,
    /// The time without a report after which a driver is forgotten.
    pub silence: Duration,
    /// The time that a new home waits for the live drivers before it grants.
    pub settle: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            floors: vec![0.0, 0.1, 0.1],
            headroom: 0.0,
            queue_limit: 256,
            admission_margin: 0.8,
            credits: 2,
            silence: Duration::from_secs(3),
            settle: Duration::from_millis(500),
        }
    }
}

/// `Event` is what a home hears.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A driver reported.
    Report(InstanceKey, Report),
    /// The pool now takes so many streams in flight.
    Capacity(u32),
    /// The instances of the data centre that are live.
    Drivers(Vec<InstanceKey>),
    /// A deadline of the home has come.
    Tick,
}

/// `Action` is what a home wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send these grants to the driver.
    Send(InstanceKey, Grants),
}

/// `Home` holds the waiting and running tickets of one pool.
#[derive(Debug)]
pub struct Home {
    options: Options,
    session: u64,
    number: u64,
    capacity: u32,
    in_use: u32,
    held: u32,
    queues: Vec<Queue>,
    order: Order,
    meter: Meter,
    tickets: HashMap<RequestId, Entry>,
    expiries: BTreeSet<(Instant, RequestId)>,
    live: HashSet<InstanceKey>,
    unheard: u32,
    drivers: BTreeMap<InstanceKey, Peer>,
    holders: BTreeSet<InstanceKey>,
    outbox: BTreeMap<InstanceKey, Grants>,
    settle_at: Instant,
    sweep_at: Instant,
}

#[derive(Debug)]
struct Entry {
    driver: InstanceKey,
    ticket: Ticket,
    state: State,
}

#[derive(Clone, Copy, Debug)]
enum State {
    Waiting(Place),
    /// With the start, where it is known.
    Running(Option<Instant>),
}

/// What is known of one driver.
#[derive(Debug)]
struct Peer {
    stamp: Stamp,
    sent: u64,
    settled_at: Instant,
    resend_at: Instant,
    silent_at: Instant,
    offers: Offers,
    revoked: bool,
    waiting: u32,
    requests: HashSet<RequestId>,
}

impl Home {
    /// An empty home; a later `session` of the same instance has a higher number.
    pub fn new(options: Options, session: u64, now: Instant) -> Self {
        let ranks = options.floors.len().max(1);
        let mut floors = options.floors.clone();
        floors.resize(ranks, 0.0);
        Self {
            settle_at: now + options.settle,
            sweep_at: now + options.silence,
            options,
            session,
            number: 0,
            capacity: 0,
            in_use: 0,
            held: 0,
            queues: (0..ranks).map(|_| Queue::default()).collect(),
            order: Order::new(&floors),
            meter: Meter::new(ranks),
            tickets: HashMap::default(),
            expiries: BTreeSet::new(),
            live: HashSet::default(),
            unheard: 0,
            drivers: BTreeMap::new(),
            holders: BTreeSet::new(),
            outbox: BTreeMap::new(),
        }
    }

    /// Takes one event and tells what to do.
    pub fn on_event(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Report(from, report) => self.on_report(now, from, report),
            Event::Capacity(slots) => self.capacity = slots,
            Event::Drivers(live) => self.on_drivers(live),
            Event::Tick => {}
        }
        self.expire_tickets(now);
        self.sweep(now);
        self.grant(now);
        self.send(now)
    }

    /// When the home next needs a [`Event::Tick`].
    pub fn next_deadline(&self) -> Instant {
        let expiry = self.expiries.first().map_or(Instant::NEVER, |e| e.0);
        let settle = if self.settle_at == Instant::ZERO {
            Instant::NEVER
        } else {
            self.settle_at
        };
        expiry.min(self.sweep_at).min(settle)
    }

    /// Slots of requests that run or were granted.
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Slots set aside for credits.
    pub fn held(&self) -> u32 {
        self.held
    }

    /// Waiting tickets of `rank`.
    pub fn waiting(&self, rank: Rank) -> usize {
        self.queues[self.index(rank)].len()
    }

    fn index(&self, rank: Rank) -> usize {
        usize::from(rank.0).min(self.queues.len() - 1)
    }

    /// Numbers and hands out what has gathered.
    fn send(&mut self, now: Instant) -> Vec<Action> {
        let outbox = std::mem::take(&mut self.outbox);
        if outbox.is_empty() {
            return Vec::new();
        }
        let ranks = 0..self.queues.len();
        let waits: Vec<_> = ranks.map(|r| self.wait(now, Rank(r as u8))).collect();
        let mut actions = Vec::with_capacity(outbox.len());
        for (driver, mut grants) in outbox {
            let Some(peer) = self.drivers.get_mut(&driver) else {
                continue;
            };
            peer.sent += 1;
            peer.settled_at = now + ROUND_TRIP;
            grants.stamp = Stamp {
                session: self.session,
                number: peer.sent,
            };
            grants.waits.clone_from(&waits);
            actions.push(Action::Send(driver, grants));
        }
        actions
    }
}

impl Peer {
    fn new(now: Instant, sent: u64) -> Self {
        Self {
            stamp: Stamp::default(),
            sent,
            settled_at: now,
            resend_at: now,
            silent_at: now,
            offers: Offers::default(),
            revoked: false,
            waiting: 0,
            requests: HashSet::default(),
        }
    }
}
