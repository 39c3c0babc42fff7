//! Wire types and their conversion to the domain.
//!
//! Wire types carry serde and hold no logic. `TryFrom` leads in and refuses
//! whatever does not fit; `From` leads out.

pub mod compile;
pub mod completions;
pub mod document;
pub mod engine;
pub mod lease;
pub mod peer;
pub mod platform;
pub mod problem;
pub mod sheet;
