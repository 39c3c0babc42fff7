//! Relays the events of a running stream, and continues it on another path when an engine
//! of its path fails or leaves.
//!
//! Only whole events are passed on, each once, so that another run can continue after one
//! that breaks off in the middle of an event.

mod recover;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Frame;
use hyper::body::Incoming;
use slog::info;
use tokio::sync::broadcast;
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep_until;

use hemlockwind_backend::http1::Exchange;
use hemlockwind_backend::http1::Sender;
use hemlockwind_core::Error;
use hemlockwind_platform::engine::Report;
use hemlockwind_platform::headers;
use hemlockwind_platform::headers::Stage;
use hemlockwind_telemetry::histograms::Measure;

use crate::events::Splitter;
use crate::gateway::EngineFault;
use crate::gateway::Gateway;
use crate::in_progress::Phase;
use crate::queue_owners::Grant;
use crate::relay::recover::Search;
use crate::requests::Accepted;
use crate::slow;
use crate::streams;
use crate::streams::BodyFrame;
use crate::streams::SentTo;

/// Time beyond its target, for the first event or for a pause, after which a stream counts
/// as stalled.
const STALL_MARGIN: Duration = Duration::from_millis(150);
/// The target for the longest pause between two events of a route that sets none.
const DEFAULT_GAP_TARGET: Duration = Duration::from_millis(200);
/// Interval between two checks of a stalled stream; reports are a few hundred ms old.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time beyond the deadline after which a stream is broken off.
const DEADLINE_GRACE: Duration = Duration::from_millis(200);
/// Streams have moved away from a leaving engine this long before its end.
const MOVE_MARGIN: Duration = Duration::from_millis(200);

/// `End` says how one run of a stream ended.
enum End {
    /// The last event was passed on.
    Complete,
    /// The caller left.
    CallerLeft,
    /// The deadline passed.
    Deadline,
    /// The connection to the first engine broke.
    Broken(Error),
    /// Another run has begun.
    Moved(Run),
}

/// `Run` is a run whose answer has begun.
struct Run {
    head: Response<()>,
    body: Incoming,
    sender: Sender,
    /// Frames that were read already.
    read_ahead: VecDeque<FrameResult>,
}

/// The next frame of a body, or `None` at its end.
type FrameResult = Option<Result<Frame<Bytes>, hyper::Error>>;

impl From<Exchange> for Run {
    fn from(exchange: Exchange) -> Self {
        let (head, body, sender) = exchange.into_parts();
        Self {
            head,
            body,
            sender,
            read_ahead: VecDeque::new(),
        }
    }
}

impl Run {
    /// Returns the next frame. Nothing is lost if this function is cancelled.
    async fn frame(&mut self) -> FrameResult {
        match self.read_ahead.pop_front() {
            Some(frame) => frame,
            None => self.body.frame().await,
        }
    }
}

/// `Doubt` says why a run may have failed that has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Doubt {
    /// This engine of the path makes no progress.
    Dead(SocketAddr),
    /// This engine answers but stalls the stream: other engines of the path can't reach
    /// it.
    Unreachable(SocketAddr),
    /// No event arrived, and no cause was found.
    Silent,
}

impl Doubt {
    /// Returns the reason, for a log line.
    fn reason(self) -> String {
        match self {
            Self::Dead(addr) => format!("{addr} makes no progress"),
            Self::Unreachable(addr) => format!("{addr} is not reached by the path"),
            Self::Silent => "no event, and no cause found".into(),
        }
    }
}

