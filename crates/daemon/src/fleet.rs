//! The local view of the backend servers: where they are, what they serve, their load and
//! whether they accept new streams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use tokio::sync::broadcast;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::collections::HashSet;
use hemlockwind_core::config::BackendServer;
use hemlockwind_core::config::Config;
use hemlockwind_core::config::Role;
use hemlockwind_core::engine::LoadReport;
use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::names::BackendServerKey;
use hemlockwind_core::names::DataCentreKey;
use hemlockwind_core::names::ModelKey;
use hemlockwind_core::names::ServiceKey;
use hemlockwind_core::time::Instant;
use hemlockwind_routing::Graph;
use hemlockwind_routing::Path;
use hemlockwind_routing::Report;
use hemlockwind_routing::Server;
use hemlockwind_routing::Stage;

/// Step time that is assumed before the first measurement.
const DEFAULT_STEP_TIME: Duration = Duration::from_millis(10);
/// Assumed latency to another data centre.
const REMOTE_LINK_TIME: Duration = Duration::from_millis(1);
/// A new measurement of a step's time has a weight of one over this number in the average.
const SMOOTHING_DIVISOR: u32 = 8;

/// Time for which a server gets no new streams after the last report that it is leaving.
const LEAVING_LIFETIME: Duration = Duration::from_secs(30);
/// Maximum number of unread notices of leaving servers per stream.
const LEAVING_CHANNEL_CAPACITY: usize = 256;

/// `GraphKey` identifies a graph: a model in one data centre, or in all of them.
type GraphKey = (ModelKey, Option<DataCentreKey>);

/// `Fleet` holds one graph per model and data centre, and one per model over all data
/// centres, each under its own lock.
pub struct Fleet {
    data_centre: DataCentreKey,
    graphs: ArcSwap<HashMap<GraphKey, Arc<Mutex<Graph>>>>,
    servers: ArcSwap<HashMap<BackendServerKey, Endpoint>>,
    down: Mutex<HashSet<BackendServerKey>>,
    ejected: Mutex<HashSet<BackendServerKey>>,
    leaving: Mutex<HashMap<BackendServerKey, Instant>>,
    leaving_tx: broadcast::Sender<BackendServerKey>,
}

/// `Endpoint` describes where a backend server is reached and what it serves.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// The server's address.
    pub addr: SocketAddr,
    /// What the server serves.
    pub role: Role,
    /// Whether the configuration marks the server as leaving.
    pub leaving: bool,
    /// The server's data centre.
    pub data_centre: DataCentreKey,
}

impl Fleet {
    /// Creates a fleet without backend servers for an instance in `data_centre`.
    pub fn new(data_centre: DataCentreKey) -> Self {
        Self {
            data_centre,
            graphs: ArcSwap::default(),
            servers: ArcSwap::default(),
            down: Mutex::default(),
            ejected: Mutex::default(),
            leaving: Mutex::default(),
            leaving_tx: broadcast::Sender::new(LEAVING_CHANNEL_CAPACITY),
        }
    }

    /// Returns a receiver of the servers that start to leave, for streams that run on them.
    pub fn subscribe(&self) -> broadcast::Receiver<BackendServerKey> {
        self.leaving_tx.subscribe()
    }

    /// Applies the backend servers of `config`, and keeps the measurements and reports of
    /// those that stay. Streams are notified that removed servers leave.
    pub fn apply(&self, config: &Config) {
        let mut endpoints = HashMap::default();
        for (&key, server) in &config.backend_servers {
            let endpoint = Endpoint {
                addr: server.addr,
                role: server.role,
                leaving: server.leaving,
                data_centre: server.data_centre,
            };
            endpoints.insert(key, endpoint);
        }
        let graphs = self.graphs_for(config);
        for (&key, server) in &config.backend_servers {
            let Role::Engine { model, layers } = server.role else {
                continue;
            };
            for graph in graphs_of(&graphs, model, server.data_centre) {
                self.upsert(&mut graph.lock(), key, server, layers);
            }
        }
        for (&key, graph) in &graphs {
            retain_servers(key, &mut graph.lock(), &endpoints);
        }
        self.graphs.store(Arc::new(graphs));
        let old = self.servers.swap(Arc::new(endpoints));
        let servers = self.servers.load();
        for &removed in old.keys().filter(|key| !servers.contains_key(*key)) {
            // Fails if no stream is subscribed.
            let _ = self.leaving_tx.send(removed);
        }
    }

