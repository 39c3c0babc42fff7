//! What one instance has in force, and how it hears of newer versions.
//!
//! Watchers hear from the platform, push along a tree in their data centre and
//! announce to the other data centres. Whoever was missed finds out by the
//! periodic exchange of versions with a random peer. Chunks that are not known
//! yet are asked for by digest, of a peer or of the platform.

use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use hemlockwind_core::collections::HashSet;
use hemlockwind_core::config::Version;
use hemlockwind_core::names::InstanceKey;
use hemlockwind_core::time::Instant;

use crate::chunk::Chunks;
use crate::digest::Digest;
use crate::head::Head;
use crate::peers::Peers;

/// The mean time between two exchanges of an instance.
const EXCHANGE_PERIOD: Duration = Duration::from_millis(800);
/// The mean time between two reads of the head by a watcher.
const REREAD_PERIOD: Duration = Duration::from_millis(2_000);
/// The time that peers have before a new instance asks the platform.
const START_DELAY: Duration = Duration::from_millis(300);
/// The time after which missing chunks are asked for again.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);
/// The time after which watchers tell those that should know by then: the other
/// data centres, and the upper levels below a first watcher that may be gone.
const BACKUP_DELAY: Duration = Duration::from_millis(300);
/// Peers that a new instance asks at once.
const START_PEERS: usize = 3;
/// One exchange in so many goes to another data centre.
const REMOTE_EXCHANGES: u32 = 4;
/// Chunks asked for at once.
const FETCH_LIMIT: usize = 64;
/// The size of the chunks that go along with a push, in bytes.
const PUSH_LIMIT_BYTES: usize = 64 << 10;
/// The size of the chunks in one answer, in bytes.
const ANSWER_LIMIT_BYTES: usize = 1 << 20;

/// `Message` is what replicas tell each other.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// The version in force at the sender. Who has a newer one pushes it; who has
    /// an older one answers with its own.
    Version(Version),
    /// A head, with the chunks that were new in it.
    Push {
        /// The head in force at the sender.
        head: Head,
        /// Some of its chunks.
        chunks: Vec<Bytes>,
        /// Whether to push it on along the tree.
        tree: bool,
    },
    /// Chunks that the sender lacks.
    Want(Vec<Digest>),
    /// Chunks that were wanted.
    Chunks(Vec<Bytes>),
}

/// `Event` is what a replica hears.
#[derive(Clone, Debug)]
pub enum Event {
    /// Membership has changed.
    Peers(Peers),
    /// A peer sent a message.
    Message {
        /// The peer.
        from: InstanceKey,
        /// What it sent.
        message: Message,
    },
    /// The platform's head, read or heard by the watch.
    Stored(Head),
    /// A chunk read from the platform.
    Chunk(Bytes),
    /// [`Replica::next_deadline`] has come.
    Timer,
}

/// `Action` is what a replica wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: InstanceKey,
        /// The message.
        message: Message,
    },
    /// Read the head from the platform; a failure need not be told.
    ReadHead,
    /// Read a chunk from the platform; a failure need not be told.
    ReadChunk(Digest),
    /// Hold the platform watch on the head, or let it go.
    Watch(bool),
    /// Put this document in force.
    PutInForce {
        /// The head.
        head: Head,
        /// The document.
        body: Bytes,
    },
}

/// `Source` is where a newer head was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Platform,
    Peer(InstanceKey),
}

/// `Fetch` is a head whose chunks are not all here yet.
#[derive(Clone, Debug)]
struct Fetch {
    head: Head,
    source: Source,
    tree: bool,
    asked: HashSet<Digest>,
    retries: u32,
    retry_at: Instant,
}

/// `Replica` holds what is in force at one instance.
#[derive(Debug)]
pub struct Replica {
    me: InstanceKey,
    rng: SmallRng,
    peers: Peers,
    chunks: Chunks,
    in_force: Option<Head>,
    fresh: Vec<Digest>,
    fetch: Option<Fetch>,
    watching: bool,
    exchanges: u32,
    exchange_at: Instant,
    reread_at: Instant,
    backup_at: Instant,
}

impl Replica {
    /// A replica that has nothing yet.
    pub fn new(now: Instant, me: InstanceKey, seed: u64) -> Self {
        Self {
            me,
            rng: SmallRng::seed_from_u64(seed),
            peers: Peers::default(),
            chunks: Chunks::default(),
            in_force: None,
            fresh: Vec::new(),
            fetch: None,
            watching: false,
            exchanges: 0,
            exchange_at: now,
            reread_at: now + START_DELAY,
            backup_at: Instant::NEVER,
        }
    }

    /// The version in force, 0 when there is none.
    pub fn version(&self) -> Version {
        self.in_force
            .as_ref()
            .map_or(Version(0), |head| head.version)
    }

    /// The head in force.
    pub fn head(&self) -> Option<&Head> {
        self.in_force.as_ref()
    }

    /// Digests of the chunks in force, which the platform holds.
    pub fn digests(&self) -> HashSet<Digest> {
        let head = self.in_force.as_ref();
        head.map(|head| self.chunks.digests(head))
            .unwrap_or_default()
    }

