//! Starts streams on paths of engines, up to the head of the first engine's answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
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
use xxhash_rust::xxh3::Xxh3;

use hemlockwind_backend::http1::Exchange;
use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::attempt::Attempt;
use hemlockwind_core::attempt::Attempts;
use hemlockwind_core::servers::BackendServer;
use hemlockwind_paths::admission;
use hemlockwind_paths::admission::Caller;
use hemlockwind_paths::admission::Cause;
use hemlockwind_paths::queue_entry::Reason;
use hemlockwind_platform::headers;
use hemlockwind_platform::headers::Dispatch;
use hemlockwind_platform::headers::ServerHeaders;
use hemlockwind_platform::headers::Stage;
use hemlockwind_telemetry::histograms::Measure;

use crate::announcements;
use crate::answers;
use crate::answers::Body;
use crate::calls;
use crate::engine_ends::EndCause;
use crate::gateway::EngineFault;
use crate::gateway::Gateway;
use crate::in_progress::Phase;
use crate::quarantine;
use crate::queue_owners::Exclusion;
use crate::queue_owners::Grant;
use crate::queue_owners::PathRequest;
use crate::queue_owners::Refusal;
use crate::relay::Relay;
use crate::requests::Accepted;
use crate::requests::OTHER_INSTANCE_RETRY;

/// Number of events that are buffered for a slow caller.
const EVENT_BACKLOG: usize = 32;
/// Lower bound of the time that callers wait for the next event before they leave.
const MIN_WAIT_LIMIT: Duration = Duration::from_secs(2);
/// Callers wait for the first event up to this multiple of its target.
const WAIT_LIMIT_TARGETS: u32 = 4;
/// Callers wait for an event up to this multiple of the route's target for a pause.
const WAIT_LIMIT_PAUSES: u32 = 8;
/// Expected time from a start to the first event: prefill of the prompt and the first
/// step.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(180);
/// Why a stream without events is ended before the process ends.
const STOPPING: &str = "this instance is stopping";
/// Share of an answer's token limit that is expected when the caller gives no estimate.
const EXPECTED_ANSWER_RATIO: f64 = 0.6;
/// Largest number of attempts that did not run after which another one is made. Attempts that
/// may have run are counted separately, against the limit of the route.
const MAX_REFUSALS: u32 = 3;
/// How long an engine is excluded from new work after it refused to be part of a path.
/// Usually it lacks memory for a moment; dead and leaving engines are detected otherwise.
const REFUSAL_EXCLUSION: Duration = Duration::from_millis(100);
/// How long an engine that leaves is not to begin streams, if its queue owner does not know that:
/// longer than the announcement takes to get there.
const LEAVING_EXCLUSION: Duration = Duration::from_secs(5);
/// When to retry after all attempts were refused.
const REFUSED_RETRY: Duration = Duration::from_millis(1_000);
/// Largest random extension of a retry time, as a share of it: callers that were refused
/// together must not retry together.
const RETRY_JITTER: f64 = 0.6;
/// Largest body of a failure that is passed on.
const MAX_FAILURE_BODY_BYTES: usize = 1 << 20;
/// Time limit for reading a failure's body.
const FAILURE_BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// `Start` starts one stream and counts the attempts.
pub struct Start<'a> {
    /// The shared state of the instance.
    pub gateway: &'a Arc<Gateway>,
    /// The request.
    pub accepted: &'a Accepted,
    attempts: Attempts,
    /// The engines that may have run the request as the first of a path. Those that have ended
    /// since don't count.
    first_engines: Vec<SocketAddr>,
    sent: u32,
    refused: u32,
    /// Whether the last path request was refused by the rules for contended capacity. The queue
    /// owner then spreads the retry times.
    is_scheduled: bool,
}

/// `SentTo` says where and how often a request was sent without a refusal.
pub struct SentTo {
    /// The engines that may have run it as the first of a path, without those that have ended.
    pub first_engines: Vec<SocketAddr>,
    /// How often it was sent.
    pub times: u32,
}

/// `Started` is the result of a start.
enum Started {
    /// The first engine runs the stream; its answer is not read yet.
    Running(Grant, Exchange),
    /// The first engine answered with a failure, which is passed on.
    Failure(Response<Bytes>),
}

