//! Failure detection by probes and dissemination by gossip, as one state machine.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use hemlockwind_core::edges::ListEntry;
use hemlockwind_core::edges::ListKind;
use hemlockwind_core::edges::ListState;
use hemlockwind_core::time::Instant;
use hemlockwind_core::time::WallTime;

use crate::contacts::Contacts;
use crate::departures::Departure;
use crate::departures::Departures;
use crate::gossip::GossipQueue;
use crate::gossip::Item;
use crate::member::Identity;
use crate::member::Incarnation;
use crate::member::MemberUpdate;
use crate::member::State;
use crate::rendezvous::Assignment;
use crate::table::Table;

/// The number of instances that each one monitors: its successors on a ring.
const MONITORED: usize = 2;
/// The mean time between two probes of the monitored instances.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// The maximum number of instances in a small data centre. There, each instance monitors
/// more of the others and probes them more often, because several that die at once are a
/// larger share of the instances that could detect the deaths.
const MAX_SMALL_DATA_CENTRE: usize = 16;
const MONITORED_SMALL: usize = 3;
const PROBE_INTERVAL_SMALL: Duration = Duration::from_millis(300);
/// The mean time between two probes of instances that are marked dead.
const DEAD_PROBE_INTERVAL: Duration = Duration::from_millis(600);
/// The mean time between two probes of random instances.
const RANDOM_PROBE_INTERVAL: Duration = Duration::from_millis(1_200);
/// The mean time between two probes of contacts in other data centres.
const REMOTE_PROBE_INTERVAL: Duration = Duration::from_millis(2_000);
const REMOTE_PROBE_INTERVAL_SMALL: Duration = Duration::from_millis(1_000);
/// How long an instance has to answer a direct probe, and again an indirect one.
const PROBE_TIMEOUT: Duration = Duration::from_millis(130);
/// How long a contact in another data centre has to answer.
const REMOTE_PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// The number of peers that are asked for an indirect probe.
const HELPERS: usize = 3;
/// How long a suspect has to refute the suspicion.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(400);
/// A timer that fires later than this indicates that this process was paused.
const MIN_PAUSE: Duration = Duration::from_millis(200);
/// How long updates are batched before they are sent.
const FLUSH_DELAY: Duration = Duration::from_millis(30);
/// The time between two rounds of gossip.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// The number of random peers that receive updates in one round.
const FANOUT: usize = 3;
/// The number of instances that notify other data centres of departures, and of contacts
/// that each notifies there.
const FORWARDERS: usize = 2;
/// The maximum bandwidth for full tables, in bytes/s.
const SYNC_BYTES_PER_S: u64 = 400;
/// The size of a table's entry, in bytes.
const ENTRY_BYTES: u64 = 48;
/// The minimum time between two full tables.
const MIN_SYNC_INTERVAL: Duration = Duration::from_millis(500);
/// The number of local instances that an answer to another data centre names.
const SAMPLE_SIZE: usize = 3;

/// `Payload` is the part that every message carries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Payload {
    /// The sender's own state.
    pub sender: MemberUpdate,
    /// A digest that is equal at instances with the same view of instances.
    pub digest: u64,
    /// A digest that is equal at instances that record the same departures.
    pub departures_digest: u64,
    /// Updates about instances.
    pub updates: Vec<MemberUpdate>,
    /// Updates about backend servers.
    pub departures: Vec<Departure>,
}

/// `Message` is a message between instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Requests an acknowledgement with the same number.
    Probe(u64, Payload),
    /// Acknowledges the probe with this number.
    Ack(u64, Payload),
    /// Requests a probe of the instance with this name, to be acknowledged with this
    /// number.
    ProbeFor(u64, Arc<str>, Payload),
    /// Carries updates and requests no answer.
    Gossip(Payload),
    /// Carries the full table; the flag requests the receiver's table in return.
    Sync(Payload, bool),
}

impl Message {
    /// Returns the identity that the sender states.
    pub fn sender(&self) -> &Identity {
        match self {
            Self::Probe(_, payload)
            | Self::Ack(_, payload)
            | Self::ProbeFor(_, _, payload)
            | Self::Gossip(payload)
            | Self::Sync(payload, _) => &payload.sender.identity,
        }
    }
}

