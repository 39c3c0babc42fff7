//! Small fakes of the platform, engines and services, with switches for failure.
//!
//! Each fake runs inside a test ([`platform::start`], [`engine::start`],
//! [`service::start`]) or as a process of its own. Paths under `/_standin/` are
//! for tests: `PUT /_standin/faults` sets all switches of a fake at once (a
//! switch that the body leaves out is off), and `GET` paths tell what the fake
//! really did. The paths of the fakes proper are those of
//! `hemlockwind_protocol`.

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
