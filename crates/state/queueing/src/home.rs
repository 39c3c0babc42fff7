//! The one place of a pool where tickets wait and are granted.
//!
//! [`Home`] starts empty and learns all from the drivers' reports. Slots of live
//! drivers that it has not heard yet stay reserved, so that neither a new home nor
//! two homes at once grant much more than the pool's capacity.

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
use crate::estimate::Demand;
use crate::estimate::Meter;
use crate::fair::Place;
use crate::fair::Queue;
use crate::message::Finished;
use crate::message::Grants;
use crate::message::Report;
use crate::message::Stamp;
use crate::order::Order;
use crate::ticket::Reason;
use crate::ticket::Refusal;
use crate::ticket::Ticket;

/// The least time until a refused request may be tried again.
const RETRY_MIN: Duration = Duration::from_millis(50);
/// The longest time that a caller is told to wait before a retry.
const RETRY_MAX: Duration = Duration::from_secs(60);
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

    /// Slots that may be granted now. While drivers are unheard, their even part
    /// of the capacity stays reserved, and a new home grants nothing at first.
    pub fn free(&self) -> u32 {
        if self.unheard > 0 && self.settle_at != Instant::ZERO {
            return 0;
        }
        let live = self.live.len().max(1) as u32;
        let reserve = (self.capacity * self.unheard).div_ceil(live);
        let used = self.in_use + self.held + reserve;
        self.capacity.saturating_sub(used)
    }

    /// The estimated wait of a new ticket of `rank` whose organisation has none
    /// waiting; zero while the speed is unknown.
    pub fn wait(&self, now: Instant, rank: Rank) -> Duration {
        let rank = self.index(rank);
        if self.free() > self.headroom(rank) {
            return Duration::ZERO;
        }
        let queue = &self.queues[rank];
        let mean = queue.cost() as f64 / queue.len().max(1) as f64;
        let ahead = (mean * queue.share().max(1.0)).min(queue.cost() as f64);
        let wait = self.estimate(now, rank, ahead);
        wait.unwrap_or_default()
    }

    fn index(&self, rank: Rank) -> usize {
        usize::from(rank.0).min(self.queues.len() - 1)
    }

    /// Slots that `rank` must leave free.
    fn headroom(&self, rank: usize) -> u32 {
        if rank == 0 {
            return 0;
        }
        (f64::from(self.capacity) * self.options.headroom).ceil() as u32
    }

    fn on_drivers(&mut self, live: Vec<InstanceKey>) {
        let live: HashSet<_> = live.into_iter().collect();
        let gone: Vec<_> = self.live.difference(&live).copied().collect();
        self.live = live;
        for driver in gone {
            self.forget(driver);
        }
        self.count_unheard();
    }

    fn count_unheard(&mut self) {
        let heard = |d: &&InstanceKey| self.drivers.get(d).is_none_or(|p| p.stamp.number == 0);
        self.unheard = self.live.iter().filter(heard).count() as u32;
    }

    fn on_report(&mut self, now: Instant, from: InstanceKey, report: Report) {
        if report.leaving {
            return self.on_leave(from, &report);
        }
        if !self.accepts(now, from, &report) {
            return;
        }
        let quiet = report.tickets.is_empty() && report.finished.is_empty();
        if report.whole {
            self.drop_missing(from, &report.tickets);
        }
        for finished in &report.finished {
            self.finish(now, from, *finished);
        }
        for &request in &report.withdrawn {
            self.drop_ticket(from, request);
        }
        self.take_credits(from, &report);
        // What runs on credits first, as its slots are no longer held for them.
        let running = report.tickets.iter().filter(|t| t.running);
        let waiting = report.tickets.iter().filter(|t| !t.running);
        for &ticket in running.chain(waiting) {
            self.take_ticket(now, from, ticket, report.whole);
        }
        self.compare(now, from, &report);
        self.offer_credits(from);
        if quiet || report.whole {
            self.outbox.entry(from).or_default();
        }
    }

    /// Takes the stamp of a report. A report that was overtaken is dropped; one
    /// after a gap is answered by a wish for a whole one.
    fn accepts(&mut self, now: Instant, from: InstanceKey, report: &Report) -> bool {
        let silent_at = now + self.options.silence;
        let peer = self
            .drivers
            .entry(from)
            .or_insert_with(|| Peer::new(now, self.number));
        if report.stamp <= peer.stamp {
            return false;
        }
        peer.silent_at = silent_at;
        let follows = report.stamp.session == peer.stamp.session
            && report.stamp.number == peer.stamp.number + 1;
        if !report.whole && !follows {
            self.ask_resend(now, from);
            return false;
        }
        let first = peer.stamp.number == 0;
        peer.stamp = report.stamp;
        if first {
            self.count_unheard();
        }
        true
    }

    fn on_leave(&mut self, from: InstanceKey, report: &Report) {
        let known = self.drivers.get(&from);
        if known.is_some_and(|p| p.stamp < report.stamp) {
            self.forget(from);
            self.count_unheard();
        }
    }

    fn ask_resend(&mut self, now: Instant, driver: InstanceKey) {
        let Some(peer) = self.drivers.get_mut(&driver) else {
            return;
        };
        if now >= peer.resend_at {
            peer.resend_at = now + ROUND_TRIP;
            self.outbox.entry(driver).or_default().resend = true;
        }
    }

    /// A whole report lacks what has ended or was withdrawn since.
    fn drop_missing(&mut self, from: InstanceKey, tickets: &[Ticket]) {
        let listed: HashSet<_> = tickets.iter().map(|t| t.request).collect();
        let Some(peer) = self.drivers.get(&from) else {
            return;
        };
        let missing: Vec<_> = peer.requests.difference(&listed).copied().collect();
        for request in missing {
            self.drop_ticket(from, request);
        }
    }

    fn finish(&mut self, now: Instant, from: InstanceKey, finished: Finished) {
        if let Some(entry) = self.tickets.get(&finished.request)
            && entry.driver == from
            && let State::Running(Some(since)) = entry.state
        {
            self.meter.finished(finished.cost, now.since(since));
        }
        self.drop_ticket(from, finished.request);
    }

    /// Forgets a ticket and frees what it holds.
    fn drop_ticket(&mut self, from: InstanceKey, request: RequestId) {
        if self.tickets.get(&request).is_none_or(|e| e.driver != from) {
            return;
        }
        self.unqueue(request);
        if let Some(entry) = self.tickets.remove(&request)
            && let State::Running(_) = entry.state
        {
            self.in_use -= 1;
        }
        if let Some(peer) = self.drivers.get_mut(&from) {
            peer.requests.remove(&request);
        }
    }

    /// Takes a waiting ticket out of its queue; its entry stays.
    fn unqueue(&mut self, request: RequestId) {
        let Some(entry) = self.tickets.get(&request) else {
            return;
        };
        let State::Waiting(place) = entry.state else {
            return;
        };
        let rank = self.index(entry.ticket.rank);
        self.queues[rank].remove(place);
        self.expiries.remove(&(entry.ticket.deadline, request));
        if let Some(peer) = self.drivers.get_mut(&entry.driver) {
            peer.waiting -= 1;
        }
    }

    fn take_ticket(&mut self, now: Instant, from: InstanceKey, ticket: Ticket, whole: bool) {
        // A new ticket that runs was started on a credit just now, but one in a
        // whole report may have run for long.
        let since = (!whole).then_some(now);
        let Some(entry) = self.tickets.get(&ticket.request) else {
            return self.add_ticket(now, from, ticket, since);
        };
        if entry.driver != from {
            return;
        }
        match (entry.state, ticket.running) {
            (State::Waiting(_), true) => {
                self.unqueue(ticket.request);
                self.run(now, ticket.request, since);
            }
            // The driver has not heard of the grant yet, or it was lost.
            (State::Running(_), false) => self.granted(from, ticket.request),
            (State::Waiting(_), false) | (State::Running(_), true) => {}
        }
    }

    fn add_ticket(
        &mut self,
        now: Instant,
        from: InstanceKey,
        ticket: Ticket,
        since: Option<Instant>,
    ) {
        if ticket.running {
            self.record(from, ticket, State::Running(since));
            return self.run(now, ticket.request, since);
        }
        let rank = self.index(ticket.rank);
        if self.queues[rank].len_of(ticket.organisation) >= self.options.queue_limit {
            let retry_at = self.retry_at(now, rank, &ticket);
            return self.refuse(from, ticket.request, Reason::QueueFull, retry_at);
        }
        self.enqueue(from, ticket);
        self.grant(now);
        self.admit(now, from, ticket.request);
    }

    fn record(&mut self, from: InstanceKey, ticket: Ticket, state: State) {
        let entry = Entry {
            driver: from,
            ticket,
            state,
        };
        self.tickets.insert(ticket.request, entry);
        if let Some(peer) = self.drivers.get_mut(&from) {
            peer.requests.insert(ticket.request);
        }
    }

    fn enqueue(&mut self, from: InstanceKey, ticket: Ticket) {
        let rank = self.index(ticket.rank);
        if self.queues[rank].len() == 0 {
            self.order.activate(rank);
        }
        let place = self.queues[rank].push(&ticket);
        self.record(from, ticket, State::Waiting(place));
        self.expiries.insert((ticket.deadline, ticket.request));
        if let Some(peer) = self.drivers.get_mut(&from) {
            peer.waiting += 1;
        }
    }

    /// Refuses a ticket that still waits when its deadline can't be met. This comes
    /// after granting, so nothing is refused while a slot is free.
    fn admit(&mut self, now: Instant, from: InstanceKey, request: RequestId) {
        let Some(entry) = self.tickets.get(&request) else {
            return;
        };
        let State::Waiting(_) = entry.state else {
            return;
        };
        let ticket = entry.ticket;
        let rank = self.index(ticket.rank);
        let ahead = self.queues[rank].cost_until(ticket.organisation);
        let Some(wait) = self.estimate(now, rank, ahead) else {
            return;
        };
        let allowed = ticket
            .deadline
            .since(now)
            .mul_f64(self.options.admission_margin);
        if wait > allowed {
            self.drop_ticket(from, request);
            let retry_at = now + (wait - allowed).clamp(RETRY_MIN, RETRY_MAX);
            self.refuse(from, request, Reason::DeadlineUnmeetable, retry_at);
        }
    }

    fn estimate(&self, now: Instant, rank: usize, ahead: f64) -> Option<Duration> {
        let floors = &self.options.floors;
        let busy = |q: &usize| self.queues[*q].len() > 0;
        let more_urgent: u64 = self.queues[..rank].iter().map(Queue::cost).sum();
        let less_urgent = (rank + 1..self.queues.len()).filter(busy);
        let demand = Demand {
            more_urgent: more_urgent as f64,
            same_rank: ahead,
            floor: floors.get(rank).copied().unwrap_or(0.0),
            less_urgent_floors: less_urgent.filter_map(|q| floors.get(q)).sum(),
        };
        let slots = self.capacity.saturating_sub(self.headroom(rank)).max(1);
        self.meter.wait(now, slots, rank, demand)
    }

    fn retry_at(&self, now: Instant, rank: usize, ticket: &Ticket) -> Instant {
        let ahead = self.queues[rank].cost_until(ticket.organisation);
        let wait = self.estimate(now, rank, ahead).unwrap_or_default();
        now + wait.clamp(RETRY_MIN, RETRY_MAX)
    }

    fn refuse(&mut self, to: InstanceKey, request: RequestId, reason: Reason, retry_at: Instant) {
        let refusal = Refusal {
            request,
            reason,
            retry_at,
        };
        self.outbox.entry(to).or_default().refused.push(refusal);
    }

    fn granted(&mut self, to: InstanceKey, request: RequestId) {
        self.outbox.entry(to).or_default().granted.push(request);
    }

    /// Gives the ticket a slot.
    fn run(&mut self, now: Instant, request: RequestId, since: Option<Instant>) {
        let Some(entry) = self.tickets.get_mut(&request) else {
            return;
        };
        entry.state = State::Running(since);
        let (rank, cost) = (entry.ticket.rank, entry.ticket.cost);
        let rank = self.index(rank);
        self.in_use += 1;
        let queues = &self.queues;
        self.order.charge(rank, cost, |r| queues[r].len() > 0);
        self.meter.granted(now, rank, cost);
    }

    /// Grants as long as a slot is free for the rank that comes next.
    fn grant(&mut self, now: Instant) {
        if now >= self.settle_at {
            self.settle_at = Instant::ZERO;
        }
        while let Some(rank) = self.next_rank() {
            let Some((request, _)) = self.queues[rank].pop() else {
                return;
            };
            self.grant_one(now, request);
        }
        if self.free() == 0 && self.queues.iter().any(|q| q.len() > 0) {
            self.revoke_credits();
        }
    }

    /// The rank to grant next. A rank below its floor may use the headroom.
    fn next_rank(&self) -> Option<usize> {
        let free = self.free();
        if free == 0 {
            return None;
        }
        let next = self.order.next(|r| self.queues[r].len() > 0)?;
        let allowed = free > self.headroom(next) || self.order.is_owed(next);
        allowed.then_some(next)
    }

    fn grant_one(&mut self, now: Instant, request: RequestId) {
        let Some(entry) = self.tickets.get(&request) else {
            return;
        };
        let (driver, deadline) = (entry.driver, entry.ticket.deadline);
        self.expiries.remove(&(deadline, request));
        if let Some(peer) = self.drivers.get_mut(&driver) {
            peer.waiting -= 1;
        }
        self.run(now, request, Some(now));
        self.granted(driver, request);
    }

    /// Refuses waiting tickets whose deadline has passed.
    fn expire_tickets(&mut self, now: Instant) {
        while let Some(&(deadline, request)) = self.expiries.first()
            && deadline <= now
        {
            self.expiries.pop_first();
            let Some(entry) = self.tickets.get(&request) else {
                continue;
            };
            let (driver, ticket) = (entry.driver, entry.ticket);
            self.drop_ticket(driver, request);
            let retry_at = self.retry_at(now, self.index(ticket.rank), &ticket);
            self.refuse(driver, request, Reason::DeadlinePassed, retry_at);
        }
    }

    /// Forgets drivers that have been silent for long.
    fn sweep(&mut self, now: Instant) {
        if now < self.sweep_at {
            return;
        }
        let silent: Vec<_> = self
            .drivers
            .iter()
            .filter(|(_, p)| p.silent_at <= now)
            .map(|(&d, _)| d)
            .collect();
        for driver in silent {
            self.forget(driver);
        }
        self.count_unheard();
        self.sweep_at = now + self.options.silence / 4;
    }

    /// Frees all that a driver holds; a later report of it must be whole.
    fn forget(&mut self, driver: InstanceKey) {
        let Some(peer) = self.drivers.get(&driver) else {
            return;
        };
        let requests: Vec<_> = peer.requests.iter().copied().collect();
        for request in requests {
            self.drop_ticket(driver, request);
        }
        if let Some(peer) = self.drivers.remove(&driver) {
            self.held -= peer.offers.held();
            self.number = self.number.max(peer.sent);
        }
        self.holders.remove(&driver);
        self.outbox.remove(&driver);
    }

    fn take_credits(&mut self, from: InstanceKey, report: &Report) {
        let Some(peer) = self.drivers.get_mut(&from) else {
            return;
        };
        let seen = if report.seen.session == self.session {
            report.seen.number
        } else {
            0
        };
        self.held -= peer.offers.held();
        peer.offers.report(seen, report.credits);
        let held = peer.offers.held();
        self.held += held;
        if held == 0 {
            peer.revoked = false;
            self.holders.remove(&from);
        } else {
            self.holders.insert(from);
        }
    }

    /// Tops up the credits of a driver that has just reported, from half of the
    /// slots that nobody waits for.
    fn offer_credits(&mut self, to: InstanceKey) {
        if self.queues.iter().any(|q| q.len() > 0) {
            return;
        }
        let spare = self.free().saturating_sub(self.headroom(1)) / 2;
        let heard = self.drivers.len().max(1) as u32;
        let Some(peer) = self.drivers.get_mut(&to) else {
            return;
        };
        let held = peer.offers.held();
        let credits = self.options.credits.min(spare / heard + held);
        if peer.revoked || held * 2 > credits || held == credits {
            return;
        }
        let message = self.outbox.entry(to).or_default();
        message.credits += credits - held;
        peer.offers.send(peer.sent + 1, credits - held);
        self.held += credits - held;
        self.holders.insert(to);
    }

    /// Asks all drivers to give up their credits, because somebody waits.
    fn revoke_credits(&mut self) {
        for driver in &self.holders {
            if let Some(peer) = self.drivers.get_mut(driver)
                && !peer.revoked
            {
                peer.revoked = true;
                self.outbox.entry(*driver).or_default().revoke = true;
            }
        }
    }

    /// Finds lost messages by comparing counts, once nothing is under way.
    fn compare(&mut self, now: Instant, from: InstanceKey, report: &Report) {
        let Some(peer) = self.drivers.get(&from) else {
            return;
        };
        let running = peer.requests.len() as u32 - peer.waiting;
        let taken = report.seen.session == self.session && report.seen.number == peer.sent;
        let settled = taken || now >= peer.settled_at;
        let queued = self.outbox.contains_key(&from);
        let same = (report.waiting, report.running) == (peer.waiting, running);
        let revoke = peer.revoked && peer.offers.held() > 0 && settled;
        if settled && !queued && !same {
            self.ask_resend(now, from);
        }
        if revoke {
            self.outbox.entry(from).or_default().revoke = true;
        }
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
