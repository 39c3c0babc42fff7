//! Orders that even out a copy over its engines again.
//!
//! Answers a loss that was closed by extending the engines beside it: these then have
//! little memory left for requests and bound the whole copy. A crowded engine first
//! gives up layers that others hold with more room; else one neighbour takes layers over
//! from it. Each engine takes part in one step at a time, as one that takes layers has less
//! room itself until the other has given them up.

use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::servers::EngineModel;

use crate::Engine;
use crate::Order;
use crate::layout;

/// The part of the even share of memory below which an engine is crowded. Moving layers
/// costs loads, and a little unevenness costs nothing.
const CROWDED: f64 = 0.45;

/// The gain in room that a move of layers between two engines must bring.
const WORTHWHILE: f64 = 1.6;
/// The room of others, as a multiple of an engine's own, with which its layers are spare.
const SPARE: f64 = 1.3;

/// The orders of the next step, none when the copy is even enough. `room` is the room
/// of each layer in tokens.
pub fn orders(model: &EngineModel, live: &[&Engine], room: &[f64]) -> Vec<Order> {
    let held: Vec<(&Engine, LayerRange)> =
        live.iter().filter_map(|e| Some((*e, e.layers?))).collect();
    let limit = CROWDED * even_room(model, &held);
    let mut crowded: Vec<(f64, &Engine, LayerRange)> = held
        .iter()
        .map(|(e, layers)| (own_room(model, e, layers.count()), *e, *layers))
        .filter(|(own, engine, _)| *own < limit && engine.is_free)
        .collect();
    crowded.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.id.cmp(&b.1.id)));
    let mut room = room.to_vec();
    let mut orders = Vec::new();
    for &(own, engine, layers) in &crowded {
        if let Some(kept) = trimmed(layers, own, &room) {
            for layer in range(layers).filter(|l| !range(kept).contains(l)) {
                room[layer] -= own;
            }
            orders.push(order(engine, kept));
        }
    }
    if !orders.is_empty() {
        return orders;
    }
    let mut touched: Vec<&str> = Vec::new();
    for &(own, engine, layers) in &crowded {
        let is_alone = room[range(layers)].iter().any(|r| *r < own + limit / 2.0);
        if !is_alone || touched.contains(&&*engine.id) {
            continue;
        }
        let untouched = held
            .iter()
            .filter(|(e, _)| e.is_free && !touched.contains(&&*e.id));
        let untouched: Vec<(&Engine, LayerRange)> = untouched.copied().collect();
        if let Some((neighbour, layers)) = relieve(model, &untouched, engine, layers) {
            touched.extend([&*engine.id, &*neighbour.id]);
            orders.push(order(neighbour, layers));
        }
    }
    orders
}

fn order(engine: &Engine, layers: LayerRange) -> Order {
    Order {
        id: engine.id.clone(),
        layers,
    }
}

fn range(layers: LayerRange) -> std::ops::Range<usize> {
    usize::from(layers.start())..usize::from(layers.end())
}

/// Tokens that an engine has room for in each of `count` layers.
fn own_room(model: &EngineModel, engine: &Engine, count: u16) -> f64 {
    model.room(engine.card, count) / f64::from(count.max(1))
}

/// The room of each layer if one copy were spread evenly, in tokens.
fn even_room(model: &EngineModel, held: &[(&Engine, LayerRange)]) -> f64 {
    let memory: f64 = held.iter().map(|(e, _)| e.card.memory_bytes).sum();
    let layers = f64::from(model.layers);
    let free = memory - layers * model.layer_bytes;
    (free / (model.kv_layer_bytes() * layers)).max(0.0)
}

/// What a crowded engine keeps when it gives up the layers at its ends of which others
/// have more room than itself; `None` when there are none.
fn trimmed(layers: LayerRange, own: f64, room: &[f64]) -> Option<LayerRange> {
    // Without this engine, others must still have more room than it has now.
    let is_spare = |layer: u16| room[usize::from(layer)] - own > own * SPARE;
    let (mut start, mut end) = (layers.start(), layers.end());
    while start + 1 < end && is_spare(start) {
        start += 1;
    }
    while start + 1 < end && is_spare(end - 1) {
        end -= 1;
    }
    let kept = LayerRange::new(start, end).ok()?;
    (kept != layers).then_some(kept)
}

/// Has the neighbour with most room take over layers, as many as leave both with the
/// same room for each.
fn relieve<'a>(
    model: &EngineModel,
    held: &[(&'a Engine, LayerRange)],
    engine: &Engine,
    layers: LayerRange,
) -> Option<(&'a Engine, LayerRange)> {
    let neighbours = held.iter().filter(|(e, l)| {
        let touches = l.end() == layers.start() || l.start() == layers.end();
        e.id != engine.id && touches
    });
    let (neighbour, theirs) = neighbours.max_by(|(a, la), (b, lb)| {
        let room = |e: &Engine, l: &LayerRange| own_room(model, e, l.count() + 1);
        room(a, la).total_cmp(&room(b, lb))
    })?;
    let memory = |e: &Engine| e.card.memory_bytes;
    let (mine, its) = (f64::from(layers.count()), f64::from(theirs.count()));
    let total = memory(engine) + memory(neighbour);
    let moved = (mine * memory(neighbour) - its * memory(engine)) / total;
    let most = layout::most(model, neighbour).saturating_sub(theirs.count());
    let moved = (moved.round().max(0.0) as u16).min(most);
    if moved == 0 || moved >= layers.count() {
        return None;
    }
    // A move that gains little is undone by the next step.
    let now = own_room(model, engine, layers.count());
    let then = own_room(model, engine, layers.count() - moved);
    let then = then.min(own_room(model, neighbour, theirs.count() + moved));
    if then < now * WORTHWHILE {
        return None;
    }
    let taken = match theirs.end() == layers.start() {
        true => LayerRange::new(theirs.start(), theirs.end() + moved),
        false => LayerRange::new(theirs.start() - moved, theirs.end()),
    };
    Some((neighbour, taken.ok()?))
}
