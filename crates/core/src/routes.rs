//! What operators ask for: routes, services, organisations and limits, as one version.

use std::sync::Arc;
use std::time::Duration;

use crate::collections::SeededHashMap;
use crate::names::Rank;
use crate::servers::EngineModel;

/// `Repeat` is how often one client attempt may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Idempotent: it may run more than once.
    Safe,
    /// It runs at most once.
    Unsafe,
    /// A stream of events; a resumable one may continue on another backend server.
    Stream {
        /// Whether it may continue after its last delivered event.
        resumable: bool,
    },
}

impl Repeat {
    /// Whether another run does no harm.
    pub const fn is_idempotent(self) -> bool {
        match self {
            Self::Safe | Self::Stream { resumable: true } => true,
            Self::Unsafe | Self::Stream { resumable: false } => false,
        }
    }
}

/// `Target` is one service of a route and its weight among them.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The service's name.
    pub service: Arc<str>,
    /// The weight; 0 gets nothing.
    pub weight: f64,
}

/// `Route` is how requests of one host and path prefix are served.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: Arc<str>,
    /// The host that callers ask for.
    pub host: Arc<str>,
    /// The prefix of the path, with a slash at both ends.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub repeat: Repeat,
    /// The longest time that a request may take.
    pub timeout: Duration,
    /// The time to the answer, or to the first event, that operators aim at.
    pub target: Duration,
    /// The longest pause between events that operators aim at.
    pub gap_target: Option<Duration>,
    /// The rank of its requests.
    pub rank: Rank,
    /// The services behind it.
    pub targets: Vec<Target>,
    /// Backend servers that one client attempt may be sent to.
    pub attempts: u32,
    /// Whether it needs no API key.
    pub is_public: bool,
}

impl Route {
    /// The service that `draw`, from 0 to 1, falls on.
    pub fn pick(&self, draw: f64) -> Option<&Arc<str>> {
        let total: f64 = self.targets.iter().map(|t| t.weight).sum();
        let mut left = draw * total;
        for target in self.targets.iter().filter(|t| t.weight > 0.0) {
            left -= target.weight;
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        let last = self.targets.iter().rfind(|t| t.weight > 0.0);
        last.map(|t| &t.service)
    }
}

/// `Service` is a group of backend servers that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: Arc<str>,
    /// Where its backend servers tell their health.
    pub health_path: Arc<str>,
    /// Connections that one backend server takes from all instances together.
    pub connections: u32,
    /// The engines' published figures, where its backend servers are engines.
    pub engine: Option<Arc<EngineModel>>,
}

/// `Organisation` owns API keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// The organisation's name.
    pub name: Arc<str>,
    /// The rank of all its requests, where it has one.
    pub rank: Option<Rank>,
}

/// `SenderLimits` bounds what a caller may send and how long it may idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SenderLimits {
    /// Bytes of a request's headers.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time in which a request's headers must have arrived.
    pub header_timeout: Duration,
    /// Time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for SenderLimits {
    /// What holds before a version says otherwise.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(30),
        }
    }
}

/// `Routes` is one version of all that operators ask for.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    /// The version; a higher one is newer. 0 before the first.
    pub version: u64,
    /// Limits on callers.
    pub limits: SenderLimits,
    /// Whether requests need an API key unless their route is public.
    pub has_keys: bool,
    hosts: SeededHashMap<Arc<str>, Vec<Arc<Route>>>,
    services: SeededHashMap<Arc<str>, Arc<Service>>,
    keys: SeededHashMap<Arc<str>, Arc<Organisation>>,
}

impl Routes {
    /// A version without routes.
    pub fn new(version: u64, limits: SenderLimits) -> Self {
        Self {
            version,
            limits,
            ..Self::default()
        }
    }

    /// Adds a route.
    pub fn add_route(&mut self, route: Route) {
        let of_host = self.hosts.entry(Arc::clone(&route.host)).or_default();
        of_host.push(Arc::new(route));
        of_host.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
    }

    /// Adds a service.
    pub fn add_service(&mut self, service: Service) {
        let name = Arc::clone(&service.name);
        self.services.insert(name, Arc::new(service));
    }

    /// Adds an organisation with its API keys.
    pub fn add_organisation(&mut self, organisation: Organisation, keys: &[Arc<str>]) {
        self.has_keys = true;
        let organisation = Arc::new(organisation);
        for key in keys {
            self.keys.insert(Arc::clone(key), Arc::clone(&organisation));
        }
    }

    /// The route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let of_host = self.hosts.get(host)?;
        of_host.iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// The service of this name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// The organisation that holds this API key.
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.keys.get(key)
    }

    /// The number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
