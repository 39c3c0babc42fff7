//! What a driver and a home tell each other.
//!
//! Messages may be lost, late, repeated or crossed. Each carries a [`Stamp`]; a gap
//! in the drivers' numbers, or counts that differ, make the home ask for a whole
//! report, which replaces all that it knew of that driver.

use std::time::Duration;

use hemlockwind_core::engine::RequestId;

use crate::ticket::Refusal;
use crate::ticket::Ticket;

/// `Stamp` orders the messages of one sender to one receiver.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Stamp {
    /// The start of the sender; a later start has a higher number.
    pub session: u64,
    /// The number of the message in the session, from 1.
    pub number: u64,
}

/// `Finished` tells that a running request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finished {
    /// The request.
    pub request: RequestId,
    /// The cost that it really had, in tokens times layers.
    pub cost: u64,
}

/// `Report` is news from a driver to a home.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// The stamp of this report.
    pub stamp: Stamp,
    /// The last stamp of the home that the driver has taken.
    pub seen: Stamp,
    /// Whether `tickets` is all that the driver has.
    pub whole: bool,
    /// Whether the driver now has another home.
    pub leaving: bool,
    /// New tickets, or all of them.
    pub tickets: Vec<Ticket>,
    /// Running requests that ended.
    pub finished: Vec<Finished>,
    /// Waiting requests that were given up.
    pub withdrawn: Vec<RequestId>,
    /// Unused credits.
    pub credits: u32,
    /// Waiting tickets in all, for comparison.
    pub waiting: u32,
    /// Running tickets in all, for comparison.
    pub running: u32,
}

/// `Grants` is news from a home to a driver.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Grants {
    /// The stamp of this message.
    pub stamp: Stamp,
    /// Requests that may start now.
    pub granted: Vec<RequestId>,
    /// Requests that will not be granted.
    pub refused: Vec<Refusal>,
    /// Starts allowed in advance of a ticket, beside those allowed before.
    pub credits: u32,
    /// Whether the driver must give up its unused credits first.
    pub revoke: bool,
    /// Whether the driver must send a whole report.
    pub resend: bool,
    /// The estimated wait of a new ticket, by rank.
    pub waits: Vec<Duration>,
}
