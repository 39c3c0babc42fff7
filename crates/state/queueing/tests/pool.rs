//! Simulates the drivers and queue owners of one pool, with messages lost, delayed,
//! repeated and reordered, queue owners replaced, two queue owners at once and drivers
//! restarted. Checks them against the outcome that the simulation records for each request.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use slotmap::SlotMap;
use uuid::Uuid;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::engine::RequestId;
use hemlockwind_core::names::InstanceKey;
use hemlockwind_core::names::OrganisationKey;
use hemlockwind_core::names::Rank;
use hemlockwind_core::time::Instant;
use hemlockwind_queueing::Driver;
use hemlockwind_queueing::QueueEntry;
use hemlockwind_queueing::QueueOwner;
use hemlockwind_queueing::driver;
use hemlockwind_queueing::message::Finished;
use hemlockwind_queueing::message::Grants;
use hemlockwind_queueing::message::Report;
use hemlockwind_queueing::message::Stamp;
use hemlockwind_queueing::queue_owner;

const CAPACITY: u32 = 16;
const DRIVERS: usize = 3;
const QUEUE_OWNERS: usize = 2;
const FAR_DEADLINE: Duration = Duration::from_secs(100_000);
/// Longer than any run, so that no driver is removed for missing reports.
const NO_TIMEOUT: Duration = Duration::from_secs(50_000);
const DRAIN_ROUNDS: usize = 200;

#[derive(Clone, Debug)]
enum Op {
    Submit {
        driver: usize,
        rank: u8,
        near_deadline: bool,
    },
    Finish(usize),
    Withdraw(usize),
    Deliver(usize),
    Lose(usize),
    Repeat(usize),
    Advance(u64),
    ReplaceQueueOwner(usize),
    SetQueueOwner(usize, Option<usize>),
    ReplaceDriver(usize),
}

/// Returns operations on requests and messages without failures of instances.
fn network_op() -> impl Strategy<Value = Op> {
    prop_oneof![
        // One driver submits more than the others, which then hold credits.
        12 => (prop_oneof![4 => Just(0), 1 => 0..DRIVERS], 0..2u8, prop::bool::weighted(0.1))
            .prop_map(|(driver, rank, near_deadline)| Op::Submit { driver, rank, near_deadline }),
        5 => any::<usize>().prop_map(Op::Finish),
        1 => any::<usize>().prop_map(Op::Withdraw),
        14 => any::<usize>().prop_map(Op::Deliver),
        2 => any::<usize>().prop_map(Op::Lose),
        3 => any::<usize>().prop_map(Op::Repeat),
        2 => (1..700u64).prop_map(Op::Advance),
    ]
}

/// Returns the operations of [`network_op`], replacements of queue owners and drivers, and
/// changes of the queue owner of a single driver.
fn failure_op() -> impl Strategy<Value = Op> {
    prop_oneof![
        30 => network_op(),
        1 => (0..QUEUE_OWNERS).prop_map(Op::ReplaceQueueOwner),
        2 => (0..DRIVERS, prop::option::weighted(0.8, 0..QUEUE_OWNERS))
            .prop_map(|(driver, queue_owner)| Op::SetQueueOwner(driver, queue_owner)),
        1 => (0..DRIVERS).prop_map(Op::ReplaceDriver),
    ]
}

#[derive(Clone, Debug)]
enum Message {
    Report(usize, InstanceKey, Report),
    Grants(InstanceKey, usize, Grants),
}

/// `Outcome` is the state of a request as recorded by the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Waiting,
    Running,
    Finished,
    Refused,
    Withdrawn,
}

struct Simulation {
    now: Instant,
    sessions: u64,
    queue_owner_sessions: u32,
    requests: u128,
    report_timeout: Duration,
    standalone_slots: u32,
    organisation: OrganisationKey,
    queue_owners: Vec<(InstanceKey, QueueOwner)>,
    drivers: Vec<(InstanceKey, Driver)>,
    outcomes: Vec<HashMap<RequestId, Outcome>>,
    messages: Vec<Message>,
}

