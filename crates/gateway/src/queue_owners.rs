//! Grants paths to streams through the queue owners of their services.
//!
//! The engines of a service have one queue owner, which runs on one of the instances and
//! keeps the only record of the engines' memory. When that instance does not answer, the
//! next one becomes the owner, and running streams are reported to it. During a network
//! partition the instances on each side choose an owner among those that they reach, for
//! the engines that they reach.

mod handler;
pub mod local;
mod notify;
mod wire;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use slog::info;
use tokio::sync::Notify;

use hemlockwind_backend::clock::SystemClock;
use hemlockwind_core::Error;
use hemlockwind_core::attempt::Attempt;
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
use hemlockwind_paths::LoadPolicy;
use hemlockwind_paths::QueueOwner;
use hemlockwind_paths::admission;
use hemlockwind_paths::admission::Caller;
use hemlockwind_paths::load_policy::LoadPolicySwitch;
use hemlockwind_paths::queue_entry::Reason;
use hemlockwind_paths::queue_owner::Reroute;
use hemlockwind_platform::headers::Stage;
use hemlockwind_protocol::peer::Reply;
use hemlockwind_protocol::peer::Request;
use hemlockwind_protocol::peer::paths as message;

use crate::directory::Directory;
use crate::gateway::Gateway;
use crate::limits;
use crate::peers::Instance;
use crate::queue_owners::local::LocalQueue;
use crate::queue_owners::local::PathResult;
use crate::queue_owners::local::SharedQueue;
use crate::queue_owners::wire::caller_to_wire;
use crate::queue_owners::wire::not_admitted_from_wire;
use crate::queue_owners::wire::path_request_to_wire;
use crate::queue_owners::wire::reason_from_wire;
use crate::queue_owners::wire::reroute_to_wire;
use crate::queue_owners::wire::stage_from_wire;

/// How long an engine that makes no progress, gives no answer or leaves is excluded from
/// new work. By then its entry has been removed or it has recovered.
const DEAD_EXCLUSION: Duration = Duration::from_millis(4_000);
/// When to retry if no queue owner can be reached or its instance has no queue for the
/// service.
const NO_OWNER_RETRY: Duration = Duration::from_millis(1_000);
/// Interval at which running streams are reported to their queue owners.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time in which ended streams are collected into one message.
pub const DONE_INTERVAL: Duration = Duration::from_millis(10);
/// Largest number of requests to queue owners for one path.
const OWNER_ATTEMPTS: u32 = 3;

/// `PathRequest` describes a stream that needs a path.
#[derive(Clone, Debug)]
pub struct PathRequest {
    /// The service whose engines are to run it.
    pub service: Arc<str>,
    /// The caller's organisation.
    pub organisation: Arc<str>,
    /// The stream's rank.
    pub rank: Rank,
    /// Tokens of its prompt and its expected answer together.
    pub tokens: u32,
    /// The latest start that still meets the target.
    pub on_time_by: Instant,
    /// The latest start that is still of use to the caller.
    pub latest: Instant,
    /// Whether the stream may wait in the queue.
    pub may_wait: bool,
    /// The caller of a new stream; `None` for the next path of a stream that has begun.
    pub caller: Option<Caller>,
}

/// `Refusal` says why a stream may not start and when to retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// The time after which to retry.
    pub retry_after: Duration,
    /// What the queue owner based the refusal on; `None` under the standard policy.
    pub admission: Option<admission::Refusal>,
}

impl Refusal {
    /// Returns a refusal by other rules than those for contended capacity.
    pub const fn new(reason: Reason, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after,
            admission: None,
        }
    }
}

impl From<admission::Refusal> for Refusal {
    fn from(refusal: admission::Refusal) -> Self {
        Self {
            reason: refusal.reason(),
            retry_after: refusal.retry_after,
            admission: Some(refusal),
        }
    }
}

/// `QueueOwnerKey` is the service whose engines a queue owner manages.
type QueueOwnerKey = Arc<str>;

/// `ServiceStreams` holds the streams of this instance at one queue owner.
#[derive(Default)]
struct ServiceStreams {
    /// Tokens and path of each running stream, by its number.
    running: HashMap<u64, (u32, Vec<Stage>)>,
    /// Ended streams that are still to be reported.
    done: Vec<u64>,
    /// The instance that the running streams were last reported to.
    reported_to: Option<Arc<str>>,
}

type StreamsByService = Mutex<SeededHashMap<QueueOwnerKey, ServiceStreams>>;

