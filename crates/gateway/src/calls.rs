//! Dispatches plain calls: one server answers with one whole body.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use slog::info;
use tokio::time::Instant;

use hemlockwind_core::Error;
use hemlockwind_core::attempt::Attempt;
use hemlockwind_core::attempt::Attempts;
use hemlockwind_core::routes::Repeat;
use hemlockwind_core::servers::BackendServer;
use hemlockwind_core::servers::ServerState;
use hemlockwind_platform::headers;
use hemlockwind_platform::headers::Dispatch;
use hemlockwind_platform::headers::ServerHeaders;
use hemlockwind_telemetry::histograms::Measure;

use crate::announcements;
use crate::answers;
use crate::answers::Body;
use crate::gateway::Gateway;
use crate::in_progress::Phase;
use crate::limits;
use crate::requests::Accepted;
use crate::servers::CallOutcome;

/// Time beyond the deadline in which the server may still report that the deadline passed.
const DEADLINE_GRACE: Duration = Duration::from_millis(60);
/// When the caller is to retry after a server refused: queues of servers are short, so this time
/// is, too.
const REFUSED_RETRY: Duration = Duration::from_millis(100);
/// Largest random extension of the time after which to retry when no server's limit allows a call.
const LIMIT_RETRY_SPREAD: Duration = Duration::from_millis(500);
/// When to retry if there is no server.
const NO_SERVER_RETRY: Duration = Duration::from_millis(250);
/// Share of the target time after which an attempt of an idempotent call is given up and
/// the call is sent to another server: nearly all successful answers arrive earlier.
const RETRY_AFTER_SHARE: f64 = 0.8;
/// Largest number of attempts that did not reach a server.
const MAX_UNSENT: u32 = 3;

/// `DispatchResult` is the result of one dispatch.
enum DispatchResult {
    /// The server's whole answer.
    Answer(Response<Bytes>),
    /// The server did not run the call.
    NotRun(Error),
    /// There is no usable answer.
    Failed(Attempt, Error),
}

/// `InProgress` counts a call as in progress at a server until it ends or its caller
/// leaves.
struct InProgress<'a> {
    gateway: &'a Gateway,
    addr: SocketAddr,
    outcome: CallOutcome,
}

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        let now = self.gateway.now();
        self.gateway.servers.end(now, self.addr, self.outcome);
    }
}

/// Serves one call.
pub async fn serve(gateway: &Arc<Gateway>, accepted: Accepted) -> Response<Body> {
    let mut call = Call {
        gateway,
        accepted: &accepted,
        attempts: Attempts::default(),
        tried: Vec::new(),
        sent: 0,
        unsent: 0,
        wanted_after: None,
        last_error: None,
    };
    let response = call.run().await;
    let time = accepted.arrived.elapsed();
    gateway.histograms.record(
        Measure::Request,
        &accepted.organisation_name(),
        accepted.rank,
        time,
    );
    if let Some(left_out) = gateway.lines.take(gateway.now(), "call") {
        info!(gateway.log, "call"; "id" => &accepted.attempt, "route" => &*accepted.route.name,
            "routes" => accepted.version, "service" => &*accepted.service,
            "status" => response.status().as_u16(), "sent" => call.sent, "unsent" => call.unsent,
            "servers" => format!("{:?}", call.tried),
            "error" => call.last_error.as_ref().map(ToString::to_string),
            "ms" => time.as_millis() as u64, "left_out" => left_out);
    }
    response
}

/// `Call` dispatches one call and counts the attempts.
struct Call<'a> {
    gateway: &'a Arc<Gateway>,
    accepted: &'a Accepted,
    attempts: Attempts,
    tried: Vec<SocketAddr>,
    /// Dispatches that may have reached a server.
    sent: u32,
    /// Dispatches that reached none.
    unsent: u32,
    /// The shortest time after which a server that wants no requests now will take them, if none
    /// takes them now.
    wanted_after: Option<Duration>,
    /// Why the latest dispatch gave no answer, or why there was none.
    last_error: Option<Error>,
}

