//! The orders that help a copy most, one engine after the other.
//!
//! Each round tries all ranges for each engine that may be ordered and takes the one after
//! which least is lacking. Closing a gap, relieving a crowded engine and using a new one
//! are the same step; what it costs to load layers and to give them up is weighed against
//! the gain, so a plan settles.

use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::servers::EngineModel;

use crate::Engine;
use crate::Order;
use crate::layout;
use crate::need;
use crate::need::Need;

/// The cost of a layer that is loaded: it takes time from the weights' store.
const LOADED: f64 = 0.03;
/// The cost of each layer of a gap for each layer that is loaded before it is closed.
const DELAYED: f64 = 0.1;
/// The cost of a layer that is given up: the engine first waits for the last request that
/// passes through it, for several seconds, and only then loads others.
const GIVEN_UP: f64 = 0.5;
/// The least gain of an order.
const WORTHWHILE: f64 = 0.3;
/// Orders of one round: more loads at a time only take turns.
const MOST: usize = 6;

/// `Change` is what an order may do to the layers that an engine holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// All of them stay.
    Extend,
    /// Some or all may be given up.
    Move,
}

/// A range for one engine and what it gains.
struct Move {
    at: usize,
    layers: LayerRange,
    gain: f64,
}

/// `Round` gathers the orders of one round for a copy.
pub struct Round<'a> {
    model: &'a EngineModel,
    need: &'a Need,
    engines: Vec<Engine>,
    /// The room of each layer once the orders are carried out, in tokens.
    pub rooms: Vec<f64>,
    /// The orders so far.
    pub orders: Vec<Order>,
}

impl<'a> Round<'a> {
    /// A round without orders for the engines of `live`.
    pub fn new(model: &'a EngineModel, need: &'a Need, live: &[&Engine]) -> Self {
        Self {
            model,
            need,
            engines: live.iter().map(|e| (*e).clone()).collect(),
            rooms: need::rooms(model, live),
            orders: Vec::new(),
        }
    }

    /// Adds the orders that help most, for engines that `may_move` names.
    pub fn add(&mut self, change: Change, may_move: impl Fn(&Engine) -> bool) {
        while self.orders.len() < MOST {
            let free = self.engines.iter().enumerate();
            let free = free.filter(|(_, e)| e.is_free && may_move(e));
            let moves =
                free.filter_map(|(at, e)| best(self.model, self.need, &self.rooms, change, at, e));
            let best = moves.reduce(|a, b| if b.gain > a.gain { b } else { a });
            let Some(best) = best else { break };
            let engine = &mut self.engines[best.at];
            need::add(self.model, engine, &mut self.rooms, -1.0);
            engine.layers = Some(best.layers);
            engine.is_free = false;
            need::add(self.model, engine, &mut self.rooms, 1.0);
            self.orders.push(Order {
                id: engine.id.clone(),
                layers: best.layers,
            });
        }
    }
}

/// Whether orders that only help together gain enough.
pub fn is_worthwhile(model: &EngineModel, live: &[&Engine], need: &Need, orders: &[Order]) -> bool {
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
    let lack = |live: &[&Engine]| -> f64 {
        let rooms = need::rooms(model, live);
        (0..rooms.len()).map(|l| need.lack(l, rooms[l])).sum()
    };
    !orders.is_empty() && lack(live) - lack(&moved) - spent >= WORTHWHILE
}

/// The range of an engine that gains most, `None` when none is worthwhile.
fn best(
    model: &EngineModel,
    need: &Need,
    rooms: &[f64],
    change: Change,
    at: usize,
    engine: &Engine,
) -> Option<Move> {
    let mut without = rooms.to_vec();
    need::add(model, engine, &mut without, -1.0);
    // What the engine's own range is worth now.
    let held: f64 = (0..rooms.len())
        .map(|l| need.lack(l, without[l]) - need.lack(l, rooms[l]))
        .sum();
    let mut open = vec![0.0; rooms.len() + 1];
    for layer in 0..rooms.len() {
        let is_open = rooms[layer] <= 0.0;
        open[layer + 1] = open[layer] + f64::from(u8::from(is_open));
    }
    let mut best: Option<Move> = None;
    let mut sums = vec![0.0; rooms.len() + 1];
    for count in 1..=layout::most(model, engine) {
        let own = need::own_room(model, engine, count);
        for layer in 0..rooms.len() {
            let helps = need.lack(layer, without[layer]) - need.lack(layer, without[layer] + own);
            sums[layer + 1] = sums[layer] + helps;
        }
        for start in 0..=model.layers.saturating_sub(count) {
            if change == Change::Extend && !keeps(engine, start, count) {
                continue;
            }
            let over = |sums: &[f64]| sums[usize::from(start + count)] - sums[usize::from(start)];
            let gain = over(&sums) - held - cost(engine, start, count, over(&open));
            if gain >= WORTHWHILE && best.as_ref().is_none_or(|b| gain > b.gain) {
                let layers = LayerRange::new(start, start + count).ok()?;
                best = Some(Move { at, layers, gain });
            }
        }
    }
    best.filter(|b| Some(b.layers) != engine.layers)
}

/// Whether an engine keeps all its layers with `count` from `start` on.
fn keeps(engine: &Engine, start: u16, count: u16) -> bool {
    let held = engine.layers;
    held.is_none_or(|l| start <= l.start() && l.end() <= start + count)
}

/// What it costs to bring an engine to `count` layers from `start` on, `open` of which
/// nobody holds.
fn cost(engine: &Engine, start: u16, count: u16, open: f64) -> f64 {
    let load = |loaded: f64| loaded * (LOADED + DELAYED * open);
    let Some(layers) = engine.layers else {
        return load(f64::from(count));
    };
    let common = layers.end().min(start + count);
    let common = common.saturating_sub(layers.start().max(start));
    let loaded = f64::from(count - common);
    let given_up = f64::from(layers.count() - common);
    load(loaded) + GIVEN_UP * given_up
}
