//! Stand-ins for the platform, engines, services and callers, with fault injection.
//!
//! Each server runs inside a test ([`platform::start`], [`engine::start`],
//! [`service::start`]) or as a separate process. Paths under `/_standin/` are
//! for tests: `PUT /_standin/faults` replaces all faults of a stand-in (those
//! that the body omits are off), `PUT /_standin/instances` sets the platform's list
//! of instances, and the `GET` paths report the state of a stand-in and the work
//! that it has done. The platform and the engines serve the paths of
//! `hemlockwind_protocol`; the service accepts any other path.

pub mod caller;
pub mod demo;
pub mod engine;
mod lagged;
pub mod load;
pub mod model;
pub mod oracle;
pub mod platform;
pub mod relay;
pub mod sample;
pub mod server;
pub mod service;
