//! Which waiting request starts next, and which is refused at once.
//!
//! Orders requests when a burst needs more memory than the engines have. The most urgent
//! rank goes first; inside a rank those that can still be on time, then those of the
//! organisation with the fewest tokens in progress, then the oldest. A request whose
//! expected wait is too long is refused at once, with the time after which a retry may
//! succeed. This is the order under [`LoadPolicy::Standard`]; [`crate::admission`] has that under
//! [`LoadPolicy::Contended`].

mod contended;

use std::net::SocketAddr;
use std::time::Duration;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::collections::HashSet;
use hemlockwind_core::names::DataCentreKey;
use hemlockwind_core::names::InstanceKey;
use hemlockwind_core::names::OrganisationKey;
use hemlockwind_core::names::Rank;
use hemlockwind_core::time::Instant;

use crate::admission::Admission;
use crate::admission::Caller;
use crate::choice;
use crate::choice::Need;
use crate::engines::Engines;
use crate::engines::Stage;
use crate::load_policy::LoadPolicy;
use crate::queue_entry::Decision;
use crate::queue_entry::QueueEntry;
use crate::queue_entry::QueueEntryId;
use crate::queue_entry::Reason;
use crate::reroutes::PendingReroute;
use crate::reroutes::Reroutes;
use crate::reserve::Reserve;
use crate::spill::Spill;
use crate::spill::Spills;
use crate::wait_estimator::WaitEstimator;

/// How many waiting entries may find no memory before the search ends: a large request must
/// not block small ones while its memory is being freed.
const LOOK_AHEAD: usize = 4;
/// The part of the time to its latest start that an entry's expected wait may take. The
/// estimate errs by about a third, and a request that waits and is then refused is the
/// worst case.
const WAIT_MARGIN: f64 = 0.6;
/// The time after which a caller should retry when there is no whole path: other engines
/// take over the layers of a lost one within a second or two. Callers retry only once or
/// twice and are late by then, so a slightly longer wait costs them less than a second
/// refusal.
const NO_PATH_RETRY: Duration = Duration::from_millis(2_000);
/// How long an engine may be excluded without its path counting as lost.
const EXCLUSION_GRACE: Duration = Duration::from_millis(400);
/// The shortest time after which a refused caller should retry, for the same reason as
/// [`NO_PATH_RETRY`].
const MIN_RETRY: Duration = Duration::from_millis(1_000);
/// Time without a report after which an instance's requests are dropped.
const REPORT_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after a start within which its instance may not have reported it yet.
const REPORT_DELAY: Duration = Duration::from_millis(500);

/// `Held` describes one running stream as its instance reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct Held {
    /// Tokens of its prompt and expected answer together.
    pub tokens: u32,
    /// Its path.
    pub path: Vec<Stage>,
}

/// `Reroute` describes the new path that a running stream needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reroute {
    /// Whether memory must be free on all stages.
    pub must_fit: bool,
    /// Whether the first stage must stay, as it continues the stream.
    pub keeps_first: bool,
    /// How the new path may cross between data centres.
    pub crossing: Crossing,
}

/// `Crossing` limits how a new path may cross between data centres.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crossing {
    /// Without a limit.
    Free,
    /// No more often than the old path.
    NoMore,
    /// Not at all: links between data centres have failed.
    None,
}

impl Reroute {
    /// Returns the old path if its first stage must stay.
    fn held(self, path: &[Stage]) -> Option<&[Stage]> {
        self.keeps_first.then_some(path)
    }
}

/// `Running` is one request that holds memory.
#[derive(Debug)]
struct Running {
    tokens: u32,
    path: Vec<Stage>,
    started: Instant,
    /// `None` for a request that another queue owner granted.
    organisation: Option<OrganisationKey>,
}

/// `QueueOwner` owns the queue of one model: it decides which requests start on its engines.
#[derive(Debug)]
pub struct QueueOwner {
    /// The engines and their reserved memory.
    pub engines: Engines,
    running: HashMap<QueueEntryId, Running>,
    /// Tokens of all running requests.
    running_tokens: f64,
    /// Waiting entries with their arrival numbers.
    waiting: Vec<(u64, QueueEntry)>,
    /// The last arrival number.
    arrivals: u64,
    /// Tokens of each organisation's running requests.
    in_progress: HashMap<OrganisationKey, f64>,
    /// When each instance last reported its running requests.
    last_report: HashMap<InstanceKey, Instant>,
    wait_estimator: WaitEstimator,
    /// The waiting entries under [`LoadPolicy::Contended`].
    admission: Admission,
    /// Whether there was a whole path, and until when that is used.
    path_expected: (bool, Instant),
    reroutes: Reroutes,
    reserve: Reserve,
    spills: Spills,
}

