//! `Copy` keys for names, so that decision code never compares strings.

use std::sync::Arc;

use slotmap::Key;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::collections::SeededHashMap;

new_key_type! {
    /// `BackendServerKey` stands for one backend server.
    pub struct BackendServerKey;
    /// `DataCentreKey` stands for one data centre.
    pub struct DataCentreKey;
    /// `InstanceKey` stands for one instance of hemlockwind.
    pub struct InstanceKey;
    /// `ModelKey` stands for one model.
    pub struct ModelKey;
    /// `OrganisationKey` stands for one organisation.
    pub struct OrganisationKey;
    /// `PipelineKey` stands for one pipeline, the name that callers ask for.
    pub struct PipelineKey;
    /// `ServiceKey` stands for one plain service.
    pub struct ServiceKey;
}

/// `Rank` is the place of a rank in order of urgency; 0 is the most urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank(pub u8);

/// `Names` gives one key to each name and keeps it while the process lives.
#[derive(Clone, Debug)]
pub struct Names<K: Key> {
    names: SlotMap<K, Arc<str>>,
    keys: SeededHashMap<Arc<str>, K>,
}

impl<K: Key> Default for Names<K> {
    fn default() -> Self {
        Self {
            names: SlotMap::with_key(),
            keys: SeededHashMap::default(),
        }
    }
}

impl<K: Key> Names<K> {
    /// The key of `name`, a new one when the name is new.
    pub fn intern(&mut self, name: &str) -> K {
        if let Some(&key) = self.keys.get(name) {
            return key;
        }
        let name: Arc<str> = name.into();
        let key = self.names.insert(Arc::clone(&name));
        self.keys.insert(name, key);
        key
    }

    /// The key of `name`, when it has one.
    pub fn key(&self, name: &str) -> Option<K> {
        self.keys.get(name).copied()
    }

    /// The name behind `key`, or `?` when the key is of another arena.
    pub fn name(&self, key: K) -> Arc<str> {
        self.names.get(key).cloned().unwrap_or_else(|| "?".into())
    }

    /// The number of names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether there is no name yet.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
