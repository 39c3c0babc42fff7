//! The queue owner's decisions under [`LoadPolicy::Contended`].

use std::time::Duration;

use hemlockwind_core::time::Instant;

use crate::admission::Caller;
use crate::admission::Candidate;
use crate::admission::Capacity;
use crate::admission::Cause;
use crate::admission::RANKS;
use crate::admission::Refusal;
use crate::load_policy::LoadPolicy;
use crate::queue_entry::Decision;
use crate::queue_entry::QueueEntry;
use crate::queue_entry::QueueEntryId;
use crate::queue_entry::Reason;
use crate::queue_owner::EXCLUSION_GRACE;
use crate::queue_owner::LOOK_AHEAD;
use crate::queue_owner::MIN_RETRY;
use crate::queue_owner::NO_PATH_RETRY;
use crate::queue_owner::QueueOwner;

/// The maximum number of entries that one poll examines. More of them start with the next ones.
const MAX_EXAMINED: usize = 256;
/// How long the answer to whether there is a whole path is used. Its search takes longer than all
/// else that is decided on an arrival.
const PATH_CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl QueueOwner {
    /// Decides on a new entry as [`QueueOwner::request_path`] does. Under
    /// [`LoadPolicy::Contended`], `caller` says how a refused caller returns.
    pub fn request_path_for(
        &mut self,
        now: Instant,
        queue_entry: QueueEntry,
        caller: Caller,
    ) -> Option<Decision> {
        self.follow_policy(now);
        if self.engines.load_policy == LoadPolicy::Standard {
            return self.request_path(now, queue_entry);
        }
        // The new path of a running stream: running work is never dropped for admission.
        if !queue_entry.may_wait {
            return Some(match self.path(now, &queue_entry) {
                Some(path) => self.start(now, &queue_entry, path),
                None => Decision::Refused(Reason::WaitTooLong, MIN_RETRY),
            });
        }
        let capacity = self.capacity(now);
        let candidate = self.admission.arrive(now, queue_entry, caller);
        if self.admission.may_start(now, &candidate, &capacity)
            && let Some(path) = self.path(now, &queue_entry)
        {
            self.admission.started(&candidate);
            return Some(self.start(now, &queue_entry, path));
        }
        if !self.is_path_expected(now) {
            let refusal = self.refuse_without_path(now, &candidate, &capacity);
            return Some(Decision::NotAdmitted(refusal));
        }
        let limit_wait = self.engines.limit_wait(now, self.admission.waiting());
        let refusal = self
            .admission
            .wait_or_refuse(now, candidate, &capacity, limit_wait)?;
        Some(self.not_admitted(&queue_entry, refusal))
    }

    /// Starts waiting entries that fit now, and refuses those that can't start in time.
    pub(super) fn poll_contended(&mut self, now: Instant) -> Vec<(QueueEntryId, Decision)> {
        self.drop_silent(now);
        let mut decisions = Vec::new();
        if self.admission.waiting() == 0 {
            return decisions;
        }
        let mut capacity = self.capacity(now);
        if !self.is_path_expected(now) {
            for candidate in self.admission.start_order(usize::MAX) {
                let refusal = self.refuse_without_path(now, &candidate, &capacity);
                decisions.push((candidate.entry.id, Decision::NotAdmitted(refusal)));
            }
            return decisions;
        }
        self.start_waiting(now, &mut capacity, &mut decisions);
        for (entry, refusal) in self.admission.review(now, &capacity) {
            decisions.push((entry.id, self.not_admitted(&entry, refusal)));
        }
        decisions
    }

    /// Starts waiting entries that fit now.
    fn start_waiting(
        &mut self,
        now: Instant,
        capacity: &mut Capacity,
        decisions: &mut Vec<(QueueEntryId, Decision)>,
    ) {
        let mut skipped = 0;
        let mut blocked: Option<usize> = None;
        for candidate in self.admission.start_order(MAX_EXAMINED) {
            let entry = candidate.entry;
            if candidate.latest_start <= now {
                // Refused before a later one starts, which must not overtake it.
                let refusal = self.admission.expire(now, &candidate, capacity);
                decisions.push((entry.id, self.not_admitted(&entry, refusal)));
                continue;
            }
            if blocked == Some(candidate.level) {
                continue;
            }
            if !self.admission.has_capacity(now, &candidate, capacity) {
                // The reserve of less urgent requests is at least as large.
                return;
            }
            let fits = self.admission.leaves_reserve(now, &candidate, capacity);
            let path = fits.then(|| self.path(now, &entry)).flatten();
            match path {
                Some(path) => {
                    self.admission.started(&candidate);
                    capacity.free -= f64::from(entry.tokens);
                    decisions.push((entry.id, self.start(now, &entry, path)));
                }
                None => {
                    skipped += 1;
                    if skipped >= LOOK_AHEAD {
                        return;
                    }
                    // A caller that returned later must not start before one that returned earlier:
                    // that one would be refused for the second time.
                    if candidate.is_returning {
                        blocked = Some(candidate.level);
                    }
                }
            }
        }
    }

    /// Moves the waiting entries if the policy has changed.
    pub(super) fn follow_policy(&mut self, now: Instant) {
        match self.engines.load_policy {
            LoadPolicy::Admission | LoadPolicy::Contended => {
                for (_, entry) in std::mem::take(&mut self.waiting) {
                    self.admission.adopt(now, entry);
                }
            }
            LoadPolicy::Standard if self.admission.waiting() > 0 => {
                for entry in self.admission.drain() {
                    self.arrivals += 1;
                    self.waiting.push((self.arrivals, entry));
                }
            }
            LoadPolicy::Standard => {}
        }
    }

    /// Returns the number of waiting entries of each rank, under [`LoadPolicy::Contended`].
    pub fn waiting_by_rank(&self) -> [usize; RANKS] {
        self.admission.waiting_by_rank()
    }

    /// Returns the memory that is kept free for more urgent requests, in tokens x layers.
    pub fn reserved_for_urgent(&self, now: Instant) -> f64 {
        self.admission.reserved(now) * f64::from(self.engines.model.layers)
    }

    /// Returns the engines' memory for requests. The layer with the least free memory bounds the
    /// requests that can start. Engines that can't be used don't count, so that `free` is negative
    /// when streams have moved from lost engines to full ones.
    fn capacity(&self, now: Instant) -> Capacity {
        let mut changes = vec![0.0; usize::from(self.engines.model.layers) + 1];
        for (_, engine) in self.engines.iter() {
            let layers = engine.layers;
            if layers.count() > 0 && self.engines.is_usable(engine, now) {
                let free = engine.free(now) / f64::from(layers.count());
                changes[usize::from(layers.start())] += free;
                changes[usize::from(layers.end())] -= free;
            }
        }
        changes.pop();
        let mut free = 0.0;
        let least = changes.into_iter().map(|change| {
            free += change;
            free
        });
        Capacity {
            free: least.fold(f64::INFINITY, f64::min),
            running: self.running_tokens,
            mean_run_s: self.wait_estimator.mean_s(),
        }
    }

    /// Returns whether there is a whole path, or only briefly none.
    fn is_path_expected(&mut self, now: Instant) -> bool {
        let (is_expected, until) = self.path_expected;
        if now < until {
            return is_expected;
        }
        let is_expected = self.has_path(now + EXCLUSION_GRACE);
        self.path_expected = (is_expected, now + PATH_CHECK_INTERVAL);
        is_expected
    }

    /// Refuses a request because there is no whole path.
    fn refuse_without_path(
        &mut self,
        now: Instant,
        candidate: &Candidate,
        capacity: &Capacity,
    ) -> Refusal {
        self.admission.remove(candidate.entry.id);
        let admission = &mut self.admission;
        let refusal = admission.refuse(now, candidate, Cause::NoPath, NO_PATH_RETRY, capacity);
        self.with_progress(&candidate.entry, refusal)
    }

    fn not_admitted(&self, queue_entry: &QueueEntry, refusal: Refusal) -> Decision {
        Decision::NotAdmitted(self.with_progress(queue_entry, refusal))
    }

    /// Adds the tokens in progress of the organisation to a refusal.
    fn with_progress(&self, queue_entry: &QueueEntry, refusal: Refusal) -> Refusal {
        let tokens = self.in_progress.get(&queue_entry.organisation).copied();
        Refusal {
            tokens_in_progress: tokens.unwrap_or_default(),
            ..refusal
        }
    }
}
