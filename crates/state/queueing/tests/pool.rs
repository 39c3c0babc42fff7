//! Drivers and homes with messages lost, late, repeated and crossed, homes replaced,
//! two homes at once and drivers dead, against the truth kept by the drivers' hosts.

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
use hemlockwind_queueing::Home;
use hemlockwind_queueing::Ticket;
use hemlockwind_queueing::driver;
use hemlockwind_queueing::home;
use hemlockwind_queueing::message::Finished;
use hemlockwind_queueing::message::Grants;
use hemlockwind_queueing::message::Report;
use hemlockwind_queueing::message::Stamp;

const CAPACITY: u32 = 16;
const DRIVERS: usize = 3;
const HOMES: usize = 2;
const FAR: Duration = Duration::from_secs(100_000);
/// Longer than any history, so that nobody is forgotten for silence.
const PATIENT: Duration = Duration::from_secs(50_000);
const QUIET_ROUNDS: usize = 200;

#[derive(Clone, Debug)]
enum Op {
    Submit { driver: usize, rank: u8, near: bool },
    Finish(usize),
    Withdraw(usize),
    Deliver(usize),
    Lose(usize),
    Repeat(usize),
    Advance(u64),
    ReplaceHome(usize),
    Tell(usize, Option<usize>),
    ReplaceDriver(usize),
}

/// What happens to messages and tickets while nobody fails.
fn network_op() -> impl Strategy<Value = Op> {
    prop_oneof![
        // One driver asks more than the others, which then hold credits.
        12 => (prop_oneof![4 => Just(0), 1 => 0..DRIVERS], 0..2u8, prop::bool::weighted(0.1))
            .prop_map(|(driver, rank, near)| Op::Submit { driver, rank, near }),
        5 => any::<usize>().prop_map(Op::Finish),
        1 => any::<usize>().prop_map(Op::Withdraw),
        14 => any::<usize>().prop_map(Op::Deliver),
        2 => any::<usize>().prop_map(Op::Lose),
        3 => any::<usize>().prop_map(Op::Repeat),
        2 => (1..700u64).prop_map(Op::Advance),
    ]
}

/// The same with instances that fail and beliefs that differ.
fn failure_op() -> impl Strategy<Value = Op> {
    prop_oneof![
        30 => network_op(),
        1 => (0..HOMES).prop_map(Op::ReplaceHome),
        2 => (0..DRIVERS, prop::option::weighted(0.8, 0..HOMES))
            .prop_map(|(driver, home)| Op::Tell(driver, home)),
        1 => (0..DRIVERS).prop_map(Op::ReplaceDriver),
    ]
}

#[derive(Clone, Debug)]
enum Message {
    Report(usize, InstanceKey, Report),
    Grants(InstanceKey, usize, Grants),
}

/// What became of a request, as its host sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Waiting,
    Running,
    Finished,
    Refused,
    Withdrawn,
}

struct World {
    now: Instant,
    sessions: u64,
    home_sessions: u32,
    requests: u128,
    silence: Duration,
    floor: u32,
    organisation: OrganisationKey,
    homes: Vec<(InstanceKey, Home)>,
    drivers: Vec<(InstanceKey, Driver)>,
    fates: Vec<HashMap<RequestId, Fate>>,
    messages: Vec<Message>,
}

impl World {
    fn new(silence: Duration, floor: u32) -> Self {
        let mut keys = SlotMap::<InstanceKey, ()>::with_key();
        let mut organisations = SlotMap::<OrganisationKey, ()>::with_key();
        let now = Instant::from_millis(1);
        let mut world = Self {
            now,
            sessions: 0,
            home_sessions: 0,
            requests: 0,
            silence,
            floor,
            organisation: organisations.insert(()),
            homes: Vec::new(),
            drivers: Vec::new(),
            fates: vec![HashMap::default(); DRIVERS],
            messages: Vec::new(),
        };
        for _ in 0..DRIVERS {
            let driver = world.new_driver();
            world.drivers.push((keys.insert(()), driver));
        }
        for _ in 0..HOMES {
            let home = world.new_home();
            world.homes.push((keys.insert(()), home));
        }
        for driver in 0..DRIVERS {
            world.tell_driver(driver, driver::Event::Home(Some(world.homes[0].0)));
        }
        world
    }

    fn new_driver(&mut self) -> Driver {
        self.sessions += 1;
        let options = driver::Options {
            floor: self.floor,
            ..driver::Options::default()
        };
        Driver::new(options, self.sessions, self.now)
    }

    fn new_home(&mut self) -> Home {
        self.sessions += 1;
        self.home_sessions += 1;
        let options = home::Options {
            floors: vec![0.0, 0.2],
            silence: self.silence,
            queue_limit: 256,
            ..home::Options::default()
        };
        let mut home = Home::new(options, self.sessions, self.now);
        let live = self.drivers.iter().map(|(key, _)| *key).collect();
        home.on_event(self.now, home::Event::Drivers(live));
        home.on_event(self.now, home::Event::Capacity(CAPACITY));
        home
    }

