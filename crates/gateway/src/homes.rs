//! Where and when a stream may start, by the homes of its service.
//!
//! The engines of a service have one home, kept by one of the instances, which has the
//! only ledger of their memory. A home that does not answer is replaced by the next
//! instance; streams that run are told to the new one. On both sides of a cut instances
//! choose a home among those that they reach, for the engines that they reach.

mod keep;
pub mod local;
mod tell;
mod wire;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use slog::info;
use tokio::sync::Notify;

use hemlockwind_backend::clock::SystemClock;
use hemlockwind_core::collections::HashMap;
use hemlockwind_core::collections::SeededHashMap;
use hemlockwind_core::edges::Clock;
use hemlockwind_core::names::InstanceKey;
use hemlockwind_core::names::Names;
use hemlockwind_core::names::OrganisationKey;
use hemlockwind_core::names::Rank;
use hemlockwind_core::routes::Routes;
use hemlockwind_core::time::Instant;
use hemlockwind_paths::Engines;
use hemlockwind_paths::Home;
use hemlockwind_paths::home::Detour;
use hemlockwind_paths::ticket::Reason;
use hemlockwind_platform::headers::Stage;
use hemlockwind_protocol::peer::Reply;
use hemlockwind_protocol::peer::Request;
use hemlockwind_protocol::peer::paths as message;

use crate::directory::Directory;
use crate::gateway::Gateway;
use crate::homes::local::Cell;
use crate::homes::local::Decided;
use crate::homes::local::Local;
use crate::homes::wire::detour_to_wire;
use crate::homes::wire::from_wire;
use crate::homes::wire::reason_from_wire;
use crate::homes::wire::to_wire;
use crate::peers::Instance;

/// Time that an engine gets no new work after it stopped making progress: its entry is
/// removed, or it is back, by then.
const DEAD_TIME: Duration = Duration::from_millis(4_000);
/// When to come back if no home can be reached or no engines are known.
const NO_HOME_RETRY: Duration = Duration::from_millis(1_000);
/// Time between two reports of the running streams to their homes.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time in which ends of streams are gathered into one message.
pub const DONE_INTERVAL: Duration = Duration::from_millis(10);
/// Homes that are tried for one data centre.
const HOME_TRIES: u32 = 3;

/// `Ask` is what a stream asks of a home.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The service whose engines are to run it.
    pub service: Arc<str>,
    /// Who asks.
    pub organisation: Arc<str>,
    /// Its rank.
    pub rank: Rank,
    /// Tokens of its prompt and expected answer together.
    pub tokens: u32,
    /// The latest start with which it is still on time.
    pub on_time_by: Instant,
    /// The latest start of any use.
    pub latest: Instant,
    /// Whether it may wait for a start.
    pub may_wait: bool,
}

/// `Refusal` is why a stream may not start, and when a later try has a chance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// The time after which to come back.
    pub retry_after: Duration,
}

/// The service of a home's engines.
type HomeKey = Arc<str>;

/// What this instance has running at one home.
#[derive(Default)]
struct Account {
    running: HashMap<u64, (u32, Vec<Stage>)>,
    done: Vec<u64>,
    /// The instance that was last told of the running streams.
    told: Option<Arc<str>>,
}

type Accounts = Mutex<SeededHashMap<HomeKey, Account>>;

/// `Homes` holds the homes by service and data centre.
pub struct Homes {
    clock: SystemClock,
    names: Mutex<Interned>,
    homes: Mutex<SeededHashMap<HomeKey, Cell>>,
    accounts: Arc<Accounts>,
    ended: Arc<Notify>,
    numbers: AtomicU64,
    /// Engines that others were told of, until when.
    dead: Mutex<HashMap<SocketAddr, Instant>>,
    /// Data centres that can't be reached from here.
    cut_off: Mutex<Vec<Arc<str>>>,
}

#[derive(Default)]
struct Interned {
    instances: Names<InstanceKey>,
    organisations: Names<OrganisationKey>,
}

/// `Grant` is the right to run a stream on a path. Dropping it frees the memory.
pub struct Grant {
    /// The path.
    pub path: Vec<Stage>,
    ticket: Claim,
}

