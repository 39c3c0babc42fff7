//! Continues a running stream when an engine of its path fails, leaves or stops
//! responding: behind the same first engine where that is possible, else by another run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use slog::info;
use tokio::sync::broadcast;
use tokio::sync::broadcast::error::RecvError;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;
use tokio::time::timeout_at;

use hemlockwind_backend::http1::Exchange;
use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::attempt::Attempt;
use hemlockwind_core::routes::Repeat;
use hemlockwind_paths::queue_owner::Crossing;
use hemlockwind_paths::queue_owner::Reroute;
use hemlockwind_platform::engine;
use hemlockwind_platform::engine::OrderOutcome;
use hemlockwind_platform::headers;
use hemlockwind_platform::headers::Stage;
use hemlockwind_protocol::peer::paths as message;

use crate::engine_ends::EndCause;
use crate::gateway::EngineFault;
use crate::gateway::Gateway;
use crate::quarantine;
use crate::queue_owners::Grant;
use crate::queue_owners::PathRequest;
use crate::relay::Doubt;
use crate::relay::End;
use crate::relay::Relay;
use crate::relay::Run;
use crate::streams;
use crate::streams::OpenError;
use crate::streams::Start;

/// Time limit for the first engine's report on a stalled stream: far above the latency
/// inside a region, and short compared with the time that callers wait.
const STALL_REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Share of the caller's wait limit after which a stalled stream is continued elsewhere
/// without a known cause: the rest has to suffice for another start.
const GIVE_UP_RATIO: f64 = 0.75;
/// Time limit for the first bytes of a run that begins away from an engine that leaves: the present
/// run is not read meanwhile.
const MOVE_TIMEOUT: Duration = Duration::from_millis(800);
/// The name of the field that holds an event's data.
const EVENT_DATA: &[u8] = b"data:";
/// Number of frames without an event that are kept while another run is opened.
const MAX_READ_AHEAD: usize = 16;
/// Time limit for the answer of an engine that is reported to stall a stream.
const REACHABILITY_TIMEOUT: Duration = Duration::from_millis(150);
/// Base interval between attempts to find a path away from a leaving engine; each is
/// varied at random.
const MOVE_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Lower bound of the time limit for the first engine's answer to another path, for a stream
/// that has been silent for long: far above the latency inside a region.
const MIN_ORDER_TIMEOUT: Duration = Duration::from_millis(150);
/// How long an engine is excluded from new work after its connection broke.
const LOST_EXCLUSION: Duration = Duration::from_millis(500);
/// Attempts to continue behind the same first engine before the stream is sent again.
const REPATH_ATTEMPTS: u32 = 2;
/// The first pause between two attempts to resume; it doubles up to the longest one.
const RESUME_PAUSE: Duration = Duration::from_millis(60);
/// Number of engines that may crash before a stream's first event: it may be the cause.
const MAX_CRASHES: u32 = 2;
/// The longest pause between two attempts to resume.
const MAX_RESUME_PAUSE: Duration = Duration::from_millis(240);

/// `Search` is the search for the next run while the present one is in doubt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Search {
    /// When to try next.
    pub at: Instant,
    /// The pause after the next try.
    pause: Duration,
}

/// `Found` says how a path for the next run was found.
enum Found {
    /// The queue entry was moved to it.
    Rerouted,
    /// There is a new queue entry.
    NewEntry {
        /// The entry before.
        previous: Option<Grant>,
    },
}

impl Relay {
    /// Checks why the stream is stalled. Returns why the run is in doubt, if it is.
    pub(super) async fn check_stall(&mut self) -> Option<Doubt> {
        let first = self.first_engine()?;
        self.gateway.counters.add("streams_in_doubt");
        let report = tokio::select! {
            biased;
            () = self.tx.closed() => return None,
            report = timeout(STALL_REPORT_TIMEOUT, self.gateway.reports.get(&self.gateway.http, first)) => {
                report.unwrap_or_else(|_| Err(Error::backend_unreachable(first.to_string())))
            }
        };
        let silent = self.progress_at.elapsed();
        match report {
            Err(e) => {
                let gateway = &self.gateway;
                if let Some(left_out) = gateway.lines.take(gateway.now(), "engine_without_report") {
                    info!(gateway.log, "engine without report"; "id" => &self.accepted.attempt,
                        "engine" => %first, "error" => %e,
                        "silent_ms" => silent.as_millis() as u64, "left_out" => left_out);
                }
                Some(Doubt::Dead(first))
            }
            Ok(report) => {
                let stalled = report
                    .stalled
                    .iter()
                    .find(|(id, _)| *id == self.accepted.attempt);
                if let Some((_, addr)) = stalled {
                    return Some(self.diagnose_stall(*addr).await);
                }
                self.log_stall(first, silent, &report);
                let is_late = Instant::now() >= self.give_up_at();
                // A slow run continues if no other run may follow it.
                (is_late && self.may_run_again()).then_some(Doubt::Silent)
            }
        }
    }

