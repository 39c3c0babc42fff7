//! Failure detection and ejection of backend servers.
//!
//! When a step fails or makes no progress, its server is suspected, and a probe over a new
//! connection decides whether it is down. A server that answers probes but fails its steps
//! is ejected for a while. Only a part of the servers that hold the same layers is ejected
//! at a time.

use std::sync::Arc;

use parking_lot::Mutex;
use slog::info;
use tokio::time::sleep;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::config::Role;
use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::names::BackendServerKey;
use hemlockwind_core::names::ModelKey;
use hemlockwind_core::time::Instant;
use hemlockwind_limits::Ejection;
use hemlockwind_limits::FailureDetector;
use hemlockwind_limits::RetryBudget;
use hemlockwind_limits::ejection;
use hemlockwind_limits::ejection::Standing;
use hemlockwind_limits::failure_detector::Action;
use hemlockwind_limits::failure_detector::Event;
use hemlockwind_limits::retry;

use crate::instance::Instance;
use crate::watch;

/// `Health` holds the failure detectors and ejections of the backend servers, and the retry
/// budget.
pub struct Health {
    failure_detectors: Mutex<HashMap<BackendServerKey, FailureDetector>>,
    ejections: Mutex<HashMap<(ModelKey, LayerRange), Ejection>>,
    budget: Mutex<RetryBudget>,
}

impl Health {
    /// Creates a state at `now` in which no server is suspected.
    pub fn new(now: Instant) -> Self {
        Self {
            failure_detectors: Mutex::default(),
            ejections: Mutex::default(),
            budget: Mutex::new(RetryBudget::new(now, retry::Policy::default())),
        }
    }

    /// Whether the budget allows another path for a stream that already had one. Uses up
    /// one retry if it does.
    pub fn may_retry(&self, now: Instant) -> bool {
        self.budget.lock().try_retry(now)
    }
}

/// Records a step that succeeded.
pub fn on_success(instance: &Instance, server: BackendServerKey) {
    let now = instance.edges.clock.now();
    let health = &instance.health;
    health.budget.lock().on_success(now);
    let Some(range) = range(instance, server) else {
        return;
    };
    if let Some(ejection) = health.ejections.lock().get_mut(&range) {
        ejection.on_success(server);
    }
}

/// Records a step that failed or made no progress: suspects its server, and may eject it.
pub fn on_failure(instance: &Arc<Instance>, server: BackendServerKey) {
    on_detector_event(instance, server, Event::StepTimedOut);
    let now = instance.edges.clock.now();
    if let Some(until) = eject(instance, server, now) {
        let name = instance.directory.read().backend_servers.name(server);
        info!(instance.log, "a backend server is ejected"; "backend_server" => &*name, "ms" => until.since(now).as_millis() as u64);
        instance.fleet.set_ejected(server, true);
        let (tasks, instance) = (&instance.tasks, Arc::clone(instance));
        tasks.spawn("end of an ejection", async move {
            sleep(until.since(now)).await;
            readmit(&instance, server);
        });
    }
}

/// Counts a failure. Returns the end of the ejection if the failure led to one.
fn eject(instance: &Instance, server: BackendServerKey, now: Instant) -> Option<Instant> {
    let range = range(instance, server)?;
    let mut ejections = instance.health.ejections.lock();
    let new = || Ejection::new(ejection::Policy::default());
    let ejection = ejections.entry(range).or_insert_with(new);
    for key in instance.fleet.holders(range) {
        ejection.add(key);
    }
    if !ejection.on_failure(now, server) {
        return None;
    }
    match ejection.standing(server) {
        Some(Standing::Ejected { until }) => Some(until),
        Some(Standing::Admitted | Standing::Trial) | None => None,
    }
}

/// Admits a server on trial after its ejection.
fn readmit(instance: &Instance, server: BackendServerKey) {
    let now = instance.edges.clock.now();
    if let Some(range) = range(instance, server)
        && let Some(ejection) = instance.health.ejections.lock().get_mut(&range)
    {
        ejection.begin_trial(now, server);
    }
    instance.fleet.set_ejected(server, false);
}

/// Returns the model and layers that a server holds; `None` unless it is an engine.
fn range(instance: &Instance, server: BackendServerKey) -> Option<(ModelKey, LayerRange)> {
    match instance.fleet.endpoint(server)?.role {
        Role::Engine { model, layers } => Some((model, layers)),
        Role::Service { .. } => None,
    }
}

/// Passes an event to a server's failure detector and performs the resulting actions.
pub fn on_detector_event(instance: &Arc<Instance>, server: BackendServerKey, event: Event) {
    if instance.fleet.endpoint(server).is_none() {
        // The configuration no longer contains the server.
        instance.health.failure_detectors.lock().remove(&server);
        return;
    }
    let now = instance.edges.clock.now();
    let (actions, tick_at) = {
        let mut failure_detectors = instance.health.failure_detectors.lock();
        let failure_detector = failure_detectors.entry(server).or_default();
        let actions = failure_detector.on_event(now, event);
        (actions, failure_detector.next_deadline())
    };
    let changed = !actions.is_empty() || event == Event::Tick;
    for action in actions {
        perform(instance, server, action);
    }
    if changed && tick_at != Instant::NEVER {
        let (tasks, instance) = (&instance.tasks, Arc::clone(instance));
        tasks.spawn("failure detector", async move {
            sleep(tick_at.since(now)).await;
            on_detector_event(&instance, server, Event::Tick);
        });
    }
}

/// Performs one action of a failure detector.
fn perform(instance: &Arc<Instance>, server: BackendServerKey, action: Action) {
    match action {
        Action::Probe { number, .. } => {
            let instance = Arc::clone(instance);
            tokio::spawn(async move { probe(&instance, server, number).await });
        }
        // The probe over a new connection has already closed the old ones.
        Action::Reconnect => {}
        Action::Down => record_down(instance, server, true),
        Action::Up => record_down(instance, server, false),
    }
}

/// Records and logs that a server is down or back.
fn record_down(instance: &Instance, server: BackendServerKey, is_down: bool) {
    let name = instance.directory.read().backend_servers.name(server);
    info!(instance.log, "a backend server was probed"; "backend_server" => &*name, "down" => is_down);
    instance.fleet.set_down(server, is_down);
}

/// Probes a server over a new connection.
async fn probe(instance: &Arc<Instance>, server: BackendServerKey, number: u64) {
    let Some(endpoint) = instance.fleet.endpoint(server) else {
        return;
    };
    let event = match instance.edges.engine.load(endpoint.addr, true).await {
        Ok(load) => {
            if load.leaving {
                watch::report_leaving(instance, server, "its load report");
            }
            Event::Answered(number)
        }
        Err(_) => Event::Failed(number),
    };
    on_detector_event(instance, server, event);
}
