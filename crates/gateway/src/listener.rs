//! Connections of callers.

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

use hemlockwind_backend::http1::guard;

use crate::gateway::Gateway;
use crate::requests;

/// Bytes that the library's buffer must hold at least.
const LEAST_BUFFER: usize = 8 << 10;
/// Idle time beyond the limit before a connection is closed: callers may use one up to
/// the limit, and a request may be on its way.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Time after the last connection was taken in which its request is read: an instance under
/// load may be some hundred milliseconds behind.
const LINGER: Duration = Duration::from_millis(500);
/// Pause when the process is out of sockets.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves callers on `listener`. After `ending` it takes no new connection, and gives
/// the open ones the time to end what is in progress.
pub async fn serve(gateway: Arc<Gateway>, listener: TcpListener, ending: CancellationToken) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            // What waits to be accepted has been promised to its callers.
            biased;
            accepted = listener.accept() => accepted,
            () = ending.cancelled() => break,
        };
        let Ok((tcp, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Without the options a dead caller is noticed later; that is no reason to refuse it.
        let _ = guard(&tcp);
        let limits = gateway.routes.load().limits;
        let service = {
            let gateway = Arc::clone(&gateway);
            service_fn(move |req| {
                let gateway = Arc::clone(&gateway);
                async move {
                    let closes = gateway.stopping.is_cancelled();
                    let mut response = requests::handle(gateway, req).await;
                    if closes {
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
            .max_buf_size(limits.header_bytes.max(LEAST_BUFFER))
            .serve_connection(TokioIo::new(tcp), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // A caller that breaks its connection concerns only that caller.
            let _ = connection.await;
        });
    }
    drop(listener);
    // A connection on which no request was read yet counts as idle and would be closed, also
    // where a request has arrived. Each answer closes its connection from now on.
    tokio::time::sleep(LINGER).await;
    graceful.shutdown().await;
}
