//! Which data centres take starts of others because of load.
//!
//! Designed for one overloaded data centre whose callers start in the others for some seconds:
//! operators see when that began and ended, and by which loads.

use std::time::Duration;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::names::DataCentreKey;
use hemlockwind_core::time::Instant;

/// Time without a start in the other data centre after which the spill has ended.
const QUIET_TIME: Duration = Duration::from_secs(2);

/// `Spill` is a change of the load that one data centre takes for another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spill {
    /// The data centre of the callers.
    pub from: DataCentreKey,
    /// The data centre of the engines.
    pub to: DataCentreKey,
    /// Whether it began; otherwise it ended.
    pub is_begin: bool,
    /// The loads of the two at the decision: the reserved part of the usable memory.
    pub loads: (f64, f64),
    /// The starts so far.
    pub starts: u64,
}

/// `Spills` counts the starts by pairs of data centres.
#[derive(Debug, Default)]
pub struct Spills {
    pairs: HashMap<(DataCentreKey, DataCentreKey), Pair>,
}

/// `Pair` is the count of one pair.
#[derive(Debug)]
struct Pair {
    starts: u64,
    loads: (f64, f64),
    /// When the spill ends if no other start follows.
    ends_at: Instant,
    /// Whether its begin was reported and its end was not.
    is_reported: bool,
}

impl Spills {
    /// Counts a start of a caller of `from` in the data centre `to`.
    pub fn count(
        &mut self,
        now: Instant,
        from: DataCentreKey,
        to: DataCentreKey,
        loads: (f64, f64),
    ) {
        let pair = self.pairs.entry((from, to)).or_insert(Pair {
            starts: 0,
            loads,
            ends_at: now,
            is_reported: false,
        });
        pair.starts += 1;
        pair.loads = loads;
        pair.ends_at = now + QUIET_TIME;
    }

    /// Returns the spills that have begun or ended since the last call.
    pub fn take_changes(&mut self, now: Instant) -> Vec<Spill> {
        let mut changes = Vec::new();
        for ((from, to), pair) in &mut self.pairs {
            let is_active = pair.ends_at > now;
            if is_active != pair.is_reported {
                pair.is_reported = is_active;
                changes.push(Spill {
                    from: *from,
                    to: *to,
                    is_begin: is_active,
                    loads: pair.loads,
                    starts: pair.starts,
                });
            }
        }
        changes
    }

    /// Returns the starts of each pair of data centres.
    pub fn starts(&self) -> impl Iterator<Item = (DataCentreKey, DataCentreKey, u64)> {
        self.pairs
            .iter()
            .map(|((from, to), p)| (*from, *to, p.starts))
    }
}