    /// Moves away from a leaving engine. The run goes on until there is another path, and ends
    /// where it is if no other run may follow it.
    pub(super) async fn move_away(&mut self, addr: SocketAddr) -> Option<End> {
        let is_moved = match self.first_engine() == Some(addr) {
            true if !self.may_run_again() || self.gateway.are_answers_due() => return None,
            true => {
                if let Some(next) = self.open_planned().await {
                    return Some(End::Moved(next));
                }
                false
            }
            false => {
                let is_late = self.local_until.is_none_or(|by| Instant::now() >= by);
                let crossing = if is_late {
                    Crossing::Free
                } else {
                    Crossing::NoMore
                };
                self.repath(true, crossing).await
            }
        };
        if !is_moved {
            // The random interval spreads the streams that wait for the same new engine.
            let again = MOVE_RETRY_INTERVAL.mul_f64(0.5 + 2.0 * rand::random::<f64>());
            self.move_at = Some((Instant::now() + again, addr));
        }
        None
    }

    /// Starts to search for the next run, as the present one may have failed. The present run goes on
    /// until another one has begun, and to its end if no other may follow.
    pub(super) fn search_next_run(&mut self, doubt: Doubt) {
        if let Doubt::Dead(addr) = doubt {
            streams::report_dead(&self.gateway, addr);
        }
        if !self.may_run_again() {
            return;
        }
        self.log_broken(&doubt.reason());
        self.search = Some(Search {
            at: Instant::now(),
            pause: RESUME_PAUSE,
        });
        self.set_phase();
    }

    /// Tries once to begin the next run, and sets the time of the next try. The try ends as soon as
    /// the present run makes progress.
    pub(super) async fn continue_search(&mut self, present: &mut Run) -> Option<Run> {
        let wait_end = self.wait_end();
        let path = self.path.clone();
        let found = self.find_path(false).await;
        if let Some(found) = found {
            let next = tokio::select! {
                biased;
                next = timeout_at(wait_end, self.open_elsewhere()) => next.ok().flatten(),
                () = read_until_event(present) => None,
            };
            if next.is_some() {
                return next;
            }
            self.stay(found, path).await;
        }
        if !self.may_run_again() {
            self.end_search();
        } else if let Some(search) = &mut self.search {
            search.at = Instant::now() + search.pause;
            search.pause = (search.pause * 2).min(MAX_RESUME_PAUSE);
        }
        None
    }

    /// Tries once to begin the next run away from an engine that leaves. The present run is not read
    /// meanwhile.
    async fn open_planned(&mut self) -> Option<Run> {
        let path = self.path.clone();
        let found = self.find_path(true).await?;
        let next = timeout(MOVE_TIMEOUT, self.open_elsewhere()).await;
        if let Ok(Some(next)) = next {
            return Some(next);
        }
        self.stay(found, path).await;
        None
    }

    /// Opens the next run on the granted path, at another first engine than the present one, and
    /// waits for the first bytes of its answer's body.
    async fn open_elsewhere(&mut self) -> Option<Run> {
        if self.events == 0 && quarantine::recheck(&self.gateway, &self.accepted).is_err() {
            return None;
        }
        let granted = self.grant.as_ref()?.path.first()?.addr;
        if self.first_engine() == Some(granted) {
            return None;
        }
        let mut next = Run::from(self.try_resume().await?);
        let first = next.frame().await;
        match &first {
            Some(Ok(_)) => next.read_ahead.push_back(first),
            Some(Err(_)) | None => return None,
        }
        Some(next)
    }

