//! What is recorded of one part, and how the records of two instances are merged.

use std::cmp::Ordering;
use std::time::Duration;

use hemlockwind_core::time::Instant;

use crate::key::EngineRun;
use crate::key::PartKey;
use crate::key::ServiceKey;

/// Maximum number of crashes that one record holds; the latest ones are kept.
pub const MAX_CRASHES: usize = 16;
/// Crashes that follow one another faster are counted as one: a rack that fails takes several
/// engines at once, a request takes the next one after its prompt was read there.
const MIN_SPACING: Duration = Duration::from_millis(25);
/// How long a record is kept after its last crash or begin.
pub const RETENTION: Duration = Duration::from_secs(300);
/// A part that began within this time before a crash did not cause it.
pub const RECENT_BEGIN: Duration = Duration::from_millis(1_000);
/// How long a part is quarantined at first. Each failed trial doubles the time.
const FIRST_HOLD: Duration = Duration::from_secs(60);
/// The largest number of times that the first hold is doubled.
const MAX_DOUBLINGS: u32 = 5;
/// Time after the hold in which trials may release the part. Then it is forgotten.
const TRIAL_PERIOD: Duration = Duration::from_secs(300);
/// Times that two instances record for one event differ by the latency of their messages. Only a
/// larger difference means another event.
const SAME_EVENT: Duration = Duration::from_millis(500);

/// `Crash` is the crash of an engine on which requests with the part had not begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The run of the engine that ended.
    pub run: EngineRun,
    /// When it ended.
    pub at: Instant,
}

/// `Confirmation` states that a part is quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// When the quarantine began.
    pub at: Instant,
    /// The number of trials that crashed an engine.
    pub failed_trials: u32,
}

impl Confirmation {
    /// Returns the end of the time in which no request with the part is dispatched.
    pub fn hold_until(self) -> Instant {
        self.at + FIRST_HOLD * 2u32.pow(self.failed_trials.min(MAX_DOUBLINGS))
    }

    /// Whether this one stands where both are known, in whichever order they are learned.
    fn supersedes(self, other: Self) -> bool {
        match self.failed_trials.cmp(&other.failed_trials) {
            Ordering::Greater => true,
            Ordering::Less => false,
            // Each transfer adds its latency, so the earlier time is the exact one.
            Ordering::Equal if is_same_event(self.at, other.at) => self.at < other.at,
            Ordering::Equal => self.at > other.at,
        }
    }
}

/// `Record` holds what is known of one part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The part.
    pub part: PartKey,
    /// The service whose engines crashed.
    pub service: ServiceKey,
    /// The largest index of the part in a prompt. Fewer requests share a later part.
    pub depth: u16,
    /// The crashes since an answer on the part last began, in order of time.
    pub crashes: Vec<Crash>,
    /// When an answer on the part last began, as far as that is known.
    pub begun_at: Option<Instant>,
    /// Set while the part is quarantined.
    pub confirmation: Option<Confirmation>,
}

impl Record {
    /// Returns a record without crashes.
    pub const fn new(part: PartKey, service: ServiceKey) -> Self {
        Self {
            part,
            service,
            depth: 0,
            crashes: Vec::new(),
            begun_at: None,
            confirmation: None,
        }
    }

    /// Adds a crash, or an earlier time of one. Returns whether it was not recorded before.
    pub fn add_crash(&mut self, crash: Crash) -> bool {
        if self.begun_at.is_some_and(|at| is_excused(&crash, at)) {
            return false;
        }
        if let Some(known) = self.crashes.iter_mut().find(|c| c.run == crash.run) {
            known.at = known.at.min(crash.at);
            self.crashes.sort_by_key(|c| c.at);
            return false;
        }
        if self.crashes.len() >= MAX_CRASHES {
            if self.crashes.first().is_some_and(|c| crash.at <= c.at) {
                return false;
            }
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|c| c.at);
        true
    }

    /// Records that an answer on the part began at `at`, maybe before its crashes.
    pub fn add_begin(&mut self, at: Instant) {
        self.begun_at = self.begun_at.max(Some(at));
        self.apply_begin(at);
    }

