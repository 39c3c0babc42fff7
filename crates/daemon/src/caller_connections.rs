//! The connections and requests of callers and operators, and what they hold.
//!
//! Two [`CallerBudget`]s decide: one for the connections with their heads and HTTP/2 windows, and
//! one for the requests with their bodies, since one HTTP/2 connection has many requests. This
//! module reports to them what happens, and ends what they evict.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use axum::body::Body;
use axum::body::Bytes;
use axum::http::HeaderMap;
use axum::http::HeaderName;
use axum::response::IntoResponse;
use axum::response::Response;
use hyper::body::Body as _;
use hyper::body::Frame;
use hyper::body::SizeHint;
use parking_lot::Mutex;
use slog::Logger;
use slog::info;
use slog::warn;
use slotmap::SecondaryMap;
use tokio_util::sync::CancellationToken;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::attempt::Ran;
use hemlockwind_core::edges::Clock;
use hemlockwind_core::time::Instant;
use hemlockwind_limits::CallerBudget;
use hemlockwind_limits::CallerLimits;
use hemlockwind_limits::caller_budget::ConnectionKey;
use hemlockwind_limits::caller_budget::Phase;
use hemlockwind_limits::caller_budget::Verdict;
use hemlockwind_settings::settings::Limits;
use hemlockwind_telemetry::Metrics;
use hemlockwind_telemetry::budget::LineBudget;

use crate::machine;
use crate::problem::Failure;

/// Maximum number of unread bytes of all streams of one HTTP/2 connection, and of one of them. It
/// is the smallest window that the protocol allows for a connection.
pub const HTTP2_WINDOW_BYTES: u32 = 65_535;
/// The beginning of an HTTP/2 connection.
const HTTP2_PREFACE: &[u8] = b"PRI ";
/// Memory of a request without its body: its header fields, its task and its answer.
const REQUEST_BYTES: usize = 8 << 10;
/// As [`REQUEST_BYTES`], for HTTP/2, with the state of the stream. At 8 KiB, 1,464 requests whose answers
/// waited for their windows took a process of 64 MB to 56 MB, and the next ones to 77 MB.
const HTTP2_REQUEST_BYTES: usize = 24 << 10;
/// Memory of one header field: an entry of the map, whose table is at most half empty.
const FIELD_BYTES: usize = 192;
/// The header with the request's id.
const REQUEST_HEADER: HeaderName = HeaderName::from_static("x-request-id");
/// Header fields whose memory [`REQUEST_BYTES`] contains.
const FREE_FIELDS: usize = 32;
/// Size up to which a head is read into the first buffer of its connection.
const FREE_HEAD_BYTES: usize = 8 << 10;
/// Descriptors that are not available to callers: listeners, the runtime, the platform, and
/// connections to the first backend servers and instances. Beside the share that the limits leave
/// for these, it counts where there are only few descriptors.
const RESERVED_FILES: usize = 64;
/// Share of the requests' bytes that the requests of one connection without bodies may use.
const STREAMS_DIVISOR: usize = 4;
/// Maximum number of concurrent requests on one HTTP/2 connection of a machine with much memory.
const MAX_STREAMS: u32 = 1_000;
/// Maximum number of refusals on one HTTP/2 connection that wait for their streams' windows. They are
/// not part of the budget.
const MAX_UNSENT_REFUSALS: usize = 32;
/// When to retry after a refusal for want of memory: evicted connections have closed by then.
const MEMORY_RETRY: Duration = Duration::from_secs(1);
/// Interval at which time limits are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time between two checks after which limits are checked. A process that was paused for
/// longer has not read what its callers sent.
const MAX_CHECK_DELAY: Duration = Duration::from_secs(2);

/// `Callers` holds the connections and requests of the listeners for callers and operators.
pub struct Callers {
    clock: Arc<dyn Clock>,
    log: Logger,
    lines: LineBudget,
    metrics: Arc<Metrics>,
    state: Mutex<State>,
}

/// `Checks` is the time of the last check of the time limits.
struct Checks {
    checked_at: Instant,
    is_left_out: bool,
}

struct State {
    checks: Checks,
    connections: Side,
    requests: Side,
}

/// `Side` is a budget and what ends its entries.
struct Side {
    budget: CallerBudget,
    evicted: SecondaryMap<ConnectionKey, CancellationToken>,
    /// What is cancelled as well when an entry is evicted.
    connections: SecondaryMap<ConnectionKey, CancellationToken>,
}

