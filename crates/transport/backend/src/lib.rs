//! Clients of the platform, engines and services, with a module for each.

pub mod clock;
pub mod connection;
pub mod engine;
pub mod http1;
pub mod platform;
pub mod service;