    /// Records that the stream stays on the path of the present run, after another one was found.
    async fn stay(&mut self, found: Found, path: Vec<Stage>) {
        match found {
            Found::NewEntry { previous } => self.grant = previous,
            Found::Rerouted => {
                let gateway = Arc::clone(&self.gateway);
                if let Some(grant) = self.grant.as_mut() {
                    gateway.queue_owners.restore(&gateway, grant, path).await;
                }
            }
        }
    }

    /// Ends the search for the next run, as the present one makes progress.
    pub(super) fn end_search(&mut self) {
        if self.search.take().is_some() {
            self.gateway.counters.add("streams_recovered");
            self.set_phase();
        }
    }

    /// Reroutes the stream behind the same first engine after a later one died or became
    /// unreachable. Returns whether it did; if not, the stream has to be sent again.
    pub(super) async fn try_repath(&mut self, doubt: Doubt) -> bool {
        let crossing = match doubt {
            Doubt::Dead(addr) if self.first_engine() == Some(addr) => return false,
            Doubt::Dead(addr) => {
                streams::report_dead(&self.gateway, addr);
                Crossing::Free
            }
            Doubt::Unreachable(_) => Crossing::None,
            Doubt::Silent => return false,
        };
        let give_up_at = self.give_up_at();
        for _ in 0..REPATH_ATTEMPTS {
            // The caller has seen no progress yet, so `progress_at` stays as it is.
            if self.repath(false, crossing).await {
                return true;
            }
            // A first engine that is dead too accepts no path.
            if self.is_first_dead() || Instant::now() >= give_up_at {
                return false;
            }
            sleep(RESUME_PAUSE).await;
        }
        false
    }

    /// Returns how urgently the stream needs another path.
    fn urgency(&self) -> message::Urgency {
        let ms = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        let leaves_in = self.wait_end().saturating_duration_since(Instant::now());
        message::Urgency {
            rank: self.accepted.rank.0,
            silent_ms: ms(self.progress_at.elapsed()),
            leaves_in_ms: ms(leaves_in),
        }
    }

    /// Whether the first engine was found to make no progress.
    fn is_first_dead(&self) -> bool {
        let now = self.gateway.now();
        self.first_engine()
            .is_some_and(|first| self.gateway.queue_owners.is_dead(now, first))
    }

    /// Returns when the present run is given up without a known cause.
    fn give_up_at(&self) -> Instant {
        self.progress_at + streams::wait_limit(&self.accepted).mul_f64(GIVE_UP_RATIO)
    }

    /// Returns what is wrong when the first engine reports that `addr` stalls the stream:
    /// the engine is dead, or a network partition separates it from others of the path.
    async fn diagnose_stall(&self, addr: SocketAddr) -> Doubt {
        let gateway = &self.gateway;
        let crosses = {
            let directory = gateway.directory.read();
            let path = self.path.iter();
            let mut data_centres = path.filter_map(|s| Some(&directory.get(&s.id)?.data_centre));
            let first = data_centres.next();
            data_centres.any(|d| Some(d) != first)
        };
        // Within one data centre only the engine itself can be at fault.
        let answers = crosses && {
            let report = gateway.reports.get(&gateway.http, addr);
            matches!(timeout(REACHABILITY_TIMEOUT, report).await, Ok(Ok(_)))
        };
        if let Some(left_out) = gateway.lines.take(gateway.now(), "engine_accused") {
            info!(gateway.log, "engine stalls a stream"; "id" => &self.accepted.attempt,
                "engine" => %addr, "path_crosses" => crosses, "answers" => answers,
                "silent_ms" => self.progress_at.elapsed().as_millis() as u64, "left_out" => left_out);
        }
        match answers {
            true => Doubt::Unreachable(addr),
            false => Doubt::Dead(addr),
        }
    }

