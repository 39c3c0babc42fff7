//! Decides which orders are due: those of the plan that have not been issued yet.

use std::sync::Arc;
use std::time::Duration;

use hemlockwind_core::collections::SeededHashMap;
use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::servers::BackendServer;
use hemlockwind_core::servers::EngineModel;
use hemlockwind_core::servers::ServerState;
use hemlockwind_core::time::Instant;
use hemlockwind_placement::Engine;
use hemlockwind_placement::Holding;
use hemlockwind_placement::Order;
use hemlockwind_placement::Urgency;
use hemlockwind_placement::has_gap;
use hemlockwind_placement::holdings;
use hemlockwind_placement::plan;

use crate::orders::PLAN_INTERVAL;

/// Time without a new engine before the first plan: engines register within their
/// heartbeat interval, about a second.
const STARTUP_QUIET_TIME: Duration = Duration::from_millis(1_200);
/// Longest time before the first plan, even if engines still register.
const MAX_STARTUP_TIME: Duration = Duration::from_millis(3_500);
/// How long a gap lasts before the adjacent engines are extended: enough for a newly
/// registered engine to fill it instead.
const REPAIR_DELAY: Duration = Duration::from_millis(150);
/// How long an engine counts as new and may be kept empty: in a software update the old
/// engine leaves about a second after the new one has registered.
const NEW_ENGINE_TIME: Duration = Duration::from_millis(2_500);
/// Time without a change after which layers may be released: their memory is free only
/// after the requests through them have ended, and is not available if another engine is
/// lost before.
const STABLE_TIME: Duration = Duration::from_millis(3_000);
/// Time, in addition to the load time, after which an order without a visible effect is
/// issued again.
const ORDER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Longest time that an order waits for requests through released layers: a request may
/// run for 20 s, but most have ended by then.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(10_000);
/// Time until an engine with another order in progress gets an order again.
const BUSY_RETRY: Duration = Duration::from_millis(1_000);

/// `IssuedOrder` records an order that is in progress.
struct IssuedOrder {
    /// The layers that the engine will hold.
    layers: Option<LayerRange>,
    /// Whether another issuer issued the order: its layers are unknown here, so its
    /// completion can't be recognised.
    is_foreign: bool,
    born_ms: u64,
    retry_at: Instant,
}

/// `OrderIssuer` decides which orders are due.
#[derive(Default)]
pub struct OrderIssuer {
    issued: SeededHashMap<Arc<str>, IssuedOrder>,
    /// When the first engine was seen, when the last new one was, and the number of
    /// engines.
    startup: Option<(Instant, Instant, usize)>,
    gap_since: Option<Instant>,
    /// When each engine was first seen.
    first_seen: SeededHashMap<Arc<str>, Instant>,
    /// The engines at the last change, and when that was.
    last_change: (Vec<Engine>, Instant),
    /// The last view for which the plan contained no orders. Planning searches all ranges
    /// of all engines, and usually nothing has changed since the previous round.
    complete_view: Option<(Vec<Engine>, Urgency)>,
    /// What the groups are to hold by the last plan, and whether their numbers of copies
    /// have changed since [`OrderIssuer::changed_holdings`] returned them.
    holdings: (Vec<Holding>, bool),
}

impl OrderIssuer {
    /// Returns the orders that are due at `now`. Overloaded engines are relieved only if
    /// `may_rebalance`.
    pub fn due(
        &mut self,
        now: Instant,
        model: &EngineModel,
        servers: &[Arc<BackendServer>],
        is_dead: impl Fn(&BackendServer) -> bool,
        may_rebalance: bool,
    ) -> Vec<(Arc<BackendServer>, Order)> {
        if servers.is_empty() {
            return Vec::new();
        }
        if !self.is_startup_over(now, servers) {
            return Vec::new();
        }
        self.issued.retain(|id, issued| {
            let server = servers.iter().find(|s| s.id == *id);
            server.is_some_and(|s| {
                let is_done = !issued.is_foreign && s.layers == issued.layers;
                !is_done && issued.retry_at > now
            })
        });
        self.record_seen(now, servers);
        let live = |s: &BackendServer| s.state == ServerState::Ready && !is_dead(s);
        let engines: Vec<Engine> = servers
            .iter()
            .filter_map(|s| self.engine(now, model, s, live(s)))
            .collect();
        let may_rebalance = may_rebalance && self.is_stable(now, &engines);
        let urgency = self.urgency(now, model, &engines, may_rebalance);
        let view = (engines, urgency);
        if self.complete_view.as_ref() == Some(&view) {
            return Vec::new();
        }
        self.set_holdings(holdings(model, &view.0));
        let orders = plan(model, &view.0, urgency);
        if orders.is_empty() {
            self.complete_view = Some(view);
        }
        let mut due = Vec::with_capacity(orders.len());
        let loading = self.issued.len() + orders.len();
        // The store of the model's weights serves `loads_at_once` loads at a time; more take
        // proportionally longer.
        let load_delay = (loading as f64 / f64::from(model.loads_at_once)).max(1.0);
        for order in orders {
            let Some(server) = servers.iter().find(|s| s.id == order.id) else {
                continue;
            };
            let keeps_held = server.layers.is_none_or(|held| {
                order.layers.start() <= held.start() && held.end() <= order.layers.end()
            });
            let wait = if keeps_held {
                ORDER_TIMEOUT
            } else {
                RELEASE_TIMEOUT
            };
            let issued = IssuedOrder {
                layers: Some(order.layers),
                is_foreign: false,
                born_ms: server.born_ms,
                retry_at: now
                    + wait
                    + model
                        .load_time
                        .mul_f64(layer_share(model, order.layers) * load_delay),
            };
            self.issued.insert(Arc::clone(&order.id), issued);
            due.push((Arc::clone(server), order));
        }
        due
    }

