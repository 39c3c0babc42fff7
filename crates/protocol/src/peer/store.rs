//! What the platform's store holds, passed on between instances: a few of them watch the
//! store, the others hear from these.

use serde::Deserialize;
use serde::Serialize;

/// `Kind` is a kind of objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Kind {
    /// The routes.
    Routes,
    /// The backend servers.
    Servers,
    /// The instances.
    Instances,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::Routes, Self::Servers, Self::Instances];
}

/// `Message` is what one instance says of the store to another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Asks for what is newer than the versions of the store as of which the asker knows
    /// these kinds.
    Query(Vec<(Kind, u64)>),
    /// Tells changes that a watch has brought.
    Update(Changes),
}

/// `Changes` is all changes of a kind between two versions of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Changes {
    /// The kind.
    pub kind: Kind,
    /// The version after which they happened.
    pub after: u64,
    /// The version up to which they happened.
    pub version: u64,
    /// Milliseconds for which removed entries may still come back, after the store was away.
    pub settling_ms: u32,
    /// The objects, in the order of their changes.
    pub objects: Vec<Changed>,
}

/// `Changed` is one object that was written or removed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Changed {
    /// Its name.
    pub name: String,
    /// Its content as JSON text, `None` when it was removed.
    pub content: Option<String>,
}

/// `Answer` is what the other instance knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Answer {
    /// Whether the store serves the other instance.
    pub is_served: bool,
    /// Milliseconds for which removed entries may still come back, after the store was away.
    pub settling_ms: u32,
    /// The kinds of which it knows something newer.
    pub newer: Vec<Snapshot>,
}

/// `Snapshot` is everything of a kind, as of a version of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// The kind.
    pub kind: Kind,
    /// The version.
    pub version: u64,
    /// The objects' names and contents.
    pub objects: Vec<(String, String)>,
}
