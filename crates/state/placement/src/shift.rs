//! Closes a gap whose neighbours are full, by shifting a series of engines.
//!
//! The engine beside the gap moves over it as far as its memory allows; the layers that it
//! unloads are a new gap, which the engine behind it closes in the same way, until an engine
//! has enough free memory.

use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::servers::EngineModel;

use crate::Engine;
use crate::Order;
use crate::layout;

/// The side of a gap from which engines move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    /// Engines before the gap move towards higher layers.
    Before,
    /// Engines after the gap move towards lower layers.
    After,
}

/// Returns the shortest series of orders that closes `gap`; it is empty when none does.
pub fn orders(model: &EngineModel, live: &[&Engine], gap: (u16, u16)) -> Vec<Order> {
    let before = shift_from(model, live, gap, Side::Before);
    let after = shift_from(model, live, gap, Side::After);
    match (before, after) {
        (Some(before), Some(after)) if after.len() < before.len() => after,
        (Some(before), _) => before,
        (None, after) => after.unwrap_or_default(),
    }
}

/// Returns the orders that close `gap` by shifting engines from one side.
fn shift_from(
    model: &EngineModel,
    live: &[&Engine],
    gap: (u16, u16),
    side: Side,
) -> Option<Vec<Order>> {
    let mut orders: Vec<Order> = Vec::new();
    let (mut start, mut end) = gap;
    // Each iteration moves another engine.
    for _ in 0..live.len() {
        let (engine, held) = neighbour(live, &orders, (start, end), side)?;
        let max_layers = layout::max_layers(model, engine);
        let moved = match side {
            Side::Before => (held.start().max(end.saturating_sub(max_layers)), end),
            Side::After => (start, held.end().min(start + max_layers)),
        };
        let layers = LayerRange::new(moved.0, moved.1).ok()?;
        orders.push(Order {
            id: engine.id.clone(),
            layers,
        });
        let unloaded = match side {
            Side::Before => (held.start(), layers.start()),
            Side::After => (layers.end(), held.end()),
        };
        match uncovered(live, &orders, unloaded) {
            None => return Some(orders),
            Some(rest) => (start, end) = rest,
        }
    }
    None
}

/// Returns the engine with the most memory of those that may get an order, have none yet and
/// hold layers beside the gap.
fn neighbour<'a>(
    live: &[&'a Engine],
    orders: &[Order],
    (start, end): (u16, u16),
    side: Side,
) -> Option<(&'a Engine, LayerRange)> {
    let moved = |e: &Engine| orders.iter().any(|o| o.id == e.id);
    let held = live.iter().filter(|e| e.is_free && !moved(e));
    let held = held.filter_map(|e| Some((*e, e.layers?)));
    let beside = held.filter(|(_, l)| match side {
        Side::Before => l.start() < start && l.end() >= start,
        Side::After => l.start() <= end && l.end() > end,
    });
    beside.max_by(|(a, _), (b, _)| a.card.memory_bytes.total_cmp(&b.card.memory_bytes))
}

/// Returns the range from the first to the last layer of `unloaded` that no engine holds
/// once the orders are carried out.
fn uncovered(live: &[&Engine], orders: &[Order], unloaded: (u16, u16)) -> Option<(u16, u16)> {
    let is_held = |layer: u16| {
        let holds = |l: LayerRange| l.start() <= layer && layer < l.end();
        let ordered = orders.iter().any(|o| holds(o.layers));
        let stays = live
            .iter()
            .filter(|e| !orders.iter().any(|o| o.id == e.id))
            .filter_map(|e| e.layers)
            .any(holds);
        ordered || stays
    };
    let mut open = (unloaded.0..unloaded.1).filter(|layer| !is_held(*layer));
    let first = open.next()?;
    let last = open.next_back().unwrap_or(first);
    Some((first, last + 1))
}
