//! Versions of the configuration and their distribution.
//!
//! The platform holds a small [`Head`] that references a tree of chunks by their
//! digests. [`Publish`] writes an operator's change to the platform; [`Replica`] holds
//! the version that one instance has in force and obtains newer ones. Documents are
//! opaque bytes here.

mod chunk;
mod digest;
mod head;
mod peers;
mod publish;
mod replica;

pub use crate::chunk::Chunks;
pub use crate::chunk::MAX_CHUNK_BYTES;
pub use crate::chunk::Tree;
pub use crate::digest::Digest;
pub use crate::head::Entry;
pub use crate::head::Head;
pub use crate::head::MAX_AUTHOR_BYTES;
pub use crate::head::MAX_BODY_BYTES;
pub use crate::head::MAX_RECENT_CHANGES;
pub use crate::peers::Peer;
pub use crate::peers::Peers;
pub use crate::publish::Change;
pub use crate::publish::Outcome;
pub use crate::publish::Publish;
pub use crate::publish::PublishAction;
pub use crate::publish::PublishEvent;
pub use crate::replica::Action;
pub use crate::replica::Event;
pub use crate::replica::Message;
pub use crate::replica::Replica;
