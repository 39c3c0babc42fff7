//! Selects the server of a plain call.
//!
//! The server with the least expected cost is selected: its cost grows with its load, its
//! mean time and its failures, and is slightly higher in another data centre. This copes
//! with a slow, partly failing or crashed server among few.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::servers::BackendServer;
use hemlockwind_core::servers::ServerState;
use hemlockwind_core::time::Instant;

/// Weight of one answer in a server's moving averages of failures and of time.
const SAMPLE_WEIGHT: f64 = 0.15;
/// How long a server that accepts no connection is avoided.
const UNREACHABLE_AVOIDANCE: Duration = Duration::from_millis(1_500);
/// How long a server that failed or refused a call is avoided.
const FAILURE_AVOIDANCE: Duration = Duration::from_millis(300);
/// Mean time of a call in milliseconds before any was answered.
const INITIAL_MEAN_MS: f64 = 60.0;
/// Cost of a failed call as a multiple of the mean time: a failure costs a whole request.
const FAILURE_COST: f64 = 8.0;
/// Cost of another data centre in milliseconds: the platform charges for traffic to it.
const OTHER_DATA_CENTRE_MS: f64 = 3.0;

/// `ServerStats` holds the load and the moving averages of one server.
#[derive(Clone, Copy, Debug)]
struct ServerStats {
    in_progress: u32,
    /// Running and waiting requests that the server last reported, without those of this
    /// instance.
    others: u32,
    /// Moving average of failed calls, 0 to 1.
    failures: f64,
    mean_ms: f64,
    avoided_until: Instant,
}

impl Default for ServerStats {
    fn default() -> Self {
        Self {
            in_progress: 0,
            others: 0,
            failures: 0.0,
            mean_ms: INITIAL_MEAN_MS,
            avoided_until: Instant::ZERO,
        }
    }
}

/// `CallOutcome` says how a call to a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The server answered after this time; the status may be a client error (4xx).
    Answered(Duration),
    /// The server refused the call before it ran.
    Refused,
    /// The server gave no answer or failed.
    Failed,
    /// The server accepted no connection.
    Unreachable,
    /// The caller left before the end.
    Abandoned,
}

/// `Servers` holds the load and failures of each server.
#[derive(Default)]
pub struct Servers {
    by_server: Mutex<HashMap<SocketAddr, ServerStats>>,
}

impl Servers {
    /// Returns the server for the next call and counts the call as in progress there.
    pub fn begin(
        &self,
        now: Instant,
        candidates: &[Arc<BackendServer>],
        data_centre: &str,
        tried: &[SocketAddr],
    ) -> Option<Arc<BackendServer>> {
        let mut by_server = self.by_server.lock();
        let ready = candidates
            .iter()
            .filter(|s| s.state == ServerState::Ready && !tried.contains(&s.addr));
        let best = ready.min_by(|a, b| {
            let cost = |s: &BackendServer| {
                let stats = by_server.get(&s.addr).copied().unwrap_or_default();
                stats.cost(now, s, data_centre)
            };
            cost(a).total_cmp(&cost(b))
        })?;
        by_server.entry(best.addr).or_default().in_progress += 1;
        Some(Arc::clone(best))
    }

    /// Counts a call as in progress at a server that was chosen otherwise.
    pub fn begin_at(&self, addr: SocketAddr) {
        self.by_server.lock().entry(addr).or_default().in_progress += 1;
    }

    /// Records the end of a call.
    pub fn end(&self, now: Instant, addr: SocketAddr, outcome: CallOutcome) {
        let mut by_server = self.by_server.lock();
        let stats = by_server.entry(addr).or_default();
        stats.in_progress = stats.in_progress.saturating_sub(1);
        match outcome {
            CallOutcome::Answered(time) => {
                stats.failures -= stats.failures * SAMPLE_WEIGHT;
                stats.mean_ms += (time.as_secs_f64() * 1e3 - stats.mean_ms) * SAMPLE_WEIGHT;
            }
            CallOutcome::Refused => stats.avoided_until = now + FAILURE_AVOIDANCE,
            CallOutcome::Failed => {
                stats.failures += (1.0 - stats.failures) * SAMPLE_WEIGHT;
                stats.avoided_until = now + FAILURE_AVOIDANCE;
            }
            CallOutcome::Unreachable => stats.avoided_until = now + UNREACHABLE_AVOIDANCE,
            CallOutcome::Abandoned => {}
        }
    }

    /// Records the load that a server reported.
    pub fn record_load(&self, addr: SocketAddr, running: u32, waiting: u32) {
        let mut by_server = self.by_server.lock();
        let stats = by_server.entry(addr).or_default();
        let total = running.saturating_add(waiting);
        stats.others = total.saturating_sub(stats.in_progress);
    }
}

impl ServerStats {
    /// Returns the expected cost of a call, in milliseconds.
    fn cost(&self, now: Instant, server: &BackendServer, data_centre: &str) -> f64 {
        let requests = f64::from(self.in_progress) + f64::from(self.others) + 1.0;
        let load = requests / f64::from(server.slots);
        let queue = (load - 1.0).max(0.0);
        let remote = if *server.data_centre == *data_centre {
            0.0
        } else {
            OTHER_DATA_CENTRE_MS
        };
        let avoided = if self.avoided_until > now { 1e4 } else { 0.0 };
        let time = self.mean_ms * (1.0 + queue + load * 0.2);
        time * (1.0 + self.failures * FAILURE_COST) + remote + avoided
    }
}
