//! At-most-once execution of non-idempotent requests.
//!
//! A request with an idempotency key belongs to a slot of its organisation's home
//! data centre. [`Slots`] decides, for one instance, what happens to a request for a
//! slot that the instance owns under a lease: run the request, replay the first answer,
//! or reply that the outcome is unknown. [`Key`] parses a key and returns its slot. See
//! docs/design/at-most-once.md.

pub mod key;
pub mod key_table;
pub mod slots;

pub use crate::key::Key;
pub use crate::slots::Action;
pub use crate::slots::CallId;
pub use crate::slots::ClaimId;
pub use crate::slots::Claimed;
pub use crate::slots::Event;
pub use crate::slots::Options;
pub use crate::slots::Reply;
pub use crate::slots::Request;
pub use crate::slots::Slots;
