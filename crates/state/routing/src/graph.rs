//! The backend servers of one model, and the choice of a path over them.

use std::time::Duration;

use rand::Rng;
use rand::seq::index;
use slotmap::SecondaryMap;

use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::names::BackendServerKey;
use hemlockwind_core::time::Instant;

use crate::flow::Flow;
use crate::group::Group;
use crate::group::Place;
use crate::path::Path;
use crate::path::Stage;
use crate::server::Server;

/// Servers of one layer range that are compared one by one; of more, a sample is.
const SCAN_LIMIT: usize = 4;
/// Servers that a sample compares ("power of two choices").
const SAMPLE: usize = 2;
/// Thousandths of a token, the unit of rates in the flow.
const MILLI: f64 = 1_000.0;

/// `Graph` holds the backend servers of one model and chooses paths over them.
///
/// A choice costs time in the number of layer ranges, not of servers.
#[derive(Clone, Debug)]
pub struct Graph {
    model_layers: u16,
    scan_limit: usize,
    servers: SecondaryMap<BackendServerKey, Slot>,
    groups: Vec<Group>,
}

/// `Slot` is a server with its place in its group.
#[derive(Clone, Copy, Debug)]
struct Slot {
    server: Server,
    place: Place,
}

/// `Preferences` is what one request asks of its path.
#[derive(Clone, Copy, Debug, Default)]
pub struct Preferences<'a> {
    /// Backend servers that the path must not use.
    pub avoid: &'a [BackendServerKey],
    /// Stages that have this stream's KV cache or place already.
    pub keep: &'a [Stage],
    /// The time that a cached prefix is expected to save at these servers.
    pub affinity: &'a [(BackendServerKey, Duration)],
}

/// `Candidate` is a server that may become a stage, with its expected time.
type Candidate = (BackendServerKey, Duration);

/// `Reach` is the best way to a layer boundary: its time and its last stage.
#[derive(Clone, Copy, Debug)]
struct Reach {
    cost: Duration,
    stage: Option<Stage>,
}

impl Graph {
    /// A graph without servers for a model of `model_layers` layers.
    pub fn new(model_layers: u16) -> Self {
        Self {
            model_layers,
            scan_limit: SCAN_LIMIT,
            servers: SecondaryMap::new(),
            groups: Vec::new(),
        }
    }

    /// Compares up to `servers` servers of a layer range before it samples.
    #[must_use]
    pub fn with_scan_limit(mut self, servers: usize) -> Self {
        self.scan_limit = servers;
        self
    }

    /// The number of layers of the model.
    pub fn model_layers(&self) -> u16 {
        self.model_layers
    }

    /// The number of servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether there is no server.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// The server of this key.
    pub fn get(&self, key: BackendServerKey) -> Option<&Server> {
        self.servers.get(key).map(|slot| &slot.server)
    }

