//! Parses and checks a whole sheet.

use std::collections::BTreeSet;

use jiff::civil::Date;

use crate::cells::Cells;
use crate::column::Column;
use crate::column::Kind;
use crate::day;
use crate::fault::Fault;
use crate::sheet::BackendServer;
use crate::sheet::Organisation;
use crate::sheet::Pipeline;
use crate::sheet::Rank;
use crate::sheet::Role;
use crate::sheet::Sheet;
use crate::table;
use crate::table::Row;
use crate::table::Table;
use crate::text;

/// Maximum size of a file, in bytes.
const MAX_FILE_BYTES: usize = 16 << 20;
/// Maximum target or deadline, in milliseconds: one day.
const MAX_DURATION_MS: u32 = 86_400_000;
/// Maximum number of tokens in an answer.
const MAX_ANSWER_TOKENS: u32 = 1 << 20;
/// Maximum number of streams or calls in flight at one backend server.
const MAX_IN_FLIGHT: u32 = 1 << 20;
/// Minimum share of an organisation.
const MIN_SHARE: f64 = 0.000_001;
/// Maximum share of an organisation.
const MAX_SHARE: f64 = 1_000_000.0;
/// Maximum number of ranks.
const MAX_RANKS: u32 = 16;

/// Parses a sheet that was exported by a spreadsheet program.
///
/// # Errors
///
/// Returns all faults, in the order of the file.
pub fn read(bytes: &[u8]) -> Result<Sheet, Vec<Fault>> {
    let file_fault = |text: &str| Fault {
        row: 1,
        column: None,
        text: text.into(),
    };
    if bytes.len() > MAX_FILE_BYTES {
        return Err(vec![file_fault("the file is over 16 MiB")]);
    }
    let text = text::decode(bytes).map_err(|text| vec![file_fault(text)])?;
    let mut reader = Reader::default();
    if let Some(table) = table::split(&text, &mut reader.faults) {
        reader.read_table(&table);
    }
    let Reader {
        sheet,
        mut faults,
        day,
        ..
    } = reader;
    faults.sort();
    match day {
        Some((_, day)) if faults.is_empty() => Ok(Sheet { day, ..sheet }),
        _ => Err(faults),
    }
}

/// `Reader` collects entries and faults.
struct Reader {
    sheet: Sheet,
    faults: Vec<Fault>,
    /// The day of the first row with a valid one, as written and parsed.
    day: Option<(String, Date)>,
    names: BTreeSet<(Kind, String)>,
    /// The number of rows so far, without closing rows.
    entries: u32,
    /// The line of the closing row.
    end: Option<usize>,
}

impl Default for Reader {
    fn default() -> Self {
        Self {
            sheet: Sheet {
                day: Date::ZERO,
                pipelines: Vec::new(),
                ranks: Vec::new(),
                organisations: Vec::new(),
                backend_servers: Vec::new(),
            },
            faults: Vec::new(),
            day: None,
            names: BTreeSet::new(),
            entries: 0,
            end: None,
        }
    }
}

impl Reader {
    fn read_table(&mut self, table: &Table) {
        for column in [Column::Day, Column::Kind, Column::Name] {
            if !table.columns.contains(&column) {
                let text = "the column is missing".into();
                self.add_fault(table.header, Some(column), text);
            }
        }
        if !self.faults.is_empty() {
            // Without these columns, every row would have the same fault.
            return;
        }
        table.rows.iter().for_each(|row| self.read_row(row));
        let last = table.rows.last().map_or(table.header, |row| row.number);
        if self.end.is_none() {
            let text = "the closing row (kind end, name the number of rows) is missing; \
                        the file may be cut off, export it again";
            self.add_fault(last, Some(Column::Kind), text.into());
        }
        self.sheet.ranks.sort_by_key(|rank| rank.urgency);
        self.check_ranks();
    }

