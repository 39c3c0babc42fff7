//! Wire types and their conversion to the domain.
//!
//! Wire types derive serde and contain no logic. `TryFrom` converts them to domain types
//! and rejects what is invalid; `From` converts domain types to wire types.

pub mod compile;
pub mod completions;
pub mod document;
pub mod engine;
pub mod lease;
pub mod peer;
pub mod platform;
pub mod problem;
pub mod sheet;
