//! The results of one run.

use std::time::Duration;

use crate::deployment::RANKS;

/// `Tally` holds the counts and times of one rank's requests.
#[derive(Default)]
pub struct Tally {
    pub offered: u32,
    pub on_time: u32,
    pub refused: u32,
    pub tokens: u64,
    first_token_times: Vec<Duration>,
    mean_token_intervals: Vec<Duration>,
}

/// `Outcome` is the result of one run.
#[derive(Default)]
pub struct Outcome {
    pub ranks: [Tally; RANKS],
    /// The same for the requests of small organisations only.
    pub small: [Tally; RANKS],
    /// Tokens per second, as a share of the hardware bound.
    pub throughput: f64,
    /// The longest pause of a stream whose engine was killed, after its detection.
    pub longest_pause: Duration,
    /// The number of requests refused while a pool had free slots beyond its headroom.
    pub refused_idle: u32,
}

impl Tally {
    /// Records the time to a request's first token.
    pub fn record_first_token(&mut self, time: Duration, target: Duration) {
        self.first_token_times.push(time);
        self.on_time += u32::from(time <= target);
    }

    /// Records the mean time between the tokens of an answer.
    pub fn record_mean_interval(&mut self, time: Duration) {
        self.mean_token_intervals.push(time);
    }

    pub fn on_time_share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.offered.max(1))
    }

    pub fn refused_share(&self) -> f64 {
        f64::from(self.refused) / f64::from(self.offered.max(1))
    }

    pub fn first_token_p95(&self) -> Duration {
        p95(&self.first_token_times)
    }

    pub fn mean_interval_p95(&self) -> Duration {
        p95(&self.mean_token_intervals)
    }
}

impl Outcome {
    /// Returns the share of all tokens that were for `rank`.
    pub fn token_share(&self, rank: usize) -> f64 {
        let all: u64 = self.ranks.iter().map(|t| t.tokens).sum();
        self.ranks[rank].tokens as f64 / all.max(1) as f64
    }
}

fn p95(times: &[Duration]) -> Duration {
    let mut times = times.to_vec();
    times.sort_unstable();
    let at = times.len() * 95 / 100;
    times.get(at).copied().unwrap_or_default()
}