    fn read_row(&mut self, row: &Row) {
        if let Some(end) = self.end {
            let text = format!("the row follows the closing row, row {end}");
            self.add_fault(row.number, Some(Column::Kind), text);
        }
        let kind = row.cells.get(&Column::Kind);
        if kind.and_then(|text| Kind::parse(text)) != Some(Kind::End) {
            self.entries += 1;
        }
        let mut cells = Cells {
            row,
            faults: &mut self.faults,
        };
        let Some(text) = cells.text(Column::Kind) else {
            return;
        };
        let Some(kind) = Kind::parse(&text) else {
            let kinds = "pipeline, rank, organisation, backend server or end";
            cells.fault(Column::Kind, format!("{text:?} is not {kinds}"));
            return;
        };
        cells.reject_other_columns(kind);
        if kind == Kind::End {
            self.read_end(row);
            return;
        }
        self.read_day(row);
        self.read_entry(row, kind);
    }

    fn read_end(&mut self, row: &Row) {
        self.end = Some(row.number);
        let entries = self.entries;
        let mut cells = Cells {
            row,
            faults: &mut self.faults,
        };
        let Some(count) = cells.integer(Column::Name, 0, u32::MAX) else {
            return;
        };
        if count != entries {
            let text = format!(
                "the closing row counts {count} rows, but the sheet has {entries}; export it again"
            );
            cells.fault(Column::Name, text);
        } else if entries == 0 {
            cells.fault(Column::Name, "the sheet has no rows");
        }
    }

    fn read_day(&mut self, row: &Row) {
        let mut cells = Cells {
            row,
            faults: &mut self.faults,
        };
        let Some(text) = cells.text(Column::Day) else {
            return;
        };
        let Some(day) = day::parse(&text) else {
            let forms = "YYYY-MM-DD, DD/MM/YYYY or DD.MM.YYYY";
            cells.fault(
                Column::Day,
                format!("{text:?} is not a day of the form {forms}"),
            );
            return;
        };
        match &self.day {
            None => self.day = Some((text, day)),
            Some((_, first)) if *first == day => {}
            Some((first, _)) => {
                let text = format!("{text:?} is not the same day as {first:?} above");
                cells.fault(Column::Day, text);
            }
        }
    }

    fn read_entry(&mut self, row: &Row, kind: Kind) {
        let mut cells = Cells {
            row,
            faults: &mut self.faults,
        };
        let name = cells.text(Column::Name);
        if let Some(name) = &name
            && !self.names.insert((kind, name.clone()))
        {
            let text = format!("the {} {name:?} occurs twice", kind.name());
            cells.fault(Column::Name, text);
        }
        let sheet = &mut self.sheet;
        match kind {
            Kind::Pipeline => sheet.pipelines.extend(pipeline(&mut cells, name)),
            Kind::Rank => sheet.ranks.extend(rank(&mut cells, name)),
            Kind::Organisation => sheet.organisations.extend(organisation(&mut cells, name)),
            Kind::BackendServer => {
                sheet
                    .backend_servers
                    .extend(backend_server(&mut cells, name));
            }
            Kind::End => {}
        }
    }

    /// Checks that ranks differ in urgency and, if the sheet has ranks, that
    /// organisations refer to them.
    fn check_ranks(&mut self) {
        let ranks = &self.sheet.ranks;
        for pair in ranks.windows(2) {
            if pair[0].urgency == pair[1].urgency {
                let row = pair[0].row.max(pair[1].row);
                let text = format!("two ranks have the urgency {}", pair[0].urgency);
                self.faults.push(fault(row, Column::Urgency, text));
            }
        }
        let has_ranks = self.names.iter().any(|(kind, _)| *kind == Kind::Rank);
        for organisation in self.sheet.organisations.iter().filter(|_| has_ranks) {
            let rank = (Kind::Rank, organisation.rank.clone());
            if !self.names.contains(&rank) {
                let text = format!("there is no rank {:?}", organisation.rank);
                self.faults
                    .push(fault(organisation.row, Column::Rank, text));
            }
        }
    }

