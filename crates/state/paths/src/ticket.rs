//! What a request shows to the home that decides about its start.

use std::time::Duration;

use hemlockwind_core::names::DataCentreKey;
use hemlockwind_core::names::InstanceKey;
use hemlockwind_core::names::OrganisationKey;
use hemlockwind_core::names::Rank;
use hemlockwind_core::time::Instant;

use crate::engines::Stage;

/// `TicketId` names one request of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId {
    /// The instance that accepted the request.
    pub instance: InstanceKey,
    /// Its number there.
    pub number: u64,
}

/// `Ticket` is a request that wants to start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ticket {
    /// Its name.
    pub id: TicketId,
    /// The data centre of its caller, where known.
    pub near: Option<DataCentreKey>,
    /// Who asks.
    pub organisation: OrganisationKey,
    /// Its rank.
    pub rank: Rank,
    /// Tokens of its prompt and expected answer together.
    pub tokens: u32,
    /// The latest start with which it is still on time.
    pub on_time_by: Instant,
    /// The latest start of any use.
    pub latest: Instant,
    /// Whether it may wait; else it starts at once or is turned away.
    pub may_wait: bool,
}

/// `Reason` is why a request doesn't start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No engines join to a whole path.
    NoPath,
    /// The wait would be longer than the request can use.
    WaitTooLong,
    /// It waited until a start was of no use any more.
    Expired,
}

/// `Decision` is what a home says of a ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// It may start on this path.
    Granted(Vec<Stage>),
    /// It may not start; a later try has a chance after this time.
    Refused(Reason, Duration),
}
