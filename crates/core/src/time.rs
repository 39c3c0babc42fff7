//! Points in time, as arguments of decision code.

use std::ops::Add;
use std::time::Duration;

/// `Instant` is a point on the monotonic clock of one process, in microseconds
/// since a start that the process chose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(u64);

impl Instant {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);
    /// A point that never comes.
    pub const NEVER: Self = Self(u64::MAX);

    /// The instant that lies `us` microseconds after the start.
    pub const fn from_micros(us: u64) -> Self {
        Self(us)
    }

    /// The instant that lies `ms` milliseconds after the start.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Microseconds since the start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The time from `earlier` to `self`, zero when `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let us = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(us))
    }
}

/// `WallTime` is a point on the wall clock, in milliseconds since the Unix
/// epoch. Clocks of two instances may differ by a stated bound.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WallTime(u64);

impl WallTime {
    /// The point `ms` milliseconds after the Unix epoch.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms)
    }

    /// Milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The time from `earlier` to `self`, zero when `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// The point `by` before this one, or the epoch.
    pub fn before(self, by: Duration) -> Self {
        let ms = u64::try_from(by.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(ms))
    }
}

impl Add<Duration> for WallTime {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let ms = u64::try_from(rhs.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(ms))
    }
}
