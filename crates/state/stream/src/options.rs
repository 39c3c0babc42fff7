//! What a stream is asked to do, and within which bounds.

use std::time::Duration;

use hemlockwind_core::engine::RequestId;
use hemlockwind_core::names::Rank;
use hemlockwind_core::time::Instant;

/// `Options` is one request for a stream of tokens, with its bounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// The request's id.
    pub request: RequestId,
    /// The request's rank, passed on to the engines.
    pub rank: Rank,
    /// The prompt.
    pub prompt: String,
    /// Tokens that the answer may have at most.
    pub max_tokens: u32,
    /// The number of layers of the model.
    pub model_layers: u16,
    /// When the whole answer must be there.
    pub deadline: Instant,
    /// The time that one decode step may take at one stage.
    pub step_timeout: Duration,
    /// The time that one prefill step may take at one stage.
    pub prefill_timeout: Duration,
    /// Paths over which the stream may be prefilled, the first included.
    pub max_incarnations: u32,
}