/// `Connection` is one connection of a caller.
pub struct Connection {
    callers: Arc<Callers>,
    key: ConnectionKey,
    evicted: CancellationToken,
    /// Whether the first bytes were received.
    has_begun: AtomicBool,
    is_http2: AtomicBool,
    /// Number of requests in progress.
    requests: AtomicUsize,
    /// Number of requests without a lease whose answers were not taken.
    refusals: AtomicUsize,
    /// Bytes of the head that is being received.
    head_bytes: AtomicUsize,
    /// Whether the caller has not read what was to be written.
    is_blocked: AtomicBool,
}

/// `Lease` is the part of the budget that one request uses, until its answer was read whole from
/// its source.
pub struct Lease {
    connection: Arc<Connection>,
    key: ConnectionKey,
    evicted: CancellationToken,
    reservation: Arc<Reservation>,
}

/// `Reservation` is the memory of one request. It does not keep the connection, so that a call
/// that goes on without its caller uses no connection.
pub struct Reservation {
    callers: Arc<Callers>,
    key: ConnectionKey,
    /// Bytes that are reserved for the request's body.
    body_bytes: AtomicUsize,
}

impl Side {
    fn new(limits: CallerLimits) -> Self {
        Self {
            budget: CallerBudget::new(limits),
            evicted: SecondaryMap::new(),
            connections: SecondaryMap::new(),
        }
    }

    fn connect(&mut self, callers: &Callers) -> Option<(ConnectionKey, CancellationToken)> {
        let now = callers.clock.now();
        let key = self.budget.connect(now).or_else(|| {
            let keys = self.budget.evict(now);
            self.end(callers, &keys);
            self.budget.connect(now)
        })?;
        let token = CancellationToken::new();
        self.evicted.insert(key, token.clone());
        Some((key, token))
    }

    fn close(&mut self, key: ConnectionKey) {
        self.budget.close(key);
        self.evicted.remove(key);
        self.connections.remove(key);
    }

    fn reserve(&mut self, callers: &Callers, key: ConnectionKey, bytes: usize) -> Result<()> {
        match self.budget.reserve(callers.clock.now(), key, bytes) {
            Verdict::Granted => Ok(()),
            Verdict::Refused => Err(callers.refusal(&self.budget)),
            Verdict::Evict(keys) => {
                self.end(callers, &keys);
                Ok(())
            }
        }
    }

    fn evict(&mut self, callers: &Callers) {
        let keys = self.budget.evict(callers.clock.now());
        self.end(callers, &keys);
    }

    /// Ends what was evicted.
    fn end(&self, callers: &Callers, keys: &[ConnectionKey]) {
        for key in keys {
            let (Some(cause), Some(token)) = (self.budget.cause(*key), self.evicted.get(*key))
            else {
                continue;
            };
            if token.is_cancelled() {
                continue;
            }
            token.cancel();
            if let Some(connection) = self.connections.get(*key) {
                connection.cancel();
            }
            let counter = match cause.is_timeout() {
                true => "callers_timed_out",
                false => "callers_evicted",
            };
            callers.metrics.count(counter, 1);
            let now = callers.clock.now();
            if let Some(left_out) = callers.lines.take(now, cause.name()) {
                info!(callers.log, "caller evicted"; "cause" => cause.name(), "held" => self.budget.held(),
                    "limit" => self.budget.limits().bytes, "connections" => self.budget.connections(),
                    "left_out" => left_out);
            }
        }
    }
}

impl Callers {
    /// Returns the empty set for a process with these settings.
    pub fn new(limits: &Limits, clock: Arc<dyn Clock>, log: Logger, metrics: Arc<Metrics>) -> Self {
        let memory = limits.memory_mb.map(|mb| mb * 1_000_000);
        let memory = memory.unwrap_or_else(machine::memory_bytes);
        let files = limits.open_files.unwrap_or_else(machine::max_open_files);
        let machine = CallerLimits::for_machine(memory, files.saturating_sub(RESERVED_FILES));
        let connections = CallerLimits {
            bytes: machine.bytes / 4,
            head_timeout: Duration::from_millis(limits.receive_ms),
            ..machine
        };
        let requests = CallerLimits {
            bytes: machine.bytes / 4 * 3,
            // Bounded by their bytes.
            connections: usize::MAX,
            // A stream's answer may be read slowly while none of its frames is taken. It is ended only
            // when memory is short; a connection on which nothing is read has its own limit.
            answer_timeout: Duration::MAX,
            ..machine
        };
        Self {
            lines: LineBudget::new(clock.now()),
            state: Mutex::new(State {
                checks: Checks {
                    checked_at: clock.now(),
                    is_left_out: false,
                },
                connections: Side::new(connections),
                requests: Side::new(requests),
            }),
            clock,
            log,
            metrics,
        }
    }

