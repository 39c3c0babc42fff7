//! Assigns layers to engines, from one instance at a time.
//!
//! The order issuer holds a lease in the store, whose version is the fencing token of
//! each order. While the store serves no instance, one instance continues without the
//! lease. Not all engines check the fencing token, so each order also carries the number
//! of orders that its engine has accepted according to its report: the engine refuses an
//! order that arrives late, after another one. The right to issue is checked again right
//! before each order.

pub mod order_issuer;

use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use slog::info;
use slog::warn;
use tokio::time::sleep;

use hemlockwind_core::collections::SeededHashMap;
use hemlockwind_core::edges::ObjectVersion;
use hemlockwind_core::edges::Precondition;
use hemlockwind_core::edges::PutOutcome;
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
use hemlockwind_platform::engine::OrderOutcome;
use hemlockwind_platform::store::Object;
use hemlockwind_protocol::peer::store::Kind;

use crate::gateway::Gateway;
use crate::merge;
use crate::orders::order_issuer::OrderIssuer;

/// The kind of the lease's object.
const LEASE_KIND: &str = "hemlockwind-leases";
/// The name of the lease's object.
const LEASE_NAME: &str = "orders";
/// The assignment of issuing orders, for the choice of candidates.
pub const ORDERS_ASSIGNMENT: &str = LEASE_NAME;
/// How long the lease lasts without a renewal. A gap in the layers waits this long for a
/// new order issuer; each renewal, after a third of this time, costs a call.
const LEASE_TIME: Duration = Duration::from_millis(2_000);
/// Interval at which instances without the lease read it.
const LEASE_RETRY: Duration = Duration::from_millis(600);
/// First pause before the report of a loading engine is read: a load of a few layers
/// takes about a second, and each report is charged.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(300);
/// Largest number of checks of one order. The pause grows by half each time; together
/// they take about 15 s.
const CONFIRM_ATTEMPTS: u32 = 8;
/// Interval at which due orders are planned.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Number of instances that compete for the lease; the others need not read it.
pub const CANDIDATES: usize = 2;

/// Competes for the lease and issues orders while holding it, until the task is ended.
pub async fn run(gateway: Arc<Gateway>) {
    let mut holder = Holder::new(Options {
        name: gateway.settings.name.as_str().into(),
        process: rand::random(),
        duration: LEASE_TIME,
        retry: LEASE_RETRY,
        // The platform restarts an instance only after its process has ended, and an
        // engine refuses an order that was issued before its latest one.
        inherits: true,
    });
    let mut order_issuers: SeededHashMap<Arc<str>, OrderIssuer> = SeededHashMap::default();
    let mut is_issuing = false;
    let mut last_fencing = 0;
    let mut action = holder.on_event(gateway.now(), Event::Candidate(false));
    loop {
        if gateway.stopping.is_cancelled() && !holder.is_released() {
            action = action.or(holder.on_event(gateway.now(), Event::Stop));
        }
        while let Some(next) = action {
            let event = perform(&gateway, next, holder.may_read_stale()).await;
            let now = gateway.now();
            // The answer may be that there is no object, and then shows no era itself.
            let era = Event::Era(gateway.store.era());
            action = holder.on_event(now, era).or(holder.on_event(now, event));
        }
        merge::observe_era(&gateway, gateway.store.era());
        let now = gateway.now();
        let fencing = match held(&gateway, &holder) {
            Some(fencing) => {
                last_fencing = fencing;
                Some(fencing)
            }
            None => may_issue_without_lease(&gateway).then_some(last_fencing),
        };
        if fencing.is_some() != is_issuing {
            is_issuing = fencing.is_some();
            info!(gateway.log, "order issuer changed"; "gives" => is_issuing,
                "holds_lease" => holder.holds(now).is_some(),
                "fencing" => fencing);
            if !is_issuing {
                order_issuers.clear();
            }
        }
        if let Some(fencing) = fencing {
            // Rebalancing releases layers, and all instances must receive through the store
            // which ones.
            let may_rebalance = holder.holds(now).is_some();
            let may_issue = || match held(&gateway, &holder) {
                Some(held) => held == fencing,
                None => may_issue_without_lease(&gateway),
            };
            issue_orders(
                &gateway,
                &mut order_issuers,
                fencing,
                may_rebalance,
                &may_issue,
            )
            .await;
        }
        sleep(PLAN_INTERVAL).await;
        let now = gateway.now();
        let candidate = gateway.peers.is_candidate(LEASE_NAME, CANDIDATES);
        let era = holder.on_event(now, Event::Era(gateway.store.era()));
        action = era.or(holder.on_event(now, Event::Candidate(candidate)));
    }
}

