//! The configuration that one instance has in force, and how it obtains newer versions.
//!
//! Watchers are notified by the platform. The first watcher of a data centre pushes a new
//! version along a tree of its instances, and all watchers announce it to the other data
//! centres. Instances that were missed catch up through the periodic exchange of versions
//! with a random peer. Missing chunks are requested by digest from a peer or from the
//! platform.

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

/// The mean time between two version exchanges of an instance.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(800);
/// The mean time between two reads of the head by a watcher.
const REREAD_INTERVAL: Duration = Duration::from_millis(2_000);
/// How long peers have to answer before a new instance reads from the platform.
const START_DELAY: Duration = Duration::from_millis(300);
/// How long to wait before missing chunks are requested again.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);
/// How long after putting a version in force a watcher announces it to the other data
/// centres and to the upper levels of the tree. They should have it by then, but the root of
/// the tree, the first watcher, may have failed.
const BACKUP_DELAY: Duration = Duration::from_millis(300);
/// The number of peers that a new instance contacts at once.
const START_PEERS: usize = 3;
/// One in this many exchanges goes to another data centre; for a watcher it is one in two.
const EXCHANGES_PER_REMOTE: u32 = 4;
/// The maximum number of chunks requested at once.
const MAX_FETCH_CHUNKS: usize = 64;
/// The maximum size of the chunks in a push, in bytes.
const MAX_PUSH_BYTES: usize = 64 << 10;
/// The maximum size of the chunks in one answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// `Message` is a message between replicas.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// The version in force at the sender. A receiver with a newer version pushes that
    /// version to the sender; one with an older version answers with its own version, so
    /// that the sender pushes.
    Version(Version),
    /// A head, with the chunks that it introduced.
    Push {
        /// The head in force at the sender.
        head: Head,
        /// Some of its chunks.
        chunks: Vec<Bytes>,
        /// Whether the receiver pushes it on along the tree.
        along_tree: bool,
    },
    /// The digests of chunks that the sender is missing.
    Want(Vec<Digest>),
    /// Chunks that were requested.
    Chunks(Vec<Bytes>),
}

/// `Event` is an input of [`Replica`].
#[derive(Clone, Debug)]
pub enum Event {
    /// The membership has changed.
    Peers(Peers),
    /// A peer sent a message.
    Message {
        /// The peer.
        from: InstanceKey,
        /// The message.
        message: Message,
    },
    /// The head was read from the platform, or received through the watch.
    Stored(Head),
    /// A chunk was read from the platform.
    Chunk(Bytes),
    /// [`Replica::next_deadline`] has come.
    Timer,
}

/// `Action` is an output of [`Replica`], for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: InstanceKey,
        /// The message.
        message: Message,
    },
    /// Read the head from the platform; a failure need not be reported.
    ReadHead,
    /// Read a chunk from the platform; a failure need not be reported.
    ReadChunk(Digest),
    /// Start or stop the platform watch on the head.
    Watch(bool),
    /// Put this document in force.
    PutInForce {
        /// The head.
        head: Head,
        /// The document.
        body: Bytes,
    },
}

/// `Source` is where the missing chunks of a newer head are requested from, at first the
/// sender of the head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Platform,
    Peer(InstanceKey),
}

/// `Fetch` is a newer head with chunks that are still missing.
#[derive(Clone, Debug)]
struct Fetch {
    head: Head,
    source: Source,
    /// Whether the head was pushed along the tree, so that this instance pushes it on.
    along_tree: bool,
    requested: HashSet<Digest>,
    retries: u32,
    retry_at: Instant,
}

/// `Replica` holds the configuration in force at one instance.
#[derive(Debug)]
pub struct Replica {
    me: InstanceKey,
    rng: SmallRng,
    peers: Peers,
    chunks: Chunks,
    in_force: Option<Head>,
    new_digests: Vec<Digest>,
    fetch: Option<Fetch>,
    watching: bool,
    exchanges: u32,
    exchange_at: Instant,
    reread_at: Instant,
    backup_at: Instant,
}

impl Replica {
    /// Returns a replica with nothing in force.
    pub fn new(now: Instant, me: InstanceKey, seed: u64) -> Self {
        Self {
            me,
            rng: SmallRng::seed_from_u64(seed),
            peers: Peers::default(),
            chunks: Chunks::default(),
            in_force: None,
            new_digests: Vec::new(),
            fetch: None,
            watching: false,
            exchanges: 0,
            exchange_at: now,
            reread_at: now + START_DELAY,
            backup_at: Instant::NEVER,
        }
    }

