//! The budget for another try, so that retries don't multiply an overload.

use hemlockwind_core::time::Instant;

/// Billionths of a retry, the unit of the budget. A thousandth of a retry each
/// second is one of them each microsecond, so that nothing is rounded.
const RETRY: u64 = 1_000_000_000;
/// Billionths of a retry in a thousandth.
const MILLI: u64 = 1_000_000;

/// `Policy` is how many retries there may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Thousandths of a retry that each success allows.
    pub per_success: u64,
    /// Thousandths of a retry that each second allows.
    pub per_second: u64,
    /// Retries that are saved up at most, at least one.
    pub burst: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            per_success: 100,
            per_second: 1_000,
            burst: 100,
        }
    }
}

/// `RetryBudget` allows retries up to a share of recent successes and a small
/// rate besides, so that a quiet instance may retry too.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    policy: Policy,
    saved: u64,
    counted_to: Instant,
}

impl RetryBudget {
    /// A budget that is full.
    pub fn new(now: Instant, policy: Policy) -> Self {
        let mut budget = Self {
            policy,
            saved: 0,
            counted_to: now,
        };
        budget.saved = budget.most();
        budget
    }

    /// Goes on with another policy; what is saved beyond its burst is lost.
    pub fn set_policy(&mut self, now: Instant, policy: Policy) {
        self.add(now);
        self.policy = policy;
        self.saved = self.saved.min(self.most());
    }

    /// Takes a success.
    pub fn on_success(&mut self, now: Instant) {
        self.add(now);
        self.save(self.policy.per_success.saturating_mul(MILLI));
    }

    /// Takes one retry out of the budget. Returns whether it may be made.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.add(now);
        let allowed = self.saved >= RETRY;
        if allowed {
            self.saved -= RETRY;
        }
        allowed
    }

    /// The most that is saved up.
    fn most(&self) -> u64 {
        self.policy.burst.max(1).saturating_mul(RETRY)
    }

    /// Adds what the time since the last call gives.
    fn add(&mut self, now: Instant) {
        let us = now.since(self.counted_to).as_micros();
        let us = u64::try_from(us).unwrap_or(u64::MAX);
        self.counted_to = self.counted_to.max(now);
        self.save(us.saturating_mul(self.policy.per_second));
    }

    fn save(&mut self, gained: u64) {
        self.saved = self.saved.saturating_add(gained).min(self.most());
    }
}
