//! What the fakes promise to the tests that use them.

mod client;
mod engine;
mod platform;
mod service;
