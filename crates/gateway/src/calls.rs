//! Plain calls: one server answers with one whole body.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http_body_util::Full;
use slog::info;
use tokio::time::Instant;

use hemlockwind_core::Error;
use hemlockwind_core::attempt::Attempt;
use hemlockwind_core::attempt::Attempts;
use hemlockwind_core::routes::Repeat;
use hemlockwind_core::servers::BackendServer;
use hemlockwind_platform::headers;
use hemlockwind_platform::headers::Answered;
use hemlockwind_platform::headers::Dispatch;
use hemlockwind_telemetry::histograms::Measure;

use crate::answers;
use crate::answers::Body;
use crate::gateway::Gateway;
use crate::requests::Accepted;
use crate::servers::Outcome;

/// Time beyond the deadline for the server's own word that it passed.
const DEADLINE_GRACE: Duration = Duration::from_millis(60);
/// When to come back after a server refused: its queue is short.
const REFUSED_RETRY: Duration = Duration::from_millis(100);
/// When to come back when no server is there.
const NO_SERVER_RETRY: Duration = Duration::from_millis(250);
/// The part of the target that an idempotent call waits for one server before another
/// is asked as well: slower than nearly all good answers.
const HEDGE_PART: f64 = 0.8;
/// Tries that did not reach a server at most.
const UNSENT_LIMIT: u32 = 3;

/// The outcome of one dispatch.
enum Tried {
    /// The server's whole answer.
    Answer(Response<Bytes>),
    /// The server did not run it.
    NotRun(Error),
    /// No answer that can be used.
    Failed(Attempt, Error),
}

/// Counts a call as in progress at a server until it ends, or its caller leaves.
struct InProgress<'a> {
    gateway: &'a Gateway,
    addr: SocketAddr,
    outcome: Outcome,
}

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        let now = self.gateway.now();
        self.gateway.servers.end(now, self.addr, self.outcome);
    }
}

/// Serves a call.
pub async fn serve(gateway: &Arc<Gateway>, accepted: Accepted) -> Response<Body> {
    let mut call = Call {
        gateway,
        accepted: &accepted,
        attempts: Attempts::default(),
        tried: Vec::new(),
        sent: 0,
        unsent: 0,
        last: None,
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
            "error" => call.last.as_ref().map(ToString::to_string),
            "ms" => time.as_millis() as u64, "left_out" => left_out);
    }
    response
}

struct Call<'a> {
    gateway: &'a Arc<Gateway>,
    accepted: &'a Accepted,
    attempts: Attempts,
    tried: Vec<SocketAddr>,
    /// Dispatches that may have reached a server.
    sent: u32,
    /// Dispatches that reached none.
    unsent: u32,
    last: Option<Error>,
}