    fn tell_driver(&mut self, index: usize, event: driver::Event) {
        let (key, driver) = &mut self.drivers[index];
        let key = *key;
        for action in driver.on_event(self.now, event) {
            let fates = &mut self.fates[index];
            match action {
                driver::Action::Start(request) => {
                    let fate = fates.insert(request, Fate::Running);
                    assert_eq!(fate, Some(Fate::Waiting), "started once, while it waits");
                }
                driver::Action::Refuse(refusal) => {
                    let fate = fates.insert(refusal.request, Fate::Refused);
                    assert_eq!(fate, Some(Fate::Waiting), "refused once, while it waits");
                }
                driver::Action::Send(to, report) => {
                    let home = self.homes.iter().position(|(k, _)| *k == to);
                    let home = home.expect("a home");
                    self.messages.push(Message::Report(home, key, report));
                }
            }
        }
    }

    fn tell_home(&mut self, index: usize, event: home::Event) {
        let (key, home) = &mut self.homes[index];
        let key = *key;
        for home::Action::Send(to, grants) in home.on_event(self.now, event) {
            if let Some(driver) = self.drivers.iter().position(|(k, _)| *k == to) {
                self.messages.push(Message::Grants(key, driver, grants));
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Report(home, from, report) => {
                self.tell_home(home, home::Event::Report(from, report));
            }
            Message::Grants(from, driver, grants) => {
                self.tell_driver(driver, driver::Event::Grants(from, grants));
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
            Op::Submit { driver, rank, near } => self.submit(driver, rank, near),
            Op::Finish(i) => self.finish(i),
            Op::Withdraw(i) => self.withdraw(i),
            Op::Deliver(i) if !self.messages.is_empty() => {
                // Mostly in order, sometimes any.
                let any = i % 4 == 0;
                let at = if any { i / 4 % self.messages.len() } else { 0 };
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
            Op::ReplaceHome(home) => self.homes[home].1 = self.new_home(),
            Op::Tell(driver, home) => {
                let home = home.map(|h| self.homes[h].0);
                self.tell_driver(driver, driver::Event::Home(home));
            }
            Op::ReplaceDriver(driver) => {
                self.drivers[driver].1 = self.new_driver();
                self.fates[driver].clear();
            }
        }
    }

    fn submit(&mut self, driver: usize, rank: u8, near: bool) {
        self.requests += 1;
        let request = RequestId(Uuid::from_u128(self.requests));
        let time = if near {
            Duration::from_millis(300)
        } else {
            FAR
        };
        self.fates[driver].insert(request, Fate::Waiting);
        let ticket = Ticket {
            request,
            organisation: self.organisation,
            share: 1.0,
            rank: Rank(rank),
            cost: 10,
            deadline: self.now + time,
            running: false,
        };
        self.tell_driver(driver, driver::Event::Submit(ticket));
    }

    fn pick(&self, i: usize, fate: Fate) -> Option<(usize, RequestId)> {
        let fates = self.fates.iter().enumerate();
        let of = |(d, fates): (usize, &HashMap<RequestId, Fate>)| {
            let chosen = fates.iter().filter(|(_, f)| **f == fate);
            chosen.map(|(r, _)| (d, *r)).collect::<Vec<_>>()
        };
        let mut found: Vec<_> = fates.flat_map(of).collect();
        found.sort_unstable();
        (!found.is_empty()).then(|| found[i % found.len()])
    }

    fn finish(&mut self, i: usize) {
        if let Some((driver, request)) = self.pick(i, Fate::Running) {
            self.fates[driver].insert(request, Fate::Finished);
            let finished = Finished { request, cost: 10 };
            self.tell_driver(driver, driver::Event::Finish(finished));
        }
    }

    fn withdraw(&mut self, i: usize) {
        if let Some((driver, request)) = self.pick(i, Fate::Waiting) {
            self.fates[driver].insert(request, Fate::Withdrawn);
            self.tell_driver(driver, driver::Event::Withdraw(request));
        }
    }

    /// Moves the time on, with a tick whenever somebody wants one.
    fn advance(&mut self, by: Duration) {
        let end = self.now + by;
        for _ in 0..10_000 {
            let drivers = self.drivers.iter().map(|(_, d)| d.next_deadline());
            let homes = self.homes.iter().map(|(_, h)| h.next_deadline());
            let next = drivers.chain(homes).min().unwrap_or(end);
            if next > end {
                self.now = end;
                return;
            }
            self.now = self.now.max(next);
            for driver in 0..DRIVERS {
                if self.drivers[driver].1.next_deadline() <= self.now {
                    self.tell_driver(driver, driver::Event::Tick);
                }
            }
            for home in 0..HOMES {
                if self.homes[home].1.next_deadline() <= self.now {
                    self.tell_home(home, home::Event::Tick);
                }
            }
        }
        panic!("a deadline never moves on");
    }

    fn count(&self, fate: Fate) -> u32 {
        let of = |fates: &HashMap<RequestId, Fate>| fates.values().filter(|f| **f == fate).count();
        self.fates.iter().map(of).sum::<usize>() as u32
    }

    /// Slots that are in use or may be used without asking.
    fn taken(&self) -> u32 {
        let credits = self.drivers.iter().map(|(_, d)| d.credits());
        self.count(Fate::Running) + credits.sum::<u32>()
    }

    fn check_drivers(&self) {
        for ((_, driver), fates) in self.drivers.iter().zip(&self.fates) {
            let count = |fate| fates.values().filter(|f| **f == fate).count();
            assert_eq!(driver.running() as usize, count(Fate::Running));
            assert_eq!(driver.waiting(), count(Fate::Waiting));
        }
    }

    /// From here on all messages arrive and all agree on the first home. Nothing
    /// may wait while a slot is free, and in the end nothing waits at all.
    fn settle(&mut self) {
        let home = Some(self.homes[0].0);
        for driver in 0..DRIVERS {
            self.tell_driver(driver, driver::Event::Home(home));
        }
        for round in 0..QUIET_ROUNDS {
            self.deliver_all();
            self.check_drivers();
            if round == QUIET_ROUNDS / 2 {
                (0..2 * CAPACITY).for_each(|_| self.submit(0, 0, false));
                self.deliver_all();
            }
            if round > 20 && self.count(Fate::Waiting) > 0 {
                let running = self.count(Fate::Running);
                assert!(running >= CAPACITY, "a slot is free while a ticket waits");
            }
            self.finish(round);
            self.advance(Duration::from_millis(300));
        }
        while self.count(Fate::Running) > 0 {
            self.finish(0);
        }
        for _ in 0..10 {
            self.deliver_all();
            self.advance(Duration::from_millis(300));
        }
        self.deliver_all();
        assert_eq!(self.count(Fate::Waiting), 0, "a ticket was lost");
        assert_eq!(self.homes[0].1.in_use(), 0, "a slot was lost");
        let credits: u32 = self.drivers.iter().map(|(_, d)| d.credits()).sum();
        assert!(self.homes[0].1.held() >= credits, "a credit without a slot");
        let spare = self.homes[0].1.held() - credits;
        assert_eq!(spare, 0, "a slot is set aside for nobody");
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
        let mut world = World::new(PATIENT, 0);
        for op in ops {
            world.apply(op);
            world.check_drivers();
            prop_assert!(world.taken() <= CAPACITY, "{} slots taken", world.taken());
        }
        world.settle();
    }

    #[test]
    fn homes_and_drivers_replaced(ops in proptest::collection::vec(failure_op(), 1..300)) {
        let mut world = World::new(PATIENT, 1);
        for op in ops {
            world.apply(op);
            world.check_drivers();
            let bound = CAPACITY * world.home_sessions + DRIVERS as u32;
            prop_assert!(world.taken() <= bound, "{} slots taken", world.taken());
        }
        world.settle();
    }

    #[test]
    fn drivers_forgotten_and_heard_again(ops in proptest::collection::vec(failure_op(), 1..300)) {
        let mut world = World::new(Duration::from_secs(1), 1);
        for op in ops {
            world.apply(op);
            world.check_drivers();
        }
        world.settle();
    }
}

#[test]
fn two_homes_share_the_capacity() {
    let mut world = World::new(PATIENT, 1);
    let other = Some(world.homes[1].0);
    world.tell_driver(2, driver::Event::Home(other));
    for _ in 0..30 {
        for driver in 0..DRIVERS {
            world.submit(driver, 0, false);
        }
        world.advance(Duration::from_millis(300));
        world.deliver_all();
        assert!(world.taken() <= CAPACITY, "{} slots taken", world.taken());
    }
    assert!(
        world.taken() + 1 >= CAPACITY,
        "{} slots taken",
        world.taken()
    );
}

#[test]
fn credits_overtaken_or_repeated() {
    let mut world = World::new(PATIENT, 0);
    let home = world.homes[0].0;
    let grants = |number, credits| {
        let stamp = Stamp { session: 9, number };
        let grants = Grants {
            stamp,
            credits,
            ..Grants::default()
        };
        driver::Event::Grants(home, grants)
    };
    for (number, credits) in [(2, 2), (2, 2), (1, 4)] {
        world.tell_driver(0, grants(number, credits));
    }
    assert_eq!(world.drivers[0].1.credits(), 2);
}

#[test]
fn whole_report_overtaken() {
    let mut world = World::new(PATIENT, 0);
    let old = world.messages[0].clone();
    world.deliver_all();
    for driver in 0..DRIVERS {
        (0..CAPACITY).for_each(|_| world.submit(driver, 0, false));
        world.deliver_all();
        world.deliver(old.clone());
        world.deliver_all();
        assert_eq!(world.taken(), CAPACITY);
    }
}
