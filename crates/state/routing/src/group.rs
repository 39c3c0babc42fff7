//! The backend servers that hold the same layers.

use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::names::BackendServerKey;

/// `Group` holds the backend servers of one layer range by availability and load.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    /// The layers.
    pub(crate) layers: LayerRange,
    /// Servers that are available and not full.
    pub(crate) open: Vec<BackendServerKey>,
    /// Servers that are available and full.
    pub(crate) full: Vec<BackendServerKey>,
    /// The number of servers, the unavailable ones included.
    pub(crate) len: usize,
    /// The number of streams that all available servers together can run at once.
    pub(crate) streams: u64,
}

/// `Position` identifies a server's entry in a group's lists, so that it can be removed in
/// constant time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Position {
    /// At this index of `Group::open`.
    Open(usize),
    /// At this index of `Group::full`.
    Full(usize),
    /// In no list, since the server may not be given new work.
    Unavailable,
}

impl Group {
    /// Returns a group without servers.
    pub(crate) fn new(layers: LayerRange) -> Self {
        Self {
            layers,
            open: Vec::new(),
            full: Vec::new(),
            len: 0,
            streams: 0,
        }
    }

    /// Adds a server to the list for its state and returns its position.
    pub(crate) fn list(&mut self, key: BackendServerKey, available: bool, full: bool) -> Position {
        if !available {
            return Position::Unavailable;
        }
        let list = if full { &mut self.full } else { &mut self.open };
        list.push(key);
        let index = list.len() - 1;
        if full {
            Position::Full(index)
        } else {
            Position::Open(index)
        }
    }

    /// Removes the server at `position` from its list. Returns the server that takes over
    /// the position, if any.
    pub(crate) fn unlist(&mut self, position: Position) -> Option<BackendServerKey> {
        let (list, index) = match position {
            Position::Open(index) => (&mut self.open, index),
            Position::Full(index) => (&mut self.full, index),
            Position::Unavailable => return None,
        };
        list.swap_remove(index);
        list.get(index).copied()
    }
}
