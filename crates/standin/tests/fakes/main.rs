//! Tests of the behaviour that other tests expect of the stand-ins.

mod client;
mod engine;
mod platform;
mod service;
