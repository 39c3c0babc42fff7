//! The connections of callers: what they hold, and how they are closed.
//!
//! [`CallerBudget`] decides. This module tells it what the connections do, and ends those that it
//! evicts. A connection has no timer of its own: one task for all of them looks for exceeded time
//! limits.

use std::future::Future;
use std::future::poll_fn;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use futures::task::AtomicWaker;
use http_body::Body as _;
use hyper::body::Incoming;
use parking_lot::Mutex;
use slog::info;
use slog::warn;
use slotmap::SecondaryMap;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;
use tokio::time::sleep;

use hemlockwind_backend::buffer_budget::Pieces;
use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::time::Instant;
use hemlockwind_limits::CallerBudget;
use hemlockwind_limits::CallerLimits;
use hemlockwind_limits::caller_budget::Cause;
use hemlockwind_limits::caller_budget::ConnectionKey;
use hemlockwind_limits::caller_budget::Phase;
use hemlockwind_limits::caller_budget::Verdict;

use crate::gateway::Gateway;

/// Maximum number of header fields of one request: more than any client of the platform sends.
pub const MAX_HEADER_FIELDS: usize = 1_000;
/// Memory of one header field: an entry of the map, whose table is at most half empty.
const FIELD_BYTES: usize = 192;
/// Header fields whose memory is not counted, as an ordinary request has them.
const FREE_FIELDS: usize = 32;
/// Size up to which a body that arrives in one piece with its head is not copied, and its memory is
/// that of the connection's first buffer.
const FREE_BYTES: usize = 8 << 10;
/// Maximum rest of a refused body that is read so that the connection can stay open.
const MAX_DISCARDED_BYTES: u64 = 64 << 10;
/// Maximum number of bytes read from a caller after the last answer.
const MAX_LINGER_BYTES: usize = 256 << 10;
/// Time for which a connection is read after the last answer. If it were closed at once, the
/// kernel would reset it, and the caller could lose the answer.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Interval at which time limits are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time between two checks after which limits are checked. A process that was frozen for
/// longer has not read what its callers sent.
const MAX_CHECK_DELAY: Duration = Duration::from_secs(2);
/// Bytes of a body that are reported together, if they arrive within [`REPORT_INTERVAL`].
const REPORT_BYTES: usize = 1 << 10;
/// Longest time for which received bytes are not reported.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// When to retry after a refusal for want of memory: evicted connections have closed by then.
const MEMORY_RETRY: Duration = Duration::from_secs(1);
/// Share of the descriptors for the connections of callers: each running request needs another one
/// for its server, and the rest is for the store, other instances and the side listeners.
const CALLERS_DIVISOR: usize = 3;
/// Share of the machine's memory and descriptors for the readiness and the metrics listener each.
/// A balancer and a few collectors connect there.
const SIDE_DIVISOR: usize = 16;
/// Lowest number of connections of such a listener.
const MIN_SIDE_CONNECTIONS: usize = 16;

/// The connection goes on.
const OPEN: u8 = 0;
/// The body in progress is refused.
const REFUSE: u8 = 1;
/// The connection is closed at once.
const CLOSE: u8 = 2;

/// No byte of a request was received.
const IDLE: u8 = 0;
/// A part of a head was received.
const HEAD: u8 = 1;
/// A request is in progress.
const BUSY: u8 = 2;

/// `Callers` holds the connections of one listener.
#[derive(Debug)]
pub struct Callers {
    listener: &'static str,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    budget: CallerBudget,
    open: SecondaryMap<ConnectionKey, Arc<Signals>>,
}

/// `Signals` tells the task of a connection what to do.
#[derive(Debug, Default)]
struct Signals {
    /// [`OPEN`], [`REFUSE`] or [`CLOSE`].
    order: AtomicU8,
    /// Whether a body is being read, which can be refused.
    is_reading: AtomicBool,
    /// The task of the connection.
    task: AtomicWaker,
}

