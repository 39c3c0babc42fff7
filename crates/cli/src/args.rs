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
    error_code(3, "an instance or the platform can't be reached; try again"),
    error_code(4, "the configuration was changed concurrently; read it and try again"),
    error_code(5, "it is not known whether the change was accepted; run status")
)]
pub struct Args {
    /// the command
    #[argh(subcommand)]
    pub command: Command,

    /// print JSON instead of text
    #[argh(switch)]
    pub json: bool,
}

/// `Command` is the command to run, with its arguments.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Checks a file.
    Check(Check),
    /// Replaces the configuration.
    Apply(Apply),
    /// Prints the configuration.
    Get(Get),
    /// Applies the day's sheet.
    Sheet(Sheet),
    /// Drains an instance or a backend server.
    Drain(Drain),
    /// Shows the state of every instance.
    Status(Status),
    /// Shows the history of one request.
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

/// replace the configuration in force
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// the settings of the deployment
    #[argh(option)]
    pub settings: String,

    /// the version to replace; the current one by default
    #[argh(option)]
    pub base: Option<u64>,

    /// the file with the configuration, JSON with comments
    #[argh(positional)]
    pub file: String,
}

/// print the configuration that the platform stores
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub struct Get {
    /// the settings of the deployment
    #[argh(option)]
    pub settings: String,
}

/// apply the planners' sheet of the day, completely or not at all
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

    /// how long to retry while the platform can't be reached, in seconds; 3600 by default
    #[argh(option, default = "3_600")]
    pub patience: u64,

    /// the file, as a spreadsheet program exports it
    #[argh(positional)]
    pub file: String,
}

/// drain an instance or a backend server: it finishes its work and accepts no more
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

/// show the state, the requests and the configuration version of every instance
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// the settings of the deployment
    #[argh(option)]
    pub settings: String,
}

/// show the history of one request, in order of time, from the logs of all instances
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// the id of the caller's attempt
    #[argh(positional)]
    pub id: String,

    /// the log files of the instances
    #[argh(positional)]
    pub files: Vec<String>,
}
