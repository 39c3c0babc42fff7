//! Compares the number, name and HTTP status of each error with the table in docs/ERRORS.md.

use std::collections::BTreeMap;

use strum::IntoEnumIterator;

use hemlockwind_core::errors::Code;

/// Returns the rows of the table: the name and HTTP status by number.
fn table() -> BTreeMap<u16, (String, u16)> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/ERRORS.md");
    let text = std::fs::read_to_string(path).unwrap();
    let rows = text.lines().filter(|line| is_row(line));
    rows.map(|line| {
        let cells: Vec<_> = line.split('|').map(str::trim).collect();
        let number = cells[1].parse().unwrap();
        let status = cells[3].parse().unwrap();
        (number, (cells[2].trim_matches('`').to_string(), status))
    })
    .collect()
}

/// Returns whether a line of the page is a row that begins with a number.
fn is_row(line: &str) -> bool {
    let cell = line.split('|').nth(1).map(str::trim);
    cell.is_some_and(|cell| cell.parse::<u16>().is_ok())
}

#[test]
fn number_unique() {
    let mut seen = BTreeMap::new();
    for code in Code::iter() {
        let before = seen.insert(code.number(), code);
        assert_eq!(before, None, "{code:?}");
    }
}

#[test]
fn number_table() {
    let expected: BTreeMap<_, _> = Code::iter()
        .map(|code| (code.number(), (format!("{code:?}"), code.status())))
        .collect();
    assert_eq!(table(), expected);
}
