//! Estimates of waiting times from the measured speed of a pool.

use std::time::Duration;

use hemlockwind_core::time::Instant;

/// The time constant of the exponential average of the grants of a rank.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// The weight of one finished request in the moving average of the speed of a slot.
const SPEED_WEIGHT: f64 = 1.0 / 128.0;
/// The least share of a pool's speed that an estimate assumes.
const MIN_SHARE: f64 = 1e-3;

/// `Meter` measures the speed of a slot and the rate of grants by rank.
#[derive(Debug)]
pub struct Meter {
    mean_cost: f64,
    mean_held_s: f64,
    rates: Vec<Rate>,
}

/// `Demand` holds the work that is served before a new queue entry of one rank.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// The cost of the waiting queue entries of more urgent ranks.
    pub more_urgent: f64,
    /// The cost of the waiting queue entries of the same rank that are served first.
    pub same_rank: f64,
    /// The floor of the queue entry's rank, 0 to 1.
    pub floor: f64,
    /// The sum of the floors of less urgent ranks with waiting queue entries, 0 to 1.
    pub less_urgent_floors: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    sum: f64,
    at: Instant,
}

impl Meter {
    /// Returns a meter without measurements for this number of ranks.
    pub fn new(ranks: usize) -> Self {
        Self {
            mean_cost: 0.0,
            mean_held_s: 0.0,
            rates: vec![Rate::default(); ranks],
        }
    }

    /// Records a finished request of cost `cost` that held a slot for `held`.
    pub fn finished(&mut self, cost: u64, held: Duration) {
        self.mean_cost += SPEED_WEIGHT * (cost as f64 - self.mean_cost);
        self.mean_held_s += SPEED_WEIGHT * (held.as_secs_f64() - self.mean_held_s);
    }

    /// Records a grant of cost `cost` to `rank`.
    pub fn granted(&mut self, now: Instant, rank: usize, cost: u64) {
        let rate = &mut self.rates[rank];
        rate.sum = rate.decayed(now) + cost as f64;
        rate.at = now;
    }

    /// Returns the speed of `slots` slots in cost per second, or `None` while no request
    /// has finished.
    fn speed(&self, slots: u32) -> Option<f64> {
        (self.mean_held_s > 0.0).then(|| f64::from(slots) * self.mean_cost / self.mean_held_s)
    }

    /// Returns the cost per second that is granted to ranks more urgent than `rank`.
    fn more_urgent_rate(&self, now: Instant, rank: usize) -> f64 {
        let sum: f64 = self.rates[..rank].iter().map(|r| r.decayed(now)).sum();
        sum / RATE_WINDOW.as_secs_f64()
    }

    /// Returns the estimated wait, or `None` while no speed has been measured or when the
    /// wait is too long for a `Duration`.
    pub fn wait(&self, now: Instant, slots: u32, rank: usize, demand: Demand) -> Option<Duration> {
        let speed = self.speed(slots)?;
        let priority_speed =
            speed * (1.0 - demand.less_urgent_floors) - self.more_urgent_rate(now, rank);
        let priority_speed = priority_speed.max(speed * MIN_SHARE);
        let floor_speed = (speed * demand.floor).max(speed * MIN_SHARE);
        let priority_wait = (demand.more_urgent + demand.same_rank) / priority_speed;
        let floor_wait = demand.same_rank / floor_speed;
        let wait = if demand.floor > 0.0 {
            priority_wait.min(floor_wait)
        } else {
            priority_wait
        };
        Duration::try_from_secs_f64(wait).ok()
    }
}

impl Rate {
    /// Returns the sum as it has decayed until `now`.
    fn decayed(self, now: Instant) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.sum * (-age / RATE_WINDOW.as_secs_f64()).exp()
    }
}
