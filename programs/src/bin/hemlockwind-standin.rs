//! The fakes of the platform, engines and services, each as a process of its own.

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

/// Small fakes of what hemlockwind stands before, with switches for failure.
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
    /// where to listen, IP:PORT; port 0 takes a free one
    #[argh(option, default = "loopback()")]
    listen: SocketAddr,
    /// milliseconds between the bookmarks of a watch
    #[argh(option, default = "500")]
    bookmark_ms: u64,
}

/// An engine that holds a range of layers.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct Engine {
    /// where to listen, IP:PORT; port 0 takes a free one
    #[argh(option, default = "loopback()")]
    listen: SocketAddr,
    /// the model's name
    #[argh(option, default = "String::from(\"model\")")]
    model: String,
    /// the layers of the whole model
    #[argh(option)]
    model_layers: u16,
    /// the layers held, FIRST-END, without the last
    #[argh(option, from_str_fn(layers))]
    layers: LayerRange,
    /// streams taken at most
    #[argh(option, default = "64")]
    limit: u32,
    /// milliseconds of one iteration of the batch
    #[argh(option, default = "0.0")]
    step_ms: f64,
    /// milliseconds that each prefill adds
    #[argh(option, default = "0.0")]
    prefill_ms: f64,
    /// milliseconds by which the reported load lags
    #[argh(option, default = "0")]
    load_lag_ms: u64,
    /// milliseconds without a step after which a stream may make room
    #[argh(option, default = "10_000")]
    idle_ms: u64,
    /// take orders with an old fencing token
    #[argh(switch)]
    ignore_fencing: bool,
    /// keep no record of what ran
    #[argh(switch)]
    no_record: bool,
}

/// A plain service that counts what it ran.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct Service {
    /// where to listen, IP:PORT; port 0 takes a free one
    #[argh(option, default = "loopback()")]
    listen: SocketAddr,
}

/// Everything on loopback in one process: answers, a loan sent twice, a stage killed.
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

fn layers(text: &str) -> Result<LayerRange, String> {
    let (start, end) = text.split_once('-').ok_or("expected FIRST-END")?;
    let parse = |text: &str| text.parse().map_err(|_| format!("{text} is no layer"));
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
        Command::Demo(Demo {}) => show().await,
    }
}

/// Runs a fake until a signal; one that ends by itself has failed as it was told.
async fn serve<S>(fake: Handle<S>) -> Result<ExitCode, Box<dyn Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut out = io::stdout();
    writeln!(out, "{{\"listening\":\"{}\"}}", fake.addr)?;
    out.flush()?;
    tokio::select! {
        _ = terminate.recv() => Ok(ExitCode::SUCCESS),
        _ = tokio::signal::ctrl_c() => Ok(ExitCode::SUCCESS),
        () = fake.shutdown.cancelled() => Ok(ExitCode::FAILURE),
    }
}

/// Runs the demo and prints its table.
async fn show() -> Result<ExitCode, Box<dyn Error>> {
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
