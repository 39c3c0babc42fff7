//! Gives the engines their layers, one instance at a time.
//!
//! The giver holds a lease in the store; its version is the fencing token of each
//! order. While the store is away from all, one instance goes on without it. Not all engines check it, so each order also names the number of orders that
//! its engine has accepted by its own report: one that comes late, after another, is
//! refused.

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
use hemlockwind_core::servers::EngineModel;
use hemlockwind_core::servers::ServerState;
use hemlockwind_core::time::Instant;
use hemlockwind_lease::Action;
use hemlockwind_lease::Event;
use hemlockwind_lease::Holder;
use hemlockwind_lease::Nonce;
use hemlockwind_lease::Options;
use hemlockwind_lease::Outcome;
use hemlockwind_lease::Value;
use hemlockwind_placement::Engine;
use hemlockwind_placement::Order;
use hemlockwind_placement::Urgency;
use hemlockwind_placement::has_gap;
use hemlockwind_placement::plan;
use hemlockwind_platform::engine;
use hemlockwind_platform::engine::Ordered;
use hemlockwind_protocol::peer::store::Kind;

use crate::gateway::Gateway;

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
/// Time without a new engine until the first plan: engines register within the
/// interval of their heartbeats, about a second.
const GATHER_TIME: Duration = Duration::from_millis(1_200);
/// Time until the first plan even if engines still appear.
const GATHER_LIMIT: Duration = Duration::from_millis(3_500);
/// Time that a gap lasts before the engines beside it are extended: enough for an
/// engine that has just registered to be the one that fills it.
const GAP_TIME: Duration = Duration::from_millis(150);
/// Time that a new engine may be kept empty: in a replacement of the software the old
/// one leaves about a second after the new one has come.
const NEW_TIME: Duration = Duration::from_millis(2_500);
/// Time without a change after which layers may be given up: their memory is free only
/// when what passes through them has ended, and the next loss finds it taken.
const CALM_TIME: Duration = Duration::from_millis(3_000);
/// Instances that compete for the lease. The others need not read it.
pub const CANDIDATES: usize = 2;
/// Time after which an order whose effect does not show is given again, beside the
/// load's own time.
const ORDER_TIME: Duration = Duration::from_millis(2_000);

/// The longest time that an order waits for what passes through layers that are given up:
/// a request may run for 20 s, but most have ended by then.
const GIVE_UP_TIME: Duration = Duration::from_millis(10_000);
/// Time until an engine with another order in progress is asked again.
const BUSY_TIME: Duration = Duration::from_millis(1_000);

/// What the giver remembers of one order.
struct Given {
    /// What the engine will hold.
    layers: Option<LayerRange>,
    /// Whether the order is another's, whose end does not show.
    is_foreign: bool,
    born_ms: u64,
    again_at: Instant,
}

/// `Giver` decides which orders are due.
#[derive(Default)]
pub struct Giver {
    given: SeededHashMap<Arc<str>, Given>,
    /// When the first engine was seen, when the last new one, and how many there are.
    gathered: Option<(Instant, Instant, usize)>,
    gap_since: Option<Instant>,
    /// When each engine was seen first.
    seen: SeededHashMap<Arc<str>, Instant>,
    /// The engines at the last change, and when that was.
    last: (Vec<Engine>, Instant),
}

impl Giver {
    /// The orders that are due at `now`. Crowded engines are relieved only if `may_even`.
    pub fn due(
        &mut self,
        now: Instant,
        model: &EngineModel,
        servers: &[Arc<BackendServer>],
        is_dead: impl Fn(&BackendServer) -> bool,
        may_even: bool,
    ) -> Vec<(Arc<BackendServer>, Order)> {
        if servers.is_empty() {
            return Vec::new();
        }
        if !self.has_gathered(now, servers) {
            return Vec::new();
        }
        self.given.retain(|id, given| {
            let server = servers.iter().find(|s| s.id == *id);
            server.is_some_and(|s| {
                let is_done = !given.is_foreign && s.layers == given.layers;
                !is_done && given.again_at > now
            })
        });
        self.see(now, servers);
        let live = |s: &BackendServer| s.state == ServerState::Ready && !is_dead(s);
        let engines: Vec<Engine> = servers
            .iter()
            .filter_map(|s| self.engine(now, model, s, live(s)))
            .collect();
        let may_even = may_even && self.is_calm(now, &engines);
        let urgency = self.urgency(now, model, &engines, may_even);
        let orders = plan(model, &engines, urgency);
        let mut due = Vec::with_capacity(orders.len());
        let loading = self.given.len() + orders.len();
        // More loads at a time than the weights' store serves take longer in proportion.
        let queue = (loading as f64 / f64::from(model.loads_at_once)).max(1.0);
        for order in orders {
            let Some(server) = servers.iter().find(|s| s.id == order.id) else {
                continue;
            };
            let keeps = server.layers.is_none_or(|held| {
                order.layers.start() <= held.start() && held.end() <= order.layers.end()
            });
            let wait = if keeps { ORDER_TIME } else { GIVE_UP_TIME };
            let given = Given {
                layers: Some(order.layers),
                is_foreign: false,
                born_ms: server.born_ms,
                again_at: now + wait + model.load.mul_f64(share(model, order.layers) * queue),
            };
            self.given.insert(Arc::clone(&order.id), given);
            due.push((Arc::clone(server), order));
        }
        due
    }

