//! One run in virtual time: requests arrive, the policy decides when and where they
//! start, and their streams run with fixed service times.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use uuid::Uuid;

use hemlockwind::core::engine::RequestId;
use hemlockwind::core::names::BackendServerKey;
use hemlockwind::core::names::Names;
use hemlockwind::core::names::OrganisationKey;
use hemlockwind::core::names::Rank;
use hemlockwind::core::time::Instant;
use hemlockwind::queueing::QueueEntry;
use hemlockwind::queueing::QueueOwner;
use hemlockwind::queueing::message::Finished;
use hemlockwind::queueing::message::Grants;
use hemlockwind::queueing::message::Report;
use hemlockwind::queueing::pools;
use hemlockwind::queueing::queue_owner;
use hemlockwind::routing;
use hemlockwind::routing::Graph;

use crate::deployment::BALANCER_SHARES;
use crate::deployment::DATA_CENTRES;
use crate::deployment::Deployment;
use crate::deployment::INSTANCE_DATA_CENTRES;
use crate::deployment::LARGE_ORGANISATIONS;
use crate::deployment::LAYERS;
use crate::deployment::ORGANISATIONS;
use crate::deployment::RANKS;
use crate::deployment::Scenario;
use crate::deployment::fleet;
use crate::engines::Engines;
use crate::engines::INTER_DATA_CENTRE_DELAY;
use crate::metrics::Outcome;
use crate::queue_owners::QueueOwners;

/// The time until a killed engine is detected as dead.
const DETECTION_DELAY: Duration = Duration::from_millis(400);
/// The time between two load reports of an engine.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// The time between two polls of an instance for a free slot, in the baselines.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The maximum number of requests that wait in one queue of the baselines.
const MAX_QUEUE_LENGTH: usize = 4_096;
/// The maximum number of paths that are tried for one start.
const MAX_PATH_TRIES: usize = 12;
/// The time of a message inside a data centre.
const INTRA_DATA_CENTRE_DELAY: Duration = Duration::from_micros(250);

/// `Policy` decides when and where requests start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The policy under test: queue entries at a queue owner for each pool.
    QueueOwner,
    /// First in, first out, at each instance on its own.
    Fifo,
    /// The most urgent rank first, at each instance on its own.
    StrictRank,
    /// Round robin over fixed chains of engines.
    Chains,
}

enum Event {
    /// A request of this rank arrives.
    Arrive(usize),
    /// A token of this stream and incarnation is ready.
    Token(usize, u32),
    /// This instance polls for a free slot, in the baselines.
    Poll(usize),
    /// The queue owner of this pool receives a report from this instance.
    Report(usize, usize, Report),
    /// This instance receives grants from the queue owner of this pool.
    Grants(usize, usize, Grants),
    /// The next deadline of this pool's queue owner has come.
    QueueOwnerTick(usize),
    /// The next deadline of this instance's pools has come.
    PoolsTick(usize),
    /// The engines measure their load for the next reports.
    Measure,
    /// The load reports arrive, with the number of streams on each server.
    Loads(Vec<u32>),
    /// The first server is killed.
    Kill,
    /// The death of the first server is detected.
    Detect,
}

struct Stream {
    instance: usize,
    pool: usize,
    rank: usize,
    organisation: usize,
    arrived_at: Instant,
    /// The latest time at which it may start.
    start_deadline: Instant,
    /// The number of tokens of the whole answer.
    tokens: u32,
    /// The number of tokens so far.
    done: u32,
    /// The time of the first token, or [`Instant::NEVER`] before it.
    first_token_at: Instant,
    /// The servers that it runs on.
    path: Vec<usize>,
    /// The number of starts on a path. Tokens of earlier starts are ignored.
    incarnation: u32,
}

