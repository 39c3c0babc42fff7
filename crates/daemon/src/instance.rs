//! The state that the parts of one instance share.

use std::sync::Arc;
use std::sync::OnceLock;

use arc_swap::ArcSwap;
use parking_lot::RwLock;
use slog::Logger;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use hemlockwind_backend::clock::SystemClock;
use hemlockwind_backend::engine::HttpEngine;
use hemlockwind_backend::platform::HttpPlatform;
use hemlockwind_backend::service::HttpService;
use hemlockwind_core::Result;
use hemlockwind_core::config::Config;
use hemlockwind_core::directory::Directory;
use hemlockwind_core::edges::Clock;
use hemlockwind_core::edges::Engine;
use hemlockwind_core::edges::Platform;
use hemlockwind_core::edges::Service;
use hemlockwind_core::names::DataCentreKey;
use hemlockwind_core::names::Rank;
use hemlockwind_core::time::Instant;
use hemlockwind_peer::H2Peer;
use hemlockwind_peer::SharedKey;
use hemlockwind_protocol::peer::Peer;
use hemlockwind_settings::Settings;
use hemlockwind_settings::settings;
use hemlockwind_tasks::Tasks;
use hemlockwind_telemetry::Histograms;
use hemlockwind_telemetry::Metrics;

use crate::assignments::Assignments;
use crate::batcher::StepBatcher;
use crate::caller_connections::Callers;
use crate::configuration::ConfigReplica;
use crate::fleet::Fleet;
use crate::health::Health;
use crate::in_progress::InProgress;
use crate::members::MembershipView;
use crate::pool::Shards;
use crate::slots::OwnedSlots;

/// `Edges` holds the adapters to everything outside the process. Only [`Edges::new`] chooses
/// the implementations of these traits.
#[derive(Clone)]
pub struct Edges {
    /// The monotonic clock and the wall clock.
    pub clock: Arc<dyn Clock>,
    /// The platform.
    pub platform: Arc<dyn Platform>,
    /// The engines.
    pub engine: Arc<dyn Engine>,
    /// The services that are called over plain HTTP.
    pub service: Arc<dyn Service>,
    /// The other instances.
    pub peer: Arc<dyn Peer>,
}

impl Edges {
    /// Creates the adapters for the supported protocols.
    pub fn new(settings: &Settings, me: &settings::Instance) -> Self {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::default());
        let key = SharedKey::new(settings.peer_key.as_bytes());
        Self {
            platform: Arc::new(HttpPlatform::new(settings.platform)),
            engine: Arc::new(HttpEngine::new(Arc::clone(&clock))),
            service: Arc::new(HttpService::new(Arc::clone(&clock))),
            peer: Arc::new(H2Peer::new(&me.name, key)),
            clock,
        }
    }
}

/// `Instance` holds the state that the parts of one instance share.
pub struct Instance {
    /// The settings of the deployment.
    pub settings: Settings,
    /// The settings of this instance.
    pub me: settings::Instance,
    /// The data centre of this instance.
    pub data_centre: DataCentreKey,
    /// The logger.
    pub log: Logger,
    /// The background tasks.
    pub tasks: Tasks,
    /// The adapters to everything outside the process.
    pub edges: Edges,
    /// The interned names.
    pub directory: RwLock<Directory>,
    /// The configuration in force. Reading it takes no lock.
    pub config: ArcSwap<Config>,
    /// This instance's replica of the configuration.
    pub config_replica: ConfigReplica,
    /// The backend servers and their load.
    pub fleet: Arc<Fleet>,
    /// The failure detectors and ejections of the backend servers.
    pub health: Health,
    /// The instances' assignments in their data centres.
    pub assignments: Assignments,
    /// The local view of the other instances.
    pub membership_view: MembershipView,
    /// The pools that this instance uses.
    pub pools: Shards,
    /// The slots of idempotency keys that this instance owns.
    pub owned_slots: OwnedSlots,
    /// The queues of steps to engines.
    pub step_batcher: Arc<StepBatcher>,
    /// Counters and gauges.
    pub metrics: Arc<Metrics>,
    /// The connections and requests of callers and operators.
    pub callers: Arc<Callers>,
    /// Histograms per organisation and rank.
    pub histograms: Histograms,
    /// Cancelled when a planned stop begins: the load balancer should send no more requests.
    pub unready: CancellationToken,
    /// When the requests in progress are ended at the latest, set when a planned stop begins.
    pub ends_at: OnceLock<Instant>,
    /// Cancelled when the instance stops accepting requests.
    pub stopping: CancellationToken,
    /// Cancelled shortly before the process ends: the requests in progress are answered with
    /// errors, so that their callers get whole answers.
    pub ending: CancellationToken,
    /// The tasks of the requests in progress. A planned stop waits for them.
    pub requests: TaskTracker,
    /// The requests of callers in progress, until their answers are transmitted.
    pub in_progress: Arc<InProgress>,
    /// Permits for further completions, which bound the completions in progress.
    pub request_permits: Arc<Semaphore>,
}

impl Instance {
    /// Creates an instance that has not opened its listening sockets yet.
    ///
    /// # Errors
    ///
    /// `Error::Listen` when the socket for metrics can't be opened.
    pub fn new(
        settings: Settings,
        me: settings::Instance,
        edges: Edges,
        log: Logger,
    ) -> Result<Self> {
        let mut directory = Directory::default();
        let data_centre = directory.data_centres.intern(&me.data_centre);
        let assignments = Assignments::new(&settings, &me.name, &mut directory);
        let membership_view = MembershipView::new(&settings, &me, &*edges.clock);
        let metrics = Arc::new(Metrics::new(settings.statsd, &me.name)?);
        let callers = Callers::new(
            &settings.limits,
            Arc::clone(&edges.clock),
            log.clone(),
            Arc::clone(&metrics),
        );
        let step_batcher = StepBatcher::new(Arc::clone(&edges.engine));
        let request_permits = Semaphore::new(settings.limits.requests);
        Ok(Self {
            data_centre,
            log,
            tasks: Tasks::default(),
            directory: RwLock::new(directory),
            config: ArcSwap::default(),
            config_replica: ConfigReplica::new(edges.clock.now(), assignments.me()),
            fleet: Arc::new(Fleet::new(data_centre)),
            health: Health::new(edges.clock.now()),
            assignments,
            membership_view,
            pools: Shards::default(),
            owned_slots: OwnedSlots::new(&me.name),
            step_batcher: Arc::new(step_batcher),
            metrics,
            callers: Arc::new(callers),
            histograms: Histograms::default(),
            unready: CancellationToken::new(),
            ends_at: OnceLock::new(),
            stopping: CancellationToken::new(),
            ending: CancellationToken::new(),
            requests: TaskTracker::new(),
            in_progress: Arc::default(),
            request_permits: Arc::new(request_permits),
            settings,
            me,
            edges,
        })
    }

    /// Whether a load balancer should send requests here.
    pub fn is_ready(&self) -> bool {
        !self.unready.is_cancelled() && self.config.load().version.0 > 0
    }

    /// Returns the name of a rank, or its number if the configuration has no such rank.
    pub fn rank_name(&self, rank: Rank) -> String {
        let config = self.config.load();
        let target = config.ranks.get(usize::from(rank.0));
        target.map_or_else(|| rank.0.to_string(), |target| target.name.to_string())
    }
}