    /// Adds a connection. If all are in use, the worst one is closed for it. Returns `None` if none
    /// can be closed.
    pub fn connect(self: &Arc<Self>) -> Option<Arc<Connection>> {
        let mut state = self.state.lock();
        let Some((key, evicted)) = state.connections.connect(self) else {
            self.metrics.count("connections_refused", 1);
            if let Some(left_out) = self.lines.take(self.clock.now(), "connection refused") {
                warn!(self.log, "connection refused"; "left_out" => left_out,
                    "connections" => state.connections.budget.connections());
            }
            return None;
        };
        Some(Arc::new(Connection {
            callers: Arc::clone(self),
            key,
            evicted,
            has_begun: AtomicBool::new(false),
            is_http2: AtomicBool::new(false),
            requests: AtomicUsize::new(0),
            refusals: AtomicUsize::new(0),
            head_bytes: AtomicUsize::new(0),
            is_blocked: AtomicBool::new(false),
        }))
    }

    /// Returns the maximum number of concurrent requests on one HTTP/2 connection. A few connections
    /// with requests alone can't use up the memory of all callers.
    pub fn max_streams(&self) -> u32 {
        let bytes = self.state.lock().requests.budget.limits().bytes;
        let streams = bytes / STREAMS_DIVISOR / HTTP2_REQUEST_BYTES;
        u32::try_from(streams).map_or(MAX_STREAMS, |streams| streams.clamp(1, MAX_STREAMS))
    }

    /// Closes the worst connection, as the process has no descriptor for a new one.
    pub fn free_descriptor(&self) {
        let mut state = self.state.lock();
        state.connections.budget.request_descriptor();
        state.connections.evict(self);
    }

    /// Checks the time limits until the task is ended.
    pub async fn run_checks(self: Arc<Self>) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            self.check();
        }
    }

    /// Ends the connections and requests that exceed a time limit, and reports the bytes held. After
    /// a pause of the process, the first call ends none: what arrived meanwhile is read before.
    pub fn check(&self) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let checks = &mut state.checks;
        let delay = now.since(std::mem::replace(&mut checks.checked_at, now));
        // Two checks in a row are not left out, so that a slow process keeps the limits.
        checks.is_left_out = delay > MAX_CHECK_DELAY && !checks.is_left_out;
        if checks.is_left_out {
            return;
        }
        state.connections.evict(self);
        state.requests.evict(self);
        let held = state.connections.budget.held() + state.requests.budget.held();
        drop(state);
        self.metrics.gauge("callers_bytes", held as u64);
    }

    /// Counts a request for which there is no memory, and returns the error.
    fn refusal(&self, budget: &CallerBudget) -> Error {
        self.metrics.count("callers_refused_memory", 1);
        let now = self.clock.now();
        if let Some(left_out) = self.lines.take(now, "no memory for caller") {
            info!(self.log, "no memory for caller"; "held" => budget.held(),
                "limit" => budget.limits().bytes, "left_out" => left_out);
        }
        Error::CallerMemory(MEMORY_RETRY)
    }
}

impl Connection {
    /// Completes when the connection has to be closed.
    pub async fn evicted(&self) {
        self.evicted.cancelled().await;
    }

    /// Begins a request.
    ///
    /// # Errors
    ///
    /// `Error::CallerMemory` if there is no memory for it.
    pub fn begin(self: &Arc<Self>, headers: &HeaderMap) -> Result<Arc<Lease>> {
        let callers = &self.callers;
        let now = callers.clock.now();
        let fields = headers.len().saturating_sub(FREE_FIELDS) * FIELD_BYTES;
        let mut state = callers.state.lock();
        let refusal = || Error::CallerMemory(MEMORY_RETRY);
        let (key, evicted) = state.requests.connect(callers).ok_or_else(refusal)?;
        state.requests.budget.set_phase(now, key, Phase::Body);
        let request = match self.is_http2.load(Ordering::Relaxed) {
            true => HTTP2_REQUEST_BYTES,
            false => REQUEST_BYTES,
        };
        let reserved = state.requests.reserve(callers, key, request + fields);
        if let Err(e) = reserved {
            state.requests.close(key);
            return Err(e);
        }
        self.requests.fetch_add(1, Ordering::Relaxed);
        let head_bytes = self.head_bytes.swap(0, Ordering::Relaxed);
        let connections = &mut state.connections.budget;
        connections.release(self.key, head_bytes / FREE_HEAD_BYTES * FREE_HEAD_BYTES);
        if !self.is_blocked.load(Ordering::Relaxed) {
            connections.set_phase(now, self.key, Phase::Running);
        }
        drop(state);
        let reservation = Reservation {
            callers: Arc::clone(callers),
            key,
            body_bytes: AtomicUsize::new(0),
        };
        Ok(Arc::new(Lease {
            connection: Arc::clone(self),
            key,
            evicted,
            reservation: Arc::new(reservation),
        }))
    }

