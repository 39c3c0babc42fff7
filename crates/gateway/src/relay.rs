//! A running stream: passes events on as they come, and goes on over another path
//! when an engine of its path fails or leaves.
//!
//! Only whole events are passed on, each once, so that a run which breaks off in the
//! middle of an event can be followed by another one.

mod recover;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Frame;
use slog::info;
use tokio::sync::broadcast;
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep_until;

use hemlockwind_backend::http1::Exchange;
use hemlockwind_core::Error;
use hemlockwind_platform::engine::Report;
use hemlockwind_platform::headers;
use hemlockwind_telemetry::histograms::Measure;

use crate::events::Splitter;
use crate::gateway::Fault;
use crate::gateway::Gateway;
use crate::homes::Grant;
use crate::requests::Accepted;
use crate::slow;
use crate::streams;
use crate::streams::Sent;

/// Time beyond the longest wanted pause after which a stream is in doubt.
const DOUBT_MARGIN: Duration = Duration::from_millis(150);
/// The longest wanted pause of a route that does not say.
const PAUSE_DEFAULT: Duration = Duration::from_millis(200);
/// Time between two looks at a stream in doubt: reports are some hundred ms old.
const LOOK_AGAIN: Duration = Duration::from_millis(200);
/// Time beyond the deadline after which a stream is broken off.
const DEADLINE_GRACE: Duration = Duration::from_millis(200);
/// Time before a leaving engine's end by which streams have moved away.
const LEAVE_MARGIN: Duration = Duration::from_millis(200);

/// How one run of a stream ended.
enum End {
    /// With its last event.
    Complete,
    /// The caller is gone.
    CallerLeft,
    /// The deadline passed.
    Deadline,
    /// The connection to the first engine broke.
    Broken(Error),
    /// This engine of the path makes no progress.
    Dead(SocketAddr),
    /// This engine lives and holds the stream up: others of the path don't reach it.
    Unlinked(SocketAddr),
    /// No event came, for no known reason.
    Silent,
    /// This engine of the path leaves.
    Leaving(SocketAddr),
}

impl End {
    /// The reason, for a log line.
    fn why(&self) -> String {
        match self {
            Self::Complete => "complete".into(),
            Self::CallerLeft => "the caller left".into(),
            Self::Deadline => "the deadline passed".into(),
            Self::Broken(e) => e.to_string(),
            Self::Dead(addr) => format!("{addr} makes no progress"),
            Self::Unlinked(addr) => format!("{addr} is not reached by the path"),
            Self::Silent => "no event, for no known reason".into(),
            Self::Leaving(addr) => format!("{addr} leaves"),
        }
    }
}

/// `Relay` passes one stream on.
pub struct Relay {
    gateway: Arc<Gateway>,
    accepted: Accepted,
    grant: Option<Grant>,
    tx: mpsc::Sender<Sent>,
    faults: broadcast::Receiver<Fault>,
    /// First engines that this stream was sent to.
    firsts: Vec<SocketAddr>,
    sent: u32,
    /// The last event that was passed on.
    last: Option<u64>,
    events: u64,
    heard: Instant,
    /// Time from the request's arrival to the first event.
    first_ms: u64,
    /// When the last event was passed on.
    passed: Instant,
    /// The longest time between two events so far, and the event that ended it.
    longest: (Duration, u64),
    leave_at: Option<(Instant, SocketAddr)>,
    /// Until when a move waits for an engine in the data centre of the one that leaves: all
    /// tokens so far go over the link to another one.
    leave_by: Option<Instant>,
}

impl Relay {
    /// A relay for a stream that has begun on the path of `grant`.
    pub fn new(
        gateway: Arc<Gateway>,
        accepted: Accepted,
        grant: Grant,
        tx: mpsc::Sender<Sent>,
        sent: u32,
    ) -> Self {
        let faults = gateway.faults.subscribe();
        let first = grant.path.first().map(|s| s.addr);
        Self {
            last: accepted.asked.resume_after,
            gateway,
            accepted,
            grant: Some(grant),
            tx,
            faults,
            firsts: first.into_iter().collect(),
            sent,
            events: 0,
            heard: Instant::now(),
            first_ms: 0,
            passed: Instant::now(),
            longest: (Duration::ZERO, 0),
            leave_at: None,
            leave_by: None,
        }
    }

