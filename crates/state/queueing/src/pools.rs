//! The pools of one model in all data centres, as one instance uses them.
//!
//! A queue entry waits in one pool at a time, first in the local one unless the wait there
//! is too long. When a pool refuses it, another pool that may still meet the deadline is
//! tried. When another pool has free slots, queue entries that wait locally move there.

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
use crate::queue_entry::QueueEntry;
use crate::queue_entry::Refusal;
use crate::spill;
use crate::spill::Spill;
use crate::spill::View;

/// `Options` holds the settings of the pools.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// The data centre of this instance.
    pub local: DataCentreKey,
    /// The number of ranks.
    pub ranks: u8,
    /// The settings of the driver's side of each pool.
    pub driver: driver::Options,
}

/// `Event` is an input of the pools.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request needs a slot.
    Submit(QueueEntry),
    /// A started request ended and had this cost.
    Finish(Finished),
    /// A request is cancelled; this has no effect once it has started.
    Withdraw(RequestId),
    /// The queue owner of the pool in this data centre is now on the given instance,
    /// or there is none.
    QueueOwner(DataCentreKey, Option<InstanceKey>),
    /// A message of the queue owner of the pool in this data centre arrived.
    Grants(DataCentreKey, InstanceKey, Grants),
    /// The pool of this data centre is open (it can run requests) or closed.
    Open(DataCentreKey, bool),
    /// The time of [`Pools::next_deadline`] has come.
    Tick,
}

/// `Action` is an output of the pools, for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the request in the pool of this data centre.
    Start(RequestId, DataCentreKey),
    /// Refuse the request; nothing was run.
    Refuse(Refusal),
    /// Send the report to the queue owner of the pool in this data centre, on the
    /// given instance.
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
    placed: HashMap<RequestId, Placement>,
    actions: Vec<Action>,
}

#[derive(Debug)]
struct Pool {
    driver: Driver,
    round_trip: Duration,
}

/// `Placement` holds the pool in which a request waits or runs, and the pools that it
/// has tried.
#[derive(Clone, Debug)]
struct Placement {
    queue_entry: QueueEntry,
    pool: DataCentreKey,
    tried: Vec<DataCentreKey>,
}

impl Pools {
    /// Returns pools that contain only the local one; [`Pools::insert`] adds others.
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

    /// Adds the pool of another data centre unless it was added before. `round_trip` is the
    /// round-trip time of a message to it.
    pub fn insert(&mut self, now: Instant, pool: DataCentreKey, round_trip: Duration) {
        let driver = Driver::new(self.options.driver, self.session, now);
        self.pools
            .entry(pool)
            .or_insert(Pool { driver, round_trip });
    }

    /// Replaces the settings of spilling.
    pub fn set_spill(&mut self, options: spill::Options) {
        self.spill.set_options(options);
    }

    /// Processes one event and returns the actions that follow from it.
    pub fn on_event(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Submit(queue_entry) => self.submit(now, queue_entry),
            Event::Finish(finished) => self.finish(now, finished),
            Event::Withdraw(request) => self.withdraw(now, request),
            Event::QueueOwner(pool, queue_owner) => {
                self.notify(now, pool, driver::Event::QueueOwner(queue_owner))
            }
            Event::Grants(pool, from, grants) => {
                self.notify(now, pool, driver::Event::Grants(from, grants));
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

    /// Returns when the pools next need an [`Event::Tick`].
    pub fn next_deadline(&self) -> Instant {
        let deadlines = self.pools.values().map(|p| p.driver.next_deadline());
        deadlines.min().unwrap_or(Instant::NEVER)
    }

    /// Returns the driver's side of the pool in `data_centre`.
    pub fn get(&self, data_centre: DataCentreKey) -> Option<&Driver> {
        self.pools.get(&data_centre).map(|p| &p.driver)
    }

    fn submit(&mut self, now: Instant, queue_entry: QueueEntry) {
        if self.placed.contains_key(&queue_entry.request) {
            return;
        }
        let pool = self.choose(queue_entry.rank);
        self.place(now, queue_entry, pool, Vec::new());
    }

    /// Submits a queue entry to `pool` and adds it to the pools tried.
    fn place(
        &mut self,
        now: Instant,
        queue_entry: QueueEntry,
        pool: DataCentreKey,
        mut tried: Vec<DataCentreKey>,
    ) {
        tried.push(pool);
        let placed = Placement {
            queue_entry,
            pool,
            tried,
        };
        self.placed.insert(queue_entry.request, placed);
        self.notify(now, pool, driver::Event::Submit(queue_entry));
    }

    /// Returns the pool that a new queue entry of `rank` goes to.
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
            let queue_owner = driver
                .queue_owner()
                .filter(|_| !self.closed.contains(&pool));
            let view = queue_owner.map(|_| View {
                round_trip: *round_trip,
                waits: waits_of(driver, self.options.ranks),
                free: driver.credits(),
            });
            self.spill.update(pool, view);
        }
        let chosen = self.spill.choose(rank, &local);
        chosen.unwrap_or(self.options.local)
    }

    /// Returns the open pool with the shortest expected wait that is not in `tried`.
    fn shortest_open(&self, rank: Rank, tried: &[DataCentreKey]) -> Option<DataCentreKey> {
        let open = self
            .pools
            .iter()
            .filter(|(key, _)| !self.closed.contains(key) && !tried.contains(key));
        let (&pool, _) = open.min_by_key(|(_, p)| p.round_trip + p.driver.wait(rank))?;
        Some(pool)
    }

