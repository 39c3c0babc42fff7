//! The choice of another data centre's pool when the wait in the local one is too long.

use std::time::Duration;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::names::DataCentreKey;
use hemlockwind_core::names::Rank;

/// The local wait above which the pools of other data centres are considered.
const TARGET_WAIT: Duration = Duration::from_millis(10);
/// The least time that another pool must save.
const MIN_GAIN: Duration = Duration::from_millis(5);

/// The factor by which the move of a waiting queue entry must shorten its wait.
const MOVE_GAIN_FACTOR: u32 = 4;

/// `Options` holds the settings of spilling.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// The longest local wait that is accepted, by rank.
    pub targets: Vec<Duration>,
    /// The least time that another pool must save.
    pub gain: Duration,
}

impl Options {
    /// Returns options with the same short target for each of `ranks` ranks. With longer
    /// targets, requests wait while slots elsewhere are free; see docs/design/queueing.md.
    pub fn new(ranks: usize) -> Self {
        Self {
            targets: vec![TARGET_WAIT; ranks],
            gain: MIN_GAIN,
        }
    }
}

/// `View` holds the last state received of the pool of another data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The round-trip time of a message.
    pub round_trip: Duration,
    /// The estimated wait of a new queue entry, by rank.
    pub waits: Vec<Duration>,
    /// The number of free slots when the view was made, less the queue entries sent there
    /// since.
    pub free: u32,
}

/// `Spill` decides which data centre's pool a queue entry goes to.
#[derive(Clone, Debug)]
pub struct Spill {
    options: Options,
    views: HashMap<DataCentreKey, View>,
}

impl Spill {
    /// Returns a state without views of other pools.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            views: HashMap::default(),
        }
    }

    /// Replaces the options.
    pub fn set_options(&mut self, options: Options) {
        self.options = options;
    }

    /// Replaces the view of the pool in `data_centre`, or removes it.
    pub fn update(&mut self, data_centre: DataCentreKey, view: Option<View>) {
        match view {
            Some(view) => self.views.insert(data_centre, view),
            None => self.views.remove(&data_centre),
        };
    }

    /// Returns the data centre to send a queue entry of `rank` to, or `None` to keep it
    /// local. `local` holds the local waits by rank.
    ///
    /// While the local wait is too long, the most urgent rank goes to any pool where it
    /// waits less. Other ranks go only to pools with free slots, and to none while a more
    /// urgent rank waits too long too.
    pub fn choose(&mut self, rank: Rank, local: &[Duration]) -> Option<DataCentreKey> {
        let index = usize::from(rank.0);
        if !self.waits_too_long(rank, local) {
            return None;
        }
        let urgent_waits_too_long = (0..rank.0).any(|r| self.waits_too_long(Rank(r), local));
        if urgent_waits_too_long {
            return None;
        }
        let limit = self.limit(index, local);
        let (&data_centre, _) = self
            .views
            .iter()
            .filter(|(_, v)| v.expected(index) < limit && (index == 0 || v.free > 0))
            .min_by_key(|(k, v)| (v.free == 0, v.expected(index), **k))?;
        if let Some(view) = self.views.get_mut(&data_centre) {
            view.free = view.free.saturating_sub(1);
        }
        Some(data_centre)
    }

    /// Returns whether a waiting queue entry of `rank` should move to a pool with an
    /// expected wait of `expected`: it waits too long, and the move saves most of its wait.
    /// A small gain is not enough, since the entry gives up its position in the local queue
    /// and a stream in another data centre is slower.
    pub fn should_move(&self, rank: Rank, local: &[Duration], expected: Duration) -> bool {
        let limit = self.limit(usize::from(rank.0), local);
        self.waits_too_long(rank, local) && expected < limit / MOVE_GAIN_FACTOR
    }

    /// Returns the time that the wait in another pool must stay below.
    fn limit(&self, rank: usize, local: &[Duration]) -> Duration {
        wait_of(local, rank).saturating_sub(self.options.gain)
    }

    /// Returns whether `rank` waits longer than its target. `local` holds the local waits
    /// by rank.
    pub fn waits_too_long(&self, rank: Rank, local: &[Duration]) -> bool {
        let rank = usize::from(rank.0);
        let target = self.options.targets.get(rank);
        target.is_some_and(|&t| wait_of(local, rank) > t)
    }
}

impl View {
    /// Returns the expected time until the start of a new queue entry.
    fn expected(&self, rank: usize) -> Duration {
        self.round_trip + wait_of(&self.waits, rank)
    }
}

fn wait_of(waits: &[Duration], rank: usize) -> Duration {
    waits.get(rank).copied().unwrap_or_default()
}
