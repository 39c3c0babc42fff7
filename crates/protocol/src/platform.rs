//! The protocol of the platform: JSON over HTTP, in the style of published object APIs.
//!
//! | Method and path                     | Meaning                                     |
//! |-------------------------------------|---------------------------------------------|
//! | `GET /v1/objects/{name}`            | [`Object`], 404 when absent                 |
//! | `PUT /v1/objects/{name}`            | body [`Write`]; [`Written`], 409 on conflict|
//! | `GET /v1/objects?prefix=P`          | [`ObjectList`]                              |
//! | `GET /v1/watch?prefix=P&from=V`     | one [`WatchLine`] per line, chunked         |
//! | `GET /v1/instances`                 | [`InstanceList`]                            |
//!
//! The header [`ERA_HEADER`] of all responses is a whole number that rises by one each time the
//! platform is restored from a snapshot; versions go back then. Without the header it is 0.
//!
//! A response with status 429 or 503 means that nothing took effect. Object names may
//! contain `/`.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::edges;

/// The header with the era of the platform.
pub const ERA_HEADER: &str = "era";

/// `Object` is the wire form of [`edges::Object`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Object {
    /// The name.
    pub name: String,
    /// The version.
    pub version: u64,
    /// The value, in base64.
    pub value: String,
}

/// `Write` is a conditional write.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Write {
    /// The value, in base64.
    pub value: String,
    /// The precondition.
    pub when: Precondition,
}

/// `Precondition` is the wire form of [`edges::Precondition`].
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Precondition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(u64),
    /// The write is unconditional.
    None,
}

/// `Written` is the answer to a write that took effect.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Written {
    /// The object's new version.
    pub version: u64,
}

/// `ObjectList` holds the objects with a prefix.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ObjectList {
    /// The objects.
    pub objects: Vec<Object>,
}

/// `WatchLine` is one line of a watch.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WatchLine {
    /// An object was written.
    Put(Object),
    /// The object with this name was removed.
    Delete(String),
    /// No object changed. Shows that the watch still works.
    Bookmark,
}

/// `InstanceList` is the list of live and leaving instances and backend servers.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct InstanceList {
    /// The entries.
    pub instances: Vec<ListEntry>,
}

/// `ListEntry` is the wire form of [`edges::ListEntry`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ListEntry {
    /// The name.
    pub name: String,
    /// The data centre.
    pub data_centre: String,
    /// The address, `IP:port`.
    pub addr: std::net::SocketAddr,
    /// `instance` or `backend_server`.
    pub kind: ListKind,
    /// `live` or `leaving`.
    pub state: ListState,
}

/// `ListKind` is the wire form of [`edges::ListKind`].
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListKind {
    /// An instance.
    Instance,
    /// A backend server.
    BackendServer,
}

/// `ListState` is the wire form of [`edges::ListState`].
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListState {
    /// The instance or backend server is live.
    Live,
    /// The instance or backend server is leaving.
    Leaving,
}

impl From<edges::Object> for Object {
    fn from(object: edges::Object) -> Self {
        Self {
            name: object.name,
            version: object.version.revision(),
            value: STANDARD.encode(object.value),
        }
    }
}

impl TryFrom<Object> for edges::Object {
    type Error = Error;

    fn try_from(object: Object) -> Result<Self> {
        let value = STANDARD.decode(&object.value);
        let value = value.map_err(|e| Error::platform_answer(e.to_string()))?;
        Ok(Self {
            name: object.name,
            version: edges::ObjectVersion(object.version),
            value: Bytes::from(value),
        })
    }
}

impl TryFrom<WatchLine> for edges::WatchEvent {
    type Error = Error;

    fn try_from(line: WatchLine) -> Result<Self> {
        Ok(match line {
            WatchLine::Put(object) => Self::Put(object.try_into()?),
            WatchLine::Delete(name) => Self::Delete(name),
            WatchLine::Bookmark => Self::Bookmark,
        })
    }
}

impl From<edges::Precondition> for Precondition {
    fn from(when: edges::Precondition) -> Self {
        match when {
            edges::Precondition::Absent => Self::Absent,
            edges::Precondition::Version(version) => Self::Version(version.revision()),
            edges::Precondition::None => Self::None,
        }
    }
}

impl From<ListEntry> for edges::ListEntry {
    fn from(entry: ListEntry) -> Self {
        Self {
            name: entry.name,
            data_centre: entry.data_centre,
            addr: entry.addr,
            kind: match entry.kind {
                ListKind::Instance => edges::ListKind::Instance,
                ListKind::BackendServer => edges::ListKind::BackendServer,
            },
            state: match entry.state {
                ListState::Live => edges::ListState::Live,
                ListState::Leaving => edges::ListState::Leaving,
            },
        }
    }
}
