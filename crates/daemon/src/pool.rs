//! Slots of pools: requests wait here until the pool's home grants them one.
//!
//! A pool is the engines of one model in one data centre. Every instance has the
//! driver's side of each pool that it uses; the instance with the duty also has
//! the pool's home.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use slog::debug;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::collections::HashMap;
use hemlockwind_core::directory::Directory;
use hemlockwind_core::engine::RequestId;
use hemlockwind_core::names::DataCentreKey;
use hemlockwind_core::names::InstanceKey;
use hemlockwind_core::names::ModelKey;
use hemlockwind_core::time::Instant;
use hemlockwind_membership::Duty;
use hemlockwind_protocol::peer::Request;
use hemlockwind_protocol::peer::queueing as wire;
use hemlockwind_queueing::Driver;
use hemlockwind_queueing::Home;
use hemlockwind_queueing::Ticket;
use hemlockwind_queueing::driver;
use hemlockwind_queueing::home;
use hemlockwind_queueing::message::Finished;
use hemlockwind_queueing::ticket::Reason;
use hemlockwind_queueing::ticket::Refusal;

use crate::instance::Instance;

/// Time between two looks at deadlines.
const TICK: Duration = Duration::from_millis(20);
/// Time between two looks at capacity and duties.
const REVIEW: Duration = Duration::from_millis(250);
/// What stands between the model and the data centre in a pool's name; neither
/// may hold it.
const SEPARATOR: char = '@';
/// Milliseconds that start a session after one that began a moment earlier.
const SESSION_MS: u64 = 1;

/// `PoolKey` names a pool: a model in a data centre.
pub type PoolKey = (ModelKey, DataCentreKey);

/// `Pools` holds this instance's side of all pools.
#[derive(Default)]
pub struct Pools {
    pools: Mutex<HashMap<PoolKey, Arc<Mutex<Pool>>>>,
    outboxes: Mutex<HashMap<InstanceKey, UnboundedSender<Request>>>,
}

/// `Pool` is one pool: the driver's side, and the home where the duty is here.
struct Pool {
    name: Arc<str>,
    session: u64,
    driver: Driver,
    home: Option<Home>,
    starts: HashMap<RequestId, oneshot::Sender<Result<(), Refusal>>>,
}

/// `Message` is on its way between a driver's side and a home.
enum Message {
    ToHome(InstanceKey, hemlockwind_queueing::message::Report),
    ToDriver(InstanceKey, hemlockwind_queueing::message::Grants),
}

/// `Slot` is the right to run one request; it ends with this value.
pub struct Slot {
    instance: Arc<Instance>,
    key: PoolKey,
    request: RequestId,
    /// The cost that the request really had, in tokens times layers.
    pub cost: u64,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let finished = Finished {
            request: self.request,
            cost: self.cost,
        };
        let event = driver::Event::Finish(finished);
        on_driver(&self.instance, self.key, event);
    }
}

/// `Waiting` withdraws a ticket whose caller is gone.
struct Waiting {
    instance: Arc<Instance>,
    key: PoolKey,
    request: RequestId,
    is_over: bool,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if !self.is_over {
            // A grant may have crossed; then the request has a slot to give back.
            on_driver(
                &self.instance,
                self.key,
                driver::Event::Withdraw(self.request),
            );
            let finished = Finished {
                request: self.request,
                cost: 0,
            };
            on_driver(&self.instance, self.key, driver::Event::Finish(finished));
        }
    }
}

/// Waits for a slot of the pool `key`.
///
/// # Errors
///
/// `Error::QueueFull`, `Error::DeadlineUnmeetable` or `Error::DeadlinePassed`.
pub async fn acquire(instance: &Arc<Instance>, key: PoolKey, ticket: Ticket) -> Result<Slot> {
    let (tx, rx) = oneshot::channel();
    let pool = pool(instance, key);
    pool.lock().starts.insert(ticket.request, tx);
    let mut waiting = Waiting {
        instance: Arc::clone(instance),
        key,
        request: ticket.request,
        is_over: false,
    };
    on_driver(instance, key, driver::Event::Submit(ticket));
    let answer = rx.await;
    waiting.is_over = true;
    match answer {
        Ok(Ok(())) => Ok(Slot {
            instance: Arc::clone(instance),
            key,
            request: ticket.request,
            cost: ticket.cost,
        }),
        Ok(Err(refusal)) => Err(error(refusal, instance.edges.clock.now())),
        Err(_) => Err(Error::Stopping),
    }
}

/// The error of a refusal.
fn error(refusal: Refusal, now: Instant) -> Error {
    let after = refusal.retry_at.since(now);
    match refusal.reason {
        Reason::QueueFull => Error::QueueFull(after),
        Reason::DeadlineUnmeetable => Error::DeadlineUnmeetable(after),
        Reason::DeadlinePassed => Error::DeadlinePassed,
    }
}

/// The estimated wait of a new ticket in the pool.
pub fn wait(instance: &Instance, key: PoolKey, rank: hemlockwind_core::names::Rank) -> Duration {
    pool(instance, key).lock().driver.wait(rank)
}

