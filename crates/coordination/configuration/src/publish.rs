//! Writes an operator's change to the platform.
//!
//! The head is read, the chunks are written, then the head is updated on condition that
//! it has not changed since. If the outcome of that update is unknown, the head is read
//! again and searched for the writer's nonce. The condition is the same for all attempts,
//! so at most one of them takes effect.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::collections::HashSet;
use hemlockwind_core::config::Version;
use hemlockwind_core::edges::ObjectVersion;
use hemlockwind_core::edges::Precondition;
use hemlockwind_core::edges::PutOutcome;
use hemlockwind_core::time::Instant;
use hemlockwind_core::time::WallTime;

use crate::chunk::Tree;
use crate::chunk::mix;
use crate::digest::Digest;
use crate::head::Entry;
use crate::head::Head;
use crate::head::MAX_RECENT_CHANGES;

/// The maximum number of chunk writes in flight to the platform.
const MAX_CHUNKS_IN_FLIGHT: usize = 16;
/// How long the platform has to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The wait before the first retry; doubled for each later one.
const MIN_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The maximum number of doublings: up to 3.2 s, plus up to half of that as jitter.
const MAX_RETRY_DOUBLINGS: u32 = 6;

/// `Change` is a document that an operator wants to put in force.
#[derive(Clone, Debug)]
pub struct Change {
    /// The operator.
    pub author: Arc<str>,
    /// A random number that no other change has.
    pub nonce: u64,
    /// The version on which the change is based, 0 if there was none.
    pub base: Version,
    /// The version in force at this instance; the new one is higher.
    pub floor: Version,
    /// The document.
    pub body: Bytes,
    /// The wall time of the change, which is only recorded in its [`Entry`].
    pub at: WallTime,
    /// When to give up.
    pub deadline: Instant,
}

/// `Outcome` is the result of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The platform has accepted it durably.
    Accepted(Version),
    /// The document of this version is identical; nothing was written.
    Unchanged(Version),
    /// Another change came first; `None` if it is no longer among the recent changes.
    Conflict(Option<Entry>),
    /// The platform was not reached in time, and nothing changed.
    Refused,
    /// The platform was not reached in time, and the change may still be accepted.
    Unknown,
}

/// `PublishEvent` is an input of [`Publish`]: an answer of the platform or a timer.
#[derive(Clone, Debug)]
pub enum PublishEvent {
    /// The head was read; `None` if there is none.
    HeadRead(Option<(Head, ObjectVersion)>),
    /// The head could not be read.
    ReadFailed,
    /// The result of writing a chunk.
    ChunkPut(Digest, PutOutcome),
    /// The result of updating the head.
    HeadPut(PutOutcome),
    /// The change starts, or [`Publish::next_deadline`] has come.
    Timer,
}

/// `PublishAction` is an output of [`Publish`], for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum PublishAction {
    /// Read the head.
    ReadHead,
    /// Write a chunk, if it is absent.
    PutChunk(Digest, Bytes),
    /// Write the head, if the precondition holds.
    PutHead(Head, Precondition),
    /// Report the outcome to the operator.
    Finish(Outcome),
}

/// `Step` is the current step of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Read,
    PutChunks,
    PutHead,
    Done,
}

/// `Publish` writes one change to the platform.
#[derive(Clone, Debug)]
pub struct Publish {
    change: Change,
    root: Digest,
    depth: u8,
    chunks: HashMap<Digest, Bytes>,
    in_flight: HashSet<Digest>,
    update: Option<(Head, Precondition)>,
    /// The number of updates of the head that were sent and may still take effect.
    unresolved: u32,
    step: Step,
    awaiting_answer: bool,
    wake_at: Instant,
    retries: u32,
}

