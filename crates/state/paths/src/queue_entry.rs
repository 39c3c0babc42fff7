//! Queue entries, and the queue owner's decisions on them.

use std::time::Duration;

use hemlockwind_core::names::DataCentreKey;
use hemlockwind_core::names::InstanceKey;
use hemlockwind_core::names::OrganisationKey;
use hemlockwind_core::names::Rank;
use hemlockwind_core::time::Instant;

use crate::admission::Refusal;
use crate::engines::Stage;

/// `QueueEntryId` identifies one request of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueEntryId {
    /// The instance that accepted the request.
    pub instance: InstanceKey,
    /// Its number there.
    pub number: u64,
}

/// `QueueEntry` describes a request that is to start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueEntry {
    /// Its id.
    pub id: QueueEntryId,
    /// The data centre of its caller, if that has had engines.
    pub caller_data_centre: Option<DataCentreKey>,
    /// The organisation of its caller.
    pub organisation: OrganisationKey,
    /// Its rank.
    pub rank: Rank,
    /// Tokens of its prompt and expected answer together.
    pub tokens: u32,
    /// The latest start with which it is still on time.
    pub on_time_by: Instant,
    /// The latest start; after it the request is refused.
    pub latest: Instant,
    /// Whether it may wait; otherwise it starts at once or is refused.
    pub may_wait: bool,
}

/// `Reason` is why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The usable engines don't form a whole path.
    NoPath,
    /// The expected wait is too long for its latest start.
    WaitTooLong,
    /// It waited past its latest start.
    Expired,
}

/// `Decision` is a queue owner's decision on a queue entry.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The request starts on this path.
    Granted(Vec<Stage>),
    /// The request doesn't start; a retry may succeed after this time.
    Refused(Reason, Duration),
    /// The request doesn't start, by the rules for contended capacity.
    NotAdmitted(Refusal),
}
