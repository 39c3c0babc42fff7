//! The order in which running streams get new paths.
//!
//! Designed for the loss of one to eight engines whose paths have ten stages each: up to a
//! third of all streams request a new path within some milliseconds, and the memory that is
//! left does not suffice for all of them. In order of arrival, the streams of the instance
//! with the most processor time would get it. The requests of a short time are therefore
//! collected and granted in batches: by rank, then the stream that has been silent longest.

use std::time::Duration;

use hemlockwind_core::names::Rank;
use hemlockwind_core::time::Instant;

use crate::queue_entry::QueueEntryId;
use crate::queue_owner::Reroute;

/// The time in which requests are collected before the first batch, and between two batches.
/// A message takes below 1 ms, and a small instance runs its tasks some milliseconds late;
/// callers notice pauses above 250 ms.
const BATCH_INTERVAL: Duration = Duration::from_millis(10);
/// The maximum number of requests in one batch. Bounds the time for which a batch occupies
/// the queue owner.
const MAX_BATCH: usize = 64;
/// The time after which a request is dropped by the next batch. Its instance then requests a path
/// again while the pause, of which callers notice 250 ms, is still short.
const MAX_WAIT: Duration = Duration::from_millis(200);
/// The longest time from a request to the decision. Instances wait for longer than this, as one that
/// stops waiting takes the queue owner for unreachable.
pub const LONGEST_WAIT: Duration = MAX_WAIT.saturating_add(BATCH_INTERVAL);

/// `PendingReroute` is a request for a new path of a running stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingReroute {
    /// The stream.
    pub id: QueueEntryId,
    /// The limits of the new path.
    pub reroute: Reroute,
    /// The stream's rank.
    pub rank: Rank,
    /// When the stream last made progress.
    pub silent_since: Instant,
    /// When its caller leaves.
    pub leaves_at: Instant,
}

/// `Reroutes` holds the requests that wait for a batch.
#[derive(Debug, Default)]
pub struct Reroutes {
    /// The requests, each with the time until which its instance waits.
    pending: Vec<(PendingReroute, Instant)>,
    /// When the next batch is due; `None` if nothing waits.
    due: Option<Instant>,
}

impl Reroutes {
    /// Adds a request; it replaces an earlier one of the same stream. Returns when the next
    /// batch is due, if this request is the first to wait for it.
    pub fn push(&mut self, now: Instant, request: PendingReroute) -> Option<Instant> {
        self.remove(request.id);
        self.pending.push((request, now + MAX_WAIT));
        if self.due.is_some() {
            return None;
        }
        self.due = Some(now + BATCH_INTERVAL);
        self.due
    }

    /// Removes the request of a stream that has ended.
    pub fn remove(&mut self, id: QueueEntryId) {
        self.pending.retain(|(pending, _)| pending.id != id);
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns when the next batch is due, if any request waits.
    pub fn due(&self) -> Option<Instant> {
        self.due
    }

    /// Returns the batch that is due at `now`, in the order in which it is to be granted, and
    /// the requests that get no path: their callers have left, or their instances no longer
    /// wait.
    pub fn take_batch(&mut self, now: Instant) -> (Vec<PendingReroute>, Vec<PendingReroute>) {
        if self.due.is_none_or(|due| due > now) {
            return (Vec::new(), Vec::new());
        }
        let is_of_use = |(r, until): &(PendingReroute, Instant)| r.leaves_at > now && *until > now;
        let (mut rest, dropped): (Vec<_>, Vec<_>) = self.pending.drain(..).partition(is_of_use);
        rest.sort_by_key(|(r, _)| (r.rank, r.silent_since, r.id));
        self.pending = rest.split_off(rest.len().min(MAX_BATCH));
        self.due = (!self.pending.is_empty()).then_some(now + BATCH_INTERVAL);
        let requests = |all: Vec<(PendingReroute, Instant)>| all.into_iter().map(|(r, _)| r);
        (requests(rest).collect(), requests(dropped).collect())
    }
}
