//! Orders to engines around the end of the permission to give them: by real processes that
//! are paused, stopped and replaced.

use std::path::PathBuf;
use std::time::Duration;

use hemlockwind_emulator::Site;
use hemlockwind_emulator::engine::Fault;
use hemlockwind_emulator::engine::Received;
use hemlockwind_emulator::site::DATA_CENTRES;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::process::Process;
use crate::site::eventually;

/// Time in which a lease passes to the next giver and its first order comes: the lease's
/// own time and a gap's, several times over for a busy machine.
const TAKEOVER: Duration = Duration::from_secs(20);
/// How late reports are while the giver is paused: within the time that it waits for them.
const REPORT_DELAY: Duration = Duration::from_millis(120);
/// Time after a pause in which what was begun before it would be carried out.
const AFTERMATH: Duration = Duration::from_secs(2);

/// A deployment whose instances are processes, one in each data centre.
struct Fleet {
    site: Site,
    instances: Vec<(String, Process)>,
}

impl Fleet {
    async fn start(test: &str) -> Self {
        let site = Site::start().await.unwrap();
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let dir = dir.join(format!("{test}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let instances = DATA_CENTRES.iter().map(|data_centre| {
            let name = format!("front-{data_centre}");
            let settings = dir.join(format!("{name}.json"));
            std::fs::write(&settings, site.settings_file(&name, data_centre)).unwrap();
            let args = ["--settings", settings.to_str().unwrap()];
            let program = env!("CARGO_BIN_EXE_hemlockwind-gateway");
            let log = dir.join(format!("{name}.log"));
            (name, Process::start(program, &args, &log))
        });
        let instances = instances.collect();
        let fleet = Self { site, instances };
        let all = || std::future::ready(fleet.site.engines.iter().all(|e| e.layers().is_some()));
        eventually("all engines hold layers", TAKEOVER, all).await;
        // The last loads are followed to their end.
        sleep(Duration::from_secs(1)).await;
        fleet
    }

    /// The place of the instance that holds the lease.
    fn giver(&self) -> usize {
        let lease = self.site.store.content("hemlockwind-leases", "orders");
        let lease = lease.expect("somebody gives orders");
        let holder = lease["holder"].as_str().unwrap();
        let place = self.instances.iter().position(|(name, _)| name == holder);
        place.expect("an instance holds the lease")
    }

    /// An engine is lost for good, so that a gap has to be closed.
    fn lose(&self, engine: usize) {
        self.site.engines[engine].set_fault(Fault::Dead);
        let name = self.site.engines[engine].name();
        self.site.store.erase("servers", &name);
    }

    /// Waits until another instance than `giver` holds the lease, and an order has come
    /// since `since`.
    async fn other_gives(&self, giver: usize, since: Instant) {
        let is_so = || {
            let is_other = self.giver() != giver && !self.orders(since).is_empty();
            std::future::ready(is_other)
        };
        eventually("another one gives orders", TAKEOVER, is_so).await;
    }

    /// Orders that have come since `since`, in order of time.
    fn orders(&self, since: Instant) -> Vec<Received> {
        let all = self.site.engines.iter().flat_map(|e| e.received());
        let mut orders: Vec<Received> = all.filter(|o| o.at >= since).collect();
        orders.sort_unstable_by_key(|o| o.at);
        orders
    }

    fn set_report_delay(&self, delay: Duration) {
        for engine in &self.site.engines {
            engine.set_report_delay(delay);
        }
    }

    fn reports(&self) -> u64 {
        self.site.engines.iter().map(|e| e.reports()).sum()
    }
}

/// Orders never go back to an older permission.
fn assert_one_giver_at_a_time(orders: &[Received]) {
    let pairs = orders.windows(2);
    let back = pairs.filter(|pair| pair[1].fencing < pair[0].fencing);
    assert_eq!(back.count(), 0, "{orders:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn order_not_sent_by_a_giver_that_was_paused_over_its_lease() {
    let fleet = Fleet::start("paused-giver").await;
    let giver = fleet.giver();
    let began = Instant::now();
    fleet.set_report_delay(REPORT_DELAY);
    let asked = fleet.reports();
    fleet.lose(3);
    // It has looked at its lease and asked an engine; the answer finds it paused.
    while fleet.reports() == asked {
        assert!(began.elapsed() < TAKEOVER, "nothing is ordered");
        sleep(Duration::from_millis(1)).await;
    }
    fleet.instances[giver].1.signal("STOP");
    let paused = Instant::now();
    sleep(REPORT_DELAY * 2).await;
    fleet.set_report_delay(Duration::ZERO);
    fleet.other_gives(giver, paused).await;
    fleet.instances[giver].1.signal("CONT");
    // Both live now, and both see that something is due.
    fleet.lose(12);
    sleep(AFTERMATH).await;
    let orders = fleet.orders(began);
    assert!(!orders.is_empty());
    assert_one_giver_at_a_time(&orders);
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_once_around_a_planned_hand_over() {
    let fleet = Fleet::start("hand-over").await;
    let giver = fleet.giver();
    let began = Instant::now();
    fleet.lose(3);
    fleet.lose(11);
    fleet.instances[giver].1.signal("TERM");
    fleet.other_gives(giver, began).await;
    // The one that stops lives on for seconds, and sees that something is due.
    fleet.lose(5);
    sleep(AFTERMATH).await;
    let orders = fleet.orders(began);
    assert_one_giver_at_a_time(&orders);
    for engine in &fleet.site.engines {
        let mut taken = engine.received();
        taken.retain(|o| o.at >= began && o.is_accepted);
        let mut layers: Vec<_> = taken.iter().map(|o| o.layers).collect();
        layers.dedup();
        assert_eq!(layers.len(), taken.len(), "{}: {taken:?}", engine.name());
    }
}
