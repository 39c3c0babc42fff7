//! One instance of the daemon: connects the state machines to the network.
//!
//! [`Instance`] holds the shared state; [`start::start`] opens the sockets and starts the
//! tasks. A completion passes through the modules in this order: [`callers`] reads it,
//! [`pool`] admits it, [`driver`] runs its stream over a path of [`fleet`], and [`batcher`]
//! sends its steps to the engines together with those of other streams. A call to a service
//! goes through [`slots`] if it must not be repeated and has an idempotency key.

pub mod admin;
pub mod assignments;
pub mod batcher;
pub mod caller_connections;
pub mod callers;
pub mod configuration;
pub mod driver;
pub mod fleet;
pub mod health;
pub mod in_progress;
pub mod instance;
pub mod listener;
pub mod machine;
pub mod members;
pub mod peers;
pub mod pool;
pub mod problem;
pub mod sheet;
pub mod slots;
pub mod start;
pub mod transmission;
pub mod watch;
pub mod work;

pub use crate::instance::Instance;
pub use crate::start::Running;
pub use crate::start::start;
