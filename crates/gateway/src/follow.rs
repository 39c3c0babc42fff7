//! Watches the store for routes, backend servers and instances, where this instance has
//! that duty. The others hear from those that have it; see [`crate::news`].
//!
//! One watch for each kind. After a failure the watch goes on where it was; only when
//! the store has dropped that history is everything read again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::info;
use slog::warn;
use tokio::time::Instant;
use tokio::time::sleep;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::servers::BackendServer;
use hemlockwind_core::servers::ServerState;
use hemlockwind_platform::manifest;
use hemlockwind_platform::servers;
use hemlockwind_platform::store::CONFIG;
use hemlockwind_platform::store::Change;
use hemlockwind_platform::store::Listing;
use hemlockwind_platform::store::Object;
use hemlockwind_platform::store::SERVERS;
use hemlockwind_platform::store::Watched;
use hemlockwind_protocol::peer::store::Kind;

use crate::gateway::Fault;
use crate::gateway::Gateway;
use crate::instances;
use crate::news;

/// Time that a watch waits for a change. A waiting watch costs one call.
/// A store that fell silent answers none, so this also bounds how late its return is seen.
const WATCH_WAIT: Duration = Duration::from_secs(5);
/// The same for the instances, of which no request depends on fresh news.
const INSTANCES_WAIT: Duration = Duration::from_secs(20);
/// Time after changes of the servers in which further ones are gathered: many come
/// together, and each watch costs a call.
const GATHER_TIME: Duration = Duration::from_millis(150);
/// The first pause after a failure, and the longest; each is twice the one before.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// Time between two looks whether this instance has the duty to watch, and before anything
/// is known.
const DUTY_INTERVAL: Duration = Duration::from_millis(100);
const FIRST_DUTY_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two probes whether the store still answers, and the time that one may take:
/// a slow store takes a quarter of a second. Together they leave half of the bound of a
/// change to those that take the duty over.
const PROBE_INTERVAL: Duration = Duration::from_millis(600);
const PROBE_TIME: Duration = Duration::from_millis(400);
/// Time after the start in which other instances are asked for a kind before the store is:
/// a few round trips. All instances may have been restarted at once, and callers wait.
const START_TIME: Duration = Duration::from_millis(120);

/// The name of a kind in the store.
const fn name(kind: Kind) -> &'static str {
    match kind {
        Kind::Routes => CONFIG,
        Kind::Servers => SERVERS,
        Kind::Instances => instances::KIND,
    }
}

/// What a call to the store has brought.
enum Step {
    /// Everything of the kind.
    All(Listing),
    /// The changes after the version that was known, up to another.
    Changes(Vec<Change>, u64),
    /// The history is lost: everything has to be read.
    Lost,
}

