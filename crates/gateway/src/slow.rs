//! Which engines are slow, by their own reports.
//!
//! One slow engine delays every stream that leads over it, and nothing else tells: it
//! answers and loses nothing. A stream with too long a pause has the engines of its path
//! asked; a slow one is asked again until it is as fast as before.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use slog::info;
use tokio::time::sleep;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::time::Instant;

use crate::gateway::Fault;
use crate::gateway::Gateway;

/// Time between two questions to one engine by this instance: a question is charged, and a
/// slow engine stays slow for seconds.
const ASK_AGAIN: Duration = Duration::from_millis(2_000);
/// Time between two questions to an engine that is slow.
const WATCH_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time for which an engine counts as slow without news.
const BELIEVED: Duration = Duration::from_millis(2_500);
/// The time of an engine's work, as a multiple of what is published, from which on it is
/// slow. Reports differ from 1 by some hundredths.
const SLOW: f64 = 1.5;
/// The multiple from which on others take over its layers.
const USELESS: f64 = 3.0;

/// `Slow` holds the engines that were asked, and those that are slow.
#[derive(Default)]
pub struct Slow {
    asked: Mutex<HashMap<SocketAddr, Instant>>,
    /// How slow an engine is, and until when that is believed.
    known: Mutex<HashMap<SocketAddr, (f64, Instant)>>,
}

impl Slow {
    /// Whether others should hold the layers of the engine at `addr`.
    pub fn is_useless(&self, now: Instant, addr: SocketAddr) -> bool {
        let known = self.known.lock();
        let slow = known.get(&addr);
        slow.is_some_and(|(slowness, until)| *until > now && *slowness >= USELESS)
    }

    /// Takes how slow an engine is. Returns whether it has become slow.
    fn set(&self, now: Instant, addr: SocketAddr, slowness: f64) -> bool {
        let mut known = self.known.lock();
        known.retain(|_, (_, until)| *until > now);
        if slowness < SLOW {
            known.remove(&addr);
            return false;
        }
        known.insert(addr, (slowness, now + BELIEVED)).is_none()
    }

    /// Those of `addrs` that were not asked lately, which count as asked now.
    fn due(&self, now: Instant, addrs: impl Iterator<Item = SocketAddr>) -> Vec<SocketAddr> {
        let mut asked = self.asked.lock();
        asked.retain(|_, at| now.since(*at) < ASK_AGAIN);
        addrs.filter(|a| asked.insert(*a, now).is_none()).collect()
    }
}

/// Asks the engines of a path whether they are slow, those that were not asked lately.
pub fn suspect(gateway: &Arc<Gateway>, path: impl Iterator<Item = SocketAddr>) {
    for addr in gateway.slow.due(gateway.now(), path) {
        let gateway = Arc::clone(gateway);
        tokio::spawn(async move { examine(&gateway, addr).await });
    }
}

/// Asks an engine, and goes on as long as it is slow.
async fn examine(gateway: &Arc<Gateway>, addr: SocketAddr) {
    let mut was_slow = false;
    loop {
        // One without a report is found dead by the streams over it.
        let Ok(report) = gateway.reports.get(&gateway.http, addr).await else {
            return;
        };
        let now = gateway.now();
        gateway.homes.report_memory(now, addr, &report);
        let is_slow = report.slowness >= SLOW;
        if is_slow != was_slow {
            info!(gateway.log, "engine's pace"; "engine" => %addr, "slow" => is_slow,
                "slowness" => report.slowness, "waiting" => report.waiting);
        }
        if !is_slow && !was_slow {
            return;
        }
        was_slow = is_slow;
        take(gateway, addr, report.slowness);
        gateway
            .homes
            .tell_slow(gateway, addr, report.slowness)
            .await;
        if !is_slow {
            return;
        }
        sleep(WATCH_INTERVAL).await;
    }
}

/// Takes how slow an engine is, from its report or from another instance.
pub fn take(gateway: &Gateway, addr: SocketAddr, slowness: f64) {
    let now = gateway.now();
    let is_news = gateway.slow.set(now, addr, slowness);
    gateway.homes.set_slowness(addr, slowness, now + BELIEVED);
    if is_news && slowness >= USELESS {
        // Nobody listens when no stream runs.
        let _ = gateway.faults.send(Fault::Leaving(addr));
    }
}
