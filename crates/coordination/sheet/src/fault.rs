//! Faults of a sheet, with their rows and columns.

use std::fmt;

use hemlockwind_core::Error;

use crate::column::Column;

/// `Fault` describes one fault of a sheet, in words for a planner.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// The line of the file, counted from 1, which is the spreadsheet's row.
    pub row: usize,
    /// The column, if the fault lies in a single cell.
    pub column: Option<Column>,
    /// What is wrong or must change.
    pub text: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "row {}", self.row)?;
        if let Some(column) = self.column {
            write!(f, ", column {}", column.name())?;
        }
        write!(f, ": {}", self.text)
    }
}

/// Returns one error with all faults, in the given order.
pub fn error(faults: &[Fault]) -> Error {
    let lines: Vec<_> = faults.iter().map(Fault::to_string).collect();
    Error::sheet(lines.join("; "))
}