impl Publish {
    /// Returns the state of a change that is to be written. The platform already holds the
    /// chunks `stored`, which are not written again.
    pub fn new(now: Instant, change: Change, stored: &HashSet<Digest>) -> Self {
        let tree = Tree::new(&change.body);
        let chunks = tree.chunks.into_iter();
        Self {
            root: tree.root,
            depth: tree.depth,
            chunks: chunks
                .filter(|(digest, _)| !stored.contains(digest))
                .collect(),
            in_flight: HashSet::default(),
            update: None,
            unresolved: 0,
            step: Step::Read,
            awaiting_answer: false,
            wake_at: now,
            retries: 0,
            change,
        }
    }

    /// Returns when [`PublishEvent::Timer`] is due.
    pub fn next_deadline(&self) -> Instant {
        match self.step {
            Step::Done => Instant::NEVER,
            Step::Read | Step::PutChunks | Step::PutHead => self.wake_at.min(self.change.deadline),
        }
    }

    /// Handles an event and returns the actions to perform.
    pub fn on_event(&mut self, now: Instant, event: PublishEvent) -> Vec<PublishAction> {
        if self.step == Step::Done {
            return Vec::new();
        }
        match event {
            PublishEvent::HeadRead(found) => self.on_head(now, found),
            PublishEvent::ReadFailed => self.on_read_failed(now),
            PublishEvent::ChunkPut(digest, put) => self.on_chunk_put(now, digest, &put),
            PublishEvent::HeadPut(put) => self.on_head_put(now, &put),
            PublishEvent::Timer => self.on_timer(now),
        }
    }

    fn on_timer(&mut self, now: Instant) -> Vec<PublishAction> {
        if now >= self.change.deadline {
            return self.give_up();
        }
        if now < self.wake_at {
            return Vec::new();
        }
        if self.awaiting_answer && self.step == Step::PutHead {
            // The update may have taken effect without an answer.
            self.step = Step::Read;
        }
        if self.awaiting_answer {
            self.in_flight.clear();
            self.back_off(now);
            return Vec::new();
        }
        self.send_step(now)
    }

    fn on_head(
        &mut self,
        now: Instant,
        found: Option<(Head, ObjectVersion)>,
    ) -> Vec<PublishAction> {
        if self.step != Step::Read || !self.awaiting_answer {
            return Vec::new();
        }
        let version = found.as_ref().map_or(Version(0), |(head, _)| head.version);
        if let Some((head, _)) = &found {
            if let Some(entry) = head.recent.iter().find(|e| e.nonce == self.change.nonce) {
                return self.finish(Outcome::Accepted(entry.version));
            }
            if version > self.change.base {
                return self.on_superseded(head);
            }
        }
        if version < self.change.base {
            // The read is stale, as the author has already seen the base.
            self.back_off(now);
            return Vec::new();
        }
        if let Some((head, _)) = &found
            && head.root == self.root
            && self.update.is_none()
        {
            return self.finish(Outcome::Unchanged(version));
        }
        if self.update.is_none() {
            self.update = Some(self.next_head(found));
        }
        self.step = Step::PutChunks;
        self.send_step(now)
    }

    /// Returns the head that replaces the one found, and the precondition of the update.
    fn next_head(&self, found: Option<(Head, ObjectVersion)>) -> (Head, Precondition) {
        let change = &self.change;
        let (mut recent, precondition) = match found {
            Some((head, version)) => (head.recent, Precondition::Version(version)),
            None => (Vec::new(), Precondition::Absent),
        };
        let version = Version(change.base.max(change.floor).0 + 1);
        recent.push(Entry {
            version,
            nonce: change.nonce,
            author: Arc::clone(&change.author),
            at: change.at,
        });
        recent.drain(..recent.len().saturating_sub(MAX_RECENT_CHANGES));
        let head = Head {
            version,
            root: self.root,
            depth: self.depth,
            len: change.body.len() as u64,
            recent,
        };
        (head, precondition)
    }

    /// Finishes a change that can no longer take effect, as `head` is newer than its base and
    /// does not list it. The change was not accepted, or it was and has since been dropped
    /// from the recent changes.
    fn on_superseded(&mut self, head: &Head) -> Vec<PublishAction> {
        let base = self.change.base;
        if head.covers(base) {
            return self.finish(Outcome::Conflict(head.first_after(base).cloned()));
        }
        if self.unresolved > 0 {
            return self.finish(Outcome::Unknown);
        }
        self.finish(Outcome::Conflict(None))
    }

