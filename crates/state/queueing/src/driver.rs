//! The driver's side of a pool.
//!
//! [`Driver`] holds every waiting and running queue entry of its instance until the
//! request ends, so that it can report all of them to a new queue owner.

use std::collections::BTreeSet;
use std::time::Duration;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::engine::RequestId;
use hemlockwind_core::names::InstanceKey;
use hemlockwind_core::names::Rank;
use hemlockwind_core::time::Instant;

use crate::message::Finished;
use crate::message::Grants;
use crate::message::Report;
use crate::message::Stamp;
use crate::queue_entry::QueueEntry;
use crate::queue_entry::Reason;
use crate::queue_entry::Refusal;

/// The time after which a request that the driver refused for its deadline may be
/// retried.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// `Options` holds the settings of the driver's side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// The number of requests that may run at once while no queue owner answers.
    pub standalone_slots: u32,
    /// The time between reports when nothing has changed.
    pub report_period: Duration,
    /// The time without an answer after which the queue owner is considered gone.
    pub answer_timeout: Duration,
    /// The time for which unused credits stay valid.
    pub credit_lifetime: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            standalone_slots: 1,
            report_period: Duration::from_millis(500),
            answer_timeout: Duration::from_millis(1_500),
            credit_lifetime: Duration::from_secs(5),
        }
    }
}

/// `Event` is an input of a driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request needs a slot.
    Submit(QueueEntry),
    /// A started request ended and had this cost.
    Finish(Finished),
    /// A request is cancelled; this has no effect once it has started.
    Withdraw(RequestId),
    /// The pool's queue owner is now on the given instance, or there is none.
    QueueOwner(Option<InstanceKey>),
    /// A message of a queue owner arrived.
    Grants(InstanceKey, Grants),
    /// The time of [`Driver::next_deadline`] has come.
    Tick,
}

/// `Action` is an output of a driver, for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the request; it holds a slot until [`Event::Finish`].
    Start(RequestId),
    /// Refuse the request; nothing was run.
    Refuse(Refusal),
    /// Send the report to the queue owner on the given instance.
    Send(InstanceKey, Report),
}

/// `Driver` holds the queue entries of one instance for one pool.
#[derive(Debug)]
pub struct Driver {
    options: Options,
    session: u64,
    number: u64,
    queue_owner: Option<InstanceKey>,
    seen: Stamp,
    queue_entries: HashMap<RequestId, TrackedEntry>,
    waiting: BTreeSet<(Rank, u64, RequestId)>,
    expiries: BTreeSet<(Instant, RequestId)>,
    arrivals: u64,
    running: u32,
    credits: u32,
    credits_expire_at: Instant,
    report_at: Instant,
    answer_due_at: Instant,
    waits: Vec<Duration>,
    updates: Report,
    has_updates: bool,
    actions: Vec<Action>,
}

#[derive(Clone, Copy, Debug)]
struct TrackedEntry {
    queue_entry: QueueEntry,
    arrival: u64,
}

impl Driver {
    /// Returns a driver without a queue owner. A later `session` of the same instance
    /// must have a higher number.
    pub fn new(options: Options, session: u64, now: Instant) -> Self {
        Self {
            options,
            session,
            number: 0,
            queue_owner: None,
            seen: Stamp::default(),
            queue_entries: HashMap::default(),
            waiting: BTreeSet::new(),
            expiries: BTreeSet::new(),
            arrivals: 0,
            running: 0,
            credits: 0,
            credits_expire_at: Instant::NEVER,
            report_at: now,
            answer_due_at: now,
            waits: Vec::new(),
            updates: Report::default(),
            has_updates: false,
            actions: Vec::new(),
        }
    }

