//! How long a ticket is expected to wait.

use std::time::Duration;

use hemlockwind_core::time::Instant;

/// The weight of one finished request in the mean time that requests take.
const WEIGHT: f64 = 0.05;
/// The mean time before any has finished: an answer of 170 tokens at 25 ms each.
const FIRST_MEAN_S: f64 = 4.0;

/// `Meter` learns the mean time that a request holds its memory.
#[derive(Clone, Debug)]
pub(crate) struct Meter {
    mean_s: f64,
}

impl Default for Meter {
    fn default() -> Self {
        Self {
            mean_s: FIRST_MEAN_S,
        }
    }
}

impl Meter {
    /// Takes a request that ran from `started` to `now`.
    pub fn finished(&mut self, started: Instant, now: Instant) {
        let s = now.since(started).as_secs_f64();
        self.mean_s += (s - self.mean_s) * WEIGHT;
    }

    /// The expected wait until `ahead` tokens have found room, while `running` tokens
    /// hold the memory: by Little's law they leave at running / mean.
    pub fn wait(&self, ahead: f64, running: f64) -> Duration {
        if ahead <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((self.mean_s * ahead / running.max(1.0)).min(3_600.0))
    }
}
