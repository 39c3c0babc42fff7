//! The queue owners of this instance, with the callers that wait for their decisions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::oneshot;

use hemlockwind_backend::clock::SystemClock;
use hemlockwind_core::collections::HashMap;
use hemlockwind_core::edges::Clock;
use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::names::InstanceKey;
use hemlockwind_core::time::Instant;
use hemlockwind_paths::QueueEntry;
use hemlockwind_paths::QueueEntryId;
use hemlockwind_paths::QueueOwner;
use hemlockwind_paths::admission::Caller;
use hemlockwind_paths::engines::Stage as EngineStage;
use hemlockwind_paths::queue_entry::Decision;
use hemlockwind_paths::queue_entry::Reason;
use hemlockwind_paths::queue_owner::Held;
use hemlockwind_paths::queue_owner::Reroute;
use hemlockwind_paths::reroutes::LONGEST_WAIT;
use hemlockwind_paths::reroutes::PendingReroute;
use hemlockwind_platform::headers::Stage;
use hemlockwind_protocol::peer::paths as wire;
use hemlockwind_tasks::Tasks;

use crate::queue_owners::Refusal;

/// When to retry after a queue owner dropped a waiting entry.
const DROPPED_WAITER_RETRY: Duration = Duration::from_millis(300);

/// Longest time between two refusals that count as consecutive.
const REFUSAL_WINDOW: Duration = Duration::from_millis(500);
/// Consecutive refusals after which an engine is examined.
const REFUSALS_TO_EXAMINE: u32 = 2;
/// Shortest time between two examinations of one engine.
const EXAMINE_INTERVAL: Duration = Duration::from_millis(300);

// An instance that stops waiting before the decision takes the queue owner for unreachable.
const _: () = assert!(LONGEST_WAIT.as_millis() <= wire::MAX_REROUTE_WAIT.as_millis());

type Waiter = oneshot::Sender<PathResult>;

/// `PathResult` holds the granted path, or a refusal.
pub type PathResult = Result<Vec<Stage>, Refusal>;

/// `LocalQueue` holds one queue owner and the callers that wait for its decisions.
pub struct LocalQueue {
    /// The queue owner.
    pub queue_owner: QueueOwner,
    waiters: HashMap<QueueEntryId, Waiter>,
    /// The streams that wait for a batch of reroutes.
    rerouted: HashMap<QueueEntryId, oneshot::Sender<Option<Vec<Stage>>>>,
    has_path: bool,
    refusals: HashMap<SocketAddr, Refusals>,
}

/// `Refusals` counts consecutive refusals of one engine.
#[derive(Clone, Copy, Debug)]
struct Refusals {
    count: u32,
    last: Instant,
    examined: Instant,
}

/// `SharedQueue` is a local queue owner under its lock.
pub type SharedQueue = Arc<Mutex<LocalQueue>>;

impl LocalQueue {
    /// Returns a queue without waiting callers.
    pub fn new(queue_owner: QueueOwner) -> Self {
        Self {
            queue_owner,
            waiters: HashMap::default(),
            rerouted: HashMap::default(),
            has_path: false,
            refusals: HashMap::default(),
        }
    }

    /// Starts or refuses the waiting entries that can be decided now.
    pub fn poll(&mut self, now: Instant) {
        for (id, decision) in self.queue_owner.poll(now) {
            let decided = self.to_result(decision);
            let waiter = self.waiters.remove(&id);
            let is_delivered = waiter.is_some_and(|w| w.send(decided).is_ok());
            if !is_delivered {
                self.queue_owner.done(now, id);
            }
        }
    }

    /// Removes an entry that has ended or no longer waits.
    pub fn done(&mut self, now: Instant, id: QueueEntryId) {
        self.waiters.remove(&id);
        self.rerouted.remove(&id);
        self.queue_owner.done(now, id);
    }

    /// Returns another path for a running stream.
    pub fn reroute(
        &mut self,
        now: Instant,
        id: QueueEntryId,
        reroute: Reroute,
    ) -> Option<Vec<Stage>> {
        let path = self.queue_owner.reroute(now, id, reroute)?;
        Some(self.resolve(&path))
    }

    /// Decides the batch of reroutes that is due. Returns when the next one is due.
    fn grant_reroutes(&mut self, now: Instant) -> Option<Instant> {
        let held = |id: &QueueEntryId| Some((*id, self.queue_owner.held(*id)?));
        let mut before: HashMap<QueueEntryId, Held> =
            self.rerouted.keys().filter_map(held).collect();
        for (id, path) in self.queue_owner.grant_reroutes(now) {
            let path = path.map(|path| self.resolve(&path));
            let Some(waiter) = self.rerouted.remove(&id) else {
                continue;
            };
            // The stream stays where it was if its instance no longer waits. Reports of running
            // streams have numbers only and would not correct the record.
            if let Err(Some(_)) = waiter.send(path)
                && let Some(held) = before.remove(&id)
            {
                self.queue_owner.adopt(now, id, held);
            }
        }
        self.queue_owner.reroutes_due()
    }

