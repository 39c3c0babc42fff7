//! The layout of copies over engines that hold no layers yet.

use std::collections::VecDeque;

use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::servers::EngineModel;

use crate::Engine;
use crate::Order;

/// The maximum part of its memory that an engine may use for weights. The rest is for requests;
/// an engine without any could not serve, and would block its path.
const MAX_WEIGHTS_PART: f64 = 0.9;

/// Returns the maximum number of layers that an engine may hold and still serve.
pub fn max_layers(model: &EngineModel, engine: &Engine) -> u16 {
    let limit = engine.card.memory_bytes * MAX_WEIGHTS_PART / model.layer_bytes;
    (limit.floor() as u16).min(model.max_layers(engine.card))
}

/// Returns whether these engines can hold a whole copy.
pub fn can_hold(model: &EngineModel, engines: &[&Engine]) -> bool {
    let layers: u32 = engines
        .iter()
        .map(|e| u32::from(max_layers(model, e)))
        .sum();
    layers >= u32::from(model.layers)
}

/// Returns the number of layers for each engine: in proportion to its memory, and one copy
/// in total where the engines can hold it.
pub fn shares(model: &EngineModel, engines: &[&Engine]) -> Vec<u16> {
    let total: f64 = engines.iter().map(|e| e.card.memory_bytes).sum();
    let exact: Vec<f64> = engines
        .iter()
        .map(|e| e.card.memory_bytes / total * f64::from(model.layers))
        .collect();
    let mut shares: Vec<u16> = exact
        .iter()
        .zip(engines)
        .map(|(x, e)| (x.floor() as u16).min(max_layers(model, e)))
        .collect();
    let mut remaining =
        u32::from(model.layers).saturating_sub(shares.iter().map(|s| u32::from(*s)).sum());
    while remaining > 0 {
        // The engine that is furthest below its exact share gets the next layer.
        let next = (0..engines.len())
            .filter(|i| shares[*i] < max_layers(model, engines[*i]))
            .max_by(|a, b| {
                let shortfall = |i: usize| (exact[i] - f64::from(shares[i])) / exact[i].max(1e-9);
                shortfall(*a).total_cmp(&shortfall(*b))
            });
        let Some(next) = next else {
            break;
        };
        shares[next] += 1;
        remaining -= 1;
    }
    shares
}

/// Returns orders for `copies` whole copies over `engines`, or fewer where they don't fit.
pub fn orders(model: &EngineModel, engines: &[&Engine], copies: u16) -> Vec<Order> {
    let mut sets = partition(engines, usize::from(copies.max(1)));
    while sets.len() > 1 && !sets.iter().all(|set| can_hold(model, set)) {
        sets = partition(engines, sets.len() - 1);
    }
    sets.iter().flat_map(|set| copy(model, set)).collect()
}

/// Divides the engines into `count` sets of about equal memory: by decreasing size, in
/// alternating direction over the sets.
fn partition<'a>(engines: &[&'a Engine], count: usize) -> Vec<Vec<&'a Engine>> {
    let mut sets = vec![Vec::new(); count];
    for (i, engine) in by_size(engines).into_iter().enumerate() {
        let (round, place) = (i / count, i % count);
        let set = match round % 2 {
            0 => place,
            _ => count - 1 - place,
        };
        sets[set].push(engine);
    }
    sets
}

/// Returns orders for one whole copy over `engines`.
fn copy(model: &EngineModel, engines: &[&Engine]) -> Vec<Order> {
    let engines = &alternating(engines);
    let mut at = 0;
    let mut orders = Vec::new();
    for (engine, share) in engines.iter().zip(shares(model, engines)) {
        let end = (at + share).min(model.layers);
        if let Ok(layers) = LayerRange::new(at, end) {
            orders.push(Order {
                id: engine.id.clone(),
                layers,
            });
        }
        at = end;
    }
    orders
}

/// Returns the engines sorted by memory, the largest first.
fn by_size<'a>(engines: &[&'a Engine]) -> Vec<&'a Engine> {
    let mut by_size = engines.to_vec();
    by_size.sort_by(|a, b| {
        let size = b.card.memory_bytes.total_cmp(&a.card.memory_bytes);
        size.then_with(|| a.id.cmp(&b.id))
    });
    by_size
}

/// Returns the engines with large and small ones alternating, the largest in the middle: a
/// small engine has little memory to take over the layers of a lost neighbour, and the
/// layers of a large one need neighbours on both sides.
fn alternating<'a>(engines: &[&'a Engine]) -> Vec<&'a Engine> {
    let mut by_size = by_size(engines);
    let small = by_size.split_off(by_size.len().div_ceil(2));
    let mut large = VecDeque::with_capacity(by_size.len());
    for (i, engine) in by_size.into_iter().enumerate() {
        match i % 2 {
            0 => large.push_back(engine),
            _ => large.push_front(engine),
        }
    }
    let mut small = small.into_iter();
    let mut mixed = Vec::with_capacity(engines.len());
    for engine in large {
        mixed.push(engine);
        mixed.extend(small.next());
    }
    mixed
}
