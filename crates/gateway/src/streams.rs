//! Streams: the start over a path of engines, up to the first event.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Frame;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_stream::wrappers::ReceiverStream;

use hemlockwind_backend::http1::Exchange;
use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::attempt::Attempt;
use hemlockwind_core::attempt::Attempts;
use hemlockwind_paths::ticket::Reason;
use hemlockwind_platform::headers;
use hemlockwind_platform::headers::Answered;
use hemlockwind_platform::headers::Dispatch;
use hemlockwind_platform::headers::Stage;
use hemlockwind_telemetry::histograms::Measure;

use crate::answers;
use crate::answers::Body;
use crate::calls;
use crate::gateway::Fault;
use crate::gateway::Gateway;
use crate::homes::Ask;
use crate::homes::Grant;
use crate::homes::Refusal;
use crate::relay::Relay;
use crate::requests::Accepted;

/// Events that may wait for a slow caller.
const BACKLOG: usize = 32;
/// The shortest time that callers wait for the next event before they leave.
const PATIENCE_LEAST: Duration = Duration::from_secs(2);
/// Callers wait for this many targets to the first event.
const PATIENCE_TARGETS: u32 = 4;
/// Callers wait for this many of the longest pauses between events.
const PATIENCE_PAUSES: u32 = 8;
/// Time from a start to the first event: a prompt is read and the first step is run.
const FIRST_EVENT: Duration = Duration::from_millis(180);
/// The part of an answer's limit that is expected when the caller gives no estimate.
const ANSWER_PART: f64 = 0.6;
/// Tries that were refused at most, beside those that may have run.
const REFUSED_LIMIT: u32 = 3;
/// Time that an engine gets no new work after it refused to be part of a path. Mostly it
/// lacks memory for a moment; one that is dead or leaves is found by other signs.
const REFUSED_TIME: Duration = Duration::from_millis(100);
/// When to come back after all tries were refused.
const REFUSED_RETRY: Duration = Duration::from_millis(1_000);
/// The part by which a time to come back may be longer, by chance: callers that were refused
/// together must not return together.
const RETRY_SPREAD: f64 = 0.6;
/// Bytes of a failure's body that is passed on.
const FAILURE_LIMIT: usize = 1 << 20;
/// Time for the rest of a failure's body.
const FAILURE_TIME: Duration = Duration::from_millis(500);

/// One stream on its way to its first event.
pub struct Start<'a> {
    /// What the parts of the instance share.
    pub gateway: &'a Arc<Gateway>,
    /// The request.
    pub accepted: &'a Accepted,
    attempts: Attempts,
    sent: u32,
    refused: u32,
}

/// What a start leads to.
enum Started {
    /// The engine's answer, not read yet.
    Running(Grant, Exchange),
    /// The engine's own failure.
    Failure(Response<Bytes>),
}

/// Tokens of a request's prompt and expected answer.
pub fn tokens(accepted: &Accepted) -> u32 {
    let asked = &accepted.asked;
    let limit = asked.answer_limit.unwrap_or(256);
    let usual = (f64::from(limit) * ANSWER_PART) as u32;
    let guess = asked.answer_guess.unwrap_or(usual).min(limit);
    asked.prompt.unwrap_or(0) + guess.max(1)
}

/// The time that callers wait for an event before they leave.
pub fn patience(accepted: &Accepted) -> Duration {
    let route = &accepted.route;
    let pauses = route.gap_target.unwrap_or_default() * PATIENCE_PAUSES;
    PATIENCE_LEAST
        .max(route.target * PATIENCE_TARGETS)
        .max(pauses)
}

