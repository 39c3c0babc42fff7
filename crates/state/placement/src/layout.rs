//! The layout of copies over engines that all hold nothing.

use std::collections::VecDeque;

use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::servers::EngineModel;

use crate::Engine;
use crate::Order;

/// The part of its memory that an engine may use for weights at most. The rest holds
/// requests; an engine without any would stop the path.
const WEIGHTS_LIMIT: f64 = 0.9;

/// Layers that an engine may hold at most and still serve.
pub fn most(model: &EngineModel, engine: &Engine) -> u16 {
    let limit = engine.card.memory_bytes * WEIGHTS_LIMIT / model.layer_bytes;
    (limit.floor() as u16).min(model.most_layers(engine.card))
}

/// Whether these engines can hold a whole copy.
pub fn can_hold(model: &EngineModel, engines: &[&Engine]) -> bool {
    let layers: u32 = engines.iter().map(|e| u32::from(most(model, e))).sum();
    layers >= u32::from(model.layers)
}

/// Layers for each engine, in proportion to its memory and together one copy.
pub fn shares(model: &EngineModel, engines: &[&Engine]) -> Vec<u16> {
    let total: f64 = engines.iter().map(|e| e.card.memory_bytes).sum();
    let exact: Vec<f64> = engines
        .iter()
        .map(|e| e.card.memory_bytes / total * f64::from(model.layers))
        .collect();
    let mut shares: Vec<u16> = exact
        .iter()
        .zip(engines)
        .map(|(x, e)| (x.floor() as u16).min(most(model, e)))
        .collect();
    let mut left =
        u32::from(model.layers).saturating_sub(shares.iter().map(|s| u32::from(*s)).sum());
    while left > 0 {
        // The engine that is furthest below its exact share takes the next layer.
        let next = (0..engines.len())
            .filter(|i| shares[*i] < most(model, engines[*i]))
            .max_by(|a, b| {
                let lack = |i: usize| (exact[i] - f64::from(shares[i])) / exact[i].max(1e-9);
                lack(*a).total_cmp(&lack(*b))
            });
        let Some(next) = next else {
            break;
        };
        shares[next] += 1;
        left -= 1;
    }
    shares
}

/// `copies` whole copies over `engines`, fewer where they don't fit.
pub fn orders(model: &EngineModel, engines: &[&Engine], copies: u16) -> Vec<Order> {
    let mut hands = deal(engines, usize::from(copies.max(1)));
    while hands.len() > 1 && !hands.iter().all(|hand| can_hold(model, hand)) {
        hands = deal(engines, hands.len() - 1);
    }
    hands.iter().flat_map(|hand| copy(model, hand)).collect()
}

/// The engines in `count` hands of about equal memory: dealt by size, to and fro.
fn deal<'a>(engines: &[&'a Engine], count: usize) -> Vec<Vec<&'a Engine>> {
    let mut hands = vec![Vec::new(); count];
    for (i, engine) in by_size(engines).into_iter().enumerate() {
        let (round, place) = (i / count, i % count);
        let hand = match round % 2 {
            0 => place,
            _ => count - 1 - place,
        };
        hands[hand].push(engine);
    }
    hands
}

/// One whole copy over `engines`.
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

/// The engines, the largest first.
fn by_size<'a>(engines: &[&'a Engine]) -> Vec<&'a Engine> {
    let mut by_size = engines.to_vec();
    by_size.sort_by(|a, b| {
        let size = b.card.memory_bytes.total_cmp(&a.card.memory_bytes);
        size.then_with(|| a.id.cmp(&b.id))
    });
    by_size
}

/// Large and small engines by turns, the largest in the middle: a small engine has little
/// memory to take over from a neighbour that is lost, and what a large one leaves behind
/// needs neighbours on both sides.
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
    let mut turns = Vec::with_capacity(engines.len());
    for engine in large {
        turns.push(engine);
        turns.extend(small.next());
    }
    turns
}