impl Call<'_> {
    async fn run(&mut self) -> Response<Body> {
        let accepted = self.accepted;
        let mut failure: Option<Response<Bytes>> = None;
        loop {
            if accepted.time_left().is_zero() {
                self.last_error = Some(Error::DeadlinePassed);
                break;
            }
            if self.gateway.are_answers_due() {
                self.last_error = Some(Error::Stopping);
                break;
            }
            let Some(server) = self.next_server().await else {
                self.last_error
                    .get_or_insert(Error::no_path(&*accepted.service));
                break;
            };
            let index = self.attempts.open();
            let result = self.send(&server).await;
            match result {
                DispatchResult::Answer(answer) => {
                    self.sent += 1;
                    self.attempts.record(index, Attempt::Sent);
                    self.attempts.record(index, Attempt::Answered);
                    if !answer.status().is_server_error() || !self.may_repeat() {
                        return passed_on(answer);
                    }
                    // Another server may give a successful answer; else this one is used.
                    failure = Some(answer);
                }
                DispatchResult::NotRun(e) => {
                    self.sent += 1;
                    self.attempts.record(index, Attempt::Sent);
                    self.attempts.record(index, Attempt::Refused);
                    self.last_error = Some(e);
                    if self.sent >= accepted.route.attempts || !self.may_repeat() {
                        break;
                    }
                }
                DispatchResult::Failed(Attempt::Unsent, e) => {
                    self.last_error = Some(e);
                    self.unsent += 1;
                    if self.unsent >= MAX_UNSENT {
                        break;
                    }
                }
                DispatchResult::Failed(attempt, e) => {
                    self.sent += 1;
                    self.attempts.record(index, attempt);
                    self.last_error = Some(e);
                    if !accepted.route.repeat.is_idempotent() || !self.may_repeat() {
                        break;
                    }
                }
            }
        }
        match failure {
            Some(answer) => passed_on(answer),
            None => self.give_up(),
        }
    }

    /// Whether another dispatch is allowed by the route and by the retry budget. If so,
    /// takes the retry from the budget.
    fn may_repeat(&self) -> bool {
        let accepted = self.accepted;
        accepted.route.repeat == Repeat::Safe
            && self.sent < accepted.route.attempts
            && !accepted.time_left().is_zero()
            && self.gateway.may_retry(&accepted.service)
    }

    async fn next_server(&mut self) -> Option<Arc<BackendServer>> {
        let candidates: Vec<Arc<BackendServer>> = {
            let directory = self.gateway.directory.read();
            directory.of(&self.accepted.service).cloned().collect()
        };
        let data_centre = &self.gateway.settings.data_centre;
        let now = self.gateway.now();
        let pauses = &self.gateway.pauses;
        let rest = |s: &Arc<BackendServer>| pauses.rest(now, s);
        let (paused, candidates): (Vec<_>, Vec<_>) =
            candidates.into_iter().partition(|s| rest(s).is_some());
        let servers = &self.gateway.servers;
        let mut server = servers.begin(now, &candidates, data_centre, &self.tried);
        if let Some(best) = &server
            && self.gateway.limits.is_limited(&best.id)
        {
            servers.end(now, best.addr, CallOutcome::Abandoned);
            let (mut limited, others): (Vec<_>, Vec<_>) = candidates
                .into_iter()
                .partition(|s| self.gateway.limits.is_limited(&s.id));
            limited.retain(|s| s.state == ServerState::Ready && !self.tried.contains(&s.addr));
            limited.sort_by_key(|s| s.addr != best.addr);
            let permit = limits::request_permit(self.gateway, &self.accepted.service, &limited);
            server = match permit.await {
                Ok(permitted) => {
                    servers.begin_at(permitted.addr);
                    Some(permitted)
                }
                Err(wait) => {
                    // Callers that are refused together must not retry together.
                    let spread = LIMIT_RETRY_SPREAD.mul_f64(rand::random());
                    self.wanted_after = Some(wait.max(NO_SERVER_RETRY) + spread);
                    let service = &self.accepted.service;
                    let why = format!("the limits of the servers of {service} allow no call now");
                    self.last_error = Some(Error::backend_refused(why));
                    servers.begin(now, &others, data_centre, &self.tried)
                }
            };
        }
        let Some(server) = server else {
            let rest = paused.iter().filter_map(rest).min();
            self.wanted_after = self.wanted_after.into_iter().chain(rest).min();
            return None;
        };
        self.wanted_after = None;
        self.tried.push(server.addr);
        Some(server)
    }

    /// Sends the call to one server and reads its whole answer.
    async fn send(&self, server: &BackendServer) -> DispatchResult {
        let accepted = self.accepted;
        let mut progress = InProgress {
            gateway: self.gateway,
            addr: server.addr,
            outcome: CallOutcome::Abandoned,
        };
        let req = request(accepted, server);
        let started = Instant::now();
        let can_retry =
            accepted.route.repeat == Repeat::Safe && self.sent + 1 < accepted.route.attempts;
        let deadline = match can_retry {
            true => accepted
                .deadline
                .min(started + accepted.route.target.mul_f64(RETRY_AFTER_SHARE)),
            false => accepted.deadline + DEADLINE_GRACE,
        };
        accepted.progress.set_phase(Phase::Starting);
        let http = &self.gateway.http;
        let limit = self.gateway.answer_limit();
        let is_answer = |h: &HeaderMap| headers::may_answer(h, Some(&accepted.attempt));
        let answer = tokio::select! {
            biased;
            answer = http.call(server.addr, req, deadline, limit, is_answer) => answer,
            // It was sent, so the server may run it.
            () = self.gateway.answers_due() => Err((Attempt::Sent, Error::Stopping)),
        };
        if let Ok(answer) = &answer {
            let answered = ServerHeaders::read(answer.headers());
            match answer.status() {
                // Another server answered, whose announcements are not those of this one.
                StatusCode::MISDIRECTED_REQUEST => {
                    announcements::record_misdirected(self.gateway, server);
                }
                status => announcements::record(self.gateway, server, status, &answered),
            }
        }
        let result = match answer {
            Ok(answer) => check(server.addr, &accepted.attempt, answer),
            Err((attempt, e)) => DispatchResult::Failed(attempt, e),
        };
        progress.outcome = match &result {
            DispatchResult::Answer(answer) if answer.status().is_server_error() => {
                CallOutcome::Failed
            }
            DispatchResult::Answer(_) => CallOutcome::Answered(started.elapsed()),
            DispatchResult::NotRun(_) => CallOutcome::Refused,
            DispatchResult::Failed(Attempt::Unsent, _) => CallOutcome::Unreachable,
            DispatchResult::Failed(..) => CallOutcome::Failed,
        };
        if let DispatchResult::Answer(answer) = &result
            && let Some((running, waiting, _)) = ServerHeaders::read(answer.headers()).load
        {
            self.gateway
                .servers
                .record_load(server.addr, running, waiting);
        }
        result
    }

    /// Returns the answer to the caller when no server's answer is usable.
    fn give_up(&mut self) -> Response<Body> {
        let attempt = Some(self.accepted.attempt.as_str());
        let last_error = self.last_error.clone().unwrap_or(Error::DeadlinePassed);
        if self.attempts.not_run().is_some() {
            let retry = match self.sent {
                0 => NO_SERVER_RETRY,
                _ => REFUSED_RETRY,
            };
            let retry = self.wanted_after.map_or(retry, |after| after.max(retry));
            self.gateway.counters.add("calls_not_run");
            let error = Error::backend_unreachable(last_error.to_string());
            let mut response = answers::failure(&error, attempt, Some(retry));
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            return response;
        }
        self.gateway.counters.add("calls_unknown");
        let error = Error::outcome_unknown(last_error.to_string());
        let mut response = answers::failure(&error, attempt, None);
        if self.accepted.time_left().is_zero() {
            *response.status_mut() = StatusCode::GATEWAY_TIMEOUT;
        }
        response
    }
}

