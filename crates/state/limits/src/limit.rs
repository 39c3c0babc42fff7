//! The limit on the streams of a backend server, adapted to the delay of its steps.
//!
//! The limit starts at the configured one. While it is in use, it rises by one stream
//! for each round of steps. It falls by a fifth after a period in which every step took
//! longer than a multiple of the minimum delay (AIMD). One quick step resets the
//! period: it shows that the others were late for another reason than an overload.
//!
//! A shorter delay lowers the minimum delay under any load. A longer one replaces it only
//! if measured under light load, or with the limit at its minimum, where the load can't be
//! lighter. Under full load the minimum delay would increase with the limit that depends
//! on it.
//!
//! A server that is full from the start gives no delay under light load. Its limit is
//! halved as long as the delay falls with it. During this search, every delay counts as
//! measured under light load.

use std::time::Duration;

use hemlockwind_core::engine::LoadReport;
use hemlockwind_core::time::Instant;

/// The factor by which a decrease multiplies the limit.
const DECREASE_FACTOR: f64 = 0.8;
/// The multiple of the minimum delay above which a step is late.
const DELAY_TOLERANCE: f64 = 1.5;
/// The share of the limit that must be in use for the limit to rise.
const NEARLY_FULL: f64 = 0.9;
/// The share of the limit up to which a server has a light load.
const LIGHT_LOAD: f64 = 0.5;
/// The share of a halved limit up to which the streams in flight count as drained to it.
/// With more in flight, a delay is not compared with the one before the halving.
const MAX_OVERSHOOT: f64 = 1.1;
/// The period in which every step must be late for the limit to fall. It lasts at
/// least as long as the first late step took.
const OVERLOAD_PERIOD: Duration = Duration::from_millis(100);
/// The time after which the minimum delay is replaced by a newer one.
const DELAY_WINDOW: Duration = Duration::from_secs(30);
/// The age at which a load report expires.
const REPORT_LIFETIME: Duration = Duration::from_secs(10);

/// `Bounds` is the range that a limit stays in, in streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The minimum limit. It keeps streams on the server, so that its delay continues to be
    /// measured.
    pub min: u32,
    /// The configured limit.
    pub max: u32,
}

/// `Limit` is the adaptive limit of one backend server.
#[derive(Clone, Debug)]
pub struct Limit {
    bounds: Bounds,
    streams: f64,
    min_delay: MinDelay,
    /// When the limit falls, unless a quick step arrives before.
    decrease_at: Option<Instant>,
    phase: Phase,
    report: Option<Cap>,
}

/// `Phase` determines how the limit changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No delay was measured under light load yet. Holds the delay before the last
    /// halving.
    Searching(Option<Duration>),
    /// The limit rises by one stream for each step until it falls.
    Rising,
    /// The limit rises by one stream for each round of steps.
    Steady,
}

/// `Cap` is the number of streams that a load report leaves for this instance.
#[derive(Clone, Copy, Debug)]
struct Cap {
    streams: u32,
    expires_at: Instant,
}

impl Limit {
    /// Returns a limit that starts at the configured one. A `min` above `max` is lowered
    /// to `max`.
    pub fn new(bounds: Bounds) -> Self {
        let min = bounds.min.min(bounds.max);
        Self {
            bounds: Bounds { min, ..bounds },
            streams: f64::from(bounds.max),
            min_delay: MinDelay::default(),
            decrease_at: None,
            phase: Phase::Searching(None),
            report: None,
        }
    }

    /// Returns the limit at `now`, in streams.
    pub fn streams(&self, now: Instant) -> u32 {
        // The bounds are `u32`, so the cast only truncates the fraction.
        let adapted = self.streams as u32;
        let reported = match self.report {
            Some(cap) if now < cap.expires_at => adapted.min(cap.streams),
            Some(_) | None => adapted,
        };
        reported.clamp(self.bounds.min, self.bounds.max)
    }

    /// Returns whether no delay was measured under light load yet.
    pub fn is_searching(&self) -> bool {
        matches!(self.phase, Phase::Searching(_))
    }

