//! Accepts and serves the connections of callers.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use hemlockwind_backend::http1::set_tcp_options;

use crate::gateway::Gateway;
use crate::requests;

/// Smallest buffer size that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Time beyond the idle limit after which a connection is closed: callers may use it up
/// to the limit, and a request may be in transit.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Time in which the requests of the last accepted connections are read: an instance under
/// load may be a few hundred milliseconds behind.
const LAST_REQUEST_TIME: Duration = Duration::from_millis(500);
/// Pause after a failed accept, as when the process has no sockets left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves callers on `listener`. Once `ending` is cancelled it accepts no new connection and waits
/// until the open ones have finished the requests in progress.
pub async fn serve(gateway: Arc<Gateway>, listener: TcpListener, ending: CancellationToken) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            // Connections in the backlog are established for their callers, so they are
            // accepted first.
            biased;
            accepted = listener.accept() => accepted,
            () = ending.cancelled() => break,
        };
        let Ok((tcp, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Without the socket options a dead caller is only noticed later, so errors are
        // ignored.
        let _ = set_tcp_options(&tcp);
        let limits = gateway.routes.load().limits;
        let service = {
            let gateway = Arc::clone(&gateway);
            service_fn(move |req| {
                let gateway = Arc::clone(&gateway);
                async move {
                    let mut response = requests::handle(Arc::clone(&gateway), req).await;
                    if gateway.stopping.is_cancelled() {
                        let close = http::HeaderValue::from_static("close");
                        response
                            .headers_mut()
                            .insert(http::header::CONNECTION, close);
                    }
                    Ok::<_, Infallible>(response)
                }
            })
        };
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            // The library counts the idle time before a request as part of reading it.
            .header_read_timeout(limits.idle_timeout + IDLE_MARGIN)
            .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(tcp), service);
        let connection = graceful.watch(connection);
        gateway.connections.spawn(async move {
            // A broken connection concerns only its caller.
            let _ = connection.await;
        });
    }
    drop(listener);
    // A connection on which no request was read yet counts as idle and would be closed
    // even if a request has arrived. Each answer closes its connection from now on.
    tokio::time::sleep(LAST_REQUEST_TIME).await;
    graceful.shutdown().await;
}
