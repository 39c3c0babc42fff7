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

/// An engine that may be part of the path, and the place of its data centre.
type Usable<'a> = (BackendServerKey, &'a Engine, usize);

/// The cheapest path for `need`, `None` when there is none.
pub fn choose(engines: &Engines, now: Instant, need: Need<'_>) -> Option<Vec<Stage>> {
    let last = engines.model.layers;
    let mut data_centres: Vec<DataCentreKey> = Vec::new();
    let mut usable: Vec<Usable<'_>> = Vec::new();
    for (key, engine) in engines.iter() {
        let is_within = need.within.is_none_or(|d| engine.data_centre == d);
        if !engines.is_usable(engine, now) || !is_within {
            continue;
        }
        let known = data_centres.iter().position(|d| *d == engine.data_centre);
        let place = known.unwrap_or_else(|| {
            data_centres.push(engine.data_centre);
            data_centres.len() - 1
        });
        usable.push((key, engine, place));
    }
    let mut bounds = boundaries(&usable, last);
    if let Some(first) = need.first()
        && let Err(at) = bounds.binary_search(&first.layers.end())
    {
        bounds.insert(at, first.layers.end());
    }
    let mut table: Table = vec![vec![None; data_centres.len()]; bounds.len()];
    if let Some(first) = need.first() {
        let at = bounds.binary_search(&first.layers.end()).ok()?;
        let (.., place) = usable.iter().find(|(key, ..)| *key == first.engine)?;
        table[at][*place] = Some(Step {
            cost: 0.0,
            from: (0, *place),
            engine: first.engine,
        });
    }
    for at in 0..bounds.len() {
        let mut reached: Vec<(usize, Option<Step>)> = Vec::new();
        if at == 0 && need.held.is_none() {
            reached.push((usize::MAX, None));
        }
        let steps = table[at].iter().enumerate();
        reached.extend(steps.filter_map(|(place, step)| Some((place, Some((*step)?)))));
        for (place, step) in reached {
            for engine in &usable {
                let hop = hop(engines, need, (place, step), engine, &data_centres);
                let Some(hop) = hop else { continue };
                let from = (at, place, step);
                extend(engines, now, need, &bounds, &mut table, from, hop, engine);
            }
        }
    }
    let path = trace(&bounds, &table)?;
    Some(merge(path))
}

/// The time for each token to pass to an engine, `None` when the link is full.
fn hop(
    engines: &Engines,
    need: Need<'_>,
    (place, step): (usize, Option<Step>),
    &(_, engine, its_place): &Usable<'_>,
    data_centres: &[DataCentreKey],
) -> Option<f64> {
    match step {
        None => {
            let is_near = need.near.is_none_or(|d| engine.data_centre == d);
            Some(if is_near { 0.0 } else { FAR_START_MS })
        }
        Some(_) if place == its_place => Some(HOP_MS),
        Some(_) => {
            let load = engines.link_load(data_centres[place], engine.data_centre);
            let is_full = load >= 1.0 && need.must_fit;
            (!is_full).then_some(FAR_HOP_MS * (1.0 + load))
        }
    }
}

/// Tries to go on with one engine from boundary `at`, reached in the data centre at `place`.
#[expect(clippy::too_many_arguments, reason = "one step of the search")]
fn extend(
    engines: &Engines,
    now: Instant,
    need: Need<'_>,
    bounds: &[u16],
    table: &mut Table,
    (at, place, step): (usize, usize, Option<Step>),
    hop: f64,
    &(key, engine, its_place): &Usable<'_>,
) {
    let start = bounds[at];
    let holds = engine.layers.start() <= start && engine.layers.end() > start;
    if !holds || step.is_some_and(|step| step.engine == key) {
        return;
    }
    if need.must_fit && step.is_none() && engine.first >= engine.slots {
        return;
    }
    let before = step.map_or(0.0, |step| step.cost);
    let by_layer = layer_cost(engines, now, engine);
    let free = engine.free(now);
    let spare = if need.must_fit {
        0.0
    } else {
        engine.room * OVERBOOKED
    };
    for (to, &end) in bounds.iter().enumerate().skip(at + 1) {
        if end > engine.layers.end() {
            break;
        }
        let layers = f64::from(end - start);
        let is_held = need.holds(key, start, end);
        if !is_held && free + spare < f64::from(need.tokens) * layers {
            break;
        }
        let is_new = need.held.is_some() && !is_held;
        let new = if is_new { NEW_ENGINE_MS } else { 0.0 };
        let cost = before + hop + new + layers * by_layer;
        let best = &mut table[to][its_place];
        if best.is_none_or(|known| cost < known.cost) {
            *best = Some(Step {
                cost,
                from: (at, place),
                engine: key,
            });
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

/// All layers at which a range begins or ends, with the first and the last one.
fn boundaries(usable: &[Usable<'_>], last: u16) -> Vec<u16> {
    let mut bounds = vec![0, last];
    for (_, engine, _) in usable {
        bounds.push(engine.layers.start());
        bounds.push(engine.layers.end());
    }
    bounds.retain(|b| *b <= last);
    bounds.sort_unstable();
    bounds.dedup();
    bounds
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