    /// Adds a running stream that another owner granted.
    pub fn adopt(&mut self, now: Instant, instance: InstanceKey, held: &wire::Held) {
        let path = held.path.iter().filter_map(|stage| {
            Some(EngineStage {
                engine: self.queue_owner.engines.key(&stage.id)?,
                layers: LayerRange::new(stage.start, stage.end).ok()?,
            })
        });
        let stream = Held {
            tokens: held.tokens,
            path: path.collect(),
        };
        let id = QueueEntryId {
            instance,
            number: held.number,
        };
        self.queue_owner.adopt(now, id, stream);
    }

    /// Returns whether there is a whole path, if that has changed since the last call.
    pub fn take_path_change(&mut self, now: Instant) -> Option<bool> {
        let has_path = self.queue_owner.has_path(now);
        let is_changed = std::mem::replace(&mut self.has_path, has_path) != has_path;
        is_changed.then_some(has_path)
    }

    /// Returns layers, streams and reserved memory in per cent of each engine, for a log
    /// line. "!" marks the engines that are not usable.
    pub fn summary(&self, now: Instant) -> String {
        let mut engines: Vec<_> = self.queue_owner.engines.iter().map(|(_, e)| e).collect();
        engines.sort_by_key(|e| (e.layers, e.addr));
        let parts = engines.iter().map(|e| {
            let reserved = 100.0 * e.reserved / e.capacity.max(1.0);
            let is_usable = self.queue_owner.engines.is_usable(e, now);
            let mark = if is_usable { "" } else { "!" };
            format!("{}{mark} {} {reserved:.0}", e.layers, e.streams)
        });
        parts.collect::<Vec<_>>().join(", ")
    }

    /// Records that an engine refused to be part of a path, and excludes it from new work
    /// for `time`. Returns whether the engine should be examined.
    pub fn refused(&mut self, now: Instant, addr: SocketAddr, time: Duration) -> bool {
        self.exclude(now, addr, time);
        let refusals = self.refusals.entry(addr).or_insert(Refusals {
            count: 0,
            last: now,
            examined: Instant::ZERO,
        });
        if now.since(refusals.last) > REFUSAL_WINDOW {
            refusals.count = 0;
        }
        refusals.count += 1;
        refusals.last = now;
        let is_due = now.since(refusals.examined) > EXAMINE_INTERVAL;
        let is_examination_due = refusals.count >= REFUSALS_TO_EXAMINE && is_due;
        if is_examination_due {
            refusals.examined = now;
        }
        is_examination_due
    }

    /// Excludes the engine at `addr` from new work for `time`.
    pub fn exclude(&mut self, now: Instant, addr: SocketAddr, time: Duration) {
        self.queue_owner.engines.exclude(now, addr, time);
    }

    fn to_result(&self, decision: Decision) -> PathResult {
        match decision {
            Decision::Granted(path) => Ok(self.resolve(&path)),
            Decision::Refused(reason, retry) => Err(Refusal::new(reason, retry)),
            Decision::NotAdmitted(refusal) => Err(refusal.into()),
        }
    }

    fn resolve(&self, path: &[EngineStage]) -> Vec<Stage> {
        let stages = path.iter().filter_map(|stage| {
            let engine = self.queue_owner.engines.get(stage.engine)?;
            Some(Stage {
                id: Arc::clone(&engine.id),
                addr: engine.addr,
                layers: stage.layers,
            })
        });
        stages.collect()
    }
}

/// Requests a path from a queue owner and waits for the decision if the entry may wait.
pub async fn request_path(
    queue: &SharedQueue,
    now: Instant,
    queue_entry: QueueEntry,
    caller: Caller,
) -> PathResult {
    let waiting = {
        let mut local = queue.lock();
        let queue_owner = &mut local.queue_owner;
        match queue_owner.request_path_for(now, queue_entry, caller) {
            Some(decision) => return local.to_result(decision),
            None => {
                let (tx, rx) = oneshot::channel();
                local.waiters.insert(queue_entry.id, tx);
                rx
            }
        }
    };
    let decided = waiting.await;
    decided.unwrap_or(Err(Refusal::new(Reason::Expired, DROPPED_WAITER_RETRY)))
}

/// Requests another path for a running stream and waits for the decision on the batch.
pub async fn reroute_in_batch(
    queue: &SharedQueue,
    clock: &SystemClock,
    tasks: &Tasks,
    request: PendingReroute,
) -> Option<Vec<Stage>> {
    let (tx, rx) = oneshot::channel();
    {
        let mut local = queue.lock();
        local.rerouted.insert(request.id, tx);
        if let Some(due) = local.queue_owner.request_reroute(clock.now(), request) {
            let (queue, clock) = (Arc::clone(queue), *clock);
            tasks.spawn("grants of reroutes", async move {
                let mut due = Some(due);
                while let Some(at) = due {
                    tokio::time::sleep(at.since(clock.now())).await;
                    due = queue.lock().grant_reroutes(clock.now());
                }
            });
        }
    }
    rx.await.ok().flatten()
}
