//! Failure detection: whether an unresponsive backend server is dead, or only the
//! connection to it.
//!
//! A step that makes no progress by its deadline proves neither, since a device
//! between the two ends may have dropped the connection's state. A probe over a new
//! connection decides.

use std::time::Duration;

use hemlockwind_core::time::Instant;

/// The time after which a probe counts as failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// The time from the detection of a dead server to the next probe.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// The maximum time between two probes of a dead server.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(8);

/// `Event` is an input of the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A step made no progress by its deadline.
    StepTimedOut,
    /// The probe of this number was answered.
    Answered(u64),
    /// The probe of this number failed.
    Failed(u64),
    /// Time has passed. Due at [`FailureDetector::next_deadline`].
    Tick,
}

/// `Action` is an output of the failure detector, for its caller to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Probe the server over a new connection.
    Probe {
        /// The probe's number; the answer repeats it.
        number: u64,
        /// When the probe counts as failed.
        deadline: Instant,
    },
    /// The server is alive: close its old connections and open new ones.
    Reconnect,
    /// The server is dead: send it no work.
    Down,
    /// The server is alive again and may be sent work.
    Up,
}

/// `FailureDetector` detects the failure of one backend server.
#[derive(Clone, Debug, Default)]
pub struct FailureDetector {
    state: State,
    down: bool,
    last_probe: u64,
}

/// `State` is what the failure detector waits for.
#[derive(Clone, Copy, Debug, Default)]
enum State {
    /// A step that times out: the server is considered alive.
    #[default]
    Alive,
    /// The answer to a probe.
    Probing {
        deadline: Instant,
        interval: Duration,
    },
    /// The time of the next probe of a dead server.
    Waiting { until: Instant, interval: Duration },
}

impl FailureDetector {
    /// Handles an event and returns the actions to carry out.
    pub fn on_event(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match (event, self.state) {
            (Event::StepTimedOut, State::Alive) => vec![self.probe(now, MIN_PROBE_INTERVAL)],
            (Event::Answered(number), State::Probing { .. }) if number == self.last_probe => {
                self.mark_alive()
            }
            (Event::Failed(number), State::Probing { interval, .. })
                if number == self.last_probe =>
            {
                self.mark_dead(now, interval)
            }
            (Event::Tick, State::Probing { deadline, interval }) if now >= deadline => {
                self.mark_dead(now, interval)
            }
            (Event::Tick, State::Waiting { until, interval }) if now >= until => {
                vec![self.probe(now, (2 * interval).min(MAX_PROBE_INTERVAL))]
            }
            // A probe is outstanding or not yet due, or the event belongs to an earlier
            // probe.
            (
                Event::StepTimedOut | Event::Answered(_) | Event::Failed(_) | Event::Tick,
                State::Alive | State::Probing { .. } | State::Waiting { .. },
            ) => Vec::new(),
        }
    }

    /// Returns when [`Event::Tick`] is due: [`Instant::NEVER`] while the server is
    /// considered alive.
    pub fn next_deadline(&self) -> Instant {
        match self.state {
            State::Alive => Instant::NEVER,
            State::Probing { deadline, .. } => deadline,
            State::Waiting { until, .. } => until,
        }
    }

    /// Returns whether the server was found dead and has not answered a probe since.
    pub fn is_down(&self) -> bool {
        self.down
    }

    fn probe(&mut self, now: Instant, interval: Duration) -> Action {
        self.last_probe += 1;
        let deadline = now + PROBE_TIMEOUT;
        self.state = State::Probing { deadline, interval };
        Action::Probe {
            number: self.last_probe,
            deadline,
        }
    }

    fn mark_alive(&mut self) -> Vec<Action> {
        self.state = State::Alive;
        if std::mem::take(&mut self.down) {
            vec![Action::Reconnect, Action::Up]
        } else {
            vec![Action::Reconnect]
        }
    }

    fn mark_dead(&mut self, now: Instant, interval: Duration) -> Vec<Action> {
        let until = now + interval;
        self.state = State::Waiting { until, interval };
        if std::mem::replace(&mut self.down, true) {
            Vec::new()
        } else {
            vec![Action::Down]
        }
    }
}
