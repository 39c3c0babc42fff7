//! Rendezvous hashing of duties over names.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// `Duty` is something that a few instances of a data centre do for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Duty<'a> {
    /// Watches the configuration in the platform.
    Configuration,
    /// Reads the platform's list.
    List,
    /// Tells other data centres of leaving backend servers.
    Departures,
    /// Queues for the pool of this name.
    Pool(&'a str),
    /// Gives orders to the backend server of this name.
    Orders(&'a str),
    /// Asks the backend server of this name for its load.
    Load(&'a str),
    /// Decides about the idempotency keys of this slot.
    Slot(u32),
}

impl Duty<'_> {
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

/// The weight of the instance `name` for `duty`; the highest ones hold it.
pub fn score(duty: Duty<'_>, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), duty.seed())
}
