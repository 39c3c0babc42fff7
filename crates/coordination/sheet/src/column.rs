//! The columns and the kinds of rows of a sheet.

/// `Kind` is the kind of a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A name that callers use for a model.
    Pipeline,
    /// A rank with its targets.
    Rank,
    /// An organisation with its share.
    Organisation,
    /// A backend server.
    BackendServer,
    /// The closing row, with the number of rows before it.
    End,
}

impl Kind {
    /// Returns the kind with this name, in any case.
    pub fn parse(text: &str) -> Option<Self> {
        Some(match normalise(text).as_str() {
            "pipeline" => Self::Pipeline,
            "rank" => Self::Rank,
            "organisation" => Self::Organisation,
            "backend_server" => Self::BackendServer,
            "end" => Self::End,
            _ => return None,
        })
    }

    /// Returns the name in a sheet.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Pipeline => "pipeline",
            Self::Rank => "rank",
            Self::Organisation => "organisation",
            Self::BackendServer => "backend server",
            Self::End => "end",
        }
    }

    /// Returns the columns that rows of this kind may fill besides day, kind, name and
    /// note.
    pub const fn columns(self) -> &'static [Column] {
        match self {
            Self::Pipeline => &[Column::Model, Column::MaxTokens],
            Self::Rank => &[
                Column::Urgency,
                Column::FirstTokenMs,
                Column::BetweenTokensMs,
                Column::DeadlineMs,
                Column::Floor,
            ],
            Self::Organisation => &[Column::Share, Column::Rank, Column::Home],
            Self::BackendServer => &[
                Column::DataCentre,
                Column::Address,
                Column::Model,
                Column::FirstLayer,
                Column::LastLayer,
                Column::Service,
                Column::Limit,
                Column::ChecksFencing,
                Column::Leaving,
            ],
            Self::End => &[],
        }
    }
}

/// Defines the columns and their names.
macro_rules! columns {
    ($($(#[$doc:meta])* $column:ident => $name:literal;)*) => {
        /// `Column` is a column of a sheet.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Column {
            $($(#[$doc])* $column,)*
        }

        impl Column {
            /// All columns.
            pub const ALL: &'static [Self] = &[$(Self::$column,)*];

            /// Returns the name in a sheet's header row.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$column => $name,)*
                }
            }
        }
    };
}

columns! {
    /// The sheet's day, the same in every row.
    Day => "day";
    /// The kind of the row.
    Kind => "kind";
    /// The name; in the closing row, the number of rows before it.
    Name => "name";
    /// A model's name.
    Model => "model";
    /// Maximum number of tokens in an answer.
    MaxTokens => "max_tokens";
    /// The position of a rank; 1 is the most urgent.
    Urgency => "urgency";
    /// Target for the time to the first token, in milliseconds.
    FirstTokenMs => "first_token_ms";
    /// Target for the time between tokens, in milliseconds.
    BetweenTokensMs => "between_tokens_ms";
    /// Default deadline, in milliseconds.
    DeadlineMs => "deadline_ms";
    /// Minimum share of capacity under overload by other ranks, 0 to 1.
    Floor => "floor";
    /// Weight relative to other organisations.
    Share => "share";
    /// Rank of requests that don't specify one.
    Rank => "rank";
    /// The data centre that decides about idempotency keys.
    Home => "home";
    /// The data centre of a backend server.
    DataCentre => "data_centre";
    /// IP address and port.
    Address => "address";
    /// The first layer that an engine holds.
    FirstLayer => "first_layer";
    /// The last layer that an engine holds.
    LastLayer => "last_layer";
    /// A plain service's name.
    Service => "service";
    /// Maximum number of streams or calls in flight.
    Limit => "limit";
    /// Whether the backend server rejects old fencing tokens.
    ChecksFencing => "checks_fencing";
    /// Whether the backend server is leaving.
    Leaving => "leaving";
    /// A note for people, which is ignored.
    Note => "note";
}

impl Column {
    /// Returns the column with this name, in any case.
    pub fn parse(text: &str) -> Option<Self> {
        let name = normalise(text);
        let mut all = Self::ALL.iter();
        all.find(|column| column.name() == name).copied()
    }
}

/// Returns `text` in lower case, with `_` between words.
fn normalise(text: &str) -> String {
    let words = text.split(|c: char| c.is_whitespace() || c == '_' || c == '-');
    let words: Vec<_> = words.filter(|word| !word.is_empty()).collect();
    words.join("_").to_lowercase()
}
