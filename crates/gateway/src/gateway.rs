//! What the parts of one instance share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use parking_lot::RwLock;
use slog::Logger;
use tokio::sync::Notify;
use tokio::sync::broadcast;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use hemlockwind_backend::clock::SystemClock;
use hemlockwind_backend::http1::Http1;
use hemlockwind_core::collections::HashMap;
use hemlockwind_core::edges::Clock;
use hemlockwind_core::names::Rank;
use hemlockwind_core::routes::Routes;
use hemlockwind_core::time::Instant;
use hemlockwind_limits::RetryBudget;
use hemlockwind_limits::retry::Policy;
use hemlockwind_peer::SharedKey;
use hemlockwind_platform::settings::Settings;
use hemlockwind_platform::store::Store;
use hemlockwind_telemetry::Histograms;
use hemlockwind_telemetry::budget::LineBudget;

use crate::directory::Directory;
use crate::homes::Homes;
use crate::known::Known;
use crate::peers::Instance;
use crate::peers::Peers;
use crate::reports::Reports;
use crate::servers::Servers;
use crate::slow::Slow;

/// Events that a slow stream may lag behind before it misses one.
const FAULT_BACKLOG: usize = 256;

/// `Fault` is news about an engine that streams over it must hear.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It does not make progress.
    Dead(SocketAddr),
    /// It finishes what it has and leaves.
    Leaving(SocketAddr),
}

/// `Gateway` holds what the parts of one instance share.
pub struct Gateway {
    /// The settings of this instance.
    pub settings: Settings,
    /// Where log lines go.
    pub log: Logger,
    /// Bounds the volume of log lines.
    pub lines: LineBudget,
    /// The clock that decisions use.
    pub clock: SystemClock,
    /// The store of the platform.
    pub store: Store,
    /// The version of the routes in force; reading it takes no lock.
    pub routes: ArcSwap<Routes>,
    /// The listed backend servers.
    pub directory: RwLock<Directory>,
    /// Plain servers: their load and failures.
    pub servers: Servers,
    /// Who may start on the engines.
    pub homes: Homes,
    /// The other instances.
    pub peers: Peers,
    /// What was read from the store.
    pub known: Known,
    /// Connections to backend servers.
    pub http: Http1,
    /// Reports of engines.
    pub reports: Reports,
    /// Engines that are slow.
    pub slow: Slow,
    /// The budget for further runs, by service.
    budgets: Mutex<HashMap<Arc<str>, RetryBudget>>,
    /// News about engines.
    pub faults: broadcast::Sender<Fault>,
    /// Told when the directory or the routes have changed.
    pub changed: Notify,
    /// Times by organisation and rank.
    pub histograms: Histograms,
    /// Counters, served on the metrics address.
    pub counters: Counters,
    /// Set when a planned stop begins.
    pub stopping: CancellationToken,
    /// When this process ends at the latest, once a planned stop takes no new connection.
    pub ends_at: OnceLock<tokio::time::Instant>,
    /// Requests in progress.
    pub requests: TaskTracker,
}

/// `Counters` counts what happened since the start.
#[derive(Debug, Default)]
pub struct Counters {
    counts: Mutex<std::collections::BTreeMap<&'static str, u64>>,
    numbers: AtomicU64,
}

impl Counters {
    /// Counts one more of `name`.
    pub fn add(&self, name: &'static str) {
        *self.counts.lock().entry(name).or_default() += 1;
    }

    /// A number that was not given before.
    pub fn number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }

    /// All counts in the text form of the usual scrapers.
    pub fn render(&self) -> String {
        let counts = self.counts.lock();
        let lines = counts
            .iter()
            .map(|(name, n)| format!("hemlockwind_{name}_total {n}\n"));
        lines.collect()
    }
}

