//! The configuration in force: pipelines, ranks, organisations and servers.
//!
//! The document that operators write is defined in the protocol crate. It converts to
//! [`Config`] or is refused as a whole. The gateway crate uses [`crate::routes`] instead.

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

/// `Config` is one complete configuration that was checked and accepted.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// The version under which the platform stores it.
    pub version: Version,
    /// Models by key.
    pub models: HashMap<ModelKey, Model>,
    /// Pipelines by key.
    pub pipelines: HashMap<PipelineKey, Pipeline>,
    /// Pipelines by the name that callers use.
    pub pipeline_names: SeededHashMap<Arc<str>, PipelineKey>,
    /// Ranks, the most urgent first; `Rank(i)` stands for `ranks[i]`.
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
    /// The day of the sheet that was applied last, `YYYY-MM-DD`.
    pub sheet_day: Option<String>,
}

/// `Model` is a model, whose layers are spread over engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// The model's name.
    pub name: Arc<str>,
    /// The number of layers.
    pub layers: u16,
}

/// `Pipeline` is a model, and how it is served, under the name that callers use.
#[derive(Clone, Debug, PartialEq)]
pub struct Pipeline {
    /// The name that callers use.
    pub name: Arc<str>,
    /// The model that serves it.
    pub model: ModelKey,
    /// The maximum number of tokens of an answer.
    pub max_tokens: u32,
}

/// `RankTarget` is one rank of requests with its latency targets.
#[derive(Clone, Debug, PartialEq)]
pub struct RankTarget {
    /// The rank's name.
    pub name: Arc<str>,
    /// The target for the time to the first token.
    pub first_token: Duration,
    /// The target for the time between tokens.
    pub between_tokens: Duration,
    /// The default for the total time that a request of this rank may take.
    pub deadline: Duration,
    /// The minimum share of capacity that this rank keeps when requests of other ranks
    /// overload the system, 0 to 1.
    pub floor: f64,
}

/// `Organisation` is one tenant with its share of the capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// The organisation's name.
    pub name: Arc<str>,
    /// Its weight in fair queueing.
    pub share: f64,
    /// The default rank of its requests, and the most urgent that they may ask for.
    pub rank: Rank,
    /// The data centre that decides about its idempotency keys.
    pub home: DataCentreKey,
}

/// `BackendServer` is one server that hemlockwind routes requests to.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendServer {
    /// The server's name.
    pub name: Arc<str>,
    /// The data centre that it runs in.
    pub data_centre: DataCentreKey,
    /// The address that it listens on.
    pub addr: SocketAddr,
    /// What it serves.
    pub role: Role,
    /// The maximum number of streams or calls in flight.
    pub limit: u32,
    /// Whether it refuses orders with an old fencing token.
    pub fencing: Fencing,
    /// Whether an operator has marked it as leaving.
    pub leaving: bool,
}

/// `Role` states what a backend server serves.
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

/// `Fencing` states whether a backend server checks the fencing token of orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fencing {
    /// It refuses an order with an old fencing token.
    Checked,
    /// It accepts any order.
    Ignored,
}

/// `Service` is a plain service, which runs no model layers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name that callers use.
    pub name: Arc<str>,
    /// HTTP methods whose calls may be repeated.
    pub idempotent_methods: Vec<String>,
}
