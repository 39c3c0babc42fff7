//! What the router adds to the time of tokens, against calling engines directly.
//!
//! `cargo bench --bench path` starts the platform, engines and one instance as
//! processes on loopback and prints a table for 1 to 4 stages.

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
/// Layers of the model.
const LAYERS: u16 = 24;
/// Ticks of processor time in a second, as Linux counts them.
const TICKS: f64 = 100.0;
/// Streams at the same time, from one to many.
const STREAMS: [usize; 3] = [1, 32, 256];

/// `Process` is a process that ends with this value.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    /// Starts a stand-in and gives where it listens.
    fn standin(args: &[&str]) -> (Self, SocketAddr) {
        let mut command = Command::new(STANDIN);
        command.args(args).args(["--listen", "127.0.0.1:0"]);
        let mut child = command.stdout(Stdio::piped()).spawn().expect("it starts");
        let out = child.stdout.take().expect("it is piped");
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line).expect("a line");
        let line: Value = serde_json::from_str(&line).expect("JSON");
        let addr = line["listening"].as_str().expect("an address");
        (Self(child), addr.parse().expect("an address"))
    }

    /// Seconds of processor time so far.
    fn cpu(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.0.id()));
        let stat = stat.unwrap_or_default();
        let fields: Vec<_> = stat.rsplit(')').next().unwrap_or("").split(' ').collect();
        let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok());
        (ticks(12).unwrap_or(0.0) + ticks(13).unwrap_or(0.0)) / TICKS
    }

    /// Resident memory in megabytes.
    fn memory(&self) -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.0.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kb = line.and_then(|line| line.split_whitespace().nth(1));
        kb.and_then(|kb| kb.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
    }
}

/// A free port.
fn free() -> SocketAddr {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
    socket.local_addr().expect("an address")
}

/// `Site` is a platform, a chain of engines and one instance.
struct Site {
    _platform: Process,
    _engines: Vec<Process>,
    daemon: Process,
    stages: Vec<(SocketAddr, LayerRange)>,
    callers: SocketAddr,
}

impl Site {
    /// Starts a site with `stages` stages.
    fn start(stages: u16, dir: &Path) -> Self {
        let (platform, platform_addr) = Process::standin(&["platform"]);
        let mut engines = Vec::new();
        let mut chain = Vec::new();
        for stage in 0..stages {
            let layers = (stage * LAYERS / stages, (stage + 1) * LAYERS / stages);
            let range = format!("{}-{}", layers.0, layers.1);
            let count = LAYERS.to_string();
            let (engine, addr) = Process::standin(&[
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
            chain.push((addr, LayerRange::new(layers.0, layers.1).expect("layers")));
        }
        let (callers, admin) = (free(), free());
        let settings = dir.join("settings.jsonc");
        write(
            &settings,
            &json!({
                "platform": platform_addr, "peer_key": "a key for the bench", "admin_token": "a token for the bench",
                "instances": [{"name": "a", "data_centre": "x", "callers": callers, "peers": free(), "admin": admin}],
            }),
        );
        let document = dir.join("configuration.jsonc");
        write(&document, &configuration(&chain));
        let settings = settings.to_str().expect("text");
        let mut command = Command::new(DAEMON);
        command.args(["--settings", settings]).stderr(Stdio::null());
        let daemon = Process(command.spawn().expect("it starts"));
        std::thread::sleep(Duration::from_millis(500));
        let mut apply = Command::new(CLI);
        apply.args(["apply", "--settings", settings]);
        let status = apply.arg(&document).status().expect("it starts");
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

/// Writes a file of JSON.
fn write(path: &Path, value: &Value) {
    std::fs::write(path, value.to_string()).expect("the folder can be written");
}

/// The configuration for a chain of engines.
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

/// Microseconds at two quantiles.
fn micros(times: &[Duration]) -> String {
    let at = |q| load::quantile(times, q).as_micros();
    format!("{:>7} {:>7}", at(0.5), at(0.99))
}

/// One line of the table.
fn row(stages: u16, streams: usize, way: &str, report: &Report, cpu: f64, memory: f64) {
    let tokens = report.tokens() as f64;
    let requests = report.complete as f64;
    let seconds = report.elapsed.as_secs_f64();
    print!(
        "{stages:>6} {streams:>7} {way:<7} {} {}",
        micros(&report.first_token),
        micros(&report.between_tokens)
    );
    print!(
        " {:>8.0} {:>9.0} {:>6}",
        requests / seconds,
        tokens / seconds,
        report.failed
    );
    if cpu > 0.0 {
        print!(
            " {:>8.0} {:>9.0} {memory:>7.1}",
            requests / cpu,
            tokens / cpu
        );
    }
    println!();
}

fn main() {
    let dir = tempdir();
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    println!(
        "times in us; req/s and tok/s for each core of processor time that the instance used; MB resident"
    );
    println!(
        "stages streams way     first50 first99 betw50  betw99     req/s     tok/s failed req/core  tok/core      MB"
    );
    for stages in 1..=4 {
        let site = Site::start(stages, &dir);
        println!("{stages:>6}       0 idle: {:.1} MB", site.daemon.memory());
        for streams in STREAMS {
            let options = Options {
                pipeline: "p".into(),
                key: "key".into(),
                streams,
                requests: (256 / streams).clamp(2, 16),
                max_tokens: 32,
            };
            let direct = runtime.block_on(load::direct_to_engines(&site.stages, &options));
            row(stages, streams, "direct", &direct, 0.0, 0.0);
            let before = site.daemon.cpu();
            let through = runtime.block_on(load::through_instances(&[site.callers], &options));
            let cpu = site.daemon.cpu() - before;
            row(
                stages,
                streams,
                "router",
                &through,
                cpu,
                site.daemon.memory(),
            );
        }
    }
}

/// A folder for this run's files.
fn tempdir() -> std::path::PathBuf {
    let dir = std::env::temp_dir().join(format!("hemlockwind-path-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("the folder can be made");
    dir
}
