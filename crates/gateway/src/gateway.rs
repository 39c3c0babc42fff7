//! The shared state of one instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use parking_lot::RwLock;
use slog::Logger;
use tokio::sync::Notify;
use tokio::sync::broadcast;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use hemlockwind_backend::buffer_budget::BufferBudget;
use hemlockwind_backend::clock::SystemClock;
use hemlockwind_backend::http1::Http1;
use hemlockwind_core::collections::HashMap;
use hemlockwind_core::edges::Clock;
use hemlockwind_core::edges::ObjectVersion;
use hemlockwind_core::names::Rank;
use hemlockwind_core::routes::Route;
use hemlockwind_core::routes::Routes;
use hemlockwind_core::time::Instant;
use hemlockwind_limits::RetryBudget;
use hemlockwind_limits::retry::Policy;
use hemlockwind_peer::SharedKey;
use hemlockwind_platform::settings::Settings;
use hemlockwind_platform::store::Store;
use hemlockwind_tasks::Tasks;
use hemlockwind_telemetry::Histograms;
use hemlockwind_telemetry::budget::LineBudget;

use crate::announcements::Pauses;
use crate::callers::Callers;
use crate::directory::Directory;
use crate::engine_ends::EngineEnds;
use crate::in_progress::InProgress;
use crate::limits::SharedLimits;
use crate::peers::Instance;
use crate::peers::Peers;
use crate::quarantine::SharedQuarantine;
use crate::queue_owners::QueueOwners;
use crate::reports::Reports;
use crate::servers::Servers;
use crate::slow::SlowEngines;
use crate::store_cache::StoreCache;
use crate::updates::Pushes;

/// Number of faults that a slow stream may lag behind before it misses one.
const FAULT_BACKLOG: usize = 256;

/// `EngineFault` describes an engine that the streams on it have to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineFault {
    /// The engine makes no progress.
    Dead(SocketAddr),
    /// The engine finishes the requests in progress and leaves, or it is too slow for
    /// streams to stay.
    Leaving(SocketAddr),
}

/// `Gateway` holds the shared state of one instance.
pub struct Gateway {
    /// The settings of this instance.
    pub settings: Settings,
    /// The logger.
    pub log: Logger,
    /// The background tasks.
    pub tasks: Tasks,
    /// Bounds the volume of log lines.
    pub lines: LineBudget,
    /// The clock that decisions use.
    pub clock: SystemClock,
    /// The store of the platform.
    pub store: Store,
    /// The routes in force; reading them takes no lock.
    pub routes: ArcSwap<Routes>,
    /// The listed backend servers.
    pub directory: RwLock<Directory>,
    /// The load and failures of plain servers.
    pub servers: Servers,
    /// The queue owners, which grant paths to streams.
    pub queue_owners: QueueOwners,
    /// Set once another instance has sent the routes that it has in force.
    pub has_manifest_of_peer: AtomicBool,
    /// Set once the queue owners have the listed engines of the routes.
    pub has_engines: AtomicBool,
    /// The other instances.
    pub peers: Peers,
    /// The updates that are sent to other instances.
    pub pushes: Pushes,
    /// The version of this instance's own entry, once the store has confirmed it.
    pub registered: Mutex<Option<ObjectVersion>>,
    /// The objects that were read from the store.
    pub store_cache: StoreCache,
    /// The connections to backend servers.
    pub http: Http1,
    /// The reports of engines.
    pub reports: Reports,
    /// The causes of lost connections to engines.
    pub engine_ends: EngineEnds,
    /// The servers that want no request from this instance for a time.
    pub pauses: Pauses,
    /// The limits that servers announced.
    pub limits: SharedLimits,
    /// The parts of prompts that crash engines.
    pub quarantine: SharedQuarantine,
    /// The engines that are slow.
    pub slow: SlowEngines,
    /// The retry budgets, by service.
    retry_budgets: Mutex<HashMap<Arc<str>, RetryBudget>>,
    /// Notifies streams of the faults of engines.
    pub faults: broadcast::Sender<EngineFault>,
    /// Notified when the routes, the directory or the instances have changed.
    pub changed: Notify,
    /// Notified when the store was restored from a snapshot.
    pub restored: Notify,
    /// Times of requests, by organisation and rank.
    pub histograms: Histograms,
    /// Counters, served on the metrics address.
    pub counters: Counters,
    /// Set when a planned stop begins.
    pub stopping: CancellationToken,
    /// The latest end of this process, set when a planned stop begins.
    pub ends_at: OnceLock<tokio::time::Instant>,
    /// Set once this process accepts no new connection.
    pub closing: CancellationToken,
    /// Requests in progress.
    pub requests: InProgress,
    /// Open connections of callers.
    pub connections: TaskTracker,
    /// What callers hold.
    pub callers: Arc<Callers>,
    /// What connections to the readiness address hold.
    pub balancers: Arc<Callers>,
    /// What connections to the metrics address hold.
    pub collectors: Arc<Callers>,
}

