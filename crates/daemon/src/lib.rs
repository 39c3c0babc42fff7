//! One instance: it joins decisions to transports.
//!
//! [`Instance`] holds what the parts share; [`start::start`] opens the sockets and
//! starts the tasks. The modules follow a request: [`callers`] reads it,
//! [`driver`] runs its stream over a path of [`fleet`], [`lanes`] batches the
//! steps that go to the same engine.

pub mod admin;
pub mod callers;
pub mod configuration;
pub mod driver;
pub mod duties;
pub mod fleet;
pub mod health;
pub mod instance;
pub mod lanes;
pub mod listener;
pub mod members;
pub mod peers;
pub mod pool;
pub mod problem;
pub mod sheet;
pub mod slots;
pub mod start;
pub mod watch;
pub mod work;

pub use crate::instance::Instance;
pub use crate::start::Running;
pub use crate::start::start;