/// The pool `key`, a new one when it was not used yet.
fn pool(instance: &Instance, key: PoolKey) -> Arc<Mutex<Pool>> {
    let mut pools = instance.pools.pools.lock();
    let pool = pools.entry(key).or_insert_with(|| {
        let directory = instance.directory.read();
        let now = instance.edges.clock.now();
        let session = instance.edges.clock.wall().as_millis();
        Arc::new(Mutex::new(Pool {
            name: name(&directory, key),
            session,
            driver: Driver::new(driver::Options::default(), session, now),
            home: None,
            starts: HashMap::default(),
        }))
    });
    Arc::clone(pool)
}

/// Gives the driver's side of a pool an event, and carries out what follows.
fn on_driver(instance: &Instance, key: PoolKey, event: driver::Event) {
    let now = instance.edges.clock.now();
    let pool = pool(instance, key);
    let mut messages = Vec::new();
    {
        let mut pool = pool.lock();
        let actions = pool.driver.on_event(now, event);
        pool.perform(actions, &mut messages);
        pool.settle(instance.duties.me(), now, &mut messages);
    }
    send(instance, &pool.lock().name, messages);
}

/// Gives the home of a pool an event, if it is here.
fn on_home(instance: &Instance, key: PoolKey, event: home::Event) {
    let now = instance.edges.clock.now();
    let pool = pool(instance, key);
    let mut messages = Vec::new();
    {
        let mut pool = pool.lock();
        let Some(home) = pool.home.as_mut() else {
            return;
        };
        let actions = home.on_event(now, event);
        messages.extend(actions.into_iter().map(message));
        pool.settle(instance.duties.me(), now, &mut messages);
    }
    send(instance, &pool.lock().name, messages);
}

/// The message that a home wants sent.
fn message(action: home::Action) -> Message {
    match action {
        home::Action::Send(to, grants) => Message::ToDriver(to, grants),
    }
}

impl Pool {
    /// Carries out what the driver's side wants done.
    fn perform(&mut self, actions: Vec<driver::Action>, messages: &mut Vec<Message>) {
        for action in actions {
            match action {
                driver::Action::Start(request) => self.answer(request, Ok(())),
                driver::Action::Refuse(refusal) => self.answer(refusal.request, Err(refusal)),
                driver::Action::Send(to, report) => messages.push(Message::ToHome(to, report)),
            }
        }
    }

    /// Tells a waiting request what became of its ticket.
    fn answer(&mut self, request: RequestId, answer: Result<(), Refusal>) {
        if let Some(start) = self.starts.remove(&request) {
            // A request that is gone has withdrawn its ticket.
            let _ = start.send(answer);
        }
    }

    /// Delivers the messages between the two sides here, until only those for
    /// other instances are left.
    fn settle(&mut self, me: InstanceKey, now: Instant, messages: &mut Vec<Message>) {
        let mut away = Vec::new();
        while let Some(message_now) = messages.pop() {
            match message_now {
                Message::ToHome(to, report) if to == me => {
                    let Some(home) = self.home.as_mut() else {
                        continue;
                    };
                    let actions = home.on_event(now, home::Event::Report(me, report));
                    messages.extend(actions.into_iter().map(message));
                }
                Message::ToDriver(to, grants) if to == me => {
                    let event = driver::Event::Grants(me, grants);
                    let actions = self.driver.on_event(now, event);
                    self.perform(actions, messages);
                }
                other => away.push(other),
            }
        }
        away.reverse();
        *messages = away;
    }
}

/// The name of a pool among instances.
fn name(directory: &Directory, (model, centre): PoolKey) -> Arc<str> {
    let model = directory.models.name(model);
    let centre = directory.data_centres.name(centre);
    format!("{model}{SEPARATOR}{centre}").into()
}

/// Sends messages to other instances, in order for each of them.
fn send(instance: &Instance, name: &str, messages: Vec<Message>) {
    let now = instance.edges.clock.now();
    for message in messages {
        let (to, req) = match message {
            Message::ToHome(to, report) => {
                let directory = instance.directory.read();
                let organisation = |key| directory.organisations.name(key).to_string();
                let tickets = wire::Tickets::from_report(name.into(), now, report, organisation);
                (to, Request::Tickets(tickets))
            }
            Message::ToDriver(to, grants) => {
                let grants = wire::Grants::from_grants(name.into(), now, grants);
                (to, Request::Grants(grants))
            }
        };
        // A lost message is made good by the next whole report.
        let _ = outbox(instance, to).send(req);
    }
}