/// `Event` is an input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message arrived.
    Message(Message),
    /// The platform's list was read.
    List(Vec<ListEntry>),
    /// A backend server was observed to be leaving, or certainly back. The platform's list
    /// lags and does not count as certain.
    Observed {
        /// The backend server's name.
        backend_server: Arc<str>,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// This instance is stopping.
    Leave,
    /// [`Members::next_deadline`] has come.
    Timer,
}

/// `Action` is an output of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message.
    Send(SocketAddr, Message),
    /// The holders of assignments may have changed.
    Changed,
    /// A backend server is leaving or back.
    Departed(Departure),
}

/// `ProbeKind` is the kind of a probe, or how far it has escalated.
#[derive(Clone, Debug)]
enum ProbeKind {
    Direct,
    Indirect,
    /// On behalf of the instance at this address, whose request has this number.
    Relay(SocketAddr, u64),
    /// Of a contact in another data centre.
    Remote,
    /// Of an instance that is marked dead.
    Reconnect,
}

#[derive(Clone, Debug)]
struct Probe {
    target: Identity,
    incarnation: Incarnation,
    kind: ProbeKind,
    deadline: Instant,
}

/// `ProbeSchedule` is how many instances each one monitors and how often it probes.
struct ProbeSchedule {
    monitored: usize,
    probe_interval: Duration,
    remote_interval: Duration,
}

/// `Members` is the view that one instance has of the others.
#[derive(Clone, Debug)]
pub struct Members {
    me: Identity,
    started_at: Instant,
    started_wall: WallTime,
    table: Table,
    contacts: Contacts,
    departures: Departures,
    gossip: GossipQueue,
    probes: BTreeMap<u64, Probe>,
    sequence: u64,
    turn: usize,
    dead_turn: usize,
    remote_turn: usize,
    probe_at: Instant,
    background_at: Instant,
    remote_at: Instant,
    flush_at: Instant,
    sync_at: Instant,
    sync_departures_at: Instant,
}

impl Members {
    /// Returns the view of an instance that starts now; it contains only itself.
    pub fn new(now: Instant, wall: WallTime, me: Identity) -> Self {
        let mut members = Self {
            started_at: now,
            started_wall: wall,
            table: Table::default(),
            contacts: Contacts::default(),
            departures: Departures::default(),
            gossip: GossipQueue::default(),
            probes: BTreeMap::new(),
            sequence: 0,
            turn: 0,
            dead_turn: 0,
            remote_turn: 0,
            probe_at: now,
            background_at: now,
            remote_at: now,
            flush_at: Instant::NEVER,
            sync_at: now,
            sync_departures_at: now,
            me: me.clone(),
        };
        let update = MemberUpdate {
            identity: me,
            incarnation: Incarnation(wall.as_millis()),
            state: State::Live,
        };
        members.apply_update(now, update);
        members
    }

    /// Returns the names of the `n` instances of the local data centre that hold `assignment`.
    pub fn holders(&self, assignment: Assignment<'_>, n: usize) -> Vec<Arc<str>> {
        self.table.holders(assignment, n)
    }

    /// Returns the instances of the local data centre that are not marked dead.
    pub fn live(&self) -> impl Iterator<Item = &Identity> {
        let live = self.table.iter().filter(|m| m.update.state != State::Dead);
        live.map(|member| &member.update.identity)
    }

    /// Returns the instances of the local data centre that may hold assignments.
    pub fn eligible(&self) -> impl Iterator<Item = &Identity> {
        let eligible = self.table.iter().filter(|m| match m.update.state {
            State::Live | State::Suspect => true,
            State::Leaving | State::Dead => false,
        });
        eligible.map(|member| &member.update.identity)
    }

    /// Returns the instances of other data centres, without those that recently failed to
    /// answer; if that applies to a whole data centre, all of it is included.
    pub fn remote(&self, now: Instant) -> impl Iterator<Item = &Identity> {
        self.contacts.answering(now)
    }

    /// Returns the contacts in each other data centre, its likely watchers first.
    pub fn contacts(&self, now: Instant) -> Vec<Vec<&Identity>> {
        self.contacts.per_data_centre(now)
    }

    /// Returns the identity of the instance with this name.
    pub fn identity(&self, name: &str) -> Option<&Identity> {
        let local = self.table.get(name).map(|member| &member.update.identity);
        local.or_else(|| self.contacts.get(name))
    }

