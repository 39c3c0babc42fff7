//! How much a copy lacks, as one number for each layer.
//!
//! The number grows with the square of what is missing, so that one crowded layer weighs
//! more than a little less room everywhere: the layer with least room bounds a path.

use hemlockwind_core::servers::EngineModel;

use crate::Engine;
use crate::copies::Group;

/// The weight of a layer that the copy does not hold, beside one that has no room: paths
/// have to cross to another data centre.
const GAP: f64 = 4.0;
/// The weight of a layer that no copy holds: there is no path at all.
const LOST: f64 = 40.0;
/// The weight of what all copies together lack, beside what one copy lacks. Paths may lead
/// through several data centres, but links between them are slow.
const ALL_COPIES: f64 = 2.0;
/// The part of the even share of all groups that is enough for all callers: as much is
/// left when a data centre is lost, and some engines beside.
const ENOUGH: f64 = 0.5;

/// `Need` measures what a group of engines lacks.
pub struct Need {
    /// The room of each layer when the copies are spread evenly, in tokens.
    even: f64,
    /// The room of each layer in all copies that is enough, in tokens.
    enough: f64,
    /// The room of each layer in the other groups, in tokens.
    elsewhere: Vec<f64>,
}

impl Need {
    /// The need of `group`, beside the engines of `others`.
    pub fn new(model: &EngineModel, group: &Group<'_>, others: &[&Group<'_>]) -> Self {
        let even = even_room(model, &group.live(), group.copies);
        let live: Vec<&Engine> = others.iter().flat_map(|g| g.live()).collect();
        // The others may take each other's place, so they count as one group.
        let copies = others.iter().map(|g| g.copies).max();
        let all = even + even_room(model, &live, copies.unwrap_or(1));
        Self {
            even: even.max(1.0),
            enough: (all * ENOUGH).max(1.0),
            elsewhere: rooms(model, &live),
        }
    }

    /// What `layer` lacks with `room` tokens in this group.
    pub fn lack(&self, layer: usize, room: f64) -> f64 {
        let all = room + self.elsewhere[layer];
        lack(room, self.even, GAP) + ALL_COPIES * lack(all, self.enough, LOST)
    }
}

fn lack(room: f64, wanted: f64, gap: f64) -> f64 {
    if room <= 0.0 {
        return 1.0 + gap;
    }
    let missing = (1.0 - room / wanted).max(0.0);
    missing * missing
}

/// The room of each layer if `copies` were spread evenly over these engines, in tokens.
fn even_room(model: &EngineModel, engines: &[&Engine], copies: u16) -> f64 {
    let memory: f64 = engines.iter().map(|e| e.card.memory_bytes).sum();
    let layers = f64::from(model.layers);
    let free = memory - f64::from(copies) * layers * model.layer_bytes;
    (free / (model.kv_layer_bytes() * layers)).max(0.0)
}

/// Tokens that an engine has room for in each of `count` layers. Even a full engine closes
/// a gap.
pub fn own_room(model: &EngineModel, engine: &Engine, count: u16) -> f64 {
    let room = model.room(engine.card, count) / f64::from(count.max(1));
    room.max(1.0)
}

/// Room for requests in each layer, in tokens; 0 where nobody holds it.
pub fn rooms(model: &EngineModel, live: &[&Engine]) -> Vec<f64> {
    let mut rooms = vec![0.0; usize::from(model.layers)];
    for engine in live {
        add(model, engine, &mut rooms, 1.0);
    }
    rooms
}

/// Adds `times` the room of an engine to that of its layers.
pub fn add(model: &EngineModel, engine: &Engine, rooms: &mut [f64], times: f64) {
    let Some(layers) = engine.layers else { return };
    let own = own_room(model, engine, layers.count());
    let end = usize::from(layers.end()).min(rooms.len());
    let start = usize::from(layers.start()).min(end);
    for room in &mut rooms[start..end] {
        *room = (*room + times * own).max(0.0);
        // Sums of tokens leave rests far below one.
        if *room < 0.5 {
            *room = 0.0;
        }
    }
}

/// All ranges of layers that nobody holds.
pub fn gaps(rooms: &[f64]) -> Vec<(u16, u16)> {
    let mut gaps: Vec<(u16, u16)> = Vec::new();
    for (layer, _) in (0..).zip(rooms).filter(|(_, r)| **r <= 0.0) {
        match gaps.last_mut() {
            Some((_, end)) if *end == layer => *end += 1,
            Some(_) | None => gaps.push((layer, layer + 1)),
        }
    }
    gaps
}
