//! One run in virtual time: arrivals, streams on fixed service times, and the
//! policy that decides who starts when and where.

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

use crate::deployment::BALANCER;
use crate::deployment::DATA_CENTRES;
use crate::deployment::Deployment;
use crate::deployment::INSTANCES;
use crate::deployment::LARGE;
use crate::deployment::LAYERS;
use crate::deployment::ORGANISATIONS;
use crate::deployment::RANKS;
use crate::deployment::Situation;
use crate::deployment::fleet;
use crate::engines::BETWEEN_DATA_CENTRES;
use crate::engines::Engines;
use crate::metrics::Outcome;
use crate::queue_owners::QueueOwners;

/// The time until a killed stage is known to be dead.
const DETECTION: Duration = Duration::from_millis(400);
/// The time between load reports of an engine.
const REPORT_PERIOD: Duration = Duration::from_millis(500);
/// The time between two looks of an entry instance for a free slot (baselines).
const POLL: Duration = Duration::from_millis(20);
/// Requests that wait in one entry instance at most (baselines).
const QUEUE_LIMIT: usize = 4_096;
/// Paths that are tried for one start.
const PATH_TRIES: usize = 12;
/// The time of a message inside a data centre.
const INSIDE: Duration = Duration::from_micros(250);

/// `Policy` is what decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Tickets at a home for each pool.
    QueueOwner,
    /// First come first served at each entry instance alone.
    Fifo,
    /// Strict rank at each entry instance alone.
    StrictRank,
    /// Round robin over fixed chains.
    Chains,
}

enum Event {
    Arrive(usize),
    Token(usize, u32),
    Poll(usize),
    Report(usize, usize, Report),
    Grants(usize, usize, Grants),
    QueueOwnerTick(usize),
    PoolsTick(usize),
    Measure,
    Loads(Vec<u32>),
    Kill,
    Detect,
}

struct Stream {
    instance: usize,
    pool: usize,
    rank: usize,
    organisation: usize,
    arrived: Instant,
    deadline: Instant,
    tokens: u32,
    done: u32,
    first_at: Instant,
    path: Vec<usize>,
    epoch: u32,
}

/// `Run` is the state of one run.
pub struct Run<'a> {
    deployment: &'a Deployment,
    situation: &'a Situation,
    policy: Policy,
    now: Instant,
    rng: SmallRng,
    heap: BinaryHeap<Reverse<(Instant, u64, usize)>>,
    events: Vec<Option<Event>>,
    spare: Vec<usize>,
    count: u64,
    engines: Engines,
    graphs: Vec<Vec<Graph>>,
    streams: Vec<Stream>,
    organisations: Vec<OrganisationKey>,
    queue_owners: QueueOwners,
    ticks: BTreeMap<(usize, usize), Instant>,
    queues: Vec<BTreeMap<(usize, usize), usize>>,
    chains: Vec<Vec<usize>>,
    next_chain: Vec<usize>,
    rates: [f64; RANKS],
    killed: Option<usize>,
    tokens: u64,
    requests: u64,
    outcome: Outcome,
}

/// Runs one situation under one policy.
pub fn run(deployment: &Deployment, situation: &Situation, policy: Policy, seed: u64) -> Outcome {
    let mut run = Run::new(deployment, situation, policy, seed);
    run.start();
    while let Some(Reverse((at, _, index))) = run.heap.pop() {
        if at > situation.span.end {
            break;
        }
        run.now = at;
        let event = run.events[index].take();
        run.spare.push(index);
        run.handle(event.expect("an event is handled once"));
    }
    run.finish()
}