/// Serves a stream.
pub async fn serve(gateway: &Arc<Gateway>, accepted: Accepted) -> Response<Body> {
    let mut start = Start {
        gateway,
        accepted: &accepted,
        attempts: Attempts::default(),
        sent: 0,
        refused: 0,
    };
    let started = start.run().await;
    let (sent, refused) = (start.sent, start.refused);
    let outcome = match started {
        Ok(Started::Running(grant, exchange)) => {
            return run(gateway, accepted, grant, exchange, sent).await;
        }
        Ok(Started::Failure(answer)) => Ok(answer),
        Err(e) => Err(e),
    };
    let error = outcome.as_ref().err().map(|(e, _)| e.to_string());
    let response = match outcome {
        Ok(answer) => {
            let (parts, body) = answer.into_parts();
            let mut response = Response::new(answers::full(body));
            *response.status_mut() = parts.status;
            *response.headers_mut() = headers::passed_on(&parts.headers);
            response
        }
        Err((e, retry)) => {
            let spread = 1.0 + RETRY_SPREAD * rand::random::<f64>();
            let retry = retry.map(|after| after.mul_f64(spread));
            answers::failure(&e, Some(&accepted.attempt), retry)
        }
    };
    if let Some(left_out) = gateway.lines.take(gateway.now(), "stream_refused") {
        let (running, waiting) = gateway.homes.load();
        info!(gateway.log, "stream not started"; "id" => &accepted.attempt,
            "route" => &*accepted.route.name, "routes" => accepted.version,
            "status" => response.status().as_u16(), "error" => error,
            "sent" => sent, "refused" => refused,
            "running" => running, "waiting" => waiting, "tokens" => tokens(&accepted),
            "ms" => accepted.arrived.elapsed().as_millis() as u64, "left_out" => left_out);
    }
    response
}

/// Passes on the events of a stream that an engine has begun.
async fn run(
    gateway: &Arc<Gateway>,
    accepted: Accepted,
    grant: Grant,
    exchange: Exchange,
    sent: u32,
) -> Response<Body> {
    let (tx, rx) = mpsc::channel(BACKLOG);
    let mut response = Response::new(());
    *response.status_mut() = exchange.head.status();
    *response.headers_mut() = headers::passed_on(exchange.head.headers());
    // The relay may put together the events of several runs.
    response.headers_mut().remove(http::header::CONTENT_LENGTH);
    let token = gateway.requests.token();
    let relay = Relay::new(Arc::clone(gateway), accepted, grant, tx, sent);
    tokio::spawn(async move {
        relay.run(exchange).await;
        drop(token);
    });
    let body = StreamBody::new(ReceiverStream::new(rx));
    response.map(|()| BodyExt::boxed_unsync(body))
}

/// What goes to the caller's connection.
pub type Sent = std::io::Result<Frame<Bytes>>;

impl<'a> Start<'a> {
    /// A start that goes on with a stream that has run before.
    pub fn again(gateway: &'a Arc<Gateway>, accepted: &'a Accepted, sent: u32) -> Self {
        Self {
            gateway,
            accepted,
            attempts: Attempts::default(),
            sent,
            refused: 0,
        }
    }

    async fn run(&mut self) -> Result<Started, (Error, Option<Duration>)> {
        loop {
            let grant = self.ask().await?;
            let index = self.attempts.open();
            match self
                .open(&grant.path, self.accepted.asked.resume_after)
                .await
            {
                Ok(exchange) => {
                    self.sent += 1;
                    return Ok(Started::Running(grant, exchange));
                }
                Err(Refused::Own(answer)) => return Ok(Started::Failure(answer)),
                Err(Refused::NotRun(at_fault, e)) => {
                    self.attempts.record(index, Attempt::Sent);
                    self.attempts.record(index, Attempt::Refused);
                    let homes = &self.gateway.homes;
                    homes
                        .refused(self.gateway, &grant, at_fault, REFUSED_TIME)
                        .await;
                    drop(grant);
                    self.after_refusal(e)?;
                }
                Err(Refused::Malformed(e)) => {
                    self.attempts.record(index, Attempt::Sent);
                    self.attempts.record(index, Attempt::Refused);
                    return Err(self.not_started(e, REFUSED_RETRY));
                }
                Err(Refused::Failed(Attempt::Unsent, e)) => self.after_refusal(e)?,
                Err(Refused::Failed(attempt, e)) => {
                    self.attempts.record(index, attempt);
                    self.sent += 1;
                    let route = &self.accepted.route;
                    let may_run_again = route.repeat.is_idempotent()
                        && self.sent < route.attempts
                        && self.gateway.may_retry(&self.accepted.service);
                    if !may_run_again {
                        return Err((Error::outcome_unknown(e.to_string()), None));
                    }
                }
            }
        }
    }

