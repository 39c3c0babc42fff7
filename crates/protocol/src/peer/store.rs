//! What the platform's store holds, passed on by an instance that it serves.

use serde::Deserialize;
use serde::Serialize;

/// `Kind` is what is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Kind {
    /// The routes.
    Routes,
    /// The backend servers.
    Servers,
}

/// `Message` asks for what is newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Message {
    /// What is asked for.
    pub kind: Kind,
    /// The store's version as of which the asker knows it.
    pub version: u64,
}

/// `Answer` is what the other instance knows.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Answer {
    /// Nothing newer.
    Same {
        /// Whether the store serves the other instance, as far as it knows.
        is_served: bool,
    },
    /// Everything of the kind, as of a version of the store.
    Newer {
        /// The version.
        version: u64,
        /// Whether the store serves the other instance, as far as it knows.
        is_served: bool,
        /// The objects' names and contents.
        objects: Vec<(String, String)>,
    },
}
