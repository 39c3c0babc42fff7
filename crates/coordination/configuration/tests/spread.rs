//! Simulates replicas and concurrent operators under faults, and compares them with the
//! platform's content.

mod simulation;

use bytes::Bytes;
use hemlockwind_configuration::Outcome;
use hemlockwind_core::collections::HashSet;
use hemlockwind_core::config::Version;
use hemlockwind_core::time::Instant;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use simulation::Faults;
use simulation::Simulation;

/// The number of instances in each data centre, as currently deployed.
const SIZES: [usize; 3] = [3, 3, 2];
/// How long a change may take to be in force everywhere, in milliseconds.
const IN_FORCE_TIMEOUT_MS: u64 = 3_000;

/// `Op` is one step of a simulation.
#[derive(Clone, Debug)]
enum Op {
    Publish {
        /// The instance in whose data centre the first operator is.
        at: usize,
        /// The number of operators that publish at the same time.
        operators: usize,
        /// Whether the change is based on the version in force at `at` instead of the
        /// platform's.
        stale: bool,
    },
    /// Restarts an instance, or stops it if `up` is false.
    Restart {
        node: usize,
        up: bool,
    },
    /// Cuts or restores the connection between two data centres.
    Cut {
        a: usize,
        b: usize,
        on: bool,
    },
    CutPlatform {
        dc: usize,
        on: bool,
    },
    Outage(bool),
    Noise {
        loss: f64,
        late: f64,
        stale: f64,
        lost: f64,
        dropped: f64,
    },
}

fn op() -> impl Strategy<Value = Op> {
    let noise = || prop_oneof![Just(0.0), Just(0.1), Just(0.5)];
    prop_oneof![
        4 => (0..8_usize, 1..4_usize, any::<bool>())
            .prop_map(|(at, operators, stale)| Op::Publish { at, operators, stale }),
        2 => (0..8_usize, any::<bool>()).prop_map(|(node, up)| Op::Restart { node, up }),
        2 => (0..3_usize, 0..3_usize, any::<bool>())
            .prop_map(|(a, b, on)| Op::Cut { a, b, on }),
        2 => (0..3_usize, any::<bool>()).prop_map(|(dc, on)| Op::CutPlatform { dc, on }),
        1 => any::<bool>().prop_map(Op::Outage),
        2 => (noise(), noise(), noise(), noise(), noise()).prop_map(
            |(loss, late, stale, lost, dropped)| Op::Noise { loss, late, stale, lost, dropped }
        ),
    ]
}

