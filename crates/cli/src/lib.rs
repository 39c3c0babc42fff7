//! The operators' command line.
//!
//! Each command is a module with a function `run` that returns an [`outcome::Outcome`]; the
//! program prints it and exits with its exit code.

pub mod admin;
pub mod apply;
pub mod args;
pub mod check;
pub mod drain;
pub mod explain;
pub mod get;
pub mod outcome;
pub mod sheet;
pub mod status;

use crate::args::Args;
use crate::args::Command;
use crate::outcome::Outcome;

/// Runs one command.
pub async fn run(args: Args) -> Outcome {
    match args.command {
        Command::Check(command) => check::run(&command),
        Command::Apply(command) => apply::run(&command).await,
        Command::Get(command) => get::run(&command).await,
        Command::Sheet(command) => sheet::run(&command).await,
        Command::Drain(command) => drain::run(&command).await,
        Command::Status(command) => status::run(&command).await,
        Command::Explain(command) => explain::run(&command),
    }
}
