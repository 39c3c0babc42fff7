//! HTTP clients of the platform, engines and services, and the system's clocks.
//!
//! [`platform`], [`engine`] and [`service`] send their requests over [`connection`]. [`http1`] is a
//! separate client, which reuses a connection only as long as its server announced and rejects
//! responses to other requests; [`buffer_budget`] bounds their memory. [`json`] splits
//! answers into parts, and [`port`] probes whether a process listens on an address.

pub mod buffer_budget;
pub mod clock;
pub mod connection;
pub mod engine;
pub mod http1;
pub mod json;
pub mod platform;
pub mod port;
pub mod service;
pub mod status;
