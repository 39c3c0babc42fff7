//! Simulates replicas, operators and a platform, in virtual time and with faults.

#![allow(dead_code, reason = "each test uses a part")]

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;

use bytes::Bytes;
use hemlockwind_configuration::*;
use hemlockwind_core::Error;
use hemlockwind_core::config::Version;
use hemlockwind_core::edges::ObjectVersion;
use hemlockwind_core::edges::Precondition;
use hemlockwind_core::edges::PutOutcome;
use hemlockwind_core::names::InstanceKey;
use hemlockwind_core::names::Names;
use hemlockwind_core::time::Instant;
use hemlockwind_core::time::WallTime;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The framing overhead of each message, in bytes.
pub const FRAME_BYTES: usize = 64;

/// `Scheduled` is an event at a later time. A `usize` is the index of the node or operator
/// that receives it, a `u32` the node's incarnation.
enum Scheduled {
    Deliver(usize, u32, InstanceKey, Message),
    Stored(usize, u32, Head),
    Chunk(usize, u32, Bytes),
    Timer(usize, u32),
    Operator(usize, PublishEvent),
    OperatorTimer(usize),
    LateUpdate(Head, Precondition),
}

/// `Node` is an instance of one of the data centres.
pub struct Node {
    pub replica: Replica,
    pub key: InstanceKey,
    pub dc: usize,
    pub up: bool,
    /// The number of restarts; events for an earlier incarnation are dropped.
    pub incarnation: u32,
    pub watch: bool,
    pub bytes_out: usize,
    pub messages_out: usize,
    pub in_force_at: Instant,
    timer_at: Instant,
}

/// `Operator` is an operator that publishes one change.
pub struct Operator {
    pub publish: Publish,
    pub base: Version,
    pub nonce: u64,
    pub dc: usize,
    pub outcome: Option<Outcome>,
    pub done_at: Instant,
}

/// `Faults` holds the probability of each fault, and whether the platform is down.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    /// A message between instances is lost.
    pub loss: f64,
    /// A message takes up to 4 s, or an answer of the platform up to 3 s.
    pub late: f64,
    /// A message is delivered twice.
    pub duplicate: f64,
    /// A read of the platform may miss the newest writes.
    pub stale: f64,
    /// The outcome of an operator's write is unknown.
    pub lost_answer: f64,
    /// The platform does not notify a watcher.
    pub dropped_watch: f64,
    /// Whether the platform is down.
    pub outage: bool,
}

/// `Simulation` holds the instances, the operators and the platform.
pub struct Simulation {
    pub now: Instant,
    pub rng: SmallRng,
    pub nodes: Vec<Node>,
    pub faults: Faults,
    /// Whether the connection between two data centres is cut.
    pub cuts: Vec<Vec<bool>>,
    /// Whether a data centre is cut off from the platform.
    pub platform_cuts: Vec<bool>,
    /// All heads that the platform accepted, oldest first.
    pub history: Vec<(ObjectVersion, Head)>,
    /// The document of each change, by its nonce.
    pub bodies: BTreeMap<u64, Bytes>,
    pub operators: Vec<Operator>,
    pub platform_calls: usize,
    stored_chunks: BTreeMap<Digest, Bytes>,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    scheduled: BTreeMap<u64, Scheduled>,
    /// The id of the last scheduled event.
    last_id: u64,
}

impl Simulation {
    pub fn new(seed: u64, sizes: &[usize]) -> Self {
        let mut names = Names::default();
        let dcs = sizes.iter().enumerate();
        let dcs = dcs.flat_map(|(dc, &n)| std::iter::repeat_n(dc, n));
        let nodes = dcs.enumerate().map(|(i, dc)| {
            let key: InstanceKey = names.intern(&format!("instance-{i}"));
            Node {
                replica: Replica::new(Instant::ZERO, key, seed ^ i as u64),
                key,
                dc,
                up: true,
                incarnation: 0,
                watch: false,
                bytes_out: 0,
                messages_out: 0,
                in_force_at: Instant::ZERO,
                timer_at: Instant::NEVER,
            }
        });
        let mut simulation = Self {
            now: Instant::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            nodes: nodes.collect(),
            faults: Faults::default(),
            cuts: vec![vec![false; sizes.len()]; sizes.len()],
            platform_cuts: vec![false; sizes.len()],
            history: Vec::new(),
            bodies: BTreeMap::new(),
            operators: Vec::new(),
            platform_calls: 0,
            stored_chunks: BTreeMap::new(),
            queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            last_id: 0,
        };
        simulation.refresh_peers();
        (0..simulation.nodes.len()).for_each(|node| simulation.event(node, Event::Timer));
        simulation
    }

