//! Processing of the drivers' reports, and removal of drivers that are gone.

use hemlockwind_core::collections::HashSet;
use hemlockwind_core::engine::RequestId;
use hemlockwind_core::names::InstanceKey;
use hemlockwind_core::time::Instant;

use crate::message::Finished;
use crate::message::Report;
use crate::queue_entry::QueueEntry;
use crate::queue_owner::Peer;
use crate::queue_owner::QueueOwner;
use crate::queue_owner::ROUND_TRIP;
use crate::queue_owner::State;
use crate::queue_owner::TrackedEntry;

impl QueueOwner {
    /// Replaces the set of live drivers and removes those that are no longer live.
    pub(super) fn on_drivers(&mut self, live: Vec<InstanceKey>) {
        let live: HashSet<_> = live.into_iter().collect();
        let gone: Vec<_> = self.live.difference(&live).copied().collect();
        self.live = live;
        for driver in gone {
            self.remove_driver(driver);
        }
        self.count_unreported();
    }

    /// Counts the live drivers from which no report has been accepted yet.
    pub(super) fn count_unreported(&mut self) {
        let unreported = |d: &&InstanceKey| self.drivers.get(d).is_none_or(|p| p.stamp.number == 0);
        self.unreported = self.live.iter().filter(unreported).count() as u32;
    }

    pub(super) fn on_report(&mut self, now: Instant, from: InstanceKey, report: Report) {
        if report.leaving {
            return self.on_leave(from, &report);
        }
        if !self.accept_report(now, from, &report) {
            return;
        }
        let without_entries = report.queue_entries.is_empty() && report.finished.is_empty();
        if report.whole {
            self.drop_missing(from, &report.queue_entries);
        }
        for finished in &report.finished {
            self.finish(now, from, *finished);
        }
        for &request in &report.withdrawn {
            self.remove_queue_entry(from, request);
        }
        self.take_credits(from, &report);
        // Requests that run on credits come first: their slots are no longer set aside
        // for the credits.
        let running = report.queue_entries.iter().filter(|t| t.running);
        let waiting = report.queue_entries.iter().filter(|t| !t.running);
        for &queue_entry in running.chain(waiting) {
            self.merge_queue_entry(now, from, queue_entry, report.whole);
        }
        self.compare_counts(now, from, &report);
        self.offer_credits(from);
        if without_entries || report.whole {
            self.outbox.entry(from).or_default();
        }
    }

    /// Returns whether a report is to be applied, and records its stamp if so. A report
    /// that was overtaken is dropped. One after a gap is dropped too, and a whole report
    /// is requested.
    pub(super) fn accept_report(
        &mut self,
        now: Instant,
        from: InstanceKey,
        report: &Report,
    ) -> bool {
        let report_due_at = now + self.options.report_timeout;
        let peer = self
            .drivers
            .entry(from)
            .or_insert_with(|| Peer::new(now, self.number));
        if report.stamp <= peer.stamp {
            return false;
        }
        peer.report_due_at = report_due_at;
        let follows = report.stamp.session == peer.stamp.session
            && report.stamp.number == peer.stamp.number + 1;
        if !report.whole && !follows {
            self.request_resend(now, from);
            return false;
        }
        let first = peer.stamp.number == 0;
        peer.stamp = report.stamp;
        if first {
            self.count_unreported();
        }
        true
    }

    /// Removes a driver that now reports to another queue owner.
    pub(super) fn on_leave(&mut self, from: InstanceKey, report: &Report) {
        let known = self.drivers.get(&from);
        if known.is_some_and(|p| p.stamp < report.stamp) {
            self.remove_driver(from);
            self.count_unreported();
        }
    }

    /// Requests a whole report from a driver, at most once per round trip.
    pub(super) fn request_resend(&mut self, now: Instant, driver: InstanceKey) {
        let Some(peer) = self.drivers.get_mut(&driver) else {
            return;
        };
        if now >= peer.resend_at {
            peer.resend_at = now + ROUND_TRIP;
            self.outbox.entry(driver).or_default().resend = true;
        }
    }

    /// Removes the queue entries that a whole report doesn't list, as they have ended or
    /// were withdrawn.
    pub(super) fn drop_missing(&mut self, from: InstanceKey, queue_entries: &[QueueEntry]) {
        let listed: HashSet<_> = queue_entries.iter().map(|t| t.request).collect();
        let Some(peer) = self.drivers.get(&from) else {
            return;
        };
        let missing: Vec<_> = peer.requests.difference(&listed).copied().collect();
        for request in missing {
            self.remove_queue_entry(from, request);
        }
    }

