//! The operators' configuration of a gateway: one version of the routes, services,
//! organisations and limits.

use std::sync::Arc;
use std::time::Duration;

use crate::collections::SeededHashMap;
use crate::names::Rank;
use crate::servers::EngineModel;

/// `Repeat` states whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// The request is idempotent and may run more than once.
    Safe,
    /// The request runs at most once.
    Unsafe,
    /// The answer is a stream of events.
    Stream {
        /// Whether another backend server may continue after the last delivered event.
        resumable: bool,
    },
}

impl Repeat {
    /// Returns whether the request may safely run again.
    pub const fn is_idempotent(self) -> bool {
        match self {
            Self::Safe | Self::Stream { resumable: true } => true,
            Self::Unsafe | Self::Stream { resumable: false } => false,
        }
    }
}

/// `Target` is one service of a route and its weight among the route's services.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The service's name.
    pub service: Arc<str>,
    /// The weight; a service of weight 0 gets no requests.
    pub weight: f64,
}

/// `Route` defines how requests for one host and path prefix are served.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: Arc<str>,
    /// The host in the request.
    pub host: Arc<str>,
    /// The prefix of the path, with a slash at both ends.
    pub prefix: Arc<str>,
    /// Whether its requests may run more than once.
    pub repeat: Repeat,
    /// The maximum time that a request may take.
    pub timeout: Duration,
    /// The operators' target for the time to the answer or to the first event.
    pub target: Duration,
    /// The operators' target for the longest pause between two events.
    pub gap_target: Option<Duration>,
    /// The rank of its requests.
    pub rank: Rank,
    /// The services that its requests are split over.
    pub targets: Vec<Target>,
    /// The maximum number of backend servers that one client attempt is sent to.
    pub attempts: u32,
    /// Whether its requests need no API key.
    pub is_public: bool,
}

impl Route {
    /// Returns the service that a random number `draw` in 0..1 selects by weight, or
    /// `None` if no service has a weight above 0.
    pub fn pick(&self, draw: f64) -> Option<&Arc<str>> {
        let total: f64 = self.targets.iter().map(|t| t.weight).sum();
        let mut left = draw * total;
        for target in self.targets.iter().filter(|t| t.weight > 0.0) {
            left -= target.weight;
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        // Rounding may leave a remainder after the last service.
        let last = self.targets.iter().rfind(|t| t.weight > 0.0);
        last.map(|t| &t.service)
    }
}

/// `Service` is a group of backend servers that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: Arc<str>,
    /// The path at which its backend servers report their health.
    pub health_path: Arc<str>,
    /// The maximum number of connections of all instances together to one backend server.
    pub connections: u32,
    /// The published size and speed of its backend servers, if they are engines.
    pub engine: Option<Arc<EngineModel>>,
}

/// `Organisation` is the owner of API keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// The organisation's name.
    pub name: Arc<str>,
    /// The rank of all its requests, if it has one; otherwise the route's applies.
    pub rank: Option<Rank>,
}

/// `SenderLimits` bounds how much a caller may send and how long it may stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SenderLimits {
    /// The maximum size of a request's headers, in bytes.
    pub header_bytes: usize,
    /// The maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// The time within which a request's headers must arrive.
    pub header_timeout: Duration,
    /// The time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for SenderLimits {
    /// Returns the limits that apply until a version of the configuration sets others.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(30),
        }
    }
}

/// `Routes` is one version of the operators' configuration.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    /// The version, 0 before the first; a higher one is newer.
    pub version: u64,
    /// The limits on callers.
    pub limits: SenderLimits,
    /// Whether requests need an API key unless their route is public.
    pub has_keys: bool,
    /// The number of organisations that were left out, as no request can name them.
    pub unusable_organisations: usize,
    hosts: SeededHashMap<Arc<str>, Vec<Arc<Route>>>,
    services: SeededHashMap<Arc<str>, Arc<Service>>,
    keys: SeededHashMap<Arc<str>, Arc<Organisation>>,
    organisations: usize,
}

impl Routes {
    /// Returns a version without routes.
    pub fn new(version: u64, limits: SenderLimits) -> Self {
        Self {
            version,
            limits,
            ..Self::default()
        }
    }

    /// Adds a route.
    pub fn add_route(&mut self, route: Route) {
        let routes = self.hosts.entry(Arc::clone(&route.host)).or_default();
        routes.push(Arc::new(route));
        routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
    }

    /// Adds a service.
    pub fn add_service(&mut self, service: Service) {
        let name = Arc::clone(&service.name);
        self.services.insert(name, Arc::new(service));
    }

    /// Adds an organisation with its API keys.
    pub fn add_organisation(&mut self, organisation: Organisation, keys: &[Arc<str>]) {
        self.has_keys = true;
        self.organisations += 1;
        let organisation = Arc::new(organisation);
        for key in keys {
            self.keys.insert(Arc::clone(key), Arc::clone(&organisation));
        }
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// Returns the service of this name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns the organisation that owns this API key.
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.keys.get(key)
    }

    /// Returns the number of organisations.
    pub const fn organisations(&self) -> usize {
        self.organisations
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Returns whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