impl Simulation {
    fn new(report_timeout: Duration, standalone_slots: u32) -> Self {
        let mut keys = SlotMap::<InstanceKey, ()>::with_key();
        let mut organisations = SlotMap::<OrganisationKey, ()>::with_key();
        let now = Instant::from_millis(1);
        let mut simulation = Self {
            now,
            sessions: 0,
            queue_owner_sessions: 0,
            requests: 0,
            report_timeout,
            standalone_slots,
            organisation: organisations.insert(()),
            queue_owners: Vec::new(),
            drivers: Vec::new(),
            outcomes: vec![HashMap::default(); DRIVERS],
            messages: Vec::new(),
        };
        for _ in 0..DRIVERS {
            let driver = simulation.new_driver();
            simulation.drivers.push((keys.insert(()), driver));
        }
        for _ in 0..QUEUE_OWNERS {
            let queue_owner = simulation.new_queue_owner();
            simulation.queue_owners.push((keys.insert(()), queue_owner));
        }
        for driver in 0..DRIVERS {
            simulation.notify_driver(
                driver,
                driver::Event::QueueOwner(Some(simulation.queue_owners[0].0)),
            );
        }
        simulation
    }

    fn new_driver(&mut self) -> Driver {
        self.sessions += 1;
        let options = driver::Options {
            standalone_slots: self.standalone_slots,
            ..driver::Options::default()
        };
        Driver::new(options, self.sessions, self.now)
    }

    fn new_queue_owner(&mut self) -> QueueOwner {
        self.sessions += 1;
        self.queue_owner_sessions += 1;
        let options = queue_owner::Options {
            floors: vec![0.0, 0.2],
            report_timeout: self.report_timeout,
            queue_limit: 256,
            ..queue_owner::Options::default()
        };
        let mut queue_owner = QueueOwner::new(options, self.sessions, self.now);
        let live = self.drivers.iter().map(|(key, _)| *key).collect();
        queue_owner.on_event(self.now, queue_owner::Event::Drivers(live));
        queue_owner.on_event(self.now, queue_owner::Event::Capacity(CAPACITY));
        queue_owner
    }

    fn notify_driver(&mut self, index: usize, event: driver::Event) {
        let (key, driver) = &mut self.drivers[index];
        let key = *key;
        for action in driver.on_event(self.now, event) {
            let outcomes = &mut self.outcomes[index];
            match action {
                driver::Action::Start(request) => {
                    let outcome = outcomes.insert(request, Outcome::Running);
                    assert_eq!(
                        outcome,
                        Some(Outcome::Waiting),
                        "a request is started once, while it waits"
                    );
                }
                driver::Action::Refuse(refusal) => {
                    let outcome = outcomes.insert(refusal.request, Outcome::Refused);
                    assert_eq!(
                        outcome,
                        Some(Outcome::Waiting),
                        "a request is refused once, while it waits"
                    );
                }
                driver::Action::Send(to, report) => {
                    let queue_owner = self.queue_owners.iter().position(|(k, _)| *k == to);
                    let queue_owner = queue_owner.expect("a queue owner of this test");
                    self.messages
                        .push(Message::Report(queue_owner, key, report));
                }
            }
        }
    }

    fn notify_queue_owner(&mut self, index: usize, event: queue_owner::Event) {
        let (key, queue_owner) = &mut self.queue_owners[index];
        let key = *key;
        for queue_owner::Action::Send(to, grants) in queue_owner.on_event(self.now, event) {
            if let Some(driver) = self.drivers.iter().position(|(k, _)| *k == to) {
                self.messages.push(Message::Grants(key, driver, grants));
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Report(queue_owner, from, report) => {
                self.notify_queue_owner(queue_owner, queue_owner::Event::Report(from, report));
            }
            Message::Grants(from, driver, grants) => {
                self.notify_driver(driver, driver::Event::Grants(from, grants));
            }
        }
    }

    fn deliver_all(&mut self) {
        while !self.messages.is_empty() {
            let message = self.messages.remove(0);
            self.deliver(message);
        }
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Submit {
                driver,
                rank,
                near_deadline,
            } => self.submit(driver, rank, near_deadline),
            Op::Finish(i) => self.finish(i),
            Op::Withdraw(i) => self.withdraw(i),
            Op::Deliver(i) if !self.messages.is_empty() => {
                // Mostly in order, sometimes at random.
                let at_random = i % 4 == 0;
                let at = if at_random {
                    i / 4 % self.messages.len()
                } else {
                    0
                };
                let message = self.messages.remove(at);
                self.deliver(message);
            }
            Op::Lose(i) if !self.messages.is_empty() => {
                self.messages.swap_remove(i % self.messages.len());
            }
            Op::Repeat(i) if !self.messages.is_empty() => {
                let message = self.messages[i % self.messages.len()].clone();
                self.messages.push(message);
            }
            Op::Deliver(_) | Op::Lose(_) | Op::Repeat(_) => {}
            Op::Advance(ms) => self.advance(Duration::from_millis(ms)),
            Op::ReplaceQueueOwner(queue_owner) => {
                self.queue_owners[queue_owner].1 = self.new_queue_owner()
            }
            Op::SetQueueOwner(driver, queue_owner) => {
                let queue_owner = queue_owner.map(|index| self.queue_owners[index].0);
                self.notify_driver(driver, driver::Event::QueueOwner(queue_owner));
            }
            Op::ReplaceDriver(driver) => {
                self.drivers[driver].1 = self.new_driver();
                self.outcomes[driver].clear();
            }
        }
    }

