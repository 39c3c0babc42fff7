//! One home against a plain list of tickets: capacity, order, floors, fairness.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use slotmap::SlotMap;
use uuid::Uuid;

use hemlockwind_core::engine::RequestId;
use hemlockwind_core::names::InstanceKey;
use hemlockwind_core::names::OrganisationKey;
use hemlockwind_core::names::Rank;
use hemlockwind_core::time::Instant;
use hemlockwind_queueing::Home;
use hemlockwind_queueing::Ticket;
use hemlockwind_queueing::home::Action;
use hemlockwind_queueing::home::Event;
use hemlockwind_queueing::home::Options;
use hemlockwind_queueing::message::Finished;
use hemlockwind_queueing::message::Report;
use hemlockwind_queueing::message::Stamp;
use hemlockwind_queueing::ticket::Reason;
use hemlockwind_queueing::ticket::Refusal;

const CAPACITY: u32 = 10;
const COST_MAX: u64 = 50;
const FLOORS: [f64; 3] = [0.0, 0.2, 0.1];
const HEADROOM_SLOTS: u32 = 1;
const ORGANISATIONS: usize = 4;

#[derive(Clone, Debug)]
enum Op {
    Submit {
        organisation: usize,
        rank: u8,
        cost: u64,
        deadline_ms: u64,
    },
    Finish(usize),
    Withdraw(usize),
    Advance(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let submit = (
        // Two ask often, so that the others come late into a busy period.
        prop_oneof![12 => 0..2usize, 1 => 2..ORGANISATIONS],
        0..3u8,
        1..=COST_MAX,
        prop_oneof![1 => 1..500u64, 6 => Just(1_000_000)],
    )
        .prop_map(|(organisation, rank, cost, deadline_ms)| Op::Submit {
            organisation,
            rank,
            cost,
            deadline_ms,
        });
    prop_oneof![
        6 => submit,
        5 => any::<usize>().prop_map(Op::Finish),
        1 => any::<usize>().prop_map(Op::Withdraw),
        1 => (1..300u64).prop_map(Op::Advance),
    ]
}

/// What the oracle knows: plain lists.
struct World {
    home: Home,
    now: Instant,
    number: u64,
    driver: InstanceKey,
    organisations: Vec<OrganisationKey>,
    waiting: Vec<Ticket>,
    running: Vec<Ticket>,
    /// Cost served to each rank while the first one waits.
    served: [[f64; 3]; 3],
    /// Cost that each rank got before a more urgent one, while it waits.
    overtook: [f64; 3],
    /// Cost by share that each of a pair of organisations got while both waited.
    pairs: Vec<[f64; 2]>,
}

fn share(organisation: usize) -> f64 {
    1.0 + organisation as f64
}

impl World {
    fn new() -> Self {
        let now = Instant::from_millis(1);
        let options = Options {
            floors: FLOORS.to_vec(),
            headroom: f64::from(HEADROOM_SLOTS) / f64::from(CAPACITY),
            queue_limit: 6,
            credits: 0,
            silence: Duration::from_secs(1_000_000),
            ..Options::default()
        };
        let mut instances = SlotMap::<InstanceKey, ()>::with_key();
        let mut names = SlotMap::<OrganisationKey, ()>::with_key();
        let mut home = Home::new(options, 1, now);
        home.on_event(now, Event::Capacity(CAPACITY));
        Self {
            home,
            now,
            number: 0,
            driver: instances.insert(()),
            organisations: (0..ORGANISATIONS).map(|_| names.insert(())).collect(),
            waiting: Vec::new(),
            running: Vec::new(),
            served: [[0.0; 3]; 3],
            overtook: [0.0; 3],
            pairs: vec![[0.0; 2]; 3 * ORGANISATIONS * ORGANISATIONS],
        }
    }

    fn apply(&mut self, op: Op) {
        let mut report = Report {
            whole: self.number == 0,
            ..Report::default()
        };
        match op {
            Op::Submit {
                organisation,
                rank,
                cost,
                deadline_ms,
            } => {
                let ticket = Ticket {
                    request: RequestId(Uuid::from_u128(u128::from(self.number))),
                    organisation: self.organisations[organisation],
                    share: share(organisation),
                    rank: Rank(rank),
                    cost,
                    deadline: self.now + Duration::from_millis(deadline_ms),
                    running: false,
                };
                self.waiting.push(ticket);
                report.tickets.push(ticket);
            }
            Op::Finish(i) if !self.running.is_empty() => {
                let ticket = self.running.swap_remove(i % self.running.len());
                report.finished.push(Finished {
                    request: ticket.request,
                    cost: ticket.cost,
                });
            }
            Op::Withdraw(i) if !self.waiting.is_empty() => {
                let ticket = self.waiting.remove(i % self.waiting.len());
                report.withdrawn.push(ticket.request);
            }
            Op::Advance(ms) => {
                self.now = self.now + Duration::from_millis(ms);
                let actions = self.home.on_event(self.now, Event::Tick);
                return self.check(actions);
            }
            Op::Finish(_) | Op::Withdraw(_) => return,
        }
        self.number += 1;
        report.stamp = Stamp {
            session: 1,
            number: self.number,
        };
        report.waiting = self.waiting.len() as u32;
        report.running = self.running.len() as u32;
        let actions = self
            .home
            .on_event(self.now, Event::Report(self.driver, report));
        self.check(actions);
    }

