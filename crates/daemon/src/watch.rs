//! News of backend servers: their own load reports and the platform's list.

use std::sync::Arc;
use std::time::Duration;

use slog::info;

use hemlockwind_core::config::Role;
use hemlockwind_core::edges::ListKind;
use hemlockwind_core::edges::ListState;
use hemlockwind_core::edges::Listed;
use hemlockwind_core::names::BackendServerKey;
use hemlockwind_limits::doubt;
use hemlockwind_membership::Duty;
use hemlockwind_membership::Event;

use crate::fleet::Place;
use crate::health;
use crate::instance::Instance;
use crate::members;

/// Time between two reports of one engine.
const LOAD_INTERVAL: Duration = Duration::from_millis(1_000);
/// Instances of a data centre that ask an engine for its load; they tell the
/// others when it is leaving.
const LOAD_WATCHERS: usize = 2;
/// Time between two readings of the platform's list.
const LIST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Instances of a data centre that read the platform's list.
const LIST_READERS: usize = 2;

/// Asks the engines that this instance watches for their load, again and again.
pub async fn loads(instance: Arc<Instance>) {
    loop {
        instance.fleet.expire(instance.edges.clock.now());
        let watched = watched(&instance);
        // Spread over the interval, so that no burst of calls comes about.
        let pause = LOAD_INTERVAL / u32::try_from(watched.len().max(1)).unwrap_or(u32::MAX);
        for (server, place) in &watched {
            let asking = Arc::clone(&instance);
            let (server, place) = (*server, *place);
            tokio::spawn(async move { load(&asking, server, place).await });
            tokio::time::sleep(pause).await;
        }
        if watched.is_empty() {
            tokio::time::sleep(LOAD_INTERVAL).await;
        }
    }
}

/// The engines of the own data centre that this instance has the duty to watch.
fn watched(instance: &Instance) -> Vec<(BackendServerKey, Place)> {
    let places = instance.fleet.places();
    let near = places.iter().filter(|(key, place)| {
        let is_engine = matches!(place.role, Role::Engine { .. });
        is_engine && place.data_centre == instance.data_centre && has_duty(instance, **key)
    });
    near.map(|(&key, &place)| (key, place)).collect()
}

/// Whether this instance is one of those that ask an engine for its load.
fn has_duty(instance: &Instance, server: BackendServerKey) -> bool {
    let name = instance.directory.read().backend_servers.name(server);
    let duty = Duty::Load(&name);
    let duties = &instance.duties;
    duties.holds(duty, instance.data_centre, LOAD_WATCHERS)
}

/// Takes one engine's report.
async fn load(instance: &Arc<Instance>, server: BackendServerKey, place: Place) {
    let report = instance.edges.engine.load(place.addr, false).await;
    let now = instance.edges.clock.now();
    match report {
        Ok(report) => {
            instance.fleet.reported(server, now, report);
            if report.leaving {
                leave(instance, server, "its load report");
            }
        }
        // A probe over a new connection judges, not one lost report.
        Err(_) => health::on_doubt(instance, server, doubt::Event::StepTimedOut),
    }
}

/// Reads the platform's list, again and again, while that is this instance's duty
/// or it has just started. The others hear of leaving servers from those that do.
pub async fn list(instance: Arc<Instance>) {
    let mut is_new = true;
    loop {
        let has_duty = instance
            .duties
            .holds(Duty::List, instance.data_centre, LIST_READERS);
        // In an outage the other sources go on.
        if (is_new || has_duty)
            && let Ok(list) = instance.edges.platform.instances().await
        {
            is_new = false;
            take_list(&instance, list);
        }
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}

fn take_list(instance: &Arc<Instance>, list: Vec<Listed>) {
    for listed in &list {
        let is_leaving = match listed.kind {
            ListKind::BackendServer => listed.state == ListState::Leaving,
            ListKind::Instance => false,
        };
        let key = instance.directory.read().backend_servers.key(&listed.name);
        if let Some(key) = key.filter(|_| is_leaving) {
            leave(instance, key, "the platform's list");
        }
    }
    members::on_event(instance, Event::List(list));
}

/// Notes that a server is leaving, and lets the others know.
pub fn leave(instance: &Arc<Instance>, server: BackendServerKey, source: &str) {
    let name = instance.directory.read().backend_servers.name(server);
    note(instance, server, source);
    let event = Event::Observed {
        backend_server: name,
        leaving: true,
    };
    members::on_event(instance, event);
}

/// Notes that a server is leaving.
pub fn note(instance: &Instance, server: BackendServerKey, source: &str) {
    if instance.fleet.leave(server, instance.edges.clock.now()) {
        let name = instance.directory.read().backend_servers.name(server);
        info!(instance.log, "a backend server is leaving"; "backend_server" => &*name, "source" => source);
    }
}
