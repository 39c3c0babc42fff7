//! Leases in the platform and their fencing tokens.
//!
//! A lease is one object of the platform. [`Holder`] decides, for one instance and
//! one lease, when to read and write that object and whether the lease is held;
//! [`Orders`] decides when its holder may send an order to an engine.
//! See docs/design/leases.md.

pub mod holder;
pub mod orders;
pub mod value;

pub use crate::holder::Action;
pub use crate::holder::Event;
pub use crate::holder::Holder;
pub use crate::holder::Options;
pub use crate::holder::Outcome;
pub use crate::orders::Orders;
pub use crate::value::FencingToken;
pub use crate::value::Nonce;
pub use crate::value::Value;
