//! HTTP listeners with bounds on slow and large senders, and graceful shutdown.

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

/// Header fields of one request at most.
const HEADER_FIELDS: usize = 100;
/// Requests that one HTTP/2 connection may have in progress.
const STREAMS: u32 = 1_000;
/// Time between pings on idle HTTP/2 connections of callers.
const PING_INTERVAL: Duration = Duration::from_millis(10_000);

/// `Options` bounds what a listener takes.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Bytes of a request's headers.
    pub header_bytes: usize,
    /// Time in which a request's headers must have arrived.
    pub header_timeout: Duration,
}

/// Serves `app` on `listener`. After `stopping`, takes no new connection, tells
/// the open ones to end after the requests in progress, and waits for them.
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
        .max_headers(HEADER_FIELDS);
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .max_concurrent_streams(STREAMS)
        .max_header_list_size(u32::try_from(options.header_bytes).unwrap_or(u32::MAX));
    let graceful = GracefulShutdown::new();
    loop {
        let tcp = tokio::select! {
            tcp = listener.accept() => tcp,
            () = stopping.cancelled() => break,
        };
        let Ok((tcp, _)) = tcp else {
            // The process is out of sockets; give it time to close some.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let _ = tcp.set_nodelay(true);
        let app = app
            .clone()
            .map_request(|req: http::Request<_>| req.map(Body::new));
        let connection = builder
            .serve_connection_with_upgrades(TokioIo::new(tcp), TowerToHyperService::new(app));
        let connection = graceful.watch(connection.into_owned());
        tokio::spawn(async move {
            // A caller that breaks its connection concerns only that caller.
            let _ = connection.await;
        });
    }
    drop(listener);
    graceful.shutdown().await;
}
