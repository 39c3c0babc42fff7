//! Compares the retry budget with the retries that every interval of time allows.

use std::time::Duration;

use proptest::prelude::*;

use crate::config;
use hemlockwind_core::time::Instant;
use hemlockwind_limits::RetryBudget;
use hemlockwind_limits::retry::Policy;

/// The seed of the cases.
const SEED: u64 = 0x5eed_0004;
/// One retry, in billionths.
const RETRY: i128 = 1_000_000_000;

/// `Op` is a success, or else a request to retry, after a pause in microseconds.
#[derive(Clone, Copy, Debug)]
struct Op {
    pause: u64,
    success: bool,
}

fn op() -> impl Strategy<Value = Op> {
    (0..300_000u64, any::<bool>()).prop_map(|(pause, success)| Op { pause, success })
}

proptest! {
    #![proptest_config(config(SEED))]

    /// A retry is allowed if and only if, counting it, no interval that ends now has more
    /// retries than the burst plus what the interval's successes and seconds allow.
    #[test]
    fn try_retry_every_interval(
        ops in prop::collection::vec(op(), 0..100),
        per_success in 0..400u64,
        per_second in 0..3_000u64,
        burst in 0..5u64,
    ) {
        let policy = Policy { per_success, per_second, burst };
        let mut now = Instant::ZERO;
        let mut budget = RetryBudget::new(now, policy);
        // What each op added and took, in billionths of a retry.
        let mut history: Vec<(i128, i128)> = Vec::new();
        for Op { pause, success } in ops {
            now = now + Duration::from_micros(pause);
            history.push((i128::from(pause * per_second), 0));
            if success {
                history.push((i128::from(per_success) * 1_000_000, 0));
                budget.on_success(now);
                continue;
            }
            let left = |interval: &[(i128, i128)]| -> i128 {
                interval.iter().map(|(allowed, taken)| allowed - taken).sum()
            };
            let least = (0..=history.len()).map(|start| left(&history[start..])).min();
            let left = i128::from(burst.max(1)) * RETRY + least.unwrap();
            prop_assert_eq!(budget.try_retry(now), left >= RETRY);
            if left >= RETRY {
                history.push((0, RETRY));
            }
        }
    }
}
