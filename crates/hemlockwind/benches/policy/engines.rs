//! The engines: fixed service times, slower beyond their limit.

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

/// The steps that the prefill of one stage takes as long as.
const PREFILL_STEPS: u32 = 4;
/// The time between two data centres, one way.
pub const BETWEEN_DATA_CENTRES: Duration = Duration::from_micros(500);

/// `Engines` is the fleet with the streams on each runner.
pub struct Engines {
    pub servers: Vec<Server>,
    pub streams: Vec<u32>,
    pub up: Vec<bool>,
    pub keys: Vec<BackendServerKey>,
    pub data_centres: Vec<DataCentreKey>,
}

impl Engines {
    pub fn new(servers: Vec<Server>) -> Self {
        let mut names = Names::<BackendServerKey>::default();
        let mut centres = Names::<DataCentreKey>::default();
        Self {
            streams: vec![0; servers.len()],
            up: vec![true; servers.len()],
            keys: (0..servers.len())
                .map(|i| names.intern(&i.to_string()))
                .collect(),
            data_centres: (0..DATA_CENTRES)
                .map(|i| centres.intern(&i.to_string()))
                .collect(),
            servers,
        }
    }

    /// The graph that an instance sees of one data centre.
    pub fn graph(&self, data_centre: usize) -> Graph {
        let mut graph = Graph::new(LAYERS);
        for (i, s) in self.servers.iter().enumerate() {
            if s.data_centre == data_centre {
                let centre = self.data_centres[data_centre];
                let mut server = server::Server::new(self.keys[i], s.layers, centre);
                server.available = self.up[i];
                server.step_time = s.step;
                server.link_time = s.link;
                server.limit = s.limit;
                graph.insert(server);
            }
        }
        graph
    }

    pub fn index(&self, key: BackendServerKey) -> usize {
        let at = self.keys.iter().position(|&k| k == key);
        at.expect("the key is of this fleet")
    }

    pub fn indices(&self, path: &Path) -> Vec<usize> {
        path.stages.iter().map(|s| self.index(s.server)).collect()
    }

    pub fn is_full(&self, server: usize) -> bool {
        self.streams[server] >= self.servers[server].limit
    }

    /// The time of one token along `path`, seen from `data_centre`.
    pub fn token_time(&self, path: &[usize], data_centre: usize) -> Duration {
        self.time(path, data_centre, 1)
    }

    /// The time to the first token along `path`.
    pub fn prefill_time(&self, path: &[usize], data_centre: usize) -> Duration {
        self.time(path, data_centre, PREFILL_STEPS)
    }

    fn time(&self, path: &[usize], data_centre: usize, steps: u32) -> Duration {
        let stage = |&i: &usize| {
            let server = &self.servers[i];
            let load = f64::from(self.streams[i]) / f64::from(server.limit);
            let away = server.data_centre != data_centre;
            let cross = if away {
                2 * BETWEEN_DATA_CENTRES
            } else {
                Duration::ZERO
            };
            2 * server.link + cross + (server.step * steps).mul_f64(load.max(1.0))
        };
        path.iter().map(stage).sum()
    }

    /// The servers of each fixed chain, from the first layer to the last.
    pub fn chains(&self) -> Vec<Vec<usize>> {
        let count = self.servers.iter().map(|s| s.chain + 1).max().unwrap_or(0);
        let of = |c| {
            let all = self.servers.iter().enumerate();
            all.filter(|(_, s)| s.chain == c).map(|(i, _)| i).collect()
        };
        (0..count).map(of).collect()
    }

    /// Tokens a second of the chains of `up` servers when no slot is ever free and
    /// an answer has `tokens` tokens.
    pub fn bound(&self, tokens: f64) -> f64 {
        let chains = self.chains();
        let up = chains.iter().filter(|c| c.iter().all(|&i| self.up[i]));
        let rate = |chain: &Vec<usize>| {
            let centre = self.servers[chain[0]].data_centre;
            let slots = chain.iter().map(|&i| self.servers[i].limit).min();
            let empty = Self::new(self.servers.clone());
            let prefill = empty.prefill_time(chain, centre).as_secs_f64();
            let token = empty.token_time(chain, centre).as_secs_f64();
            f64::from(slots.unwrap_or(0)) * tokens / (prefill + (tokens - 1.0) * token)
        };
        up.map(rate).sum()
    }
}
