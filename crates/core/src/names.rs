//! `Copy` keys for names, so that decision code doesn't compare strings.

use std::sync::Arc;

use slotmap::Key;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::collections::SeededHashMap;

new_key_type! {
    /// `BackendServerKey` identifies one backend server.
    pub struct BackendServerKey;
    /// `DataCentreKey` identifies one data centre.
    pub struct DataCentreKey;
    /// `InstanceKey` identifies one instance of hemlockwind.
    pub struct InstanceKey;
    /// `ModelKey` identifies one model.
    pub struct ModelKey;
    /// `OrganisationKey` identifies one organisation.
    pub struct OrganisationKey;
    /// `PipelineKey` identifies one pipeline, which callers select by name.
    pub struct PipelineKey;
    /// `ServiceKey` identifies one plain service.
    pub struct ServiceKey;
}

/// `Rank` is the index of a rank in order of urgency; 0 is the most urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank(pub u8);

/// `Names` assigns one key to each name and keeps it until the process ends.
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
    /// Returns the key of `name`, which it adds if it is new.
    pub fn intern(&mut self, name: &str) -> K {
        if let Some(&key) = self.keys.get(name) {
            return key;
        }
        let name: Arc<str> = name.into();
        let key = self.names.insert(Arc::clone(&name));
        self.keys.insert(name, key);
        key
    }

    /// Returns the key of `name`, or `None` if it was not interned.
    pub fn key(&self, name: &str) -> Option<K> {
        self.keys.get(name).copied()
    }

    /// Returns the name of `key`, or `?` if the key was assigned by another `Names`.
    pub fn name(&self, key: K) -> Arc<str> {
        self.names.get(key).cloned().unwrap_or_else(|| "?".into())
    }

    /// Returns the number of names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns whether there is no name yet.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