    /// Returns the version in force, 0 if there is none.
    pub fn version(&self) -> Version {
        self.in_force
            .as_ref()
            .map_or(Version(0), |head| head.version)
    }

    /// Returns the head in force.
    pub fn head(&self) -> Option<&Head> {
        self.in_force.as_ref()
    }

    /// Returns the digests of the chunks in force, which the platform holds.
    pub fn digests(&self) -> HashSet<Digest> {
        let head = self.in_force.as_ref();
        head.map(|head| self.chunks.digests(head))
            .unwrap_or_default()
    }

    /// Returns when [`Event::Timer`] is due.
    pub fn next_deadline(&self) -> Instant {
        let retry_at = self.fetch.as_ref().map_or(Instant::NEVER, |f| f.retry_at);
        let own = self.exchange_at.min(self.reread_at);
        own.min(self.backup_at).min(retry_at)
    }

    /// Handles an event and returns the actions to perform.
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
            Message::Push {
                head,
                chunks,
                along_tree,
            } => {
                if head.version <= self.version() {
                    return Vec::new();
                }
                self.insert(chunks);
                self.on_head(now, head, Source::Peer(from), along_tree)
            }
            Message::Want(digests) => self.on_want(from, &digests),
            Message::Chunks(chunks) => self.on_chunks(now, chunks),
        }
    }

    fn on_version(&mut self, from: InstanceKey, version: Version) -> Vec<Action> {
        let own_version = self.version();
        if version < own_version {
            return self.push(from, false).into_iter().collect();
        }
        if version > self.target_version() {
            return vec![self.announce(from)];
        }
        Vec::new()
    }

    /// Returns the version being fetched, otherwise the one in force. A fetch that was
    /// retried does not count, as it would block an older version that is complete.
    fn target_version(&self) -> Version {
        let fetch = self.fetch.as_ref().filter(|fetch| fetch.retries == 0);
        fetch.map_or(self.version(), |fetch| fetch.head.version)
    }

    fn on_want(&self, from: InstanceKey, digests: &[Digest]) -> Vec<Action> {
        let mut size = 0;
        let held = digests.iter().take(MAX_FETCH_CHUNKS);
        let held = held.filter_map(|digest| self.chunks.get(digest));
        let chunks: Vec<_> = held
            .take_while(|chunk| {
                size += chunk.len();
                size <= MAX_ANSWER_BYTES
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

    /// Fetches `head` if it is newer than the version in force and the one being fetched.
    fn on_head(
        &mut self,
        now: Instant,
        head: Head,
        source: Source,
        along_tree: bool,
    ) -> Vec<Action> {
        if head.version <= self.version() {
            return Vec::new();
        }
        if head.version <= self.target_version() {
            let same = self.fetch.as_mut().filter(|f| f.head == head);
            same.into_iter()
                .for_each(|fetch| fetch.along_tree |= along_tree);
            return self.advance(now);
        }
        self.fetch = Some(Fetch {
            head,
            source,
            along_tree,
            requested: HashSet::default(),
            retries: 0,
            retry_at: now,
        });
        self.advance(now)
    }

    /// Puts the fetched head in force, or requests its missing chunks.
    fn advance(&mut self, now: Instant) -> Vec<Action> {
        let Some(mut fetch) = self.fetch.take() else {
            return Vec::new();
        };
        let missing = self.chunks.missing(&fetch.head, MAX_FETCH_CHUNKS);
        if missing.is_empty() {
            return self.install(now, fetch);
        }
        let mut wanted = missing;
        wanted.retain(|&digest| fetch.requested.insert(digest));
        if !wanted.is_empty() {
            fetch.retry_at = now + FETCH_TIMEOUT;
        }
        let source = fetch.source;
        self.fetch = Some(fetch);
        request_chunks(source, wanted)
    }

    fn install(&mut self, now: Instant, fetch: Fetch) -> Vec<Action> {
        let Fetch {
            head, along_tree, ..
        } = fetch;
        // A tree whose content does not match its stated length is dropped.
        let Some(body) = self.chunks.assemble(&head) else {
            return Vec::new();
        };
        let old_digests = self.digests();
        let digests = self.chunks.digests(&head);
        self.chunks.retain(&digests);
        self.new_digests = digests.difference(&old_digests).copied().collect();
        self.in_force = Some(head.clone());
        let mut actions = vec![Action::PutInForce { head, body }];
        actions.extend(self.propagate(now, along_tree));
        actions
    }

    /// Distributes the version that was just put in force. The first watcher, and an instance
    /// that received the version along the tree, push it to their children; any other
    /// instance announces it to the first watcher and to its children.
    fn propagate(&mut self, now: Instant, along_tree: bool) -> Vec<Action> {
        let children = self.peers.children(self.me, self.version());
        let first = self.peers.first_watcher();
        if self.watching {
            self.backup_at = now + BACKUP_DELAY;
        }
        if along_tree || first == Some(self.me) {
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
            actions.extend(self.announce_backup());
        }
        if self.exchange_at <= now {
            self.exchange_at = now + self.jittered(EXCHANGE_INTERVAL);
            actions.extend(self.exchange());
        }
        if self.reread_at <= now {
            self.reread_at = now + self.jittered(REREAD_INTERVAL);
            if self.watching || self.in_force.is_none() {
                actions.push(Action::ReadHead);
            }
        }
        actions
    }

    /// Requests the missing chunks from another source.
    fn retry_fetch(&mut self, now: Instant) -> Vec<Action> {
        let platform = self.watching || self.in_force.is_none();
        let peer = self.random_local();
        let Some(fetch) = self.fetch.as_mut() else {
            return Vec::new();
        };
        fetch.retries += 1;
        fetch.retry_at = now + FETCH_TIMEOUT;
        fetch.requested.clear();
        fetch.source = match peer {
            Some(peer) if fetch.retries % 2 == 1 || !platform => Source::Peer(peer),
            Some(_) | None => Source::Platform,
        };
        self.advance(now)
    }

    /// Announces the version in force to the other data centres, which may be cut off from
    /// the platform, and to the first watcher and the levels below it, as the first watcher
    /// may have failed undetected.
    fn announce_backup(&self) -> Vec<Action> {
        let mut actions = self.announce_remote();
        let first = self.peers.first_watcher();
        if let Some(first) = first.filter(|&first| first != self.me) {
            let upper_levels = self.peers.upper_levels(self.version()).into_iter();
            let to = upper_levels.chain([first]).filter(|&to| to != self.me);
            actions.extend(to.map(|to| self.announce(to)));
        }
        actions
    }

    fn announce_remote(&self) -> Vec<Action> {
        let index = self.peers.watchers.iter().position(|&key| key == self.me);
        let contacts = self.peers.remote.iter();
        contacts
            .filter_map(|of| of.get(index.unwrap_or(0)).or(of.first()))
            .map(|&to| self.announce(to))
            .collect()
    }

    fn exchange(&mut self) -> Vec<Action> {
        self.exchanges += 1;
        let period = if self.watching {
            2
        } else {
            EXCHANGES_PER_REMOTE
        };
        let count = if self.in_force.is_none() {
            START_PEERS
        } else {
            1
        };
        let remote = self.exchanges.is_multiple_of(period);
        let mut to = Vec::new();
        for _ in 0..count {
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

    /// Returns a push of the head in force, with the chunks that it introduced.
    fn push(&self, to: InstanceKey, along_tree: bool) -> Option<Action> {
        let head = self.in_force.clone()?;
        let new_digests = self.new_digests.iter();
        let mut chunks: Vec<_> = new_digests
            .filter_map(|d| self.chunks.get(d).cloned())
            .collect();
        if chunks.iter().map(Bytes::len).sum::<usize>() > MAX_PUSH_BYTES {
            chunks.clear();
        }
        let message = Message::Push {
            head,
            chunks,
            along_tree,
        };
        Some(Action::Send { to, message })
    }
}

fn request_chunks(source: Source, digests: Vec<Digest>) -> Vec<Action> {
    match source {
        _ if digests.is_empty() => Vec::new(),
        Source::Platform => digests.into_iter().map(Action::ReadChunk).collect(),
        Source::Peer(to) => vec![Action::Send {
            to,
            message: Message::Want(digests),
        }],
    }
}
