//! One instance on the users' platform.
//!
//! It passes opaque requests to backend servers: plain calls to one server, streams
//! over a path of engines. [`requests`] reads a caller's request, [`calls`] and
//! [`streams`] dispatch it, [`homes`] decides where and when it may start, [`follow`]
//! and [`news`] hear of routes, servers and instances, [`orders`] places layers on engines.

pub mod answers;
pub mod calls;
mod cuts;
pub mod directory;
pub mod doubt;
pub mod events;
pub mod follow;
pub mod gateway;
pub mod homes;
pub mod instances;
pub mod known;
pub mod listener;
pub mod news;
pub mod orders;
pub mod peers;
pub mod readiness;
pub mod relay;
pub mod reports;
pub mod requests;
pub mod servers;
pub mod slow;
pub mod start;
pub mod streams;

pub use crate::gateway::Gateway;
pub use crate::start::Running;
pub use crate::start::start;
