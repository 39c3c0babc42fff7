//! The cheapest path from the first layer to the last.
//!
//! The boundaries of all engines' ranges form a small acyclic graph: from a boundary
//! inside an engine's range, that engine may run the layers up to any later boundary
//! of its range. The shortest path is found by dynamic programming; its cost is the
//! expected time per token, in milliseconds.

use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::names::BackendServerKey;
use hemlockwind_core::names::DataCentreKey;
use hemlockwind_core::names::Rank;
use hemlockwind_core::time::Instant;

use crate::engines::Engine;
use crate::engines::Engines;
use crate::engines::Stage;
use crate::load_policy::LoadPolicy;

/// The cost of passing a token to the next stage, in milliseconds: the delay inside a data
/// centre and half a step of the next engine.
const HOP_MS: f64 = 0.3;
/// The cost of passing a token to another data centre over an idle link, in milliseconds. It
/// is high since links are shared by all requests and soon full: a whole path in another data
/// centre is preferred to one that crosses.
const REMOTE_HOP_MS: f64 = 15.0;
/// The cost per token of a path that begins in another data centre than the caller's, in
/// milliseconds: the traffic of the answer is charged.
const REMOTE_START_MS: f64 = 1.0;
/// The cost of passing a token to the next stage under [`LoadPolicy::Contended`], in
/// milliseconds. A loss affects the streams over the lost engine, which are fewer on shorter
/// paths; see the replay in docs/design/uneven-demand.md.
pub const CONTENDED_HOP_MS: f64 = 2.0;
/// The cost per token of a start in a data centre whose memory is fully reserved, in
/// milliseconds: that of a crossing, so that a whole path in another data centre is preferred.
/// It rises from zero at the load of [`SPILL_LOADS`].
const OVERLOAD_MS: f64 = 15.0;
/// The loads of a data centre from which starts of the ranks 0, 1 and 2 and above are placed
/// elsewhere at a cost: the less urgent ones first.
const SPILL_LOADS: [f64; 3] = [0.9, 0.5, 0.3];
/// The cost per token of adding an engine to the path of a running stream, in milliseconds:
/// the engine has to prefill all tokens so far.
const NEW_ENGINE_MS: f64 = 1.0;
/// The cost per token of running all layers on engines whose memory is fully reserved, in
/// milliseconds; less in proportion where less is reserved. Spreads requests over engines
/// that are equally fast.
const FULLNESS_MS: f64 = 8.0;

/// The part of an engine's memory that may be reserved beyond its usable part, for running
/// streams that have lost an engine. Answers are often shorter than estimated; far beyond its
/// memory an engine preempts requests, which it then has to prefill again and again.
const OVERCOMMIT_PART: f64 = 0.25;

/// The maximum number of stages of a path: the engines' protocol rejects longer ones as
/// malformed.
pub const MAX_STAGES: usize = 32;
/// The maximum number of searches for one path, each with more expensive hops than the one
/// before.
const MAX_SEARCHES: u32 = 4;
/// The factor by which a hop's cost grows with each further search.
const HOP_COST_FACTOR: f64 = 8.0;

/// `Need` lists what a request requires of a path.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need<'a> {
    /// Tokens of its prompt and expected answer together.
    pub tokens: u32,
    /// The caller's data centre: a start in any other one has a cost. `None` adds no cost.
    pub caller_data_centre: Option<DataCentreKey>,
    /// Whether memory on all stages, a slot of the first engine and the links must be free.
    /// Otherwise memory may be overcommitted up to a limit, slots and links without one.
    pub must_fit: bool,
    /// The path that it runs on, when its first stage must stay.
    pub held: Option<&'a [Stage]>,
    /// The only data centre whose engines may be used, if there is one.
    pub within: Option<DataCentreKey>,
    /// Whether the limit that the first engine announced must allow a start now.
    pub within_limit: bool,
    /// Its rank. Under load, less urgent requests leave the caller's data centre first.
    pub rank: Rank,
    /// Tokens that must stay free on each layer, over all engines that hold it.
    pub spare_tokens: f64,
}

impl Need<'_> {
    /// Returns the first stage, when it must stay.
    fn first(&self) -> Option<Stage> {
        self.held?.first().copied()
    }

    /// Returns whether the request has memory on an engine for these layers.
    fn holds(&self, key: BackendServerKey, start: u16, end: u16) -> bool {
        let mut held = self.held.into_iter().flatten();
        held.any(|s| s.engine == key && s.layers.start() <= start && end <= s.layers.end())
    }
}

/// `Step` is the last step of a path to a boundary, on an engine of one data centre.
#[derive(Clone, Copy)]
struct Step {
    /// The cost of the path so far, in milliseconds per token.
    cost: f64,
    /// The indexes of the previous boundary and of the data centre there.
    from: (usize, usize),
    engine: BackendServerKey,
}

/// The cheapest step to each boundary for each data centre that it ends in: a crossing has
/// a cost, so the cheapest step to a boundary need not be part of the cheapest path.
type Table = Vec<Vec<Option<Step>>>;

