//! Which orders are due: what the plan asks for, less what was given already.

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

use crate::orders::LOOK_INTERVAL;

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
    /// The last view for which the plan asked for nothing. Planning is a search over all
    /// ranges of all engines, and mostly nothing has changed since the look before.
    settled: Option<(Vec<Engine>, Urgency)>,
    /// What the groups are to hold by the last plan, and whether that is news.
    holdings: (Vec<Holding>, bool),
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
        let view = (engines, urgency);
        if self.settled.as_ref() == Some(&view) {
            return Vec::new();
        }
        self.hold(holdings(model, &view.0));
        let orders = plan(model, &view.0, urgency);
        if orders.is_empty() {
            self.settled = Some(view);
        }
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

    /// Notes what the groups are to hold. Their copies are news, each lost engine is not.
    fn hold(&mut self, now: Vec<Holding>) {
        let copies = |of: &[Holding]| -> Vec<_> {
            let pairs = of.iter().map(|h| (h.data_centres.clone(), h.copies));
            pairs.collect()
        };
        self.holdings.1 |= copies(&self.holdings.0) != copies(&now);
        self.holdings.0 = now;
    }

    /// What the groups are to hold, if their copies have changed since the last call.
    pub fn changed_holdings(&mut self) -> Option<&[Holding]> {
        std::mem::take(&mut self.holdings.1).then_some(&self.holdings.0)
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
