//! Start and planned stop of an instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::Logger;
use slog::info;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio::time::timeout_at;
use tokio_util::sync::CancellationToken;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_peer::SharedKey;
use hemlockwind_peer::server;
use hemlockwind_protocol::peer::Handler;
use hemlockwind_settings::Settings;
use hemlockwind_settings::settings;
use hemlockwind_tasks::Panic;

use crate::admin;
use crate::callers;
use crate::configuration;
use crate::in_progress::RequestState;
use crate::in_progress::Snapshot;
use crate::instance::Edges;
use crate::instance::Instance;
use crate::listener;
use crate::machine;
use crate::members;
use crate::peers::PeerHandler;
use crate::pool;
use crate::slots;
use crate::watch;

/// Maximum number of connections that wait to be accepted. The system drops further ones,
/// and their callers try again only after a second.
const BACKLOG: u32 = 4_096;

/// Maximum time before the end of the drain time at which the remaining requests are answered
/// with errors.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(1_000);
/// That time is at most the drain time divided by this.
const ANSWER_TIME_DIVISOR: u32 = 4;

/// `Running` is an instance with open sockets.
pub struct Running {
    /// The state that its parts share.
    pub instance: Arc<Instance>,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for other instances.
    pub peers: SocketAddr,
    /// The address for operators.
    pub admin: SocketAddr,
    callers_task: JoinHandle<()>,
    /// Stops the listener for callers; cancelled when the requests have ended.
    drained: CancellationToken,
    background_tasks: Vec<JoinHandle<()>>,
    /// Stops the listener for operators; cancelled at the end of a stop.
    closing: CancellationToken,
}

/// Opens the sockets of the instance `name` and starts its tasks.
///
/// # Errors
///
/// `Error::Settings` when the settings don't name the instance, `Error::Listen`
/// when a socket can't be opened.
pub async fn start(settings: Settings, name: Option<&str>, log: Logger) -> Result<Running> {
    let me = settings.instance(name).cloned().ok_or_else(|| {
        Error::settings("name one of the instances in the settings with --instance")
    })?;
    let edges = Edges::new(&settings, &me);
    start_with(settings, me, edges, log).await
}

/// Like [`start`], with the given adapters.
///
/// # Errors
///
/// `Error::Listen` when a socket can't be opened.
pub async fn start_with(
    settings: Settings,
    me: settings::Instance,
    edges: Edges,
    log: Logger,
) -> Result<Running> {
    let key = SharedKey::new(settings.peer_key.as_bytes());
    let options = listener::Options {
        // Twice the limit, so that a request slightly over the limit is still read and gets
        // an answer with an error number.
        header_bytes: 2 * settings.limits.header_bytes,
        header_timeout: Duration::from_millis(settings.limits.receive_ms),
    };
    let (callers_socket, callers) = open(me.callers).await?;
    let (peers_socket, peers) = open(me.peers).await?;
    let (admin_socket, admin_addr) = open(me.admin).await?;
    let instance = Arc::new(Instance::new(settings, me, edges, log)?);
    let closing = CancellationToken::new();

    let app = callers::router(Arc::clone(&instance));
    let drained = CancellationToken::new();
    let callers_task = listener::serve(
        callers_socket,
        app,
        Arc::clone(&instance.callers),
        options,
        drained.clone(),
    );
    let callers_task = instance.tasks.spawn("caller connections", callers_task);

    let app = admin::router(Arc::clone(&instance));
    let admin_task = listener::serve(
        admin_socket,
        app,
        Arc::clone(&instance.callers),
        options,
        closing.clone(),
    );
    let handler: Arc<dyn Handler> = Arc::new(PeerHandler {
        instance: Arc::clone(&instance),
    });
    let open_files = instance.settings.limits.open_files;
    let open_files = open_files.unwrap_or_else(machine::max_open_files);
    let peer_task = server::serve(peers_socket, key, handler, open_files, instance.log.clone());
    let tasks = &instance.tasks;
    let background_tasks = vec![
        tasks.spawn("admin", admin_task),
        tasks.spawn("callers", Arc::clone(&instance.callers).run_checks()),
        tasks.spawn("peers", peer_task),
        tasks.spawn("configuration", configuration::run(Arc::clone(&instance))),
        tasks.spawn("members", members::run(Arc::clone(&instance))),
        tasks.spawn("pools", pool::run(Arc::clone(&instance))),
        tasks.spawn("slots", slots::run(Arc::clone(&instance))),
        tasks.spawn("loads", watch::poll_loads(Arc::clone(&instance))),
        tasks.spawn("list", watch::poll_list(Arc::clone(&instance))),
    ];
    info!(instance.log, "started"; "callers" => %callers, "peers" => %peers, "admin" => %admin_addr);
    Ok(Running {
        instance,
        callers,
        peers,
        admin: admin_addr,
        callers_task,
        drained,
        background_tasks,
        closing,
    })
}

