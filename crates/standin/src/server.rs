//! An HTTP/1.1 and HTTP/2 server whose connections can be cut or made silent.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use axum::Extension;
use axum::Router;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::server::conn::auto;
use hyper_util::service::TowerToHyperService;
use parking_lot::Mutex;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// Maximum number of concurrent requests on one HTTP/2 connection.
const MAX_H2_STREAMS: u32 = 8_192;

/// `ConnectionControl` can cut or silence one connection. Handlers get it as an extension.
#[derive(Debug, Default)]
pub struct ConnectionControl {
    silent: AtomicBool,
    cut: CancellationToken,
}

impl ConnectionControl {
    /// Closes the connection at once.
    pub fn cut(&self) {
        self.cut.cancel();
    }

    /// Keeps the connection open but reads and writes nothing more on it.
    pub fn silence(&self) {
        self.silent.store(true, Ordering::Release);
    }

    fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Acquire)
    }
}

/// `Connections` holds the controls of all open connections.
#[derive(Debug, Default)]
pub struct Connections {
    controls: Mutex<Vec<Weak<ConnectionControl>>>,
}

impl Connections {
    /// Silences all open connections except `except`.
    pub fn silence_others(&self, except: &ConnectionControl) {
        for control in self.controls.lock().iter().filter_map(Weak::upgrade) {
            if !std::ptr::eq(&*control, except) {
                control.silence();
            }
        }
    }

    fn add(&self, control: &Arc<ConnectionControl>) {
        let mut controls = self.controls.lock();
        controls.retain(|control| control.strong_count() > 0);
        controls.push(Arc::downgrade(control));
    }
}

/// `Handle` is a running stand-in. Dropping it shuts the stand-in down.
#[derive(Debug)]
pub struct Handle<S> {
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Its state.
    pub state: Arc<S>,
    /// Shuts it down and cuts its connections when cancelled.
    pub shutdown: CancellationToken,
    task: JoinHandle<()>,
}

impl<S> Handle<S> {
    /// Shuts the stand-in down at once, as if it was killed, and waits until it has ended.
    pub async fn stop(self) {
        self.shutdown.cancel();
        self.stopped().await;
    }

    /// Waits until the stand-in has ended.
    pub async fn stopped(mut self) {
        // The task has also ended if it panicked.
        let _ = (&mut self.task).await;
    }
}

impl<S> Drop for Handle<S> {
    fn drop(&mut self) {
        self.shutdown.cancel();
    }
}

/// Serves `app` on `listen` until `shutdown` is cancelled.
///
/// # Errors
///
/// When the socket can't be opened.
pub async fn start<S>(
    listen: SocketAddr,
    app: Router,
    state: Arc<S>,
    connections: Arc<Connections>,
    shutdown: CancellationToken,
) -> io::Result<Handle<S>> {
    let listener = TcpListener::bind(listen).await?;
    let addr = listener.local_addr()?;
    let task = tokio::spawn(accept(listener, app, connections, shutdown.clone()));
    Ok(Handle {
        addr,
        state,
        shutdown,
        task,
    })
}

/// Accepts connections until shutdown, which drops all of them.
async fn accept(
    listener: TcpListener,
    app: Router,
    connections: Arc<Connections>,
    shutdown: CancellationToken,
) {
    let mut tasks = JoinSet::new();
    loop {
        let io = tokio::select! {
            () = shutdown.cancelled() => return,
            Some(_) = tasks.join_next() => continue,
            accepted = listener.accept() => match accepted {
                Ok((io, _)) => io,
                Err(_) => continue,
            },
        };
        let control = Arc::new(ConnectionControl::default());
        connections.add(&control);
        tasks.spawn(serve(io, app.clone(), control));
    }
}

/// Serves one connection until it ends or is cut.
async fn serve(io: TcpStream, app: Router, control: Arc<ConnectionControl>) {
    // A failure only costs latency.
    let _ = io.set_nodelay(true);
    let service = TowerToHyperService::new(app.layer(Extension(Arc::clone(&control))));
    let io = TokioIo::new(ControlledStream {
        io,
        control: Arc::clone(&control),
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http2().max_concurrent_streams(MAX_H2_STREAMS);
    let conn = builder.serve_connection(io, service);
    tokio::select! {
        () = control.cut.cancelled() => (),
        // The result is ignored, since tests check on the client side how a connection ended.
        _ = conn => (),
    }
}

/// `ControlledStream` is a TCP stream that reads nothing and discards writes while its control
/// is silent.
struct ControlledStream {
    io: TcpStream,
    control: Arc<ConnectionControl>,
}

impl AsyncRead for ControlledStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.control.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl AsyncWrite for ControlledStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.control.is_silent() {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.control.is_silent() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.control.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
