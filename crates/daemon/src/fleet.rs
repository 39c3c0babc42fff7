//! The backend servers as this instance sees them.

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

/// The time of a step that is assumed before one was measured.
const STEP_TIME: Duration = Duration::from_millis(10);
/// The time to another data centre that is assumed before it was measured.
const REMOTE_LINK: Duration = Duration::from_millis(1);
/// Weight of a new measurement of a step's time, in parts of this number.
const SMOOTHING: u32 = 8;

/// The time after the last word of a leaving server in which it gets no new work.
const LEAVING_LIFETIME: Duration = Duration::from_secs(30);
/// News of leaving servers that a slow stream may have waiting.
const NEWS: usize = 256;

/// `GraphKey` names a graph: a model in one data centre, or in all of them.
type GraphKey = (ModelKey, Option<DataCentreKey>);

/// `Fleet` holds a graph for each model and data centre, and one for each model
/// over all data centres, each under its own lock.
pub struct Fleet {
    data_centre: DataCentreKey,
    graphs: ArcSwap<HashMap<GraphKey, Arc<Mutex<Graph>>>>,
    servers: ArcSwap<HashMap<BackendServerKey, Place>>,
    down: Mutex<HashSet<BackendServerKey>>,
    ejected: Mutex<HashSet<BackendServerKey>>,
    leaving: Mutex<HashMap<BackendServerKey, Instant>>,
    left: broadcast::Sender<BackendServerKey>,
}

/// `Place` is where a backend server is reached and what it serves.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// Its address.
    pub addr: SocketAddr,
    /// What it serves.
    pub role: Role,
    /// Whether the configuration says that it is leaving.
    pub leaving: bool,
    /// Its data centre.
    pub data_centre: DataCentreKey,
}

impl Fleet {
    /// No backend servers yet, seen from `data_centre`.
    pub fn new(data_centre: DataCentreKey) -> Self {
        Self {
            data_centre,
            graphs: ArcSwap::default(),
            servers: ArcSwap::default(),
            down: Mutex::default(),
            ejected: Mutex::default(),
            leaving: Mutex::default(),
            left: broadcast::Sender::new(NEWS),
        }
    }

    /// News of servers that are leaving, for streams that run on them.
    pub fn subscribe(&self) -> broadcast::Receiver<BackendServerKey> {
        self.left.subscribe()
    }

    /// Takes over the backend servers of `config`, and keeps what was learned of
    /// those that stay.
    pub fn apply(&self, config: &Config) {
        let mut places = HashMap::default();
        for (&key, server) in &config.backend_servers {
            let place = Place {
                addr: server.addr,
                role: server.role,
                leaving: server.leaving,
                data_centre: server.data_centre,
            };
            places.insert(key, place);
        }
        let graphs = self.kept(config);
        for (&key, server) in &config.backend_servers {
            let Role::Engine { model, layers } = server.role else {
                continue;
            };
            for graph in both(&graphs, model, server.data_centre) {
                self.upsert(&mut graph.lock(), key, server, layers);
            }
        }
        for (&key, graph) in &graphs {
            retain(key, &mut graph.lock(), &places);
        }
        self.graphs.store(Arc::new(graphs));
        self.servers.store(Arc::new(places));
    }

    /// The graphs that `config` needs: the present ones where they still fit.
    fn kept(&self, config: &Config) -> HashMap<GraphKey, Arc<Mutex<Graph>>> {
        let old = self.graphs.load();
        let mut graphs: HashMap<GraphKey, Arc<Mutex<Graph>>> = HashMap::default();
        let servers = config.backend_servers.values();
        let centres: HashSet<_> = servers.map(|server| Some(server.data_centre)).collect();
        for (&model_key, model) in &config.models {
            for &centre in centres.iter().chain([&None]) {
                let key = (model_key, centre);
                let fits = |g: &&Arc<Mutex<Graph>>| g.lock().model_layers() == model.layers;
                let kept = old.get(&key).filter(fits).cloned();
                let new = || Arc::new(Mutex::new(Graph::new(model.layers)));
                graphs.insert(key, kept.unwrap_or_else(new));
            }
        }
        graphs
    }

