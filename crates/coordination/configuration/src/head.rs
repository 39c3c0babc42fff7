//! The head: the one object whose conditional update accepts a change.

use std::sync::Arc;

use hemlockwind_core::config::Version;
use hemlockwind_core::time::WallTime;

use crate::digest::Digest;

/// The size of a document at most, in bytes.
pub const BODY_LIMIT_BYTES: u64 = 32 << 20;
/// The size of an author's name at most, in bytes.
pub const AUTHOR_LIMIT_BYTES: usize = 64;
/// The number of recent changes that a head names.
pub const RECENT_LIMIT: usize = 8;
/// A tree has at most one chunk for each so many bytes, beside a few.
const BYTES_PER_CHUNK: u64 = 256;
/// The chunks that any tree may have.
const CHUNKS_MIN: u64 = 64;

/// `Entry` names one accepted change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The version that the change made.
    pub version: Version,
    /// The number by which its writer knows it again.
    pub nonce: u64,
    /// Who made it.
    pub author: Arc<str>,
    /// When, by the writer's clock.
    pub at: WallTime,
}

/// `Head` names one accepted configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The version.
    pub version: Version,
    /// The digest of the top of its tree of chunks.
    pub root: Digest,
    /// The levels of nodes above the leaves.
    pub depth: u8,
    /// The size of the document, in bytes.
    pub len: u64,
    /// The latest changes, oldest first; the last one made this version.
    pub recent: Vec<Entry>,
}

impl Head {
    /// The first change after `base` among the recent ones.
    pub fn after(&self, base: Version) -> Option<&Entry> {
        self.recent.iter().find(|entry| entry.version > base)
    }

    /// Whether every change after `base` is among the recent ones.
    pub fn covers(&self, base: Version) -> bool {
        let oldest = self.recent.first();
        self.recent.len() < RECENT_LIMIT || oldest.is_some_and(|entry| entry.version <= base)
    }

    /// A bound on the number of chunks, so that no tree is walked for ever.
    pub(crate) fn chunk_limit(&self) -> u64 {
        self.len.min(BODY_LIMIT_BYTES) / BYTES_PER_CHUNK + CHUNKS_MIN
    }
}
