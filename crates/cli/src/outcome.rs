//! What a command gives: text, JSON and an exit code.

use std::process::ExitCode;

use serde_json::Value;
use serde_json::json;

use hemlockwind::core::Error;

/// `Exit` is how a command ended; the numbers are documented in `--help`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done as asked.
    Done = 0,
    /// Faults were found, or the change was refused.
    Refused = 1,
    /// The command line or a file can't be used.
    Usage = 2,
    /// Nobody can be reached.
    Unreachable = 3,
    /// Another change came first.
    Conflict = 4,
    /// It is not known whether the change was taken.
    Unknown = 5,
}

/// `Outcome` is what a command gives.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// How it ended.
    pub exit: Exit,
    /// For people.
    pub text: String,
    /// For programs.
    pub json: Value,
}

impl Outcome {
    /// A command that did as asked.
    pub fn done(text: impl Into<String>, json: Value) -> Self {
        Self {
            exit: Exit::Done,
            text: text.into(),
            json,
        }
    }

    /// A command that failed by `error`.
    pub fn failed(exit: Exit, error: &Error) -> Self {
        let code = error.code().number();
        Self {
            exit,
            text: format!("error {code}: {error}"),
            json: json!({"code": code, "error": error.to_string()}),
        }
    }

    /// Prints the outcome and gives its exit code.
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
