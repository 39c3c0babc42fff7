//! Backend servers that differ in speed, link and load.

use std::time::Duration;

use hemlockwind::core::layers::LayerRange;
use hemlockwind::core::names::BackendServerKey;
use hemlockwind::core::names::DataCentreKey;
use hemlockwind::core::names::Names;
use hemlockwind::routing::Graph;
use hemlockwind::routing::Server;

use crate::LAYERS;
use crate::STEP_TIME;

/// The layer ranges of servers: a model in four stages and in two.
const LAYER_RANGES: [(u16, u16); 6] = [(0, 8), (8, 16), (16, 24), (24, 32), (0, 16), (16, 32)];

/// Returns the keys of `count` backend servers.
pub fn keys(count: usize) -> Vec<BackendServerKey> {
    let mut names: Names<BackendServerKey> = Names::default();
    (0..count).map(|i| names.intern(&i.to_string())).collect()
}

/// Returns a graph whose servers differ in speed, link and load.
pub fn graph(keys: &[BackendServerKey]) -> Graph {
    let mut graph = Graph::new(LAYERS);
    for (i, &key) in keys.iter().enumerate() {
        let (start, end) = LAYER_RANGES[i % LAYER_RANGES.len()];
        let layers = LayerRange::new(start, end).expect("the layer ranges are not empty");
        let variation = (i / LAYER_RANGES.len()) as u64;
        graph.insert(Server {
            step_time: STEP_TIME + Duration::from_millis(variation % 7),
            link_time: Duration::from_micros(500 + variation % 11 * 100),
            in_flight: (variation % 5) as u32,
            limit: 64,
            ..Server::new(key, layers, DataCentreKey::default())
        });
    }
    graph
}