    /// Passes the stream on to its end.
    pub async fn run(mut self, exchange: Exchange) {
        let mut exchange = exchange;
        let outcome = loop {
            match self.pass(exchange).await {
                End::Complete => break "complete",
                End::CallerLeft => break "caller left",
                End::Deadline => {
                    self.fail("the deadline passed").await;
                    break "deadline";
                }
                end => {
                    self.log_broken(&end);
                    match self.resume(&end).await {
                        Some(next) => exchange = next,
                        None => {
                            self.fail("the stream broke off").await;
                            break "broken off";
                        }
                    }
                }
            }
        };
        self.finish(outcome);
    }

    /// Passes events on until this run ends.
    async fn pass(&mut self, exchange: Exchange) -> End {
        let (head, mut body, sender) = exchange.into_parts();
        let first = self.first();
        let mut splitter = Splitter::default();
        self.heard = Instant::now();
        let mut look_at = self.heard + self.doubt_after();
        loop {
            let leave_at = self.leave_at.map(|(at, _)| at);
            tokio::select! {
                biased;
                () = self.tx.closed() => return End::CallerLeft,
                frame = body.frame() => match frame {
                    Some(Ok(frame)) => {
                        let Ok(data) = frame.into_data() else { continue };
                        let before = self.heard;
                        if let Some(end) = self.on_data(&mut splitter, &data).await {
                            return end;
                        }
                        // Bytes without an event are no progress.
                        if self.heard != before {
                            look_at = Instant::now() + self.doubt_after();
                        }
                    }
                    Some(Err(e)) => return End::Broken(Error::backend_failed(e.to_string())),
                    None => return self.on_end(splitter, first, sender, &head).await,
                },
                fault = self.faults.recv() => if let Some(end) = self.on_fault(fault) {
                    if !self.replace(&end).await {
                        return end;
                    }
                    look_at = Instant::now() + self.doubt_after();
                },
                () = sleep_until(look_at) => {
                    look_at = Instant::now() + LOOK_AGAIN;
                    if let Some(end) = self.look().await {
                        if !self.replace(&end).await {
                            return end;
                        }
                        look_at = Instant::now() + self.doubt_after();
                    }
                }
                () = sleep_until(leave_at.unwrap_or(look_at + Duration::from_secs(60))) => {
                    if let Some((_, addr)) = self.leave_at.take()
                        && let Some(end) = self.move_away(addr).await
                    {
                        return end;
                    }
                }
                () = sleep_until(self.accepted.deadline + DEADLINE_GRACE) => return End::Deadline,
            }
        }
    }

    /// Passes on the whole events of `data`.
    async fn on_data(&mut self, splitter: &mut Splitter, data: &[u8]) -> Option<End> {
        if !splitter.push(data) {
            return Some(End::Broken(Error::backend_answer(
                "an event without an end",
            )));
        }
        while let Some(event) = splitter.next_event() {
            if let (Some(id), Some(last)) = (event.id, self.last) {
                if id <= last {
                    continue;
                }
                if id != last + 1 {
                    let e = Error::backend_answer(format!("event {id} follows {last}"));
                    return Some(End::Broken(e));
                }
            }
            if self.events == 0 {
                self.first_ms = self.accepted.arrived.elapsed().as_millis() as u64;
                streams::first_event(&self.gateway, &self.accepted);
            }
            let now = Instant::now();
            let pause = now - self.passed;
            if self.events > 0 && pause > self.longest.0 {
                self.longest = (pause, self.events);
            }
            if self.events > 0 && pause > self.gap_target() {
                let path = self.grant.iter().flat_map(|g| &g.path);
                slow::suspect(&self.gateway, path.map(|s| s.addr));
            }
            // Comments may come for ever from an engine that makes no token.
            if event.id.is_some() || (self.last.is_none() && event.has_data) {
                self.heard = now;
            }
            self.passed = now;
            self.events += 1;
            self.last = event.id.or(self.last);
            if self.tx.send(Ok(Frame::data(event.bytes))).await.is_err() {
                return Some(End::CallerLeft);
            }
        }
        None
    }

