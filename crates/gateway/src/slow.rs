//! Detects slow engines by their reports.
//!
//! A slow engine delays every stream on it and shows no other symptom: it answers and
//! loses nothing. When a stream pauses too long, the reports of the engines on its path
//! are checked; a slow engine is checked again until it is as fast as before.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use slog::info;
use tokio::time::sleep;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::time::Instant;

use crate::gateway::EngineFault;
use crate::gateway::Gateway;

/// Shortest time between two checks of one engine by this instance: the platform charges
/// for each report, and a slow engine stays slow for seconds.
const CHECK_INTERVAL: Duration = Duration::from_millis(2_000);
/// Interval at which a slow engine is checked.
const WATCH_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long an engine counts as slow without a further report.
const SLOWNESS_LIFETIME: Duration = Duration::from_millis(2_500);
/// An engine is slow if its work takes this multiple of the published time. Reports of
/// healthy engines differ from 1 by a few hundredths.
const SLOW_FACTOR: f64 = 1.5;
/// The multiple from which other engines take over a slow engine's layers.
const UNUSABLE_FACTOR: f64 = 3.0;

/// `SlowEngines` holds the engines that were checked recently and those that are slow.
#[derive(Default)]
pub struct SlowEngines {
    checked: Mutex<HashMap<SocketAddr, Instant>>,
    /// How slow an engine is, and until when that is valid.
    slowness_by_engine: Mutex<HashMap<SocketAddr, (f64, Instant)>>,
}

impl SlowEngines {
    /// Whether other engines should take over the layers of the engine at `addr`.
    pub fn is_unusable(&self, now: Instant, addr: SocketAddr) -> bool {
        let slowness_by_engine = self.slowness_by_engine.lock();
        let slow = slowness_by_engine.get(&addr);
        slow.is_some_and(|(slowness, until)| *until > now && *slowness >= UNUSABLE_FACTOR)
    }

    /// Sets how slow an engine is. Returns whether it has become slow.
    fn set(&self, now: Instant, addr: SocketAddr, slowness: f64) -> bool {
        let mut slowness_by_engine = self.slowness_by_engine.lock();
        slowness_by_engine.retain(|_, (_, until)| *until > now);
        if slowness < SLOW_FACTOR {
            slowness_by_engine.remove(&addr);
            return false;
        }
        slowness_by_engine
            .insert(addr, (slowness, now + SLOWNESS_LIFETIME))
            .is_none()
    }

    /// Returns those of `addrs` that were not checked recently, and records them as
    /// checked.
    fn due(&self, now: Instant, addrs: impl Iterator<Item = SocketAddr>) -> Vec<SocketAddr> {
        let mut checked = self.checked.lock();
        checked.retain(|_, at| now.since(*at) < CHECK_INTERVAL);
        addrs
            .filter(|a| checked.insert(*a, now).is_none())
            .collect()
    }
}

/// Checks the engines of a path that were not checked recently.
pub fn check_path(gateway: &Arc<Gateway>, path: impl Iterator<Item = SocketAddr>) {
    for addr in gateway.slow.due(gateway.now(), path) {
        let gateway = Arc::clone(gateway);
        tokio::spawn(async move { monitor(&gateway, addr).await });
    }
}

/// Checks an engine, and repeats that as long as it is slow.
async fn monitor(gateway: &Arc<Gateway>, addr: SocketAddr) {
    let mut was_slow = false;
    loop {
        // The streams on an engine without a report detect that it is dead.
        let Ok(report) = gateway.reports.get(&gateway.http, addr).await else {
            return;
        };
        let now = gateway.now();
        gateway.queue_owners.update_memory(now, addr, &report);
        let is_slow = report.slowness >= SLOW_FACTOR;
        if is_slow != was_slow {
            info!(gateway.log, "engine slowness changed"; "engine" => %addr, "slow" => is_slow,
                "slowness" => report.slowness, "waiting" => report.waiting);
        }
        if !is_slow && !was_slow {
            return;
        }
        was_slow = is_slow;
        record_slowness(gateway, addr, report.slowness);
        gateway
            .queue_owners
            .notify_slow(gateway, addr, report.slowness)
            .await;
        if !is_slow {
            return;
        }
        sleep(WATCH_INTERVAL).await;
    }
}

/// Records how slow an engine is, from its report or from another instance.
pub fn record_slowness(gateway: &Gateway, addr: SocketAddr, slowness: f64) {
    let now = gateway.now();
    let is_new = gateway.slow.set(now, addr, slowness);
    gateway
        .queue_owners
        .set_slowness(addr, slowness, now + SLOWNESS_LIFETIME);
    if is_new && slowness >= UNUSABLE_FACTOR {
        // Sending fails when no stream runs.
        let _ = gateway.faults.send(EngineFault::Leaving(addr));
    }
}
