//! A plain service that counts how often it ran each call.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Extension;
use axum::Json;
use axum::Router;
use axum::body::Bytes;
use axum::extract::DefaultBodyLimit;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::Method;
use axum::http::StatusCode;
use axum::http::Uri;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::put;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use tokio_util::sync::CancellationToken;

use crate::server;
use crate::server::ConnectionControl;
use crate::server::Handle;

/// Header of an answer to a call that was refused before it started.
pub const NOT_STARTED: &str = "x-not-started";
/// Maximum size of a call's body.
const MAX_BODY_BYTES: usize = 64 << 20;
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// `Options` configures a service.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on.
    pub listen: SocketAddr,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        }
    }
}

/// `Faults` holds the faults that a service injects.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Accept calls but neither run nor answer them.
    pub freeze: bool,
    /// Delay of each call before it runs, in milliseconds.
    pub delay_ms: u64,
    /// Refuse each call before it starts.
    pub refuse: bool,
    /// Number of upcoming calls that run but whose connections are cut without an answer.
    pub lose_answers: u32,
}

/// `Call` identifies a call by its content.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Call {
    /// The method.
    pub method: String,
    /// The path with the query.
    pub path: String,
    /// The idempotency key.
    pub key: Option<String>,
    /// The body.
    pub body: String,
}

/// `CallAnswer` is the answer to a call that ran.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallAnswer {
    /// The number of the run among all runs, from 1.
    pub entry: u64,
    /// The call that ran.
    #[serde(flatten)]
    pub call: Call,
}

/// `CallRuns` counts the runs of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallRuns {
    /// The call.
    #[serde(flatten)]
    pub call: Call,
    /// How often it ran.
    pub count: u64,
}

/// `RunRecord` reports the calls that a service ran.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RunRecord {
    /// The number of all runs.
    pub total: u64,
    /// The number of runs of each call.
    pub calls: Vec<CallRuns>,
}

/// `Service` is the state of a running service.
#[derive(Debug, Default)]
pub struct Service {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    faults: Faults,
    total: u64,
    counts: HashMap<Call, u64>,
}

impl Service {
    /// Replaces all faults.
    pub fn set_faults(&self, faults: Faults) {
        self.inner.lock().faults = faults;
    }

    /// Returns which calls ran and how often.
    pub fn run_record(&self) -> RunRecord {
        let inner = self.inner.lock();
        let calls = inner.counts.iter().map(|(call, &count)| CallRuns {
            call: call.clone(),
            count,
        });
        RunRecord {
            total: inner.total,
            calls: calls.collect(),
        }
    }

    fn faults(&self) -> Faults {
        self.inner.lock().faults.clone()
    }

    /// Runs a call; returns its answer and whether that answer must be lost.
    fn run(&self, call: Call) -> (CallAnswer, bool) {
        let mut inner = self.inner.lock();
        inner.total += 1;
        *inner.counts.entry(call.clone()).or_default() += 1;
        let is_answer_lost = inner.faults.lose_answers > 0;
        inner.faults.lose_answers -= u32::from(is_answer_lost);
        let entry = inner.total;
        (CallAnswer { entry, call }, is_answer_lost)
    }
}

/// Starts a service.
///
/// # Errors
///
/// When the socket can't be opened.
pub async fn start(options: Options) -> io::Result<Handle<Service>> {
    let state = Arc::new(Service::default());
    let app = Router::new()
        .route("/_standin/faults", put(set_faults))
        .route("/_standin/ran", get(run_record))
        .fallback(call)
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(Arc::clone(&state));
    let connections = Arc::default();
    let shutdown = CancellationToken::new();
    server::start(options.listen, app, state, connections, shutdown).await
}

async fn set_faults(State(service): State<Arc<Service>>, Json(faults): Json<Faults>) -> StatusCode {
    service.set_faults(faults);
    StatusCode::NO_CONTENT
}

async fn run_record(State(service): State<Arc<Service>>) -> Json<RunRecord> {
    Json(service.run_record())
}

async fn call(
    State(service): State<Arc<Service>>,
    Extension(control): Extension<Arc<ConnectionControl>>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let faults = service.faults();
    if faults.refuse {
        return (StatusCode::SERVICE_UNAVAILABLE, [(NOT_STARTED, "1")]).into_response();
    }
    if faults.freeze {
        std::future::pending::<()>().await;
    }
    let key = headers.get(IDEMPOTENCY_KEY);
    let call = Call {
        method: method.to_string(),
        path: uri
            .path_and_query()
            .map(ToString::to_string)
            .unwrap_or_default(),
        key: key.map(|key| String::from_utf8_lossy(key.as_bytes()).into_owned()),
        body: String::from_utf8_lossy(&body).into_owned(),
    };
    // In a task of its own, a call runs even if its caller disconnects.
    let running = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        service.run(call)
    });
    let Ok((answer, is_answer_lost)) = running.await else {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    };
    if is_answer_lost {
        control.cut();
        std::future::pending::<()>().await;
    }
    Json(answer).into_response()
}