/// `Counters` counts events since the start, by name.
#[derive(Debug, Default)]
pub struct Counters {
    counts: Mutex<std::collections::BTreeMap<&'static str, u64>>,
    numbers: AtomicU64,
}

impl Counters {
    /// Increments the counter `name`.
    pub fn add(&self, name: &'static str) {
        *self.counts.lock().entry(name).or_default() += 1;
    }

    /// Returns a number that was not returned before.
    pub fn number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns all counters in the Prometheus text format.
    pub fn render(&self) -> String {
        let counts = self.counts.lock();
        let lines = counts
            .iter()
            .map(|(name, n)| format!("hemlockwind_{name}_total {n}\n"));
        lines.collect()
    }
}

impl Gateway {
    /// Returns the state of an instance that has not opened a socket yet.
    pub fn new(settings: Settings, log: Logger) -> Self {
        let (faults, _) = broadcast::channel(FAULT_BACKLOG);
        let clock = SystemClock::default();
        let me = Instance {
            name: settings.name.as_str().into(),
            data_centre: settings.data_centre.as_str().into(),
            addr: settings.peers,
            processor_share: settings.processor_share,
            process: rand::random(),
        };
        // All instances receive peer messages on the same port.
        let seeds = settings.seeds.iter();
        let seeds = seeds.map(|seed| SocketAddr::new(seed.ip(), settings.peers.port()));
        let seeds: Vec<SocketAddr> = seeds.collect();
        let key = SharedKey::new(settings.peer_key.as_bytes());
        let answers = BufferBudget::new(settings.memory_bytes / ALL_ANSWERS_MEMORY_DIVISOR);
        let (memory, files) = (settings.memory_bytes, settings.open_files);
        Self {
            callers: Arc::new(Callers::new(memory, files)),
            balancers: Arc::new(Callers::for_side("readiness", memory, files)),
            collectors: Arc::new(Callers::for_side("metrics", memory, files)),
            store: Store::new(settings.store),
            queue_owners: QueueOwners::new(clock, settings.load_policy.parse().unwrap_or_default()),
            has_manifest_of_peer: AtomicBool::new(false),
            has_engines: AtomicBool::new(false),
            peers: Peers::new(me, &seeds, key),
            pushes: Pushes::default(),
            registered: Mutex::default(),
            store_cache: StoreCache::default(),
            tasks: Tasks::default(),
            lines: LineBudget::new(clock.now()),
            settings,
            log,
            clock,
            routes: ArcSwap::default(),
            directory: RwLock::default(),
            servers: Servers::default(),
            http: Http1::new(answers),
            reports: Reports::default(),
            engine_ends: EngineEnds::default(),
            pauses: Pauses::default(),
            limits: SharedLimits::default(),
            quarantine: SharedQuarantine::default(),
            slow: SlowEngines::default(),
            retry_budgets: Mutex::default(),
            faults,
            changed: Notify::new(),
            restored: Notify::new(),
            histograms: Histograms::default(),
            counters: Counters::default(),
            stopping: CancellationToken::new(),
            ends_at: OnceLock::new(),
            closing: CancellationToken::new(),
            requests: InProgress::default(),
            connections: TaskTracker::new(),
        }
    }

    /// Returns the current time by the clock that decisions use.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Whether a balancer should send connections here: requests can be served, as the routes and
    /// the servers were received. The list of servers may be empty.
    pub fn is_ready(&self) -> bool {
        !self.stopping.is_cancelled() && self.has_engines.load(Ordering::Acquire)
    }

    /// Whether a request that may last until `deadline` is to be left to another instance, as
    /// this one may end before. Most requests end long before their deadlines, so those that may
    /// be repeated are refused only once the balancer sends no more of them here.
    pub fn may_be_cut(&self, route: &Route, deadline: tokio::time::Instant) -> bool {
        let is_careful = self.closing.is_cancelled() || !route.repeat.is_idempotent();
        let outlasts = self.ends_at.get().is_some_and(|end| deadline > *end);
        is_careful && outlasts
    }

