//! Starts and stops an instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::Logger;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::timeout_at;
use tokio_util::sync::CancellationToken;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_paths::load_policy::LoadPolicySwitch;
use hemlockwind_peer::SharedKey;
use hemlockwind_peer::server;
use hemlockwind_platform::settings::LOAD_POLICY_VARIABLE;
use hemlockwind_platform::settings::Settings;
use hemlockwind_protocol::peer::Handler;
use hemlockwind_protocol::peer::store::Kind;
use hemlockwind_tasks::Panic;

use crate::callers;
use crate::follow;
use crate::gateway::Gateway;
use crate::instances;
use crate::listener;
use crate::orders;
use crate::partitions;
use crate::peers::PeerHandler;
use crate::quarantine;
use crate::readiness;
use crate::updates;

/// Number of connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Time after the signal in which the balancer still sends connections: it checks once a
/// second and removes an instance after two failed checks.
const BALANCER_NOTICE_TIME: Duration = Duration::from_millis(2_600);
/// The last request has ended this long before the platform kills the process.
const END_MARGIN: Duration = Duration::from_millis(300);
/// The part of [`END_MARGIN`] in which the process waits for the store to remove its
/// entry; the rest is for the exit of the process itself.
const DEREGISTER_TIME: Duration = Duration::from_millis(150);

/// `Running` is an instance with open sockets.
pub struct Running {
    /// The shared state of the instance.
    pub gateway: Arc<Gateway>,
    callers: JoinHandle<()>,
    ending: CancellationToken,
    background_tasks: Vec<JoinHandle<()>>,
}

/// Opens the sockets and starts the tasks.
///
/// # Errors
///
/// Returns `Error::Listen` if a socket can't be opened, and `Error::Settings` if the load policy
/// has no known name.
pub async fn start(settings: Settings, log: Logger) -> Result<Running> {
    if settings.load_policy.parse::<LoadPolicySwitch>().is_err() {
        let policy = &settings.load_policy;
        return Err(Error::settings(format!(
            "{LOAD_POLICY_VARIABLE} is not auto, standard, admission or contended: {policy}"
        )));
    }
    let listener = open_listener(settings.callers)?;
    let readiness = open_listener(settings.readiness)?;
    let metrics = open_listener(settings.metrics)?;
    let peers = open_listener(settings.peers)?;
    let key = SharedKey::new(settings.peer_key.as_bytes());
    let gateway = Arc::new(Gateway::new(settings, log));
    let ending = CancellationToken::new();
    let handler: Arc<dyn Handler> = Arc::new(PeerHandler {
        gateway: Arc::clone(&gateway),
    });
    let serve = listener::serve(Arc::clone(&gateway), listener, ending.clone());
    let (open_files, log) = (gateway.settings.open_files, gateway.log.clone());
    let tasks = &gateway.tasks;
    let background_tasks = vec![
        tasks.spawn(
            "readiness",
            readiness::serve(Arc::clone(&gateway), readiness),
        ),
        tasks.spawn(
            "metrics",
            readiness::serve_metrics(Arc::clone(&gateway), metrics),
        ),
        tasks.spawn("callers", callers::check(Arc::clone(&gateway))),
        tasks.spawn("routes", follow::follow(Arc::clone(&gateway), Kind::Routes)),
        tasks.spawn(
            "servers",
            follow::follow(Arc::clone(&gateway), Kind::Servers),
        ),
        tasks.spawn(
            "instances",
            follow::follow(Arc::clone(&gateway), Kind::Instances),
        ),
        tasks.spawn("registration", instances::register(Arc::clone(&gateway))),
        tasks.spawn("updates", updates::pull(Arc::clone(&gateway))),
        tasks.spawn("peers", server::serve(peers, key, handler, open_files, log)),
        tasks.spawn("probes", probe(Arc::clone(&gateway))),
        tasks.spawn("partitions", partitions::run(Arc::clone(&gateway))),
        tasks.spawn("ended streams", report_ended_streams(Arc::clone(&gateway))),
        tasks.spawn(
            "running streams",
            report_running_streams(Arc::clone(&gateway)),
        ),
        tasks.spawn("maintenance", follow::maintain(Arc::clone(&gateway))),
        tasks.spawn("orders", orders::run(Arc::clone(&gateway))),
        tasks.spawn("quarantine", quarantine::exchange(Arc::clone(&gateway))),
    ];
    info!(gateway.log, "started"; "callers" => %gateway.settings.callers,
        "data_centre" => &gateway.settings.data_centre, "store" => %gateway.settings.store);
    Ok(Running {
        callers: gateway.tasks.spawn("caller connections", serve),
        gateway,
        ending,
        background_tasks,
    })
}

