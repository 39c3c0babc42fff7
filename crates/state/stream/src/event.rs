//! What a stream is told.

use hemlockwind_core::attempt::Attempt;
use hemlockwind_core::engine::Incarnation;
use hemlockwind_core::engine::StepId;
use hemlockwind_core::engine::StepResult;
use hemlockwind_core::names::BackendServerKey;

use crate::Path;

/// `Event` is one thing that happened to a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The path that was asked for by `Action::Choose`.
    Path(Path),
    /// There is no path as asked for by `Action::Choose`.
    NoPath,
    /// An engine answered a step.
    Result(StepResult),
    /// A step got no answer and will get none.
    Failed {
        /// The step.
        id: StepId,
        /// What is known of its dispatch.
        attempt: Attempt,
    },
    /// A backend server is leaving; it takes no new work.
    Left(BackendServerKey),
    /// The KV cache was moved as asked for by `Action::Move`.
    Imported {
        /// The backend server that has the cache now.
        to: BackendServerKey,
        /// The incarnation of the move.
        incarnation: Incarnation,
    },
    /// The KV cache could not be moved as asked for by `Action::Move`.
    ImportFailed {
        /// The backend server that was to have the cache.
        to: BackendServerKey,
        /// The incarnation of the move.
        incarnation: Incarnation,
    },
    /// The caller wants no more.
    Cancel,
    /// Time passed; due at `Stream::next_deadline`.
    Tick,
}
