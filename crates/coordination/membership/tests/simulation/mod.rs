//! Simulates instances that probe each other, in virtual time and with faults.

#![allow(dead_code, reason = "each test uses a part")]

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hemlockwind_core::edges::ListEntry;
use hemlockwind_core::edges::ListKind;
use hemlockwind_core::edges::ListState;
use hemlockwind_core::time::Instant;
use hemlockwind_core::time::WallTime;
use hemlockwind_membership::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The framing overhead of each message, in bytes.
pub const FRAME_BYTES: usize = 64;
/// The time between two reads of the platform's list by the instances assigned to it.
const LIST_MS: u64 = 1_000;
/// The wall time at the start, in milliseconds.
const WALL_MS: u64 = 1_700_000_000_000;
/// Half the range of the clock skew, in milliseconds.
const SKEW_MS: u64 = 500;

enum Scheduled {
    Deliver(usize, u32, Message),
    Timer(usize, u32),
    List(usize, u32),
}

pub struct Node {
    pub members: Members,
    pub name: Arc<str>,
    pub dc: usize,
    pub up: bool,
    pub leaving: bool,
    /// The side of a partition within the data centre.
    pub side: u8,
    /// When it last started or stopped, or when its last pause ends.
    pub changed_at: Instant,
    pub paused_until: Instant,
    pub generation: u32,
    pub bytes_out: usize,
    pub messages_out: usize,
    timer_at: Instant,
}

pub struct Simulation {
    pub now: Instant,
    pub rng: SmallRng,
    pub nodes: Vec<Node>,
    pub cuts: Vec<Vec<bool>>,
    pub loss: f64,
    pub late: f64,
    pub duplicate: f64,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    scheduled: BTreeMap<u64, Scheduled>,
    last_id: u64,
}

fn identity(i: usize, dc: usize) -> Identity {
    Identity {
        name: format!("instance-{i}").into(),
        data_centre: format!("dc-{dc}").into(),
        addr: SocketAddr::from(([10, dc as u8, (i >> 8) as u8, i as u8], 7_000)),
    }
}

impl Simulation {
    pub fn new(seed: u64, sizes: &[usize]) -> Self {
        let dcs = sizes.iter().enumerate();
        let dcs = dcs.flat_map(|(dc, &n)| std::iter::repeat_n(dc, n));
        let wall = WallTime::from_millis(WALL_MS);
        let nodes = dcs.enumerate().map(|(i, dc)| Node {
            members: Members::new(Instant::ZERO, wall, identity(i, dc)),
            name: identity(i, dc).name,
            dc,
            up: false,
            leaving: false,
            side: 0,
            changed_at: Instant::ZERO,
            paused_until: Instant::ZERO,
            generation: 0,
            bytes_out: 0,
            messages_out: 0,
            timer_at: Instant::NEVER,
        });
        let mut simulation = Self {
            now: Instant::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            nodes: nodes.collect(),
            cuts: vec![vec![false; sizes.len()]; sizes.len()],
            loss: 0.0,
            late: 0.0,
            duplicate: 0.0,
            queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            last_id: 0,
        };
        (0..simulation.nodes.len()).for_each(|i| simulation.start(i));
        simulation
    }

    pub fn start(&mut self, i: usize) {
        let skew = self.rng.random_range(0..2 * SKEW_MS);
        let wall = WallTime::from_millis(WALL_MS + skew) + self.now.since(Instant::ZERO);
        let now = self.now;
        let node = &mut self.nodes[i];
        node.members = Members::new(now, wall, identity(i, node.dc));
        node.up = true;
        node.leaving = false;
        node.changed_at = now;
        node.paused_until = now;
        node.timer_at = Instant::NEVER;
        node.generation += 1;
        let generation = node.generation;
        let list = self.list();
        self.event(i, Event::List(list));
        let wait = self.rng.random_range(0..LIST_MS * 1_000);
        self.schedule(wait, Scheduled::List(i, generation));
    }

    pub fn stop(&mut self, i: usize) {
        self.nodes[i].up = false;
        self.nodes[i].changed_at = self.now;
    }

    pub fn pause(&mut self, i: usize, ms: u64) {
        let until = self.now + Duration::from_millis(ms);
        self.nodes[i].paused_until = until;
        self.nodes[i].changed_at = until;
    }

