//! Watches the store for routes, backend servers and instances, if this instance has that
//! assignment. The other instances receive the changes from it; see [`crate::updates`]. What is read
//! is put in force by [`crate::merge`].
//!
//! There is one watch for each kind. After a failure the watch resumes at its version;
//! only when the store has dropped that history are all objects read again.

use std::sync::Arc;
use std::time::Duration;

use slog::info;
use slog::warn;
use tokio::time::Instant;
use tokio::time::sleep;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::collections::SeededHashMap;
use hemlockwind_core::edges::ObjectVersion;
use hemlockwind_core::store_view::Next;
use hemlockwind_platform::store::CONFIG;
use hemlockwind_platform::store::Change;
use hemlockwind_platform::store::Listing;
use hemlockwind_platform::store::SERVERS;
use hemlockwind_platform::store::WatchOutcome;
use hemlockwind_protocol::peer::store::Kind;

use crate::gateway::Gateway;
use crate::instances;
use crate::merge;
use crate::merge::apply_all;
use crate::merge::apply_changes;
use crate::merge::refresh_queue_owners;
use crate::updates;

/// How long a watch waits for a change. A waiting watch costs one call.
const WATCH_WAIT: Duration = Duration::from_secs(5);
/// How long a watch of the instances waits: no request depends on their latest state.
const INSTANCES_WAIT: Duration = Duration::from_secs(20);
/// How long after the end of a watch's wait its answer may arrive: it may be large.
const WATCH_GRACE: Duration = Duration::from_millis(1_500);
/// A connection may lose the answer to a watch without a sign of it. So one instance waits for
/// this share of the time bound of a change only. What is left of the bound after the grace time is
/// to read the change over another connection and to pass it on.
const SHORT_WAIT_SHARE: f64 = 0.55;
/// The share of the bound after a short wait in which the answer is due.
const SHORT_GRACE_SHARE: f64 = 0.2;
/// Interval at which a waiting watch is compared with what other instances have received.
const COMPARE_INTERVAL: Duration = Duration::from_millis(300);
/// Pause after changes of the servers before the next watch: changes often arrive
/// together, and each watch costs a call.
const GATHER_TIME: Duration = Duration::from_millis(150);
/// The first pause after a failure; it doubles up to the longest one.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause after a failure.
const MAX_PAUSE: Duration = Duration::from_millis(500);
/// Interval at which an instance without the assignment to watch checks whether it has
/// it.
const ASSIGNMENT_INTERVAL: Duration = Duration::from_millis(100);
/// The same interval before the first objects of the kind arrive.
const FIRST_ASSIGNMENT_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of the probes that check whether the store still answers. Interval and time limit of
/// a probe together take half of the time bound of a change; the other half is left for the
/// instances that take over the assignment.
const PROBE_INTERVAL: Duration = Duration::from_millis(600);
/// Time limit of a probe: a slow store takes a quarter of a second.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after the start in which routes and servers are requested from other instances
/// only, not from the store: a few round trips. It is short because callers wait and all
/// instances may have been restarted at once.
const PEERS_FIRST_TIME: Duration = Duration::from_millis(120);

/// Returns the name of a kind in the store.
const fn name(kind: Kind) -> &'static str {
    match kind {
        Kind::Routes => CONFIG,
        Kind::Servers => SERVERS,
        Kind::Instances => instances::KIND,
    }
}

/// `ReadResult` is the result of a call to the store.
enum ReadResult {
    /// All objects of the kind.
    All(Listing),
    /// The changes after a version.
    Changes(Watched),
    /// The store has dropped the history: all objects have to be read.
    Lost,
    /// Nothing, as this instance no longer has the assignment.
    Unassigned,
}

/// `Watched` holds the changes of a kind between two versions of the store.
struct Watched {
    changes: Vec<Change>,
    after: u64,
    version: u64,
    /// Whether an earlier watch gave no answer, so that others may wait in vain, too.
    is_late: bool,
}

