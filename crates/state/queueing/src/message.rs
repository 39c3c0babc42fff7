//! The messages between a driver and a queue owner.
//!
//! Messages may be lost, delayed, repeated or reordered. Each carries a [`Stamp`]. On a
//! gap in a driver's numbers, or when the counts of queue entries differ, the queue owner
//! requests a whole report, which replaces all that it has recorded of that driver.

use std::time::Duration;

use hemlockwind_core::engine::RequestId;

use crate::queue_entry::QueueEntry;
use crate::queue_entry::Refusal;

/// `Stamp` orders the messages of one sender to one receiver.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Stamp {
    /// The session of the sender. A later start of the sender has a higher number.
    pub session: u64,
    /// The number of the message in the session, from 1.
    pub number: u64,
}

/// `Finished` reports that a running request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finished {
    /// The request.
    pub request: RequestId,
    /// The actual cost, in tokens times layers.
    pub cost: u64,
}

/// `Report` is a message from a driver to a queue owner.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
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
    /// The running requests that ended.
    pub finished: Vec<Finished>,
    /// The waiting requests that were withdrawn or expired.
    pub withdrawn: Vec<RequestId>,
    /// The number of unused credits.
    pub credits: u32,
    /// The number of all waiting queue entries, to detect lost messages.
    pub waiting: u32,
    /// The number of all running queue entries, to detect lost messages.
    pub running: u32,
}

/// `Grants` is a message from a queue owner to a driver.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Grants {
    /// The stamp of this message.
    pub stamp: Stamp,
    /// The requests that may start now.
    pub granted: Vec<RequestId>,
    /// The requests that will not be granted.
    pub refused: Vec<Refusal>,
    /// Credits in addition to those sent before. Each allows the start of one request
    /// before its queue entry is granted.
    pub credits: u32,
    /// Whether the driver must drop its unused credits before it adds `credits`.
    pub revoke: bool,
    /// Whether the driver must send a whole report.
    pub resend: bool,
    /// The estimated wait of a new queue entry, by rank.
    pub waits: Vec<Duration>,
}
