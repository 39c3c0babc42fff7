//! What is known of each engine of one model, and what of its memory is taken.

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

/// The part of an engine's memory that is given out. The rest is for answers that
/// become longer than guessed; beyond it an engine preempts requests.
const USABLE_ROOM: f64 = 0.92;

/// Time that a report on memory is believed: about as long as a request runs.
const REPORT_TIME: Duration = Duration::from_millis(2_000);
/// The usual time that a request runs, in seconds, for the load of links.
const CROSSING_S: f64 = 4.0;
/// The part of a link's capacity that paths may use. Prompts pass in bursts, one after
/// the other, so a link that is nearly full delays each token.
const LINK_USED: f64 = 0.6;

/// `Stage` is one engine of a path and the layers that it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stage {
    /// The engine.
    pub engine: BackendServerKey,
    /// The layers that it runs.
    pub layers: LayerRange,
}

/// `Engine` is one engine.
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
    /// Requests that it takes as the first stage.
    pub slots: u32,
    /// Its accelerator.
    pub card: Card,
    /// Whether it takes new work.
    pub is_ready: bool,
    /// Memory for requests, in tokens x layers.
    pub room: f64,
    /// Memory that running requests are expected to need, in tokens x layers.
    pub used: f64,
    /// Requests that pass through it.
    pub streams: u32,
    /// Requests of which it is the first stage.
    pub first: u32,
    /// The time of its work as a multiple of what is published, and until when that is
    /// believed.
    slowness: (f64, Instant),
    /// Until when it gets no new work, after failures.
    pub shunned_until: Instant,
    /// What its last report said of its memory.
    reported: Option<Reported>,
}

/// `Reported` is an engine's own word on its memory, where it differs from the ledger.
#[derive(Clone, Copy, Debug)]
struct Reported {
    /// All its memory for requests, in tokens x layers: layers that it gives up take
    /// memory until the last request has left them.
    room: f64,
    /// Memory that is taken beside what the ledger knows of.
    unknown: f64,
    /// Until when it is believed.
    until: Instant,
}

impl Engine {
    /// Memory that may still be given out at `now`, in tokens x layers.
    pub fn free(&self, now: Instant) -> f64 {
        let reported = self.reported.filter(|r| r.until > now);
        let room = reported.map_or(self.room, |r| r.room.min(self.room));
        room * USABLE_ROOM - self.used - reported.map_or(0.0, |r| r.unknown)
    }

    /// The time of its work at `now` as a multiple of what is published.
    pub fn slowness(&self, now: Instant) -> f64 {
        let (slowness, until) = self.slowness;
        if until > now { slowness } else { 1.0 }
    }

    /// Whether it may be part of a new path.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.is_ready && self.shunned_until <= now
    }
}

/// Two data centres, in the order of their keys.
type Pair = (DataCentreKey, DataCentreKey);

/// `Engines` holds the engines of one model.
#[derive(Clone, Debug)]
pub struct Engines {
    /// The model's published figures.
    pub model: Arc<EngineModel>,
    engines: SlotMap<BackendServerKey, Engine>,
    ids: SeededHashMap<Arc<str>, BackendServerKey>,
    data_centres: Names<DataCentreKey>,
    /// Data centres that can't be reached from here.
    cut_off: Vec<DataCentreKey>,
    /// How often running requests cross from one data centre to another.
    crossings: HashMap<Pair, u32>,
}

impl Engines {
    /// No engines yet.
    pub fn new(model: Arc<EngineModel>) -> Self {
        Self {
            model,
            engines: SlotMap::with_key(),
            ids: SeededHashMap::default(),
            data_centres: Names::default(),
            cut_off: Vec::new(),
            crossings: HashMap::default(),
        }
    }

    /// Takes the data centres whose engines can't be reached from here.
    pub fn set_cut_off(&mut self, data_centres: &[Arc<str>]) {
        let keys = data_centres.iter().filter_map(|d| self.data_centres.key(d));
        self.cut_off = keys.collect();
    }

    /// The key of the data centre with this name, if engines stand there.
    pub fn data_centre(&self, name: &str) -> Option<DataCentreKey> {
        self.data_centres.key(name)
    }

    /// Whether an engine may be part of a new path.
    pub fn is_usable(&self, engine: &Engine, now: Instant) -> bool {
        engine.is_usable(now) && !self.cut_off.contains(&engine.data_centre)
    }

    /// The part of the link between two data centres that running requests use.
    pub fn link_load(&self, from: DataCentreKey, to: DataCentreKey) -> f64 {
        let running = self.crossings.get(&pair(from, to)).copied();
        f64::from(running.unwrap_or_default()) / self.link_limit()
    }

