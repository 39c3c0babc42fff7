//! A deployment of real processes on loopback.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use hemlockwind_standin::caller::Caller;
use hemlockwind_standin::engine::RunRecord;
use hemlockwind_standin::engine::StreamState;
use hemlockwind_standin::sample;
use hemlockwind_standin::sample::SampleServer;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

use crate::process::Process;

/// How long a process may take to start on a busy machine.
const START: Duration = Duration::from_secs(30);
/// Milliseconds after which a decode step counts as lost.
pub const STEP_MS: u64 = 300;
/// Milliseconds after which a prefill counts as lost.
pub const PREFILL_MS: u64 = 1_000;
/// Milliseconds of an iteration of an engine's batch.
const ITERATION_MS: &str = "4";

/// Instances of one site at most.
const INSTANCES: u8 = 4;
/// Sites that run at once, so that they don't starve each other of processor time.
const AT_ONCE: usize = 2;

static SITES: AtomicU8 = AtomicU8::new(1);
static TURN: Semaphore = Semaphore::const_new(AT_ONCE);

/// `Engine` is one engine of the site.
pub struct Engine {
    pub process: Process,
    pub runner: SampleServer,
}

/// `Instance` is one instance of the site.
pub struct Instance {
    pub process: Process,
    pub named: sample::Instance,
    pub caller: Caller,
    pub admin: Caller,
}

/// `Site` is a platform, engines for each stage in both data centres, a service,
/// and instances, by turns in either data centre.
pub struct Site {
    pub platform: Process,
    pub platform_addr: SocketAddr,
    pub settings: PathBuf,
    pub engines: Vec<Engine>,
    _service: Process,
    pub service_addr: SocketAddr,
    pub instances: Vec<Instance>,
    dir: PathBuf,
    _turn: SemaphorePermit<'static>,
}

impl Site {
    /// Starts all processes with an instance in each data centre, and waits until
    /// these are ready.
    pub async fn start(name: &str) -> Self {
        Self::start_with(name, 2).await
    }

    /// As [`Site::start`], with this number of instances.
    pub async fn start_with(name: &str, count: u8) -> Self {
        let turn = TURN.acquire().await.unwrap();
        let number = SITES.fetch_add(1, Ordering::Relaxed);
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let dir = dir.join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let log = |name: &str| dir.join(format!("{name}.log"));

        let (platform, platform_addr) = Process::fake(&["platform"], &log("platform"));
        let (service, service_addr) = Process::fake(&["service"], &log("service"));
        let mut engines = Vec::new();
        for data_centre in sample::DATA_CENTRES {
            for layers in sample::STAGES {
                let log = log(&format!("engine-{data_centre}-{}", layers.start));
                engines.push(engine(data_centre, layers, &log));
            }
        }
        let named = (0..count).map(|n| instance(n, own_ip(INSTANCES * number + n)));
        let named: Vec<_> = named.collect();
        let settings = dir.join("settings.jsonc");
        let limits = json!({"step_ms": STEP_MS, "prefill_ms": PREFILL_MS});
        let text = sample::settings(platform_addr, &named, &limits);
        std::fs::write(&settings, text).unwrap();
        let instances = named.iter().map(|named| Instance {
            named: named.clone(),
            process: daemon(&settings, &named.name, &log(&named.name)),
            caller: Caller::new(named.callers, sample::API_KEY),
            admin: Caller::new(named.admin, sample::ADMIN_TOKEN),
        });
        let instances = instances.collect();
        let site = Self {
            instances,
            platform,
            platform_addr,
            settings,
            engines,
            _service: service,
            service_addr,
            dir,
            _turn: turn,
        };
        site.list(None).await;
        site.configure().await;
        site
    }

    /// Starts the instance at `index` again.
    pub fn restart(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        let log = self.dir.join(format!("{}-again.log", instance.named.name));
        instance.process = daemon(&self.settings, &instance.named.name, &log);
    }

    /// Sets the platform's list: all are live, but the engine at `leaving`.
    pub async fn list(&self, leaving: Option<usize>) {
        let mut list = Vec::new();
        for Instance { named, .. } in &self.instances {
            list.push(json!({
                "name": named.name, "data_centre": named.data_centre,
                "addr": named.peers, "kind": "instance", "state": "live",
            }));
        }
        for (index, Engine { runner, .. }) in self.engines.iter().enumerate() {
            let state = if leaving == Some(index) {
                "leaving"
            } else {
                "live"
            };
            list.push(json!({
                "name": format!("runner-{index}"), "data_centre": runner.data_centre,
                "addr": runner.addr, "kind": "backend_server", "state": state,
            }));
        }
        let list = json!({"instances": list});
        set(self.platform_addr, "/_standin/instances", &list).await;
    }