/// `Interruption` says why a watch is given up.
enum Interruption {
    /// The store no longer answers this instance.
    Unresponsive(Error),
    /// There are changes that the watch has not returned.
    Overtaken,
    /// Other instances have the assignment now.
    Unassigned,
    /// The store was restored from a snapshot.
    Restored,
}

/// Reads one kind from the store whenever this instance has that assignment, until the
/// task is ended.
pub async fn follow(gateway: Arc<Gateway>, kind: Kind) {
    let started = Instant::now();
    let mut pause = MIN_PAUSE;
    let mut is_history_lost = false;
    let mut is_unavailable = false;
    loop {
        let version = gateway.store_cache.version(kind);
        if !has_assignment(&gateway, kind, version, started) {
            gateway.store_cache.set_served(kind, false);
            is_unavailable = false;
            sleep(match version {
                0 => FIRST_ASSIGNMENT_INTERVAL,
                _ => ASSIGNMENT_INTERVAL,
            })
            .await;
            continue;
        }
        let applied = match gateway.store_cache.next(kind) {
            Next::Watch(version) if !is_history_lost => Some(version),
            Next::Watch(_) | Next::List => None,
        };
        let result = read_next(&gateway, kind, applied, is_unavailable).await;
        merge::observe_era(&gateway, gateway.store.era());
        match result {
            Ok(result) => {
                gateway.store_cache.set_served(kind, true);
                if is_unavailable {
                    is_unavailable = false;
                    info!(gateway.log, "store regained"; "kind" => name(kind), "version" => version);
                    on_store_regained(&gateway);
                }
                is_history_lost = matches!(result, ReadResult::Lost);
                pause = MIN_PAUSE;
                apply(&gateway, kind, result).await;
            }
            Err(e) => {
                gateway.store_cache.set_served(kind, false);
                if !is_unavailable {
                    is_unavailable = true;
                    warn!(gateway.log, "store lost"; "kind" => name(kind),
                        "code" => e.code().number(), "error" => %e, "version" => version);
                    gateway.directory.write().mark_store_lost();
                }
                let jitter = 0.75 + rand::random::<f64>() / 2.0;
                sleep(pause.mul_f64(jitter)).await;
                pause = (pause * 2).min(MAX_PAUSE);
            }
        }
    }
}

/// Whether this instance reads a kind from the store now: it has the assignment, or it has not
/// received any object of the kind.
fn has_assignment(gateway: &Gateway, kind: Kind, version: u64, started: Instant) -> bool {
    if version == 0 {
        return kind == Kind::Instances || started.elapsed() >= PEERS_FIRST_TIME;
    }
    is_assigned(gateway, kind)
}

/// Whether this instance is one of those that watch a kind.
fn is_assigned(gateway: &Gateway, kind: Kind) -> bool {
    let now = gateway.now();
    gateway.peers.watches(now, kind) || gateway.peers.has_short_watches(now)
}

/// Handles the recovery of the store. If the store has served other instances meanwhile,
/// there was no outage: entries that are missing now were removed and won't reappear.
fn on_store_regained(gateway: &Gateway) {
    let now = gateway.now();
    let mut directory = gateway.directory.write();
    match gateway.store_cache.others_are_served(now) {
        true => directory.mark_store_reconnected(),
        false => directory.mark_store_regained(now),
    }
}

/// Reads all objects, or waits for the next changes after `version`. While the store is
/// unavailable it does not wait, so that the recovery shows at once.
async fn read_next(
    gateway: &Gateway,
    kind: Kind,
    version: Option<ObjectVersion>,
    is_unavailable: bool,
) -> Result<ReadResult> {
    let Some(version) = version else {
        return Ok(ReadResult::All(list(gateway, kind).await?));
    };
    if is_unavailable {
        return read_newer(gateway, kind, version, false).await;
    }
    let is_short = gateway.peers.has_short_watches(gateway.now());
    let (wait, grace) = wait_and_grace(gateway, kind, is_short);
    let watch = gateway.store.watch(name(kind), version, wait, grace);
    let watched = tokio::select! {
        watched = watch => watched,
        interruption = interrupt(gateway, kind, version, is_short) => match interruption {
            Interruption::Unresponsive(e) => return Err(e),
            Interruption::Unassigned => return Ok(ReadResult::Unassigned),
            Interruption::Restored => return Ok(ReadResult::Lost),
            Interruption::Overtaken => Err(Error::platform_unavailable("the watch is stuck")),
        },
    };
    match watched {
        Ok(outcome) => Ok(read_result(gateway, kind, version, outcome, false)),
        Err(e) => {
            if let Some(left_out) = gateway.lines.take(gateway.now(), "watch_replaced") {
                info!(gateway.log, "watch replaced"; "kind" => name(kind), "version" => version.0,
                    "error" => %e, "left_out" => left_out);
            }
            gateway.counters.add("watches_replaced");
            // Other connections to the store may be affected, too.
            gateway.store.close_idle();
            let version = ObjectVersion(gateway.store_cache.version(kind));
            read_newer(gateway, kind, version, true).await
        }
    }
}

