//! The memory and the connections of all callers of one process.
//!
//! Designed for this load: thousands of callers send bodies of legal size, whole but for the end, in
//! pieces of 100 bytes or in chunks of one byte, stop half-way, send heads that do not end, or do not
//! read their answers, while ordinary callers send small requests on the same listener.

use std::time::Duration;

use slotmap::SlotMap;
use slotmap::new_key_type;

use hemlockwind_core::time::Instant;

/// Bytes up to which the requests of one connection may use the whole budget: those of an ordinary
/// request and its read buffer. More than that may use [`LARGE_SHARE`] of it, so that large bodies
/// leave memory for ordinary requests.
pub const SMALL_BYTES: usize = 32 << 10;
/// The share of the budget for connections that hold more than [`SMALL_BYTES`], in quarters.
const LARGE_SHARE: usize = 3;
/// Memory of a connection that holds no request beyond its first buffers. Measured were 27 KB, with
/// read and write buffers of 8 KiB each (docs/CAPACITY.md).
pub const CONNECTION_BYTES: usize = 32 << 10;
/// Time without progress before which a connection is not evicted for another one. A process on a
/// small share of a core may itself be a few hundred milliseconds behind its callers.
pub const MIN_STALL: Duration = Duration::from_millis(500);
/// Time in which an evicted connection answers and closes by itself. Then it is reported again.
pub const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Evicted connections that may still be open beyond the limit of connections, as a share of it and
/// at least. Their descriptors come from the reserve for the store and the servers.
const SPARE_DIVISOR: usize = 32;
const MIN_SPARE: usize = 4;
/// Descriptors that are assumed where the platform states no limit.
pub const DEFAULT_OPEN_FILES: usize = 1_024;
/// Time without any byte after which a body is given up.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for the rest of a head after its first byte, where the configuration sets none.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time in which a caller reads nothing of an answer that is ready.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Lowest average rate of a body once the body's time limit has passed, in bytes per second.
const MIN_BODY_RATE: u64 = 1 << 10;

new_key_type! {
    /// `ConnectionKey` identifies a connection of a caller.
    pub struct ConnectionKey;
}

/// `CallerLimits` holds the limits over all callers of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes that callers' requests and answers may use together, beyond [`CONNECTION_BYTES`] for
    /// each connection.
    pub bytes: usize,
    /// Number of open connections.
    pub connections: usize,
    /// Time without any byte after which a body is given up.
    pub body_timeout: Duration,
    /// Time for the rest of a head after its first byte.
    pub head_timeout: Duration,
    /// Time in which a caller reads nothing of an answer that is ready.
    pub answer_timeout: Duration,
}

impl CallerLimits {
    /// Returns the limits for a process that may use `memory_bytes` and `open_files` descriptors:
    /// a quarter of the memory for what callers send, and three quarters of the descriptors for their
    /// connections, but no more than another quarter of the memory has room for.
    pub fn for_machine(memory_bytes: usize, open_files: usize) -> Self {
        let bytes = memory_bytes / 4;
        let by_files = open_files - open_files / 4;
        Self {
            bytes,
            connections: by_files.min(bytes / CONNECTION_BYTES).max(1),
            body_timeout: BODY_TIMEOUT,
            head_timeout: HEAD_TIMEOUT,
            answer_timeout: ANSWER_TIMEOUT,
        }
    }
}

/// `Phase` is what a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// A request: no byte of one has been received.
    Idle,
    /// The rest of a head.
    Head,
    /// The rest of a body.
    Body,
    /// This process: the request is complete, and what is ready of its answer has been read.
    Running,
    /// The caller, who has not read what is ready of the answer.
    Answer,
}

/// `Verdict` is the decision about a reservation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The bytes are reserved.
    Granted,
    /// Nothing is reserved: the request has to be refused.
    Refused,
    /// The bytes are reserved, and these connections have to be closed. Their bytes are released
    /// already.
    Evict(Vec<ConnectionKey>),
}