/// `QueueOwners` holds the local queue owners and this instance's streams, by service.
pub struct QueueOwners {
    clock: SystemClock,
    /// The operators' choice of the load policy.
    load_policy: LoadPolicySwitch,
    /// Whether [`LoadPolicy::Contended`] is in force.
    is_contended: AtomicBool,
    names: Mutex<Interned>,
    queue_owners: Mutex<SeededHashMap<QueueOwnerKey, SharedQueue>>,
    streams: Arc<StreamsByService>,
    ended: Arc<Notify>,
    numbers: AtomicU64,
    /// Engines that make no progress, give no answer or leave.
    excluded: Mutex<HashMap<SocketAddr, Excluded>>,
    /// Data centres that can't be reached from this instance.
    cut_off: Mutex<Vec<Arc<str>>>,
}

#[derive(Default)]
struct Interned {
    instances: Names<InstanceKey>,
    organisations: Names<OrganisationKey>,
}

/// `Exclusion` is why an engine gets no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    /// It gave no usable answer to a request of this instance.
    NoAnswer,
    /// It leaves.
    Leaving,
    /// It makes no progress.
    Dead,
}

/// `Excluded` holds until when an engine is excluded. The times for the reasons that other
/// instances are notified of are kept apart: an engine that gave no answer to one request, or
/// that leaves, is still reported when it is found dead.
#[derive(Clone, Copy, Debug)]
struct Excluded {
    until: Instant,
    leaving_until: Instant,
    dead_until: Instant,
}

/// `Grant` is the right to run a stream on a path. Dropping it releases the memory.
pub struct Grant {
    /// The path.
    pub path: Vec<Stage>,
    guard: QueueEntryGuard,
}

/// `QueueEntryGuard` is held as long as a queue entry of this instance lasts. Dropping it
/// queues a report to the queue owner that the entry has ended.
struct QueueEntryGuard {
    key: QueueOwnerKey,
    number: u64,
    streams: Arc<StreamsByService>,
    ended: Arc<Notify>,
}

impl QueueOwners {
    /// Returns an empty set of queue owners.
    pub fn new(clock: SystemClock, load_policy: LoadPolicySwitch) -> Self {
        Self {
            clock,
            load_policy,
            is_contended: AtomicBool::new(false),
            names: Mutex::default(),
            queue_owners: Mutex::default(),
            streams: Arc::default(),
            ended: Arc::new(Notify::new()),
            numbers: AtomicU64::new(1),
            excluded: Mutex::default(),
            cut_off: Mutex::default(),
        }
    }

    fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Updates the queue owners to the current services and engines.
    pub fn update(&self, routes: &Routes, directory: &Directory) {
        let load_policy = self.load_policy.policy(routes.organisations());
        let is_contended = load_policy.has_admission();
        self.is_contended.store(is_contended, Ordering::Relaxed);
        for service in routes.services() {
            let Some(model) = service.engine.as_ref().filter(|m| m.is_joint()) else {
                continue;
            };
            let queue = {
                let mut queue_owners = self.queue_owners.lock();
                let queue = queue_owners
                    .entry(Arc::clone(&service.name))
                    .or_insert_with(|| {
                        let queue_owner = QueueOwner::new(Engines::new(Arc::clone(model)));
                        Arc::new(Mutex::new(LocalQueue::new(queue_owner)))
                    });
                Arc::clone(queue)
            };
            let engines = &mut queue.lock().queue_owner.engines;
            engines.model = Arc::clone(model);
            engines.load_policy = load_policy;
            engines.update(directory.of(&service.name).map(|s| &**s));
            engines.set_cut_off(&self.cut_off.lock());
        }
    }

