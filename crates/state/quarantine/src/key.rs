//! Keys that are the same at all instances.

use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;

/// `ServiceKey` identifies a service by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceKey(pub u64);

/// `PartKey` identifies a part of a prompt within a service, by a hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartKey(pub u64);

/// `EngineRun` identifies one run of an engine's process, by a hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineRun(pub u64);

impl ServiceKey {
    /// Returns the key of the service with this name.
    pub fn new(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

impl PartKey {
    /// Returns the key of the part with this id.
    pub fn new(service: ServiceKey, id: &str) -> Self {
        let mut hasher = Xxh3::with_seed(service.0);
        hasher.update(id.as_bytes());
        Self(hasher.digest())
    }
}

impl EngineRun {
    /// Returns the key of the run of the engine `id` that started at `born_ms`, in milliseconds
    /// since the Unix epoch.
    pub fn new(id: &str, born_ms: u64) -> Self {
        let mut hasher = Xxh3::with_seed(born_ms);
        hasher.update(id.as_bytes());
        Self(hasher.digest())
    }
}
