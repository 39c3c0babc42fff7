//! The state of each engine of one model, and how much of its memory is reserved.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slotmap::SlotMap;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::collections::SeededHashMap;
use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::names::BackendServerKey;
use hemlockwind_core::names::DataCentreKey;
use hemlockwind_core::names::Names;
use hemlockwind_core::servers::BackendServer;
use hemlockwind_core::servers::Card;
use hemlockwind_core::servers::EngineModel;
use hemlockwind_core::servers::ServerState;
use hemlockwind_core::time::Instant;
use hemlockwind_limits::AnnouncedLimit;
use hemlockwind_limits::announced::Rate;

use crate::load_policy::LoadPolicy;

/// The part of an engine's memory that may be reserved for requests. The rest is for answers
/// that become longer than estimated; beyond it an engine preempts requests.
const USABLE_PART: f64 = 0.92;

/// How long a report on memory is used: about as long as a request runs.
const REPORT_LIFETIME: Duration = Duration::from_millis(2_000);
/// Maximum number of limits that are kept for engines without an entry.
const MAX_UNLISTED_LIMITS: usize = 1_024;
/// The typical time that a request runs, in seconds, for the estimate of the load on links.
const TYPICAL_RUN_S: f64 = 4.0;
/// The part of a link's capacity that paths may use. Prompts are sent in bursts, one after
/// the other, so a link that is nearly full delays each token.
const USABLE_LINK_PART: f64 = 0.6;

/// `Stage` names one engine of a path and the layers that it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stage {
    /// The engine.
    pub engine: BackendServerKey,
    /// The layers that it runs.
    pub layers: LayerRange,
}

/// `Engine` holds the state of one engine as used to choose paths.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Its id.
    pub id: Arc<str>,
    /// Its address.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreKey,
    /// The layers that it holds.
    pub layers: LayerRange,
    /// Requests that it accepts at a time as the first stage.
    pub slots: u32,
    /// Its accelerator.
    pub card: Card,
    /// Whether it accepts new requests.
    pub is_ready: bool,
    /// Memory for requests, in tokens x layers.
    pub capacity: f64,
    /// Memory reserved for running requests, in tokens x layers: what they are expected to
    /// need.
    pub reserved: f64,
    /// Running requests whose path contains it.
    pub streams: u32,
    /// Running requests of which it is the first stage.
    pub first_stage_streams: u32,
    /// The time that its work takes, as a multiple of the published time, and until when this
    /// multiple is used.
    slowness: (f64, Instant),
    /// Until when it is excluded from new work, after failures.
    pub excluded_until: Instant,
    /// Until when it may not be the first stage of a path.
    pub starts_excluded_until: Instant,
    /// The memory figures of its last report.
    reported: Option<Reported>,
}

/// `Reported` holds an engine's own report on its memory, which may differ from the local
/// accounting.
#[derive(Clone, Copy, Debug)]
struct Reported {
    /// All its memory for requests, in tokens x layers. It is less than [`Engine::capacity`]
    /// while the engine unloads layers: they take up memory until the last request that uses
    /// them has ended.
    capacity: f64,
    /// Memory in use that the local accounting does not include, in tokens x layers.
    unaccounted: f64,
    /// Until when the report is used.
    until: Instant,
}

impl Engine {
    /// Returns the memory that may still be reserved at `now`, in tokens x layers. Negative
    /// when more than the usable part is reserved or in use.
    pub fn free(&self, now: Instant) -> f64 {
        let reported = self.reported.filter(|r| r.until > now);
        let capacity = reported.map_or(self.capacity, |r| r.capacity.min(self.capacity));
        capacity * USABLE_PART - self.reserved - reported.map_or(0.0, |r| r.unaccounted)
    }

    /// Returns the time that its work takes at `now`, as a multiple of the published time.
    pub fn slowness(&self, now: Instant) -> f64 {
        let (slowness, until) = self.slowness;
        if until > now { slowness } else { 1.0 }
    }

    /// Returns whether it is ready and not excluded. Only [`Engines::is_usable`] also checks
    /// whether it can be reached.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.is_ready && self.excluded_until <= now
    }
}

/// Two data centres, the smaller key first.
type Pair = (DataCentreKey, DataCentreKey);

