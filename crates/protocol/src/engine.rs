//! The protocol of the engines: JSON over HTTP.
//!
//! | Method and path     | Body              | Answer            |
//! |---------------------|-------------------|-------------------|
//! | `POST /v1/steps`    | [`StepsRequest`]  | [`StepsAnswer`]   |
//! | `POST /v1/cancel`   | [`StreamRequest`] | 204               |
//! | `POST /v1/kv/export`| [`StreamRequest`] | [`KvCache`]       |
//! | `POST /v1/kv/import`| [`KvImport`]      | 204               |
//! | `GET /v1/load`      |                   | [`Load`]          |
//! | `POST /v1/orders`   | [`Order`]         | 204, 409 when fenced |

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::edges;
use hemlockwind_core::engine;
use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::names::Rank;

/// `StepsRequest` is a batch of steps for one engine.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StepsRequest {
    /// The steps.
    pub steps: Vec<Step>,
}

/// `StepsAnswer` holds the result of each step, in any order.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StepsAnswer {
    /// The results.
    pub results: Vec<StepResult>,
}

/// `StepId` is the wire form of [`engine::StepId`].
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StepId {
    /// The request.
    pub request: Uuid,
    /// The number of the stream's path, from 1.
    pub incarnation: u32,
    /// The index of the generated token, from 0.
    pub token: u32,
    /// The first layer.
    pub start: u16,
    /// The layer after the last.
    pub end: u16,
}

/// `Step` is the wire form of [`engine::Step`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Step {
    /// The id of the step.
    pub id: StepId,
    /// The rank, 0 the most urgent.
    pub rank: u8,
    /// Whether the step fills the KV cache from the start.
    pub prefill: bool,
    /// The input of the step.
    pub input: Input,
}

/// `Input` is the wire form of [`engine::Input`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Input {
    /// The prompt and the tokens generated so far.
    Prompt {
        /// The prompt.
        text: String,
        /// The tokens generated so far.
        generated: Vec<u32>,
    },
    /// The last generated token.
    Token(u32),
    /// The output of the previous stage, in base64.
    Activation(String),
}

/// `StepResult` is the wire form of [`engine::StepResult`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StepResult {
    /// The id of the step.
    pub id: StepId,
    /// The output of the step.
    pub output: Output,
}

/// `Output` is the wire form of [`engine::Output`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Output {
    /// The input of the next stage, in base64.
    Activation(String),
    /// The generated token.
    Token {
        /// Its id.
        id: u32,
        /// Its text.
        text: String,
        /// Whether the model ended the answer with it.
        end: bool,
    },
    /// The engine did not start the step.
    Refused(Refusal),
}

/// `Refusal` is the wire form of [`engine::Refusal`].
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The engine is leaving.
    Leaving,
    /// The engine runs as many streams as it can.
    Busy,
    /// The engine has no KV cache for the stream.
    MissingCache,
    /// The engine has received a later incarnation of the stream.
    StaleIncarnation,
    /// The engine does not hold the layers.
    WrongLayers,
}

/// `StreamRequest` identifies a stream.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StreamRequest {
    /// The request.
    pub request: Uuid,
}

/// `KvCache` is an exported KV cache.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct KvCache {
    /// The number of tokens that it covers.
    pub tokens: u32,
    /// The cache, in base64.
    pub data: String,
}

/// `KvImport` transfers a KV cache to an engine.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct KvImport {
    /// The request.
    pub request: Uuid,
    /// The new incarnation of the stream.
    pub incarnation: u32,
    /// The cache.
    pub cache: KvCache,
}

/// `Load` is the wire form of [`engine::LoadReport`].
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// The number of streams that hold KV cache.
    pub streams: u32,
    /// The maximum number of streams.
    pub limit: u32,
    /// Whether the engine is leaving.
    pub leaving: bool,
}

/// `Order` is the wire form of [`edges::Order`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// The model.
    pub model: String,
    /// The first layer.
    pub start: u16,
    /// The layer after the last.
    pub end: u16,
    /// The fencing token.
    pub fencing: u64,
}

impl From<engine::StepId> for StepId {
    fn from(id: engine::StepId) -> Self {
        Self {
            request: id.request.0,
            incarnation: id.incarnation.0,
            token: id.token,
            start: id.layers.start(),
            end: id.layers.end(),
        }
    }
}

impl TryFrom<StepId> for engine::StepId {
    type Error = Error;

