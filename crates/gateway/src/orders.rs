//! Gives the engines their layers, one instance at a time.
//!
//! The giver holds a lease in the store; its version is the fencing token of each
//! order. While the store is away from all, one instance goes on without it. Not all
//! engines check it, so each order also names the number of orders that its engine has
//! accepted by its own report: one that comes late, after another, is refused. The right
//! to give is looked at again right before each order.

pub mod giver;

use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use slog::info;
use slog::warn;
use tokio::time::sleep;

use hemlockwind_core::collections::SeededHashMap;
use hemlockwind_core::edges::Put;
use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::servers::BackendServer;
use hemlockwind_lease::Action;
use hemlockwind_lease::Event;
use hemlockwind_lease::Holder;
use hemlockwind_lease::Nonce;
use hemlockwind_lease::Options;
use hemlockwind_lease::Outcome;
use hemlockwind_lease::Value;
use hemlockwind_placement::Order;
use hemlockwind_platform::engine;
use hemlockwind_platform::engine::Ordered;
use hemlockwind_protocol::peer::store::Kind;

use crate::gateway::Gateway;
use crate::orders::giver::Giver;

/// The kind and name of the lease's object.
const LEASE_KIND: &str = "hemlockwind-leases";
const LEASE_NAME: &str = "orders";
/// The duty of giving orders, for the choice of candidates.
pub const DUTY: &str = LEASE_NAME;
/// How long the lease lasts without a renewal. A gap waits as long for a new giver, and
/// each renewal, a third of it, costs a call.
const LEASE_TIME: Duration = Duration::from_millis(2_000);
/// Time between two reads of the lease by those that don't hold it.
const LEASE_RETRY: Duration = Duration::from_millis(600);
/// Time between two looks at an engine that loads: a load of a few layers takes about
/// a second, and each look is charged.
const WATCH_INTERVAL: Duration = Duration::from_millis(300);
/// Looks at one order at most; the time between two grows by half, to 20 s together.
const WATCH_TRIES: u32 = 8;
/// Time between two looks at the engines.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Instances that compete for the lease. The others need not read it.
pub const CANDIDATES: usize = 2;

/// Competes for the lease and gives orders while it is held, until the task is ended.
pub async fn run(gateway: Arc<Gateway>) {
    let mut holder = Holder::new(Options {
        name: gateway.settings.name.as_str().into(),
        process: rand::random(),
        duration: LEASE_TIME,
        retry: LEASE_RETRY,
        // The platform starts an instance again only after its process has ended, and an engine
        // refuses an order that was given before its latest one.
        inherits: true,
    });
    let mut givers: SeededHashMap<Arc<str>, Giver> = SeededHashMap::default();
    let mut held = false;
    let mut last = 0;
    let mut action = holder.on_event(gateway.now(), Event::Candidate(false));
    loop {
        if gateway.stopping.is_cancelled() && !holder.is_released() {
            action = action.or(holder.on_event(gateway.now(), Event::Stop));
        }
        while let Some(next) = action {
            let event = act(&gateway, next).await;
            action = holder.on_event(gateway.now(), event);
        }
        let now = gateway.now();
        let fencing = match holder.holds(now) {
            Some(fencing) => {
                last = fencing.0;
                Some(fencing.0)
            }
            None => alone(&gateway).then_some(last),
        };
        if fencing.is_some() != held {
            held = fencing.is_some();
            info!(gateway.log, "gives orders"; "gives" => held,
                "holds_lease" => holder.holds(now).is_some(),
                "fencing" => fencing);
            if !held {
                givers.clear();
            }
        }
        if let Some(fencing) = fencing {
            // What an engine gives up must be heard of by all, through the store.
            let may_even = holder.holds(now).is_some();
            let may_give = || match holder.holds(gateway.now()) {
                Some(held) => held.0 == fencing,
                None => alone(&gateway),
            };
            give(&gateway, &mut givers, fencing, may_even, &may_give).await;
        }
        sleep(LOOK_INTERVAL).await;
        let now = gateway.now();
        let candidate = gateway.peers.is_candidate(LEASE_NAME, CANDIDATES);
        action = holder.on_event(now, Event::Candidate(candidate));
    }
}

/// Whether this instance gives orders without the lease. While the store serves no
/// instance that can be reached, nobody can take the lease, and gaps have to be closed
/// meanwhile. Two such givers, on both sides of a cut, do no harm: an engine that has
/// accepted an order since its report refuses the other's.
fn alone(gateway: &Gateway) -> bool {
    let now = gateway.now();
    !gateway.known.is_served(Kind::Servers)
        && !gateway.known.others_are_served(now)
        && gateway.peers.is_candidate(DUTY, 1)
}

/// Does what the holder asks of the store.
async fn act(gateway: &Gateway, action: Action) -> Event {
    match action {
        Action::Get => match gateway.store.get(LEASE_KIND, LEASE_NAME).await {
            Ok(object) => Event::Read(object.and_then(|object| {
                let value = serde_json::from_str(object.content.get()).ok()?;
                Some((value_of(&value)?, object.version))
            })),
            Err(_) => Event::PlatformDown,
        },
        Action::Put { write, value, when } => {
            let content = json!({
                "holder": &*value.holder,
                "process": value.nonce.process.to_string(),
                "write": value.nonce.write,
                "durationMs": value.duration.as_millis() as u64,
                "released": value.released,
            });
            let put = gateway
                .store
                .put(LEASE_KIND, LEASE_NAME, &content, when)
                .await;
            let outcome = match put {
                Put::Done(version) => Outcome::Done(version),
                Put::Conflict => Outcome::Conflict,
                Put::Refused(_) => Outcome::Refused,
                Put::Unknown(_) => Outcome::Unknown,
            };
            Event::Put { write, outcome }
        }
    }
}