    /// Returns the recorded state of an instance of the local data centre.
    pub fn state(&self, name: &str) -> Option<State> {
        self.table.get(name).map(|member| member.update.state)
    }

    /// Returns the backend servers that are leaving.
    pub fn departures(&self) -> &Departures {
        &self.departures
    }

    /// Returns when [`Event::Timer`] is due.
    pub fn next_deadline(&self) -> Instant {
        let periodic = self.probe_at.min(self.background_at).min(self.remote_at);
        let probes = self.probes.values().map(|probe| probe.deadline);
        let deadline = periodic.min(self.flush_at).min(self.table.next_expiry());
        deadline.min(probes.min().unwrap_or(Instant::NEVER))
    }

    /// Handles an event and returns the actions to perform.
    pub fn on_event<R: Rng>(&mut self, now: Instant, rng: &mut R, event: Event) -> Vec<Action> {
        match event {
            Event::Message(message) => self.on_message(now, message),
            Event::List(list) => self.on_list(now, list),
            Event::Observed {
                backend_server,
                leaving,
            } => self.observe(now, &backend_server, leaving),
            Event::Leave => self.on_leave(now),
            Event::Timer => self.on_timer(now, rng),
        }
    }

    fn on_message(&mut self, now: Instant, message: Message) -> Vec<Action> {
        match message {
            Message::Probe(number, payload) => {
                let sender = payload.sender.identity.clone();
                let mut actions = self.on_payload(now, payload, true);
                let ack_payload = self.ack_payload(now, &sender);
                actions.push(Action::Send(sender.addr, Message::Ack(number, ack_payload)));
                actions
            }
            Message::Ack(number, payload) => {
                let mut actions = self.on_payload(now, payload, false);
                actions.extend(self.on_ack(now, number));
                actions
            }
            Message::ProbeFor(number, target, payload) => {
                let from = payload.sender.identity.addr;
                let mut actions = self.on_payload(now, payload, false);
                actions.extend(self.relay_probe(now, from, number, &target));
                actions
            }
            Message::Gossip(payload) => self.on_payload(now, payload, false),
            Message::Sync(payload, reply) => {
                let to = payload.sender.identity.addr;
                let mut actions = self.on_payload(now, payload, true);
                if reply {
                    actions.push(Action::Send(
                        to,
                        Message::Sync(self.full_payload(now), false),
                    ));
                }
                actions
            }
        }
    }

    /// Applies the payload of a message. `answered` means that the sender need not be sent
    /// its recorded state separately: the answer to this message contains it unless it is
    /// live, or this message answers a full table, which contained it.
    fn on_payload(&mut self, now: Instant, payload: Payload, answered: bool) -> Vec<Action> {
        let sender = payload.sender.identity.clone();
        let mut actions = Vec::new();
        if sender.data_centre == self.me.data_centre {
            if let (Some(recorded), false) = (self.superseding_update(&payload.sender), answered) {
                let payload = self.payload(vec![recorded], Vec::new());
                actions.push(Action::Send(sender.addr, Message::Gossip(payload)));
            }
            actions.extend(self.sync(now, &sender, payload.digest));
        }
        for update in std::iter::once(payload.sender).chain(payload.updates) {
            actions.extend(self.on_update(now, update));
        }
        self.contacts.mark_reachable(&sender.name);
        for departure in payload.departures {
            actions.extend(self.on_departure(now, departure));
        }
        actions.extend(self.sync_departures(now, &sender, payload.departures_digest));
        actions
    }

    /// Returns the recorded state of the sender if it supersedes `sender`, so that the
    /// sender has to refute it.
    fn superseding_update(&self, sender: &MemberUpdate) -> Option<MemberUpdate> {
        let recorded = &self.table.get(&sender.identity.name)?.update;
        recorded.supersedes(sender).then(|| recorded.clone())
    }

    fn on_update(&mut self, now: Instant, update: MemberUpdate) -> Vec<Action> {
        if update.identity.name == self.me.name {
            return self.refute(now, &update);
        }
        if update.identity.data_centre != self.me.data_centre {
            self.contacts.insert(update.identity);
            return Vec::new();
        }
        self.apply_update(now, update)
    }

    /// Records `update` and disseminates it if it supersedes the recorded one.
    fn apply_update(&mut self, now: Instant, update: MemberUpdate) -> Vec<Action> {
        if !self.table.apply(now, update.clone(), SUSPICION_TIMEOUT) {
            return Vec::new();
        }
        self.enqueue(now, Item::Member(update));
        vec![Action::Changed]
    }