    fn try_from(id: StepId) -> Result<Self> {
        Ok(Self {
            request: engine::RequestId(id.request),
            incarnation: engine::Incarnation(id.incarnation),
            token: id.token,
            layers: LayerRange::new(id.start, id.end)?,
        })
    }
}

impl From<engine::Input> for Input {
    fn from(input: engine::Input) -> Self {
        match input {
            engine::Input::Prompt { text, generated } => Self::Prompt { text, generated },
            engine::Input::Token(id) => Self::Token(id),
            engine::Input::Activation(data) => Self::Activation(STANDARD.encode(data)),
        }
    }
}

impl TryFrom<Input> for engine::Input {
    type Error = Error;

    fn try_from(input: Input) -> Result<Self> {
        Ok(match input {
            Input::Prompt { text, generated } => Self::Prompt { text, generated },
            Input::Token(id) => Self::Token(id),
            Input::Activation(data) => Self::Activation(decode(&data)?),
        })
    }
}

impl From<engine::Step> for Step {
    fn from(step: engine::Step) -> Self {
        Self {
            id: step.id.into(),
            rank: step.rank.0,
            prefill: step.prefill,
            input: step.input.into(),
        }
    }
}

impl TryFrom<Step> for engine::Step {
    type Error = Error;

    fn try_from(step: Step) -> Result<Self> {
        Ok(Self {
            id: step.id.try_into()?,
            rank: Rank(step.rank),
            prefill: step.prefill,
            input: step.input.try_into()?,
        })
    }
}

impl From<engine::Refusal> for Refusal {
    fn from(refusal: engine::Refusal) -> Self {
        match refusal {
            engine::Refusal::Leaving => Self::Leaving,
            engine::Refusal::Busy => Self::Busy,
            engine::Refusal::MissingCache => Self::MissingCache,
            engine::Refusal::StaleIncarnation => Self::StaleIncarnation,
            engine::Refusal::WrongLayers => Self::WrongLayers,
        }
    }
}

impl From<Refusal> for engine::Refusal {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Leaving => Self::Leaving,
            Refusal::Busy => Self::Busy,
            Refusal::MissingCache => Self::MissingCache,
            Refusal::StaleIncarnation => Self::StaleIncarnation,
            Refusal::WrongLayers => Self::WrongLayers,
        }
    }
}

impl From<engine::StepResult> for StepResult {
    fn from(result: engine::StepResult) -> Self {
        let output = match result.output {
            engine::Output::Activation(data) => Output::Activation(STANDARD.encode(data)),
            engine::Output::Token(engine::Token { id, text, end }) => {
                Output::Token { id, text, end }
            }
            engine::Output::Refused(refusal) => Output::Refused(refusal.into()),
        };
        Self {
            id: result.id.into(),
            output,
        }
    }
}

impl TryFrom<StepResult> for engine::StepResult {
    type Error = Error;

    fn try_from(result: StepResult) -> Result<Self> {
        let output = match result.output {
            Output::Activation(data) => engine::Output::Activation(decode(&data)?),
            Output::Token { id, text, end } => {
                engine::Output::Token(engine::Token { id, text, end })
            }
            Output::Refused(refusal) => engine::Output::Refused(refusal.into()),
        };
        Ok(Self {
            id: result.id.try_into()?,
            output,
        })
    }
}

impl From<Load> for engine::LoadReport {
    fn from(load: Load) -> Self {
        Self {
            streams: load.streams,
            limit: load.limit,
            leaving: load.leaving,
        }
    }
}

impl From<edges::KvExport> for KvCache {
    fn from(cache: edges::KvExport) -> Self {
        Self {
            tokens: cache.tokens,
            data: STANDARD.encode(cache.data),
        }
    }
}

impl TryFrom<KvCache> for edges::KvExport {
    type Error = Error;

    fn try_from(cache: KvCache) -> Result<Self> {
        Ok(Self {
            tokens: cache.tokens,
            data: decode(&cache.data)?,
        })
    }
}

impl From<edges::Order> for Order {
    fn from(order: edges::Order) -> Self {
        Self {
            model: order.model,
            start: order.layers.start(),
            end: order.layers.end(),
            fencing: order.fencing,
        }
    }
}

/// Decodes the base64 text of an engine.
fn decode(data: &str) -> Result<Bytes> {
    let data = STANDARD.decode(data);
    data.map(Bytes::from)
        .map_err(|e| Error::backend_answer(e.to_string()))
}
