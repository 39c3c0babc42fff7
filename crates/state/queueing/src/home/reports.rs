//! What drivers report, and what is forgotten of those that are gone.

use hemlockwind_core::collections::HashSet;
use hemlockwind_core::engine::RequestId;
use hemlockwind_core::names::InstanceKey;
use hemlockwind_core::time::Instant;

use crate::home::Entry;
use crate::home::Home;
use crate::home::Peer;
use crate::home::ROUND_TRIP;
use crate::home::State;
use crate::message::Finished;
use crate::message::Report;
use crate::ticket::Ticket;

impl Home {
    pub(super) fn on_drivers(&mut self, live: Vec<InstanceKey>) {
        let live: HashSet<_> = live.into_iter().collect();
        let gone: Vec<_> = self.live.difference(&live).copied().collect();
        self.live = live;
        for driver in gone {
            self.forget(driver);
        }
        self.count_unheard();
    }

    pub(super) fn count_unheard(&mut self) {
        let heard = |d: &&InstanceKey| self.drivers.get(d).is_none_or(|p| p.stamp.number == 0);
        self.unheard = self.live.iter().filter(heard).count() as u32;
    }

    pub(super) fn on_report(&mut self, now: Instant, from: InstanceKey, report: Report) {
        if report.leaving {
            return self.on_leave(from, &report);
        }
        if !self.accepts(now, from, &report) {
            return;
        }
        let quiet = report.tickets.is_empty() && report.finished.is_empty();
        if report.whole {
            self.drop_missing(from, &report.tickets);
        }
        for finished in &report.finished {
            self.finish(now, from, *finished);
        }
        for &request in &report.withdrawn {
            self.drop_ticket(from, request);
        }
        self.take_credits(from, &report);
        // What runs on credits first, as its slots are no longer held for them.
        let running = report.tickets.iter().filter(|t| t.running);
        let waiting = report.tickets.iter().filter(|t| !t.running);
        for &ticket in running.chain(waiting) {
            self.take_ticket(now, from, ticket, report.whole);
        }
        self.compare(now, from, &report);
        self.offer_credits(from);
        if quiet || report.whole {
            self.outbox.entry(from).or_default();
        }
    }

    /// Takes the stamp of a report. A report that was overtaken is dropped; one
    /// after a gap is answered by a wish for a whole one.
    pub(super) fn accepts(&mut self, now: Instant, from: InstanceKey, report: &Report) -> bool {
        let silent_at = now + self.options.silence;
        let peer = self
            .drivers
            .entry(from)
            .or_insert_with(|| Peer::new(now, self.number));
        if report.stamp <= peer.stamp {
            return false;
        }
        peer.silent_at = silent_at;
        let follows = report.stamp.session == peer.stamp.session
            && report.stamp.number == peer.stamp.number + 1;
        if !report.whole && !follows {
            self.ask_resend(now, from);
            return false;
        }
        let first = peer.stamp.number == 0;
        peer.stamp = report.stamp;
        if first {
            self.count_unheard();
        }
        true
    }

    pub(super) fn on_leave(&mut self, from: InstanceKey, report: &Report) {
        let known = self.drivers.get(&from);
        if known.is_some_and(|p| p.stamp < report.stamp) {
            self.forget(from);
            self.count_unheard();
        }
    }

    pub(super) fn ask_resend(&mut self, now: Instant, driver: InstanceKey) {
        let Some(peer) = self.drivers.get_mut(&driver) else {
            return;
        };
        if now >= peer.resend_at {
            peer.resend_at = now + ROUND_TRIP;
            self.outbox.entry(driver).or_default().resend = true;
        }
    }

    /// A whole report lacks what has ended or was withdrawn since.
    pub(super) fn drop_missing(&mut self, from: InstanceKey, tickets: &[Ticket]) {
        let listed: HashSet<_> = tickets.iter().map(|t| t.request).collect();
        let Some(peer) = self.drivers.get(&from) else {
            return;
        };
        let missing: Vec<_> = peer.requests.difference(&listed).copied().collect();
        for request in missing {
            self.drop_ticket(from, request);
        }
    }

    pub(super) fn finish(&mut self, now: Instant, from: InstanceKey, finished: Finished) {
        if let Some(entry) = self.tickets.get(&finished.request)
            && entry.driver == from
            && let State::Running(Some(since)) = entry.state
        {
            self.meter.finished(finished.cost, now.since(since));
        }
        self.drop_ticket(from, finished.request);
    }

