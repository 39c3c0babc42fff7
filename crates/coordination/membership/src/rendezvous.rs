//! Rendezvous hashing of assignments over instance names.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// `Assignment` is work that a few instances do for their whole data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Assignment<'a> {
    /// Watch the configuration in the platform.
    Configuration,
    /// Read the platform's list.
    List,
    /// Notify other data centres of leaving backend servers.
    Departures,
    /// Own the queue of the pool with this name.
    Pool(&'a str),
    /// Issue orders to the backend server with this name.
    Orders(&'a str),
    /// Poll the load of the backend server with this name.
    Load(&'a str),
    /// Decide on the idempotency keys of this slot.
    Slot(u32),
}

impl Assignment<'_> {
    fn seed(self) -> u64 {
        match self {
            Self::Configuration => xxh3_64_with_seed(b"configuration", 0),
            Self::List => xxh3_64_with_seed(b"list", 0),
            Self::Departures => xxh3_64_with_seed(b"departures", 0),
            Self::Pool(name) => xxh3_64_with_seed(name.as_bytes(), 1),
            Self::Orders(name) => xxh3_64_with_seed(name.as_bytes(), 2),
            Self::Load(name) => xxh3_64_with_seed(name.as_bytes(), 4),
            Self::Slot(slot) => xxh3_64_with_seed(&slot.to_le_bytes(), 3),
        }
    }
}

/// Returns the rendezvous score of the instance `name` for `assignment`. The instances
/// with the highest scores hold it.
pub fn score(assignment: Assignment<'_>, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), assignment.seed())
}
