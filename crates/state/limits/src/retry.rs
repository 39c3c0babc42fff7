//! The budget for retries, which keeps them from amplifying an overload.

use hemlockwind_core::time::Instant;

/// One retry, in the unit of the budget: a billionth of a retry. A thousandth of a retry
/// per second is one unit per microsecond, so nothing is rounded.
const RETRY_UNITS: u64 = 1_000_000_000;
/// A thousandth of a retry, in the unit of the budget.
const MILLI_UNITS: u64 = 1_000_000;

/// `Policy` sets how many retries are allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Thousandths of a retry that each success allows.
    pub per_success: u64,
    /// Thousandths of a retry that each second allows.
    pub per_second: u64,
    /// The maximum number of unused retries that accumulate. 0 counts as 1.
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

/// `RetryBudget` allows retries up to a share of recent successes, and a low rate in
/// addition, so that an instance with little traffic can retry too.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    policy: Policy,
    /// Unused retries, in billionths of a retry.
    balance: u64,
    refilled_at: Instant,
}

impl RetryBudget {
    /// Returns a full budget.
    pub fn new(now: Instant, policy: Policy) -> Self {
        let mut budget = Self {
            policy,
            balance: 0,
            refilled_at: now,
        };
        budget.balance = budget.max_balance();
        budget
    }

    /// Replaces the policy. Unused retries beyond its burst are lost.
    pub fn set_policy(&mut self, now: Instant, policy: Policy) {
        self.refill(now);
        self.policy = policy;
        self.balance = self.balance.min(self.max_balance());
    }

    /// Adds what one success allows.
    pub fn on_success(&mut self, now: Instant) {
        self.refill(now);
        self.add_units(self.policy.per_success.saturating_mul(MILLI_UNITS));
    }

    /// Takes one retry from the budget. Returns whether the retry is allowed.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.refill(now);
        let allowed = self.balance >= RETRY_UNITS;
        if allowed {
            self.balance -= RETRY_UNITS;
        }
        allowed
    }

    /// Returns the maximum balance, in billionths of a retry.
    fn max_balance(&self) -> u64 {
        self.policy.burst.max(1).saturating_mul(RETRY_UNITS)
    }

    /// Adds what the time since the last call allows.
    fn refill(&mut self, now: Instant) {
        let us = now.since(self.refilled_at).as_micros();
        let us = u64::try_from(us).unwrap_or(u64::MAX);
        self.refilled_at = self.refilled_at.max(now);
        self.add_units(us.saturating_mul(self.policy.per_second));
    }

    fn add_units(&mut self, units: u64) {
        self.balance = self.balance.saturating_add(units).min(self.max_balance());
    }
}