    /// Counts a try that did not run, and says whether there may be another.
    fn after_refusal(&mut self, e: Error) -> Result<(), (Error, Option<Duration>)> {
        self.refused += 1;
        let may_try = self.refused <= REFUSED_LIMIT
            && !self.accepted.left().is_zero()
            && self.gateway.may_retry(&self.accepted.service);
        if may_try {
            return Ok(());
        }
        Err(self.not_started(e, REFUSED_RETRY))
    }

    /// The error of a request that did not start: "not run" only when that is known.
    fn not_started(&self, e: Error, retry: Duration) -> (Error, Option<Duration>) {
        match self.attempts.not_run() {
            Some(_) => match e {
                Error::PathMalformed(_) => (e, Some(retry)),
                _ => (Error::no_path(e.to_string()), Some(retry)),
            },
            None => (Error::outcome_unknown(e.to_string()), None),
        }
    }

    /// Asks for a path, and waits for it where that is of use.
    async fn ask(&self) -> Result<Grant, (Error, Option<Duration>)> {
        let accepted = self.accepted;
        let now = self.gateway.now();
        let waited = accepted.arrived.elapsed();
        if waited >= patience(accepted) || accepted.left().is_zero() {
            // The caller has left or is about to.
            return Err(self.not_started(Error::DeadlinePassed, REFUSED_RETRY));
        }
        let until = |time: Duration| now + time.saturating_sub(waited + FIRST_EVENT);
        let ask = Ask {
            service: Arc::clone(&accepted.service),
            organisation: accepted.organisation_name(),
            rank: accepted.rank,
            tokens: tokens(accepted),
            on_time_by: until(accepted.route.target),
            latest: until(patience(accepted).min(accepted.left())),
            may_wait: true,
        };
        let granted = self.gateway.homes.ask(self.gateway, &ask).await;
        granted.map_err(|refusal| self.refusal(refusal))
    }

    fn refusal(&self, refusal: Refusal) -> (Error, Option<Duration>) {
        let after = refusal.retry_after;
        let error = match refusal.reason {
            Reason::NoPath => Error::no_path(&*self.accepted.service),
            Reason::WaitTooLong => Error::QueueFull(after),
            Reason::Expired => Error::DeadlineUnmeetable(after),
        };
        match self.attempts.not_run() {
            Some(_) => (error, Some(after)),
            None => (Error::outcome_unknown(error.to_string()), None),
        }
    }

    /// Sends the request to the first stage of `path` and waits for its answer's head.
    pub async fn open(
        &self,
        path: &[Stage],
        resume_after: Option<u64>,
    ) -> Result<Exchange, Refused> {
        let Some(first) = path.first() else {
            let e = Error::no_path(&*self.accepted.service);
            return Err(Refused::Failed(Attempt::Unsent, e));
        };
        let accepted = self.accepted;
        if accepted.left().is_zero() {
            return Err(Refused::Failed(Attempt::Unsent, Error::DeadlinePassed));
        }
        let dispatch = Dispatch {
            server: &first.id,
            organisation: accepted.organisation.as_deref(),
            wait: accepted.left(),
            urgency: Some(accepted.rank.0),
            path,
            resume_after,
        };
        let mut req = Request::new(Full::new(accepted.body.clone()));
        *req.method_mut() = accepted.method.clone();
        *req.uri_mut() = accepted.uri.clone();
        *req.headers_mut() = headers::forward(&accepted.headers, &dispatch);
        calls::set_length(req.headers_mut(), accepted);
        let by = Instant::now() + patience(accepted);
        let by = by.min(accepted.deadline);
        let answer = self.gateway.http.send(first.addr, req, by).await;
        let exchange = answer.map_err(|(attempt, e)| {
            self.gateway.homes.shun(self.gateway.now(), first.addr);
            Refused::Failed(attempt, e)
        })?;
        self.check(first.addr, path, exchange).await
    }

