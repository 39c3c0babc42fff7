//! What is wrong with a sheet, and where.

use std::fmt;

use hemlockwind_core::Error;

use crate::column::Column;

/// `Fault` is one thing wrong with a sheet, in words for a planner.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// The line of the file, from 1, which is the spreadsheet's row.
    pub row: usize,
    /// The column, when the fault lies in one cell.
    pub column: Option<Column>,
    /// What to change.
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

/// All faults as one error, in the order of the file.
pub fn error(faults: &[Fault]) -> Error {
    let lines: Vec<_> = faults.iter().map(Fault::to_string).collect();
    Error::sheet(lines.join("; "))
}