/// The lease's value; one that can't be read counts as none.
fn value_of(value: &serde_json::Value) -> Option<Value> {
    Some(Value {
        holder: value.get("holder")?.as_str()?.into(),
        nonce: Nonce {
            process: value.get("process")?.as_str()?.parse().ok()?,
            write: value.get("write")?.as_u64()?,
        },
        duration: Duration::from_millis(value.get("durationMs")?.as_u64()?),
        released: value.get("released")?.as_bool()?,
    })
}

/// Gives the orders that are due.
async fn give(
    gateway: &Arc<Gateway>,
    givers: &mut SeededHashMap<Arc<str>, Giver>,
    fencing: u64,
    may_even: bool,
    may_give: &(impl Fn() -> bool + Sync),
) {
    let routes = gateway.routes.load_full();
    for service in routes.services() {
        let Some(model) = service.engine.as_ref().filter(|m| m.is_joint()) else {
            continue;
        };
        let servers: Vec<Arc<BackendServer>> = {
            let directory = gateway.directory.read();
            directory.of(&service.name).cloned().collect()
        };
        let giver = givers.entry(Arc::clone(&service.name)).or_default();
        let now = gateway.now();
        let is_dead = |s: &BackendServer| {
            gateway.homes.is_dead(now, s.addr)
                || gateway.homes.is_cut_off(&s.data_centre)
                || gateway.slow.is_useless(now, s.addr)
        };
        let due = giver.due(now, model, &servers, is_dead, may_even);
        log_holdings(gateway, &service.name, giver);
        let calls = due.into_iter().map(|(server, order)| async move {
            let ordered = place(gateway, &server, &order, fencing, may_give).await;
            (ordered, server, order)
        });
        for (ordered, server, order) in futures::future::join_all(calls).await {
            gateway.counters.add("orders_given");
            info!(gateway.log, "order"; "engine" => &*order.id, "layers" => %order.layers,
                "fencing" => fencing, "outcome" => format!("{ordered:?}"));
            match ordered {
                Ordered::Accepted => {
                    let gateway = Arc::clone(gateway);
                    tokio::spawn(async move { watch(&gateway, &server, order.layers).await });
                }
                Ordered::Refused(_) | Ordered::Outdated => giver.refused(gateway.now(), &order.id),
                Ordered::Busy => giver.busy(gateway.now(), &server),
                Ordered::Unknown(e) => {
                    warn!(gateway.log, "order without answer"; "engine" => &*order.id,
                        "error" => %e);
                }
            }
        }
    }
}

/// Logs how many copies each group of engines is to hold, when that has changed.
fn log_holdings(gateway: &Gateway, service: &str, giver: &mut Giver) {
    for holding in giver.changed_holdings().into_iter().flatten() {
        info!(gateway.log, "placement"; "service" => service,
            "data_centres" => holding.data_centres.join(","),
            "copies" => holding.copies, "engines" => holding.engines,
            "memory_gb" => (holding.memory_bytes / 1e9).round());
    }
}

/// Follows an order until the engine holds `layers`, and tells all instances: the
/// engine's own entry says it a heartbeat later, or not while the store is away.
async fn watch(gateway: &Arc<Gateway>, server: &BackendServer, layers: LayerRange) {
    let mut pause = WATCH_INTERVAL;
    for _ in 0..WATCH_TRIES {
        sleep(pause).await;
        pause = pause.mul_f64(1.5);
        let is_told = gateway
            .directory
            .read()
            .get(&server.id)
            .is_none_or(|s| s.layers == Some(layers));
        if is_told {
            return;
        }
        // An engine that does not report is looked at again.
        if let Ok(report) = engine::report(&gateway.http, server.addr).await
            && report.layers == Some(layers)
        {
            gateway
                .homes
                .holds(gateway, &server.id, report.layers)
                .await;
            return;
        }
    }
}

/// Gives one order, unless the engine's report says that its entry is out of date.
async fn place(
    gateway: &Gateway,
    server: &BackendServer,
    order: &Order,
    fencing: u64,
    may_give: &(impl Fn() -> bool + Sync),
) -> Ordered {
    let report = match engine::report(&gateway.http, server.addr).await {
        Ok(report) => report,
        Err(e) => return Ordered::Unknown(e),
    };
    if report.is_changing {
        return Ordered::Busy;
    }
    if report.layers != server.layers {
        gateway
            .homes
            .holds(gateway, &server.id, report.layers)
            .await;
        return Ordered::Outdated;
    }
    // The report may have taken long, and this process may have been paused.
    if !may_give() {
        return Ordered::Outdated;
    }
    let target = (server.addr, &*server.id);
    engine::place(&gateway.http, target, order.layers, fencing, report.orders).await
}