    /// Requests a path from the queue owner of a service and waits for the decision. When
    /// the owner does not answer, the next one is asked.
    ///
    /// # Errors
    ///
    /// Returns the reason why the stream may not start.
    pub async fn request_path(
        &self,
        gateway: &Gateway,
        request: &PathRequest,
    ) -> Result<Grant, Refusal> {
        for _ in 0..OWNER_ATTEMPTS {
            let now = self.now();
            let owner = gateway.peers.queue_owner(&request.service);
            let guard = QueueEntryGuard {
                key: Arc::clone(&request.service),
                number: self.numbers.fetch_add(1, Ordering::Relaxed),
                streams: Arc::clone(&self.streams),
                ended: Arc::clone(&self.ended),
            };
            let data_centre = &gateway.settings.data_centre;
            let wire_request = path_request_to_wire(request, data_centre, guard.number, now);
            let caller = request.caller.filter(|_| self.is_contended());
            let service = &request.service;
            let decided = match (owner.name == gateway.peers.me().name, caller) {
                (true, _) => {
                    let caller = caller.unwrap_or_default();
                    let local = self.request_local(service, "", &wire_request, caller);
                    Some(local.await)
                }
                (false, Some(caller)) => {
                    let admission = caller_to_wire(caller, &wire_request, now);
                    self.request_admission(gateway, &owner, service, admission)
                        .await
                }
                (false, None) => {
                    self.request_remote(gateway, &owner, service, wire_request)
                        .await
                }
            };
            match decided {
                Some(Ok(path)) => {
                    guard.begin(request.tokens, &path);
                    return Ok(Grant { path, guard });
                }
                Some(Err(refusal)) => return Err(refusal),
                None => {}
            }
        }
        Err(Refusal::new(Reason::NoPath, NO_OWNER_RETRY))
    }

    /// Whether [`LoadPolicy::Contended`] is in force.
    pub fn is_contended(&self) -> bool {
        self.is_contended.load(Ordering::Relaxed)
    }

    /// Requests a path for a new stream under [`LoadPolicy::Contended`].
    async fn request_admission(
        &self,
        gateway: &Gateway,
        owner: &Instance,
        key: &QueueOwnerKey,
        admission: message::AdmissionRequest,
    ) -> Option<PathResult> {
        let request = admission.request.clone();
        let message = message::Message::AdmissionRequest(key.to_string(), admission);
        let reply = gateway.peers.call(owner, Request::Paths(message)).await;
        // An owner of an older build can't read the message.
        if matches!(reply, Ok(Reply::Refused(..))) {
            return self.request_remote(gateway, owner, key, request).await;
        }
        self.decided(gateway, owner, key, reply).await
    }

    async fn request_remote(
        &self,
        gateway: &Gateway,
        owner: &Instance,
        key: &QueueOwnerKey,
        request: message::PathRequest,
    ) -> Option<PathResult> {
        let req = Request::Paths(message::Message::PathRequest(key.to_string(), request));
        let reply = gateway.peers.call(owner, req).await;
        self.decided(gateway, owner, key, reply).await
    }

    /// Returns the decision in a queue owner's reply; `None` if there is none, or if the owner is
    /// to be asked again.
    async fn decided(
        &self,
        gateway: &Gateway,
        owner: &Instance,
        key: &QueueOwnerKey,
        reply: Result<Reply, (Attempt, Error)>,
    ) -> Option<PathResult> {
        match reply {
            Ok(Reply::Paths(message::Answer::Granted(path))) => {
                let path: Option<Vec<Stage>> = path.into_iter().map(stage_from_wire).collect();
                let path = path?;
                let first = path.first().map(|s| Arc::clone(&s.id));
                if let Some(first) = first
                    && limits::inform_owner(gateway, owner, key, &first).await
                {
                    return None;
                }
                Some(Ok(path))
            }
            Ok(Reply::Paths(message::Answer::GrantedLimited(path))) => {
                limited_path(gateway, path).map(Ok)
            }
            Ok(Reply::Paths(message::Answer::Refused(reason, ms))) => {
                let retry_after = Duration::from_millis(ms.into());
                Some(Err(Refusal::new(reason_from_wire(reason), retry_after)))
            }
            Ok(Reply::Paths(message::Answer::NotAdmitted(refusal))) => {
                Some(Err(not_admitted_from_wire(&refusal).into()))
            }
            Ok(_) => None,
            Err((_, e)) => {
                gateway.counters.add("homes_unreachable");
                if let Some(left_out) = gateway.lines.take(gateway.now(), "home_lost") {
                    info!(gateway.log, "queue owner does not answer"; "keeper" => &*owner.name,
                        "service" => &**key, "error" => %e, "left_out" => left_out);
                }
                None
            }
        }
    }

    /// Moves a granted stream to another path. Returns whether there is one.
    pub async fn reroute(
        &self,
        gateway: &Arc<Gateway>,
        grant: &mut Grant,
        reroute: Reroute,
        urgency: message::Urgency,
    ) -> bool {
        let request = self.request_reroute(gateway, grant, reroute, urgency);
        let Some(path) = request.await else {
            return false;
        };
        grant.guard.set_path(&path);
        grant.path = path;
        true
    }