/// `Engines` holds the engines of one model.
#[derive(Clone, Debug)]
pub struct Engines {
    /// The model's published figures.
    pub model: Arc<EngineModel>,
    /// The policy by which requests are admitted and placed.
    pub load_policy: LoadPolicy,
    engines: SlotMap<BackendServerKey, Engine>,
    ids: SeededHashMap<Arc<str>, BackendServerKey>,
    data_centres: Names<DataCentreKey>,
    /// Data centres that can't be reached from this instance.
    cut_off: Vec<DataCentreKey>,
    /// How often the paths of running requests cross between two data centres.
    crossings: HashMap<Pair, u32>,
    /// The limits that engines announced, by their ids. They outlast the entries, as an engine has
    /// none while it holds no layers.
    limits: SeededHashMap<Arc<str>, AnnouncedLimit>,
}

impl Engines {
    /// Returns an empty set of engines for `model`.
    pub fn new(model: Arc<EngineModel>) -> Self {
        Self {
            model,
            load_policy: LoadPolicy::default(),
            engines: SlotMap::with_key(),
            ids: SeededHashMap::default(),
            data_centres: Names::default(),
            cut_off: Vec::new(),
            crossings: HashMap::default(),
            limits: SeededHashMap::default(),
        }
    }

    /// Sets the data centres whose engines can't be reached from this instance. Names of
    /// data centres without engines are ignored.
    pub fn set_cut_off(&mut self, data_centres: &[Arc<str>]) {
        let keys = data_centres.iter().filter_map(|d| self.data_centres.key(d));
        self.cut_off = keys.collect();
    }

    /// Returns the key of the data centre with this name, if it has had engines.
    pub fn data_centre(&self, name: &str) -> Option<DataCentreKey> {
        self.data_centres.key(name)
    }

    /// Returns whether an engine may be part of a new path and can be reached.
    pub fn is_usable(&self, engine: &Engine, now: Instant) -> bool {
        engine.is_usable(now) && !self.cut_off.contains(&engine.data_centre)
    }

    /// Returns the load of the link between two data centres by running requests; 1.0 is a
    /// full link.
    pub fn link_load(&self, from: DataCentreKey, to: DataCentreKey) -> f64 {
        let running = self.crossings.get(&pair(from, to)).copied();
        f64::from(running.unwrap_or_default()) / self.link_limit()
    }

    /// Returns the load of a data centre: the part of the usable memory of its usable engines
    /// that is reserved. 1.0 if it has no such engine.
    pub fn load(&self, now: Instant, data_centre: DataCentreKey) -> f64 {
        let in_data_centre = self
            .engines
            .values()
            .filter(|e| e.data_centre == data_centre && self.is_usable(e, now));
        let (reserved, usable) = in_data_centre.fold((0.0, 0.0), |(reserved, usable), e| {
            (reserved + e.reserved, usable + e.capacity * USABLE_PART)
        });
        if usable > 0.0 { reserved / usable } else { 1.0 }
    }

    /// Returns the name of a data centre.
    pub fn data_centre_name(&self, key: DataCentreKey) -> Arc<str> {
        self.data_centres.name(key)
    }

    /// Returns how many requests may cross between two data centres at a time.
    fn link_limit(&self) -> f64 {
        let model = &self.model;
        let tokens = model.mean_prompt_tokens + model.mean_answer_tokens;
        let bits = tokens * model.activation_bytes * 8.0;
        (model.link_bits_per_s * TYPICAL_RUN_S * USABLE_LINK_PART / bits.max(1.0)).max(1.0)
    }

    /// Returns how often a path crosses from one data centre to another.
    pub fn crossings(&self, path: &[Stage]) -> usize {
        let data_centre = |stage: &Stage| self.get(stage.engine).map(|e| e.data_centre);
        path.windows(2)
            .filter(|s| data_centre(&s[0]) != data_centre(&s[1]))
            .count()
    }

    /// Adds the crossings of a path to the count for each link, or subtracts them if `up` is
    /// false.
    fn count_crossings(&mut self, path: &[Stage], up: bool) {
        for hop in path.windows(2) {
            let ends = (self.get(hop[0].engine), self.get(hop[1].engine));
            let (Some(from), Some(to)) = ends else {
                continue;
            };
            if from.data_centre == to.data_centre {
                continue;
            }
            let key = pair(from.data_centre, to.data_centre);
            let count = self.crossings.entry(key).or_default();
            *count = if up {
                *count + 1
            } else {
                count.saturating_sub(1)
            };
        }
    }

