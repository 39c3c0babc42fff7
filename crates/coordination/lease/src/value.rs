//! What the object of a lease holds.

use std::sync::Arc;
use std::time::Duration;

/// Wait of an observer beyond a lease's duration, as a part of that duration. It
/// covers two monotonic clocks that each run up to 1.5% fast or slow.
const DRIFT_DIVISOR: u32 = 32;

/// `Fencing` is a fencing token: the version of the lease's object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fencing(pub u64);

/// `Nonce` names one write of one process for ever.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Nonce {
    /// A random number that the process drew at its start.
    pub process: u128,
    /// The count of the process's writes to this object.
    pub write: u64,
}

/// `Value` is the content of a lease's object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// The name of the instance that holds the lease.
    pub holder: Arc<str>,
    /// The write that left this value.
    pub nonce: Nonce,
    /// How long the holder may act after it began the write.
    pub duration: Duration,
    /// Whether the holder gave the lease up before it began the write.
    pub released: bool,
}

impl Value {
    /// How long an observer must have known this value before it may replace it.
    pub fn takeover_wait(&self) -> Duration {
        match self.released {
            true => Duration::ZERO,
            false => self.duration + self.duration / DRIFT_DIVISOR,
        }
    }
}
