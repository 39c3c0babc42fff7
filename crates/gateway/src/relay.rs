//! A running stream: passes events on as they come, and goes on over another path
//! when an engine of its path fails or leaves.
//!
//! Only whole events are passed on, each once, so that a run which breaks off in the
//! middle of an event can be followed by another one.

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
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

use hemlockwind_backend::http1::Exchange;
use hemlockwind_core::Error;
use hemlockwind_core::routes::Repeat;
use hemlockwind_paths::home::Crossing;
use hemlockwind_paths::home::Detour;
use hemlockwind_platform::engine;
use hemlockwind_platform::engine::Ordered;
use hemlockwind_platform::engine::Report;
use hemlockwind_platform::headers;
use hemlockwind_telemetry::histograms::Measure;

use crate::events::Splitter;
use crate::gateway::Fault;
use crate::gateway::Gateway;
use crate::homes::Ask;
use crate::homes::Grant;
use crate::requests::Accepted;
use crate::slow;
use crate::streams;
use crate::streams::Refused;
use crate::streams::Sent;
use crate::streams::Start;

/// Time beyond the longest wanted pause after which a stream is in doubt.
const DOUBT_MARGIN: Duration = Duration::from_millis(150);
/// The longest wanted pause of a route that does not say.
const PAUSE_DEFAULT: Duration = Duration::from_millis(200);
/// Time in which an engine must tell of a stream in doubt: far beyond the delay inside a
/// region, and short beside the caller's patience.
const LOOK_TIME: Duration = Duration::from_millis(300);
/// Time between two looks at a stream in doubt: reports are some hundred ms old.
const LOOK_AGAIN: Duration = Duration::from_millis(200);
/// The part of the caller's patience after which a silent stream goes on elsewhere
/// without a known cause: what is left has to suffice for another start.
const GIVE_UP_PART: f64 = 0.75;
/// The first time between two tries to go on, and the longest; each is twice the one
/// before.
const RESUME_PAUSE: Duration = Duration::from_millis(60);
const RESUME_PAUSE_LIMIT: Duration = Duration::from_millis(240);
/// Time in which an engine that is said to hold a stream up must answer.
const ACCUSED_TIME: Duration = Duration::from_millis(150);
/// Tries to go on over other engines behind the same first one, before the stream is sent
/// again.
const REPATH_TRIES: u32 = 2;
/// Time beyond the deadline after which a stream is broken off.
const DEADLINE_GRACE: Duration = Duration::from_millis(200);
/// Time between two tries to find a path away from a leaving engine.
const LEAVE_AGAIN: Duration = Duration::from_millis(250);
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
                        if let Some(end) = self.on_data(&mut splitter, &data).await {
                            return end;
                        }
                        look_at = Instant::now() + self.doubt_after();
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
            self.passed = now;
            self.heard = now;
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

    /// Looks why no event comes.
    async fn look(&mut self) -> Option<End> {
        let first = self.first()?;
        self.gateway.counters.add("streams_in_doubt");
        let report = tokio::select! {
            biased;
            () = self.tx.closed() => return Some(End::CallerLeft),
            report = timeout(LOOK_TIME, self.gateway.reports.get(&self.gateway.http, first)) => {
                report.unwrap_or_else(|_| Err(Error::backend_unreachable(first.to_string())))
            }
        };
        let silent = self.heard.elapsed();
        match report {
            Err(e) => {
                info!(self.gateway.log, "engine without report"; "id" => &self.accepted.attempt,
                    "engine" => %first, "error" => %e, "silent_ms" => silent.as_millis() as u64);
                Some(End::Dead(first))
            }
            Ok(report) => {
                let stalled = report
                    .stalled
                    .iter()
                    .find(|(id, _)| *id == self.accepted.attempt);
                if let Some((_, addr)) = stalled {
                    return Some(self.accused(*addr).await);
                }
                self.log_doubt(first, silent, &report);
                let patience = streams::patience(&self.accepted);
                (silent >= patience.mul_f64(GIVE_UP_PART)).then_some(End::Silent)
            }
        }
    }

    /// Moves away from an engine that leaves. The run goes on until there is another path.
    async fn move_away(&mut self, addr: SocketAddr) -> Option<End> {
        let is_moved = match self.first() == Some(addr) {
            true => {
                if self.find_path(true).await {
                    return Some(End::Leaving(addr));
                }
                false
            }
            false => {
                let is_late = self.leave_by.is_none_or(|by| Instant::now() >= by);
                let crossing = if is_late {
                    Crossing::Free
                } else {
                    Crossing::NoMore
                };
                self.repath(true, crossing).await
            }
        };
        if !is_moved {
            // Many streams wait for the same new engine; they come to it one by one.
            let again = LEAVE_AGAIN.mul_f64(0.5 + 2.0 * rand::random::<f64>());
            self.leave_at = Some((Instant::now() + again, addr));
        }
        None
    }

    /// Has the first engine go on with the stream where a later one has died. Returns
    /// whether it does; if not, the stream has to be sent again.
    async fn replace(&mut self, end: &End) -> bool {
        let (by, addr) = match *end {
            End::Dead(addr) if self.first() != Some(addr) => (Crossing::Free, addr),
            End::Unlinked(addr) => (Crossing::None, addr),
            _ => return false,
        };
        if by == Crossing::Free {
            streams::dead(&self.gateway, addr);
        }
        for _ in 0..REPATH_TRIES {
            if self.repath(false, by).await {
                self.heard = Instant::now();
                return true;
            }
            sleep(RESUME_PAUSE).await;
        }
        false
    }

    /// What is wrong when the first engine says that `addr` holds the stream up. Behind a
    /// cut an engine that lives can't be reached by others of the path.
    async fn accused(&self, addr: SocketAddr) -> End {
        let gateway = &self.gateway;
        let crosses = {
            let directory = gateway.directory.read();
            let path = self.grant.iter().flat_map(|g| &g.path);
            let mut places = path.filter_map(|s| Some(&directory.get(&s.id)?.data_centre));
            let first = places.next();
            places.any(|d| Some(d) != first)
        };
        if !crosses {
            return End::Dead(addr);
        }
        let asked = gateway.reports.get(&gateway.http, addr);
        match timeout(ACCUSED_TIME, asked).await {
            Ok(Ok(_)) => End::Unlinked(addr),
            Ok(Err(_)) | Err(_) => End::Dead(addr),
        }
    }

    /// Puts the stream on another path with the same first engine, where only the new
    /// engines read its tokens again.
    async fn repath(&mut self, must_fit: bool, crossing: Crossing) -> bool {
        let gateway = Arc::clone(&self.gateway);
        let Some(grant) = self.grant.as_mut() else {
            return false;
        };
        let by = Detour {
            must_fit,
            keeps_first: true,
            crossing,
        };
        let before = headers::path(&grant.path);
        if !gateway.homes.detour(&gateway, grant, by).await {
            return false;
        }
        let path = headers::path(&grant.path);
        if path == before {
            return false;
        }
        let ordered = engine::repath(&gateway.http, &self.accepted.attempt, &grant.path).await;
        gateway.counters.add(match ordered {
            Ordered::Accepted => "streams_repathed",
            Ordered::Refused(_) | Ordered::Outdated | Ordered::Busy | Ordered::Unknown(_) => {
                "repaths_refused"
            }
        });
        if let Some(left_out) = gateway.lines.take(gateway.now(), "stream_repathed") {
            info!(gateway.log, "stream on another path"; "id" => &self.accepted.attempt,
                "before" => before, "path" => path, "outcome" => format!("{ordered:?}"),
                "events" => self.events, "left_out" => left_out);
        }
        ordered == Ordered::Accepted
    }

    /// Goes on over another path, after the last event that was passed on.
    async fn resume(&mut self, end: &End) -> Option<Exchange> {
        match end {
            End::Dead(addr) => streams::dead(&self.gateway, *addr),
            End::Broken(_) => {
                if let Some(first) = self.first() {
                    self.gateway.homes.shun_for(
                        self.gateway.now(),
                        first,
                        Duration::from_millis(500),
                    );
                }
            }
            End::Silent | End::Leaving(_) | End::Unlinked(_) => {}
            End::Complete | End::CallerLeft | End::Deadline => return None,
        }
        let resumable = Repeat::Stream { resumable: true };
        if self.accepted.route.repeat != resumable {
            return None;
        }
        self.leave_at = None;
        // As long as the caller waits there is no reason to end its answer.
        let mut pause = RESUME_PAUSE;
        let mut has_path = matches!(end, End::Leaving(_));
        while Instant::now() < self.accepted.deadline && !self.tx.is_closed() {
            if has_path || self.find_path(false).await {
                has_path = false;
                if let Some(exchange) = self.try_resume().await {
                    return Some(exchange);
                }
            }
            sleep(pause).await;
            pause = (pause * 2).min(RESUME_PAUSE_LIMIT);
        }
        None
    }

    /// Takes another path, from the home that granted the first one or from a later one.
    async fn find_path(&mut self, must_fit: bool) -> bool {
        let by = Detour {
            must_fit,
            keeps_first: false,
            crossing: Crossing::Free,
        };
        if let Some(grant) = self.grant.as_mut()
            && self.gateway.homes.detour(&self.gateway, grant, by).await
        {
            return true;
        }
        let now = self.gateway.now();
        let ask = Ask {
            service: Arc::clone(&self.accepted.service),
            organisation: self.accepted.organisation_name(),
            rank: self.accepted.rank,
            tokens: streams::tokens(&self.accepted),
            on_time_by: now,
            latest: now,
            may_wait: false,
        };
        match self.gateway.homes.ask(&self.gateway, &ask).await {
            Ok(grant) => {
                self.grant = Some(grant);
                true
            }
            // The engine's refusal or the next try tells when there is one.
            Err(_) => false,
        }
    }

    /// Sends the request once more, `None` when that has to be tried again.
    async fn try_resume(&mut self) -> Option<Exchange> {
        let path = self
            .grant
            .as_ref()
            .map(|g| g.path.clone())
            .unwrap_or_default();
        let first = path.first().map(|s| s.addr)?;
        let is_new = !self.firsts.contains(&first);
        let attempts = self.accepted.route.attempts as usize;
        // An engine without an entry may still serve for many seconds, so all count.
        if is_new && self.firsts.len() >= attempts {
            // Another path may begin at an engine that the stream was sent to before.
            return None;
        }
        if !self.gateway.may_retry(&self.accepted.service) {
            return None;
        }
        let start = Start::again(&self.gateway, &self.accepted, self.sent);
        match start.open(&path, self.last).await {
            Ok(exchange) => {
                self.sent += 1;
                if is_new {
                    self.firsts.push(first);
                }
                Some(exchange)
            }
            Err(Refused::NotRun(at_fault, _)) => {
                if let Some(grant) = self.grant.as_ref() {
                    let homes = &self.gateway.homes;
                    homes
                        .refused(&self.gateway, grant, at_fault, RESUME_PAUSE * 2)
                        .await;
                }
                None
            }

            Err(Refused::Own(_) | Refused::Failed(..)) => None,
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
