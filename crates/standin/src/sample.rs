//! A small sample deployment for the demo and for tests with real processes.

use std::net::SocketAddr;
use std::ops::Range;

use serde_json::Value;
use serde_json::json;

use hemlockwind_protocol::document::BackendServer;
use hemlockwind_protocol::document::Document;
use hemlockwind_protocol::document::Model;
use hemlockwind_protocol::document::Organisation;
use hemlockwind_protocol::document::Pipeline;
use hemlockwind_protocol::document::Rank;
use hemlockwind_protocol::document::Service;

use crate::oracle;

/// The API key of the sample's organisation.
pub const API_KEY: &str = "lamp-agent-key";
/// The SHA-256 of [`API_KEY`].
const API_KEY_SHA256: &str = "3ff39ba642789d330e0a49e966de491ffe2c0dae2ffad8e8be6b69833ff20e31";
/// The admin token.
pub const ADMIN_TOKEN: &str = "sample-admin-token";
/// The name of the pipeline.
pub const PIPELINE: &str = "assistant";
/// The name of the plain service.
pub const SERVICE: &str = "ledger";
/// The number of layers of the model.
pub const MODEL_LAYERS: u16 = 12;
/// The layers of each stage.
pub const STAGES: [Range<u16>; 3] = [0..4, 4..9, 9..MODEL_LAYERS];
/// The names of the data centres.
pub const DATA_CENTRES: [&str; 2] = ["kariakoo", "mikocheni"];
const MODEL: &str = "swahili";
const PEER_KEY: &str = "sample-peer-key-1";
const MAX_TOKENS: u32 = 4_096;
/// Maximum number of streams or calls in flight on each backend server.
pub const MAX_IN_FLIGHT: u32 = 256;

/// `SampleServer` is a backend server of the sample.
#[derive(Clone, Debug)]
pub struct SampleServer {
    /// Its data centre.
    pub data_centre: &'static str,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// The layers that an engine holds; `None` for the plain service.
    pub layers: Option<Range<u16>>,
}

/// `Instance` is an instance of the sample.
#[derive(Clone, Debug)]
pub struct Instance {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: &'static str,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other instances.
    pub peers: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
}

/// Returns a configuration with these backend servers.
pub fn document(servers: &[SampleServer]) -> Document {
    let rank = |name: &str, floor| Rank {
        name: name.into(),
        first_token_ms: 1_000,
        between_tokens_ms: 200,
        deadline_ms: 60_000,
        floor,
    };
    Document {
        models: vec![Model {
            name: MODEL.into(),
            layers: MODEL_LAYERS,
        }],
        pipelines: vec![Pipeline {
            name: PIPELINE.into(),
            model: MODEL.into(),
            max_tokens: MAX_TOKENS,
        }],
        ranks: vec![rank("urgent", 0.0), rank("normal", 0.1)],
        organisations: vec![Organisation {
            name: "lamps".into(),
            share: 1.0,
            rank: "urgent".into(),
            home: DATA_CENTRES[0].into(),
            api_keys_sha256: vec![API_KEY_SHA256.into()],
        }],
        services: vec![Service {
            name: SERVICE.into(),
            idempotent_methods: vec!["GET".into(), "HEAD".into()],
        }],
        backend_servers: servers.iter().enumerate().map(backend_server).collect(),
        sheet_day: None,
    }
}

fn backend_server((index, server): (usize, &SampleServer)) -> BackendServer {
    let layers = server.layers.clone();
    BackendServer {
        name: format!("runner-{index}"),
        data_centre: server.data_centre.into(),
        addr: server.addr,
        model: layers.is_some().then(|| MODEL.into()),
        service: layers.is_none().then(|| SERVICE.into()),
        layers: layers.map(|range| (range.start, range.end)),
        limit: MAX_IN_FLIGHT,
        checks_fencing: true,
        leaving: false,
    }
}

/// Returns the settings of these instances as JSON, with `limits` as their limits.
pub fn settings(platform: SocketAddr, instances: &[Instance], limits: &Value) -> String {
    let instances = instances.iter().map(|instance| {
        json!({
            "name": instance.name,
            "data_centre": instance.data_centre,
            "callers": instance.callers,
            "peers": instance.peers,
            "admin": instance.admin,
        })
    });
    let settings = json!({
        "platform": platform,
        "peer_key": PEER_KEY,
        "admin_token": ADMIN_TOKEN,
        "limits": limits,
        "instances": instances.collect::<Vec<_>>(),
    });
    settings.to_string()
}

/// Returns a prompt that starts with `topic` and whose answer has at least `tokens` tokens.
pub fn long_prompt(topic: &str, tokens: u32) -> String {
    let prompts = (0u32..).map(|n| format!("{topic} {n}"));
    let is_long =
        |prompt: &String| oracle::answer(MODEL_LAYERS, prompt, tokens).len() == tokens as usize;
    let mut long = prompts.filter(is_long);
    long.next()
        .expect("about one answer in five has 100 tokens")
}
