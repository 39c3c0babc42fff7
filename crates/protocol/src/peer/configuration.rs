//! Versions and chunks of the configuration, as instances exchange them and the platform
//! stores them.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use hemlockwind_configuration as domain;
use hemlockwind_configuration::Digest;
use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::config::Version;
use hemlockwind_core::time::WallTime;

/// Maximum number of levels of nodes in a tree of chunks.
const MAX_TREE_DEPTH: u8 = 6;
/// Maximum number of chunks or digests in one message.
const MAX_LIST_LEN: usize = 256;

/// `Message` is the wire form of [`domain::Message`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// The version in force at the sender.
    Version(u64),
    /// A head and some of its chunks.
    Push {
        /// The head.
        head: Head,
        /// The chunks that are new in this version.
        chunks: Vec<Vec<u8>>,
        /// Whether the receiver passes the push on to its children in the distribution tree.
        along_tree: bool,
    },
    /// The digests of chunks that the sender lacks.
    Want(Vec<[u8; 32]>),
    /// The requested chunks.
    Chunks(Vec<Vec<u8>>),
}

/// `Head` identifies one accepted configuration. The platform stores it in this format as
/// well.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Head {
    /// The version.
    pub version: u64,
    /// The digest of the root of its tree of chunks.
    pub root: [u8; 32],
    /// The number of levels of nodes above the leaves.
    pub depth: u8,
    /// The size of the document, in bytes.
    pub len: u64,
    /// The latest changes, the oldest first.
    pub recent: Vec<Entry>,
}

/// `Entry` identifies one accepted change.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Entry {
    /// The version that the change created.
    pub version: u64,
    /// The random number by which its writer recognises it.
    pub nonce: u64,
    /// The operator who made the change.
    pub author: String,
    /// The time of the change, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

impl From<domain::Head> for Head {
    fn from(head: domain::Head) -> Self {
        Self {
            version: head.version.0,
            root: head.root.0,
            depth: head.depth,
            len: head.len,
            recent: head.recent.into_iter().map(Entry::from).collect(),
        }
    }
}

impl From<domain::Entry> for Entry {
    fn from(entry: domain::Entry) -> Self {
        Self {
            version: entry.version.0,
            nonce: entry.nonce,
            author: entry.author.as_ref().into(),
            at_ms: entry.at.as_millis(),
        }
    }
}

impl TryFrom<Head> for domain::Head {
    type Error = Error;

    fn try_from(head: Head) -> Result<Self> {
        if head.depth > MAX_TREE_DEPTH || head.len > domain::MAX_BODY_BYTES {
            return Err(Error::peer_frame("the document exceeds a limit"));
        }
        if head.recent.len() > domain::MAX_RECENT_CHANGES {
            return Err(Error::peer_frame("the head lists too many changes"));
        }
        if head.recent.last().map(|entry| entry.version) != Some(head.version) {
            return Err(Error::peer_frame("the head does not list its own change"));
        }
        let recent = head.recent.into_iter().map(domain::Entry::try_from);
        Ok(Self {
            version: Version(head.version),
            root: Digest(head.root),
            depth: head.depth,
            len: head.len,
            recent: recent.collect::<Result<_>>()?,
        })
    }
}

impl TryFrom<Entry> for domain::Entry {
    type Error = Error;

    fn try_from(entry: Entry) -> Result<Self> {
        if entry.author.len() > domain::MAX_AUTHOR_BYTES {
            return Err(Error::peer_frame("the author's name is too long"));
        }
        Ok(Self {
            version: Version(entry.version),
            nonce: entry.nonce,
            author: entry.author.into(),
            at: WallTime::from_millis(entry.at_ms),
        })
    }
}

impl From<domain::Message> for Message {
    fn from(message: domain::Message) -> Self {
        let bytes = |chunks: Vec<Bytes>| chunks.into_iter().map(Vec::from).collect();
        match message {
            domain::Message::Version(version) => Self::Version(version.0),
            domain::Message::Push {
                head,
                chunks,
                along_tree,
            } => Self::Push {
                head: head.into(),
                chunks: bytes(chunks),
                along_tree,
            },
            domain::Message::Want(digests) => {
                Self::Want(digests.into_iter().map(|digest| digest.0).collect())
            }
            domain::Message::Chunks(chunks) => Self::Chunks(bytes(chunks)),
        }
    }
}

impl TryFrom<Message> for domain::Message {
    type Error = Error;

    fn try_from(message: Message) -> Result<Self> {
        Ok(match message {
            Message::Version(version) => Self::Version(Version(version)),
            Message::Push {
                head,
                chunks,
                along_tree,
            } => Self::Push {
                head: head.try_into()?,
                chunks: read_chunks(chunks)?,
                along_tree,
            },
            Message::Want(digests) => {
                check_list_len(digests.len())?;
                Self::Want(digests.into_iter().map(Digest).collect())
            }
            Message::Chunks(chunks) => Self::Chunks(read_chunks(chunks)?),
        })
    }
}

fn read_chunks(chunks: Vec<Vec<u8>>) -> Result<Vec<Bytes>> {
    check_list_len(chunks.len())?;
    if chunks
        .iter()
        .any(|chunk| chunk.len() > domain::MAX_CHUNK_BYTES)
    {
        return Err(Error::peer_frame("a chunk is too large"));
    }
    Ok(chunks.into_iter().map(Bytes::from).collect())
}

fn check_list_len(len: usize) -> Result<()> {
    if len > MAX_LIST_LEN {
        return Err(Error::peer_frame("a list is too long"));
    }
    Ok(())
}
