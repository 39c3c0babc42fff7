//! The configuration document that operators write and the platform stores.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// `Document` is the complete configuration as operators write it.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// The models that backend servers hold.
    pub models: Vec<Model>,
    /// The pipelines that callers request.
    pub pipelines: Vec<Pipeline>,
    /// The ranks, the most urgent first.
    pub ranks: Vec<Rank>,
    /// The organisations with their shares.
    pub organisations: Vec<Organisation>,
    /// The plain services.
    pub services: Vec<Service>,
    /// The backend servers.
    pub backend_servers: Vec<BackendServer>,
    /// The day of the last applied sheet, `YYYY-MM-DD`.
    pub sheet_day: Option<String>,
}

/// `Model` describes a model, whose layers are spread over engines.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The name.
    pub name: String,
    /// The number of layers.
    pub layers: u16,
}

/// `Pipeline` is a name under which callers use a model.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    /// The name.
    pub name: String,
    /// The model's name.
    pub model: String,
    /// The maximum number of tokens in an answer.
    pub max_tokens: u32,
}

/// `Rank` describes one rank of requests and its targets.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rank {
    /// The name.
    pub name: String,
    /// The target for the first token, in milliseconds.
    pub first_token_ms: u32,
    /// The target between tokens, in milliseconds.
    pub between_tokens_ms: u32,
    /// The default deadline of a whole request, in milliseconds.
    pub deadline_ms: u32,
    /// The share of capacity that it keeps under overload by other ranks, 0 to 1.
    #[serde(default)]
    pub floor: f64,
}

/// `Organisation` describes an organisation, whose API keys identify callers.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The name.
    pub name: String,
    /// The weight in fair queueing.
    pub share: f64,
    /// The default rank of its requests, and the most urgent one that they may ask for.
    pub rank: String,
    /// The data centre that decides about its idempotency keys.
    pub home: String,
    /// SHA-256 of each API key, in hexadecimal.
    #[serde(default)]
    pub api_keys_sha256: Vec<String>,
}

/// `Service` describes a plain service, which runs no model layers.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name.
    pub name: String,
    /// HTTP methods whose calls may be repeated.
    #[serde(default = "idempotent_methods")]
    pub idempotent_methods: Vec<String>,
}

/// Returns the default: the methods that RFC 9110 defines as safe, except TRACE.
fn idempotent_methods() -> Vec<String> {
    ["GET", "HEAD", "OPTIONS"].map(String::from).to_vec()
}

/// `BackendServer` describes an engine or a server of a plain service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// The name.
    pub name: String,
    /// The data centre.
    pub data_centre: String,
    /// The address, `IP:port`.
    pub addr: SocketAddr,
    /// The model of an engine.
    #[serde(default)]
    pub model: Option<String>,
    /// The layers of an engine: the first one and the one after the last.
    #[serde(default)]
    pub layers: Option<(u16, u16)>,
    /// The service of a plain service's server.
    #[serde(default)]
    pub service: Option<String>,
    /// The maximum number of streams or calls in progress.
    pub limit: u32,
    /// Whether it refuses orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}
