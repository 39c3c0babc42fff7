//! Simulates requests over the pools of two data centres: each is started or refused once,
//! also when messages are lost, delayed, repeated or reordered, and none waits for long
//! while a slot is free.

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
use hemlockwind_queueing::Pools;
use hemlockwind_queueing::QueueEntry;
use hemlockwind_queueing::QueueOwner;
use hemlockwind_queueing::Spill;
use hemlockwind_queueing::driver;
use hemlockwind_queueing::message::Finished;
use hemlockwind_queueing::message::Grants;
use hemlockwind_queueing::message::Report;
use hemlockwind_queueing::pools;
use hemlockwind_queueing::queue_owner;
use hemlockwind_queueing::spill;

const CENTRES: usize = 2;
const CAPACITY: u32 = 8;
/// A deadline and timeout longer than any run.
const LONGER_THAN_RUN: Duration = Duration::from_secs(100_000);
const DRAIN_ROUNDS: usize = 120;

#[derive(Clone, Debug)]
enum Op {
    Submit {
        centre: usize,
        rank: u8,
        near_deadline: bool,
    },
    Finish(usize),
    Withdraw(usize),
    Deliver(usize),
    Lose(usize),
    Repeat(usize),
    Advance(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        // The first data centre gets more requests than it has slots.
        12 => (prop_oneof![5 => Just(0), 1 => Just(1)], 0..2u8, prop::bool::weighted(0.3))
            .prop_map(|(centre, rank, near_deadline)| Op::Submit { centre, rank, near_deadline }),
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
enum Outcome {
    Waiting,
    Running(usize),
    Ended,
}

struct Simulation {
    now: Instant,
    organisation: OrganisationKey,
    centres: Vec<DataCentreKey>,
    instances: Vec<InstanceKey>,
    queue_owners: Vec<QueueOwner>,
    pools: Vec<Pools>,
    /// The driver and the outcome of each request.
    outcomes: HashMap<RequestId, (usize, Outcome)>,
    messages: Vec<Message>,
    /// The number of requests started in the pool of the other data centre.
    moved: usize,
}

impl Simulation {
    fn new() -> Self {
        let now = Instant::from_millis(1);
        let mut centres = SlotMap::<DataCentreKey, ()>::with_key();
        let mut instances = SlotMap::<InstanceKey, ()>::with_key();
        let centres: Vec<_> = (0..CENTRES).map(|_| centres.insert(())).collect();
        let instances: Vec<_> = (0..CENTRES).map(|_| instances.insert(())).collect();
        let queue_owner = |i: usize| {
            let options = queue_owner::Options {
                floors: vec![0.0, 0.2],
                report_timeout: LONGER_THAN_RUN,
                ..queue_owner::Options::default()
            };
            let mut queue_owner = QueueOwner::new(options, 1, now);
            queue_owner.on_event(now, queue_owner::Event::Drivers(vec![instances[i]]));
            queue_owner.on_event(now, queue_owner::Event::Capacity(CAPACITY));
            queue_owner
        };
        let new_pools = |&local: &DataCentreKey| {
            let spill = Spill::new(spill::Options {
                targets: vec![Duration::from_millis(10); 2],
                gain: Duration::from_millis(1),
            });
            let driver = driver::Options {
                standalone_slots: 0,
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
        let mut simulation = Self {
            now,
            organisation: SlotMap::<OrganisationKey, ()>::with_key().insert(()),
            queue_owners: (0..CENTRES).map(queue_owner).collect(),
            pools: centres.iter().map(new_pools).collect(),
            centres,
            instances,
            outcomes: HashMap::default(),
            messages: Vec::new(),
            moved: 0,
        };
        for instance in 0..CENTRES {
            for centre in 0..CENTRES {
                let queue_owner = Some(simulation.instances[centre]);
                simulation.notify(
                    instance,
                    pools::Event::QueueOwner(simulation.centres[centre], queue_owner),
                );
            }
        }
        simulation.deliver_all();
        simulation
    }

    fn notify(&mut self, instance: usize, event: pools::Event) {
        for action in self.pools[instance].on_event(self.now, event) {
            match action {
                pools::Action::Start(request, centre) => {
                    let centre = self.centre(centre);
                    self.moved += usize::from(centre != instance);
                    self.record_outcome(instance, request, Outcome::Running(centre));
                }
                pools::Action::Refuse(refusal) => {
                    self.record_outcome(instance, refusal.request, Outcome::Ended);
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

    fn record_outcome(&mut self, instance: usize, request: RequestId, outcome: Outcome) {
        let before = self.outcomes.insert(request, (instance, outcome));
        assert_eq!(
            before,
            Some((instance, Outcome::Waiting)),
            "a request is started or refused once, while it waits"
        );
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Report(centre, from, report) => {
                let event = queue_owner::Event::Report(self.instances[from], report);
                self.notify_queue_owner(centre, event);
            }
            Message::Grants(centre, to, grants) => {
                let (key, queue_owner) = (self.centres[centre], self.instances[centre]);
                self.notify(to, pools::Event::Grants(key, queue_owner, grants));
            }
        }
    }

    fn notify_queue_owner(&mut self, centre: usize, event: queue_owner::Event) {
        for queue_owner::Action::Send(to, grants) in
            self.queue_owners[centre].on_event(self.now, event)
        {
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
            Op::Submit {
                centre,
                rank,
                near_deadline,
            } => self.submit(centre, rank, near_deadline),
            Op::Finish(i) => self.finish(i),
            Op::Withdraw(i) => self.withdraw(i),
            Op::Advance(ms) => self.advance(Duration::from_millis(ms)),
            Op::Deliver(_) | Op::Lose(_) | Op::Repeat(_) if self.messages.is_empty() => {}
            Op::Deliver(i) => {
                let at_random = i % 4 == 0;
                let at = if at_random {
                    i / 4 % self.messages.len()
                } else {
                    0
                };
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

    fn submit(&mut self, instance: usize, rank: u8, near_deadline: bool) {
        let request = RequestId(Uuid::from_u128(self.outcomes.len() as u128));
        let time = if near_deadline {
            Duration::from_millis(400)
        } else {
            LONGER_THAN_RUN
        };
        self.outcomes.insert(request, (instance, Outcome::Waiting));
        let queue_entry = QueueEntry {
            request,
            organisation: self.organisation,
            share: 1.0,
            rank: Rank(rank),
            cost: 10,
            deadline: self.now + time,
            running: false,
        };
        self.notify(instance, pools::Event::Submit(queue_entry));
    }

    fn pick(&self, i: usize, of: impl Fn(Outcome) -> bool) -> Option<(RequestId, usize)> {
        let found = self
            .outcomes
            .iter()
            .filter(|(_, (_, outcome))| of(*outcome));
        let mut found: Vec<_> = found.map(|(r, (instance, _))| (*r, *instance)).collect();
        found.sort_unstable();
        (!found.is_empty()).then(|| found[i % found.len()])
    }

    fn finish(&mut self, i: usize) {
        if let Some((request, instance)) = self.pick(i, |o| matches!(o, Outcome::Running(_))) {
            self.outcomes.insert(request, (instance, Outcome::Ended));
            let finished = Finished { request, cost: 10 };
            self.notify(instance, pools::Event::Finish(finished));
        }
    }

    fn withdraw(&mut self, i: usize) {
        if let Some((request, instance)) = self.pick(i, |o| o == Outcome::Waiting) {
            self.outcomes.insert(request, (instance, Outcome::Ended));
            self.notify(instance, pools::Event::Withdraw(request));
        }
    }

    fn advance(&mut self, by: Duration) {
        self.now = self.now + by;
        for i in 0..CENTRES {
            self.notify(i, pools::Event::Tick);
            self.notify_queue_owner(i, queue_owner::Event::Tick);
        }
    }

    fn count(&self, of: Outcome) -> usize {
        self.outcomes
            .values()
            .filter(|(_, outcome)| *outcome == of)
            .count()
    }

    fn check_capacity(&self) {
        for centre in 0..CENTRES {
            let running = self.count(Outcome::Running(centre));
            assert!(
                running <= CAPACITY as usize,
                "{running} requests run in data centre {centre}"
            );
        }
    }

    /// Delivers all messages, until nothing waits or runs.
    fn run_until_drained(&mut self) {
        for round in 0..DRAIN_ROUNDS {
            self.deliver_all();
            self.check_capacity();
            self.finish(round);
            self.finish(round / 2);
            self.advance(Duration::from_millis(300));
        }
        self.deliver_all();
        assert_eq!(self.count(Outcome::Waiting), 0, "requests were lost");
        for queue_owner in &self.queue_owners {
            assert_eq!(queue_owner.in_use(), 0, "slots were lost");
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
        let mut simulation = Simulation::new();
        for op in ops {
            simulation.apply(op);
            simulation.check_capacity();
        }
        simulation.run_until_drained();
    }
}

#[test]
fn waiting_queue_entries_move_to_a_free_pool() {
    let mut simulation = Simulation::new();
    // A finished request, so that the queue owner has measured the speed of a slot.
    simulation.submit(0, 0, false);
    simulation.deliver_all();
    simulation.advance(Duration::from_millis(300));
    simulation.finish(0);
    simulation.deliver_all();
    for _ in 0..3 * CAPACITY {
        simulation.submit(0, 1, false);
    }
    for _ in 0..20 {
        simulation.deliver_all();
        simulation.advance(Duration::from_millis(300));
    }
    simulation.check_capacity();
    assert_eq!(simulation.moved, CAPACITY as usize);
}

#[test]
fn refused_request_tries_another_pool() {
    let mut simulation = Simulation::new();
    simulation.submit(0, 0, false);
    simulation.deliver_all();
    simulation.advance(Duration::from_millis(300));
    simulation.finish(0);
    simulation.deliver_all();
    // More requests than the local pool can start before their deadline.
    for _ in 0..3 * CAPACITY {
        simulation.submit(0, 1, true);
    }
    simulation.deliver_all();
    assert!(
        simulation.moved > 0,
        "all requests stay with the pool that refuses them"
    );
}

#[test]
fn waiting_queue_entries_avoid_a_closed_pool() {
    let mut simulation = Simulation::new();
    simulation.submit(0, 0, false);
    simulation.deliver_all();
    simulation.advance(Duration::from_millis(300));
    simulation.finish(0);
    let other = simulation.centres[1];
    simulation.notify(0, pools::Event::Open(other, false));
    simulation.notify_queue_owner(1, queue_owner::Event::Capacity(0));
    simulation.deliver_all();
    for i in 0..6 * CAPACITY {
        simulation.submit(0, 1, i % 2 == 0);
    }
    for _ in 0..20 {
        simulation.deliver_all();
        simulation.advance(Duration::from_millis(300));
    }
    assert_eq!(simulation.pools[0].get(other).map(Driver::waiting), Some(0));
    assert_eq!(simulation.queue_owners[1].waiting(Rank(1)), 0);
}