/// Returns the fencing token while the lease is held in the newest era of the store.
fn held(gateway: &Gateway, holder: &Holder) -> Option<u64> {
    let fencing = holder.holds(gateway.now())?.0;
    (ObjectVersion(fencing).era() == gateway.store.era()).then_some(fencing)
}

/// Whether this instance may issue orders without the lease. While the store serves no
/// instance that can be reached, none can take the lease, and gaps have to be closed
/// meanwhile. Two such order issuers, on both sides of a network partition, do no harm:
/// an engine that has accepted an order since its report refuses the other's.
fn may_issue_without_lease(gateway: &Gateway) -> bool {
    let now = gateway.now();
    !gateway.store_cache.is_served(Kind::Servers)
        && !gateway.store_cache.others_are_served(now)
        && gateway.peers.is_candidate(ORDERS_ASSIGNMENT, 1)
}

/// Performs a call to the store for the lease holder and returns its result as an event.
async fn perform(gateway: &Gateway, action: Action, may_be_stale: bool) -> Event {
    match action {
        Action::Get => {
            let object = gateway.store.get(LEASE_KIND, LEASE_NAME, may_be_stale);
            match object.await {
                Ok(Some(object)) => read_event(gateway, &object),
                Ok(None) => Event::Read(None),
                Err(_) => Event::PlatformDown,
            }
        }
        Action::Put { write, value, when } => {
            let mut content = json!({
                "holder": &*value.holder,
                "process": value.nonce.process.to_string(),
                "write": value.nonce.write,
                "durationMs": value.duration.as_millis() as u64,
                "released": value.released,
            });
            if value.era > 0 {
                content["era"] = value.era.into();
            }
            let put = gateway
                .store
                .put(LEASE_KIND, LEASE_NAME, &content, when)
                .await;
            let outcome = match put {
                PutOutcome::Done(version) => Outcome::Done(version),
                PutOutcome::Conflict => {
                    log_conflict(gateway, when);
                    Outcome::Conflict
                }
                PutOutcome::Refused(_) => Outcome::Refused,
                PutOutcome::Unknown(_) => Outcome::Unknown,
            };
            Event::Put { write, outcome }
        }
    }
}

/// Logs that the lease could not be created: another instance was first, or the store has an object
/// that can't be decoded, which reads like none.
fn log_conflict(gateway: &Gateway, when: Precondition) {
    if when == Precondition::Absent
        && let Some(left_out) = gateway.lines.take(gateway.now(), "lease_exists")
    {
        info!(gateway.log, "lease exists already"; "name" => LEASE_NAME, "left_out" => left_out);
    }
}

/// Returns the event for an object that was read.
fn read_event(gateway: &Gateway, object: &Object) -> Event {
    let value = serde_json::from_str(object.content.get()).ok();
    let lease: Option<Value> = value.and_then(|value| parse_lease(&value));
    if let Some(lease) = lease {
        return Event::Read(Some((lease, object.version)));
    }
    if let Some(left_out) = gateway.lines.take(gateway.now(), "lease_unreadable") {
        warn!(gateway.log, "lease can't be read"; "name" => LEASE_NAME,
            "object_version" => object.version.0, "left_out" => left_out);
    }
    Event::ReadOther(object.version)
}

/// Returns the lease's value, or `None` if it can't be parsed.
fn parse_lease(value: &serde_json::Value) -> Option<Value> {
    Some(Value {
        holder: value.get("holder")?.as_str()?.into(),
        nonce: Nonce {
            process: value.get("process")?.as_str()?.parse().ok()?,
            write: value.get("write")?.as_u64()?,
        },
        duration: Duration::from_millis(value.get("durationMs")?.as_u64()?),
        released: value.get("released")?.as_bool()?,
        // A store without eras, or an instance of a version without this field.
        era: value
            .get("era")
            .and_then(|era| u16::try_from(era.as_u64()?).ok())
            .unwrap_or_default(),
    })
}

