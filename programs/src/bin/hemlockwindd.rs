//! The daemon that every instance runs.

use std::process::ExitCode;
use std::sync::Arc;

use argh::FromArgs;
use slog::error;
use slog::info;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use hemlockwind::core::Error;
use hemlockwind::core::Result;
use hemlockwind::daemon::Running;
use hemlockwind::daemon::start;
use hemlockwind::daemon::start::log_cut;
use hemlockwind::settings::Settings;
use hemlockwind::settings::faults;
use hemlockwind::telemetry::logs;

/// The exit code after the panic of a background task. The supervisor starts the process again.
const PANICKED: u8 = 3;

/// Routes requests to pipelines of backend servers.
///
/// Exit codes: 0 after a planned stop that ended no request early, 1 if requests were
/// ended with errors or cut, 2 if the settings or the command line have faults, 3 if a
/// background task panicked.
#[derive(Debug)]
#[derive(FromArgs)]
struct Args {
    /// path of the settings file, JSON with comments
    #[argh(option)]
    settings: String,

    /// name of this instance, if the settings contain several
    #[argh(option)]
    instance: Option<String>,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let settings = match read(&args.settings) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("hemlockwindd: {}: {e}", e.code().number());
            return ExitCode::from(2);
        }
    };
    let name = args.instance.as_deref();
    let log_name = settings.instance(name).map(|i| i.name.clone());
    let log = logs::json(std::io::stderr(), log_name.as_deref().unwrap_or("?"));
    match start(settings, name, log.clone()).await {
        Ok(running) => run(running).await,
        Err(e) => {
            error!(log, "not started"; "code" => e.code().number(), "error" => %e);
            ExitCode::from(2)
        }
    }
}

/// Reads the settings from the file at `path`.
fn read(path: &str) -> Result<Settings> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|e| Error::settings(format!("{path}: {e}")))?;
    Settings::parse(&text).map_err(|found| faults::error(&found))
}

/// Runs until a stop signal arrives, an operator drains the instance or a background task panics, and
/// returns the exit code. Each begins a planned stop; SIGINT during the stop ends the process at once.
async fn run(running: Running) -> ExitCode {
    let log = running.instance.log.clone();
    let instance = Arc::clone(&running.instance);
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        error!(log, "can't install the signal handlers");
        return ExitCode::from(2);
    };
    let panic = tokio::select! {
        _ = terminate.recv() => None,
        _ = interrupt.recv() => None,
        () = running.instance.unready.cancelled() => None,
        panic = running.panicked() => Some(panic),
    };
    if let Some(panic) = &panic {
        error!(log, "task panicked"; "task" => panic.task, "error" => &panic.message);
    }
    let stop = running.stop();
    tokio::pin!(stop);
    let cut_count = loop {
        tokio::select! {
            cut_count = &mut stop => break cut_count,
            // A supervisor may repeat its signal; it ends the process with SIGKILL.
            _ = terminate.recv() => info!(log, "already stopping"),
            _ = interrupt.recv() => break log_cut(&instance).len(),
        }
    };
    match (panic, cut_count) {
        (Some(_), _) => ExitCode::from(PANICKED),
        (None, 0) => ExitCode::SUCCESS,
        (None, _) => ExitCode::from(1),
    }
}