    /// Requests that may cross between two data centres at a time.
    fn link_limit(&self) -> f64 {
        let model = &self.model;
        let tokens = model.usual_prompt + model.usual_answer;
        let bits = tokens * model.activation_bytes * 8.0;
        (model.pipe_bits_per_s * CROSSING_S * LINK_USED / bits.max(1.0)).max(1.0)
    }

    /// How often a path crosses from one data centre to another.
    pub fn crossings(&self, path: &[Stage]) -> usize {
        let of = |stage: &Stage| self.get(stage.engine).map(|e| e.data_centre);
        path.windows(2).filter(|s| of(&s[0]) != of(&s[1])).count()
    }

    /// Counts the crossings of a path, `up` or down.
    fn cross(&mut self, path: &[Stage], up: bool) {
        for step in path.windows(2) {
            let ends = (self.get(step[0].engine), self.get(step[1].engine));
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

    /// Takes the directory's entries of the model's service. Engines that are not among
    /// them are gone.
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
    }

    /// Takes one entry; `None` when it holds no layers or is of an unknown kind.
    fn update_one(&mut self, entry: &BackendServer) -> Option<BackendServerKey> {
        let card = *self.model.cards.get(entry.card.as_ref()?)?;
        let layers = entry.layers?;
        let room = self.model.room(card, layers.count());
        let is_ready = entry.state == ServerState::Ready;
        let known = self.ids.get(&entry.id).copied();
        if let Some(engine) = known.and_then(|key| self.engines.get_mut(key)) {
            engine.addr = entry.addr;
            engine.layers = layers;
            engine.room = room;
            engine.is_ready = is_ready;
            return known;
        }
        let key = self.engines.insert(Engine {
            id: Arc::clone(&entry.id),
            addr: entry.addr,
            data_centre: self.data_centres.intern(&entry.data_centre),
            layers,
            slots: entry.slots,
            card,
            is_ready,
            room,
            used: 0.0,
            streams: 0,
            first: 0,
            slowness: (1.0, Instant::ZERO),
            shunned_until: Instant::ZERO,
            reported: None,
        });
        self.ids.insert(Arc::clone(&entry.id), key);
        Some(key)
    }

    /// The engine behind `key`.
    pub fn get(&self, key: BackendServerKey) -> Option<&Engine> {
        self.engines.get(key)
    }

    /// The key of the engine with this id.
    pub fn key(&self, id: &str) -> Option<BackendServerKey> {
        self.ids.get(id).copied()
    }

    /// All engines.
    pub fn iter(&self) -> impl Iterator<Item = (BackendServerKey, &Engine)> {
        self.engines.iter()
    }

    /// Takes memory for a request of `tokens` on all stages of a path.
    pub fn take(&mut self, path: &[Stage], tokens: u32) {
        self.cross(path, true);
        for (i, stage) in path.iter().enumerate() {
            if let Some(engine) = self.engines.get_mut(stage.engine) {
                engine.used += f64::from(tokens) * f64::from(stage.layers.count());
                engine.streams += 1;
                engine.first += u32::from(i == 0);
            }
        }
    }

    /// Gives back what [`Engines::take`] took.
    pub fn give_back(&mut self, path: &[Stage], tokens: u32) {
        self.cross(path, false);
        for (i, stage) in path.iter().enumerate() {
            if let Some(engine) = self.engines.get_mut(stage.engine) {
                let tokens = f64::from(tokens) * f64::from(stage.layers.count());
                engine.used = (engine.used - tokens).max(0.0);
                engine.streams = engine.streams.saturating_sub(1);
                engine.first = engine.first.saturating_sub(u32::from(i == 0));
            }
        }
    }

    /// Gives the engine at `addr` no new work for `time`.
    pub fn shun(&mut self, now: Instant, addr: SocketAddr, time: Duration) {
        for engine in self.engines.values_mut().filter(|e| e.addr == addr) {
            engine.shunned_until = engine.shunned_until.max(now + time);
        }
    }

    /// Takes the report of the engine at `addr` on its memory, in tokens x layers.
    pub fn report(&mut self, now: Instant, addr: SocketAddr, room: f64, used: f64) {
        for engine in self.engines.values_mut().filter(|e| e.addr == addr) {
            engine.reported = Some(Reported {
                room,
                unknown: (used - engine.used).max(0.0),
                until: now + REPORT_TIME,
            });
        }
    }

    /// Takes the word of the engine at `addr` on how slow it is, believed until `until`.
    pub fn set_slowness(&mut self, addr: SocketAddr, slowness: f64, until: Instant) {
        for engine in self.engines.values_mut().filter(|e| e.addr == addr) {
            engine.slowness = (slowness.max(0.1), until);
        }
    }
}

fn pair(a: DataCentreKey, b: DataCentreKey) -> Pair {
    (a.min(b), a.max(b))
}
