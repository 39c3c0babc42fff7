//! Plain servers: which one takes the next call.
//!
//! Answers a slow, grey or crashed server among few: the least loaded of those that do
//! not fail, the own data centre first when equal.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::servers::BackendServer;
use hemlockwind_core::servers::ServerState;
use hemlockwind_core::time::Instant;

/// The weight of one answer in a server's share of failures and mean time.
const WEIGHT: f64 = 0.15;
/// Time that a server which takes no connection gets nothing.
const UNREACHABLE_TIME: Duration = Duration::from_millis(1_500);
/// Time that a server which failed a call is avoided.
const FAILURE_TIME: Duration = Duration::from_millis(300);
/// The mean time of a call before any was answered, in milliseconds.
const FIRST_MEAN_MS: f64 = 60.0;
/// The cost of a failing call, in mean times: a failure costs a whole request.
const FAILURE_COST: f64 = 8.0;
/// The cost of another data centre, in milliseconds: its bytes are charged.
const FAR_MS: f64 = 3.0;

#[derive(Clone, Copy, Debug)]
struct Seen {
    in_progress: u32,
    /// Running and waiting requests that the server last told, without our own.
    others: u32,
    failures: f64,
    mean_ms: f64,
    avoided_until: Instant,
}

impl Default for Seen {
    fn default() -> Self {
        Self {
            in_progress: 0,
            others: 0,
            failures: 0.0,
            mean_ms: FIRST_MEAN_MS,
            avoided_until: Instant::ZERO,
        }
    }
}

/// `Outcome` is how a call to a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With an answer, good or bad by the caller's measure, after this time.
    Answered(Duration),
    /// With a refusal before it ran.
    Refused,
    /// Without an answer.
    Failed,
    /// The server took no connection.
    Unreachable,
    /// Nobody waits for it any more.
    Left,
}

/// `Servers` holds what calls have shown of each server.
#[derive(Default)]
pub struct Servers {
    seen: Mutex<HashMap<SocketAddr, Seen>>,
}

impl Servers {
    /// The server for the next call, and counts the call as in progress there.
    pub fn begin(
        &self,
        now: Instant,
        among: &[Arc<BackendServer>],
        data_centre: &str,
        tried: &[SocketAddr],
    ) -> Option<Arc<BackendServer>> {
        let mut seen = self.seen.lock();
        let ready = among
            .iter()
            .filter(|s| s.state == ServerState::Ready && !tried.contains(&s.addr));
        let best = ready.min_by(|a, b| {
            let cost = |s: &BackendServer| {
                let known = seen.get(&s.addr).copied().unwrap_or_default();
                known.cost(now, s, data_centre)
            };
            cost(a).total_cmp(&cost(b))
        })?;
        seen.entry(best.addr).or_default().in_progress += 1;
        Some(Arc::clone(best))
    }

    /// A call ended.
    pub fn end(&self, now: Instant, addr: SocketAddr, outcome: Outcome) {
        let mut seen = self.seen.lock();
        let known = seen.entry(addr).or_default();
        known.in_progress = known.in_progress.saturating_sub(1);
        match outcome {
            Outcome::Answered(time) => {
                known.failures -= known.failures * WEIGHT;
                known.mean_ms += (time.as_secs_f64() * 1e3 - known.mean_ms) * WEIGHT;
            }
            Outcome::Refused => known.avoided_until = now + FAILURE_TIME,
            Outcome::Failed => {
                known.failures += (1.0 - known.failures) * WEIGHT;
                known.avoided_until = now + FAILURE_TIME;
            }
            Outcome::Unreachable => known.avoided_until = now + UNREACHABLE_TIME,
            Outcome::Left => {}
        }
    }

    /// Takes what a server said of its load.
    pub fn load(&self, addr: SocketAddr, running: u32, waiting: u32) {
        let mut seen = self.seen.lock();
        let known = seen.entry(addr).or_default();
        known.others = (running + waiting).saturating_sub(known.in_progress);
    }
}

impl Seen {
    /// The expected time of a call, in milliseconds.
    fn cost(&self, now: Instant, server: &BackendServer, data_centre: &str) -> f64 {
        let load = f64::from(self.in_progress + self.others + 1) / f64::from(server.slots);
        let queue = (load - 1.0).max(0.0);
        let far = if *server.data_centre == *data_centre {
            0.0
        } else {
            FAR_MS
        };
        let avoided = if self.avoided_until > now { 1e4 } else { 0.0 };
        let time = self.mean_ms * (1.0 + queue + load * 0.2);
        time * (1.0 + self.failures * FAILURE_COST) + far + avoided
    }
}