/// `Run` is the state of one run.
pub struct Run<'a> {
    deployment: &'a Deployment,
    scenario: &'a Scenario,
    policy: Policy,
    now: Instant,
    rng: SmallRng,
    /// The time, sequence number and index in `events` of each scheduled event.
    event_heap: BinaryHeap<Reverse<(Instant, u64, usize)>>,
    events: Vec<Option<Event>>,
    /// The indices of `events` that may be used again.
    free_indices: Vec<usize>,
    /// The sequence number of the last scheduled event. Of events at the same time, the one
    /// scheduled first is handled first.
    sequence: u64,
    engines: Engines,
    /// Each instance's graph of each data centre.
    graphs: Vec<Vec<Graph>>,
    streams: Vec<Stream>,
    organisations: Vec<OrganisationKey>,
    queue_owners: QueueOwners,
    /// The time of the next scheduled tick: of an instance's pools with the key
    /// `(instance, 0)`, and of a pool's queue owner with the key `(usize::MAX, pool)`.
    scheduled_ticks: BTreeMap<(usize, usize), Instant>,
    /// The queues of the baselines, by instance or chain: streams by rank and arrival.
    queues: Vec<BTreeMap<(usize, usize), usize>>,
    chains: Vec<Vec<usize>>,
    /// The chain that each instance used last.
    last_chain: Vec<usize>,
    /// Requests per second of each rank.
    rates: [f64; RANKS],
    /// The server whose death was detected.
    detected_dead: Option<usize>,
    /// The number of counted tokens.
    tokens: u64,
    /// The number of counted first tokens.
    requests: u64,
    outcome: Outcome,
}

/// Runs one scenario under one policy and returns the result.
pub fn run(deployment: &Deployment, scenario: &Scenario, policy: Policy, seed: u64) -> Outcome {
    let mut run = Run::new(deployment, scenario, policy, seed);
    run.start();
    while let Some(Reverse((at, _, index))) = run.event_heap.pop() {
        if at > scenario.span.end {
            break;
        }
        run.now = at;
        let event = run.events[index].take();
        run.free_indices.push(index);
        run.handle(event.expect("an event is handled once"));
    }
    run.finish()
}

impl<'a> Run<'a> {
    fn new(deployment: &'a Deployment, scenario: &'a Scenario, policy: Policy, seed: u64) -> Self {
        let engines = Engines::new(fleet(scenario.has_slow_links));
        let graphs: Vec<Vec<Graph>> = INSTANCE_DATA_CENTRES
            .iter()
            .map(|_| (0..DATA_CENTRES).map(|dc| engines.graph(dc)).collect())
            .collect();
        let capacities: Vec<_> = graphs[0].iter().map(|g| g.bound_streams() as u32).collect();
        let mut names = Names::<OrganisationKey>::default();
        let organisations = (0..ORGANISATIONS).map(|i| names.intern(&i.to_string()));
        Self {
            deployment,
            scenario,
            policy,
            now: Instant::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            event_heap: BinaryHeap::new(),
            events: Vec::new(),
            free_indices: Vec::new(),
            sequence: 0,
            graphs,
            streams: Vec::new(),
            organisations: organisations.collect(),
            queue_owners: QueueOwners::new(deployment, &engines.data_centres, &capacities),
            scheduled_ticks: BTreeMap::new(),
            queues: vec![BTreeMap::new(); INSTANCE_DATA_CENTRES.len().max(engines.chains().len())],
            chains: engines.chains(),
            last_chain: vec![0; INSTANCE_DATA_CENTRES.len()],
            rates: [0.0; RANKS],
            detected_dead: None,
            tokens: 0,
            requests: 0,
            outcome: Outcome::default(),
            engines,
        }
    }

