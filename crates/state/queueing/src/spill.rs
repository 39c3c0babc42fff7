//! The choice of another data centre's pool when the local one waits too long.

use std::time::Duration;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::names::DataCentreKey;
use hemlockwind_core::names::Rank;

/// The wait after which another data centre's pool is looked at.
const TARGET: Duration = Duration::from_millis(10);
/// The time that another pool must save.
const GAIN: Duration = Duration::from_millis(5);

/// `Options` holds the settings of spilling.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// The longest wait that is taken locally, by rank.
    pub targets: Vec<Duration>,
    /// What another pool must save at least.
    pub gain: Duration,
}

impl Options {
    /// The same short target for all of so many ranks. Longer targets leave work
    /// waiting beside free slots; see docs/design/queueing.md.
    pub fn new(ranks: usize) -> Self {
        Self {
            targets: vec![TARGET; ranks],
            gain: GAIN,
        }
    }
}

/// `View` is what is known of the pool of another data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The time for a message there and back.
    pub round_trip: Duration,
    /// The estimated wait of a new ticket, by rank.
    pub waits: Vec<Duration>,
    /// Free slots when the view was made.
    pub free: u32,
}

/// `Spill` decides which data centre's pool a ticket goes to.
#[derive(Clone, Debug)]
pub struct Spill {
    options: Options,
    views: HashMap<DataCentreKey, View>,
}

impl Spill {
    /// No other pool is known yet.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            views: HashMap::default(),
        }
    }

    /// Takes over other options.
    pub fn set_options(&mut self, options: Options) {
        self.options = options;
    }

    /// Takes a newer view of the pool in `data_centre`, or forgets it.
    pub fn update(&mut self, data_centre: DataCentreKey, view: Option<View>) {
        match view {
            Some(view) => self.views.insert(data_centre, view),
            None => self.views.remove(&data_centre),
        };
    }

    /// The data centre to send a ticket of `rank` to, or none to stay, where
    /// `local` holds the local waits by rank.
    ///
    /// The most urgent rank goes wherever it waits less. Other ranks only take
    /// slots that were free, and none while a more urgent rank has to leave too.
    pub fn choose(&mut self, rank: Rank, local: &[Duration]) -> Option<DataCentreKey> {
        let index = usize::from(rank.0);
        if !self.waits_too_long(rank, local) {
            return None;
        }
        let urgent = (0..rank.0).any(|r| self.waits_too_long(Rank(r), local));
        if urgent {
            return None;
        }
        let limit = wait_of(local, index).saturating_sub(self.options.gain);
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

    /// Whether `rank` waits longer than its target, where `local` holds the waits.
    pub fn waits_too_long(&self, rank: Rank, local: &[Duration]) -> bool {
        let rank = usize::from(rank.0);
        let target = self.options.targets.get(rank);
        target.is_some_and(|&t| wait_of(local, rank) > t)
    }
}

impl View {
    fn expected(&self, rank: usize) -> Duration {
        self.round_trip + wait_of(&self.waits, rank)
    }
}

fn wait_of(waits: &[Duration], rank: usize) -> Duration {
    waits.get(rank).copied().unwrap_or_default()
}
