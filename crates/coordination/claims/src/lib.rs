//! At most one run for each non-idempotent request.
//!
//! A request with an idempotency key belongs to a slot of its organisation's home
//! data centre. [`Slots`] decides, for one instance, about the slots that it owns
//! under a lease: run, replay the first answer, or say that the outcome is unknown.
//! [`Key`] reads the key and names its slot. See docs/design/at-most-once.md.

pub mod key;
pub mod memory;
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