    /// Returns the answer to a request that could not begin. A connection with too many of them
    /// that were not taken is closed.
    pub fn refuse(self: Arc<Self>, response: Response) -> Response {
        let before = self.refusals.fetch_add(1, Ordering::Relaxed);
        if before >= MAX_UNSENT_REFUSALS {
            self.evicted.cancel();
        }
        response.map(|body| {
            Body::new(RefusalBody {
                body,
                connection: self,
            })
        })
    }

    /// Records received bytes.
    ///
    /// # Errors
    ///
    /// If there is no memory for a longer head or for the windows of HTTP/2.
    pub fn receive(&self, data: &[u8]) -> io::Result<()> {
        if !self.has_begun.swap(true, Ordering::Relaxed) && data.starts_with(HTTP2_PREFACE) {
            self.is_http2.store(true, Ordering::Relaxed);
            return self.reserve(HTTP2_WINDOW_BYTES as usize);
        }
        // HTTP/2 bounds its heads by itself. Bytes that are read ahead stay in the buffer, whose
        // size is bounded.
        let is_head =
            !self.is_http2.load(Ordering::Relaxed) && self.requests.load(Ordering::Relaxed) == 0;
        if !is_head {
            return Ok(());
        }
        let before = self.head_bytes.fetch_add(data.len(), Ordering::Relaxed);
        if before == 0 {
            self.set_phase(Phase::Head);
        }
        let blocks = (before + data.len()) / FREE_HEAD_BYTES - before / FREE_HEAD_BYTES;
        match blocks {
            0 => Ok(()),
            blocks => self.reserve(blocks * FREE_HEAD_BYTES),
        }
    }

    /// Records the result of a write.
    pub fn write(&self, result: &Poll<io::Result<usize>>) {
        match result {
            Poll::Pending => {
                if !self.is_blocked.swap(true, Ordering::Relaxed) {
                    self.set_phase(Phase::Answer);
                }
            }
            Poll::Ready(_) if self.is_blocked.load(Ordering::Relaxed) => {
                let callers = &self.callers;
                let budget = &mut callers.state.lock().connections.budget;
                budget.progress(callers.clock.now(), self.key);
            }
            Poll::Ready(_) => {}
        }
    }

    /// Records that all that was to be written has been.
    pub fn flush(&self) {
        if self.is_blocked.swap(false, Ordering::Relaxed) {
            self.set_phase(match self.requests.load(Ordering::Relaxed) {
                0 => Phase::Idle,
                _ => Phase::Running,
            });
        }
    }

    fn reserve(&self, bytes: usize) -> io::Result<()> {
        let callers = &self.callers;
        let mut state = callers.state.lock();
        let reserved = state.connections.reserve(callers, self.key, bytes);
        reserved.map_err(|e| io::Error::other(e.to_string()))
    }

    fn set_phase(&self, phase: Phase) {
        let callers = &self.callers;
        let budget = &mut callers.state.lock().connections.budget;
        budget.set_phase(callers.clock.now(), self.key, phase);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.callers.state.lock().connections.close(self.key);
    }
}

impl Lease {
    /// Completes when the request has to be refused.
    pub async fn evicted(&self) -> Error {
        self.evicted.cancelled().await;
        let state = self.connection.callers.state.lock();
        match state.requests.budget.cause(self.key) {
            Some(cause) if cause.is_timeout() => {
                Error::slow_sender("the body stopped or was slower than 1 KiB per second")
            }
            _ => Error::CallerMemory(MEMORY_RETRY),
        }
    }

    /// Returns what keeps the memory of the request reserved. Whoever uses the request's body after
    /// its caller may have left has to hold it.
    pub fn reservation(&self) -> Arc<Reservation> {
        Arc::clone(&self.reservation)
    }

