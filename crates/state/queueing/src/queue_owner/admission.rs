//! Admission of queue entries: which are queued, and which are refused.

use std::time::Duration;

use hemlockwind_core::engine::RequestId;
use hemlockwind_core::names::InstanceKey;
use hemlockwind_core::names::Rank;
use hemlockwind_core::time::Instant;

use crate::estimate::Demand;
use crate::fair::Queue;
use crate::queue_entry::QueueEntry;
use crate::queue_entry::Reason;
use crate::queue_entry::Refusal;
use crate::queue_owner::EntryState;
use crate::queue_owner::QueueOwner;

/// The least time until a refused request may be retried.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The longest time that a caller is asked to wait before a retry, and the wait that is
/// reported for a pool without capacity.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);
/// The least wait that is reported for a pool without a free slot.
const MIN_FULL_WAIT: Duration = Duration::from_millis(1);
/// The wait that is reported while queue entries wait and no speed has been measured.
const UNKNOWN_WAIT: Duration = Duration::from_secs(1);

impl QueueOwner {
    /// Returns the estimated wait of a new queue entry of `rank` whose organisation has
    /// none waiting. It is zero only when the entry would start at once.
    pub fn wait(&self, now: Instant, rank: Rank) -> Duration {
        let rank = self.index(rank);
        if self.capacity == 0 {
            return MAX_RETRY_DELAY;
        }
        if self.free() > self.headroom(rank) {
            return Duration::ZERO;
        }
        let queue = &self.queues[rank];
        let mean = queue.cost() as f64 / queue.len().max(1) as f64;
        let ahead = (mean * queue.share().max(1.0)).min(queue.cost() as f64);
        let any_waits = self.queues.iter().any(|q| q.len() > 0);
        let unknown = if any_waits {
            UNKNOWN_WAIT
        } else {
            MIN_FULL_WAIT
        };
        let wait = self.estimate(now, rank, ahead).unwrap_or(unknown);
        wait.max(MIN_FULL_WAIT)
    }

    /// Queues a new queue entry, records it as running since `since` when it runs
    /// already, or refuses it when its queue is full or its deadline can't be met.
    pub(super) fn add_queue_entry(
        &mut self,
        now: Instant,
        from: InstanceKey,
        queue_entry: QueueEntry,
        since: Option<Instant>,
    ) {
        if queue_entry.running {
            self.record(from, queue_entry, EntryState::Running(since));
            return self.occupy_slot(now, queue_entry.request, since);
        }
        let rank = self.index(queue_entry.rank);
        if self.queues[rank].len_of(queue_entry.organisation) >= self.options.queue_limit {
            let retry_at = self.retry_at(now, rank, &queue_entry);
            return self.refuse(from, queue_entry.request, Reason::QueueFull, retry_at);
        }
        self.enqueue(from, queue_entry);
        self.grant(now);
        self.refuse_if_unmeetable(now, from, queue_entry.request);
    }

    pub(super) fn enqueue(&mut self, from: InstanceKey, queue_entry: QueueEntry) {
        let rank = self.index(queue_entry.rank);
        if self.queues[rank].len() == 0 {
            self.order.activate(rank);
        }
        let position = self.queues[rank].push(&queue_entry);
        self.record(from, queue_entry, EntryState::Waiting(position));
        self.expiries
            .insert((queue_entry.deadline, queue_entry.request));
        if let Some(driver_state) = self.drivers.get_mut(&from) {
            driver_state.waiting += 1;
        }
    }

    /// Refuses a queue entry that still waits when its deadline can't be met. This runs
    /// after granting, so that nothing is refused while a slot is free.
    pub(super) fn refuse_if_unmeetable(
        &mut self,
        now: Instant,
        from: InstanceKey,
        request: RequestId,
    ) {
        let Some(entry) = self.queue_entries.get(&request) else {
            return;
        };
        let EntryState::Waiting(_) = entry.state else {
            return;
        };
        let queue_entry = entry.queue_entry;
        let rank = self.index(queue_entry.rank);
        let ahead = self.queues[rank].cost_until(queue_entry.organisation);
        let Some(wait) = self.estimate(now, rank, ahead) else {
            return;
        };
        let allowed = queue_entry
            .deadline
            .since(now)
            .mul_f64(self.options.admission_margin);
        if wait > allowed {
            self.remove_queue_entry(from, request);
            let retry_at = now + (wait - allowed).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
            self.refuse(from, request, Reason::DeadlineUnmeetable, retry_at);
        }
    }

    /// Returns the estimated wait behind a cost of `ahead` in the same rank, or `None`
    /// when there is no estimate.
    pub(super) fn estimate(&self, now: Instant, rank: usize, ahead: f64) -> Option<Duration> {
        let floors = &self.options.floors;
        let has_waiting = |q: &usize| self.queues[*q].len() > 0;
        let more_urgent: u64 = self.queues[..rank].iter().map(Queue::cost).sum();
        let less_urgent = (rank + 1..self.queues.len()).filter(has_waiting);
        let demand = Demand {
            more_urgent: more_urgent as f64,
            same_rank: ahead,
            floor: floors.get(rank).copied().unwrap_or(0.0),
            less_urgent_floors: less_urgent.filter_map(|q| floors.get(q)).sum(),
        };
        let slots = self.capacity.saturating_sub(self.headroom(rank)).max(1);
        self.meter.wait(now, slots, rank, demand)
    }

    /// Returns the earliest time of a retry by the organisation of a refused queue entry.
    pub(super) fn retry_at(&self, now: Instant, rank: usize, queue_entry: &QueueEntry) -> Instant {
        let ahead = self.queues[rank].cost_until(queue_entry.organisation);
        let wait = self.estimate(now, rank, ahead).unwrap_or_default();
        now + wait.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
    }

    pub(super) fn refuse(
        &mut self,
        to: InstanceKey,
        request: RequestId,
        reason: Reason,
        retry_at: Instant,
    ) {
        let refusal = Refusal {
            request,
            reason,
            retry_at,
        };
        self.outbox.entry(to).or_default().refused.push(refusal);
    }

    /// Refuses waiting queue entries whose deadline has passed.
    pub(super) fn expire_queue_entries(&mut self, now: Instant) {
        while let Some(&(deadline, request)) = self.expiries.first()
            && deadline <= now
        {
            self.expiries.pop_first();
            let Some(entry) = self.queue_entries.get(&request) else {
                continue;
            };
            let (driver, queue_entry) = (entry.driver, entry.queue_entry);
            self.remove_queue_entry(driver, request);
            let retry_at = self.retry_at(now, self.index(queue_entry.rank), &queue_entry);
            self.refuse(driver, request, Reason::DeadlinePassed, retry_at);
        }
    }
}
