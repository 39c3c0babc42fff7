//! Queue entries, ranks and shares in the queue of a pool.
//!
//! A pool is the backend servers of one model in one data centre. A request stays with
//! its driver, the instance that accepted it; only a small queue entry ([`queue_entry`])
//! waits at the pool's queue owner ([`queue_owner`]). The [`driver`] side is authoritative:
//! the drivers send again what a queue owner has lost, so a wrong or a second queue owner
//! costs efficiency but not correctness. [`pools`] combines an instance's side of the
//! pools of all data centres and chooses between them. Nothing here does I/O or reads a
//! clock.

mod credit;
pub mod driver;
mod estimate;
mod fair;
pub mod message;
mod order;
pub mod pools;
pub mod queue_entry;
pub mod queue_owner;
pub mod spill;

pub use crate::driver::Driver;
pub use crate::pools::Pools;
pub use crate::queue_entry::QueueEntry;
pub use crate::queue_owner::QueueOwner;
pub use crate::spill::Spill;