impl<'a> Run<'a> {
    fn new(
        deployment: &'a Deployment,
        situation: &'a Situation,
        policy: Policy,
        seed: u64,
    ) -> Self {
        let engines = Engines::new(fleet(situation.slow_links));
        let graphs: Vec<Vec<Graph>> = INSTANCES
            .iter()
            .map(|_| (0..DATA_CENTRES).map(|dc| engines.graph(dc)).collect())
            .collect();
        let capacities: Vec<_> = graphs[0].iter().map(|g| g.bound_streams() as u32).collect();
        let mut names = Names::<OrganisationKey>::default();
        let organisations = (0..ORGANISATIONS).map(|i| names.intern(&i.to_string()));
        Self {
            deployment,
            situation,
            policy,
            now: Instant::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            heap: BinaryHeap::new(),
            events: Vec::new(),
            spare: Vec::new(),
            count: 0,
            graphs,
            streams: Vec::new(),
            organisations: organisations.collect(),
            queue_owners: QueueOwners::new(deployment, &engines.data_centres, &capacities),
            ticks: BTreeMap::new(),
            queues: vec![BTreeMap::new(); INSTANCES.len().max(engines.chains().len())],
            chains: engines.chains(),
            next_chain: vec![0; INSTANCES.len()],
            rates: [0.0; RANKS],
            killed: None,
            tokens: 0,
            requests: 0,
            outcome: Outcome::default(),
            engines,
        }
    }

    fn start(&mut self) {
        let weight = self.weights().iter().sum::<f64>() / 16.0;
        for (rank, setting) in self.deployment.ranks.iter().enumerate() {
            let tokens = f64::from(setting.tokens);
            let requests = self.engines.bound(tokens) / tokens;
            let load = self.situation.load * self.situation.factors[rank] * weight;
            self.rates[rank] = requests * setting.load * load;
            self.arrive_later(rank);
        }
        self.at(self.now, Event::Measure);
        if self.situation.kill {
            self.at(self.situation.span.kill_at, Event::Kill);
        }
        if matches!(self.policy, Policy::Fifo | Policy::StrictRank) {
            for instance in 0..INSTANCES.len() {
                self.at(self.now + POLL, Event::Poll(instance));
            }
        }
        if self.policy == Policy::QueueOwner {
            for instance in 0..INSTANCES.len() {
                for pool in 0..DATA_CENTRES {
                    let queue_owner = Some(self.queue_owners.queue_owner_of(pool));
                    let centre = self.engines.data_centres[pool];
                    self.tell_pools(instance, pools::Event::QueueOwner(centre, queue_owner));
                }
            }
        }
    }

    /// The demand of each organisation, where a small one has a weight of one.
    fn weights(&self) -> [f64; ORGANISATIONS] {
        let mut weights = [1.0; ORGANISATIONS];
        weights[..LARGE].fill(self.situation.large);
        weights
    }

