//! Instances under deaths, pauses, cuts and restarts, against who really lives.

mod world;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hemlockwind_core::time::Instant;
use hemlockwind_membership::Duty;
use hemlockwind_membership::Event;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use world::World;

/// Data centres and their instances.
const SIZES: [usize; 3] = [4, 3, 2];
const NODES: usize = 9;
/// The time after which duties must fit who lives.
const DUTY_LIMIT: Duration = Duration::from_millis(2_000);
/// The time after which all know of a leaving backend server.
const LEAVING_LIMIT: Duration = Duration::from_millis(3_000);
/// The time between two checks, in milliseconds.
const CHECK_MS: u64 = 50;

#[derive(Clone, Debug)]
enum Op {
    Kill(usize),
    Start(usize),
    Pause(usize, u64),
    Leave(usize),
    Side(usize, u8),
    Cut(usize, usize, bool),
    Noise(f64, f64, f64),
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

/// `Oracle` knows what must be believed by when.
struct Oracle {
    /// Since when each pair could have known of each other, or of a death.
    since: BTreeMap<(usize, usize), (bool, Instant)>,
    /// Since when each pair's belief has differed from the truth.
    wrong: BTreeMap<(usize, usize), Instant>,
    /// When each backend server was seen leaving, and by whom.
    departures: Vec<(Instant, usize, u32, Arc<str>)>,
    /// The last change of any link or of any instance's life.
    calm_since: Instant,
}

impl Oracle {
    fn check(&mut self, world: &World) {
        for a in 0..NODES {
            let duties = world.nodes[a].members.holders(Duty::Pool("p"), NODES);
            for b in (0..NODES).filter(|&b| b != a) {
                if world.nodes[a].dc == world.nodes[b].dc {
                    self.check_pair(world, a, b, duties.contains(&world.nodes[b].name));
                }
            }
        }
        self.check_departures(world);
    }

    /// Whether `b` holds duties at `a` must follow whether it can, in time.
    fn check_pair(&mut self, world: &World, a: usize, b: usize, holds: bool) {
        let (from, to) = (&world.nodes[a], &world.nodes[b]);
        let judges = from.up && from.paused_until <= world.now;
        let able = to.up && to.paused_until <= world.now && !to.leaving && world.linked(a, b);
        let entry = self.since.entry((a, b)).or_insert((able, world.now));
        if entry.0 != able || !judges {
            *entry = (able, world.now);
        }
        let changed_at = from.changed_at.max(entry.1);
        if !judges || holds == able {
            self.wrong.remove(&(a, b));
            return;
        }
        let wrong_since = *self.wrong.entry((a, b)).or_insert(world.now);
        let wrong_for = world.now.since(wrong_since.max(changed_at));
        assert!(
            wrong_for <= DUTY_LIMIT,
            "{a} believes for {wrong_for:?} that {b} is {holds}, state {:?}",
            from.members.state(&to.name),
        );
    }

    fn check_departures(&self, world: &World) {
        if self.calm_since + LEAVING_LIMIT > world.now {
            return;
        }
        for (at, source, life, server) in &self.departures {
            let told = &world.nodes[*source];
            if *at + LEAVING_LIMIT > world.now || told.life != *life || !told.up {
                continue;
            }
            for (i, node) in world.nodes.iter().enumerate() {
                let hears = node.up && (i == *source || world.linked(i, *source));
                let knows = node.members.departures().is_leaving(server);
                assert!(
                    !hears || knows,
                    "{i} does not know that {server} is leaving"
                );
            }
        }
    }

    fn apply(&mut self, world: &mut World, op: &Op) {
        self.calm_since = self.calm_since.max(world.now);
        match *op {
            Op::Kill(i) => world.stop(i),
            Op::Start(i) => world.start(i),
            Op::Pause(i, ms) => {
                world.pause(i, ms);
                self.calm_since = self.calm_since.max(world.nodes[i].paused_until);
            }
            Op::Leave(i) if world.nodes[i].up && !world.nodes[i].leaving => {
                world.nodes[i].leaving = true;
                world.event(i, Event::Leave);
            }
            Op::Side(i, side) => world.nodes[i].side = side,
            Op::Cut(a, b, on) if a != b => {
                world.cuts[a][b] = on;
                world.cuts[b][a] = on;
            }
            Op::Noise(loss, late, twice) => {
                world.loss = loss;
                world.late = late;
                world.twice = twice;
            }
            Op::Departure(i, server) if world.nodes[i].up => {
                let name: Arc<str> = format!("server-{server}").into();
                let life = world.nodes[i].life;
                let backend_server = Arc::clone(&name);
                let leaving = true;
                world.event(
                    i,
                    Event::Observed {
                        backend_server,
                        leaving,
                    },
                );
                self.departures.push((world.now, i, life, name));
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
    fn members_follow_who_lives(
        seed in any::<u64>(),
        ops in prop::collection::vec((0..4_000_u64, op()), 1..25),
    ) {
        let mut world = World::new(seed, &SIZES);
        let mut oracle = Oracle {
            since: BTreeMap::new(),
            wrong: BTreeMap::new(),
            departures: Vec::new(),
            calm_since: Instant::ZERO,
        };
        for (wait_ms, op) in ops.iter().chain(&[(0, Op::Noise(0.0, 0.0, 0.0)), (5_000, Op::Kill(0))]) {
            for _ in 0..=wait_ms / CHECK_MS {
                world.run_for(CHECK_MS);
                oracle.check(&world);
            }
            oracle.apply(&mut world, op);
        }
    }
}

/// How often, in checks of a minute, a live instance is taken for dead by another.
fn false_deaths(loss: f64, pause: bool) -> usize {
    let mut world = World::new(21, &[12]);
    world.run_for(5_000);
    world.loss = loss;
    let mut deaths = 0;
    for check in 0..60_000 / CHECK_MS {
        if pause && check % 40 == 0 {
            // Too short to be taken for dead, long enough to miss answers.
            world.pause(check as usize / 40 % 12, 500);
        }
        world.run_for(CHECK_MS);
        for node in &world.nodes {
            let dead = world.nodes.iter().filter(|other| {
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
