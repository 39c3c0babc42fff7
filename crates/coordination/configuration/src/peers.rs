//! The peers of an instance and the tree along which changes are pushed.

use hemlockwind_core::config::Version;
use hemlockwind_core::names::InstanceKey;

use crate::chunk::mix;

/// The number of children of the first watcher, which is the root of every tree.
const ROOT_FANOUT: usize = 2;
/// The number of children of each other instance.
const FANOUT: usize = 4;

/// `Peer` is an instance of the local data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its key.
    pub key: InstanceKey,
    /// A hash of its name; every instance computes the same one.
    pub hash: u64,
}

/// `Peers` is the part of the membership view that distribution needs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Peers {
    /// The live instances of the local data centre, including this one.
    pub local: Vec<Peer>,
    /// The instances of the local data centre that hold the platform watch, in order of
    /// precedence.
    pub watchers: Vec<InstanceKey>,
    /// The contacts in each other data centre, its watchers first.
    pub remote: Vec<Vec<InstanceKey>>,
}

impl Peers {
    /// Returns the first watcher, from which changes are pushed.
    pub fn first_watcher(&self) -> Option<InstanceKey> {
        self.watchers.first().copied()
    }

    /// Returns the children of `parent` in the tree for `version`.
    pub fn children(&self, parent: InstanceKey, version: Version) -> Vec<InstanceKey> {
        let order = self.order(version);
        let Some(index) = order.iter().position(|&key| key == parent) else {
            return Vec::new();
        };
        let (first, n) = match index {
            0 => (1, ROOT_FANOUT),
            index => (1 + ROOT_FANOUT + (index - 1) * FANOUT, FANOUT),
        };
        order.into_iter().skip(first).take(n).collect()
    }

    /// Returns the two uppermost levels below the root of the tree for `version`.
    pub fn upper_levels(&self, version: Version) -> Vec<InstanceKey> {
        let n = ROOT_FANOUT + ROOT_FANOUT * FANOUT;
        self.order(version).into_iter().skip(1).take(n).collect()
    }

    /// Returns all instances in the order of the tree, level by level. The order below the
    /// root changes with the version, which spreads the work of forwarding evenly.
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
