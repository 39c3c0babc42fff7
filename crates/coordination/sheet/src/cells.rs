//! Parses the cells of one row and adds a fault for each invalid one.

use std::net::SocketAddr;

use crate::column::Column;
use crate::column::Kind;
use crate::fault::Fault;
use crate::table::Row;

/// Maximum length of a text cell, in bytes.
const MAX_TEXT_BYTES: usize = 128;

/// `Cells` parses the cells of one row. For an invalid cell, a method adds a fault and
/// returns `None`.
pub(crate) struct Cells<'a> {
    /// The row.
    pub row: &'a Row,
    /// The list to which faults are added.
    pub faults: &'a mut Vec<Fault>,
}

impl Cells<'_> {
    /// Adds a fault of this row.
    pub fn fault(&mut self, column: Column, text: impl Into<String>) {
        self.faults.push(Fault {
            row: self.row.number,
            column: Some(column),
            text: text.into(),
        });
    }

    /// Whether the cell is filled.
    pub fn is_filled(&self, column: Column) -> bool {
        self.row.cells.contains_key(&column)
    }

    /// Returns the text of a required cell.
    pub fn text(&mut self, column: Column) -> Option<String> {
        let cell = self.row.cells.get(&column).cloned();
        match &cell {
            None => self.fault(column, "the cell is empty"),
            Some(text) if text.len() > MAX_TEXT_BYTES => {
                self.fault(column, format!("the text is over {MAX_TEXT_BYTES} bytes"));
                return None;
            }
            Some(text) if text.chars().any(char::is_control) => {
                self.fault(column, "the text has a line break or control character");
                return None;
            }
            Some(_) => {}
        }
        cell
    }

    /// Returns an integer from `min` to `max`.
    pub fn integer(&mut self, column: Column, min: u32, max: u32) -> Option<u32> {
        let text = self.text(column)?;
        let digits = text.bytes().all(|byte| byte.is_ascii_digit());
        let value = text.parse().ok().filter(|_| digits);
        let value = value.filter(|value| (min..=max).contains(value));
        if value.is_none() {
            let message =
                format!("{text:?} is not a whole number from {min} to {max} without separators");
            self.fault(column, message);
        }
        value
    }

    /// Returns a number from `min` to `max`, written with a decimal point or comma.
    pub fn decimal(&mut self, column: Column, min: f64, max: f64) -> Option<f64> {
        let text = self.text(column)?;
        let (whole, part) = text.split_once(['.', ',']).unwrap_or((&text, "0"));
        let digits = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
        let is_number = digits(whole) && digits(part);
        // With three digits after it and a whole part other than 0, the separator may
        // separate thousands instead.
        if is_number && part.len() == 3 && whole.bytes().any(|byte| byte != b'0') {
            let text = format!("{text:?} may mean {whole}.{part} or {whole}{part}");
            self.fault(
                column,
                format!("{text}; write it with fewer or more than three decimals"),
            );
            return None;
        }
        let value = format!("{whole}.{part}").parse().ok();
        let value = value.filter(|_| is_number);
        let value = value.filter(|value| (min..=max).contains(value));
        if value.is_none() {
            self.fault(
                column,
                format!("{text:?} is not a number from {min} to {max}"),
            );
        }
        value
    }

    /// Returns whether the cell contains `yes` or a synonym; an empty cell means `no`.
    pub fn yes_no(&mut self, column: Column) -> Option<bool> {
        let Some(text) = self.row.cells.get(&column) else {
            return Some(false);
        };
        match text.to_lowercase().as_str() {
            "yes" | "true" | "1" => Some(true),
            "no" | "false" | "0" => Some(false),
            _ => {
                self.fault(column, format!("{text:?} is neither yes nor no"));
                None
            }
        }
    }

    /// Returns an IP address with a port.
    pub fn address(&mut self, column: Column) -> Option<SocketAddr> {
        let text = self.text(column)?;
        let address = text.parse().ok();
        if address.is_none() {
            let message =
                format!("{text:?} is not an IP address with a port, such as 10.0.0.7:8000");
            self.fault(column, message);
        }
        address
    }

    /// Adds a fault for each filled cell in a column that `kind` doesn't have.
    pub fn reject_other_columns(&mut self, kind: Kind) {
        let common = [Column::Day, Column::Kind, Column::Name, Column::Note];
        let filled: Vec<_> = self.row.cells.keys().copied().collect();
        for column in filled {
            if !common.contains(&column) && !kind.columns().contains(&column) {
                let text = format!("the cell must be empty in a row of kind {:?}", kind.name());
                self.fault(column, text);
            }
        }
    }
}