    fn submit(&mut self, driver: usize, rank: u8, near_deadline: bool) {
        self.requests += 1;
        let request = RequestId(Uuid::from_u128(self.requests));
        let time = if near_deadline {
            Duration::from_millis(300)
        } else {
            FAR_DEADLINE
        };
        self.outcomes[driver].insert(request, Outcome::Waiting);
        let queue_entry = QueueEntry {
            request,
            organisation: self.organisation,
            share: 1.0,
            rank: Rank(rank),
            cost: 10,
            deadline: self.now + time,
            running: false,
        };
        self.notify_driver(driver, driver::Event::Submit(queue_entry));
    }

    fn pick(&self, i: usize, outcome: Outcome) -> Option<(usize, RequestId)> {
        let outcomes = self.outcomes.iter().enumerate();
        let of = |(d, outcomes): (usize, &HashMap<RequestId, Outcome>)| {
            let chosen = outcomes.iter().filter(|(_, o)| **o == outcome);
            chosen.map(|(r, _)| (d, *r)).collect::<Vec<_>>()
        };
        let mut found: Vec<_> = outcomes.flat_map(of).collect();
        found.sort_unstable();
        (!found.is_empty()).then(|| found[i % found.len()])
    }

    fn finish(&mut self, i: usize) {
        if let Some((driver, request)) = self.pick(i, Outcome::Running) {
            self.outcomes[driver].insert(request, Outcome::Finished);
            let finished = Finished { request, cost: 10 };
            self.notify_driver(driver, driver::Event::Finish(finished));
        }
    }

    fn withdraw(&mut self, i: usize) {
        if let Some((driver, request)) = self.pick(i, Outcome::Waiting) {
            self.outcomes[driver].insert(request, Outcome::Withdrawn);
            self.notify_driver(driver, driver::Event::Withdraw(request));
        }
    }

    /// Advances the time, with a tick at each deadline.
    fn advance(&mut self, by: Duration) {
        let end = self.now + by;
        for _ in 0..10_000 {
            let drivers = self.drivers.iter().map(|(_, d)| d.next_deadline());
            let queue_owners = self.queue_owners.iter().map(|(_, o)| o.next_deadline());
            let next = drivers.chain(queue_owners).min().unwrap_or(end);
            if next > end {
                self.now = end;
                return;
            }
            self.now = self.now.max(next);
            for driver in 0..DRIVERS {
                if self.drivers[driver].1.next_deadline() <= self.now {
                    self.notify_driver(driver, driver::Event::Tick);
                }
            }
            for queue_owner in 0..QUEUE_OWNERS {
                if self.queue_owners[queue_owner].1.next_deadline() <= self.now {
                    self.notify_queue_owner(queue_owner, queue_owner::Event::Tick);
                }
            }
        }
        panic!("deadlines don't advance: 10000 ticks before {end:?}");
    }

    fn count(&self, outcome: Outcome) -> u32 {
        let of = |outcomes: &HashMap<RequestId, Outcome>| {
            outcomes.values().filter(|o| **o == outcome).count()
        };
        self.outcomes.iter().map(of).sum::<usize>() as u32
    }

    /// Returns the number of slots in use or usable by a credit.
    fn taken(&self) -> u32 {
        let credits = self.drivers.iter().map(|(_, d)| d.credits());
        self.count(Outcome::Running) + credits.sum::<u32>()
    }

    fn check_drivers(&self) {
        for ((_, driver), outcomes) in self.drivers.iter().zip(&self.outcomes) {
            let count = |outcome| outcomes.values().filter(|o| **o == outcome).count();
            assert_eq!(driver.running() as usize, count(Outcome::Running));
            assert_eq!(driver.waiting(), count(Outcome::Waiting));
        }
    }