impl QueueOwner {
    /// Returns a queue owner for `engines`, with nothing running or waiting.
    pub fn new(engines: Engines) -> Self {
        Self {
            engines,
            running: HashMap::default(),
            running_tokens: 0.0,
            waiting: Vec::new(),
            arrivals: 0,
            in_progress: HashMap::default(),
            last_report: HashMap::default(),
            wait_estimator: WaitEstimator::default(),
            admission: Admission::default(),
            path_expected: (false, Instant::ZERO),
            reroutes: Reroutes::default(),
            reserve: Reserve::default(),
            spills: Spills::default(),
        }
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of waiting entries.
    pub fn waiting(&self) -> usize {
        self.waiting.len() + self.admission.waiting()
    }

    /// Returns the expected wait of a new entry of `rank`.
    pub fn expected_wait(&self, rank: Rank, tokens: u32) -> Duration {
        let ahead = self.waiting.iter().filter(|(_, entry)| entry.rank <= rank);
        let ahead: f64 = ahead.map(|(_, entry)| f64::from(entry.tokens)).sum();
        self.wait_estimator
            .expected_wait(ahead + f64::from(tokens), self.running_tokens)
    }

    /// Returns the expected wait of a new entry for memory and for the limits that engines
    /// announced. While memory is free, the entries wait for the limits alone.
    fn wait_for_start(&self, now: Instant, queue_entry: &QueueEntry) -> Duration {
        let rank = queue_entry.rank;
        let ahead = self.waiting.iter().filter(|(_, entry)| entry.rank <= rank);
        let limit_wait = self.engines.limit_wait(now, ahead.count());
        let need = Need {
            within_limit: false,
            ..self.need(now, queue_entry)
        };
        if !limit_wait.is_zero() && choice::choose(&self.engines, now, need).is_some() {
            return limit_wait;
        }
        let memory_wait = self.expected_wait(rank, queue_entry.tokens);
        memory_wait.max(limit_wait)
    }

    /// Decides on a new entry, or adds it to the waiting ones and returns `None`.
    pub fn request_path(&mut self, now: Instant, queue_entry: QueueEntry) -> Option<Decision> {
        if self.engines.load_policy.has_admission() {
            return self.request_path_for(now, queue_entry, Caller::default());
        }
        let goes_first = !self
            .waiting
            .iter()
            .any(|(_, entry)| entry.rank <= queue_entry.rank);
        if goes_first && let Some(path) = self.path(now, &queue_entry) {
            return Some(self.start(now, &queue_entry, path));
        }
        // An engine that is excluded only briefly is worth waiting for.
        if !self.has_path(now + EXCLUSION_GRACE) {
            return Some(Decision::Refused(Reason::NoPath, NO_PATH_RETRY));
        }
        let wait = self.wait_for_start(now, &queue_entry);
        let max_wait = queue_entry.latest.since(now).mul_f64(WAIT_MARGIN);
        if !queue_entry.may_wait || wait > max_wait {
            let retry = wait.max(MIN_RETRY);
            return Some(Decision::Refused(Reason::WaitTooLong, retry));
        }
        self.arrivals += 1;
        self.waiting.push((self.arrivals, queue_entry));
        None
    }

    /// Removes an entry, waiting or running, and releases its memory.
    pub fn done(&mut self, now: Instant, id: QueueEntryId) {
        self.waiting.retain(|(_, entry)| entry.id != id);
        self.admission.remove(id);
        self.reroutes.remove(id);
        if let Some(running) = self.running.remove(&id) {
            self.wait_estimator.finished(running.started, now);
            self.release_memory(&running);
        }
    }

    /// Finds another path for a running stream within the limits of `reroute` and moves
    /// its memory there. Returns `None` and changes nothing when there is none. A stream whose
    /// engines have failed need not fit (`must_fit` is false): it may continue on overcommitted
    /// engines.
    pub fn reroute(
        &mut self,
        now: Instant,
        id: QueueEntryId,
        reroute: Reroute,
    ) -> Option<Vec<Stage>> {
        let running = self.running.get(&id)?;
        let (tokens, old) = (running.tokens, running.path.clone());
        // The memory that the stream holds may be reused by its new path.
        self.engines.release(&old, tokens);
        let first = old.first().and_then(|s| self.engines.get(s.engine));
        let need = Need {
            tokens,
            caller_data_centre: None,
            must_fit: true,
            held: reroute.held(&old),
            within: first
                .map(|e| e.data_centre)
                .filter(|_| reroute.crossing == Crossing::None),
            within_limit: true,
            rank: Rank(0),
            spare_tokens: 0.0,
        };
        let overcommitted = Need {
            must_fit: false,
            ..need
        };
        let fits = choice::choose(&self.engines, now, need);
        let path = match reroute.must_fit {
            true => fits,
            false => fits.or_else(|| choice::choose(&self.engines, now, overcommitted)),
        };
        let crossings = |path: &[Stage]| self.engines.crossings(path);
        let path = path.filter(|path| match reroute.crossing {
            Crossing::Free => true,
            Crossing::NoMore => crossings(path) <= crossings(&old),
            Crossing::None => crossings(path) == 0,
        });
        let reserved = path.as_ref().unwrap_or(&old);
        self.engines.reserve(reserved, tokens);
        // The stream is sent again unless its first stage continues it.
        if let Some(path) = path.as_ref().filter(|_| !reroute.keeps_first) {
            self.engines.count_start(now, path);
        }
        if let (Some(path), Some(running)) = (&path, self.running.get_mut(&id)) {
            running.path.clone_from(path);
        }
        path
    }

    /// Adds a request for a new path to the next batch. Returns when that is due, if this is its
    /// first request.
    pub fn request_reroute(&mut self, now: Instant, request: PendingReroute) -> Option<Instant> {
        self.reroutes.push(now, request)
    }

    /// Returns when the next batch of reroutes is due, if any waits.
    pub fn reroutes_due(&self) -> Option<Instant> {
        self.reroutes.due()
    }

    /// Decides the batch of reroutes that is due. `None` stands for a stream without a new path.
    pub fn grant_reroutes(&mut self, now: Instant) -> Vec<(QueueEntryId, Option<Vec<Stage>>)> {
        let (batch, dropped) = self.reroutes.take_batch(now);
        let mut decided: Vec<_> = dropped.iter().map(|r| (r.id, None)).collect();
        for request in batch {
            decided.push((request.id, self.reroute(now, request.id, request.reroute)));
        }
        decided
    }

    /// Compares an instance's running streams, given by number, with those recorded here.
    /// Drops recorded ones that the instance no longer runs, unless they started so recently
    /// that it may not have reported them yet; returns those not recorded here.
    pub fn reconcile_running(
        &mut self,
        now: Instant,
        instance: InstanceKey,
        numbers: &[u64],
    ) -> Vec<u64> {
        self.last_report.insert(instance, now);
        let mut unrecorded: HashSet<u64> = numbers.iter().copied().collect();
        let gone: Vec<QueueEntryId> = self
            .running
            .iter()
            .filter(|(id, _)| id.instance == instance)
            .filter(|(id, r)| !unrecorded.remove(&id.number) && now.since(r.started) > REPORT_DELAY)
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            self.drop_running(id);
        }
        unrecorded.into_iter().collect()
    }