    /// Moves the stream to another path with the same first engine; only the new engines
    /// read its tokens again. Returns whether the first engine accepted the path.
    async fn repath(&mut self, must_fit: bool, crossing: Crossing) -> bool {
        let gateway = Arc::clone(&self.gateway);
        let before = self.path.clone();
        let urgency = self.urgency();
        let give_up_at = self.give_up_at().max(Instant::now() + MIN_ORDER_TIMEOUT);
        let mut faults = self.faults.resubscribe();
        let Some((first, grant)) = self.first_engine().zip(self.grant.as_mut()) else {
            return false;
        };
        let reroute = Reroute {
            must_fit,
            keeps_first: true,
            crossing,
        };
        if !gateway
            .queue_owners
            .reroute(&gateway, grant, reroute, urgency)
            .await
        {
            return false;
        }
        if grant.path == before {
            return false;
        }
        let path = headers::path(&grant.path);
        let ordered = tokio::select! {
            biased;
            ordered = engine::repath(&gateway.http, &self.accepted.attempt, &grant.path) => ordered,
            // Other streams may find the first engine dead meanwhile; it answers no order then.
            () = found_dead(&gateway, &mut faults, first) => {
                OrderOutcome::Unknown(Error::backend_unreachable(first.to_string()))
            }
            () = sleep_until(give_up_at) => {
                OrderOutcome::Unknown(Error::backend_unreachable(first.to_string()))
            }
        };
        gateway.counters.add(match ordered {
            OrderOutcome::Accepted => "streams_repathed",
            OrderOutcome::Refused(_)
            | OrderOutcome::Outdated
            | OrderOutcome::Busy
            | OrderOutcome::Unknown(_) => "repaths_refused",
        });
        if let Some(left_out) = gateway.lines.take(gateway.now(), "stream_repathed") {
            info!(gateway.log, "stream on another path"; "id" => &self.accepted.attempt,
                "before" => headers::path(&before), "path" => path, "outcome" => format!("{ordered:?}"),
                "events" => self.events, "left_out" => left_out);
        }
        let is_accepted = ordered == OrderOutcome::Accepted;
        if is_accepted {
            self.path = grant.path.clone();
        } else {
            gateway.queue_owners.restore(&gateway, grant, before).await;
        }
        is_accepted
    }

    /// Continues on another path after the last event that was passed on, as the connection to the
    /// first engine broke.
    ///
    /// # Errors
    ///
    /// Returns why the stream can't go on. It may have run, so no error says that it did not.
    pub(super) async fn resume(&mut self) -> Result<Exchange> {
        let unknown = |why: &str| Error::outcome_unknown(why);
        if let Some(first) = self.first_engine() {
            self.gateway
                .queue_owners
                .exclude_for(self.gateway.now(), first, LOST_EXCLUSION);
            self.after_lost_engine(first).await?;
        }
        if !self.may_resume() {
            return Err(unknown("the stream broke off"));
        }
        // The answer is not ended as long as the caller waits.
        let mut pause = RESUME_PAUSE;
        while Instant::now() < self.accepted.deadline && !self.tx.is_closed() {
            if self.find_path(false).await.is_some() {
                if self.events == 0 {
                    quarantine::recheck(&self.gateway, &self.accepted)
                        .map_err(|e| unknown(&e.to_string()))?;
                }
                if let Some(exchange) = self.try_resume().await {
                    return Ok(exchange);
                }
            }
            sleep(pause).await;
            pause = (pause * 2).min(MAX_RESUME_PAUSE);
        }
        Err(unknown("the stream broke off"))
    }

    /// Handles the loss of the connection to the first engine.
    ///
    /// # Errors
    ///
    /// Returns why the stream must not be sent again.
    async fn after_lost_engine(&mut self, first: SocketAddr) -> Result<()> {
        let has_begun = self.events > 0;
        let cause =
            streams::after_lost_engine(&self.gateway, &self.accepted, first, has_begun).await;
        let cause = cause.map_err(|e| Error::outcome_unknown(e.to_string()))?;
        if cause != EndCause::Crashed {
            return Ok(());
        }
        if has_begun {
            // An engine that has ended no longer runs the request.
            self.first_engines.retain(|addr| *addr != first);
            return Ok(());
        }
        self.crashes += 1;
        if self.crashes >= MAX_CRASHES {
            let why = format!("{} engines crashed before the first event", self.crashes);
            return Err(Error::outcome_unknown(why));
        }
        Ok(())
    }

    /// Whether another run may continue where this one ends.
    fn may_resume(&self) -> bool {
        self.accepted.route.repeat == Repeat::Stream { resumable: true } && !self.is_unnumbered
    }

    /// Whether the stream may be sent to another first engine.
    fn has_attempt_left(&self) -> bool {
        self.first_engines.len() < self.accepted.route.attempts as usize
    }

    /// Whether another run may follow the present one, at another first engine.
    fn may_run_again(&self) -> bool {
        self.may_resume() && self.has_attempt_left()
    }