/// Returns a document of about 20 KB that differs from others in one place.
fn body(id: usize) -> Bytes {
    let lines = (0..400).map(|line| {
        let text = if line == id * 37 % 400 { id } else { line };
        format!("organisation {line} has the share {text}\n")
    });
    lines.collect::<String>().into()
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

fn apply(simulation: &mut Simulation, op: &Op) {
    match *op {
        Op::Publish {
            at,
            operators,
            stale,
        } => {
            let floor = simulation.nodes[at].replica.version();
            let head = simulation.head().map_or(Version(0), |head| head.version);
            let base = if stale { floor } else { head };
            for operator in 0..operators {
                let id = simulation.operators.len();
                let dc = (simulation.nodes[at].dc + operator) % SIZES.len();
                simulation.publish(dc, base, floor, body(id + 1));
            }
        }
        Op::Restart { node, up } => simulation.restart(node, up),
        Op::Cut { a, b, on } if a != b => {
            simulation.cuts[a][b] = on;
            simulation.cuts[b][a] = on;
        }
        Op::Cut { .. } => {}
        Op::CutPlatform { dc, on } => simulation.platform_cuts[dc] = on,
        Op::Outage(on) => simulation.faults.outage = on,
        Op::Noise {
            loss,
            late,
            stale,
            lost,
            dropped,
        } => {
            simulation.faults = Faults {
                loss,
                late,
                duplicate: late,
                stale,
                lost_answer: lost,
                dropped_watch: dropped,
                outage: simulation.faults.outage,
            };
        }
    }
}

/// Checks that the version in force at an instance never decreases.
fn check_no_reversal(simulation: &Simulation, seen: &mut [(u32, Version)]) {
    for (node, last) in simulation.nodes.iter().zip(seen) {
        let version = node.replica.version();
        if node.incarnation == last.0 {
            assert!(version >= last.1, "{version:?} after {:?}", last.1);
        }
        *last = (node.incarnation, version);
    }
}

/// Checks that the outcomes reported to operators match the platform's content.
fn check_outcomes(simulation: &Simulation) {
    let mut versions = simulation.history.iter().map(|(_, head)| head.version);
    let mut last = Version(0);
    assert!(versions.all(|v| std::mem::replace(&mut last, v) < v));
    let stored: HashSet<_> = simulation
        .history
        .iter()
        .flat_map(|(_, head)| head.recent.iter().map(|entry| (entry.nonce, entry.version)))
        .collect();
    let mut bases = HashSet::default();
    for operator in &simulation.operators {
        let found = stored.iter().find(|(nonce, _)| *nonce == operator.nonce);
        match operator
            .outcome
            .as_ref()
            .expect("every operator has an outcome")
        {
            Outcome::Accepted(version) => {
                assert_eq!(
                    found.map(|(_, v)| v),
                    Some(version),
                    "reported as accepted but not stored"
                );
                assert!(
                    bases.insert(operator.base),
                    "two changes accepted on the base {:?}",
                    operator.base
                );
            }
            Outcome::Conflict(entry) => {
                assert_eq!(found, None, "reported as a conflict but stored");
                assert!(entry.as_ref().is_none_or(|e| e.nonce != operator.nonce));
            }
            Outcome::Refused | Outcome::Unchanged(_) => assert_eq!(found, None),
            Outcome::Unknown => {}
        }
    }
}

fn live_versions(simulation: &Simulation) -> Vec<Version> {
    let live = simulation.nodes.iter().filter(|node| node.up);
    live.map(|node| node.replica.version()).collect()
}

proptest! {
    #![proptest_config(config(100, 0x5eed_0001))]

    #[test]
    fn spread_faults_and_races(
        seed in any::<u64>(),
        ops in prop::collection::vec((0..2_500_u64, op()), 1..40),
    ) {
        let mut simulation = Simulation::new(seed, &SIZES);
        let mut seen = vec![(0, Version(0)); simulation.nodes.len()];
        simulation.publish(0, Version(0), Version(0), body(0));
        for (wait_ms, op) in &ops {
            for _ in 0..10 {
                simulation.run_for(wait_ms / 10);
                check_no_reversal(&simulation, &mut seen);
            }
            apply(&mut simulation, op);
        }

        // Peers reach each other again: no instance stays below the highest version in
        // force.
        let outage = simulation.faults.outage;
        simulation.faults = Faults { outage, ..Faults::default() };
        simulation.cuts = vec![vec![false; SIZES.len()]; SIZES.len()];
        let highest = live_versions(&simulation).into_iter().max().unwrap_or_default();
        simulation.run_for(IN_FORCE_TIMEOUT_MS);
        check_no_reversal(&simulation, &mut seen);
        let versions = live_versions(&simulation);
        prop_assert!(versions.iter().all(|&v| v >= highest), "{highest:?} {versions:?}");

        // The platform is back: all operators get an outcome, then all instances agree.
        simulation.faults.outage = false;
        simulation.platform_cuts = vec![false; SIZES.len()];
        simulation.run_for(10_000);
        check_outcomes(&simulation);
        simulation.restart(0, true);
        simulation.run_for(IN_FORCE_TIMEOUT_MS);
        check_no_reversal(&simulation, &mut seen);
        let head = simulation.head().map_or(Version(0), |head| head.version);
        let versions = live_versions(&simulation);
        prop_assert!(versions.iter().all(|&v| v == head), "{head:?} {versions:?}");
    }

    #[test]
    fn spread_one_data_centre_cut_from_the_platform(
        seed in any::<u64>(),
        cut in 0..3_usize,
        dropped in prop_oneof![Just(0.0), Just(0.5), Just(1.0)],
        changes in 1..6_usize,
    ) {
        let mut simulation = Simulation::new(seed, &SIZES);
        simulation.platform_cuts[cut] = true;
        simulation.faults.dropped_watch = dropped;
        for id in 0..changes {
            let base = simulation.head().map_or(Version(0), |head| head.version);
            simulation.publish((cut + 1) % 3, base, base, body(id));
            simulation.run_for(200);
            let done_at = simulation.operators[id].done_at;
            prop_assert!(done_at < Instant::NEVER);
            simulation.run_until(done_at + std::time::Duration::from_millis(IN_FORCE_TIMEOUT_MS));
            let head = simulation.head().expect("accepted").version;
            prop_assert!(live_versions(&simulation).iter().all(|&v| v == head));
        }
    }
}
