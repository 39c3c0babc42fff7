//! Checks one queue owner against a model that holds plain lists of queue entries:
//! capacity, order, floors and fairness.

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
use hemlockwind_queueing::QueueEntry;
use hemlockwind_queueing::QueueOwner;
use hemlockwind_queueing::message::Finished;
use hemlockwind_queueing::message::Report;
use hemlockwind_queueing::message::Stamp;
use hemlockwind_queueing::queue_entry::Reason;
use hemlockwind_queueing::queue_entry::Refusal;
use hemlockwind_queueing::queue_owner::Action;
use hemlockwind_queueing::queue_owner::Event;
use hemlockwind_queueing::queue_owner::Options;

const CAPACITY: u32 = 10;
const MAX_COST: u64 = 50;
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
        // Two organisations submit often, so that the others join late in a busy period.
        prop_oneof![12 => 0..2usize, 1 => 2..ORGANISATIONS],
        0..3u8,
        1..=MAX_COST,
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

/// `Simulation` drives a queue owner and holds the model that it is checked against.
struct Simulation {
    queue_owner: QueueOwner,
    now: Instant,
    number: u64,
    driver: InstanceKey,
    organisations: Vec<OrganisationKey>,
    waiting: Vec<QueueEntry>,
    running: Vec<QueueEntry>,
    /// The cost served to each rank (second index) while one rank (first index) waits.
    served: [[f64; 3]; 3],
    /// The cost that each rank got before more urgent ones, or from the headroom, while it
    /// waits.
    overtook: [f64; 3],
    /// The cost divided by share that each of two organisations got while both waited.
    pairs: Vec<[f64; 2]>,
}

fn share(organisation: usize) -> f64 {
    1.0 + organisation as f64
}