    /// Passes the live instances to every live instance, as membership would.
    pub fn refresh_peers(&mut self) {
        let dcs = self.cuts.len();
        let mut order = vec![Vec::new(); dcs];
        for (i, node) in self.nodes.iter().enumerate().filter(|(_, n)| n.up) {
            order[node.dc].push((i * 7_919 % 101, node.key));
        }
        order.iter_mut().for_each(|of| of.sort());
        for i in 0..self.nodes.len() {
            if !self.nodes[i].up {
                continue;
            }
            let dc = self.nodes[i].dc;
            let keys = |of: &Vec<(usize, InstanceKey)>, n| -> Vec<_> {
                of.iter().take(n).map(|(_, key)| *key).collect()
            };
            let live = self.nodes.iter().enumerate();
            let live = live.filter(|(_, n)| n.up && n.dc == dc);
            let local = live.map(|(i, n)| Peer {
                key: n.key,
                hash: i as u64,
            });
            let remote = (0..dcs).filter(|&of| of != dc);
            let peers = Peers {
                local: local.collect(),
                watchers: keys(&order[dc], 2),
                remote: remote.map(|of| keys(&order[of], 4)).collect(),
            };
            self.event(i, Event::Peers(peers));
        }
    }

    pub fn head(&self) -> Option<&Head> {
        self.history.last().map(|(_, head)| head)
    }

    pub fn restart(&mut self, node: usize, up: bool) {
        let seed = self.rng.random();
        let n = &mut self.nodes[node];
        n.up = up;
        n.incarnation += 1;
        n.watch = false;
        n.in_force_at = Instant::ZERO;
        n.timer_at = Instant::NEVER;
        n.replica = Replica::new(self.now, n.key, seed);
        self.refresh_peers();
        if up {
            self.event(node, Event::Timer);
        }
    }

    /// Starts a change by an operator in `dc`, based on version `base`.
    pub fn publish(&mut self, dc: usize, base: Version, floor: Version, body: Bytes) {
        let nonce = self.rng.random();
        let change = Change {
            author: format!("operator-{}", self.operators.len()).into(),
            nonce,
            base,
            floor,
            body: body.clone(),
            at: WallTime::default(),
            deadline: self.now + Duration::from_secs(6),
        };
        self.bodies.insert(nonce, body);
        let stored = self.nodes[0].replica.digests();
        self.operators.push(Operator {
            publish: Publish::new(self.now, change, &stored),
            base,
            nonce,
            dc,
            outcome: None,
            done_at: Instant::NEVER,
        });
        self.operator_event(self.operators.len() - 1, PublishEvent::Timer);
    }

    pub fn run_until(&mut self, end: Instant) {
        while let Some(&Reverse((at, id))) = self.queue.peek()
            && at <= end
        {
            self.queue.pop();
            self.now = at;
            let scheduled_event = self.scheduled.remove(&id).expect("queued once");
            self.dispatch(scheduled_event);
        }
        self.now = end;
    }

    pub fn run_for(&mut self, ms: u64) {
        self.run_until(self.now + Duration::from_millis(ms));
    }

    fn dispatch(&mut self, scheduled_event: Scheduled) {
        match scheduled_event {
            Scheduled::Deliver(to, incarnation, from, message)
                if self.is_current(to, incarnation) =>
            {
                self.event(to, Event::Message { from, message });
            }
            Scheduled::Stored(to, incarnation, head) if self.is_current(to, incarnation) => {
                self.event(to, Event::Stored(head));
            }
            Scheduled::Chunk(to, incarnation, chunk) if self.is_current(to, incarnation) => {
                self.event(to, Event::Chunk(chunk));
            }
            Scheduled::Timer(to, incarnation) if self.is_current(to, incarnation) => {
                self.nodes[to].timer_at = Instant::NEVER;
                self.event(to, Event::Timer);
            }
            Scheduled::Deliver(..)
            | Scheduled::Stored(..)
            | Scheduled::Chunk(..)
            | Scheduled::Timer(..) => {}
            Scheduled::Operator(operator, event) => self.operator_event(operator, event),
            Scheduled::OperatorTimer(operator) => {
                self.operator_event(operator, PublishEvent::Timer)
            }
            Scheduled::LateUpdate(head, when) => {
                self.update(head, when);
            }
        }
    }