/// Issues the orders that are due.
async fn issue_orders(
    gateway: &Arc<Gateway>,
    order_issuers: &mut SeededHashMap<Arc<str>, OrderIssuer>,
    fencing: u64,
    may_rebalance: bool,
    may_issue: &(impl Fn() -> bool + Sync),
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
        let order_issuer = order_issuers.entry(Arc::clone(&service.name)).or_default();
        let now = gateway.now();
        let is_dead = |s: &BackendServer| {
            gateway.queue_owners.is_excluded(now, s.addr)
                || gateway.queue_owners.is_cut_off(&s.data_centre)
                || gateway.slow.is_unusable(now, s.addr)
        };
        let due = order_issuer.due(now, model, &servers, is_dead, may_rebalance);
        log_holdings(gateway, &service.name, order_issuer);
        let calls = due.into_iter().map(|(server, order)| async move {
            let ordered = issue_order(gateway, &server, &order, fencing, may_issue).await;
            (ordered, server, order)
        });
        for (ordered, server, order) in futures::future::join_all(calls).await {
            gateway.counters.add("orders_given");
            info!(gateway.log, "order"; "engine" => &*order.id, "layers" => %order.layers,
                "fencing" => fencing, "outcome" => format!("{ordered:?}"));
            match ordered {
                OrderOutcome::Accepted => {
                    let gateway = Arc::clone(gateway);
                    tokio::spawn(
                        async move { confirm_order(&gateway, &server, order.layers).await },
                    );
                }
                OrderOutcome::Refused(_) | OrderOutcome::Outdated => {
                    order_issuer.refused(gateway.now(), &order.id)
                }
                OrderOutcome::Busy => order_issuer.busy(gateway.now(), &server),
                OrderOutcome::Unknown(e) => {
                    warn!(gateway.log, "order without answer"; "engine" => &*order.id,
                        "error" => %e);
                }
            }
        }
    }
}

/// Logs how many copies each group of engines is to hold, if that has changed.
fn log_holdings(gateway: &Gateway, service: &str, order_issuer: &mut OrderIssuer) {
    for holding in order_issuer.changed_holdings().into_iter().flatten() {
        info!(gateway.log, "placement"; "service" => service,
            "data_centres" => holding.data_centres.join(","),
            "copies" => holding.copies, "engines" => holding.engines,
            "memory_gb" => (holding.memory_bytes / 1e9).round());
    }
}

/// Waits until the engine holds `layers` and reports that to the other instances: the
/// engine's entry in the store shows the layers a heartbeat later, or not at all while the
/// store is unavailable.
async fn confirm_order(gateway: &Arc<Gateway>, server: &BackendServer, layers: LayerRange) {
    let mut pause = CONFIRM_INTERVAL;
    for _ in 0..CONFIRM_ATTEMPTS {
        sleep(pause).await;
        pause = pause.mul_f64(1.5);
        let is_listed = gateway
            .directory
            .read()
            .get(&server.id)
            .is_none_or(|s| s.layers == Some(layers));
        if is_listed {
            return;
        }
        // An engine without a report is asked again.
        if let Ok(report) = engine::report(&gateway.http, server.addr).await
            && report.layers == Some(layers)
        {
            gateway
                .queue_owners
                .update_layers(gateway, &server.id, report.layers)
                .await;
            return;
        }
    }
}

/// Issues one order, unless the engine's report shows another order in progress or other
/// layers than its entry, or this instance may no longer issue orders.
async fn issue_order(
    gateway: &Gateway,
    server: &BackendServer,
    order: &Order,
    fencing: u64,
    may_issue: &(impl Fn() -> bool + Sync),
) -> OrderOutcome {
    let report = match engine::report(&gateway.http, server.addr).await {
        Ok(report) => report,
        Err(e) => return OrderOutcome::Unknown(e),
    };
    if report.is_changing {
        return OrderOutcome::Busy;
    }
    if report.layers != server.layers {
        gateway
            .queue_owners
            .update_layers(gateway, &server.id, report.layers)
            .await;
        return OrderOutcome::Outdated;
    }
    // The report may have taken long, or this process may have been suspended.
    if !may_issue() {
        return OrderOutcome::Outdated;
    }
    let target = (server.addr, &*server.id);
    engine::place(&gateway.http, target, order.layers, fencing, report.orders).await
}
