//! One instance's view of one lease.

use std::sync::Arc;
use std::time::Duration;

use hemlockwind_core::edges::ObjectVersion;
use hemlockwind_core::edges::Precondition;
use hemlockwind_core::time::Instant;

use crate::value::Fencing;
use crate::value::Nonce;
use crate::value::Value;

/// A lease is renewed when this part of its duration has passed.
const RENEW_DIVISOR: u32 = 3;

/// Tries that the holder has before others, when the platform is back.
const FIRST_CHANCE: u32 = 3;

/// Writes of unknown outcome whose start is remembered.
const UNSETTLED_LIMIT: usize = 16;

/// `Options` holds what a [`Holder`] is told at its start.
#[derive(Clone, Debug)]
pub struct Options {
    /// The name of this instance.
    pub name: Arc<str>,
    /// A random number, drawn anew at each start of the process.
    pub process: u128,
    /// How long the lease lasts without a renewal.
    pub duration: Duration,
    /// The time between reads, and between tries after a failure.
    pub retry: Duration,
    /// Whether an earlier process of this name has ended for certain when this one
    /// starts, and nothing that it began does harm. What it held is then taken at once.
    pub inherits: bool,
}

/// `Event` is what a [`Holder`] hears.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// Whether this instance may take the lease when it is free.
    Candidate(bool),
    /// The answer to [`Action::Get`], `None` when there is no object.
    Read(Option<(Value, ObjectVersion)>),
    /// The answer to [`Action::Put`].
    Put {
        /// The write's number.
        write: u64,
        /// What is known of it.
        outcome: Outcome,
    },
    /// The answer to [`Action::Get`] could not be had.
    PlatformDown,
    /// The instance is stopping: the lease is given up.
    Stop,
}

/// `Outcome` is what is known of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect under this version.
    Done(ObjectVersion),
    /// Its precondition did not hold.
    Conflict,
    /// The platform refused it before any effect.
    Refused,
    /// It may have taken effect or may still do so.
    Unknown,
}

/// `Action` is a call to the platform. Each is answered by exactly one event
/// before the next one is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the lease's object.
    Get,
    /// Write the lease's object.
    Put {
        /// The write's number, to be given back in [`Event::Put`].
        write: u64,
        /// What to write.
        value: Value,
        /// The precondition.
        when: Precondition,
    },
}

/// `Term` is an unbroken time of ownership; nobody else wrote in between.
#[derive(Clone, Copy, Debug)]
struct Term {
    first: ObjectVersion,
    deadline: Instant,
    renew_at: Instant,
}

/// `Observed` is the newest state of the object that is known.
#[derive(Clone, Debug)]
enum Observed {
    /// There is no object.
    Absent,
    /// This instance wrote the object last.
    Own,
    /// Another process wrote it; it may be replaced from `takeover_at` on.
    Other {
        holder: Arc<str>,
        takeover_at: Instant,
    },
}

/// `Holder` decides when to read and write a lease and whether it is held.
///
/// The lease lasts from before a write was begun, by this instance's monotonic
/// clock. No two clocks are compared.
#[derive(Clone, Debug)]
pub struct Holder {
    options: Options,
    candidate: bool,
    /// The number of the first write that gives the lease up.
    release: Option<u64>,
    version: Option<ObjectVersion>,
    observed: Observed,
    /// Whether no write's outcome is open and the object was read once.
    settled: bool,
    term: Option<Term>,
    writes: u64,
    unsettled: Vec<(u64, Instant)>,
    busy: bool,
    act_at: Instant,
}