/// Tells the home that a ticket has ended, when it is dropped.
struct Claim {
    key: HomeKey,
    number: u64,
    accounts: Arc<Accounts>,
    ended: Arc<Notify>,
}

impl Homes {
    /// No homes yet.
    pub fn new(clock: SystemClock) -> Self {
        Self {
            clock,
            names: Mutex::default(),
            homes: Mutex::default(),
            accounts: Arc::default(),
            ended: Arc::new(Notify::new()),
            numbers: AtomicU64::new(1),
            dead: Mutex::default(),
            cut_off: Mutex::default(),
        }
    }

    fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Takes the services and engines as they are now.
    pub fn update(&self, routes: &Routes, directory: &Directory) {
        for service in routes.services() {
            let Some(model) = service.engine.as_ref().filter(|m| m.is_joint()) else {
                continue;
            };
            let cell = {
                let mut homes = self.homes.lock();
                let cell = homes.entry(Arc::clone(&service.name)).or_insert_with(|| {
                    let home = Home::new(Engines::new(Arc::clone(model)));
                    Arc::new(Mutex::new(Local::new(home)))
                });
                Arc::clone(cell)
            };
            let engines = &mut cell.lock().home.engines;
            engines.model = Arc::clone(model);
            engines.update(directory.of(&service.name).map(|s| &**s));
            engines.set_cut_off(&self.cut_off.lock());
        }
    }

    /// Asks the home of a service for a start of a stream, and waits for it where that is of
    /// use. Asks the next one when it does not answer.
    ///
    /// # Errors
    ///
    /// The reason why it may not start.
    pub async fn ask(&self, gateway: &Gateway, ask: &Ask) -> Result<Grant, Refusal> {
        for _ in 0..HOME_TRIES {
            let now = self.now();
            let keeper = gateway.peers.home(&ask.service);
            let claim = Claim {
                key: Arc::clone(&ask.service),
                number: self.numbers.fetch_add(1, Ordering::Relaxed),
                accounts: Arc::clone(&self.accounts),
                ended: Arc::clone(&self.ended),
            };
            let near = &gateway.settings.data_centre;
            let asked = to_wire(ask, near, claim.number, now);
            let decided = match keeper.name == gateway.peers.me().name {
                true => Some(self.ask_local(&ask.service, "", &asked).await),
                false => {
                    let remote = self.ask_remote(gateway, &keeper, &ask.service, asked);
                    remote.await
                }
            };
            match decided {
                Some(Ok(path)) => {
                    claim.begin(ask.tokens, &path);
                    return Ok(Grant {
                        path,
                        ticket: claim,
                    });
                }
                Some(Err((reason, retry_after))) => {
                    return Err(Refusal {
                        reason,
                        retry_after,
                    });
                }
                None => {}
            }
        }
        Err(Refusal {
            reason: Reason::NoPath,
            retry_after: NO_HOME_RETRY,
        })
    }

    async fn ask_remote(
        &self,
        gateway: &Gateway,
        keeper: &Instance,
        key: &HomeKey,
        ask: message::Ask,
    ) -> Option<Decided> {
        let req = Request::Paths(message::Message::Ask(key.to_string(), ask));
        let reply = gateway.peers.call(keeper, req).await;
        match reply {
            Ok(Reply::Paths(message::Answer::Granted(path))) => {
                let path: Option<Vec<Stage>> = path.into_iter().map(from_wire).collect();
                path.map(Ok)
            }
            Ok(Reply::Paths(message::Answer::Refused(reason, ms))) => Some(Err((
                reason_from_wire(reason),
                Duration::from_millis(ms.into()),
            ))),
            Ok(_) => None,
            Err((_, e)) => {
                gateway.counters.add("homes_unreachable");
                if let Some(left_out) = gateway.lines.take(gateway.now(), "home_lost") {
                    info!(gateway.log, "home without answer"; "keeper" => &*keeper.name,
                        "service" => &**key, "error" => %e, "left_out" => left_out);
                }
                None
            }
        }
    }