/// `CallerConnection` is one connection of a caller.
pub struct CallerConnection {
    gateway: Arc<Gateway>,
    callers: Arc<Callers>,
    key: ConnectionKey,
    signals: Arc<Signals>,
    /// [`IDLE`], [`HEAD`] or [`BUSY`].
    state: AtomicU8,
    /// Bytes reserved for the request in progress.
    reserved: AtomicUsize,
    /// Whether the body of the request was not read to its end.
    has_unread_body: AtomicBool,
    /// Whether the answer was read whole from its source.
    is_answered: AtomicBool,
    /// Whether the caller has not read what was to be written.
    is_blocked: AtomicBool,
    /// Whether a request waits until the caller has read the answers before it.
    is_waiting: AtomicBool,
}

/// `OpenConnection` removes its connection from the budget when it is dropped.
pub struct OpenConnection {
    connection: Arc<CallerConnection>,
}

/// `AnswerGuard` is held until the answer was read whole from its source.
pub struct AnswerGuard {
    connection: Arc<CallerConnection>,
}

/// `CallerStream` is the socket of a connection. It records what the caller sends and reads.
pub struct CallerStream {
    tcp: TcpStream,
    connection: Arc<CallerConnection>,
    /// Bytes of the head that were received.
    head_bytes: usize,
    /// Whether bytes after the request in progress were received.
    has_read_ahead: bool,
    linger: Option<Linger>,
}

/// `Linger` is the reading of a connection after its last answer.
struct Linger {
    end: Pin<Box<Sleep>>,
    bytes: usize,
}

impl Callers {
    /// Returns the connections of the callers' listener.
    pub fn new(memory_bytes: usize, open_files: usize) -> Self {
        let limits = CallerLimits::for_machine(memory_bytes, open_files);
        let connections = limits.connections.min(open_files / CALLERS_DIVISOR);
        let limits = CallerLimits {
            connections: connections.max(1),
            ..limits
        };
        Self::with_limits("callers", limits)
    }

    /// Returns the connections of a listener for the platform's own programs.
    pub fn for_side(listener: &'static str, memory_bytes: usize, open_files: usize) -> Self {
        let limits = CallerLimits::for_machine(memory_bytes, open_files);
        let connections = open_files / SIDE_DIVISOR;
        let limits = CallerLimits {
            bytes: limits.bytes / SIDE_DIVISOR,
            connections: connections
                .max(MIN_SIDE_CONNECTIONS)
                .min(limits.connections),
            ..limits
        };
        Self::with_limits(listener, limits)
    }

    fn with_limits(listener: &'static str, limits: CallerLimits) -> Self {
        let state = State {
            budget: CallerBudget::new(limits),
            open: SecondaryMap::new(),
        };
        Self {
            listener,
            state: Mutex::new(state),
        }
    }

    /// Returns the bytes held beyond those of each connection, and the number of connections.
    pub fn load(&self) -> (usize, usize) {
        let state = self.state.lock();
        (state.budget.held(), state.budget.connections())
    }

    /// Adds a connection. If all are in use, the worst one is closed for it. Returns `None` if none
    /// can be closed.
    pub fn connect(self: &Arc<Self>, gateway: &Arc<Gateway>) -> Option<OpenConnection> {
        let now = gateway.now();
        let signals = Arc::new(Signals::default());
        let key = {
            let mut state = self.state.lock();
            let key = state.budget.connect(now).or_else(|| {
                let keys = state.budget.evict(now);
                self.end(gateway, now, &state, &keys);
                state.budget.connect(now)
            });
            key.inspect(|key| drop(state.open.insert(*key, Arc::clone(&signals))))
        };
        let Some(key) = key else {
            gateway.counters.add("connections_refused");
            if let Some(left_out) = gateway.lines.take(now, "connection refused") {
                warn!(gateway.log, "connection refused"; "listener" => self.listener,
                    "connections" => self.load().1, "left_out" => left_out);
            }
            return None;
        };
        let connection = Arc::new(CallerConnection {
            gateway: Arc::clone(gateway),
            callers: Arc::clone(self),
            key,
            signals,
            state: AtomicU8::new(IDLE),
            reserved: AtomicUsize::new(0),
            has_unread_body: AtomicBool::new(false),
            is_answered: AtomicBool::new(false),
            is_blocked: AtomicBool::new(false),
            is_waiting: AtomicBool::new(false),
        });
        Some(OpenConnection { connection })
    }