    /// Adds a server to a graph, or changes what the configuration says of it.
    fn upsert(
        &self,
        graph: &mut Graph,
        key: BackendServerKey,
        server: &BackendServer,
        layers: LayerRange,
    ) {
        let available = !server.leaving && self.is_available(key);
        let is_known = graph.update(key, |known| {
            known.layers = layers;
            known.limit = server.limit;
            known.available = available;
        });
        if !is_known {
            let is_near = server.data_centre == self.data_centre;
            graph.insert(Server {
                available,
                step_time: STEP_TIME,
                link_time: if is_near { Duration::ZERO } else { REMOTE_LINK },
                limit: server.limit,
                ..Server::new(key, layers, server.data_centre)
            });
        }
    }

    /// The place of a backend server.
    pub fn place(&self, key: BackendServerKey) -> Option<Place> {
        self.servers.load().get(&key).copied()
    }

    /// All backend servers.
    pub fn places(&self) -> Arc<HashMap<BackendServerKey, Place>> {
        self.servers.load_full()
    }

    /// Chooses a path in the data centre `centre`, or over all of them when its
    /// servers don't join.
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

    /// The streams that the servers of a model in a data centre carry at most.
    pub fn capacity(&self, model: ModelKey, centre: DataCentreKey) -> u32 {
        let graphs = self.graphs.load();
        let graph = graphs.get(&(model, Some(centre)));
        let streams = graph.map_or(0, |graph| graph.lock().bound_streams());
        u32::try_from(streams).unwrap_or(u32::MAX)
    }

    /// The data centres whose servers of a model join to a whole path, the own one first.
    pub fn centres(&self, model: ModelKey) -> Vec<DataCentreKey> {
        let graphs = self.graphs.load();
        let of_model = graphs.keys().filter(|key| key.0 == model);
        let mut centres: Vec<_> = of_model.filter_map(|key| key.1).collect();
        centres.retain(|&centre| self.capacity(model, centre) > 0);
        centres.sort_unstable_by_key(|&centre| (centre != self.data_centre, centre));
        centres
    }

    /// Counts a stream on a server.
    pub fn begin(&self, key: BackendServerKey) {
        self.with(key, |graph| graph.begin(key));
    }

    /// Counts a stream off a server.
    pub fn end(&self, key: BackendServerKey) {
        self.with(key, |graph| graph.end(key));
    }

    /// Takes in the time that a decode step took.
    pub fn measured(&self, key: BackendServerKey, time: Duration) {
        self.with(key, |graph| {
            graph.update(key, |server| {
                let old = server.step_time;
                server.step_time = (old * (SMOOTHING - 1) + time) / SMOOTHING;
            });
        });
    }

    /// Takes in a server's own report of its load.
    pub fn reported(&self, key: BackendServerKey, now: Instant, report: LoadReport) {
        self.with(key, |graph| {
            graph.update(key, |server| {
                server.report = Some(Report::new(now, report.streams, server.in_flight));
            });
        });
    }

    /// Notes whether a server was found to be down.
    pub fn set_down(&self, key: BackendServerKey, is_down: bool) {
        set(&self.down, key, is_down);
        self.refresh(key);
    }

    /// Notes whether a server is left out after failures.
    pub fn set_ejected(&self, key: BackendServerKey, is_ejected: bool) {
        set(&self.ejected, key, is_ejected);
        self.refresh(key);
    }

    /// Whether a server may get new streams.
    fn is_available(&self, key: BackendServerKey) -> bool {
        let is_out = self.down.lock().contains(&key) || self.ejected.lock().contains(&key);
        !is_out && !self.leaving.lock().contains_key(&key)
    }