    fn check(&mut self, actions: Vec<Action>) {
        self.forget_idle();
        for Action::Send(_, grants) in actions {
            let passed = |r: &&Refusal| r.reason == Reason::DeadlinePassed;
            for refusal in grants.refused.iter().filter(passed) {
                let at = self.find(refusal.request);
                let ticket = self.waiting.remove(at);
                assert!(ticket.deadline <= self.now);
            }
            self.forget_idle();
            for &request in &grants.granted {
                self.check_grant(request);
            }
            for refusal in grants.refused.iter().filter(|r| !passed(r)) {
                let at = self.find(refusal.request);
                let ticket = self.waiting.remove(at);
                let free = CAPACITY - self.running.len() as u32;
                let usable = free > self.headroom(ticket.rank);
                assert!(!usable, "refused while a slot is free");
            }
            self.forget_idle();
        }
        self.check_state();
    }

    fn headroom(&self, rank: Rank) -> u32 {
        if rank.0 == 0 { 0 } else { HEADROOM_SLOTS }
    }

    fn find(&self, request: RequestId) -> usize {
        let at = self.waiting.iter().position(|t| t.request == request);
        at.expect("an answer is for a waiting ticket")
    }

    fn waits(&self, rank: usize, organisation: Option<usize>) -> bool {
        self.waiting.iter().any(|t| {
            usize::from(t.rank.0) == rank
                && organisation.is_none_or(|o| t.organisation == self.organisations[o])
        })
    }

    /// Counters hold only while both of a pair wait without a break.
    fn forget_idle(&mut self) {
        for low in 0..3 {
            if !self.waits(low, None) {
                self.served[low] = [0.0; 3];
                self.overtook[low] = 0.0;
            }
        }
        for rank in 0..3 {
            for a in 0..ORGANISATIONS {
                for b in 0..ORGANISATIONS {
                    if !self.waits(rank, Some(a)) || !self.waits(rank, Some(b)) {
                        self.pairs[(rank * ORGANISATIONS + a) * ORGANISATIONS + b] = [0.0; 2];
                    }
                }
            }
        }
    }

    fn check_grant(&mut self, request: RequestId) {
        let at = self.find(request);
        let ticket = self.waiting[at];
        let rank = usize::from(ticket.rank.0);
        let first = (0..3).find(|&r| self.waits(r, None));
        let earlier = self.waiting[..at]
            .iter()
            .any(|t| t.organisation == ticket.organisation && t.rank == ticket.rank);
        assert!(!earlier, "one organisation's tickets in order of arrival");
        let free = CAPACITY - self.running.len() as u32;
        if first != Some(rank) || free <= self.headroom(ticket.rank) {
            // Before a more urgent one, or from the headroom: only to keep the floor.
            let others = self.served[rank].iter().sum::<f64>() - self.served[rank][rank];
            let due = FLOORS[rank] / (1.0 - FLOORS[rank]) * others;
            let overtook = self.overtook[rank];
            assert!(
                overtook <= due + 1e-3,
                "rank {rank} overtook with {overtook}, due {due}"
            );
            self.overtook[rank] += ticket.cost as f64;
        }
        for low in 0..3 {
            self.served[low][rank] += ticket.cost as f64;
        }
        let organisation = self
            .organisations
            .iter()
            .position(|&o| o == ticket.organisation);
        let organisation = organisation.expect("known");
        let served = ticket.cost as f64 / share(organisation);
        for other in 0..ORGANISATIONS {
            self.pairs[(rank * ORGANISATIONS + organisation) * ORGANISATIONS + other][0] += served;
            self.pairs[(rank * ORGANISATIONS + other) * ORGANISATIONS + organisation][1] += served;
        }
        self.waiting.remove(at);
        self.running.push(ticket);
        self.forget_idle();
        self.check_shares();
    }

    /// The bound of start-time fair queueing, and of the floors.
    fn check_shares(&self) {
        let cost = COST_MAX as f64;
        for (rank, floor) in FLOORS.into_iter().enumerate() {
            for a in 0..ORGANISATIONS {
                for b in 0..ORGANISATIONS {
                    let [x, y] = self.pairs[(rank * ORGANISATIONS + a) * ORGANISATIONS + b];
                    let bound = cost / share(a) + cost / share(b);
                    assert!((x - y).abs() <= bound + 1e-3, "{x} beside {y}");
                }
            }
            let total: f64 = self.served[rank].iter().sum();
            let owed = floor * total - self.served[rank][rank];
            // One ticket from before it waited, and one of each rank with a floor.
            let bound = cost * (1.0 + 2.0 * floor);
            assert!(owed <= bound, "rank {rank} is owed {owed} of {total}");
        }
    }

    fn check_state(&self) {
        let running = self.running.len() as u32;
        assert!(running <= CAPACITY, "over capacity");
        assert_eq!(self.home.in_use(), running);
        let free = CAPACITY - running;
        for ticket in &self.waiting {
            let usable = free > self.headroom(ticket.rank);
            assert!(!usable, "{ticket:?} waits while {free} slots are free");
            assert!(ticket.deadline > self.now, "waits past its deadline");
        }
        for rank in 0..3u8 {
            let waiting = self.waiting.iter().filter(|t| t.rank.0 == rank).count();
            assert_eq!(self.home.waiting(Rank(rank)), waiting);
        }
    }
}

fn cases(default: u32) -> Config {
    let cases = std::env::var("PROPTEST_CASES").ok();
    Config {
        cases: cases.and_then(|c| c.parse().ok()).unwrap_or(default),
        rng_seed: RngSeed::Fixed(0x5105),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(cases(256))]

    #[test]
    fn grant_against_a_list(ops in proptest::collection::vec(op(), 1..400)) {
        let mut world = World::new();
        for op in ops {
            world.apply(op);
        }
    }
}
