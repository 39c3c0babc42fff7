//! The probing of instances and the telling of news, as one state machine.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use hemlockwind_core::edges::ListKind;
use hemlockwind_core::edges::ListState;
use hemlockwind_core::edges::Listed;
use hemlockwind_core::time::Instant;
use hemlockwind_core::time::WallTime;

use crate::contacts::Contacts;
use crate::departures::Departure;
use crate::departures::Departures;
use crate::gossip::Gossip;
use crate::gossip::Item;
use crate::member::Identity;
use crate::member::Incarnation;
use crate::member::News;
use crate::member::State;
use crate::rendezvous::Duty;
use crate::table::Table;

/// The instances that each one monitors: its successors on a ring.
const MONITORED: usize = 2;
/// The mean time between two probes of the monitored instances.
const PROBE_PERIOD: Duration = Duration::from_millis(400);
/// Up to so many instances in a data centre, more of them are monitored, faster:
/// several that die at once are then a larger part of those that would notice.
const SMALL: usize = 16;
const MONITORED_SMALL: usize = 3;
const PROBE_PERIOD_SMALL: Duration = Duration::from_millis(300);
/// The mean time between two probes of instances that are taken for dead.
const DEAD_PERIOD: Duration = Duration::from_millis(600);
/// The mean time between two probes of random instances.
const RANDOM_PERIOD: Duration = Duration::from_millis(1_200);
/// The mean time between two probes of contacts in other data centres.
const REMOTE_PERIOD: Duration = Duration::from_millis(2_000);
const REMOTE_PERIOD_SMALL: Duration = Duration::from_millis(1_000);
/// The time that an instance has for an answer, and again by way of others.
const PROBE_TIMEOUT: Duration = Duration::from_millis(130);
/// The time that a contact in another data centre has for an answer.
const REMOTE_TIMEOUT: Duration = Duration::from_millis(500);
/// Others that are asked to probe in turn.
const HELPERS: usize = 3;
/// The time that a suspect has to deny its death.
const SUSPICION: Duration = Duration::from_millis(400);
/// A timer that is later than this shows that this process was paused.
const PAUSE_MIN: Duration = Duration::from_millis(200);
/// The time for which news is gathered before it is told.
const FLUSH_DELAY: Duration = Duration::from_millis(30);
/// The time between two rounds of telling.
const ROUND_PERIOD: Duration = Duration::from_millis(100);
/// Random peers that hear of news in one round.
const FANOUT: usize = 3;
/// Instances that tell other data centres of departures, and contacts told.
const FORWARDERS: usize = 2;
/// Bytes/s that whole tables may take, and the size of a table's entry.
const SYNC_BYTES_PER_S: u64 = 400;
const ENTRY_BYTES: u64 = 48;
/// The time between two whole tables at least.
const SYNC_PERIOD_MIN: Duration = Duration::from_millis(500);
/// Local instances that an answer to another data centre names.
const SAMPLE: usize = 3;

/// `Told` goes with every message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    /// The sender, as it believes of itself.
    pub me: News,
    /// A number that is the same where the same is believed of instances.
    pub digest: u64,
    /// A number that is the same where the same backend servers are leaving.
    pub departures_digest: u64,
    /// News of instances.
    pub news: Vec<News>,
    /// News of backend servers.
    pub departures: Vec<Departure>,
}

/// `Message` is what instances send each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Are you there?
    Probe(u64, Told),
    /// The probe of this number was answered.
    Ack(u64, Told),
    /// Probe the instance of this name, and acknowledge with this number.
    ProbeFor(u64, Arc<str>, Told),
    /// News without a question.
    Tell(Told),
    /// The whole table; the answer is one as well when asked for.
    Sync(Told, bool),
}

impl Message {
    /// Who sent it, by its own word.
    pub fn sender(&self) -> &Identity {
        match self {
            Self::Probe(_, told)
            | Self::Ack(_, told)
            | Self::ProbeFor(_, _, told)
            | Self::Tell(told)
            | Self::Sync(told, _) => &told.me.identity,
        }
    }
}

/// `Event` is what the state machine hears.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message arrived.
    Message(Message),
    /// The platform's list was read.
    List(Vec<Listed>),
    /// A backend server was seen leaving, or to be back for certain. A list that
    /// lags is no such certainty.
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

/// `Action` is what the state machine wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message.
    Send(SocketAddr, Message),
    /// Who holds which duty may have changed.
    Changed,
    /// A backend server is leaving, or back.
    Departed(Departure),
}