/// Returns the number of tokens in a request's prompt and expected answer.
pub fn expected_tokens(accepted: &Accepted) -> u32 {
    let client = &accepted.client;
    let limit = client.answer_limit.unwrap_or(256);
    let usual = (f64::from(limit) * EXPECTED_ANSWER_RATIO) as u32;
    let expected = client.answer_guess.unwrap_or(usual).min(limit);
    client.prompt.unwrap_or(0) + expected.max(1)
}

/// Returns how long callers wait for an event before they leave.
pub fn wait_limit(accepted: &Accepted) -> Duration {
    let route = &accepted.route;
    let pauses = route.gap_target.unwrap_or_default() * WAIT_LIMIT_PAUSES;
    MIN_WAIT_LIMIT
        .max(route.target * WAIT_LIMIT_TARGETS)
        .max(pauses)
}

/// Serves one stream.
pub async fn serve(gateway: &Arc<Gateway>, accepted: Accepted) -> Response<Body> {
    let mut start = Start {
        gateway,
        accepted: &accepted,
        attempts: Attempts::default(),
        first_engines: Vec::new(),
        sent: 0,
        refused: 0,
        is_scheduled: false,
    };
    let started = match quarantine::admit(gateway, &accepted) {
        Ok(()) => start.run().await,
        Err(e) => Err((e, None)),
    };
    let (sent, refused, is_scheduled) = (start.sent, start.refused, start.is_scheduled);
    let first_engines = std::mem::take(&mut start.first_engines);
    let outcome = match started {
        Ok(Started::Running(grant, exchange)) => {
            let sent_to = SentTo {
                first_engines,
                times: sent,
            };
            return run(gateway, accepted, grant, exchange, sent_to).await;
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
            *response.headers_mut() = headers::end_to_end(&parts.headers);
            response
        }
        Err((e, retry)) => {
            let jitter = if is_scheduled { 0.0 } else { RETRY_JITTER };
            let spread = 1.0 + jitter * rand::random::<f64>();
            let retry = retry.map(|after| after.mul_f64(spread));
            answers::failure(&e, Some(&accepted.attempt), retry)
        }
    };
    if let Some(left_out) = gateway.lines.take(gateway.now(), "stream_refused") {
        let (running, waiting) = gateway.queue_owners.load();
        info!(gateway.log, "stream not started"; "id" => &accepted.attempt,
            "route" => &*accepted.route.name, "routes" => accepted.version,
            "status" => response.status().as_u16(), "error" => error,
            "sent" => sent, "refused" => refused,
            "running" => running, "waiting" => waiting, "tokens" => expected_tokens(&accepted),
            "parts" => accepted.client.shared_parts.join(","),
            "ms" => accepted.arrived.elapsed().as_millis() as u64, "left_out" => left_out);
    }
    response
}

/// Relays the events of a stream that an engine has begun.
async fn run(
    gateway: &Arc<Gateway>,
    accepted: Accepted,
    grant: Grant,
    exchange: Exchange,
    sent: SentTo,
) -> Response<Body> {
    let (tx, mut rx) = mpsc::channel(EVENT_BACKLOG);
    let attempt = accepted.attempt.clone();
    let mut response = Response::new(());
    *response.status_mut() = exchange.head.status();
    *response.headers_mut() = headers::end_to_end(exchange.head.headers());
    // The relay may combine the events of several runs.
    response.headers_mut().remove(http::header::CONTENT_LENGTH);
    let relay = Relay::new(Arc::clone(gateway), accepted, grant, tx, sent);
    tokio::spawn(relay.run(exchange));
    // The head is sent with the first event, so that a stream that ends before it can still be
    // answered with an error.
    let first = tokio::select! {
        biased;
        first = rx.recv() => first,
        // The relay ends with its receiver.
        () = gateway.answers_due() => Some(Err(Error::outcome_unknown(STOPPING))),
    };
    if let Some(Err(e)) = &first {
        return answers::failure(e, Some(&attempt), None);
    }
    let frames = futures::stream::iter(first).chain(ReceiverStream::new(rx));
    let body = StreamBody::new(frames.map(|frame| frame.map_err(std::io::Error::other)));
    response.map(|()| BodyExt::boxed_unsync(body))
}

/// `BodyFrame` is a frame of the answer to the caller; an error breaks the connection.
pub type BodyFrame = Result<Frame<Bytes>>;

