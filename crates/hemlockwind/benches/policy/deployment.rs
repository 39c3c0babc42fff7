//! The two deployments, their fleets and the scenarios that they are run in.

use std::time::Duration;

use hemlockwind::core::layers::LayerRange;
use hemlockwind::core::time::Instant;

/// The number of layers of the model.
pub const LAYERS: u16 = 32;
/// The number of data centres.
pub const DATA_CENTRES: usize = 3;
/// The number of ranks.
pub const RANKS: usize = 3;
/// The data centre of each instance.
pub const INSTANCE_DATA_CENTRES: [usize; 8] = [0, 0, 0, 1, 1, 1, 2, 2];
/// The share of calls that the platform's load balancer sends to each instance.
pub const BALANCER_SHARES: [f64; 8] = [0.20, 0.15, 0.10, 0.20, 0.10, 0.05, 0.10, 0.10];
/// The number of organisations. The first [`LARGE_ORGANISATIONS`] of them are large.
pub const ORGANISATIONS: usize = 10;
/// The number of large organisations.
pub const LARGE_ORGANISATIONS: usize = 2;

/// `Rank` describes the requests of one rank and their target.
pub struct Rank {
    pub name: &'static str,
    /// The target for the time to the first token.
    pub first_token_target: Duration,
    /// The mean number of tokens of an answer.
    pub mean_tokens: u32,
    /// The share of the offered load.
    pub load_share: f64,
    /// The minimum share of the served cost.
    pub floor: f64,
}

/// `Deployment` holds the ranks of one site.
pub struct Deployment {
    pub name: &'static str,
    /// The most urgent rank first.
    pub ranks: [Rank; RANKS],
    /// The share of the slots that only the most urgent rank may use.
    pub headroom: f64,
}

/// `Server` describes one engine.
#[derive(Clone)]
pub struct Server {
    pub data_centre: usize,
    pub layers: LayerRange,
    /// The time of a decode step with at most `limit` streams.
    pub step_time: Duration,
    /// The time of a message over the server's link, one way.
    pub link_time: Duration,
    /// The number of streams beyond which steps become slower.
    pub limit: u32,
    /// The fixed chain that it is part of in the baseline `Policy::Chains`.
    pub chain: usize,
}

/// `Span` holds the times of a run.
#[derive(Clone, Copy)]
pub struct Span {
    /// The time from which requests and tokens are counted.
    pub count_from: Instant,
    /// The time until which requests and tokens are counted.
    pub count_to: Instant,
    /// The time at which an engine is killed, in scenarios that do so.
    pub kill_at: Instant,
    /// The end of the run.
    pub end: Instant,
}

impl Span {
    /// Returns a span from times in seconds. Requests and tokens are counted from `from`
    /// to `to`. The run continues to `end`, so that the last counted request has started
    /// or its deadline has passed.
    pub fn from_seconds(from: u64, kill: u64, to: u64, end: u64) -> Self {
        Self {
            count_from: Instant::from_millis(from * 1_000),
            kill_at: Instant::from_millis(kill * 1_000),
            count_to: Instant::from_millis(to * 1_000),
            end: Instant::from_millis(end * 1_000),
        }
    }

    /// Returns whether what happens at `at` is counted.
    pub fn counts(&self, at: Instant) -> bool {
        self.count_from <= at && at < self.count_to
    }
}

/// `Scenario` is one combination of load and faults.
#[derive(Clone)]
pub struct Scenario {
    pub name: &'static str,
    /// The offered load as a share of the hardware bound, before `rank_factors` and
    /// `large_demand` change it.
    pub load: f64,
    /// The factor of each rank's load.
    pub rank_factors: [f64; RANKS],
    /// The demand of a large organisation, as a multiple of a small one's.
    pub large_demand: f64,
    /// Whether some links have 100 times the delay of the others.
    pub has_slow_links: bool,
    /// Whether an engine is killed.
    pub kills_engine: bool,
    /// The age of a load report when it arrives.
    pub report_age: Duration,
    pub span: Span,
}

/// Returns both deployments.
pub fn deployments() -> [Deployment; 2] {
    let rank = |name, target_ms, mean_tokens, load_share, floor| Rank {
        name,
        first_token_target: Duration::from_millis(target_ms),
        mean_tokens,
        load_share,
        floor,
    };
    [
        Deployment {
            name: "Mwangaza",
            ranks: [
                rank("agent", 1_500, 40, 0.5, 0.0),
                rank("parent", 5_000, 60, 0.3, 0.20),
                rank("batch", 20_000, 100, 0.2, 0.15),
            ],
            headroom: 0.05,
        },
        Deployment {
            name: "INRA",
            ranks: [
                rank("fitting", 1_500, 60, 0.2, 0.0),
                rank("summary", 5_000, 150, 0.3, 0.2),
                rank("catalogue", 20_000, 300, 0.5, 0.30),
            ],
            headroom: 0.0,
        },
    ]
}

/// Returns the scenarios, in the order of the table's rows.
pub fn scenarios(span: Span) -> Vec<Scenario> {
    let steady = Scenario {
        name: "steady 0.8",
        load: 0.8,
        rank_factors: [1.0; RANKS],
        large_demand: 4.0,
        has_slow_links: false,
        kills_engine: false,
        report_age: Duration::from_millis(200),
        span,
    };
    let with = |name, change: fn(&mut Scenario)| {
        let mut scenario = steady.clone();
        scenario.name = name;
        change(&mut scenario);
        scenario
    };
    vec![
        steady.clone(),
        with("small alone", |s| s.large_demand = 0.0),
        with("least urgent x10", |s| s.rank_factors[2] = 10.0),
        with("most urgent x10", |s| s.rank_factors[0] = 10.0),
        with("two ask 50 times", |s| s.large_demand = 50.0),
        with("links 1 to 100", |s| s.has_slow_links = true),
        with("stage killed", |s| s.kills_engine = true),
        with("reports 2 s late", |s| {
            s.report_age = Duration::from_secs(2)
        }),
        with("x10 least + killed", |s| {
            s.rank_factors[2] = 10.0;
            s.kills_engine = true;
        }),
        with("50 times + late", |s| {
            s.large_demand = 50.0;
            s.report_age = Duration::from_secs(2);
        }),
    ]
}

/// Returns 40 engines of two kinds: fast ones hold half of the model, slower ones a
/// quarter.
pub fn fleet(has_slow_links: bool) -> Vec<Server> {
    let mut servers = Vec::new();
    let mut chain_count = 0;
    for data_centre in 0..DATA_CENTRES {
        let quarters = if data_centre == 0 { 3 } else { 2 };
        let kinds = [(2, 2, 8, 16), (quarters, 4, 6, 12)];
        for (copies, parts, step_ms, limit) in kinds {
            for copy in 0..copies {
                let is_slow = has_slow_links && copy == 1;
                let link_us = if is_slow { 25_000 } else { 250 };
                for part in 0..parts {
                    let size = LAYERS / parts;
                    let layers = LayerRange::new(part * size, (part + 1) * size);
                    servers.push(Server {
                        data_centre,
                        layers: layers.expect("a part of the model has layers"),
                        step_time: Duration::from_millis(step_ms),
                        link_time: Duration::from_micros(link_us),
                        limit,
                        chain: chain_count,
                    });
                }
                chain_count += 1;
            }
        }
    }
    servers
}
