//! Requests over the pools of two data centres: each is started or refused once,
//! whatever happens to the messages, and nothing waits beside a free slot for long.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use slotmap::SlotMap;
use uuid::Uuid;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::engine::RequestId;
use hemlockwind_core::names::DataCentreKey;
use hemlockwind_core::names::InstanceKey;
use hemlockwind_core::names::OrganisationKey;
use hemlockwind_core::names::Rank;
use hemlockwind_core::time::Instant;
use hemlockwind_queueing::Driver;
use hemlockwind_queueing::Home;
use hemlockwind_queueing::Pools;
use hemlockwind_queueing::Spill;
use hemlockwind_queueing::Ticket;
use hemlockwind_queueing::driver;
use hemlockwind_queueing::home;
use hemlockwind_queueing::message::Finished;
use hemlockwind_queueing::message::Grants;
use hemlockwind_queueing::message::Report;
use hemlockwind_queueing::pools;
use hemlockwind_queueing::spill;

const CENTRES: usize = 2;
const CAPACITY: u32 = 8;
/// Longer than any history.
const LONG: Duration = Duration::from_secs(100_000);
const QUIET_ROUNDS: usize = 120;

#[derive(Clone, Debug)]
enum Op {
    Submit { centre: usize, rank: u8, near: bool },
    Finish(usize),
    Withdraw(usize),
    Deliver(usize),
    Lose(usize),
    Repeat(usize),
    Advance(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        // The first data centre asks more than it has.
        12 => (prop_oneof![5 => Just(0), 1 => Just(1)], 0..2u8, prop::bool::weighted(0.3))
            .prop_map(|(centre, rank, near)| Op::Submit { centre, rank, near }),
        5 => any::<usize>().prop_map(Op::Finish),
        1 => any::<usize>().prop_map(Op::Withdraw),
        14 => any::<usize>().prop_map(Op::Deliver),
        1 => any::<usize>().prop_map(Op::Lose),
        2 => any::<usize>().prop_map(Op::Repeat),
        2 => (1..700u64).prop_map(Op::Advance),
    ]
}

#[derive(Clone, Debug)]
enum Message {
    Report(usize, usize, Report),
    Grants(usize, usize, Grants),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Waiting,
    Running(usize),
    Ended,
}

struct World {
    now: Instant,
    organisation: OrganisationKey,
    centres: Vec<DataCentreKey>,
    instances: Vec<InstanceKey>,
    homes: Vec<Home>,
    pools: Vec<Pools>,
    /// Each request with the instance that drives it.
    fates: HashMap<RequestId, (usize, Fate)>,
    messages: Vec<Message>,
    moved: usize,
}

impl World {
    fn new() -> Self {
        let now = Instant::from_millis(1);
        let mut centres = SlotMap::<DataCentreKey, ()>::with_key();
        let mut instances = SlotMap::<InstanceKey, ()>::with_key();
        let centres: Vec<_> = (0..CENTRES).map(|_| centres.insert(())).collect();
        let instances: Vec<_> = (0..CENTRES).map(|_| instances.insert(())).collect();
        let home = |i: usize| {
            let options = home::Options {
                floors: vec![0.0, 0.2],
                silence: LONG,
                ..home::Options::default()
            };
            let mut home = Home::new(options, 1, now);
            home.on_event(now, home::Event::Drivers(vec![instances[i]]));
            home.on_event(now, home::Event::Capacity(CAPACITY));
            home
        };
        let side = |&local: &DataCentreKey| {
            let spill = Spill::new(spill::Options {
                targets: vec![Duration::from_millis(10); 2],
                gain: Duration::from_millis(1),
            });
            let driver = driver::Options {
                floor: 0,
                ..driver::Options::default()
            };
            let options = pools::Options {
                local,
                ranks: 2,
                driver,
            };
            let mut pools = Pools::new(options, spill, 1, now);
            for &centre in &centres {
                pools.insert(now, centre, Duration::from_millis(1));
            }
            pools
        };
        let mut world = Self {
            now,
            organisation: SlotMap::<OrganisationKey, ()>::with_key().insert(()),
            homes: (0..CENTRES).map(home).collect(),
            pools: centres.iter().map(side).collect(),
            centres,
            instances,
            fates: HashMap::default(),
            messages: Vec::new(),
            moved: 0,
        };
        for instance in 0..CENTRES {
            for centre in 0..CENTRES {
                let home = Some(world.instances[centre]);
                world.tell(instance, pools::Event::Home(world.centres[centre], home));
            }
        }
        world.deliver_all();
        world
    }

