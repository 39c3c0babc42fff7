//! What the parts of one instance share.

use std::sync::Arc;

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
use hemlockwind_peer::H2Peer;
use hemlockwind_peer::SharedKey;
use hemlockwind_protocol::peer::Peer;
use hemlockwind_settings::Settings;
use hemlockwind_settings::settings;
use hemlockwind_telemetry::Histograms;
use hemlockwind_telemetry::Metrics;

use crate::configuration::Spread;
use crate::duties::Duties;
use crate::fleet::Fleet;
use crate::health::Health;
use crate::lanes::Lanes;
use crate::members::Believed;
use crate::pool::Shards;
use crate::slots::Owned;

/// `Edges` holds the adapters to everything outside the process. Another
/// implementation of a trait goes in here and nowhere else.
#[derive(Clone)]
pub struct Edges {
    /// The clocks.
    pub clock: Arc<dyn Clock>,
    /// The platform.
    pub platform: Arc<dyn Platform>,
    /// The engines.
    pub engine: Arc<dyn Engine>,
    /// The plain services.
    pub service: Arc<dyn Service>,
    /// The other instances.
    pub peer: Arc<dyn Peer>,
}

impl Edges {
    /// The adapters for the protocols that the project speaks.
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

/// `Instance` holds what the parts of one instance share.
pub struct Instance {
    /// The settings of the deployment.
    pub settings: Settings,
    /// The settings of this instance.
    pub me: settings::Instance,
    /// The data centre of this instance.
    pub data_centre: DataCentreKey,
    /// Where log lines go.
    pub log: Logger,
    /// What is outside the process.
    pub edges: Edges,
    /// The names that this process knows.
    pub directory: RwLock<Directory>,
    /// The configuration in force; reading it takes no lock.
    pub config: ArcSwap<Config>,
    /// The replica of the configuration.
    pub spread: Spread,
    /// The backend servers and their load.
    pub fleet: Arc<Fleet>,
    /// What is believed of the backend servers.
    pub health: Health,
    /// Who does what for the data centre.
    pub duties: Duties,
    /// What is believed of the other instances.
    pub believed: Believed,
    /// The pools that this instance uses.
    pub pools: Shards,
    /// The slots of idempotency keys that this instance owns.
    pub owned: Owned,
    /// The batches of steps on their way to engines.
    pub lanes: Arc<Lanes>,
    /// Counters and gauges.
    pub metrics: Metrics,
    /// Histograms by organisation and rank.
    pub histograms: Histograms,
    /// Set when a planned stop begins: the balancer should send nothing more.
    pub unready: CancellationToken,
    /// Set when the instance stops taking requests.
    pub stopping: CancellationToken,
    /// Requests in progress; a planned stop waits for them.
    pub requests: TaskTracker,
    /// Room for further requests.
    pub room: Arc<Semaphore>,
}

impl Instance {
    /// An instance that has not opened a socket yet.
    ///
    /// # Errors
    ///
    /// `Error::Listen` when no socket for metrics can be had.
    pub fn new(
        settings: Settings,
        me: settings::Instance,
        edges: Edges,
        log: Logger,
    ) -> Result<Self> {
        let mut directory = Directory::default();
        let data_centre = directory.data_centres.intern(&me.data_centre);
        let duties = Duties::new(&settings, &me.name, &mut directory);
        let believed = Believed::new(&settings, &me, &*edges.clock);
        let metrics = Metrics::new(settings.statsd, &me.name)?;
        let lanes = Lanes::new(Arc::clone(&edges.engine));
        let room = Semaphore::new(settings.limits.requests);
        Ok(Self {
            data_centre,
            log,
            directory: RwLock::new(directory),
            config: ArcSwap::default(),
            spread: Spread::new(edges.clock.now(), duties.me()),
            fleet: Arc::new(Fleet::new(data_centre)),
            health: Health::new(edges.clock.now()),
            duties,
            believed,
            pools: Shards::default(),
            owned: Owned::new(&me.name),
            lanes: Arc::new(lanes),
            metrics,
            histograms: Histograms::default(),
            unready: CancellationToken::new(),
            stopping: CancellationToken::new(),
            requests: TaskTracker::new(),
            room: Arc::new(room),
            settings,
            me,
            edges,
        })
    }

    /// Whether a balancer should send requests here.
    pub fn is_ready(&self) -> bool {
        !self.unready.is_cancelled() && self.config.load().version.0 > 0
    }

    /// The name of a rank, for people.
    pub fn rank_name(&self, rank: Rank) -> String {
        let config = self.config.load();
        let target = config.ranks.get(usize::from(rank.0));
        target.map_or_else(|| rank.0.to_string(), |target| target.name.to_string())
    }
}