    fn start(&mut self) {
        // 16 is the demand of all organisations in the steady scenario: 8 small ones and
        // 2 large ones of 4 each.
        let demand_factor = self.organisation_demands().iter().sum::<f64>() / 16.0;
        for (rank, setting) in self.deployment.ranks.iter().enumerate() {
            let tokens = f64::from(setting.mean_tokens);
            let request_bound = self.engines.throughput_bound(tokens) / tokens;
            let load = self.scenario.load * self.scenario.rank_factors[rank] * demand_factor;
            self.rates[rank] = request_bound * setting.load_share * load;
            self.schedule_arrival(rank);
        }
        self.schedule(self.now, Event::Measure);
        if self.scenario.kills_engine {
            self.schedule(self.scenario.span.kill_at, Event::Kill);
        }
        if matches!(self.policy, Policy::Fifo | Policy::StrictRank) {
            for instance in 0..INSTANCE_DATA_CENTRES.len() {
                self.schedule(self.now + POLL_INTERVAL, Event::Poll(instance));
            }
        }
        if self.policy == Policy::QueueOwner {
            for instance in 0..INSTANCE_DATA_CENTRES.len() {
                for pool in 0..DATA_CENTRES {
                    let queue_owner = Some(self.queue_owners.queue_owner_of(pool));
                    let centre = self.engines.data_centres[pool];
                    self.notify_pools(instance, pools::Event::QueueOwner(centre, queue_owner));
                }
            }
        }
    }

