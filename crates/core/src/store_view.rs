//! Decides which data of the store is newer, and what is to be read again after the store was
//! restored from a snapshot.
//!
//! Designed for drills in which the store goes back by some seconds, also twice in a row, while
//! answers are lost or arrive late: revisions go back and are issued again, and only the era, which
//! the store raises with each restore, shows which of two answers is the newer one.

use std::time::Duration;

use crate::edges::ObjectVersion;
use crate::time::Instant;

/// `Observed` is the result of [`StoreView::observe`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observed {
    /// A newer era has been seen: data of this era is to be ignored.
    Older,
    /// The era was known.
    Current,
    /// The store was restored: all data is to be confirmed.
    Restored {
        /// The newest era before.
        from: u16,
    },
}

/// `Next` says how a kind of objects is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// All objects, as none are known or they are of an older era.
    List,
    /// The changes after this version.
    Watch(ObjectVersion),
}

/// `Confirmed` describes a restore after which all kinds were read again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmed {
    /// The era.
    pub era: u16,
    /// The time since the era was first seen.
    pub took: Duration,
}

/// `StoreView` holds the newest era that was seen, and for each kind of objects the version that
/// the known data reflects. Data of an older era stays in use until all objects of its kind were
/// read in the new one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoreView<K> {
    era: u16,
    /// When the newest era was first seen, while it is not confirmed.
    restored_at: Option<Instant>,
    kinds: Vec<(K, ObjectVersion)>,
}

impl<K: Copy + Eq> StoreView<K> {
    /// Returns a view in which no kind has been read.
    pub fn new(kinds: &[K]) -> Self {
        Self {
            era: 0,
            restored_at: None,
            kinds: kinds
                .iter()
                .map(|kind| (*kind, ObjectVersion::default()))
                .collect(),
        }
    }

    /// Returns the newest era that was seen.
    pub const fn era(&self) -> u16 {
        self.era
    }

    /// Returns the version that the data of a kind reflects, version 0 if there is none.
    pub fn version(&self, kind: K) -> ObjectVersion {
        let found = self.kinds.iter().find(|(k, _)| *k == kind);
        found.map(|(_, version)| *version).unwrap_or_default()
    }

    /// Records that an answer of the store or a message of another instance showed an era.
    pub fn observe(&mut self, now: Instant, era: u16) -> Observed {
        if era <= self.era {
            return match era == self.era {
                true => Observed::Current,
                false => Observed::Older,
            };
        }
        let from = std::mem::replace(&mut self.era, era);
        if self
            .kinds
            .iter()
            .all(|(_, v)| *v == ObjectVersion::default())
        {
            // Nothing is known that a restore could have undone.
            return Observed::Current;
        }
        self.restored_at = Some(now);
        Observed::Restored { from }
    }

    /// Returns how a kind is to be read next.
    pub fn next(&self, kind: K) -> Next {
        let version = self.version(kind);
        match version != ObjectVersion::default() && version.era() == self.era {
            true => Next::Watch(version),
            false => Next::List,
        }
    }

    /// Whether the data of a kind is of an older era.
    pub fn is_to_be_confirmed(&self, kind: K) -> bool {
        let version = self.version(kind);
        version != ObjectVersion::default() && version.era() != self.era
    }

    /// Whether a list of all objects as of `version` replaces the known data.
    pub fn accepts_all(&self, kind: K, version: ObjectVersion) -> bool {
        version.era() == self.era && version >= self.version(kind)
    }

    /// Whether changes up to `version` may be applied to the known data: they are newer, and of the
    /// era of that data.
    pub fn accepts_changes(&self, kind: K, version: ObjectVersion) -> bool {
        let known = self.version(kind);
        version.era() == self.era && known.era() == self.era && version > known
    }

    /// Records the version that the data of a kind reflects from now on. Returns the restore if
    /// this kind was the last one to be confirmed after it.
    pub fn record(&mut self, now: Instant, kind: K, version: ObjectVersion) -> Option<Confirmed> {
        if let Some(known) = self.kinds.iter_mut().find(|(k, _)| *k == kind) {
            known.1 = version;
        }
        if self
            .kinds
            .iter()
            .any(|(kind, _)| self.is_to_be_confirmed(*kind))
        {
            return None;
        }
        let restored_at = self.restored_at.take()?;
        Some(Confirmed {
            era: self.era,
            took: now.since(restored_at),
        })
    }
}
