//! HTTP/1.1 and HTTP/2 on connections that can be cut or go silent.

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

/// Requests in flight on one HTTP/2 connection at most.
const H2_STREAMS: u32 = 8_192;

/// `ConnectionControl` is the switch of one connection. Handlers find theirs as an extension.
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

    /// Keeps the connection open, but reads and writes nothing any more.
    pub fn silence(&self) {
        self.silent.store(true, Ordering::Release);
    }

    fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Acquire)
    }
}

/// `Connections` holds the gates of open connections.
#[derive(Debug, Default)]
pub struct Connections {
    gates: Mutex<Vec<Weak<ConnectionControl>>>,
}

impl Connections {
    /// Silences all open connections except `but`.
    pub fn silence_others(&self, but: &ConnectionControl) {
        for gate in self.gates.lock().iter().filter_map(Weak::upgrade) {
            if !std::ptr::eq(&*gate, but) {
                gate.silence();
            }
        }
    }

    fn add(&self, gate: &Arc<ConnectionControl>) {
        let mut gates = self.gates.lock();
        gates.retain(|gate| gate.strong_count() > 0);
        gates.push(Arc::downgrade(gate));
    }
}

/// `Handle` is a running fake.
#[derive(Debug)]
pub struct Handle<S> {
    /// Where it listens.
    pub addr: SocketAddr,
    /// What it holds.
    pub state: Arc<S>,
    /// Ends it, cutting its connections.
    pub shutdown: CancellationToken,
    task: JoinHandle<()>,
}

impl<S> Handle<S> {
    /// Ends the fake at once, as a kill would, and waits for it.
    pub async fn stop(self) {
        self.shutdown.cancel();
        self.stopped().await;
    }

    /// Waits until the fake has ended.
    pub async fn stopped(mut self) {
        // A panic of the task is the end as well.
        let _ = (&mut self.task).await;
    }
}

impl<S> Drop for Handle<S> {
    fn drop(&mut self) {
        self.shutdown.cancel();
    }
}

/// Serves `app` at `listen` until `shutdown`.
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

/// Accepts connections; all are dropped when it returns.
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
        let gate = Arc::new(ConnectionControl::default());
        connections.add(&gate);
        tasks.spawn(serve(io, app.clone(), gate));
    }
}

/// Serves one connection until it ends or is cut.
async fn serve(io: TcpStream, app: Router, gate: Arc<ConnectionControl>) {
    // Without it only latency suffers.
    let _ = io.set_nodelay(true);
    let service = TowerToHyperService::new(app.layer(Extension(Arc::clone(&gate))));
    let io = TokioIo::new(Guarded {
        io,
        gate: Arc::clone(&gate),
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http2().max_concurrent_streams(H2_STREAMS);
    let conn = builder.serve_connection(io, service);
    tokio::select! {
        () = gate.cut.cancelled() => (),
        // How a connection of a test ends is the test's concern.
        _ = conn => (),
    }
}

/// `Guarded` is a connection behind its gate.
struct Guarded {
    io: TcpStream,
    gate: Arc<ConnectionControl>,
}

impl AsyncRead for Guarded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.gate.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl AsyncWrite for Guarded {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.gate.is_silent() {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.gate.is_silent() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.gate.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
