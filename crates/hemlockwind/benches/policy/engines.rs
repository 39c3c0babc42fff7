//! Simulated engines, whose service times are constant up to their limit of streams and
//! proportional to the number of streams beyond it.

use std::time::Duration;

use hemlockwind::core::names::BackendServerKey;
use hemlockwind::core::names::DataCentreKey;
use hemlockwind::core::names::Names;
use hemlockwind::routing::Graph;
use hemlockwind::routing::Path;
use hemlockwind::routing::server;

use crate::deployment::DATA_CENTRES;
use crate::deployment::LAYERS;
use crate::deployment::Server;

/// The time of one stage's prefill, in decode steps.
const PREFILL_STEPS: u32 = 4;
/// The time of a message between two data centres, one way.
pub const INTER_DATA_CENTRE_DELAY: Duration = Duration::from_micros(500);

/// `Engines` holds the fleet and the state of each engine.
pub struct Engines {
    pub servers: Vec<Server>,
    /// The number of streams on each server.
    pub streams: Vec<u32>,
    /// Whether each server runs.
    pub is_up: Vec<bool>,
    pub keys: Vec<BackendServerKey>,
    pub data_centres: Vec<DataCentreKey>,
}

impl Engines {
    pub fn new(servers: Vec<Server>) -> Self {
        let mut names = Names::<BackendServerKey>::default();
        let mut centres = Names::<DataCentreKey>::default();
        Self {
            streams: vec![0; servers.len()],
            is_up: vec![true; servers.len()],
            keys: (0..servers.len())
                .map(|i| names.intern(&i.to_string()))
                .collect(),
            data_centres: (0..DATA_CENTRES)
                .map(|i| centres.intern(&i.to_string()))
                .collect(),
            servers,
        }
    }

    /// Returns an instance's graph of the servers in one data centre.
    pub fn graph(&self, data_centre: usize) -> Graph {
        let mut graph = Graph::new(LAYERS);
        for (i, s) in self.servers.iter().enumerate() {
            if s.data_centre == data_centre {
                let centre = self.data_centres[data_centre];
                let mut server = server::Server::new(self.keys[i], s.layers, centre);
                server.available = self.is_up[i];
                server.step_time = s.step_time;
                server.link_time = s.link_time;
                server.limit = s.limit;
                graph.insert(server);
            }
        }
        graph
    }

    /// Returns the index of the server with this key.
    pub fn index_of(&self, key: BackendServerKey) -> usize {
        let at = self.keys.iter().position(|&k| k == key);
        at.expect("the key belongs to this fleet")
    }

    /// Returns the indices of the servers of a path.
    pub fn indices_of(&self, path: &Path) -> Vec<usize> {
        path.stages
            .iter()
            .map(|s| self.index_of(s.server))
            .collect()
    }

    pub fn is_full(&self, server: usize) -> bool {
        self.streams[server] >= self.servers[server].limit
    }

    /// Returns the time of one decode step along `path`, for an instance in `data_centre`.
    pub fn token_time(&self, path: &[usize], data_centre: usize) -> Duration {
        self.path_time(path, data_centre, 1)
    }

    /// Returns the time of a prefill along `path`, for an instance in `data_centre`.
    pub fn prefill_time(&self, path: &[usize], data_centre: usize) -> Duration {
        self.path_time(path, data_centre, PREFILL_STEPS)
    }

    /// Returns the time of a prefill or decode step along `path`, for an instance in
    /// `data_centre`. The work of each server equals `steps` decode steps. The delays to
    /// and from each server are included.
    fn path_time(&self, path: &[usize], data_centre: usize, steps: u32) -> Duration {
        let stage = |&i: &usize| {
            let server = &self.servers[i];
            let load = f64::from(self.streams[i]) / f64::from(server.limit);
            let is_remote = server.data_centre != data_centre;
            let crossing = if is_remote {
                2 * INTER_DATA_CENTRE_DELAY
            } else {
                Duration::ZERO
            };
            2 * server.link_time + crossing + (server.step_time * steps).mul_f64(load.max(1.0))
        };
        path.iter().map(stage).sum()
    }

    /// Returns the servers of each fixed chain, from the first layer to the last.
    pub fn chains(&self) -> Vec<Vec<usize>> {
        let count = self.servers.iter().map(|s| s.chain + 1).max().unwrap_or(0);
        let members = |c| {
            let all = self.servers.iter().enumerate();
            all.filter(|(_, s)| s.chain == c).map(|(i, _)| i).collect()
        };
        (0..count).map(members).collect()
    }

    /// Returns the hardware bound in tokens per second: what the chains without a dead
    /// server produce when no slot is ever free and an answer has `tokens` tokens.
    pub fn throughput_bound(&self, tokens: f64) -> f64 {
        let chains = self.chains();
        let live = chains.iter().filter(|c| c.iter().all(|&i| self.is_up[i]));
        let rate = |chain: &Vec<usize>| {
            let centre = self.servers[chain[0]].data_centre;
            let slots = chain.iter().map(|&i| self.servers[i].limit).min();
            let idle = Self::new(self.servers.clone());
            let prefill = idle.prefill_time(chain, centre).as_secs_f64();
            let token = idle.token_time(chain, centre).as_secs_f64();
            f64::from(slots.unwrap_or(0)) * tokens / (prefill + (tokens - 1.0) * token)
        };
        live.map(rate).sum()
    }
}