    /// Closes the worst connection, as the process has no descriptor for a new one.
    pub fn free_descriptor(&self, gateway: &Gateway) {
        self.state.lock().budget.request_descriptor();
        self.check(gateway);
    }

    /// Ends the connections that exceed a time limit.
    fn check(&self, gateway: &Gateway) {
        let now = gateway.now();
        let mut state = self.state.lock();
        let limits = *state.budget.limits();
        state.budget.set_limits(CallerLimits {
            head_timeout: gateway.routes.load().limits.header_timeout,
            ..limits
        });
        let keys = state.budget.evict(now);
        self.end(gateway, now, &state, &keys);
    }

    /// Ends connections that were evicted.
    fn end(&self, gateway: &Gateway, now: Instant, state: &State, keys: &[ConnectionKey]) {
        for key in keys {
            let (Some(cause), Some(signals)) = (state.budget.cause(*key), state.open.get(*key))
            else {
                continue;
            };
            if signals.order.load(Ordering::Acquire) == OPEN {
                self.record(gateway, now, state, cause);
            }
            // A body is refused with an answer, except where another caller waits for the descriptor:
            // the connection would stay open until the answer is read. A connection that is still
            // open later is closed.
            let is_reading = signals.is_reading.load(Ordering::Acquire);
            let order = match is_reading && cause != Cause::Connections {
                true => REFUSE,
                false => CLOSE,
            };
            let order = match signals.order.swap(order, Ordering::AcqRel) {
                OPEN => order,
                _ => CLOSE,
            };
            signals.order.store(order, Ordering::Release);
            signals.task.wake();
        }
    }

    /// Counts and logs an eviction.
    fn record(&self, gateway: &Gateway, now: Instant, state: &State, cause: Cause) {
        gateway.counters.add(match cause.is_timeout() {
            true => "callers_timed_out",
            false => "callers_evicted",
        });
        let kind = match cause {
            Cause::Memory => "evicted for memory",
            Cause::Connections => "evicted for connections",
            Cause::Head => "head timed out",
            Cause::Body => "body timed out",
            Cause::Answer => "answer timed out",
        };
        if let Some(left_out) = gateway.lines.take(now, kind) {
            info!(gateway.log, "caller evicted"; "listener" => self.listener, "cause" => cause.name(),
                "held" => state.budget.held(), "limit" => state.budget.limits().bytes,
                "connections" => state.budget.connections(), "left_out" => left_out);
        }
    }
}

/// Ends the connections of all listeners that exceed a time limit, until the task is ended.
pub async fn check(gateway: Arc<Gateway>) {
    let mut checked_at = gateway.now();
    let mut is_left_out = false;
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = gateway.now();
        let delay = now.since(std::mem::replace(&mut checked_at, now));
        // What arrived while this process did not run is read before time limits are checked. Two
        // checks in a row are not left out, so that a slow process keeps the limits.
        is_left_out = delay > MAX_CHECK_DELAY && !is_left_out;
        if is_left_out {
            continue;
        }
        for callers in [&gateway.callers, &gateway.balancers, &gateway.collectors] {
            callers.check(&gateway);
        }
    }
}

impl OpenConnection {
    /// Returns the socket, as the HTTP library uses it.
    pub fn stream(&self, tcp: TcpStream) -> CallerStream {
        CallerStream {
            tcp,
            connection: Arc::clone(&self.connection),
            head_bytes: 0,
            has_read_ahead: false,
            linger: None,
        }
    }

    /// Returns the connection.
    pub fn connection(&self) -> &Arc<CallerConnection> {
        &self.connection
    }

    /// Runs the connection until it ends or is evicted.
    pub async fn run(self, serve: impl Future) {
        let signals = &self.connection.signals;
        tokio::pin!(serve);
        poll_fn(|cx| {
            signals.task.register(cx.waker());
            match signals.order.load(Ordering::Acquire) {
                CLOSE => Poll::Ready(()),
                _ => serve.as_mut().poll(cx).map(drop),
            }
        })
        .await;
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let connection = &self.connection;
        let mut state = connection.callers.state.lock();
        state.budget.close(connection.key);
        state.open.remove(connection.key);
    }
}