/// `Stage` is how far a probe has gone.
#[derive(Clone, Debug)]
enum Stage {
    Direct,
    Indirect,
    /// For another instance, which gave it this number.
    Relay(SocketAddr, u64),
    /// Of a contact in another data centre.
    Remote,
    /// Of an instance that is taken for dead.
    Spare,
}

#[derive(Clone, Debug)]
struct Probe {
    target: Identity,
    incarnation: Incarnation,
    stage: Stage,
    deadline: Instant,
}

/// `Pace` is how many instances one probes, and how often.
struct Pace {
    monitored: usize,
    probe: Duration,
    remote: Duration,
}

/// `Members` is what one instance believes of the others.
#[derive(Clone, Debug)]
pub struct Members {
    me: Identity,
    started_at: Instant,
    started_wall: WallTime,
    table: Table,
    contacts: Contacts,
    departures: Departures,
    gossip: Gossip,
    probes: BTreeMap<u64, Probe>,
    sequence: u64,
    turn: usize,
    spare_turn: usize,
    remote_turn: usize,
    probe_at: Instant,
    spare_at: Instant,
    remote_at: Instant,
    flush_at: Instant,
    sync_at: Instant,
    sync_departures_at: Instant,
}

impl Members {
    /// The view of an instance that starts now and knows of itself only.
    pub fn new(now: Instant, wall: WallTime, me: Identity) -> Self {
        let mut members = Self {
            started_at: now,
            started_wall: wall,
            table: Table::default(),
            contacts: Contacts::default(),
            departures: Departures::default(),
            gossip: Gossip::default(),
            probes: BTreeMap::new(),
            sequence: 0,
            turn: 0,
            spare_turn: 0,
            remote_turn: 0,
            probe_at: now,
            spare_at: now,
            remote_at: now,
            flush_at: Instant::NEVER,
            sync_at: now,
            sync_departures_at: now,
            me: me.clone(),
        };
        let news = News {
            identity: me,
            incarnation: Incarnation(wall.as_millis()),
            state: State::Live,
        };
        members.believe(now, news);
        members
    }

    /// The names of the `n` instances of the own data centre that hold `duty`.
    pub fn holders(&self, duty: Duty<'_>, n: usize) -> Vec<Arc<str>> {
        self.table.holders(duty, n)
    }

    /// Instances of the own data centre that are not taken for dead.
    pub fn live(&self) -> impl Iterator<Item = &Identity> {
        let live = self.table.iter().filter(|m| m.news.state != State::Dead);
        live.map(|member| &member.news.identity)
    }

    /// Instances of the own data centre that may hold duties.
    pub fn able(&self) -> impl Iterator<Item = &Identity> {
        let able = self.table.iter().filter(|m| match m.news.state {
            State::Live | State::Suspect => true,
            State::Leaving | State::Dead => false,
        });
        able.map(|member| &member.news.identity)
    }

    /// Instances of other data centres that answer, as far as is known.
    pub fn remote(&self, now: Instant) -> impl Iterator<Item = &Identity> {
        self.contacts.answering(now)
    }

    /// Contacts in each other data centre, its likely watchers first.
    pub fn contacts(&self, now: Instant) -> Vec<Vec<&Identity>> {
        self.contacts.each(now)
    }

    /// Who the instance of this name is.
    pub fn identity(&self, name: &str) -> Option<&Identity> {
        let local = self.table.get(name).map(|member| &member.news.identity);
        local.or_else(|| self.contacts.get(name))
    }

    /// What is believed of an instance of the own data centre.
    pub fn state(&self, name: &str) -> Option<State> {
        self.table.get(name).map(|member| member.news.state)
    }

    /// The backend servers that are leaving.
    pub fn departures(&self) -> &Departures {
        &self.departures
    }

    /// When [`Event::Timer`] is due.
    pub fn next_deadline(&self) -> Instant {
        let periodic = self.probe_at.min(self.spare_at).min(self.remote_at);
        let probes = self.probes.values().map(|probe| probe.deadline);
        let own = periodic.min(self.flush_at).min(self.table.next_expiry());
        own.min(probes.min().unwrap_or(Instant::NEVER))
    }

