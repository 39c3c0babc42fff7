//! Tickets from drivers to a pool's home, and grants back.
//!
//! Organisations travel by name and deadlines as remaining time, since keys and
//! instants mean nothing in another process.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use hemlockwind_core::engine::RequestId;
use hemlockwind_core::names::Names;
use hemlockwind_core::names::OrganisationKey;
use hemlockwind_core::names::Rank;
use hemlockwind_core::time::Instant;
use hemlockwind_queueing::message;
use hemlockwind_queueing::message::Finished;
use hemlockwind_queueing::message::Stamp;
use hemlockwind_queueing::ticket;
use hemlockwind_queueing::ticket::Reason;
use hemlockwind_queueing::ticket::Refusal;

/// `Tickets` is news from one driver to a pool's home.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Tickets {
    /// The model of the pool.
    pub model: String,
    /// The data centre of the pool.
    pub data_centre: String,
    /// The stamp of this report: session and number.
    pub stamp: (u64, u64),
    /// The last stamp of the home that the driver has taken.
    pub seen: (u64, u64),
    /// Whether `tickets` is all that the driver has.
    pub whole: bool,
    /// Whether the driver now has another home.
    pub leaving: bool,
    /// New tickets, or all of them.
    pub tickets: Vec<Ticket>,
    /// Running requests that ended, with their cost.
    pub finished: Vec<(Uuid, u64)>,
    /// Waiting requests that were given up.
    pub withdrawn: Vec<Uuid>,
    /// Unused credits.
    pub credits: u32,
    /// Waiting tickets in all.
    pub waiting: u32,
    /// Running tickets in all.
    pub running: u32,
}

/// `Ticket` is the wire form of [`ticket::Ticket`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Ticket {
    /// The request.
    pub request: Uuid,
    /// The organisation's name.
    pub organisation: String,
    /// The organisation's weight.
    pub share: f64,
    /// The rank, 0 the most urgent.
    pub rank: u8,
    /// The expected cost, in tokens times layers.
    pub cost: u64,
    /// Milliseconds until the latest start that is of use.
    pub start_ms: u32,
    /// Whether the request runs already.
    pub running: bool,
}

/// `Grants` is news from the home of a pool to a driver.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Grants {
    /// The model of the pool.
    pub model: String,
    /// The data centre of the pool.
    pub data_centre: String,
    /// The stamp of this message: session and number.
    pub stamp: (u64, u64),
    /// Requests that may start now.
    pub granted: Vec<Uuid>,
    /// Requests refused, why, and milliseconds until a retry may succeed.
    pub refused: Vec<(Uuid, Refused, u32)>,
    /// Starts allowed in advance of a ticket.
    pub credits: u32,
    /// Whether the driver must give up its unused credits first.
    pub revoke: bool,
    /// Whether the driver must send a whole report.
    pub resend: bool,
    /// The estimated wait of a new ticket by rank, in milliseconds.
    pub waits_ms: Vec<u32>,
}

/// `Refused` is the wire form of [`Reason`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Refused {
    /// The queue is full.
    QueueFull,
    /// The deadline can't be met.
    DeadlineUnmeetable,
    /// The deadline passed.
    DeadlinePassed,
}

/// `Pool` names a pool on the wire.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// The model.
    pub model: String,
    /// The data centre.
    pub data_centre: String,
}

/// Milliseconds of a duration, as far as they fit.
fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// The stamp of a pair.
fn stamp((session, number): (u64, u64)) -> Stamp {
    Stamp { session, number }
}

impl Tickets {
    /// The wire form of a report that is sent at `now`.
    pub fn new(
        pool: Pool,
        report: message::Report,
        now: Instant,
        names: &Names<OrganisationKey>,
    ) -> Self {
        let tickets = report.tickets.into_iter();
        let finished = report.finished.into_iter();
        let withdrawn = report.withdrawn.into_iter();
        Self {
            model: pool.model,
            data_centre: pool.data_centre,
            stamp: (report.stamp.session, report.stamp.number),
            seen: (report.seen.session, report.seen.number),
            whole: report.whole,
            leaving: report.leaving,
            tickets: tickets.map(|t| Ticket::new(t, now, names)).collect(),
            finished: finished.map(|f| (f.request.0, f.cost)).collect(),
            withdrawn: withdrawn.map(|request| request.0).collect(),
            credits: report.credits,
            waiting: report.waiting,
            running: report.running,
        }
    }

