//! The columns and kinds of rows that a sheet may have.

/// `Kind` is what a row is about.
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
    /// The kind of this name, whatever its case.
    pub fn parse(text: &str) -> Option<Self> {
        Some(match normal(text).as_str() {
            "pipeline" => Self::Pipeline,
            "rank" => Self::Rank,
            "organisation" => Self::Organisation,
            "backend_server" => Self::BackendServer,
            "end" => Self::End,
            _ => return None,
        })
    }

    /// The name in a sheet.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Pipeline => "pipeline",
            Self::Rank => "rank",
            Self::Organisation => "organisation",
            Self::BackendServer => "backend server",
            Self::End => "end",
        }
    }

    /// The columns that rows of this kind may fill, beside day, kind, name and note.
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

/// The columns, each with its name.
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

            /// The name in a sheet's first row.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$column => $name,)*
                }
            }
        }
    };
}

columns! {
    /// The day that the sheet is for, the same in every row.
    Day => "day";
    /// What the row is about.
    Kind => "kind";
    /// The name; in the closing row, the number of rows before it.
    Name => "name";
    /// A model's name.
    Model => "model";
    /// Tokens in an answer at most.
    MaxTokens => "max_tokens";
    /// The place of a rank; 1 is the most urgent.
    Urgency => "urgency";
    /// The target for the first token, in milliseconds.
    FirstTokenMs => "first_token_ms";
    /// The target between tokens, in milliseconds.
    BetweenTokensMs => "between_tokens_ms";
    /// The default deadline, in milliseconds.
    DeadlineMs => "deadline_ms";
    /// The share of capacity kept in a flood of others, 0 to 1.
    Floor => "floor";
    /// The weight beside other organisations.
    Share => "share";
    /// The rank of requests that name none.
    Rank => "rank";
    /// The data centre that decides about idempotency keys.
    Home => "home";
    /// The data centre of a backend server.
    DataCentre => "data_centre";
    /// The IP number and port.
    Address => "address";
    /// The first layer that an engine holds.
    FirstLayer => "first_layer";
    /// The last layer that an engine holds.
    LastLayer => "last_layer";
    /// A plain service's name.
    Service => "service";
    /// Streams or calls in flight at most.
    Limit => "limit";
    /// Whether the backend server refuses old fencing tokens.
    ChecksFencing => "checks_fencing";
    /// Whether the backend server is leaving.
    Leaving => "leaving";
    /// For people; not read.
    Note => "note";
}

impl Column {
    /// The column of this name, whatever its case.
    pub fn parse(text: &str) -> Option<Self> {
        let name = normal(text);
        let mut all = Self::ALL.iter();
        all.find(|column| column.name() == name).copied()
    }
}

/// `text` in lower case, with `_` between words.
fn normal(text: &str) -> String {
    let words = text.split(|c: char| c.is_whitespace() || c == '_' || c == '-');
    let words: Vec<_> = words.filter(|word| !word.is_empty()).collect();
    words.join("_").to_lowercase()
}
