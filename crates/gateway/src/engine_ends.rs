//! Examines why the connections to an engine broke.
//!
//! All streams on an engine lose their connections at the same moment; one examination serves
//! them all.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use slog::info;
use tokio::sync::OnceCell;
use tokio::time::Instant;
use tokio::time::timeout_at;

use hemlockwind_backend::port;
use hemlockwind_backend::port::Port;
use hemlockwind_core::collections::HashMap;
use hemlockwind_core::servers::ServerState;

use crate::gateway::Gateway;

/// Time limit of an examination. Streams wait for it, and a sound engine answers within a few
/// milliseconds.
const EXAMINATION_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a result is reused: shorter than the time in which an engine restarts and ends again.
const RESULT_LIFETIME: Duration = Duration::from_millis(400);
/// Largest number of cached results.
const MAX_ENGINES: usize = 1_024;

/// `EndCause` says why the connections to an engine broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndCause {
    /// Its process ended without notice: nothing listens on its address any more, or a later
    /// process does.
    Crashed,
    /// It had announced that it leaves, or its entry had been removed.
    Left,
    /// It does not answer. Its machine or the link to it is lost.
    Unreachable,
    /// The same process still answers, so only connections were lost.
    Running,
}

/// `EngineEnd` is the result of an examination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineEnd {
    /// The cause.
    pub cause: EndCause,
    /// The id of the engine, and when the process that ended had started, in milliseconds since
    /// the Unix epoch. `None` if the engine has no entry.
    pub run: Option<(Arc<str>, u64)>,
}

type SharedEnd = Arc<OnceCell<EngineEnd>>;

/// `EngineEnds` caches the latest examinations.
#[derive(Default)]
pub struct EngineEnds {
    by_engine: Mutex<HashMap<SocketAddr, (Instant, SharedEnd)>>,
}

impl EngineEnds {
    /// Returns why the connections to the engine at `addr` broke. Concurrent callers share one
    /// examination.
    pub async fn examine(&self, gateway: &Gateway, addr: SocketAddr) -> EngineEnd {
        let shared = {
            let now = Instant::now();
            let mut by_engine = self.by_engine.lock();
            if by_engine.len() >= MAX_ENGINES {
                by_engine.retain(|_, (reused_until, _)| *reused_until > now);
            }
            let entry = by_engine.get(&addr).filter(|(until, _)| *until > now);
            match entry {
                Some((_, shared)) => Arc::clone(shared),
                None => {
                    let shared = SharedEnd::default();
                    by_engine.insert(addr, (now + RESULT_LIFETIME, Arc::clone(&shared)));
                    shared
                }
            }
        };
        let end = shared.get_or_init(|| examine_now(gateway, addr)).await;
        end.clone()
    }
}

async fn examine_now(gateway: &Gateway, addr: SocketAddr) -> EngineEnd {
    let entry = {
        let directory = gateway.directory.read();
        directory.at(addr).cloned()
    };
    let born_ms = entry.as_ref().map(|s| s.born_ms);
    let deadline = Instant::now() + EXAMINATION_TIMEOUT;
    let port = port::probe(addr, deadline).await;
    let report = match port {
        Port::Open => {
            let report = gateway.reports.get(&gateway.http, addr);
            timeout_at(deadline, report).await.ok().and_then(Result::ok)
        }
        Port::Closed | Port::Silent => None,
    };
    let cause = match (&entry, port) {
        (None, _) => EndCause::Left,
        (Some(s), Port::Closed) if s.state == ServerState::Leaving => EndCause::Left,
        (Some(_), Port::Closed) => EndCause::Crashed,
        (Some(_), Port::Silent) => EndCause::Unreachable,
        (Some(s), Port::Open) => match &report {
            Some(report) if report.born_ms > s.born_ms => EndCause::Crashed,
            Some(_) => EndCause::Running,
            None => EndCause::Unreachable,
        },
    };
    if let Some(left_out) = gateway.lines.take(gateway.now(), "engine_end") {
        info!(gateway.log, "engine connections broke"; "engine" => %addr,
            "cause" => ?cause, "port" => ?port, "born" => born_ms,
            "reported_born" => report.map(|r| r.born_ms), "left_out" => left_out);
    }
    EngineEnd {
        cause,
        run: entry.map(|s| (Arc::clone(&s.id), s.born_ms)),
    }
}
