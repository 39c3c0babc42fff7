//! Slots of pools: requests wait here until a pool's queue owner grants them one.
//!
//! A pool consists of the engines of one model in one data centre. Every instance runs the
//! driver's side of all pools of a model. The instance with the assignment for the pool of
//! its own data centre runs the queue owner of that pool as well.

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
use hemlockwind_membership::Assignment;
use hemlockwind_protocol::peer::Request;
use hemlockwind_protocol::peer::queueing as wire;
use hemlockwind_queueing::Pools;
use hemlockwind_queueing::QueueEntry;
use hemlockwind_queueing::QueueOwner;
use hemlockwind_queueing::Spill;
use hemlockwind_queueing::driver;
use hemlockwind_queueing::message::Finished;
use hemlockwind_queueing::message::Grants;
use hemlockwind_queueing::message::Report;
use hemlockwind_queueing::pools;
use hemlockwind_queueing::queue_entry::Reason;
use hemlockwind_queueing::queue_entry::Refusal;
use hemlockwind_queueing::queue_owner;
use hemlockwind_queueing::spill;

use crate::instance::Instance;

/// Interval between two checks of deadlines.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between two checks of capacity and assignments.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);
/// Separator between the model and the data centre in a pool's name. The names of models
/// and data centres must not contain it.
const SEPARATOR: char = '@';
/// Maximum number of ranks of a configuration. The pools read the estimated waits of this
/// many ranks, also when the configuration in force has fewer.
const MAX_RANKS: u8 = 16;
/// Assumed round-trip time of a message to another data centre.
const ROUND_TRIP: Duration = Duration::from_millis(2);

/// `PoolKey` identifies a pool: a model in a data centre.
pub type PoolKey = (ModelKey, DataCentreKey);

/// `Shards` holds the state of all pools at this instance, in one shard per model.
#[derive(Default)]
pub struct Shards {
    shards: Mutex<HashMap<ModelKey, Arc<Mutex<Shard>>>>,
    outboxes: Mutex<HashMap<InstanceKey, UnboundedSender<Request>>>,
}

/// `Shard` holds the pools of one model, and the queue owner of the local pool if this
/// instance has the assignment.
struct Shard {
    data_centre: DataCentreKey,
    me: InstanceKey,
    session: u64,
    ranks: Vec<RankTarget>,
    pools: Pools,
    queue_owner: Option<QueueOwner>,
    admissions: HashMap<RequestId, oneshot::Sender<Admission>>,
}

/// `Admission` is the data centre whose pool granted a slot, or the refusal.
type Admission = Result<DataCentreKey, Refusal>;

/// `Message` is a message about a pool to another instance.
enum Message {
    ToQueueOwner(DataCentreKey, InstanceKey, Report),
    ToDriver(InstanceKey, Grants),
}

/// `Slot` is the right to run one request. Dropping it returns the slot to its pool.
pub struct Slot {
    instance: Arc<Instance>,
    model: ModelKey,
    request: RequestId,
    /// The data centre whose pool granted the slot.
    pub centre: DataCentreKey,
    /// The cost of the request, in tokens times layers: the estimate of its queue entry,
    /// until the driver replaces it by the actual cost at the end.
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

/// `WithdrawGuard` withdraws the queue entry of a request whose caller disconnects.
struct WithdrawGuard<'a> {
    instance: &'a Instance,
    model: ModelKey,
    request: RequestId,
    is_done: bool,
}

impl Drop for WithdrawGuard<'_> {
    fn drop(&mut self) {
        if self.is_done {
            return;
        }
        let withdraw = pools::Event::Withdraw(self.request);
        on_pools(self.instance, self.model, withdraw);
        // A grant may have arrived meanwhile; its slot has to be returned.
        let finished = Finished {
            request: self.request,
            cost: 0,
        };
        on_pools(self.instance, self.model, pools::Event::Finish(finished));
    }
}

