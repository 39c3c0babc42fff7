//! A deployment on the users' platform: the emulator runs in the test's own process, and each
//! instance is a process of `hemlockwind-gateway`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use hemlockwind_emulator::Site;
use hemlockwind_emulator::engine::Fault;
use hemlockwind_emulator::engine::Received;
use hemlockwind_emulator::site::DATA_CENTRES;
use serde_json::Value;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::process::Process;
use crate::site::eventually;

/// Time within which the lease passes to the next order issuer and its first order arrives. This
/// is several times the duration of the lease and the time to close a gap, for a busy machine.
pub const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(20);

/// `Instance` holds the process of one instance.
pub struct Instance {
    /// The instance's name.
    pub name: String,
    /// The address that callers connect to.
    pub callers: SocketAddr,
    /// The instance's process.
    pub process: Process,
    settings: PathBuf,
    log: PathBuf,
    restarts: u32,
}

impl Instance {
    /// Starts a new process, after the last one has ended.
    pub fn restart(&mut self) {
        self.restarts += 1;
        self.process = start(&self.settings, &self.log, self.restarts);
    }
}

/// Starts the process of an instance. Each start has a log file of its own.
fn start(settings: &std::path::Path, log: &std::path::Path, restarts: u32) -> Process {
    let args = ["--settings", settings.to_str().unwrap()];
    let log = log.with_extension(format!("{restarts}.log"));
    Process::start_with_output(env!("CARGO_BIN_EXE_hemlockwind-gateway"), &args, &log)
}

/// `Fleet` holds the deployment.
pub struct Fleet {
    /// The emulated store, engines and plain servers.
    pub site: Site,
    /// The instances, placed into the data centres alternately.
    pub instances: Vec<Instance>,
    /// The folder with the logs.
    pub dir: PathBuf,
}

impl Fleet {
    /// Starts all parts and waits until all engines hold layers.
    pub async fn start(test: &str, count: usize) -> Self {
        let site = Site::start().await.unwrap();
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let dir = dir.join(format!("{test}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let instances = (0..count).map(|i| {
            let data_centre = DATA_CENTRES[i % DATA_CENTRES.len()];
            let name = format!("front-{data_centre}-{i}");
            let settings = dir.join(format!("{name}.json"));
            let text = site.settings_file(&name, data_centre);
            std::fs::write(&settings, &text).unwrap();
            let text: Value = serde_json::from_str(&text).unwrap();
            let callers = text["listen"]["frontend"].as_str().unwrap();
            let log = dir.join(&name);
            Instance {
                callers: callers.parse().unwrap(),
                process: start(&settings, &log, 0),
                name,
                settings,
                log,
                restarts: 0,
            }
        });
        let instances = instances.collect();
        let fleet = Self {
            site,
            instances,
            dir,
        };
        let all = || std::future::ready(fleet.site.engines.iter().all(|e| e.layers().is_some()));
        eventually("all engines hold layers", TAKEOVER_TIMEOUT, all).await;
        // This gives the order issuer time to confirm the last loads.
        sleep(Duration::from_secs(1)).await;
        fleet
    }

    /// Returns the index of the instance that holds the lease to issue orders.
    pub fn order_issuer(&self) -> usize {
        let lease = self.site.store.content("hemlockwind-leases", "orders");
        let lease = lease.expect("the lease to issue orders exists");
        let holder = lease["holder"].as_str().unwrap();
        let index = self.instances.iter().position(|i| i.name == holder);
        index.expect("one of the instances holds the lease")
    }

    /// Removes an engine for good. That leaves a gap: its layers have to be placed on other
    /// engines.
    pub fn remove_engine(&self, engine: usize) {
        self.site.engines[engine].set_fault(Fault::Dead);
        let name = self.site.engines[engine].name();
        self.site.store.erase("servers", &name);
    }

    /// Waits until another instance than `order_issuer` holds the lease and an engine has
    /// received an order since `since`.
    pub async fn wait_for_other_order_issuer(&self, order_issuer: usize, since: Instant) {
        let has_taken_over = || {
            let is_other = self.order_issuer() != order_issuer && !self.orders(since).is_empty();
            std::future::ready(is_other)
        };
        eventually(
            "another instance issues orders",
            TAKEOVER_TIMEOUT,
            has_taken_over,
        )
        .await;
    }

    /// Returns the orders that engines have received since `since`, ordered by time.
    pub fn orders(&self, since: Instant) -> Vec<Received> {
        let all = self.site.engines.iter().flat_map(|e| e.received());
        let mut orders: Vec<Received> = all.filter(|o| o.at >= since).collect();
        orders.sort_unstable_by_key(|o| o.at);
        orders
    }

    /// Sets how long the reports of all engines are delayed.
    pub fn set_report_delay(&self, delay: Duration) {
        for engine in &self.site.engines {
            engine.set_report_delay(delay);
        }
    }

    /// Returns the number of reports that were requested from all engines.
    pub fn reports(&self) -> u64 {
        self.site.engines.iter().map(|e| e.reports()).sum()
    }
}
