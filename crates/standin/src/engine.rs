//! An engine that holds a range of layers of the deterministic [`model`](crate::model).

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::routing::get;
use axum::routing::post;
use axum::routing::put;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use hemlockwind_core::edges::KvExport;
use hemlockwind_core::engine::Incarnation;
use hemlockwind_core::engine::LoadReport;
use hemlockwind_core::engine::Output;
use hemlockwind_core::engine::Refusal;
use hemlockwind_core::engine::RequestId;
use hemlockwind_core::engine::Step;
use hemlockwind_core::engine::StepResult;
use hemlockwind_core::layers::LayerRange;
use hemlockwind_protocol::engine::Order;

use crate::lagged::Lagged;
use crate::server;
use crate::server::Connections;
use crate::server::Handle;

mod batch;
mod routes;
mod streams;

use batch::Batch;
use streams::Streams;

pub use streams::StepRuns;

/// The size of a request's body at most, in bytes.
const BODY_LIMIT: usize = 64 << 20;

/// `Options` says how an engine starts.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where to listen.
    pub listen: SocketAddr,
    /// The model that it holds a range of.
    pub model: String,
    /// The layers of the whole model.
    pub model_layers: u16,
    /// The layers that it holds.
    pub layers: LayerRange,
    /// Streams taken at most.
    pub limit: u32,
    /// Milliseconds that one iteration of the batch takes.
    pub step_ms: f64,
    /// Milliseconds that each prefill adds to its iteration.
    pub prefill_ms: f64,
    /// Milliseconds by which the reported load lags.
    pub load_lag_ms: u64,
    /// Milliseconds without a step after which a stream may make room.
    pub idle_ms: u64,
    /// Whether orders with an old fencing token are taken.
    pub ignore_fencing: bool,
    /// Whether runs are recorded; without it long trials keep their memory.
    pub record: bool,
}

impl Options {
    /// An engine on a free port that takes no time.
    pub fn new(model_layers: u16, layers: LayerRange) -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            model: "model".into(),
            model_layers,
            layers,
            limit: 64,
            step_ms: 0.0,
            prefill_ms: 0.0,
            load_lag_ms: 0,
            idle_ms: 10_000,
            ignore_fencing: false,
            record: true,
        }
    }
}

/// `Faults` are the switches of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Accept requests, but never answer, nor what is under way.
    pub freeze: bool,
    /// Connections that are open now go silent for good; new ones work.
    pub silent: bool,
    /// Milliseconds that each request waits.
    pub delay_ms: u64,
    /// Refuse new streams, as an engine that is leaving.
    pub leaving: bool,
    /// End at once.
    pub die: bool,
    /// Answers to steps that are late, repeated or crossed.
    pub late: Option<LateAnswers>,
}

/// `LateAnswers` says which answers to steps come late, and what else they hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LateAnswers {
    /// One in so many answers is concerned; 0 is none.
    pub every: u32,
    /// Milliseconds that such an answer waits.
    pub delay_ms: u64,
    /// Whether it holds its results twice.
    pub duplicate: bool,
    /// Whether it also holds the results of the answer before.
    pub crossed: bool,
}

/// `RunRecord` is what the engine really did.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RunRecord {
    /// Runs by step.
    pub runs: Vec<StepRuns>,
    /// Orders taken, in order.
    pub orders: Vec<Order>,
    /// Iterations of the batch.
    pub iterations: u64,
}

/// `StreamState` is a stream that holds KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StreamState {
    /// The request.
    pub request: Uuid,
    /// The incarnation.
    pub incarnation: u32,
    /// The next token that a decode step may ask for.
    pub next: u32,
}

/// `Engine` is the state of a running engine.
#[derive(Debug)]
pub struct Engine {
    options: Options,
    inner: Mutex<Inner>,
    faults: watch::Sender<Faults>,
    batch: Batch,
    connections: Arc<Connections>,
    shutdown: CancellationToken,
}

#[derive(Debug)]
struct Inner {
    streams: Streams,
    load: Lagged<LoadReport>,
    orders: Vec<Order>,
    fencing: u64,
    answers: u32,
    last_answer: Vec<StepResult>,
}

impl Engine {
    fn new(options: Options, shutdown: CancellationToken) -> Self {
        let load = LoadReport {
            streams: 0,
            limit: options.limit,
            leaving: false,
        };
        let inner = Inner {
            streams: Streams::new(&options),
            load: Lagged::new(load),
            orders: Vec::new(),
            fencing: 0,
            answers: 0,
            last_answer: Vec::new(),
        };
        Self {
            options,
            inner: Mutex::new(inner),
            faults: watch::Sender::new(Faults::default()),
            batch: Batch::default(),
            connections: Arc::default(),
            shutdown,
        }
    }

    /// Sets all switches; `silent` spares no connection.
    pub fn set_faults(&self, faults: Faults) {
        self.apply(faults, &server::ConnectionControl::default());
    }

    /// Sets all switches on behalf of a request that came through `gate`.
    fn apply(&self, faults: Faults, gate: &server::ConnectionControl) {
        if faults.silent {
            self.connections.silence_others(gate);
        }
        if faults.die {
            self.shutdown.cancel();
        }
        self.inner.lock().streams.set_leaving(faults.leaving);
        self.faults.send_replace(faults);
        self.note_load();
    }

