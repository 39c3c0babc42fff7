//! Processing of the drivers' reports, and removal of drivers that are gone.

use hemlockwind_core::collections::HashSet;
use hemlockwind_core::engine::RequestId;
use hemlockwind_core::names::InstanceKey;
use hemlockwind_core::time::Instant;

use crate::message::Finished;
use crate::message::Report;
use crate::queue_entry::QueueEntry;
use crate::queue_owner::DriverState;
use crate::queue_owner::EntryState;
use crate::queue_owner::QueueOwner;
use crate::queue_owner::ROUND_TRIP;
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
        let unreported =
            |key: &&InstanceKey| self.drivers.get(key).is_none_or(|d| d.stamp.number == 0);
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
        self.record_credits(from, &report);
        // Requests that run on credits come first: their slots are no longer set aside
        // for the credits.
        let running = report.queue_entries.iter().filter(|e| e.running);
        let waiting = report.queue_entries.iter().filter(|e| !e.running);
        for &queue_entry in running.chain(waiting) {
            self.merge_queue_entry(now, from, queue_entry, report.whole);
        }
        self.compare_counts(now, from, &report);
        self.offer_credits(from);
        // The driver gets an answer within its answer timeout even if there is nothing to
        // grant.
        if without_entries || report.whole {
            self.outbox.entry(from).or_default();
        }
    }

    /// Returns whether a report is to be applied, and records its stamp if so. A repeated
    /// report, or one that a later one has overtaken, is dropped. After a gap in the
    /// numbers, only a whole report is applied; any other is dropped, and a whole one is
    /// requested.
    pub(super) fn accept_report(
        &mut self,
        now: Instant,
        from: InstanceKey,
        report: &Report,
    ) -> bool {
        let report_due_at = now + self.options.report_timeout;
        let driver_state = self
            .drivers
            .entry(from)
            .or_insert_with(|| DriverState::new(now, self.last_number));
        if report.stamp <= driver_state.stamp {
            return false;
        }
        driver_state.report_due_at = report_due_at;
        let is_next = report.stamp.session == driver_state.stamp.session
            && report.stamp.number == driver_state.stamp.number + 1;
        if !report.whole && !is_next {
            self.request_resend(now, from);
            return false;
        }
        let is_first = driver_state.stamp.number == 0;
        driver_state.stamp = report.stamp;
        if is_first {
            self.count_unreported();
        }
        true
    }

    /// Removes a driver that now reports to another queue owner.
    pub(super) fn on_leave(&mut self, from: InstanceKey, report: &Report) {
        let driver_state = self.drivers.get(&from);
        if driver_state.is_some_and(|d| d.stamp < report.stamp) {
            self.remove_driver(from);
            self.count_unreported();
        }
    }

    /// Requests a whole report from a driver, at most once per round trip.
    pub(super) fn request_resend(&mut self, now: Instant, driver: InstanceKey) {
        let Some(driver_state) = self.drivers.get_mut(&driver) else {
            return;
        };
        if now >= driver_state.resend_at {
            driver_state.resend_at = now + ROUND_TRIP;
            self.outbox.entry(driver).or_default().resend = true;
        }
    }

    /// Removes the queue entries that a whole report doesn't list, as they have ended or
    /// were withdrawn.
    pub(super) fn drop_missing(&mut self, from: InstanceKey, queue_entries: &[QueueEntry]) {
        let listed: HashSet<_> = queue_entries.iter().map(|e| e.request).collect();
        let Some(driver_state) = self.drivers.get(&from) else {
            return;
        };
        let missing: Vec<_> = driver_state.requests.difference(&listed).copied().collect();
        for request in missing {
            self.remove_queue_entry(from, request);
        }
    }

    pub(super) fn finish(&mut self, now: Instant, from: InstanceKey, finished: Finished) {
        if let Some(entry) = self.queue_entries.get(&finished.request)
            && entry.driver == from
            && let EntryState::Running(Some(since)) = entry.state
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
            && let EntryState::Running(_) = entry.state
        {
            self.in_use -= 1;
        }
        if let Some(driver_state) = self.drivers.get_mut(&from) {
            driver_state.requests.remove(&request);
        }
    }

    /// Removes a waiting queue entry from its queue, but keeps its record in `queue_entries`.
    pub(super) fn dequeue(&mut self, request: RequestId) {
        let Some(entry) = self.queue_entries.get(&request) else {
            return;
        };
        let EntryState::Waiting(position) = entry.state else {
            return;
        };
        let rank = self.index(entry.queue_entry.rank);
        self.queues[rank].remove(position);
        self.expiries.remove(&(entry.queue_entry.deadline, request));
        if let Some(driver_state) = self.drivers.get_mut(&entry.driver) {
            driver_state.waiting -= 1;
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
            (EntryState::Waiting(_), true) => {
                self.dequeue(queue_entry.request);
                self.occupy_slot(now, queue_entry.request, since);
            }
            // The grant has not reached the driver yet, or was lost.
            (EntryState::Running(_), false) => self.send_grant(from, queue_entry.request),
            (EntryState::Waiting(_), false) | (EntryState::Running(_), true) => {}
        }
    }

    pub(super) fn record(&mut self, from: InstanceKey, queue_entry: QueueEntry, state: EntryState) {
        let entry = TrackedEntry {
            driver: from,
            queue_entry,
            state,
        };
        self.queue_entries.insert(queue_entry.request, entry);
        if let Some(driver_state) = self.drivers.get_mut(&from) {
            driver_state.requests.insert(queue_entry.request);
        }
    }

    /// Removes drivers that have not reported within the report timeout.
    pub(super) fn sweep(&mut self, now: Instant) {
        if now < self.sweep_at {
            return;
        }
        let overdue: Vec<_> = self
            .drivers
            .iter()
            .filter(|(_, d)| d.report_due_at <= now)
            .map(|(&key, _)| key)
            .collect();
        for driver in overdue {
            self.remove_driver(driver);
        }
        self.count_unreported();
        self.sweep_at = now + self.options.report_timeout / 4;
    }

    /// Removes a driver and frees its slots and credits. Its next report must be whole.
    pub(super) fn remove_driver(&mut self, driver: InstanceKey) {
        let Some(driver_state) = self.drivers.get(&driver) else {
            return;
        };
        let requests: Vec<_> = driver_state.requests.iter().copied().collect();
        for request in requests {
            self.remove_queue_entry(driver, request);
        }
        if let Some(driver_state) = self.drivers.remove(&driver) {
            self.credit_slots -= driver_state.offers.outstanding();
            self.last_number = self.last_number.max(driver_state.last_sent);
        }
        self.credit_holders.remove(&driver);
        self.outbox.remove(&driver);
    }

    /// Detects lost messages by comparing counts once no message is in flight: requests a
    /// whole report when the counts differ, and repeats a revocation of credits that are
    /// still held.
    pub(super) fn compare_counts(&mut self, now: Instant, from: InstanceKey, report: &Report) {
        let Some(driver_state) = self.drivers.get(&from) else {
            return;
        };
        let running = driver_state.requests.len() as u32 - driver_state.waiting;
        let all_seen =
            report.seen.session == self.session && report.seen.number == driver_state.last_sent;
        let quiescent = all_seen || now >= driver_state.quiescent_at;
        let has_pending_message = self.outbox.contains_key(&from);
        let counts_match = (report.waiting, report.running) == (driver_state.waiting, running);
        let must_revoke =
            driver_state.revoked && driver_state.offers.outstanding() > 0 && quiescent;
        if quiescent && !has_pending_message && !counts_match {
            self.request_resend(now, from);
        }
        if must_revoke {
            self.outbox.entry(from).or_default().revoke = true;
        }
    }
}
