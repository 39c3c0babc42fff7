//! Withholds requests whose prompts contain a part that crashes engines.
//!
//! A request may crash the engine that begins to write its answer. Sent again, it crashes the next
//! one. Other requests share its part or its other parts, so the part at fault is found by what
//! happened to all of them: each crash is recorded for the parts of the requests that had not
//! begun on that engine, and the first event of any answer clears the parts of its request.
//!
//! | Module         | Holds                                                              |
//! |----------------|--------------------------------------------------------------------|
//! | [`key`]        | the keys of parts, services and runs of engines                    |
//! | [`record`]     | what is recorded of one part, and how two records are merged       |
//! | [`quarantine`] | all records of an instance, and which requests it may dispatch     |

pub mod key;
pub mod quarantine;
pub mod record;

pub use crate::key::EngineRun;
pub use crate::key::PartKey;
pub use crate::key::ServiceKey;
pub use crate::quarantine::Admission;
pub use crate::quarantine::Quarantine;
pub use crate::record::Record;
