//! Steps that engines run, and their results.

use bytes::Bytes;
use uuid::Uuid;

use crate::layers::LayerRange;
use crate::names::Rank;

/// `RequestId` is the unique id of one request, a UUIDv7.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub Uuid);

/// `Incarnation` numbers the paths of a stream and the moves of its KV cache together, from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u32);

/// `StepId` identifies one run of one range of layers for one token of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StepId {
    /// The request that the stream answers.
    pub request: RequestId,
    /// The incarnation of the stream's KV cache on the engine.
    pub incarnation: Incarnation,
    /// The index of the token that this step helps to generate, from 0.
    pub token: u32,
    /// The layers to run.
    pub layers: LayerRange,
}

/// `Input` is the input of a stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// The prompt and the tokens generated so far, for the first stage of a prefill.
    Prompt {
        /// The text of the prompt.
        text: String,
        /// The tokens generated on the stream's earlier paths.
        generated: Vec<u32>,
    },
    /// The last generated token, for the first stage of a decode step.
    Token(u32),
    /// The output of the previous stage, opaque to the router.
    Activation(Bytes),
}

/// `Step` instructs an engine to run its layers once for a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// The step's id; the answer repeats it.
    pub id: StepId,
    /// The request's rank, which the engine may use to prioritise steps.
    pub rank: Rank,
    /// Whether the step fills the KV cache from the start instead of decoding.
    pub prefill: bool,
    /// The input to run on.
    pub input: Input,
}

/// `Token` is one generated token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// The token's id in the model's vocabulary.
    pub id: u32,
    /// The token's text.
    pub text: String,
    /// Whether the model ended the answer with this token.
    pub end: bool,
}

/// `Output` is what a stage returns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// The input of the next stage.
    Activation(Bytes),
    /// The generated token, from the last stage.
    Token(Token),
    /// The engine refused the step, for this reason, before it started.
    Refused(Refusal),
}

/// `Refusal` is why an engine did not start a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The engine is leaving and accepts no new streams.
    Leaving,
    /// The engine runs as many streams as it can.
    Busy,
    /// The engine holds no KV cache for this stream and position.
    MissingCache,
    /// The engine has received a later incarnation of this stream.
    StaleIncarnation,
    /// The engine does not hold these layers.
    WrongLayers,
}

/// `StepResult` is the answer to one step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepResult {
    /// The id of the step that this answers.
    pub id: StepId,
    /// The output of the step.
    pub output: Output,
}

/// `LoadReport` is an engine's report of its own load. It may be out of date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// The number of streams that hold KV cache.
    pub streams: u32,
    /// The maximum number of streams that the engine accepts.
    pub limit: u32,
    /// Whether the engine is leaving.
    pub leaving: bool,
}