/// Reads all objects of a kind that are of use.
async fn list(gateway: &Gateway, kind: Kind) -> Result<Listing> {
    let mut listing = gateway.store.list(name(kind), false).await?;
    if listing.has_gaps
        && let Some(left_out) = gateway.lines.take(gateway.now(), "list_gaps")
    {
        warn!(gateway.log, "list has gaps"; "kind" => name(kind),
            "version" => listing.version.0, "left_out" => left_out);
    }
    listing
        .objects
        .retain(|object| merge::is_used(kind, object));
    Ok(listing)
}

/// Returns how long a watch waits, and how much later its answer may arrive.
fn wait_and_grace(gateway: &Gateway, kind: Kind, is_short: bool) -> (Duration, Duration) {
    let bound = match kind {
        Kind::Routes => gateway.settings.bounds.apply,
        Kind::Servers => gateway.settings.bounds.drain,
        Kind::Instances => return (INSTANCES_WAIT, WATCH_GRACE),
    };
    match is_short {
        true => (
            bound.mul_f64(SHORT_WAIT_SHARE),
            bound.mul_f64(SHORT_GRACE_SHARE),
        ),
        false => (WATCH_WAIT, WATCH_GRACE),
    }
}

/// Reads the changes after `version` without waiting for more. Of the routes only the newest
/// version matters, so the versions before it are not read.
async fn read_newer(
    gateway: &Gateway,
    kind: Kind,
    version: ObjectVersion,
    is_late: bool,
) -> Result<ReadResult> {
    if kind == Kind::Routes {
        let listing = list(gateway, kind).await?;
        if listing.version.era() != version.era() {
            return Ok(ReadResult::All(listing));
        }
        let newer = listing.objects.into_iter();
        let newer = newer.filter(|object| object.version > version);
        let changes = newer.map(|object| Change {
            object,
            is_removed: false,
        });
        return Ok(ReadResult::Changes(Watched {
            changes: changes.collect(),
            after: 0,
            version: listing.version.0,
            is_late,
        }));
    }
    let store = &gateway.store;
    let outcome = store.watch(name(kind), version, Duration::ZERO, WATCH_GRACE);
    Ok(read_result(gateway, kind, version, outcome.await?, is_late))
}

fn read_result(
    gateway: &Gateway,
    kind: Kind,
    after: ObjectVersion,
    outcome: WatchOutcome,
    is_late: bool,
) -> ReadResult {
    match outcome {
        WatchOutcome::Lost => {
            info!(gateway.log, "history lost"; "kind" => name(kind), "version" => after.0);
            ReadResult::Lost
        }
        WatchOutcome::Changes(changes, version) => {
            let mut changes = latest(changes);
            // Their names stay, as they may be those of objects that were of use.
            for change in &mut changes {
                if !change.is_removed && !merge::is_used(kind, &change.object) {
                    change.object.clear();
                }
            }
            ReadResult::Changes(Watched {
                changes,
                after: after.0,
                version: version.0,
                is_late,
            })
        }
    }
}