    /// Another path for a granted stream. Returns whether there is one.
    pub async fn detour(&self, gateway: &Gateway, grant: &mut Grant, by: Detour) -> bool {
        let Some(path) = self.other_path(gateway, grant, by).await else {
            return false;
        };
        grant.ticket.moved(&path);
        grant.path = path;
        true
    }

    async fn other_path(&self, gateway: &Gateway, grant: &Grant, by: Detour) -> Option<Vec<Stage>> {
        let key = &grant.ticket.key;
        let detour = detour_to_wire(by, grant.ticket.number);
        let keeper = gateway.peers.home(key);
        if keeper.name == gateway.peers.me().name {
            return self.detour_local(key, "", detour);
        }
        let req = Request::Paths(message::Message::Detour(key.to_string(), detour));
        match gateway.peers.call(&keeper, req).await {
            Ok(Reply::Paths(message::Answer::Granted(path))) => {
                path.into_iter().map(from_wire).collect()
            }
            // A home that does not know the stream has nothing to offer for it.
            Ok(_) | Err(_) => None,
        }
    }

    /// An engine refused to be part of the path of `grant`: its home gives it nothing new
    /// for `time`.
    pub async fn refused(
        &self,
        gateway: &Arc<Gateway>,
        grant: &Grant,
        addr: SocketAddr,
        time: Duration,
    ) {
        let key = &grant.ticket.key;
        let keeper = gateway.peers.home(key);
        if keeper.name == gateway.peers.me().name {
            self.refused_local(gateway, key, addr, time);
            return;
        }
        let ms = u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        let req = Request::Paths(message::Message::Refused(key.to_string(), addr, ms));
        // A home that does not hear it grants such a path once more, no worse.
        let _ = gateway.peers.call(&keeper, req).await;
    }

    /// Gives the engine at `addr` no new work for a while. Returns whether that is news.
    pub fn shun(&self, now: Instant, addr: SocketAddr) -> bool {
        let is_news = {
            let mut dead = self.dead.lock();
            dead.retain(|_, until| *until > now);
            dead.insert(addr, now + DEAD_TIME).is_none()
        };
        self.shun_for(now, addr, DEAD_TIME);
        is_news
    }

    /// Whether the engine at `addr` was lately found without progress.
    pub fn is_dead(&self, now: Instant, addr: SocketAddr) -> bool {
        let dead = self.dead.lock();
        dead.get(&addr).is_some_and(|until| *until > now)
    }

    /// Whether a data centre can't be reached from here.
    pub fn is_cut_off(&self, data_centre: &str) -> bool {
        self.cut_off.lock().iter().any(|d| **d == *data_centre)
    }

    /// Gives the engine at `addr` no new work for `time`.
    pub fn shun_for(&self, now: Instant, addr: SocketAddr, time: Duration) {
        for cell in self.homes.lock().values() {
            cell.lock().shun(now, addr, time);
        }
    }

    /// Requests that run and that wait, over all homes that are kept here.
    pub fn load(&self) -> (usize, usize) {
        let homes = self.homes.lock();
        let loads = homes.values().map(|cell| {
            let local = cell.lock();
            (local.home.running(), local.home.waiting())
        });
        loads.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    }
}

impl Claim {
    fn begin(&self, tokens: u32, path: &[Stage]) {
        let mut accounts = self.accounts.lock();
        let account = accounts.entry(self.key.clone()).or_default();
        account.running.insert(self.number, (tokens, path.to_vec()));
    }

    fn moved(&self, path: &[Stage]) {
        let mut accounts = self.accounts.lock();
        let account = accounts.entry(self.key.clone()).or_default();
        if let Some((_, known)) = account.running.get_mut(&self.number) {
            *known = path.to_vec();
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        let mut accounts = self.accounts.lock();
        let account = accounts.entry(self.key.clone()).or_default();
        account.running.remove(&self.number);
        account.done.push(self.number);
        self.ended.notify_one();
    }
}

impl Grant {
    /// Whether the path leads over the engine at `addr`.
    pub fn leads_over(&self, addr: SocketAddr) -> bool {
        self.path.iter().any(|s| s.addr == addr)
    }
}
