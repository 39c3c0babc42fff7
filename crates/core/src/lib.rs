//! Types and traits that every crate of hemlockwind shares.
//!
//! Nothing here does I/O or reads a clock. The traits in [`edges`] are the interfaces
//! to everything outside the process; everything else is plain data.

pub mod attempt;
pub mod collections;
pub mod config;
pub mod directory;
pub mod edges;
pub mod engine;
pub mod errors;
pub mod layers;
pub mod names;
pub mod routes;
pub mod servers;
pub mod store_view;
pub mod time;

pub use crate::errors::Error;
pub use crate::errors::Result;