impl CallerConnection {
    /// Records that a request arrived, and waits until the caller has read the answers before it.
    ///
    /// # Errors
    ///
    /// Returns `Error::CallerMemory` if there is no memory for its header fields, and the reason if
    /// the connection is evicted.
    pub async fn begin(&self, fields: usize, body: &Incoming) -> Result<()> {
        let has_body = !body.is_end_stream();
        self.state.store(BUSY, Ordering::Relaxed);
        self.has_unread_body.store(has_body, Ordering::Relaxed);
        if self.is_blocked.load(Ordering::Relaxed) {
            poll_fn(|_| match self.is_blocked.load(Ordering::Relaxed) {
                true => {
                    self.is_waiting.store(true, Ordering::Relaxed);
                    Poll::Pending
                }
                false => Poll::Ready(()),
            })
            .await;
            // The end of the request before has set another state.
            self.state.store(BUSY, Ordering::Relaxed);
        }
        let is_evicted = self.set_phase(match has_body {
            true => Phase::Body,
            false => Phase::Running,
        });
        if is_evicted {
            return Err(self.eviction());
        }
        match fields {
            ..=FREE_FIELDS => Ok(()),
            _ => self.reserve((fields - FREE_FIELDS) * FIELD_BYTES),
        }
    }

    /// Whether a part of the request's body was not read, so that the connection can't be used for
    /// another one.
    pub fn has_unread_body(&self) -> bool {
        self.has_unread_body.load(Ordering::Relaxed)
    }

    /// Returns a guard to be dropped when the answer was read whole from its source.
    pub fn answer(self: &Arc<Self>) -> AnswerGuard {
        AnswerGuard {
            connection: Arc::clone(self),
        }
    }

    /// Reserves bytes for an answer in place of those for its request, which is done.
    ///
    /// # Errors
    ///
    /// Returns `Error::CallerMemory` if the budget does not suffice.
    pub fn reserve_answer(&self, bytes: usize) -> Result<()> {
        match bytes {
            ..=FREE_BYTES => Ok(()),
            _ => {
                self.release();
                self.reserve(bytes)
            }
        }
    }

    /// Reads the whole body, up to `limit` bytes, through a buffer of up to `buffer` bytes. It is
    /// copied, as each frame keeps the buffer allocated that it was read into.
    ///
    /// # Errors
    ///
    /// Returns `Error::TooLarge` above the limit, `Error::CallerMemory` if the budget does not
    /// suffice, `Error::SlowSender` if the connection exceeded a time limit, and `Error::Body` if
    /// the body breaks off.
    pub async fn read(&self, body: &mut Incoming, limit: usize, buffer: usize) -> Result<Bytes> {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let declared = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        if declared > limit {
            return Err(Error::TooLarge(limit));
        }
        if declared > FREE_BYTES && !self.has_room(declared) {
            return Err(self.refusal());
        }
        let mut frames = Frames::new(self, body);
        let mut pieces = Pieces::default();
        let mut reserved = 0;
        while let Some(data) = frames.next().await? {
            let size = pieces.len() + data.len();
            if size > limit {
                return Err(Error::TooLarge(limit));
            }
            if pieces.is_empty() && size <= FREE_BYTES && frames.body.is_end_stream() {
                frames.complete()?;
                return Ok(data);
            }
            // Memory is reserved before it is used. The library's buffer grows with a longer body.
            let buffer = if size > FREE_BYTES { buffer } else { 0 };
            let needed = pieces.capacity_for(size) + buffer;
            if needed > reserved {
                self.reserve(needed - reserved)?;
                reserved = needed;
            }
            pieces.append(&data);
        }
        frames.complete()?;
        Ok(pieces.join().into())
    }

    /// Reads the rest of the body of a refused request if it is short, without keeping it.
    pub async fn discard(&self, body: &mut Incoming) {
        if body.is_end_stream() || body.size_hint().lower() > MAX_DISCARDED_BYTES {
            return;
        }
        let mut frames = Frames::new(self, body);
        let mut size = 0;
        while let Ok(frame) = frames.next().await {
            let Some(data) = frame else {
                // The request is refused already.
                let _ = frames.complete();
                return;
            };
            size += data.len() as u64;
            if size > MAX_DISCARDED_BYTES {
                return;
            }
        }
    }