    /// Adapts the limit to the delay of a decode step that ran with `in_flight` streams.
    pub fn on_result(&mut self, now: Instant, delay: Duration, in_flight: u32) {
        // Only whole streams can be in flight.
        let used = f64::from(in_flight) / self.streams.floor().max(1.0);
        if let Phase::Searching(previous) = self.phase {
            self.search(now, delay, used, previous);
            return;
        }
        if self.is_at_min() {
            // No delay can be measured under less load, so this one is the minimum.
            if self.min_delay.replace(now, delay) {
                self.phase = Phase::Rising;
            }
        } else {
            self.min_delay.update(now, delay, used <= LIGHT_LOAD);
        }
        if delay > self.min_delay.get().mul_f64(DELAY_TOLERANCE) {
            self.on_late_step(now, delay);
            return;
        }
        self.decrease_at = None;
        if used >= NEARLY_FULL {
            self.increase();
        }
    }

    /// Lowers the limit to `in_flight`, the streams that were in flight when the server
    /// refused a step as busy.
    pub fn on_refusal(&mut self, in_flight: u32) {
        self.set(self.streams.min(f64::from(in_flight)));
    }

    /// Caps the limit by a load report, in which `own` of the streams belong to this
    /// instance. The report may be out of date, so the cap expires and the adapted
    /// limit is unchanged.
    pub fn on_report(&mut self, now: Instant, report: LoadReport, own: u32) {
        let others = report.streams.saturating_sub(own);
        self.report = Some(Cap {
            streams: report.limit.saturating_sub(others),
            expires_at: now + REPORT_LIFETIME,
        });
    }

    fn is_at_min(&self) -> bool {
        self.streams <= f64::from(self.bounds.min)
    }

    /// Halves the limit as long as the delay falls with it.
    fn search(&mut self, now: Instant, delay: Duration, used: f64, previous: Option<Duration>) {
        self.min_delay.update(now, delay, true);
        if used <= LIGHT_LOAD {
            self.phase = Phase::Steady;
            return;
        }
        if !(NEARLY_FULL..=MAX_OVERSHOOT).contains(&used) {
            return;
        }
        let falls = previous.is_none_or(|previous| previous > delay.mul_f64(DELAY_TOLERANCE));
        if falls && !self.is_at_min() {
            self.phase = Phase::Searching(Some(delay));
            self.set(self.streams / 2.0);
        } else {
            // The last halving did not shorten the delay enough, or the limit is at its
            // minimum.
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

    /// Lowers the limit once the period without a quick step is over.
    fn on_late_step(&mut self, now: Instant, delay: Duration) {
        let decrease_at = *self
            .decrease_at
            .get_or_insert(now + delay.max(OVERLOAD_PERIOD));
        if now < decrease_at {
            return;
        }
        self.decrease_at = None;
        if self.phase == Phase::Rising {
            self.phase = Phase::Steady;
        }
        self.set(self.streams * DECREASE_FACTOR);
    }

    fn set(&mut self, streams: f64) {
        let min = f64::from(self.bounds.min);
        self.streams = streams.clamp(min, f64::from(self.bounds.max));
    }
}

/// `MinDelay` tracks the shortest recent delay.
#[derive(Clone, Copy, Debug, Default)]
struct MinDelay {
    current: Option<Duration>,
    /// The shortest delay under light load in this window.
    next: Option<Duration>,
    window_ends_at: Instant,
}

impl MinDelay {
    /// Adds a delay, measured under light load or not.
    fn update(&mut self, now: Instant, delay: Duration, light_load: bool) {
        if now >= self.window_ends_at {
            self.current = self.next.take().or(self.current);
            self.window_ends_at = now + DELAY_WINDOW;
        }
        self.current = Some(shorter(self.current, delay));
        if light_load {
            self.next = Some(shorter(self.next, delay));
        }
    }

    /// Replaces the minimum by `delay`. Returns whether `delay` is longer.
    fn replace(&mut self, now: Instant, delay: Duration) -> bool {
        let is_longer = self.current.is_some_and(|current| delay > current);
        self.current = Some(delay);
        self.next = None;
        self.window_ends_at = now + DELAY_WINDOW;
        is_longer
    }

    fn get(&self) -> Duration {
        self.current.unwrap_or_default()
    }
}

/// Returns the shorter of `delay` and a minimum, if there is one.
fn shorter(min: Option<Duration>, delay: Duration) -> Duration {
    min.map_or(delay, |min| min.min(delay))
}