/// Has the requests in progress answered with errors, and returns them.
fn end_requests(instance: &Instance) -> Snapshot {
    let ended = instance.in_progress.snapshot(|state| match state {
        RequestState::Waiting | RequestState::Running | RequestState::BetweenRuns => true,
        RequestState::Answering => false,
    });
    if !ended.is_empty() {
        ended.warn(&instance.log, "requests were ended by the stop", "ended");
    }
    instance.ending.cancel();
    ended
}

/// Logs the requests in progress, which are about to be cut off, and returns them.
pub fn log_cut(instance: &Instance) -> Snapshot {
    let cut = instance.in_progress.snapshot(|_| true);
    if !cut.is_empty() {
        cut.warn(&instance.log, "requests were cut", "cut");
    }
    cut
}

/// Opens a listening socket whose backlog holds a burst of callers.
async fn open(addr: SocketAddr) -> Result<(TcpListener, SocketAddr)> {
    let error = |e: std::io::Error| Error::listen(format!("{addr}: {e}"));
    let socket = if addr.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    };
    let socket = socket.map_err(error)?;
    // An instance that replaces another one takes over its address at once.
    socket.set_reuseaddr(true).map_err(error)?;
    socket.bind(addr).map_err(error)?;
    let listener = socket.listen(BACKLOG).map_err(error)?;
    let local = listener.local_addr().map_err(error)?;
    Ok((listener, local))
}

impl Running {
    /// Waits until a background task has panicked; then the process is to be stopped.
    pub async fn panicked(&self) -> Panic {
        self.instance.tasks.panicked().await
    }

    /// Performs a planned stop. For `notice_ms`, in which the load balancer can notice that
    /// the instance isn't ready, requests are still accepted. After that they are refused as
    /// not run, and those in progress run to their ends. Shortly before the end of the drain
    /// time, the remaining ones are answered with errors. Returns the number of requests that
    /// the stop ended in this way or cut off, among them those whose answers were not
    /// transmitted in time.
    pub async fn stop(mut self) -> usize {
        let instance = Arc::clone(&self.instance);
        let limits = instance.settings.limits;
        info!(instance.log, "stopping"; "requests" => instance.requests.len());
        let notice_time = Duration::from_millis(limits.notice_ms);
        let drain_time = Duration::from_millis(limits.drain_ms);
        let answer_time = MAX_ANSWER_TIME.min(drain_time / ANSWER_TIME_DIVISOR);
        let work_time = drain_time - answer_time;
        // A process is stopped only once, so the value is not set yet.
        let now = instance.edges.clock.now();
        let _ = instance.ends_at.set(now + notice_time + work_time);
        instance.unready.cancel();
        tokio::time::sleep(notice_time).await;
        let drain_end = tokio::time::Instant::now() + drain_time;
        instance.stopping.cancel();
        members::leave(&instance);
        instance.requests.close();
        let mut ended = Snapshot::default();
        if timeout(work_time, self.drain()).await.is_err() {
            ended = end_requests(&instance);
        }
        let mut cut = Snapshot::default();
        if timeout_at(drain_end, self.drain()).await.is_err() {
            cut = log_cut(&instance);
        }
        slots::release(&instance).await;
        self.end_tasks();
        info!(instance.log, "stopped"; "ended" => ended.len(), "cut" => cut.len());
        ended.union_len(&cut)
    }

    /// Waits until all requests have ended and their answers are transmitted.
    async fn drain(&mut self) {
        let instance = Arc::clone(&self.instance);
        tokio::select! {
            () = instance.requests.wait() => {}
            () = instance.ending.cancelled() => {}
        }
        // The last answers may not have been sent to their callers yet.
        self.drained.cancel();
        if !self.callers_task.is_finished() {
            let _ = (&mut self.callers_task).await;
        }
        instance.requests.wait().await;
    }

    /// Stops at once. Returns the number of requests that this cuts off.
    pub fn abort(self) -> usize {
        let cut = log_cut(&self.instance).len();
        self.instance.unready.cancel();
        self.instance.stopping.cancel();
        self.callers_task.abort();
        self.end_tasks();
        cut
    }

    /// Ends the tasks that serve no callers.
    fn end_tasks(&self) {
        self.closing.cancel();
        for task in &self.background_tasks {
            task.abort();
        }
    }
}
