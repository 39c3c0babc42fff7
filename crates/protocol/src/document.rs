//! The configuration document that operators write and the platform holds.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// `Document` is the whole configuration in the operators' words.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// The models that backend servers hold.
    pub models: Vec<Model>,
    /// The pipelines that callers name.
    pub pipelines: Vec<Pipeline>,
    /// The ranks, the most urgent first.
    pub ranks: Vec<Rank>,
    /// The organisations with their shares.
    pub organisations: Vec<Organisation>,
    /// The plain services.
    pub services: Vec<Service>,
    /// The backend servers.
    pub backend_servers: Vec<BackendServer>,
    /// The day of the last sheet taken, `YYYY-MM-DD`.
    pub sheet_day: Option<String>,
}

/// `Model` is a model and its number of layers.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The name.
    pub name: String,
    /// The number of layers.
    pub layers: u16,
}

/// `Pipeline` is a name that callers use for a model.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    /// The name.
    pub name: String,
    /// The model's name.
    pub model: String,
    /// Tokens in an answer at most.
    pub max_tokens: u32,
}

/// `Rank` is one rank with its targets.
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
    /// The share of capacity kept in a flood of others, 0 to 1.
    #[serde(default)]
    pub floor: f64,
}

/// `Organisation` is one caller.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The name.
    pub name: String,
    /// The weight beside others.
    pub share: f64,
    /// The rank of requests that name none, and the most urgent they may name.
    pub rank: String,
    /// The data centre that decides about its idempotency keys.
    pub home: String,
    /// SHA-256 of each API key, in hexadecimal.
    #[serde(default)]
    pub api_keys_sha256: Vec<String>,
}

/// `Service` is a plain service.
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

/// The methods that RFC 9110 calls safe.
fn idempotent_methods() -> Vec<String> {
    ["GET", "HEAD", "OPTIONS"].map(String::from).to_vec()
}

/// `BackendServer` is one runner.
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
    /// For an engine, the model that it holds a range of.
    #[serde(default)]
    pub model: Option<String>,
    /// For an engine, the first layer and the layer after the last.
    #[serde(default)]
    pub layers: Option<(u16, u16)>,
    /// For a plain service's runner, the service.
    #[serde(default)]
    pub service: Option<String>,
    /// Streams or calls in flight at most.
    pub limit: u32,
    /// Whether it refuses orders with an old fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}
