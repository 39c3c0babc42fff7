//! Merges changes of the store's objects, whichever way they came, into the cache and puts them in
//! force: routes, backend servers and instances.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use slog::info;
use slog::warn;

use hemlockwind_core::edges::ObjectVersion;
use hemlockwind_core::servers::BackendServer;
use hemlockwind_core::servers::ServerState;
use hemlockwind_platform::manifest;
use hemlockwind_platform::servers;
use hemlockwind_platform::store::Change;
use hemlockwind_platform::store::Object;
use hemlockwind_protocol::peer::store::Kind;

use crate::directory::Directory;
use crate::gateway::EngineFault;
use crate::gateway::Gateway;
use crate::instances;

/// Whether an object of a kind is of use. Other writers may leave objects of any content, which are
/// not cached or sent: a message to other instances has a size limit.
pub fn is_used(kind: Kind, object: &Object) -> bool {
    match kind {
        Kind::Routes => object.name == manifest::NAME,
        Kind::Servers => servers::parse(object).is_some(),
        Kind::Instances => instances::parse(object).is_some(),
    }
}

/// Records that the store or another instance showed an era. After a restore, everything known from
/// the store stays in force until it was read again.
pub fn observe_era(gateway: &Gateway, era: u16) {
    gateway.store.observe_era(era);
    let now = gateway.now();
    gateway.store_cache.observe(now, era, |before| {
        gateway.directory.write().mark_store_restored(now);
        gateway.peers.mark_store_restored();
        gateway.counters.add("store_restored");
        warn!(gateway.log, "store restored"; "era" => era, "era_before" => before,
            "read_again" => "routes, servers, instances");
        gateway.restored.notify_waiters();
    });
}

/// Logs once that all kinds were read again after a restore.
fn log_confirmed(gateway: &Gateway) {
    if let Some(confirmed) = gateway.store_cache.take_confirmed() {
        info!(gateway.log, "store era confirmed"; "era" => confirmed.era,
            "read_again" => "routes, servers, instances",
            "took_ms" => confirmed.took.as_millis() as u64,
            "routes_version" => gateway.routes.load().version);
    }
}

/// Applies all changes of a kind up to `version`, unless that version is cached already. Returns
/// whether they were applied.
pub fn apply_changes(gateway: &Arc<Gateway>, kind: Kind, version: u64, changes: &[Change]) -> bool {
    let put_in_force = || {
        for change in changes {
            match kind {
                Kind::Routes => apply_routes(gateway, &change.object),
                Kind::Servers => apply_server(gateway, change),
                Kind::Instances => apply_instance(gateway, change),
            }
        }
    };
    let cache = &gateway.store_cache;
    observe_era(gateway, ObjectVersion(version).era());
    let is_applied = cache.apply_changes(gateway.now(), kind, version, changes, put_in_force);
    if is_applied && !changes.is_empty() {
        refresh_queue_owners(gateway);
    }
    is_applied
}

/// Applies all objects of a kind as of a version of the store, unless a later one is
/// cached.
pub fn apply_all(gateway: &Arc<Gateway>, kind: Kind, version: u64, objects: &[Object]) {
    let put_in_force = || match kind {
        Kind::Routes => {
            for object in objects {
                apply_routes(gateway, object);
            }
        }
        Kind::Servers => apply_servers(gateway, objects),
        Kind::Instances => {
            let listed = objects.iter().filter_map(instances::parse);
            gateway.peers.replace(gateway.now(), listed.collect());
        }
    };
    let cache = &gateway.store_cache;
    observe_era(gateway, ObjectVersion(version).era());
    if cache.replace(gateway.now(), kind, version, objects, put_in_force) {
        log_confirmed(gateway);
        refresh_queue_owners(gateway);
    } else if kind == Kind::Routes && cache.adopt_manifest(objects, put_in_force) {
        refresh_queue_owners(gateway);
    }
}

