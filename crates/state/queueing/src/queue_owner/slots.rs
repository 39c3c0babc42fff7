//! The slots of the pool: which queue entry gets one next, and which are set aside for
//! credits.

use hemlockwind_core::engine::RequestId;
use hemlockwind_core::names::InstanceKey;
use hemlockwind_core::time::Instant;

use crate::message::Report;
use crate::queue_owner::QueueOwner;
use crate::queue_owner::State;

impl QueueOwner {
    /// Returns the number of slots that may be granted now. For each live driver that has
    /// not reported yet, an even part of the capacity stays reserved. A new queue owner
    /// grants nothing before all live drivers have reported or its startup wait is over.
    pub fn free(&self) -> u32 {
        if self.unreported > 0 && self.granting_starts_at != Instant::ZERO {
            return 0;
        }
        let live = self.live.len().max(1) as u32;
        let reserve = (self.capacity * self.unreported).div_ceil(live);
        let used = self.in_use + self.held + reserve;
        self.capacity.saturating_sub(used)
    }

    /// Returns the number of slots that `rank` must leave free.
    pub(super) fn headroom(&self, rank: usize) -> u32 {
        if rank == 0 {
            return 0;
        }
        (f64::from(self.capacity) * self.options.headroom).ceil() as u32
    }

    /// Adds a grant to the next message to a driver.
    pub(super) fn send_grant(&mut self, to: InstanceKey, request: RequestId) {
        self.outbox.entry(to).or_default().granted.push(request);
    }

    /// Gives the queue entry a slot and charges its rank.
    pub(super) fn occupy_slot(&mut self, now: Instant, request: RequestId, since: Option<Instant>) {
        let Some(entry) = self.queue_entries.get_mut(&request) else {
            return;
        };
        entry.state = State::Running(since);
        let (rank, cost) = (entry.queue_entry.rank, entry.queue_entry.cost);
        let rank = self.index(rank);
        self.in_use += 1;
        let queues = &self.queues;
        self.order.charge(rank, cost, |r| queues[r].len() > 0);
        self.meter.granted(now, rank, cost);
    }

    /// Grants slots while one is free for the rank that is served next, and revokes
    /// credits when queue entries wait and no slot is free.
    pub(super) fn grant(&mut self, now: Instant) {
        if now >= self.granting_starts_at {
            self.granting_starts_at = Instant::ZERO;
        }
        while let Some(rank) = self.next_rank() {
            let Some((request, _)) = self.queues[rank].pop() else {
                return;
            };
            self.grant_one(now, request);
        }
        if self.free() == 0 && self.queues.iter().any(|q| q.len() > 0) {
            self.revoke_credits();
        }
    }

    /// Returns the rank to grant next. A rank below its floor may use the headroom.
    pub(super) fn next_rank(&self) -> Option<usize> {
        let free = self.free();
        if free == 0 {
            return None;
        }
        let next = self.order.next(|r| self.queues[r].len() > 0)?;
        let allowed = free > self.headroom(next) || self.order.has_deficit(next);
        allowed.then_some(next)
    }

    pub(super) fn grant_one(&mut self, now: Instant, request: RequestId) {
        let Some(entry) = self.queue_entries.get(&request) else {
            return;
        };
        let (driver, deadline) = (entry.driver, entry.queue_entry.deadline);
        self.expiries.remove(&(deadline, request));
        if let Some(peer) = self.drivers.get_mut(&driver) {
            peer.waiting -= 1;
        }
        self.occupy_slot(now, request, Some(now));
        self.send_grant(driver, request);
    }

    /// Updates the slots that are set aside for the credits of a driver.
    pub(super) fn take_credits(&mut self, from: InstanceKey, report: &Report) {
        let Some(peer) = self.drivers.get_mut(&from) else {
            return;
        };
        let seen = if report.seen.session == self.session {
            report.seen.number
        } else {
            0
        };
        self.held -= peer.offers.held();
        peer.offers.report(seen, report.credits);
        let held = peer.offers.held();
        self.held += held;
        if held == 0 {
            peer.revoked = false;
            self.credit_holders.remove(&from);
        } else {
            self.credit_holders.insert(from);
        }
    }

    /// Tops up the credits of a driver that has just reported, from half of the free
    /// slots, while no queue entry waits.
    pub(super) fn offer_credits(&mut self, to: InstanceKey) {
        if self.queues.iter().any(|q| q.len() > 0) {
            return;
        }
        let spare = self.free().saturating_sub(self.headroom(1)) / 2;
        let reporting = self.drivers.len().max(1) as u32;
        let Some(peer) = self.drivers.get_mut(&to) else {
            return;
        };
        let held = peer.offers.held();
        let credits = self.options.credits.min(spare / reporting + held);
        if peer.revoked || held * 2 > credits || held == credits {
            return;
        }
        let message = self.outbox.entry(to).or_default();
        message.credits += credits - held;
        peer.offers.send(peer.sent + 1, credits - held);
        self.held += credits - held;
        self.credit_holders.insert(to);
    }

    /// Revokes the credits of all drivers, because queue entries wait.
    pub(super) fn revoke_credits(&mut self) {
        for driver in &self.credit_holders {
            if let Some(peer) = self.drivers.get_mut(driver)
                && !peer.revoked
            {
                peer.revoked = true;
                self.outbox.entry(*driver).or_default().revoke = true;
            }
        }
    }
}