    /// Reserves bytes for the body.
    ///
    /// # Errors
    ///
    /// `Error::CallerMemory` if the budget does not suffice.
    pub fn reserve(&self, bytes: usize) -> Result<()> {
        let callers = &self.connection.callers;
        let mut state = callers.state.lock();
        state.requests.reserve(callers, self.key, bytes)?;
        let body_bytes = &self.reservation.body_bytes;
        body_bytes.fetch_add(bytes, Ordering::Relaxed);
        Ok(())
    }

    /// Reserves the memory of a whole answer in place of the body's.
    fn reserve_answer(&self, response: &Response) -> Result<()> {
        let size = response.body().size_hint().exact().unwrap_or_default();
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        if size <= REQUEST_BYTES {
            return Ok(());
        }
        let callers = &self.connection.callers;
        let body_bytes = self.reservation.body_bytes.swap(0, Ordering::Relaxed);
        let mut state = callers.state.lock();
        state.requests.budget.release(self.key, body_bytes);
        state.requests.reserve(callers, self.key, size)
    }

    /// Records that `bytes` of the body were received.
    pub fn receive(&self, bytes: usize) {
        let callers = &self.connection.callers;
        let budget = &mut callers.state.lock().requests.budget;
        budget.receive(callers.clock.now(), self.key, bytes);
    }

    /// Records that no more of the body is read. The request is not evicted from now on.
    pub fn complete(&self) {
        self.set_phase(Phase::Running);
    }

    /// Returns `response`, which keeps the lease until it is read, or a failure with an unknown
    /// outcome if there is no memory for it.
    pub fn track(self: Arc<Self>, response: Response) -> Response {
        self.complete();
        let response = match self.reserve_answer(&response) {
            Ok(()) => response,
            Err(_) => no_memory(response.headers()),
        };
        let connection = &self.connection;
        let is_http2 = connection.is_http2.load(Ordering::Relaxed);
        if is_http2 {
            // The body is not polled while it waits for its stream's window, so only the end of its
            // connection ends it.
            let token = connection.evicted.clone();
            let mut state = connection.callers.state.lock();
            state.requests.connections.insert(self.key, token);
        }
        response.map(|body| {
            Body::new(LeasedBody {
                body,
                lease: self,
                is_http2,
                is_waiting: false,
            })
        })
    }

    fn set_phase(&self, phase: Phase) {
        let callers = &self.connection.callers;
        let budget = &mut callers.state.lock().requests.budget;
        budget.set_phase(callers.clock.now(), self.key, phase);
    }
}

/// Returns the failure of a request for whose answer there is no memory.
fn no_memory(headers: &HeaderMap) -> Response {
    let id = headers.get(REQUEST_HEADER);
    let error = Error::outcome_unknown("there is no memory for the answer");
    let text = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
    let mut failure = Failure::new(error, Ran::Unknown, text).into_response();
    failure
        .headers_mut()
        .extend(id.map(|id| (REQUEST_HEADER, id.clone())));
    failure
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.callers.state.lock().requests.close(self.key);
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let connection = &self.connection;
        let callers = &connection.callers;
        let mut state = callers.state.lock();
        let is_last = connection.requests.fetch_sub(1, Ordering::Relaxed) == 1;
        if is_last && !connection.is_blocked.load(Ordering::Relaxed) {
            let budget = &mut state.connections.budget;
            budget.set_phase(callers.clock.now(), connection.key, Phase::Idle);
        }
    }
}

/// `LeasedBody` is the body of an answer, with the lease of its request.
struct LeasedBody {
    body: Body,
    lease: Arc<Lease>,
    is_http2: bool,
    /// Whether a frame was handed out and no other one asked for since.
    is_waiting: bool,
}

impl hyper::body::Body for LeasedBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        // HTTP/1 writes a frame at once; what is not written counts with its connection.
        if !self.is_http2 {
            return Pin::new(&mut self.body).poll_frame(cx);
        }
        if std::mem::take(&mut self.is_waiting) {
            self.lease.set_phase(Phase::Running);
        }
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(Some(Ok(_))) = &frame {
            self.is_waiting = true;
            self.lease.set_phase(Phase::Answer);
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// `RefusalBody` is the body of an answer to a request without a lease.
struct RefusalBody {
    body: Body,
    connection: Arc<Connection>,
}

impl hyper::body::Body for RefusalBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for RefusalBody {
    fn drop(&mut self) {
        self.connection.refusals.fetch_sub(1, Ordering::Relaxed);
    }
}
