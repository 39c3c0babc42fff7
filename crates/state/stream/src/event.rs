//! The events that a stream receives from its driver.

use hemlockwind_core::attempt::Attempt;
use hemlockwind_core::engine::Incarnation;
use hemlockwind_core::engine::StepId;
use hemlockwind_core::engine::StepResult;
use hemlockwind_core::names::BackendServerKey;

use crate::Path;

/// `Event` is one event that a stream handles.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The path that `Action::Choose` requested.
    Path(Path),
    /// There is no path that meets the request of `Action::Choose`.
    NoPath,
    /// An engine answered a step.
    Result(StepResult),
    /// A step got no answer and will get none.
    Failed {
        /// The step.
        id: StepId,
        /// The recorded state of its dispatch.
        attempt: Attempt,
    },
    /// A backend server is leaving and accepts no new work.
    Leaving(BackendServerKey),
    /// The KV cache was moved as requested by `Action::Move`.
    Imported {
        /// The backend server that holds the cache now.
        to: BackendServerKey,
        /// The incarnation of the move.
        incarnation: Incarnation,
    },
    /// The KV cache could not be moved as requested by `Action::Move`.
    ImportFailed {
        /// The backend server that was to receive the cache.
        to: BackendServerKey,
        /// The incarnation of the move.
        incarnation: Incarnation,
    },
    /// The caller cancelled the request.
    Cancel,
    /// The process is about to end.
    Stopping,
    /// Time has passed. Due at `Stream::next_deadline`.
    Tick,
}
