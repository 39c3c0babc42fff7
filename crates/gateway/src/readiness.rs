//! Serves the readiness check of the load balancer and the metrics.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

use hemlockwind_platform::settings::READY_PATH;

use crate::answers;
use crate::answers::Body;
use crate::callers::CallerConnection;
use crate::callers::Callers;
use crate::gateway::Gateway;
use crate::in_progress::TrackedBody;

/// The path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Size of a connection's read buffer: the smallest one that the HTTP library accepts.
const BUFFER_BYTES: usize = 8 << 10;
/// Time for which a balancer's connection may stay idle. A balancer checks once a second.
const READINESS_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time for which a collector's connection may stay idle. Collectors commonly request the metrics
/// every 60 s: with the same limit, a request could arrive while its connection is being closed.
const METRICS_IDLE_TIMEOUT: Duration = Duration::from_secs(300);
/// Pause after a failed accept, as when the process has no sockets left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Returns the answer to a request for a path.
type Answer = fn(&Gateway) -> (StatusCode, String);

/// `Endpoint` is what one listener serves.
#[derive(Clone, Copy)]
struct Endpoint {
    path: &'static str,
    answer: Answer,
    /// Time for which a connection may stay idle.
    idle_timeout: Duration,
}

/// Serves readiness on `listener`, until the task is ended.
pub async fn serve(gateway: Arc<Gateway>, listener: TcpListener) {
    let callers = Arc::clone(&gateway.balancers);
    let endpoint = Endpoint {
        path: READY_PATH,
        answer: ready,
        idle_timeout: READINESS_IDLE_TIMEOUT,
    };
    accept(gateway, &callers, listener, endpoint).await;
}

/// Serves metrics on `listener`, until the task is ended.
pub async fn serve_metrics(gateway: Arc<Gateway>, listener: TcpListener) {
    let callers = Arc::clone(&gateway.collectors);
    let endpoint = Endpoint {
        path: METRICS_PATH,
        answer: metrics,
        idle_timeout: METRICS_IDLE_TIMEOUT,
    };
    accept(gateway, &callers, listener, endpoint).await;
}

async fn accept(
    gateway: Arc<Gateway>,
    callers: &Arc<Callers>,
    listener: TcpListener,
    endpoint: Endpoint,
) {
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => serve_connection(&gateway, callers, tcp, endpoint),
            Err(_) => {
                callers.free_descriptor(&gateway);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one connection in a task of its own.
fn serve_connection(
    gateway: &Arc<Gateway>,
    callers: &Arc<Callers>,
    tcp: TcpStream,
    endpoint: Endpoint,
) {
    let Some(open) = callers.connect(gateway) else {
        return;
    };
    let gateway = Arc::clone(gateway);
    let caller = Arc::clone(open.connection());
    let service = service_fn(move |req| {
        let gateway = Arc::clone(&gateway);
        let caller = Arc::clone(&caller);
        async move { Ok::<_, Infallible>(handle(&gateway, &caller, req, endpoint).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(endpoint.idle_timeout)
        .max_buf_size(BUFFER_BYTES)
        .serve_connection(TokioIo::new(open.stream(tcp)), service);
    tokio::spawn(open.run(connection));
}

async fn handle(
    gateway: &Gateway,
    caller: &Arc<CallerConnection>,
    req: Request<Incoming>,
    endpoint: Endpoint,
) -> Response<Body> {
    let (parts, mut body) = req.into_parts();
    let begun = caller.begin(parts.headers.len(), &body).await;
    let is_read = matches!(parts.method, Method::GET | Method::HEAD);
    let (status, text) = match (begun, parts.uri.path() == endpoint.path) {
        (Err(_), _) => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        (Ok(()), false) => (StatusCode::NOT_FOUND, String::new()),
        (Ok(()), true) if !is_read => (StatusCode::METHOD_NOT_ALLOWED, String::new()),
        (Ok(()), true) => (endpoint.answer)(gateway),
    };
    caller.discard(&mut body).await;
    let has_text = !text.is_empty();
    let mut response = Response::new(answers::full(text.into()));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    if has_text {
        let text_type = HeaderValue::from_static("text/plain; charset=utf-8");
        headers.insert(header::CONTENT_TYPE, text_type);
    }
    if caller.has_unread_body() {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response.map(|body| TrackedBody::new(body, caller.answer()).boxed_unsync())
}

fn ready(gateway: &Gateway) -> (StatusCode, String) {
    let status = match gateway.is_ready() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    (status, String::new())
}

fn metrics(gateway: &Gateway) -> (StatusCode, String) {
    let (running, waiting) = gateway.queue_owners.load();
    let (held, connections) = gateway.callers.load();
    let mut text = gateway.counters.render();
    text.push_str(&format!("hemlockwind_streams_running {running}\n"));
    text.push_str(&format!("hemlockwind_streams_waiting {waiting}\n"));
    let (waiting_by_rank, reserved) = gateway.queue_owners.admission_load();
    for (rank, waiting) in waiting_by_rank.iter().enumerate() {
        let line = format!("hemlockwind_admission_waiting{{rank=\"{rank}\"}} {waiting}\n");
        text.push_str(&line);
    }
    text.push_str(&format!("hemlockwind_admission_reserved {reserved:.0}\n"));
    text.push_str(&format!(
        "hemlockwind_load_policy_contended {}\n",
        u8::from(gateway.queue_owners.is_contended())
    ));
    text.push_str(&gateway.queue_owners.render_load(gateway.now()));
    text.push_str(&format!("hemlockwind_callers_bytes {held}\n"));
    text.push_str(&format!("hemlockwind_callers_connections {connections}\n"));
    text.push_str(&format!(
        "hemlockwind_connections_opened_total {}\n",
        gateway.http.opened()
    ));
    text.push_str(&format!(
        "hemlockwind_routes_version {}\n",
        gateway.routes.load().version
    ));
    text.push_str(&format!(
        "hemlockwind_store_era {}\n",
        gateway.store_cache.era()
    ));
    text.push_str(&gateway.histograms.render(Gateway::rank_name));
    (StatusCode::OK, text)
}
