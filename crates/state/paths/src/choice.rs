//! The cheapest path from the first layer to the last.
//!
//! The boundaries of all engines' ranges form a small acyclic graph: from a boundary
//! inside an engine's range, that engine may run the layers up to any later boundary
//! of its range. Shortest path by dynamic programming, in expected milliseconds for
//! each token.

use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::names::BackendServerKey;
use hemlockwind_core::time::Instant;

use crate::engines::Engine;
use crate::engines::Engines;
use crate::engines::Stage;

/// Time for each token to pass to the next stage, in milliseconds: the delay inside a
/// data centre and half a pass of the next engine.
const HOP_MS: f64 = 0.3;
/// The same to another data centre, with the wait for the shared pipe.
const FAR_HOP_MS: f64 = 3.0;
/// Weight of taken memory, in milliseconds for each token at a full engine over all
/// layers: spreads requests over engines that are equally fast.
const FULLNESS_MS: f64 = 8.0;

/// `Need` is what a request asks of a path.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need<'a> {
    /// Tokens of its prompt and expected answer together.
    pub tokens: u32,
    /// The data centre that the path stays in, or `None` for all.
    pub within: Option<&'a str>,
    /// Whether memory must be free for it on all stages.
    pub must_fit: bool,
}

/// What leads to a boundary.
#[derive(Clone, Copy)]
struct Step {
    cost: f64,
    from: usize,
    engine: BackendServerKey,
}

/// The cheapest path for `need`, `None` when there is none.
pub fn choose(engines: &Engines, now: Instant, need: Need<'_>) -> Option<Vec<Stage>> {
    let last = engines.model.layers;
    let usable: Vec<(BackendServerKey, &Engine)> = engines
        .iter()
        .filter(|(_, e)| e.is_usable(now) && need.within.is_none_or(|d| *e.data_centre == *d))
        .collect();
    let bounds = boundaries(&usable, last);
    let mut best: Vec<Option<Step>> = vec![None; bounds.len()];
    for at in 0..bounds.len() {
        let reached = best[at];
        if at > 0 && reached.is_none() {
            continue;
        }
        let before = reached.and_then(|step| engines.get(step.engine));
        let cost = reached.map_or(0.0, |step| step.cost);
        for &(key, engine) in &usable {
            if reached.is_some_and(|step| step.engine == key) {
                continue;
            }
            extend(
                engines,
                need,
                &bounds,
                &mut best,
                (at, cost),
                before,
                (key, engine),
            );
        }
    }
    let path = trace(&bounds, &best)?;
    Some(merge(path))
}

/// Tries to go on from boundary `at` with one engine.
fn extend(
    engines: &Engines,
    need: Need<'_>,
    bounds: &[u16],
    best: &mut [Option<Step>],
    (at, cost): (usize, f64),
    before: Option<&Engine>,
    (key, engine): (BackendServerKey, &Engine),
) {
    let start = bounds[at];
    if engine.layers.start() > start || engine.layers.end() <= start {
        return;
    }
    if need.must_fit && before.is_none() && engine.first >= engine.slots {
        return;
    }
    let hop = match before {
        None => 0.0,
        Some(before) if before.data_centre == engine.data_centre => HOP_MS,
        Some(_) => FAR_HOP_MS,
    };
    let by_layer = layer_cost(engines, engine);
    for (to, &end) in bounds.iter().enumerate().skip(at + 1) {
        if end > engine.layers.end() {
            break;
        }
        let layers = f64::from(end - start);
        if need.must_fit && engine.free() < f64::from(need.tokens) * layers {
            break;
        }
        let cost = cost + hop + layers * by_layer;
        if best[to].is_none_or(|known| cost < known.cost) {
            best[to] = Some(Step {
                cost,
                from: at,
                engine: key,
            });
        }
    }
}

/// The expected time for each token in one layer of an engine, in milliseconds.
fn layer_cost(engines: &Engines, engine: &Engine) -> f64 {
    let model = &engines.model;
    let context = (model.usual_prompt + model.usual_answer) / 1_000.0;
    let by_request = model.step_request_ms + model.step_context_ms * context;
    let step = model.step_ms + by_request * f64::from(engine.streams);
    let read = model.usual_prompt / model.read_per_s * 1_000.0 / model.usual_answer.max(1.0);
    let time = step * engine.card.step_factor + read * engine.card.read_factor;
    let fullness = engine.used / engine.room.max(1.0);
    (time * engine.slowness + fullness * FULLNESS_MS) / f64::from(model.layers.max(1))
}

/// All layers at which a range begins or ends, with the first and the last one.
fn boundaries(usable: &[(BackendServerKey, &Engine)], last: u16) -> Vec<u16> {
    let mut bounds = vec![0, last];
    for (_, engine) in usable {
        bounds.push(engine.layers.start());
        bounds.push(engine.layers.end());
    }
    bounds.retain(|b| *b <= last);
    bounds.sort_unstable();
    bounds.dedup();
    bounds
}

/// The stages that lead to the last boundary.
fn trace(bounds: &[u16], best: &[Option<Step>]) -> Option<Vec<Stage>> {
    let mut at = bounds.len().checked_sub(1)?;
    let mut path = Vec::new();
    while at > 0 {
        let step = best[at]?;
        let layers = LayerRange::new(bounds[step.from], bounds[at]).ok()?;
        path.push(Stage {
            engine: step.engine,
            layers,
        });
        at = step.from;
    }
    path.reverse();
    (!path.is_empty()).then_some(path)
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