    /// Returns the demand of each organisation, where that of a small one is 1.
    fn organisation_demands(&self) -> [f64; ORGANISATIONS] {
        let mut demands = [1.0; ORGANISATIONS];
        demands[..LARGE_ORGANISATIONS].fill(self.scenario.large_demand);
        demands
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        let index = self.free_indices.pop().unwrap_or(self.events.len());
        if index == self.events.len() {
            self.events.push(None);
        }
        self.events[index] = Some(event);
        self.sequence += 1;
        self.event_heap.push(Reverse((at, self.sequence, index)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(rank) => {
                self.schedule_arrival(rank);
                self.arrive(rank);
            }
            Event::Token(stream, incarnation) => self.token(stream, incarnation),
            Event::Poll(instance) => {
                self.poll(instance);
                self.schedule(self.now + POLL_INTERVAL, Event::Poll(instance));
            }
            Event::Report(pool, from, report) => {
                let from = self.queue_owners.instances[from];
                self.notify_queue_owner(pool, queue_owner::Event::Report(from, report));
            }
            Event::Grants(instance, pool, grants) => {
                let queue_owner = self.queue_owners.queue_owner_of(pool);
                let centre = self.engines.data_centres[pool];
                self.notify_pools(instance, pools::Event::Grants(centre, queue_owner, grants));
            }
            Event::QueueOwnerTick(pool) => {
                self.scheduled_ticks.remove(&(usize::MAX, pool));
                self.notify_queue_owner(pool, queue_owner::Event::Tick);
            }
            Event::PoolsTick(instance) => {
                self.scheduled_ticks.remove(&(instance, 0));
                self.notify_pools(instance, pools::Event::Tick);
            }
            Event::Measure => {
                let loads = Event::Loads(self.engines.streams.clone());
                self.schedule(self.now + self.scenario.report_age, loads);
                self.schedule(self.now + REPORT_INTERVAL, Event::Measure);
            }
            Event::Loads(streams) => self.apply_load_reports(&streams),
            Event::Kill => self.kill(),
            Event::Detect => self.detect(),
        }
    }

    /// Schedules the next arrival of a Poisson process.
    fn schedule_arrival(&mut self, rank: usize) {
        let interval_s = -self.rng.random::<f64>().max(1e-12).ln() / self.rates[rank].max(1e-9);
        self.schedule(
            self.now + Duration::from_secs_f64(interval_s),
            Event::Arrive(rank),
        );
    }

    fn arrive(&mut self, rank: usize) {
        let demands = self.organisation_demands();
        let organisation = self.sample_index(&demands);
        // Half of the requests of an overloading rank arrive at one instance.
        let is_skewed = self.scenario.rank_factors[rank] > 1.0 && self.rng.random_bool(0.5);
        let instance = if is_skewed {
            0
        } else {
            self.sample_index(&BALANCER_SHARES)
        };
        let setting = &self.deployment.ranks[rank];
        let half = setting.mean_tokens / 2;
        let tokens = self.rng.random_range(half..=setting.mean_tokens + half);
        let stream = self.streams.len();
        self.streams.push(Stream {
            instance,
            pool: INSTANCE_DATA_CENTRES[instance],
            rank,
            organisation,
            arrived_at: self.now,
            // The rest of the target is left for the prefill.
            start_deadline: self.now + setting.first_token_target.mul_f64(0.8),
            tokens,
            done: 0,
            first_token_at: Instant::NEVER,
            path: Vec::new(),
            incarnation: 0,
        });
        self.tally(stream, |t| t.offered += 1);
        match self.policy {
            Policy::QueueOwner => self.submit(stream),
            Policy::Fifo | Policy::StrictRank => self.enqueue(instance, stream),
            Policy::Chains => {
                let chain = self.next_live_chain(instance);
                self.enqueue(chain, stream);
            }
        }
    }

    /// Returns a random index with a probability in proportion to its weight.
    fn sample_index(&mut self, weights: &[f64]) -> usize {
        let mut left = self.rng.random::<f64>() * weights.iter().sum::<f64>();
        for (i, weight) in weights.iter().enumerate() {
            if left < *weight {
                return i;
            }
            left -= weight;
        }
        weights.len() - 1
    }

    /// Applies `count` to the tally of the request's rank and, for a small organisation, to
    /// that of small organisations.
    fn tally(&mut self, stream: usize, count: impl Fn(&mut crate::metrics::Tally)) {
        let s = &self.streams[stream];
        if !self.scenario.span.counts(s.arrived_at) {
            return;
        }
        count(&mut self.outcome.ranks[s.rank]);
        if s.organisation >= LARGE_ORGANISATIONS {
            count(&mut self.outcome.small[s.rank]);
        }
    }

    fn refuse(&mut self, stream: usize) {
        self.tally(stream, |t| t.refused += 1);
        if self.policy == Policy::QueueOwner && self.any_pool_idle() {
            self.outcome.refused_idle += 1;
        }
    }

    /// Returns whether a pool has free slots beyond its headroom.
    fn any_pool_idle(&self) -> bool {
        let queue_owners = self.queue_owners.queue_owners.iter().zip(&self.graphs[0]);
        let idle = |(queue_owner, graph): (&QueueOwner, &Graph)| {
            let headroom = self.deployment.headroom * graph.bound_streams() as f64;
            f64::from(queue_owner.free()) > headroom.ceil()
        };
        queue_owners.into_iter().any(idle)
    }

    // The policy under test.

    fn submit(&mut self, stream: usize) {
        let s = &self.streams[stream];
        let queue_entry = QueueEntry {
            request: RequestId(Uuid::from_u128(stream as u128)),
            organisation: self.organisations[s.organisation],
            share: 1.0,
            rank: Rank(s.rank as u8),
            cost: u64::from(self.deployment.ranks[s.rank].mean_tokens) * u64::from(LAYERS),
            deadline: s.start_deadline,
            running: false,
        };
        self.notify_pools(s.instance, pools::Event::Submit(queue_entry));
    }

    fn notify_pools(&mut self, instance: usize, event: pools::Event) {
        let pools = &mut self.queue_owners.pools[instance];
        let actions = pools.on_event(self.now, event);
        let next = pools.next_deadline();
        self.schedule_tick((instance, 0), next, Event::PoolsTick(instance));
        for action in actions {
            match action {
                pools::Action::Start(request, centre) => {
                    let pool = self.queue_owners.pool_of(centre);
                    self.start_granted(stream_index(request), pool);
                }
                pools::Action::Refuse(refusal) => self.refuse(stream_index(refusal.request)),
                pools::Action::Send(centre, _, report) => {
                    let pool = self.queue_owners.pool_of(centre);
                    let at = self.now + message_delay(instance, pool);
                    self.schedule(at, Event::Report(pool, instance, report));
                }
            }
        }
    }

    fn notify_queue_owner(&mut self, pool: usize, event: queue_owner::Event) {
        let queue_owner = &mut self.queue_owners.queue_owners[pool];
        let actions = queue_owner.on_event(self.now, event);
        let next = queue_owner.next_deadline();
        self.schedule_tick((usize::MAX, pool), next, Event::QueueOwnerTick(pool));
        for queue_owner::Action::Send(to, grants) in actions {
            let instance = self.queue_owners.index_of(to);
            let at = self.now + message_delay(instance, pool);
            self.schedule(at, Event::Grants(instance, pool, grants));
        }
    }

    /// Schedules a tick for `next`, unless one is scheduled for that time or before.
    fn schedule_tick(&mut self, key: (usize, usize), next: Instant, event: Event) {
        if self.scheduled_ticks.get(&key).is_none_or(|&at| next < at) {
            self.scheduled_ticks.insert(key, next);
            self.schedule(next.max(self.now), event);
        }
    }

    fn start_granted(&mut self, stream: usize, pool: usize) {
        let s = &mut self.streams[stream];
        s.pool = pool;
        let instance = s.instance;
        let path = self.find_path(instance, pool, &[], true);
        match path {
            Some(path) => self.begin(stream, path),
            None => self.end(stream),
        }
    }

    // The baselines.

    fn enqueue(&mut self, queue: usize, stream: usize) {
        if self.queues[queue].len() >= MAX_QUEUE_LENGTH {
            return self.refuse(stream);
        }
        let rank = match self.policy {
            Policy::StrictRank => self.streams[stream].rank,
            Policy::QueueOwner | Policy::Fifo | Policy::Chains => 0,
        };
        let was_empty = self.queues[queue].is_empty();
        self.queues[queue].insert((rank, stream), stream);
        if was_empty {
            self.poll(queue);
        }
    }

    /// Starts requests of one queue until the next one finds no free path. Refuses those
    /// whose deadline has passed.
    fn poll(&mut self, queue: usize) {
        while let Some((&key, &stream)) = self.queues[queue].first_key_value() {
            if self.streams[stream].start_deadline <= self.now {
                self.queues[queue].remove(&key);
                self.refuse(stream);
                continue;
            }
            let path = match self.policy {
                Policy::Chains => self.find_free_chain(queue),
                Policy::QueueOwner | Policy::Fifo | Policy::StrictRank => {
                    self.find_free_path(queue)
                }
            };
            let Some((pool, path)) = path else {
                return;
            };
            self.queues[queue].remove(&key);
            self.streams[stream].pool = pool;
            self.begin(stream, path);
        }
    }

    /// Returns a pool and a path in it that has a free slot on every server. Tries the local
    /// pool first.
    fn find_free_path(&mut self, instance: usize) -> Option<(usize, Vec<usize>)> {
        let local = INSTANCE_DATA_CENTRES[instance];
        let pools = (0..DATA_CENTRES).map(|i| (local + i) % DATA_CENTRES);
        for pool in pools {
            if let Some(path) = self.find_path(instance, pool, &[], false) {
                return Some((pool, path));
            }
        }
        None
    }

    /// Returns the pool and the servers of a chain if each server runs and has a free slot.
    fn find_free_chain(&mut self, chain: usize) -> Option<(usize, Vec<usize>)> {
        let path = &self.chains[chain];
        let is_free = |&i: &usize| self.engines.is_up[i] && !self.engines.is_full(i);
        let pool = self.engines.servers[path[0]].data_centre;
        path.iter().all(is_free).then(|| (pool, path.clone()))
    }

    /// Returns the instance's next chain without a server whose death was detected.
    fn next_live_chain(&mut self, instance: usize) -> usize {
        loop {
            let last = &mut self.last_chain[instance];
            *last = (*last + 1) % self.chains.len();
            let is_detected_dead = |i: &usize| self.detected_dead == Some(*i);
            if !self.chains[*last].iter().any(is_detected_dead) {
                return *last;
            }
        }
    }

    // Streams.

    /// Returns a path with a free slot on each server that is not one of `keep`. A full server
    /// refuses a stream, so several paths are tried. If each of them has a full server,
    /// returns the last one if `allows_full` is set.
    fn find_path(
        &mut self,
        instance: usize,
        pool: usize,
        keep: &[usize],
        allows_full: bool,
    ) -> Option<Vec<usize>> {
        let stage = |&i: &usize| routing::Stage {
            server: self.engines.keys[i],
            layers: self.engines.servers[i].layers,
        };
        let kept: Vec<_> = keep.iter().map(stage).collect();
        let mut avoid: Vec<BackendServerKey> = Vec::new();
        let mut last = None;
        for _ in 0..MAX_PATH_TRIES {
            let graph = &self.graphs[instance][pool];
            let Some(path) = graph.choose(self.now, &mut self.rng, &avoid, &kept) else {
                break;
            };
            let path = self.engines.indices_of(&path);
            let full = path
                .iter()
                .find(|i| self.engines.is_full(**i) && !keep.contains(i));
            let Some(&full) = full else {
                return Some(path);
            };
            avoid.push(self.engines.keys[full]);
            last = Some(path);
        }
        last.filter(|_| allows_full)
    }

    fn begin(&mut self, stream: usize, path: Vec<usize>) {
        let (instance, pool) = (self.streams[stream].instance, self.streams[stream].pool);
        for &i in &path {
            self.engines.streams[i] += 1;
            self.graphs[instance][pool].begin(self.engines.keys[i]);
        }
        let time = self
            .engines
            .prefill_time(&path, INSTANCE_DATA_CENTRES[instance]);
        let s = &mut self.streams[stream];
        s.path = path;
        s.incarnation += 1;
        let event = Event::Token(stream, s.incarnation);
        self.schedule(self.now + time, event);
    }

    fn release(&mut self, stream: usize) {
        let s = &mut self.streams[stream];
        let (instance, pool) = (s.instance, s.pool);
        for i in std::mem::take(&mut s.path) {
            self.engines.streams[i] -= 1;
            self.graphs[instance][pool].end(self.engines.keys[i]);
        }
    }

    fn token(&mut self, stream: usize, incarnation: u32) {
        let s = &self.streams[stream];
        // A stream with a dead stage resumes when the death of that stage is detected.
        if s.incarnation != incarnation || s.path.iter().any(|&i| !self.engines.is_up[i]) {
            return;
        }
        let is_first = s.first_token_at == Instant::NEVER;
        if is_first {
            let target = self.deployment.ranks[s.rank].first_token_target;
            let time = self.now.since(s.arrived_at);
            self.tally(stream, |t| t.record_first_token(time, target));
            self.streams[stream].first_token_at = self.now;
        }
        self.count_token(stream);
        let s = &mut self.streams[stream];
        s.done += 1;
        if s.done >= s.tokens {
            let time = self.now.since(s.first_token_at) / (s.tokens - 1).max(1);
            self.tally(stream, |t| t.record_mean_interval(time));
            return self.end(stream);
        }
        let time = self
            .engines
            .token_time(&s.path, INSTANCE_DATA_CENTRES[s.instance]);
        self.schedule(self.now + time, Event::Token(stream, incarnation));
    }

    fn count_token(&mut self, stream: usize) {
        if !self.scenario.span.counts(self.now) {
            return;
        }
        self.tokens += 1;
        self.requests += u64::from(self.streams[stream].done == 0);
        self.outcome.ranks[self.streams[stream].rank].tokens += 1;
    }

    fn end(&mut self, stream: usize) {
        let chain = self.streams[stream].path.first();
        let chain = chain.map(|&i| self.engines.servers[i].chain);
        self.release(stream);
        let s = &self.streams[stream];
        let instance = s.instance;
        match self.policy {
            Policy::QueueOwner => {
                let finished = Finished {
                    request: RequestId(Uuid::from_u128(stream as u128)),
                    cost: u64::from(s.tokens) * u64::from(LAYERS),
                };
                self.notify_pools(instance, pools::Event::Finish(finished));
            }
            Policy::Fifo | Policy::StrictRank => self.poll(instance),
            Policy::Chains => self.poll(chain.unwrap_or(0)),
        }
    }

    // Faults and reports.

    fn apply_load_reports(&mut self, streams: &[u32]) {
        for graphs in &mut self.graphs {
            for graph in graphs {
                for (i, &key) in self.engines.keys.iter().enumerate() {
                    let now = self.now;
                    graph.update(key, |s| {
                        s.report = Some(routing::Report::new(now, streams[i], s.in_flight));
                    });
                }
            }
        }
    }

    fn kill(&mut self) {
        self.engines.is_up[0] = false;
        self.schedule(self.now + DETECTION_DELAY, Event::Detect);
    }

    /// Handles the detection of the dead server: it gets no new work, and its streams
    /// resume on other paths.
    fn detect(&mut self) {
        self.detected_dead = Some(0);
        let key = self.engines.keys[0];
        for graphs in &mut self.graphs {
            graphs[0].update(key, |s| s.available = false);
        }
        let streams = 0..self.streams.len();
        let lost: Vec<_> = streams
            .filter(|&s| self.streams[s].path.contains(&0))
            .collect();
        for stream in lost {
            self.recover(stream);
        }
        if self.policy == Policy::QueueOwner {
            let capacity = self.graphs[0][0].bound_streams() as u32;
            self.notify_queue_owner(0, queue_owner::Event::Capacity(capacity));
        }
    }

    fn recover(&mut self, stream: usize) {
        let s = &self.streams[stream];
        let (instance, pool) = (s.instance, s.pool);
        let keep: Vec<_> = s.path.iter().copied().filter(|&i| i != 0).collect();
        self.release(stream);
        if self.policy == Policy::Chains {
            // A chain is replaced as a whole, so another one starts the answer from its
            // beginning.
            self.streams[stream].done = 0;
            let chain = self.next_live_chain(instance);
            self.streams[stream].start_deadline = Instant::NEVER;
            return self.enqueue(chain, stream);
        }
        if let Some(path) = self.find_path(instance, pool, &keep, true) {
            let time = self
                .engines
                .prefill_time(&path, INSTANCE_DATA_CENTRES[instance]);
            self.outcome.longest_pause = self.outcome.longest_pause.max(time);
            self.begin(stream, path);
        }
    }

    fn finish(mut self) -> Outcome {
        let span = self.scenario.span;
        let seconds = span.count_to.since(span.count_from).as_secs_f64();
        let mean_tokens = self.tokens as f64 / self.requests.max(1) as f64;
        let after = self.engines.throughput_bound(mean_tokens);
        self.engines.is_up.fill(true);
        let before = self.engines.throughput_bound(mean_tokens);
        let dead_share = span.count_to.since(span.kill_at).as_secs_f64() / seconds;
        let bound = before + (after - before) * dead_share;
        self.outcome.throughput = self.tokens as f64 / seconds / bound;
        self.outcome
    }
}

/// Returns the time of a message between an instance and the queue owner of a pool.
fn message_delay(instance: usize, pool: usize) -> Duration {
    if INSTANCE_DATA_CENTRES[instance] == pool {
        INTRA_DATA_CENTRE_DELAY
    } else {
        INTER_DATA_CENTRE_DELAY
    }
}

fn stream_index(request: RequestId) -> usize {
    request.0.as_u128() as usize
}
