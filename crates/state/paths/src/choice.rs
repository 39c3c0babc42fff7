//! The cheapest path from the first layer to the last.
//!
//! The boundaries of all engines' ranges form a small acyclic graph: from a boundary
//! inside an engine's range, that engine may run the layers up to any later boundary
//! of its range. Shortest path by dynamic programming, in expected milliseconds for
//! each token.

use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::names::BackendServerKey;
use hemlockwind_core::names::DataCentreKey;
use hemlockwind_core::time::Instant;

use crate::engines::Engine;
use crate::engines::Engines;
use crate::engines::Stage;

/// Time for each token to pass to the next stage, in milliseconds: the delay inside a
/// data centre and half a pass of the next engine.
const HOP_MS: f64 = 0.3;
/// The same to another data centre over an idle link. A link is shared by all and soon
/// full, so that a whole path in another data centre goes before one that crosses.
const FAR_HOP_MS: f64 = 15.0;
/// Time for each token that a path may lose by beginning in another data centre than the
/// caller's, in milliseconds: the answer's bytes are charged.
const FAR_START_MS: f64 = 1.0;
/// Time for each token that a running stream may lose by taking a new engine in, which
/// has to read all tokens so far, in milliseconds.
const NEW_ENGINE_MS: f64 = 1.0;
/// Weight of taken memory, in milliseconds for each token at a full engine over all
/// layers: spreads requests over engines that are equally fast.
const FULLNESS_MS: f64 = 8.0;

/// The part of an engine's memory by which running streams that have lost an engine may
/// exceed it. Answers are often shorter than guessed; far beyond it an engine preempts
/// requests, which then are read again and again.
const OVERBOOKED: f64 = 0.25;

/// Stages of one path at most: the engines' protocol refuses longer ones as malformed.
pub const PARTS_LIMIT: usize = 32;
/// Searches for one path, each with dearer hops than the one before.
const SHORTER_TRIES: u32 = 4;
/// How much dearer a hop is in each further search.
const SHORTER_FACTOR: f64 = 8.0;

/// `Need` is what a request asks of a path.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need<'a> {
    /// Tokens of its prompt and expected answer together.
    pub tokens: u32,
    /// The caller's data centre.
    pub near: Option<DataCentreKey>,
    /// Whether memory must be free for it on all stages; else a little more may be taken.
    pub must_fit: bool,
    /// The path that it runs on, when it has to stay with its first stage.
    pub held: Option<&'a [Stage]>,
    /// The only data centre that it may lead through, if there is one.
    pub within: Option<DataCentreKey>,
}

impl Need<'_> {
    fn first(&self) -> Option<Stage> {
        self.held?.first().copied()
    }

    /// Whether the request has memory on an engine for these layers.
    fn holds(&self, key: BackendServerKey, start: u16, end: u16) -> bool {
        let mut held = self.held.into_iter().flatten();
        held.any(|s| s.engine == key && s.layers.start() <= start && end <= s.layers.end())
    }
}

/// What leads to a boundary, on an engine of one data centre.
#[derive(Clone, Copy)]
struct Step {
    cost: f64,
    /// The boundary before, and the place of the data centre there.
    from: (usize, usize),
    engine: BackendServerKey,
}

/// The best step to each boundary for each data centre that it ends in: a crossing costs,
/// so the cheapest step to a boundary need not be part of the cheapest path.
type Table = Vec<Vec<Option<Step>>>;

/// An engine that may be part of the path, with what the search asks of it often.
struct Usable<'a> {
    key: BackendServerKey,
    engine: &'a Engine,
    /// The place of its data centre.
    place: usize,
    /// The expected time for each token in one layer, in milliseconds.
    by_layer: f64,
    /// Memory that the request may take, in tokens x layers.
    room: f64,
    /// Whether a new path may begin at it.
    may_begin: bool,
}

/// One search for the cheapest path.
struct Search<'a> {
    engines: &'a Engines,
    need: Need<'a>,
    /// Time for each token to pass to the next stage, in milliseconds.
    hop_ms: f64,
    usable: Vec<Usable<'a>>,
    data_centres: Vec<DataCentreKey>,
    /// All layers at which a range begins or ends, with the first and the last one.
    bounds: Vec<u16>,
    /// The engines that hold the layer after each boundary, by their place in `usable`.
    holders: Vec<Vec<usize>>,
}