    /// Hands in the configuration, and waits until it is in force.
    async fn configure(&self) {
        let mut runners: Vec<_> = self.engines.iter().map(|e| e.runner.clone()).collect();
        runners.push(SampleServer {
            data_centre: sample::DATA_CENTRES[0],
            addr: self.service_addr,
            layers: None,
        });
        let document = serde_json::to_vec(&sample::document(&runners)).unwrap();
        let admin = &self.instances[0].admin;
        let put = || admin.json("PUT", "/v1/configuration", document.clone());
        eventually("the configuration is accepted", START, || async {
            put().await.is_ok()
        })
        .await;
        for instance in &self.instances {
            eventually("the instance is ready", START, || async {
                instance.caller.json("GET", "/readyz", vec![]).await.is_ok()
            })
            .await;
        }
    }

    /// The place of the engine of `stage` that holds a stream now.
    pub async fn engine_in_use(&self, stage: usize) -> usize {
        let layers = &sample::STAGES[stage];
        for (index, engine) in self.engines.iter().enumerate() {
            if engine.runner.layers.as_ref() == Some(layers) && !engine.streams().await.is_empty() {
                return index;
            }
        }
        panic!("no engine of stage {stage} holds a stream");
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs: {}", self.dir.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

impl Engine {
    /// The streams that hold KV cache.
    pub async fn streams(&self) -> Vec<StreamState> {
        get(self.runner.addr, "/_standin/streams").await
    }

    /// What ran.
    pub async fn ran(&self) -> RunRecord {
        get(self.runner.addr, "/_standin/ran").await
    }

    /// Sets all switches.
    pub async fn set_faults(&self, faults: &Value) {
        set(self.runner.addr, "/_standin/faults", faults).await;
    }
}

/// Asks a fake.
pub async fn get<T: DeserializeOwned>(addr: SocketAddr, path: &str) -> T {
    let answer = Caller::new(addr, "").json("GET", path, vec![]).await;
    serde_json::from_slice(&answer.expect("the fake answers")).unwrap()
}

/// Sets something at a fake.
pub async fn set(addr: SocketAddr, path: &str, value: &Value) {
    let body = serde_json::to_vec(value).unwrap();
    let answer = Caller::new(addr, "").json("PUT", path, body).await;
    answer.expect("the fake takes it");
}

/// Waits until `check` holds.
pub async fn eventually<F: Future<Output = bool>>(
    what: &str,
    time: Duration,
    check: impl Fn() -> F,
) {
    let deadline = Instant::now() + time;
    while !check().await {
        assert!(Instant::now() < deadline, "not within {time:?}: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn daemon(settings: &Path, name: &str, log: &Path) -> Process {
    let args = ["--settings", settings.to_str().unwrap(), "--instance", name];
    Process::start(env!("CARGO_BIN_EXE_hemlockwindd"), &args, log)
}

fn engine(
    data_centre: &'static str,
    layers: std::ops::Range<u16>,
    log: &std::path::Path,
) -> Engine {
    let model_layers = sample::MODEL_LAYERS.to_string();
    let limit = sample::MAX_IN_FLIGHT.to_string();
    let range = format!("{}-{}", layers.start, layers.end);
    let args = [
        "engine",
        "--model-layers",
        &model_layers,
        "--layers",
        &range,
        "--step-ms",
        ITERATION_MS,
        "--limit",
        &limit,
    ];
    let (process, addr) = Process::fake(&args, log);
    let runner = SampleServer {
        data_centre,
        addr,
        layers: Some(layers),
    };
    Engine { process, runner }
}

/// An address of the loopback network that no other instance uses.
fn own_ip(number: u8) -> Ipv4Addr {
    let id = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 + (id[2] & 0x3f), id[3], number)
}

fn instance(number: u8, ip: Ipv4Addr) -> sample::Instance {
    let data_centre = sample::DATA_CENTRES[usize::from(number) % sample::DATA_CENTRES.len()];
    let free = || TcpListener::bind((ip, 0)).unwrap();
    // All three are held at once, so that they differ.
    let [callers, peers, admin] = [free(), free(), free()];
    sample::Instance {
        name: format!("{data_centre}-{number}"),
        data_centre,
        callers: callers.local_addr().unwrap(),
        peers: peers.local_addr().unwrap(),
        admin: admin.local_addr().unwrap(),
    }
}
