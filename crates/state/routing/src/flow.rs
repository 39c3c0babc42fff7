//! The throughput bound of the hardware: the maximum flow through the layer graph.

use std::collections::VecDeque;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::layers::LayerRange;

/// `Flow` holds the residual capacities of a layer graph, in any unit.
#[derive(Clone, Debug)]
pub struct Flow {
    model_layers: u16,
    residual: HashMap<u16, HashMap<u16, u64>>,
}

impl Flow {
    /// Returns the maximum flow from layer 0 to the last, when each layer range has the
    /// sum of the given capacities of its servers. Returns `u64::MAX` for a model without
    /// layers.
    pub fn bound(
        model_layers: u16,
        capacities: impl IntoIterator<Item = (LayerRange, u64)>,
    ) -> u64 {
        let mut flow = Self {
            model_layers,
            residual: HashMap::default(),
        };
        for (layers, capacity) in capacities {
            flow.add(layers.start(), layers.end(), capacity);
            flow.add(layers.end(), layers.start(), 0);
        }
        flow.maximum()
    }

    fn add(&mut self, from: u16, to: u16, capacity: u64) {
        let edges = self.residual.entry(from).or_default();
        let edge = edges.entry(to).or_default();
        *edge = edge.saturating_add(capacity);
    }

    /// Fills shortest augmenting paths until there is none (Edmonds-Karp). Returns the
    /// total flow.
    fn maximum(&mut self) -> u64 {
        let mut total: u64 = 0;
        while let Some(path) = self.augmenting_path() {
            let capacities = path.iter().map(|&(from, to)| self.residual[&from][&to]);
            let Some(least) = capacities.min() else {
                // The path is empty only for a model without layers, which has no bound.
                return u64::MAX;
            };
            for (from, to) in path {
                *self.capacity(from, to) -= least;
                let back = self.capacity(to, from);
                *back = back.saturating_add(least);
            }
            total = total.saturating_add(least);
        }
        total
    }

    fn capacity(&mut self, from: u16, to: u16) -> &mut u64 {
        let edges = self.residual.entry(from).or_default();
        edges.entry(to).or_default()
    }

    /// Returns the edges of the shortest path with residual capacity, the last edge first.
    fn augmenting_path(&self) -> Option<Vec<(u16, u16)>> {
        let mut before: HashMap<u16, u16> = HashMap::default();
        let mut queue = VecDeque::from([0]);
        while let Some(from) = queue.pop_front() {
            if from == self.model_layers {
                return Some(edges(&before, from));
            }
            for (&to, &capacity) in self.residual.get(&from).into_iter().flatten() {
                if capacity > 0 && to != 0 && !before.contains_key(&to) {
                    before.insert(to, from);
                    queue.push_back(to);
                }
            }
        }
        None
    }
}

/// Returns the edges that lead to `end`, the last edge first. `before` maps each node to
/// its predecessor.
fn edges(before: &HashMap<u16, u16>, end: u16) -> Vec<(u16, u16)> {
    let mut path = Vec::new();
    let mut to = end;
    while let Some(&from) = before.get(&to) {
        path.push((from, to));
        to = from;
    }
    path
}
