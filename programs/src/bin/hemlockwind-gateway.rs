//! The daemon that every instance runs on the users' platform.

use std::process::ExitCode;
use std::sync::Arc;

use argh::FromArgs;
use slog::error;
use slog::info;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use hemlockwind::core::Error;
use hemlockwind::core::Result;
use hemlockwind::gateway::Gateway;
use hemlockwind::gateway::Running;
use hemlockwind::gateway::start;
use hemlockwind::gateway::start::log_cut;
use hemlockwind::platform::settings::PATH_VARIABLE;
use hemlockwind::platform::settings::Settings;
use hemlockwind::telemetry::logs;

/// The exit code after the panic of a background task. The platform starts the process again.
const PANICKED: u8 = 3;

/// Routes opaque requests over paths of engines that together hold all layers of a model.
///
/// Exit codes: 0 after a planned stop that cut no request, 1 if requests were
/// cut, 2 if the settings or the command line have faults, 3 if a background task
/// panicked.
#[derive(Debug)]
#[derive(FromArgs)]
struct Args {
    /// path of the settings file; default: the value of HEMLOCKWIND_SETTINGS
    #[argh(option)]
    settings: Option<String>,

    /// check the settings, print the fault if there is one, and exit
    #[argh(switch)]
    check: bool,

    /// print the version and exit
    #[argh(switch)]
    version: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    if args.version {
        println!("hemlockwind-gateway {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let settings = match read(args.settings) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("hemlockwind-gateway: {}: {e}", e.code().number());
            return ExitCode::from(2);
        }
    };
    if args.check {
        println!("{}: the settings are valid", settings.name);
        return ExitCode::SUCCESS;
    }
    let runtime = runtime(settings.cores);
    match runtime {
        Ok(runtime) => runtime.block_on(run(settings)),
        Err(e) => {
            eprintln!("hemlockwind-gateway: can't create the async runtime: {e}");
            ExitCode::from(2)
        }
    }
}

/// Reads the settings from `path`, or else from the file that the environment variable names.
fn read(path: Option<String>) -> Result<Settings> {
    let path = path.or_else(|| std::env::var(PATH_VARIABLE).ok());
    let path = path.ok_or_else(|| {
        Error::usage(format!(
            "no settings file is given: use --settings or set {PATH_VARIABLE}"
        ))
    })?;
    let text = std::fs::read_to_string(&path);
    let text = text.map_err(|e| Error::settings(format!("{path}: {e}")))?;
    Settings::parse(&text)
}

/// Creates a runtime with one thread per core. On a single core, it runs on the main thread, as
/// a second thread would only compete with it for the core.
fn runtime(cores: usize) -> std::io::Result<tokio::runtime::Runtime> {
    let mut builder = match cores {
        0 | 1 => tokio::runtime::Builder::new_current_thread(),
        cores => {
            let mut builder = tokio::runtime::Builder::new_multi_thread();
            builder.worker_threads(cores);
            builder
        }
    };
    builder.enable_all().build()
}

/// Runs until SIGTERM or SIGINT arrives or a background task panics, and returns the exit code. Each
/// begins a planned stop; SIGINT during the stop ends the process at once.
async fn run(settings: Settings) -> ExitCode {
    let log = logs::json(std::io::stdout(), &settings.name);
    let (Ok(mut terminate), Ok(mut interrupt), Ok(mut reload)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
        signal(SignalKind::hangup()),
    ) else {
        error!(log, "can't install the signal handlers");
        return ExitCode::from(2);
    };
    let running: Running = match start(settings, log.clone()).await {
        Ok(running) => running,
        Err(e) => {
            error!(log, "not started"; "code" => e.code().number(), "error" => %e);
            return ExitCode::from(2);
        }
    };
    let panic = loop {
        tokio::select! {
            _ = terminate.recv() => break None,
            _ = interrupt.recv() => break None,
            panic = running.panicked() => break Some(panic),
            // Nothing to reload: all that can change while a process runs comes from the store.
            _ = reload.recv() => info!(log, "reload"; "changed" => 0),
        }
    };
    if let Some(panic) = &panic {
        error!(log, "task panicked"; "task" => panic.task, "error" => &panic.message);
    }
    let gateway = Arc::clone(&running.gateway);
    let stop = running.stop();
    tokio::pin!(stop);
    let cut_count = loop {
        tokio::select! {
            cut_count = &mut stop => break cut_count,
            // A supervisor may repeat its signal; it ends the process with SIGKILL.
            _ = terminate.recv() => info!(log, "already stopping"; "requests" => gateway.requests.len()),
            _ = interrupt.recv() => break cut(&gateway),
        }
    };
    match (panic, cut_count) {
        (Some(_), _) => ExitCode::from(PANICKED),
        (None, 0) => ExitCode::SUCCESS,
        (None, _) => ExitCode::from(1),
    }
}

/// Logs the requests that the end of the process cuts, and returns their number.
fn cut(gateway: &Gateway) -> usize {
    log_cut(gateway);
    gateway.requests.len()
}
