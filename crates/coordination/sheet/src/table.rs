//! Splits CSV text into rows of cells under known columns.

use std::collections::BTreeMap;

use csv::ReaderBuilder;
use csv::StringRecord;

use crate::column::Column;
use crate::fault::Fault;

/// The separators that spreadsheet programs use.
const DELIMITERS: [u8; 3] = [b',', b';', b'\t'];
/// Maximum number of rows in a sheet, including the header.
const MAX_ROWS: usize = 100_000;

/// `Row` holds one row that is not blank.
pub(crate) struct Row {
    /// The line of the file, counted from 1.
    pub number: usize,
    /// The cells that are not blank, trimmed.
    pub cells: BTreeMap<Column, String>,
}

/// `Table` holds the rows below the header.
pub(crate) struct Table {
    /// The line of the header.
    pub header: usize,
    /// The known columns in the header.
    pub columns: Vec<Column>,
    /// The rows that are not blank.
    pub rows: Vec<Row>,
}

/// Splits `text` by the separator that yields the most known columns.
pub(crate) fn split(text: &str, faults: &mut Vec<Fault>) -> Option<Table> {
    let text = without_separator_line(text);
    let delimiter = DELIMITERS
        .into_iter()
        .max_by_key(|&delimiter| count_known_columns(text, delimiter))?;
    let mut records = records(text, delimiter);
    records.retain(|(_, record)| record.iter().any(|cell| !cell.trim().is_empty()));
    if records.len() > MAX_ROWS {
        faults.push(fault(
            1,
            None,
            format!("a sheet has at most {MAX_ROWS} rows"),
        ));
        return None;
    }
    let mut records = records.into_iter();
    let Some((header, names)) = records.next() else {
        faults.push(fault(1, None, "the sheet is empty".into()));
        return None;
    };
    let columns = read_header(header, &names, faults);
    let rows = records.map(|(number, record)| read_row(number, &record, &names, faults));
    Some(Table {
        rows: rows.collect(),
        header,
        columns: columns.into_iter().flatten().collect(),
    })
}

/// Returns `text` without a first line such as `sep=;`, but with its line break, so that
/// rows keep their numbers.
fn without_separator_line(text: &str) -> &str {
    let is_line = text
        .get(..4)
        .is_some_and(|start| start.eq_ignore_ascii_case("sep="));
    let end = text.find(['\r', '\n']).filter(|_| is_line);
    end.map_or(text, |end| &text[end..])
}

/// Counts the known columns of the header when `text` is split by `delimiter`.
fn count_known_columns(text: &str, delimiter: u8) -> usize {
    let all = records(
        text.get(..text.len().min(8 << 10)).unwrap_or(text),
        delimiter,
    );
    let filled = |record: &StringRecord| record.iter().any(|cell| !cell.trim().is_empty());
    let header = all.iter().find(|(_, record)| filled(record));
    header.map_or(0, |(_, record)| {
        record.iter().filter_map(Column::parse).count()
    })
}

/// Returns all records with their lines.
fn records(text: &str, delimiter: u8) -> Vec<(usize, StringRecord)> {
    let mut reader = ReaderBuilder::new()
        .delimiter(delimiter)
        .has_headers(false)
        .flexible(true)
        .from_reader(text.as_bytes());
    let (mut offset, mut line) = (0, 1);
    // No record fails: the text is valid UTF-8 and records may have any width.
    let records = reader.records().filter_map(Result::ok).map(|record| {
        let start = record.position().map_or(0, csv::Position::byte);
        let start = usize::try_from(start).unwrap_or(offset);
        let rest = text.as_bytes().get(offset..).unwrap_or_default();
        // The reader's position of a record includes the blank lines before it.
        let blank = text.as_bytes().get(start..).unwrap_or_default();
        let blank = blank
            .iter()
            .take_while(|&&b| b == b'\r' || b == b'\n')
            .count();
        let advance = start + blank - offset;
        let line_breaks = rest.iter().take(advance).filter(|&&b| b == b'\n').count();
        line += line_breaks;
        offset += advance;
        (line, record)
    });
    records.collect()
}

fn read_header(row: usize, names: &StringRecord, faults: &mut Vec<Fault>) -> Vec<Option<Column>> {
    let mut columns = Vec::new();
    for name in names.iter().map(str::trim) {
        let column = Column::parse(name);
        if column.is_none() && !name.is_empty() {
            faults.push(fault(row, None, format!("there is no column {name:?}")));
        }
        if let Some(column) = column.filter(|_| columns.contains(&column)) {
            faults.push(fault(row, Some(column), "the column occurs twice".into()));
        }
        columns.push(column);
    }
    columns
}

fn read_row(
    number: usize,
    record: &StringRecord,
    names: &StringRecord,
    faults: &mut Vec<Fault>,
) -> Row {
    let mut cells = BTreeMap::new();
    for (at, cell) in record.iter().map(str::trim).enumerate() {
        let name = names.get(at).unwrap_or_default().trim();
        if cell.is_empty() {
            continue;
        }
        if let Some(column) = Column::parse(name) {
            cells.insert(column, cell.into());
        } else if name.is_empty() {
            let text = format!("{cell:?} is in a column without a name");
            faults.push(fault(number, None, text));
        }
    }
    Row { number, cells }
}

fn fault(row: usize, column: Option<Column>, text: String) -> Fault {
    Fault { row, column, text }
}
