//! The memory for requests in each layer, and its shortfall as one number per layer.
//!
//! The shortfall grows with the square of the missing capacity, so that a large lack in one
//! layer weighs more than small lacks in all layers: the layer with the least capacity
//! limits the path.

use hemlockwind_core::servers::EngineModel;

use crate::Engine;
use crate::copies::Group;

/// The extra shortfall of a layer that no engine of the group holds, compared with one that is
/// held without memory for requests: paths have to cross to another data centre.
const GAP_SHORTFALL: f64 = 4.0;
/// The extra shortfall of a layer that no copy holds: there is no path at all.
const LOST_SHORTFALL: f64 = 40.0;
/// The weight of the shortfall of all copies together, relative to that of one group. Paths
/// may lead through several data centres, but links between them are slow.
const ALL_COPIES_WEIGHT: f64 = 2.0;
/// The part of the evenly spread capacity of all groups that is enough for all callers: as
/// much is left after the loss of a data centre and some further engines.
const ENOUGH_PART: f64 = 0.5;

/// `Target` holds the capacity that a group of engines should have in each layer.
pub struct Target {
    /// The capacity of each layer when the copies are spread evenly, in tokens.
    even: f64,
    /// The capacity of each layer that is enough in all copies together, in tokens.
    enough: f64,
    /// The capacity of each layer in the other groups, in tokens.
    elsewhere: Vec<f64>,
}

impl Target {
    /// Returns the target of `group`, given the engines of the `others`.
    pub fn new(model: &EngineModel, group: &Group<'_>, others: &[&Group<'_>]) -> Self {
        let even = even_capacity(model, &group.live(), group.copies);
        let live: Vec<&Engine> = others.iter().flat_map(|g| g.live()).collect();
        // The others can replace each other, so they count as one group.
        let copies = others.iter().map(|g| g.copies).max();
        let all = even + even_capacity(model, &live, copies.unwrap_or(1));
        Self {
            even: even.max(1.0),
            enough: (all * ENOUGH_PART).max(1.0),
            elsewhere: by_layer(model, &live),
        }
    }

    /// Returns the shortfall of `layer` with a capacity of `capacity` tokens in this group.
    pub fn shortfall(&self, layer: usize, capacity: f64) -> f64 {
        let all = capacity + self.elsewhere[layer];
        shortfall(capacity, self.even, GAP_SHORTFALL)
            + ALL_COPIES_WEIGHT * shortfall(all, self.enough, LOST_SHORTFALL)
    }
}

/// Returns the square of the missing part of `wanted`, or `1.0 + gap` when there is no
/// capacity at all.
fn shortfall(capacity: f64, wanted: f64, gap: f64) -> f64 {
    if capacity <= 0.0 {
        return 1.0 + gap;
    }
    let missing = (1.0 - capacity / wanted).max(0.0);
    missing * missing
}

/// Returns the capacity of each layer if `copies` were spread evenly over these engines, in
/// tokens.
fn even_capacity(model: &EngineModel, engines: &[&Engine], copies: u16) -> f64 {
    let memory: f64 = engines.iter().map(|e| e.card.memory_bytes).sum();
    let layers = f64::from(model.layers);
    let free = memory - f64::from(copies) * layers * model.layer_bytes;
    (free / (model.kv_layer_bytes() * layers)).max(0.0)
}

/// Returns the capacity of an engine in each of `count` layers, in tokens. It is at least
/// one, as even an engine without free memory closes a gap.
pub fn per_layer(model: &EngineModel, engine: &Engine, count: u16) -> f64 {
    let capacity = model.kv_capacity(engine.card, count) / f64::from(count.max(1));
    capacity.max(1.0)
}

/// Returns the capacity for requests in each layer, in tokens; 0 where no engine holds it.
pub fn by_layer(model: &EngineModel, live: &[&Engine]) -> Vec<f64> {
    let mut capacities = vec![0.0; usize::from(model.layers)];
    for engine in live {
        add_engine(model, engine, &mut capacities, 1.0);
    }
    capacities
}

/// Adds `times` the capacity of an engine to that of its layers; -1.0 removes the engine.
pub fn add_engine(model: &EngineModel, engine: &Engine, capacities: &mut [f64], times: f64) {
    let Some(layers) = engine.layers else { return };
    let own = per_layer(model, engine, layers.count());
    let end = usize::from(layers.end()).min(capacities.len());
    let start = usize::from(layers.start()).min(end);
    for capacity in &mut capacities[start..end] {
        *capacity = (*capacity + times * own).max(0.0);
        // Rounding errors of sums stay far below one token.
        if *capacity < 0.5 {
            *capacity = 0.0;
        }
    }
}

/// Returns all ranges of layers without capacity, which no engine holds.
pub fn gaps(capacities: &[f64]) -> Vec<(u16, u16)> {
    let mut gaps: Vec<(u16, u16)> = Vec::new();
    for (layer, _) in (0..).zip(capacities).filter(|(_, c)| **c <= 0.0) {
        match gaps.last_mut() {
            Some((_, end)) if *end == layer => *end += 1,
            Some(_) | None => gaps.push((layer, layer + 1)),
        }
    }
    gaps
}