impl<'a> Start<'a> {
    /// Returns a start that continues a stream which was sent `sent` times before.
    pub fn resumed(gateway: &'a Arc<Gateway>, accepted: &'a Accepted, sent: u32) -> Self {
        Self {
            gateway,
            accepted,
            attempts: Attempts::default(),
            first_engines: Vec::new(),
            sent,
            refused: 0,
            is_scheduled: false,
        }
    }

    async fn run(&mut self) -> Result<Started, (Error, Option<Duration>)> {
        loop {
            self.accepted.progress.set_phase(Phase::Waiting);
            let grant = self.request_path().await?;
            quarantine::recheck(self.gateway, self.accepted)
                .map_err(|e| self.not_started(e, REFUSED_RETRY))?;
            let index = self.attempts.open();
            self.accepted.progress.set_phase(Phase::Starting);
            let opened = tokio::select! {
                biased;
                opened = self.open(&grant.path, self.accepted.client.resume_after) => opened,
                () = self.gateway.answers_due() => {
                    // It was sent, so an engine may run it.
                    self.attempts.record(index, Attempt::Sent);
                    return Err(self.not_started(Error::Stopping, OTHER_INSTANCE_RETRY));
                }
            };
            match opened {
                Ok(exchange) => {
                    self.sent += 1;
                    self.record_first_engine(&grant);
                    return Ok(Started::Running(grant, exchange));
                }
                Err(OpenError::EngineFailure(answer)) => return Ok(Started::Failure(answer)),
                Err(OpenError::NotRun(at_fault, e)) => {
                    self.attempts.record(index, Attempt::Sent);
                    self.attempts.record(index, Attempt::Refused);
                    let queue_owners = &self.gateway.queue_owners;
                    queue_owners
                        .report_refusal(self.gateway, &grant, at_fault, REFUSAL_EXCLUSION)
                        .await;
                    drop(grant);
                    self.after_refusal(e)?;
                }
                Err(OpenError::NotWanted(e, time)) => {
                    let first = grant.path.first().map(|s| s.addr);
                    self.attempts.record(index, Attempt::Refused);
                    if let Some(first) = first {
                        let queue_owners = &self.gateway.queue_owners;
                        queue_owners
                            .report_no_starts(self.gateway, &grant, first, time)
                            .await;
                    }
                    drop(grant);
                    self.after_refusal(e)?;
                }
                Err(OpenError::Malformed(e)) => {
                    self.attempts.record(index, Attempt::Sent);
                    self.attempts.record(index, Attempt::Refused);
                    return Err(self.not_started(e, REFUSED_RETRY));
                }
                Err(OpenError::Failed(Attempt::Unsent, e)) => self.after_refusal(e)?,
                Err(OpenError::Failed(attempt, e)) => {
                    self.attempts.record(index, attempt);
                    self.sent += 1;
                    if let Some(first) = grant.path.first() {
                        let cause =
                            after_lost_engine(self.gateway, self.accepted, first.addr, false)
                                .await
                                .map_err(|e| self.not_started(e, REFUSED_RETRY))?;
                        if cause == EndCause::Running {
                            self.record_first_engine(&grant);
                        }
                    }
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

    fn record_first_engine(&mut self, grant: &Grant) {
        let first = grant.path.first().map(|s| s.addr);
        if let Some(first) = first.filter(|addr| !self.first_engines.contains(addr)) {
            self.first_engines.push(first);
        }
    }

    /// Counts an attempt that did not run.
    ///
    /// # Errors
    ///
    /// Returns the error for the caller when there may be no further attempt.
    fn after_refusal(&mut self, e: Error) -> Result<(), (Error, Option<Duration>)> {
        self.refused += 1;
        let may_try = self.refused <= MAX_REFUSALS
            && !self.accepted.time_left().is_zero()
            && self.gateway.may_retry(&self.accepted.service);
        if may_try {
            return Ok(());
        }
        Err(self.not_started(e, REFUSED_RETRY))
    }

    /// Returns the error of a request that did not start. It says that the request was
    /// not run only if no attempt may have run.
    fn not_started(&self, e: Error, retry: Duration) -> (Error, Option<Duration>) {
        match self.attempts.not_run() {
            Some(_) => match e {
                Error::PathMalformed(_) | Error::Stopping => (e, Some(retry)),
                Error::Quarantined(_, after) => (e, Some(after)),
                _ => (Error::no_path(e.to_string()), Some(retry)),
            },
            None => (Error::outcome_unknown(e.to_string()), None),
        }
    }

    /// Requests a path and waits for it as long as it is of use.
    async fn request_path(&mut self) -> Result<Grant, (Error, Option<Duration>)> {
        let accepted = self.accepted;
        let now = self.gateway.now();
        let waited = accepted.arrived.elapsed();
        if waited >= wait_limit(accepted) || accepted.time_left().is_zero() {
            // The caller has left or is about to leave.
            return Err(self.not_started(Error::DeadlinePassed, REFUSED_RETRY));
        }
        let until = |time: Duration| now + time.saturating_sub(waited + FIRST_EVENT_TIME);
        let request = PathRequest {
            service: Arc::clone(&accepted.service),
            organisation: accepted.organisation_name(),
            rank: accepted.rank,
            tokens: expected_tokens(accepted),
            on_time_by: until(accepted.route.target),
            latest: until(wait_limit(accepted).min(accepted.time_left())),
            may_wait: true,
            caller: Some(Caller {
                fingerprint: fingerprint(accepted),
                deadline: Some(now + accepted.time_left()),
                route_rank: Some(accepted.route.rank),
            }),
        };
        let queue_owners = &self.gateway.queue_owners;
        self.is_scheduled = false;
        tokio::select! {
            biased;
            granted = queue_owners.request_path(self.gateway, &request) => {
                granted.map_err(|refusal| self.refusal(refusal))
            }
            () = self.gateway.left_to_others(accepted.deadline) => {
                Err(self.not_started(Error::Stopping, OTHER_INSTANCE_RETRY))
            }
            () = self.gateway.answers_due() => {
                Err(self.not_started(Error::Stopping, OTHER_INSTANCE_RETRY))
            }
        }
    }

    fn refusal(&mut self, refusal: Refusal) -> (Error, Option<Duration>) {
        if let Some(admission) = &refusal.admission {
            self.is_scheduled = true;
            self.log_not_admitted(admission);
        }
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

    /// Sends the request to the first stage of `path` and waits for the head of its
    /// answer.
    pub async fn open(
        &self,
        path: &[Stage],
        resume_after: Option<u64>,
    ) -> Result<Exchange, OpenError> {
        let Some(first) = path.first() else {
            let e = Error::no_path(&*self.accepted.service);
            return Err(OpenError::Failed(Attempt::Unsent, e));
        };
        let accepted = self.accepted;
        if accepted.time_left().is_zero() {
            return Err(OpenError::Failed(Attempt::Unsent, Error::DeadlinePassed));
        }
        // Its answer concerns the process that is known now.
        let server = self.gateway.directory.read().get(&first.id).cloned();
        if let Some(time) = not_wanted(self.gateway, first, server.as_deref()) {
            let e = Error::backend_refused(format!("{} wants no requests", first.addr));
            return Err(OpenError::NotWanted(e, time));
        }
        let dispatch = Dispatch {
            server: &first.id,
            organisation: accepted.organisation.as_deref(),
            wait: accepted.time_left(),
            urgency: Some(accepted.rank.0),
            path,
            resume_after,
        };
        let mut req = Request::new(Full::new(accepted.body.clone()));
        *req.method_mut() = accepted.method.clone();
        *req.uri_mut() = accepted.uri.clone();
        *req.headers_mut() = headers::forward(&accepted.headers, &dispatch);
        calls::set_length(req.headers_mut(), accepted);
        let deadline = Instant::now() + wait_limit(accepted);
        let deadline = deadline.min(accepted.deadline);
        let answer = self.gateway.http.send(first.addr, req, deadline).await;
        let exchange = answer.map_err(|(attempt, e)| {
            self.gateway
                .queue_owners
                .exclude(self.gateway.now(), first.addr, Exclusion::NoAnswer);
            OpenError::Failed(attempt, e)
        })?;
        let answered = ServerHeaders::read(exchange.head.headers());
        if let Some(server) = server
            && headers::may_answer(exchange.head.headers(), Some(&accepted.attempt))
        {
            let status = exchange.head.status();
            announcements::record(self.gateway, &server, status, &answered);
        }
        self.check(first.addr, path, exchange).await
    }

    /// Returns the exchange if its head is that of a running stream of this request.
    async fn check(
        &self,
        first: SocketAddr,
        path: &[Stage],
        exchange: Exchange,
    ) -> Result<Exchange, OpenError> {
        let answered = ServerHeaders::read(exchange.head.headers());
        let status = exchange.head.status();
        // A refusal, too, may belong to another request; it then says nothing about this one.
        if !headers::may_answer(exchange.head.headers(), Some(&self.accepted.attempt)) {
            let e = Error::backend_answer(format!("{first} answered another request"));
            return Err(OpenError::Failed(Attempt::Sent, e));
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
            return Err(OpenError::Malformed(e));
        }
        if answered.is_not_run || status == http::StatusCode::MISDIRECTED_REQUEST {
            let at_fault = answered.at_fault.unwrap_or(first);
            let e = Error::backend_refused(format!("{at_fault}: {status}"));
            self.log_refused(first, at_fault, status.as_u16());
            return Err(OpenError::NotRun(at_fault, e));
        }
        if answered.attempt.as_deref() != Some(self.accepted.attempt.as_str()) {
            let e = Error::backend_answer(format!("{first} answered another request"));
            return Err(OpenError::Failed(Attempt::Sent, e));
        }
        if answered.is_encoded || !answered.is_sealed {
            let e = Error::backend_answer(format!("{first}: {status} is encoded or not sealed"));
            return Err(OpenError::Failed(Attempt::Sent, e));
        }
        if status.is_success() {
            return Ok(exchange);
        }
        let deadline = Instant::now() + FAILURE_BODY_TIMEOUT;
        let answer = self
            .gateway
            .http
            .read(exchange, deadline, MAX_FAILURE_BODY_BYTES)
            .await;
        match answer {
            Ok(answer) => Err(OpenError::EngineFailure(answer)),
            Err((attempt, e)) => Err(OpenError::Failed(attempt, e)),
        }
    }

    fn log_not_admitted(&self, refusal: &admission::Refusal) {
        let gateway = self.gateway;
        gateway.counters.add(refusal_counter(refusal));
        if let Some(left_out) = gateway.lines.take(gateway.now(), "not_admitted") {
            info!(gateway.log, "not admitted"; "id" => &self.accepted.attempt,
                "service" => &*self.accepted.service,
                "organisation" => &*self.accepted.organisation_name(),
                "rank" => refusal.rank.0, "cause" => cause_name(refusal.cause),
                "tokens_in_progress" => refusal.tokens_in_progress as u64,
                "expected_wait_ms" => refusal.expected_wait.as_millis() as u64,
                "time_left_ms" => refusal.time_left.as_millis() as u64,
                "retry_ms" => refusal.retry_after.as_millis() as u64,
                "refused_before" => refusal.was_refused, "left_out" => left_out);
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

/// Returns the fingerprint of a request, by which a refused caller is recognised when it returns:
/// the attempt's id changes, the prompt does not. `None` if the caller doesn't describe its prompt.
fn fingerprint(accepted: &Accepted) -> Option<u64> {
    let prompt = headers::prompt_parts(&accepted.headers)?;
    let mut hasher = Xxh3::new();
    for part in [&*accepted.organisation_name(), &*accepted.service, prompt] {
        // The length keeps the end of one part apart from the start of the next one.
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    Some(hasher.digest())
}

/// Returns the name of a cause in log lines.
const fn cause_name(cause: Cause) -> &'static str {
    match cause {
        Cause::NoPath => "no path",
        Cause::Arrival => "arrival",
        Cause::Waiting => "waiting",
        Cause::Expired => "expired",
        Cause::QueueFull => "queue full",
    }
}

/// Returns the counter of refusals of this rank and cause.
const fn refusal_counter(refusal: &admission::Refusal) -> &'static str {
    match (refusal.rank.0, refusal.cause) {
        (0, Cause::NoPath) => "admission_refused_rank_0_no_path",
        (0, Cause::Arrival) => "admission_refused_rank_0_arrival",
        (0, Cause::Waiting) => "admission_refused_rank_0_waiting",
        (0, Cause::Expired) => "admission_refused_rank_0_expired",
        (0, Cause::QueueFull) => "admission_refused_rank_0_queue_full",
        (1, Cause::NoPath) => "admission_refused_rank_1_no_path",
        (1, Cause::Arrival) => "admission_refused_rank_1_arrival",
        (1, Cause::Waiting) => "admission_refused_rank_1_waiting",
        (1, Cause::Expired) => "admission_refused_rank_1_expired",
        (1, Cause::QueueFull) => "admission_refused_rank_1_queue_full",
        (2, Cause::NoPath) => "admission_refused_rank_2_no_path",
        (2, Cause::Arrival) => "admission_refused_rank_2_arrival",
        (2, Cause::Waiting) => "admission_refused_rank_2_waiting",
        (2, Cause::Expired) => "admission_refused_rank_2_expired",
        (2, Cause::QueueFull) => "admission_refused_rank_2_queue_full",
        (3.., Cause::NoPath) => "admission_refused_rank_3_no_path",
        (3.., Cause::Arrival) => "admission_refused_rank_3_arrival",
        (3.., Cause::Waiting) => "admission_refused_rank_3_waiting",
        (3.., Cause::Expired) => "admission_refused_rank_3_expired",
        (3.., Cause::QueueFull) => "admission_refused_rank_3_queue_full",
    }
}

/// Returns for how long an engine wants no request of this instance, if it doesn't.
fn not_wanted(
    gateway: &Gateway,
    first: &Stage,
    server: Option<&BackendServer>,
) -> Option<Duration> {
    if gateway.directory.read().is_leaving(&first.id) {
        return Some(LEAVING_EXCLUSION);
    }
    gateway.pauses.rest(gateway.now(), server?)
}

/// `OpenError` says why the first stage of a path did not begin a stream.
pub enum OpenError {
    /// The first engine reports that it did not run the request, because of this engine of
    /// the path.
    NotRun(SocketAddr, Error),
    /// The first engine announced that it leaves or that it wants no requests for this time, so
    /// nothing was sent.
    NotWanted(Error, Duration),
    /// The first engine reports that the path is malformed. The same path is not tried
    /// again.
    Malformed(Error),
    /// The first engine answered with a failure, which is passed on.
    EngineFailure(Response<Bytes>),
    /// There is no usable answer.
    Failed(Attempt, Error),
}

/// Handles the loss of the connection to the first engine of a stream: records a crash for the
/// parts of its prompt, unless its answer had begun. Returns why the connection was lost.
///
/// # Errors
///
/// Returns `Error::Quarantined` if the stream must not be sent again.
pub async fn after_lost_engine(
    gateway: &Arc<Gateway>,
    accepted: &Accepted,
    first: SocketAddr,
    has_begun: bool,
) -> Result<EndCause> {
    let end = gateway.engine_ends.examine(gateway, first).await;
    if end.cause == EndCause::Crashed {
        report_dead(gateway, first);
        if !has_begun {
            gateway.quarantine.on_crash(gateway, accepted, &end);
            quarantine::admit(gateway, accepted)?;
        }
    }
    Ok(end.cause)
}

/// Excludes an engine that makes no progress, and notifies the streams of this instance
/// and the other instances.
pub fn report_dead(gateway: &Arc<Gateway>, addr: SocketAddr) {
    let now = gateway.now();
    if !gateway.queue_owners.exclude(now, addr, Exclusion::Dead) {
        return;
    }
    gateway.counters.add("engines_found_dead");
    info!(gateway.log, "engine makes no progress"; "engine" => %addr);
    // Sending fails when no stream runs.
    let _ = gateway.faults.send(EngineFault::Dead(addr));
    let gateway = Arc::clone(gateway);
    tokio::spawn(async move {
        gateway
            .queue_owners
            .notify_fault(&gateway, EngineFault::Dead(addr))
            .await
    });
}

/// Excludes an engine that leaves, and notifies the streams of this instance and the
/// other instances.
pub fn report_leaving(gateway: &Arc<Gateway>, addr: SocketAddr) {
    let now = gateway.now();
    if !gateway.queue_owners.exclude(now, addr, Exclusion::Leaving) {
        return;
    }
    gateway.counters.add("engines_found_leaving");
    info!(gateway.log, "engine is leaving"; "engine" => %addr);
    let _ = gateway.faults.send(EngineFault::Leaving(addr));
    let gateway = Arc::clone(gateway);
    tokio::spawn(async move {
        gateway
            .queue_owners
            .notify_fault(&gateway, EngineFault::Leaving(addr))
            .await
    });
}

/// Records the first event: its time, and that the parts of the prompt crash no engine.
pub fn record_first_event(gateway: &Gateway, accepted: &Accepted) {
    gateway.quarantine.on_begin(gateway, &accepted.parts);
    let time = accepted.arrived.elapsed();
    let organisation = accepted.organisation_name();
    gateway
        .histograms
        .record(Measure::FirstToken, &organisation, accepted.rank, time);
}
