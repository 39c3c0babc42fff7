//! An accepted configuration or sheet is in force at 8 instances in 3 data centres within 3 s,
//! also during network partitions and outages of the platform, and is never rolled back.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use futures::stream::BoxStream;
use hemlockwind_standin::platform;
use hemlockwind_standin::platform::Faults;
use hemlockwind_standin::platform::Outage;
use hemlockwind_standin::sample;
use hemlockwind_standin::server::Handle;
use serde_json::json;

use hemlockwind::core::Error;
use hemlockwind::core::Result;
use hemlockwind::core::attempt::Attempt;
use hemlockwind::core::config::Version;
use hemlockwind::core::edges::ListEntry;
use hemlockwind::core::edges::Object;
use hemlockwind::core::edges::ObjectVersion;
use hemlockwind::core::edges::Platform;
use hemlockwind::core::edges::Precondition;
use hemlockwind::core::edges::PutOutcome;
use hemlockwind::core::edges::WatchEvent;
use hemlockwind::daemon::Running;
use hemlockwind::daemon::configuration::accept;
use hemlockwind::daemon::instance::Edges;
use hemlockwind::daemon::sheet::apply;
use hemlockwind::daemon::start::start_with;
use hemlockwind::protocol::document::Document;
use hemlockwind::protocol::peer::Peer;
use hemlockwind::protocol::peer::Reply;
use hemlockwind::protocol::peer::Request;
use hemlockwind::settings::Settings;
use hemlockwind::telemetry::logs;

/// Maximum time until an accepted change is in force at all instances.
const MAX_IN_FORCE_TIME: Duration = Duration::from_secs(3);
/// The first port of a site, below the range from which the system assigns ports to clients.
const FIRST_PORT: u16 = 9_000;
/// The last part of the next site's address. It begins at 128, as the process tests, which may run
/// at the same time, count from 4.
static NEXT_SITE: AtomicU8 = AtomicU8::new(128);
/// The data centres, each with its number of instances.
const INSTANCES: [(&str, usize); 3] = [("kariakoo", 3), ("mikocheni", 3), ("temeke", 2)];

/// `PlatformLink` is a connection to the platform that can be cut.
struct PlatformLink {
    platform: Arc<dyn Platform>,
    is_cut: Arc<AtomicBool>,
}

impl PlatformLink {
    /// Returns an error while the connection is cut.
    fn check(&self) -> Result<()> {
        if self.is_cut.load(Ordering::SeqCst) {
            return Err(Error::platform_unavailable("cut"));
        }
        Ok(())
    }
}

#[async_trait]
impl Platform for PlatformLink {
    async fn get(&self, name: &str) -> Result<Option<Object>> {
        self.check()?;
        self.platform.get(name).await
    }

    async fn put(&self, name: &str, value: Bytes, when: Precondition) -> PutOutcome {
        match self.check() {
            Ok(()) => self.platform.put(name, value, when).await,
            Err(e) => PutOutcome::Refused(e),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Object>> {
        self.check()?;
        self.platform.list(prefix).await
    }

    async fn watch(
        &self,
        prefix: &str,
        from: ObjectVersion,
    ) -> Result<BoxStream<'static, Result<WatchEvent>>> {
        self.check()?;
        self.platform.watch(prefix, from).await
    }

    async fn instances(&self) -> Result<Vec<ListEntry>> {
        self.check()?;
        self.platform.instances().await
    }
}

/// `PeerLink` is a connection to the other instances. It can be cut between the last data centre
/// and the others.
struct PeerLink {
    peer: Arc<dyn Peer>,
    /// Whether this instance is in the last data centre.
    is_last: bool,
    /// The addresses of the instances of the last data centre.
    last: Vec<SocketAddr>,
    is_cut: Arc<AtomicBool>,
}

#[async_trait]
impl Peer for PeerLink {
    async fn call(&self, to: SocketAddr, req: Request) -> Result<Reply, (Attempt, Error)> {
        let crosses = self.is_last != self.last.contains(&to);
        if crosses && self.is_cut.load(Ordering::SeqCst) {
            return Err((Attempt::Unsent, Error::peer_unreachable("cut")));
        }
        self.peer.call(to, req).await
    }
}

/// `Site` holds a platform and 8 instances, all inside this process.
struct Site {
    platform: Handle<platform::Platform>,
    settings: Settings,
    instances: Vec<Running>,
    /// Whether the last data centre is cut off from the platform.
    is_last_cut_from_platform: Arc<AtomicBool>,
    /// Whether the last data centre is cut off from the other data centres.
    is_last_partitioned: Arc<AtomicBool>,
}

impl Site {
    /// Starts the site. Its last data centre is cut off from the platform if
    /// `is_last_cut_from_platform` is set.
    async fn start(is_last_cut_from_platform: bool) -> Self {
        let platform = platform::start(platform::Options::default()).await.unwrap();
        let settings = settings(platform.addr);
        let mut site = Self {
            platform,
            settings,
            instances: Vec::new(),
            is_last_cut_from_platform: Arc::new(AtomicBool::new(is_last_cut_from_platform)),
            is_last_partitioned: Arc::default(),
        };
        for i in 0..site.settings.instances.len() {
            let instance = site.start_instance(i).await;
            site.instances.push(instance);
        }
        site
    }