    /// Records what the groups are to hold. Only a changed number of copies counts as a
    /// change; a lost engine does not.
    fn set_holdings(&mut self, current: Vec<Holding>) {
        let copies = |of: &[Holding]| -> Vec<_> {
            let pairs = of.iter().map(|h| (h.data_centres.clone(), h.copies));
            pairs.collect()
        };
        self.holdings.1 |= copies(&self.holdings.0) != copies(&current);
        self.holdings.0 = current;
    }

    /// Returns what the groups are to hold if their numbers of copies have changed since
    /// the last call.
    pub fn changed_holdings(&mut self) -> Option<&[Holding]> {
        std::mem::take(&mut self.holdings.1).then_some(&self.holdings.0)
    }

    /// Whether the wait for engines to register is over: no new one has come for a while, or the
    /// longest time has passed. When some hold layers already, this is not a start of all engines
    /// and there is nothing to wait for.
    fn is_startup_over(&mut self, now: Instant, servers: &[Arc<BackendServer>]) -> bool {
        if servers.iter().any(|s| s.layers.is_some()) {
            return true;
        }
        let (first, last, count) = self.startup.get_or_insert((now, now, 0));
        if servers.len() > *count {
            (*last, *count) = (now, servers.len());
        }
        now.since(*last) >= STARTUP_QUIET_TIME || now.since(*first) >= MAX_STARTUP_TIME
    }

    /// Records that an order was refused; it is planned again after a pause.
    pub fn refused(&mut self, now: Instant, id: &str) {
        if let Some(issued) = self.issued.get_mut(id) {
            issued.retry_at = now + PLAN_INTERVAL * 3;
        }
    }

    /// Records when engines were first seen.
    fn record_seen(&mut self, now: Instant, servers: &[Arc<BackendServer>]) {
        self.first_seen
            .retain(|id, _| servers.iter().any(|s| s.id == *id));
        for server in servers {
            self.first_seen.entry(Arc::clone(&server.id)).or_insert(now);
        }
    }

    /// Whether the engines have not changed for [`STABLE_TIME`].
    fn is_stable(&mut self, now: Instant, engines: &[Engine]) -> bool {
        let is_unchanged = self.last_change.0.len() == engines.len()
            && self
                .last_change
                .0
                .iter()
                .zip(engines)
                .all(|(a, b)| a.id == b.id && a.layers == b.layers && a.is_live == b.is_live);
        if !is_unchanged {
            self.last_change = (engines.to_vec(), now);
        }
        now.since(self.last_change.1) >= STABLE_TIME
    }

    /// Records that an engine has another order in progress; which layers it will hold
    /// afterwards is unknown.
    pub fn busy(&mut self, now: Instant, server: &BackendServer) {
        let issued = IssuedOrder {
            layers: server.layers,
            is_foreign: true,
            born_ms: server.born_ms,
            retry_at: now + BUSY_RETRY,
        };
        self.issued.insert(Arc::clone(&server.id), issued);
    }

    /// Returns a server as input to the plan, or `None` if its accelerator is unknown.
    fn engine(
        &self,
        now: Instant,
        model: &EngineModel,
        server: &BackendServer,
        is_live: bool,
    ) -> Option<Engine> {
        let card = *model.cards.get(server.card.as_ref()?)?;
        let issued = self.issued.get(&server.id);
        // A restarted engine has lost its orders.
        let issued = issued.filter(|i| i.born_ms == server.born_ms);
        Some(Engine {
            id: Arc::clone(&server.id),
            data_centre: Arc::clone(&server.data_centre),
            card,
            version: Arc::clone(&server.version),
            layers: issued.map_or(server.layers, |i| i.layers),
            is_free: issued.is_none(),
            is_live,
            is_new: self
                .first_seen
                .get(&server.id)
                .is_some_and(|at| now.since(*at) < NEW_ENGINE_TIME),
        })
    }

    /// Returns how far the plan may go: engines that hold layers already are extended over
    /// a gap only after a delay.
    fn urgency(
        &mut self,
        now: Instant,
        model: &EngineModel,
        engines: &[Engine],
        may_rebalance: bool,
    ) -> Urgency {
        if !has_gap(model, engines) {
            self.gap_since = None;
            return if may_rebalance {
                Urgency::Rebalance
            } else {
                Urgency::Empty
            };
        }
        let since = *self.gap_since.get_or_insert(now);
        match now.since(since) >= REPAIR_DELAY {
            true if may_rebalance => Urgency::Rebalance,
            true => Urgency::Repair,
            false => Urgency::Empty,
        }
    }
}

/// Returns the share of the model's layers that are in `layers`.
fn layer_share(model: &EngineModel, layers: LayerRange) -> f64 {
    f64::from(layers.count()) / f64::from(model.layers.max(1))
}
