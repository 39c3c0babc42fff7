//! Streams that a fleet carries, against its hardware bound.
//!
//! Each way fills a fleet of 40 servers, ten for each of four layer ranges, until
//! the next stream would meet a full server. The figures are exact for the seeds.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use hemlockwind::core::layers::LayerRange;
use hemlockwind::core::names::DataCentreKey;
use hemlockwind::core::time::Instant;
use hemlockwind::routing::Graph;
use hemlockwind::routing::Server;

use crate::LAYERS;
use crate::STEP;
use crate::fleet::keys;

/// The stages of a path.
const STAGES: usize = 4;
/// The servers of each layer range, and the number of fixed chains.
const CHAINS: usize = 10;
/// The fleets that each row is the mean of.
const FLEETS: u64 = 100;
/// The limits of equal servers and of six kinds of servers, in streams.
const EQUAL: [u32; 1] = [32];
const SIX_KINDS: [u32; 6] = [8, 16, 24, 32, 48, 64];

/// `Fleet` holds the limit of each server by stage and chain, 0 when it is dead.
type Fleet = [[u32; CHAINS]; STAGES];

/// Prints how many streams fixed chains and chosen paths carry.
pub fn print() {
    println!("\nstreams carried / hardware bound, mean of {FLEETS} fleets of 40 servers");
    print!(
        "{:<20}{:>16}{:>16}",
        "fleet", "random chains", "matched chains"
    );
    println!("{:>16}{:>16}", "sampled path", "scanned path");
    for (kind, limits) in [("equal", &EQUAL[..]), ("six kinds", &SIX_KINDS[..])] {
        for dead in [0, 2, 4] {
            print!("{:<20}", format!("{kind}, {dead} dead"));
            for share in mean_shares(limits, dead) {
                print!("{share:>16.3}");
            }
            println!();
        }
    }
}

/// The means of what each way carries against the bound.
fn mean_shares(limits: &[u32], dead: usize) -> [f64; 4] {
    let mut sums = [0.0; 4];
    for seed in 0..FLEETS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut fleet = fleet(&mut rng, limits);
        let mut matched = matched(fleet);
        for _ in 0..dead {
            let (stage, chain) = (rng.random_range(0..STAGES), rng.random_range(0..CHAINS));
            fleet[stage][chain] = 0;
            matched[stage][chain] = 0;
        }
        let share =
            |fleet: &Fleet, carried: u32| f64::from(carried) / graph(fleet).bound_streams() as f64;
        sums[0] += share(&fleet, chained(&fleet));
        sums[1] += share(&matched, chained(&matched));
        sums[2] += share(&fleet, chosen(graph(&fleet), &mut rng));
        let scanned = graph(&fleet).with_scan_limit(CHAINS);
        sums[3] += share(&fleet, chosen(scanned, &mut rng));
    }
    sums.map(|sum| sum / FLEETS as f64)
}

fn fleet(rng: &mut SmallRng, limits: &[u32]) -> Fleet {
    let mut fleet = Fleet::default();
    for limit in fleet.iter_mut().flatten() {
        *limit = limits[rng.random_range(0..limits.len())];
    }
    fleet
}

/// The fleet with the strongest servers of all stages in one chain, and so on.
fn matched(mut fleet: Fleet) -> Fleet {
    fleet.iter_mut().for_each(|stage| stage.sort_unstable());
    fleet
}

fn graph(fleet: &Fleet) -> Graph {
    let mut graph = Graph::new(LAYERS);
    let mut keys = keys(STAGES * CHAINS).into_iter();
    let layers = LAYERS / STAGES as u16;
    for (stage, limits) in fleet.iter().enumerate() {
        let start = stage as u16 * layers;
        let layers = LayerRange::new(start, start + layers).expect("a stage holds layers");
        for &limit in limits {
            let key = keys.next().expect("there is a key for each server");
            graph.insert(Server {
                available: limit > 0,
                step_time: STEP,
                limit,
                ..Server::new(key, layers, DataCentreKey::default())
            });
        }
    }
    graph
}

/// A chain carries what its weakest server does.
fn chained(fleet: &Fleet) -> u32 {
    let chains = (0..CHAINS).map(|chain| fleet.iter().map(move |stage| stage[chain]));
    chains.map(|limits| limits.min().unwrap_or(0)).sum()
}

fn chosen(mut graph: Graph, rng: &mut SmallRng) -> u32 {
    let mut streams = 0;
    while let Some(path) = graph.choose(Instant::ZERO, rng, &[], &[]) {
        let mut servers = path
            .stages
            .iter()
            .filter_map(|stage| graph.get(stage.server));
        if servers.any(Server::is_full) {
            break;
        }
        path.stages
            .iter()
            .for_each(|stage| graph.begin(stage.server));
        streams += 1;
    }
    streams
}
