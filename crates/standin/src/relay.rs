//! A TCP relay that can cut connections and drop or delay the bytes of either direction.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use parking_lot::Mutex;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Size of the read buffer.
const CHUNK_BYTES: usize = 64 << 10;
/// Maximum number of chunks that are queued in one direction of a connection.
const MAX_CHUNKS_IN_TRANSIT: usize = 256;

/// `Mode` selects what happens to the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// They are forwarded.
    #[default]
    Pass,
    /// They are dropped, while the connection stays open.
    Silence,
    /// They are forwarded after a delay.
    Delay(Duration),
}

/// `Modes` holds the modes of both directions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Modes {
    /// From the client to the target.
    pub to_target: Mode,
    /// From the target to the client.
    pub from_target: Mode,
}

impl Modes {
    /// Returns the same mode for both directions.
    pub fn both(mode: Mode) -> Self {
        Self {
            to_target: mode,
            from_target: mode,
        }
    }
}

/// `Relay` is a running relay. Dropping it stops it.
#[derive(Debug)]
pub struct Relay {
    /// Address that clients connect to.
    pub addr: SocketAddr,
    shared: Arc<Shared>,
    shutdown: CancellationToken,
}

#[derive(Debug, Default)]
struct Shared {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    modes: Modes,
    refusing: bool,
    links: Vec<Weak<Link>>,
}

/// `Link` is one relayed connection.
#[derive(Debug, Default)]
struct Link {
    modes: Mutex<Modes>,
    cut: CancellationToken,
}

impl Relay {
    /// Starts a relay to `target` on a free port.
    ///
    /// # Errors
    ///
    /// When the socket can't be opened.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let addr = listener.local_addr()?;
        let shared = Arc::<Shared>::default();
        let shutdown = CancellationToken::new();
        let accepting = accept(listener, target, Arc::clone(&shared), shutdown.clone());
        tokio::spawn(shutdown.clone().run_until_cancelled_owned(accepting));
        Ok(Self {
            addr,
            shared,
            shutdown,
        })
    }

    /// Sets the modes of open and future connections.
    pub fn set(&self, modes: Modes) {
        self.shared.inner.lock().modes = modes;
        self.set_open(modes);
    }

    /// Sets the modes of open connections only.
    pub fn set_open(&self, modes: Modes) {
        self.for_each(|link| *link.modes.lock() = modes);
    }

    /// Cuts all open connections.
    pub fn cut(&self) {
        self.for_each(|link| link.cut.cancel());
    }

    /// Sets whether new connections are closed at once.
    pub fn set_refusing(&self, refusing: bool) {
        self.shared.inner.lock().refusing = refusing;
    }

    fn for_each(&self, apply: impl Fn(&Link)) {
        let inner = self.shared.inner.lock();
        for link in inner.links.iter().filter_map(Weak::upgrade) {
            apply(&link);
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shutdown.cancel();
    }
}

impl Shared {
    /// Returns a link for a new connection, or `None` if connections are refused.
    fn open(&self) -> Option<Arc<Link>> {
        let mut inner = self.inner.lock();
        if inner.refusing {
            return None;
        }
        let link = Arc::new(Link {
            modes: Mutex::new(inner.modes),
            cut: CancellationToken::new(),
        });
        inner.links.retain(|link| link.strong_count() > 0);
        inner.links.push(Arc::downgrade(&link));
        Some(link)
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    shared: Arc<Shared>,
    shutdown: CancellationToken,
) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        let Some(link) = shared.open() else {
            continue;
        };
        let relaying = relay(client, target, link);
        tokio::spawn(shutdown.clone().run_until_cancelled_owned(relaying));
    }
}

/// Relays one connection until both directions are closed or it is cut.
async fn relay(client: TcpStream, target: SocketAddr, link: Arc<Link>) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    // A failure only costs latency.
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_rx, client_tx) = client.into_split();
    let (server_rx, server_tx) = server.into_split();
    let to_target = forward(client_rx, server_tx, || link.modes.lock().to_target);
    let from_target = forward(server_rx, client_tx, || link.modes.lock().from_target);
    tokio::select! {
        () = link.cut.cancelled() => (),
        () = async { tokio::join!(to_target, from_target); } => (),
    }
}

/// Forwards the bytes of one direction until it is closed.
async fn forward(from: OwnedReadHalf, to: OwnedWriteHalf, mode: impl Fn() -> Mode) {
    let (tx, rx) = mpsc::channel(MAX_CHUNKS_IN_TRANSIT);
    tokio::join!(read(from, tx, mode), write(to, rx));
}

/// The time at which a chunk is to be written, and the chunk.
type ScheduledChunk = (Instant, Bytes);

async fn read(mut from: OwnedReadHalf, tx: mpsc::Sender<ScheduledChunk>, mode: impl Fn() -> Mode) {
    let mut buf = BytesMut::with_capacity(CHUNK_BYTES);
    while let Ok(1..) = from.read_buf(&mut buf).await {
        let chunk = buf.split().freeze();
        buf.reserve(CHUNK_BYTES);
        let delay = match mode() {
            Mode::Pass => Duration::ZERO,
            Mode::Silence => continue,
            Mode::Delay(delay) => delay,
        };
        if tx.send((Instant::now() + delay, chunk)).await.is_err() {
            return;
        }
    }
    if mode() == Mode::Silence {
        // The end of the connection isn't forwarded either.
        std::future::pending::<()>().await;
    }
}

async fn write(mut to: OwnedWriteHalf, mut rx: mpsc::Receiver<ScheduledChunk>) {
    while let Some((due_at, chunk)) = rx.recv().await {
        tokio::time::sleep_until(due_at).await;
        if to.write_all(&chunk).await.is_err() {
            return;
        }
    }
}
