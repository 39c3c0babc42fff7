//! The head: the object whose conditional update accepts a change.

use std::sync::Arc;

use hemlockwind_core::config::Version;
use hemlockwind_core::time::WallTime;

use crate::digest::Digest;

/// The maximum size of a document, in bytes.
pub const MAX_BODY_BYTES: u64 = 32 << 20;
/// The maximum size of an author's name, in bytes.
pub const MAX_AUTHOR_BYTES: usize = 64;
/// The maximum number of recent changes that a head lists.
pub const MAX_RECENT_CHANGES: usize = 8;
/// A tree has at most one chunk per this many bytes, plus [`MIN_CHUNK_LIMIT`].
const BYTES_PER_CHUNK: u64 = 256;
/// The number of chunks that a tree of any size may have.
const MIN_CHUNK_LIMIT: u64 = 64;

/// `Entry` describes one accepted change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The version that the change created.
    pub version: Version,
    /// The random number by which its writer recognises it.
    pub nonce: u64,
    /// The operator who made it.
    pub author: Arc<str>,
    /// The time of the change, by the writer's clock.
    pub at: WallTime,
}

/// `Head` describes one accepted configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The version.
    pub version: Version,
    /// The digest of the root of its tree of chunks.
    pub root: Digest,
    /// The number of levels of nodes above the leaves.
    pub depth: u8,
    /// The size of the document, in bytes.
    pub len: u64,
    /// The latest changes, oldest first; the last one created this version.
    pub recent: Vec<Entry>,
}

impl Head {
    /// Returns the oldest of the recent changes that came after `base`.
    pub fn first_after(&self, base: Version) -> Option<&Entry> {
        self.recent.iter().find(|entry| entry.version > base)
    }

    /// Whether the recent changes include every change after `base`.
    pub fn covers(&self, base: Version) -> bool {
        let oldest = self.recent.first();
        self.recent.len() < MAX_RECENT_CHANGES || oldest.is_some_and(|entry| entry.version <= base)
    }

    /// Returns a bound on the number of chunks, so that the walk of any tree terminates.
    pub(crate) fn chunk_limit(&self) -> u64 {
        self.len.min(MAX_BODY_BYTES) / BYTES_PER_CHUNK + MIN_CHUNK_LIMIT
    }
}