    fn at(&mut self, at: Instant, event: Event) {
        let index = self.spare.pop().unwrap_or(self.events.len());
        if index == self.events.len() {
            self.events.push(None);
        }
        self.events[index] = Some(event);
        self.count += 1;
        self.heap.push(Reverse((at, self.count, index)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(rank) => {
                self.arrive_later(rank);
                self.arrive(rank);
            }
            Event::Token(stream, epoch) => self.token(stream, epoch),
            Event::Poll(instance) => {
                self.poll(instance);
                self.at(self.now + POLL, Event::Poll(instance));
            }
            Event::Report(pool, from, report) => {
                let from = self.queue_owners.instances[from];
                self.tell_queue_owner(pool, queue_owner::Event::Report(from, report));
            }
            Event::Grants(instance, pool, grants) => {
                let queue_owner = self.queue_owners.queue_owner_of(pool);
                let centre = self.engines.data_centres[pool];
                self.tell_pools(instance, pools::Event::Grants(centre, queue_owner, grants));
            }
            Event::QueueOwnerTick(pool) => {
                self.ticks.remove(&(usize::MAX, pool));
                self.tell_queue_owner(pool, queue_owner::Event::Tick);
            }
            Event::PoolsTick(instance) => {
                self.ticks.remove(&(instance, 0));
                self.tell_pools(instance, pools::Event::Tick);
            }
            Event::Measure => {
                let loads = Event::Loads(self.engines.streams.clone());
                self.at(self.now + self.situation.report_age, loads);
                self.at(self.now + REPORT_PERIOD, Event::Measure);
            }
            Event::Loads(streams) => self.take_loads(&streams),
            Event::Kill => self.kill(),
            Event::Detect => self.detect(),
        }
    }

    fn arrive_later(&mut self, rank: usize) {
        let gap = -self.rng.random::<f64>().max(1e-12).ln() / self.rates[rank].max(1e-9);
        self.at(self.now + Duration::from_secs_f64(gap), Event::Arrive(rank));
    }

    fn arrive(&mut self, rank: usize) {
        let weights = self.weights();
        let organisation = self.draw(&weights);
        // Half of a flood comes through one instance.
        let flood = self.situation.factors[rank] > 1.0 && self.rng.random_bool(0.5);
        let instance = if flood { 0 } else { self.draw(&BALANCER) };
        let setting = &self.deployment.ranks[rank];
        let low = setting.tokens / 2;
        let tokens = self.rng.random_range(low..=setting.tokens + low);
        let stream = self.streams.len();
        self.streams.push(Stream {
            instance,
            pool: INSTANCES[instance],
            rank,
            organisation,
            arrived: self.now,
            // What is left of the target is for the prefill.
            deadline: self.now + setting.first_token.mul_f64(0.8),
            tokens,
            done: 0,
            first_at: Instant::NEVER,
            path: Vec::new(),
            epoch: 0,
        });
        self.tally(stream, |t| t.offered += 1);
        match self.policy {
            Policy::QueueOwner => self.submit(stream),
            Policy::Fifo | Policy::StrictRank => self.enqueue(instance, stream),
            Policy::Chains => {
                let chain = self.next_up_chain(instance);
                self.enqueue(chain, stream);
            }
        }
    }

    fn draw(&mut self, weights: &[f64]) -> usize {
        let mut left = self.rng.random::<f64>() * weights.iter().sum::<f64>();
        for (i, weight) in weights.iter().enumerate() {
            if left < *weight {
                return i;
            }
            left -= weight;
        }
        weights.len() - 1
    }

    /// Counts for the request's rank and, if it is a small caller's, for those.
    fn tally(&mut self, stream: usize, count: impl Fn(&mut crate::metrics::Tally)) {
        let s = &self.streams[stream];
        if !self.situation.span.counts(s.arrived) {
            return;
        }
        count(&mut self.outcome.ranks[s.rank]);
        if s.organisation >= LARGE {
            count(&mut self.outcome.small[s.rank]);
        }
    }

    fn refuse(&mut self, stream: usize) {
        self.tally(stream, |t| t.refused += 1);
        if self.policy == Policy::QueueOwner && self.any_pool_idle() {
            self.outcome.refused_idle += 1;
        }
    }

    /// Whether a pool has free slots beyond its headroom.
    fn any_pool_idle(&self) -> bool {
        let queue_owners = self.queue_owners.queue_owners.iter().zip(&self.graphs[0]);
        let idle = |(queue_owner, graph): (&QueueOwner, &Graph)| {
            let headroom = self.deployment.headroom * graph.bound_streams() as f64;
            f64::from(queue_owner.free()) > headroom.ceil()
        };
        queue_owners.into_iter().any(idle)
    }

    // The design.

    fn submit(&mut self, stream: usize) {
        let s = &self.streams[stream];
        let queue_entry = QueueEntry {
            request: RequestId(Uuid::from_u128(stream as u128)),
            organisation: self.organisations[s.organisation],
            share: 1.0,
            rank: Rank(s.rank as u8),
            cost: u64::from(self.deployment.ranks[s.rank].tokens) * u64::from(LAYERS),
            deadline: s.deadline,
            running: false,
        };
        self.tell_pools(s.instance, pools::Event::Submit(queue_entry));
    }

    fn tell_pools(&mut self, instance: usize, event: pools::Event) {
        let pools = &mut self.queue_owners.pools[instance];
        let actions = pools.on_event(self.now, event);
        let next = pools.next_deadline();
        self.tick((instance, 0), next, Event::PoolsTick(instance));
        for action in actions {
            match action {
                pools::Action::Start(request, centre) => {
                    let pool = self.queue_owners.pool(centre);
                    self.start_granted(index(request), pool);
                }
                pools::Action::Refuse(refusal) => self.refuse(index(refusal.request)),
                pools::Action::Send(centre, _, report) => {
                    let pool = self.queue_owners.pool(centre);
                    let at = self.now + delay(instance, pool);
                    self.at(at, Event::Report(pool, instance, report));
                }
            }
        }
    }

    fn tell_queue_owner(&mut self, pool: usize, event: queue_owner::Event) {
        let queue_owner = &mut self.queue_owners.queue_owners[pool];
        let actions = queue_owner.on_event(self.now, event);
        let next = queue_owner.next_deadline();
        self.tick((usize::MAX, pool), next, Event::QueueOwnerTick(pool));
        for queue_owner::Action::Send(to, grants) in actions {
            let instance = self.queue_owners.index(to);
            let at = self.now + delay(instance, pool);
            self.at(at, Event::Grants(instance, pool, grants));
        }
    }

    fn tick(&mut self, key: (usize, usize), next: Instant, event: Event) {
        if self.ticks.get(&key).is_none_or(|&at| next < at) {
            self.ticks.insert(key, next);
            self.at(next.max(self.now), event);
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
        if self.queues[queue].len() >= QUEUE_LIMIT {
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

    /// Starts what can start from one queue.
    fn poll(&mut self, queue: usize) {
        while let Some((&key, &stream)) = self.queues[queue].first_key_value() {
            if self.streams[stream].deadline <= self.now {
                self.queues[queue].remove(&key);
                self.refuse(stream);
                continue;
            }
            let path = match self.policy {
                Policy::Chains => self.open_chain(queue),
                Policy::QueueOwner | Policy::Fifo | Policy::StrictRank => self.open_path(queue),
            };
            let Some((pool, path)) = path else {
                return;
            };
            self.queues[queue].remove(&key);
            self.streams[stream].pool = pool;
            self.begin(stream, path);
        }
    }

    fn open_path(&mut self, instance: usize) -> Option<(usize, Vec<usize>)> {
        let local = INSTANCES[instance];
        let pools = (0..DATA_CENTRES).map(|i| (local + i) % DATA_CENTRES);
        for pool in pools {
            if let Some(path) = self.find_path(instance, pool, &[], false) {
                return Some((pool, path));
            }
        }
        None
    }

    fn open_chain(&mut self, chain: usize) -> Option<(usize, Vec<usize>)> {
        let path = &self.chains[chain];
        let open = |&i: &usize| self.engines.up[i] && !self.engines.is_full(i);
        let pool = self.engines.servers[path[0]].data_centre;
        path.iter().all(open).then(|| (pool, path.clone()))
    }

    fn next_up_chain(&mut self, instance: usize) -> usize {
        loop {
            let next = &mut self.next_chain[instance];
            *next = (*next + 1) % self.chains.len();
            let known_dead = |i: &usize| self.killed == Some(*i);
            if !self.chains[*next].iter().any(known_dead) {
                return *next;
            }
        }
    }

    // Streams.

    /// A path with room in all its servers. Engines that are full refuse, and others
    /// are tried; with `must`, the last path is taken though it is full.
    fn find_path(
        &mut self,
        instance: usize,
        pool: usize,
        keep: &[usize],
        must: bool,
    ) -> Option<Vec<usize>> {
        let stage = |&i: &usize| routing::Stage {
            server: self.engines.keys[i],
            layers: self.engines.servers[i].layers,
        };
        let kept: Vec<_> = keep.iter().map(stage).collect();
        let mut avoid: Vec<BackendServerKey> = Vec::new();
        let mut last = None;
        for _ in 0..PATH_TRIES {
            let graph = &self.graphs[instance][pool];
            let Some(path) = graph.choose(self.now, &mut self.rng, &avoid, &kept) else {
                break;
            };
            let path = self.engines.indices(&path);
            let full = path
                .iter()
                .find(|i| self.engines.is_full(**i) && !keep.contains(i));
            let Some(&full) = full else {
                return Some(path);
            };
            avoid.push(self.engines.keys[full]);
            last = Some(path);
        }
        last.filter(|_| must)
    }

    fn begin(&mut self, stream: usize, path: Vec<usize>) {
        let (instance, pool) = (self.streams[stream].instance, self.streams[stream].pool);
        for &i in &path {
            self.engines.streams[i] += 1;
            self.graphs[instance][pool].begin(self.engines.keys[i]);
        }
        let time = self.engines.prefill_time(&path, INSTANCES[instance]);
        let s = &mut self.streams[stream];
        s.path = path;
        s.epoch += 1;
        let event = Event::Token(stream, s.epoch);
        self.at(self.now + time, event);
    }

    fn release(&mut self, stream: usize) {
        let s = &mut self.streams[stream];
        let (instance, pool) = (s.instance, s.pool);
        for i in std::mem::take(&mut s.path) {
            self.engines.streams[i] -= 1;
            self.graphs[instance][pool].end(self.engines.keys[i]);
        }
    }

    fn token(&mut self, stream: usize, epoch: u32) {
        let s = &self.streams[stream];
        // A stream whose stage is dead goes on when the death is detected.
        if s.epoch != epoch || s.path.iter().any(|&i| !self.engines.up[i]) {
            return;
        }
        let first = s.first_at == Instant::NEVER;
        if first {
            let target = self.deployment.ranks[s.rank].first_token;
            let after = self.now.since(s.arrived);
            self.tally(stream, |t| t.first_token(after, target));
            self.streams[stream].first_at = self.now;
        }
        self.count_token(stream);
        let s = &mut self.streams[stream];
        s.done += 1;
        if s.done >= s.tokens {
            let time = self.now.since(s.first_at) / (s.tokens - 1).max(1);
            self.tally(stream, |t| t.between_tokens(time));
            return self.end(stream);
        }
        let time = self.engines.token_time(&s.path, INSTANCES[s.instance]);
        self.at(self.now + time, Event::Token(stream, epoch));
    }

    fn count_token(&mut self, stream: usize) {
        if !self.situation.span.counts(self.now) {
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
                self.tell_pools(instance, pools::Event::Finish(finished));
            }
            Policy::Fifo | Policy::StrictRank => self.poll(instance),
            Policy::Chains => self.poll(chain.unwrap_or(0)),
        }
    }

    // Faults and reports.

    fn take_loads(&mut self, streams: &[u32]) {
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
        self.engines.up[0] = false;
        self.at(self.now + DETECTION, Event::Detect);
    }

    /// The death is known: no new work there, and its streams go on elsewhere.
    fn detect(&mut self) {
        self.killed = Some(0);
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
            self.tell_queue_owner(0, queue_owner::Event::Capacity(capacity));
        }
    }

    fn recover(&mut self, stream: usize) {
        let s = &self.streams[stream];
        let (instance, pool) = (s.instance, s.pool);
        let keep: Vec<_> = s.path.iter().copied().filter(|&i| i != 0).collect();
        self.release(stream);
        if self.policy == Policy::Chains {
            // A chain is replaced whole, and the answer begun again.
            self.streams[stream].done = 0;
            let chain = self.next_up_chain(instance);
            self.streams[stream].deadline = Instant::NEVER;
            return self.enqueue(chain, stream);
        }
        if let Some(path) = self.find_path(instance, pool, &keep, true) {
            let time = self.engines.prefill_time(&path, INSTANCES[instance]);
            self.outcome.gap = self.outcome.gap.max(time);
            self.begin(stream, path);
        }
    }

    fn finish(mut self) -> Outcome {
        let span = self.situation.span;
        let seconds = span.count_to.since(span.count_from).as_secs_f64();
        let tokens = self.tokens as f64 / self.requests.max(1) as f64;
        let after = self.engines.bound(tokens);
        self.engines.up.fill(true);
        let before = self.engines.bound(tokens);
        let dead = span.count_to.since(span.kill_at).as_secs_f64() / seconds;
        let bound = before + (after - before) * dead;
        self.outcome.throughput = self.tokens as f64 / seconds / bound;
        self.outcome
    }
}

/// The time of a message between an instance and the home of a pool.
fn delay(instance: usize, pool: usize) -> Duration {
    if INSTANCES[instance] == pool {
        INSIDE
    } else {
        BETWEEN_DATA_CENTRES
    }
}

fn index(request: RequestId) -> usize {
    request.0.as_u128() as usize
}
