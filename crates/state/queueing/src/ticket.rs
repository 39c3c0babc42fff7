//! What waits in the queue of a pool.

use hemlockwind_core::engine::RequestId;
use hemlockwind_core::names::OrganisationKey;
use hemlockwind_core::names::Rank;
use hemlockwind_core::time::Instant;

/// `Ticket` asks for one slot of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ticket {
    /// The request that waits at its driver.
    pub request: RequestId,
    /// The organisation that asks.
    pub organisation: OrganisationKey,
    /// The organisation's weight in fair queueing.
    pub share: f64,
    /// The rank of the request.
    pub rank: Rank,
    /// The expected cost, in tokens times layers.
    pub cost: u64,
    /// The latest start that is of use.
    pub deadline: Instant,
    /// Whether the request runs already.
    pub running: bool,
}

/// `Reason` is why a ticket was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The queue of the organisation and rank is full.
    QueueFull,
    /// The estimated wait passes the deadline.
    DeadlineUnmeetable,
    /// The deadline passed while the ticket waited.
    DeadlinePassed,
}

/// `Refusal` tells that a request was not started and will not be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The request.
    pub request: RequestId,
    /// Why.
    pub reason: Reason,
    /// The earliest retry that may succeed.
    pub retry_at: Instant,
}