/// `Cause` is why a connection was evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Another connection needed its memory.
    Memory,
    /// Another caller needed its place.
    Connections,
    /// Its head was not complete in time.
    Head,
    /// Its body made no progress or was too slow.
    Body,
    /// Its answer was not read.
    Answer,
}

impl Cause {
    /// Returns the name in log lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Connections => "connections",
            Self::Head => "head",
            Self::Body => "body",
            Self::Answer => "answer",
        }
    }

    /// Whether the caller exceeded a time limit.
    pub const fn is_timeout(self) -> bool {
        match self {
            Self::Memory | Self::Connections => false,
            Self::Head | Self::Body | Self::Answer => true,
        }
    }
}

/// `Entry` is one connection.
#[derive(Debug)]
struct Entry {
    phase: Phase,
    phase_at: Instant,
    /// When the phase began or a byte was last received or read.
    progress_at: Instant,
    /// When the phase began or the connection last reserved bytes. Single bytes do not change it,
    /// so that a caller cannot keep memory by sending one now and then.
    grown_at: Instant,
    /// Bytes of the body that were received.
    received: u64,
    /// Bytes that are reserved.
    bytes: usize,
    /// Whether a request was received.
    is_used: bool,
    evicted: Option<(Cause, Instant)>,
}

impl Entry {
    /// Whether the connection waits for its caller, and has for [`MIN_STALL`].
    fn is_stalled(&self, now: Instant) -> bool {
        let waits = match self.phase {
            Phase::Idle | Phase::Head | Phase::Body | Phase::Answer => true,
            Phase::Running => false,
        };
        waits && self.evicted.is_none() && now.since(self.grown_at) >= MIN_STALL
    }

    /// Returns the bytes times the time for which they have been held without growing.
    fn weight(&self, now: Instant) -> u128 {
        self.bytes as u128 * now.since(self.grown_at).as_micros()
    }

    /// Returns the time limit that the caller exceeds at `now`.
    fn exceeded(&self, now: Instant, limits: &CallerLimits) -> Option<Cause> {
        let silent = now.since(self.progress_at);
        let elapsed = now.since(self.phase_at);
        match self.phase {
            Phase::Idle | Phase::Running => None,
            Phase::Head => (elapsed >= limits.head_timeout).then_some(Cause::Head),
            Phase::Answer => (silent >= limits.answer_timeout).then_some(Cause::Answer),
            Phase::Body => {
                let due = u128::from(MIN_BODY_RATE) * elapsed.as_millis() / 1_000;
                let is_slow = elapsed >= limits.body_timeout && u128::from(self.received) < due;
                (silent >= limits.body_timeout || is_slow).then_some(Cause::Body)
            }
        }
    }
}

/// `CallerBudget` decides which callers are refused and which connections are closed, so that all
/// of them together stay within the limits.
#[derive(Debug)]
pub struct CallerBudget {
    limits: CallerLimits,
    entries: SlotMap<ConnectionKey, Entry>,
    /// Bytes reserved by all connections.
    held: usize,
    /// Connections that are not evicted.
    open: usize,
    /// Whether [`Self::evict`] has to make room for a connection.
    is_short: bool,
}

impl CallerBudget {
    /// Returns a budget without connections.
    pub fn new(limits: CallerLimits) -> Self {
        Self {
            limits,
            entries: SlotMap::with_key(),
            held: 0,
            open: 0,
            is_short: false,
        }
    }

    /// Returns the limits.
    pub const fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Replaces the limits. Connections and bytes over the new ones stay until they are released or
    /// evicted.
    pub const fn set_limits(&mut self, limits: CallerLimits) {
        self.limits = limits;
    }

    /// Returns the number of bytes that are reserved.
    pub const fn held(&self) -> usize {
        self.held
    }

    /// Returns the number of connections, without evicted ones.
    pub const fn connections(&self) -> usize {
        self.open
    }