    /// Records a running stream as its instance reports it: one that another queue owner
    /// granted, or one that stays on another path than recorded here.
    pub fn adopt(&mut self, now: Instant, id: QueueEntryId, held: Held) {
        let recorded = self.running.get(&id);
        let running = Running {
            tokens: held.tokens,
            path: held.path,
            started: recorded.map_or(now, |r| r.started),
            organisation: recorded.and_then(|r| r.organisation),
        };
        self.insert_running(id, running);
    }

    /// Returns the path of a running stream; empty if it is not recorded.
    pub fn path_of(&self, id: QueueEntryId) -> &[Stage] {
        self.running.get(&id).map_or(&[], |r| &r.path)
    }

    /// Returns the record of a running stream, if there is one.
    pub fn held(&self, id: QueueEntryId) -> Option<Held> {
        let running = self.running.get(&id)?;
        Some(Held {
            tokens: running.tokens,
            path: running.path.clone(),
        })
    }

    /// Returns the instances with streams whose path contains the engine at `addr`.
    pub fn instances_using(&self, addr: SocketAddr) -> Vec<InstanceKey> {
        let using = self.running.iter().filter(|(_, r)| {
            let mut engines = r.path.iter().filter_map(|s| self.engines.get(s.engine));
            engines.any(|e| e.addr == addr)
        });
        let mut instances: Vec<InstanceKey> = using.map(|(id, _)| id.instance).collect();
        instances.sort_unstable();
        instances.dedup();
        instances
    }

