//! The result of a command: text, JSON and an exit code.

use std::process::ExitCode;

use serde_json::Value;
use serde_json::json;

use hemlockwind::core::Error;

/// `Exit` is the exit code of a command; `--help` documents the numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// Faults were found, or the change was refused.
    Refused = 1,
    /// The command line or a file can't be used.
    Usage = 2,
    /// An instance or the platform can't be reached.
    Unreachable = 3,
    /// Another change was made first.
    Conflict = 4,
    /// It is not known whether the change was accepted.
    Unknown = 5,
}

/// `Outcome` holds the result of a command.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The exit code.
    pub exit: Exit,
    /// The output as text.
    pub text: String,
    /// The output with `--json`.
    pub json: Value,
}

impl Outcome {
    /// Returns the outcome of a command that succeeded.
    pub fn done(text: impl Into<String>, json: Value) -> Self {
        Self {
            exit: Exit::Done,
            text: text.into(),
            json,
        }
    }

    /// Returns the outcome of a command that failed with `error`.
    pub fn failed(exit: Exit, error: &Error) -> Self {
        let code = error.code().number();
        Self {
            exit,
            text: format!("error {code}: {error}"),
            json: json!({"code": code, "error": error.to_string()}),
        }
    }

    /// Prints the outcome and returns its exit code.
    pub fn report(&self, as_json: bool) -> ExitCode {
        if as_json {
            println!("{}", self.json);
        } else if self.exit == Exit::Done {
            println!("{}", self.text);
        } else {
            eprintln!("{}", self.text);
        }
        ExitCode::from(self.exit as u8)
    }
}
