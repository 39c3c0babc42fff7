//! The slots of the pool: which queue entry gets one next, and which are set aside for
//! credits.

use hemlockwind_core::engine::RequestId;
use hemlockwind_core::names::InstanceKey;
use hemlockwind_core::time::Instant;

use crate::message::Report;
use crate::queue_owner::EntryState;
use crate::queue_owner::QueueOwner;

impl QueueOwner {
    /// Returns the number of slots that may be granted now. For each live driver that has
    /// not reported yet, an even part of the capacity stays reserved. A new queue owner
    /// grants nothing before all live drivers have reported or its startup wait is over.
    pub fn free(&self) -> u32 {
        if self.unreported > 0 && self.granting_starts_at != Instant::ZERO {
            return 0;
        }
        let live_drivers = self.live.len().max(1) as u32;
        let reserve = (self.capacity * self.unreported).div_ceil(live_drivers);
        let unavailable = self.in_use + self.credit_slots + reserve;
        self.capacity.saturating_sub(unavailable)
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
        entry.state = EntryState::Running(since);
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
        let rank = self.order.next(|r| self.queues[r].len() > 0)?;
        let allowed = free > self.headroom(rank) || self.order.has_deficit(rank);
        allowed.then_some(rank)
    }

    pub(super) fn grant_one(&mut self, now: Instant, request: RequestId) {
        let Some(entry) = self.queue_entries.get(&request) else {
            return;
        };
        let (driver, deadline) = (entry.driver, entry.queue_entry.deadline);
        self.expiries.remove(&(deadline, request));
        if let Some(driver_state) = self.drivers.get_mut(&driver) {
            driver_state.waiting -= 1;
        }
        self.occupy_slot(now, request, Some(now));
        self.send_grant(driver, request);
    }

    /// Records the credits that a driver reports, and updates the slots that are set aside
    /// for them.
    pub(super) fn record_credits(&mut self, from: InstanceKey, report: &Report) {
        let Some(driver_state) = self.drivers.get_mut(&from) else {
            return;
        };
        let seen = if report.seen.session == self.session {
            report.seen.number
        } else {
            0
        };
        self.credit_slots -= driver_state.offers.outstanding();
        driver_state.offers.report(seen, report.credits);
        let outstanding = driver_state.offers.outstanding();
        self.credit_slots += outstanding;
        if outstanding == 0 {
            driver_state.revoked = false;
            self.credit_holders.remove(&from);
        } else {
            self.credit_holders.insert(from);
        }
    }

    /// Tops up the credits of a driver that has just reported, while no queue entry waits.
    /// Half of the free slots outside the headroom may be set aside for credits, in even
    /// parts for all drivers.
    pub(super) fn offer_credits(&mut self, to: InstanceKey) {
        if self.queues.iter().any(|q| q.len() > 0) {
            return;
        }
        let spare = self.free().saturating_sub(self.headroom(1)) / 2;
        let drivers = self.drivers.len().max(1) as u32;
        let Some(driver_state) = self.drivers.get_mut(&to) else {
            return;
        };
        let outstanding = driver_state.offers.outstanding();
        let credits = self.options.credits.min(spare / drivers + outstanding);
        if driver_state.revoked || outstanding * 2 > credits || outstanding == credits {
            return;
        }
        let message = self.outbox.entry(to).or_default();
        message.credits += credits - outstanding;
        driver_state
            .offers
            .send(driver_state.last_sent + 1, credits - outstanding);
        self.credit_slots += credits - outstanding;
        self.credit_holders.insert(to);
    }

    /// Revokes the credits of all drivers, because queue entries wait.
    pub(super) fn revoke_credits(&mut self) {
        for driver in &self.credit_holders {
            if let Some(driver_state) = self.drivers.get_mut(driver)
                && !driver_state.revoked
            {
                driver_state.revoked = true;
                self.outbox.entry(*driver).or_default().revoke = true;
            }
        }
    }
}
