//! An in-memory platform: the object API and the list of instances.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use axum::Router;
use axum::routing::get;
use axum::routing::put;
use parking_lot::Mutex;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::broadcast;
use tokio_util::sync::CancellationToken;

use hemlockwind_protocol::platform::InstanceList;
use hemlockwind_protocol::platform::Object;
use hemlockwind_protocol::platform::Precondition;
use hemlockwind_protocol::platform::Write;

use crate::lagged::Lagged;
use crate::server;
use crate::server::Handle;

mod rate_limiter;
mod routes;

use rate_limiter::RateLimiter;

/// Maximum number of changes that a slow watch may lag behind before it is closed.
const MAX_WATCH_BACKLOG: usize = 4_096;
/// How long old lists of instances are kept; `list_lag_ms` must not be longer.
const LIST_RETENTION: Duration = Duration::from_secs(60);

/// `Options` configures a platform.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Interval of the bookmarks of a watch, in milliseconds.
    pub bookmark_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            bookmark_ms: 500,
        }
    }
}

/// `Outage` selects how an unavailable platform behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// It answers 503.
    Refuse,
    /// It cuts the connection, and the call takes no effect.
    Reset,
}

/// `Faults` holds the faults that a platform injects.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Make the platform unavailable. This also ends open watches.
    pub outage: Option<Outage>,
    /// Delay of each call before it takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Number of upcoming writes that take effect but whose connections are cut without an answer.
    pub lose_answers: u32,
    /// Probability that the answer of any other write is lost in the same way, 0 to 1.
    pub lose_probability: f64,
    /// Seed of the random generator for `lose_probability`.
    pub seed: u64,
    /// Maximum number of writes per second; more are answered with 429.
    pub writes_per_s: Option<u32>,
    /// Maximum number of reads per second; more are answered with 429. Opening a watch is a read.
    pub reads_per_s: Option<u32>,
    /// Number of upcoming changes that are omitted from all watches.
    pub watch_drop: u32,
    /// Lag of the list of instances, in milliseconds.
    pub list_lag_ms: u64,
}

/// `Calls` counts the calls to a platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Calls {
    /// Reads, including lists and opened watches.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Watches opened.
    pub watches: u64,
    /// Watches open now.
    pub watches_open: u64,
    /// Calls above a rate limit.
    pub over_rate: u64,
}

/// `WriteOutcome` is the outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect with this version.
    Applied(u64),
    /// It took effect, but its answer must be lost.
    AnswerLost,
    /// The precondition did not hold.
    Conflict,
}

/// `Platform` is the state of a running platform.
#[derive(Debug)]
pub struct Platform {
    inner: Mutex<Inner>,
    bookmark_ms: u64,
}

#[derive(Debug)]
struct Inner {
    version: u64,
    /// The era, if it is sent.
    era: Option<u16>,
    objects: BTreeMap<String, Object>,
    /// All writes, from which a snapshot is restored.
    writes: Vec<Object>,
    changes: broadcast::Sender<Object>,
    instances: Lagged<InstanceList>,
    faults: Faults,
    rng: SmallRng,
    read_limiter: RateLimiter,
    write_limiter: RateLimiter,
    calls: Calls,
}

impl Platform {
    fn new(options: &Options) -> Self {
        let inner = Inner {
            version: 0,
            era: None,
            objects: BTreeMap::new(),
            writes: Vec::new(),
            changes: broadcast::channel(MAX_WATCH_BACKLOG).0,
            instances: Lagged::new(InstanceList { instances: vec![] }),
            faults: Faults::default(),
            rng: SmallRng::seed_from_u64(0),
            read_limiter: RateLimiter::default(),
            write_limiter: RateLimiter::default(),
            calls: Calls::default(),
        };
        Self {
            inner: Mutex::new(inner),
            bookmark_ms: options.bookmark_ms,
        }
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: Faults) {
        let mut inner = self.inner.lock();
        inner.rng = SmallRng::seed_from_u64(faults.seed);
        inner.faults = faults;
    }

    /// Sets the list of instances and backend servers.
    pub fn set_instances(&self, list: InstanceList) {
        let mut inner = self.inner.lock();
        inner.instances.set(Instant::now(), list, LIST_RETENTION);
    }

    /// Goes back to the snapshot that is `versions` versions old, raises the era and ends all watches.
    /// The following writes are given the lost versions again.
    pub fn restore(&self, versions: u64) {
        let mut inner = self.inner.lock();
        let kept = inner.version.saturating_sub(versions);
        inner.version = kept;
        inner.era = Some(inner.era.unwrap_or_default().saturating_add(1));
        inner.writes.retain(|object| object.version <= kept);
        let writes = inner.writes.iter();
        let objects = writes.map(|object| (object.name.clone(), object.clone()));
        inner.objects = objects.collect();
        inner.changes = broadcast::channel(MAX_WATCH_BACKLOG).0;
    }

    /// Returns the era, if it is sent.
    pub fn era(&self) -> Option<u16> {
        self.inner.lock().era
    }

