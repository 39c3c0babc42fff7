//! Whether a silent backend server is dead, or only the connection to it.
//!
//! A step without progress by its deadline proves neither, since something
//! between the two ends may have lost track of the connection. A probe over a
//! new connection decides.

use std::time::Duration;

use hemlockwind_core::time::Instant;

/// The time that a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// The time from a verdict of death to the next probe.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// The longest time between two probes of a dead server.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

/// `Event` is one thing that happened to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A step made no progress by its deadline.
    StepTimedOut,
    /// The probe of this number was answered.
    Answered(u64),
    /// The probe of this number failed.
    Failed(u64),
    /// Time passed; due at `Doubt::next_deadline`.
    Tick,
}

/// `Action` is one thing that the connections to a backend server need.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Probe the server over a new connection.
    Probe {
        /// The probe's number; the answer repeats it.
        number: u64,
        /// When the probe is given up.
        deadline: Instant,
    },
    /// The server lives: close its old connections and use new ones.
    Reconnect,
    /// The server is dead: give it no work.
    Down,
    /// The server is back; it may be tried.
    Up,
}

/// `Doubt` holds what is believed of one backend server.
#[derive(Clone, Debug, Default)]
pub struct Doubt {
    state: State,
    down: bool,
    probes: u64,
}

/// `State` is what the verdict waits for.
#[derive(Clone, Copy, Debug, Default)]
enum State {
    /// Nothing: there is no doubt.
    #[default]
    Trusted,
    /// The answer of a probe.
    Probing { deadline: Instant, pause: Duration },
    /// The next probe of a dead server.
    Waiting { until: Instant, pause: Duration },
}

impl Doubt {
    /// Takes one event and returns what to do.
    pub fn on_event(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match (event, self.state) {
            (Event::StepTimedOut, State::Trusted) => vec![self.probe(now, FIRST_PAUSE)],
            (Event::Answered(number), State::Probing { .. }) if number == self.probes => {
                self.trust()
            }
            (Event::Failed(number), State::Probing { pause, .. }) if number == self.probes => {
                self.condemn(now, pause)
            }
            (Event::Tick, State::Probing { deadline, pause }) if now >= deadline => {
                self.condemn(now, pause)
            }
            (Event::Tick, State::Waiting { until, pause }) if now >= until => {
                vec![self.probe(now, (2 * pause).min(LONGEST_PAUSE))]
            }
            // The verdict is under way or stands, or the event is an old probe's.
            (
                Event::StepTimedOut | Event::Answered(_) | Event::Failed(_) | Event::Tick,
                State::Trusted | State::Probing { .. } | State::Waiting { .. },
            ) => Vec::new(),
        }
    }

    /// When `Event::Tick` is due, `Instant::NEVER` when there is no doubt.
    pub fn next_deadline(&self) -> Instant {
        match self.state {
            State::Trusted => Instant::NEVER,
            State::Probing { deadline, .. } => deadline,
            State::Waiting { until, .. } => until,
        }
    }

    /// Whether the server was found dead and not yet back.
    pub fn is_down(&self) -> bool {
        self.down
    }

    fn probe(&mut self, now: Instant, pause: Duration) -> Action {
        self.probes += 1;
        let deadline = now + PROBE_TIMEOUT;
        self.state = State::Probing { deadline, pause };
        Action::Probe {
            number: self.probes,
            deadline,
        }
    }

    fn trust(&mut self) -> Vec<Action> {
        self.state = State::Trusted;
        if std::mem::take(&mut self.down) {
            vec![Action::Reconnect, Action::Up]
        } else {
            vec![Action::Reconnect]
        }
    }

    fn condemn(&mut self, now: Instant, pause: Duration) -> Vec<Action> {
        let until = now + pause;
        self.state = State::Waiting { until, pause };
        if std::mem::replace(&mut self.down, true) {
            Vec::new()
        } else {
            vec![Action::Down]
        }
    }
}