impl Simulation {
    fn new() -> Self {
        let now = Instant::from_millis(1);
        let options = Options {
            floors: FLOORS.to_vec(),
            headroom: f64::from(HEADROOM_SLOTS) / f64::from(CAPACITY),
            queue_limit: 6,
            credits: 0,
            report_timeout: Duration::from_secs(1_000_000),
            ..Options::default()
        };
        let mut instances = SlotMap::<InstanceKey, ()>::with_key();
        let mut names = SlotMap::<OrganisationKey, ()>::with_key();
        let mut queue_owner = QueueOwner::new(options, 1, now);
        queue_owner.on_event(now, Event::Capacity(CAPACITY));
        Self {
            queue_owner,
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
                let queue_entry = QueueEntry {
                    request: RequestId(Uuid::from_u128(u128::from(self.number))),
                    organisation: self.organisations[organisation],
                    share: share(organisation),
                    rank: Rank(rank),
                    cost,
                    deadline: self.now + Duration::from_millis(deadline_ms),
                    running: false,
                };
                self.waiting.push(queue_entry);
                report.queue_entries.push(queue_entry);
            }
            Op::Finish(i) if !self.running.is_empty() => {
                let queue_entry = self.running.swap_remove(i % self.running.len());
                report.finished.push(Finished {
                    request: queue_entry.request,
                    cost: queue_entry.cost,
                });
            }
            Op::Withdraw(i) if !self.waiting.is_empty() => {
                let queue_entry = self.waiting.remove(i % self.waiting.len());
                report.withdrawn.push(queue_entry.request);
            }
            Op::Advance(ms) => {
                self.now = self.now + Duration::from_millis(ms);
                let actions = self.queue_owner.on_event(self.now, Event::Tick);
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
            .queue_owner
            .on_event(self.now, Event::Report(self.driver, report));
        self.check(actions);
    }

    fn check(&mut self, actions: Vec<Action>) {
        self.reset_idle_counters();
        for Action::Send(_, grants) in actions {
            let is_expired = |r: &&Refusal| r.reason == Reason::DeadlinePassed;
            for refusal in grants.refused.iter().filter(is_expired) {
                let at = self.find(refusal.request);
                let queue_entry = self.waiting.remove(at);
                assert!(queue_entry.deadline <= self.now);
            }
            self.reset_idle_counters();
            for &request in &grants.granted {
                self.check_grant(request);
            }
            for refusal in grants.refused.iter().filter(|r| !is_expired(r)) {
                let at = self.find(refusal.request);
                let queue_entry = self.waiting.remove(at);
                let free = CAPACITY - self.running.len() as u32;
                let usable = free > self.headroom(queue_entry.rank);
                assert!(!usable, "refused while a slot is free");
            }
            self.reset_idle_counters();
        }
        self.check_state();
    }

    fn headroom(&self, rank: Rank) -> u32 {
        if rank.0 == 0 { 0 } else { HEADROOM_SLOTS }
    }

    fn find(&self, request: RequestId) -> usize {
        let at = self.waiting.iter().position(|e| e.request == request);
        at.expect("an answer is for a waiting queue entry")
    }

    fn waits(&self, rank: usize, organisation: Option<usize>) -> bool {
        self.waiting.iter().any(|e| {
            usize::from(e.rank.0) == rank
                && organisation.is_none_or(|o| e.organisation == self.organisations[o])
        })
    }

    /// Resets the counters of ranks and pairs of which one no longer waits: the bounds hold
    /// only over periods in which both wait without interruption.
    fn reset_idle_counters(&mut self) {
        for waiting_rank in 0..3 {
            if !self.waits(waiting_rank, None) {
                self.served[waiting_rank] = [0.0; 3];
                self.overtook[waiting_rank] = 0.0;
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
        let queue_entry = self.waiting[at];
        let rank = usize::from(queue_entry.rank.0);
        let first = (0..3).find(|&r| self.waits(r, None));
        let earlier = self.waiting[..at]
            .iter()
            .any(|e| e.organisation == queue_entry.organisation && e.rank == queue_entry.rank);
        assert!(
            !earlier,
            "queue entries of one organisation are granted in order of arrival"
        );
        let free = CAPACITY - self.running.len() as u32;
        if first != Some(rank) || free <= self.headroom(queue_entry.rank) {
            // A grant before a more urgent rank or from the headroom is allowed only to
            // meet the floor.
            let others = self.served[rank].iter().sum::<f64>() - self.served[rank][rank];
            let due = FLOORS[rank] / (1.0 - FLOORS[rank]) * others;
            let overtook = self.overtook[rank];
            assert!(
                overtook <= due + 1e-3,
                "rank {rank} got a cost of {overtook} out of order, its floor allows {due}"
            );
            self.overtook[rank] += queue_entry.cost as f64;
        }
        for waiting_rank in 0..3 {
            self.served[waiting_rank][rank] += queue_entry.cost as f64;
        }
        let organisation = self
            .organisations
            .iter()
            .position(|&o| o == queue_entry.organisation);
        let organisation = organisation.expect("an organisation of this test");
        let served = queue_entry.cost as f64 / share(organisation);
        for other in 0..ORGANISATIONS {
            self.pairs[(rank * ORGANISATIONS + organisation) * ORGANISATIONS + other][0] += served;
            self.pairs[(rank * ORGANISATIONS + other) * ORGANISATIONS + organisation][1] += served;
        }
        self.waiting.remove(at);
        self.running.push(queue_entry);
        self.reset_idle_counters();
        self.check_shares();
    }

    /// Checks the bounds of start-time fair queueing and of the floors.
    fn check_shares(&self) {
        let cost = MAX_COST as f64;
        for (rank, floor) in FLOORS.into_iter().enumerate() {
            for a in 0..ORGANISATIONS {
                for b in 0..ORGANISATIONS {
                    let [x, y] = self.pairs[(rank * ORGANISATIONS + a) * ORGANISATIONS + b];
                    let bound = cost / share(a) + cost / share(b);
                    assert!(
                        (x - y).abs() <= bound + 1e-3,
                        "normalised costs {x} and {y} differ by more than {bound}"
                    );
                }
            }
            let total: f64 = self.served[rank].iter().sum();
            let deficit = floor * total - self.served[rank][rank];
            // One queue entry from before the rank waited, and one of each rank with a
            // floor.
            let bound = cost * (1.0 + 2.0 * floor);
            assert!(
                deficit <= bound,
                "rank {rank} has a deficit of {deficit} of {total} served"
            );
        }
    }

    fn check_state(&self) {
        let running = self.running.len() as u32;
        assert!(
            running <= CAPACITY,
            "{running} requests run, the capacity is {CAPACITY}"
        );
        assert_eq!(self.queue_owner.in_use(), running);
        let free = CAPACITY - running;
        for queue_entry in &self.waiting {
            let usable = free > self.headroom(queue_entry.rank);
            assert!(!usable, "{queue_entry:?} waits while {free} slots are free");
            assert!(queue_entry.deadline > self.now, "waits past its deadline");
        }
        for rank in 0..3u8 {
            let waiting = self.waiting.iter().filter(|e| e.rank.0 == rank).count();
            assert_eq!(self.queue_owner.waiting(Rank(rank)), waiting);
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
    fn grants_match_list_model(ops in proptest::collection::vec(op(), 1..400)) {
        let mut simulation = Simulation::new();
        for op in ops {
            simulation.apply(op);
        }
    }
}
