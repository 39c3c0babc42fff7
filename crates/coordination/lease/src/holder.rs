//! One instance's view of one lease.

use std::sync::Arc;
use std::time::Duration;

use hemlockwind_core::edges::ObjectVersion;
use hemlockwind_core::edges::Precondition;
use hemlockwind_core::time::Instant;

use crate::value::FencingToken;
use crate::value::Nonce;
use crate::value::Value;
use crate::value::takeover_wait;

/// A lease is renewed when its duration divided by this has passed.
const RENEW_DIVISOR: u32 = 3;

/// The number of retry periods by which other instances delay a takeover after a platform
/// failure, so that the holder renews first.
const RENEWAL_PRIORITY_RETRIES: u32 = 3;

/// The maximum number of recorded writes that are not known to have taken effect. The oldest
/// one is dropped first and then doesn't extend the lease.
const MAX_OPEN_WRITES: usize = 16;

/// `Options` configures a [`Holder`].
#[derive(Clone, Debug)]
pub struct Options {
    /// The name of this instance.
    pub name: Arc<str>,
    /// A random number, chosen at each start of the process.
    pub process: u128,
    /// How long the lease lasts without a renewal.
    pub duration: Duration,
    /// The time between reads, and between attempts after a failure.
    pub retry: Duration,
    /// Whether an earlier process with this name has certainly ended when this one
    /// starts, and nothing that the earlier one started can do harm. A lease that the
    /// earlier one held is then taken at once.
    pub inherits: bool,
}

/// `Event` is an input of a [`Holder`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// Sets whether this instance may take the lease when it is free.
    Candidate(bool),
    /// The platform showed this era. It is newer than before if the platform was restored from a
    /// snapshot and has lost writes that it had acknowledged.
    Era(u16),
    /// The answer to [`Action::Get`]; `None` if there is no object.
    Read(Option<(Value, ObjectVersion)>),
    /// The answer to [`Action::Get`] if the object can't be read as a lease, as another writer
    /// replaced it.
    ReadOther(ObjectVersion),
    /// The answer to [`Action::Put`].
    Put {
        /// The write's number.
        write: u64,
        /// Its outcome.
        outcome: Outcome,
    },
    /// [`Action::Get`] failed.
    PlatformDown,
    /// The instance is stopping, so the lease is released.
    Stop,
}

impl Event {
    /// Returns the era that the event shows, if any.
    const fn era(&self) -> Option<u16> {
        match self {
            Self::Era(era) => Some(*era),
            Self::Read(Some((_, version))) | Self::ReadOther(version) => Some(version.era()),
            Self::Put { outcome, .. } => match outcome {
                Outcome::Done(version) => Some(version.era()),
                Outcome::Conflict | Outcome::Refused | Outcome::Unknown => None,
            },
            Self::Tick
            | Self::Candidate(_)
            | Self::Read(None)
            | Self::PlatformDown
            | Self::Stop => None,
        }
    }
}

/// `Outcome` is the result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect under this version.
    Done(ObjectVersion),
    /// Its precondition did not hold.
    Conflict,
    /// The platform refused it before any effect.
    Refused,
    /// It may have taken effect, or may still take effect.
    Unknown,
}

/// `Action` is a call to the platform. Each one is answered by exactly one event before
/// the next one is requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the lease's object.
    Get,
    /// Write the lease's object.
    Put {
        /// The write's number, to be returned in [`Event::Put`].
        write: u64,
        /// The content to write.
        value: Value,
        /// The precondition.
        when: Precondition,
    },
}

/// `Term` is an unbroken period of ownership, in which no other process wrote the object.
#[derive(Clone, Copy, Debug)]
struct Term {
    first: ObjectVersion,
    deadline: Instant,
    renew_at: Instant,
}

/// `Observed` is the newest state of the object that this instance has read or written.
#[derive(Clone, Debug)]
enum Observed {
    /// There is no object.
    Absent,
    /// This instance wrote the object last.
    Own,
    /// Another process wrote the object, which may be replaced from `takeover_at` on.
    Other {
        /// Unknown if the object can't be read as a lease.
        holder: Option<Arc<str>>,
        takeover_at: Instant,
    },
}

/// `Holder` decides when to read and write a lease and whether it is held.
///
/// The lease's duration counts from before the write was started, by this instance's
/// monotonic clock. Clocks of different instances are never compared.
///
/// When the platform is restored from a snapshot, it may show an earlier holder or none, while the
/// present holder does not know of the restore yet. So a new era ends the term, and nobody writes the
/// object until a lease that was renewed just before the restore has expired.
#[derive(Clone, Debug)]
pub struct Holder {
    options: Options,
    candidate: bool,
    /// The number of the first write that releases the lease.
    release: Option<u64>,
    version: Option<ObjectVersion>,
    observed: Observed,
    /// The newest era that was seen.
    era: u16,
    /// Until this time, a holder of an older era may act.
    era_settled_at: Instant,
    /// The number of the first write of the newest era.
    first_write: u64,
    /// Whether the object has been read and the outcome of each write is known.
    settled: bool,
    /// Whether the last write had a conflict and the object has not been read since.
    conflicted: bool,
    term: Option<Term>,
    writes: u64,
    /// The numbers and starts of the writes since the last one known to have taken effect.
    open_writes: Vec<(u64, Instant)>,
    call_in_flight: bool,
    next_call_at: Instant,
}

