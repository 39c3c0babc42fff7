//! What a stream asks its driver to do.

use hemlockwind_core::Error;
use hemlockwind_core::attempt::Ran;
use hemlockwind_core::engine::Incarnation;
use hemlockwind_core::engine::Step;
use hemlockwind_core::engine::Token;
use hemlockwind_core::names::BackendServerKey;
use hemlockwind_core::time::Instant;

use crate::Stage;

/// `Action` is one thing that the driver of a stream must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Choose a path and answer with `Event::Path` or `Event::NoPath`.
    Choose {
        /// Backend servers that the path must not use.
        avoid: Vec<BackendServerKey>,
        /// Stages that the path should use again.
        keep: Vec<Stage>,
    },
    /// Send a step to a backend server.
    Send {
        /// The backend server.
        server: BackendServerKey,
        /// The step.
        step: Step,
        /// When the stream gives the step up.
        deadline: Instant,
    },
    /// Probe this backend server over a new connection: a step's deadline passed.
    Doubt(BackendServerKey),
    /// Export the stream's KV cache and import it elsewhere.
    Move {
        /// The backend server that has the cache.
        from: BackendServerKey,
        /// The backend server that gets the cache.
        to: BackendServerKey,
        /// The incarnation to import it under.
        incarnation: Incarnation,
    },
    /// Pass a token on to the caller.
    Emit(Token),
    /// Cancel the stream at this backend server, to free its KV cache.
    Release(BackendServerKey),
    /// Tell the caller that the stream is over; it gives no further action.
    Finish(Finish),
}

/// `Finish` is how a stream ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The whole answer was emitted.
    Complete {
        /// The number of tokens.
        tokens: u32,
    },
    /// The caller wanted no more.
    Cancelled,
    /// The answer could not be completed.
    Failed(Error, Ran),
}