    /// Records what the connection waits for, and returns whether it is evicted.
    fn set_phase(&self, phase: Phase) -> bool {
        let now = self.gateway.now();
        let mut state = self.callers.state.lock();
        state.budget.set_phase(now, self.key, phase)
    }

    fn reserve(&self, bytes: usize) -> Result<()> {
        let now = self.gateway.now();
        let mut state = self.callers.state.lock();
        match state.budget.reserve(now, self.key, bytes) {
            Verdict::Granted => {}
            Verdict::Refused => {
                drop(state);
                return Err(self.refusal());
            }
            Verdict::Evict(keys) => self.callers.end(&self.gateway, now, &state, &keys),
        }
        self.reserved.fetch_add(bytes, Ordering::Relaxed);
        Ok(())
    }

    fn has_room(&self, bytes: usize) -> bool {
        let now = self.gateway.now();
        let state = self.callers.state.lock();
        state.budget.has_room(now, self.key, bytes)
    }

    /// Counts a request for which there is no memory, and returns the error.
    fn refusal(&self) -> Error {
        let gateway = &self.gateway;
        gateway.counters.add("callers_refused_memory");
        if let Some(left_out) = gateway.lines.take(gateway.now(), "no memory for caller") {
            let (held, connections) = self.callers.load();
            info!(gateway.log, "no memory for caller"; "listener" => self.callers.listener,
                "held" => held, "connections" => connections, "left_out" => left_out);
        }
        Error::CallerMemory(MEMORY_RETRY)
    }

    /// Returns why the request of an evicted connection is refused.
    fn eviction(&self) -> Error {
        let cause = self.callers.state.lock().budget.cause(self.key);
        match cause {
            Some(Cause::Memory | Cause::Connections) | None => Error::CallerMemory(MEMORY_RETRY),
            Some(Cause::Head) => Error::slow_sender("the head was not complete in time"),
            Some(Cause::Answer) => Error::slow_sender("an answer before this one was not read"),
            Some(Cause::Body) => {
                Error::slow_sender("the body stopped or was slower than 1 KiB per second")
            }
        }
    }

    /// Releases what was reserved for the request.
    fn release(&self) {
        let bytes = self.reserved.swap(0, Ordering::Relaxed);
        if bytes > 0 {
            self.callers.state.lock().budget.release(self.key, bytes);
        }
    }

    /// Records that all that was to be written has been.
    fn flushed(&self, has_read_ahead: &mut bool) {
        let was_blocked = self.is_blocked.swap(false, Ordering::Relaxed);
        if self.is_answered.swap(false, Ordering::Relaxed) {
            let (state, phase) = match std::mem::take(has_read_ahead) {
                true => (HEAD, Phase::Head),
                false => (IDLE, Phase::Idle),
            };
            self.state.store(state, Ordering::Relaxed);
            self.release();
            self.set_phase(phase);
        } else if was_blocked {
            self.set_phase(Phase::Running);
        }
        if was_blocked && self.is_waiting.swap(false, Ordering::Relaxed) {
            self.signals.task.wake();
        }
    }

    /// Records the result of a write.
    fn written(&self, result: &Poll<io::Result<usize>>) {
        match result {
            Poll::Pending => {
                if !self.is_blocked.swap(true, Ordering::Relaxed) {
                    self.set_phase(Phase::Answer);
                }
            }
            Poll::Ready(_) if self.is_blocked.load(Ordering::Relaxed) => {
                let now = self.gateway.now();
                self.callers.state.lock().budget.progress(now, self.key);
            }
            Poll::Ready(_) => {}
        }
    }
}

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        self.connection.is_answered.store(true, Ordering::Relaxed);
    }
}

/// `Frames` reads the data of a body while its connection is not evicted.
struct Frames<'a> {
    connection: &'a CallerConnection,
    body: &'a mut Incoming,
    /// Received bytes that were not reported to the budget.
    unreported: usize,
    reported_at: Instant,
}

impl<'a> Frames<'a> {
    fn new(connection: &'a CallerConnection, body: &'a mut Incoming) -> Self {
        connection.signals.is_reading.store(true, Ordering::Release);
        Self {
            connection,
            body,
            unreported: 0,
            reported_at: Instant::ZERO,
        }
    }

