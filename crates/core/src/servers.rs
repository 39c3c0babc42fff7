//! Backend servers, and the published size and speed of engines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::collections::SeededHashMap;
use crate::layers::LayerRange;

/// `ServerState` is the state of a backend server in the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It accepts requests.
    Ready,
    /// It finishes its running requests, accepts no new ones and then stops.
    Leaving,
}

/// `BackendServer` is one entry for a backend server in the platform's store. It is only a
/// hint: what was observed on sockets is newer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendServer {
    /// The id of this run of the server, which a later run may reuse.
    pub id: Arc<str>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// The address that it listens on.
    pub addr: SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: Arc<str>,
    /// The version of its software.
    pub version: Arc<str>,
    /// The state: ready or leaving.
    pub state: ServerState,
    /// The number of requests that it runs at a time.
    pub slots: u32,
    /// The kind of accelerator, for engines.
    pub card: Option<Arc<str>>,
    /// The layers that it holds, for engines that hold any.
    pub layers: Option<LayerRange>,
    /// The time when it started, in milliseconds since the Unix epoch, which distinguishes
    /// two runs with the same id.
    pub born_ms: u64,
}

/// `Card` describes a kind of accelerator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Card {
    /// Memory for weights and KV cache, in bytes.
    pub memory_bytes: f64,
    /// The time of a step, as a multiple of [`EngineModel::step_ms`].
    pub step_factor: f64,
    /// The time of a prefill, as a multiple of the time at
    /// [`EngineModel::prefill_tokens_per_s`].
    pub prefill_factor: f64,
}

/// `EngineModel` holds the published size and speed of a service's engines. Times
/// are for all layers on a card of factor 1; those of a range of layers are in proportion.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineModel {
    /// The number of layers of the model; 0 if each engine holds the whole model.
    pub layers: u16,
    /// Bytes of one layer's weights.
    pub layer_bytes: f64,
    /// Bytes of KV cache for one token over all layers.
    pub kv_token_bytes: f64,
    /// Bytes transferred between two stages for each token.
    pub activation_bytes: f64,
    /// Bandwidth of the link between two data centres, in bits per second.
    pub link_bits_per_s: f64,
    /// Base time of one step, in milliseconds.
    pub step_ms: f64,
    /// Time added to a step by each request that is decoding, in milliseconds.
    pub step_request_ms: f64,
    /// Time added to a step by each 1,000 tokens of context, in milliseconds.
    pub step_context_ms: f64,
    /// Prompt tokens prefilled per second.
    pub prefill_tokens_per_s: f64,
    /// Time to load the whole model.
    pub load_time: Duration,
    /// The number of loads that can run at the same time at full speed.
    pub loads_at_once: u32,
    /// The mean number of prompt tokens of a request.
    pub mean_prompt_tokens: f64,
    /// The mean number of answer tokens of a request.
    pub mean_answer_tokens: f64,
    /// Kinds of accelerators by name.
    pub cards: SeededHashMap<Arc<str>, Card>,
}

impl EngineModel {
    /// Returns whether several engines together hold the model, each a range of its layers.
    pub const fn is_joint(&self) -> bool {
        self.layers > 0
    }

    /// Returns the KV cache capacity of a `card` that holds `layers` layers, in
    /// tokens × layers.
    pub fn kv_capacity(&self, card: Card, layers: u16) -> f64 {
        let free = card.memory_bytes - f64::from(layers) * self.layer_bytes;
        (free / self.kv_layer_bytes()).max(0.0)
    }

    /// Returns the bytes of KV cache for one token in one layer.
    pub fn kv_layer_bytes(&self) -> f64 {
        self.kv_token_bytes / f64::from(self.layers.max(1))
    }

    /// Returns the maximum number of layers whose weights fit on a `card`.
    pub fn max_layers(&self, card: Card) -> u16 {
        let max = (card.memory_bytes / self.layer_bytes).floor();
        // The cast truncates nothing: the value is a small whole number.
        (max.clamp(0.0, f64::from(self.layers))) as u16
    }
}
