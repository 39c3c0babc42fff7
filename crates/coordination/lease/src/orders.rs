//! When the holder of a lease may give an order to an engine.
//!
//! An engine that checks fencing tokens refuses whatever an earlier holder sent
//! late. For one that ignores them, the holder first waits until nothing that an
//! earlier holder sent can still arrive, then reads back what the engine runs.

use std::time::Duration;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::config::Fencing as Checks;
use hemlockwind_core::names::BackendServerKey;
use hemlockwind_core::time::Instant;

use crate::holder::Holder;
use crate::value::Fencing;

/// `Permit` is the answer to whether an order may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// Send it at once, with this token.
    Send(Fencing),
    /// Read back what the engine runs, then ask again.
    ReadBack,
    /// Ask again at this time.
    Wait(Instant),
    /// The lease is not held.
    Denied,
}

/// `Orders` tells when orders may be sent under one lease.
#[derive(Clone, Debug)]
pub struct Orders {
    /// How long an order may be on its way, by this instance's clock.
    transit: Duration,
    term: Option<Fencing>,
    settled_at: Instant,
    /// When each engine's state was read back in this term.
    read_back: HashMap<BackendServerKey, Instant>,
}

impl Orders {
    /// Orders that are on their way for `transit` at most. An order must be given a
    /// timeout of no more than `transit`, and the connection closed when it passes.
    pub fn new(transit: Duration) -> Self {
        Self {
            transit,
            term: None,
            settled_at: Instant::NEVER,
            read_back: HashMap::default(),
        }
    }

    /// Whether an order to `engine` may be sent now. Ask immediately before sending.
    pub fn permit(
        &mut self,
        now: Instant,
        holder: &Holder,
        engine: BackendServerKey,
        checks: Checks,
    ) -> Permit {
        let Some(token) = holder.holds(now) else {
            return Permit::Denied;
        };
        self.follow(now, holder);
        match checks {
            Checks::Checked => Permit::Send(token),
            Checks::Ignored if now < self.settled_at => Permit::Wait(self.settled_at),
            Checks::Ignored if self.read_back.contains_key(&engine) => Permit::Send(token),
            Checks::Ignored => Permit::ReadBack,
        }
    }

    /// Notes that what `engine` runs was read back by a call begun at `begun`.
    pub fn read_back(&mut self, begun: Instant, engine: BackendServerKey) {
        if begun >= self.settled_at {
            self.read_back.insert(engine, begun);
        }
    }

    /// Starts anew when the lease was taken since the last question.
    fn follow(&mut self, now: Instant, holder: &Holder) {
        if self.term == holder.term() {
            return;
        }
        self.term = holder.term();
        self.settled_at = now + self.transit;
        self.read_back.clear();
    }
}