    /// Returns the graphs that `config` needs. Existing graphs are reused if the number of
    /// the model's layers is unchanged.
    fn graphs_for(&self, config: &Config) -> HashMap<GraphKey, Arc<Mutex<Graph>>> {
        let old = self.graphs.load();
        let mut graphs: HashMap<GraphKey, Arc<Mutex<Graph>>> = HashMap::default();
        let servers = config.backend_servers.values();
        let centres: HashSet<_> = servers.map(|server| Some(server.data_centre)).collect();
        for (&model_key, model) in &config.models {
            for &centre in centres.iter().chain([&None]) {
                let key = (model_key, centre);
                let fits = |g: &&Arc<Mutex<Graph>>| g.lock().model_layers() == model.layers;
                let reused = old.get(&key).filter(fits).cloned();
                let new = || Arc::new(Mutex::new(Graph::new(model.layers)));
                graphs.insert(key, reused.unwrap_or_else(new));
            }
        }
        graphs
    }

    /// Adds a server to a graph, or updates its attributes from the configuration.
    fn upsert(
        &self,
        graph: &mut Graph,
        key: BackendServerKey,
        server: &BackendServer,
        layers: LayerRange,
    ) {
        let available = !server.leaving && self.is_available(key);
        let is_present = graph.update(key, |present| {
            present.layers = layers;
            present.limit = server.limit;
            present.available = available;
        });
        if !is_present {
            let is_local = server.data_centre == self.data_centre;
            graph.insert(Server {
                available,
                step_time: DEFAULT_STEP_TIME,
                link_time: if is_local {
                    Duration::ZERO
                } else {
                    REMOTE_LINK_TIME
                },
                limit: server.limit,
                ..Server::new(key, layers, server.data_centre)
            });
        }
    }

    /// Returns the endpoint of a backend server.
    pub fn endpoint(&self, key: BackendServerKey) -> Option<Endpoint> {
        self.servers.load().get(&key).copied()
    }

    /// Returns the endpoints of all backend servers.
    pub fn endpoints(&self) -> Arc<HashMap<BackendServerKey, Endpoint>> {
        self.servers.load_full()
    }

    /// Chooses a path in the data centre `centre`, or over all data centres if the servers
    /// of that one don't form a whole path.
    pub fn choose(
        &self,
        now: Instant,
        (model, centre): (ModelKey, DataCentreKey),
        avoid: &[BackendServerKey],
        keep: &[Stage],
    ) -> Option<Path> {
        let graphs = self.graphs.load();
        let choose = |key: GraphKey| {
            let graph = graphs.get(&key)?.lock();
            graph.choose(now, &mut rand::rng(), avoid, keep)
        };
        choose((model, Some(centre))).or_else(|| choose((model, None)))
    }

    /// Returns the maximum number of streams on the servers of a model in a data centre.
    pub fn capacity(&self, model: ModelKey, centre: DataCentreKey) -> u32 {
        let graphs = self.graphs.load();
        let graph = graphs.get(&(model, Some(centre)));
        let streams = graph.map_or(0, |graph| graph.lock().bound_streams());
        u32::try_from(streams).unwrap_or(u32::MAX)
    }

    /// Returns the data centres whose servers of a model form a whole path, the local one first.
    pub fn centres(&self, model: ModelKey) -> Vec<DataCentreKey> {
        let graphs = self.graphs.load();
        let of_model = graphs.keys().filter(|key| key.0 == model);
        let mut centres: Vec<_> = of_model.filter_map(|key| key.1).collect();
        centres.retain(|&centre| self.capacity(model, centre) > 0);
        centres.sort_unstable_by_key(|&centre| (centre != self.data_centre, centre));
        centres
    }

    /// Counts one more stream on a server.
    pub fn begin_stream(&self, key: BackendServerKey) {
        self.update_graphs(key, |graph| graph.begin(key));
    }

    /// Counts one stream fewer on a server.
    pub fn end_stream(&self, key: BackendServerKey) {
        self.update_graphs(key, |graph| graph.end(key));
    }

    /// Adds the time of a decode step to the server's smoothed step time.
    pub fn record_step_time(&self, key: BackendServerKey, time: Duration) {
        self.update_graphs(key, |graph| {
            graph.update(key, |server| {
                let old = server.step_time;
                server.step_time = (old * (SMOOTHING_DIVISOR - 1) + time) / SMOOTHING_DIVISOR;
            });
        });
    }

    /// Records a server's own report of its load.
    pub fn record_load(&self, key: BackendServerKey, now: Instant, report: LoadReport) {
        self.update_graphs(key, |graph| {
            graph.update(key, |server| {
                server.report = Some(Report::new(now, report.streams, server.in_flight));
            });
        });
    }

    /// Records whether probes found a server to be down.
    pub fn set_down(&self, key: BackendServerKey, is_down: bool) {
        insert_or_remove(&self.down, key, is_down);
        self.refresh_availability(key);
    }

    /// Records whether a server is ejected after failures.
    pub fn set_ejected(&self, key: BackendServerKey, is_ejected: bool) {
        insert_or_remove(&self.ejected, key, is_ejected);
        self.refresh_availability(key);
    }

