//! The time that the router adds to tokens, compared with calls straight to engines.
//!
//! `cargo bench --bench path` starts a stand-in platform, stand-in engines and one
//! instance as processes on loopback and prints a table for 1 to 4 stages. The `way` is
//! `direct` for calls to the engines and `router` for calls through the instance. The
//! time columns hold the median and the 99th percentile of the time to the first token
//! (`first`) and of the time between tokens (`betw`).

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use hemlockwind::core::layers::LayerRange;
use hemlockwind_standin::load;
use hemlockwind_standin::load::Options;
use hemlockwind_standin::load::Report;

const STANDIN: &str = env!("CARGO_BIN_EXE_hemlockwind-standin");
const DAEMON: &str = env!("CARGO_BIN_EXE_hemlockwindd");
const CLI: &str = env!("CARGO_BIN_EXE_hemlockwind");
/// SHA-256 of the API key `key`.
const KEY_SHA256: &str = "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683";
/// The number of layers of the model.
const LAYERS: u16 = 24;
/// Clock ticks per second. Linux counts CPU time in these ticks.
const TICKS_PER_SECOND: f64 = 100.0;
/// The numbers of concurrent streams.
const STREAM_COUNTS: [usize; 3] = [1, 32, 256];

/// `Process` is a child process that is killed when this value is dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    /// Starts a stand-in and returns it with the address that it listens on.
    fn stand_in(args: &[&str]) -> (Self, SocketAddr) {
        let mut command = Command::new(STANDIN);
        command.args(args).args(["--listen", "127.0.0.1:0"]);
        let mut child = command
            .stdout(Stdio::piped())
            .spawn()
            .expect("the stand-in starts");
        let out = child.stdout.take().expect("standard output is piped");
        let mut line = String::new();
        BufReader::new(out)
            .read_line(&mut line)
            .expect("the stand-in prints a line");
        let line: Value = serde_json::from_str(&line).expect("the line is JSON");
        let addr = line["listening"].as_str().expect("the line has an address");
        (Self(child), addr.parse().expect("the address is valid"))
    }

    /// Returns the CPU time used so far, in seconds.
    fn cpu_seconds(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.0.id()));
        let stat = stat.unwrap_or_default();
        let fields: Vec<_> = stat.rsplit(')').next().unwrap_or("").split(' ').collect();
        // The part after the command's name begins with a space before field 3, so field 14,
        // `utime`, has the index 12 here, and field 15, `stime`, the index 13.
        let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok());
        (ticks(12).unwrap_or(0.0) + ticks(13).unwrap_or(0.0)) / TICKS_PER_SECOND
    }

    /// Returns the resident memory, in megabytes.
    fn resident_mb(&self) -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.0.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kb = line.and_then(|line| line.split_whitespace().nth(1));
        kb.and_then(|kb| kb.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
    }
}

/// Returns a loopback address with a free port.
fn free_addr() -> SocketAddr {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    socket.local_addr().expect("the socket has an address")
}

/// `Site` holds a platform, a chain of engines and one instance.
struct Site {
    _platform: Process,
    _engines: Vec<Process>,
    daemon: Process,
    /// The address and layers of each engine.
    stages: Vec<(SocketAddr, LayerRange)>,
    /// The address on which the instance receives requests from callers.
    callers: SocketAddr,
}

impl Site {
    /// Starts a site with `stages` stages.
    fn start(stages: u16, dir: &Path) -> Self {
        let (platform, platform_addr) = Process::stand_in(&["platform"]);
        let mut engines = Vec::new();
        let mut chain = Vec::new();
        for stage in 0..stages {
            let layers = (stage * LAYERS / stages, (stage + 1) * LAYERS / stages);
            let range = format!("{}-{}", layers.0, layers.1);
            let count = LAYERS.to_string();
            let (engine, addr) = Process::stand_in(&[
                "engine",
                "--model",
                "m",
                "--model-layers",
                &count,
                "--layers",
                &range,
                "--limit",
                "1024",
                "--step-ms",
                "0",
                "--prefill-ms",
                "0",
                "--no-record",
            ]);
            engines.push(engine);
            chain.push((
                addr,
                LayerRange::new(layers.0, layers.1).expect("a stage has layers"),
            ));
        }
        let (callers, admin) = (free_addr(), free_addr());
        let settings = dir.join("settings.jsonc");
        write_json(
            &settings,
            &json!({
                "platform": platform_addr, "peer_key": "a key for the bench", "admin_token": "a token for the bench",
                "instances": [{"name": "a", "data_centre": "x", "callers": callers, "peers": free_addr(), "admin": admin}],
            }),
        );
        let document = dir.join("configuration.jsonc");
        write_json(&document, &configuration(&chain));
        let settings = settings.to_str().expect("the path is UTF-8");
        let mut command = Command::new(DAEMON);
        command.args(["--settings", settings]).stderr(Stdio::null());
        let daemon = Process(command.spawn().expect("the daemon starts"));
        std::thread::sleep(Duration::from_millis(500));
        let mut apply = Command::new(CLI);
        apply.args(["apply", "--settings", settings]);
        let status = apply.arg(&document).status().expect("the command starts");
        assert!(status.success(), "the configuration is accepted");
        std::thread::sleep(Duration::from_millis(1_500));
        Self {
            _platform: platform,
            _engines: engines,
            daemon,
            stages: chain,
            callers,
        }
    }
}