    /// Starts waiting entries that fit now, and refuses those that have expired. Drops the
    /// entries of instances that no longer report.
    pub fn poll(&mut self, now: Instant) -> Vec<(QueueEntryId, Decision)> {
        self.follow_policy(now);
        if self.engines.load_policy.has_admission() {
            return self.poll_contended(now);
        }
        let mut decisions = Vec::new();
        self.drop_silent(now);
        self.expire(now, &mut decisions);
        let mut skipped = 0;
        let mut order = self.start_order(now);
        order.reverse();
        while let Some(arrival) = order.pop() {
            let Some(at) = self.waiting.iter().position(|(a, _)| *a == arrival) else {
                continue;
            };
            let queue_entry = self.waiting[at].1;
            match self.path(now, &queue_entry) {
                Some(path) => {
                    self.waiting.remove(at);
                    let granted = self.start(now, &queue_entry, path);
                    decisions.push((queue_entry.id, granted));
                }
                None => {
                    skipped += 1;
                    if skipped >= LOOK_AHEAD {
                        break;
                    }
                }
            }
        }
        decisions
    }

    /// Returns the arrival numbers of the waiting entries, the next to start first.
    fn start_order(&self, now: Instant) -> Vec<u64> {
        let mut order: Vec<_> = self
            .waiting
            .iter()
            .map(|(arrival, entry)| {
                let is_late = entry.on_time_by < now;
                let tokens = self.in_progress.get(&entry.organisation);
                // In whole thousands, so that entries of organisations with about as many
                // tokens in progress go by arrival.
                let thousands = (tokens.copied().unwrap_or_default() / 1_000.0) as u64;
                (entry.rank, is_late, thousands, *arrival)
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(.., arrival)| arrival).collect()
    }

    /// Refuses the waiting entries whose latest start has passed.
    fn expire(&mut self, now: Instant, decisions: &mut Vec<(QueueEntryId, Decision)>) {
        let retry = MIN_RETRY;
        self.waiting.retain(|(_, entry)| {
            let expired = entry.latest <= now;
            if expired {
                decisions.push((entry.id, Decision::Refused(Reason::Expired, retry)));
            }
            !expired
        });
    }

    /// Drops the entries of instances that have not reported for [`REPORT_TIMEOUT`].
    fn drop_silent(&mut self, now: Instant) {
        let silent: Vec<InstanceKey> = self
            .last_report
            .iter()
            .filter(|(_, last_report)| now.since(**last_report) > REPORT_TIMEOUT)
            .map(|(instance, _)| *instance)
            .collect();
        for instance in silent {
            self.reconcile_running(now, instance, &[]);
            self.last_report.remove(&instance);
            self.waiting
                .retain(|(_, entry)| entry.id.instance != instance);
            self.admission.remove_instance(instance);
        }
    }

    /// Returns the cheapest path on which the entry fits.
    fn path(&self, now: Instant, queue_entry: &QueueEntry) -> Option<Vec<Stage>> {
        choice::choose(&self.engines, now, self.need(now, queue_entry))
    }

    /// Returns whether the usable engines form a whole path, even if their memory is full. An
    /// engine that is overcommitted beyond the limit for rerouted streams does not count.
    pub fn has_path(&self, now: Instant) -> bool {
        let need = Need {
            tokens: 0,
            caller_data_centre: None,
            must_fit: false,
            held: None,
            within: None,
            within_limit: false,
            rank: Rank(0),
            spare_tokens: 0.0,
        };
        choice::choose(&self.engines, now, need).is_some()
    }

    /// Returns what the start of an entry requires of a path. The most urgent rank may use the
    /// reserve for reroutes, and so may an entry that may not wait: it is the new path of a running
    /// stream, for which the reserve is kept.
    fn need(&self, now: Instant, queue_entry: &QueueEntry) -> Need<'static> {
        Need {
            tokens: queue_entry.tokens,
            caller_data_centre: queue_entry.caller_data_centre,
            must_fit: true,
            held: None,
            within: None,
            within_limit: true,
            rank: queue_entry.rank,
            spare_tokens: match (queue_entry.rank, queue_entry.may_wait) {
                (Rank(0), _) | (_, false) => 0.0,
                (_, true) => self.reserved_tokens(now),
            },
        }
    }

