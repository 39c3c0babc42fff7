//! A greedy search for the orders that reduce a group's shortfall most, one engine at a time.
//!
//! Each step tries all ranges for each engine that may get an order, and chooses the one
//! that leaves the least shortfall. Closing a gap, moving layers off an engine with little
//! memory left and using a new engine are the same step. The cost of loading and unloading
//! layers is subtracted from the gain, so that plans converge.

use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::servers::EngineModel;

use crate::Engine;
use crate::Order;
use crate::capacity;
use crate::capacity::Target;
use crate::layout;

/// The cost of loading a layer: reading it from the weights' store takes time.
const LOAD_COST: f64 = 0.03;
/// The cost of each layer of a gap for each layer that is loaded with it, as the gap stays
/// open until all are loaded.
const DELAY_COST: f64 = 0.1;
/// The cost of unloading a layer: the engine first waits several seconds for the last
/// request that uses it, and only then loads other layers.
const UNLOAD_COST: f64 = 0.5;
/// The least gain, after costs, for which an order is issued.
const MIN_GAIN: f64 = 0.3;
/// The maximum number of orders of one round: more loads at a time would only wait for each
/// other.
const MAX_ORDERS: usize = 6;

/// `Change` is what an order may do to the layers that an engine holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// All layers are kept.
    Extend,
    /// Some or all layers may be unloaded.
    Move,
}

/// `Candidate` is a new range for one engine and its gain after costs.
struct Candidate {
    /// The index of the engine.
    index: usize,
    layers: LayerRange,
    gain: f64,
}

/// `Round` collects the orders of one round for a group.
pub struct Round<'a> {
    model: &'a EngineModel,
    target: &'a Target,
    engines: Vec<Engine>,
    /// The capacity of each layer once the orders are carried out, in tokens.
    pub capacities: Vec<f64>,
    /// The orders so far.
    pub orders: Vec<Order>,
}

impl<'a> Round<'a> {
    /// Returns a round without orders, for the engines of `live`.
    pub fn new(model: &'a EngineModel, target: &'a Target, live: &[&Engine]) -> Self {
        Self {
            model,
            target,
            engines: live.iter().map(|e| (*e).clone()).collect(),
            capacities: capacity::by_layer(model, live),
            orders: Vec::new(),
        }
    }

    /// Adds the orders with the highest gain, one engine at a time, for free engines that
    /// `may_change` accepts.
    pub fn add(&mut self, change: Change, may_change: impl Fn(&Engine) -> bool) {
        while self.orders.len() < MAX_ORDERS {
            let free = self.engines.iter().enumerate();
            let free = free.filter(|(_, e)| e.is_free && may_change(e));
            let moves = free.filter_map(|(index, e)| {
                best(self.model, self.target, &self.capacities, change, index, e)
            });
            let best = moves.reduce(|a, b| if b.gain > a.gain { b } else { a });
            let Some(best) = best else { break };
            let engine = &mut self.engines[best.index];
            capacity::add_engine(self.model, engine, &mut self.capacities, -1.0);
            engine.layers = Some(best.layers);
            engine.is_free = false;
            capacity::add_engine(self.model, engine, &mut self.capacities, 1.0);
            self.orders.push(Order {
                id: engine.id.clone(),
                layers: best.layers,
            });
        }
    }
}

/// Returns whether orders that help only together gain enough.
pub fn is_worthwhile(
    model: &EngineModel,
    live: &[&Engine],
    target: &Target,
    orders: &[Order],
) -> bool {
    let mut moved: Vec<Engine> = live.iter().map(|e| (*e).clone()).collect();
    let mut spent = 0.0;
    for order in orders {
        let Some(engine) = moved.iter_mut().find(|e| e.id == order.id) else {
            return false;
        };
        spent += cost(engine, order.layers.start(), order.layers.count(), 0.0);
        engine.layers = Some(order.layers);
    }
    let moved: Vec<&Engine> = moved.iter().collect();
    let shortfall = |live: &[&Engine]| -> f64 {
        let capacities = capacity::by_layer(model, live);
        (0..capacities.len())
            .map(|l| target.shortfall(l, capacities[l]))
            .sum()
    };
    !orders.is_empty() && shortfall(live) - shortfall(&moved) - spent >= MIN_GAIN
}

/// Returns the range of an engine with the highest gain, or `None` when no range gains
/// enough.
fn best(
    model: &EngineModel,
    target: &Target,
    capacities: &[f64],
    change: Change,
    index: usize,
    engine: &Engine,
) -> Option<Candidate> {
    let mut without = capacities.to_vec();
    capacity::add_engine(model, engine, &mut without, -1.0);
    // The shortfall that the engine's present range avoids.
    let held: f64 = (0..capacities.len())
        .map(|l| target.shortfall(l, without[l]) - target.shortfall(l, capacities[l]))
        .sum();
    // Prefix sums over the layers: `open` counts those that no engine holds, `sums` adds up the
    // shortfall that the engine would avoid.
    let mut open = vec![0.0; capacities.len() + 1];
    for layer in 0..capacities.len() {
        let is_open = capacities[layer] <= 0.0;
        open[layer + 1] = open[layer] + f64::from(u8::from(is_open));
    }
    let mut best: Option<Candidate> = None;
    let mut sums = vec![0.0; capacities.len() + 1];
    for count in 1..=layout::max_layers(model, engine) {
        let own = capacity::per_layer(model, engine, count);
        for layer in 0..capacities.len() {
            let avoided = target.shortfall(layer, without[layer])
                - target.shortfall(layer, without[layer] + own);
            sums[layer + 1] = sums[layer] + avoided;
        }
        for start in 0..=model.layers.saturating_sub(count) {
            if change == Change::Extend && !keeps_all(engine, start, count) {
                continue;
            }
            let over = |sums: &[f64]| sums[usize::from(start + count)] - sums[usize::from(start)];
            let gain = over(&sums) - held - cost(engine, start, count, over(&open));
            if gain >= MIN_GAIN && best.as_ref().is_none_or(|b| gain > b.gain) {
                let layers = LayerRange::new(start, start + count).ok()?;
                best = Some(Candidate {
                    index,
                    layers,
                    gain,
                });
            }
        }
    }
    best.filter(|b| Some(b.layers) != engine.layers)
}

/// Returns whether an engine keeps all its layers with the `count` layers from `start` on.
fn keeps_all(engine: &Engine, start: u16, count: u16) -> bool {
    let held = engine.layers;
    held.is_none_or(|l| start <= l.start() && l.end() <= start + count)
}

/// Returns the cost of changing an engine to the `count` layers from `start` on, `open` of
/// which no engine holds.
fn cost(engine: &Engine, start: u16, count: u16, open: f64) -> f64 {
    let load = |loaded: f64| loaded * (LOAD_COST + DELAY_COST * open);
    let Some(layers) = engine.layers else {
        return load(f64::from(count));
    };
    let common = layers.end().min(start + count);
    let common = common.saturating_sub(layers.start().max(start));
    let loaded = f64::from(count - common);
    let unloaded = f64::from(layers.count() - common);
    load(loaded) + UNLOAD_COST * unloaded
}