    /// Whether the head is one of a running stream.
    async fn check(
        &self,
        first: SocketAddr,
        path: &[Stage],
        exchange: Exchange,
    ) -> Result<Exchange, Refused> {
        let answered = Answered::read(exchange.head.headers());
        let status = exchange.head.status();
        // Also a refusal may be another request's, of which nothing follows for this one.
        if !headers::may_answer(exchange.head.headers(), Some(&self.accepted.attempt)) {
            let e = Error::backend_answer(format!("{first} answered another request"));
            return Err(Refused::Failed(Attempt::Sent, e));
        }
        if answered.is_not_run && status == http::StatusCode::BAD_REQUEST {
            let path = headers::path(path);
            let e = Error::path_malformed(format!("{first}: {path}"));
            self.gateway.counters.add("paths_malformed");
            if let Some(left_out) = self
                .gateway
                .lines
                .take(self.gateway.now(), "path_malformed")
            {
                warn!(self.gateway.log, "path malformed"; "id" => &self.accepted.attempt,
                    "code" => e.code().number(), "engine" => %first, "path" => path,
                    "left_out" => left_out);
            }
            return Err(Refused::Malformed(e));
        }
        if answered.is_not_run || status == http::StatusCode::MISDIRECTED_REQUEST {
            let at_fault = answered.at_fault.unwrap_or(first);
            let e = Error::backend_refused(format!("{at_fault}: {status}"));
            self.log_refused(first, at_fault, status.as_u16());
            return Err(Refused::NotRun(at_fault, e));
        }
        if answered.attempt.as_deref() != Some(self.accepted.attempt.as_str()) {
            let e = Error::backend_answer(format!("{first} answered another request"));
            return Err(Refused::Failed(Attempt::Sent, e));
        }
        if answered.is_encoded || !answered.is_sealed {
            let e = Error::backend_answer(format!("{first}: {status} without its mark"));
            return Err(Refused::Failed(Attempt::Sent, e));
        }
        if status.is_success() {
            return Ok(exchange);
        }
        let by = Instant::now() + FAILURE_TIME;
        let answer = self.gateway.http.read(exchange, by, FAILURE_LIMIT).await;
        match answer {
            Ok(answer) => Err(Refused::Own(answer)),
            Err((attempt, e)) => Err(Refused::Failed(attempt, e)),
        }
    }

    fn log_refused(&self, first: SocketAddr, at_fault: SocketAddr, status: u16) {
        let gateway = self.gateway;
        gateway.counters.add("paths_refused");
        if let Some(left_out) = gateway.lines.take(gateway.now(), "path_refused") {
            info!(gateway.log, "path refused"; "id" => &self.accepted.attempt,
                "first" => %first, "at_fault" => %at_fault, "status" => status,
                "left_out" => left_out);
        }
    }
}

/// `Refused` is why a path's first stage did not begin a stream.
pub enum Refused {
    /// It says that it did not run the request, because of this engine of the path.
    NotRun(SocketAddr, Error),
    /// It says that the path has a form that it takes from nobody. The same path is not
    /// tried again.
    Malformed(Error),
    /// It gave a failure of its own.
    Own(Response<Bytes>),
    /// No answer that can be used.
    Failed(Attempt, Error),
}

/// Tells all streams of this instance that an engine makes no progress.
pub fn dead(gateway: &Arc<Gateway>, addr: SocketAddr) {
    if !gateway.homes.shun(gateway.now(), addr) {
        return;
    }
    gateway.counters.add("engines_found_dead");
    info!(gateway.log, "engine makes no progress"; "engine" => %addr);
    // Nobody listens when no stream runs.
    let _ = gateway.faults.send(Fault::Dead(addr));
    let gateway = Arc::clone(gateway);
    tokio::spawn(async move { gateway.homes.tell(&gateway, Fault::Dead(addr)).await });
}

/// Tells all streams that lead over an engine that it leaves.
pub fn leaves(gateway: &Arc<Gateway>, addr: SocketAddr) {
    if !gateway.homes.shun(gateway.now(), addr) {
        return;
    }
    gateway.counters.add("engines_found_leaving");
    info!(gateway.log, "engine takes nothing new"; "engine" => %addr);
    let _ = gateway.faults.send(Fault::Leaving(addr));
    let gateway = Arc::clone(gateway);
    tokio::spawn(async move { gateway.homes.tell(&gateway, Fault::Leaving(addr)).await });
}

/// Records the time to the first event.
pub fn first_event(gateway: &Gateway, accepted: &Accepted) {
    let time = accepted.arrived.elapsed();
    let organisation = accepted.organisation_name();
    gateway
        .histograms
        .record(Measure::FirstToken, &organisation, accepted.rank, time);
}
