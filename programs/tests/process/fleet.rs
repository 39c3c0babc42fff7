//! A deployment on the users' platform: the emulator in the test's process, and
//! instances of `hemlockwind-gateway` as processes.

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

/// Time in which a lease passes to the next giver and its first order comes: the lease's
/// own time and a gap's, several times over for a busy machine.
pub const TAKEOVER: Duration = Duration::from_secs(20);

/// `Instance` is one instance of the fleet.
pub struct Instance {
    /// Its name.
    pub name: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Its process.
    pub process: Process,
    settings: PathBuf,
    log: PathBuf,
    starts: u32,
}

impl Instance {
    /// Starts its program again, after its process has ended.
    pub fn restart(&mut self) {
        self.starts += 1;
        self.process = start(&self.settings, &self.log, self.starts);
    }
}

/// Starts the program; the log of each start is kept.
fn start(settings: &std::path::Path, log: &std::path::Path, starts: u32) -> Process {
    let args = ["--settings", settings.to_str().unwrap()];
    let log = log.with_extension(format!("{starts}.log"));
    Process::logged(env!("CARGO_BIN_EXE_hemlockwind-gateway"), &args, &log)
}

/// `Fleet` is the deployment.
pub struct Fleet {
    /// The store, engines and plain servers.
    pub site: Site,
    /// The instances, by turns in either data centre.
    pub instances: Vec<Instance>,
    /// Where the logs are.
    pub dir: PathBuf,
}

impl Fleet {
    /// Starts everything, and waits until all engines hold layers.
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
                starts: 0,
            }
        });
        let instances = instances.collect();
        let fleet = Self {
            site,
            instances,
            dir,
        };
        let all = || std::future::ready(fleet.site.engines.iter().all(|e| e.layers().is_some()));
        eventually("all engines hold layers", TAKEOVER, all).await;
        // The last loads are followed to their end.
        sleep(Duration::from_secs(1)).await;
        fleet
    }

    /// The place of the instance that holds the lease.
    pub fn order_issuer(&self) -> usize {
        let lease = self.site.store.content("hemlockwind-leases", "orders");
        let lease = lease.expect("somebody gives orders");
        let holder = lease["holder"].as_str().unwrap();
        let place = self.instances.iter().position(|i| i.name == holder);
        place.expect("an instance holds the lease")
    }

    /// An engine is lost for good, so that a gap has to be closed.
    pub fn lose(&self, engine: usize) {
        self.site.engines[engine].set_fault(Fault::Dead);
        let name = self.site.engines[engine].name();
        self.site.store.erase("servers", &name);
    }

    /// Waits until another instance than `order_issuer` holds the lease, and an order has
    /// come since `since`.
    pub async fn other_gives(&self, order_issuer: usize, since: Instant) {
        let is_so = || {
            let is_other = self.order_issuer() != order_issuer && !self.orders(since).is_empty();
            std::future::ready(is_other)
        };
        eventually("another one gives orders", TAKEOVER, is_so).await;
    }

    /// Orders that have come since `since`, in order of time.
    pub fn orders(&self, since: Instant) -> Vec<Received> {
        let all = self.site.engines.iter().flat_map(|e| e.received());
        let mut orders: Vec<Received> = all.filter(|o| o.at >= since).collect();
        orders.sort_unstable_by_key(|o| o.at);
        orders
    }

    /// Makes the reports of all engines come so late.
    pub fn set_report_delay(&self, delay: Duration) {
        for engine in &self.site.engines {
            engine.set_report_delay(delay);
        }
    }

    /// Reports that all engines were asked for.
    pub fn reports(&self) -> u64 {
        self.site.engines.iter().map(|e| e.reports()).sum()
    }
}
