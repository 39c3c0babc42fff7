//! The entries of a checked sheet.

use std::net::SocketAddr;

use jiff::civil::Date;

use crate::column::Column;

/// `Sheet` holds the intended configuration of one day. For each kind that it contains,
/// it contains all entries.
#[derive(Clone, Debug, PartialEq)]
pub struct Sheet {
    /// The day for which the sheet is valid.
    pub day: Date,
    /// The pipelines.
    pub pipelines: Vec<Pipeline>,
    /// The ranks, the most urgent first.
    pub ranks: Vec<Rank>,
    /// The organisations.
    pub organisations: Vec<Organisation>,
    /// The backend servers.
    pub backend_servers: Vec<BackendServer>,
}

/// `Pipeline` is a name that callers use for a model.
#[derive(Clone, Debug, PartialEq)]
pub struct Pipeline {
    /// The row in the sheet, or 0 if the entry isn't from a sheet.
    pub row: usize,
    /// The name.
    pub name: String,
    /// The model's name.
    pub model: String,
    /// Maximum number of tokens in an answer.
    pub max_tokens: u32,
}

/// `Rank` holds a rank with its targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Rank {
    /// The row in the sheet, or 0 if the entry isn't from a sheet.
    pub row: usize,
    /// The name.
    pub name: String,
    /// The position; 1 is the most urgent.
    pub urgency: u32,
    /// Target for the time to the first token, in milliseconds.
    pub first_token_ms: u32,
    /// Target for the time between tokens, in milliseconds.
    pub between_tokens_ms: u32,
    /// Default deadline, in milliseconds.
    pub deadline_ms: u32,
    /// Minimum share of capacity under overload by other ranks, 0 to 1.
    pub floor: f64,
}

/// `Organisation` holds an organisation with its share.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// The row in the sheet, or 0 if the entry isn't from a sheet.
    pub row: usize,
    /// The name.
    pub name: String,
    /// Weight relative to other organisations.
    pub share: f64,
    /// Rank of requests that don't specify one.
    pub rank: String,
    /// The data centre that decides about its idempotency keys.
    pub home: String,
}

/// `BackendServer` holds a backend server with its role.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendServer {
    /// The row in the sheet, or 0 if the entry isn't from a sheet.
    pub row: usize,
    /// The name.
    pub name: String,
    /// The data centre.
    pub data_centre: String,
    /// IP address and port.
    pub address: SocketAddr,
    /// What the backend server serves.
    pub role: Role,
    /// Maximum number of streams or calls in flight.
    pub limit: u32,
    /// Whether it rejects orders with an old fencing token.
    pub checks_fencing: bool,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// `Role` is what a backend server serves.
#[derive(Clone, Debug, PartialEq)]
pub enum Role {
    /// A range of a model's layers.
    Engine {
        /// The model's name.
        model: String,
        /// The first layer.
        first_layer: u16,
        /// The last layer, inclusive.
        last_layer: u16,
    },
    /// A plain service.
    Service(String),
}

impl Pipeline {
    /// Returns the cells of the row, without the name.
    pub fn cells(&self) -> Vec<(Column, String)> {
        vec![
            (Column::Model, self.model.clone()),
            (Column::MaxTokens, self.max_tokens.to_string()),
        ]
    }
}

impl Rank {
    /// Returns the cells of the row, without the name.
    pub fn cells(&self) -> Vec<(Column, String)> {
        vec![
            (Column::Urgency, self.urgency.to_string()),
            (Column::FirstTokenMs, self.first_token_ms.to_string()),
            (Column::BetweenTokensMs, self.between_tokens_ms.to_string()),
            (Column::DeadlineMs, self.deadline_ms.to_string()),
            (Column::Floor, self.floor.to_string()),
        ]
    }
}

impl Organisation {
    /// Returns the cells of the row, without the name.
    pub fn cells(&self) -> Vec<(Column, String)> {
        vec![
            (Column::Share, self.share.to_string()),
            (Column::Rank, self.rank.clone()),
            (Column::Home, self.home.clone()),
        ]
    }
}

impl BackendServer {
    /// Returns the cells of the row, without the name.
    pub fn cells(&self) -> Vec<(Column, String)> {
        let mut cells = vec![
            (Column::DataCentre, self.data_centre.clone()),
            (Column::Address, self.address.to_string()),
            (Column::Limit, self.limit.to_string()),
            (Column::ChecksFencing, yes_no(self.checks_fencing)),
            (Column::Leaving, yes_no(self.leaving)),
        ];
        match &self.role {
            Role::Engine {
                model,
                first_layer,
                last_layer,
            } => cells.extend([
                (Column::Model, model.clone()),
                (Column::FirstLayer, first_layer.to_string()),
                (Column::LastLayer, last_layer.to_string()),
            ]),
            Role::Service(service) => cells.push((Column::Service, service.clone())),
        }
        cells
    }
}

fn yes_no(value: bool) -> String {
    if value { "yes" } else { "no" }.into()
}
