//! What is counted in one run.

use std::time::Duration;

use crate::deployment::RANKS;

/// `Tally` counts the requests of one rank or one group of callers.
#[derive(Default)]
pub struct Tally {
    pub offered: u32,
    pub on_time: u32,
    pub refused: u32,
    pub tokens: u64,
    first: Vec<Duration>,
    between: Vec<Duration>,
}

/// `Outcome` is the result of one run.
#[derive(Default)]
pub struct Outcome {
    pub ranks: [Tally; RANKS],
    /// The same for small organisations alone.
    pub small: [Tally; RANKS],
    /// Tokens a second beside the bound.
    pub throughput: f64,
    /// The longest pause of a stream whose stage was killed, after detection.
    pub gap: Duration,
    /// Refusals while a pool had a free slot.
    pub refused_idle: u32,
}

impl Tally {
    pub fn first_token(&mut self, after: Duration, target: Duration) {
        self.first.push(after);
        self.on_time += u32::from(after <= target);
    }

    pub fn between_tokens(&mut self, time: Duration) {
        self.between.push(time);
    }

    pub fn on_time_share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.offered.max(1))
    }

    pub fn refused_share(&self) -> f64 {
        f64::from(self.refused) / f64::from(self.offered.max(1))
    }

    pub fn first_p95(&self) -> Duration {
        p95(&self.first)
    }

    pub fn between_p95(&self) -> Duration {
        p95(&self.between)
    }
}

impl Outcome {
    /// The share of all tokens that `rank` got.
    pub fn kept(&self, rank: usize) -> f64 {
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
