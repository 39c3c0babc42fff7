//! The queue of updates that are still being disseminated.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use hemlockwind_core::time::Instant;

use crate::departures::Departure;
use crate::member::MemberUpdate;

/// The number of rounds in which an item is sent to random peers.
const ROUNDS: u32 = 3;
/// How long an item is also piggybacked on other messages.
const PIGGYBACK_DURATION: Duration = Duration::from_secs(3);
/// The maximum number of items in one message.
const MAX_BATCH_ITEMS: usize = 32;
/// The maximum number of queued items.
const MAX_QUEUED_ITEMS: usize = 1_024;

/// `Item` is one update to disseminate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Item {
    /// The state of an instance.
    Member(MemberUpdate),
    /// Whether a backend server is leaving.
    Departure(Departure),
}

impl Item {
    /// Returns the name, and whether it is that of an instance.
    fn name(&self) -> (&Arc<str>, bool) {
        match self {
            Self::Member(update) => (&update.identity.name, true),
            Self::Departure(departure) => (&departure.name, false),
        }
    }
}

#[derive(Clone, Debug)]
struct Queued {
    item: Item,
    rounds: u32,
    piggyback_until: Instant,
}

/// `GossipQueue` holds the items that are still being disseminated, newest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct GossipQueue {
    queue: VecDeque<Queued>,
}

impl GossipQueue {
    /// Queues `item`, replacing a queued item of the same kind and name.
    pub fn push(&mut self, now: Instant, item: Item) {
        self.queue
            .retain(|queued| queued.item.name() != item.name());
        self.queue.truncate(MAX_QUEUED_ITEMS - 1);
        self.queue.push_front(Queued {
            item,
            rounds: ROUNDS,
            piggyback_until: now + PIGGYBACK_DURATION,
        });
    }

    /// Whether an item still has rounds to go.
    pub fn has_pending(&self) -> bool {
        self.queue.iter().any(|queued| queued.rounds > 0)
    }

    /// Returns the items of the next round.
    pub fn next_round(&mut self) -> Vec<Item> {
        let pending = self.queue.iter_mut().filter(|queued| queued.rounds > 0);
        let batch = pending.take(MAX_BATCH_ITEMS).map(|queued| {
            queued.rounds -= 1;
            queued.item.clone()
        });
        batch.collect()
    }

    /// Returns the items to piggyback on another message.
    pub fn piggyback(&mut self, now: Instant) -> Vec<Item> {
        self.queue
            .retain(|q| q.rounds > 0 || q.piggyback_until > now);
        let items = self.queue.iter().take(MAX_BATCH_ITEMS);
        items.map(|queued| queued.item.clone()).collect()
    }
}