    /// Delivers all messages and sets the first queue owner at all drivers, until nothing
    /// waits or runs. Nothing may wait while a slot is free, and in the end nothing waits
    /// and no slot is in use or set aside.
    fn run_until_drained(&mut self) {
        let queue_owner = Some(self.queue_owners[0].0);
        for driver in 0..DRIVERS {
            self.notify_driver(driver, driver::Event::QueueOwner(queue_owner));
        }
        for round in 0..DRAIN_ROUNDS {
            self.deliver_all();
            self.check_drivers();
            if round == DRAIN_ROUNDS / 2 {
                (0..2 * CAPACITY).for_each(|_| self.submit(0, 0, false));
                self.deliver_all();
            }
            if round > 20 && self.count(Outcome::Waiting) > 0 {
                let running = self.count(Outcome::Running);
                assert!(
                    running >= CAPACITY,
                    "{running} requests run and a slot is free while a queue entry waits"
                );
            }
            self.finish(round);
            self.advance(Duration::from_millis(300));
        }
        while self.count(Outcome::Running) > 0 {
            self.finish(0);
        }
        for _ in 0..10 {
            self.deliver_all();
            self.advance(Duration::from_millis(300));
        }
        self.deliver_all();
        assert_eq!(self.count(Outcome::Waiting), 0, "queue entries were lost");
        assert_eq!(self.queue_owners[0].1.in_use(), 0, "slots were lost");
        let credits: u32 = self.drivers.iter().map(|(_, d)| d.credits()).sum();
        assert!(
            self.queue_owners[0].1.credit_slots() >= credits,
            "{credits} credits have fewer slots set aside"
        );
        let spare = self.queue_owners[0].1.credit_slots() - credits;
        assert_eq!(spare, 0, "slots are set aside without a credit");
    }
}

fn cases(default: u32) -> Config {
    let cases = std::env::var("PROPTEST_CASES").ok();
    Config {
        cases: cases.and_then(|c| c.parse().ok()).unwrap_or(default),
        rng_seed: RngSeed::Fixed(0x9001),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(cases(192))]

    #[test]
    fn messages_lost_late_repeated(ops in proptest::collection::vec(network_op(), 1..300)) {
        let mut simulation = Simulation::new(NO_TIMEOUT, 0);
        for op in ops {
            simulation.apply(op);
            simulation.check_drivers();
            prop_assert!(simulation.taken() <= CAPACITY, "{} slots taken", simulation.taken());
        }
        simulation.run_until_drained();
    }

    #[test]
    fn queue_owners_and_drivers_replaced(ops in proptest::collection::vec(failure_op(), 1..300)) {
        let mut simulation = Simulation::new(NO_TIMEOUT, 1);
        for op in ops {
            simulation.apply(op);
            simulation.check_drivers();
            let bound = CAPACITY * simulation.queue_owner_sessions + DRIVERS as u32;
            prop_assert!(simulation.taken() <= bound, "{} slots taken", simulation.taken());
        }
        simulation.run_until_drained();
    }

    #[test]
    fn drivers_removed_and_reporting_again(ops in proptest::collection::vec(failure_op(), 1..300)) {
        let mut simulation = Simulation::new(Duration::from_secs(1), 1);
        for op in ops {
            simulation.apply(op);
            simulation.check_drivers();
        }
        simulation.run_until_drained();
    }
}

#[test]
fn two_queue_owners_share_the_capacity() {
    let mut simulation = Simulation::new(NO_TIMEOUT, 1);
    let other = Some(simulation.queue_owners[1].0);
    simulation.notify_driver(2, driver::Event::QueueOwner(other));
    for _ in 0..30 {
        for driver in 0..DRIVERS {
            simulation.submit(driver, 0, false);
        }
        simulation.advance(Duration::from_millis(300));
        simulation.deliver_all();
        assert!(
            simulation.taken() <= CAPACITY,
            "{} slots taken",
            simulation.taken()
        );
    }
    assert!(
        simulation.taken() + 1 >= CAPACITY,
        "{} slots taken",
        simulation.taken()
    );
}

#[test]
fn credits_overtaken_or_repeated() {
    let mut simulation = Simulation::new(NO_TIMEOUT, 0);
    let queue_owner = simulation.queue_owners[0].0;
    let grants = |number, credits| {
        let stamp = Stamp { session: 9, number };
        let grants = Grants {
            stamp,
            credits,
            ..Grants::default()
        };
        driver::Event::Grants(queue_owner, grants)
    };
    for (number, credits) in [(2, 2), (2, 2), (1, 4)] {
        simulation.notify_driver(0, grants(number, credits));
    }
    assert_eq!(simulation.drivers[0].1.credits(), 2);
}

#[test]
fn whole_report_overtaken() {
    let mut simulation = Simulation::new(NO_TIMEOUT, 0);
    let old = simulation.messages[0].clone();
    simulation.deliver_all();
    for driver in 0..DRIVERS {
        (0..CAPACITY).for_each(|_| simulation.submit(driver, 0, false));
        simulation.deliver_all();
        simulation.deliver(old.clone());
        simulation.deliver_all();
        assert_eq!(simulation.taken(), CAPACITY);
    }
}
