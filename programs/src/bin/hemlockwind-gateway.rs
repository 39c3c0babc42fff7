//! The daemon that every instance runs on the users' platform.

use std::process::ExitCode;

use argh::FromArgs;
use slog::error;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use hemlockwind::core::Error;
use hemlockwind::core::Result;
use hemlockwind::gateway::Running;
use hemlockwind::gateway::start;
use hemlockwind::platform::settings::PATH_VARIABLE;
use hemlockwind::platform::settings::Settings;
use hemlockwind::telemetry::logs;

/// Routes opaque requests over paths of joint engines, on the users' platform.
///
/// Exit codes: 0 after a planned stop that cut no request, 1 when requests were
/// cut, 2 when the settings or the command line have faults.
#[derive(Debug)]
#[derive(FromArgs)]
struct Args {
    /// the settings file that the platform wrote; else its variable names it
    #[argh(option)]
    settings: Option<String>,

    /// check the settings, print what is wrong, and end
    #[argh(switch)]
    check: bool,

    /// print the version and end
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
        println!("{}: settings are fine", settings.name);
        return ExitCode::SUCCESS;
    }
    let runtime = runtime(settings.cores);
    match runtime {
        Ok(runtime) => runtime.block_on(run(settings)),
        Err(e) => {
            eprintln!("hemlockwind-gateway: no runtime: {e}");
            ExitCode::from(2)
        }
    }
}

/// Reads the settings from the file that is named.
fn read(path: Option<String>) -> Result<Settings> {
    let path = path.or_else(|| std::env::var(PATH_VARIABLE).ok());
    let path =
        path.ok_or_else(|| Error::usage(format!("name a file by --settings or {PATH_VARIABLE}")))?;
    let text = std::fs::read_to_string(&path);
    let text = text.map_err(|e| Error::settings(format!("{path}: {e}")))?;
    Settings::parse(&text)
}

/// One thread on a single core, as a second one would only take turns with it.
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

/// Runs until a signal. The first one stops as planned, the second at once.
async fn run(settings: Settings) -> ExitCode {
    let log = logs::json(std::io::stdout(), &settings.name);
    let (Ok(mut terminate), Ok(mut interrupt), Ok(mut reload)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
        signal(SignalKind::hangup()),
    ) else {
        error!(log, "no signal handler can be set");
        return ExitCode::from(2);
    };
    let running: Running = match start(settings, log.clone()).await {
        Ok(running) => running,
        Err(e) => {
            error!(log, "not started"; "code" => e.code().number(), "error" => %e);
            return ExitCode::from(2);
        }
    };
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            // All that may change while a process runs comes from the store.
            _ = reload.recv() => slog::info!(log, "reload"; "changed" => 0),
        }
    }
    let requests = running.gateway.requests.clone();
    let cut = tokio::select! {
        cut = running.stop() => cut,
        _ = terminate.recv() => requests.len(),
        _ = interrupt.recv() => requests.len(),
    };
    match cut {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::from(1),
    }
}
