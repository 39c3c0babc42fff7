//! Accepted configurations and sheets: in force at 8 instances in 3 data centres
//! within 3 s, through cuts and outages of the platform, and never taken back.

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
use hemlockwind::daemon::sheet::take;
use hemlockwind::daemon::start::start_with;
use hemlockwind::protocol::document::Document;
use hemlockwind::protocol::peer::Peer;
use hemlockwind::protocol::peer::Reply;
use hemlockwind::protocol::peer::Request;
use hemlockwind::settings::Settings;
use hemlockwind::telemetry::logs;

/// The time in which an accepted change is in force everywhere.
const BOUND: Duration = Duration::from_secs(3);
/// The first port of a site; below those that the system gives to clients.
const FIRST_PORT: u16 = 9_000;
/// The last part of the next site's address; the sites of processes count from 1.
static SITES: AtomicU8 = AtomicU8::new(128);
/// Instances of each data centre.
const INSTANCES: [(&str, usize); 3] = [("kariakoo", 3), ("mikocheni", 3), ("temeke", 2)];

/// `Link` is the way to the platform, which can be cut.
struct Link {
    platform: Arc<dyn Platform>,
    is_cut: Arc<AtomicBool>,
}

impl Link {
    /// An error while the link is cut.
    fn check(&self) -> Result<()> {
        if self.is_cut.load(Ordering::SeqCst) {
            return Err(Error::platform_unavailable("cut"));
        }
        Ok(())
    }
}

#[async_trait]
impl Platform for Link {
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

/// `Cut` is the way to other instances, which can be cut between the last data
/// centre and the others.
struct Cut {
    peer: Arc<dyn Peer>,
    /// Whether this instance stands in the last data centre.
    is_last: bool,
    /// The addresses of the instances of the last data centre.
    last: Vec<SocketAddr>,
    is_cut: Arc<AtomicBool>,
}

#[async_trait]
impl Peer for Cut {
    async fn call(&self, to: SocketAddr, req: Request) -> Result<Reply, (Attempt, Error)> {
        let crosses = self.is_last != self.last.contains(&to);
        if crosses && self.is_cut.load(Ordering::SeqCst) {
            return Err((Attempt::Unsent, Error::peer_unreachable("cut")));
        }
        self.peer.call(to, req).await
    }
}

/// `Site` is a platform and 8 instances inside this process.
struct Site {
    platform: Handle<platform::Platform>,
    settings: Settings,
    instances: Vec<Running>,
    /// Cuts the last data centre from the platform.
    last_is_cut: Arc<AtomicBool>,
    /// Cuts the last data centre from the other ones.
    last_is_alone: Arc<AtomicBool>,
}

impl Site {
    /// Starts the site, with the last data centre cut from the platform or not.
    async fn start(last_is_cut: bool) -> Self {
        let platform = platform::start(platform::Options::default()).await.unwrap();
        let settings = settings(platform.addr);
        let mut site = Self {
            platform,
            settings,
            instances: Vec::new(),
            last_is_cut: Arc::new(AtomicBool::new(last_is_cut)),
            last_is_alone: Arc::default(),
        };
        for i in 0..site.settings.instances.len() {
            let instance = site.begin(i).await;
            site.instances.push(instance);
        }
        site
    }

    /// Starts the instance of this place in the settings.
    async fn begin(&self, i: usize) -> Running {
        let me = self.settings.instances[i].clone();
        let mut edges = Edges::new(&self.settings, &me);
        if me.data_centre == INSTANCES[2].0 {
            edges.platform = Arc::new(Link {
                platform: edges.platform,
                is_cut: Arc::clone(&self.last_is_cut),
            });
        }
        let named = self.settings.instances.iter();
        let last = named.filter(|of| of.data_centre == INSTANCES[2].0);
        edges.peer = Arc::new(Cut {
            peer: edges.peer,
            is_last: me.data_centre == INSTANCES[2].0,
            last: last.map(|of| of.peers).collect(),
            is_cut: Arc::clone(&self.last_is_alone),
        });
        let started = start_with(self.settings.clone(), me, edges, logs::discard());
        started.await.unwrap()
    }

