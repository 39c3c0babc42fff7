//! Tickets from drivers to a pool's home, and grants back.

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

/// `Tickets` is a batch of news from one driver to a pool's home.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Tickets {
    /// The pool's name: model and data centre.
    pub pool: String,
    /// New tickets, or all waiting ones when the home is new.
    pub waiting: Vec<Ticket>,
    /// Tickets that were granted and have ended.
    pub finished: Vec<Uuid>,
    /// Tickets withdrawn before a grant.
    pub withdrawn: Vec<Uuid>,
}

/// `Ticket` asks for one slot of a pool.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Ticket {
    /// The request.
    pub request: Uuid,
    /// The organisation's name.
    pub organisation: String,
    /// The rank, 0 the most urgent.
    pub rank: u8,
    /// The expected cost, tokens times layers.
    pub cost: u64,
    /// Milliseconds that remain until the deadline.
    pub deadline_ms: u32,
    /// Whether the request already runs on a credit or a former home's grant.
    pub running: bool,
}

/// `Grants` is a batch of grants and refusals for one driver.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Grants {
    /// The pool's name.
    pub pool: String,
    /// Requests that may start now.
    pub granted: Vec<Uuid>,
    /// Requests refused, with milliseconds after which a retry may succeed.
    pub refused: Vec<(Uuid, u32)>,
    /// Requests that the driver may start in advance of a ticket.
    pub credits: u32,
}