    fn is_current(&self, node: usize, incarnation: u32) -> bool {
        self.nodes[node].up && self.nodes[node].incarnation == incarnation
    }

    fn schedule(&mut self, us: u64, scheduled_event: Scheduled) {
        self.last_id += 1;
        let at = self.now + Duration::from_micros(us);
        self.queue.push(Reverse((at, self.last_id)));
        self.scheduled.insert(self.last_id, scheduled_event);
    }

    fn event(&mut self, node: usize, event: Event) {
        let now = self.now;
        let actions = self.nodes[node].replica.on_event(now, event);
        for action in actions {
            self.perform(node, action);
        }
        let due = self.nodes[node].replica.next_deadline();
        if due < self.nodes[node].timer_at {
            self.nodes[node].timer_at = due;
            let wait = due.since(now).as_micros() as u64;
            let incarnation = self.nodes[node].incarnation;
            self.schedule(wait, Scheduled::Timer(node, incarnation));
        }
    }

    fn perform(&mut self, node: usize, action: Action) {
        let (dc, incarnation) = (self.nodes[node].dc, self.nodes[node].incarnation);
        match action {
            Action::Send { to, message } => self.send(node, to, message),
            Action::ReadHead => {
                if let Some(head) = self.read_head(dc).flatten() {
                    let delay = self.platform_delay();
                    self.schedule(delay, Scheduled::Stored(node, incarnation, head.1));
                }
            }
            Action::ReadChunk(digest) => {
                let stale = self.rng.random_bool(self.faults.stale);
                let chunk = self.stored_chunks.get(&digest).cloned();
                self.platform_calls += 1;
                if let (Some(chunk), false, true) = (chunk, stale, self.platform_answers(dc)) {
                    let delay = self.platform_delay();
                    self.schedule(delay, Scheduled::Chunk(node, incarnation, chunk));
                }
            }
            Action::Watch(on) => self.nodes[node].watch = on,
            Action::PutInForce { head, body } => self.check_in_force(node, &head, &body),
        }
    }

    /// Checks that a document put in force was accepted and is complete.
    fn check_in_force(&mut self, node: usize, head: &Head, body: &Bytes) {
        let nonce = head
            .recent
            .last()
            .expect("a head lists the change that created it")
            .nonce;
        assert!(
            self.history.iter().any(|(_, h)| h == head),
            "in force but never accepted: {head:?}"
        );
        assert_eq!(&self.bodies[&nonce], body, "in force but incomplete");
        self.nodes[node].in_force_at = self.now;
    }