    /// Has a change accepted at the first instance.
    async fn accept(&self, name: &str, base: Version) -> Result<Version> {
        accept(&self.instances[0].instance, &document(name), base, "asha").await
    }

    /// Waits until `version` is in force everywhere; gives the time that it took.
    async fn in_force(&self, version: Version) -> Duration {
        in_force_at(&self.instances, version).await
    }
}

/// Waits until `version` is in force at these instances; gives the time that it took.
async fn in_force_at(instances: &[Running], version: Version) -> Duration {
    let begin = Instant::now();
    loop {
        let mut versions = instances.iter().map(version_of);
        if versions.all(|v| v == version) {
            return begin.elapsed();
        }
        let versions: Vec<_> = instances.iter().map(version_of).collect();
        assert!(begin.elapsed() < 2 * BOUND, "{version:?} {versions:?}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// The version in force at an instance.
fn version_of(running: &Running) -> Version {
    running.instance.config.load().version
}

/// A document that differs by the pipeline's name.
fn document(name: &str) -> Document {
    let mut document = sample::document(&[]);
    document.pipelines[0].name = name.into();
    document
}

/// An address of the loopback network that no other site uses, so that its ports
/// are free.
fn own_ip() -> Ipv4Addr {
    let id = std::process::id().to_be_bytes();
    let number = SITES.fetch_add(1, Ordering::SeqCst);
    Ipv4Addr::new(127, 64 + (id[2] & 0x3f), id[3], number)
}

/// The settings of 8 instances.
fn settings(platform: SocketAddr) -> Settings {
    let mut instances = Vec::new();
    let ip = own_ip();
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
async fn accept_all_in_force() {
    let site = Site::start(false).await;
    let mut version = Version(0);
    for name in ["one", "two", "three"] {
        version = site.accept(name, version).await.unwrap();
        assert!(site.in_force(version).await <= BOUND);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn accept_data_centre_cut_from_platform() {
    let site = Site::start(true).await;
    let one = site.accept("one", Version(0)).await.unwrap();
    assert!(site.in_force(one).await <= BOUND);
    let two = site.accept("two", one).await.unwrap();
    assert!(site.in_force(two).await <= BOUND);
    site.last_is_cut.store(false, Ordering::SeqCst);
    // Healing takes nothing back.
    for _ in 0..20 {
        assert!(site.instances.iter().all(|i| version_of(i) == two));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn accept_data_centre_cut_from_all() {
    let site = Site::start(false).await;
    let one = site.accept("one", Version(0)).await.unwrap();
    site.in_force(one).await;
    site.last_is_cut.store(true, Ordering::SeqCst);
    site.last_is_alone.store(true, Ordering::SeqCst);
    let two = site.accept("two", one).await.unwrap();
    let (near, last) = site.instances.split_at(6);
    assert!(in_force_at(near, two).await <= BOUND);
    // Long enough for the cut data centre to take the others for dead.
    tokio::time::sleep(BOUND).await;
    assert!(
        last.iter()
            .all(|i| version_of(i) == one && i.instance.is_ready())
    );

    site.last_is_cut.store(false, Ordering::SeqCst);
    site.last_is_alone.store(false, Ordering::SeqCst);
    assert!(site.in_force(two).await <= BOUND);
    let three = site.accept("three", two).await.unwrap();
    assert!(site.in_force(three).await <= BOUND);
}

#[tokio::test(flavor = "multi_thread")]
async fn accept_watch_drops_events() {
    let site = Site::start(false).await;
    let one = site.accept("one", Version(0)).await.unwrap();
    site.in_force(one).await;
    site.platform.state.set_faults(Faults {
        watch_drop: 1_000,
        ..Faults::default()
    });
    let two = site.accept("two", one).await.unwrap();
    assert!(site.in_force(two).await <= BOUND);
}

#[tokio::test(flavor = "multi_thread")]
async fn accept_lost_answers() {
    let site = Site::start(false).await;
    site.platform.state.set_faults(Faults {
        lose_answers: 2,
        ..Faults::default()
    });
    // Its effect came about, so it is accepted, and once only.
    let one = site.accept("one", Version(0)).await.unwrap();
    assert!(site.in_force(one).await <= BOUND);
    let conflict = site.accept("two", Version(0)).await.unwrap_err();
    assert!(matches!(conflict, Error::ConfigConflict(_)), "{conflict}");
}

#[tokio::test(flavor = "multi_thread")]
async fn accept_outage_is_told() {
    let mut site = Site::start(false).await;
    let one = site.accept("one", Version(0)).await.unwrap();
    site.in_force(one).await;
    site.platform.state.set_faults(Faults {
        outage: Some(Outage::Refuse),
        ..Faults::default()
    });
    let error = site.accept("two", one).await.unwrap_err();
    assert!(matches!(error, Error::PlatformUnavailable(_)), "{error}");
    assert!(site.instances.iter().all(|i| version_of(i) == one));

    // An instance that starts in the outage takes the configuration of its peers.
    let last = site.instances.len() - 1;
    site.instances.pop().unwrap().abort();
    site.settings.instances[last].callers.set_port(0);
    let begin = Instant::now();
    let fresh = loop {
        // The sockets of the instance before it may take a moment to close.
        let me = site.settings.instances[last].clone();
        let edges = Edges::new(&site.settings, &me);
        match start_with(site.settings.clone(), me, edges, logs::discard()).await {
            Ok(fresh) => break fresh,
            Err(e) => assert!(begin.elapsed() < BOUND, "{e}"),
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    site.instances.push(fresh);
    assert!(site.in_force(one).await <= BOUND);
}

/// A sheet for `day` with one pipeline.
fn sheet(day: &str, max_tokens: u32) -> Bytes {
    let pipeline = format!("{day};pipeline;usiku;swahili;{max_tokens}");
    format!("day;kind;name;model;max tokens\r\n{pipeline}\r\n{day};end;1;;\r\n").into()
}

/// Today by UTC, which the sample's settings follow.
fn today() -> String {
    let now = jiff::Timestamp::now().to_zoned(jiff::tz::TimeZone::UTC);
    now.date().to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn sheet_in_force_once() {
    let site = Site::start(false).await;
    let one = site.accept("one", Version(0)).await.unwrap();
    site.in_force(one).await;
    let instance = &site.instances[7].instance;
    let bytes = sheet(&today(), 300);

    let dry = take(instance, &bytes, "asha", true).await.unwrap();
    assert_eq!((dry.version, dry.changes.len()), (one, 2), "{dry:?}");
    let taken = take(instance, &bytes, "asha", false).await.unwrap();
    assert!(taken.version > one);
    assert_eq!(taken.changes, dry.changes);
    assert!(site.in_force(taken.version).await <= BOUND);

    // The same sheet at another instance is no change.
    let other = &site.instances[0].instance;
    let again = take(other, &bytes, "juma", false).await.unwrap();
    assert_eq!((again.version, again.changes.len()), (taken.version, 0));
    // Half of it, another day's and a broken one are refused whole.
    let half = bytes.slice(..bytes.len() / 2);
    let refused = take(other, &half, "juma", false).await.unwrap_err();
    assert!(matches!(refused, Error::Sheet(_)), "{refused}");
    let old = take(other, &sheet("2020-01-01", 1), "juma", false).await;
    assert!(matches!(old, Err(Error::SheetDay(_))), "{old:?}");
    assert!(
        site.instances
            .iter()
            .all(|i| version_of(i) == taken.version)
    );
}