/// Follows one kind until the task is ended.
pub async fn follow(gateway: Arc<Gateway>, kind: Kind) {
    let started = Instant::now();
    let mut pause = FIRST_PAUSE;
    let mut is_lost = false;
    let mut is_away = false;
    loop {
        let version = gateway.known.version(kind);
        if !has_duty(&gateway, kind, version, started) {
            gateway.known.set_served(kind, false);
            is_away = false;
            sleep(match version {
                0 => FIRST_DUTY_INTERVAL,
                _ => DUTY_INTERVAL,
            })
            .await;
            continue;
        }
        let known = (version > 0 && !is_lost).then_some(version);
        match step(&gateway, kind, known).await {
            Ok(step) => {
                gateway.known.set_served(kind, true);
                if is_away {
                    is_away = false;
                    info!(gateway.log, "store regained"; "kind" => name(kind), "version" => version);
                    regained(&gateway);
                }
                is_lost = matches!(step, Step::Lost);
                pause = FIRST_PAUSE;
                take(&gateway, kind, version, step).await;
            }
            Err(e) => {
                gateway.known.set_served(kind, false);
                if !is_away {
                    is_away = true;
                    warn!(gateway.log, "store lost"; "kind" => name(kind),
                        "code" => e.code().number(), "error" => %e, "version" => version);
                    gateway.directory.write().lost();
                }
                let jitter = 0.75 + rand::random::<f64>() / 2.0;
                sleep(pause.mul_f64(jitter)).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// Whether this instance reads a kind from the store now: as one of those that watch it,
/// or since nobody has told it anything of the kind.
fn has_duty(gateway: &Gateway, kind: Kind, version: u64, started: Instant) -> bool {
    if version == 0 {
        return kind == Kind::Instances || started.elapsed() >= START_TIME;
    }
    gateway.peers.watches(gateway.now(), kind)
}

/// The store answers again. Where it has served others all the while it was not away, so
/// that entries which are missing now are gone.
fn regained(gateway: &Gateway) {
    let now = gateway.now();
    let mut directory = gateway.directory.write();
    match gateway.known.others_are_served(now) {
        true => directory.found(),
        false => directory.regained(now),
    }
}

/// Reads everything, or waits for the next changes after `version`.
async fn step(gateway: &Gateway, kind: Kind, version: Option<u64>) -> Result<Step> {
    let Some(version) = version else {
        return Ok(Step::All(gateway.store.list(name(kind), false).await?));
    };
    let wait = match kind {
        Kind::Routes | Kind::Servers => WATCH_WAIT,
        Kind::Instances => INSTANCES_WAIT,
    };
    let watch = gateway.store.watch(name(kind), version, wait);
    let watched = match kind {
        // What changes here has a bound in time, so a watch that fell silent must not keep
        // this instance from giving the duty up.
        Kind::Routes => tokio::select! {
            watched = watch => watched?,
            e = silence(gateway) => return Err(e),
        },
        Kind::Servers | Kind::Instances => watch.await?,
    };
    match watched {
        Watched::Lost => {
            info!(gateway.log, "history lost"; "kind" => name(kind), "version" => version);
            Ok(Step::Lost)
        }
        Watched::Changes(changes, next) => Ok(Step::Changes(changes, next)),
    }
}

/// Ends when the store has fallen silent to this instance.
async fn silence(gateway: &Gateway) -> Error {
    loop {
        sleep(PROBE_INTERVAL).await;
        if let Err(e) = gateway.store.probe(PROBE_TIME).await {
            return e;
        }
    }
}

/// Takes what the store said, and tells the others.
async fn take(gateway: &Arc<Gateway>, kind: Kind, after: u64, step: Step) {
    match step {
        Step::Lost => {}
        Step::All(listing) => take_all(gateway, kind, listing.version, &listing.objects),
        Step::Changes(changes, version) => {
            let has_changes = !changes.is_empty();
            take_changes(gateway, kind, version, &changes);
            if has_changes {
                news::tell(gateway, kind, after, version, &changes);
                if kind == Kind::Servers {
                    sleep(GATHER_TIME).await;
                }
            }
        }
    }
}

/// Takes all changes of a kind up to `version`; nothing when that is known already.
pub fn take_changes(gateway: &Arc<Gateway>, kind: Kind, version: u64, changes: &[Change]) {
    if version <= gateway.known.version(kind) {
        return;
    }
    for change in changes {
        gateway
            .known
            .change(kind, &change.object, change.is_removed);
        match kind {
            Kind::Routes => take_routes(gateway, &change.object),
            Kind::Servers => take_server(gateway, change),
            Kind::Instances => take_instance(gateway, change),
        }
    }
    gateway.known.reached(kind, version, !changes.is_empty());
    if !changes.is_empty() {
        changed(gateway);
    }
}

/// Takes all objects of a kind, as of a version of the store; nothing when a later one is
/// known.
pub fn take_all(gateway: &Arc<Gateway>, kind: Kind, version: u64, objects: &[Object]) {
    if version < gateway.known.version(kind) {
        return;
    }
    match kind {
        Kind::Routes => {
            for object in objects {
                take_routes(gateway, object);
            }
        }
        Kind::Servers => take_servers(gateway, objects),
        Kind::Instances => {
            let listed = objects.iter().filter_map(instances::parse);
            gateway.peers.replace(listed.collect());
        }
    }
    gateway.known.replace(kind, version, objects);
    changed(gateway);
}

/// Takes the whole list of servers.
fn take_servers(gateway: &Gateway, objects: &[Object]) {
    let now = gateway.now();
    let listed: Vec<BackendServer> = objects.iter().filter_map(servers::parse).collect();
    let left: Vec<SocketAddr> = {
        let directory = gateway.directory.read();
        let leaves = |s: &BackendServer| {
            let now = listed.iter().find(|l| l.id == s.id);
            now.is_none_or(|l| l.state == ServerState::Leaving)
        };
        let ready = directory.iter().filter(|s| s.state == ServerState::Ready);
        ready.filter(|s| leaves(s)).map(|s| s.addr).collect()
    };
    gateway.directory.write().replace(now, listed);
    for addr in left {
        // Nobody listens when no stream runs.
        let _ = gateway.faults.send(Fault::Leaving(addr));
    }
}

/// Takes one change of the list of instances.
fn take_instance(gateway: &Gateway, change: &Change) {
    info!(gateway.log, "instance"; "name" => &change.object.name,
        "removed" => change.is_removed, "object_version" => change.object.version.0);
    if change.is_removed {
        gateway.peers.remove(&change.object.name);
    } else if let Some(instance) = instances::parse(&change.object) {
        gateway.peers.put(instance);
    }
}

/// Puts a newer version of the routes in force.
fn take_routes(gateway: &Gateway, object: &Object) {
    if object.name != manifest::NAME {
        return;
    }
    let routes = match manifest::parse(object.content.get()) {
        Ok(routes) => routes,
        Err(e) => {
            warn!(gateway.log, "routes can't be read"; "object_version" => object.version.0,
                "code" => e.code().number(), "error" => %e);
            return;
        }
    };
    let known = gateway.routes.load().version;
    if routes.version <= known {
        return;
    }
    info!(gateway.log, "routes in force"; "version" => routes.version, "before" => known,
        "routes" => routes.len(), "object_version" => object.version.0);
    gateway.routes.store(Arc::new(routes));
}

/// Takes one change of the list of servers.
fn take_server(gateway: &Gateway, change: &Change) {
    let now = gateway.now();
    let mut directory = gateway.directory.write();
    let before = directory.get(&change.object.name).cloned();
    let after = servers::parse(&change.object).filter(|_| !change.is_removed);
    let leaves = match (&before, &after) {
        (Some(before), Some(after)) => {
            before.state == ServerState::Ready && after.state == ServerState::Leaving
        }
        (Some(_), None) => true,
        (None, _) => false,
    };
    if let Some(left_out) = gateway.lines.take(now, "server") {
        info!(gateway.log, "server"; "server" => &change.object.name,
            "removed" => change.is_removed, "readable" => after.is_some(),
            "state" => after.as_ref().map(|s| format!("{:?}", s.state)),
            "layers" => after.as_ref().and_then(|s| s.layers).map(|l| l.to_string()),
            "data_centre" => after.as_ref().map(|s| s.data_centre.to_string()),
            "card" => after.as_ref().and_then(|s| s.card.as_ref()).map(|c| c.to_string()),
            "addr" => after.as_ref().map(|s| s.addr.to_string()),
            "object_version" => change.object.version.0, "left_out" => left_out);
    }
    match after {
        Some(server) => directory.put(server),
        None => directory.remove(now, &change.object.name),
    }
    if let (true, Some(before)) = (leaves, before) {
        // Nobody listens when no stream runs.
        let _ = gateway.faults.send(Fault::Leaving(before.addr));
    }
}

/// Tells the homes and everyone else who waits for news.
pub fn changed(gateway: &Gateway) {
    let routes = gateway.routes.load();
    gateway.homes.update(&routes, &gateway.directory.read());
    gateway.homes.poll(gateway.now());
    gateway.changed.notify_waiters();
}

/// Forgets entries that did not come back, and looks after what waits.
pub async fn tend(gateway: Arc<Gateway>) {
    let mut rounds: u32 = 0;
    loop {
        rounds = rounds.wrapping_add(1);
        if rounds.is_multiple_of(STATE_ROUNDS) {
            gateway.homes.log_state(&gateway);
        }
        sleep(TEND_INTERVAL).await;
        let now = gateway.now();
        if gateway.directory.write().expire(now) {
            changed(&gateway);
        }
        gateway.homes.poll(now);
        for (service, has_path) in gateway.homes.turns(&gateway, now) {
            info!(gateway.log, "whole path"; "service" => &*service, "there" => has_path);
        }
    }
}

/// Looks between two log lines on the state of the homes: one line in two seconds.
const STATE_ROUNDS: u32 = 40;
/// Time between two looks at deadlines.
const TEND_INTERVAL: Duration = Duration::from_millis(50);
