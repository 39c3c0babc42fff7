//! The content of a lease's object.

use std::sync::Arc;
use std::time::Duration;

use hemlockwind_core::edges::ObjectVersion;

/// The fraction of a lease's duration that an observer waits beyond that duration, as a
/// divisor. It covers two monotonic clocks that each run up to 1.5% fast or slow.
const DRIFT_DIVISOR: u32 = 32;

/// `FencingToken` is the version of the lease's object, which an engine can compare to
/// refuse the orders of an earlier holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(pub u64);

/// `Nonce` identifies one write of one process uniquely and permanently.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Nonce {
    /// A random number that the process chose at its start.
    pub process: u128,
    /// The sequence number of the write. No other write of the process to the same object
    /// has this number.
    pub write: u64,
}

/// `Value` is the content of a lease's object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// The name of the instance that holds the lease.
    pub holder: Arc<str>,
    /// The write that stored this value.
    pub nonce: Nonce,
    /// How long the holder may act after it started the write.
    pub duration: Duration,
    /// Whether the holder released the lease before it started the write.
    pub released: bool,
    /// The newest era of the platform that the holder had seen when it started the write.
    pub era: u16,
}

impl Value {
    /// Returns how long an observer has to wait after it first read this value before it
    /// may replace it.
    ///
    /// The release of an era before that of the object's version says nothing: the platform may
    /// have been restored to it, or the write may have been late and have replaced a lease of the
    /// newer era that had the same revision.
    pub fn takeover_wait(&self, version: ObjectVersion) -> Duration {
        match self.released && self.era == version.era() {
            true => Duration::ZERO,
            false => takeover_wait(self.duration),
        }
    }
}

/// Returns how long an observer has to wait before it may replace a lease of this duration.
pub fn takeover_wait(duration: Duration) -> Duration {
    duration + duration / DRIFT_DIVISOR
}
