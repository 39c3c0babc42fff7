//! Start and planned stop of an instance.

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
use hemlockwind_peer::SharedKey;
use hemlockwind_peer::server;
use hemlockwind_platform::settings::Settings;
use hemlockwind_protocol::peer::Handler;
use hemlockwind_protocol::peer::store::Kind;

use crate::cuts;
use crate::follow;
use crate::gateway::Gateway;
use crate::instances;
use crate::listener;
use crate::news;
use crate::orders;
use crate::peers::Answers;
use crate::readiness;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Time after the signal in which the balancer still sends connections: it asks once a
/// second and takes an instance out after two refusals.
const NOTICE_TIME: Duration = Duration::from_millis(2_600);
/// Time before the platform kills the process by which the last request has ended.
const END_MARGIN: Duration = Duration::from_millis(300);
/// The part of it in which the process still waits for the store to remove its entry: what
/// is left is for the end of the process itself.
const LEAVE_MARGIN: Duration = Duration::from_millis(150);

/// `Running` is an instance with open sockets.
pub struct Running {
    /// What its parts share.
    pub gateway: Arc<Gateway>,
    callers: JoinHandle<()>,
    ending: CancellationToken,
    others: Vec<JoinHandle<()>>,
}

/// Opens the sockets and starts the tasks.
///
/// # Errors
///
/// `Error::Listen` when a socket can't be opened.
pub async fn start(settings: Settings, log: Logger) -> Result<Running> {
    let callers = open(settings.callers)?;
    let readiness = open(settings.readiness)?;
    let metrics = open(settings.metrics)?;
    let peers = open(settings.peers)?;
    let key = SharedKey::new(settings.peer_key.as_bytes());
    let gateway = Arc::new(Gateway::new(settings, log));
    let ending = CancellationToken::new();
    let answers: Arc<dyn Handler> = Arc::new(Answers {
        gateway: Arc::clone(&gateway),
    });
    let serve = listener::serve(Arc::clone(&gateway), callers, ending.clone());
    let others = vec![
        tokio::spawn(readiness::serve(Arc::clone(&gateway), readiness)),
        tokio::spawn(readiness::serve_metrics(Arc::clone(&gateway), metrics)),
        tokio::spawn(follow::follow(Arc::clone(&gateway), Kind::Routes)),
        tokio::spawn(follow::follow(Arc::clone(&gateway), Kind::Servers)),
        tokio::spawn(follow::follow(Arc::clone(&gateway), Kind::Instances)),
        tokio::spawn(instances::register(Arc::clone(&gateway))),
        tokio::spawn(news::ask(Arc::clone(&gateway))),
        tokio::spawn(server::serve(peers, key, answers, gateway.log.clone())),
        tokio::spawn(probe(Arc::clone(&gateway))),
        tokio::spawn(cuts::run(Arc::clone(&gateway))),
        tokio::spawn(homes_ended(Arc::clone(&gateway))),
        tokio::spawn(homes_report(Arc::clone(&gateway))),
        tokio::spawn(follow::tend(Arc::clone(&gateway))),
        tokio::spawn(orders::run(Arc::clone(&gateway))),
    ];
    info!(gateway.log, "started"; "callers" => %gateway.settings.callers,
        "data_centre" => &gateway.settings.data_centre, "store" => %gateway.settings.store);
    Ok(Running {
        callers: tokio::spawn(serve),
        gateway,
        ending,
        others,
    })
}

async fn probe(gateway: Arc<Gateway>) {
    gateway.peers.probe().await;
}

async fn homes_ended(gateway: Arc<Gateway>) {
    gateway.homes.tell_ended(&gateway).await;
}

async fn homes_report(gateway: Arc<Gateway>) {
    gateway.homes.report(&gateway).await;
}

/// Opens a listening socket with room for a burst of callers.
fn open(addr: SocketAddr) -> Result<TcpListener> {
    let error = |e: std::io::Error| Error::listen(format!("{addr}: {e}"));
    let socket = TcpSocket::new_v4().map_err(error)?;
    // A restarted process takes the address of the one before it.
    socket.set_reuseaddr(true).map_err(error)?;
    socket.bind(addr).map_err(error)?;
    socket.listen(BACKLOG).map_err(error)
}

impl Running {
    /// Ends at once without a word to anybody, as a process that is killed.
    pub fn abort(self) {
        self.callers.abort();
        for task in &self.others {
            task.abort();
        }
    }

    /// Stops as planned: not ready at once, still serving while the balancer hears of
    /// it, then no new connection, and an end when nothing is in progress any more.
    /// Returns the requests that were cut.
    pub async fn stop(mut self) -> usize {
        let gateway = Arc::clone(&self.gateway);
        let by = Instant::now() + gateway.settings.bounds.grace.saturating_sub(END_MARGIN);
        info!(gateway.log, "stopping"; "requests" => gateway.requests.len());
        gateway.stopping.cancel();
        tokio::time::sleep(NOTICE_TIME).await;
        // A process is stopped once, so it is not set yet.
        let _ = gateway.ends_at.set(by);
        self.ending.cancel();
        gateway.requests.close();
        let drain = async {
            gateway.requests.wait().await;
            // What was answered last may still be on its way to callers.
            let _ = (&mut self.callers).await;
        };
        let cut = match timeout_at(by, drain).await {
            Ok(()) => 0,
            Err(_) => gateway.requests.len(),
        };
        if cut > 0 {
            warn!(gateway.log, "requests were cut"; "cut" => cut);
        }
        if timeout_at(by + LEAVE_MARGIN, instances::leave(&gateway))
            .await
            .is_err()
        {
            // The others pass over an instance that does not answer, whatever its entry says.
            warn!(gateway.log, "entry not removed"; "error" => "no answer before the end");
        }
        for task in &self.others {
            task.abort();
        }
        info!(gateway.log, "stopped"; "cut" => cut);
        cut
    }
}
