//! Backend servers that differ in speed, link and load.

use std::time::Duration;

use hemlockwind::core::layers::LayerRange;
use hemlockwind::core::names::BackendServerKey;
use hemlockwind::core::names::DataCentreKey;
use hemlockwind::core::names::Names;
use hemlockwind::routing::Graph;
use hemlockwind::routing::Server;

use crate::LAYERS;
use crate::STEP;

/// The layer ranges that servers hold: four stages, or two.
const RANGES: [(u16, u16); 6] = [(0, 8), (8, 16), (16, 24), (24, 32), (0, 16), (16, 32)];

/// Backend servers by key, as an instance knows them.
pub fn keys(count: usize) -> Vec<BackendServerKey> {
    let mut names: Names<BackendServerKey> = Names::default();
    (0..count).map(|i| names.intern(&i.to_string())).collect()
}

/// A graph whose servers differ in speed, link and load.
pub fn graph(keys: &[BackendServerKey]) -> Graph {
    let mut graph = Graph::new(LAYERS);
    for (i, &key) in keys.iter().enumerate() {
        let (start, end) = RANGES[i % RANGES.len()];
        let layers = LayerRange::new(start, end).expect("the ranges hold layers");
        let vary = (i / RANGES.len()) as u64;
        graph.insert(Server {
            step_time: STEP + Duration::from_millis(vary % 7),
            link_time: Duration::from_micros(500 + vary % 11 * 100),
            in_flight: (vary % 5) as u32,
            limit: 64,
            ..Server::new(key, layers, DataCentreKey::default())
        });
    }
    graph
}
