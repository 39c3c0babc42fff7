//! The backend servers that hold the same layers.

use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::names::BackendServerKey;

/// `Group` holds the backend servers of one layer range, by what may be chosen.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    /// The layers.
    pub(crate) layers: LayerRange,
    /// Servers that are available and have room.
    pub(crate) open: Vec<BackendServerKey>,
    /// Servers that are available and full.
    pub(crate) full: Vec<BackendServerKey>,
    /// The number of servers, the unavailable ones included.
    pub(crate) len: usize,
    /// Streams that the available servers take together.
    pub(crate) streams: u64,
}

/// `Place` is where a group keeps a server, so that it is found in constant time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Place {
    /// At this index of the servers with room.
    Open(usize),
    /// At this index of the full servers.
    Full(usize),
    /// In no list, since it takes no new work.
    Unavailable,
}

impl Group {
    /// A group without servers.
    pub(crate) fn new(layers: LayerRange) -> Self {
        Self {
            layers,
            open: Vec::new(),
            full: Vec::new(),
            len: 0,
            streams: 0,
        }
    }

    /// Lists a server and tells where.
    pub(crate) fn list(&mut self, key: BackendServerKey, available: bool, full: bool) -> Place {
        if !available {
            return Place::Unavailable;
        }
        let list = if full { &mut self.full } else { &mut self.open };
        list.push(key);
        let index = list.len() - 1;
        if full {
            Place::Full(index)
        } else {
            Place::Open(index)
        }
    }

    /// Takes a server off its list. Returns the server that has this place now.
    pub(crate) fn unlist(&mut self, place: Place) -> Option<BackendServerKey> {
        let (list, index) = match place {
            Place::Open(index) => (&mut self.open, index),
            Place::Full(index) => (&mut self.full, index),
            Place::Unavailable => return None,
        };
        list.swap_remove(index);
        list.get(index).copied()
    }
}