    /// Refutes an update by others that supersedes this instance's own state.
    fn refute(&mut self, now: Instant, update: &MemberUpdate) -> Vec<Action> {
        let mut own_state = self.own_state();
        if !update.supersedes(&own_state) {
            return Vec::new();
        }
        own_state.incarnation = Incarnation(update.incarnation.0 + 1);
        self.apply_update(now, own_state)
    }

    fn own_state(&self) -> MemberUpdate {
        let own_state = self.table.get(&self.me.name).map(|m| m.update.clone());
        own_state.unwrap_or_else(|| MemberUpdate {
            identity: self.me.clone(),
            incarnation: Incarnation(self.started_wall.as_millis()),
            state: State::Live,
        })
    }

    fn on_departure(&mut self, now: Instant, departure: Departure) -> Vec<Action> {
        let wall = self.wall(now);
        if !self.departures.apply(now, wall, departure.clone()) {
            return Vec::new();
        }
        self.enqueue(now, Item::Departure(departure.clone()));
        let mut actions = self.forward_departure(now, &departure);
        actions.push(Action::Departed(departure));
        actions
    }

    /// Notifies contacts in other data centres of `departure`, if this instance holds
    /// [`Assignment::Departures`].
    fn forward_departure(&self, now: Instant, departure: &Departure) -> Vec<Action> {
        let holders = self.table.holders(Assignment::Departures, FORWARDERS);
        if !holders.contains(&self.me.name) {
            return Vec::new();
        }
        let payload = self.payload(Vec::new(), vec![departure.clone()]);
        let per_data_centre = self.contacts.per_data_centre(now);
        let to = per_data_centre
            .iter()
            .flat_map(|contacts| contacts.iter().take(FORWARDERS));
        to.map(|to| Action::Send(to.addr, Message::Gossip(payload.clone())))
            .collect()
    }

    fn enqueue(&mut self, now: Instant, item: Item) {
        self.gossip.push(now, item);
        self.flush_at = self.flush_at.min(now + FLUSH_DELAY);
    }

    fn observe(&mut self, now: Instant, name: &Arc<str>, leaving: bool) -> Vec<Action> {
        let wall = self.wall(now);
        let departure = self.departures.observe(wall, name, leaving);
        departure.map_or_else(Vec::new, |departure| self.on_departure(now, departure))
    }

    fn on_list(&mut self, now: Instant, list: Vec<ListEntry>) -> Vec<Action> {
        let mut actions = Vec::new();
        for listed in list {
            match (listed.kind, listed.state) {
                (ListKind::BackendServer, ListState::Leaving) => {
                    actions.extend(self.observe(now, &listed.name.into(), true));
                }
                (ListKind::Instance, ListState::Live) => {
                    actions.extend(self.on_listed(now, listed));
                }
                // A leaving instance announces it itself, and the list lags.
                (ListKind::BackendServer, ListState::Live)
                | (ListKind::Instance, ListState::Leaving) => {}
            }
        }
        actions
    }

    /// Adds an instance from the list. The list never changes a recorded state.
    fn on_listed(&mut self, now: Instant, listed: ListEntry) -> Vec<Action> {
        let update = MemberUpdate {
            identity: Identity {
                name: listed.name.into(),
                data_centre: listed.data_centre.into(),
                addr: listed.addr,
            },
            incarnation: Incarnation(0),
            state: State::Live,
        };
        if update.identity.name == self.me.name {
            return Vec::new();
        }
        self.on_update(now, update)
    }

    fn on_leave(&mut self, now: Instant) -> Vec<Action> {
        let mut own_state = self.own_state();
        own_state.state = State::Leaving;
        self.apply_update(now, own_state)
    }

    /// Exchanges full tables with a peer whose digest differs.
    fn sync(&mut self, now: Instant, peer: &Identity, digest: u64) -> Vec<Action> {
        if digest == self.table.digest() || now < self.sync_at {
            return Vec::new();
        }
        self.sync_at = now + sync_interval(self.table.len());
        vec![Action::Send(
            peer.addr,
            Message::Sync(self.full_payload(now), true),
        )]
    }

