//! Reports of drivers to a pool's queue owner, and its grants to them.
//!
//! The clocks of instances differ, so a message carries the remaining milliseconds instead of
//! an instant.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::engine::RequestId;
use hemlockwind_core::names::OrganisationKey;
use hemlockwind_core::names::Rank;
use hemlockwind_core::time::Instant;
use hemlockwind_queueing::message;
use hemlockwind_queueing::queue_entry;

/// Maximum cost of one queue entry, in tokens times layers.
const MAX_COST: u64 = 1 << 40;
/// Maximum number of list items in one message.
const MAX_LIST_LEN: usize = 1 << 16;
/// Maximum number of credits in one message.
const MAX_CREDITS: u32 = 1 << 10;

/// `Stamp` is the wire form of [`message::Stamp`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Stamp {
    /// The session of the sender; a later start of it has a higher number.
    pub session: u64,
    /// The number of the message in the session.
    pub number: u64,
}

/// `Report` is the wire form of [`message::Report`], from a driver to a pool's queue owner.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// The pool's name, from its model and data centre.
    pub pool: String,
    /// The stamp of this report.
    pub stamp: Stamp,
    /// The last stamp of the queue owner that the driver has processed.
    pub seen: Stamp,
    /// Whether `queue_entries` lists all queue entries of the driver.
    pub whole: bool,
    /// Whether the driver no longer reports to this queue owner.
    pub leaving: bool,
    /// The new queue entries, or all of them in a whole report.
    pub queue_entries: Vec<QueueEntry>,
    /// The running requests that ended, with their actual costs.
    pub finished: Vec<(Uuid, u64)>,
    /// The waiting requests that were withdrawn or expired.
    pub withdrawn: Vec<Uuid>,
    /// The number of unused credits.
    pub credits: u32,
    /// The number of all waiting queue entries, to detect lost messages.
    pub waiting: u32,
    /// The number of all running queue entries, to detect lost messages.
    pub running: u32,
}

/// `QueueEntry` is the wire form of [`queue_entry::QueueEntry`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct QueueEntry {
    /// The request.
    pub request: Uuid,
    /// The organisation's name. The receiver reads the share from its own configuration.
    pub organisation: String,
    /// The rank, 0 the most urgent.
    pub rank: u8,
    /// The expected cost, in tokens times layers.
    pub cost: u64,
    /// The time to the latest useful start, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the request runs already.
    pub running: bool,
}

/// `Grants` is the wire form of [`message::Grants`], from a pool's queue owner to a driver.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Grants {
    /// The pool's name.
    pub pool: String,
    /// The stamp of this message.
    pub stamp: Stamp,
    /// The requests that may start now.
    pub granted: Vec<Uuid>,
    /// The requests that will not be granted.
    pub refused: Vec<Refusal>,
    /// Credits in addition to those sent before. Each allows the start of one request before
    /// its queue entry is granted.
    pub credits: u32,
    /// Whether the driver must drop its unused credits before it takes `credits`.
    pub revoke: bool,
    /// Whether the driver must send a whole report.
    pub resend: bool,
    /// The estimated wait of a new queue entry by rank, in milliseconds.
    pub waits_ms: Vec<u32>,
}

/// `Refusal` is the wire form of [`queue_entry::Refusal`].
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Refusal {
    /// The request.
    pub request: Uuid,
    /// The reason.
    pub reason: Reason,
    /// The time after which a retry may succeed, in milliseconds.
    pub retry_ms: u32,
}

/// `Reason` is the wire form of [`queue_entry::Reason`].
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Reason {
    /// The queue of the organisation and rank is full.
    QueueFull,
    /// The estimated wait exceeds the allowed part of the time to the deadline.
    DeadlineUnmeetable,
    /// The deadline passed while the queue entry waited.
    DeadlinePassed,
}

impl From<message::Stamp> for Stamp {
    fn from(stamp: message::Stamp) -> Self {
        Self {
            session: stamp.session,
            number: stamp.number,
        }
    }
}

impl From<Stamp> for message::Stamp {
    fn from(stamp: Stamp) -> Self {
        Self {
            session: stamp.session,
            number: stamp.number,
        }
    }
}

impl From<queue_entry::Reason> for Reason {
    fn from(reason: queue_entry::Reason) -> Self {
        match reason {
            queue_entry::Reason::QueueFull => Self::QueueFull,
            queue_entry::Reason::DeadlineUnmeetable => Self::DeadlineUnmeetable,
            queue_entry::Reason::DeadlinePassed => Self::DeadlinePassed,
        }
    }
}

impl From<Reason> for queue_entry::Reason {
    fn from(reason: Reason) -> Self {
        match reason {
            Reason::QueueFull => Self::QueueFull,
            Reason::DeadlineUnmeetable => Self::DeadlineUnmeetable,
            Reason::DeadlinePassed => Self::DeadlinePassed,
        }
    }
}

