//! Drives doubt about a server that dies and comes back, over connections that go
//! silent, and compares the verdicts with what is so.

use std::time::Duration;

use proptest::prelude::*;

use crate::config;
use hemlockwind_core::time::Instant;
use hemlockwind_limits::Doubt;
use hemlockwind_limits::doubt::Action;
use hemlockwind_limits::doubt::Event;

/// The seed of the cases.
const SEED: u64 = 0x5eed_0006;
/// The time in which a server that answers must be back: the longest pause and
/// two probes.
const BACK: Duration = Duration::from_secs(9);

#[derive(Clone, Copy, Debug)]
enum Op {
    StepTimedOut,
    /// The outstanding probe is answered.
    Answer,
    /// The outstanding probe fails.
    Fail,
    /// An answer of this many probes ago arrives late, or a failure does.
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

/// `World` is the doubt with what the oracle knows.
#[derive(Default)]
struct World {
    doubt: Doubt,
    now: Instant,
    /// The probe under way and its deadline.
    probe: Option<(u64, Instant)>,
    down: bool,
    /// Whether the server's last probe failed or ran out.
    proven_dead: bool,
    proven_alive: bool,
}

impl World {
    fn event(&mut self, event: Event) {
        for action in self.doubt.on_event(self.now, event) {
            match action {
                Action::Probe { number, deadline } => {
                    assert_eq!(self.probe, None, "two probes at once");
                    assert!(deadline > self.now);
                    self.probe = Some((number, deadline));
                }
                Action::Reconnect => assert!(self.proven_alive),
                Action::Down => {
                    assert!(self.proven_dead && !self.down, "judged without a probe");
                    self.down = true;
                }
                Action::Up => {
                    assert!(self.proven_alive && self.down);
                    self.down = false;
                }
            }
        }
        assert_eq!(self.doubt.is_down(), self.down);
    }

    fn answer(&mut self) {
        if let Some((number, _)) = self.probe.take() {
            (self.proven_alive, self.proven_dead) = (true, false);
            self.event(Event::Answered(number));
            assert!(!self.down && self.doubt.next_deadline() == Instant::NEVER);
        }
    }

    fn fail(&mut self) {
        if let Some((number, _)) = self.probe.take() {
            (self.proven_alive, self.proven_dead) = (false, true);
            self.event(Event::Failed(number));
            assert!(self.down);
        }
    }

    /// Lets time pass, with the ticks that are due.
    fn advance(&mut self, by: Duration, answers: bool) {
        let end = self.now + by;
        while self.doubt.next_deadline() <= end {
            self.now = self.now.max(self.doubt.next_deadline());
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
                let next = self.doubt.next_deadline();
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
                let before = self.doubt.next_deadline();
                assert_eq!(self.doubt.on_event(self.now, event), []);
                assert_eq!(self.doubt.next_deadline(), before);
            }
            Op::Advance(ms) => self.advance(Duration::from_millis(ms), false),
        }
    }
}

proptest! {
    #![proptest_config(config(SEED))]

    #[test]
    fn doubt_judges_by_probe(ops in prop::collection::vec(op(), 0..100)) {
        let mut world = World::default();
        for op in ops {
            world.apply(op);
        }
        world.advance(BACK, true);
        prop_assert!(!world.down, "a server that answers is not back");
        prop_assert_eq!(world.doubt.next_deadline(), Instant::NEVER);
    }
}
