//! Polls the load reports of the backend servers and the platform's list.

use std::sync::Arc;
use std::time::Duration;

use slog::info;

use hemlockwind_core::config::Role;
use hemlockwind_core::edges::ListEntry;
use hemlockwind_core::edges::ListKind;
use hemlockwind_core::edges::ListState;
use hemlockwind_core::names::BackendServerKey;
use hemlockwind_limits::failure_detector;
use hemlockwind_membership::Assignment;
use hemlockwind_membership::Event;

use crate::fleet::Endpoint;
use crate::health;
use crate::instance::Instance;
use crate::members;

/// Interval between two load reports of one engine.
const LOAD_INTERVAL: Duration = Duration::from_millis(1_000);
/// Number of instances of a data centre that poll an engine's load. They notify the other
/// instances when the engine is leaving.
const LOAD_WATCHERS: usize = 2;
/// Interval between two reads of the platform's list.
const LIST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Number of instances of a data centre that read the platform's list.
const LIST_READERS: usize = 2;

/// Polls the load of the engines assigned to this instance until the instance ends.
pub async fn poll_loads(instance: Arc<Instance>) {
    loop {
        instance.fleet.expire_leaving(instance.edges.clock.now());
        let assigned_engines = assigned_engines(&instance);
        // The calls are spread over the interval to avoid bursts.
        let pause =
            LOAD_INTERVAL / u32::try_from(assigned_engines.len().max(1)).unwrap_or(u32::MAX);
        for (server, endpoint) in &assigned_engines {
            let cx = Arc::clone(&instance);
            let (server, endpoint) = (*server, *endpoint);
            tokio::spawn(async move { read_load(&cx, server, endpoint).await });
            tokio::time::sleep(pause).await;
        }
        if assigned_engines.is_empty() {
            tokio::time::sleep(LOAD_INTERVAL).await;
        }
    }
}

/// Returns the engines of the local data centre whose load this instance is assigned to
/// poll.
fn assigned_engines(instance: &Instance) -> Vec<(BackendServerKey, Endpoint)> {
    let endpoints = instance.fleet.endpoints();
    let local = endpoints.iter().filter(|(key, endpoint)| {
        let is_engine = matches!(endpoint.role, Role::Engine { .. });
        is_engine && endpoint.data_centre == instance.data_centre && is_assigned(instance, **key)
    });
    local.map(|(&key, &endpoint)| (key, endpoint)).collect()
}

/// Whether this instance is one of those that poll an engine's load.
fn is_assigned(instance: &Instance, server: BackendServerKey) -> bool {
    let name = instance.directory.read().backend_servers.name(server);
    let assignment = Assignment::Load(&name);
    let assignments = &instance.assignments;
    assignments.holds(assignment, instance.data_centre, LOAD_WATCHERS)
}

/// Reads and applies one engine's load report.
async fn read_load(instance: &Arc<Instance>, server: BackendServerKey, endpoint: Endpoint) {
    let report = instance.edges.engine.load(endpoint.addr, false).await;
    let now = instance.edges.clock.now();
    match report {
        Ok(report) => {
            instance.fleet.record_load(server, now, report);
            if report.leaving {
                report_leaving(instance, server, "its load report");
            }
        }
        // A single failed call doesn't prove that the engine is down: a probe over a new
        // connection decides.
        Err(_) => {
            health::on_detector_event(instance, server, failure_detector::Event::StepTimedOut)
        }
    }
}

/// Polls the platform's list while that is assigned to this instance, and once after its
/// start. The instances with the assignment notify the other instances of leaving servers.
pub async fn poll_list(instance: Arc<Instance>) {
    let mut needs_first_read = true;
    loop {
        let is_reader =
            instance
                .assignments
                .holds(Assignment::List, instance.data_centre, LIST_READERS);
        // If the platform is unavailable, load reports and other instances still report
        // leaving servers.
        if (needs_first_read || is_reader)
            && let Ok(list) = instance.edges.platform.instances().await
        {
            needs_first_read = false;
            apply_list(&instance, list);
        }
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}

/// Applies the platform's list to the backend servers and the members.
fn apply_list(instance: &Arc<Instance>, list: Vec<ListEntry>) {
    for listed in &list {
        let is_leaving = match listed.kind {
            ListKind::BackendServer => listed.state == ListState::Leaving,
            ListKind::Instance => false,
        };
        let key = instance.directory.read().backend_servers.key(&listed.name);
        if let Some(key) = key.filter(|_| is_leaving) {
            report_leaving(instance, key, "the platform's list");
        }
    }
    members::on_event(instance, Event::List(list));
}

/// Records that a server is leaving, and notifies the other instances.
pub fn report_leaving(instance: &Arc<Instance>, server: BackendServerKey, source: &str) {
    let name = instance.directory.read().backend_servers.name(server);
    record_leaving(instance, server, source);
    let event = Event::Observed {
        backend_server: name,
        leaving: true,
    };
    members::on_event(instance, event);
}

/// Records that a server is leaving, without notifying the other instances.
pub fn record_leaving(instance: &Instance, server: BackendServerKey, source: &str) {
    if instance
        .fleet
        .mark_leaving(server, instance.edges.clock.now())
    {
        let name = instance.directory.read().backend_servers.name(server);
        info!(instance.log, "a backend server is leaving"; "backend_server" => &*name, "source" => source);
    }
}