    /// Removes the crashes that a part which began at `at` can't have caused, and an earlier
    /// quarantine.
    fn apply_begin(&mut self, at: Instant) {
        self.crashes.retain(|c| !is_excused(c, at));
        self.confirmation = self.confirmation.filter(|c| at < c.at);
        self.drop_unfounded_confirmation();
    }

    /// Ends a quarantine after which an answer began, or whose crashes are all excused.
    fn drop_unfounded_confirmation(&mut self) {
        let begun_at = self.begun_at;
        let is_founded = !self.crashes.is_empty();
        self.confirmation = self
            .confirmation
            .filter(|c| begun_at.is_none_or(|at| at < c.at) && (is_founded || c.failed_trials > 0));
    }

    /// Whether a begin at `at` would be new, or would excuse any of the crashes.
    pub fn needs_begin(&self, at: Instant) -> bool {
        self.begun_at.is_none() || self.crashes.iter().any(|c| is_excused(c, at))
    }

    /// Whether all crashes of the part were of requests that also had the part of `other`.
    pub fn is_covered_by(&self, other: &Self) -> bool {
        let has = |crash: &Crash| other.crashes.iter().any(|c| c.run == crash.run);
        other.part != self.part && other.service == self.service && self.crashes.iter().all(has)
    }

    /// Records that an answer on the part began, which clears it.
    pub fn set_begun(&mut self, now: Instant) {
        self.begun_at = Some(now);
        self.crashes.clear();
        self.confirmation = None;
    }

    /// Returns the number of crashes, those of one moment counted as one, without those of the
    /// runs in `explained`.
    pub fn count(&self, explained: &[EngineRun]) -> usize {
        let mut counted: Option<Instant> = None;
        let mut count = 0;
        let crashes = self.crashes.iter().filter(|c| !explained.contains(&c.run));
        for crash in crashes {
            if counted.is_none_or(|at| crash.at.since(at) >= MIN_SPACING) {
                counted = Some(crash.at);
                count += 1;
            }
        }
        count
    }

    /// Adds what another instance has recorded. Returns whether anything was new.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = self.clone();
        self.depth = self.depth.max(other.depth);
        if let Some(theirs) = other.begun_at {
            self.apply_begin(theirs);
            // A time that was sent to and fro is later than its event by the messages' latency.
            if self
                .begun_at
                .is_none_or(|ours| theirs.since(ours) > SAME_EVENT)
            {
                self.begun_at = Some(theirs);
            }
        }
        for crash in &other.crashes {
            self.add_crash(*crash);
        }
        let is_newer = match (self.confirmation, other.confirmation) {
            (None, Some(_)) => true,
            (Some(ours), Some(theirs)) => theirs.supersedes(ours),
            (_, None) => false,
        };
        if is_newer {
            self.confirmation = other.confirmation;
        }
        self.drop_unfounded_confirmation();
        *self != before
    }

    /// Returns when the record is of no use any more.
    pub fn expires_at(&self) -> Instant {
        if let Some(confirmation) = self.confirmation {
            return confirmation.hold_until() + TRIAL_PERIOD;
        }
        let last = self.crashes.iter().map(|c| c.at).max();
        last.max(self.begun_at).unwrap_or(Instant::ZERO) + RETENTION
    }

    /// Returns a hash of the record without its times, which instances record differently.
    pub fn digest(&self) -> u64 {
        let crashes = self.crashes.iter().map(|c| c.run.0);
        let crashes = crashes.fold(0, |sum: u64, run| sum.wrapping_add(run));
        let trials = self
            .confirmation
            .map_or(0, |c| u64::from(c.failed_trials) + 1);
        let fields = [
            self.part.0,
            crashes,
            trials,
            u64::from(self.begun_at.is_some()),
        ];
        let bytes: Vec<u8> = fields.iter().flat_map(|f| f.to_le_bytes()).collect();
        xxhash_rust::xxh3::xxh3_64(&bytes)
    }
}

/// Whether a part on which an answer began at `begun_at` did not cause the crash.
fn is_excused(crash: &Crash, begun_at: Instant) -> bool {
    crash.at.since(begun_at) < RECENT_BEGIN
}

/// Whether two recorded times may be of one event.
fn is_same_event(a: Instant, b: Instant) -> bool {
    a.max(b).since(a.min(b)) <= SAME_EVENT
}
