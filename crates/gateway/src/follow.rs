//! Hears of routes and backend servers from the store.
//!
//! One watch for each kind. After a failure the watch goes on where it was; only when
//! the store has dropped that history is everything read again.

use std::sync::Arc;
use std::time::Duration;

use slog::info;
use slog::warn;
use tokio::time::sleep;

use hemlockwind_core::Result;
use hemlockwind_core::servers::ServerState;
use hemlockwind_platform::manifest;
use hemlockwind_platform::servers;
use hemlockwind_platform::store::CONFIG;
use hemlockwind_platform::store::Change;
use hemlockwind_platform::store::Object;
use hemlockwind_platform::store::SERVERS;
use hemlockwind_platform::store::Watched;
use hemlockwind_protocol::peer::store::Kind;

use crate::gateway::Fault;
use crate::gateway::Gateway;

/// Time that a watch waits for a change. A waiting watch costs one call.
const WATCH_WAIT: Duration = Duration::from_secs(15);
/// The first pause after a failure, and the longest; each is twice the one before.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// The name of a kind in the store.
const fn name(kind: Kind) -> &'static str {
    match kind {
        Kind::Routes => CONFIG,
        Kind::Servers => SERVERS,
    }
}

/// Follows one kind until the task is ended.
pub async fn follow(gateway: Arc<Gateway>, kind: Kind) {
    let mut version = None;
    let mut pause = FIRST_PAUSE;
    let mut is_away = false;
    loop {
        match step(&gateway, kind, version).await {
            Ok(next) => {
                if is_away {
                    is_away = false;
                    info!(gateway.log, "store regained"; "kind" => name(kind), "version" => next);
                    gateway.directory.write().regained(gateway.now());
                }
                version = next;
                pause = FIRST_PAUSE;
            }
            Err(e) => {
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

/// Reads everything, or waits for the next changes after `version`. `None` as the
/// result says that the history is lost.
async fn step(gateway: &Arc<Gateway>, kind: Kind, version: Option<u64>) -> Result<Option<u64>> {
    let Some(version) = version else {
        let listing = gateway.store.list(name(kind), false).await?;
        match kind {
            Kind::Routes => {
                for object in &listing.objects {
                    take_routes(gateway, object);
                }
            }
            Kind::Servers => {
                let listed = listing.objects.iter().filter_map(servers::parse);
                let mut directory = gateway.directory.write();
                directory.replace(gateway.now(), listed.collect());
            }
        }
        gateway
            .known
            .replace(kind, listing.version, &listing.objects);
        changed(gateway);
        return Ok(Some(listing.version));
    };
    match gateway.store.watch(name(kind), version, WATCH_WAIT).await? {
        Watched::Lost => {
            info!(gateway.log, "history lost"; "kind" => name(kind), "version" => version);
            Ok(None)
        }
        Watched::Changes(changes, next) => {
            if !changes.is_empty() {
                for change in &changes {
                    gateway
                        .known
                        .change(kind, &change.object, change.is_removed);
                    match kind {
                        Kind::Routes => take_routes(gateway, &change.object),
                        Kind::Servers => take_server(gateway, change),
                    }
                }
                changed(gateway);
            }
            gateway.known.reached(kind, next);
            Ok(Some(next))
        }
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
    loop {
        sleep(TEND_INTERVAL).await;
        let now = gateway.now();
        if gateway.directory.write().expire(now) {
            changed(&gateway);
        }
        gateway.homes.poll(now);
    }
}

/// Time between two looks at deadlines.
const TEND_INTERVAL: Duration = Duration::from_millis(50);
