//! Paths over engines that hold a model together, their memory, and the admission of
//! requests.
//!
//! | Module          | Contents                                                        |
//! |-----------------|-----------------------------------------------------------------|
//! | [`admission`]   | the same as [`queue_owner`] when many compete for capacity      |
//! | [`engines`]     | the state of each engine and how much of its memory is reserved |
//! | [`choice`]      | the cheapest path from the first layer to the last              |
//! | [`load_policy`] | which of two policies decides when engines are full            |
//! | [`queue_owner`] | which waiting request starts next, and which is refused at once |
//! | [`queue_entry`] | queue entries and the decisions on them                         |
//! | [`reroutes`]    | the order in which running streams get new paths                |
//! | [`reserve`]     | the memory that starts leave free for reroutes                  |
//! | [`spill`]       | which data centres take starts of others                        |
//! | [`load_policy`] | whether the decisions for scarce capacity are in force          |
//!
//! This crate does no I/O and reads no clock; the caller passes the time in.

pub mod admission;
pub mod choice;
pub mod engines;
pub mod load_policy;
pub mod queue_entry;
pub mod queue_owner;
pub mod reroutes;
pub mod reserve;
pub mod spill;
mod wait_estimator;

pub use crate::engines::Engines;
pub use crate::load_policy::LoadPolicy;
pub use crate::queue_entry::QueueEntry;
pub use crate::queue_entry::QueueEntryId;
pub use crate::queue_owner::QueueOwner;
