//! The orders for the engines of one group.

use hemlockwind_core::servers::EngineModel;

use crate::Engine;
use crate::Order;
use crate::Urgency;
use crate::copies::Group;
use crate::layout;
use crate::moves;
use crate::moves::Change;
use crate::moves::Round;
use crate::need;
use crate::need::Need;
use crate::shift;

/// The orders for one group of engines, beside the `others` that hold other copies.
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
    let need = Need::new(model, group, others);
    let gaps = need::gaps(&need::rooms(model, &live));
    let mut round = Round::new(model, &need, &live);
    let empty = live.iter().filter(|e| e.is_free && e.layers.is_none());
    let mut empty: Vec<&Engine> = empty.copied().collect();
    for gap in &gaps {
        let Some(at) = fitting(model, &empty, *gap) else {
            break;
        };
        let id = &empty.remove(at).id;
        round.add(Change::Extend, |engine| engine.id == *id);
    }
    let is_whole = need::gaps(&round.rooms).is_empty();
    let may_move = |engine: &Engine| match engine.layers {
        None => !is_whole || !is_replacement(&live, engine),
        Some(_) => urgency != Urgency::Empty,
    };
    // What engines hold stays as long as a gap can be closed without giving it up.
    round.add(Change::Extend, may_move);
    let is_open = !need::gaps(&round.rooms).is_empty();
    if urgency == Urgency::Even || (is_open && round.orders.is_empty()) {
        round.add(Change::Move, may_move);
    }
    if !round.orders.is_empty() || urgency == Urgency::Empty {
        return round.orders;
    }
    // No single engine can help; one gap at a time, as a row may have to wait for another
    // gap to be closed.
    let mut rows = gaps.into_iter().map(|gap| shift::orders(model, &live, gap));
    let row = rows.find(|row| moves::is_worthwhile(model, &live, &need, row));
    row.unwrap_or_default()
}

/// The place of the empty engine for a gap: the smallest that closes it, else the largest.
fn fitting(model: &EngineModel, empty: &[&Engine], (start, end): (u16, u16)) -> Option<usize> {
    let most = |at: &usize| layout::most(model, empty[*at]);
    let closes = (0..empty.len()).filter(|at| most(at) >= end - start);
    closes
        .min_by_key(most)
        .or_else(|| (0..empty.len()).max_by_key(most))
}

/// Whether no live engine of the group holds some layer.
pub fn has_gap(model: &EngineModel, group: &Group<'_>) -> bool {
    !need::gaps(&need::rooms(model, &group.live())).is_empty()
}

/// Whether an empty engine probably stands in for one that leaves soon: in a replacement
/// of the software the new engine comes first. It is kept empty, so that it can take
/// what the other leaves behind at once.
fn is_replacement(live: &[&Engine], engine: &Engine) -> bool {
    let mut others = live.iter().filter(|e| e.layers.is_some());
    let is_like =
        |other: &Engine| other.card == engine.card && other.data_centre == engine.data_centre;
    engine.is_new && others.any(|other| is_like(other))
}