/// Waits for a slot in one of the model's pools.
///
/// # Errors
///
/// `Error::QueueFull`, `Error::DeadlineUnmeetable`, `Error::DeadlinePassed` or
/// `Error::Stopping`.
pub async fn acquire(
    instance: &Arc<Instance>,
    model: ModelKey,
    queue_entry: QueueEntry,
) -> Result<Slot> {
    let (tx, rx) = oneshot::channel();
    let shard = shard(instance, model);
    shard.lock().admissions.insert(queue_entry.request, tx);
    let mut guard = WithdrawGuard {
        instance,
        model,
        request: queue_entry.request,
        is_done: false,
    };
    on_pools(instance, model, pools::Event::Submit(queue_entry));
    let admission = rx.await;
    guard.is_done = true;
    match admission {
        Ok(Ok(centre)) => Ok(Slot {
            instance: Arc::clone(instance),
            model,
            request: queue_entry.request,
            centre,
            cost: queue_entry.cost,
        }),
        Ok(Err(refusal)) => Err(refusal_error(refusal, instance.edges.clock.now())),
        Err(_) => Err(Error::Stopping),
    }
}

/// Converts a refusal to an error.
fn refusal_error(refusal: Refusal, now: Instant) -> Error {
    let after = refusal.retry_at.since(now);
    match refusal.reason {
        Reason::QueueFull => Error::QueueFull(after),
        Reason::DeadlineUnmeetable => Error::DeadlineUnmeetable(after),
        Reason::DeadlinePassed => Error::DeadlinePassed,
    }
}

/// Returns the shard of a model, and creates it on first use.
fn shard(instance: &Instance, model: ModelKey) -> Arc<Mutex<Shard>> {
    let mut shards = instance.pools.shards.lock();
    let shard = shards.entry(model).or_insert_with(|| {
        let now = instance.edges.clock.now();
        let session = instance.edges.clock.wall().as_millis();
        let ranks = instance.config.load().ranks.clone();
        let options = pools::Options {
            local: instance.data_centre,
            ranks: MAX_RANKS,
            driver: driver::Options::default(),
        };
        let spill = Spill::new(spill::Options::new(ranks.len()));
        Arc::new(Mutex::new(Shard {
            data_centre: instance.data_centre,
            me: instance.assignments.me(),
            session,
            ranks,
            pools: Pools::new(options, spill, session, now),
            queue_owner: None,
            admissions: HashMap::default(),
        }))
    });
    Arc::clone(shard)
}

/// Passes an event to the pools of a model and performs the resulting actions.
fn on_pools(instance: &Instance, model: ModelKey, event: pools::Event) {
    let now = instance.edges.clock.now();
    let shard = shard(instance, model);
    // The lock is held until the messages are in their outboxes, which keeps their order.
    let mut shard = shard.lock();
    let messages = shard.on_pools(now, event);
    send(instance, model, messages);
}

/// Passes an event to the queue owner of the local pool, if it runs at this instance.
fn on_queue_owner(instance: &Instance, model: ModelKey, event: queue_owner::Event) {
    let now = instance.edges.clock.now();
    let shard = shard(instance, model);
    let mut shard = shard.lock();
    let messages = shard.on_queue_owner(now, event);
    send(instance, model, messages);
}

impl Shard {
    /// Passes an event to the pools. Returns the messages to other instances.
    fn on_pools(&mut self, now: Instant, event: pools::Event) -> Vec<Message> {
        let actions = self.pools.on_event(now, event);
        let mut outgoing = Vec::new();
        for action in actions {
            match action {
                pools::Action::Start(request, centre) => self.complete(request, Ok(centre)),
                pools::Action::Refuse(refusal) => self.complete(refusal.request, Err(refusal)),
                pools::Action::Send(centre, to, report)
                    if to == self.me && centre == self.data_centre =>
                {
                    let event = queue_owner::Event::Report(self.me, report);
                    outgoing.extend(self.on_queue_owner(now, event));
                }
                pools::Action::Send(centre, to, report) => {
                    outgoing.push(Message::ToQueueOwner(centre, to, report));
                }
            }
        }
        outgoing
    }

    /// Passes an event to the queue owner. Returns the messages to other instances.
    fn on_queue_owner(&mut self, now: Instant, event: queue_owner::Event) -> Vec<Message> {
        let Some(queue_owner) = self.queue_owner.as_mut() else {
            return Vec::new();
        };
        let actions = queue_owner.on_event(now, event);
        let mut outgoing = Vec::new();
        for queue_owner::Action::Send(to, grants) in actions {
            if to == self.me {
                let event = pools::Event::Grants(self.data_centre, self.me, grants);
                outgoing.extend(self.on_pools(now, event));
            } else {
                outgoing.push(Message::ToDriver(to, grants));
            }
        }
        outgoing
    }

    /// Completes a waiting request with the decision about its queue entry.
    fn complete(&mut self, request: RequestId, admission: Admission) {
        if let Some(tx) = self.admissions.remove(&request) {
            // Fails if the request was dropped; then its queue entry is withdrawn.
            let _ = tx.send(admission);
        }
    }