/// Returns the last change of each object: a message to other instances has a size limit, and
/// earlier versions of the routes may be large.
fn latest(changes: Vec<Change>) -> Vec<Change> {
    let mut seen: SeededHashMap<String, ()> = SeededHashMap::default();
    let newest_first = changes.into_iter().rev();
    let mut latest: Vec<Change> = newest_first
        .filter(|c| seen.insert(c.object.name.clone(), ()).is_none())
        .collect();
    latest.reverse();
    latest
}

/// Returns why a watch from `version` is to be given up, once there is a reason.
async fn interrupt(
    gateway: &Gateway,
    kind: Kind,
    version: ObjectVersion,
    is_short: bool,
) -> Interruption {
    let mut probe_at = Instant::now() + PROBE_INTERVAL;
    let mut was_overtaken = false;
    loop {
        tokio::select! {
            () = sleep(COMPARE_INTERVAL) => {}
            () = gateway.restored.notified() => {}
        }
        // A watch of the older era would wait for the revision that the store has lost.
        if gateway.store.era() != version.era() {
            return Interruption::Restored;
        }
        // The answer of the watch may be on its way.
        let is_overtaken = gateway.store_cache.changed(kind) > version.0;
        if !is_assigned(gateway, kind) {
            return Interruption::Unassigned;
        }
        if is_overtaken && was_overtaken {
            return Interruption::Overtaken;
        }
        was_overtaken = is_overtaken;
        // Changes of the routes have a time bound, so a long watch that is stuck must not keep this
        // instance from giving up the assignment.
        if kind == Kind::Routes && !is_short && Instant::now() >= probe_at {
            match gateway.store.probe(PROBE_TIMEOUT).await {
                Ok(Some(changed)) if changed.0 > gateway.store_cache.version(kind) => {
                    return Interruption::Overtaken;
                }
                Ok(_) => probe_at = Instant::now() + PROBE_INTERVAL,
                Err(e) => return Interruption::Unresponsive(e),
            }
        }
    }
}

/// Applies what was read from the store and pushes changes to the other instances.
async fn apply(gateway: &Arc<Gateway>, kind: Kind, result: ReadResult) {
    match result {
        ReadResult::Lost | ReadResult::Unassigned => {}
        ReadResult::All(listing) => {
            let before = gateway.store_cache.version(kind);
            apply_all(gateway, kind, listing.version.0, &listing.objects);
            if before > 0 && ObjectVersion(before).era() < listing.version.era() {
                updates::push_restored(gateway, kind, listing.version);
            }
        }
        ReadResult::Changes(watched) => {
            let Watched {
                changes,
                after,
                version,
                is_late,
            } = watched;
            let is_applied = apply_changes(gateway, kind, version, &changes);
            if changes.is_empty() || (is_late && !is_applied) {
                return;
            }
            let mut receivers = gateway.peers.same_data_centre();
            if is_late {
                receivers.extend(gateway.peers.remote_watchers(gateway.now(), kind));
            }
            updates::push(gateway, receivers, kind, after, version, &changes);
            if kind == Kind::Servers {
                sleep(GATHER_TIME).await;
            }
        }
    }
}

/// Removes expired entries, decides waiting queue entries and logs the state, at
/// intervals.
pub async fn maintain(gateway: Arc<Gateway>) {
    let mut rounds: u32 = 0;
    loop {
        rounds = rounds.wrapping_add(1);
        if rounds.is_multiple_of(STATE_LOG_ROUNDS) {
            gateway.queue_owners.log_state(&gateway);
        }
        sleep(MAINTENANCE_INTERVAL).await;
        let now = gateway.now();
        gateway.peers.expire(now);
        if gateway.directory.write().expire(now) {
            refresh_queue_owners(&gateway);
        }
        gateway.queue_owners.poll(now);
        gateway.queue_owners.log_load(&gateway, now);
        for (service, has_path) in gateway.queue_owners.path_changes(&gateway, now) {
            info!(gateway.log, "whole path gained or lost"; "service" => &*service, "there" => has_path);
        }
    }
}

/// Rounds between two log lines on the state of the queue owners: one line in two
/// seconds.
const STATE_LOG_ROUNDS: u32 = 40;
/// Interval at which deadlines are checked.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(50);
