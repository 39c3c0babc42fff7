//! What backend servers announce in their answers: that they leave, for how long they want no
//! request from this instance, and the limit for all instances together.

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

/// `Pause` is the time in which one process of a server wants no requests from this instance.
#[derive(Clone, Copy, Debug)]
struct Pause {
    born_ms: u64,
    until: Instant,
}

/// `Pauses` holds the pauses of servers, by their ids.
#[derive(Default)]
pub struct Pauses {
    by_id: Mutex<SeededHashMap<Arc<str>, Pause>>,
}

impl Pauses {
    /// Begins or extends the pause of a server.
    fn set(&self, now: Instant, server: &BackendServer, until: Instant) {
        let mut pauses = self.by_id.lock();
        if pauses.len() >= MAX_PAUSES {
            pauses.retain(|_, pause| pause.until > now);
        }
        let begun = Pause {
            born_ms: server.born_ms,
            until,
        };
        match pauses.get_mut(&server.id) {
            // A late answer of an earlier process.
            Some(pause) if begun.born_ms < pause.born_ms => {}
            Some(pause) if begun.born_ms == pause.born_ms => pause.until = until.max(pause.until),
            Some(pause) => *pause = begun,
            None => drop(pauses.insert(Arc::clone(&server.id), begun)),
        }
    }

    /// Returns the rest of a server's pause, if it has one. That of an earlier process of its id is
    /// over.
    pub fn rest(&self, now: Instant, server: &BackendServer) -> Option<Duration> {
        let pause = *self.by_id.lock().get(&server.id)?;
        let is_valid = pause.born_ms == server.born_ms && pause.until > now;
        is_valid.then(|| pause.until.since(now))
    }
}

/// Records what a server announced with an answer to a request that was sent to this process of it.
pub fn record(
    gateway: &Arc<Gateway>,
    server: &BackendServer,
    status: StatusCode,
    answered: &ServerHeaders,
) {
    if answered.is_leaving {
        record_leaving(gateway, server);
    }
    limits::record(gateway, (&server.id, server.addr), answered);
    if let (StatusCode::SERVICE_UNAVAILABLE, Some(time)) = (status, answered.retry_after) {
        let now = gateway.now();
        gateway.pauses.set(now, server, now + time);
        gateway.counters.add("servers_paused");
        if let Some(left_out) = gateway.lines.take(now, "paused") {
            info!(gateway.log, "server wants no requests"; "server" => &*server.id,
                "engine" => %server.addr, "ms" => time.as_millis() as u64, "left_out" => left_out);
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
fn record_leaving(gateway: &Arc<Gateway>, server: &BackendServer) {
    if !apply_leaving(gateway, &server.id, server.born_ms) {
        return;
    }
    let gateway = Arc::clone(gateway);
    let server = server.clone();
    tokio::spawn(async move {
        let queue_owners = &gateway.queue_owners;
        queue_owners.notify_announced(&gateway, &server).await;
    });
}

/// Records that the process of a server that started at `born_ms` leaves, as it announced to this or
/// another instance. Returns whether
/// that was not known.
pub fn apply_leaving(gateway: &Gateway, id: &str, born_ms: u64) -> bool {
    let addr = {
        let mut directory = gateway.directory.write();
        if !directory.announce_leaving(id, born_ms) {
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