    /// Sends all departures to a peer whose digest differs.
    fn sync_departures(&mut self, now: Instant, peer: &Identity, digest: u64) -> Vec<Action> {
        if digest == self.departures.digest() || now < self.sync_departures_at {
            return Vec::new();
        }
        let all: Vec<_> = self.departures.all().cloned().collect();
        self.sync_departures_at = now + sync_interval(all.len());
        let payload = self.payload(Vec::new(), all);
        vec![Action::Send(peer.addr, Message::Gossip(payload))]
    }

    fn wall(&self, now: Instant) -> WallTime {
        self.started_wall + now.since(self.started_at)
    }

    fn full_payload(&self, now: Instant) -> Payload {
        let unexpired = self.table.iter().filter(|m| m.expires_at > now);
        let updates = unexpired.map(|member| member.update.clone());
        self.payload(updates.collect(), self.departures.all().cloned().collect())
    }

    fn payload(&self, updates: Vec<MemberUpdate>, departures: Vec<Departure>) -> Payload {
        Payload {
            sender: self.own_state(),
            digest: self.table.digest(),
            departures_digest: self.departures.digest(),
            updates,
            departures,
        }
    }

    /// Returns the payload of a message, with the piggybacked updates.
    fn piggyback(&mut self, now: Instant) -> Payload {
        let (updates, departures) = split(self.gossip.piggyback(now));
        self.payload(updates, departures)
    }

    fn ack_payload(&mut self, now: Instant, to: &Identity) -> Payload {
        let mut payload = self.piggyback(now);
        if to.data_centre != self.me.data_centre {
            let sample = self.table.holders(Assignment::Configuration, SAMPLE_SIZE);
            let sample = sample.iter().filter_map(|name| self.table.get(name));
            payload.updates = sample.map(|member| member.update.clone()).collect();
            return payload;
        }
        let recorded = self.table.get(&to.name).map(|member| &member.update);
        payload.updates.extend(
            recorded
                .filter(|update| update.state != State::Live)
                .cloned(),
        );
        payload
    }

    fn on_ack(&mut self, now: Instant, number: u64) -> Vec<Action> {
        let Some(probe) = self.probes.remove(&number) else {
            return Vec::new();
        };
        match probe.kind {
            ProbeKind::Relay(to, number) => {
                vec![Action::Send(to, Message::Ack(number, self.piggyback(now)))]
            }
            ProbeKind::Direct | ProbeKind::Indirect | ProbeKind::Remote | ProbeKind::Reconnect => {
                Vec::new()
            }
        }
    }

    fn relay_probe(
        &mut self,
        now: Instant,
        from: SocketAddr,
        number: u64,
        target: &str,
    ) -> Vec<Action> {
        let Some(target) = self.table.get(target).map(|m| m.update.clone()) else {
            return Vec::new();
        };
        let kind = ProbeKind::Relay(from, number);
        vec![self.probe(now, &target, kind, PROBE_TIMEOUT)]
    }

    fn probe(
        &mut self,
        now: Instant,
        target: &MemberUpdate,
        kind: ProbeKind,
        timeout: Duration,
    ) -> Action {
        self.sequence += 1;
        let probe = Probe {
            target: target.identity.clone(),
            incarnation: target.incarnation,
            kind,
            deadline: now + timeout,
        };
        self.probes.insert(self.sequence, probe);
        let payload = self.piggyback(now);
        let message = Message::Probe(self.sequence, payload);
        Action::Send(target.identity.addr, message)
    }

    fn on_timer<R: Rng>(&mut self, now: Instant, rng: &mut R) -> Vec<Action> {
        let mut actions = Vec::new();
        if now.since(self.next_deadline()) > MIN_PAUSE {
            // This process did not read the answers in time, so the peers are not at
            // fault.
            self.probes.clear();
            self.table.extend_suspicions(now + SUSPICION_TIMEOUT);
        }
        actions.extend(self.expire_probes(now, rng));
        actions.extend(self.expire_members(now));
        if self.probe_at <= now {
            let ProbeSchedule {
                monitored,
                probe_interval,
                ..
            } = self.probe_schedule();
            self.probe_at = now + jittered(rng, probe_interval);
            actions.extend(self.probe_monitored(now, monitored));
        }
        if self.background_at <= now {
            actions.extend(self.probe_background(now, rng));
        }
        if self.remote_at <= now {
            self.remote_at = now + jittered(rng, self.probe_schedule().remote_interval);
            self.departures.expire(now);
            actions.extend(self.probe_remote(now, rng));
        }
        if self.flush_at <= now {
            actions.extend(self.flush(now, rng));
        }
        actions
    }