/// Writes a JSON file.
fn write_json(path: &Path, value: &Value) {
    std::fs::write(path, value.to_string()).expect("the file can be written");
}

/// Returns the configuration for a chain of engines.
fn configuration(chain: &[(SocketAddr, LayerRange)]) -> Value {
    let servers = chain.iter().enumerate().map(|(i, (addr, layers))| {
        json!({"name": format!("s{i}"), "data_centre": "x", "addr": addr, "model": "m",
            "layers": [layers.start(), layers.end()], "limit": 1024})
    });
    json!({
        "models": [{"name": "m", "layers": LAYERS}],
        "pipelines": [{"name": "p", "model": "m", "max_tokens": 1000}],
        "ranks": [{"name": "r", "first_token_ms": 1500, "between_tokens_ms": 52, "deadline_ms": 60000}],
        "organisations": [{"name": "o", "share": 1, "rank": "r", "home": "x", "api_keys_sha256": [KEY_SHA256]}],
        "backend_servers": servers.collect::<Vec<_>>(),
    })
}

/// Formats the median and the 99th percentile, in microseconds.
fn format_quantiles(times: &[Duration]) -> String {
    let at = |q| load::quantile(times, q).as_micros();
    format!("{:>7} {:>7}", at(0.5), at(0.99))
}

/// Prints one line of the table. If `cpu_seconds` is 0, as for direct calls, the columns of the
/// instance stay empty.
fn print_row(
    stages: u16,
    streams: usize,
    way: &str,
    report: &Report,
    cpu_seconds: f64,
    resident_mb: f64,
) {
    let tokens = report.tokens() as f64;
    let requests = report.complete as f64;
    let seconds = report.elapsed.as_secs_f64();
    print!(
        "{stages:>6} {streams:>7} {way:<7} {} {}",
        format_quantiles(&report.first_token),
        format_quantiles(&report.between_tokens)
    );
    print!(
        " {:>8.0} {:>9.0} {:>6}",
        requests / seconds,
        tokens / seconds,
        report.failed
    );
    if cpu_seconds > 0.0 {
        print!(
            " {:>8.0} {:>9.0} {resident_mb:>7.1}",
            requests / cpu_seconds,
            tokens / cpu_seconds
        );
    }
    println!();
}

fn main() {
    let dir = create_temp_dir();
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    println!(
        "times in us; req/core and tok/core per second of CPU time of the instance; MB of its resident memory"
    );
    println!(
        "stages streams way     first50 first99 betw50  betw99     req/s     tok/s failed req/core  tok/core      MB"
    );
    for stages in 1..=4 {
        let site = Site::start(stages, &dir);
        println!(
            "{stages:>6}       0 idle: {:.1} MB",
            site.daemon.resident_mb()
        );
        for streams in STREAM_COUNTS {
            let options = Options {
                pipeline: "p".into(),
                key: "key".into(),
                streams,
                requests: (256 / streams).clamp(2, 16),
                max_tokens: 32,
            };
            let direct = runtime.block_on(load::direct_to_engines(&site.stages, &options));
            print_row(stages, streams, "direct", &direct, 0.0, 0.0);
            let before = site.daemon.cpu_seconds();
            let through = runtime.block_on(load::through_instances(&[site.callers], &options));
            let cpu = site.daemon.cpu_seconds() - before;
            print_row(
                stages,
                streams,
                "router",
                &through,
                cpu,
                site.daemon.resident_mb(),
            );
        }
    }
}

/// Creates a directory for this run's files and returns its path.
fn create_temp_dir() -> std::path::PathBuf {
    let dir = std::env::temp_dir().join(format!("hemlockwind-path-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("the directory can be created");
    dir
}
