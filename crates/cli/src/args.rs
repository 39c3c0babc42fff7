//! The command-line arguments.

use argh::FromArgs;

/// Operates a deployment of hemlockwind.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    example = "hemlockwind check examples/mwangaza.jsonc",
    example = "hemlockwind apply --settings examples/mwangaza.jsonc examples/mwangaza-configuration.jsonc",
    example = "hemlockwind sheet --settings examples/mwangaza.jsonc today.csv --dry-run",
    example = "hemlockwind status --settings examples/mwangaza.jsonc",
    error_code(1, "faults were found, or the change was refused"),
    error_code(2, "the command line or a file can't be used"),
    error_code(3, "no instance, or not the platform, can be reached; try again"),
    error_code(4, "another change came first; read it and try again"),
    error_code(5, "it is not known whether the change was taken; see status")
)]
pub struct Args {
    /// the command
    #[argh(subcommand)]
    pub command: Command,

    /// print JSON instead of text
    #[argh(switch)]
    pub json: bool,
}

/// `Command` is what the operator wants.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Checks a file.
    Check(Check),
    /// Changes the configuration.
    Apply(Apply),
    /// Prints the configuration.
    Get(Get),
    /// Takes the day's sheet.
    Sheet(Sheet),
    /// Empties an instance or a backend server.
    Drain(Drain),
    /// Shows the instances.
    Status(Status),
    /// Tells the story of one request.
    Explain(Explain),
}

/// check settings or a configuration, and report every fault with line and column
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// the file, JSON with comments
    #[argh(positional)]
    pub file: String,
}

/// put a configuration in place of the one in force
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// the settings of the deployment
    #[argh(option)]
    pub settings: String,

    /// the version that the change replaces; without it, the present one
    #[argh(option)]
    pub base: Option<u64>,

    /// the file with the configuration, JSON with comments
    #[argh(positional)]
    pub file: String,
}

/// print the configuration that the platform holds
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub struct Get {
    /// the settings of the deployment
    #[argh(option)]
    pub settings: String,
}

/// take the planners' sheet as the day's intent, whole or not at all
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "sheet")]
pub struct Sheet {
    /// the settings of the deployment
    #[argh(option)]
    pub settings: String,

    /// show what the sheet would change, and change nothing
    #[argh(switch)]
    pub dry_run: bool,

    /// seconds to try again while the platform can't be reached, 3600 by default
    #[argh(option, default = "3_600")]
    pub patience: u64,

    /// the file, as a spreadsheet program exports it
    #[argh(positional)]
    pub file: String,
}

/// let an instance or a backend server finish its work and take no more
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// the settings of the deployment
    #[argh(option)]
    pub settings: String,

    /// the name of the instance or backend server
    #[argh(positional)]
    pub name: String,
}

/// show every instance, its configuration and its requests
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// the settings of the deployment
    #[argh(option)]
    pub settings: String,
}

/// tell the story of one request from the logs of all instances, in order of time
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// the id of the caller's attempt
    #[argh(positional)]
    pub id: String,

    /// files with log lines
    #[argh(positional)]
    pub files: Vec<String>,
}