    /// Records that an engine was lost: starts leave memory free for the reroutes.
    pub fn engine_lost(&mut self, now: Instant, addr: SocketAddr) {
        let lost = self.engines.iter().find(|(_, e)| e.addr == addr);
        if let Some((key, _)) = lost {
            self.reserve.engine_lost(now, key);
        }
    }

    /// Returns the tokens that starts leave free on each layer for reroutes.
    pub fn reserved_tokens(&self, now: Instant) -> f64 {
        match self.engines.load_policy {
            LoadPolicy::Standard | LoadPolicy::Admission => 0.0,
            LoadPolicy::Contended => {
                let waiting = self.reroutes.len();
                self.reserve.tokens(now, &self.engines, waiting)
            }
        }
    }

    /// Returns the number of reroutes that wait for a batch.
    pub fn waiting_reroutes(&self) -> usize {
        self.reroutes.len()
    }

    /// Returns the starts outside the data centres of their callers that have begun or ended
    /// since the last call.
    pub fn take_spill_changes(&mut self, now: Instant) -> Vec<Spill> {
        self.spills.take_changes(now)
    }

    /// Returns the starts outside the data centres of their callers, by pairs of data centres.
    pub fn spilled_starts(&self) -> impl Iterator<Item = (DataCentreKey, DataCentreKey, u64)> {
        self.spills.starts()
    }

    /// Counts a start outside the data centre of its caller.
    fn count_spill(&mut self, now: Instant, queue_entry: &QueueEntry, path: &[Stage]) {
        let first = path.first().and_then(|s| self.engines.get(s.engine));
        let ends = queue_entry
            .caller_data_centre
            .zip(first.map(|e| e.data_centre));
        let Some((from, to)) = ends.filter(|(from, to)| from != to) else {
            return;
        };
        let loads = (self.engines.load(now, from), self.engines.load(now, to));
        if loads.0 > loads.1 {
            self.spills.count(now, from, to, loads);
        }
    }

    /// Grants `path` to the entry.
    fn start(&mut self, now: Instant, queue_entry: &QueueEntry, path: Vec<Stage>) -> Decision {
        if self.engines.load_policy == LoadPolicy::Contended {
            self.count_spill(now, queue_entry, &path);
        }
        let running = Running {
            tokens: queue_entry.tokens,
            path: path.clone(),
            started: now,
            organisation: Some(queue_entry.organisation),
        };
        self.last_report
            .entry(queue_entry.id.instance)
            .or_insert(now);
        self.insert_running(queue_entry.id, running);
        self.engines.count_start(now, &path);
        Decision::Granted(path)
    }

    /// Adds a running request and reserves its memory.
    fn insert_running(&mut self, id: QueueEntryId, running: Running) {
        self.engines.reserve(&running.path, running.tokens);
        self.running_tokens += f64::from(running.tokens);
        if let Some(organisation) = running.organisation {
            *self.in_progress.entry(organisation).or_default() += f64::from(running.tokens);
        }
        if let Some(old) = self.running.insert(id, running) {
            self.release_memory(&old);
        }
    }

    /// Removes a request whose end was not reported, so its running time is not recorded.
    fn drop_running(&mut self, id: QueueEntryId) {
        if let Some(running) = self.running.remove(&id) {
            self.release_memory(&running);
        }
    }

    /// Releases the memory of a request that has been removed from `running`.
    fn release_memory(&mut self, running: &Running) {
        self.engines.release(&running.path, running.tokens);
        self.running_tokens = (self.running_tokens - f64::from(running.tokens)).max(0.0);
        if let Some(organisation) = running.organisation
            && let Some(tokens) = self.in_progress.get_mut(&organisation)
        {
            *tokens = (*tokens - f64::from(running.tokens)).max(0.0);
        }
    }
}