    /// All servers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().map(|slot| &slot.server)
    }

    /// Adds a server, in place of one with the same key.
    pub fn insert(&mut self, server: Server) {
        self.remove(server.key);
        let group = self.group_or_new(server.layers);
        group.len += 1;
        group.streams += server.capacity();
        let place = group.list(server.key, server.available, server.is_full());
        self.servers.insert(server.key, Slot { server, place });
    }

    /// Removes a server.
    pub fn remove(&mut self, key: BackendServerKey) -> Option<Server> {
        let slot = self.servers.remove(key)?;
        let index = self.unlist(&slot);
        let group = &mut self.groups[index];
        group.len -= 1;
        group.streams -= slot.server.capacity();
        if group.len == 0 {
            self.groups.remove(index);
        }
        Some(slot.server)
    }

    /// Changes a server. Its key stays the same. Returns whether there is one.
    pub fn update(&mut self, key: BackendServerKey, change: impl FnOnce(&mut Server)) -> bool {
        let Some(&slot) = self.servers.get(key) else {
            return false;
        };
        let mut server = slot.server;
        change(&mut server);
        server.key = key;
        if server.layers != slot.server.layers {
            self.insert(server);
            return true;
        }
        self.recount(&slot.server, &server);
        let listed = |server: &Server| (server.available, server.is_full());
        let mut place = slot.place;
        if listed(&server) != listed(&slot.server) {
            let index = self.unlist(&slot);
            place = self.groups[index].list(key, server.available, server.is_full());
        }
        self.servers.insert(key, Slot { server, place });
        true
    }

    /// Counts a stream of this instance on a server.
    pub fn begin(&mut self, key: BackendServerKey) {
        self.update(key, |server| {
            server.in_flight = server.in_flight.saturating_add(1);
        });
    }

    /// Counts a stream of this instance off a server.
    pub fn end(&mut self, key: BackendServerKey) {
        self.update(key, |server| {
            server.in_flight = server.in_flight.saturating_sub(1);
        });
    }

    /// The path with the least expected time for one token, that uses no server
    /// of `avoid` and prefers the stages of `keep`. See [`Graph::choose_with`].
    pub fn choose(
        &self,
        now: Instant,
        rng: &mut impl Rng,
        avoid: &[BackendServerKey],
        keep: &[Stage],
    ) -> Option<Path> {
        let preferences = Preferences {
            avoid,
            keep,
            affinity: &[],
        };
        self.choose_with(now, rng, &preferences)
    }

    /// The path with the least expected time for one token, `None` when the
    /// available servers don't join. Full servers are used only when there is
    /// no path without them.
    pub fn choose_with(
        &self,
        now: Instant,
        rng: &mut impl Rng,
        preferences: &Preferences<'_>,
    ) -> Option<Path> {
        let open = self.shortest(|group| self.pick(now, rng, preferences, group, false));
        open.or_else(|| self.shortest(|group| self.pick(now, rng, preferences, group, true)))
    }

    /// The number of streams that the available servers carry at most. Costs time
    /// in the number of layer ranges, not of servers.
    pub fn bound_streams(&self) -> u64 {
        let edges = self.groups.iter();
        let edges = edges.map(|group| (group.layers, group.streams));
        Flow::bound(self.model_layers, edges)
    }

    /// The tokens per second that the available servers give at most, when each
    /// runs as many streams as its limit in the step time of an idle server.
    /// Walks over all servers.
    pub fn bound_tokens(&self) -> f64 {
        let available = self.servers().filter(|server| server.available);
        let edges = available.map(|server| {
            let seconds = server.step_time.as_secs_f64();
            // The cast saturates, so a step time of zero is no bound.
            let rate = f64::from(server.limit) / seconds * MILLI;
            (server.layers, rate as u64)
        });
        Flow::bound(self.model_layers, edges) as f64 / MILLI
    }

    /// The shortest way over the layer boundaries, with one candidate a group.
    /// The groups are in the order of their first layers, so each boundary's
    /// best way is known before a group starts from it.
    fn shortest(&self, mut pick: impl FnMut(&Group) -> Option<Candidate>) -> Option<Path> {
        let mut best: Vec<Option<Reach>> = vec![None; usize::from(self.model_layers) + 1];
        best[0] = Some(Reach {
            cost: Duration::ZERO,
            stage: None,
        });
        for group in &self.groups {
            // A server may hold layers that the model doesn't have.
            if group.layers.end() > self.model_layers {
                continue;
            }
            let Some(before) = best[usize::from(group.layers.start())] else {
                continue;
            };
            let Some((server, cost)) = pick(group) else {
                continue;
            };
            let cost = before.cost + cost;
            let end = &mut best[usize::from(group.layers.end())];
            if end.is_none_or(|reach| cost < reach.cost) {
                let layers = group.layers;
                let stage = Some(Stage { server, layers });
                *end = Some(Reach { cost, stage });
            }
        }
        self.trace(&best)
    }

    /// The path that leads to the last layer.
    fn trace(&self, best: &[Option<Reach>]) -> Option<Path> {
        let mut stages = Vec::new();
        let mut end = self.model_layers;
        while let Some(stage) = best[usize::from(end)]?.stage {
            stages.push(stage);
            end = stage.layers.start();
        }
        stages.reverse();
        Path::new(stages, self.model_layers).ok()
    }

    /// The best candidate of a group.
    fn pick(
        &self,
        now: Instant,
        rng: &mut impl Rng,
        preferences: &Preferences<'_>,
        group: &Group,
        allow_full: bool,
    ) -> Option<Candidate> {
        let mut best = self.best_kept(preferences, group);
        let mut consider = |key: BackendServerKey| {
            let Some(candidate) = self.candidate(now, preferences, key) else {
                return false;
            };
            if best.is_none_or(|best| candidate.1 < best.1) {
                best = Some(candidate);
            }
            true
        };
        for &(key, _) in preferences.affinity {
            if group_has(self.servers.get(key), group.layers) {
                consider(key);
            }
        }
        self.sample(rng, &group.open, preferences.avoid.len(), &mut consider);
        if allow_full {
            self.sample(rng, &group.full, preferences.avoid.len(), &mut consider);
        }
        best
    }

    /// The best stage of the group that the stream has already. It needs no room
    /// and no prefill there, so it costs its link alone.
    fn best_kept(&self, preferences: &Preferences<'_>, group: &Group) -> Option<Candidate> {
        let kept = preferences.keep.iter();
        let kept = kept.filter(|stage| stage.layers == group.layers);
        let kept = kept.filter(|stage| !preferences.avoid.contains(&stage.server));
        let servers = kept.filter_map(|stage| self.get(stage.server));
        let servers = servers.filter(|s| s.available && s.layers == group.layers);
        let costs = servers.map(|server| (server.key, server.link_both_ways()));
        costs.min_by_key(|&(_, cost)| cost)
    }

    /// Shows a few servers of the list to `consider`: all of a short list, else a
    /// sample, which is drawn large enough to hold two that are not avoided.
    fn sample(
        &self,
        rng: &mut impl Rng,
        list: &[BackendServerKey],
        avoided: usize,
        mut consider: impl FnMut(BackendServerKey) -> bool,
    ) {
        let amount = SAMPLE + avoided;
        if list.len() <= self.scan_limit.max(amount) {
            for &key in list {
                consider(key);
            }
            return;
        }
        let mut taken = 0;
        for index in index::sample(rng, list.len(), amount) {
            taken += usize::from(consider(list[index]));
            if taken == SAMPLE {
                return;
            }
        }
    }

    fn candidate(
        &self,
        now: Instant,
        preferences: &Preferences<'_>,
        key: BackendServerKey,
    ) -> Option<Candidate> {
        if preferences.avoid.contains(&key) {
            return None;
        }
        let server = self.get(key)?;
        let mut affinity = preferences.affinity.iter();
        let bonus = affinity.find(|&&(server, _)| server == key);
        let bonus = bonus.map_or(Duration::ZERO, |&(_, bonus)| bonus);
        Some((key, server.expected_time(now, bonus)))
    }

    /// The index of a layer range's group, or where it would be.
    fn position(&self, layers: LayerRange) -> Result<usize, usize> {
        self.groups
            .binary_search_by_key(&layers, |group| group.layers)
    }

    fn group_or_new(&mut self, layers: LayerRange) -> &mut Group {
        let index = self.position(layers).unwrap_or_else(|index| {
            self.groups.insert(index, Group::new(layers));
            index
        });
        &mut self.groups[index]
    }

    /// Takes the change of a server into the sum of its group.
    fn recount(&mut self, old: &Server, new: &Server) {
        if old.capacity() == new.capacity() {
            return;
        }
        let group = self.group_or_new(new.layers);
        group.streams -= old.capacity();
        group.streams += new.capacity();
    }

    /// Takes a server off its group's lists. Returns the index of the group.
    fn unlist(&mut self, slot: &Slot) -> usize {
        let index = self.position(slot.server.layers);
        let index = index.expect("a group stays while it has a server");
        let moved = self.groups[index].unlist(slot.place);
        if let Some(moved) = moved.and_then(|key| self.servers.get_mut(key)) {
            moved.place = slot.place;
        }
        index
    }
}

/// Whether the slot is of a server with these layers that has room.
fn group_has(slot: Option<&Slot>, layers: LayerRange) -> bool {
    slot.is_some_and(|slot| slot.server.layers == layers && matches!(slot.place, Place::Open(_)))
}
