//! HTTP clients of the platform, engines and services, and the system's clocks.

pub mod clock;
pub mod connection;
pub mod engine;
pub mod http1;
pub mod platform;
pub mod service;