    /// Returns the next data of the body, or `None` at its end.
    async fn next(&mut self) -> Result<Option<Bytes>> {
        loop {
            let frame = poll_fn(|cx| {
                if self.connection.signals.order.load(Ordering::Acquire) != OPEN {
                    return Poll::Ready(Err(self.connection.eviction()));
                }
                let frame = Pin::new(&mut *self.body).poll_frame(cx);
                if frame.is_pending() {
                    self.report();
                }
                frame.map(|frame| frame.transpose().map_err(|e| Error::body(e.to_string())))
            });
            let Some(frame) = frame.await? else {
                return Ok(None);
            };
            // Trailers are not used.
            if let Ok(data) = frame.into_data() {
                self.unreported += data.len();
                return Ok(Some(data));
            }
        }
    }

    fn report(&mut self) {
        if self.unreported == 0 {
            return;
        }
        let now = self.connection.gateway.now();
        if self.unreported < REPORT_BYTES && now.since(self.reported_at) < REPORT_INTERVAL {
            return;
        }
        let mut state = self.connection.callers.state.lock();
        let bytes = std::mem::take(&mut self.unreported);
        state.budget.receive(now, self.connection.key, bytes);
        self.reported_at = now;
    }

    /// Records that the whole body was read. Fails if the connection was evicted before, so that
    /// a request whose bytes count as released is not run.
    fn complete(&self) -> Result<()> {
        let connection = self.connection;
        connection.has_unread_body.store(false, Ordering::Relaxed);
        match connection.set_phase(Phase::Running) {
            true => Err(connection.eviction()),
            false => Ok(()),
        }
    }
}

impl Drop for Frames<'_> {
    fn drop(&mut self) {
        let is_reading = &self.connection.signals.is_reading;
        is_reading.store(false, Ordering::Release);
    }
}

impl CallerStream {
    /// Records that `bytes` were received. Fails if there is no memory for a longer head.
    fn received(&mut self, bytes: usize) -> io::Result<()> {
        let connection = &self.connection;
        match connection.state.load(Ordering::Relaxed) {
            BUSY => {
                self.has_read_ahead |= !connection.has_unread_body();
                self.head_bytes = 0;
                return Ok(());
            }
            HEAD => {}
            _ => {
                connection.state.store(HEAD, Ordering::Relaxed);
                connection.set_phase(Phase::Head);
                self.head_bytes = 0;
            }
        }
        let blocks = self.head_bytes / FREE_BYTES;
        self.head_bytes += bytes;
        match self.head_bytes / FREE_BYTES - blocks {
            0 => Ok(()),
            more => connection
                .reserve(more * FREE_BYTES)
                .map_err(|e| io::Error::other(e.to_string())),
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.tcp).poll_read(cx, buf);
        match buf.filled().len() - before {
            0 => result,
            bytes => Poll::Ready(self.received(bytes)),
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.tcp).poll_write(cx, buf);
        self.connection.written(&result);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let result = Pin::new(&mut this.tcp).poll_flush(cx);
        if result.is_ready() {
            this.connection.flushed(&mut this.has_read_ahead);
        }
        result
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let Some(linger) = &mut this.linger else {
            let result = Pin::new(&mut this.tcp).poll_shutdown(cx);
            if !this.connection.has_unread_body() || !matches!(result, Poll::Ready(Ok(()))) {
                return result;
            }
            this.linger = Some(Linger {
                end: Box::pin(sleep(LINGER_TIME)),
                bytes: 0,
            });
            return self.poll_shutdown(cx);
        };
        if linger.end.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Ok(()));
        }
        let mut block = [0; FREE_BYTES];
        while linger.bytes < MAX_LINGER_BYTES {
            let mut buf = ReadBuf::new(&mut block);
            match Pin::new(&mut this.tcp).poll_read(cx, &mut buf) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Err(_)) => break,
                Poll::Ready(Ok(())) if buf.filled().is_empty() => break,
                Poll::Ready(Ok(())) => linger.bytes += buf.filled().len(),
            }
        }
        Poll::Ready(Ok(()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs);
        self.connection.written(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }
}