    /// Makes a server available or not in its graphs.
    fn refresh(&self, key: BackendServerKey) {
        let is_leaving = self.place(key).is_some_and(|place| place.leaving);
        let available = self.is_available(key) && !is_leaving;
        self.with(key, |graph| {
            graph.update(key, |server| server.available = available);
        });
    }

    /// The servers that hold a range of a model's layers.
    pub fn holders(&self, (model, layers): (ModelKey, LayerRange)) -> Vec<BackendServerKey> {
        let places = self.servers.load();
        let role = Role::Engine { model, layers };
        let holders = places.iter().filter(|(_, place)| place.role == role);
        holders.map(|(&key, _)| key).collect()
    }

    /// Notes that a server is leaving, until no source says so any more. Returns
    /// whether that is news.
    pub fn leave(&self, key: BackendServerKey, now: Instant) -> bool {
        let expires_at = now + LEAVING_LIFETIME;
        let is_news = self.leaving.lock().insert(key, expires_at).is_none();
        if is_news {
            self.refresh(key);
            // Without streams nobody listens.
            let _ = self.left.send(key);
        }
        is_news
    }

    /// Takes back servers of which no source said for long that they are leaving.
    pub fn expire(&self, now: Instant) {
        let mut returned = Vec::new();
        self.leaving.lock().retain(|&key, expires_at| {
            let stays = now < *expires_at;
            if !stays {
                returned.push(key);
            }
            stays
        });
        for key in returned {
            self.refresh(key);
        }
    }

    /// The servers that are leaving.
    pub fn leaving(&self) -> Vec<BackendServerKey> {
        self.leaving.lock().keys().copied().collect()
    }

    /// The servers of a service, those of the own data centre first.
    pub fn service(&self, service: ServiceKey) -> Vec<(BackendServerKey, SocketAddr)> {
        let places = self.servers.load();
        let leaving = self.leaving.lock();
        let mut found: Vec<_> = places
            .iter()
            .filter(|(key, place)| {
                let serves = matches!(place.role, Role::Service { service: s } if s == service);
                serves && !place.leaving && !leaving.contains_key(*key)
            })
            .map(|(&key, place)| (place.data_centre != self.data_centre, key, place.addr))
            .collect();
        found.sort_unstable_by_key(|&(is_far, key, _)| (is_far, key));
        found
            .into_iter()
            .map(|(_, key, addr)| (key, addr))
            .collect()
    }

    /// Runs `f` on the graphs that hold a server.
    fn with(&self, key: BackendServerKey, f: impl Fn(&mut Graph)) {
        let Some(place) = self.place(key) else {
            return;
        };
        let Role::Engine { model, .. } = place.role else {
            return;
        };
        for graph in both(&self.graphs.load(), model, place.data_centre) {
            f(&mut graph.lock());
        }
    }
}

/// Adds a server to a set, or removes it.
fn set(of: &Mutex<HashSet<BackendServerKey>>, key: BackendServerKey, is_in: bool) {
    if is_in {
        of.lock().insert(key);
    } else {
        of.lock().remove(&key);
    }
}

/// The graphs that hold the servers of a model in a data centre.
fn both(
    graphs: &HashMap<GraphKey, Arc<Mutex<Graph>>>,
    model: ModelKey,
    centre: DataCentreKey,
) -> impl Iterator<Item = &Arc<Mutex<Graph>>> {
    [(model, Some(centre)), (model, None)]
        .into_iter()
        .filter_map(|key| graphs.get(&key))
}

/// Removes the servers of a graph that are no longer where it looks.
fn retain((model, centre): GraphKey, graph: &mut Graph, places: &HashMap<BackendServerKey, Place>) {
    let stays = |key: BackendServerKey| {
        places.get(&key).is_some_and(|place| {
            let is_model = matches!(place.role, Role::Engine { model: of, .. } if of == model);
            is_model && centre.is_none_or(|centre| centre == place.data_centre)
        })
    };
    let keys: Vec<_> = graph.servers().map(|server| server.key).collect();
    for key in keys.into_iter().filter(|&key| !stays(key)) {
        graph.remove(key);
    }
}
