//! Stand-ins for the platform, engines and services, each as a separate process.

use std::error::Error;
use std::io;
use std::io::Write as _;
use std::net::SocketAddr;
use std::process::ExitCode;

use argh::FromArgs;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use hemlockwind::core::layers::LayerRange;
use hemlockwind_standin::demo;
use hemlockwind_standin::engine;
use hemlockwind_standin::platform;
use hemlockwind_standin::server::Handle;
use hemlockwind_standin::service;

/// Small stand-ins for the servers that hemlockwind calls, with switches for failures.
///
/// Each prints one line of JSON with its address when it is ready.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Platform(Platform),
    Engine(Engine),
    Service(Service),
    Demo(Demo),
}

/// The platform's object API and its list of instances.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct Platform {
    /// address to listen on, IP:PORT; port 0 selects a free port
    #[argh(option, default = "loopback()")]
    listen: SocketAddr,
    /// interval between the bookmarks of a watch, in milliseconds
    #[argh(option, default = "500")]
    bookmark_ms: u64,
}

/// An engine that holds a range of a model's layers.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct Engine {
    /// address to listen on, IP:PORT; port 0 selects a free port
    #[argh(option, default = "loopback()")]
    listen: SocketAddr,
    /// name of the model
    #[argh(option, default = "String::from(\"model\")")]
    model: String,
    /// number of layers of the whole model
    #[argh(option)]
    model_layers: u16,
    /// layers that the engine holds, FIRST-END; END is exclusive
    #[argh(option, from_str_fn(parse_layers))]
    layers: LayerRange,
    /// maximum number of streams
    #[argh(option, default = "64")]
    limit: u32,
    /// duration of one iteration of the batch, in milliseconds
    #[argh(option, default = "0.0")]
    step_ms: f64,
    /// time that each prefill adds to its iteration, in milliseconds
    #[argh(option, default = "0.0")]
    prefill_ms: f64,
    /// age of the reported load, in milliseconds
    #[argh(option, default = "0")]
    load_lag_ms: u64,
    /// time without a step after which a stream may be evicted, in milliseconds
    #[argh(option, default = "10_000")]
    idle_ms: u64,
    /// accept orders with an outdated fencing token
    #[argh(switch)]
    ignore_fencing: bool,
    /// do not record the steps that ran
    #[argh(switch)]
    no_record: bool,
}

/// A plain service that counts the calls that it ran.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct Service {
    /// address to listen on, IP:PORT; port 0 selects a free port
    #[argh(option, default = "loopback()")]
    listen: SocketAddr,
}

/// Everything on loopback in one process: an answer, a loan sent twice, a killed stage, a stop.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
struct Demo {}

impl From<Engine> for engine::Options {
    fn from(args: Engine) -> Self {
        Self {
            listen: args.listen,
            model: args.model,
            limit: args.limit,
            step_ms: args.step_ms,
            prefill_ms: args.prefill_ms,
            load_lag_ms: args.load_lag_ms,
            idle_ms: args.idle_ms,
            ignore_fencing: args.ignore_fencing,
            record: !args.no_record,
            ..Self::new(args.model_layers, args.layers)
        }
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn parse_layers(text: &str) -> Result<LayerRange, String> {
    let (start, end) = text.split_once('-').ok_or("expected FIRST-END")?;
    let parse = |text: &str| {
        text.parse()
            .map_err(|_| format!("{text} is not a layer number"))
    };
    LayerRange::new(parse(start)?, parse(end)?).map_err(|e| e.to_string())
}

#[tokio::main(worker_threads = 2)]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(args.command).await {
        Ok(code) => code,
        Err(e) => {
            eprintln!("hemlockwind-standin: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> Result<ExitCode, Box<dyn Error>> {
    match command {
        Command::Platform(args) => {
            let options = platform::Options {
                listen: args.listen,
                bookmark_ms: args.bookmark_ms,
            };
            serve(platform::start(options).await?).await
        }
        Command::Engine(args) => serve(engine::start(args.into()).await?).await,
        Command::Service(args) => {
            let options = service::Options {
                listen: args.listen,
            };
            serve(service::start(options).await?).await
        }
        Command::Demo(Demo {}) => run_demo().await,
    }
}

/// Runs a stand-in until a signal arrives. If it ends by itself, an injected fault made it, so
/// the exit code is that of a failure.
async fn serve<S>(stand_in: Handle<S>) -> Result<ExitCode, Box<dyn Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut out = io::stdout();
    writeln!(out, "{{\"listening\":\"{}\"}}", stand_in.addr)?;
    out.flush()?;
    tokio::select! {
        _ = terminate.recv() => Ok(ExitCode::SUCCESS),
        _ = tokio::signal::ctrl_c() => Ok(ExitCode::SUCCESS),
        () = stand_in.shutdown.cancelled() => Ok(ExitCode::FAILURE),
    }
}

/// Runs the demo and prints the table of its results.
async fn run_demo() -> Result<ExitCode, Box<dyn Error>> {
    let rows = demo::run().await?;
    let mut out = io::stdout();
    for row in &rows {
        writeln!(out, "{row}")?;
    }
    match rows.iter().all(|row| row.is_correct) {
        true => Ok(ExitCode::SUCCESS),
        false => Ok(ExitCode::FAILURE),
    }
}