    /// Starts or stops the queue owner at this instance. A new one gets a higher session.
    fn set_queue_owner(
        &mut self,
        is_here: bool,
        options: queue_owner::Options,
        wall_ms: u64,
        now: Instant,
    ) {
        if !is_here {
            self.queue_owner = None;
        } else if self.queue_owner.is_none() {
            self.session = wall_ms.max(self.session + 1);
            self.queue_owner = Some(QueueOwner::new(options, self.session, now));
        }
    }
}

/// Returns the name of a pool in messages between instances.
fn pool_name(directory: &Directory, (model, centre): PoolKey) -> String {
    let model = directory.models.name(model);
    let centre = directory.data_centres.name(centre);
    format!("{model}{SEPARATOR}{centre}")
}

/// Sends messages to other instances, in order per instance.
fn send(instance: &Instance, model: ModelKey, messages: Vec<Message>) {
    let now = instance.edges.clock.now();
    for message in messages {
        let directory = instance.directory.read();
        let (to, req) = match message {
            Message::ToQueueOwner(centre, to, report) => {
                let name = pool_name(&directory, (model, centre));
                let organisation = |key| directory.organisations.name(key).to_string();
                let report = wire::Report::from_report(name, now, report, organisation);
                (to, Request::QueueReport(report))
            }
            Message::ToDriver(to, grants) => {
                let name = pool_name(&directory, (model, instance.data_centre));
                let grants = wire::Grants::from_grants(name, now, grants);
                (to, Request::Grants(grants))
            }
        };
        drop(directory);
        // A lost message needs no retry: the queue owner detects a gap in the stamps or
        // differing counts of queue entries, and requests a whole report.
        let _ = outbox(instance, to).send(req);
    }
}

/// Returns the outbox to another instance, which sends one message after the other.
fn outbox(instance: &Instance, to: InstanceKey) -> UnboundedSender<Request> {
    let mut outboxes = instance.pools.outboxes.lock();
    let open = outboxes.get(&to).filter(|outbox| !outbox.is_closed());
    if let Some(outbox) = open {
        return outbox.clone();
    }
    let (tx, mut rx) = mpsc::unbounded_channel();
    outboxes.insert(to, tx.clone());
    let peer = Arc::clone(&instance.edges.peer);
    let addr = instance.assignments.addr(to);
    let log = instance.log.clone();
    tokio::spawn(async move {
        // Ends at the first failure; the next message then opens a new outbox, which looks
        // up the address again.
        while let (Some(req), Some(addr)) = (rx.recv().await, addr) {
            if let Err((_, e)) = peer.call(addr, req).await {
                debug!(log, "a message about a pool was lost"; "peer" => %addr, "error" => %e);
                return;
            }
        }
    });
    tx
}

/// Handles a driver's report from the instance `from`.
///
/// # Errors
///
/// `Error::PeerFrame` when the report is out of bounds or names an unknown pool.
pub fn on_report(instance: &Instance, from: &str, report: wire::Report) -> Result<()> {
    let now = instance.edges.clock.now();
    let key = pool_key(instance, &report.pool)?;
    let from = instance.directory.write().instances.intern(from);
    let config = instance.config.load();
    let directory = instance.directory.read();
    let report = report.into_report(now, |name| {
        let key = directory.organisations.key(name)?;
        Some((key, config.organisations.get(&key)?.share))
    })?;
    drop(directory);
    if key.1 == instance.data_centre {
        on_queue_owner(instance, key.0, queue_owner::Event::Report(from, report));
    }
    Ok(())
}

/// Handles grants from the instance `from`.
///
/// # Errors
///
/// `Error::PeerFrame` when the grants are out of bounds or name an unknown pool.
pub fn on_grants(instance: &Instance, from: &str, grants: wire::Grants) -> Result<()> {
    let now = instance.edges.clock.now();
    let key = pool_key(instance, &grants.pool)?;
    let from = instance.directory.write().instances.intern(from);
    let grants = grants.into_grants(now)?;
    on_pools(instance, key.0, pools::Event::Grants(key.1, from, grants));
    Ok(())
}

