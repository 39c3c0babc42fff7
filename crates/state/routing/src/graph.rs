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
use crate::group::Position;
use crate::path::Path;
use crate::path::Stage;
use crate::server::Server;

/// The number of servers of one layer range up to which all are compared. Of more, a
/// sample is compared.
const SCAN_LIMIT: usize = 4;
/// The number of servers that a sample compares ("power of two choices").
const SAMPLE_SIZE: usize = 2;
/// The factor from tokens per second to the unit of rates in the flow, whole thousandths
/// of a token per second.
const MILLI: f64 = 1_000.0;

/// `Graph` holds the backend servers of one model and chooses paths over them.
///
/// The time of a choice grows with the number of layer ranges, not of servers.
#[derive(Clone, Debug)]
pub struct Graph {
    model_layers: u16,
    scan_limit: usize,
    servers: SecondaryMap<BackendServerKey, Member>,
    groups: Vec<Group>,
}

/// `Member` holds a server and its position in its group.
#[derive(Clone, Copy, Debug)]
struct Member {
    server: Server,
    position: Position,
}

/// `Preferences` holds the constraints and preferences of one request for its path.
#[derive(Clone, Copy, Debug, Default)]
pub struct Preferences<'a> {
    /// Backend servers that the path must not use.
    pub avoid: &'a [BackendServerKey],
    /// Stages that hold this stream's KV cache or a slot for it already.
    pub keep: &'a [Stage],
    /// The time that a cached prefix is expected to save, by server.
    pub affinity: &'a [(BackendServerKey, Duration)],
}

/// `Candidate` is a server that may become a stage, with its expected time per token.
type Candidate = (BackendServerKey, Duration);

/// `PartialPath` holds the cost and the last stage of the best path to a layer boundary.
#[derive(Clone, Copy, Debug)]
struct PartialPath {
    cost: Duration,
    stage: Option<Stage>,
}

impl Graph {
    /// Returns a graph without servers for a model of `model_layers` layers.
    pub fn new(model_layers: u16) -> Self {
        Self {
            model_layers,
            scan_limit: SCAN_LIMIT,
            servers: SecondaryMap::new(),
            groups: Vec::new(),
        }
    }

    /// Sets the number of servers of a layer range up to which all are compared. Of more, a
    /// sample is compared.
    #[must_use]
    pub fn with_scan_limit(mut self, servers: usize) -> Self {
        self.scan_limit = servers;
        self
    }

    /// Returns the number of layers of the model.
    pub fn model_layers(&self) -> u16 {
        self.model_layers
    }

    /// Returns the number of servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether there is no server.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Returns the server with this key.
    pub fn get(&self, key: BackendServerKey) -> Option<&Server> {
        self.servers.get(key).map(|member| &member.server)
    }