/// The cheapest path for `need`, `None` when there is none within [`PARTS_LIMIT`].
pub fn choose(engines: &Engines, now: Instant, need: Need<'_>) -> Option<Vec<Stage>> {
    let mut search = Search::new(engines, now, need);
    for _ in 0..SHORTER_TRIES {
        let path = search.run()?;
        if path.len() <= PARTS_LIMIT {
            return Some(path);
        }
        // Dearer hops make shorter paths.
        search.hop_ms *= SHORTER_FACTOR;
    }
    None
}

impl<'a> Search<'a> {
    fn new(engines: &'a Engines, now: Instant, need: Need<'a>) -> Self {
        let mut search = Self {
            engines,
            need,
            hop_ms: HOP_MS,
            usable: Vec::new(),
            data_centres: Vec::new(),
            bounds: Vec::new(),
            holders: Vec::new(),
        };
        for (key, engine) in engines.iter() {
            let is_within = need.within.is_none_or(|d| engine.data_centre == d);
            if engines.is_usable(engine, now) && is_within {
                search.add(now, key, engine);
            }
        }
        search.set_bounds();
        search
    }

    fn add(&mut self, now: Instant, key: BackendServerKey, engine: &'a Engine) {
        let places = &mut self.data_centres;
        let known = places.iter().position(|d| *d == engine.data_centre);
        let place = known.unwrap_or_else(|| {
            places.push(engine.data_centre);
            places.len() - 1
        });
        let spare = match self.need.must_fit {
            true => 0.0,
            false => engine.room * OVERBOOKED,
        };
        self.usable.push(Usable {
            key,
            engine,
            place,
            by_layer: layer_cost(self.engines, now, engine),
            room: engine.free(now) + spare,
            may_begin: !self.need.must_fit || engine.first < engine.slots,
        });
    }

    /// Finds the boundaries, and who holds the layer after each.
    fn set_bounds(&mut self) {
        let mut bounds = vec![0, self.engines.model.layers];
        for usable in &self.usable {
            bounds.push(usable.engine.layers.start());
            bounds.push(usable.engine.layers.end());
        }
        bounds.extend(self.need.first().map(|first| first.layers.end()));
        bounds.retain(|b| *b <= self.engines.model.layers);
        bounds.sort_unstable();
        bounds.dedup();
        self.holders = vec![Vec::new(); bounds.len()];
        for (i, usable) in self.usable.iter().enumerate() {
            let layers = usable.engine.layers;
            let first = bounds.partition_point(|b| *b < layers.start());
            let after = bounds.partition_point(|b| *b < layers.end());
            for holders in &mut self.holders[first..after] {
                holders.push(i);
            }
        }
        self.bounds = bounds;
    }

    fn run(&self) -> Option<Vec<Stage>> {
        let mut table: Table = vec![vec![None; self.data_centres.len()]; self.bounds.len()];
        if let Some(first) = self.need.first() {
            let at = self.bounds.binary_search(&first.layers.end()).ok()?;
            let held = self.usable.iter().find(|u| u.key == first.engine)?;
            table[at][held.place] = Some(Step {
                cost: 0.0,
                from: (0, held.place),
                engine: first.engine,
            });
        }
        for at in 0..self.bounds.len() {
            for place in 0..self.data_centres.len() {
                let Some((cost, from)) = self.entry(&table[at], at, place) else {
                    continue;
                };
                for i in &self.holders[at] {
                    let usable = &self.usable[*i];
                    if usable.place == place {
                        self.extend(&mut table, usable, at, cost, from);
                    }
                }
            }
        }
        trace(&self.bounds, &table).map(merge)
    }

    /// The least cost of a token that comes to boundary `at` in the data centre at `place`,
    /// and the place that it comes from.
    fn entry(&self, steps: &[Option<Step>], at: usize, place: usize) -> Option<(f64, usize)> {
        if at == 0 && self.need.held.is_none() {
            let is_near = self.need.near.is_none_or(|d| self.data_centres[place] == d);
            return Some((if is_near { 0.0 } else { FAR_START_MS }, place));
        }
        let ways = steps.iter().enumerate().filter_map(|(from, step)| {
            let hop = self.hop(from, place)?;
            Some(((*step)?.cost + hop, from))
        });
        ways.min_by(|(a, _), (b, _)| a.total_cmp(b))
    }