    fn on_read_failed(&mut self, now: Instant) -> Vec<PublishAction> {
        if self.step == Step::Read && self.awaiting_answer {
            self.back_off(now);
        }
        Vec::new()
    }

    fn on_chunk_put(
        &mut self,
        now: Instant,
        digest: Digest,
        put: &PutOutcome,
    ) -> Vec<PublishAction> {
        self.in_flight.remove(&digest);
        match put {
            // A conflict means that the chunk is already stored.
            PutOutcome::Done(_) | PutOutcome::Conflict => {
                self.chunks.remove(&digest);
            }
            PutOutcome::Refused(_) | PutOutcome::Unknown(_) => {
                if self.step == Step::PutChunks && self.in_flight.is_empty() {
                    self.back_off(now);
                }
                return Vec::new();
            }
        }
        if self.step == Step::PutChunks {
            return self.send_step(now);
        }
        Vec::new()
    }

    fn on_head_put(&mut self, now: Instant, put: &PutOutcome) -> Vec<PublishAction> {
        let version = self.update.as_ref().map(|(head, _)| head.version);
        match put {
            PutOutcome::Done(_) => {
                let version = version.unwrap_or_default();
                return self.finish(Outcome::Accepted(version));
            }
            PutOutcome::Conflict | PutOutcome::Refused(_) => {
                self.unresolved = self.unresolved.saturating_sub(1)
            }
            PutOutcome::Unknown(_) => {}
        }
        if self.step == Step::PutHead {
            self.step = Step::Read;
            self.back_off(now);
        }
        Vec::new()
    }

    /// Returns the calls of the current step.
    fn send_step(&mut self, now: Instant) -> Vec<PublishAction> {
        if self.step == Step::PutChunks && self.chunks.is_empty() {
            self.step = Step::PutHead;
        }
        self.awaiting_answer = true;
        self.wake_at = now + ANSWER_TIMEOUT;
        match (self.step, &self.update) {
            (Step::PutHead, Some((head, precondition))) => {
                self.unresolved += 1;
                vec![PublishAction::PutHead(head.clone(), *precondition)]
            }
            (Step::PutChunks, Some(_)) => self.put_chunks(),
            (Step::Read | Step::PutHead | Step::PutChunks, _) => vec![PublishAction::ReadHead],
            (Step::Done, _) => Vec::new(),
        }
    }

    fn put_chunks(&mut self) -> Vec<PublishAction> {
        let free = MAX_CHUNKS_IN_FLIGHT.saturating_sub(self.in_flight.len());
        let unsent = self.chunks.iter();
        let unsent = unsent.filter(|(digest, _)| !self.in_flight.contains(*digest));
        let batch: Vec<_> = unsent
            .take(free)
            .map(|(digest, chunk)| (*digest, chunk.clone()))
            .collect();
        self.in_flight
            .extend(batch.iter().map(|(digest, _)| *digest));
        let puts = batch.into_iter();
        puts.map(|(digest, chunk)| PublishAction::PutChunk(digest, chunk))
            .collect()
    }

    fn back_off(&mut self, now: Instant) {
        let wait = MIN_RETRY_INTERVAL * (1 << self.retries.min(MAX_RETRY_DOUBLINGS));
        let jitter = mix(self.change.nonce ^ u64::from(self.retries)) % 1_024;
        self.retries += 1;
        self.awaiting_answer = false;
        self.wake_at = now + wait + wait * u32::try_from(jitter).unwrap_or(0) / 2_048;
    }

    fn give_up(&mut self) -> Vec<PublishAction> {
        if self.unresolved > 0 {
            return self.finish(Outcome::Unknown);
        }
        self.finish(Outcome::Refused)
    }

    fn finish(&mut self, outcome: Outcome) -> Vec<PublishAction> {
        self.step = Step::Done;
        vec![PublishAction::Finish(outcome)]
    }
}
