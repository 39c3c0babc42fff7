//! Accepts and serves the connections of callers.

use std::convert::Infallible;
use std::future::Future;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use slog::warn;
use socket2::SockFilter;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use hemlockwind_backend::http1::set_tcp_options;

use crate::callers::MAX_HEADER_FIELDS;
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
/// Time in which handshakes end that began before the last moment: some round trips.
const HANDSHAKE_TIME: Duration = Duration::from_millis(10);
/// A filter of the kernel, in its classic machine code, that drops each segment that asks for a new
/// connection (SYN without ACK in byte 13 of the TCP header) and passes all others.
const NO_NEW_CONNECTIONS: [SockFilter; 5] = [
    // Load byte 13, keep SYN (2) and ACK (16), and go on at the third-last or the last line.
    SockFilter::new(0x30, 0, 0, 13),
    SockFilter::new(0x54, 0, 0, 0x12),
    SockFilter::new(0x15, 0, 1, 0x02),
    SockFilter::new(0x06, 0, 0, 0),
    SockFilter::new(0x06, 0, 0, u32::MAX),
];

/// Serves callers on `listener`. Once `ending` is cancelled it accepts no new connection and waits
/// until the open ones have finished the requests in progress.
pub async fn serve(gateway: Arc<Gateway>, listener: TcpListener, ending: CancellationToken) {
    let graceful = GracefulShutdown::new();
    accept_until(&gateway, &listener, &graceful, ending.cancelled()).await;
    // The kernel resets the connections in the backlog when the listener is closed, though they
    // are established for their callers. So none may be added while the last ones are accepted. A
    // caller whose segment is dropped repeats it and is refused then.
    if let Err(e) = SockRef::from(&listener).attach_filter(&NO_NEW_CONNECTIONS) {
        warn!(gateway.log, "new connections can't be kept out"; "error" => %e);
    }
    accept_until(&gateway, &listener, &graceful, sleep(HANDSHAKE_TIME)).await;
    accept_backlog(&gateway, listener, &graceful);
    // A connection on which no request was read yet counts as idle and would be closed
    // even if a request has arrived. Each answer closes its connection from now on.
    sleep(LAST_REQUEST_TIME).await;
    graceful.shutdown().await;
}

/// Accepts connections until `end` is over and none is known to wait.
async fn accept_until(
    gateway: &Arc<Gateway>,
    listener: &TcpListener,
    graceful: &GracefulShutdown,
    end: impl Future<Output = ()>,
) {
    tokio::pin!(end);
    loop {
        let accepted = tokio::select! {
            // Connections in the backlog are established for their callers, so they are
            // accepted first.
            biased;
            accepted = listener.accept() => accepted,
            () = &mut end => return,
        };
        match accepted {
            Ok((tcp, _)) => serve_connection(gateway, tcp, graceful),
            Err(_) => {
                gateway.callers.free_descriptor(gateway);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Accepts all connections in the backlog and closes the listener. The runtime may not have been
/// notified of the last ones, so the kernel is asked.
fn accept_backlog(gateway: &Arc<Gateway>, listener: TcpListener, graceful: &GracefulShutdown) {
    let accept_all = || -> std::io::Result<()> {
        let listener = listener.into_std()?;
        loop {
            let (tcp, _) = listener.accept()?;
            tcp.set_nonblocking(true)?;
            serve_connection(gateway, TcpStream::from_std(tcp)?, graceful);
        }
    };
    if let Err(e) = accept_all()
        && e.kind() != ErrorKind::WouldBlock
    {
        warn!(gateway.log, "connections may be reset"; "error" => %e);
    }
}

/// Serves one connection in a task of its own.
fn serve_connection(gateway: &Arc<Gateway>, tcp: TcpStream, graceful: &GracefulShutdown) {
    let Some(open) = gateway.callers.connect(gateway) else {
        return;
    };
    // Without the socket options a dead caller is only noticed later, so errors are ignored.
    let _ = set_tcp_options(&tcp);
    let limits = gateway.routes.load().limits;
    let service = {
        let gateway = Arc::clone(gateway);
        let caller = Arc::clone(open.connection());
        service_fn(move |req| {
            let gateway = Arc::clone(&gateway);
            let caller = Arc::clone(&caller);
            async move {
                let mut response = requests::handle(Arc::clone(&gateway), &caller, req).await;
                if gateway.stopping.is_cancelled() || caller.has_unread_body() {
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
        .max_headers(MAX_HEADER_FIELDS)
        .serve_connection(TokioIo::new(open.stream(tcp)), service);
    let connection = graceful.watch(connection);
    // A broken connection concerns only its caller.
    gateway.connections.spawn(open.run(connection));
}