    /// The report, as it arrives at `now`.
    pub fn report(self, now: Instant, names: &mut Names<OrganisationKey>) -> message::Report {
        let tickets = self.tickets.into_iter();
        let finished = self.finished.into_iter();
        let withdrawn = self.withdrawn.into_iter();
        message::Report {
            stamp: stamp(self.stamp),
            seen: stamp(self.seen),
            whole: self.whole,
            leaving: self.leaving,
            tickets: tickets.map(|t| t.ticket(now, names)).collect(),
            finished: finished
                .map(|(request, cost)| Finished {
                    request: RequestId(request),
                    cost,
                })
                .collect(),
            withdrawn: withdrawn.map(RequestId).collect(),
            credits: self.credits,
            waiting: self.waiting,
            running: self.running,
        }
    }
}

impl Ticket {
    /// The wire form of a ticket that is sent at `now`.
    fn new(ticket: ticket::Ticket, now: Instant, names: &Names<OrganisationKey>) -> Self {
        Self {
            request: ticket.request.0,
            organisation: names.name(ticket.organisation).to_string(),
            share: ticket.share,
            rank: ticket.rank.0,
            cost: ticket.cost,
            start_ms: millis(ticket.deadline.since(now)),
            running: ticket.running,
        }
    }

    /// The ticket, as it arrives at `now`.
    fn ticket(self, now: Instant, names: &mut Names<OrganisationKey>) -> ticket::Ticket {
        let is_weight = self.share.is_finite() && self.share > 0.0;
        ticket::Ticket {
            request: RequestId(self.request),
            organisation: names.intern(&self.organisation),
            share: if is_weight { self.share } else { 1.0 },
            rank: Rank(self.rank),
            cost: self.cost,
            deadline: now + Duration::from_millis(self.start_ms.into()),
            running: self.running,
        }
    }
}

impl Grants {
    /// The wire form of grants that are sent at `now`.
    pub fn new(pool: Pool, grants: message::Grants, now: Instant) -> Self {
        let granted = grants.granted.into_iter();
        let refused = grants.refused.into_iter().map(|refusal| {
            let reason = match refusal.reason {
                Reason::QueueFull => Refused::QueueFull,
                Reason::DeadlineUnmeetable => Refused::DeadlineUnmeetable,
                Reason::DeadlinePassed => Refused::DeadlinePassed,
            };
            let retry = millis(refusal.retry_at.since(now));
            (refusal.request.0, reason, retry)
        });
        Self {
            model: pool.model,
            data_centre: pool.data_centre,
            stamp: (grants.stamp.session, grants.stamp.number),
            granted: granted.map(|request| request.0).collect(),
            refused: refused.collect(),
            credits: grants.credits,
            revoke: grants.revoke,
            resend: grants.resend,
            waits_ms: grants.waits.into_iter().map(millis).collect(),
        }
    }

    /// The grants, as they arrive at `now`.
    pub fn grants(self, now: Instant) -> message::Grants {
        let refused = self.refused.into_iter().map(|(request, reason, retry_ms)| {
            let reason = match reason {
                Refused::QueueFull => Reason::QueueFull,
                Refused::DeadlineUnmeetable => Reason::DeadlineUnmeetable,
                Refused::DeadlinePassed => Reason::DeadlinePassed,
            };
            Refusal {
                request: RequestId(request),
                reason,
                retry_at: now + Duration::from_millis(retry_ms.into()),
            }
        });
        let waits = self.waits_ms.into_iter();
        message::Grants {
            stamp: stamp(self.stamp),
            granted: self.granted.into_iter().map(RequestId).collect(),
            refused: refused.collect(),
            credits: self.credits,
            revoke: self.revoke,
            resend: self.resend,
            waits: waits.map(|ms| Duration::from_millis(ms.into())).collect(),
        }
    }
}
