//! Tickets, ranks and shares in the queue of a pool.
//!
//! A pool is the backend servers of one model in one data centre. A request stays
//! with its driver, the instance that accepted it; what queues at the pool's
//! [`home`] is a small [`ticket`]. The [`driver`] side keeps the truth: whatever a
//! home forgets, the drivers send again, so a wrong or a second home costs
//! efficiency and never correctness. [`pools`] joins an instance's side of the pools
//! of all data centres and chooses between them. Nothing here does I/O or reads a clock.

mod credit;
pub mod driver;
mod estimate;
mod fair;
pub mod home;
pub mod message;
mod order;
pub mod pools;
pub mod spill;
pub mod ticket;

pub use crate::driver::Driver;
pub use crate::home::Home;
pub use crate::pools::Pools;
pub use crate::spill::Spill;
pub use crate::ticket::Ticket;
