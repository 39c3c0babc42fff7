//! What backend servers announce in their answers: that they leave, for how long they want no
//! request from this instance, and the limit for all instances together.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use parking_lot::Mutex;
use slog::info;

use hemlockwind_core::collections::SeededHashMap;
use hemlockwind_core::servers::BackendServer;
use hemlockwind_core::time::Instant;
use hemlockwind_platform::headers::ServerHeaders;

use crate::gateway::EngineFault;
use crate::gateway::Gateway;
use crate::limits;
use crate::merge;

/// Number of pauses from which those that are over are removed.
const MAX_PAUSES: usize = 4_096;

/// `Pauses` holds the servers that want no request from this instance for a time, by their ids.
#[derive(Default)]
pub struct Pauses {
    until: Mutex<SeededHashMap<Box<str>, Instant>>,
}

impl Pauses {
    /// Begins or extends a pause.
    fn set(&self, now: Instant, id: &str, until: Instant) {
        let mut pauses = self.until.lock();
        if pauses.len() >= MAX_PAUSES {
            pauses.retain(|_, end| *end > now);
        }
        let end = pauses.entry(id.into()).or_insert(until);
        *end = until.max(*end);
    }

    /// Returns the rest of a server's pause, if it has one.
    pub fn rest(&self, now: Instant, id: &str) -> Option<Duration> {
        let until = *self.until.lock().get(id)?;
        (until > now).then(|| until.since(now))
    }
}

/// Records what the server `id` at `addr` announced with an answer.
pub fn record(
    gateway: &Arc<Gateway>,
    (id, addr): (&str, SocketAddr),
    status: StatusCode,
    answered: &ServerHeaders,
) {
    if answered.is_leaving {
        record_leaving(gateway, id, addr);
    }
    limits::record(gateway, (id, addr), answered);
    if let (StatusCode::SERVICE_UNAVAILABLE, Some(time)) = (status, answered.retry_after) {
        let now = gateway.now();
        gateway.pauses.set(now, id, now + time);
        gateway.counters.add("servers_paused");
        if let Some(left_out) = gateway.lines.take(now, "paused") {
            info!(gateway.log, "server wants no requests"; "server" => id, "engine" => %addr,
                "ms" => time.as_millis() as u64, "left_out" => left_out);
        }
    }
}

/// Records that the server at the address of `server` is another one, as it answered 421.
pub fn record_misdirected(gateway: &Gateway, server: &BackendServer) {
    gateway.counters.add("servers_misdirected");
    let is_superseded = gateway.directory.write().refute(server);
    if let Some(left_out) = gateway.lines.take(gateway.now(), "misdirected") {
        info!(gateway.log, "another server at this address"; "server" => &*server.id,
            "engine" => %server.addr, "born" => server.born_ms,
            "is_superseded" => is_superseded, "left_out" => left_out);
    }
    if is_superseded {
        merge::refresh_queue_owners(gateway);
    }
}

/// Records that a server leaves, and notifies the streams of this instance and the other
/// instances.
fn record_leaving(gateway: &Arc<Gateway>, id: &str, addr: SocketAddr) {
    if !apply_leaving(gateway, id) {
        return;
    }
    let gateway = Arc::clone(gateway);
    let id = id.to_string();
    tokio::spawn(async move {
        let queue_owners = &gateway.queue_owners;
        queue_owners.notify_announced(&gateway, addr, &id).await;
    });
}

/// Records that a server leaves, as it announced to this or another instance. Returns whether
/// that was not known.
pub fn apply_leaving(gateway: &Gateway, id: &str) -> bool {
    let addr = {
        let mut directory = gateway.directory.write();
        if !directory.announce_leaving(id) {
            return false;
        }
        directory.get(id).map(|s| s.addr)
    };
    gateway.counters.add("servers_announced_leaving");
    info!(gateway.log, "server announced that it leaves"; "server" => id,
        "engine" => addr.map(|a| a.to_string()));
    merge::refresh_queue_owners(gateway);
    if let Some(addr) = addr {
        // Sending fails when no stream runs.
        let _ = gateway.faults.send(EngineFault::Leaving(addr));
    }
    true
}
