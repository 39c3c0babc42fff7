//! Faults of a file, with their positions.

use std::fmt;

use hemlockwind_core::Error;

/// `Fault` is one fault of a file, with its position.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// The line, counted from 1.
    pub line: usize,
    /// The column, counted from 1.
    pub column: usize,
    /// The description of the fault.
    pub text: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.text)
    }
}

/// Returns one error with all faults, in the order of `faults`.
pub fn error(faults: &[Fault]) -> Error {
    let lines: Vec<_> = faults.iter().map(Fault::to_string).collect();
    Error::settings(lines.join("; "))
}