impl Holder {
    /// A holder that knows nothing yet and does not take the lease.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            candidate: false,
            release: None,
            version: None,
            observed: Observed::Absent,
            settled: false,
            term: None,
            writes: 0,
            unsettled: Vec::new(),
            busy: false,
            act_at: Instant::ZERO,
        }
    }

    /// The fencing token while the lease is held. Ask immediately before acting.
    pub fn holds(&self, now: Instant) -> Option<Fencing> {
        let term = self
            .term
            .filter(|t| now < t.deadline && self.release.is_none())?;
        Some(Fencing(self.version.unwrap_or(term.first).0))
    }

    /// The token of the first write of this ownership, also while it has lapsed
    /// but nobody else is known to have taken over.
    pub fn term(&self) -> Option<Fencing> {
        self.term.map(|t| Fencing(t.first.0))
    }

    /// The name of the other instance that was last seen to hold the lease.
    pub fn other(&self) -> Option<&Arc<str>> {
        match &self.observed {
            Observed::Other { holder, .. } => Some(holder),
            Observed::Absent | Observed::Own => None,
        }
    }

    /// Whether the lease was given up, or was not held when the instance stopped.
    pub fn is_released(&self) -> bool {
        self.release.is_some() && self.term.is_none()
    }

    /// Takes an event and says what to ask of the platform.
    pub fn on_event(&mut self, now: Instant, event: Event) -> Option<Action> {
        match event {
            Event::Tick => {}
            Event::Candidate(candidate) => self.candidate = candidate,
            Event::Stop => self.stop(now),
            Event::Read(object) => {
                self.busy = false;
                self.read(now, object);
            }
            Event::Put { write, outcome } => {
                self.busy = false;
                self.written(now, write, outcome);
            }
            Event::PlatformDown => {
                self.busy = false;
                self.wait_out(now);
            }
        }
        self.next_action(now)
    }

    fn stop(&mut self, now: Instant) {
        self.release.get_or_insert(self.writes + 1);
        self.act_at = now;
    }

    fn written(&mut self, now: Instant, write: u64, outcome: Outcome) {
        match outcome {
            Outcome::Done(version) => self.own(write, version),
            Outcome::Conflict => self.settled = false,
            Outcome::Refused => self.wait_out(now),
            Outcome::Unknown => {
                self.settled = false;
                self.wait_out(now);
            }
        }
    }

    /// The platform fails. When it is back, the present holder renews first.
    fn wait_out(&mut self, now: Instant) {
        self.act_at = now + self.options.retry;
        if let Observed::Other { takeover_at, .. } = &mut self.observed {
            *takeover_at = (*takeover_at).max(now + self.options.retry * FIRST_CHANCE);
        }
    }

    fn read(&mut self, now: Instant, object: Option<(Value, ObjectVersion)>) {
        let Some((value, version)) = object else {
            self.settled |= self.version.is_none();
            return;
        };
        if self.version.is_some_and(|known| version < known) {
            return;
        }
        self.settled = true;
        if value.nonce.process == self.options.process {
            self.own(value.nonce.write, version);
        } else {
            self.lose(now, &value, version);
        }
    }

    /// The object holds what this process wrote as `write`.
    fn own(&mut self, write: u64, version: ObjectVersion) {
        if self.version.is_some_and(|known| version <= known) {
            return;
        }
        self.observed = Observed::Own;
        self.version = Some(version);
        let begun = self.unsettled.iter().find(|(w, _)| *w == write);
        let begun = begun.map_or(Instant::ZERO, |(_, begun)| *begun);
        // Writes that were conditional on an older version can't take effect any more.
        self.unsettled.clear();
        if self.release.is_some_and(|release| write >= release) {
            self.term = None;
            return;
        }
        let term = self.term.get_or_insert(Term {
            first: version,
            deadline: Instant::ZERO,
            renew_at: Instant::ZERO,
        });
        term.deadline = begun + self.options.duration;
        term.renew_at = begun + self.options.duration / RENEW_DIVISOR;
    }

    /// The object holds what another process wrote.
    fn lose(&mut self, now: Instant, value: &Value, version: ObjectVersion) {
        self.term = None;
        self.act_at = now + self.options.retry;
        let known = matches!(self.observed, Observed::Other { .. });
        if known && self.version == Some(version) {
            return;
        }
        self.version = Some(version);
        let is_inherited = self.options.inherits && value.holder == self.options.name;
        let wait = match is_inherited {
            true => Duration::ZERO,
            false => value.takeover_wait(),
        };
        if is_inherited {
            self.act_at = now;
        }
        self.observed = Observed::Other {
            holder: Arc::clone(&value.holder),
            takeover_at: now + wait,
        };
    }

    fn next_action(&mut self, now: Instant) -> Option<Action> {
        if self.busy {
            return None;
        }
        let action = match &self.observed {
            _ if !self.settled => (now >= self.act_at).then_some(Action::Get),
            Observed::Own => self.renewal(now),
            Observed::Absent => {
                let due = self.may_take() && now >= self.act_at;
                due.then(|| self.put(now))
            }
            Observed::Other { takeover_at, .. } => {
                let due = self.may_take() && now >= self.act_at;
                match now >= *takeover_at {
                    true => due.then(|| self.put(now)),
                    false => due.then_some(Action::Get),
                }
            }
        };
        self.busy = action.is_some();
        action
    }

    fn may_take(&self) -> bool {
        self.candidate && self.release.is_none()
    }

    fn renewal(&mut self, now: Instant) -> Option<Action> {
        let term = self.term?;
        let due = now >= self.act_at && (self.release.is_some() || now >= term.renew_at);
        due.then(|| self.put(now))
    }

    fn put(&mut self, now: Instant) -> Action {
        self.writes += 1;
        if self.unsettled.len() == UNSETTLED_LIMIT {
            self.unsettled.remove(0);
        }
        self.unsettled.push((self.writes, now));
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
            },
            when: match self.version {
                Some(version) => Precondition::Version(version),
                None => Precondition::Absent,
            },
        }
    }
}