    fn add_fault(&mut self, row: usize, column: Option<Column>, text: String) {
        self.faults.push(Fault { row, column, text });
    }
}

fn fault(row: usize, column: Column, text: String) -> Fault {
    let column = Some(column);
    Fault { row, column, text }
}

fn pipeline(cells: &mut Cells<'_>, name: Option<String>) -> Option<Pipeline> {
    // All cells are parsed before the first `?`, so that each fault is reported.
    let model = cells.text(Column::Model);
    let max_tokens = cells.integer(Column::MaxTokens, 1, MAX_ANSWER_TOKENS);
    Some(Pipeline {
        row: cells.row.number,
        name: name?,
        model: model?,
        max_tokens: max_tokens?,
    })
}

fn rank(cells: &mut Cells<'_>, name: Option<String>) -> Option<Rank> {
    let urgency = cells.integer(Column::Urgency, 1, MAX_RANKS);
    let first_token_ms = cells.integer(Column::FirstTokenMs, 1, MAX_DURATION_MS);
    let between_tokens_ms = cells.integer(Column::BetweenTokensMs, 1, MAX_DURATION_MS);
    let deadline_ms = cells.integer(Column::DeadlineMs, 1, MAX_DURATION_MS);
    let floor = cells.decimal(Column::Floor, 0.0, 1.0);
    Some(Rank {
        row: cells.row.number,
        name: name?,
        urgency: urgency?,
        first_token_ms: first_token_ms?,
        between_tokens_ms: between_tokens_ms?,
        deadline_ms: deadline_ms?,
        floor: floor?,
    })
}

fn organisation(cells: &mut Cells<'_>, name: Option<String>) -> Option<Organisation> {
    let share = cells.decimal(Column::Share, MIN_SHARE, MAX_SHARE);
    let rank = cells.text(Column::Rank);
    let home = cells.text(Column::Home);
    Some(Organisation {
        row: cells.row.number,
        name: name?,
        share: share?,
        rank: rank?,
        home: home?,
    })
}

fn backend_server(cells: &mut Cells<'_>, name: Option<String>) -> Option<BackendServer> {
    let data_centre = cells.text(Column::DataCentre);
    let address = cells.address(Column::Address);
    let limit = cells.integer(Column::Limit, 1, MAX_IN_FLIGHT);
    let checks_fencing = cells.yes_no(Column::ChecksFencing);
    let leaving = cells.yes_no(Column::Leaving);
    let role = role(cells);
    Some(BackendServer {
        row: cells.row.number,
        name: name?,
        data_centre: data_centre?,
        address: address?,
        role: role?,
        limit: limit?,
        checks_fencing: checks_fencing?,
        leaving: leaving?,
    })
}

fn role(cells: &mut Cells<'_>) -> Option<Role> {
    if !cells.is_filled(Column::Service) {
        return engine(cells);
    }
    for column in [Column::Model, Column::FirstLayer, Column::LastLayer] {
        if cells.is_filled(column) {
            cells.fault(column, "the cell must be empty, as a service has no layers");
        }
    }
    cells.text(Column::Service).map(Role::Service)
}

fn engine(cells: &mut Cells<'_>) -> Option<Role> {
    let model = cells.text(Column::Model);
    let max_layer = u32::from(u16::MAX) - 1;
    let first_layer = cells.integer(Column::FirstLayer, 0, max_layer);
    let last_layer = cells.integer(Column::LastLayer, 0, max_layer);
    let (first_layer, last_layer) = (first_layer?, last_layer?);
    if last_layer < first_layer {
        let text = format!("the last layer {last_layer} comes before the first one {first_layer}");
        cells.fault(Column::LastLayer, text);
    }
    Some(Role::Engine {
        model: model?,
        first_layer: u16::try_from(first_layer).ok()?,
        last_layer: u16::try_from(last_layer).ok()?,
    })
}