/// `Relay` passes the events of one stream on to its caller.
pub struct Relay {
    gateway: Arc<Gateway>,
    accepted: Accepted,
    grant: Option<Grant>,
    /// The path of the present run; that of `grant` may already be the next one.
    path: Vec<Stage>,
    tx: mpsc::Sender<BodyFrame>,
    faults: broadcast::Receiver<EngineFault>,
    /// The engines that this stream was sent to as the first of a path.
    first_engines: Vec<SocketAddr>,
    /// The number of engines that crashed before the first event.
    crashes: u32,
    /// How many times the request was sent without a refusal; failed resumes don't count.
    sent: u32,
    /// The id of the last event that was passed on.
    last_event: Option<u64>,
    /// Whether the last data that was passed on has no id, so that no other run can continue
    /// after it.
    is_unnumbered: bool,
    /// Number of events that were passed on.
    events: u64,
    /// Number of events that were passed on before the present run.
    events_before: u64,
    /// When the stream last made progress: a run began, or an event that counts as progress
    /// arrived. A reroute is none: the caller sees nothing of it and does not wait longer.
    progress_at: Instant,
    /// Milliseconds from the request's arrival to the first event.
    first_ms: u64,
    /// When the last event was passed on.
    passed_at: Instant,
    /// The longest pause between two events so far, and the number of events before it.
    longest_pause: (Duration, u64),
    /// When to move away from a leaving engine, and its address.
    move_at: Option<(Instant, SocketAddr)>,
    /// Until this time a move waits for an engine in the data centre of the leaving one;
    /// a move to another data centre sends all tokens so far over the link.
    local_until: Option<Instant>,
    /// The search for the next run while the present one is in doubt.
    search: Option<Search>,
}

impl Relay {
    /// Returns a relay for a stream that has begun on the path of `grant`, after the request was
    /// `sent`.
    pub fn new(
        gateway: Arc<Gateway>,
        accepted: Accepted,
        grant: Grant,
        tx: mpsc::Sender<BodyFrame>,
        sent: SentTo,
    ) -> Self {
        let faults = gateway.faults.subscribe();
        Self {
            last_event: accepted.client.resume_after,
            gateway,
            accepted,
            path: grant.path.clone(),
            grant: Some(grant),
            tx,
            faults,
            first_engines: sent.first_engines,
            crashes: 0,
            sent: sent.times,
            is_unnumbered: false,
            events: 0,
            events_before: 0,
            progress_at: Instant::now(),
            first_ms: 0,
            passed_at: Instant::now(),
            longest_pause: (Duration::ZERO, 0),
            move_at: None,
            local_until: None,
            search: None,
        }
    }

    /// Passes the stream on until it ends.
    pub async fn run(mut self, exchange: Exchange) {
        let mut run = Run::from(exchange);
        let outcome = loop {
            match self.pass_events(run).await {
                End::Complete => break "complete",
                End::CallerLeft => break "caller left",
                End::Moved(next) => run = next,
                End::Deadline => {
                    self.fail(Error::outcome_unknown("the deadline passed"))
                        .await;
                    break "deadline";
                }
                End::Broken(e) => {
                    self.log_broken(&e.to_string());
                    self.accepted.progress.set_phase(Phase::Resuming);
                    match self.resume().await {
                        Ok(next) => run = Run::from(next),
                        Err(e) => {
                            self.fail(e).await;
                            break "broken off";
                        }
                    }
                }
            }
        };
        self.accepted.progress.set_phase(Phase::Answering);
        self.finish(outcome);
    }

    /// Records that a run has begun on the granted path.
    fn begin_run(&mut self) {
        self.path = self
            .grant
            .as_ref()
            .map(|g| g.path.clone())
            .unwrap_or_default();
        self.progress_at = Instant::now();
        self.move_at = None;
        self.search = None;
        self.events_before = self.events;
        self.set_phase();
    }

    /// Records what the stream waits for while a run is read.
    fn set_phase(&self) {
        let events = self.events - self.events_before;
        self.accepted
            .progress
            .set_phase(match (self.search, events) {
                (Some(_), _) => Phase::Searching,
                (None, 0) => Phase::Starting,
                (None, _) => Phase::Running,
            });
    }

