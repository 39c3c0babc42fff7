//! The number of streams that a backend server takes, learned from step delays.
//!
//! The limit starts at the configured one. It rises by one stream for each round of
//! steps while it is in use, and falls by a fifth when all steps for a while took
//! longer than the tolerance allows over the shortest delay (AIMD). One quick step
//! shows that the others were late for another reason than a full server. The
//! shortest delay is forgotten only for one that was measured on a server with
//! little work: under full load it would creep up with the limit that it is to hold.
//!
//! A server that is full from the start shows no such delay. Its limit is halved as
//! long as the delay falls with it.

use std::time::Duration;

use hemlockwind_core::engine::LoadReport;
use hemlockwind_core::time::Instant;

/// The part that is left of the limit after a decrease.
const DECREASE: f64 = 0.8;
/// The delay, in shortest delays, above which the server is taken as overloaded.
const TOLERANCE: f64 = 1.5;
/// The part of the limit that must be in use for it to rise.
const IN_USE: f64 = 0.9;
/// The part of the limit up to which a server has little work.
const LITTLE: f64 = 0.5;
/// The part of the limit up to which a server counts as drained to it.
const DRAINED: f64 = 1.1;
/// The time for which all steps must be late, at least one step's.
const PATIENCE: Duration = Duration::from_millis(100);
/// The time after which the shortest delay is replaced by a newer one.
const WINDOW: Duration = Duration::from_secs(30);
/// The age at which a load report counts no more.
const REPORT_LIFETIME: Duration = Duration::from_secs(10);

/// `Bounds` is the range that a limit stays in, in streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The least limit, so that the server goes on being measured.
    pub min: u32,
    /// The limit of the configuration.
    pub max: u32,
}

/// `Limit` is the learned limit of one backend server.
#[derive(Clone, Debug)]
pub struct Limit {
    bounds: Bounds,
    streams: f64,
    shortest: Shortest,
    /// When the limit falls unless a step is quick before.
    falls_at: Option<Instant>,
    phase: Phase,
    report: Option<Cap>,
}

/// `Phase` is how the limit changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No delay with little work is known. Holds the delay before the last halving.
    Searching(Option<Duration>),
    /// The limit rises by one stream for each step until it falls.
    Rising,
    /// The limit rises by one stream for each round of steps.
    Steady,
}

/// `Cap` is what a load report leaves for this holder.
#[derive(Clone, Copy, Debug)]
struct Cap {
    streams: u32,
    expires_at: Instant,
}

impl Limit {
    /// A limit that starts at the configured one. `min` above `max` counts as `max`.
    pub fn new(bounds: Bounds) -> Self {
        let min = bounds.min.min(bounds.max);
        Self {
            bounds: Bounds { min, ..bounds },
            streams: f64::from(bounds.max),
            shortest: Shortest::default(),
            falls_at: None,
            phase: Phase::Searching(None),
            report: None,
        }
    }

    /// The limit at `now`, in streams.
    pub fn streams(&self, now: Instant) -> u32 {
        // The bounds are `u32`, so the cast only cuts the fraction off.
        let learned = self.streams as u32;
        let reported = match self.report {
            Some(cap) if now < cap.expires_at => learned.min(cap.streams),
            Some(_) | None => learned,
        };
        reported.clamp(self.bounds.min, self.bounds.max)
    }

    /// Whether the limit still looks for a delay with little work.
    pub fn is_searching(&self) -> bool {
        matches!(self.phase, Phase::Searching(_))
    }

    /// Takes the delay of a decode step that ran beside `in_flight` streams.
    pub fn on_result(&mut self, now: Instant, delay: Duration, in_flight: u32) {
        // Only whole streams can be in flight.
        let used = f64::from(in_flight) / self.streams.floor().max(1.0);
        if let Phase::Searching(before) = self.phase {
            self.search(now, delay, used, before);
            return;
        }
        if self.at_least() {
            // Less work can't be measured, so this delay is the shortest.
            if self.shortest.replace(now, delay) {
                self.phase = Phase::Rising;
            }
        } else {
            self.shortest.update(now, delay, used <= LITTLE);
        }
        if delay > self.shortest.get().mul_f64(TOLERANCE) {
            self.late(now, delay);
            return;
        }
        self.falls_at = None;
        if used >= IN_USE {
            self.increase();
        }
    }

