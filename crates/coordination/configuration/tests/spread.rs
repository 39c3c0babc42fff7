//! Replicas and racing operators under faults, against what the platform kept.

mod world;

use bytes::Bytes;
use hemlockwind_configuration::Outcome;
use hemlockwind_core::collections::HashSet;
use hemlockwind_core::config::Version;
use hemlockwind_core::time::Instant;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use world::Faults;
use world::World;

/// Data centres and their instances: today's size.
const SIZES: [usize; 3] = [3, 3, 2];
/// The time to have a change in force everywhere, in milliseconds.
const IN_FORCE_MS: u64 = 3_000;

#[derive(Clone, Debug)]
enum Op {
    Publish {
        at: usize,
        racers: usize,
        stale: bool,
    },
    Restart {
        node: usize,
        up: bool,
    },
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
            .prop_map(|(at, racers, stale)| Op::Publish { at, racers, stale }),
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

/// A document of some 20 KB that differs from others in one place.
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

fn apply(world: &mut World, op: &Op) {
    match *op {
        Op::Publish { at, racers, stale } => {
            let floor = world.nodes[at].replica.version();
            let head = world.head().map_or(Version(0), |head| head.version);
            let base = if stale { floor } else { head };
            for racer in 0..racers {
                let id = world.operators.len();
                let dc = (world.nodes[at].dc + racer) % SIZES.len();
                world.publish(dc, base, floor, body(id + 1));
            }
        }
        Op::Restart { node, up } => world.restart(node, up),
        Op::Cut { a, b, on } if a != b => {
            world.cuts[a][b] = on;
            world.cuts[b][a] = on;
        }
        Op::Cut { .. } => {}
        Op::CutPlatform { dc, on } => world.platform_cuts[dc] = on,
        Op::Outage(on) => world.faults.outage = on,
        Op::Noise {
            loss,
            late,
            stale,
            lost,
            dropped,
        } => {
            world.faults = Faults {
                loss,
                late,
                twice: late,
                stale,
                lost_answer: lost,
                dropped_watch: dropped,
                outage: world.faults.outage,
            };
        }
    }
}

/// Versions in force at the live instances never go down.
fn check_no_reversal(world: &World, seen: &mut [(u32, Version)]) {
    for (node, last) in world.nodes.iter().zip(seen) {
        let version = node.replica.version();
        if node.life == last.0 {
            assert!(version >= last.1, "{version:?} after {:?}", last.1);
        }
        *last = (node.life, version);
    }
}

/// What operators were told is what the platform kept.
fn check_outcomes(world: &World) {
    let mut versions = world.history.iter().map(|(_, head)| head.version);
    let mut last = Version(0);
    assert!(versions.all(|v| std::mem::replace(&mut last, v) < v));
    let kept: HashSet<_> = world
        .history
        .iter()
        .flat_map(|(_, head)| head.recent.iter().map(|entry| (entry.nonce, entry.version)))
        .collect();
    let mut bases = HashSet::default();
    for op in &world.operators {
        let found = kept.iter().find(|(nonce, _)| *nonce == op.nonce);
        match op.outcome.as_ref().expect("every operator was told") {
            Outcome::Accepted(version) => {
                assert_eq!(found.map(|(_, v)| v), Some(version), "accepted and lost");
                assert!(bases.insert(op.base), "two accepted from {:?}", op.base);
            }
            Outcome::Conflict(entry) => {
                assert_eq!(found, None, "told of a conflict and yet kept");
                assert!(entry.as_ref().is_none_or(|e| e.nonce != op.nonce));
            }
            Outcome::Refused | Outcome::Unchanged(_) => assert_eq!(found, None),
            Outcome::Unknown => {}
        }
    }
}

fn live_versions(world: &World) -> Vec<Version> {
    let live = world.nodes.iter().filter(|node| node.up);
    live.map(|node| node.replica.version()).collect()
}

proptest! {
    #![proptest_config(config(100, 0x5eed_0001))]

    #[test]
    fn spread_faults_and_races(
        seed in any::<u64>(),
        ops in prop::collection::vec((0..2_500_u64, op()), 1..40),
    ) {
        let mut world = World::new(seed, &SIZES);
        let mut seen = vec![(0, Version(0)); world.nodes.len()];
        world.publish(0, Version(0), Version(0), body(0));
        for (wait_ms, op) in &ops {
            for _ in 0..10 {
                world.run_for(wait_ms / 10);
                check_no_reversal(&world, &mut seen);
            }
            apply(&mut world, op);
        }

        // Peers reach each other again: nobody stays below what one of them has.
        let outage = world.faults.outage;
        world.faults = Faults { outage, ..Faults::default() };
        world.cuts = vec![vec![false; SIZES.len()]; SIZES.len()];
        let highest = live_versions(&world).into_iter().max().unwrap_or_default();
        world.run_for(IN_FORCE_MS);
        check_no_reversal(&world, &mut seen);
        let versions = live_versions(&world);
        prop_assert!(versions.iter().all(|&v| v >= highest), "{highest:?} {versions:?}");

        // The platform is back: all operators hear, then all instances agree.
        world.faults.outage = false;
        world.platform_cuts = vec![false; SIZES.len()];
        world.run_for(10_000);
        check_outcomes(&world);
        world.restart(0, true);
        world.run_for(IN_FORCE_MS);
        check_no_reversal(&world, &mut seen);
        let head = world.head().map_or(Version(0), |head| head.version);
        let versions = live_versions(&world);
        prop_assert!(versions.iter().all(|&v| v == head), "{head:?} {versions:?}");
    }

    #[test]
    fn spread_one_data_centre_cut_from_the_platform(
        seed in any::<u64>(),
        cut in 0..3_usize,
        dropped in prop_oneof![Just(0.0), Just(0.5), Just(1.0)],
        changes in 1..6_usize,
    ) {
        let mut world = World::new(seed, &SIZES);
        world.platform_cuts[cut] = true;
        world.faults.dropped_watch = dropped;
        for id in 0..changes {
            let base = world.head().map_or(Version(0), |head| head.version);
            world.publish((cut + 1) % 3, base, base, body(id));
            world.run_for(200);
            let done_at = world.operators[id].done_at;
            prop_assert!(done_at < Instant::NEVER);
            world.run_until(done_at + std::time::Duration::from_millis(IN_FORCE_MS));
            let head = world.head().expect("accepted").version;
            prop_assert!(live_versions(&world).iter().all(|&v| v == head));
        }
    }
}
