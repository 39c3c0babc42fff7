//! Where and when a stream may start, by the homes of its service.
//!
//! Each data centre with engines of a service has one home, kept by one of its
//! instances. A request asks the home of its own data centre first, then the others,
//! and waits at the one with the shortest wait. A home that does not answer is replaced
//! by the next instance; streams that run are told to the new one.

pub mod local;

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
use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::names::InstanceKey;
use hemlockwind_core::names::Names;
use hemlockwind_core::names::OrganisationKey;
use hemlockwind_core::names::Rank;
use hemlockwind_core::routes::Routes;
use hemlockwind_core::time::Instant;
use hemlockwind_paths::Engines;
use hemlockwind_paths::Home;
use hemlockwind_paths::Ticket;
use hemlockwind_paths::TicketId;
use hemlockwind_paths::ticket::Reason;
use hemlockwind_platform::headers::Stage;
use hemlockwind_protocol::peer::Reply;
use hemlockwind_protocol::peer::Request;
use hemlockwind_protocol::peer::paths as wire;

use crate::directory::Directory;
use crate::doubt;
use crate::follow;
use crate::gateway::Fault;
use crate::gateway::Gateway;
use crate::homes::local::Cell;
use crate::homes::local::Decided;
use crate::homes::local::Local;
use crate::orders::CANDIDATES;
use crate::orders::DUTY;
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
            let now = self.clock.now();
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
        ask: wire::Ask,
    ) -> Option<Decided> {
        let req = Request::Paths(wire::Message::Ask(engines(key), ask));
        let reply = gateway.peers.call(keeper, req).await;
        match reply {
            Ok(Reply::Paths(wire::Answer::Granted(path))) => {
                let path: Option<Vec<Stage>> = path.into_iter().map(from_wire).collect();
                path.map(Ok)
            }
            Ok(Reply::Paths(wire::Answer::Refused(reason, ms))) => Some(Err((
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

    /// Asks the home that this instance keeps, for itself or for `from`.
    async fn ask_local(&self, key: &HomeKey, from: &str, ask: &wire::Ask) -> Decided {
        let cell = self.homes.lock().get(key).cloned();
        let Some(cell) = cell else {
            return Err((Reason::NoPath, NO_HOME_RETRY));
        };
        let now = self.clock.now();
        let ticket = {
            let mut names = self.names.lock();
            Ticket {
                id: TicketId {
                    instance: names.instances.intern(from),
                    number: ask.number,
                },
                organisation: names.organisations.intern(&ask.organisation),
                rank: Rank(ask.rank),
                tokens: ask.tokens,
                on_time_by: now + Duration::from_millis(ask.on_time_ms.into()),
                latest: now + Duration::from_millis(ask.latest_ms.into()),
                may_wait: ask.may_wait,
            }
        };
        local::ask(&cell, now, ticket).await
    }

    /// Answers another instance.
    pub async fn answer(
        &self,
        gateway: &Arc<Gateway>,
        from: &str,
        message: wire::Message,
    ) -> wire::Answer {
        let now = self.clock.now();
        match message {
            wire::Message::Ask(of, ask) => {
                let key = (of.service.into(), of.data_centre.into());
                match self.ask_local(&key, from, &ask).await {
                    Ok(path) => wire::Answer::Granted(path.iter().map(stage_to_wire).collect()),
                    Err((reason, wait)) => refused(reason, wait),
                }
            }
            wire::Message::Done(of, numbers) => {
                self.done_local(&(of.service.into(), of.data_centre.into()), from, &numbers);
                wire::Answer::Done
            }
            wire::Message::Running(of, numbers) => {
                let key = (of.service.into(), of.data_centre.into());
                wire::Answer::Unknown(self.running_local(&key, from, &numbers))
            }
            wire::Message::Held(of, held) => {
                let key = (of.service.into(), of.data_centre.into());
                self.adopt_local(&key, from, &held);
                wire::Answer::Done
            }
            wire::Message::Detour(of, number, must_fit) => {
                let key = (of.service.into(), of.data_centre.into());
                match self.detour_local(&key, from, number, must_fit) {
                    Some(path) => wire::Answer::Granted(path.iter().map(stage_to_wire).collect()),
                    None => refused(Reason::NoPath, NO_HOME_RETRY),
                }
            }
            wire::Message::Refused(of, addr, ms) => {
                let key = (of.service.into(), of.data_centre.into());
                self.refused_local(gateway, &key, addr, Duration::from_millis(ms.into()));
                wire::Answer::Done
            }
            wire::Message::Dead(addr) => {
                self.shun(now, addr);
                // Nobody listens when no stream runs.
                let _ = gateway.faults.send(Fault::Dead(addr));
                wire::Answer::Done
            }
            wire::Message::Holds { id, layers } => {
                let layers = layers.and_then(|(start, end)| LayerRange::new(start, end).ok());
                self.holds_local(gateway, &id, layers);
                wire::Answer::Done
            }
            wire::Message::Leaving(addr) => {
                if self.shun(now, addr) {
                    let _ = gateway.faults.send(Fault::Leaving(addr));
                }
                wire::Answer::Done
            }
        }
    }

    fn id(&self, from: &str, number: u64) -> TicketId {
        TicketId {
            instance: self.names.lock().instances.intern(from),
            number,
        }
    }

    fn cell(&self, key: &HomeKey) -> Option<Cell> {
        self.homes.lock().get(key).cloned()
    }

    fn done_local(&self, key: &HomeKey, from: &str, numbers: &[u64]) {
        let Some(cell) = self.cell(key) else { return };
        let now = self.clock.now();
        let ids: Vec<TicketId> = numbers.iter().map(|n| self.id(from, *n)).collect();
        let mut local = cell.lock();
        for id in ids {
            local.done(now, id);
        }
        local.poll(now);
    }

    fn running_local(&self, key: &HomeKey, from: &str, numbers: &[u64]) -> Vec<u64> {
        let Some(cell) = self.cell(key) else {
            return Vec::new();
        };
        let instance = self.id(from, 0).instance;
        let now = self.clock.now();
        cell.lock().home.running_at(now, instance, numbers)
    }

    fn adopt_local(&self, key: &HomeKey, from: &str, held: &[wire::Held]) {
        let Some(cell) = self.cell(key) else { return };
        let instance = self.id(from, 0).instance;
        let now = self.clock.now();
        let mut local = cell.lock();
        for one in held {
            local.adopt(now, instance, one);
        }
    }

    fn detour_local(
        &self,
        key: &HomeKey,
        from: &str,
        number: u64,
        must_fit: bool,
    ) -> Option<Vec<Stage>> {
        let cell = self.cell(key)?;
        let id = self.id(from, number);
        let now = self.clock.now();
        cell.lock().detour(now, id, must_fit)
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
                let req = Request::Paths(wire::Message::Detour(engines(key), number, must_fit));
                match gateway.peers.call(&keeper, req).await {
                    Ok(Reply::Paths(wire::Answer::Granted(path))) => {
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
        let req = Request::Paths(wire::Message::Refused(engines(key), addr, ms));
        // A home that does not hear it grants such a path once more, no worse.
        let _ = gateway.peers.call(&keeper, req).await;
    }

    /// An engine of a home that is kept here refused. One that goes on refusing is asked
    /// for a report: it lacks memory, or it leaves and the directory does not tell.
    fn refused_local(
        &self,
        gateway: &Arc<Gateway>,
        key: &HomeKey,
        addr: SocketAddr,
        time: Duration,
    ) {
        let Some(cell) = self.cell(key) else { return };
        let now = self.clock.now();
        let is_suspicious = cell.lock().refused(now, addr, time);
        if is_suspicious && !self.is_dead(now, addr) {
            let gateway = Arc::clone(gateway);
            tokio::spawn(async move { doubt::examine(&gateway, addr).await });
        }
    }

    /// Starts and refuses what waits, as far as it can be told now.
    pub fn poll(&self, now: Instant) {
        let cells: Vec<Cell> = self.homes.lock().values().cloned().collect();
        for cell in cells {
            cell.lock().poll(now);
        }
    }

    /// Tells the homes which streams have ended, until the task is ended.
    pub async fn tell_ended(&self, gateway: &Gateway) {
        loop {
            self.ended.notified().await;
            tokio::time::sleep(DONE_INTERVAL).await;
            let ended: Vec<(HomeKey, Vec<u64>)> = {
                let mut accounts = self.accounts.lock();
                let full = accounts.iter_mut().filter(|(_, a)| !a.done.is_empty());
                full.map(|(key, a)| (key.clone(), std::mem::take(&mut a.done)))
                    .collect()
            };
            let calls = ended.into_iter().map(|(key, numbers)| async move {
                let keeper = gateway.peers.home(&key.0, &key.1);
                if keeper.name == gateway.peers.me().name {
                    self.done_local(&key, "", &numbers);
                    return;
                }
                let req = Request::Paths(wire::Message::Done(engines(&key), numbers));
                // What is lost here, the next report mends.
                let _ = gateway.peers.call(&keeper, req).await;
            });
            futures::future::join_all(calls).await;
        }
    }

    /// Reports the running streams to their homes, now and then and whenever the keeper
    /// of a home has changed, until the task is ended.
    pub async fn report(&self, gateway: &Gateway) {
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            let keys: Vec<HomeKey> = self.accounts.lock().keys().cloned().collect();
            let calls = keys.iter().map(|key| self.report_to(gateway, key));
            futures::future::join_all(calls).await;
        }
    }

    async fn report_to(&self, gateway: &Gateway, key: &HomeKey) {
        let keeper = gateway.peers.home(&key.0, &key.1);
        let numbers: Vec<u64> = {
            let mut accounts = self.accounts.lock();
            let account = accounts.entry(key.clone()).or_default();
            if account.running.is_empty() && account.told.as_ref() != Some(&keeper.name) {
                account.told = Some(Arc::clone(&keeper.name));
                return;
            }
            account.told = Some(Arc::clone(&keeper.name));
            account.running.keys().copied().collect()
        };
        let is_mine = keeper.name == gateway.peers.me().name;
        let unknown = match is_mine {
            true => self.running_local(key, "", &numbers),
            false => {
                let req = Request::Paths(wire::Message::Running(engines(key), numbers));
                match gateway.peers.call(&keeper, req).await {
                    Ok(Reply::Paths(wire::Answer::Unknown(unknown))) => unknown,
                    // The next report goes to the next keeper.
                    Ok(_) | Err(_) => return,
                }
            }
        };
        if unknown.is_empty() {
            return;
        }
        let held: Vec<wire::Held> = {
            let accounts = self.accounts.lock();
            let running = accounts.get(key).map(|a| &a.running);
            let known = unknown.iter().filter_map(|n| Some((n, running?.get(n)?)));
            known
                .map(|(n, (tokens, path))| held(*n, *tokens, path))
                .collect()
        };
        if is_mine {
            self.adopt_local(key, "", &held);
        } else {
            let req = Request::Paths(wire::Message::Held(engines(key), held));
            // The next report says it again.
            let _ = gateway.peers.call(&keeper, req).await;
        }
    }

    /// An engine makes no progress or leaves: the keeper of its home hears of it, and so
    /// do all instances with streams over it and those that may give orders.
    pub async fn tell(&self, gateway: &Gateway, fault: Fault) {
        let (addr, message) = match fault {
            Fault::Dead(addr) => (addr, wire::Message::Dead(addr)),
            Fault::Leaving(addr) => (addr, wire::Message::Leaving(addr)),
        };
        let server = {
            let directory = gateway.directory.read();
            directory.iter().find(|s| s.addr == addr).cloned()
        };
        let Some(server) = server else { return };
        let keeper = gateway.peers.home(&server.service, &server.data_centre);
        let mut tell: Vec<Instance> = gateway.peers.candidates(DUTY, CANDIDATES);
        if keeper.name != gateway.peers.me().name {
            tell.push(keeper);
        }
        let cells: Vec<Cell> = self.homes.lock().values().cloned().collect();
        for cell in cells {
            let instances = cell.lock().home.instances_over(addr);
            let names = self.names.lock();
            let names = instances.iter().map(|key| names.instances.name(*key));
            tell.extend(names.filter_map(|name| gateway.peers.get(&name)));
        }
        tell.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        tell.dedup();
        let calls = tell.iter().map(|instance| {
            let req = Request::Paths(message.clone());
            gateway.peers.call(instance, req)
        });
        // Who is not reached finds it out by itself.
        futures::future::join_all(calls).await;
    }

    /// An engine's report says which layers it holds, newer than its entry: this instance
    /// and all others hear of it.
    pub async fn holds(&self, gateway: &Gateway, id: &str, layers: Option<LayerRange>) {
        if !self.holds_local(gateway, id, layers) {
            return;
        }
        let message = wire::Message::Holds {
            id: id.to_string(),
            layers: layers.map(|l| (l.start(), l.end())),
        };
        let all = gateway.peers.all();
        let calls = all.iter().map(|instance| {
            gateway
                .peers
                .call(instance, Request::Paths(message.clone()))
        });
        // Who is not reached hears it from the store.
        futures::future::join_all(calls).await;
    }

    /// Takes what an engine's report said of its layers. Returns whether it is news.
    fn holds_local(&self, gateway: &Gateway, id: &str, layers: Option<LayerRange>) -> bool {
        let is_news = gateway.directory.write().set_layers(id, layers);
        if is_news {
            info!(gateway.log, "engine holds"; "engine" => id,
                "layers" => layers.map(|l| l.to_string()));
            follow::changed(gateway);
        }
        is_news
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

    /// Logs the state of the homes that are kept here.
    pub fn log_state(&self, gateway: &Gateway) {
        let now = self.clock.now();
        let cells: Vec<(HomeKey, Cell)> = {
            let homes = self.homes.lock();
            homes
                .iter()
                .map(|(k, c)| (k.clone(), Arc::clone(c)))
                .collect()
        };
        for (key, cell) in cells {
            let keeper = gateway.peers.home(&key.0, &key.1);
            if keeper.name != gateway.peers.me().name || &*key.1 == EVERYWHERE {
                continue;
            }
            let local = cell.lock();
            info!(gateway.log, "home"; "service" => &*key.0, "data_centre" => &*key.1,
                "running" => local.home.running(), "waiting" => local.home.waiting(),
                "engines" => local.summary(now));
        }
    }

    /// Notes whether each home has a whole path. Returns the homes that have gained or
    /// lost it.
    pub fn turns(&self, now: Instant) -> Vec<(Arc<str>, Arc<str>, bool)> {
        let homes = self.homes.lock();
        let turned = homes.iter().filter_map(|((service, data_centre), cell)| {
            let has_path = cell.lock().turn(now)?;
            Some((Arc::clone(service), Arc::clone(data_centre), has_path))
        });
        turned.collect()
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
        (until > self.clock.now()).then_some(wait)
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

fn engines(key: &HomeKey) -> wire::Engines {
    wire::Engines {
        service: key.0.to_string(),
        data_centre: key.1.to_string(),
    }
}

fn to_wire(ask: &Ask, number: u64, now: Instant) -> wire::Ask {
    let until = |at: Instant| u32::try_from(at.since(now).as_millis()).unwrap_or(u32::MAX);
    wire::Ask {
        number,
        organisation: ask.organisation.to_string(),
        rank: ask.rank.0,
        tokens: ask.tokens,
        on_time_ms: until(ask.on_time_by),
        latest_ms: until(ask.latest),
        may_wait: ask.may_wait,
    }
}

fn stage_to_wire(stage: &Stage) -> wire::Stage {
    wire::Stage {
        id: stage.id.to_string(),
        addr: stage.addr,
        start: stage.layers.start(),
        end: stage.layers.end(),
    }
}

fn from_wire(stage: wire::Stage) -> Option<Stage> {
    Some(Stage {
        id: stage.id.into(),
        addr: stage.addr,
        layers: LayerRange::new(stage.start, stage.end).ok()?,
    })
}

fn held(number: u64, tokens: u32, path: &[Stage]) -> wire::Held {
    wire::Held {
        number,
        tokens,
        path: path.iter().map(stage_to_wire).collect(),
    }
}

fn refused(reason: Reason, wait: Duration) -> wire::Answer {
    let reason = match reason {
        Reason::NoPath => wire::Reason::NoPath,
        Reason::WaitTooLong => wire::Reason::WaitTooLong,
        Reason::Expired => wire::Reason::Expired,
    };
    let ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
    wire::Answer::Refused(reason, ms)
}

const fn reason_from_wire(reason: wire::Reason) -> Reason {
    match reason {
        wire::Reason::NoPath => Reason::NoPath,
        wire::Reason::WaitTooLong => Reason::WaitTooLong,
        wire::Reason::Expired => Reason::Expired,
    }
}
