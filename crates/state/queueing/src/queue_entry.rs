//! The entries of the queue of a pool.

use hemlockwind_core::engine::RequestId;
use hemlockwind_core::names::OrganisationKey;
use hemlockwind_core::names::Rank;
use hemlockwind_core::time::Instant;

/// `QueueEntry` requests one slot of a pool for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueEntry {
    /// The request that waits at its driver.
    pub request: RequestId,
    /// The organisation that sent the request.
    pub organisation: OrganisationKey,
    /// The organisation's weight in fair queueing.
    pub share: f64,
    /// The rank of the request.
    pub rank: Rank,
    /// The expected cost, in tokens times layers.
    pub cost: u64,
    /// The latest useful time of the start.
    pub deadline: Instant,
    /// Whether the request runs already.
    pub running: bool,
}

/// `Reason` states why a queue entry was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The queue of the organisation and rank is full.
    QueueFull,
    /// The estimated wait exceeds the part of the time to the deadline that is allowed.
    DeadlineUnmeetable,
    /// The deadline passed while the queue entry waited.
    DeadlinePassed,
}

/// `Refusal` reports that a request was not started and will not be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The request.
    pub request: RequestId,
    /// The reason.
    pub reason: Reason,
    /// The earliest retry that may succeed.
    pub retry_at: Instant,
}
