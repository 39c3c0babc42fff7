//! The pools of one model in all data centres, as one instance uses them.
//!
//! A ticket waits in one pool at a time, first in the local one unless that waits
//! too long. When a pool refuses, another that may still meet the deadline is tried,
//! and when another pool has room, tickets that wait locally move there.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::engine::RequestId;
use hemlockwind_core::names::DataCentreKey;
use hemlockwind_core::names::InstanceKey;
use hemlockwind_core::names::Rank;
use hemlockwind_core::time::Instant;

use crate::driver;
use crate::driver::Driver;
use crate::message::Finished;
use crate::message::Grants;
use crate::message::Report;
use crate::spill;
use crate::spill::Spill;
use crate::spill::View;
use crate::ticket::Refusal;
use crate::ticket::Ticket;

/// `Options` holds the settings of the pools.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// The data centre of this instance.
    pub local: DataCentreKey,
    /// The ranks.
    pub ranks: u8,
    /// The settings of the driver's side of each pool.
    pub driver: driver::Options,
}

/// `Event` is what the pools hear.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request wants a slot.
    Submit(Ticket),
    /// A started request ended and had this cost.
    Finish(Finished),
    /// A request that may still wait is given up.
    Withdraw(RequestId),
    /// The home of the pool in this data centre is now this instance, or nobody.
    Home(DataCentreKey, Option<InstanceKey>),
    /// The home of the pool in this data centre answered.
    Grants(DataCentreKey, InstanceKey, Grants),
    /// The pool of this data centre can run requests, or can't.
    Open(DataCentreKey, bool),
    /// A deadline of a pool has come.
    Tick,
}

/// `Action` is what the pools want done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the request in the pool of this data centre.
    Start(RequestId, DataCentreKey),
    /// Refuse the request; nothing was run.
    Refuse(Refusal),
    /// Send the report to the home of the pool in this data centre.
    Send(DataCentreKey, InstanceKey, Report),
}

/// `Pools` holds the driver's side of every pool of one model.
#[derive(Debug)]
pub struct Pools {
    options: Options,
    session: u64,
    spill: Spill,
    pools: BTreeMap<DataCentreKey, Pool>,
    closed: BTreeSet<DataCentreKey>,
    placed: HashMap<RequestId, Placed>,
    actions: Vec<Action>,
}

#[derive(Debug)]
struct Pool {
    driver: Driver,
    round_trip: Duration,
}

/// Where a request waits or runs, and which pools it has tried.
#[derive(Clone, Debug)]
struct Placed {
    ticket: Ticket,
    pool: DataCentreKey,
    tried: Vec<DataCentreKey>,
}

impl Pools {
    /// The local pool alone; others are added by [`Pools::insert`].
    pub fn new(options: Options, spill: Spill, session: u64, now: Instant) -> Self {
        let mut pools = Self {
            options,
            session,
            spill,
            pools: BTreeMap::new(),
            closed: BTreeSet::new(),
            placed: HashMap::default(),
            actions: Vec::new(),
        };
        pools.insert(now, options.local, Duration::ZERO);
        pools
    }

    /// Adds the pool of another data centre, which a message reaches and returns
    /// from in `round_trip`.
    pub fn insert(&mut self, now: Instant, pool: DataCentreKey, round_trip: Duration) {
        let driver = Driver::new(self.options.driver, self.session, now);
        self.pools
            .entry(pool)
            .or_insert(Pool { driver, round_trip });
    }

    /// Takes over other targets.
    pub fn set_spill(&mut self, options: spill::Options) {
        self.spill.set_options(options);
    }

