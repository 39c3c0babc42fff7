//! How a running stream goes on when an engine of its path fails, leaves or falls silent:
//! behind the same first engine where that is possible, else by another run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::info;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use hemlockwind_backend::http1::Exchange;
use hemlockwind_core::Error;
use hemlockwind_core::routes::Repeat;
use hemlockwind_paths::home::Crossing;
use hemlockwind_paths::home::Detour;
use hemlockwind_platform::engine;
use hemlockwind_platform::engine::Ordered;
use hemlockwind_platform::headers;

use crate::homes::Ask;
use crate::relay::End;
use crate::relay::Relay;
use crate::streams;
use crate::streams::Refused;
use crate::streams::Start;

/// Time in which an engine must tell of a stream in doubt: far beyond the delay inside a
/// region, and short beside the caller's patience.
const LOOK_TIME: Duration = Duration::from_millis(300);
/// The part of the caller's patience after which a silent stream goes on elsewhere
/// without a known cause: what is left has to suffice for another start.
const GIVE_UP_PART: f64 = 0.75;
/// Time in which an engine that is said to hold a stream up must answer.
const ACCUSED_TIME: Duration = Duration::from_millis(150);
/// Time between two tries to find a path away from a leaving engine.
const LEAVE_AGAIN: Duration = Duration::from_millis(250);
/// Tries to go on over other engines behind the same first one, before the stream is sent
/// again.
const REPATH_TRIES: u32 = 2;
/// The first time between two tries to go on, and the longest; each is twice the one
/// before.
const RESUME_PAUSE: Duration = Duration::from_millis(60);
const RESUME_PAUSE_LIMIT: Duration = Duration::from_millis(240);

impl Relay {
    /// Looks why no event comes.
    pub(super) async fn look(&mut self) -> Option<End> {
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
                let gateway = &self.gateway;
                if let Some(left_out) = gateway.lines.take(gateway.now(), "engine_without_report") {
                    info!(gateway.log, "engine without report"; "id" => &self.accepted.attempt,
                        "engine" => %first, "error" => %e,
                        "silent_ms" => silent.as_millis() as u64, "left_out" => left_out);
                }
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
                let is_late = silent >= patience.mul_f64(GIVE_UP_PART);
                // A slow run goes on where no other one may follow it.
                (is_late && self.may_resume()).then_some(End::Silent)
            }
        }
    }

    /// Moves away from an engine that leaves. The run goes on until there is another path.
    pub(super) async fn move_away(&mut self, addr: SocketAddr) -> Option<End> {
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
    pub(super) async fn replace(&mut self, end: &End) -> bool {
        let by = match end {
            End::Dead(addr) if self.first() == Some(*addr) => return false,
            End::Dead(addr) => {
                streams::dead(&self.gateway, *addr);
                Crossing::Free
            }
            End::Unlinked(_) => Crossing::None,
            End::Complete
            | End::CallerLeft
            | End::Deadline
            | End::Broken(_)
            | End::Silent
            | End::Leaving(_) => return false,
        };
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
        // Inside a data centre nothing but the engine itself can be at fault.
        let answers = crosses && {
            let asked = gateway.reports.get(&gateway.http, addr);
            matches!(timeout(ACCUSED_TIME, asked).await, Ok(Ok(_)))
        };
        if let Some(left_out) = gateway.lines.take(gateway.now(), "engine_accused") {
            info!(gateway.log, "engine holds a stream up"; "id" => &self.accepted.attempt,
                "engine" => %addr, "path_crosses" => crosses, "answers" => answers,
                "silent_ms" => self.heard.elapsed().as_millis() as u64, "left_out" => left_out);
        }
        match answers {
            true => End::Unlinked(addr),
            false => End::Dead(addr),
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
    pub(super) async fn resume(&mut self, end: &End) -> Option<Exchange> {
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
        if !self.may_resume() {
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

    /// Whether another run may go on where this one ends.
    fn may_resume(&self) -> bool {
        self.accepted.route.repeat == Repeat::Stream { resumable: true }
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
        if self.tx.is_closed() || !self.gateway.may_retry(&self.accepted.service) {
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

            Err(Refused::Own(_) | Refused::Failed(..) | Refused::Malformed(_)) => None,
        }
    }
}