    /// Updates the engines from the entries for the backend servers of the model's service.
    /// Engines without an entry are removed.
    pub fn update<'a>(&mut self, entries: impl Iterator<Item = &'a BackendServer>) {
        let mut seen: HashMap<BackendServerKey, ()> = HashMap::default();
        for entry in entries {
            if let Some(key) = self.update_one(entry) {
                seen.insert(key, ());
            }
        }
        self.engines.retain(|key, _| seen.contains_key(&key));
        let engines = &self.engines;
        self.ids.retain(|_, key| engines.contains_key(*key));
        if self.limits.len() > self.ids.len() + MAX_UNLISTED_LIMITS {
            let ids = &self.ids;
            self.limits.retain(|id, _| ids.contains_key(id));
        }
    }

    /// Updates or adds one engine. Returns `None` when it holds no layers or its
    /// accelerator is not one of the model's.
    fn update_one(&mut self, entry: &BackendServer) -> Option<BackendServerKey> {
        let card = *self.model.cards.get(entry.card.as_ref()?)?;
        let is_in_model = |l: &LayerRange| l.end() <= self.model.layers;
        let layers = entry.layers.filter(is_in_model)?;
        let capacity = self.model.kv_capacity(card, layers.count());
        let is_ready = entry.state == ServerState::Ready;
        let existing = self.ids.get(&entry.id).copied();
        if let Some(engine) = existing.and_then(|key| self.engines.get_mut(key)) {
            engine.addr = entry.addr;
            engine.layers = layers;
            engine.capacity = capacity;
            engine.is_ready = is_ready;
            return existing;
        }
        let key = self.engines.insert(Engine {
            id: Arc::clone(&entry.id),
            addr: entry.addr,
            data_centre: self.data_centres.intern(&entry.data_centre),
            layers,
            slots: entry.slots,
            card,
            is_ready,
            capacity,
            reserved: 0.0,
            streams: 0,
            first_stage_streams: 0,
            slowness: (1.0, Instant::ZERO),
            excluded_until: Instant::ZERO,
            starts_excluded_until: Instant::ZERO,
            reported: None,
        });
        self.ids.insert(Arc::clone(&entry.id), key);
        Some(key)
    }

    /// Returns the engine with this key.
    pub fn get(&self, key: BackendServerKey) -> Option<&Engine> {
        self.engines.get(key)
    }

    /// Returns the key of the engine with this id.
    pub fn key(&self, id: &str) -> Option<BackendServerKey> {
        self.ids.get(id).copied()
    }

    /// Returns an iterator over all engines.
    pub fn iter(&self) -> impl Iterator<Item = (BackendServerKey, &Engine)> {
        self.engines.iter()
    }

    /// Reserves memory for a request of `tokens` on all stages of a path.
    pub fn reserve(&mut self, path: &[Stage], tokens: u32) {
        self.count_crossings(path, true);
        for (i, stage) in path.iter().enumerate() {
            if let Some(engine) = self.engines.get_mut(stage.engine) {
                engine.reserved += f64::from(tokens) * f64::from(stage.layers.count());
                engine.streams += 1;
                engine.first_stage_streams += u32::from(i == 0);
            }
        }
    }

    /// Releases what [`Engines::reserve`] has reserved.
    pub fn release(&mut self, path: &[Stage], tokens: u32) {
        self.count_crossings(path, false);
        for (i, stage) in path.iter().enumerate() {
            if let Some(engine) = self.engines.get_mut(stage.engine) {
                let memory = f64::from(tokens) * f64::from(stage.layers.count());
                engine.reserved = (engine.reserved - memory).max(0.0);
                engine.streams = engine.streams.saturating_sub(1);
                engine.first_stage_streams =
                    engine.first_stage_streams.saturating_sub(u32::from(i == 0));
            }
        }
    }

    /// Excludes the engine at `addr` from new work for `time`.
    pub fn exclude(&mut self, now: Instant, addr: SocketAddr, time: Duration) {
        for engine in self.engines.values_mut().filter(|e| e.addr == addr) {
            engine.excluded_until = engine.excluded_until.max(now + time);
        }
    }

    /// Excludes the engine at `addr` as the first stage of paths until `until`.
    pub fn exclude_starts(&mut self, addr: SocketAddr, until: Instant) {
        for engine in self.engines.values_mut().filter(|e| e.addr == addr) {
            engine.starts_excluded_until = engine.starts_excluded_until.max(until);
        }
    }

    /// Records the limit that the engine `id` was seen to announce at `observed_at`, or that it
    /// announced none.
    pub fn observe_limit(
        &mut self,
        now: Instant,
        id: &str,
        rate: Option<Rate>,
        observed_at: Instant,
    ) {
        let known = self.limits.get_mut(id);
        match (rate, known) {
            (Some(rate), Some(limit)) => limit.observe(now, rate, observed_at),
            (Some(rate), None) => {
                let limit = AnnouncedLimit::new(now, rate, observed_at);
                self.limits.insert(id.into(), limit);
            }
            (None, Some(limit)) if limit.observed_at() <= observed_at => {
                self.limits.remove(id);
            }
            (None, _) => {}
        }
    }

    /// Returns whether the engine announced a limit.
    pub fn is_limited(&self, key: BackendServerKey) -> bool {
        self.limit(key).is_some()
    }

    /// Returns whether the limit of an engine, if it has one, allows a start now.
    pub fn may_start(&self, key: BackendServerKey, now: Instant) -> bool {
        self.limit(key).is_none_or(|limit| limit.available(now) > 0)
    }

    /// Counts a start against the limit of the first engine of a path.
    pub fn count_start(&mut self, now: Instant, path: &[Stage]) {
        let first = path.first().and_then(|s| self.engines.get(s.engine));
        if let Some(limit) = first.and_then(|e| self.limits.get_mut(&e.id)) {
            limit.try_take(now);
        }
    }

    /// Returns the time until the limits of the engines allow the start of a request behind
    /// `ahead` others; zero if an engine without a limit may start one.
    pub fn limit_wait(&self, now: Instant, ahead: usize) -> Duration {
        if self.limits.is_empty() {
            return Duration::ZERO;
        }
        let (mut available, mut per_second) = (0.0, 0.0);
        let mut next = Duration::ZERO;
        for (key, engine) in self.iter() {
            if engine.layers.start() > 0 || !self.is_usable(engine, now) {
                continue;
            }
            let Some(limit) = self.limit(key) else {
                return Duration::ZERO;
            };
            let wait = limit.wait(now);
            next = if per_second > 0.0 {
                next.min(wait)
            } else {
                wait
            };
            available += limit.available(now) as f64;
            per_second += limit.per_second();
        }
        let missing = ahead as f64 + 1.0 - available;
        if missing <= 0.0 || per_second <= 0.0 {
            return Duration::ZERO;
        }
        next.max(Duration::from_secs_f64(missing / per_second))
    }

    fn limit(&self, key: BackendServerKey) -> Option<&AnnouncedLimit> {
        if self.limits.is_empty() {
            return None;
        }
        self.limits.get(&self.engines.get(key)?.id)
    }

    /// Records the report of the engine at `addr` on its memory, in tokens x layers.
    pub fn record_report(&mut self, now: Instant, addr: SocketAddr, capacity: f64, used: f64) {
        for engine in self.engines.values_mut().filter(|e| e.addr == addr) {
            engine.reported = Some(Reported {
                capacity,
                unaccounted: (used - engine.reserved).max(0.0),
                until: now + REPORT_LIFETIME,
            });
        }
    }

    /// Sets how slow the engine at `addr` is, as a multiple of the published time; used until
    /// `until`.
    pub fn set_slowness(&mut self, addr: SocketAddr, slowness: f64, until: Instant) {
        for engine in self.engines.values_mut().filter(|e| e.addr == addr) {
            engine.slowness = (slowness.max(0.1), until);
        }
    }
}

/// Returns the key of the link between two data centres, the same for both directions.
fn pair(a: DataCentreKey, b: DataCentreKey) -> Pair {
    (a.min(b), a.max(b))
}
