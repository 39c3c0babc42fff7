//! The view of instances under crashes, pauses, partitions and restarts, compared with
//! the instances that are really live.

mod simulation;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hemlockwind_core::time::Instant;
use hemlockwind_membership::Assignment;
use hemlockwind_membership::Event;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use simulation::Simulation;

/// The number of instances in each data centre.
const SIZES: [usize; 3] = [4, 3, 2];
const NODES: usize = 9;
/// How long after a change assignments must match the live instances.
const ASSIGNMENT_LIMIT: Duration = Duration::from_millis(2_000);
/// How long after an observation all instances must record a leaving backend server.
const LEAVING_LIMIT: Duration = Duration::from_millis(3_000);
/// The time between two checks, in milliseconds.
const CHECK_MS: u64 = 50;

#[derive(Clone, Debug)]
enum Op {
    Kill(usize),
    Start(usize),
    Pause(usize, u64),
    Leave(usize),
    /// Moves an instance to one side of a network partition within its data centre.
    Side(usize, u8),
    /// Cuts or restores the connection between two data centres.
    Cut(usize, usize, bool),
    /// Sets the probabilities that a message is lost, late or duplicated.
    Noise(f64, f64, f64),
    /// An instance observes that a backend server is leaving.
    Departure(usize, u8),
}

fn op() -> impl Strategy<Value = Op> {
    let node = 0..NODES;
    let noise = |most: f64| prop_oneof![Just(0.0), Just(most)];
    prop_oneof![
        3 => node.clone().prop_map(Op::Kill),
        4 => node.clone().prop_map(Op::Start),
        2 => (node.clone(), 100..4_000_u64).prop_map(|(i, ms)| Op::Pause(i, ms)),
        1 => node.clone().prop_map(Op::Leave),
        2 => (node.clone(), 0..2_u8).prop_map(|(i, side)| Op::Side(i, side)),
        2 => (0..3_usize, 0..3_usize, any::<bool>()).prop_map(|(a, b, on)| Op::Cut(a, b, on)),
        2 => (noise(0.03), noise(0.05), noise(0.1)).prop_map(|(a, b, c)| Op::Noise(a, b, c)),
        3 => (node, 0..6_u8).prop_map(|(i, server)| Op::Departure(i, server)),
    ]
}

/// `Oracle` checks by when each view must match the simulation.
struct Oracle {
    /// For each pair, whether the second is eligible and since when the first could
    /// observe that.
    since: BTreeMap<(usize, usize), (bool, Instant)>,
    /// Since when the first's view of the second has differed from the simulation.
    mismatched: BTreeMap<(usize, usize), Instant>,
    /// When each backend server was observed leaving, by which instance in which
    /// generation.
    departures: Vec<(Instant, usize, u32, Arc<str>)>,
    /// When the last operation was applied or, if later, the last pause ends.
    stable_since: Instant,
}

impl Oracle {
    fn check(&mut self, simulation: &Simulation) {
        for a in 0..NODES {
            let assignments = simulation.nodes[a]
                .members
                .holders(Assignment::Pool("p"), NODES);
            for b in (0..NODES).filter(|&b| b != a) {
                if simulation.nodes[a].dc == simulation.nodes[b].dc {
                    self.check_pair(
                        simulation,
                        a,
                        b,
                        assignments.contains(&simulation.nodes[b].name),
                    );
                }
            }
        }
        self.check_departures(simulation);
    }

    /// Checks that `a` sees `b` hold assignments exactly while `b` is eligible, within
    /// [`ASSIGNMENT_LIMIT`].
    fn check_pair(&mut self, simulation: &Simulation, a: usize, b: usize, holds: bool) {
        let (from, to) = (&simulation.nodes[a], &simulation.nodes[b]);
        let observes = from.up && from.paused_until <= simulation.now;
        let eligible =
            to.up && to.paused_until <= simulation.now && !to.leaving && simulation.linked(a, b);
        let entry = self
            .since
            .entry((a, b))
            .or_insert((eligible, simulation.now));
        if entry.0 != eligible || !observes {
            *entry = (eligible, simulation.now);
        }
        let changed_at = from.changed_at.max(entry.1);
        if !observes || holds == eligible {
            self.mismatched.remove(&(a, b));
            return;
        }
        let mismatched_since = *self.mismatched.entry((a, b)).or_insert(simulation.now);
        let mismatched_for = simulation.now.since(mismatched_since.max(changed_at));
        assert!(
            mismatched_for <= ASSIGNMENT_LIMIT,
            "instance {a} has recorded the wrong eligibility {holds} of instance {b} for {mismatched_for:?}, state {:?}",
            from.members.state(&to.name),
        );
    }

