//! Objects of the platform's store, as instances exchange them. A few instances watch the
//! store and pass its changes on to the others.

use serde::Deserialize;
use serde::Serialize;

/// `Kind` is the kind of an object in the store.
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

/// `Message` is a message about the store's objects.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Requests the objects of these kinds that are newer than the versions of the store that
    /// the sender has cached.
    Query(Vec<(Kind, u64)>),
    /// Pushes changes of the store's objects.
    Update(Changes),
}

/// `Changes` holds all changes of a kind between two versions of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Changes {
    /// The kind.
    pub kind: Kind,
    /// The version before the first change.
    pub after: u64,
    /// The version that includes the last change.
    pub version: u64,
    /// The time for which removed entries may reappear after an outage of the store, in
    /// milliseconds.
    pub settling_ms: u32,
    /// The changed objects, in the order of their changes.
    pub objects: Vec<Changed>,
}

/// `Changed` describes one object that was written or removed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Changed {
    /// Its name.
    pub name: String,
    /// Its content as JSON text, or `None` if it was removed.
    pub content: Option<String>,
}

/// `Answer` is the answer to a [`Message::Query`]; a [`Message::Update`] gets an empty one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Answer {
    /// Whether the store serves the answering instance.
    pub is_served: bool,
    /// The time for which removed entries may reappear after an outage of the store, in
    /// milliseconds.
    pub settling_ms: u32,
    /// The kinds of which the answering instance has newer objects.
    pub newer: Vec<Snapshot>,
}

/// `Snapshot` holds all objects of a kind as of a version of the store.
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
