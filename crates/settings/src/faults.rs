//! What is wrong with a file, and where.

use std::fmt;

use hemlockwind_core::Error;

/// `Fault` is one thing wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1.
    pub column: usize,
    /// What to change.
    pub text: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.text)
    }
}

/// All faults as one error, in the order of the file.
pub fn error(faults: &[Fault]) -> Error {
    let lines: Vec<_> = faults.iter().map(Fault::to_string).collect();
    Error::settings(lines.join("; "))
}