    /// Closes a pool, and moves its waiting queue entries to open pools.
    fn close(&mut self, now: Instant, pool: DataCentreKey) {
        if !self.closed.insert(pool) {
            return;
        }
        let in_pool = self.placed.values().filter(|placed| placed.pool == pool);
        let mut queue_entries: Vec<_> = in_pool.map(|placed| placed.queue_entry).collect();
        queue_entries.retain(|e| self.get(pool).is_some_and(|d| d.is_waiting(e.request)));
        queue_entries.sort_unstable_by_key(|e| (e.rank, e.request));
        for queue_entry in queue_entries {
            let tried = self
                .placed
                .get(&queue_entry.request)
                .map(|p| p.tried.clone());
            let tried = tried.unwrap_or_default();
            if let Some(to) = self.shortest_open(queue_entry.rank, &tried) {
                self.notify(now, pool, driver::Event::Withdraw(queue_entry.request));
                self.placed.remove(&queue_entry.request);
                self.place(now, queue_entry, to, tried);
            }
        }
    }

    fn waits(&self, pool: DataCentreKey) -> Vec<Duration> {
        let driver = self.get(pool);
        driver.map_or_else(Vec::new, |d| waits_of(d, self.options.ranks))
    }

    fn finish(&mut self, now: Instant, finished: Finished) {
        if let Some(placed) = self.placed.remove(&finished.request) {
            self.notify(now, placed.pool, driver::Event::Finish(finished));
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
            self.notify(now, pool, driver::Event::Withdraw(request));
        }
    }

    /// Moves local queue entries that should rather wait in pool `to`, after a message of its
    /// queue owner. The most urgent move first: at most one per credit of that pool, or one
    /// if it gave no credits.
    fn move_waiting(&mut self, now: Instant, to: DataCentreKey) {
        if to == self.options.local {
            return;
        }
        let credits = self.get(to).map_or(0, Driver::credits);
        for _ in 0..credits.max(1) {
            let Some(queue_entry) = self.next_to_move(now, to) else {
                return;
            };
            let withdraw = driver::Event::Withdraw(queue_entry.request);
            self.notify(now, self.options.local, withdraw);
            let placed = self.placed.remove(&queue_entry.request);
            let tried = placed.map_or_else(Vec::new, |p| p.tried);
            self.place(now, queue_entry, to, tried);
        }
    }

    /// Returns the next waiting local queue entry if it should move to pool `to`: its queue
    /// owner answers, and the move saves most of a wait that is too long or no queue owner
    /// answers locally.
    fn next_to_move(&self, now: Instant, to: DataCentreKey) -> Option<QueueEntry> {
        let local = self.get(self.options.local)?;
        let target = self.pools.get(&to)?;
        let placed = self.placed.get(&local.next_waiting()?)?;
        // A request doesn't return to a pool that it has left, since a late answer of that
        // pool would be taken for an answer to the new submission.
        if placed.tried.contains(&to) || self.closed.contains(&to) {
            return None;
        }
        let queue_entry = placed.queue_entry;
        let expected = target.round_trip + target.driver.wait(queue_entry.rank);
        let local_waits = self.waits(self.options.local);
        let saves_time = self
            .spill
            .should_move(queue_entry.rank, &local_waits, expected);
        let should_move =
            target.driver.has_queue_owner(now) && (saves_time || !local.has_queue_owner(now));
        should_move.then_some(queue_entry)
    }

    fn tick(&mut self, now: Instant) {
        let due = self
            .pools
            .iter()
            .filter(|(_, p)| p.driver.next_deadline() <= now);
        let due: Vec<_> = due.map(|(&pool, _)| pool).collect();
        for pool in due {
            self.notify(now, pool, driver::Event::Tick);
        }
    }

    /// Passes an event to the driver of `pool` and converts its actions.
    fn notify(&mut self, now: Instant, pool: DataCentreKey, event: driver::Event) {
        let Some(entry) = self.pools.get_mut(&pool) else {
            return;
        };
        for action in entry.driver.on_event(now, event) {
            match action {
                driver::Action::Start(request) => {
                    self.actions.push(Action::Start(request, pool));
                }
                driver::Action::Refuse(refusal) => self.on_refused(now, refusal),
                driver::Action::Send(to, report) => {
                    self.actions.push(Action::Send(pool, to, report));
                }
            }
        }
    }

    /// Moves a refused request to another pool that may still meet the deadline, or
    /// refuses it when there is none.
    fn on_refused(&mut self, now: Instant, refusal: Refusal) {
        let Some(placed) = self.placed.remove(&refusal.request) else {
            return;
        };
        let remaining = placed.queue_entry.deadline.since(now);
        let rank = placed.queue_entry.rank;
        let expected = |pool: &Pool| pool.round_trip + pool.driver.wait(rank);
        let open = self.pools.iter().filter(|(key, pool)| {
            !placed.tried.contains(key)
                && !self.closed.contains(key)
                && pool.driver.has_queue_owner(now)
                && expected(pool) < remaining
        });
        match open.min_by_key(|(_, pool)| expected(pool)) {
            Some((&pool, _)) => self.place(now, placed.queue_entry, pool, placed.tried),
            None => self.actions.push(Action::Refuse(refusal)),
        }
    }
}

fn waits_of(driver: &Driver, ranks: u8) -> Vec<Duration> {
    (0..ranks).map(|r| driver.wait(Rank(r))).collect()
}