    /// The time for each token to pass between two data centres, `None` when the link is
    /// full.
    fn hop(&self, from: usize, to: usize) -> Option<f64> {
        if from == to {
            return Some(self.hop_ms);
        }
        let ends = (self.data_centres[from], self.data_centres[to]);
        let load = self.engines.link_load(ends.0, ends.1);
        let is_full = load >= 1.0 && self.need.must_fit;
        (!is_full).then_some(FAR_HOP_MS * (1.0 + load))
    }

    /// Tries to go on with one engine from boundary `at`, reached at `cost` from the data
    /// centre at `from`.
    fn extend(&self, table: &mut Table, usable: &Usable<'_>, at: usize, cost: f64, from: usize) {
        let need = self.need;
        if at == 0 && need.held.is_none() && !usable.may_begin {
            return;
        }
        // The first stage of a running stream must stay as it is, even where its engine
        // holds more by now.
        if need.first().is_some_and(|first| first.engine == usable.key) {
            return;
        }
        let start = self.bounds[at];
        for (to, &end) in self.bounds.iter().enumerate().skip(at + 1) {
            if end > usable.engine.layers.end() {
                break;
            }
            let layers = f64::from(end - start);
            let is_held = need.holds(usable.key, start, end);
            if !is_held && usable.room < f64::from(need.tokens) * layers {
                break;
            }
            let is_new = need.held.is_some() && !is_held;
            let new = if is_new { NEW_ENGINE_MS } else { 0.0 };
            let cost = cost + new + layers * usable.by_layer;
            let best = &mut table[to][usable.place];
            if best.is_none_or(|known| cost < known.cost) {
                *best = Some(Step {
                    cost,
                    from: (at, from),
                    engine: usable.key,
                });
            }
        }
    }
}

/// The expected time for each token in one layer of an engine, in milliseconds.
fn layer_cost(engines: &Engines, now: Instant, engine: &Engine) -> f64 {
    let model = &engines.model;
    let context = (model.usual_prompt + model.usual_answer) / 1_000.0;
    let by_request = model.step_request_ms + model.step_context_ms * context;
    let step = model.step_ms + by_request * f64::from(engine.streams);
    let read = model.usual_prompt / model.read_per_s * 1_000.0 / model.usual_answer.max(1.0);
    let time = step * engine.card.step_factor + read * engine.card.read_factor;
    let fullness = engine.used / engine.room.max(1.0);
    (time * engine.slowness(now) + fullness * FULLNESS_MS) / f64::from(model.layers.max(1))
}

/// The stages of the cheapest way to the last boundary.
fn trace(bounds: &[u16], table: &Table) -> Option<Vec<Stage>> {
    let mut at = bounds.len().checked_sub(1)?;
    let ends = table[at].iter().enumerate();
    let ends = ends.filter_map(|(place, step)| Some((place, (*step)?.cost)));
    let (mut place, _) = ends.min_by(|(_, a), (_, b)| a.total_cmp(b))?;
    let mut path = Vec::new();
    while at > 0 {
        let step = table[at][place]?;
        let layers = LayerRange::new(bounds[step.from.0], bounds[at]).ok()?;
        path.push(Stage {
            engine: step.engine,
            layers,
        });
        (at, place) = step.from;
    }
    path.reverse();
    Some(path)
}

/// An engine must stand in a path once only: what lies between its two parts is its
/// own as well, since its range has no gap.
fn merge(path: Vec<Stage>) -> Vec<Stage> {
    let mut merged: Vec<Stage> = Vec::with_capacity(path.len());
    for stage in path {
        match merged.iter().position(|s| s.engine == stage.engine) {
            Some(first) => {
                merged.truncate(first + 1);
                let start = merged[first].layers.start();
                if let Ok(layers) = LayerRange::new(start, stage.layers.end()) {
                    merged[first].layers = layers;
                }
            }
            None => merged.push(stage),
        }
    }
    merged
}