impl Holder {
    /// Returns a holder that has not read the object and does not take the lease.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            candidate: false,
            release: None,
            version: None,
            observed: Observed::Absent,
            era: 0,
            era_settled_at: Instant::ZERO,
            first_write: 1,
            settled: false,
            conflicted: false,
            term: None,
            writes: 0,
            open_writes: Vec::new(),
            call_in_flight: false,
            next_call_at: Instant::ZERO,
        }
    }

    /// Returns the fencing token while the lease is held. To be called immediately before
    /// acting under the lease.
    pub fn holds(&self, now: Instant) -> Option<FencingToken> {
        let term = self
            .term
            .filter(|t| now < t.deadline && self.release.is_none())?;
        Some(FencingToken(self.version.unwrap_or(term.first).0))
    }

    /// Returns the token of the first write of the present term. The term continues after
    /// the lease has expired, until a read shows that another process has taken over. It
    /// also ends with the release of the lease.
    pub fn term(&self) -> Option<FencingToken> {
        self.term.map(|t| FencingToken(t.first.0))
    }

    /// Returns the newest era of the platform that was seen.
    pub const fn era(&self) -> u16 {
        self.era
    }

    /// Returns the name of the other instance that was last seen holding the lease.
    pub fn other_holder(&self) -> Option<&Arc<str>> {
        match &self.observed {
            Observed::Other { holder, .. } => holder.as_ref(),
            Observed::Absent | Observed::Own => None,
        }
    }

    /// Whether the lease was released, or was not held when the instance stopped.
    pub fn is_released(&self) -> bool {
        self.release.is_some() && self.term.is_none()
    }

    /// Whether the answer to [`Action::Get`] may be an older state of the object. That is so while
    /// another instance is known to hold the lease: a takeover is conditional on the version that
    /// was read, so an older one costs a refused write at most.
    pub fn may_read_stale(&self) -> bool {
        self.settled
    }

    /// Handles an event and returns the next call to the platform.
    pub fn on_event(&mut self, now: Instant, event: Event) -> Option<Action> {
        if let Some(era) = event.era() {
            self.on_era(now, era);
        }
        match event {
            Event::Tick | Event::Era(_) => {}
            Event::Candidate(candidate) => self.candidate = candidate,
            Event::Stop => self.on_stop(now),
            Event::Read(object) => {
                self.call_in_flight = false;
                self.on_read(now, object);
            }
            Event::ReadOther(version) => {
                self.call_in_flight = false;
                self.on_read_other(now, version);
            }
            Event::Put { write, outcome } => {
                self.call_in_flight = false;
                self.on_put(now, write, outcome);
            }
            Event::PlatformDown => {
                self.call_in_flight = false;
                self.on_platform_failure(now);
            }
        }
        self.next_action(now)
    }

    /// Handles that the platform showed an era. After a restore nothing that was read or written
    /// before it holds.
    fn on_era(&mut self, now: Instant, era: u16) {
        if era <= self.era {
            return;
        }
        self.era = era;
        self.era_settled_at = now + takeover_wait(self.options.duration);
        self.first_write = self.writes + 1;
        self.term = None;
        self.version = None;
        self.observed = Observed::Absent;
        self.settled = false;
        self.conflicted = false;
        self.open_writes.clear();
        self.next_call_at = now;
    }

    fn on_stop(&mut self, now: Instant) {
        self.release.get_or_insert(self.writes + 1);
        self.next_call_at = now;
    }

    fn on_put(&mut self, now: Instant, write: u64, outcome: Outcome) {
        match outcome {
            // The write was started before the restore, or was undone by it. If it took effect
            // after the restore, it may have replaced the object of another holder.
            _ if write < self.first_write => self.settled = false,
            Outcome::Done(version) if version.era() < self.era => self.settled = false,
            Outcome::Done(version) => self.on_own_write(write, version),
            Outcome::Conflict => {
                self.settled = false;
                self.conflicted = true;
            }
            Outcome::Refused => self.on_platform_failure(now),
            Outcome::Unknown => {
                self.settled = false;
                self.on_platform_failure(now);
            }
        }
    }

    /// Delays the next call after a failure of the platform, and a takeover for longer,
    /// so that the present holder renews first when the platform is back.
    fn on_platform_failure(&mut self, now: Instant) {
        self.next_call_at = now + self.options.retry;
        if let Observed::Other { takeover_at, .. } = &mut self.observed {
            *takeover_at = (*takeover_at).max(now + self.options.retry * RENEWAL_PRIORITY_RETRIES);
        }
    }

    fn on_read(&mut self, now: Instant, object: Option<(Value, ObjectVersion)>) {
        let conflicted = std::mem::take(&mut self.conflicted);
        let Some((value, version)) = object else {
            // An object is there or was there, and is not read. The next answer would be the same.
            if conflicted || self.version.is_some() {
                self.next_call_at = now + self.options.retry;
            }
            self.settled |= self.version.is_none();
            return;
        };
        if self.is_older(now, version) {
            return;
        }
        self.settled = true;
        let is_own = value.nonce.process == self.options.process;
        if is_own && value.nonce.write >= self.first_write {
            self.on_own_write(value.nonce.write, version);
        } else {
            self.on_other_write(now, Some(&value), version);
        }
    }

    /// Handles that the object can't be read as a lease. It may be that of a later version of this
    /// software, so it counts as held until it has not changed for the time of a lease.
    fn on_read_other(&mut self, now: Instant, version: ObjectVersion) {
        self.conflicted = false;
        if self.is_older(now, version) {
            return;
        }
        self.settled = true;
        self.on_other_write(now, None, version);
    }

    /// Whether a state that was read is older than the known one. If so, the next read is delayed.
    fn is_older(&mut self, now: Instant, version: ObjectVersion) -> bool {
        let is_older_era = version.era() < self.era;
        let is_older = is_older_era || self.version.is_some_and(|known| version < known);
        if is_older && (self.settled || is_older_era) {
            self.next_call_at = now + self.options.retry;
        }
        is_older
    }

    /// Handles that the object contains this process's write number `write`.
    fn on_own_write(&mut self, write: u64, version: ObjectVersion) {
        if self.version.is_some_and(|known| version <= known) {
            return;
        }
        self.observed = Observed::Own;
        self.version = Some(version);
        let started_at = self.open_writes.iter().find(|(w, _)| *w == write);
        // A write whose start is no longer recorded does not extend the lease.
        let started_at = started_at.map_or(Instant::ZERO, |(_, started_at)| *started_at);
        // Writes that are conditional on an older version can no longer take effect.
        self.open_writes.clear();
        if self.release.is_some_and(|release| write >= release) {
            self.term = None;
            return;
        }
        let term = self.term.get_or_insert(Term {
            first: version,
            deadline: Instant::ZERO,
            renew_at: Instant::ZERO,
        });
        term.deadline = started_at + self.options.duration;
        term.renew_at = started_at + self.options.duration / RENEW_DIVISOR;
    }

    /// Handles that the object contains a write of another process: `value`, or one that can't be
    /// read.
    fn on_other_write(&mut self, now: Instant, value: Option<&Value>, version: ObjectVersion) {
        self.term = None;
        self.next_call_at = now + self.options.retry;
        let was_other = matches!(self.observed, Observed::Other { .. });
        if was_other && self.version == Some(version) {
            return;
        }
        self.version = Some(version);
        let is_own_name =
            value.is_some_and(|v| v.holder == self.options.name && v.era == version.era());
        let wait = match value {
            _ if self.options.inherits && is_own_name => {
                self.next_call_at = now;
                Duration::ZERO
            }
            Some(value) => value.takeover_wait(version),
            None => takeover_wait(self.options.duration),
        };
        // A writer that had seen the era of the object had waited for the holders of older ones.
        let settled_at = match value {
            Some(value) if value.era == version.era() => Instant::ZERO,
            _ => self.era_settled_at,
        };
        self.observed = Observed::Other {
            // A write of this process from before a restore doesn't make it the holder.
            holder: value
                .filter(|v| v.nonce.process != self.options.process)
                .map(|v| Arc::clone(&v.holder)),
            takeover_at: (now + wait).max(settled_at),
        };
    }

    fn next_action(&mut self, now: Instant) -> Option<Action> {
        if self.call_in_flight {
            return None;
        }
        let action = match &self.observed {
            _ if !self.settled => (now >= self.next_call_at).then_some(Action::Get),
            Observed::Own => self.renewal(now),
            Observed::Absent => {
                let due_at = self.next_call_at.max(self.era_settled_at);
                let due = self.may_take() && now >= due_at;
                due.then(|| self.put(now))
            }
            Observed::Other { takeover_at, .. } => {
                let due = self.may_take() && now >= self.next_call_at;
                match now >= *takeover_at {
                    true => due.then(|| self.put(now)),
                    false => due.then_some(Action::Get),
                }
            }
        };
        self.call_in_flight = action.is_some();
        action
    }

    fn may_take(&self) -> bool {
        self.candidate && self.release.is_none()
    }

    fn renewal(&mut self, now: Instant) -> Option<Action> {
        let term = self.term?;
        let due = now >= self.next_call_at && (self.release.is_some() || now >= term.renew_at);
        due.then(|| self.put(now))
    }

    fn put(&mut self, now: Instant) -> Action {
        self.writes += 1;
        if self.open_writes.len() == MAX_OPEN_WRITES {
            self.open_writes.remove(0);
        }
        self.open_writes.push((self.writes, now));
        Action::Put {
            write: self.writes,
            value: Value {
                holder: Arc::clone(&self.options.name),
                nonce: Nonce {
                    process: self.options.process,
                    write: self.writes,
                },
                duration: self.options.duration,
                released: self.release.is_some(),
                era: self.era,
            },
            when: match self.version {
                Some(version) => Precondition::Version(version),
                None => Precondition::Absent,
            },
        }
    }
}