    /// Forgets a ticket and frees what it holds.
    pub(super) fn drop_ticket(&mut self, from: InstanceKey, request: RequestId) {
        if self.tickets.get(&request).is_none_or(|e| e.driver != from) {
            return;
        }
        self.unqueue(request);
        if let Some(entry) = self.tickets.remove(&request)
            && let State::Running(_) = entry.state
        {
            self.in_use -= 1;
        }
        if let Some(peer) = self.drivers.get_mut(&from) {
            peer.requests.remove(&request);
        }
    }

    /// Takes a waiting ticket out of its queue; its entry stays.
    pub(super) fn unqueue(&mut self, request: RequestId) {
        let Some(entry) = self.tickets.get(&request) else {
            return;
        };
        let State::Waiting(place) = entry.state else {
            return;
        };
        let rank = self.index(entry.ticket.rank);
        self.queues[rank].remove(place);
        self.expiries.remove(&(entry.ticket.deadline, request));
        if let Some(peer) = self.drivers.get_mut(&entry.driver) {
            peer.waiting -= 1;
        }
    }

    pub(super) fn take_ticket(
        &mut self,
        now: Instant,
        from: InstanceKey,
        ticket: Ticket,
        whole: bool,
    ) {
        // A new ticket that runs was started on a credit just now, but one in a
        // whole report may have run for long.
        let since = (!whole).then_some(now);
        let Some(entry) = self.tickets.get(&ticket.request) else {
            return self.add_ticket(now, from, ticket, since);
        };
        if entry.driver != from {
            return;
        }
        match (entry.state, ticket.running) {
            (State::Waiting(_), true) => {
                self.unqueue(ticket.request);
                self.run(now, ticket.request, since);
            }
            // The driver has not heard of the grant yet, or it was lost.
            (State::Running(_), false) => self.granted(from, ticket.request),
            (State::Waiting(_), false) | (State::Running(_), true) => {}
        }
    }

    pub(super) fn record(&mut self, from: InstanceKey, ticket: Ticket, state: State) {
        let entry = Entry {
            driver: from,
            ticket,
            state,
        };
        self.tickets.insert(ticket.request, entry);
        if let Some(peer) = self.drivers.get_mut(&from) {
            peer.requests.insert(ticket.request);
        }
    }

    /// Forgets drivers that have been silent for long.
    pub(super) fn sweep(&mut self, now: Instant) {
        if now < self.sweep_at {
            return;
        }
        let silent: Vec<_> = self
            .drivers
            .iter()
            .filter(|(_, p)| p.silent_at <= now)
            .map(|(&d, _)| d)
            .collect();
        for driver in silent {
            self.forget(driver);
        }
        self.count_unheard();
        self.sweep_at = now + self.options.silence / 4;
    }

    /// Frees all that a driver holds; a later report of it must be whole.
    pub(super) fn forget(&mut self, driver: InstanceKey) {
        let Some(peer) = self.drivers.get(&driver) else {
            return;
        };
        let requests: Vec<_> = peer.requests.iter().copied().collect();
        for request in requests {
            self.drop_ticket(driver, request);
        }
        if let Some(peer) = self.drivers.remove(&driver) {
            self.held -= peer.offers.held();
            self.number = self.number.max(peer.sent);
        }
        self.holders.remove(&driver);
        self.outbox.remove(&driver);
    }

    /// Finds lost messages by comparing counts, once nothing is under way.
    pub(super) fn compare(&mut self, now: Instant, from: InstanceKey, report: &Report) {
        let Some(peer) = self.drivers.get(&from) else {
            return;
        };
        let running = peer.requests.len() as u32 - peer.waiting;
        let taken = report.seen.session == self.session && report.seen.number == peer.sent;
        let settled = taken || now >= peer.settled_at;
        let queued = self.outbox.contains_key(&from);
        let same = (report.waiting, report.running) == (peer.waiting, running);
        let revoke = peer.revoked && peer.offers.held() > 0 && settled;
        if settled && !queued && !same {
            self.ask_resend(now, from);
        }
        if revoke {
            self.outbox.entry(from).or_default().revoke = true;
        }
    }
}