    /// Adds an idle connection. Returns `None` if all are in use. The next call to [`Self::evict`]
    /// then makes room for one more, if a connection waits for its caller. Also returns `None` while
    /// too many evicted connections are still open, as they use descriptors until they close.
    pub fn connect(&mut self, now: Instant) -> Option<ConnectionKey> {
        let connections = self.limits.connections;
        let spare = (connections / SPARE_DIVISOR).max(MIN_SPARE);
        if self.entries.len() >= connections.saturating_add(spare) {
            return None;
        }
        if self.open >= connections {
            self.is_short = true;
            return None;
        }
        self.open += 1;
        Some(self.entries.insert(Entry {
            phase: Phase::Idle,
            phase_at: now,
            progress_at: now,
            grown_at: now,
            received: 0,
            bytes: 0,
            is_used: false,
            evicted: None,
        }))
    }

    /// Makes the next call to [`Self::evict`] close one connection more, as the process has no
    /// descriptor for a new one.
    pub const fn request_descriptor(&mut self) {
        self.is_short = true;
    }

    /// Removes a connection and releases its bytes.
    pub fn close(&mut self, key: ConnectionKey) {
        if let Some(entry) = self.entries.remove(key) {
            self.held -= entry.bytes;
            self.open -= usize::from(entry.evicted.is_none());
        }
    }

    /// Records what a connection waits for from now on. Returns whether it is evicted: its bytes are
    /// released already, so its request must not be run.
    pub fn set_phase(&mut self, now: Instant, key: ConnectionKey, phase: Phase) -> bool {
        let Some(entry) = self.entries.get_mut(key) else {
            return false;
        };
        if entry.phase != phase {
            entry.phase = phase;
            entry.phase_at = now;
            entry.progress_at = now;
            entry.grown_at = now;
            entry.received = 0;
            entry.is_used |= phase != Phase::Idle;
        }
        entry.evicted.is_some()
    }

    /// Reserves `bytes` more for a connection.
    pub fn reserve(&mut self, now: Instant, key: ConnectionKey, bytes: usize) -> Verdict {
        let Some(entry) = self.entries.get(key).filter(|e| e.evicted.is_none()) else {
            return Verdict::Refused;
        };
        let Some(excess) = self.excess(entry, bytes) else {
            return Verdict::Refused;
        };
        let Some(evicted) = self.make_room(now, key, excess) else {
            return Verdict::Refused;
        };
        self.held += bytes;
        if let Some(entry) = self.entries.get_mut(key) {
            entry.bytes += bytes;
            entry.grown_at = now;
        }
        match evicted.is_empty() {
            true => Verdict::Granted,
            false => Verdict::Evict(evicted),
        }
    }

    /// Whether [`Self::reserve`] would grant `bytes` more at `now`.
    pub fn has_room(&self, now: Instant, key: ConnectionKey, bytes: usize) -> bool {
        let entry = self.entries.get(key).filter(|e| e.evicted.is_none());
        let excess = entry.and_then(|e| self.excess(e, bytes));
        excess.is_some_and(|excess| {
            excess == 0 || self.stalled(now, key).map(|(_, e)| e.bytes).sum::<usize>() >= excess
        })
    }

    /// Releases `bytes` of a connection.
    pub fn release(&mut self, key: ConnectionKey, bytes: usize) {
        if let Some(entry) = self.entries.get_mut(key) {
            // Those of an evicted connection are released already.
            let bytes = bytes.min(entry.bytes);
            entry.bytes -= bytes;
            self.held -= bytes;
        }
    }