    /// Whether a server may get new streams: it is not down, ejected or reported as leaving.
    /// The configuration's `leaving` is not considered; callers check it.
    fn is_available(&self, key: BackendServerKey) -> bool {
        let is_unusable = self.down.lock().contains(&key) || self.ejected.lock().contains(&key);
        !is_unusable && !self.leaving.lock().contains_key(&key)
    }

    /// Updates the availability of a server in its graphs.
    fn refresh_availability(&self, key: BackendServerKey) {
        let is_leaving = self.endpoint(key).is_some_and(|endpoint| endpoint.leaving);
        let available = self.is_available(key) && !is_leaving;
        self.update_graphs(key, |graph| {
            graph.update(key, |server| server.available = available);
        });
    }

    /// Returns the servers that hold a range of a model's layers.
    pub fn holders(&self, (model, layers): (ModelKey, LayerRange)) -> Vec<BackendServerKey> {
        let endpoints = self.servers.load();
        let role = Role::Engine { model, layers };
        let holders = endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.role == role);
        holders.map(|(&key, _)| key).collect()
    }

    /// Marks a server as leaving, until it has not been reported so for `LEAVING_LIFETIME`.
    /// Returns whether it was not marked before.
    pub fn mark_leaving(&self, key: BackendServerKey, now: Instant) -> bool {
        let expires_at = now + LEAVING_LIFETIME;
        let is_new = self.leaving.lock().insert(key, expires_at).is_none();
        if is_new {
            self.refresh_availability(key);
            // Fails if no stream is subscribed.
            let _ = self.leaving_tx.send(key);
        }
        is_new
    }

    /// Removes the mark of servers that have not been reported as leaving for
    /// `LEAVING_LIFETIME`.
    pub fn expire_leaving(&self, now: Instant) {
        let mut expired = Vec::new();
        self.leaving.lock().retain(|&key, expires_at| {
            let stays = now < *expires_at;
            if !stays {
                expired.push(key);
            }
            stays
        });
        for key in expired {
            self.refresh_availability(key);
        }
    }

    /// Returns the servers that are marked as leaving.
    pub fn leaving(&self) -> Vec<BackendServerKey> {
        self.leaving.lock().keys().copied().collect()
    }

    /// Returns the servers of a service that are not leaving, those of the local data centre
    /// first.
    pub fn service_servers(&self, service: ServiceKey) -> Vec<(BackendServerKey, SocketAddr)> {
        let endpoints = self.servers.load();
        let leaving = self.leaving.lock();
        let mut found: Vec<_> = endpoints
            .iter()
            .filter(|(key, endpoint)| {
                let serves = matches!(endpoint.role, Role::Service { service: s } if s == service);
                serves && !endpoint.leaving && !leaving.contains_key(*key)
            })
            .map(|(&key, endpoint)| (endpoint.data_centre != self.data_centre, key, endpoint.addr))
            .collect();
        found.sort_unstable_by_key(|&(is_remote, key, _)| (is_remote, key));
        found
            .into_iter()
            .map(|(_, key, addr)| (key, addr))
            .collect()
    }

    /// Calls `f` with each graph that contains a server.
    fn update_graphs(&self, key: BackendServerKey, f: impl Fn(&mut Graph)) {
        let Some(endpoint) = self.endpoint(key) else {
            return;
        };
        let Role::Engine { model, .. } = endpoint.role else {
            return;
        };
        for graph in graphs_of(&self.graphs.load(), model, endpoint.data_centre) {
            f(&mut graph.lock());
        }
    }
}

/// Adds a server to a set, or removes it.
fn insert_or_remove(
    servers: &Mutex<HashSet<BackendServerKey>>,
    key: BackendServerKey,
    should_contain: bool,
) {
    if should_contain {
        servers.lock().insert(key);
    } else {
        servers.lock().remove(&key);
    }
}

/// Returns the graphs that contain the servers of a model in a data centre.
fn graphs_of(
    graphs: &HashMap<GraphKey, Arc<Mutex<Graph>>>,
    model: ModelKey,
    centre: DataCentreKey,
) -> impl Iterator<Item = &Arc<Mutex<Graph>>> {
    [(model, Some(centre)), (model, None)]
        .into_iter()
        .filter_map(|key| graphs.get(&key))
}

/// Removes the servers of a graph that no longer belong to its model or data centre.
fn retain_servers(
    (model, centre): GraphKey,
    graph: &mut Graph,
    endpoints: &HashMap<BackendServerKey, Endpoint>,
) {
    let stays = |key: BackendServerKey| {
        endpoints.get(&key).is_some_and(|endpoint| {
            let is_model = matches!(endpoint.role, Role::Engine { model: of, .. } if of == model);
            is_model && centre.is_none_or(|centre| centre == endpoint.data_centre)
        })
    };
    let keys: Vec<_> = graph.servers().map(|server| server.key).collect();
    for key in keys.into_iter().filter(|&key| !stays(key)) {
        graph.remove(key);
    }
}