    fn expire_probes<R: Rng>(&mut self, now: Instant, rng: &mut R) -> Vec<Action> {
        let expired = self
            .probes
            .iter()
            .filter(|(_, probe)| probe.deadline <= now);
        let expired: Vec<_> = expired.map(|(number, _)| *number).collect();
        let mut actions = Vec::new();
        for number in expired {
            let Some(probe) = self.probes.remove(&number) else {
                continue;
            };
            match probe.kind {
                ProbeKind::Direct => actions.extend(self.probe_indirectly(now, rng, number, probe)),
                ProbeKind::Indirect => actions.extend(self.suspect(now, probe)),
                ProbeKind::Remote => actions.extend(self.probe_alternative(now, &probe.target)),
                ProbeKind::Relay(..) | ProbeKind::Reconnect => {}
            }
        }
        actions
    }

    /// Probes again, directly and through peers.
    fn probe_indirectly<R: Rng>(
        &mut self,
        now: Instant,
        rng: &mut R,
        number: u64,
        probe: Probe,
    ) -> Vec<Action> {
        let payload = self.piggyback(now);
        let target = probe.target.clone();
        self.probes.insert(
            number,
            Probe {
                kind: ProbeKind::Indirect,
                deadline: now + PROBE_TIMEOUT,
                ..probe
            },
        );
        let probe_for = Message::ProbeFor(number, Arc::clone(&target.name), payload.clone());
        let helpers = self.random_peers(rng, HELPERS, &target.name);
        let helpers = helpers.into_iter();
        let again = Action::Send(target.addr, Message::Probe(number, payload));
        helpers
            .map(|addr| Action::Send(addr, probe_for.clone()))
            .chain([again])
            .collect()
    }

    fn suspect(&mut self, now: Instant, probe: Probe) -> Vec<Action> {
        let update = MemberUpdate {
            identity: probe.target,
            incarnation: probe.incarnation,
            state: State::Suspect,
        };
        let addr = update.identity.addr;
        let mut actions = self.apply_update(now, update.clone());
        // It may still receive messages even if its answers were lost.
        let payload = self.payload(vec![update], Vec::new());
        actions.push(Action::Send(addr, Message::Gossip(payload)));
        actions
    }

    fn expire_members(&mut self, now: Instant) -> Vec<Action> {
        if self.table.next_expiry() > now {
            return Vec::new();
        }
        let expired = self.table.iter().filter(|m| m.expires_at <= now);
        let expired: Vec<_> = expired.map(|member| member.update.clone()).collect();
        let mut actions = Vec::new();
        for mut update in expired {
            if update.state == State::Dead {
                self.table.remove(&update.identity.name);
                continue;
            }
            update.state = State::Dead;
            actions.extend(self.apply_update(now, update));
        }
        actions
    }

    fn probe_schedule(&self) -> ProbeSchedule {
        if self.table.len() <= MAX_SMALL_DATA_CENTRE {
            return ProbeSchedule {
                monitored: MONITORED_SMALL,
                probe_interval: PROBE_INTERVAL_SMALL,
                remote_interval: REMOTE_PROBE_INTERVAL_SMALL,
            };
        }
        ProbeSchedule {
            monitored: MONITORED,
            probe_interval: PROBE_INTERVAL,
            remote_interval: REMOTE_PROBE_INTERVAL,
        }
    }

    fn probe_monitored(&mut self, now: Instant, n: usize) -> Option<Action> {
        let monitored = self.table.successors(&self.me.name, n);
        let turn = self.turn.checked_rem(monitored.len())?;
        let target = monitored[turn].clone();
        self.turn = turn + 1;
        Some(self.probe(now, &target, ProbeKind::Direct, PROBE_TIMEOUT))
    }

