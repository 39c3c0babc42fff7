//! When the holder of a lease may send an order to an engine.
//!
//! An engine that checks fencing tokens refuses late orders of an earlier holder. For an
//! engine that ignores them, the holder first waits until no order of an earlier holder
//! can still arrive, then reads back what the engine runs.

use std::time::Duration;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::config::Fencing;
use hemlockwind_core::names::BackendServerKey;
use hemlockwind_core::time::Instant;

use crate::holder::Holder;
use crate::value::FencingToken;

/// `Permit` states whether an order may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// Send it at once, with this token.
    Send(FencingToken),
    /// Read back what the engine runs, then call [`Orders::permit`] again.
    ReadBack,
    /// Call [`Orders::permit`] again at this time.
    Wait(Instant),
    /// The lease is not held.
    Denied,
}

/// `Orders` decides when orders may be sent under one lease.
#[derive(Clone, Debug)]
pub struct Orders {
    /// The maximum time that an order is in transit, by this instance's clock.
    transit: Duration,
    term: Option<FencingToken>,
    /// When no order of an earlier holder can arrive any more.
    settled_at: Instant,
    /// When each engine's state was read back in this term.
    read_back: HashMap<BackendServerKey, Instant>,
}

impl Orders {
    /// Returns the state for orders that are in transit for at most `transit`. The caller
    /// must send each order with a timeout of at most `transit` and close the connection
    /// when it expires.
    pub fn new(transit: Duration) -> Self {
        Self {
            transit,
            term: None,
            settled_at: Instant::NEVER,
            read_back: HashMap::default(),
        }
    }

    /// Returns whether an order to `engine` may be sent now. To be called immediately
    /// before sending.
    pub fn permit(
        &mut self,
        now: Instant,
        holder: &Holder,
        engine: BackendServerKey,
        fencing: Fencing,
    ) -> Permit {
        let Some(token) = holder.holds(now) else {
            return Permit::Denied;
        };
        self.sync_term(now, holder);
        match fencing {
            Fencing::Checked => Permit::Send(token),
            Fencing::Ignored if now < self.settled_at => Permit::Wait(self.settled_at),
            Fencing::Ignored if self.read_back.contains_key(&engine) => Permit::Send(token),
            Fencing::Ignored => Permit::ReadBack,
        }
    }

    /// Records that what `engine` runs was read back by a call started at `started_at`.
    pub fn read_back(&mut self, started_at: Instant, engine: BackendServerKey) {
        if started_at >= self.settled_at {
            self.read_back.insert(engine, started_at);
        }
    }

    /// Resets the state if a new term has started since the last call.
    fn sync_term(&mut self, now: Instant, holder: &Holder) {
        if self.term == holder.term() {
            return;
        }
        self.term = holder.term();
        self.settled_at = now + self.transit;
        self.read_back.clear();
    }
}