/// Returns the key of the pool named `name`.
fn pool_key(instance: &Instance, name: &str) -> Result<PoolKey> {
    let directory = instance.directory.read();
    let names = name.split_once(SEPARATOR);
    let key = names.and_then(|(model, centre)| {
        let model = directory.models.key(model)?;
        Some((model, directory.data_centres.key(centre)?))
    });
    key.ok_or_else(|| Error::peer_frame(format!("there is no pool {name}")))
}

/// Checks the pools of all models every `TICK_INTERVAL` and every `REVIEW_INTERVAL`, until the
/// instance ends.
pub async fn run(instance: Arc<Instance>) {
    let mut review_at = instance.edges.clock.now();
    loop {
        let now = instance.edges.clock.now();
        let is_review_due = now >= review_at;
        if is_review_due {
            review_at = now + REVIEW_INTERVAL;
        }
        // Covers all models, so that the pools of a model exist before its first request.
        let config = instance.config.load_full();
        for &model in config.models.keys() {
            if is_review_due {
                review(&instance, model);
            }
            tick(&instance, model, now);
        }
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}

/// Passes a tick to the pools and to the queue owner when their deadlines have passed.
fn tick(instance: &Instance, model: ModelKey, now: Instant) {
    let shard = shard(instance, model);
    let (pools_at, queue_owner_at) = {
        let shard = shard.lock();
        let queue_owner_at = shard.queue_owner.as_ref().map(QueueOwner::next_deadline);
        (shard.pools.next_deadline(), queue_owner_at)
    };
    if pools_at <= now {
        on_pools(instance, model, pools::Event::Tick);
    }
    if queue_owner_at.is_some_and(|at| at <= now) {
        on_queue_owner(instance, model, queue_owner::Event::Tick);
    }
}

/// Updates the ranks of a model's pools, their queue owners, whether they are open, and the
/// capacity of the local pool.
fn review(instance: &Instance, model: ModelKey) {
    apply_ranks(instance, model);
    let open = instance.fleet.centres(model);
    let mut centres = instance.assignments.other_centres(instance.data_centre);
    centres.push(instance.data_centre);
    centres.extend(&open);
    centres.sort_unstable();
    centres.dedup();
    for centre in centres {
        let name = pool_name(&instance.directory.read(), (model, centre));
        let holder = instance.assignments.holder(Assignment::Pool(&name), centre);
        let holder = holder.map(|member| member.key);
        if centre == instance.data_centre {
            review_queue_owner(instance, model, holder == Some(instance.assignments.me()));
        } else if open.contains(&centre) {
            let now = instance.edges.clock.now();
            let shard = shard(instance, model);
            shard.lock().pools.insert(now, centre, ROUND_TRIP);
        }
        on_pools(instance, model, pools::Event::QueueOwner(centre, holder));
        let is_open = open.contains(&centre);
        on_pools(instance, model, pools::Event::Open(centre, is_open));
    }
}

/// Applies the ranks of the configuration in force.
fn apply_ranks(instance: &Instance, model: ModelKey) {
    let shard = shard(instance, model);
    let mut shard = shard.lock();
    let config = instance.config.load();
    if shard.ranks != config.ranks {
        shard.ranks.clone_from(&config.ranks);
        let options = spill::Options::new(config.ranks.len());
        shard.pools.set_spill(options);
        // The next queue owner gets the new floors. It starts a new session, in which the
        // drivers report all their queue entries.
        shard.queue_owner = None;
    }
}

/// Starts or stops the queue owner of the local pool, and passes it the live drivers and the
/// pool's capacity.
fn review_queue_owner(instance: &Instance, model: ModelKey, is_here: bool) {
    let centre = instance.data_centre;
    let wall_ms = instance.edges.clock.wall().as_millis();
    let now = instance.edges.clock.now();
    let options = queue_owner_options(instance);
    let shard = shard(instance, model);
    shard.lock().set_queue_owner(is_here, options, wall_ms, now);
    if is_here {
        let drivers = instance.assignments.members_of(centre);
        on_queue_owner(instance, model, queue_owner::Event::Drivers(drivers));
        let capacity = instance.fleet.capacity(model, centre);
        on_queue_owner(instance, model, queue_owner::Event::Capacity(capacity));
    }
}

/// Returns the options of a queue owner under the configuration in force.
fn queue_owner_options(instance: &Instance) -> queue_owner::Options {
    let config = instance.config.load();
    queue_owner::Options {
        floors: config.ranks.iter().map(|rank| rank.floor).collect(),
        headroom: f64::from(instance.settings.headroom_percent) / 100.0,
        ..queue_owner::Options::default()
    }
}
