//! Tests the failure detector of a server that dies and recovers, over connections that
//! stop responding, and compares its decisions with the server's real state.

use std::time::Duration;

use proptest::prelude::*;

use crate::config;
use hemlockwind_core::time::Instant;
use hemlockwind_limits::FailureDetector;
use hemlockwind_limits::failure_detector::Action;
use hemlockwind_limits::failure_detector::Event;

/// The seed of the cases.
const SEED: u64 = 0x5eed_0006;
/// The time within which a server that answers must be considered alive: the maximum
/// probe interval and two probes.
const RECOVERY_TIME: Duration = Duration::from_secs(9);

#[derive(Clone, Copy, Debug)]
enum Op {
    StepTimedOut,
    /// The outstanding probe is answered.
    Answer,
    /// The outstanding probe fails.
    Fail,
    /// The answer to the probe this many probes ago, or its failure, arrives late.
    Late(u64, bool),
    Advance(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        3 => Just(Op::StepTimedOut),
        2 => Just(Op::Answer),
        2 => Just(Op::Fail),
        2 => (1..3u64, any::<bool>()).prop_map(|(ago, answered)| Op::Late(ago, answered)),
        4 => (0..3_000u64).prop_map(Op::Advance),
    ]
}

/// `Simulation` holds the failure detector and the state of the oracle.
#[derive(Default)]
struct Simulation {
    failure_detector: FailureDetector,
    now: Instant,
    /// The outstanding probe and its deadline.
    probe: Option<(u64, Instant)>,
    down: bool,
    /// Whether the server's last probe failed or timed out.
    proven_dead: bool,
    proven_alive: bool,
}

impl Simulation {
    fn event(&mut self, event: Event) {
        for action in self.failure_detector.on_event(self.now, event) {
            match action {
                Action::Probe { number, deadline } => {
                    assert_eq!(self.probe, None, "two probes at once");
                    assert!(deadline > self.now);
                    self.probe = Some((number, deadline));
                }
                Action::Reconnect => assert!(self.proven_alive),
                Action::Down => {
                    assert!(
                        self.proven_dead && !self.down,
                        "found dead without a failed probe"
                    );
                    self.down = true;
                }
                Action::Up => {
                    assert!(self.proven_alive && self.down);
                    self.down = false;
                }
            }
        }
        assert_eq!(self.failure_detector.is_down(), self.down);
    }

    fn answer(&mut self) {
        if let Some((number, _)) = self.probe.take() {
            (self.proven_alive, self.proven_dead) = (true, false);
            self.event(Event::Answered(number));
            assert!(!self.down && self.failure_detector.next_deadline() == Instant::NEVER);
        }
    }

    fn fail(&mut self) {
        if let Some((number, _)) = self.probe.take() {
            (self.proven_alive, self.proven_dead) = (false, true);
            self.event(Event::Failed(number));
            assert!(self.down);
        }
    }

    /// Advances the clock and delivers the ticks that are due.
    fn advance(&mut self, by: Duration, answers: bool) {
        let end = self.now + by;
        while self.failure_detector.next_deadline() <= end {
            self.now = self.now.max(self.failure_detector.next_deadline());
            if self.probe.is_some_and(|(_, deadline)| deadline <= self.now) {
                (self.proven_alive, self.proven_dead) = (false, true);
                self.probe = None;
            }
            self.event(Event::Tick);
            if answers {
                self.answer();
            }
        }
        self.now = end;
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::StepTimedOut => {
                self.event(Event::StepTimedOut);
                let next = self.failure_detector.next_deadline();
                assert!(next != Instant::NEVER, "no probe after a timeout");
            }
            Op::Answer => self.answer(),
            Op::Fail => self.fail(),
            Op::Late(ago, answered) => {
                let Some((number, _)) = self.probe else {
                    return;
                };
                let late = number.saturating_sub(ago);
                let event = if answered {
                    Event::Answered(late)
                } else {
                    Event::Failed(late)
                };
                let before = self.failure_detector.next_deadline();
                assert_eq!(self.failure_detector.on_event(self.now, event), []);
                assert_eq!(self.failure_detector.next_deadline(), before);
            }
            Op::Advance(ms) => self.advance(Duration::from_millis(ms), false),
        }
    }
}

proptest! {
    #![proptest_config(config(SEED))]

    #[test]
    fn failure_detector_decides_by_probe(ops in prop::collection::vec(op(), 0..100)) {
        let mut simulation = Simulation::default();
        for op in ops {
            simulation.apply(op);
        }
        simulation.advance(RECOVERY_TIME, true);
        prop_assert!(!simulation.down, "a server that answers is still considered dead");
        prop_assert_eq!(simulation.failure_detector.next_deadline(), Instant::NEVER);
    }
}