    fn tell(&mut self, instance: usize, event: pools::Event) {
        for action in self.pools[instance].on_event(self.now, event) {
            match action {
                pools::Action::Start(request, centre) => {
                    let centre = self.centre(centre);
                    self.moved += usize::from(centre != instance);
                    self.settle(instance, request, Fate::Running(centre));
                }
                pools::Action::Refuse(refusal) => {
                    self.settle(instance, refusal.request, Fate::Ended);
                }
                pools::Action::Send(centre, _, report) => {
                    let centre = self.centre(centre);
                    self.messages
                        .push(Message::Report(centre, instance, report));
                }
            }
        }
    }

    fn centre(&self, key: DataCentreKey) -> usize {
        let at = self.centres.iter().position(|&k| k == key);
        at.expect("a data centre of this test")
    }

    fn settle(&mut self, instance: usize, request: RequestId, fate: Fate) {
        let before = self.fates.insert(request, (instance, fate));
        assert_eq!(before, Some((instance, Fate::Waiting)), "settled once");
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Report(centre, from, report) => {
                let event = home::Event::Report(self.instances[from], report);
                self.tell_home(centre, event);
            }
            Message::Grants(centre, to, grants) => {
                let (key, home) = (self.centres[centre], self.instances[centre]);
                self.tell(to, pools::Event::Grants(key, home, grants));
            }
        }
    }

    fn tell_home(&mut self, centre: usize, event: home::Event) {
        for home::Action::Send(to, grants) in self.homes[centre].on_event(self.now, event) {
            let to = self.instances.iter().position(|&k| k == to);
            let to = to.expect("an instance of this test");
            self.messages.push(Message::Grants(centre, to, grants));
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
            Op::Submit { centre, rank, near } => self.submit(centre, rank, near),
            Op::Finish(i) => self.finish(i),
            Op::Withdraw(i) => self.withdraw(i),
            Op::Advance(ms) => self.advance(Duration::from_millis(ms)),
            Op::Deliver(_) | Op::Lose(_) | Op::Repeat(_) if self.messages.is_empty() => {}
            Op::Deliver(i) => {
                let any = i % 4 == 0;
                let at = if any { i / 4 % self.messages.len() } else { 0 };
                let message = self.messages.remove(at);
                self.deliver(message);
            }
            Op::Lose(i) => {
                self.messages.swap_remove(i % self.messages.len());
            }
            Op::Repeat(i) => {
                let message = self.messages[i % self.messages.len()].clone();
                self.messages.push(message);
            }
        }
    }

    fn submit(&mut self, instance: usize, rank: u8, near: bool) {
        let request = RequestId(Uuid::from_u128(self.fates.len() as u128));
        let time = if near {
            Duration::from_millis(400)
        } else {
            LONG
        };
        self.fates.insert(request, (instance, Fate::Waiting));
        let ticket = Ticket {
            request,
            organisation: self.organisation,
            share: 1.0,
            rank: Rank(rank),
            cost: 10,
            deadline: self.now + time,
            running: false,
        };
        self.tell(instance, pools::Event::Submit(ticket));
    }

    fn pick(&self, i: usize, of: impl Fn(Fate) -> bool) -> Option<(RequestId, usize)> {
        let found = self.fates.iter().filter(|(_, (_, fate))| of(*fate));
        let mut found: Vec<_> = found.map(|(r, (instance, _))| (*r, *instance)).collect();
        found.sort_unstable();
        (!found.is_empty()).then(|| found[i % found.len()])
    }

    fn finish(&mut self, i: usize) {
        if let Some((request, instance)) = self.pick(i, |f| matches!(f, Fate::Running(_))) {
            self.fates.insert(request, (instance, Fate::Ended));
            let finished = Finished { request, cost: 10 };
            self.tell(instance, pools::Event::Finish(finished));
        }
    }

    fn withdraw(&mut self, i: usize) {
        if let Some((request, instance)) = self.pick(i, |f| f == Fate::Waiting) {
            self.fates.insert(request, (instance, Fate::Ended));
            self.tell(instance, pools::Event::Withdraw(request));
        }
    }

    fn advance(&mut self, by: Duration) {
        self.now = self.now + by;
        for i in 0..CENTRES {
            self.tell(i, pools::Event::Tick);
            self.tell_home(i, home::Event::Tick);
        }
    }

    fn count(&self, of: Fate) -> usize {
        self.fates.values().filter(|(_, fate)| *fate == of).count()
    }

    fn check_capacity(&self) {
        for centre in 0..CENTRES {
            let running = self.count(Fate::Running(centre));
            assert!(running <= CAPACITY as usize, "{running} run in {centre}");
        }
    }

    /// From here on all messages arrive, until nothing waits or runs.
    fn quiet(&mut self) {
        for round in 0..QUIET_ROUNDS {
            self.deliver_all();
            self.check_capacity();
            self.finish(round);
            self.finish(round / 2);
            self.advance(Duration::from_millis(300));
        }
        self.deliver_all();
        assert_eq!(self.count(Fate::Waiting), 0, "a request was lost");
        for home in &self.homes {
            assert_eq!(home.in_use(), 0, "a slot was lost");
        }
    }
}

