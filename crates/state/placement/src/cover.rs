//! The orders for the engines of one group: its first layout, the closing of gaps and the
//! rebalancing of memory.

use hemlockwind_core::servers::EngineModel;

use crate::Engine;
use crate::Order;
use crate::Urgency;
use crate::capacity;
use crate::capacity::Target;
use crate::copies::Group;
use crate::layout;
use crate::moves;
use crate::moves::Change;
use crate::moves::Round;
use crate::shift;

/// Returns the orders for one group of engines, given the `others` that hold other copies.
pub fn orders(
    model: &EngineModel,
    group: &Group<'_>,
    others: &[&Group<'_>],
    urgency: Urgency,
) -> Vec<Order> {
    let live = group.live();
    if live.iter().all(|e| e.layers.is_none()) {
        let free: Vec<&Engine> = live.iter().filter(|e| e.is_free).copied().collect();
        return layout::orders(model, &free, group.copies);
    }
    let target = Target::new(model, group, others);
    let gaps = capacity::gaps(&capacity::by_layer(model, &live));
    let mut round = Round::new(model, &target, &live);
    let empty = live.iter().filter(|e| e.is_free && e.layers.is_none());
    let mut empty: Vec<&Engine> = empty.copied().collect();
    for gap in &gaps {
        let Some(at) = best_fit(model, &empty, *gap) else {
            break;
        };
        let id = &empty.remove(at).id;
        round.add(Change::Extend, |engine| engine.id == *id);
    }
    let is_whole = capacity::gaps(&round.capacities).is_empty();
    let may_change = |engine: &Engine| match engine.layers {
        None => !is_whole || !is_replacement(&live, engine),
        Some(_) => urgency != Urgency::Empty,
    };
    // Engines are first only extended: no layer is unloaded as long as that closes a gap.
    round.add(Change::Extend, may_change);
    let has_open_gap = !capacity::gaps(&round.capacities).is_empty();
    if urgency == Urgency::Rebalance || (has_open_gap && round.orders.is_empty()) {
        round.add(Change::Move, may_change);
    }
    if !round.orders.is_empty() || urgency == Urgency::Empty {
        return round.orders;
    }
    // No single order helps. One gap is closed at a time, as a shift of engines may have to
    // wait until another gap is closed.
    let mut candidates = gaps.into_iter().map(|gap| shift::orders(model, &live, gap));
    let series = candidates.find(|series| moves::is_worthwhile(model, &live, &target, series));
    series.unwrap_or_default()
}

/// Returns the index of the empty engine for a gap: the smallest that closes it, otherwise
/// the largest.
fn best_fit(model: &EngineModel, empty: &[&Engine], (start, end): (u16, u16)) -> Option<usize> {
    let max_layers = |at: &usize| layout::max_layers(model, empty[*at]);
    let closes = (0..empty.len()).filter(|at| max_layers(at) >= end - start);
    closes
        .min_by_key(max_layers)
        .or_else(|| (0..empty.len()).max_by_key(max_layers))
}

/// Returns whether there is a layer that no live engine of the group holds.
pub fn has_gap(model: &EngineModel, group: &Group<'_>) -> bool {
    !capacity::gaps(&capacity::by_layer(model, &group.live())).is_empty()
}

/// Returns whether an empty engine probably replaces one that leaves soon: in an update of
/// the software the new engine starts before the old one leaves. It is kept empty, so that
/// it can take over the layers of the old one at once.
fn is_replacement(live: &[&Engine], engine: &Engine) -> bool {
    let mut others = live.iter().filter(|e| e.layers.is_some());
    let is_equivalent =
        |other: &Engine| other.card == engine.card && other.data_centre == engine.data_centre;
    engine.is_new && others.any(|other| is_equivalent(other))
}