    /// Processes one event and returns the actions that follow from it.
    pub fn on_event(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Submit(queue_entry) => self.submit(now, queue_entry),
            Event::Finish(finished) => self.finish(finished),
            Event::Withdraw(request) => self.withdraw(request),
            Event::QueueOwner(queue_owner) => self.change_queue_owner(now, queue_owner),
            Event::Grants(from, grants) => self.on_grants(now, from, grants),
            Event::Tick => {}
        }
        self.expire(now);
        self.start_without_queue_owner(now);
        self.flush(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns when the driver next needs an [`Event::Tick`].
    pub fn next_deadline(&self) -> Instant {
        let mut next = self.expiries.first().map_or(Instant::NEVER, |e| e.0);
        if self.queue_owner.is_some() {
            next = next.min(self.report_at);
        }
        if self.credits > 0 {
            next = next.min(self.credits_expire_at);
        }
        next
    }

    /// Returns the instance on which this driver expects the pool's queue owner.
    pub fn queue_owner(&self) -> Option<InstanceKey> {
        self.queue_owner
    }

    /// Returns the number of requests that hold a slot.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the oldest of the most urgent waiting requests.
    pub fn next_waiting(&self) -> Option<RequestId> {
        self.waiting.first().map(|&(_, _, request)| request)
    }

    /// Returns whether the request waits for a slot of this pool.
    pub fn is_waiting(&self, request: RequestId) -> bool {
        let entry = self.queue_entries.get(&request);
        entry.is_some_and(|e| !e.queue_entry.running)
    }

    /// Returns whether there is a queue owner that answered, or was set, within the
    /// answer timeout.
    pub fn has_queue_owner(&self, now: Instant) -> bool {
        self.queue_owner.is_some() && now < self.answer_due_at
    }

    /// Returns the number of unused credits.
    pub fn credits(&self) -> u32 {
        self.credits
    }

    /// Returns the queue owner's last estimate of the wait of a new queue entry of `rank`.
    pub fn wait(&self, rank: Rank) -> Duration {
        let wait = self.waits.get(usize::from(rank.0));
        wait.copied().unwrap_or_default()
    }

    fn submit(&mut self, now: Instant, mut queue_entry: QueueEntry) {
        if self.queue_entries.contains_key(&queue_entry.request) {
            return;
        }
        queue_entry.running =
            self.credits > 0 && now < self.credits_expire_at && self.has_queue_owner(now);
        self.arrivals += 1;
        let arrival = self.arrivals;
        self.queue_entries.insert(
            queue_entry.request,
            TrackedEntry {
                queue_entry,
                arrival,
            },
        );
        if queue_entry.running {
            self.credits -= 1;
            self.running += 1;
            self.actions.push(Action::Start(queue_entry.request));
        } else {
            self.waiting
                .insert((queue_entry.rank, arrival, queue_entry.request));
            self.expiries
                .insert((queue_entry.deadline, queue_entry.request));
        }
        self.updates.queue_entries.push(queue_entry);
        self.has_updates = true;
    }

    fn finish(&mut self, finished: Finished) {
        let Some(entry) = self.queue_entries.get(&finished.request) else {
            return;
        };
        if !entry.queue_entry.running {
            return self.withdraw(finished.request);
        }
        self.running -= 1;
        self.queue_entries.remove(&finished.request);
        self.updates.finished.push(finished);
        self.has_updates = true;
    }

    /// Withdraws a waiting request. A started one can't be withdrawn; it ends by
    /// [`Event::Finish`].
    fn withdraw(&mut self, request: RequestId) {
        if self
            .queue_entries
            .get(&request)
            .is_some_and(|e| !e.queue_entry.running)
        {
            self.remove_waiting(request);
            self.updates.withdrawn.push(request);
            self.has_updates = true;
        }
    }

    fn remove_waiting(&mut self, request: RequestId) {
        if let Some(TrackedEntry {
            queue_entry,
            arrival,
        }) = self.queue_entries.remove(&request)
        {
            self.waiting.remove(&(queue_entry.rank, arrival, request));
            self.expiries.remove(&(queue_entry.deadline, request));
        }
    }

    fn change_queue_owner(&mut self, now: Instant, queue_owner: Option<InstanceKey>) {
        if queue_owner == self.queue_owner {
            return;
        }
        if let Some(old) = self.queue_owner {
            let leaving = Report {
                stamp: self.next_stamp(),
                leaving: true,
                ..Report::default()
            };
            self.actions.push(Action::Send(old, leaving));
        }
        self.queue_owner = queue_owner;
        self.seen = Stamp::default();
        self.credits = 0;
        self.waits.clear();
        self.answer_due_at = now + self.options.answer_timeout;
        self.prepare_whole_report();
    }

    /// Makes the next report list all waiting and running queue entries.
    fn prepare_whole_report(&mut self) {
        self.updates = Report {
            whole: true,
            queue_entries: self.queue_entries.values().map(|e| e.queue_entry).collect(),
            ..Report::default()
        };
        self.has_updates = true;
    }

    /// Applies a message of the current queue owner. Grants of any other are ignored,
    /// since the current one grants the same queue entries.
    fn on_grants(&mut self, now: Instant, from: InstanceKey, grants: Grants) {
        let is_stale = grants.stamp.session < self.seen.session;
        if self.queue_owner != Some(from) || is_stale {
            return;
        }
        self.answer_due_at = now + self.options.answer_timeout;
        if grants.stamp.session > self.seen.session {
            self.credits = 0;
            self.seen = Stamp {
                session: grants.stamp.session,
                number: 0,
            };
        }
        for &request in &grants.granted {
            self.start(request);
        }
        for &refusal in &grants.refused {
            self.refuse(refusal);
        }
        if grants.stamp > self.seen {
            self.apply_credits(now, &grants);
        }
        if grants.resend {
            self.prepare_whole_report();
        }
    }

    /// Records a message as seen and applies its credits and estimated waits. The caller
    /// skips this for a message that a later one has overtaken: once the queue owner gets a
    /// report that names the later one as seen, it frees the slots set aside for the credits
    /// of the earlier one.
    fn apply_credits(&mut self, now: Instant, grants: &Grants) {
        self.seen = grants.stamp;
        self.waits.clone_from(&grants.waits);
        if grants.revoke {
            self.credits = 0;
            self.has_updates = true;
        }
        if grants.credits > 0 {
            self.credits += grants.credits;
            self.credits_expire_at = now + self.options.credit_lifetime;
        }
    }

    fn start(&mut self, request: RequestId) {
        let Some(entry) = self.queue_entries.get_mut(&request) else {
            return;
        };
        if entry.queue_entry.running {
            return;
        }
        entry.queue_entry.running = true;
        let (queue_entry, arrival) = (entry.queue_entry, entry.arrival);
        self.waiting.remove(&(queue_entry.rank, arrival, request));
        self.expiries.remove(&(queue_entry.deadline, request));
        self.running += 1;
        self.actions.push(Action::Start(request));
    }

    fn refuse(&mut self, refusal: Refusal) {
        let entry = self.queue_entries.get(&refusal.request);
        if entry.is_some_and(|e| !e.queue_entry.running) {
            self.remove_waiting(refusal.request);
            self.actions.push(Action::Refuse(refusal));
        }
    }

    /// Refuses requests that have waited past their deadline and drops expired credits.
    fn expire(&mut self, now: Instant) {
        while let Some(&(deadline, request)) = self.expiries.first()
            && deadline <= now
        {
            self.withdraw(request);
            self.actions.push(Action::Refuse(Refusal {
                request,
                reason: Reason::DeadlinePassed,
                retry_at: now + RETRY_AFTER,
            }));
        }
        if self.credits > 0 && now >= self.credits_expire_at {
            self.credits = 0;
            self.has_updates = true;
        }
    }

    /// Starts the most urgent waiting requests while no queue owner answers, until
    /// `Options::standalone_slots` requests run.
    fn start_without_queue_owner(&mut self, now: Instant) {
        if self.has_queue_owner(now) {
            return;
        }
        while self.running < self.options.standalone_slots
            && let Some(&(_, _, request)) = self.waiting.first()
        {
            self.start(request);
            if let Some(entry) = self.queue_entries.get(&request) {
                self.updates.queue_entries.push(entry.queue_entry);
                self.has_updates = true;
            }
        }
    }

    fn next_stamp(&mut self) -> Stamp {
        self.number += 1;
        Stamp {
            session: self.session,
            number: self.number,
        }
    }

    /// Sends the pending updates, or an empty report when the report period is over.
    fn flush(&mut self, now: Instant) {
        let Some(queue_owner) = self.queue_owner else {
            // The first report to the next queue owner lists all queue entries.
            self.updates = Report::default();
            self.has_updates = false;
            return;
        };
        if !self.has_updates && now < self.report_at {
            return;
        }
        let mut report = std::mem::take(&mut self.updates);
        self.has_updates = false;
        self.report_at = now + self.options.report_period;
        report.stamp = self.next_stamp();
        report.seen = self.seen;
        report.credits = self.credits;
        report.waiting = self.waiting.len() as u32;
        report.running = self.running;
        self.actions.push(Action::Send(queue_owner, report));
    }
}