    /// Takes one event and tells what to do.
    pub fn on_event(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Submit(ticket) => self.submit(now, ticket),
            Event::Finish(finished) => self.finish(now, finished),
            Event::Withdraw(request) => self.withdraw(now, request),
            Event::Home(pool, home) => self.tell(now, pool, driver::Event::Home(home)),
            Event::Grants(pool, from, grants) => {
                self.tell(now, pool, driver::Event::Grants(from, grants));
                self.move_waiting(now, pool);
            }
            Event::Open(pool, true) => {
                self.closed.remove(&pool);
            }
            Event::Open(pool, false) => self.close(now, pool),
            Event::Tick => self.tick(now),
        }
        std::mem::take(&mut self.actions)
    }

    /// When the pools next need an [`Event::Tick`].
    pub fn next_deadline(&self) -> Instant {
        let deadlines = self.pools.values().map(|p| p.driver.next_deadline());
        deadlines.min().unwrap_or(Instant::NEVER)
    }

    /// The driver's side of the pool in `data_centre`.
    pub fn get(&self, data_centre: DataCentreKey) -> Option<&Driver> {
        self.pools.get(&data_centre).map(|p| &p.driver)
    }

    fn submit(&mut self, now: Instant, ticket: Ticket) {
        if self.placed.contains_key(&ticket.request) {
            return;
        }
        let pool = self.choose(ticket.rank);
        self.place(now, ticket, pool, Vec::new());
    }

    fn place(
        &mut self,
        now: Instant,
        ticket: Ticket,
        pool: DataCentreKey,
        mut tried: Vec<DataCentreKey>,
    ) {
        tried.push(pool);
        let placed = Placed {
            ticket,
            pool,
            tried,
        };
        self.placed.insert(ticket.request, placed);
        self.tell(now, pool, driver::Event::Submit(ticket));
    }

    /// The pool that a new ticket goes to.
    fn choose(&mut self, rank: Rank) -> DataCentreKey {
        if self.closed.contains(&self.options.local) {
            let open = self.shortest_open(rank, &[]);
            return open.unwrap_or(self.options.local);
        }
        let local = self.waits(self.options.local);
        if !self.spill.waits_too_long(rank, &local) {
            return self.options.local;
        }
        let others = self.pools.iter().filter(|(k, _)| **k != self.options.local);
        for (&pool, Pool { driver, round_trip }) in others {
            let home = driver.home().filter(|_| !self.closed.contains(&pool));
            let view = home.map(|_| View {
                round_trip: *round_trip,
                waits: waits_of(driver, self.options.ranks),
                free: driver.credits(),
            });
            self.spill.update(pool, view);
        }
        let chosen = self.spill.choose(rank, &local);
        chosen.unwrap_or(self.options.local)
    }

    /// The open pool with the shortest expected wait, beside those in `tried`.
    fn shortest_open(&self, rank: Rank, tried: &[DataCentreKey]) -> Option<DataCentreKey> {
        let open = self
            .pools
            .iter()
            .filter(|(key, _)| !self.closed.contains(key) && !tried.contains(key));
        let (&pool, _) = open.min_by_key(|(_, p)| p.round_trip + p.driver.wait(rank))?;
        Some(pool)
    }

    /// Moves what waits in a pool that can run nothing to the open ones.
    fn close(&mut self, now: Instant, pool: DataCentreKey) {
        if !self.closed.insert(pool) {
            return;
        }
        let here = self.placed.values().filter(|placed| placed.pool == pool);
        let mut tickets: Vec<_> = here.map(|placed| placed.ticket).collect();
        tickets.retain(|t| self.get(pool).is_some_and(|d| d.is_waiting(t.request)));
        tickets.sort_unstable_by_key(|t| (t.rank, t.request));
        for ticket in tickets {
            let tried = self.placed.get(&ticket.request).map(|p| p.tried.clone());
            let tried = tried.unwrap_or_default();
            if let Some(to) = self.shortest_open(ticket.rank, &tried) {
                self.tell(now, pool, driver::Event::Withdraw(ticket.request));
                self.placed.remove(&ticket.request);
                self.place(now, ticket, to, tried);
            }
        }
    }

    fn waits(&self, pool: DataCentreKey) -> Vec<Duration> {
        let driver = self.get(pool);
        driver.map_or_else(Vec::new, |d| waits_of(d, self.options.ranks))
    }

    fn finish(&mut self, now: Instant, finished: Finished) {
        if let Some(placed) = self.placed.remove(&finished.request) {
            self.tell(now, placed.pool, driver::Event::Finish(finished));
        }
    }

    fn withdraw(&mut self, now: Instant, request: RequestId) {
        let Some(placed) = self.placed.get(&request) else {
            return;
        };
        let pool = placed.pool;
        // A started request stays until it is finished.
        if self.get(pool).is_some_and(|d| d.is_waiting(request)) {
            self.placed.remove(&request);
            self.tell(now, pool, driver::Event::Withdraw(request));
        }
    }

    /// Moves tickets that wait long here to a pool that has just told of its room,
    /// the most urgent first: as many as it gave credits for, or else one.
    fn move_waiting(&mut self, now: Instant, to: DataCentreKey) {
        if to == self.options.local {
            return;
        }
        let credits = self.get(to).map_or(0, Driver::credits);
        for _ in 0..credits.max(1) {
            let Some(ticket) = self.next_to_move(now, to) else {
                return;
            };
            let withdraw = driver::Event::Withdraw(ticket.request);
            self.tell(now, self.options.local, withdraw);
            let placed = self.placed.remove(&ticket.request);
            let tried = placed.map_or_else(Vec::new, |p| p.tried);
            self.place(now, ticket, to, tried);
        }
    }

    fn next_to_move(&self, now: Instant, to: DataCentreKey) -> Option<Ticket> {
        let here = self.get(self.options.local)?;
        let there = self.get(to)?;
        let placed = self.placed.get(&here.next_waiting()?)?;
        // A late answer of a pool that was left must not meet the request there again.
        if placed.tried.contains(&to) || self.closed.contains(&to) {
            return None;
        }
        let ticket = placed.ticket;
        let long = self
            .spill
            .waits_too_long(ticket.rank, &self.waits(self.options.local));
        let room = there.has_home(now) && there.wait(ticket.rank) == Duration::ZERO;
        let move_on = room && (long || !here.has_home(now));
        move_on.then_some(ticket)
    }

    fn tick(&mut self, now: Instant) {
        let due = self
            .pools
            .iter()
            .filter(|(_, p)| p.driver.next_deadline() <= now);
        let due: Vec<_> = due.map(|(&pool, _)| pool).collect();
        for pool in due {
            self.tell(now, pool, driver::Event::Tick);
        }
    }

    fn tell(&mut self, now: Instant, pool: DataCentreKey, event: driver::Event) {
        let Some(entry) = self.pools.get_mut(&pool) else {
            return;
        };
        for action in entry.driver.on_event(now, event) {
            match action {
                driver::Action::Start(request) => {
                    self.actions.push(Action::Start(request, pool));
                }
                driver::Action::Refuse(refusal) => self.refused(now, refusal),
                driver::Action::Send(to, report) => {
                    self.actions.push(Action::Send(pool, to, report));
                }
            }
        }
    }

    /// Tries another pool that may still meet the deadline, else refuses.
    fn refused(&mut self, now: Instant, refusal: Refusal) {
        let Some(placed) = self.placed.remove(&refusal.request) else {
            return;
        };
        let left = placed.ticket.deadline.since(now);
        let rank = placed.ticket.rank;
        let expected = |pool: &Pool| pool.round_trip + pool.driver.wait(rank);
        let open = self.pools.iter().filter(|(key, pool)| {
            !placed.tried.contains(key)
                && !self.closed.contains(key)
                && pool.driver.has_home(now)
                && expected(pool) < left
        });
        match open.min_by_key(|(_, pool)| expected(pool)) {
            Some((&pool, _)) => self.place(now, placed.ticket, pool, placed.tried),
            None => self.actions.push(Action::Refuse(refusal)),
        }
    }
}

fn waits_of(driver: &Driver, ranks: u8) -> Vec<Duration> {
    (0..ranks).map(|r| driver.wait(Rank(r))).collect()
}