/// `Usable` is an engine that may be part of the path, with values that the search reads
/// often.
struct Usable<'a> {
    key: BackendServerKey,
    engine: &'a Engine,
    /// The index of its data centre.
    dc: usize,
    /// The cost of a token in one layer, in milliseconds.
    layer_ms: f64,
    /// Memory that the request may reserve, in tokens x layers.
    available: f64,
    /// Whether it may be the first stage.
    can_start: bool,
}

/// `Search` holds the graph for one choice of a path.
struct Search<'a> {
    engines: &'a Engines,
    need: Need<'a>,
    /// The cost of passing a token to the next stage within a data centre, in milliseconds.
    hop_ms: f64,
    usable: Vec<Usable<'a>>,
    data_centres: Vec<DataCentreKey>,
    /// The boundaries: all layers at which a range begins or ends, including the start
    /// and the end of the model, in ascending order.
    bounds: Vec<u16>,
    /// The engines that hold the layer after each boundary, as indexes into `usable`.
    holders: Vec<Vec<usize>>,
}

/// Returns the cheapest path for `need`, or `None` when no path of up to [`MAX_STAGES`]
/// stages was found.
pub fn choose(engines: &Engines, now: Instant, need: Need<'_>) -> Option<Vec<Stage>> {
    let hop_ms = match engines.load_policy {
        LoadPolicy::Standard | LoadPolicy::Admission => HOP_MS,
        LoadPolicy::Contended => CONTENDED_HOP_MS,
    };
    choose_with_hop(engines, now, need, hop_ms)
}

/// Returns the cheapest path as [`choose`] does, if passing a token to the next stage costs
/// `hop_ms` milliseconds.
pub fn choose_with_hop(
    engines: &Engines,
    now: Instant,
    need: Need<'_>,
    hop_ms: f64,
) -> Option<Vec<Stage>> {
    let mut search = Search::new(engines, now, need, hop_ms);
    for _ in 0..MAX_SEARCHES {
        let path = search.run()?;
        if path.len() <= MAX_STAGES {
            return Some(path);
        }
        // More expensive hops lead to paths with fewer stages.
        search.hop_ms *= HOP_COST_FACTOR;
    }
    None
}

