//! One instance of the gateway on the users' platform.
//!
//! It passes opaque requests to backend servers: plain calls to one server, streams over
//! a path of engines. [`requests`] reads a caller's request, [`calls`] and [`streams`]
//! dispatch it, [`queue_owners`] decides where and when a stream may start, [`follow`]
//! and [`updates`] receive routes, servers and instances, [`merge`] puts them in force,
//! [`orders`] assigns layers to engines.

pub mod announcements;
pub mod answers;
pub mod callers;
pub mod calls;
pub mod diagnosis;
pub mod directory;
pub mod engine_ends;
pub mod events;
pub mod follow;
pub mod gateway;
pub mod in_progress;
pub mod instances;
pub mod limits;
pub mod listener;
pub mod merge;
pub mod orders;
mod partitions;
pub mod peers;
pub mod quarantine;
pub mod queue_owners;
pub mod readiness;
pub mod relay;
pub mod reports;
pub mod requests;
pub mod servers;
pub mod slow;
pub mod start;
pub mod store_cache;
pub mod streams;
pub mod updates;

pub use crate::gateway::Gateway;
pub use crate::start::Running;
pub use crate::start::start;