async fn probe(gateway: Arc<Gateway>) {
    gateway.peers.probe().await;
}

async fn report_ended_streams(gateway: Arc<Gateway>) {
    gateway.queue_owners.report_ended(&gateway).await;
}

async fn report_running_streams(gateway: Arc<Gateway>) {
    gateway.queue_owners.report_running(&gateway).await;
}

/// Logs what the end of the process cuts, if anything.
pub fn log_cut(gateway: &Gateway) {
    let (cut, connections) = (gateway.requests.len(), gateway.connections.len());
    if cut > 0 || connections > 0 {
        warn!(gateway.log, "requests were cut"; "cut" => cut, "connections" => connections,
            "phases" => gateway.requests.count_by_phase(), "requests" => gateway.requests.describe());
    }
}

/// Opens a listening socket whose backlog holds a burst of callers.
fn open_listener(addr: SocketAddr) -> Result<TcpListener> {
    let error = |e: std::io::Error| Error::listen(format!("{addr}: {e}"));
    let socket = TcpSocket::new_v4().map_err(error)?;
    // A restarted process binds the address of its predecessor.
    socket.set_reuseaddr(true).map_err(error)?;
    socket.bind(addr).map_err(error)?;
    socket.listen(BACKLOG).map_err(error)
}

impl Running {
    /// Ends all tasks at once without notice, as if the process were killed.
    pub fn abort(self) {
        self.callers.abort();
        for task in &self.background_tasks {
            task.abort();
        }
    }

    /// Waits until a background task has panicked; then the process is to be stopped.
    pub async fn panicked(&self) -> Panic {
        self.gateway.tasks.panicked().await
    }

    /// Stops in an orderly way: reports not ready at once, serves until the balancer has
    /// noticed, then accepts no new connection and ends when no request is in progress.
    /// Returns the number of requests that were cut.
    pub async fn stop(mut self) -> usize {
        let gateway = Arc::clone(&self.gateway);
        let deadline = Instant::now() + gateway.settings.bounds.grace.saturating_sub(END_MARGIN);
        info!(gateway.log, "stopping"; "requests" => gateway.requests.len());
        // A process is stopped only once, so the value is not set yet.
        let _ = gateway.ends_at.set(deadline);
        gateway.stopping.cancel();
        tokio::time::sleep(BALANCER_NOTICE_TIME).await;
        gateway.closing.cancel();
        self.ending.cancel();
        let drain = async {
            gateway.requests.wait().await;
            // The last answers may still be in transit to their callers.
            let _ = (&mut self.callers).await;
        };
        let cut = match timeout_at(deadline, drain).await {
            Ok(()) => 0,
            Err(_) => {
                log_cut(&gateway);
                gateway.requests.len()
            }
        };
        if timeout_at(deadline + DEREGISTER_TIME, instances::deregister(&gateway))
            .await
            .is_err()
        {
            // The others skip an instance that does not answer, even if it has an entry.
            warn!(gateway.log, "entry not removed"; "error" => "no answer before the end");
        }
        for task in &self.background_tasks {
            task.abort();
        }
        info!(gateway.log, "stopped"; "cut" => cut);
        cut
    }
}