    /// Takes an event and tells what to do.
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
            Message::Probe(number, told) => {
                let sender = told.me.identity.clone();
                let mut actions = self.on_told(now, told, true);
                let answer = self.answer(now, &sender);
                actions.push(Action::Send(sender.addr, Message::Ack(number, answer)));
                actions
            }
            Message::Ack(number, told) => {
                let mut actions = self.on_told(now, told, false);
                actions.extend(self.on_ack(now, number));
                actions
            }
            Message::ProbeFor(number, target, told) => {
                let from = told.me.identity.addr;
                let mut actions = self.on_told(now, told, false);
                actions.extend(self.probe_for(now, from, number, &target));
                actions
            }
            Message::Tell(told) => self.on_told(now, told, false),
            Message::Sync(told, reply) => {
                let to = told.me.identity.addr;
                let mut actions = self.on_told(now, told, true);
                if reply {
                    actions.push(Action::Send(to, Message::Sync(self.whole(now), false)));
                }
                actions
            }
        }
    }

    /// Takes what came with a message. `answered` tells that the sender hears
    /// what is believed of it by an answer anyway.
    fn on_told(&mut self, now: Instant, told: Told, answered: bool) -> Vec<Action> {
        let sender = told.me.identity.clone();
        let mut actions = Vec::new();
        if sender.data_centre == self.me.data_centre {
            if let (Some(belief), false) = (self.correction(&told.me), answered) {
                let told = self.told(vec![belief], Vec::new());
                actions.push(Action::Send(sender.addr, Message::Tell(told)));
            }
            actions.extend(self.sync(now, &sender, told.digest));
        }
        for news in std::iter::once(told.me).chain(told.news) {
            actions.extend(self.on_news(now, news));
        }
        self.contacts.heard(&sender.name);
        for departure in told.departures {
            actions.extend(self.on_departure(now, departure));
        }
        actions.extend(self.sync_departures(now, &sender, told.departures_digest));
        actions
    }

    /// What is believed of the sender, if it must deny it.
    fn correction(&self, sender: &News) -> Option<News> {
        let belief = &self.table.get(&sender.identity.name)?.news;
        belief.wins_over(sender).then(|| belief.clone())
    }

    fn on_news(&mut self, now: Instant, news: News) -> Vec<Action> {
        if news.identity.name == self.me.name {
            return self.deny(now, &news);
        }
        if news.identity.data_centre != self.me.data_centre {
            self.contacts.insert(news.identity);
            return Vec::new();
        }
        self.believe(now, news)
    }

    /// Believes `news` and tells it on, unless something newer is known.
    fn believe(&mut self, now: Instant, news: News) -> Vec<Action> {
        if !self.table.apply(now, news.clone(), SUSPICION) {
            return Vec::new();
        }
        self.tell(now, Item::News(news));
        vec![Action::Changed]
    }

    /// Denies what others wrongly say of this instance.
    fn deny(&mut self, now: Instant, said: &News) -> Vec<Action> {
        let mut own = self.own();
        if !said.wins_over(&own) {
            return Vec::new();
        }
        own.incarnation = Incarnation(said.incarnation.0 + 1);
        self.believe(now, own)
    }

    fn own(&self) -> News {
        let own = self.table.get(&self.me.name).map(|m| m.news.clone());
        own.unwrap_or_else(|| News {
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
        self.tell(now, Item::Departure(departure.clone()));
        let mut actions = self.forward(now, &departure);
        actions.push(Action::Departed(departure));
        actions
    }

    /// Tells contacts in other data centres, when that is this instance's duty.
    fn forward(&self, now: Instant, departure: &Departure) -> Vec<Action> {
        let holders = self.table.holders(Duty::Departures, FORWARDERS);
        if !holders.contains(&self.me.name) {
            return Vec::new();
        }
        let told = self.told(Vec::new(), vec![departure.clone()]);
        let each = self.contacts.each(now);
        let to = each.iter().flat_map(|of| of.iter().take(FORWARDERS));
        to.map(|to| Action::Send(to.addr, Message::Tell(told.clone())))
            .collect()
    }

    fn tell(&mut self, now: Instant, item: Item) {
        self.gossip.push(now, item);
        self.flush_at = self.flush_at.min(now + FLUSH_DELAY);
    }

    fn observe(&mut self, now: Instant, name: &Arc<str>, leaving: bool) -> Vec<Action> {
        let wall = self.wall(now);
        let seen = self.departures.observe(wall, name, leaving);
        seen.map_or_else(Vec::new, |departure| self.on_departure(now, departure))
    }

    fn on_list(&mut self, now: Instant, list: Vec<Listed>) -> Vec<Action> {
        let mut actions = Vec::new();
        for listed in list {
            match (listed.kind, listed.state) {
                (ListKind::BackendServer, ListState::Leaving) => {
                    actions.extend(self.observe(now, &listed.name.into(), true));
                }
                (ListKind::Instance, ListState::Live) => {
                    actions.extend(self.on_listed(now, listed));
                }
                // A leaving instance tells so itself, and the list lags.
                (ListKind::BackendServer, ListState::Live)
                | (ListKind::Instance, ListState::Leaving) => {}
            }
        }
        actions
    }

    /// The list introduces instances; it never changes what is believed of one.
    fn on_listed(&mut self, now: Instant, listed: Listed) -> Vec<Action> {
        let news = News {
            identity: Identity {
                name: listed.name.into(),
                data_centre: listed.data_centre.into(),
                addr: listed.addr,
            },
            incarnation: Incarnation(0),
            state: State::Live,
        };
        if news.identity.name == self.me.name {
            return Vec::new();
        }
        self.on_news(now, news)
    }

    fn on_leave(&mut self, now: Instant) -> Vec<Action> {
        let mut own = self.own();
        own.state = State::Leaving;
        self.believe(now, own)
    }

    /// Asks for the whole table of a peer that believes something else.
    fn sync(&mut self, now: Instant, peer: &Identity, digest: u64) -> Vec<Action> {
        if digest == self.table.digest() || now < self.sync_at {
            return Vec::new();
        }
        self.sync_at = now + sync_period(self.table.len());
        vec![Action::Send(
            peer.addr,
            Message::Sync(self.whole(now), true),
        )]
    }

    /// Tells all departures to a peer that knows of others.
    fn sync_departures(&mut self, now: Instant, peer: &Identity, digest: u64) -> Vec<Action> {
        if digest == self.departures.digest() || now < self.sync_departures_at {
            return Vec::new();
        }
        let all: Vec<_> = self.departures.all().cloned().collect();
        self.sync_departures_at = now + sync_period(all.len());
        let told = self.told(Vec::new(), all);
        vec![Action::Send(peer.addr, Message::Tell(told))]
    }

    fn wall(&self, now: Instant) -> WallTime {
        self.started_wall + now.since(self.started_at)
    }

    fn whole(&self, now: Instant) -> Told {
        let live = self.table.iter().filter(|m| m.expires_at > now);
        let news = live.map(|member| member.news.clone());
        self.told(news.collect(), self.departures.all().cloned().collect())
    }

    fn told(&self, news: Vec<News>, departures: Vec<Departure>) -> Told {
        Told {
            me: self.own(),
            digest: self.table.digest(),
            departures_digest: self.departures.digest(),
            news,
            departures,
        }
    }

    /// What goes with a message to an instance of the own data centre.
    fn riders(&mut self, now: Instant) -> Told {
        let (news, departures) = split(self.gossip.riders(now));
        self.told(news, departures)
    }

    fn answer(&mut self, now: Instant, to: &Identity) -> Told {
        let mut told = self.riders(now);
        if to.data_centre != self.me.data_centre {
            let sample = self.table.holders(Duty::Configuration, SAMPLE);
            let sample = sample.iter().filter_map(|name| self.table.get(name));
            told.news = sample.map(|member| member.news.clone()).collect();
            return told;
        }
        let belief = self.table.get(&to.name).map(|member| &member.news);
        told.news
            .extend(belief.filter(|b| b.state != State::Live).cloned());
        told
    }

    fn on_ack(&mut self, now: Instant, number: u64) -> Vec<Action> {
        let Some(probe) = self.probes.remove(&number) else {
            return Vec::new();
        };
        match probe.stage {
            Stage::Relay(to, number) => {
                vec![Action::Send(to, Message::Ack(number, self.riders(now)))]
            }
            Stage::Direct | Stage::Indirect | Stage::Remote | Stage::Spare => Vec::new(),
        }
    }

    fn probe_for(
        &mut self,
        now: Instant,
        from: SocketAddr,
        number: u64,
        target: &str,
    ) -> Vec<Action> {
        let Some(target) = self.table.get(target).map(|m| m.news.clone()) else {
            return Vec::new();
        };
        let stage = Stage::Relay(from, number);
        vec![self.probe(now, &target, stage, PROBE_TIMEOUT)]
    }

    fn probe(&mut self, now: Instant, target: &News, stage: Stage, timeout: Duration) -> Action {
        self.sequence += 1;
        let probe = Probe {
            target: target.identity.clone(),
            incarnation: target.incarnation,
            stage,
            deadline: now + timeout,
        };
        self.probes.insert(self.sequence, probe);
        let told = self.riders(now);
        let message = Message::Probe(self.sequence, told);
        Action::Send(target.identity.addr, message)
    }

    fn on_timer<R: Rng>(&mut self, now: Instant, rng: &mut R) -> Vec<Action> {
        let mut actions = Vec::new();
        if now.since(self.next_deadline()) > PAUSE_MIN {
            // The answers were not read in time, which is no fault of the others.
            self.probes.clear();
            self.table.extend_suspicions(now + SUSPICION);
        }
        actions.extend(self.expire_probes(now, rng));
        actions.extend(self.expire_members(now));
        if self.probe_at <= now {
            let Pace {
                monitored, probe, ..
            } = self.pace();
            self.probe_at = now + jittered(rng, probe);
            actions.extend(self.probe_monitored(now, monitored));
        }
        if self.spare_at <= now {
            actions.extend(self.probe_spare(now, rng));
        }
        if self.remote_at <= now {
            self.remote_at = now + jittered(rng, self.pace().remote);
            self.departures.expire(now);
            actions.extend(self.probe_remote(now, rng));
        }
        if self.flush_at <= now {
            actions.extend(self.flush(now, rng));
        }
        actions
    }

    fn expire_probes<R: Rng>(&mut self, now: Instant, rng: &mut R) -> Vec<Action> {
        let late = self
            .probes
            .iter()
            .filter(|(_, probe)| probe.deadline <= now);
        let late: Vec<_> = late.map(|(number, _)| *number).collect();
        let mut actions = Vec::new();
        for number in late {
            let Some(probe) = self.probes.remove(&number) else {
                continue;
            };
            match probe.stage {
                Stage::Direct => actions.extend(self.ask_helpers(now, rng, number, probe)),
                Stage::Indirect => actions.extend(self.suspect(now, probe)),
                Stage::Remote => actions.extend(self.try_another(now, &probe.target)),
                Stage::Relay(..) | Stage::Spare => {}
            }
        }
        actions
    }

    /// Probes again, directly and by way of others.
    fn ask_helpers<R: Rng>(
        &mut self,
        now: Instant,
        rng: &mut R,
        number: u64,
        probe: Probe,
    ) -> Vec<Action> {
        let told = self.riders(now);
        let target = probe.target.clone();
        self.probes.insert(
            number,
            Probe {
                stage: Stage::Indirect,
                deadline: now + PROBE_TIMEOUT,
                ..probe
            },
        );
        let ask = Message::ProbeFor(number, Arc::clone(&target.name), told.clone());
        let helpers = self.random_peers(rng, HELPERS, &target.name);
        let helpers = helpers.into_iter();
        let again = Action::Send(target.addr, Message::Probe(number, told));
        helpers
            .map(|addr| Action::Send(addr, ask.clone()))
            .chain([again])
            .collect()
    }

    fn suspect(&mut self, now: Instant, probe: Probe) -> Vec<Action> {
        let news = News {
            identity: probe.target,
            incarnation: probe.incarnation,
            state: State::Suspect,
        };
        let addr = news.identity.addr;
        let mut actions = self.believe(now, news.clone());
        // It may be able to hear though its answers were lost.
        let told = self.told(vec![news], Vec::new());
        actions.push(Action::Send(addr, Message::Tell(told)));
        actions
    }

    fn expire_members(&mut self, now: Instant) -> Vec<Action> {
        if self.table.next_expiry() > now {
            return Vec::new();
        }
        let expired = self.table.iter().filter(|m| m.expires_at <= now);
        let expired: Vec<_> = expired.map(|member| member.news.clone()).collect();
        let mut actions = Vec::new();
        for mut news in expired {
            if news.state == State::Dead {
                self.table.remove(&news.identity.name);
                continue;
            }
            news.state = State::Dead;
            actions.extend(self.believe(now, news));
        }
        actions
    }

    fn pace(&self) -> Pace {
        if self.table.len() <= SMALL {
            return Pace {
                monitored: MONITORED_SMALL,
                probe: PROBE_PERIOD_SMALL,
                remote: REMOTE_PERIOD_SMALL,
            };
        }
        Pace {
            monitored: MONITORED,
            probe: PROBE_PERIOD,
            remote: REMOTE_PERIOD,
        }
    }

    fn probe_monitored(&mut self, now: Instant, n: usize) -> Option<Action> {
        let monitored = self.table.successors(&self.me.name, n);
        let turn = self.turn.checked_rem(monitored.len())?;
        let target = monitored[turn].clone();
        self.turn = turn + 1;
        Some(self.probe(now, &target, Stage::Direct, PROBE_TIMEOUT))
    }

    /// Probes one that is taken for dead, else a random one.
    fn probe_spare<R: Rng>(&mut self, now: Instant, rng: &mut R) -> Option<Action> {
        let dead = self.table.iter().filter(|m| m.news.state == State::Dead);
        let dead: Vec<_> = dead.map(|m| m.news.clone()).collect();
        let period = if dead.is_empty() {
            RANDOM_PERIOD
        } else {
            DEAD_PERIOD
        };
        self.spare_at = now + jittered(rng, period);
        if !dead.is_empty() {
            self.spare_turn += 1;
            let target = &dead[self.spare_turn % dead.len()];
            return Some(self.probe(now, target, Stage::Spare, PROBE_TIMEOUT));
        }
        let others = self.table.iter().map(|m| &m.news);
        let others = others.filter(|news| news.identity.name != self.me.name);
        let others: Vec<_> = others.collect();
        let target = (*others.choose(rng)?).clone();
        Some(self.probe(now, &target, Stage::Direct, PROBE_TIMEOUT))
    }

    /// Probes a contact in the data centre whose turn it is; at first, in each.
    fn probe_remote<R: Rng>(&mut self, now: Instant, rng: &mut R) -> Vec<Action> {
        // Who tells others of departures must know the first contacts; the rest
        // probe any, lest the first ones be overrun.
        let forwarders = self.table.holders(Duty::Departures, FORWARDERS);
        let first = forwarders.contains(&self.me.name);
        let data_centres = self.contacts.len();
        let turns = match self.remote_turn {
            0 => data_centres,
            _ => data_centres.min(1),
        };
        let contacts = (0..turns).filter_map(|turn| {
            let at = (self.remote_turn + turn) % data_centres;
            self.contacts.choose(now, at, first, rng)
        });
        let contacts: Vec<_> = contacts.cloned().collect();
        self.remote_turn += turns;
        let probes = contacts.into_iter();
        probes.map(|to| self.probe_contact(now, to)).collect()
    }

    fn probe_contact(&mut self, now: Instant, to: Identity) -> Action {
        let news = News {
            identity: to,
            incarnation: Incarnation(0),
            state: State::Live,
        };
        self.probe(now, &news, Stage::Remote, REMOTE_TIMEOUT)
    }

    /// Leaves out a contact that did not answer, and probes another one.
    fn try_another(&mut self, now: Instant, silent: &Identity) -> Option<Action> {
        self.contacts.avoid(now, &silent.name);
        let another = self.contacts.another(now, silent)?.clone();
        Some(self.probe_contact(now, another))
    }

    /// Tells what is new to a few random peers.
    fn flush<R: Rng>(&mut self, now: Instant, rng: &mut R) -> Vec<Action> {
        let (news, departures) = split(self.gossip.round());
        self.flush_at = Instant::NEVER;
        if self.gossip.is_urgent() {
            self.flush_at = now + ROUND_PERIOD;
        }
        let told = self.told(news, departures);
        let peers = self.random_peers(rng, FANOUT, &self.me.name);
        let send = |addr| Action::Send(addr, Message::Tell(told.clone()));
        peers.into_iter().map(send).collect()
    }

    /// Addresses of random instances of the own data centre, without the dead.
    fn random_peers<R: Rng>(&self, rng: &mut R, n: usize, without: &str) -> Vec<SocketAddr> {
        let live: Vec<_> = self
            .live()
            .filter(|identity| identity.name != self.me.name && &*identity.name != without)
            .collect();
        let chosen = live.choose_multiple(rng, n);
        chosen.map(|identity| identity.addr).collect()
    }
}

/// The time until the next whole table, after one with so many entries.
fn sync_period(entries: usize) -> Duration {
    let bytes = entries as u64 * ENTRY_BYTES;
    let period = Duration::from_millis(bytes * 1_000 / SYNC_BYTES_PER_S);
    period.max(SYNC_PERIOD_MIN)
}

fn split(items: Vec<Item>) -> (Vec<News>, Vec<Departure>) {
    let mut news = Vec::new();
    let mut departures = Vec::new();
    for item in items {
        match item {
            Item::News(item) => news.push(item),
            Item::Departure(item) => departures.push(item),
        }
    }
    (news, departures)
}

fn jittered<R: Rng>(rng: &mut R, period: Duration) -> Duration {
    period.mul_f64(rng.random_range(0.9..1.1))
}