/// Replaces the list of servers.
fn apply_servers(gateway: &Gateway, objects: &[Object]) {
    let now = gateway.now();
    let listed: Vec<BackendServer> = objects.iter().filter_map(servers::parse).collect();
    let mut directory = gateway.directory.write();
    let leaving: Vec<Arc<BackendServer>> = {
        let leaves = |s: &BackendServer| {
            let current = listed.iter().find(|l| l.id == s.id);
            current.is_none_or(|l| l.state == ServerState::Leaving)
        };
        let ready = directory.iter().filter(|s| s.state == ServerState::Ready);
        ready.filter(|s| leaves(s)).cloned().collect()
    };
    directory.replace(now, listed);
    for (server, used) in directory.superseded() {
        log_superseded(gateway, server, used);
    }
    for server in leaving.iter().filter(|s| !is_succeeded(&directory, s)) {
        // Sending fails when no stream runs.
        let _ = gateway.faults.send(EngineFault::Leaving(server.addr));
    }
}

/// Whether another server is in use at the address of one that is gone: then the streams there are
/// those of the other one.
fn is_succeeded(directory: &Directory, gone: &BackendServer) -> bool {
    let current = directory.at(gone.addr);
    current.is_some_and(|s| s.id != gone.id && s.state == ServerState::Ready)
}

/// Logs that the entry of a server is not used, as that of `used` names the same address.
fn log_superseded(gateway: &Gateway, server: &BackendServer, used: &BackendServer) {
    gateway.counters.add("server_entries_superseded");
    if let Some(left_out) = gateway.lines.take(gateway.now(), "server_superseded") {
        info!(gateway.log, "server entry not used"; "server" => &*server.id,
            "service" => &*server.service, "born" => server.born_ms, "addr" => %server.addr,
            "used" => &*used.id, "used_service" => &*used.service, "used_born" => used.born_ms,
            "left_out" => left_out);
    }
}

/// Applies one change of the list of instances.
fn apply_instance(gateway: &Gateway, change: &Change) {
    info!(gateway.log, "instance"; "name" => &change.object.name,
        "removed" => change.is_removed, "object_version" => change.object.version.0);
    if change.is_removed {
        gateway.peers.remove(&change.object.name);
    } else if let Some(instance) = instances::parse(&change.object) {
        gateway.peers.put(instance);
    }
}

/// Applies the routes if their version is newer. Only one call runs at a time, as the cache of
/// the routes is locked meanwhile.
fn apply_routes(gateway: &Gateway, object: &Object) {
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
    let applied = gateway.routes.load().version;
    if routes.version <= applied {
        return;
    }
    info!(gateway.log, "routes in force"; "version" => routes.version, "before" => applied,
        "routes" => routes.len(), "object_version" => object.version.0);
    if routes.unusable_organisations > 0 {
        warn!(gateway.log, "organisations left out"; "count" => routes.unusable_organisations,
            "version" => routes.version);
    }
    let services = routes.services().map(|service| &service.name);
    gateway.directory.write().set_services(services);
    gateway.routes.store(Arc::new(routes));
}

/// Applies one change of the list of servers.
fn apply_server(gateway: &Gateway, change: &Change) {
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
        Some(server) => {
            let addr = server.addr;
            directory.put(server);
            for (server, used) in directory.superseded().filter(|(s, _)| s.addr == addr) {
                log_superseded(gateway, server, used);
            }
        }
        None => directory.remove(now, &change.object.name),
    }
    if let (true, Some(before)) = (leaves, before)
        && !is_succeeded(&directory, &before)
    {
        // Sending fails when no stream runs.
        let _ = gateway.faults.send(EngineFault::Leaving(before.addr));
    }
}

/// Updates the queue owners after a change and wakes the tasks that wait for changes.
pub fn refresh_queue_owners(gateway: &Gateway) {
    // Later ones are not in the directory that is read below.
    let has_servers = gateway.store_cache.version(Kind::Servers) > 0;
    let routes = gateway.routes.load();
    gateway
        .queue_owners
        .update(&routes, &gateway.directory.read());
    if has_servers && routes.version > 0 {
        gateway.has_engines.store(true, Ordering::Release);
    }
    gateway.queue_owners.poll(gateway.now());
    gateway.changed.notify_waiters();
}
