//! What is known of each engine of one model, and what of its memory is taken.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slotmap::SlotMap;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::collections::SeededHashMap;
use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::names::BackendServerKey;
use hemlockwind_core::servers::BackendServer;
use hemlockwind_core::servers::Card;
use hemlockwind_core::servers::EngineModel;
use hemlockwind_core::servers::ServerState;
use hemlockwind_core::time::Instant;

/// The part of an engine's memory that is given out. The rest is for answers that
/// become longer than guessed; beyond it an engine preempts requests.
const USABLE_ROOM: f64 = 0.92;

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
    pub data_centre: Arc<str>,
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
    /// The time of its work as a multiple of what is published.
    pub slowness: f64,
    /// Until when it gets no new work, after failures.
    pub shunned_until: Instant,
}

impl Engine {
    /// Memory that may still be given out, in tokens x layers.
    pub fn free(&self) -> f64 {
        self.room * USABLE_ROOM - self.used
    }

    /// Whether it may be part of a new path.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.is_ready && self.shunned_until <= now
    }
}

/// `Engines` holds the engines of one model.
#[derive(Clone, Debug)]
pub struct Engines {
    /// The model's published figures.
    pub model: Arc<EngineModel>,
    engines: SlotMap<BackendServerKey, Engine>,
    ids: SeededHashMap<Arc<str>, BackendServerKey>,
}

impl Engines {
    /// No engines yet.
    pub fn new(model: Arc<EngineModel>) -> Self {
        Self {
            model,
            engines: SlotMap::with_key(),
            ids: SeededHashMap::default(),
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
            data_centre: Arc::clone(&entry.data_centre),
            layers,
            slots: entry.slots,
            card,
            is_ready,
            room,
            used: 0.0,
            streams: 0,
            first: 0,
            slowness: 1.0,
            shunned_until: Instant::ZERO,
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

    /// Takes an engine's own word on how slow it is.
    pub fn set_slowness(&mut self, id: &str, slowness: f64) {
        if let Some(engine) = self.key(id).and_then(|key| self.engines.get_mut(key)) {
            engine.slowness = slowness.max(0.1);
        }
    }
}
