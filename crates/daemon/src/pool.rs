//! Slots of pools: requests wait here until a pool's home grants them one.
//!
//! A pool is the engines of one model in one data centre. Every instance has the
//! drivers' side of all pools of a model; the instance with the duty also has the
//! home of the pool in its own data centre.

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
use hemlockwind_core::config::RankTarget;
use hemlockwind_core::directory::Directory;
use hemlockwind_core::engine::RequestId;
use hemlockwind_core::names::DataCentreKey;
use hemlockwind_core::names::InstanceKey;
use hemlockwind_core::names::ModelKey;
use hemlockwind_core::time::Instant;
use hemlockwind_membership::Duty;
use hemlockwind_protocol::peer::Request;
use hemlockwind_protocol::peer::queueing as wire;
use hemlockwind_queueing::Home;
use hemlockwind_queueing::Pools;
use hemlockwind_queueing::Spill;
use hemlockwind_queueing::Ticket;
use hemlockwind_queueing::driver;
use hemlockwind_queueing::home;
use hemlockwind_queueing::message::Finished;
use hemlockwind_queueing::message::Grants;
use hemlockwind_queueing::message::Report;
use hemlockwind_queueing::pools;
use hemlockwind_queueing::spill;
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
/// Ranks that a pool's messages may tell of.
const RANKS: u8 = 16;
/// Time for a message to another data centre and back.
const ROUND_TRIP: Duration = Duration::from_millis(2);
/// `PoolKey` names a pool: a model in a data centre.
pub type PoolKey = (ModelKey, DataCentreKey);

/// `Shards` holds this instance's side of all pools, a shard for each model.
#[derive(Default)]
pub struct Shards {
    shards: Mutex<HashMap<ModelKey, Arc<Mutex<Shard>>>>,
    outboxes: Mutex<HashMap<InstanceKey, UnboundedSender<Request>>>,
}

/// `Shard` is the pools of one model, and the home of the own data centre's pool
/// where the duty is here.
struct Shard {
    own: DataCentreKey,
    me: InstanceKey,
    session: u64,
    ranks: Vec<RankTarget>,
    pools: Pools,
    home: Option<Home>,
    starts: HashMap<RequestId, oneshot::Sender<Start>>,
}

/// `Start` is the pool whose slot a request has, or why it has none.
type Start = Result<DataCentreKey, Refusal>;

/// `Message` is for another instance.
enum Message {
    ToHome(DataCentreKey, InstanceKey, Report),
    ToDriver(InstanceKey, Grants),
}

/// `Slot` is the right to run one request; it ends with this value.
pub struct Slot {
    instance: Arc<Instance>,
    model: ModelKey,
    request: RequestId,
    /// The data centre whose pool gave the slot.
    pub centre: DataCentreKey,
    /// The cost that the request really had, in tokens times layers.
    pub cost: u64,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let finished = Finished {
            request: self.request,
            cost: self.cost,
        };
        on_pools(&self.instance, self.model, pools::Event::Finish(finished));
    }
}

/// `Waiting` withdraws a ticket whose caller is gone.
struct Waiting<'a> {
    instance: &'a Instance,
    model: ModelKey,
    request: RequestId,
    is_over: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        let withdraw = pools::Event::Withdraw(self.request);
        on_pools(self.instance, self.model, withdraw);
        // A grant may have crossed; then the request has a slot to give back.
        let finished = Finished {
            request: self.request,
            cost: 0,
        };
        on_pools(self.instance, self.model, pools::Event::Finish(finished));
    }
}