    /// Records that a stream which was moved to another path stays on `path`.
    pub async fn restore(&self, gateway: &Gateway, grant: &mut Grant, path: Vec<Stage>) {
        grant.guard.set_path(&path);
        grant.path = path;
        self.report_held(gateway, &grant.guard.key, &[grant.guard.number])
            .await;
    }

    async fn request_reroute(
        &self,
        gateway: &Arc<Gateway>,
        grant: &Grant,
        reroute: Reroute,
        urgency: message::Urgency,
    ) -> Option<Vec<Stage>> {
        let key = &grant.guard.key;
        // A planned move is not urgent.
        let is_ordered = !reroute.must_fit && self.load_policy(key) == LoadPolicy::Contended;
        let reroute = reroute_to_wire(reroute, grant.guard.number);
        let owner = gateway.peers.queue_owner(key);
        if owner.name == gateway.peers.me().name {
            return match is_ordered {
                true => {
                    self.urgent_reroute_local(gateway, key, "", reroute, urgency)
                        .await
                }
                false => self.reroute_local(key, "", reroute),
            };
        }
        let service = key.to_string();
        if is_ordered {
            let message = message::Message::UrgentReroute(service.clone(), reroute, urgency);
            let reply = call_for_reroute(gateway, &owner, grant, message).await?;
            // An owner of an older build refuses the message, which it does not know.
            if let Reply::Paths(answer) = reply {
                return granted_path(gateway, answer);
            }
        }
        let message = message::Message::Reroute(service, reroute);
        match call_for_reroute(gateway, &owner, grant, message).await? {
            Reply::Paths(answer) => granted_path(gateway, answer),
            _ => None,
        }
    }

    /// Reports to the queue owner that an engine refused to be part of the path of
    /// `grant`. The owner excludes the engine from new work for `time`.
    pub async fn report_refusal(
        &self,
        gateway: &Arc<Gateway>,
        grant: &Grant,
        addr: SocketAddr,
        time: Duration,
    ) {
        let key = &grant.guard.key;
        let owner = gateway.peers.queue_owner(key);
        if owner.name == gateway.peers.me().name {
            self.refused_local(gateway, key, addr, time);
            return;
        }
        let ms = u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        let req = Request::Paths(message::Message::Refused(key.to_string(), addr, ms));
        // If the message is lost, the worst case is that the owner grants such a path once
        // more.
        let _ = gateway.peers.call(&owner, req).await;
    }

    /// Reports to the queue owner that an engine wants no new request for `time`.
    pub async fn report_no_starts(
        &self,
        gateway: &Gateway,
        grant: &Grant,
        addr: SocketAddr,
        time: Duration,
    ) {
        let key = &grant.guard.key;
        let owner = gateway.peers.queue_owner(key);
        if owner.name == gateway.peers.me().name {
            self.exclude_starts_local(key, addr, time);
            return;
        }
        let ms = u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        let req = Request::Paths(message::Message::NoStarts(key.to_string(), addr, ms));
        // If the message is lost, this instance reports it again with the next such path.
        let _ = gateway.peers.call(&owner, req).await;
    }

    /// Excludes the engine at `addr` from new work. Returns whether the reason is new, so that
    /// the streams on the engine have to be notified.
    pub fn exclude(&self, now: Instant, addr: SocketAddr, reason: Exclusion) -> bool {
        let until = now + DEAD_EXCLUSION;
        let is_new = {
            let mut all = self.excluded.lock();
            all.retain(|_, excluded| excluded.until > now);
            let excluded = all.entry(addr).or_insert(Excluded {
                until,
                leaving_until: now,
                dead_until: now,
            });
            excluded.until = until;
            let was_dead = excluded.dead_until > now;
            let was_leaving = excluded.leaving_until > now;
            match reason {
                Exclusion::NoAnswer => false,
                Exclusion::Leaving => {
                    excluded.leaving_until = until;
                    !was_leaving && !was_dead
                }
                Exclusion::Dead => {
                    excluded.dead_until = until;
                    !was_dead
                }
            }
        };
        self.exclude_for(now, addr, DEAD_EXCLUSION);
        if is_new && reason == Exclusion::Dead {
            for queue in self.queue_owners.lock().values() {
                queue.lock().queue_owner.engine_lost(now, addr);
            }
        }
        is_new
    }

    /// Whether the engine at `addr` is excluded since it makes no progress, gives no answer
    /// or leaves.
    pub fn is_excluded(&self, now: Instant, addr: SocketAddr) -> bool {
        let excluded = self.excluded.lock();
        excluded.get(&addr).is_some_and(|e| e.until > now)
    }

