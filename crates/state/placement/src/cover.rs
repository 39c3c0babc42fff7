//! Orders that close gaps in a copy and use engines that hold nothing.

use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::servers::EngineModel;

use crate::Engine;
use crate::Order;
use crate::Urgency;
use crate::layout;

/// The orders for one group of engines.
pub fn orders(model: &EngineModel, engines: &[&Engine], urgency: Urgency) -> Vec<Order> {
    let live: Vec<&Engine> = engines.iter().filter(|e| e.is_live).copied().collect();
    if live.iter().all(|e| e.layers.is_none()) {
        let free: Vec<&Engine> = live.iter().filter(|e| e.is_free).copied().collect();
        return layout::orders(model, &free);
    }
    let mut room = room(model, &live);
    let mut orders = Vec::new();
    let empty = live.iter().filter(|e| e.is_free && e.layers.is_none());
    for engine in empty {
        if let Some(layers) = thinnest(model, &live, engine, &room) {
            add(model, engine, layers, &mut room);
            orders.push(Order {
                id: engine.id.clone(),
                layers,
            });
        }
    }
    if urgency == Urgency::Repair {
        orders.extend(extend(model, &live, &mut room));
    }
    orders
}

/// Room for requests in each layer, in tokens; 0 where nobody holds it.
fn room(model: &EngineModel, live: &[&Engine]) -> Vec<f64> {
    let mut room = vec![0.0; usize::from(model.layers)];
    for engine in live {
        if let Some(layers) = engine.layers {
            add(model, engine, layers, &mut room);
        }
    }
    room
}

fn add(model: &EngineModel, engine: &Engine, layers: LayerRange, room: &mut [f64]) {
    let tokens = model.room(engine.card, layers.count()) / f64::from(layers.count());
    let range = usize::from(layers.start())..usize::from(layers.end()).min(room.len());
    for layer in &mut room[range] {
        // Even a full engine closes a gap.
        *layer += tokens.max(1.0);
    }
}

/// The range for an empty engine: the gap, else where room is least.
fn thinnest(
    model: &EngineModel,
    live: &[&Engine],
    engine: &Engine,
    room: &[f64],
) -> Option<LayerRange> {
    let most = layout::most(model, engine);
    if let Some((start, end)) = gap(room) {
        return LayerRange::new(start, end.min(start + most)).ok();
    }
    let total: f64 = live.iter().map(|e| e.card.memory_bytes).sum();
    let share = engine.card.memory_bytes / total * f64::from(model.layers);
    let count = (share.round() as u16).clamp(1, most.max(1));
    let last = model.layers.checked_sub(count)?;
    let start = (0..=last).min_by(|a, b| {
        let sum = |s: u16| -> f64 { room[usize::from(s)..usize::from(s + count)].iter().sum() };
        sum(*a).total_cmp(&sum(*b))
    })?;
    LayerRange::new(start, start + count).ok()
}

/// The first layers that nobody holds.
fn gap(room: &[f64]) -> Option<(u16, u16)> {
    let start = room.iter().position(|r| *r <= 0.0)?;
    let len = room[start..].iter().take_while(|r| **r <= 0.0).count();
    let start = u16::try_from(start).ok()?;
    Some((start, start + u16::try_from(len).ok()?))
}

/// Extends the engines beside the gaps over them. Layers that an engine has stay, so
/// nothing that runs is disturbed.
fn extend(model: &EngineModel, live: &[&Engine], room: &mut [f64]) -> Vec<Order> {
    let mut orders: Vec<Order> = Vec::new();
    let mut tried = 0;
    while let Some((start, end)) = gap(room) {
        // Each gap is left whole or closed; a closed one is found no more.
        tried += 1;
        if tried > live.len() {
            break;
        }
        let free = live.iter().filter(|e| e.is_free);
        let before = free
            .clone()
            .filter(|e| e.layers.is_some_and(|l| l.end() == start));
        let after = free.filter(|e| e.layers.is_some_and(|l| l.start() == end));
        let spare = |e: &&&Engine| {
            let held = e.layers.map_or(0, LayerRange::count);
            layout::most(model, e).saturating_sub(held)
        };
        let not_ordered = |e: &&&Engine| !orders.iter().any(|o| o.id == e.id);
        let left = before.filter(not_ordered).max_by_key(spare);
        let right = after.filter(not_ordered).max_by_key(spare);
        let missing = end - start;
        let (spare_left, spare_right) = (
            left.as_ref().map_or(0, spare),
            right.as_ref().map_or(0, spare),
        );
        if spare_left + spare_right == 0 {
            break;
        }
        let by_left = share(missing, spare_left, spare_right);
        let by_right = (missing - by_left).min(spare_right);
        let mut order = |engine: &Engine, layers: Option<LayerRange>| {
            if let Some(layers) = layers {
                add(model, engine, layers, room);
                orders.push(Order {
                    id: engine.id.clone(),
                    layers,
                });
            }
        };
        if let (Some(left), true) = (left, by_left > 0) {
            let held = left.layers.map_or(start, LayerRange::start);
            order(left, LayerRange::new(held, start + by_left).ok());
        }
        if let (Some(right), true) = (right, by_right > 0) {
            let held = right.layers.map_or(end, LayerRange::end);
            order(right, LayerRange::new(end - by_right, held).ok());
        }
    }
    orders
}

/// The part of `missing` layers that the left engine takes.
fn share(missing: u16, left: u16, right: u16) -> u16 {
    let both = u32::from(left) + u32::from(right);
    let fair = u32::from(missing) * u32::from(left) / both.max(1);
    let fair = u16::try_from(fair).unwrap_or(missing).min(left);
    // What the right one can't take falls to the left one.
    fair.max(missing.saturating_sub(right).min(left))
}