    /// Waits until a request that has not begun is to be left to another instance: the balancer
    /// sends no more of them here, and this one may end before `deadline`.
    pub async fn left_to_others(&self, deadline: tokio::time::Instant) {
        self.closing.cancelled().await;
        if self.ends_at.get().is_none_or(|end| deadline <= *end) {
            std::future::pending().await
        }
    }

    /// Waits until requests whose answers have not begun are to be answered, as this process
    /// ends soon.
    pub async fn answers_due(&self) {
        self.stopping.cancelled().await;
        match self.answers_due_at() {
            Some(due) => tokio::time::sleep_until(due).await,
            None => std::future::pending().await,
        }
    }

    /// Whether [`Self::answers_due`] would return at once.
    pub fn are_answers_due(&self) -> bool {
        let due = self.answers_due_at();
        due.is_some_and(|due| due <= tokio::time::Instant::now())
    }

    fn answers_due_at(&self) -> Option<tokio::time::Instant> {
        self.ends_at.get()?.checked_sub(ANSWER_TIME)
    }

    /// Counts a request for `service`, which adds its share to the retry budget.
    pub fn count_request(&self, service: &Arc<str>) {
        let now = self.now();
        self.with_budget(service, |budget| budget.on_success(now));
    }

    /// Whether a request for `service` may be sent again. If so, takes the retry from the
    /// budget.
    pub fn may_retry(&self, service: &Arc<str>) -> bool {
        let now = self.now();
        let allowed = self.with_budget(service, |budget| budget.try_retry(now));
        if !allowed {
            self.counters.add("retries_denied");
        }
        allowed
    }

    /// Calls `f` with the budget of a service, under the policy for the current
    /// instances.
    fn with_budget<T>(&self, service: &Arc<str>, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let now = self.now();
        let policy = self.retry_policy();
        let mut retry_budgets = self.retry_budgets.lock();
        let budget = retry_budgets
            .entry(Arc::clone(service))
            .or_insert_with(|| RetryBudget::new(now, policy));
        budget.set_policy(now, policy);
        f(budget)
    }

    /// Returns this instance's part of the budget that all instances share: the ratio
    /// applies to its own requests, and the slack is divided by the number of instances.
    pub fn retry_policy(&self) -> Policy {
        let bounds = &self.settings.bounds;
        let instances = self.peers.count().unwrap_or(ASSUMED_INSTANCES) as f64;
        let slack = bounds.retry_slack / instances * RETRY_SLACK_SHARE;
        let window = bounds.retry_window.as_secs_f64().max(1.0);
        Policy {
            per_success: (bounds.retry_ratio * RETRY_RATIO_SHARE * 1_000.0) as u64,
            // The burst and the inflow together stay below the slack of a window.
            per_second: (slack / 2.0 / window * 1_000.0) as u64,
            burst: (slack / 2.0) as u64,
        }
    }

    /// Returns the largest size of one answer to a plain call, in bytes. Answers are
    /// buffered until they are complete, and many servers may send endless ones at a
    /// time.
    pub fn answer_limit(&self) -> usize {
        (self.settings.memory_bytes / ANSWER_MEMORY_DIVISOR).min(MAX_ANSWER_BYTES)
    }

    /// Returns the name of a rank, for display.
    pub fn rank_name(rank: Rank) -> String {
        rank.0.to_string()
    }
}

/// The last answers that this instance gives itself begin this long before the process ends.
const ANSWER_TIME: Duration = Duration::from_millis(400);
/// Number of instances that the slack is divided by before their list arrives: more than
/// most deployments have, since too small a part does less harm than too large a one.
const ASSUMED_INSTANCES: usize = 256;
/// Largest size of one answer.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// One answer may use the memory that the process may use, divided by this number.
const ANSWER_MEMORY_DIVISOR: usize = 64;
/// All answers that are being read may use the memory that the process may use, divided by this
/// number.
const ALL_ANSWERS_MEMORY_DIVISOR: usize = 16;
/// Share of the ratio that is used: windows slide, and instances differ in load.
const RETRY_RATIO_SHARE: f64 = 0.8;
/// Share of the slack that is used; the rest is for instances that are not counted yet.
const RETRY_SLACK_SHARE: f64 = 0.8;
