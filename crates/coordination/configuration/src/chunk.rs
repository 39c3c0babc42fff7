//! Splits a document into chunks identified by digest, and reassembles it.
//!
//! Leaf boundaries depend on a rolling hash of the content, so a local change leaves the
//! other chunks as they were. The digests of the leaves form nodes, whose boundaries
//! depend on the digests themselves, up to a single root.

use bytes::Bytes;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::collections::HashSet;

use crate::digest::Digest;
use crate::head::Head;

/// The maximum size of a chunk, in bytes.
pub const MAX_CHUNK_BYTES: usize = 16 << 10;
/// The minimum size of a leaf except the last one, in bytes.
const MIN_LEAF_BYTES: usize = 512;
/// A leaf ends where these bits of the rolling hash are zero: on average 256 bytes after
/// the minimum size.
const LEAF_MASK: u64 = 0xff << 56;
/// The size of a digest, in bytes.
const DIGEST_BYTES: usize = 32;
/// The minimum number of digests in a node except the last one.
const MIN_NODE_DIGESTS: usize = 4;
/// A node ends after a digest with these bits zero: on average 8 digests after the
/// minimum number.
const NODE_MASK: u8 = 0x07;
/// The maximum number of levels of nodes above the leaves.
const MAX_DEPTH: u8 = 6;

/// `Tree` is a document split into chunks.
#[derive(Clone, Debug)]
pub struct Tree {
    /// The digest of the root chunk.
    pub root: Digest,
    /// The number of levels of nodes above the leaves.
    pub depth: u8,
    /// All chunks, leaves first.
    pub chunks: Vec<(Digest, Bytes)>,
}

impl Tree {
    /// Splits `body`.
    pub fn new(body: &Bytes) -> Self {
        let mut chunks = Vec::new();
        let mut level = append(&mut chunks, leaves(body));
        let mut depth = 0;
        while level.len() > 1 {
            level = append(&mut chunks, nodes(&level));
            depth += 1;
        }
        Self {
            root: level[0],
            depth,
            chunks,
        }
    }
}

/// Appends `parts` to `chunks` and returns their digests.
fn append(chunks: &mut Vec<(Digest, Bytes)>, parts: Vec<Bytes>) -> Vec<Digest> {
    let hashed = parts.into_iter().map(|part| (Digest::of(&part), part));
    let first = chunks.len();
    chunks.extend(hashed);
    chunks[first..].iter().map(|(digest, _)| *digest).collect()
}

/// Splits `body` by content; an empty body is one empty leaf.
fn leaves(body: &Bytes) -> Vec<Bytes> {
    let mut parts = Vec::new();
    let mut start = 0;
    let mut hash = 0_u64;
    for (at, &byte) in body.iter().enumerate() {
        hash = (hash << 1).wrapping_add(mix(u64::from(byte)));
        let len = at + 1 - start;
        let is_boundary = hash & LEAF_MASK == 0 && len >= MIN_LEAF_BYTES;
        if is_boundary || len == MAX_CHUNK_BYTES {
            parts.push(body.slice(start..=at));
            start = at + 1;
            hash = 0;
        }
    }
    if start < body.len() || parts.is_empty() {
        parts.push(body.slice(start..));
    }
    parts
}

/// Joins the digests of one level into the nodes above it.
fn nodes(level: &[Digest]) -> Vec<Bytes> {
    let mut parts = Vec::new();
    let mut part = Vec::new();
    for digest in level {
        let has_minimum = part.len() >= MIN_NODE_DIGESTS * DIGEST_BYTES;
        let is_boundary = part.last().is_some_and(|&byte: &u8| byte & NODE_MASK == 0);
        if has_minimum && is_boundary || part.len() + DIGEST_BYTES > MAX_CHUNK_BYTES {
            parts.push(Bytes::from(std::mem::take(&mut part)));
        }
        part.extend_from_slice(&digest.0);
    }
    parts.push(Bytes::from(part));
    parts
}

/// Spreads the bits of `x` (the finaliser of SplitMix64).
pub(crate) const fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// `Chunks` holds the chunks that an instance has.
#[derive(Clone, Debug, Default)]
pub struct Chunks {
    map: HashMap<Digest, Bytes>,
}

impl Chunks {
    /// Adds a chunk under its digest; one over [`MAX_CHUNK_BYTES`] is ignored.
    pub fn insert(&mut self, chunk: Bytes) {
        if chunk.len() <= MAX_CHUNK_BYTES {
            self.map.insert(Digest::of(&chunk), chunk);
        }
    }

    /// Returns the chunk with this digest.
    pub fn get(&self, digest: &Digest) -> Option<&Bytes> {
        self.map.get(digest)
    }

    /// Returns the digests of at most `limit` missing chunks of `head`'s tree. The chunks
    /// below a missing node cannot be determined yet.
    pub fn missing(&self, head: &Head, limit: usize) -> Vec<Digest> {
        let mut missing = Vec::new();
        self.visit(head, &mut |digest, chunk, _| {
            if chunk.is_none() && missing.len() < limit && !missing.contains(&digest) {
                missing.push(digest);
            }
        });
        missing
    }

    /// Returns the document of `head`, if all its chunks are present and match its length.
    pub fn assemble(&self, head: &Head) -> Option<Bytes> {
        let mut body = Vec::new();
        let mut is_complete = true;
        self.visit(head, &mut |_, chunk, depth| match chunk {
            Some(chunk) if depth == 0 => body.extend_from_slice(chunk),
            Some(_) => {}
            None => is_complete = false,
        });
        (is_complete && body.len() as u64 == head.len).then(|| Bytes::from(body))
    }

    /// Returns the digests of all chunks of `head`'s tree, as far as its nodes are
    /// present.
    pub fn digests(&self, head: &Head) -> HashSet<Digest> {
        let mut digests = HashSet::default();
        self.visit(head, &mut |digest, _, _| {
            digests.insert(digest);
        });
        digests
    }

    /// Removes all chunks that are not in `keep`.
    pub fn retain(&mut self, keep: &HashSet<Digest>) {
        self.map.retain(|digest, _| keep.contains(digest));
    }

    /// Calls `f` with each digest of the tree, its chunk and its level, in document order,
    /// as far as the nodes are present.
    fn visit(&self, head: &Head, f: &mut impl FnMut(Digest, Option<&Bytes>, u8)) {
        // A stack instead of recursion, as the depth is untrusted input.
        let mut budget = head.chunk_limit();
        let mut stack = vec![(head.root, head.depth.min(MAX_DEPTH))];
        while let Some((digest, depth)) = stack.pop() {
            budget = budget.saturating_sub(1);
            if budget == 0 {
                return;
            }
            let chunk = self.map.get(&digest);
            f(digest, chunk, depth);
            if let (Some(node), true) = (chunk, depth > 0) {
                let (children, _) = node.as_chunks::<DIGEST_BYTES>();
                stack.extend(
                    children
                        .iter()
                        .rev()
                        .map(|&child| (Digest(child), depth - 1)),
                );
            }
        }
    }
}