    /// Returns the counts of all calls so far.
    pub fn calls(&self) -> Calls {
        self.inner.lock().calls
    }

    /// Returns the object with this name.
    pub fn get(&self, name: &str) -> Option<Object> {
        self.inner.lock().objects.get(name).cloned()
    }

    /// Returns all objects whose name starts with `prefix`.
    pub fn list(&self, prefix: &str) -> Vec<Object> {
        self.inner.lock().list(prefix)
    }

    /// Writes an object if the precondition is met.
    pub fn write(&self, name: &str, write: Write) -> WriteOutcome {
        let mut inner = self.inner.lock();
        let current = inner.objects.get(name).map(|object| object.version);
        let is_met = match write.when {
            Precondition::Absent => current.is_none(),
            Precondition::Version(version) => current == Some(version),
            Precondition::None => true,
        };
        if !is_met {
            return WriteOutcome::Conflict;
        }
        let version = inner.put(name, write.value);
        match inner.should_lose_answer() {
            true => WriteOutcome::AnswerLost,
            false => WriteOutcome::Applied(version),
        }
    }

    /// Returns the list of instances as it was `list_lag_ms` ago.
    fn instances(&self) -> InstanceList {
        let inner = self.inner.lock();
        let lag = Duration::from_millis(inner.faults.list_lag_ms);
        inner.instances.get(Instant::now(), lag)
    }

    fn faults(&self) -> Faults {
        self.inner.lock().faults.clone()
    }

    /// Counts a call and returns whether the rate limit allows it.
    fn count_call(&self, write: bool) -> bool {
        let mut guard = self.inner.lock();
        let inner = &mut *guard;
        let (calls, limiter, per_s) = match write {
            true => (
                &mut inner.calls.writes,
                &mut inner.write_limiter,
                inner.faults.writes_per_s,
            ),
            false => (
                &mut inner.calls.reads,
                &mut inner.read_limiter,
                inner.faults.reads_per_s,
            ),
        };
        *calls += 1;
        let allowed = per_s.is_none_or(|per_s| limiter.take(Instant::now(), per_s));
        inner.calls.over_rate += u64::from(!allowed);
        allowed
    }

    /// Opens a watch: returns the objects that are newer than `from`, and the later changes.
    fn watch(&self, prefix: &str, from: u64) -> (Vec<Object>, broadcast::Receiver<Object>) {
        let mut inner = self.inner.lock();
        inner.calls.watches += 1;
        inner.calls.watches_open += 1;
        let mut objects = inner.list(prefix);
        objects.retain(|object| object.version > from);
        objects.sort_by_key(|object| object.version);
        (objects, inner.changes.subscribe())
    }

    fn watch_closed(&self) {
        self.inner.lock().calls.watches_open -= 1;
    }
}

impl Inner {
    fn list(&self, prefix: &str) -> Vec<Object> {
        let from = self.objects.range(prefix.to_owned()..);
        let matching = from.take_while(|(name, _)| name.starts_with(prefix));
        matching.map(|(_, object)| object.clone()).collect()
    }

    fn put(&mut self, name: &str, value: String) -> u64 {
        self.version += 1;
        let object = Object {
            name: name.to_owned(),
            version: self.version,
            value,
        };
        self.objects.insert(name.to_owned(), object.clone());
        self.writes.push(object.clone());
        if self.faults.watch_drop > 0 {
            self.faults.watch_drop -= 1;
        } else {
            // An error only means that no watch is open.
            let _ = self.changes.send(object);
        }
        self.version
    }

    /// Returns whether the answer of the current write must be lost.
    fn should_lose_answer(&mut self) -> bool {
        if self.faults.lose_answers > 0 {
            self.faults.lose_answers -= 1;
            return true;
        }
        let probability = self.faults.lose_probability.clamp(0.0, 1.0);
        self.rng.random_bool(probability)
    }
}

/// Starts a platform.
///
/// # Errors
///
/// When the socket can't be opened.
pub async fn start(options: Options) -> io::Result<Handle<Platform>> {
    let state = Arc::new(Platform::new(&options));
    let app = Router::new()
        .route("/v1/objects", get(routes::list))
        .route("/v1/objects/{*name}", get(routes::get).put(routes::write))
        .route("/v1/watch", get(routes::watch))
        .route("/v1/instances", get(routes::instances))
        .layer(axum::middleware::from_fn_with_state(
            Arc::clone(&state),
            routes::add_era,
        ))
        .layer(axum::middleware::from_fn_with_state(
            Arc::clone(&state),
            routes::inject_faults,
        ))
        .route("/_standin/restore", put(routes::restore))
        .route("/_standin/faults", put(routes::set_faults))
        .route("/_standin/instances", put(routes::set_instances))
        .route("/_standin/calls", get(routes::calls))
        .with_state(Arc::clone(&state));
    let connections = Arc::default();
    let shutdown = CancellationToken::new();
    server::start(options.listen, app, state, connections, shutdown).await
}
