//! The number of streams that a fleet carries, as a share of its hardware bound.
//!
//! Each method fills a fleet of 40 servers, ten for each of four layer ranges, until
//! the next stream would need a full server. Seeds are fixed, so the figures are the
//! same each time.
//!
//! | Column         | Method                                                        |
//! |----------------|---------------------------------------------------------------|
//! | random chains  | fixed chains of random servers                                |
//! | matched chains | fixed chains of servers with similar limits                   |
//! | sampled path   | chosen paths, from a sample of each layer range's servers     |
//! | scanned path   | chosen paths, from all servers of each layer range            |

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use hemlockwind::core::layers::LayerRange;
use hemlockwind::core::names::DataCentreKey;
use hemlockwind::core::time::Instant;
use hemlockwind::routing::Graph;
use hemlockwind::routing::Server;

use crate::LAYERS;
use crate::STEP_TIME;
use crate::fleet::keys;

/// The number of stages of a path.
const STAGES: usize = 4;
/// The number of servers of each layer range, and of fixed chains.
const CHAINS: usize = 10;
/// The number of fleets over which each row is averaged.
const FLEETS: u64 = 100;
/// The limit of equal servers, in streams.
const EQUAL_LIMITS: [u32; 1] = [32];
/// The limits of six kinds of servers, in streams.
const SIX_KINDS_LIMITS: [u32; 6] = [8, 16, 24, 32, 48, 64];

/// `Fleet` holds the limit of each server by stage and chain. It is 0 for a dead server.
type Fleet = [[u32; CHAINS]; STAGES];

/// Prints how many streams fixed chains and chosen paths carry, as shares of the bound.
pub fn print() {
    println!("\nstreams carried / hardware bound, mean of {FLEETS} fleets of 40 servers");
    print!(
        "{:<20}{:>16}{:>16}",
        "fleet", "random chains", "matched chains"
    );
    println!("{:>16}{:>16}", "sampled path", "scanned path");
    for (kind, limits) in [
        ("equal", &EQUAL_LIMITS[..]),
        ("six kinds", &SIX_KINDS_LIMITS[..]),
    ] {
        for dead in [0, 2, 4] {
            print!("{:<20}", format!("{kind}, {dead} dead"));
            for share in mean_shares(limits, dead) {
                print!("{share:>16.3}");
            }
            println!();
        }
    }
}

/// Returns the mean share of the bound that each method carries.
fn mean_shares(limits: &[u32], dead: usize) -> [f64; 4] {
    let mut sums = [0.0; 4];
    for seed in 0..FLEETS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut fleet = fleet(&mut rng, limits);
        let mut matched = matched_chains(fleet);
        for _ in 0..dead {
            let (stage, chain) = (rng.random_range(0..STAGES), rng.random_range(0..CHAINS));
            fleet[stage][chain] = 0;
            matched[stage][chain] = 0;
        }
        let share =
            |fleet: &Fleet, carried: u32| f64::from(carried) / graph(fleet).bound_streams() as f64;
        sums[0] += share(&fleet, streams_on_chains(&fleet));
        sums[1] += share(&matched, streams_on_chains(&matched));
        sums[2] += share(&fleet, streams_on_paths(graph(&fleet), &mut rng));
        let scanned = graph(&fleet).with_scan_limit(CHAINS);
        sums[3] += share(&fleet, streams_on_paths(scanned, &mut rng));
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

/// Returns the fleet with the servers of the highest limits of all stages in one chain,
/// those of the next lower limits in another, and so on.
fn matched_chains(mut fleet: Fleet) -> Fleet {
    fleet.iter_mut().for_each(|stage| stage.sort_unstable());
    fleet
}

fn graph(fleet: &Fleet) -> Graph {
    let mut graph = Graph::new(LAYERS);
    let mut keys = keys(STAGES * CHAINS).into_iter();
    let layers = LAYERS / STAGES as u16;
    for (stage, limits) in fleet.iter().enumerate() {
        let start = stage as u16 * layers;
        let layers = LayerRange::new(start, start + layers).expect("a stage has layers");
        for &limit in limits {
            let key = keys.next().expect("there is a key for each server");
            graph.insert(Server {
                available: limit > 0,
                step_time: STEP_TIME,
                limit,
                ..Server::new(key, layers, DataCentreKey::default())
            });
        }
    }
    graph
}

/// Returns the number of streams that fixed chains carry. A chain carries as many as its
/// server with the lowest limit.
fn streams_on_chains(fleet: &Fleet) -> u32 {
    let chains = (0..CHAINS).map(|chain| fleet.iter().map(move |stage| stage[chain]));
    chains.map(|limits| limits.min().unwrap_or(0)).sum()
}

/// Returns the number of streams that chosen paths carry until one needs a full server.
fn streams_on_paths(mut graph: Graph, rng: &mut SmallRng) -> u32 {
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
