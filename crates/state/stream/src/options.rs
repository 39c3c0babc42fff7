//! The request of a stream and its bounds.

use std::time::Duration;

use hemlockwind_core::engine::RequestId;
use hemlockwind_core::names::Rank;
use hemlockwind_core::time::Instant;

/// `Options` is one request for a stream of tokens, with its bounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// The request's id.
    pub request: RequestId,
    /// The request's rank, which the engines receive.
    pub rank: Rank,
    /// The prompt.
    pub prompt: String,
    /// The maximum number of tokens of the answer.
    pub max_tokens: u32,
    /// The number of layers of the model.
    pub model_layers: u16,
    /// When the whole answer must be complete.
    pub deadline: Instant,
    /// The maximum time of one decode step at one stage.
    pub step_timeout: Duration,
    /// The maximum time of one prefill step at one stage, and of the move of a KV cache.
    pub prefill_timeout: Duration,
    /// The maximum number of paths over which the stream is prefilled, the first included.
    pub max_prefills: u32,
}