    /// Passes events on until this run ends.
    async fn pass_events(&mut self, mut run: Run) -> End {
        self.begin_run();
        let first = self.first_engine();
        let mut splitter = Splitter::default();
        let mut check_at = self.progress_at + self.stall_limit();
        loop {
            let move_at = self.move_at.map(|(at, _)| at);
            let search_at = self.search.map(|search| search.at);
            let wait_end = self.wait_end();
            tokio::select! {
                biased;
                () = self.tx.closed() => return End::CallerLeft,
                frame = run.frame() => match frame {
                    Some(Ok(frame)) => {
                        let Ok(data) = frame.into_data() else { continue };
                        let before = self.progress_at;
                        if let Some(end) = self.on_data(&mut splitter, &data).await {
                            return end;
                        }
                        // Bytes without a whole event are no progress.
                        if self.progress_at != before {
                            self.end_search();
                            check_at = Instant::now() + self.stall_limit();
                        }
                    }
                    Some(Err(e)) => return End::Broken(Error::backend_failed(e.to_string())),
                    None => return self.on_end(splitter, first, run.sender, &run.head).await,
                },
                fault = self.faults.recv(), if search_at.is_none() => if let Some(doubt) = self.on_fault(fault) {
                    if !self.try_repath(doubt).await {
                        self.search_next_run(doubt);
                    }
                    check_at = Instant::now() + self.stall_limit();
                },
                () = sleep_until(check_at), if search_at.is_none() => {
                    check_at = Instant::now() + STALL_CHECK_INTERVAL;
                    if let Some(doubt) = self.check_stall().await {
                        if !self.try_repath(doubt).await {
                            self.search_next_run(doubt);
                        }
                        check_at = Instant::now() + self.stall_limit();
                    }
                }
                () = sleep_until(search_at.unwrap_or(check_at)), if search_at.is_some() => {
                    if let Some(next) = self.continue_search(&mut run).await {
                        return End::Moved(next);
                    }
                }
                () = sleep_until(move_at.unwrap_or(check_at)), if move_at.is_some() && search_at.is_none() => {
                    if let Some((_, addr)) = self.move_at.take()
                        && let Some(end) = self.move_away(addr).await
                    {
                        return end;
                    }
                }
                () = sleep_until(wait_end), if search_at.is_some() => {
                    return End::Broken(Error::backend_failed("no event while callers wait"));
                }
                () = sleep_until(self.accepted.deadline + DEADLINE_GRACE) => return End::Deadline,
            }
        }
    }

    /// Passes on the events that `data` completes. Returns why the run ended, if it did.
    async fn on_data(&mut self, splitter: &mut Splitter, data: &[u8]) -> Option<End> {
        if !splitter.push(data) {
            return Some(End::Broken(Error::backend_answer(
                "an event exceeds the size limit",
            )));
        }
        while let Some(event) = splitter.next_event() {
            if let Some(last_event) = self.last_event {
                match event.id {
                    Some(id) if id <= last_event => continue,
                    Some(id) if id != last_event + 1 => {
                        let e = Error::backend_answer(format!("event {id} follows {last_event}"));
                        return Some(End::Broken(e));
                    }
                    // Once it is passed on, a run that continues after `last_event` repeats it.
                    None if event.has_data => {
                        let e = format!("an event without a readable id follows {last_event}");
                        return Some(End::Broken(Error::backend_answer(e)));
                    }
                    Some(_) | None => {}
                }
            }
            if self.events == self.events_before {
                self.accepted.progress.set_phase(Phase::Running);
            }
            if self.events == 0 {
                self.first_ms = self.accepted.arrived.elapsed().as_millis() as u64;
                streams::record_first_event(&self.gateway, &self.accepted);
            }
            let now = Instant::now();
            let pause = now - self.passed_at;
            if self.events > 0 && pause > self.longest_pause.0 {
                self.longest_pause = (pause, self.events);
            }
            if self.events > 0 && pause > self.gap_target() {
                slow::check_path(&self.gateway, self.path.iter().map(|s| s.addr));
            }
            // An engine that generates no token may send comments without end.
            if event.id.is_some() || (self.last_event.is_none() && event.has_data) {
                self.progress_at = now;
            }
            self.passed_at = now;
            self.events += 1;
            self.last_event = event.id.or(self.last_event);
            if event.id.is_some() || event.has_data {
                self.is_unnumbered = event.id.is_none();
            }
            if self.tx.send(Ok(Frame::data(event.bytes))).await.is_err() {
                return Some(End::CallerLeft);
            }
        }
        None
    }

