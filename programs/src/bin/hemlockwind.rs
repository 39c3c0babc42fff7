//! The operators' command line.

use std::process::ExitCode;

use hemlockwind_cli::args::Args;
use hemlockwind_cli::run;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let as_json = args.json;
    run(args).await.report(as_json)
}