    /// Records that a caller has sent or read something.
    pub fn progress(&mut self, now: Instant, key: ConnectionKey) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.progress_at = now;
        }
    }

    /// Records that `bytes` of a body were received.
    pub fn receive(&mut self, now: Instant, key: ConnectionKey, bytes: usize) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.progress_at = now;
            entry.received = entry.received.saturating_add(bytes as u64);
        }
    }

    /// Returns the connections that have to be closed: those whose callers exceed a time limit, one
    /// for which [`Self::connect`] found no room, and evicted ones that are still open after
    /// [`CLOSE_TIMEOUT`].
    pub fn evict(&mut self, now: Instant) -> Vec<ConnectionKey> {
        let mut evicted = Vec::new();
        let mut late = Vec::new();
        for (key, entry) in &mut self.entries {
            match &mut entry.evicted {
                Some((_, at)) if now.since(*at) >= CLOSE_TIMEOUT => {
                    *at = now;
                    evicted.push(key);
                }
                Some(_) => {}
                None => late.extend(entry.exceeded(now, &self.limits).map(|c| (key, c))),
            }
        }
        for (key, cause) in late {
            self.mark(now, key, cause);
            evicted.push(key);
        }
        if std::mem::take(&mut self.is_short)
            && let Some(key) = self.worst_connection(now)
        {
            self.mark(now, key, Cause::Connections);
            evicted.push(key);
        }
        evicted
    }

    /// Returns why a connection was evicted.
    pub fn cause(&self, key: ConnectionKey) -> Option<Cause> {
        self.entries.get(key)?.evicted.map(|(cause, _)| cause)
    }

    /// Returns how many bytes have to be released before `entry` may hold `bytes` more, or `None` if
    /// it may never.
    fn excess(&self, entry: &Entry, bytes: usize) -> Option<usize> {
        let sum = entry.bytes.saturating_add(bytes);
        let limit = match sum {
            ..=SMALL_BYTES => self.limits.bytes,
            _ => self.limits.bytes / 4 * LARGE_SHARE,
        };
        let excess = self.held.saturating_add(bytes).saturating_sub(limit);
        (sum <= limit).then_some(excess)
    }

    /// Returns the stalled connections other than `key` that hold bytes.
    fn stalled(
        &self,
        now: Instant,
        key: ConnectionKey,
    ) -> impl Iterator<Item = (ConnectionKey, &Entry)> {
        let others = self.entries.iter().filter(move |(k, _)| *k != key);
        others.filter(move |(_, e)| e.bytes > 0 && e.is_stalled(now))
    }

    /// Evicts stalled connections other than `key` until `excess` bytes are released, those with
    /// the most bytes for the longest time first. Returns `None`, and evicts none, if all of them
    /// hold less.
    fn make_room(
        &mut self,
        now: Instant,
        key: ConnectionKey,
        excess: usize,
    ) -> Option<Vec<ConnectionKey>> {
        if excess == 0 {
            return Some(Vec::new());
        }
        let stalled = self.stalled(now, key);
        let mut stalled: Vec<_> = stalled.map(|(k, e)| (e.weight(now), e.bytes, k)).collect();
        if stalled.iter().map(|(_, bytes, _)| bytes).sum::<usize>() < excess {
            return None;
        }
        stalled.sort_unstable_by(|a, b| b.cmp(a));
        let mut released = 0;
        let mut evicted = Vec::new();
        for (_, bytes, k) in stalled {
            if released >= excess {
                break;
            }
            released += bytes;
            self.mark(now, k, Cause::Memory);
            evicted.push(k);
        }
        Some(evicted)
    }

    /// Returns the connection that is closed for a new one: one with an incomplete request or an
    /// unread answer before one that was never used, that before an idle one, each time the one
    /// that has waited longest. One whose request runs is never closed.
    fn worst_connection(&self, now: Instant) -> Option<ConnectionKey> {
        let stalled = self.entries.iter().filter(|(_, e)| e.is_stalled(now));
        let rank = |e: &Entry| match (e.phase, e.is_used) {
            (Phase::Idle, true) => 2,
            (Phase::Idle, false) => 1,
            (Phase::Head | Phase::Body | Phase::Running | Phase::Answer, _) => 0,
        };
        let worst = stalled.min_by_key(|(_, e)| (rank(e), e.grown_at));
        worst.map(|(key, _)| key)
    }

    /// Marks a connection as evicted and releases its bytes.
    fn mark(&mut self, now: Instant, key: ConnectionKey, cause: Cause) {
        if let Some(entry) = self.entries.get_mut(key)
            && entry.evicted.is_none()
        {
            entry.evicted = Some((cause, now));
            self.held -= entry.bytes;
            entry.bytes = 0;
            self.open -= 1;
        }
    }
}