    fn send(&mut self, node: usize, to: InstanceKey, message: Message) {
        self.nodes[node].bytes_out += FRAME_BYTES + message_bytes(&message);
        self.nodes[node].messages_out += 1;
        // Names are interned in order, so the index of the key is that of the node.
        let to = (slotmap_index(to) - 1) as usize;
        let (a, b) = (self.nodes[node].dc, self.nodes[to].dc);
        if self.cuts[a][b] || self.rng.random_bool(self.faults.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.faults.duplicate));
        for _ in 0..copies {
            let (incarnation, from) = (self.nodes[to].incarnation, self.nodes[node].key);
            let late = self.rng.random_bool(self.faults.late);
            let max_us = if late { 4_000_000 } else { 1_500 };
            let delay = self.rng.random_range(300..max_us);
            self.schedule(
                delay,
                Scheduled::Deliver(to, incarnation, from, message.clone()),
            );
        }
    }

    fn platform_answers(&self, dc: usize) -> bool {
        !self.faults.outage && !self.platform_cuts[dc]
    }

    fn platform_delay(&mut self) -> u64 {
        let late = self.rng.random_bool(self.faults.late);
        self.rng
            .random_range(1_000..if late { 3_000_000 } else { 5_000 })
    }

    /// Returns the head that a read finds, or `None` if the platform does not answer.
    fn read_head(&mut self, dc: usize) -> Option<Option<(ObjectVersion, Head)>> {
        self.platform_calls += 1;
        if !self.platform_answers(dc) {
            return None;
        }
        let stale = self.rng.random_bool(self.faults.stale);
        let back = if stale {
            self.rng.random_range(1..4)
        } else {
            1
        };
        let index = self.history.len().checked_sub(back);
        Some(index.map(|index| self.history[index].clone()))
    }

    /// Updates the head if the precondition holds.
    fn update(&mut self, head: Head, when: Precondition) -> PutOutcome {
        let current = self.history.last().map(|(version, _)| *version);
        let holds = match when {
            Precondition::Absent => current.is_none(),
            Precondition::Version(expected) => current == Some(expected),
            Precondition::None => true,
        };
        if !holds {
            return PutOutcome::Conflict;
        }
        let version = ObjectVersion(current.map_or(17, |current| current.0 + 3));
        let new_head = head.clone();
        let mut chunks = Chunks::default();
        let stored = self.stored_chunks.values();
        stored.for_each(|chunk| chunks.insert(chunk.clone()));
        assert!(
            chunks.assemble(&new_head).is_some(),
            "accepted before all chunks were stored"
        );
        self.history.push((version, head.clone()));
        for node in 0..self.nodes.len() {
            let n = &self.nodes[node];
            let (dc, incarnation) = (n.dc, n.incarnation);
            let notified = n.watch && n.up && self.platform_answers(dc);
            if notified && !self.rng.random_bool(self.faults.dropped_watch) {
                let delay = self.platform_delay();
                self.schedule(delay, Scheduled::Stored(node, incarnation, head.clone()));
            }
        }
        PutOutcome::Done(version)
    }

    fn operator_event(&mut self, operator: usize, event: PublishEvent) {
        let now = self.now;
        let actions = self.operators[operator].publish.on_event(now, event);
        for action in actions {
            self.perform_operator_action(operator, action);
        }
        let due = self.operators[operator].publish.next_deadline();
        if due != Instant::NEVER {
            let wait = due.since(now).as_micros() as u64;
            self.schedule(wait.max(1), Scheduled::OperatorTimer(operator));
        }
    }

    fn perform_operator_action(&mut self, operator: usize, action: PublishAction) {
        let dc = self.operators[operator].dc;
        let answer_lost = self.rng.random_bool(self.faults.lost_answer);
        let delay = self.platform_delay();
        let answer = match action {
            PublishAction::ReadHead => match self.read_head(dc) {
                Some(found) => PublishEvent::HeadRead(found.map(|(v, head)| (head, v))),
                None => PublishEvent::ReadFailed,
            },
            PublishAction::PutChunk(digest, chunk) => {
                let put = if !self.platform_answers(dc) {
                    PutOutcome::Refused(Error::platform_unavailable("outage"))
                } else if answer_lost && self.rng.random() {
                    PutOutcome::Unknown(Error::platform_unknown("lost"))
                } else {
                    self.stored_chunks.insert(digest, chunk);
                    PutOutcome::Done(ObjectVersion(1))
                };
                PublishEvent::ChunkPut(digest, put)
            }
            PublishAction::PutHead(head, when) => {
                let unknown =
                    PublishEvent::HeadPut(PutOutcome::Unknown(Error::platform_unknown("lost")));
                if !self.platform_answers(dc) {
                    let refused = PutOutcome::Refused(Error::platform_unavailable("outage"));
                    PublishEvent::HeadPut(refused)
                } else if !answer_lost {
                    PublishEvent::HeadPut(self.update(head, when))
                } else {
                    match self.rng.random_range(0..4) {
                        // The update takes effect at once with an unknown outcome, or 2 s
                        // later, or at once without any answer, or never.
                        0 => drop(self.update(head, when)),
                        1 => self.schedule(2_000_000, Scheduled::LateUpdate(head, when)),
                        2 => {
                            self.update(head, when);
                            return;
                        }
                        _ => {}
                    }
                    unknown
                }
            }
            PublishAction::Finish(outcome) => {
                self.operators[operator].outcome = Some(outcome);
                self.operators[operator].done_at = self.now;
                return;
            }
        };
        self.schedule(delay, Scheduled::Operator(operator, answer));
    }
}

fn slotmap_index(key: InstanceKey) -> u64 {
    use slotmap::Key;
    key.data().as_ffi() & 0xffff_ffff
}

pub fn head_bytes(head: &Head) -> usize {
    let recent = head.recent.iter().map(|entry| 26 + entry.author.len());
    48 + recent.sum::<usize>()
}

fn message_bytes(message: &Message) -> usize {
    let sizes = |chunks: &[Bytes]| chunks.iter().map(|c| c.len() + 3).sum::<usize>();
    match message {
        Message::Version(_) => 9,
        Message::Push { head, chunks, .. } => head_bytes(head) + sizes(chunks) + 2,
        Message::Want(digests) => digests.len() * 32 + 2,
        Message::Chunks(chunks) => sizes(chunks) + 2,
    }
}
