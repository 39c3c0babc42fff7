//! HTTP listeners with limits on the size and time of a request's headers, and with graceful
//! shutdown.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::response::IntoResponse;
use axum::response::Response;
use hyper::body::Incoming;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tower::ServiceExt;
use tower::service_fn;

use crate::caller_connections::Callers;
use crate::caller_connections::Connection;
use crate::caller_connections::HTTP2_WINDOW_BYTES;
use crate::problem::Failure;
use crate::transmission::TrackedStream;
use crate::transmission::Unsent;

/// Maximum number of header fields of one request: more than any legal client sends.
const MAX_HEADER_FIELDS: usize = 1_000;
/// Interval between pings on idle HTTP/2 connections of callers.
const PING_INTERVAL: Duration = Duration::from_millis(10_000);

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// `Options` holds the limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Maximum size of a request's headers, in bytes.
    pub header_bytes: usize,
    /// Time in which a request's headers must have arrived.
    pub header_timeout: Duration,
}

/// Serves `app` on `listener`. After `stopping` is cancelled, accepts no new connections,
/// closes the open ones after their requests in progress, and waits for them.
pub async fn serve(
    listener: TcpListener,
    app: Router,
    callers: Arc<Callers>,
    options: Options,
    stopping: CancellationToken,
) {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(options.header_timeout)
        .max_buf_size(options.header_bytes)
        .max_headers(MAX_HEADER_FIELDS);
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .max_concurrent_streams(callers.max_streams())
        .initial_stream_window_size(HTTP2_WINDOW_BYTES)
        .initial_connection_window_size(HTTP2_WINDOW_BYTES)
        .max_header_list_size(u32::try_from(options.header_bytes).unwrap_or(u32::MAX));
    let graceful = GracefulShutdown::new();
    loop {
        let tcp = tokio::select! {
            tcp = listener.accept() => tcp,
            () = stopping.cancelled() => break,
        };
        let Ok((tcp, _)) = tcp else {
            // For example, the process has too many open files: wait until some are closed.
            callers.free_descriptor();
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Some(caller) = callers.connect() else {
            continue;
        };
        let _ = tcp.set_nodelay(true);
        let unsent = Unsent::default();
        let tcp = TrackedStream::new(tcp, unsent.clone(), Arc::clone(&caller));
        let app = app.clone();
        let service = {
            let caller = Arc::clone(&caller);
            service_fn(move |req| handle(app.clone(), Arc::clone(&caller), unsent.clone(), req))
        };
        let connection = builder
            .serve_connection_with_upgrades(TokioIo::new(tcp), TowerToHyperService::new(service));
        let connection = graceful.watch(connection.into_owned());
        tokio::spawn(async move {
            tokio::select! {
                // An error of the connection affects only its caller.
                _ = connection => {}
                () = caller.evicted() => {}
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Answers one request within the budget of all callers.
async fn handle(
    app: Router,
    caller: Arc<Connection>,
    unsent: Unsent,
    req: http::Request<Incoming>,
) -> Result<Response, Infallible> {
    let lease = match caller.begin(req.headers()) {
        Ok(lease) => lease,
        Err(e) => return Ok(caller.refuse(Failure::from(e).into_response())),
    };
    let mut req = req.map(Body::new);
    req.extensions_mut().insert(unsent);
    req.extensions_mut().insert(Arc::clone(&lease));
    let response = app.oneshot(req).await?;
    Ok(lease.track(response))
}