    /// What the engine really did.
    pub fn run_record(&self) -> RunRecord {
        let inner = self.inner.lock();
        RunRecord {
            runs: inner.streams.runs(),
            orders: inner.orders.clone(),
            iterations: self.batch.iterations(),
        }
    }

    /// The streams that hold KV cache.
    pub fn streams(&self) -> Vec<StreamState> {
        self.inner.lock().streams.list()
    }

    /// Runs steps in the batch, and gives their results when all have run.
    async fn steps(&self, steps: Vec<Step>) -> Vec<StepResult> {
        let admitted = steps.into_iter().map(|step| {
            let id = step.id;
            let refused = self.inner.lock().streams.admit(&step, Instant::now()).err();
            let result = match refused {
                Some(_) => None,
                None => Some(self.batch.push(step)),
            };
            async move {
                let output = match (refused, result) {
                    (None, Some(result)) => result.await.ok(),
                    (refused, _) => refused.map(Output::Refused),
                };
                // A step whose stream was cancelled meanwhile has no result.
                let output = output.unwrap_or(Output::Refused(Refusal::MissingCache));
                StepResult { id, output }
            }
        });
        let admitted: Vec<_> = admitted.collect();
        self.note_load();
        futures::future::join_all(admitted).await
    }

    /// Runs one iteration of the batch.
    fn iterate(&self, jobs: Vec<batch::Job>) {
        for job in jobs {
            let output = self.inner.lock().streams.run(&job.step, Instant::now());
            // Whoever asked may have gone.
            let _ = job.result.send(output);
        }
        self.note_load();
    }

    fn cancel(&self, request: RequestId) {
        self.batch.remove(request);
        self.inner.lock().streams.cancel(request);
        self.note_load();
    }

    fn export(&self, request: RequestId) -> Option<KvExport> {
        self.inner.lock().streams.export(request)
    }

    fn import(
        &self,
        request: RequestId,
        incarnation: Incarnation,
        cache: &KvExport,
    ) -> Result<(), Refusal> {
        let mut inner = self.inner.lock();
        let now = Instant::now();
        inner.streams.import(request, incarnation, cache, now)
    }

    fn load(&self) -> LoadReport {
        let lag = Duration::from_millis(self.options.load_lag_ms);
        self.inner.lock().load.get(Instant::now(), lag)
    }

    /// Records the load for later reports.
    fn note_load(&self) {
        let lag = Duration::from_millis(self.options.load_lag_ms);
        let mut inner = self.inner.lock();
        let load = inner.streams.load();
        inner.load.set(Instant::now(), load, lag);
    }

    /// Takes an order, unless its fencing token is old.
    fn order(&self, order: Order, layers: LayerRange) -> bool {
        let mut inner = self.inner.lock();
        if order.fencing < inner.fencing && !self.options.ignore_fencing {
            return false;
        }
        inner.fencing = order.fencing;
        inner.streams.hold(layers);
        inner.orders.push(order);
        true
    }

    /// The results of an answer, and the time that it waits, as the switches say.
    fn disturb(&self, results: Vec<StepResult>) -> (Vec<StepResult>, Duration) {
        let late = self.faults.borrow().late.clone();
        let mut inner = self.inner.lock();
        let before = std::mem::replace(&mut inner.last_answer, results.clone());
        inner.answers = inner.answers.wrapping_add(1);
        let Some(late) = late.filter(|late| late.every > 0) else {
            return (results, Duration::ZERO);
        };
        if !inner.answers.is_multiple_of(late.every) {
            return (results, Duration::ZERO);
        }
        let mut all = if late.crossed { before } else { Vec::new() };
        if late.duplicate {
            all.extend_from_slice(&results);
        }
        all.extend(results);
        (all, Duration::from_millis(late.delay_ms))
    }
}

/// Starts an engine.
///
/// # Errors
///
/// When the socket can't be opened.
pub async fn start(options: Options) -> io::Result<Handle<Engine>> {
    let listen = options.listen;
    let shutdown = CancellationToken::new();
    let state = Arc::new(Engine::new(options, shutdown.clone()));
    let app = Router::new()
        .route("/v1/steps", post(routes::steps))
        .route("/v1/cancel", post(routes::cancel))
        .route("/v1/kv/export", post(routes::export))
        .route("/v1/kv/import", post(routes::import))
        .route("/v1/load", get(routes::load))
        .route("/v1/orders", post(routes::order))
        .layer(axum::middleware::from_fn_with_state(
            Arc::clone(&state),
            routes::interfere,
        ))
        .route("/_standin/faults", put(routes::set_faults))
        .route("/_standin/ran", get(routes::run_record))
        .route("/_standin/streams", get(routes::streams))
        .layer(DefaultBodyLimit::max(BODY_LIMIT))
        .with_state(Arc::clone(&state));
    let running = batch::run(Arc::clone(&state));
    tokio::spawn(shutdown.clone().run_until_cancelled_owned(running));
    let connections = Arc::clone(&state.connections);
    server::start(listen, app, state, connections, shutdown).await
}
