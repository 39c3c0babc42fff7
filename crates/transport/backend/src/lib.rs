//! Clients of the platform, engines and services: one adapter for each edge.

pub mod clock;
pub mod connection;
pub mod engine;
pub mod http1;
pub mod platform;
pub mod service;