/// Returns the request to a server.
fn request(accepted: &Accepted, server: &BackendServer) -> Request<Full<Bytes>> {
    let dispatch = Dispatch {
        server: &server.id,
        organisation: accepted.organisation.as_deref(),
        wait: accepted.time_left(),
        urgency: None,
        path: &[],
        resume_after: None,
    };
    let mut req = Request::new(Full::new(accepted.body.clone()));
    *req.method_mut() = accepted.method.clone();
    *req.uri_mut() = accepted.uri.clone();
    *req.headers_mut() = headers::forward(&accepted.headers, &dispatch);
    set_length(req.headers_mut(), accepted);
    req
}

/// Sets the length of the body, which is sent whole even if it arrived in chunks.
pub fn set_length(headers: &mut HeaderMap, accepted: &Accepted) {
    let had_body = headers.contains_key(http::header::CONTENT_LENGTH);
    if !accepted.body.is_empty() || had_body {
        headers.insert(http::header::CONTENT_LENGTH, accepted.body.len().into());
    }
}

/// Checks that a server's answer belongs to this request and is usable.
fn check(addr: SocketAddr, attempt: &str, answer: Response<Bytes>) -> DispatchResult {
    let answered = ServerHeaders::read(answer.headers());
    if answered.attempt.as_deref() != Some(attempt) && !answered.is_not_run {
        let e = Error::backend_answer(format!("{addr} answered another request"));
        return DispatchResult::Failed(Attempt::Sent, e);
    }
    let status = answer.status();
    if answered.is_not_run || status == StatusCode::MISDIRECTED_REQUEST {
        return DispatchResult::NotRun(Error::backend_refused(format!("{addr}: {status}")));
    }
    if answered.is_encoded || !answered.is_sealed {
        let e = Error::backend_answer(format!("{addr}: {status} is encoded or not sealed"));
        return DispatchResult::Failed(Attempt::Sent, e);
    }
    DispatchResult::Answer(answer)
}

/// Returns a server's answer as it is passed on to the caller.
fn passed_on(answer: Response<Bytes>) -> Response<Body> {
    let (parts, body) = answer.into_parts();
    let mut response = Response::new(answers::full(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = headers::end_to_end(&parts.headers);
    response
}
