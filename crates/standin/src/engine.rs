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
use hemlockwind_core::engine::Input;
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

/// Maximum size of a request's body.
const MAX_BODY_BYTES: usize = 64 << 20;

/// `Options` configures an engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Name of the model.
    pub model: String,
    /// Number of layers of the whole model.
    pub model_layers: u16,
    /// The layers that this engine holds.
    pub layers: LayerRange,
    /// Maximum number of streams, and of steps in one iteration.
    pub limit: u32,
    /// Duration of one iteration of the batch, in milliseconds.
    pub step_ms: f64,
    /// Time that each prefill adds to its iteration, in milliseconds.
    pub prefill_ms: f64,
    /// Lag of the reported load, in milliseconds.
    pub load_lag_ms: u64,
    /// Time without a step after which a stream may be evicted for a new one, in milliseconds.
    pub idle_ms: u64,
    /// Whether orders with an old fencing token are accepted.
    pub ignore_fencing: bool,
    /// Whether runs are recorded. Long tests turn this off to keep memory from growing.
    pub record: bool,
}

impl Options {
    /// Returns the options of an engine on a free port whose iterations take no time.
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

/// `Faults` holds the faults that an engine injects.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Accept requests but never answer them, nor those that are in flight.
    pub freeze: bool,
    /// Read and write nothing more on the connections that are open now, even after the fault
    /// is cleared; new ones work.
    pub silent: bool,
    /// Delay of each request, in milliseconds.
    pub delay_ms: u64,
    /// Refuse new streams, as an engine that is leaving does.
    pub leaving: bool,
    /// Never answer requests to export or import KV cache.
    pub silent_moves: bool,
    /// Shut down at once and cut all connections.
    pub die: bool,
    /// Shut down as soon as a prompt with this text is to be prefilled.
    pub die_on: Option<String>,
    /// Delay answers to steps, or add duplicate or unrelated results to them.
    pub late: Option<LateAnswers>,
}

/// `LateAnswers` selects answers to steps that are delayed, and the results that are added to them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LateAnswers {
    /// One in this many answers is affected; 0 for none.
    pub every: u32,
    /// Delay of such an answer, in milliseconds.
    pub delay_ms: u64,
    /// Whether it contains its own results twice.
    pub duplicate: bool,
    /// Whether it also contains the results of the previous answer.
    pub crossed: bool,
}

/// `RunRecord` reports what an engine has done.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RunRecord {
    /// The number of runs of each step.
    pub runs: Vec<StepRuns>,
    /// Accepted orders, oldest first.
    pub orders: Vec<Order>,
    /// The number of iterations of the batch.
    pub iterations: u64,
}

/// `StreamState` describes a stream that has a place on the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StreamState {
    /// The request.
    pub request: Uuid,
    /// The incarnation.
    pub incarnation: u32,
    /// The index of the token that the next decode step must generate; 0 without a KV cache.
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
    answer_count: u32,
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
            answer_count: 0,
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

    /// Replaces all faults; `silent` affects every open connection.
    pub fn set_faults(&self, faults: Faults) {
        self.apply_faults(faults, &server::ConnectionControl::default());
    }

    /// Replaces all faults. `silent` affects every open connection except the one of `control`:
    /// a request that sets faults still gets its answer.
    fn apply_faults(&self, faults: Faults, control: &server::ConnectionControl) {
        if faults.silent {
            self.connections.silence_others(control);
        }
        if faults.die {
            self.shutdown.cancel();
        }
        self.inner.lock().streams.set_leaving(faults.leaving);
        self.faults.send_replace(faults);
        self.record_load();
    }

    /// Returns what the engine has done.
    pub fn run_record(&self) -> RunRecord {
        let inner = self.inner.lock();
        RunRecord {
            runs: inner.streams.runs(),
            orders: inner.orders.clone(),
            iterations: self.batch.iterations(),
        }
    }

    /// Returns the streams that have a place on the engine.
    pub fn streams(&self) -> Vec<StreamState> {
        self.inner.lock().streams.list()
    }

    /// Whether one of the steps prefills a prompt on which the engine crashes.
    fn dies_on(&self, steps: &[Step]) -> bool {
        let faults = self.faults.borrow();
        let Some(crash_text) = &faults.die_on else {
            return false;
        };
        steps.iter().any(|step| match &step.input {
            Input::Prompt { text, .. } => text.contains(crash_text.as_str()),
            Input::Token(_) | Input::Activation(_) => false,
        })
    }

    /// Adds steps to the batch and returns their results when all have run.
    async fn run_steps(&self, steps: Vec<Step>) -> Vec<StepResult> {
        if self.dies_on(&steps) {
            self.shutdown.cancel();
            return std::future::pending().await;
        }
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
                // A step gets no result if its stream was cancelled while it waited.
                let output = output.unwrap_or(Output::Refused(Refusal::MissingCache));
                StepResult { id, output }
            }
        });
        let admitted: Vec<_> = admitted.collect();
        self.record_load();
        futures::future::join_all(admitted).await
    }

    /// Runs the steps of one iteration and sends their results.
    fn iterate(&self, jobs: Vec<batch::Job>) {
        for job in jobs {
            let output = self.inner.lock().streams.run(&job.step, Instant::now());
            // The caller may have disconnected.
            let _ = job.result.send(output);
        }
        self.record_load();
    }

    fn cancel(&self, request: RequestId) {
        self.batch.remove(request);
        self.inner.lock().streams.cancel(request);
        self.record_load();
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

    /// Returns the load as it was `load_lag_ms` ago.
    fn reported_load(&self) -> LoadReport {
        let lag = Duration::from_millis(self.options.load_lag_ms);
        self.inner.lock().load.get(Instant::now(), lag)
    }

    /// Records the load for later reports.
    fn record_load(&self) {
        let lag = Duration::from_millis(self.options.load_lag_ms);
        let mut inner = self.inner.lock();
        let load = inner.streams.load();
        inner.load.set(Instant::now(), load, lag);
    }

    /// Accepts an order unless its fencing token is old, and returns whether it did.
    fn accept_order(&self, order: Order, layers: LayerRange) -> bool {
        let mut inner = self.inner.lock();
        if order.fencing < inner.fencing && !self.options.ignore_fencing {
            return false;
        }
        inner.fencing = order.fencing;
        inner.streams.set_layers(layers);
        inner.orders.push(order);
        true
    }

    /// Applies the `late` faults to an answer: returns its results and the delay before it is sent.
    fn apply_late_faults(&self, results: Vec<StepResult>) -> (Vec<StepResult>, Duration) {
        let late = self.faults.borrow().late.clone();
        let mut inner = self.inner.lock();
        let before = std::mem::replace(&mut inner.last_answer, results.clone());
        inner.answer_count = inner.answer_count.wrapping_add(1);
        let Some(late) = late.filter(|late| late.every > 0) else {
            return (results, Duration::ZERO);
        };
        if !inner.answer_count.is_multiple_of(late.every) {
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
            routes::inject_faults,
        ))
        .route("/_standin/faults", put(routes::set_faults))
        .route("/_standin/ran", get(routes::run_record))
        .route("/_standin/streams", get(routes::streams))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(Arc::clone(&state));
    let running = batch::run(Arc::clone(&state));
    tokio::spawn(shutdown.clone().run_until_cancelled_owned(running));
    let connections = Arc::clone(&state.connections);
    server::start(listen, app, state, connections, shutdown).await
}