    /// Handles the regular end of the engine's answer.
    async fn on_end(
        &mut self,
        splitter: Splitter,
        first: Option<SocketAddr>,
        sender: Sender,
        head: &Response<()>,
    ) -> End {
        let rest = splitter.rest();
        if !rest.is_empty() {
            return End::Broken(Error::backend_answer("the last event is incomplete"));
        }
        // The end of the connection ends such an answer, also if the engine has ended too early.
        let is_framed = head.headers().contains_key(header::CONTENT_LENGTH)
            || head.headers().contains_key(header::TRANSFER_ENCODING);
        if self.events == 0 && !is_framed {
            return End::Broken(Error::backend_answer("no event, and no length"));
        }
        if let Some(first) = first {
            self.gateway.http.finish(first, sender, head.headers());
        }
        End::Complete
    }

    /// Handles a fault of an engine. Returns why the run is in doubt, if it is.
    fn on_fault(&mut self, fault: Result<EngineFault, RecvError>) -> Option<Doubt> {
        let uses_engine = |addr| self.path.iter().any(|s| s.addr == addr);
        match fault {
            Ok(EngineFault::Dead(addr)) if uses_engine(addr) => Some(Doubt::Dead(addr)),
            Ok(EngineFault::Leaving(addr)) if uses_engine(addr) && self.move_at.is_none() => {
                // The moves are spread at random over the drain time; a short stream may end
                // before its move is due.
                let drain = self.gateway.settings.bounds.drain;
                let within = drain.saturating_sub(MOVE_MARGIN);
                let wait = within.mul_f64(rand::random::<f64>());
                self.move_at = Some((Instant::now() + wait, addr));
                self.local_until = Some(Instant::now() + within);
                None
            }
            // A fault whose message was missed shows as a stall of the stream.
            Ok(_) | Err(RecvError::Lagged(_) | RecvError::Closed) => None,
        }
    }

    fn first_engine(&self) -> Option<SocketAddr> {
        self.path.first().map(|s| s.addr)
    }

    /// Returns when the caller leaves if there is no progress until then.
    fn wait_end(&self) -> Instant {
        self.progress_at + streams::wait_limit(&self.accepted)
    }

    /// Returns the time without progress after which the stream counts as stalled.
    fn stall_limit(&self) -> Duration {
        let route = &self.accepted.route;
        match self.events {
            0 => route.target + STALL_MARGIN,
            _ => self.gap_target() + STALL_MARGIN,
        }
    }

    /// Returns the longest pause between two events with which the stream is on time.
    fn gap_target(&self) -> Duration {
        let route = &self.accepted.route;
        route.gap_target.unwrap_or(DEFAULT_GAP_TARGET)
    }

    /// Ends the answer with an error. If events were passed on, this breaks the caller's
    /// connection, so that the answer does not look complete.
    async fn fail(&self, e: Error) {
        // Sending fails when the caller has left.
        let _ = self.tx.send(Err(e)).await;
    }

    fn log_broken(&self, why: &str) {
        let gateway = &self.gateway;
        gateway.counters.add("streams_broken");
        if let Some(left_out) = gateway.lines.take(gateway.now(), "stream_broken") {
            info!(gateway.log, "stream broken"; "id" => &self.accepted.attempt,
                "why" => why, "after" => self.last_event,
                "begun" => self.events > 0, "parts" => self.accepted.client.shared_parts.join(","),
                "silent_ms" => self.progress_at.elapsed().as_millis() as u64,
                "path" => self.path_text(), "left_out" => left_out);
        }
    }

    fn log_stall(&self, first: SocketAddr, silent: Duration, report: &Report) {
        let gateway = &self.gateway;
        if let Some(left_out) = gateway.lines.take(gateway.now(), "stream_in_doubt") {
            info!(gateway.log, "stream stalled"; "id" => &self.accepted.attempt,
                "engine" => %first, "silent_ms" => silent.as_millis() as u64,
                "events" => self.events, "waiting" => report.waiting, "running" => report.running,
                "room" => report.capacity, "room_used" => report.capacity_used,
                "slowness" => report.slowness, "left_out" => left_out);
        }
    }

    fn path_text(&self) -> String {
        headers::path(&self.path)
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
                "first_ms" => self.first_ms, "longest_pause_ms" => self.longest_pause.0.as_millis() as u64,
                "after_event" => self.longest_pause.1,
                "path" => self.path_text(), "ms" => time.as_millis() as u64,
                "left_out" => left_out);
        }
    }
}
