//! Backend servers and the engines' published figures.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::collections::SeededHashMap;
use crate::layers::LayerRange;

/// `ServerState` is what the directory says of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It takes requests.
    Ready,
    /// It finishes what it has and leaves.
    Leaving,
}

/// `BackendServer` is one entry of the directory. It is a hint: what was seen on
/// sockets is newer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendServer {
    /// The id of this start of the server.
    pub id: Arc<str>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// The version of its software.
    pub version: Arc<str>,
    /// Ready or leaving.
    pub state: ServerState,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// The kind of accelerator, for engines.
    pub card: Option<Arc<str>>,
    /// The layers that it holds, for engines that hold any.
    pub layers: Option<LayerRange>,
    /// When it started, in milliseconds since the Unix epoch; tells two starts
    /// under one id apart.
    pub born_ms: u64,
}

/// `Card` is a kind of accelerator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Card {
    /// Memory for layers and for requests, in bytes.
    pub memory_bytes: f64,
    /// The time of a step, as a multiple of the model's.
    pub step_factor: f64,
    /// The time of reading a prompt, as a multiple of the model's.
    pub read_factor: f64,
}

/// `EngineModel` holds the published figures of a service's engines. Times hold for
/// all layers and a card of factor 1; a part of the layers takes its share.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineModel {
    /// Layers of the model; 0 when each engine holds the whole model.
    pub layers: u16,
    /// Bytes of one layer's weights.
    pub layer_bytes: f64,
    /// Bytes of KV cache for one token over all layers.
    pub kv_token_bytes: f64,
    /// Bytes that pass between two stages for each token.
    pub activation_bytes: f64,
    /// Bits a second of the path between two data centres.
    pub pipe_bits_per_s: f64,
    /// Time of one step, in milliseconds.
    pub step_ms: f64,
    /// Time of one step for each request that is writing, in milliseconds.
    pub step_request_ms: f64,
    /// Time of one step for each 1,000 tokens of context, in milliseconds.
    pub step_context_ms: f64,
    /// Prompt tokens read in a second.
    pub read_per_s: f64,
    /// Time to load the whole model.
    pub load: Duration,
    /// Loads that run at full speed at the same time.
    pub loads_at_once: u32,
    /// Mean prompt tokens of a request.
    pub usual_prompt: f64,
    /// Mean answer tokens of a request.
    pub usual_answer: f64,
    /// Kinds of accelerators by name.
    pub cards: SeededHashMap<Arc<str>, Card>,
}

impl EngineModel {
    /// Whether several engines join to hold the model.
    pub const fn is_joint(&self) -> bool {
        self.layers > 0
    }

    /// Room for requests on a `card` that holds `layers` layers, in tokens x layers.
    pub fn room(&self, card: Card, layers: u16) -> f64 {
        let free = card.memory_bytes - f64::from(layers) * self.layer_bytes;
        (free / self.kv_layer_bytes()).max(0.0)
    }

    /// Bytes of KV cache for one token in one layer.
    pub fn kv_layer_bytes(&self) -> f64 {
        self.kv_token_bytes / f64::from(self.layers.max(1))
    }

    /// Layers that fit on a `card` at most.
    pub fn most_layers(&self, card: Card) -> u16 {
        let most = (card.memory_bytes / self.layer_bytes).floor();
        // Truncation is intended: the value is a small whole number.
        (most.clamp(0.0, f64::from(self.layers))) as u16
    }
}