    /// When [`Event::Timer`] is due.
    pub fn next_deadline(&self) -> Instant {
        let retry_at = self.fetch.as_ref().map_or(Instant::NEVER, |f| f.retry_at);
        let own = self.exchange_at.min(self.reread_at);
        own.min(self.backup_at).min(retry_at)
    }

    /// Takes an event and tells what to do.
    pub fn on_event(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Peers(peers) => self.on_peers(peers),
            Event::Message { from, message } => self.on_message(now, from, message),
            Event::Stored(head) => self.on_head(now, head, Source::Platform, false),
            Event::Chunk(chunk) => self.on_chunks(now, vec![chunk]),
            Event::Timer => self.on_timer(now),
        }
    }

    fn on_peers(&mut self, peers: Peers) -> Vec<Action> {
        self.peers = peers;
        let watching = self.peers.watchers.contains(&self.me);
        if watching == self.watching {
            return Vec::new();
        }
        self.watching = watching;
        vec![Action::Watch(watching)]
    }

    fn on_message(&mut self, now: Instant, from: InstanceKey, message: Message) -> Vec<Action> {
        match message {
            Message::Version(version) => self.on_version(from, version),
            Message::Push { head, chunks, tree } => {
                if head.version <= self.version() {
                    return Vec::new();
                }
                self.insert(chunks);
                self.on_head(now, head, Source::Peer(from), tree)
            }
            Message::Want(digests) => self.on_want(from, &digests),
            Message::Chunks(chunks) => self.on_chunks(now, chunks),
        }
    }

    fn on_version(&mut self, from: InstanceKey, version: Version) -> Vec<Action> {
        let mine = self.version();
        if version < mine {
            return self.push(from, false).into_iter().collect();
        }
        if version > self.fetching() {
            return vec![self.announce(from)];
        }
        Vec::new()
    }

    /// The version that is on its way, else the one in force. A fetch that has
    /// stalled does not count, lest it keep out an older version that is whole.
    fn fetching(&self) -> Version {
        let fetch = self.fetch.as_ref().filter(|fetch| fetch.retries == 0);
        fetch.map_or(self.version(), |fetch| fetch.head.version)
    }

    fn on_want(&self, from: InstanceKey, digests: &[Digest]) -> Vec<Action> {
        let mut size = 0;
        let known = digests.iter().take(FETCH_LIMIT);
        let known = known.filter_map(|digest| self.chunks.get(digest));
        let chunks: Vec<_> = known
            .take_while(|chunk| {
                size += chunk.len();
                size <= ANSWER_LIMIT_BYTES
            })
            .cloned()
            .collect();
        if chunks.is_empty() {
            return Vec::new();
        }
        vec![Action::Send {
            to: from,
            message: Message::Chunks(chunks),
        }]
    }

    fn on_chunks(&mut self, now: Instant, chunks: Vec<Bytes>) -> Vec<Action> {
        if self.fetch.is_none() {
            return Vec::new();
        }
        self.insert(chunks);
        self.advance(now)
    }

    fn insert(&mut self, chunks: Vec<Bytes>) {
        for chunk in chunks {
            self.chunks.insert(chunk);
        }
    }

    /// Goes after `head` when it is newer than all that is known.
    fn on_head(&mut self, now: Instant, head: Head, source: Source, tree: bool) -> Vec<Action> {
        if head.version <= self.version() {
            return Vec::new();
        }
        if head.version <= self.fetching() {
            let same = self.fetch.as_mut().filter(|f| f.head == head);
            same.into_iter().for_each(|fetch| fetch.tree |= tree);
            return self.advance(now);
        }
        self.fetch = Some(Fetch {
            head,
            source,
            tree,
            asked: HashSet::default(),
            retries: 0,
            retry_at: now,
        });
        self.advance(now)
    }

    /// Puts the wanted head in force, or asks for what it lacks.
    fn advance(&mut self, now: Instant) -> Vec<Action> {
        let Some(mut fetch) = self.fetch.take() else {
            return Vec::new();
        };
        let missing = self.chunks.missing(&fetch.head, FETCH_LIMIT);
        if missing.is_empty() {
            return self.install(now, fetch);
        }
        let mut wanted = missing;
        wanted.retain(|&digest| fetch.asked.insert(digest));
        if !wanted.is_empty() {
            fetch.retry_at = now + FETCH_TIMEOUT;
        }
        let source = fetch.source;
        self.fetch = Some(fetch);
        ask(source, wanted)
    }

    fn install(&mut self, now: Instant, fetch: Fetch) -> Vec<Action> {
        let Fetch { head, tree, .. } = fetch;
        // A tree that does not join to its stated length is dropped.
        let Some(body) = self.chunks.assemble(&head) else {
            return Vec::new();
        };
        let before = self.digests();
        let digests = self.chunks.digests(&head);
        self.chunks.retain(&digests);
        self.fresh = digests.difference(&before).copied().collect();
        self.in_force = Some(head.clone());
        let mut actions = vec![Action::PutInForce { head, body }];
        actions.extend(self.spread(now, tree));
        actions
    }

    /// Passes on what was just put in force.
    fn spread(&mut self, now: Instant, tree: bool) -> Vec<Action> {
        let children = self.peers.children(self.me, self.version());
        let first = self.peers.first_watcher();
        if self.watching {
            self.backup_at = now + BACKUP_DELAY;
        }
        if tree || first == Some(self.me) {
            return children
                .into_iter()
                .filter_map(|to| self.push(to, true))
                .collect();
        }
        let to = first.into_iter().chain(children);
        to.map(|to| self.announce(to)).collect()
    }

    fn on_timer(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.fetch.as_ref().is_some_and(|f| f.retry_at <= now) {
            actions.extend(self.retry_fetch(now));
        }
        if self.backup_at <= now {
            self.backup_at = Instant::NEVER;
            actions.extend(self.back_up());
        }
        if self.exchange_at <= now {
            self.exchange_at = now + self.jittered(EXCHANGE_PERIOD);
            actions.extend(self.exchange());
        }
        if self.reread_at <= now {
            self.reread_at = now + self.jittered(REREAD_PERIOD);
            if self.watching || self.in_force.is_none() {
                actions.push(Action::ReadHead);
            }
        }
        actions
    }

    /// Asks another source for what is still missing.
    fn retry_fetch(&mut self, now: Instant) -> Vec<Action> {
        let platform = self.watching || self.in_force.is_none();
        let peer = self.random_local();
        let Some(fetch) = self.fetch.as_mut() else {
            return Vec::new();
        };
        fetch.retries += 1;
        fetch.retry_at = now + FETCH_TIMEOUT;
        fetch.asked.clear();
        fetch.source = match peer {
            Some(peer) if fetch.retries % 2 == 1 || !platform => Source::Peer(peer),
            Some(_) | None => Source::Platform,
        };
        self.advance(now)
    }

    /// Makes up for a first watcher that is gone but not yet known to be, and for
    /// data centres that are cut from the platform.
    fn back_up(&self) -> Vec<Action> {
        let mut actions = self.announce_remote();
        let first = self.peers.first_watcher();
        if let Some(first) = first.filter(|&first| first != self.me) {
            let upper = self.peers.upper(self.version()).into_iter();
            let to = upper.chain([first]).filter(|&to| to != self.me);
            actions.extend(to.map(|to| self.announce(to)));
        }
        actions
    }

    fn announce_remote(&self) -> Vec<Action> {
        let place = self.peers.watchers.iter().position(|&key| key == self.me);
        let contacts = self.peers.remote.iter();
        contacts
            .filter_map(|of| of.get(place.unwrap_or(0)).or(of.first()))
            .map(|&to| self.announce(to))
            .collect()
    }

    fn exchange(&mut self) -> Vec<Action> {
        self.exchanges += 1;
        let period = if self.watching { 2 } else { REMOTE_EXCHANGES };
        let asked = if self.in_force.is_none() {
            START_PEERS
        } else {
            1
        };
        let remote = self.exchanges.is_multiple_of(period);
        let mut to = Vec::new();
        for _ in 0..asked {
            let local = if remote { None } else { self.random_local() };
            to.extend(local.or_else(|| self.random_remote()));
        }
        to.sort_unstable();
        to.dedup();
        to.into_iter().map(|to| self.announce(to)).collect()
    }

    fn random_local(&mut self) -> Option<InstanceKey> {
        let me = self.me;
        let others = self.peers.local.iter().filter(|peer| peer.key != me);
        let others: Vec<_> = others.collect();
        others.choose(&mut self.rng).map(|peer| peer.key)
    }

    fn random_remote(&mut self) -> Option<InstanceKey> {
        let contacts = self.peers.remote.choose(&mut self.rng)?;
        contacts.choose(&mut self.rng).copied()
    }

    fn jittered(&mut self, period: Duration) -> Duration {
        period.mul_f64(self.rng.random_range(0.5..1.5))
    }

    fn announce(&self, to: InstanceKey) -> Action {
        let message = Message::Version(self.version());
        Action::Send { to, message }
    }

    /// A push of what is in force, with the chunks that were new in it.
    fn push(&self, to: InstanceKey, tree: bool) -> Option<Action> {
        let head = self.in_force.clone()?;
        let fresh = self.fresh.iter();
        let mut chunks: Vec<_> = fresh.filter_map(|d| self.chunks.get(d).cloned()).collect();
        if chunks.iter().map(Bytes::len).sum::<usize>() > PUSH_LIMIT_BYTES {
            chunks.clear();
        }
        let message = Message::Push { head, chunks, tree };
        Some(Action::Send { to, message })
    }
}

fn ask(source: Source, digests: Vec<Digest>) -> Vec<Action> {
    match source {
        _ if digests.is_empty() => Vec::new(),
        Source::Platform => digests.into_iter().map(Action::ReadChunk).collect(),
        Source::Peer(to) => vec![Action::Send {
            to,
            message: Message::Want(digests),
        }],
    }
}
