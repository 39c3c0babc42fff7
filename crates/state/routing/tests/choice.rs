//! Compares the choice of a path and the throughput bound with brute force on small
//! graphs, after a sequence of changes to the graph.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;

use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::names::BackendServerKey;
use hemlockwind_core::names::DataCentreKey;
use hemlockwind_core::time::Instant;
use hemlockwind_routing::Flow;
use hemlockwind_routing::Graph;
use hemlockwind_routing::Path;
use hemlockwind_routing::Preferences;
use hemlockwind_routing::Report;
use hemlockwind_routing::Server;
use hemlockwind_routing::Stage;

/// The number of cases, unless `PROPTEST_CASES` sets another.
const CASES: u32 = 1_000;
/// The seed of the cases.
const SEED: u64 = 0x5eed_0002;
/// The layers of the model.
const LAYERS: u16 = 5;
/// The number of servers of a small graph.
const SERVERS: usize = 12;

fn config() -> ProptestConfig {
    let cases = std::env::var("PROPTEST_CASES").ok();
    let cases = cases.and_then(|cases| cases.parse().ok());
    ProptestConfig {
        cases: cases.unwrap_or(CASES),
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// `Change` is one change of the graph.
#[derive(Clone, Debug)]
enum Change {
    Insert(usize, Server),
    Remove(usize),
    Update(usize, Server),
    Begin(usize),
    End(usize),
}

/// `Case` holds a graph and the model that it is compared with.
struct Case {
    keys: Vec<BackendServerKey>,
    graph: Graph,
    model: BTreeMap<BackendServerKey, Server>,
}

impl Case {
    fn new(changes: Vec<Change>, scan_limit: usize) -> Self {
        let mut arena = SlotMap::with_key();
        let keys = (0..SERVERS).map(|_| arena.insert(())).collect();
        let mut case = Self {
            keys,
            graph: Graph::new(LAYERS).with_scan_limit(scan_limit),
            model: BTreeMap::new(),
        };
        for change in changes {
            case.apply(change);
        }
        case
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::Insert(index, mut server) => {
                server.key = self.keys[index];
                self.graph.insert(server);
                self.model.insert(server.key, server);
            }
            Change::Remove(index) => {
                let removed = self.graph.remove(self.keys[index]);
                assert_eq!(removed, self.model.remove(&self.keys[index]));
            }
            Change::Update(index, mut server) => {
                server.key = self.keys[index];
                let updated = self.graph.update(server.key, |old| *old = server);
                assert_eq!(updated, self.model.contains_key(&server.key));
                self.model.entry(server.key).and_modify(|old| *old = server);
            }
            Change::Begin(index) => {
                self.graph.begin(self.keys[index]);
                let entry = self.model.entry(self.keys[index]);
                entry.and_modify(|server| server.in_flight += 1);
            }
            Change::End(index) => {
                self.graph.end(self.keys[index]);
                let entry = self.model.entry(self.keys[index]);
                entry.and_modify(|server| server.in_flight = server.in_flight.saturating_sub(1));
            }
        }
        assert_eq!(self.graph.len(), self.model.len());
    }

    /// Returns the least cost of all paths from layer `from` to the last.
    fn cheapest(
        &self,
        from: u16,
        now: Instant,
        preferences: &Preferences<'_>,
        allow_full: bool,
    ) -> Option<Duration> {
        if from == LAYERS {
            return Some(Duration::ZERO);
        }
        let next = self.model.values().filter(|s| s.layers.start() == from);
        let costs = next.filter_map(|server| {
            let cost = cost(server, now, preferences, allow_full)?;
            let rest = self.cheapest(server.layers.end(), now, preferences, allow_full)?;
            Some(cost + rest)
        });
        costs.min()
    }

    /// Returns the capacity of the minimum cut: the least capacity of all sets of servers
    /// without which there is no path.
    fn min_cut(&self) -> u64 {
        let cuts = (0..1_u32 << LAYERS).filter(|set| set & 1 == 1);
        let capacities = cuts.map(|set| {
            let source = |layer: u16| set >> layer & 1 == 1 && layer < LAYERS;
            let servers = self.model.values();
            let servers = servers.filter(|s| s.available && s.layers.end() <= LAYERS);
            let cut = servers.filter(|s| source(s.layers.start()) && !source(s.layers.end()));
            cut.map(|s| u64::from(s.limit)).sum()
        });
        capacities.min().unwrap()
    }
}

/// Returns the cost of a server for a request, or `None` when the request must not use it.
fn cost(
    server: &Server,
    now: Instant,
    preferences: &Preferences<'_>,
    allow_full: bool,
) -> Option<Duration> {
    if !server.available || preferences.avoid.contains(&server.key) {
        return None;
    }
    let stage = Stage {
        server: server.key,
        layers: server.layers,
    };
    if preferences.keep.contains(&stage) {
        return Some(2 * server.link_time);
    }
    if server.in_flight >= server.limit && !allow_full {
        return None;
    }
    let bonus: Duration = preferences
        .affinity
        .iter()
        .filter(|(key, _)| *key == server.key)
        .map(|(_, bonus)| *bonus)
        .next()
        .unwrap_or_default();
    let report = server.report.filter(|report| report.expires_at > now);
    let others = report.map_or(0, |report| report.others);
    let occupancy = f64::from(server.in_flight + others) / f64::from(server.limit);
    let work = server.step_time.mul_f64(1.0 + occupancy);
    Some(work.saturating_sub(bonus) + 2 * server.link_time)
}

fn path_cost(path: &Path, case: &Case, now: Instant, preferences: &Preferences<'_>) -> Duration {
    let servers = path.stages.iter().map(|stage| case.model[&stage.server]);
    let costs = servers.map(|server| cost(&server, now, preferences, true).unwrap());
    costs.sum()
}

/// Returns layer ranges. Some are drawn often, so that they have many servers, and one
/// exceeds the model.
fn layers() -> impl Strategy<Value = LayerRange> {
    let ranges = [
        (0, 2),
        (2, 5),
        (0, 5),
        (2, 3),
        (3, 5),
        (0, 3),
        (1, 2),
        (3, 6),
    ];
    let ranges = ranges.map(|(start, end)| LayerRange::new(start, end).unwrap());
    prop_oneof![
        2 => prop::sample::select(ranges[..3].to_vec()),
        1 => prop::sample::select(ranges.to_vec()),
    ]
}

fn server() -> impl Strategy<Value = Server> {
    let times = (0..50u64, 0..20u64);
    let load = (0..4u32, 1..5u32, prop::option::of((0..6u32, 0..20u64)));
    (layers(), prop::bool::weighted(0.8), times, load).prop_map(
        |(layers, available, (step, link), (in_flight, limit, report))| {
            let key = BackendServerKey::default();
            Server {
                available,
                step_time: Duration::from_millis(step),
                link_time: Duration::from_millis(link),
                in_flight,
                limit,
                report: report
                    .map(|(others, at)| Report::new(Instant::from_millis(at * 1_000), others, 0)),
                ..Server::new(key, layers, DataCentreKey::default())
            }
        },
    )
}

fn change() -> impl Strategy<Value = Change> {
    let index = 0..SERVERS;
    prop_oneof![
        6 => (index.clone(), server()).prop_map(|(i, server)| Change::Insert(i, server)),
        1 => index.clone().prop_map(Change::Remove),
        2 => (index.clone(), server()).prop_map(|(i, server)| Change::Update(i, server)),
        2 => index.clone().prop_map(Change::Begin),
        2 => index.prop_map(Change::End),
    ]
}

fn changes() -> impl Strategy<Value = Vec<Change>> {
    prop::collection::vec(change(), 0..60)
}

fn pick(keys: &[BackendServerKey], indices: &[Index]) -> Vec<BackendServerKey> {
    indices.iter().map(|index| *index.get(keys)).collect()
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn choose_equals_brute_force(
        changes in changes(),
        avoid in prop::collection::vec(any::<Index>(), 0..3),
        keep in prop::collection::vec(any::<Index>(), 0..3),
        affinity in prop::collection::vec(any::<Index>(), 0..4),
        second in 0..30u64,
    ) {
        let case = Case::new(changes, SERVERS);
        let now = Instant::from_millis(second * 1_000);
        let avoid = pick(&case.keys, &avoid);
        let keep = pick(&case.keys, &keep);
        let keep = keep.iter().filter_map(|key| case.model.get(key));
        let keep: Vec<Stage> =
            keep.map(|s| Stage { server: s.key, layers: s.layers }).collect();
        let bonus = Duration::from_millis(15);
        let affinity = pick(&case.keys, &affinity);
        let affinity: Vec<_> = affinity.into_iter().map(|key| (key, bonus)).collect();
        let preferences = Preferences { avoid: &avoid, keep: &keep, affinity: &affinity };

        let mut rng = SmallRng::seed_from_u64(SEED);
        let path = case.graph.choose_with(now, &mut rng, &preferences);
        let expected = case
            .cheapest(0, now, &preferences, false)
            .or_else(|| case.cheapest(0, now, &preferences, true));
        prop_assert!(path.as_ref().is_none_or(|path| path.covers(LAYERS)));
        let cost = path.map(|path| path_cost(&path, &case, now, &preferences));
        prop_assert_eq!(cost, expected);
    }

    #[test]
    fn choose_sampled(
        changes in changes(),
        avoid in prop::collection::vec(any::<Index>(), 0..3),
        seed in any::<u64>(),
    ) {
        let case = Case::new(changes, 0);
        let avoid = pick(&case.keys, &avoid);
        let preferences = Preferences { avoid: &avoid, ..Preferences::default() };
        let mut rng = SmallRng::seed_from_u64(seed);
        let path = case.graph.choose(Instant::ZERO, &mut rng, &avoid, &[]);
        let open = case.cheapest(0, Instant::ZERO, &preferences, false).is_some();
        let any = case.cheapest(0, Instant::ZERO, &preferences, true).is_some();
        prop_assert_eq!(path.is_some(), any);
        for stage in path.iter().flat_map(|path| &path.stages) {
            let server = &case.model[&stage.server];
            prop_assert_eq!(server.layers, stage.layers);
            prop_assert!(server.available && !avoid.contains(&stage.server));
            prop_assert!(!open || !server.is_full());
        }
        prop_assert!(path.is_none_or(|path| path.covers(LAYERS)));
    }

    #[test]
    fn bound_equals_min_cut(changes in changes()) {
        let mut case = Case::new(changes, SERVERS);
        prop_assert_eq!(case.graph.bound_streams(), case.min_cut());
        for &key in &case.keys {
            case.graph.update(key, |server| server.step_time = Duration::from_millis(10));
        }
        // At 10 ms a step, each stream gives 100 tokens/s.
        prop_assert_eq!(case.graph.bound_tokens(), 100.0 * case.min_cut() as f64);
    }
}

/// Returns a graph of idle servers that hold all layers.
fn uniform(servers: usize) -> Graph {
    let mut arena = SlotMap::with_key();
    let mut graph = Graph::new(LAYERS);
    let layers = LayerRange::new(0, LAYERS).unwrap();
    for _ in 0..servers {
        graph.insert(Server {
            limit: 64,
            step_time: Duration::from_millis(10),
            ..Server::new(arena.insert(()), layers, DataCentreKey::default())
        });
    }
    graph
}

#[test]
fn choose_finds_only_server_left() {
    let graph = uniform(20);
    let avoid: Vec<_> = graph.servers().skip(1).map(|server| server.key).collect();
    let mut rng = SmallRng::seed_from_u64(SEED);
    for _ in 0..100 {
        let path = graph.choose(Instant::ZERO, &mut rng, &avoid, &[]);
        assert!(path.is_some_and(|path| !avoid.contains(&path.stages[0].server)));
    }
}

#[test]
fn choose_spreads_load() {
    let mut graph = uniform(100);
    let mut rng = SmallRng::seed_from_u64(SEED);
    for _ in 0..100 * 16 {
        let path = graph.choose(Instant::ZERO, &mut rng, &[], &[]).unwrap();
        graph.begin(path.stages[0].server);
    }
    let most = graph
        .servers()
        .map(|server| server.in_flight)
        .max()
        .unwrap();
    assert!(
        most <= 16 + 4,
        "{most} streams on one server, the average is 16"
    );
}

#[test]
fn bound_reverts_augmenting_path() {
    // The shortest path uses 3..4 and blocks both of the longer ones, so the search must
    // revert that edge to reach the maximum flow of 2.
    let ranges = [
        (0, 3),
        (3, 4),
        (4, 7),
        (3, 5),
        (5, 6),
        (6, 7),
        (0, 1),
        (1, 2),
        (2, 4),
    ];
    let edges = ranges.map(|(start, end)| (LayerRange::new(start, end).unwrap(), 1));
    assert_eq!(Flow::bound(7, edges), 2);
}

#[test]
fn path_joins() {
    let mut arena = SlotMap::with_key();
    let server: BackendServerKey = arena.insert(());
    let stages = |ranges: &[(u16, u16)]| -> Vec<Stage> {
        let layers = ranges
            .iter()
            .map(|&(start, end)| LayerRange::new(start, end));
        let stages = layers.map(|layers| Stage {
            server,
            layers: layers.unwrap(),
        });
        stages.collect()
    };
    assert!(Path::new(stages(&[(0, 2), (2, 5)]), 5).is_ok());
    assert!(Path::new(stages(&[(0, 2), (3, 5)]), 5).is_err(), "gap");
    assert!(Path::new(stages(&[(0, 3), (2, 5)]), 5).is_err(), "overlap");
    assert!(
        Path::new(stages(&[(0, 4)]), 5).is_err(),
        "last layer missing"
    );
    assert!(
        Path::new(stages(&[(1, 5)]), 5).is_err(),
        "first layer missing"
    );
    assert!(
        Path::new(stages(&[(0, 6)]), 5).is_err(),
        "beyond the last layer"
    );
    assert!(Path::new(Vec::new(), 0).is_err(), "no layers");
}