    fn check_departures(&self, simulation: &Simulation) {
        if self.stable_since + LEAVING_LIMIT > simulation.now {
            return;
        }
        for (at, source, generation, server) in &self.departures {
            let reporter = &simulation.nodes[*source];
            if *at + LEAVING_LIMIT > simulation.now
                || reporter.generation != *generation
                || !reporter.up
            {
                continue;
            }
            for (i, node) in simulation.nodes.iter().enumerate() {
                let reachable = node.up && (i == *source || simulation.linked(i, *source));
                let recorded = node.members.departures().is_leaving(server);
                assert!(
                    !reachable || recorded,
                    "instance {i} has not recorded that {server} is leaving"
                );
            }
        }
    }

    fn apply(&mut self, simulation: &mut Simulation, op: &Op) {
        self.stable_since = self.stable_since.max(simulation.now);
        match *op {
            Op::Kill(i) => simulation.stop(i),
            Op::Start(i) => simulation.start(i),
            Op::Pause(i, ms) => {
                simulation.pause(i, ms);
                self.stable_since = self.stable_since.max(simulation.nodes[i].paused_until);
            }
            Op::Leave(i) if simulation.nodes[i].up && !simulation.nodes[i].leaving => {
                simulation.nodes[i].leaving = true;
                simulation.event(i, Event::Leave);
            }
            Op::Side(i, side) => simulation.nodes[i].side = side,
            Op::Cut(a, b, on) if a != b => {
                simulation.cuts[a][b] = on;
                simulation.cuts[b][a] = on;
            }
            Op::Noise(loss, late, duplicate) => {
                simulation.loss = loss;
                simulation.late = late;
                simulation.duplicate = duplicate;
            }
            Op::Departure(i, server) if simulation.nodes[i].up => {
                let name: Arc<str> = format!("server-{server}").into();
                let generation = simulation.nodes[i].generation;
                let backend_server = Arc::clone(&name);
                let leaving = true;
                simulation.event(
                    i,
                    Event::Observed {
                        backend_server,
                        leaving,
                    },
                );
                self.departures.push((simulation.now, i, generation, name));
            }
            Op::Leave(_) | Op::Cut(..) | Op::Departure(..) => {}
        }
    }
}

fn config(cases: u32, seed: u64) -> ProptestConfig {
    let default = ProptestConfig::default();
    let given = std::env::var_os("PROPTEST_CASES").is_some();
    ProptestConfig {
        cases: if given { default.cases } else { cases },
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..default
    }
}

proptest! {
    #![proptest_config(config(40, 0x5eed_0003))]

    #[test]
    fn members_match_live_instances(
        seed in any::<u64>(),
        ops in prop::collection::vec((0..4_000_u64, op()), 1..25),
    ) {
        let mut simulation = Simulation::new(seed, &SIZES);
        let mut oracle = Oracle {
            since: BTreeMap::new(),
            mismatched: BTreeMap::new(),
            departures: Vec::new(),
            stable_since: Instant::ZERO,
        };
        for (wait_ms, op) in ops.iter().chain(&[(0, Op::Noise(0.0, 0.0, 0.0)), (5_000, Op::Kill(0))]) {
            for _ in 0..=wait_ms / CHECK_MS {
                simulation.run_for(CHECK_MS);
                oracle.check(&simulation);
            }
            oracle.apply(&mut simulation, op);
        }
    }
}

/// Counts how often a live instance is marked dead by another, in the checks of one
/// minute.
fn false_deaths(loss: f64, pause: bool) -> usize {
    let mut simulation = Simulation::new(21, &[12]);
    simulation.run_for(5_000);
    simulation.loss = loss;
    let mut deaths = 0;
    for check in 0..60_000 / CHECK_MS {
        if pause && check % 40 == 0 {
            // Too short to be marked dead, long enough to miss answers.
            simulation.pause(check as usize / 40 % 12, 500);
        }
        simulation.run_for(CHECK_MS);
        for node in &simulation.nodes {
            let dead = simulation.nodes.iter().filter(|other| {
                let state = node.members.state(&other.name);
                state == Some(hemlockwind_membership::State::Dead)
            });
            deaths += dead.count();
        }
    }
    deaths
}

#[test]
fn members_false_deaths() {
    let found =
        [(0.02, false), (0.05, false), (0.0, true)].map(|(loss, pause)| false_deaths(loss, pause));
    println!(
        "checks with a false death, loss 2%, loss 5%, pauses of 0.5 s: {found:?} of 172800 each"
    );
    assert_eq!(found, [0; 3]);
}
