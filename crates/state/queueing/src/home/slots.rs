//! The slots of the pool: who gets one next, and which are held for credits.

use hemlockwind_core::engine::RequestId;
use hemlockwind_core::names::InstanceKey;
use hemlockwind_core::time::Instant;

use crate::home::Home;
use crate::home::State;
use crate::message::Report;

impl Home {
    /// Slots that may be granted now. While drivers are unheard, their even part
    /// of the capacity stays reserved, and a new home grants nothing at first.
    pub fn free(&self) -> u32 {
        if self.unheard > 0 && self.settle_at != Instant::ZERO {
            return 0;
        }
        let live = self.live.len().max(1) as u32;
        let reserve = (self.capacity * self.unheard).div_ceil(live);
        let used = self.in_use + self.held + reserve;
        self.capacity.saturating_sub(used)
    }

    /// Slots that `rank` must leave free.
    pub(super) fn headroom(&self, rank: usize) -> u32 {
        if rank == 0 {
            return 0;
        }
        (f64::from(self.capacity) * self.options.headroom).ceil() as u32
    }

    pub(super) fn granted(&mut self, to: InstanceKey, request: RequestId) {
        self.outbox.entry(to).or_default().granted.push(request);
    }

    /// Gives the ticket a slot.
    pub(super) fn run(&mut self, now: Instant, request: RequestId, since: Option<Instant>) {
        let Some(entry) = self.tickets.get_mut(&request) else {
            return;
        };
        entry.state = State::Running(since);
        let (rank, cost) = (entry.ticket.rank, entry.ticket.cost);
        let rank = self.index(rank);
        self.in_use += 1;
        let queues = &self.queues;
        self.order.charge(rank, cost, |r| queues[r].len() > 0);
        self.meter.granted(now, rank, cost);
    }

    /// Grants as long as a slot is free for the rank that comes next.
    pub(super) fn grant(&mut self, now: Instant) {
        if now >= self.settle_at {
            self.settle_at = Instant::ZERO;
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

    /// The rank to grant next. A rank below its floor may use the headroom.
    pub(super) fn next_rank(&self) -> Option<usize> {
        let free = self.free();
        if free == 0 {
            return None;
        }
        let next = self.order.next(|r| self.queues[r].len() > 0)?;
        let allowed = free > self.headroom(next) || self.order.is_owed(next);
        allowed.then_some(next)
    }

    pub(super) fn grant_one(&mut self, now: Instant, request: RequestId) {
        let Some(entry) = self.tickets.get(&request) else {
            return;
        };
        let (driver, deadline) = (entry.driver, entry.ticket.deadline);
        self.expiries.remove(&(deadline, request));
        if let Some(peer) = self.drivers.get_mut(&driver) {
            peer.waiting -= 1;
        }
        self.run(now, request, Some(now));
        self.granted(driver, request);
    }

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
            self.holders.remove(&from);
        } else {
            self.holders.insert(from);
        }
    }

    /// Tops up the credits of a driver that has just reported, from half of the
    /// slots that nobody waits for.
    pub(super) fn offer_credits(&mut self, to: InstanceKey) {
        if self.queues.iter().any(|q| q.len() > 0) {
            return;
        }
        let spare = self.free().saturating_sub(self.headroom(1)) / 2;
        let heard = self.drivers.len().max(1) as u32;
        let Some(peer) = self.drivers.get_mut(&to) else {
            return;
        };
        let held = peer.offers.held();
        let credits = self.options.credits.min(spare / heard + held);
        if peer.revoked || held * 2 > credits || held == credits {
            return;
        }
        let message = self.outbox.entry(to).or_default();
        message.credits += credits - held;
        peer.offers.send(peer.sent + 1, credits - held);
        self.held += credits - held;
        self.holders.insert(to);
    }

    /// Asks all drivers to give up their credits, because somebody waits.
    pub(super) fn revoke_credits(&mut self) {
        for driver in &self.holders {
            if let Some(peer) = self.drivers.get_mut(driver)
                && !peer.revoked
            {
                peer.revoked = true;
                self.outbox.entry(*driver).or_default().revoke = true;
            }
        }
    }
}
