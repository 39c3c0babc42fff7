//! Steps that engines run, in the terms of the domain.

use bytes::Bytes;
use uuid::Uuid;

use crate::layers::LayerRange;
use crate::names::Rank;

/// `RequestId` names one request for ever; it is a UUIDv7.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub Uuid);

/// `Incarnation` counts the paths that a stream was given, from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u32);

/// `StepId` names one run of one range of layers for one token of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StepId {
    /// The request that the stream answers.
    pub request: RequestId,
    /// The stream's path.
    pub incarnation: Incarnation,
    /// The index of the generated token that this step works for, from 0.
    pub token: u32,
    /// The layers to run.
    pub layers: LayerRange,
}

/// `Input` is what a stage works on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// The prompt and the tokens generated so far: the first stage of a prefill.
    Prompt {
        /// The text of the prompt.
        text: String,
        /// The tokens generated before a stage was replaced.
        generated: Vec<u32>,
    },
    /// The last generated token: the first stage of a decode step.
    Token(u32),
    /// The output of the stage before, opaque to the router.
    Activation(Bytes),
}

/// `Step` is one order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// The step's name; the answer repeats it.
    pub id: StepId,
    /// The rank, for the engine's own priorities.
    pub rank: Rank,
    /// Whether the step fills the KV cache from the start, instead of decoding.
    pub prefill: bool,
    /// What to work on.
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

/// `Output` is what a stage gives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// The input of the next stage.
    Activation(Bytes),
    /// The token, from the last stage.
    Token(Token),
    /// The engine refused the step before it started it, with its reason.
    Refused(Refusal),
}

/// `Refusal` is why an engine did not start a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The engine is leaving and takes no new streams.
    Leaving,
    /// The engine runs as many streams as it can.
    Busy,
    /// The engine holds no KV cache for this stream and position.
    MissingCache,
    /// The engine knows a later incarnation of this stream.
    StaleIncarnation,
    /// The engine does not hold these layers.
    WrongLayers,
}

/// `StepResult` is the answer to one step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepResult {
    /// The name of the step that this answers.
    pub id: StepId,
    /// What came out.
    pub output: Output,
}

/// `LoadReport` is an engine's view of its own load; it lags.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Streams that hold KV cache.
    pub streams: u32,
    /// Streams that the engine takes at most.
    pub limit: u32,
    /// Whether the engine is leaving.
    pub leaving: bool,
}