/// Waits for a slot of one of the model's pools.
///
/// # Errors
///
/// `Error::QueueFull`, `Error::DeadlineUnmeetable` or `Error::DeadlinePassed`.
pub async fn acquire(instance: &Arc<Instance>, model: ModelKey, ticket: Ticket) -> Result<Slot> {
    let (tx, rx) = oneshot::channel();
    let shard = shard(instance, model);
    shard.lock().starts.insert(ticket.request, tx);
    let mut waiting = Waiting {
        instance,
        model,
        request: ticket.request,
        is_over: false,
    };
    on_pools(instance, model, pools::Event::Submit(ticket));
    let answer = rx.await;
    waiting.is_over = true;
    match answer {
        Ok(Ok(centre)) => Ok(Slot {
            instance: Arc::clone(instance),
            model,
            request: ticket.request,
            centre,
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

/// The pools of a model, new ones when they were not used yet.
fn shard(instance: &Instance, model: ModelKey) -> Arc<Mutex<Shard>> {
    let mut shards = instance.pools.shards.lock();
    let shard = shards.entry(model).or_insert_with(|| {
        let now = instance.edges.clock.now();
        let session = instance.edges.clock.wall().as_millis();
        let ranks = instance.config.load().ranks.clone();
        let options = pools::Options {
            local: instance.data_centre,
            ranks: RANKS,
            driver: driver::Options::default(),
        };
        let spill = Spill::new(spill::Options::new(ranks.len()));
        Arc::new(Mutex::new(Shard {
            own: instance.data_centre,
            me: instance.duties.me(),
            session,
            ranks,
            pools: Pools::new(options, spill, session, now),
            home: None,
            starts: HashMap::default(),
        }))
    });
    Arc::clone(shard)
}

/// Gives the pools of a model an event, and carries out what follows.
fn on_pools(instance: &Instance, model: ModelKey, event: pools::Event) {
    let now = instance.edges.clock.now();
    let shard = shard(instance, model);
    // The lock is held until the messages are in order in their outboxes.
    let mut shard = shard.lock();
    let messages = shard.on_pools(now, event);
    send(instance, model, messages);
}

/// Gives the home of the own data centre's pool an event, if it is here.
fn on_home(instance: &Instance, model: ModelKey, event: home::Event) {
    let now = instance.edges.clock.now();
    let shard = shard(instance, model);
    let mut shard = shard.lock();
    let messages = shard.on_home(now, event);
    send(instance, model, messages);
}

impl Shard {
    /// Gives the pools an event; what is for other instances is left.
    fn on_pools(&mut self, now: Instant, event: pools::Event) -> Vec<Message> {
        let actions = self.pools.on_event(now, event);
        let mut away = Vec::new();
        for action in actions {
            match action {
                pools::Action::Start(request, centre) => self.answer(request, Ok(centre)),
                pools::Action::Refuse(refusal) => self.answer(refusal.request, Err(refusal)),
                pools::Action::Send(centre, to, report) if to == self.me && centre == self.own => {
                    let event = home::Event::Report(self.me, report);
                    away.extend(self.on_home(now, event));
                }
                pools::Action::Send(centre, to, report) => {
                    away.push(Message::ToHome(centre, to, report));
                }
            }
        }
        away
    }

    /// Gives the home an event; what is for other instances is left.
    fn on_home(&mut self, now: Instant, event: home::Event) -> Vec<Message> {
        let Some(home) = self.home.as_mut() else {
            return Vec::new();
        };
        let actions = home.on_event(now, event);
        let mut away = Vec::new();
        for home::Action::Send(to, grants) in actions {
            if to == self.me {
                let event = pools::Event::Grants(self.own, self.me, grants);
                away.extend(self.on_pools(now, event));
            } else {
                away.push(Message::ToDriver(to, grants));
            }
        }
        away
    }

    /// Tells a waiting request what became of its ticket.
    fn answer(&mut self, request: RequestId, answer: Start) {
        if let Some(start) = self.starts.remove(&request) {
            // A request that is gone has withdrawn its ticket.
            let _ = start.send(answer);
        }
    }

    /// Begins or ends the home here; a new one starts a later session.
    fn set_home(&mut self, is_here: bool, options: home::Options, wall_ms: u64, now: Instant) {
        if !is_here {
            self.home = None;
        } else if self.home.is_none() {
            self.session = wall_ms.max(self.session + 1);
            self.home = Some(Home::new(options, self.session, now));
        }
    }
}

/// The name of a pool among instances.
fn name(directory: &Directory, (model, centre): PoolKey) -> String {
    let model = directory.models.name(model);
    let centre = directory.data_centres.name(centre);
    format!("{model}{SEPARATOR}{centre}")
}

/// Sends messages to other instances, in order for each of them.
fn send(instance: &Instance, model: ModelKey, messages: Vec<Message>) {
    let now = instance.edges.clock.now();
    for message in messages {
        let directory = instance.directory.read();
        let (to, req) = match message {
            Message::ToHome(centre, to, report) => {
                let name = name(&directory, (model, centre));
                let organisation = |key| directory.organisations.name(key).to_string();
                let tickets = wire::Tickets::from_report(name, now, report, organisation);
                (to, Request::Tickets(tickets))
            }
            Message::ToDriver(to, grants) => {
                let name = name(&directory, (model, instance.data_centre));
                let grants = wire::Grants::from_grants(name, now, grants);
                (to, Request::Grants(grants))
            }
        };
        drop(directory);
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
    if key.1 == instance.data_centre {
        on_home(instance, key.0, home::Event::Report(from, report));
    }
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
    on_pools(instance, key.0, pools::Event::Grants(key.1, from, grants));
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
        let now = instance.edges.clock.now();
        let is_review = now >= review_at;
        if is_review {
            review_at = now + REVIEW;
        }
        // A model's pools begin before its first request needs them.
        let config = instance.config.load_full();
        for &model in config.models.keys() {
            if is_review {
                review(&instance, model);
            }
            tick(&instance, model, now);
        }
        tokio::time::sleep(TICK).await;
    }
}

/// Lets deadlines of both sides come.
fn tick(instance: &Instance, model: ModelKey, now: Instant) {
    let shard = shard(instance, model);
    let (pools_at, home_at) = {
        let shard = shard.lock();
        let home_at = shard.home.as_ref().map(Home::next_deadline);
        (shard.pools.next_deadline(), home_at)
    };
    if pools_at <= now {
        on_pools(instance, model, pools::Event::Tick);
    }
    if home_at.is_some_and(|at| at <= now) {
        on_home(instance, model, home::Event::Tick);
    }
}

/// Looks at who the pools' homes are and what the own pool can take.
fn review(instance: &Instance, model: ModelKey) {
    take_ranks(instance, model);
    let open = instance.fleet.centres(model);
    let mut centres = instance.duties.other_centres(instance.data_centre);
    centres.push(instance.data_centre);
    centres.extend(&open);
    centres.sort_unstable();
    centres.dedup();
    for centre in centres {
        let name = name(&instance.directory.read(), (model, centre));
        let holder = instance.duties.holder(Duty::Pool(&name), centre);
        let holder = holder.map(|member| member.key);
        if centre == instance.data_centre {
            review_home(instance, model, holder == Some(instance.duties.me()));
        } else if open.contains(&centre) {
            let now = instance.edges.clock.now();
            let shard = shard(instance, model);
            shard.lock().pools.insert(now, centre, ROUND_TRIP);
        }
        on_pools(instance, model, pools::Event::Home(centre, holder));
        let is_open = open.contains(&centre);
        on_pools(instance, model, pools::Event::Open(centre, is_open));
    }
}

/// Takes over the ranks of the configuration in force.
fn take_ranks(instance: &Instance, model: ModelKey) {
    let shard = shard(instance, model);
    let mut shard = shard.lock();
    let config = instance.config.load();
    if shard.ranks != config.ranks {
        shard.ranks.clone_from(&config.ranks);
        let options = spill::Options::new(config.ranks.len());
        shard.pools.set_spill(options);
        // The drivers tell the next home, which has the new floors, all they have.
        shard.home = None;
    }
}

/// Begins or ends the home of the own data centre's pool, and tells it its size.
fn review_home(instance: &Instance, model: ModelKey, is_here: bool) {
    let centre = instance.data_centre;
    let wall_ms = instance.edges.clock.wall().as_millis();
    let now = instance.edges.clock.now();
    let options = home_options(instance);
    let shard = shard(instance, model);
    shard.lock().set_home(is_here, options, wall_ms, now);
    if is_here {
        let drivers = instance.duties.of(centre);
        on_home(instance, model, home::Event::Drivers(drivers));
        let capacity = instance.fleet.capacity(model, centre);
        on_home(instance, model, home::Event::Capacity(capacity));
    }
}

/// The options of a home under the configuration in force.
fn home_options(instance: &Instance) -> home::Options {
    let config = instance.config.load();
    home::Options {
        floors: config.ranks.iter().map(|rank| rank.floor).collect(),
        headroom: f64::from(instance.settings.headroom_percent) / 100.0,
        ..home::Options::default()
    }
}