impl Report {
    /// Returns the message for `report`, sent at `now`; `name` returns the name of an
    /// organisation.
    pub fn from_report(
        pool: String,
        now: Instant,
        report: message::Report,
        name: impl Fn(OrganisationKey) -> String,
    ) -> Self {
        let to_wire = |entry: &queue_entry::QueueEntry| QueueEntry {
            request: entry.request.0,
            organisation: name(entry.organisation),
            rank: entry.rank.0,
            cost: entry.cost,
            deadline_ms: millis_u64(entry.deadline.since(now)),
            running: entry.running,
        };
        let finished = report.finished.iter();
        Self {
            pool,
            stamp: report.stamp.into(),
            seen: report.seen.into(),
            whole: report.whole,
            leaving: report.leaving,
            queue_entries: report.queue_entries.iter().map(to_wire).collect(),
            finished: finished.map(|f| (f.request.0, f.cost)).collect(),
            withdrawn: report.withdrawn.iter().map(|r| r.0).collect(),
            credits: report.credits,
            waiting: report.waiting,
            running: report.running,
        }
    }

    /// Returns the report in this message, received at `now`; `organisation` returns the key
    /// and share of an organisation's name.
    ///
    /// Queue entries of unknown organisations are left out, as the configuration that contains
    /// them has not arrived yet. The counts then differ, so the queue owner requests a whole
    /// report.
    ///
    /// # Errors
    ///
    /// Returns `Error::PeerFrame` if a list, a cost or a count exceeds its limit.
    pub fn into_report(
        self,
        now: Instant,
        organisation: impl Fn(&str) -> Option<(OrganisationKey, f64)>,
    ) -> Result<message::Report> {
        let lists = self.queue_entries.len() + self.finished.len() + self.withdrawn.len();
        let costs = self.queue_entries.iter().map(|entry| entry.cost);
        let mut costs = costs.chain(self.finished.iter().map(|f| f.1));
        ensure(lists <= MAX_LIST_LEN, "too many queue entries")?;
        ensure(self.credits <= MAX_CREDITS, "too many credits")?;
        ensure(costs.all(|c| c <= MAX_COST), "a cost is too high")?;
        let from_wire = |wire: QueueEntry| {
            let (organisation, share) = organisation(&wire.organisation)?;
            Some(queue_entry::QueueEntry {
                request: RequestId(wire.request),
                organisation,
                share,
                rank: Rank(wire.rank),
                cost: wire.cost,
                deadline: now + Duration::from_millis(wire.deadline_ms),
                running: wire.running,
            })
        };
        let finished = |(request, cost)| message::Finished {
            request: RequestId(request),
            cost,
        };
        Ok(message::Report {
            stamp: self.stamp.into(),
            seen: self.seen.into(),
            whole: self.whole,
            leaving: self.leaving,
            queue_entries: self
                .queue_entries
                .into_iter()
                .filter_map(from_wire)
                .collect(),
            finished: self.finished.into_iter().map(finished).collect(),
            withdrawn: self.withdrawn.into_iter().map(RequestId).collect(),
            credits: self.credits,
            waiting: self.waiting,
            running: self.running,
        })
    }
}

impl Grants {
    /// Returns the message for `grants`, sent at `now`.
    pub fn from_grants(pool: String, now: Instant, grants: message::Grants) -> Self {
        let refusal = |refusal: &queue_entry::Refusal| Refusal {
            request: refusal.request.0,
            reason: refusal.reason.into(),
            retry_ms: millis_u32(refusal.retry_at.since(now)),
        };
        Self {
            pool,
            stamp: grants.stamp.into(),
            granted: grants.granted.iter().map(|r| r.0).collect(),
            refused: grants.refused.iter().map(refusal).collect(),
            credits: grants.credits,
            revoke: grants.revoke,
            resend: grants.resend,
            waits_ms: grants.waits.into_iter().map(millis_u32).collect(),
        }
    }

    /// Returns the grants in this message, received at `now`.
    ///
    /// # Errors
    ///
    /// Returns `Error::PeerFrame` if a list or a count exceeds its limit.
    pub fn into_grants(self, now: Instant) -> Result<message::Grants> {
        let lists = self.granted.len() + self.refused.len() + self.waits_ms.len();
        ensure(lists <= MAX_LIST_LEN, "too many grants")?;
        ensure(self.credits <= MAX_CREDITS, "too many credits")?;
        let refusal = |wire: Refusal| queue_entry::Refusal {
            request: RequestId(wire.request),
            reason: wire.reason.into(),
            retry_at: now + Duration::from_millis(wire.retry_ms.into()),
        };
        let wait = |ms| Duration::from_millis(u64::from(ms));
        Ok(message::Grants {
            stamp: self.stamp.into(),
            granted: self.granted.into_iter().map(RequestId).collect(),
            refused: self.refused.into_iter().map(refusal).collect(),
            credits: self.credits,
            revoke: self.revoke,
            resend: self.resend,
            waits: self.waits_ms.into_iter().map(wait).collect(),
        })
    }
}

fn ensure(holds: bool, why: &str) -> Result<()> {
    if holds {
        Ok(())
    } else {
        Err(Error::peer_frame(why))
    }
}

fn millis_u64(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn millis_u32(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