    /// Whether the engine at `addr` was found to make no progress.
    pub fn is_dead(&self, now: Instant, addr: SocketAddr) -> bool {
        let excluded = self.excluded.lock();
        excluded.get(&addr).is_some_and(|e| e.dead_until > now)
    }

    /// Whether a data centre can't be reached from this instance.
    pub fn is_cut_off(&self, data_centre: &str) -> bool {
        self.cut_off.lock().iter().any(|d| **d == *data_centre)
    }

    /// Excludes the engine at `addr` from new work for `time`.
    pub fn exclude_for(&self, now: Instant, addr: SocketAddr, time: Duration) {
        for queue in self.queue_owners.lock().values() {
            queue.lock().exclude(now, addr, time);
        }
    }

    /// Returns the load decisions that are in force for a service.
    fn load_policy(&self, key: &QueueOwnerKey) -> LoadPolicy {
        let queue = self.queue(key);
        queue.map_or_else(LoadPolicy::default, |queue| {
            queue.lock().queue_owner.engines.load_policy
        })
    }

    /// Returns the numbers of running and waiting requests over all local queue owners.
    pub fn load(&self) -> (usize, usize) {
        let queue_owners = self.queue_owners.lock();
        let loads = queue_owners.values().map(|queue| {
            let local = queue.lock();
            (local.queue_owner.running(), local.queue_owner.waiting())
        });
        loads.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    }
}

/// Sends a request for a new path of `grant` to `owner`. If there is no reply, the owner may have
/// recorded another path, so the path that the stream stays on is reported to it.
async fn call_for_reroute(
    gateway: &Arc<Gateway>,
    owner: &Instance,
    grant: &Grant,
    message: message::Message,
) -> Option<Reply> {
    let reply = gateway.peers.call(owner, Request::Paths(message)).await;
    if reply.is_err() {
        // To this owner, which is a suspect by now, and not to the next one. The stream does not
        // wait for it, as the owner may have failed.
        let (gateway, owner) = (Arc::clone(gateway), owner.clone());
        let (key, number) = (grant.guard.key.clone(), grant.guard.number);
        tokio::spawn(async move {
            let queue_owners = &gateway.queue_owners;
            queue_owners
                .report_held_to(&gateway, &owner, &key, &[number])
                .await;
        });
    }
    reply.ok()
}

/// Returns the path that a queue owner granted for a running stream. An owner without a record of
/// the stream has none.
fn granted_path(gateway: &Gateway, answer: message::Answer) -> Option<Vec<Stage>> {
    match answer {
        message::Answer::Granted(path) => path.into_iter().map(stage_from_wire).collect(),
        message::Answer::GrantedLimited(path) => limited_path(gateway, path),
        message::Answer::Done
        | message::Answer::Refused(..)
        | message::Answer::Unknown(_)
        | message::Answer::Permitted(_)
        | message::Answer::NotPermitted(_)
        | message::Answer::NotAdmitted(_) => None,
    }
}

/// Returns a granted path whose first engine announced a limit, and records that it did: an
/// answer without a limit then ends it.
fn limited_path(gateway: &Gateway, path: Vec<message::Stage>) -> Option<Vec<Stage>> {
    let path: Option<Vec<Stage>> = path.into_iter().map(stage_from_wire).collect();
    let path = path?;
    if let Some(first) = path.first() {
        gateway.limits.expect(gateway.now(), &first.id);
    }
    Some(path)
}

impl QueueEntryGuard {
    fn begin(&self, tokens: u32, path: &[Stage]) {
        let mut streams = self.streams.lock();
        let service_streams = streams.entry(self.key.clone()).or_default();
        service_streams
            .running
            .insert(self.number, (tokens, path.to_vec()));
    }

    fn set_path(&self, path: &[Stage]) {
        let mut streams = self.streams.lock();
        let service_streams = streams.entry(self.key.clone()).or_default();
        if let Some((_, recorded)) = service_streams.running.get_mut(&self.number) {
            *recorded = path.to_vec();
        }
    }
}

impl Drop for QueueEntryGuard {
    fn drop(&mut self) {
        let mut streams = self.streams.lock();
        let service_streams = streams.entry(self.key.clone()).or_default();
        service_streams.running.remove(&self.number);
        service_streams.done.push(self.number);
        self.ended.notify_one();
    }
}

impl Grant {
    /// Whether the engine at `addr` is part of the path.
    pub fn uses_engine(&self, addr: SocketAddr) -> bool {
        self.path.iter().any(|s| s.addr == addr)
    }
}
