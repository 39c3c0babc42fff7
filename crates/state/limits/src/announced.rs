//! The limit that a backend server announces for all instances together.

use std::time::Duration;

use hemlockwind_core::time::Instant;

/// One request, in the unit of the balance: a billionth of a request. A thousandth of a request
/// per second is one unit per microsecond, so nothing is rounded.
const REQUEST_UNITS: u64 = 1_000_000_000;
/// The lowest rate that is used, in thousandths of a request per second. A server that announces
/// less gets this, as only an answer can end its limit.
const MIN_RATE_MILLIS: u64 = 250;
/// The time whose requests may be saved up, in thousandths of a second, in addition to one request.
const BURST_MS: u64 = 250;

/// `Rate` is a number of requests per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rate {
    /// Thousandths of a request per second.
    pub millis: u64,
}

/// `AnnouncedLimit` paces the requests to one backend server to the rate that it announced. It
/// begins without a saved request, so that the requests allowed by the previous owner of the limit
/// and by this one don't add up.
#[derive(Clone, Debug)]
pub struct AnnouncedLimit {
    rate: Rate,
    /// When the server was last seen to announce the rate.
    observed_at: Instant,
    /// Saved requests, in billionths of a request.
    balance: u64,
    refilled_at: Instant,
}

impl AnnouncedLimit {
    /// Returns a limit that was announced at `observed_at`, without a saved request.
    pub const fn new(now: Instant, rate: Rate, observed_at: Instant) -> Self {
        Self {
            rate,
            observed_at,
            balance: 0,
            refilled_at: now,
        }
    }

    /// Returns the announced rate.
    pub const fn rate(&self) -> Rate {
        self.rate
    }

    /// Returns when the server was last seen to announce the rate.
    pub const fn observed_at(&self) -> Instant {
        self.observed_at
    }

    /// Replaces the rate by one that was announced at `observed_at`, unless a newer one is known.
    pub fn observe(&mut self, now: Instant, rate: Rate, observed_at: Instant) {
        if observed_at < self.observed_at {
            return;
        }
        self.refill(now);
        self.rate = rate;
        self.observed_at = observed_at;
        self.balance = self.balance.min(self.max_balance());
    }

    /// Takes one request. Returns whether it may be sent now.
    pub fn try_take(&mut self, now: Instant) -> bool {
        self.refill(now);
        let is_allowed = self.balance >= REQUEST_UNITS;
        if is_allowed {
            self.balance -= REQUEST_UNITS;
        }
        is_allowed
    }

    /// Returns how many requests may be sent at `now`.
    pub fn available(&self, now: Instant) -> u64 {
        self.balance_at(now) / REQUEST_UNITS
    }

    /// Returns the time from `now` until a request may be sent.
    pub fn wait(&self, now: Instant) -> Duration {
        let missing = REQUEST_UNITS.saturating_sub(self.balance_at(now));
        Duration::from_micros(missing.div_ceil(self.rate_used()))
    }

    /// Returns the rate at which requests may be sent, in requests per second.
    pub fn per_second(&self) -> f64 {
        self.rate_used() as f64 / 1_000.0
    }

    /// Returns the rate used, in thousandths of a request per second.
    fn rate_used(&self) -> u64 {
        self.rate.millis.max(MIN_RATE_MILLIS)
    }

    /// Returns the maximum balance, in billionths of a request.
    fn max_balance(&self) -> u64 {
        let burst = self.rate_used().saturating_mul(BURST_MS * 1_000);
        REQUEST_UNITS.saturating_add(burst)
    }

    /// Returns the balance at `now`, in billionths of a request.
    fn balance_at(&self, now: Instant) -> u64 {
        let us = now.since(self.refilled_at).as_micros();
        let us = u64::try_from(us).unwrap_or(u64::MAX);
        let refill = us.saturating_mul(self.rate_used());
        self.balance.saturating_add(refill).min(self.max_balance())
    }

    fn refill(&mut self, now: Instant) {
        self.balance = self.balance_at(now);
        self.refilled_at = self.refilled_at.max(now);
    }
}
