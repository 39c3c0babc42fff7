//! Where and when a stream may start, by the homes of its service.
//!
//! Each data centre with engines of a service has one home, kept by one of its
//! instances. A request asks the home of its own data centre first, then the others,
//! and waits at the one with the shortest wait. A home that does not answer is replaced
//! by the next instance; streams that run are told to the new one.

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
use crate::homes::wire::engines;
use crate::homes::wire::from_wire;
use crate::homes::wire::reason_from_wire;
use crate::homes::wire::to_wire;
use crate::peers::EVERYWHERE;
use crate::peers::Instance;

/// Time that an engine gets no new work after it stopped making progress: its entry is
/// removed, or it is back, by then.
const DEAD_TIME: Duration = Duration::from_millis(4_000);
/// When to come back if no home can be reached or no engines are known.
const NO_HOME_RETRY: Duration = Duration::from_millis(500);
/// Time between two reports of the running streams to their homes.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time in which ends of streams are gathered into one message.
pub const DONE_INTERVAL: Duration = Duration::from_millis(10);
/// Homes that are tried for one data centre.
const HOME_TRIES: u32 = 3;
/// Time that a home's word about its wait is believed at most.
const WAIT_BELIEVED: Duration = Duration::from_millis(100);

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

/// The service and the data centre of a home's engines.
type HomeKey = (Arc<str>, Arc<str>);