    /// Probes an instance that is marked dead, or a random one if none is.
    fn probe_background<R: Rng>(&mut self, now: Instant, rng: &mut R) -> Option<Action> {
        let dead = self.table.iter().filter(|m| m.update.state == State::Dead);
        let dead: Vec<_> = dead.map(|m| m.update.clone()).collect();
        let period = if dead.is_empty() {
            RANDOM_PROBE_INTERVAL
        } else {
            DEAD_PROBE_INTERVAL
        };
        self.background_at = now + jittered(rng, period);
        if !dead.is_empty() {
            self.dead_turn += 1;
            let target = &dead[self.dead_turn % dead.len()];
            return Some(self.probe(now, target, ProbeKind::Reconnect, PROBE_TIMEOUT));
        }
        let others = self.table.iter().map(|m| &m.update);
        let others = others.filter(|update| update.identity.name != self.me.name);
        let others: Vec<_> = others.collect();
        let target = (*others.choose(rng)?).clone();
        Some(self.probe(now, &target, ProbeKind::Direct, PROBE_TIMEOUT))
    }

    /// Probes a contact in the data centre whose turn it is; the first time, one in each data
    /// centre.
    fn probe_remote<R: Rng>(&mut self, now: Instant, rng: &mut R) -> Vec<Action> {
        // The instances that forward departures have to track whether the preferred
        // contacts answer. The rest probe any contact, so that the preferred ones are not
        // overloaded.
        let forwarders = self.table.holders(Assignment::Departures, FORWARDERS);
        let is_forwarder = forwarders.contains(&self.me.name);
        let data_centres = self.contacts.len();
        let turns = match self.remote_turn {
            0 => data_centres,
            _ => data_centres.min(1),
        };
        let contacts = (0..turns).filter_map(|turn| {
            let at = (self.remote_turn + turn) % data_centres;
            self.contacts.choose(now, at, is_forwarder, rng)
        });
        let contacts: Vec<_> = contacts.cloned().collect();
        self.remote_turn += turns;
        let probes = contacts.into_iter();
        probes.map(|to| self.probe_contact(now, to)).collect()
    }

    fn probe_contact(&mut self, now: Instant, to: Identity) -> Action {
        let update = MemberUpdate {
            identity: to,
            incarnation: Incarnation(0),
            state: State::Live,
        };
        self.probe(now, &update, ProbeKind::Remote, REMOTE_PROBE_TIMEOUT)
    }

    /// Marks a contact that did not answer as unreachable and probes another one.
    fn probe_alternative(&mut self, now: Instant, unresponsive: &Identity) -> Option<Action> {
        self.contacts.mark_unreachable(now, &unresponsive.name);
        let alternative = self.contacts.alternative(now, unresponsive)?.clone();
        Some(self.probe_contact(now, alternative))
    }

    /// Sends the queued updates to a few random peers.
    fn flush<R: Rng>(&mut self, now: Instant, rng: &mut R) -> Vec<Action> {
        let (updates, departures) = split(self.gossip.next_round());
        self.flush_at = Instant::NEVER;
        if self.gossip.has_pending() {
            self.flush_at = now + ROUND_INTERVAL;
        }
        let payload = self.payload(updates, departures);
        let peers = self.random_peers(rng, FANOUT, &self.me.name);
        let send = |addr| Action::Send(addr, Message::Gossip(payload.clone()));
        peers.into_iter().map(send).collect()
    }

    /// Returns the addresses of up to `n` random peers of the local data centre that are not
    /// marked dead and not named `without`.
    fn random_peers<R: Rng>(&self, rng: &mut R, n: usize, without: &str) -> Vec<SocketAddr> {
        let live: Vec<_> = self
            .live()
            .filter(|identity| identity.name != self.me.name && &*identity.name != without)
            .collect();
        let chosen = live.choose_multiple(rng, n);
        chosen.map(|identity| identity.addr).collect()
    }
}

/// Returns how long after a message with this many entries the next full table or list of
/// departures may be sent.
fn sync_interval(entries: usize) -> Duration {
    let bytes = entries as u64 * ENTRY_BYTES;
    let period = Duration::from_millis(bytes * 1_000 / SYNC_BYTES_PER_S);
    period.max(MIN_SYNC_INTERVAL)
}

/// Separates queued items into updates about instances and about backend servers.
fn split(items: Vec<Item>) -> (Vec<MemberUpdate>, Vec<Departure>) {
    let mut updates = Vec::new();
    let mut departures = Vec::new();
    for item in items {
        match item {
            Item::Member(item) => updates.push(item),
            Item::Departure(item) => departures.push(item),
        }
    }
    (updates, departures)
}

/// Returns `period` with a random deviation of up to 10%.
fn jittered<R: Rng>(rng: &mut R, period: Duration) -> Duration {
    period.mul_f64(rng.random_range(0.9..1.1))
}