    /// The engine ended its answer as complete.
    async fn on_end(
        &mut self,
        splitter: Splitter,
        first: Option<SocketAddr>,
        sender: hemlockwind_backend::http1::Sender,
        head: &http::Response<()>,
    ) -> End {
        let rest = splitter.rest();
        if !rest.is_empty() {
            return End::Broken(Error::backend_answer("the last event has no end"));
        }
        if let Some(first) = first {
            self.gateway.http.finish(first, sender, head.headers());
        }
        End::Complete
    }

    /// Takes news about an engine.
    fn on_fault(&mut self, fault: Result<Fault, RecvError>) -> Option<End> {
        let grant = self.grant.as_ref()?;
        match fault {
            Ok(Fault::Dead(addr)) if grant.leads_over(addr) => Some(End::Dead(addr)),
            Ok(Fault::Leaving(addr)) if grant.leads_over(addr) && self.leave_at.is_none() => {
                // Streams move one after the other, and the shortest end before.
                let drain = self.gateway.settings.bounds.drain;
                let within = drain.saturating_sub(LEAVE_MARGIN);
                let wait = within.mul_f64(rand::random::<f64>());
                self.leave_at = Some((Instant::now() + wait, addr));
                self.leave_by = Some(Instant::now() + within);
                None
            }
            // Missed news is found again by the stream's own silence.
            Ok(_) | Err(RecvError::Lagged(_) | RecvError::Closed) => None,
        }
    }

    fn first(&self) -> Option<SocketAddr> {
        let grant = self.grant.as_ref()?;
        grant.path.first().map(|s| s.addr)
    }

    /// Time without an event after which the stream is in doubt.
    fn doubt_after(&self) -> Duration {
        let route = &self.accepted.route;
        match self.events {
            0 => route.target + DOUBT_MARGIN,
            _ => self.gap_target() + DOUBT_MARGIN,
        }
    }

    /// The longest time between two events with which the stream is on time.
    fn gap_target(&self) -> Duration {
        let route = &self.accepted.route;
        route.gap_target.unwrap_or(PAUSE_DEFAULT)
    }

    /// Breaks the caller's connection, so that the answer does not look complete.
    async fn fail(&self, why: &str) {
        // Nobody hears it when the caller is gone.
        let _ = self.tx.send(Err(std::io::Error::other(why))).await;
    }

    fn log_broken(&self, end: &End) {
        let gateway = &self.gateway;
        gateway.counters.add("streams_broken");
        if let Some(left_out) = gateway.lines.take(gateway.now(), "stream_broken") {
            info!(gateway.log, "stream broken"; "id" => &self.accepted.attempt,
                "why" => end.why(), "after" => self.last,
                "silent_ms" => self.heard.elapsed().as_millis() as u64,
                "path" => self.path_text(), "left_out" => left_out);
        }
    }

    fn log_doubt(&self, first: SocketAddr, silent: Duration, report: &Report) {
        let gateway = &self.gateway;
        if let Some(left_out) = gateway.lines.take(gateway.now(), "stream_in_doubt") {
            info!(gateway.log, "stream in doubt"; "id" => &self.accepted.attempt,
                "engine" => %first, "silent_ms" => silent.as_millis() as u64,
                "events" => self.events, "waiting" => report.waiting, "running" => report.running,
                "room" => report.room, "room_used" => report.room_used,
                "slowness" => report.slowness, "left_out" => left_out);
        }
    }

    fn path_text(&self) -> String {
        let grant = self.grant.as_ref();
        grant.map_or_else(String::new, |g| headers::path(&g.path))
    }

    fn finish(&self, outcome: &str) {
        let gateway = &self.gateway;
        let time = self.accepted.arrived.elapsed();
        gateway.histograms.record(
            Measure::Request,
            &self.accepted.organisation_name(),
            self.accepted.rank,
            time,
        );
        if let Some(left_out) = gateway.lines.take(gateway.now(), "stream") {
            info!(gateway.log, "stream"; "id" => &self.accepted.attempt,
                "route" => &*self.accepted.route.name, "routes" => self.accepted.version,
                "outcome" => outcome, "events" => self.events, "sent" => self.sent,
                "first_ms" => self.first_ms, "longest_pause_ms" => self.longest.0.as_millis() as u64,
                "after_event" => self.longest.1,
                "path" => self.path_text(), "ms" => time.as_millis() as u64,
                "left_out" => left_out);
        }
    }
}