/// What this instance has running at one home.
#[derive(Default)]
struct Account {
    running: HashMap<u64, (u32, Vec<Stage>)>,
    done: Vec<u64>,
    /// The instance that was last told of the running streams.
    told: Option<Arc<str>>,
    /// The wait that the home told, and until when it is believed.
    wait: Option<(Duration, Instant)>,
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
            let mut data_centres = data_centres(directory, &service.name);
            data_centres.push(EVERYWHERE.into());
            for data_centre in data_centres {
                let cell = {
                    let key = (Arc::clone(&service.name), Arc::clone(&data_centre));
                    let mut homes = self.homes.lock();
                    let cell = homes.entry(key).or_insert_with(|| {
                        let engines = Engines::new(Arc::clone(model));
                        let within =
                            (&*data_centre != EVERYWHERE).then(|| Arc::clone(&data_centre));
                        let home = Home::new(engines, within);
                        Arc::new(Mutex::new(Local::new(home)))
                    });
                    Arc::clone(cell)
                };
                let engines = &mut cell.lock().home.engines;
                engines.model = Arc::clone(model);
                let entries = directory.of(&service.name);
                let entries =
                    entries.filter(|s| &*data_centre == EVERYWHERE || s.data_centre == data_centre);
                engines.update(entries.map(|s| &**s));
            }
        }
    }

    /// Asks for a start of a stream, and waits for it where that is of use.
    ///
    /// # Errors
    ///
    /// The reason why it may not start.
    pub async fn ask(&self, gateway: &Gateway, ask: &Ask) -> Result<Grant, Refusal> {
        let mut best: Option<(Duration, HomeKey)> = None;
        for key in self.keys(&ask.service, &gateway.settings.data_centre) {
            // Paths through several data centres load the links between them, so they are
            // for the time when no data centre has a whole path.
            if &*key.1 == EVERYWHERE && best.is_some() {
                break;
            }
            let decided = match self.believed_wait(&key) {
                Some(wait) => Err((Reason::WaitTooLong, wait)),
                None => {
                    let now = Ask {
                        may_wait: false,
                        ..ask.clone()
                    };
                    match self.ask_home(gateway, &key, &now).await {
                        Ok(grant) => return Ok(grant),
                        Err(refused) => Err::<(), _>(refused),
                    }
                }
            };
            if let Err((Reason::WaitTooLong, wait)) = decided
                && best.as_ref().is_none_or(|(shortest, _)| wait < *shortest)
            {
                best = Some((wait, key));
            }
        }
        let Some((wait, key)) = best else {
            return Err(Refusal {
                reason: Reason::NoPath,
                retry_after: NO_HOME_RETRY,
            });
        };
        if !ask.may_wait {
            return Err(Refusal {
                reason: Reason::WaitTooLong,
                retry_after: wait,
            });
        }
        let granted = self.ask_home(gateway, &key, ask).await;
        granted.map_err(|(reason, retry_after)| Refusal {
            reason,
            retry_after,
        })
    }

    /// Asks the home of `key`, and the next one when it does not answer.
    async fn ask_home(
        &self,
        gateway: &Gateway,
        key: &HomeKey,
        ask: &Ask,
    ) -> Result<Grant, (Reason, Duration)> {
        for _ in 0..HOME_TRIES {
            let now = self.now();
            let keeper = gateway.peers.home(&key.0, &key.1);
            let claim = Claim {
                key: key.clone(),
                number: self.numbers.fetch_add(1, Ordering::Relaxed),
                accounts: Arc::clone(&self.accounts),
                ended: Arc::clone(&self.ended),
            };
            let decided = match keeper.name == gateway.peers.me().name {
                true => Some(
                    self.ask_local(key, "", &to_wire(ask, claim.number, now))
                        .await,
                ),
                false => {
                    self.ask_remote(gateway, &keeper, key, to_wire(ask, claim.number, now))
                        .await
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
                Some(Err((reason, wait))) => {
                    if reason == Reason::WaitTooLong {
                        self.believe_wait(key, now, wait);
                    }
                    return Err((reason, wait));
                }
                None => {}
            }
        }
        Err((Reason::NoPath, NO_HOME_RETRY))
    }

    async fn ask_remote(
        &self,
        gateway: &Gateway,
        keeper: &Instance,
        key: &HomeKey,
        ask: message::Ask,
    ) -> Option<Decided> {
        let req = Request::Paths(message::Message::Ask(engines(key), ask));
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
                    info!(gateway.log, "home without answer"; "instance" => &*keeper.name,
                        "data_centre" => &*key.1, "error" => %e, "left_out" => left_out);
                }
                None
            }
        }
    }

    /// Another path for a granted stream in the same data centre, one that it fits on if
    /// it must. Returns whether there is one.
    pub async fn detour(&self, gateway: &Gateway, grant: &mut Grant, must_fit: bool) -> bool {
        let key = &grant.ticket.key;
        let number = grant.ticket.number;
        let keeper = gateway.peers.home(&key.0, &key.1);
        let path = match keeper.name == gateway.peers.me().name {
            true => self.detour_local(key, "", number, must_fit),
            false => {
                let req = Request::Paths(message::Message::Detour(engines(key), number, must_fit));
                match gateway.peers.call(&keeper, req).await {
                    Ok(Reply::Paths(message::Answer::Granted(path))) => {
                        path.into_iter().map(from_wire).collect()
                    }
                    // A home that does not know the stream has nothing to offer for it.
                    Ok(_) | Err(_) => None,
                }
            }
        };
        let Some(path) = path else {
            return false;
        };
        grant.ticket.moved(&path);
        grant.path = path;
        true
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
        let keeper = gateway.peers.home(&key.0, &key.1);
        if keeper.name == gateway.peers.me().name {
            self.refused_local(gateway, key, addr, time);
            return;
        }
        let ms = u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        let req = Request::Paths(message::Message::Refused(engines(key), addr, ms));
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

    /// The homes of a service: the one of the own data centre first, and last the one
    /// whose paths lead through several data centres.
    fn keys(&self, service: &str, own: &str) -> Vec<HomeKey> {
        let homes = self.homes.lock();
        let mut keys: Vec<HomeKey> = homes
            .keys()
            .filter(|(name, _)| **name == *service)
            .cloned()
            .collect();
        let order = |d: &Arc<str>| (&**d == EVERYWHERE, **d != *own);
        keys.sort_unstable_by(|(_, a), (_, b)| order(a).cmp(&order(b)).then(a.cmp(b)));
        keys
    }

    fn believed_wait(&self, key: &HomeKey) -> Option<Duration> {
        let accounts = self.accounts.lock();
        let (wait, until) = accounts.get(key)?.wait?;
        (until > self.now()).then_some(wait)
    }

    fn believe_wait(&self, key: &HomeKey, now: Instant, wait: Duration) {
        let mut accounts = self.accounts.lock();
        let account = accounts.entry(key.clone()).or_default();
        account.wait = Some((wait, now + (wait / 4).min(WAIT_BELIEVED)));
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

fn data_centres(directory: &Directory, service: &str) -> Vec<Arc<str>> {
    let all = directory.of(service).map(|s| Arc::clone(&s.data_centre));
    let mut all: Vec<Arc<str>> = all.collect();
    all.sort_unstable();
    all.dedup();
    all
}