impl Call<'_> {
    async fn run(&mut self) -> Response<Body> {
        let accepted = self.accepted;
        let mut failure: Option<Response<Bytes>> = None;
        loop {
            if accepted.left().is_zero() {
                self.last = Some(Error::DeadlinePassed);
                break;
            }
            let Some(server) = self.next_server() else {
                self.last.get_or_insert(Error::no_path(&*accepted.service));
                break;
            };
            let index = self.attempts.open();
            let tried = self.send(&server).await;
            match tried {
                Tried::Answer(answer) => {
                    self.sent += 1;
                    self.attempts.record(index, Attempt::Sent);
                    self.attempts.record(index, Attempt::Answered);
                    if !answer.status().is_server_error() || !self.may_repeat() {
                        return pass(answer);
                    }
                    // A good answer of another server is better than this failure.
                    failure = Some(answer);
                }
                Tried::NotRun(e) => {
                    self.sent += 1;
                    self.attempts.record(index, Attempt::Sent);
                    self.attempts.record(index, Attempt::Refused);
                    self.last = Some(e);
                    if self.sent >= accepted.route.attempts || !self.may_repeat() {
                        break;
                    }
                }
                Tried::Failed(Attempt::Unsent, e) => {
                    self.last = Some(e);
                    self.unsent += 1;
                    if self.unsent >= UNSENT_LIMIT {
                        break;
                    }
                }
                Tried::Failed(attempt, e) => {
                    self.sent += 1;
                    self.attempts.record(index, attempt);
                    self.last = Some(e);
                    if !accepted.route.repeat.is_idempotent() || !self.may_repeat() {
                        break;
                    }
                }
            }
        }
        match failure {
            Some(answer) => pass(answer),
            None => self.give_up(),
        }
    }

    /// Whether another dispatch is allowed by the route and by the budget.
    fn may_repeat(&self) -> bool {
        let accepted = self.accepted;
        accepted.route.repeat == Repeat::Safe
            && self.sent < accepted.route.attempts
            && !accepted.left().is_zero()
            && self.gateway.may_retry(&accepted.service)
    }

    fn next_server(&mut self) -> Option<Arc<BackendServer>> {
        let among: Vec<Arc<BackendServer>> = {
            let directory = self.gateway.directory.read();
            directory.of(&self.accepted.service).cloned().collect()
        };
        let data_centre = &self.gateway.settings.data_centre;
        let now = self.gateway.now();
        let server = self
            .gateway
            .servers
            .begin(now, &among, data_centre, &self.tried)?;
        self.tried.push(server.addr);
        Some(server)
    }

    /// Sends the call to one server and reads its whole answer.
    async fn send(&self, server: &BackendServer) -> Tried {
        let accepted = self.accepted;
        let mut progress = InProgress {
            gateway: self.gateway,
            addr: server.addr,
            outcome: Outcome::Left,
        };
        let req = request(accepted, server);
        let started = Instant::now();
        let can_hedge =
            accepted.route.repeat == Repeat::Safe && self.sent + 1 < accepted.route.attempts;
        let deadline = match can_hedge {
            true => accepted
                .deadline
                .min(started + accepted.route.target.mul_f64(HEDGE_PART)),
            false => accepted.deadline + DEADLINE_GRACE,
        };
        let http = &self.gateway.http;
        let limit = self.gateway.answer_limit();
        let is_answer = |h: &HeaderMap| headers::may_answer(h, Some(&accepted.attempt));
        let answer = http
            .call(server.addr, req, deadline, limit, is_answer)
            .await;
        let tried = match answer {
            Ok(answer) => check(server.addr, &accepted.attempt, answer),
            Err((attempt, e)) => Tried::Failed(attempt, e),
        };
        progress.outcome = match &tried {
            Tried::Answer(answer) if answer.status().is_server_error() => Outcome::Failed,
            Tried::Answer(_) => Outcome::Answered(started.elapsed()),
            Tried::NotRun(_) => Outcome::Refused,
            Tried::Failed(Attempt::Unsent, _) => Outcome::Unreachable,
            Tried::Failed(..) => Outcome::Failed,
        };
        if let Tried::Answer(answer) = &tried
            && let Some((running, waiting, _)) = Answered::read(answer.headers()).load
        {
            self.gateway.servers.load(server.addr, running, waiting);
        }
        tried
    }

    /// The answer when no server's answer can be used.
    fn give_up(&mut self) -> Response<Body> {
        let attempt = Some(self.accepted.attempt.as_str());
        let why = self.last.clone().unwrap_or(Error::DeadlinePassed);
        if self.attempts.not_run().is_some() {
            let retry = match self.sent {
                0 => NO_SERVER_RETRY,
                _ => REFUSED_RETRY,
            };
            self.gateway.counters.add("calls_not_run");
            let error = Error::backend_unreachable(why.to_string());
            let mut response = answers::failure(&error, attempt, Some(retry));
            *response.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
            return response;
        }
        self.gateway.counters.add("calls_unknown");
        let error = Error::outcome_unknown(why.to_string());
        let mut response = answers::failure(&error, attempt, None);
        if self.accepted.left().is_zero() {
            *response.status_mut() = http::StatusCode::GATEWAY_TIMEOUT;
        }
        response
    }
}

/// The request as a server gets it.
fn request(accepted: &Accepted, server: &BackendServer) -> Request<Full<Bytes>> {
    let dispatch = Dispatch {
        server: &server.id,
        organisation: accepted.organisation.as_deref(),
        wait: accepted.left(),
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

/// The body goes on whole, with its length, however it came.
pub fn set_length(headers: &mut HeaderMap, accepted: &Accepted) {
    let had_body = headers.contains_key(http::header::CONTENT_LENGTH);
    if !accepted.body.is_empty() || had_body {
        headers.insert(http::header::CONTENT_LENGTH, accepted.body.len().into());
    }
}

/// Whether a server's answer is one to this request.
fn check(addr: SocketAddr, attempt: &str, answer: Response<Bytes>) -> Tried {
    let answered = Answered::read(answer.headers());
    if answered.attempt.as_deref() != Some(attempt) && !answered.is_not_run {
        let e = Error::backend_answer(format!("{addr} answered another request"));
        return Tried::Failed(Attempt::Sent, e);
    }
    let status = answer.status();
    if answered.is_not_run || status == http::StatusCode::MISDIRECTED_REQUEST {
        return Tried::NotRun(Error::backend_refused(format!("{addr}: {status}")));
    }
    if answered.is_encoded || !answered.is_sealed {
        let e = Error::backend_answer(format!("{addr}: {status} without its mark"));
        return Tried::Failed(Attempt::Sent, e);
    }
    Tried::Answer(answer)
}

/// A server's answer as the caller gets it.
fn pass(answer: Response<Bytes>) -> Response<Body> {
    let (parts, body) = answer.into_parts();
    let mut response = Response::new(answers::full(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = headers::passed_on(&parts.headers);
    response
}