fn cases(default: u32) -> Config {
    let cases = std::env::var("PROPTEST_CASES").ok();
    Config {
        cases: cases.and_then(|c| c.parse().ok()).unwrap_or(default),
        rng_seed: RngSeed::Fixed(0xdc02),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(cases(192))]

    #[test]
    fn requests_over_two_pools(ops in proptest::collection::vec(op(), 1..300)) {
        let mut world = World::new();
        for op in ops {
            world.apply(op);
            world.check_capacity();
        }
        world.quiet();
    }
}

#[test]
fn waiting_tickets_move_to_a_free_pool() {
    let mut world = World::new();
    // One that ends, so that the homes know how fast a slot is.
    world.submit(0, 0, false);
    world.deliver_all();
    world.advance(Duration::from_millis(300));
    world.finish(0);
    world.deliver_all();
    for _ in 0..3 * CAPACITY {
        world.submit(0, 1, false);
    }
    for _ in 0..20 {
        world.deliver_all();
        world.advance(Duration::from_millis(300));
    }
    world.check_capacity();
    assert_eq!(world.moved, CAPACITY as usize);
}

#[test]
fn refused_request_tries_another_pool() {
    let mut world = World::new();
    world.submit(0, 0, false);
    world.deliver_all();
    world.advance(Duration::from_millis(300));
    world.finish(0);
    world.deliver_all();
    // More than the local pool can start before their deadline.
    for _ in 0..3 * CAPACITY {
        world.submit(0, 1, true);
    }
    world.deliver_all();
    assert!(world.moved > 0, "all stay with the pool that refuses");
}

#[test]
fn waiting_tickets_stay_off_a_closed_pool() {
    let mut world = World::new();
    world.submit(0, 0, false);
    world.deliver_all();
    world.advance(Duration::from_millis(300));
    world.finish(0);
    let other = world.centres[1];
    world.tell(0, pools::Event::Open(other, false));
    world.tell_home(1, home::Event::Capacity(0));
    world.deliver_all();
    for i in 0..6 * CAPACITY {
        world.submit(0, 1, i % 2 == 0);
    }
    for _ in 0..20 {
        world.deliver_all();
        world.advance(Duration::from_millis(300));
    }
    assert_eq!(world.pools[0].get(other).map(Driver::waiting), Some(0));
    assert_eq!(world.homes[1].waiting(Rank(1)), 0);
}
