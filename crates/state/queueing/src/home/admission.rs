//! Which tickets are queued, and which are refused.

use std::time::Duration;

use hemlockwind_core::engine::RequestId;
use hemlockwind_core::names::InstanceKey;
use hemlockwind_core::names::Rank;
use hemlockwind_core::time::Instant;

use crate::estimate::Demand;
use crate::fair::Queue;
use crate::home::Home;
use crate::home::State;
use crate::ticket::Reason;
use crate::ticket::Refusal;
use crate::ticket::Ticket;

/// The least time until a refused request may be tried again.
const RETRY_MIN: Duration = Duration::from_millis(50);
/// The longest time that a caller is told to wait before a retry.
const RETRY_MAX: Duration = Duration::from_secs(60);
/// The least wait that is told of a pool without a free slot.
const FULL_WAIT: Duration = Duration::from_millis(1);
/// The wait that is told while tickets wait and no speed is known yet.
const UNKNOWN_WAIT: Duration = Duration::from_secs(1);

impl Home {
    /// The estimated wait of a new ticket of `rank` whose organisation has none
    /// waiting; zero only when it would start at once.
    pub fn wait(&self, now: Instant, rank: Rank) -> Duration {
        let rank = self.index(rank);
        if self.capacity == 0 {
            return RETRY_MAX;
        }
        if self.free() > self.headroom(rank) {
            return Duration::ZERO;
        }
        let queue = &self.queues[rank];
        let mean = queue.cost() as f64 / queue.len().max(1) as f64;
        let ahead = (mean * queue.share().max(1.0)).min(queue.cost() as f64);
        let waiting = self.queues.iter().any(|q| q.len() > 0);
        let unknown = if waiting { UNKNOWN_WAIT } else { FULL_WAIT };
        let wait = self.estimate(now, rank, ahead).unwrap_or(unknown);
        wait.max(FULL_WAIT)
    }

    pub(super) fn add_ticket(
        &mut self,
        now: Instant,
        from: InstanceKey,
        ticket: Ticket,
        since: Option<Instant>,
    ) {
        if ticket.running {
            self.record(from, ticket, State::Running(since));
            return self.run(now, ticket.request, since);
        }
        let rank = self.index(ticket.rank);
        if self.queues[rank].len_of(ticket.organisation) >= self.options.queue_limit {
            let retry_at = self.retry_at(now, rank, &ticket);
            return self.refuse(from, ticket.request, Reason::QueueFull, retry_at);
        }
        self.enqueue(from, ticket);
        self.grant(now);
        self.admit(now, from, ticket.request);
    }

    pub(super) fn enqueue(&mut self, from: InstanceKey, ticket: Ticket) {
        let rank = self.index(ticket.rank);
        if self.queues[rank].len() == 0 {
            self.order.activate(rank);
        }
        let place = self.queues[rank].push(&ticket);
        self.record(from, ticket, State::Waiting(place));
        self.expiries.insert((ticket.deadline, ticket.request));
        if let Some(peer) = self.drivers.get_mut(&from) {
            peer.waiting += 1;
        }
    }

    /// Refuses a ticket that still waits when its deadline can't be met. This comes
    /// after granting, so nothing is refused while a slot is free.
    pub(super) fn admit(&mut self, now: Instant, from: InstanceKey, request: RequestId) {
        let Some(entry) = self.tickets.get(&request) else {
            return;
        };
        let State::Waiting(_) = entry.state else {
            return;
        };
        let ticket = entry.ticket;
        let rank = self.index(ticket.rank);
        let ahead = self.queues[rank].cost_until(ticket.organisation);
        let Some(wait) = self.estimate(now, rank, ahead) else {
            return;
        };
        let allowed = ticket
            .deadline
            .since(now)
            .mul_f64(self.options.admission_margin);
        if wait > allowed {
            self.drop_ticket(from, request);
            let retry_at = now + (wait - allowed).clamp(RETRY_MIN, RETRY_MAX);
            self.refuse(from, request, Reason::DeadlineUnmeetable, retry_at);
        }
    }

    pub(super) fn estimate(&self, now: Instant, rank: usize, ahead: f64) -> Option<Duration> {
        let floors = &self.options.floors;
        let busy = |q: &usize| self.queues[*q].len() > 0;
        let more_urgent: u64 = self.queues[..rank].iter().map(Queue::cost).sum();
        let less_urgent = (rank + 1..self.queues.len()).filter(busy);
        let demand = Demand {
            more_urgent: more_urgent as f64,
            same_rank: ahead,
            floor: floors.get(rank).copied().unwrap_or(0.0),
            less_urgent_floors: less_urgent.filter_map(|q| floors.get(q)).sum(),
        };
        let slots = self.capacity.saturating_sub(self.headroom(rank)).max(1);
        self.meter.wait(now, slots, rank, demand)
    }

    pub(super) fn retry_at(&self, now: Instant, rank: usize, ticket: &Ticket) -> Instant {
        let ahead = self.queues[rank].cost_until(ticket.organisation);
        let wait = self.estimate(now, rank, ahead).unwrap_or_default();
        now + wait.clamp(RETRY_MIN, RETRY_MAX)
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

    /// Refuses waiting tickets whose deadline has passed.
    pub(super) fn expire_tickets(&mut self, now: Instant) {
        while let Some(&(deadline, request)) = self.expiries.first()
            && deadline <= now
        {
            self.expiries.pop_first();
            let Some(entry) = self.tickets.get(&request) else {
                continue;
            };
            let (driver, ticket) = (entry.driver, entry.ticket);
            self.drop_ticket(driver, request);
            let retry_at = self.retry_at(now, self.index(ticket.rank), &ticket);
            self.refuse(driver, request, Reason::DeadlinePassed, retry_at);
        }
    }
}