    /// Whether all engines that are to be expected have appeared. Where some hold layers
    /// already there is nothing to gather for.
    fn has_gathered(&mut self, now: Instant, servers: &[Arc<BackendServer>]) -> bool {
        if servers.iter().any(|s| s.layers.is_some()) {
            return true;
        }
        let (first, last, count) = self.gathered.get_or_insert((now, now, 0));
        if servers.len() > *count {
            (*last, *count) = (now, servers.len());
        }
        now.since(*last) >= GATHER_TIME || now.since(*first) >= GATHER_LIMIT
    }

    /// An order was refused: it is planned anew at the next look after a pause.
    pub fn refused(&mut self, now: Instant, id: &str) {
        if let Some(given) = self.given.get_mut(id) {
            given.again_at = now + LOOK_INTERVAL * 3;
        }
    }

    /// Notes which engines have appeared.
    fn see(&mut self, now: Instant, servers: &[Arc<BackendServer>]) {
        self.seen
            .retain(|id, _| servers.iter().any(|s| s.id == *id));
        for server in servers {
            self.seen.entry(Arc::clone(&server.id)).or_insert(now);
        }
    }

    /// Whether nothing has changed for a while.
    fn is_calm(&mut self, now: Instant, engines: &[Engine]) -> bool {
        let is_same = self.last.0.len() == engines.len()
            && self
                .last
                .0
                .iter()
                .zip(engines)
                .all(|(a, b)| a.id == b.id && a.layers == b.layers && a.is_live == b.is_live);
        if !is_same {
            self.last = (engines.to_vec(), now);
        }
        now.since(self.last.1) >= CALM_TIME
    }

    /// An engine has another order in progress; what it holds after it is not known.
    pub fn busy(&mut self, now: Instant, server: &BackendServer) {
        let given = Given {
            layers: server.layers,
            is_foreign: true,
            born_ms: server.born_ms,
            again_at: now + BUSY_TIME,
        };
        self.given.insert(Arc::clone(&server.id), given);
    }

    fn engine(
        &self,
        now: Instant,
        model: &EngineModel,
        server: &BackendServer,
        is_live: bool,
    ) -> Option<Engine> {
        let card = *model.cards.get(server.card.as_ref()?)?;
        let given = self.given.get(&server.id);
        // A restart has forgotten what it was ordered.
        let given = given.filter(|g| g.born_ms == server.born_ms);
        Some(Engine {
            id: Arc::clone(&server.id),
            data_centre: Arc::clone(&server.data_centre),
            card,
            version: Arc::clone(&server.version),
            layers: given.map_or(server.layers, |g| g.layers),
            is_free: given.is_none(),
            is_live,
            is_new: self
                .seen
                .get(&server.id)
                .is_some_and(|at| now.since(*at) < NEW_TIME),
        })
    }

    /// Gaps are repaired by other engines only when they last.
    fn urgency(
        &mut self,
        now: Instant,
        model: &EngineModel,
        engines: &[Engine],
        may_even: bool,
    ) -> Urgency {
        if !has_gap(model, engines) {
            self.gap_since = None;
            return if may_even {
                Urgency::Even
            } else {
                Urgency::Empty
            };
        }
        let since = *self.gap_since.get_or_insert(now);
        match now.since(since) >= GAP_TIME {
            true if may_even => Urgency::Even,
            true => Urgency::Repair,
            false => Urgency::Empty,
        }
    }
}

fn share(model: &EngineModel, layers: LayerRange) -> f64 {
    f64::from(layers.count()) / f64::from(model.layers.max(1))
}

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
            give(&gateway, &mut givers, fencing, may_even).await;
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
        let calls = due.into_iter().map(|(server, order)| async move {
            let ordered = place(gateway, &server, &order, fencing).await;
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
async fn place(gateway: &Gateway, server: &BackendServer, order: &Order, fencing: u64) -> Ordered {
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
    let target = (server.addr, &*server.id);
    engine::place(&gateway.http, target, order.layers, fencing, report.orders).await
}