    pub(super) fn finish(&mut self, now: Instant, from: InstanceKey, finished: Finished) {
        if let Some(entry) = self.queue_entries.get(&finished.request)
            && entry.driver == from
            && let State::Running(Some(since)) = entry.state
        {
            self.meter.finished(finished.cost, now.since(since));
        }
        self.remove_queue_entry(from, finished.request);
    }

    /// Removes a queue entry and frees its slot or its position in a queue.
    pub(super) fn remove_queue_entry(&mut self, from: InstanceKey, request: RequestId) {
        if self
            .queue_entries
            .get(&request)
            .is_none_or(|e| e.driver != from)
        {
            return;
        }
        self.dequeue(request);
        if let Some(entry) = self.queue_entries.remove(&request)
            && let State::Running(_) = entry.state
        {
            self.in_use -= 1;
        }
        if let Some(peer) = self.drivers.get_mut(&from) {
            peer.requests.remove(&request);
        }
    }

    /// Takes a waiting queue entry out of its queue; its record stays.
    pub(super) fn dequeue(&mut self, request: RequestId) {
        let Some(entry) = self.queue_entries.get(&request) else {
            return;
        };
        let State::Waiting(position) = entry.state else {
            return;
        };
        let rank = self.index(entry.queue_entry.rank);
        self.queues[rank].remove(position);
        self.expiries.remove(&(entry.queue_entry.deadline, request));
        if let Some(peer) = self.drivers.get_mut(&entry.driver) {
            peer.waiting -= 1;
        }
    }

    /// Merges a reported queue entry into the recorded state.
    pub(super) fn merge_queue_entry(
        &mut self,
        now: Instant,
        from: InstanceKey,
        queue_entry: QueueEntry,
        whole: bool,
    ) {
        // A new queue entry that runs was started on a credit just now, but one in a
        // whole report may have been running for a long time.
        let since = (!whole).then_some(now);
        let Some(entry) = self.queue_entries.get(&queue_entry.request) else {
            return self.add_queue_entry(now, from, queue_entry, since);
        };
        if entry.driver != from {
            return;
        }
        match (entry.state, queue_entry.running) {
            (State::Waiting(_), true) => {
                self.dequeue(queue_entry.request);
                self.occupy_slot(now, queue_entry.request, since);
            }
            // The grant has not reached the driver yet, or was lost.
            (State::Running(_), false) => self.send_grant(from, queue_entry.request),
            (State::Waiting(_), false) | (State::Running(_), true) => {}
        }
    }

    pub(super) fn record(&mut self, from: InstanceKey, queue_entry: QueueEntry, state: State) {
        let entry = TrackedEntry {
            driver: from,
            queue_entry,
            state,
        };
        self.queue_entries.insert(queue_entry.request, entry);
        if let Some(peer) = self.drivers.get_mut(&from) {
            peer.requests.insert(queue_entry.request);
        }
    }

    /// Removes drivers that have not reported within the report timeout.
    pub(super) fn sweep(&mut self, now: Instant) {
        if now < self.sweep_at {
            return;
        }
        let silent: Vec<_> = self
            .drivers
            .iter()
            .filter(|(_, p)| p.report_due_at <= now)
            .map(|(&d, _)| d)
            .collect();
        for driver in silent {
            self.remove_driver(driver);
        }
        self.count_unreported();
        self.sweep_at = now + self.options.report_timeout / 4;
    }

    /// Removes a driver and frees its slots and credits. Its next report must be whole.
    pub(super) fn remove_driver(&mut self, driver: InstanceKey) {
        let Some(peer) = self.drivers.get(&driver) else {
            return;
        };
        let requests: Vec<_> = peer.requests.iter().copied().collect();
        for request in requests {
            self.remove_queue_entry(driver, request);
        }
        if let Some(peer) = self.drivers.remove(&driver) {
            self.held -= peer.offers.held();
            self.number = self.number.max(peer.sent);
        }
        self.credit_holders.remove(&driver);
        self.outbox.remove(&driver);
    }

    /// Detects lost messages by comparing counts once no message is in flight: requests a
    /// whole report when the counts differ, and repeats a revocation of credits that are
    /// still held.
    pub(super) fn compare_counts(&mut self, now: Instant, from: InstanceKey, report: &Report) {
        let Some(peer) = self.drivers.get(&from) else {
            return;
        };
        let running = peer.requests.len() as u32 - peer.waiting;
        let all_seen = report.seen.session == self.session && report.seen.number == peer.sent;
        let quiescent = all_seen || now >= peer.quiescent_at;
        let queued = self.outbox.contains_key(&from);
        let counts_match = (report.waiting, report.running) == (peer.waiting, running);
        let revoke = peer.revoked && peer.offers.held() > 0 && quiescent;
        if quiescent && !queued && !counts_match {
            self.request_resend(now, from);
        }
        if revoke {
            self.outbox.entry(from).or_default().revoke = true;
        }
    }
}
