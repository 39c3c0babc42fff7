//! The peers of an instance and the tree along which changes are pushed.

use hemlockwind_core::config::Version;
use hemlockwind_core::names::InstanceKey;

use crate::chunk::mix;

/// The children of the first watcher, which stands at the top of every tree.
const TOP_FANOUT: usize = 2;
/// The children of each other instance.
const FANOUT: usize = 4;

/// `Peer` is an instance of the own data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its key.
    pub key: InstanceKey,
    /// A hash of its name, the same at every instance.
    pub hash: u64,
}

/// `Peers` is what membership believes, as far as the spread needs it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Peers {
    /// Live instances of the own data centre, this one among them.
    pub local: Vec<Peer>,
    /// Those that hold the platform watch, by their place.
    pub watchers: Vec<InstanceKey>,
    /// Contacts in each other data centre, its watchers first.
    pub remote: Vec<Vec<InstanceKey>>,
}

impl Peers {
    /// The first watcher, from which changes are pushed.
    pub fn first_watcher(&self) -> Option<InstanceKey> {
        self.watchers.first().copied()
    }

    /// The children of `parent` in the tree for `version`.
    pub fn children(&self, parent: InstanceKey, version: Version) -> Vec<InstanceKey> {
        let order = self.order(version);
        let Some(at) = order.iter().position(|&key| key == parent) else {
            return Vec::new();
        };
        let (first, n) = match at {
            0 => (1, TOP_FANOUT),
            at => (1 + TOP_FANOUT + (at - 1) * FANOUT, FANOUT),
        };
        order.into_iter().skip(first).take(n).collect()
    }

    /// The two uppermost levels of the tree for `version`, below the top.
    pub fn upper(&self, version: Version) -> Vec<InstanceKey> {
        let n = TOP_FANOUT + TOP_FANOUT * FANOUT;
        self.order(version).into_iter().skip(1).take(n).collect()
    }

    /// All instances in the order of the tree, level by level. The order below
    /// the top changes with the version, so forwarding falls on all alike.
    fn order(&self, version: Version) -> Vec<InstanceKey> {
        let first = self.first_watcher();
        let rest = self.local.iter().filter(|peer| Some(peer.key) != first);
        let mut rest: Vec<_> = rest
            .map(|peer| (mix(peer.hash ^ mix(version.0)), peer.key))
            .collect();
        rest.sort_unstable();
        let rest = rest.into_iter().map(|(_, key)| key);
        first.into_iter().chain(rest).collect()
    }
}
