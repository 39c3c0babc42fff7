//! The actions that a stream requests from its driver.

use hemlockwind_core::Error;
use hemlockwind_core::attempt::Ran;
use hemlockwind_core::engine::Incarnation;
use hemlockwind_core::engine::Step;
use hemlockwind_core::engine::Token;
use hemlockwind_core::names::BackendServerKey;
use hemlockwind_core::time::Instant;

use crate::Stage;

/// `Action` is one action that the driver of a stream must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Choose a path and reply with `Event::Path` or `Event::NoPath`.
    Choose {
        /// Backend servers that the path must not use.
        avoid: Vec<BackendServerKey>,
        /// Stages that the path should reuse.
        keep: Vec<Stage>,
    },
    /// Send a step to a backend server.
    Send {
        /// The backend server.
        server: BackendServerKey,
        /// The step.
        step: Step,
        /// When the step times out.
        deadline: Instant,
    },
    /// Probe this backend server over a new connection, since a step timed out.
    Suspect(BackendServerKey),
    /// Export the stream's KV cache and import it elsewhere.
    Move {
        /// The backend server that holds the cache.
        from: BackendServerKey,
        /// The backend server that receives the cache.
        to: BackendServerKey,
        /// The incarnation to import it under.
        incarnation: Incarnation,
    },
    /// Pass a token on to the caller.
    Emit(Token),
    /// Cancel the stream at this backend server, to free its KV cache.
    Release(BackendServerKey),
    /// Report the end of the stream to the caller. No further action follows.
    Finish(Finish),
}

/// `Finish` states how a stream ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The whole answer was emitted.
    Complete {
        /// The number of tokens.
        tokens: u32,
    },
    /// The caller cancelled the request.
    Cancelled,
    /// The answer could not be completed.
    Failed(Error, Ran),
}