    /// Returns all servers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().map(|member| &member.server)
    }

    /// Adds a server. It replaces one with the same key.
    pub fn insert(&mut self, server: Server) {
        self.remove(server.key);
        let group = self.group_or_new(server.layers);
        group.len += 1;
        group.streams += server.capacity();
        let position = group.list(server.key, server.available, server.is_full());
        self.servers.insert(server.key, Member { server, position });
    }

    /// Removes and returns a server.
    pub fn remove(&mut self, key: BackendServerKey) -> Option<Server> {
        let member = self.servers.remove(key)?;
        let index = self.unlist(&member);
        let group = &mut self.groups[index];
        group.len -= 1;
        group.streams -= member.server.capacity();
        if group.len == 0 {
            self.groups.remove(index);
        }
        Some(member.server)
    }

    /// Applies `change` to a server. Its key stays the same. Returns whether the server
    /// exists.
    pub fn update(&mut self, key: BackendServerKey, change: impl FnOnce(&mut Server)) -> bool {
        let Some(&member) = self.servers.get(key) else {
            return false;
        };
        let mut server = member.server;
        change(&mut server);
        server.key = key;
        if server.layers != member.server.layers {
            self.insert(server);
            return true;
        }
        self.update_group_capacity(&member.server, &server);
        let listed = |server: &Server| (server.available, server.is_full());
        let mut position = member.position;
        if listed(&server) != listed(&member.server) {
            let index = self.unlist(&member);
            position = self.groups[index].list(key, server.available, server.is_full());
        }
        self.servers.insert(key, Member { server, position });
        true
    }

    /// Records that a stream of this instance started on a server.
    pub fn begin(&mut self, key: BackendServerKey) {
        self.update(key, |server| {
            server.in_flight = server.in_flight.saturating_add(1);
        });
    }

    /// Records that a stream of this instance ended on a server.
    pub fn end(&mut self, key: BackendServerKey) {
        self.update(key, |server| {
            server.in_flight = server.in_flight.saturating_sub(1);
        });
    }

    /// Returns the path with the least expected time for one token that uses no server of
    /// `avoid`, with a preference for the stages of `keep`. See [`Graph::choose_with`].
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

    /// Returns the path with the least expected time for one token, or `None` when the
    /// available servers don't form a path through all layers. Full servers are used only
    /// when there is no path without them.
    pub fn choose_with(
        &self,
        now: Instant,
        rng: &mut impl Rng,
        preferences: &Preferences<'_>,
    ) -> Option<Path> {
        let open =
            self.shortest_path(|group| self.pick_server(now, rng, preferences, group, false));
        open.or_else(|| {
            self.shortest_path(|group| self.pick_server(now, rng, preferences, group, true))
        })
    }

    /// Returns the maximum number of streams that the available servers can carry at once.
    /// Its time grows with the number of layer ranges, not of servers.
    pub fn bound_streams(&self) -> u64 {
        let edges = self.groups.iter();
        let edges = edges.map(|group| (group.layers, group.streams));
        Flow::bound(self.model_layers, edges)
    }

    /// Returns the maximum tokens per second of the available servers, if each runs as many
    /// streams as its limit allows, with the step time of an idle server. Its time grows
    /// with the number of servers.
    pub fn bound_tokens(&self) -> f64 {
        let available = self.servers().filter(|server| server.available);
        let edges = available.map(|server| {
            let seconds = server.step_time.as_secs_f64();
            // The cast saturates, so a step time of zero sets no bound.
            let rate = f64::from(server.limit) / seconds * MILLI;
            (server.layers, rate as u64)
        });
        Flow::bound(self.model_layers, edges) as f64 / MILLI
    }

    /// Returns the shortest path over the layer boundaries, with one candidate per group.
    /// The groups are sorted by their first layers, so the best path to each boundary is
    /// final before a group that starts there is processed.
    fn shortest_path(
        &self,
        mut pick_server: impl FnMut(&Group) -> Option<Candidate>,
    ) -> Option<Path> {
        let mut best: Vec<Option<PartialPath>> = vec![None; usize::from(self.model_layers) + 1];
        best[0] = Some(PartialPath {
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
            let Some((server, cost)) = pick_server(group) else {
                continue;
            };
            let cost = before.cost + cost;
            let end = &mut best[usize::from(group.layers.end())];
            if end.is_none_or(|best| cost < best.cost) {
                let layers = group.layers;
                let stage = Some(Stage { server, layers });
                *end = Some(PartialPath { cost, stage });
            }
        }
        self.trace_path(&best)
    }

    /// Returns the path to the last layer, traced back over the last stages in `best`.
    fn trace_path(&self, best: &[Option<PartialPath>]) -> Option<Path> {
        let mut stages = Vec::new();
        let mut end = self.model_layers;
        while let Some(stage) = best[usize::from(end)]?.stage {
            stages.push(stage);
            end = stage.layers.start();
        }
        stages.reverse();
        Path::new(stages, self.model_layers).ok()
    }

    /// Returns the best candidate of a group.
    fn pick_server(
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
            if is_open_in_group(self.servers.get(key), group.layers) {
                consider(key);
            }
        }
        self.sample(rng, &group.open, preferences.avoid.len(), &mut consider);
        if allow_full {
            self.sample(rng, &group.full, preferences.avoid.len(), &mut consider);
        }
        best
    }

    /// Returns the best stage of the group that the stream uses already. The stream needs
    /// no free slot and no prefill there, so the stage costs only the time of its link.
    fn best_kept(&self, preferences: &Preferences<'_>, group: &Group) -> Option<Candidate> {
        let kept = preferences.keep.iter();
        let kept = kept.filter(|stage| stage.layers == group.layers);
        let kept = kept.filter(|stage| !preferences.avoid.contains(&stage.server));
        let servers = kept.filter_map(|stage| self.get(stage.server));
        let servers = servers.filter(|s| s.available && s.layers == group.layers);
        let costs = servers.map(|server| (server.key, server.link_both_ways()));
        costs.min_by_key(|&(_, cost)| cost)
    }

    /// Passes servers of the list to `consider`, which returns whether the path may use the
    /// server: all of a short list, else a random sample that is large enough to hold two
    /// servers that are not avoided. The sample ends after two usable servers.
    fn sample(
        &self,
        rng: &mut impl Rng,
        list: &[BackendServerKey],
        avoided: usize,
        mut consider: impl FnMut(BackendServerKey) -> bool,
    ) {
        let amount = SAMPLE_SIZE + avoided;
        if list.len() <= self.scan_limit.max(amount) {
            for &key in list {
                consider(key);
            }
            return;
        }
        let mut usable = 0;
        for index in index::sample(rng, list.len(), amount) {
            usable += usize::from(consider(list[index]));
            if usable == SAMPLE_SIZE {
                return;
            }
        }
    }

    /// Returns the candidate for a server, or `None` when the path must not use it.
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

    /// Returns the index of a layer range's group, or the index to insert it at.
    fn group_index(&self, layers: LayerRange) -> Result<usize, usize> {
        self.groups
            .binary_search_by_key(&layers, |group| group.layers)
    }

    /// Returns a layer range's group, which is added if there is none.
    fn group_or_new(&mut self, layers: LayerRange) -> &mut Group {
        let index = self.group_index(layers).unwrap_or_else(|index| {
            self.groups.insert(index, Group::new(layers));
            index
        });
        &mut self.groups[index]
    }

    /// Updates the total capacity of a group after a change of a server.
    fn update_group_capacity(&mut self, old: &Server, new: &Server) {
        if old.capacity() == new.capacity() {
            return;
        }
        let group = self.group_or_new(new.layers);
        group.streams -= old.capacity();
        group.streams += new.capacity();
    }

    /// Removes a server from its group's lists. Returns the index of the group.
    fn unlist(&mut self, member: &Member) -> usize {
        let index = self.group_index(member.server.layers);
        let index = index.expect("a group stays while it has a server");
        let moved = self.groups[index].unlist(member.position);
        if let Some(moved) = moved.and_then(|key| self.servers.get_mut(key)) {
            moved.position = member.position;
        }
        index
    }
}

/// Returns whether the member is an available server with these layers that is not full.
fn is_open_in_group(member: Option<&Member>, layers: LayerRange) -> bool {
    member.is_some_and(|member| {
        member.server.layers == layers && matches!(member.position, Position::Open(_))
    })
}