    /// Returns the platform's list, which lags so far that it includes dead instances.
    fn list(&self) -> Vec<ListEntry> {
        let all = self.nodes.iter().enumerate().map(|(i, node)| {
            let id = identity(i, node.dc);
            ListEntry {
                name: id.name.as_ref().into(),
                data_centre: id.data_centre.as_ref().into(),
                addr: id.addr,
                kind: ListKind::Instance,
                state: ListState::Live,
            }
        });
        all.collect()
    }

    /// Whether the two instances can reach each other, if both are up.
    pub fn linked(&self, a: usize, b: usize) -> bool {
        let (a, b) = (&self.nodes[a], &self.nodes[b]);
        !self.cuts[a.dc][b.dc] && (a.dc != b.dc || a.side == b.side)
    }

    pub fn run_for(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
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

    fn dispatch(&mut self, scheduled_event: Scheduled) {
        let (Scheduled::Deliver(i, generation, _)
        | Scheduled::Timer(i, generation)
        | Scheduled::List(i, generation)) = scheduled_event;
        let node = &self.nodes[i];
        if !node.up || node.generation != generation {
            return;
        }
        if node.paused_until > self.now {
            // A paused instance handles its scheduled events after it resumes, in any order.
            let wait = node.paused_until.since(self.now).as_micros() as u64;
            let more = self.rng.random_range(0..2_000);
            self.schedule(wait + more, scheduled_event);
            return;
        }
        match scheduled_event {
            Scheduled::Deliver(_, _, message) => self.event(i, Event::Message(message)),
            Scheduled::Timer(..) => {
                self.nodes[i].timer_at = Instant::NEVER;
                self.event(i, Event::Timer);
            }
            Scheduled::List(..) => {
                let members = &self.nodes[i].members;
                if members
                    .holders(Assignment::List, 2)
                    .contains(&self.nodes[i].name)
                {
                    let list = self.list();
                    self.event(i, Event::List(list));
                }
                self.schedule(LIST_MS * 1_000, Scheduled::List(i, generation));
            }
        }
    }

    fn schedule(&mut self, us: u64, scheduled_event: Scheduled) {
        self.last_id += 1;
        let at = self.now + Duration::from_micros(us);
        self.queue.push(Reverse((at, self.last_id)));
        self.scheduled.insert(self.last_id, scheduled_event);
    }

    pub fn event(&mut self, i: usize, event: Event) {
        let now = self.now;
        let node = &mut self.nodes[i];
        let actions = node.members.on_event(now, &mut self.rng, event);
        for action in actions {
            match action {
                Action::Send(to, message) => self.send(i, to, message),
                Action::Changed | Action::Departed(_) => {}
            }
        }
        let node = &mut self.nodes[i];
        let due = node.members.next_deadline();
        if due < node.timer_at {
            node.timer_at = due;
            let generation = node.generation;
            let wait = due.since(now).as_micros() as u64;
            self.schedule(wait, Scheduled::Timer(i, generation));
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        self.nodes[from].bytes_out += FRAME_BYTES + message_bytes(&message);
        self.nodes[from].messages_out += 1;
        let SocketAddr::V4(to) = to else { return };
        let [_, _, high, low] = to.ip().octets();
        let to = usize::from(high) << 8 | usize::from(low);
        if !self.linked(from, to) || !self.nodes[to].up || self.rng.random_bool(self.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.duplicate));
        for _ in 0..copies {
            let late = self.rng.random_bool(self.late);
            let delay = self
                .rng
                .random_range(300..if late { 800_000 } else { 1_500 });
            let generation = self.nodes[to].generation;
            self.schedule(delay, Scheduled::Deliver(to, generation, message.clone()));
        }
    }
}

fn message_bytes(message: &Message) -> usize {
    match message {
        Message::Probe(_, payload) | Message::Ack(_, payload) => 4 + payload_bytes(payload),
        Message::ProbeFor(_, name, payload) => 5 + name.len() + payload_bytes(payload),
        Message::Gossip(payload) => 1 + payload_bytes(payload),
        Message::Sync(payload, _) => 2 + payload_bytes(payload),
    }
}

fn payload_bytes(payload: &Payload) -> usize {
    let updates = std::iter::once(&payload.sender).chain(&payload.updates);
    let updates = updates.map(|n| 20 + n.identity.name.len() + n.identity.data_centre.len());
    let departures = payload.departures.iter().map(|d| 11 + d.name.len());
    19 + updates.sum::<usize>() + departures.sum::<usize>()
}
