//! Orders that close gaps in a copy and use engines that hold nothing.

use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::servers::EngineModel;

use crate::Engine;
use crate::Order;
use crate::Urgency;
use crate::balance;
use crate::layout;
use crate::shift;

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
    let mut empty: Vec<&Engine> = empty.copied().collect();
    while let Some(gap) = gap(&room)
        && let Some(at) = fitting(model, &empty, gap)
    {
        let engine = empty.remove(at);
        let Some(layers) = thinnest(model, &live, engine, &room) else {
            break;
        };
        add(model, engine, layers, &mut room);
        orders.push(Order {
            id: engine.id.clone(),
            layers,
        });
    }
    for engine in empty.into_iter().filter(|e| !is_replacement(&live, e)) {
        if let Some(layers) = thinnest(model, &live, engine, &room) {
            add(model, engine, layers, &mut room);
            orders.push(Order {
                id: engine.id.clone(),
                layers,
            });
        }
    }
    if urgency != Urgency::Empty {
        orders.extend(extend(model, &live, &mut room));
        // The neighbours are full. No path leads through this copy, so nothing is lost by
        // moving some of it.
        if orders.is_empty() {
            let rows = gaps(&room).into_iter();
            let mut rows = rows.map(|gap| shift::orders(model, &live, gap));
            // One gap at a time; a row may have to wait for another gap to be closed.
            if let Some(row) = rows.find(|row| !row.is_empty()) {
                return row;
            }
        }
    }
    // One thing at a time: a copy is evened out only when nothing else is to do.
    let is_quiet = orders.is_empty() && gap(&room).is_none();
    if urgency == Urgency::Even && is_quiet {
        return balance::orders(model, &live, &room);
    }
    orders
}

/// The place of the empty engine for a gap: the smallest that closes it, else the largest.
fn fitting(model: &EngineModel, empty: &[&Engine], (start, end): (u16, u16)) -> Option<usize> {
    let most = |at: &usize| layout::most(model, empty[*at]);
    let closes = (0..empty.len()).filter(|at| most(at) >= end - start);
    closes
        .min_by_key(most)
        .or_else(|| (0..empty.len()).max_by_key(most))
}

/// Whether an empty engine probably stands in for one that leaves soon: in a replacement
/// of the software the new engine comes first. It is kept empty, so that it can take
/// what the other leaves behind at once.
fn is_replacement(live: &[&Engine], engine: &Engine) -> bool {
    live.iter().any(|other| {
        other.layers.is_some()
            && other.version != engine.version
            && other.card == engine.card
            && other.data_centre == engine.data_centre
    })
}

/// Whether no live engine of the group holds some layer.
pub fn has_gap(model: &EngineModel, engines: &[&Engine]) -> bool {
    let live: Vec<&Engine> = engines.iter().filter(|e| e.is_live).copied().collect();
    gap(&room(model, &live)).is_some()
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
    let total: f64 = live.iter().map(|e| e.card.memory_bytes).sum();
    let share = engine.card.memory_bytes / total * f64::from(model.layers);
    let count = (share.round() as u16).clamp(1, most.max(1));
    if let Some((start, end)) = gap(room) {
        // At least its share, around the gap.
        let len = (end - start).clamp(count, most.max(count));
        let beside = len.saturating_sub(end - start) / 2;
        let start = start
            .saturating_sub(beside)
            .min(model.layers.checked_sub(len)?);
        return LayerRange::new(start, start + len).ok();
    }
    let last = model.layers.checked_sub(count)?;
    let start = (0..=last).min_by(|a, b| {
        let sum = |s: u16| -> f64 { room[usize::from(s)..usize::from(s + count)].iter().sum() };
        sum(*a).total_cmp(&sum(*b))
    })?;
    LayerRange::new(start, start + count).ok()
}

/// The first layers that nobody holds.
fn gap(room: &[f64]) -> Option<(u16, u16)> {
    gaps(room).first().copied()
}

/// All ranges of layers that nobody holds.
fn gaps(room: &[f64]) -> Vec<(u16, u16)> {
    let mut gaps: Vec<(u16, u16)> = Vec::new();
    for (layer, _) in (0..).zip(room).filter(|(_, r)| **r <= 0.0) {
        match gaps.last_mut() {
            Some((_, end)) if *end == layer => *end += 1,
            Some(_) | None => gaps.push((layer, layer + 1)),
        }
    }
    gaps
}

/// Extends the engines beside the gaps over them. Layers that an engine has stay, so
/// nothing that runs is disturbed.
fn extend(model: &EngineModel, live: &[&Engine], room: &mut [f64]) -> Vec<Order> {
    let mut orders: Vec<Order> = Vec::new();
    for (start, end) in gaps(room) {
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
            continue;
        }
        let by_left = split(model, missing, (left, spare_left), (right, spare_right));
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

/// The part of `missing` layers that the left engine takes: the one that leaves the
/// engine with less room for each of its layers the most.
fn split(
    model: &EngineModel,
    missing: u16,
    (left, spare_left): (Option<&&Engine>, u16),
    (right, spare_right): (Option<&&Engine>, u16),
) -> u16 {
    let room = |engine: Option<&&Engine>, more: u16| {
        let Some(engine) = engine else {
            return f64::INFINITY;
        };
        let count = engine.layers.map_or(0, LayerRange::count) + more;
        model.room(engine.card, count) / f64::from(count.max(1))
    };
    let least = missing.saturating_sub(spare_right).min(spare_left);
    let most = missing.min(spare_left);
    let best = (least..=most).max_by(|a, b| {
        let worse = |x: u16| room(left, x).min(room(right, (missing - x).min(spare_right)));
        worse(*a).total_cmp(&worse(*b))
    });
    best.unwrap_or(least)
}