impl<'a> Search<'a> {
    fn new(engines: &'a Engines, now: Instant, need: Need<'a>, hop_ms: f64) -> Self {
        let mut search = Self {
            engines,
            need,
            hop_ms,
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
        if engines.load_policy == LoadPolicy::Contended && need.held.is_none() && need.must_fit {
            search.add_load_costs(now);
        }
        if need.spare_tokens > 0.0 {
            search.leave_spare();
        }
        search
    }

    /// Adds the cost of capacity in data centres with high load. Their loads are the memory
    /// that the queue owner itself has reserved: reports of engines are some hundred
    /// milliseconds old, and a choice by them would swing between the data centres.
    fn add_load_costs(&mut self, now: Instant) {
        let layers = f64::from(self.engines.model.layers.max(1));
        let rank = usize::from(self.need.rank.0).min(SPILL_LOADS.len() - 1);
        let begin = SPILL_LOADS[rank];
        for (dc, data_centre) in self.data_centres.iter().enumerate() {
            let load = self.engines.load(now, *data_centre);
            let over = ((load - begin) / (1.0 - begin)).max(0.0);
            let in_data_centre = self.usable.iter_mut().filter(|u| u.dc == dc);
            for usable in in_data_centre {
                usable.layer_ms += over * OVERLOAD_MS / layers;
            }
        }
    }

    /// Makes engines leave [`Need::spare_tokens`] free on each layer, in equal parts.
    fn leave_spare(&mut self) {
        let holders: Vec<usize> = self.holders.iter().map(Vec::len).collect();
        for usable in &mut self.usable {
            let layers = usable.engine.layers;
            let first = self.bounds.partition_point(|b| *b < layers.start());
            let after = self.bounds.partition_point(|b| *b < layers.end());
            let fewest = holders[first..after].iter().min().copied();
            let parts = fewest.unwrap_or(1).max(1) as f64;
            usable.available -= self.need.spare_tokens * f64::from(layers.count()) / parts;
        }
    }

    /// Adds an engine that may be part of the path.
    fn add(&mut self, now: Instant, key: BackendServerKey, engine: &'a Engine) {
        let data_centres = &mut self.data_centres;
        let found = data_centres.iter().position(|d| *d == engine.data_centre);
        let dc = found.unwrap_or_else(|| {
            data_centres.push(engine.data_centre);
            data_centres.len() - 1
        });
        let overcommit = match self.need.must_fit {
            true => 0.0,
            false => engine.capacity * OVERCOMMIT_PART,
        };
        self.usable.push(Usable {
            key,
            engine,
            dc,
            layer_ms: layer_cost(self.engines, now, engine),
            available: engine.free(now) + overcommit,
            can_start: engine.starts_excluded_until <= now
                && (!self.need.within_limit || self.engines.may_start(key, now))
                && (!self.need.must_fit || engine.first_stage_streams < engine.slots),
        });
    }

    /// Sets the boundaries, and the engines that hold the layer after each.
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

    /// Searches once, without a limit on the number of stages.
    fn run(&self) -> Option<Vec<Stage>> {
        let mut table: Table = vec![vec![None; self.data_centres.len()]; self.bounds.len()];
        if let Some(first) = self.need.first() {
            let at = self.bounds.binary_search(&first.layers.end()).ok()?;
            let held = self.usable.iter().find(|u| u.key == first.engine)?;
            table[at][held.dc] = Some(Step {
                cost: 0.0,
                from: (0, held.dc),
                engine: first.engine,
            });
        }
        for at in 0..self.bounds.len() {
            for dc in 0..self.data_centres.len() {
                let Some((cost, from)) = self.cheapest_arrival(&table[at], at, dc) else {
                    continue;
                };
                for i in &self.holders[at] {
                    let usable = &self.usable[*i];
                    if usable.dc == dc {
                        self.extend(&mut table, usable, at, cost, from);
                    }
                }
            }
        }
        trace(&self.bounds, &table).map(merge)
    }

    /// Returns the least cost of a path up to boundary `at` that continues in the data centre
    /// `dc`, with the hop there, and the data centre that it comes from.
    fn cheapest_arrival(
        &self,
        steps: &[Option<Step>],
        at: usize,
        dc: usize,
    ) -> Option<(f64, usize)> {
        if at == 0 && self.need.held.is_none() {
            let is_near = self
                .need
                .caller_data_centre
                .is_none_or(|d| self.data_centres[dc] == d);
            return Some((if is_near { 0.0 } else { REMOTE_START_MS }, dc));
        }
        let candidates = steps.iter().enumerate().filter_map(|(from, step)| {
            let hop = self.hop(from, dc)?;
            Some(((*step)?.cost + hop, from))
        });
        candidates.min_by(|(a, _), (b, _)| a.total_cmp(b))
    }

    /// Returns the cost of passing a token to the next stage, in milliseconds, or `None` when
    /// the link between the data centres is full and must not be overcommitted.
    fn hop(&self, from: usize, to: usize) -> Option<f64> {
        if from == to {
            return Some(self.hop_ms);
        }
        let ends = (self.data_centres[from], self.data_centres[to]);
        let load = self.engines.link_load(ends.0, ends.1);
        let is_full = load >= 1.0 && self.need.must_fit;
        (!is_full).then_some(REMOTE_HOP_MS * (1.0 + load))
    }

    /// Extends the path that reaches boundary `at` at `cost`, coming from the data centre
    /// `from`, by one engine, and records the steps that are cheaper than those in `table`.
    fn extend(&self, table: &mut Table, usable: &Usable<'_>, at: usize, cost: f64, from: usize) {
        let need = self.need;
        if at == 0 && need.held.is_none() && !usable.can_start {
            return;
        }
        // The first stage of a running stream must keep its layers, even when its engine
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
            if !is_held && usable.available < f64::from(need.tokens) * layers {
                break;
            }
            let is_new = need.held.is_some() && !is_held;
            let new = if is_new { NEW_ENGINE_MS } else { 0.0 };
            let cost = cost + new + layers * usable.layer_ms;
            let best = &mut table[to][usable.dc];
            if best.is_none_or(|best| cost < best.cost) {
                *best = Some(Step {
                    cost,
                    from: (at, from),
                    engine: usable.key,
                });
            }
        }
    }
}

/// Returns the cost of a token in one layer of an engine, in milliseconds: the expected time,
/// and [`FULLNESS_MS`] in proportion to the reserved memory.
fn layer_cost(engines: &Engines, now: Instant, engine: &Engine) -> f64 {
    let model = &engines.model;
    let context = (model.mean_prompt_tokens + model.mean_answer_tokens) / 1_000.0;
    let request_ms = model.step_request_ms + model.step_context_ms * context;
    let step = model.step_ms + request_ms * f64::from(engine.streams);
    let prefill = model.mean_prompt_tokens / model.prefill_tokens_per_s * 1_000.0
        / model.mean_answer_tokens.max(1.0);
    let time = step * engine.card.step_factor + prefill * engine.card.prefill_factor;
    let fullness = engine.reserved / engine.capacity.max(1.0);
    (time * engine.slowness(now) + fullness * FULLNESS_MS) / f64::from(model.layers.max(1))
}

/// Returns the stages of the cheapest path to the last boundary.
fn trace(bounds: &[u16], table: &Table) -> Option<Vec<Stage>> {
    let mut at = bounds.len().checked_sub(1)?;
    let ends = table[at].iter().enumerate();
    let ends = ends.filter_map(|(dc, step)| Some((dc, (*step)?.cost)));
    let (mut dc, _) = ends.min_by(|(_, a), (_, b)| a.total_cmp(b))?;
    let mut path = Vec::new();
    while at > 0 {
        let step = table[at][dc]?;
        let layers = LayerRange::new(bounds[step.from.0], bounds[at]).ok()?;
        path.push(Stage {
            engine: step.engine,
            layers,
        });
        (at, dc) = step.from;
    }
    path.reverse();
    Some(path)
}

/// Merges stages on the same engine, as an engine may occur only once in a path. The layers
/// between two of its stages are its own as well, since its range has no gap.
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
