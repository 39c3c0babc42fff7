//! Doubt about backend servers and its verdicts, carried out.
//!
//! A step that fails or makes no progress puts its server in doubt; a probe over a
//! new connection decides whether it is down. A server that answers probes but
//! fails its steps is ejected for a while, never more than a part of those that
//! hold the same layers.

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
use hemlockwind_limits::Doubt;
use hemlockwind_limits::Ejection;
use hemlockwind_limits::RetryBudget;
use hemlockwind_limits::doubt::Action;
use hemlockwind_limits::doubt::Event;
use hemlockwind_limits::ejection;
use hemlockwind_limits::ejection::Standing;
use hemlockwind_limits::retry;

use crate::instance::Instance;
use crate::watch;

/// `Health` holds what is believed of the backend servers.
pub struct Health {
    doubts: Mutex<HashMap<BackendServerKey, Doubt>>,
    ejections: Mutex<HashMap<(ModelKey, LayerRange), Ejection>>,
    budget: Mutex<RetryBudget>,
}

impl Health {
    /// Nothing is in doubt at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            doubts: Mutex::default(),
            ejections: Mutex::default(),
            budget: Mutex::new(RetryBudget::new(now, retry::Policy::default())),
        }
    }

    /// Whether the budget allows another path for a stream that was given one before.
    pub fn may_retry(&self, now: Instant) -> bool {
        self.budget.lock().try_retry(now)
    }
}

/// Takes a step that succeeded.
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

/// Takes a step that failed or made no progress.
pub fn on_failure(instance: &Arc<Instance>, server: BackendServerKey) {
    on_doubt(instance, server, Event::StepTimedOut);
    let now = instance.edges.clock.now();
    if let Some(until) = eject(instance, server, now) {
        let name = instance.directory.read().backend_servers.name(server);
        info!(instance.log, "a backend server is ejected"; "backend_server" => &*name, "ms" => until.since(now).as_millis() as u64);
        instance.fleet.set_ejected(server, true);
        let instance = Arc::clone(instance);
        tokio::spawn(async move {
            sleep(until.since(now)).await;
            readmit(&instance, server);
        });
    }
}

/// Counts a failure; gives the end of the ejection that it led to.
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

/// Lets a server whose ejection is over be tried.
fn readmit(instance: &Instance, server: BackendServerKey) {
    let now = instance.edges.clock.now();
    if let Some(range) = range(instance, server)
        && let Some(ejection) = instance.health.ejections.lock().get_mut(&range)
    {
        ejection.try_again(now, server);
    }
    instance.fleet.set_ejected(server, false);
}

/// The layers that a server holds.
fn range(instance: &Instance, server: BackendServerKey) -> Option<(ModelKey, LayerRange)> {
    match instance.fleet.place(server)?.role {
        Role::Engine { model, layers } => Some((model, layers)),
        Role::Service { .. } => None,
    }
}

/// Gives the doubt about a server an event, and carries out what follows.
pub fn on_doubt(instance: &Arc<Instance>, server: BackendServerKey, event: Event) {
    if instance.fleet.place(server).is_none() {
        // The configuration has dropped it.
        instance.health.doubts.lock().remove(&server);
        return;
    }
    let now = instance.edges.clock.now();
    let (actions, tick_at) = {
        let mut doubts = instance.health.doubts.lock();
        let doubt = doubts.entry(server).or_default();
        let actions = doubt.on_event(now, event);
        (actions, doubt.next_deadline())
    };
    let changed = !actions.is_empty() || event == Event::Tick;
    for action in actions {
        perform(instance, server, action);
    }
    if changed && tick_at != Instant::NEVER {
        let instance = Arc::clone(instance);
        tokio::spawn(async move {
            sleep(tick_at.since(now)).await;
            on_doubt(&instance, server, Event::Tick);
        });
    }
}

/// Carries out one action.
fn perform(instance: &Arc<Instance>, server: BackendServerKey, action: Action) {
    match action {
        Action::Probe { number, .. } => {
            let instance = Arc::clone(instance);
            tokio::spawn(async move { probe(&instance, server, number).await });
        }
        // A probe over a new connection has closed the old ones already.
        Action::Reconnect => {}
        Action::Down => verdict(instance, server, true),
        Action::Up => verdict(instance, server, false),
    }
}

/// Notes and logs that a server is down or back.
fn verdict(instance: &Instance, server: BackendServerKey, is_down: bool) {
    let name = instance.directory.read().backend_servers.name(server);
    info!(instance.log, "a backend server was probed"; "backend_server" => &*name, "down" => is_down);
    instance.fleet.set_down(server, is_down);
}

/// Probes a server over a new connection.
async fn probe(instance: &Arc<Instance>, server: BackendServerKey, number: u64) {
    let Some(place) = instance.fleet.place(server) else {
        return;
    };
    let event = match instance.edges.engine.load(place.addr, true).await {
        Ok(load) => {
            if load.leaving {
                watch::leave(instance, server, "its load report");
            }
            Event::Answered(number)
        }
        Err(_) => Event::Failed(number),
    };
    on_doubt(instance, server, event);
}
