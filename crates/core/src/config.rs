//! The configuration that is in force: pipelines, ranks, organisations, servers.
//!
//! These are the domain's types; the document that operators write is in the
//! protocol crate and converts to [`Config`] or is refused whole.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::collections::HashMap;
use crate::collections::SeededHashMap;
use crate::layers::LayerRange;
use crate::names::BackendServerKey;
use crate::names::DataCentreKey;
use crate::names::ModelKey;
use crate::names::OrganisationKey;
use crate::names::PipelineKey;
use crate::names::Rank;
use crate::names::ServiceKey;

/// `Version` orders configurations; a higher one replaces a lower one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(pub u64);

/// `Config` is one accepted configuration, whole and checked.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// The version under which the platform holds it.
    pub version: Version,
    /// Models by key.
    pub models: HashMap<ModelKey, Model>,
    /// Pipelines by key.
    pub pipelines: HashMap<PipelineKey, Pipeline>,
    /// Pipelines by the name that callers use.
    pub pipeline_names: SeededHashMap<Arc<str>, PipelineKey>,
    /// Ranks, the most urgent first; `Rank(i)` is `ranks[i]`.
    pub ranks: Vec<RankTarget>,
    /// Organisations by key.
    pub organisations: HashMap<OrganisationKey, Organisation>,
    /// Organisations by the SHA-256 of their API keys.
    pub api_keys: HashMap<[u8; 32], OrganisationKey>,
    /// Backend servers by key, engines and services alike.
    pub backend_servers: HashMap<BackendServerKey, BackendServer>,
    /// Plain services by key.
    pub services: HashMap<ServiceKey, Service>,
    /// Plain services by the name that callers use.
    pub service_names: SeededHashMap<Arc<str>, ServiceKey>,
    /// The day of the sheet that set the day's intent, `YYYY-MM-DD`.
    pub sheet_day: Option<String>,
}

/// `Model` is what engines hold ranges of.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// The model's name.
    pub name: Arc<str>,
    /// The number of layers.
    pub layers: u16,
}

/// `Pipeline` is what callers name: a model and how it is served.
#[derive(Clone, Debug, PartialEq)]
pub struct Pipeline {
    /// The name that callers use.
    pub name: Arc<str>,
    /// The model that serves it.
    pub model: ModelKey,
    /// Tokens that an answer may have at most.
    pub max_tokens: u32,
}

/// `RankTarget` is one rank of work with its targets.
#[derive(Clone, Debug, PartialEq)]
pub struct RankTarget {
    /// The rank's name.
    pub name: Arc<str>,
    /// The target for the time to the first token.
    pub first_token: Duration,
    /// The target for the time between tokens.
    pub between_tokens: Duration,
    /// The time that a request of this rank may take in all by default.
    pub deadline: Duration,
    /// The share of capacity that this rank keeps in a flood of others, 0 to 1.
    pub floor: f64,
}

/// `Organisation` is one caller with its share.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// The organisation's name.
    pub name: Arc<str>,
    /// Its weight in fair queueing beside the others.
    pub share: f64,
    /// The rank of its requests that name none, and the most urgent they may name.
    pub rank: Rank,
    /// The data centre that decides about its idempotency keys.
    pub home: DataCentreKey,
}

/// `BackendServer` is one runner before which hemlockwind stands.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendServer {
    /// The server's name.
    pub name: Arc<str>,
    /// The data centre it stands in.
    pub data_centre: DataCentreKey,
    /// Where it listens.
    pub addr: SocketAddr,
    /// What it serves.
    pub role: Role,
    /// Streams or calls in flight that it takes at most.
    pub limit: u32,
    /// Whether it refuses orders with an old fencing token.
    pub fencing: Fencing,
    /// Whether it is leaving by the operator's word.
    pub leaving: bool,
}

/// `Role` is what a backend server serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A range of a model's layers.
    Engine {
        /// The model.
        model: ModelKey,
        /// The layers.
        layers: LayerRange,
    },
    /// A plain service.
    Service {
        /// The service.
        service: ServiceKey,
    },
}

/// `Fencing` tells whether a backend server checks who gives it an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fencing {
    /// It refuses an order with an old fencing token.
    Checked,
    /// It takes any order.
    Ignored,
}

/// `Service` is a plain service beside the engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name that callers use.
    pub name: Arc<str>,
    /// HTTP methods whose calls may be repeated.
    pub idempotent_methods: Vec<String>,
}