impl Gateway {
    /// An instance that has not opened a socket yet.
    pub fn new(settings: Settings, log: Logger) -> Self {
        let (faults, _) = broadcast::channel(FAULT_BACKLOG);
        let clock = SystemClock::default();
        let me = Instance {
            name: settings.name.as_str().into(),
            data_centre: settings.data_centre.as_str().into(),
            addr: settings.peers,
            processor_share: settings.processor_share,
        };
        // All instances take messages on the same port.
        let seeds = settings.seeds.iter();
        let seeds = seeds.map(|seed| SocketAddr::new(seed.ip(), settings.peers.port()));
        let seeds: Vec<SocketAddr> = seeds.collect();
        let key = SharedKey::new(settings.peer_key.as_bytes());
        Self {
            store: Store::new(settings.store),
            homes: Homes::new(clock),
            peers: Peers::new(me, &seeds, key),
            known: Known::default(),
            lines: LineBudget::new(clock.now()),
            settings,
            log,
            clock,
            routes: ArcSwap::default(),
            directory: RwLock::default(),
            servers: Servers::default(),
            http: Http1::default(),
            reports: Reports::default(),
            slow: Slow::default(),
            budgets: Mutex::default(),
            faults,
            changed: Notify::new(),
            histograms: Histograms::default(),
            counters: Counters::default(),
            stopping: CancellationToken::new(),
            ends_at: OnceLock::new(),
            requests: TaskTracker::new(),
        }
    }

    /// The time, for decisions.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Whether a balancer should send connections here.
    pub fn is_ready(&self) -> bool {
        !self.stopping.is_cancelled() && self.routes.load().version > 0
    }

    /// Takes a request for `service`, which allows a share of a further run later.
    pub fn count_request(&self, service: &Arc<str>) {
        let now = self.now();
        self.with_budget(service, |budget| budget.on_success(now));
    }

    /// Whether a request for `service` may be sent once more.
    pub fn may_retry(&self, service: &Arc<str>) -> bool {
        let now = self.now();
        let allowed = self.with_budget(service, |budget| budget.try_retry(now));
        if !allowed {
            self.counters.add("retries_denied");
        }
        allowed
    }

    /// Uses the budget of a service, by the policy for the instances known now.
    fn with_budget<T>(&self, service: &Arc<str>, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let now = self.now();
        let policy = self.retry_policy();
        let mut budgets = self.budgets.lock();
        let budget = budgets
            .entry(Arc::clone(service))
            .or_insert_with(|| RetryBudget::new(now, policy));
        budget.set_policy(now, policy);
        f(budget)
    }

    /// This instance's part of the budget that all instances share: its own requests
    /// give the ratio, and the slack is divided by the instances.
    pub fn retry_policy(&self) -> Policy {
        let bounds = &self.settings.bounds;
        let instances = self.peers.count().unwrap_or(INSTANCES_UNKNOWN) as f64;
        let slack = bounds.retry_slack / instances * SLACK_USED;
        let window = bounds.retry_window.as_secs_f64().max(1.0);
        Policy {
            per_success: (bounds.retry_ratio * RATIO_USED * 1_000.0) as u64,
            // What is saved up and what flows in together stay below the slack of a window.
            per_second: (slack / 2.0 / window * 1_000.0) as u64,
            burst: (slack / 2.0) as u64,
        }
    }

    /// Bytes that one answer to a plain call may hold. Answers are kept whole until they are
    /// complete, and many servers may send ones without end at a time.
    pub fn answer_limit(&self) -> usize {
        (self.settings.memory_bytes / ANSWER_PART).min(ANSWER_LIMIT)
    }

    /// The name of a rank, for people.
    pub fn rank_name(rank: Rank) -> String {
        rank.0.to_string()
    }
}

/// Instances that the slack is divided by before the others are known: more than most
/// deployments have, since too small a part does less harm than too large a one.
const INSTANCES_UNKNOWN: usize = 256;
/// Bytes that one answer may hold at most.
const ANSWER_LIMIT: usize = 8 << 20;
/// One answer may hold one of so many parts of the memory that the process may use.
const ANSWER_PART: usize = 64;
/// The part of the ratio that is used: windows slide, and instances differ in load.
const RATIO_USED: f64 = 0.8;
/// The part of the slack that is used, for instances that are not counted yet.
const SLACK_USED: f64 = 0.8;
