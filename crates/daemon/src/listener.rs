//! HTTP listeners with limits on the size and time of a request's headers, and with graceful
//! shutdown.

use std::time::Duration;

use axum::Router;
use axum::body::Body;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tower::ServiceExt;

use crate::transmission::TrackedStream;
use crate::transmission::Unsent;

/// Maximum number of header fields of one request.
const MAX_HEADER_FIELDS: usize = 100;
/// Maximum number of concurrent requests on one HTTP/2 connection.
const MAX_STREAMS: u32 = 1_000;
/// Interval between pings on idle HTTP/2 connections of callers.
const PING_INTERVAL: Duration = Duration::from_millis(10_000);

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
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(u32::try_from(options.header_bytes).unwrap_or(u32::MAX));
    let graceful = GracefulShutdown::new();
    loop {
        let tcp = tokio::select! {
            tcp = listener.accept() => tcp,
            () = stopping.cancelled() => break,
        };
        let Ok((tcp, _)) = tcp else {
            // For example, the process has too many open files: wait until some are closed.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let _ = tcp.set_nodelay(true);
        let unsent = Unsent::default();
        let tcp = TrackedStream::new(tcp, unsent.clone());
        let app = app.clone().map_request(move |mut req: http::Request<_>| {
            req.extensions_mut().insert(unsent.clone());
            req.map(Body::new)
        });
        let connection = builder
            .serve_connection_with_upgrades(TokioIo::new(tcp), TowerToHyperService::new(app));
        let connection = graceful.watch(connection.into_owned());
        tokio::spawn(async move {
            // An error of the connection affects only its caller.
            let _ = connection.await;
        });
    }
    drop(listener);
    graceful.shutdown().await;
}
