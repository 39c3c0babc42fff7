//! Points in time, which decision code takes as arguments.

use std::ops::Add;
use std::time::Duration;

/// `Instant` is a point on the monotonic clock of one process, in microseconds
/// since the start of that clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(u64);

impl Instant {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);
    /// A point in time that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// Returns the instant `us` microseconds after the start.
    pub const fn from_micros(us: u64) -> Self {
        Self(us)
    }

    /// Returns the instant `ms` milliseconds after the start.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Returns the microseconds since the start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time from `earlier` to `self`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the instant `by` before this one, at the earliest the start of the clock.
    pub fn before(self, by: Duration) -> Self {
        let us = u64::try_from(by.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(us))
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
/// epoch. The clocks of two instances may differ by up to twice the `max_skew` in the
/// options of the claims crate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WallTime(u64);

impl WallTime {
    /// Returns the point `ms` milliseconds after the Unix epoch.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms)
    }

    /// Returns the milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time from `earlier` to `self`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// Returns the point `by` before this one, at the earliest the Unix epoch.
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