/// The way to another instance: one message after the other.
fn outbox(instance: &Instance, to: InstanceKey) -> UnboundedSender<Request> {
    let mut outboxes = instance.pools.outboxes.lock();
    let open = outboxes.get(&to).filter(|outbox| !outbox.is_closed());
    if let Some(outbox) = open {
        return outbox.clone();
    }
    let (tx, mut rx) = mpsc::unbounded_channel();
    outboxes.insert(to, tx.clone());
    let peer = Arc::clone(&instance.edges.peer);
    let addr = instance.duties.addr(to);
    let log = instance.log.clone();
    tokio::spawn(async move {
        // Ends at the first failure, so that a new address is looked up.
        while let (Some(req), Some(addr)) = (rx.recv().await, addr) {
            if let Err((_, e)) = peer.call(addr, req).await {
                debug!(log, "a message about a pool was lost"; "peer" => %addr, "error" => %e);
                return;
            }
        }
    });
    tx
}

/// Takes a driver's report that arrived from the instance `from`.
///
/// # Errors
///
/// `Error::PeerFrame` when the report breaks its bounds.
pub fn on_tickets(instance: &Instance, from: &str, tickets: wire::Tickets) -> Result<()> {
    let now = instance.edges.clock.now();
    let key = key(instance, &tickets.pool)?;
    let from = instance.directory.write().instances.intern(from);
    let config = instance.config.load();
    let directory = instance.directory.read();
    let report = tickets.into_report(now, |name| {
        let key = directory.organisations.key(name)?;
        Some((key, config.organisations.get(&key)?.share))
    })?;
    drop(directory);
    review(instance, key);
    on_home(instance, key, home::Event::Report(from, report));
    Ok(())
}

/// Takes grants that arrived from the instance `from`.
///
/// # Errors
///
/// `Error::PeerFrame` when the grants break their bounds.
pub fn on_grants(instance: &Instance, from: &str, grants: wire::Grants) -> Result<()> {
    let now = instance.edges.clock.now();
    let key = key(instance, &grants.pool)?;
    let from = instance.directory.write().instances.intern(from);
    let grants = grants.into_grants(now)?;
    on_driver(instance, key, driver::Event::Grants(from, grants));
    Ok(())
}

/// The pool of this name.
fn key(instance: &Instance, name: &str) -> Result<PoolKey> {
    let directory = instance.directory.read();
    let names = name.split_once(SEPARATOR);
    let key = names.and_then(|(model, centre)| {
        let model = directory.models.key(model)?;
        Some((model, directory.data_centres.key(centre)?))
    });
    key.ok_or_else(|| Error::peer_frame(format!("there is no pool {name}")))
}

/// Keeps the pools going until the instance ends.
pub async fn run(instance: Arc<Instance>) {
    let mut review_at = instance.edges.clock.now();
    loop {
        prepare(&instance);
        let keys: Vec<_> = instance.pools.pools.lock().keys().copied().collect();
        let now = instance.edges.clock.now();
        let is_review = now >= review_at;
        if is_review {
            review_at = now + REVIEW;
        }
        for key in keys {
            if is_review {
                review(&instance, key);
            }
            tick(&instance, key, now);
        }
        tokio::time::sleep(TICK).await;
    }
}

/// Opens the pools of the own data centre before the first request needs them.
fn prepare(instance: &Instance) {
    let config = instance.config.load();
    for &model in config.models.keys() {
        pool(instance, (model, instance.data_centre));
    }
}

/// Lets deadlines of both sides come.
fn tick(instance: &Instance, key: PoolKey, now: Instant) {
    let pool = pool(instance, key);
    let (driver_at, home_at) = {
        let pool = pool.lock();
        let home_at = pool.home.as_ref().map(Home::next_deadline);
        (pool.driver.next_deadline(), home_at)
    };
    if driver_at <= now {
        on_driver(instance, key, driver::Event::Tick);
    }
    if home_at.is_some_and(|at| at <= now) {
        on_home(instance, key, home::Event::Tick);
    }
}

/// Looks at who is the pool's home and what the pool can take.
fn review(instance: &Instance, key: PoolKey) {
    let pool = pool(instance, key);
    let me = instance.duties.me();
    let name = Arc::clone(&pool.lock().name);
    let holder = instance.duties.holder(Duty::Pool(&name), key.1);
    let holder = holder.map(|member| member.key);
    let is_here = holder == Some(me);
    {
        let mut pool = pool.lock();
        if is_here && pool.home.is_none() {
            let now = instance.edges.clock.now();
            pool.session += SESSION_MS;
            let session = pool.session.max(instance.edges.clock.wall().as_millis());
            pool.home = Some(Home::new(options(instance), session, now));
        } else if !is_here {
            pool.home = None;
        }
    }
    if is_here {
        let capacity = instance.fleet.capacity(key.0, key.1);
        on_home(
            instance,
            key,
            home::Event::Drivers(instance.duties.of(key.1)),
        );
        on_home(instance, key, home::Event::Capacity(capacity));
    }
    on_driver(instance, key, driver::Event::Home(holder));
}

/// The options of a home under the configuration in force.
fn options(instance: &Instance) -> home::Options {
    let config = instance.config.load();
    home::Options {
        floors: config.ranks.iter().map(|rank| rank.floor).collect(),
        headroom: f64::from(instance.settings.headroom_percent) / 100.0,
        ..home::Options::default()
    }
}
