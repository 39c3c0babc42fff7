//! News that is still being told.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use hemlockwind_core::time::Instant;

use crate::departures::Departure;
use crate::member::News;

/// Rounds in which an item is sent to random peers.
const ROUNDS: u32 = 3;
/// The time for which an item also rides on other messages.
const RIDE_FOR: Duration = Duration::from_secs(3);
/// Items in one message at most.
const BATCH_LIMIT: usize = 32;
/// Items kept at most.
const QUEUE_LIMIT: usize = 1_024;

/// `Item` is one thing to tell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Item {
    /// Of an instance.
    News(News),
    /// Of a backend server.
    Departure(Departure),
}

impl Item {
    fn name(&self) -> (&Arc<str>, bool) {
        match self {
            Self::News(news) => (&news.identity.name, true),
            Self::Departure(departure) => (&departure.name, false),
        }
    }
}

#[derive(Clone, Debug)]
struct Queued {
    item: Item,
    rounds: u32,
    ride_until: Instant,
}

/// `Gossip` holds what is still being told, the newest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gossip {
    queue: VecDeque<Queued>,
}

impl Gossip {
    /// Tells `item` from now on, in place of what was told of the same name.
    pub fn push(&mut self, now: Instant, item: Item) {
        self.queue
            .retain(|queued| queued.item.name() != item.name());
        self.queue.truncate(QUEUE_LIMIT - 1);
        self.queue.push_front(Queued {
            item,
            rounds: ROUNDS,
            ride_until: now + RIDE_FOR,
        });
    }

    /// Whether something waits for a round.
    pub fn is_urgent(&self) -> bool {
        self.queue.iter().any(|queued| queued.rounds > 0)
    }

    /// The items of the next round.
    pub fn round(&mut self) -> Vec<Item> {
        let urgent = self.queue.iter_mut().filter(|queued| queued.rounds > 0);
        let batch = urgent.take(BATCH_LIMIT).map(|queued| {
            queued.rounds -= 1;
            queued.item.clone()
        });
        batch.collect()
    }

    /// The items that ride on another message.
    pub fn riders(&mut self, now: Instant) -> Vec<Item> {
        self.queue.retain(|q| q.rounds > 0 || q.ride_until > now);
        let items = self.queue.iter().take(BATCH_LIMIT);
        items.map(|queued| queued.item.clone()).collect()
    }
}
