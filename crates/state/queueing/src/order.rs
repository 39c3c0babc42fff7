//! The order of ranks: the most urgent first, but none below its floor.
//!
//! A rank with waiting tickets is owed its floor of the cost that is served while
//! it waits. Once it is owed something it comes before more urgent ranks.

/// The floor at most, so that what is owed stays finite.
const FLOOR_MAX: f64 = 0.99;

/// `Order` decides which rank is served next.
#[derive(Debug)]
pub struct Order {
    ranks: Vec<Account>,
}

#[derive(Clone, Copy, Debug)]
struct Account {
    /// Own cost for each cost of others that keeps the floor.
    ratio: f64,
    /// The cost that the rank should have got and has not.
    owed: f64,
}

impl Order {
    /// No rank has been served yet; `floors` are shares of all served cost.
    pub fn new(floors: &[f64]) -> Self {
        let ranks = floors.iter().map(|f| f.clamp(0.0, FLOOR_MAX));
        let ranks = ranks.map(|f| Account {
            ratio: f / (1.0 - f),
            owed: 0.0,
        });
        Self {
            ranks: ranks.collect(),
        }
    }

    /// A rank that had nothing waiting has now; idleness saved nothing up.
    pub fn activate(&mut self, rank: usize) {
        self.ranks[rank].owed = self.ranks[rank].owed.min(0.0);
    }

    /// Whether `rank` has got less than its floor.
    pub fn is_owed(&self, rank: usize) -> bool {
        self.ranks[rank].owed > 0.0
    }

    /// The rank to serve next, of those for which `waits` holds.
    pub fn next(&self, waits: impl Fn(usize) -> bool) -> Option<usize> {
        let first = (0..self.ranks.len()).find(|&r| waits(r))?;
        let owed = (first + 1..self.ranks.len()).find(|&r| waits(r) && self.is_owed(r));
        Some(owed.unwrap_or(first))
    }

    /// Counts `cost` as served to `rank`, where `waits` tells who waited beside it.
    /// What a rank got beyond its floor is held against it for one ticket at most.
    pub fn charge(&mut self, rank: usize, cost: u64, waits: impl Fn(usize) -> bool) {
        let cost = cost.max(1) as f64;
        for (other, account) in self.ranks.iter_mut().enumerate() {
            if other == rank {
                let surplus = account.owed.min(-cost);
                account.owed = (account.owed - cost).max(surplus);
            } else if waits(other) {
                account.owed += account.ratio * cost;
            }
        }
    }
}
