//! Measured speeds of a pool, from which waits are estimated.

use std::time::Duration;

use hemlockwind_core::time::Instant;

/// The time over which the rate of grants of a rank is averaged.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// The part that one finished request has in the average speed of a slot.
const SPEED_WEIGHT: f64 = 1.0 / 128.0;
/// The least share of a pool's speed that an estimate counts on.
const SHARE_MIN: f64 = 1e-3;

/// `Meter` measures the speed of a slot and the rate of grants by rank.
#[derive(Debug)]
pub struct Meter {
    cost: f64,
    held_s: f64,
    rates: Vec<Rate>,
}

/// `Demand` is what stands before a new ticket of one rank.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Waiting cost of more urgent ranks.
    pub more_urgent: f64,
    /// Waiting cost of the same rank that comes first.
    pub same_rank: f64,
    /// The floor of the ticket's rank, 0 to 1.
    pub floor: f64,
    /// The floors of less urgent ranks that have work, 0 to 1.
    pub less_urgent_floors: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    sum: f64,
    at: Instant,
}

impl Meter {
    /// Nothing is measured yet.
    pub fn new(ranks: usize) -> Self {
        Self {
            cost: 0.0,
            held_s: 0.0,
            rates: vec![Rate::default(); ranks],
        }
    }

    /// Counts a request that held a slot for `held` and had `cost`.
    pub fn finished(&mut self, cost: u64, held: Duration) {
        self.cost += SPEED_WEIGHT * (cost as f64 - self.cost);
        self.held_s += SPEED_WEIGHT * (held.as_secs_f64() - self.held_s);
    }

    /// Counts a grant.
    pub fn granted(&mut self, now: Instant, rank: usize, cost: u64) {
        let rate = &mut self.rates[rank];
        rate.sum = rate.decayed(now) + cost as f64;
        rate.at = now;
    }

    /// The speed of `slots`, in cost a second, once a request has finished.
    fn speed(&self, slots: u32) -> Option<f64> {
        (self.held_s > 0.0).then(|| f64::from(slots) * self.cost / self.held_s)
    }

    /// The cost a second that was granted to ranks before `rank`.
    fn more_urgent_rate(&self, now: Instant, rank: usize) -> f64 {
        let sum: f64 = self.rates[..rank].iter().map(|r| r.decayed(now)).sum();
        sum / RATE_WINDOW.as_secs_f64()
    }

    /// The estimated wait, or none while the speed is unknown.
    pub fn wait(&self, now: Instant, slots: u32, rank: usize, demand: Demand) -> Option<Duration> {
        let speed = self.speed(slots)?;
        let rest = speed * (1.0 - demand.less_urgent_floors) - self.more_urgent_rate(now, rank);
        let rest = rest.max(speed * SHARE_MIN);
        let floor = (speed * demand.floor).max(speed * SHARE_MIN);
        let by_rest = (demand.more_urgent + demand.same_rank) / rest;
        let by_floor = demand.same_rank / floor;
        let wait = if demand.floor > 0.0 {
            by_rest.min(by_floor)
        } else {
            by_rest
        };
        Duration::try_from_secs_f64(wait).ok()
    }
}

impl Rate {
    fn decayed(self, now: Instant) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.sum * (-age / RATE_WINDOW.as_secs_f64()).exp()
    }
}
