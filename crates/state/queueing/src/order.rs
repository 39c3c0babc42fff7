//! The order of ranks: the most urgent first, but none below its floor.
//!
//! A rank with waiting queue entries is entitled to its floor of the cost that is served
//! meanwhile. While it has a deficit, it is served before more urgent ranks.

/// The upper limit of a floor. It keeps [`RankState::ratio`] finite.
const MAX_FLOOR: f64 = 0.99;

/// `RankOrder` decides which rank is served next.
#[derive(Debug)]
pub struct RankOrder {
    ranks: Vec<RankState>,
}

/// `RankState` holds the floor and the deficit of one rank.
#[derive(Clone, Copy, Debug)]
struct RankState {
    /// The cost that the rank must get per unit of cost of other ranks to meet its floor.
    ratio: f64,
    /// The cost that the rank is short of its floor; negative when it got more.
    deficit: f64,
}

impl RankOrder {
    /// Returns the state before any rank is served. `floors` are shares of all served
    /// cost.
    pub fn new(floors: &[f64]) -> Self {
        let ranks = floors.iter().map(|f| f.clamp(0.0, MAX_FLOOR));
        let ranks = ranks.map(|f| RankState {
            ratio: f / (1.0 - f),
            deficit: 0.0,
        });
        Self {
            ranks: ranks.collect(),
        }
    }

    /// Clears the deficit of a rank that had nothing waiting until now, so that it does
    /// not accumulate any while idle.
    pub fn activate(&mut self, rank: usize) {
        self.ranks[rank].deficit = self.ranks[rank].deficit.min(0.0);
    }

    /// Returns whether `rank` has got less than its floor.
    pub fn has_deficit(&self, rank: usize) -> bool {
        self.ranks[rank].deficit > 0.0
    }

    /// Returns the rank to serve next, of those for which `is_waiting` is true.
    pub fn next(&self, is_waiting: impl Fn(usize) -> bool) -> Option<usize> {
        let first = (0..self.ranks.len()).find(|&r| is_waiting(r))?;
        let below_floor =
            (first + 1..self.ranks.len()).find(|&r| is_waiting(r) && self.has_deficit(r));
        Some(below_floor.unwrap_or(first))
    }

    /// Records that `cost` was served to `rank` while the ranks for which `is_waiting` is
    /// true waited too. The surplus of a rank over its floor is limited to the cost of one
    /// queue entry.
    pub fn charge(&mut self, rank: usize, cost: u64, is_waiting: impl Fn(usize) -> bool) {
        let cost = cost.max(1) as f64;
        for (other, state) in self.ranks.iter_mut().enumerate() {
            if other == rank {
                let min_deficit = state.deficit.min(-cost);
                state.deficit = (state.deficit - cost).max(min_deficit);
            } else if is_waiting(other) {
                state.deficit += state.ratio * cost;
            }
        }
    }
}