    /// Obtains another path, by a reroute of the current queue entry or by a new entry.
    async fn find_path(&mut self, must_fit: bool) -> Option<Found> {
        let reroute = Reroute {
            must_fit,
            keeps_first: false,
            crossing: Crossing::Free,
        };
        let urgency = self.urgency();
        if let Some(grant) = self.grant.as_mut()
            && self
                .gateway
                .queue_owners
                .reroute(&self.gateway, grant, reroute, urgency)
                .await
        {
            return Some(Found::Rerouted);
        }
        let now = self.gateway.now();
        let request = PathRequest {
            service: Arc::clone(&self.accepted.service),
            organisation: self.accepted.organisation_name(),
            rank: self.accepted.rank,
            tokens: streams::expected_tokens(&self.accepted),
            on_time_by: now,
            latest: now,
            may_wait: false,
            caller: None,
        };
        match self
            .gateway
            .queue_owners
            .request_path(&self.gateway, &request)
            .await
        {
            Ok(grant) => Some(Found::NewEntry {
                previous: self.grant.replace(grant),
            }),
            // The caller of this function tries again after a pause.
            Err(_) => None,
        }
    }

    /// Sends the request again. Returns `None` when that has to be retried.
    async fn try_resume(&mut self) -> Option<Exchange> {
        let path = self
            .grant
            .as_ref()
            .map(|g| g.path.clone())
            .unwrap_or_default();
        let first = path.first().map(|s| s.addr)?;
        let is_new = !self.first_engines.contains(&first);
        // An engine whose entry is gone may still run the request for many seconds, so all
        // first engines count as attempts.
        if is_new && !self.has_attempt_left() {
            // The next path may begin at an engine that the stream was sent to before.
            return None;
        }
        if self.tx.is_closed() || !self.gateway.may_retry(&self.accepted.service) {
            return None;
        }
        let start = Start::resumed(&self.gateway, &self.accepted, self.sent);
        // The engine may run the request from now on, also if this function is cancelled.
        if is_new {
            self.first_engines.push(first);
        }
        let opened = tokio::select! {
            biased;
            () = self.tx.closed() => return None,
            opened = start.open(&path, self.last_event) => opened,
        };
        let has_not_run = matches!(
            opened,
            Err(OpenError::NotRun(..)
                | OpenError::NotWanted(..)
                | OpenError::Malformed(_)
                | OpenError::Failed(Attempt::Unsent, _))
        );
        if is_new && has_not_run {
            self.first_engines.pop();
        }
        match opened {
            Ok(exchange) => {
                self.sent += 1;
                Some(exchange)
            }
            Err(OpenError::NotRun(at_fault, _)) => {
                if let Some(grant) = self.grant.as_ref() {
                    let queue_owners = &self.gateway.queue_owners;
                    queue_owners
                        .report_refusal(&self.gateway, grant, at_fault, RESUME_PAUSE * 2)
                        .await;
                }
                None
            }

            Err(OpenError::NotWanted(_, time)) => {
                if let Some(grant) = self.grant.as_ref() {
                    let queue_owners = &self.gateway.queue_owners;
                    queue_owners
                        .report_no_starts(&self.gateway, grant, first, time)
                        .await;
                }
                None
            }
            Err(OpenError::EngineFailure(_) | OpenError::Failed(..) | OpenError::Malformed(_)) => {
                None
            }
        }
    }
}

/// Waits until the engine at `addr` is found to make no progress.
async fn found_dead(
    gateway: &Gateway,
    faults: &mut broadcast::Receiver<EngineFault>,
    addr: SocketAddr,
) {
    while !gateway.queue_owners.is_dead(gateway.now(), addr) {
        match faults.recv().await {
            Ok(_) | Err(RecvError::Lagged(_)) => {}
            Err(RecvError::Closed) => return std::future::pending().await,
        }
    }
}

/// Reads frames of a run ahead until one may hold an event, the run ends, or many were read.
async fn read_until_event(run: &mut Run) {
    loop {
        let frame = run.body.frame().await;
        let is_comment = frame.as_ref().is_some_and(|frame| {
            let data = frame.as_ref().ok().and_then(|f| f.data_ref());
            data.is_some_and(|data| !data.windows(EVENT_DATA.len()).any(|w| w == EVENT_DATA))
        });
        run.read_ahead.push_back(frame);
        if !is_comment || run.read_ahead.len() >= MAX_READ_AHEAD {
            return;
        }
    }
}