    /// Takes a refusal for being full, beside `in_flight` streams.
    pub fn on_refusal(&mut self, in_flight: u32) {
        self.set(self.streams.min(f64::from(in_flight)));
    }

    /// Takes a load report, when `own` of the streams are the holder's own. It
    /// may tell of the past, so it caps the limit only for a time and leaves what
    /// was learned as it is.
    pub fn on_report(&mut self, now: Instant, report: LoadReport, own: u32) {
        let others = report.streams.saturating_sub(own);
        self.report = Some(Cap {
            streams: report.limit.saturating_sub(others),
            expires_at: now + REPORT_LIFETIME,
        });
    }

    fn at_least(&self) -> bool {
        self.streams <= f64::from(self.bounds.min)
    }

    /// Halves the limit as long as the delay falls with it.
    fn search(&mut self, now: Instant, delay: Duration, used: f64, before: Option<Duration>) {
        self.shortest.update(now, delay, true);
        if used <= LITTLE {
            self.phase = Phase::Steady;
            return;
        }
        if !(IN_USE..=DRAINED).contains(&used) {
            return;
        }
        let falls = before.is_none_or(|before| before > delay.mul_f64(TOLERANCE));
        if falls && !self.at_least() {
            self.phase = Phase::Searching(Some(delay));
            self.set(self.streams / 2.0);
        } else {
            // The last halving was one too many.
            self.phase = Phase::Rising;
        }
    }

    fn increase(&mut self) {
        let by = match self.phase {
            Phase::Rising => 1.0,
            Phase::Searching(_) | Phase::Steady => 1.0 / self.streams.max(1.0),
        };
        self.set(self.streams + by);
    }

    /// Lowers the limit when there was no quick step since the first late one.
    fn late(&mut self, now: Instant, delay: Duration) {
        let falls_at = *self.falls_at.get_or_insert(now + delay.max(PATIENCE));
        if now < falls_at {
            return;
        }
        self.falls_at = None;
        if self.phase == Phase::Rising {
            self.phase = Phase::Steady;
        }
        self.set(self.streams * DECREASE);
    }

    fn set(&mut self, streams: f64) {
        let min = f64::from(self.bounds.min);
        self.streams = streams.clamp(min, f64::from(self.bounds.max));
    }
}

/// `Shortest` is the shortest delay of late.
#[derive(Clone, Copy, Debug, Default)]
struct Shortest {
    known: Option<Duration>,
    /// The shortest of this window that was measured with little work.
    fresh: Option<Duration>,
    ends_at: Instant,
}

impl Shortest {
    /// Takes a delay, measured with little work or not.
    fn update(&mut self, now: Instant, delay: Duration, little: bool) {
        if now >= self.ends_at {
            self.known = self.fresh.take().or(self.known);
            self.ends_at = now + WINDOW;
        }
        self.known = Some(shorter(self.known, delay));
        if little {
            self.fresh = Some(shorter(self.fresh, delay));
        }
    }

    /// Takes a delay in place of the shortest. Returns whether it is longer.
    fn replace(&mut self, now: Instant, delay: Duration) -> bool {
        let longer = self.known.is_some_and(|known| delay > known);
        self.known = Some(delay);
        self.fresh = None;
        self.ends_at = now + WINDOW;
        longer
    }

    fn get(&self) -> Duration {
        self.known.unwrap_or_default()
    }
}

/// The shorter of a delay and one that may be known.
fn shorter(known: Option<Duration>, delay: Duration) -> Duration {
    known.map_or(delay, |known| known.min(delay))
}
