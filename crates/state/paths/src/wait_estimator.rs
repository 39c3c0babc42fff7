//! The estimate of how long a queue entry waits.

use std::time::Duration;

use hemlockwind_core::time::Instant;

/// The weight of one finished request in the moving average of running times.
const WEIGHT: f64 = 0.05;
/// The mean running time before any request has finished, in seconds: about that of an answer
/// of 170 tokens at 25 ms each.
const INITIAL_MEAN_S: f64 = 4.0;

/// `WaitEstimator` averages how long a request holds its memory.
#[derive(Clone, Debug)]
pub(crate) struct WaitEstimator {
    /// The moving average, in seconds.
    mean_s: f64,
}

impl Default for WaitEstimator {
    fn default() -> Self {
        Self {
            mean_s: INITIAL_MEAN_S,
        }
    }
}

impl WaitEstimator {
    /// Records a request that ran from `started` to `now`.
    pub fn finished(&mut self, started: Instant, now: Instant) {
        let s = now.since(started).as_secs_f64();
        self.mean_s += (s - self.mean_s) * WEIGHT;
    }

    /// Returns the mean time that a request runs, in seconds.
    pub const fn mean_s(&self) -> f64 {
        self.mean_s
    }

    /// Returns the expected wait until memory for `ahead` tokens has become free while
    /// `running` tokens are held: by Little's law they are released at a rate of
    /// running / mean. At most an hour.
    pub fn expected_wait(&self, ahead: f64, running: f64) -> Duration {
        if ahead <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((self.mean_s * ahead / running.max(1.0)).min(3_600.0))
    }
}