    /// Starts the instance at index `i` of the settings.
    async fn start_instance(&self, i: usize) -> Running {
        let me = self.settings.instances[i].clone();
        let mut edges = Edges::new(&self.settings, &me);
        if me.data_centre == INSTANCES[2].0 {
            edges.platform = Arc::new(PlatformLink {
                platform: edges.platform,
                is_cut: Arc::clone(&self.is_last_cut_from_platform),
            });
        }
        let configured = self.settings.instances.iter();
        let last = configured.filter(|instance| instance.data_centre == INSTANCES[2].0);
        edges.peer = Arc::new(PeerLink {
            peer: edges.peer,
            is_last: me.data_centre == INSTANCES[2].0,
            last: last.map(|instance| instance.peers).collect(),
            is_cut: Arc::clone(&self.is_last_partitioned),
        });
        let started = start_with(self.settings.clone(), me, edges, logs::discard());
        started.await.unwrap()
    }

    /// Submits a change of version `base` to the first instance and returns the version of the
    /// accepted change.
    async fn accept(&self, name: &str, base: Version) -> Result<Version> {
        accept(&self.instances[0].instance, &document(name), base, "asha").await
    }

    /// Waits until `version` is in force at all instances and returns how long that took.
    async fn wait_until_in_force(&self, version: Version) -> Duration {
        wait_until_in_force_at(&self.instances, version).await
    }
}

/// Waits until `version` is in force at these instances and returns how long that took.
async fn wait_until_in_force_at(instances: &[Running], version: Version) -> Duration {
    let begin = Instant::now();
    loop {
        let mut versions = instances.iter().map(version_of);
        if versions.all(|v| v == version) {
            return begin.elapsed();
        }
        let versions: Vec<_> = instances.iter().map(version_of).collect();
        assert!(
            begin.elapsed() < 2 * MAX_IN_FORCE_TIME,
            "{version:?} {versions:?}"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Returns the version in force at an instance.
fn version_of(running: &Running) -> Version {
    running.instance.config.load().version
}

/// Returns a document whose pipeline has this name.
fn document(name: &str) -> Document {
    let mut document = sample::document(&[]);
    document.pipelines[0].name = name.into();
    document
}

/// Returns an address of the loopback network that no other site uses, so that its ports
/// are free.
fn unique_ip() -> Ipv4Addr {
    let id = std::process::id().to_be_bytes();
    let number = NEXT_SITE.fetch_add(1, Ordering::SeqCst);
    Ipv4Addr::new(127, 64 + (id[2] & 0x3f), id[3], number)
}

/// Returns the settings of the 8 instances.
fn settings(platform: SocketAddr) -> Settings {
    let mut instances = Vec::new();
    let ip = unique_ip();
    for (data_centre, count) in INSTANCES {
        for n in 0..count {
            let next = FIRST_PORT + 3 * u16::try_from(instances.len()).unwrap();
            let [callers, peers, admin] = [0, 1, 2].map(|i| SocketAddr::from((ip, next + i)));
            instances.push(sample::Instance {
                name: format!("{data_centre}-{n}"),
                data_centre,
                callers,
                peers,
                admin,
            });
        }
    }
    Settings::parse(&sample::settings(platform, &instances, &json!({}))).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn accept_in_force_everywhere() {
    let site = Site::start(false).await;
    let mut version = Version(0);
    for name in ["one", "two", "three"] {
        version = site.accept(name, version).await.unwrap();
        assert!(site.wait_until_in_force(version).await <= MAX_IN_FORCE_TIME);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn accept_data_centre_cut_off_from_platform() {
    let site = Site::start(true).await;
    let one = site.accept("one", Version(0)).await.unwrap();
    assert!(site.wait_until_in_force(one).await <= MAX_IN_FORCE_TIME);
    let two = site.accept("two", one).await.unwrap();
    assert!(site.wait_until_in_force(two).await <= MAX_IN_FORCE_TIME);
    site.is_last_cut_from_platform
        .store(false, Ordering::SeqCst);
    // The change is not rolled back when the connection is restored.
    for _ in 0..20 {
        assert!(site.instances.iter().all(|i| version_of(i) == two));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn accept_data_centre_cut_off_from_all() {
    let site = Site::start(false).await;
    let one = site.accept("one", Version(0)).await.unwrap();
    site.wait_until_in_force(one).await;
    site.is_last_cut_from_platform.store(true, Ordering::SeqCst);
    site.is_last_partitioned.store(true, Ordering::SeqCst);
    let two = site.accept("two", one).await.unwrap();
    let (connected, last) = site.instances.split_at(6);
    assert!(wait_until_in_force_at(connected, two).await <= MAX_IN_FORCE_TIME);
    // Long enough for the data centre that is cut off to consider the others dead.
    tokio::time::sleep(MAX_IN_FORCE_TIME).await;
    assert!(
        last.iter()
            .all(|i| version_of(i) == one && i.instance.is_ready())
    );

    site.is_last_cut_from_platform
        .store(false, Ordering::SeqCst);
    site.is_last_partitioned.store(false, Ordering::SeqCst);
    assert!(site.wait_until_in_force(two).await <= MAX_IN_FORCE_TIME);
    let three = site.accept("three", two).await.unwrap();
    assert!(site.wait_until_in_force(three).await <= MAX_IN_FORCE_TIME);
}

#[tokio::test(flavor = "multi_thread")]
async fn accept_watch_drops_events() {
    let site = Site::start(false).await;
    let one = site.accept("one", Version(0)).await.unwrap();
    site.wait_until_in_force(one).await;
    site.platform.state.set_faults(Faults {
        watch_drop: 1_000,
        ..Faults::default()
    });
    let two = site.accept("two", one).await.unwrap();
    assert!(site.wait_until_in_force(two).await <= MAX_IN_FORCE_TIME);
}

#[tokio::test(flavor = "multi_thread")]
async fn accept_lost_answers() {
    let site = Site::start(false).await;
    site.platform.state.set_faults(Faults {
        lose_answers: 2,
        ..Faults::default()
    });
    // The writes took effect although their answers were lost, so the change is accepted, and
    // only once.
    let one = site.accept("one", Version(0)).await.unwrap();
    assert!(site.wait_until_in_force(one).await <= MAX_IN_FORCE_TIME);
    let conflict = site.accept("two", Version(0)).await.unwrap_err();
    assert!(matches!(conflict, Error::ConfigConflict(_)), "{conflict}");
}

#[tokio::test(flavor = "multi_thread")]
async fn accept_outage_returns_error() {
    let mut site = Site::start(false).await;
    let one = site.accept("one", Version(0)).await.unwrap();
    site.wait_until_in_force(one).await;
    site.platform.state.set_faults(Faults {
        outage: Some(Outage::Refuse),
        ..Faults::default()
    });
    let error = site.accept("two", one).await.unwrap_err();
    assert!(matches!(error, Error::PlatformUnavailable(_)), "{error}");
    assert!(site.instances.iter().all(|i| version_of(i) == one));

    // An instance that starts during the outage gets the configuration from its peers.
    let last = site.instances.len() - 1;
    site.instances.pop().unwrap().abort();
    site.settings.instances[last].callers.set_port(0);
    let begin = Instant::now();
    let fresh = loop {
        // The sockets of its predecessor may take a moment to close.
        let me = site.settings.instances[last].clone();
        let edges = Edges::new(&site.settings, &me);
        match start_with(site.settings.clone(), me, edges, logs::discard()).await {
            Ok(fresh) => break fresh,
            Err(e) => assert!(begin.elapsed() < MAX_IN_FORCE_TIME, "{e}"),
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    site.instances.push(fresh);
    assert!(site.wait_until_in_force(one).await <= MAX_IN_FORCE_TIME);
}

/// Returns a sheet for `day` with one pipeline.
fn sheet(day: &str, max_tokens: u32) -> Bytes {
    let pipeline = format!("{day};pipeline;usiku;swahili;{max_tokens}");
    format!("day;kind;name;model;max tokens\r\n{pipeline}\r\n{day};end;1;;\r\n").into()
}

/// Returns today's date in UTC, the time zone of the sample settings.
fn today() -> String {
    let now = jiff::Timestamp::now().to_zoned(jiff::tz::TimeZone::UTC);
    now.date().to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn sheet_in_force_once() {
    let site = Site::start(false).await;
    let one = site.accept("one", Version(0)).await.unwrap();
    site.wait_until_in_force(one).await;
    let instance = &site.instances[7].instance;
    let bytes = sheet(&today(), 300);

    let preview = apply(instance, &bytes, "asha", true).await.unwrap();
    assert_eq!(
        (preview.version, preview.changes.len()),
        (one, 2),
        "{preview:?}"
    );
    let applied = apply(instance, &bytes, "asha", false).await.unwrap();
    assert!(applied.version > one);
    assert_eq!(applied.changes, preview.changes);
    assert!(site.wait_until_in_force(applied.version).await <= MAX_IN_FORCE_TIME);

    // The same sheet, submitted to another instance, changes nothing.
    let other = &site.instances[0].instance;
    let again = apply(other, &bytes, "juma", false).await.unwrap();
    assert_eq!((again.version, again.changes.len()), (applied.version, 0));
    // A truncated sheet and a sheet for another day are refused completely.
    let truncated = bytes.slice(..bytes.len() / 2);
    let refused = apply(other, &truncated, "juma", false).await.unwrap_err();
    assert!(matches!(refused, Error::Sheet(_)), "{refused}");
    let old = apply(other, &sheet("2020-01-01", 1), "juma", false).await;
    assert!(matches!(old, Err(Error::SheetDay(_))), "{old:?}");
    assert!(
        site.instances
            .iter()
            .all(|i| version_of(i) == applied.version)
    );
}
