//! Hears of routes and backend servers from the store.
//!
//! One watch for each kind. After a failure the watch goes on where it was; only when
//! the store has dropped that history is everything read again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::info;
use slog::warn;
use tokio::time::sleep;

use hemlockwind_core::Result;
use hemlockwind_core::servers::BackendServer;
use hemlockwind_core::servers::ServerState;
use hemlockwind_platform::manifest;
use hemlockwind_platform::servers;
use hemlockwind_platform::store::CONFIG;
use hemlockwind_platform::store::Change;
use hemlockwind_platform::store::Object;
use hemlockwind_platform::store::SERVERS;
use hemlockwind_platform::store::Watched;
use hemlockwind_protocol::peer::Reply;
use hemlockwind_protocol::peer::Request;
use hemlockwind_protocol::peer::store;
use hemlockwind_protocol::peer::store::Kind;

use crate::gateway::Fault;
use crate::gateway::Gateway;

/// Time that a watch waits for a change. A waiting watch costs one call.
/// A store that fell silent answers none, so this also bounds how late its return is seen.
const WATCH_WAIT: Duration = Duration::from_secs(5);
/// Time after changes of the servers in which further ones are gathered: many come
/// together, and each watch costs a call.
const GATHER_TIME: Duration = Duration::from_millis(150);
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
                gateway.known.set_served(kind, true);
                if is_away {
                    is_away = false;
                    info!(gateway.log, "store regained"; "kind" => name(kind), "version" => next);
                    gateway.directory.write().regained(gateway.now());
                }
                version = next;
                pause = FIRST_PAUSE;
            }
            Err(e) => {
                gateway.known.set_served(kind, false);
                if !is_away {
                    is_away = true;
                    warn!(gateway.log, "store lost"; "kind" => name(kind),
                        "code" => e.code().number(), "error" => %e, "version" => version);
                    gateway.directory.write().lost();
                }
                if let Some(next) = ask_peer(&gateway, kind, version).await {
                    version = Some(next);
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
        take_all(gateway, kind, listing.version, &listing.objects);
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
                if kind == Kind::Servers {
                    sleep(GATHER_TIME).await;
                }
            }
            gateway.known.reached(kind, next, !changes.is_empty());
            Ok(Some(next))
        }
    }
}

/// Takes all objects of a kind, as of a version of the store.
fn take_all(gateway: &Arc<Gateway>, kind: Kind, version: u64, objects: &[Object]) {
    let now = gateway.now();
    match kind {
        Kind::Routes => {
            for object in objects {
                take_routes(gateway, object);
            }
        }
        Kind::Servers => {
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
    }
    gateway.known.replace(kind, version, objects);
    changed(gateway);
}

/// Asks another instance for what is newer than `version`, while the store does not
/// serve this one. Returns the version as of which it answered.
async fn ask_peer(gateway: &Arc<Gateway>, kind: Kind, version: Option<u64>) -> Option<u64> {
    let peer = gateway.peers.any()?;
    let message = store::Message {
        kind,
        version: version.unwrap_or_default(),
    };
    // The next round asks another one.
    let reply = gateway
        .peers
        .call(&peer, Request::Store(message))
        .await
        .ok()?;
    let Reply::Store(answer) = reply else {
        return None;
    };
    let heard = |is_served: bool| {
        if is_served {
            gateway.known.other_is_served(gateway.now());
        }
    };
    match answer {
        store::Answer::Same { is_served } => {
            heard(is_served);
            None
        }
        store::Answer::Newer {
            version,
            is_served,
            objects,
        } => {
            heard(is_served);
            let objects = objects
                .into_iter()
                .filter_map(|(name, content)| Object::new(name, content));
            let objects: Vec<Object> = objects.collect();
            info!(gateway.log, "heard from another instance"; "kind" => name(kind),
                "instance" => &*peer.name, "version" => version, "is_served" => is_served);
            take_all(gateway, kind, version, &objects);
            Some(version)
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
        for (service, has_path) in gateway.homes.turns(now) {
            info!(gateway.log, "whole path"; "service" => &*service, "there" => has_path);
        }
    }
}

/// Looks between two log lines on the state of the homes: one line in two seconds.
const STATE_ROUNDS: u32 = 40;
/// Time between two looks at deadlines.
const TEND_INTERVAL: Duration = Duration::from_millis(50);
