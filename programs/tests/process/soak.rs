//! A soak test: instances run as processes under load, while a seeded sequence of faults is
//! injected into them, the store and the backend servers. The guarantees are checked from what
//! callers and backend servers observe.
//!
//! `SOAK_SEEDS=A..B SOAK_SECONDS=S cargo nextest run -p hemlockwind-programs soak_`
//! runs other seeds and durations than CI.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hemlockwind_emulator::caller;
use hemlockwind_emulator::engine::Engine;
use hemlockwind_emulator::engine::Fault;
use hemlockwind_emulator::store::MAX_PAGE_OBJECTS;
use hemlockwind_emulator::store::Mode;
use hemlockwind_emulator::store::UNREADABLE;
use http::Method;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::fleet::Fleet;
use crate::site::eventually;

/// Number of instances.
const INSTANCES: usize = 4;
/// Number of callers of each kind of request at each instance.
const CALLERS: usize = 2;
/// The seeds that CI runs.
const SEEDS: [u64; 3] = [1, 2, 11];
/// Duration of each seed in CI, in seconds.
const SECONDS_PER_SEED: u64 = 10;
/// Number of events in the answer of a stream.
const EVENTS_PER_STREAM: u64 = 20;
/// How long a caller waits for a stream, as the platform's callers do.
const STREAM_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a caller waits for any other answer, as the platform's callers do.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Additional time in which a caller still reads an answer that arrives late.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between the platform's signal to stop and the moment when it kills the process.
const GRACE_TIME: Duration = Duration::from_secs(8);
/// Maximum time after the last fault until everything is served again, as the platform's rules
/// demand.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Characters of names that have a meaning in a URI, that no URI may hold, or that can't be read.
const ODD_NAMES: [char; 7] = ['&', '+', '#', '%', ' ', '\u{1}', UNREADABLE];

/// `InjectedFault` is a fault that the test injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedFault {
    /// An instance is paused for a time.
    Pause,
    /// An instance is killed and restarted.
    Kill,
    /// An instance is stopped as planned and restarted.
    Stop,
    /// The store refuses all calls for a time.
    StoreDown,
    /// The store executes writes for a time and answers none of them.
    StoreAnswersLost,
    /// An engine is dead for a time.
    EngineDead,
    /// A plain server loses its answers for a time.
    ServerLosesAnswers,
    /// A plain server answers for a time with the id of another attempt.
    ServerConfusesAnswers,
    /// The store discards its history of changes.
    StoreDiscardsHistory,
    /// All instances are killed and restarted.
    KillAll,
    /// Another writer fills a page of the list of servers with entries under odd names. They stay.
    OddEntries,
    /// Another writer leaves an entry with the address of each server. They stay.
    SharedAddresses,
    /// An instance is stopped as planned and restarted; the store executes the removal of its entry
    /// later.
    LateRemoval,
}

const INJECTED_FAULTS: [InjectedFault; 11] = [
    InjectedFault::Pause,
    InjectedFault::Kill,
    InjectedFault::KillAll,
    InjectedFault::OddEntries,
    InjectedFault::Stop,
    InjectedFault::StoreDown,
    InjectedFault::StoreAnswersLost,
    InjectedFault::EngineDead,
    InjectedFault::ServerLosesAnswers,
    InjectedFault::ServerConfusesAnswers,
    InjectedFault::StoreDiscardsHistory,
];

/// Faults that are drawn in addition, so that the sequence of the others stays the same for each seed.
const ADDITIONAL_FAULTS: [InjectedFault; 2] =
    [InjectedFault::SharedAddresses, InjectedFault::LateRemoval];
/// One in so many faults is followed by an additional one.
const ADDITIONAL_DIVISOR: u32 = 3;
/// How much later the store executes a late removal.
const REMOVAL_DELAY: Duration = Duration::from_secs(5);

/// `Kind` is a kind of request: a stream, an unsafe call, which may run only once, or a safe call,
/// which may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Stream,
    Unsafe,
    Safe,
}

/// `Outcome` is the result of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Outcome {
    /// The complete answer to this request.
    Complete,
    /// A response with a status other than success.
    Failed(StatusCode),
    /// No complete answer in time: the connection ended before or during the answer, or the caller
    /// gave up.
    Cut,
    /// An answer that violates a guarantee, and how.
    Wrong(String),
}

/// `RequestRecord` holds one request as its caller observed it.
#[derive(Clone, Debug)]
struct RequestRecord {
    attempt: String,
    kind: Kind,
    outcome: Outcome,
}

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Sends one request, reads its answer and returns the outcome.
async fn send(client: &HttpClient, addr: SocketAddr, kind: Kind, attempt: &str) -> Outcome {
    let (path, wait) = match kind {
        Kind::Stream => ("/notes/a", STREAM_TIMEOUT),
        Kind::Unsafe => ("/writes/a", CALL_TIMEOUT),
        Kind::Safe => ("/reads/a", CALL_TIMEOUT),
    };
    let req = caller::request(addr, path, attempt, wait, EVENTS_PER_STREAM).unwrap();
    let answer = async {
        let (parts, body) = client.request(req.map(Full::new)).await.ok()?.into_parts();
        let body = body.collect().await.ok().map(|b| b.to_bytes());
        Some((parts, body))
    };
    let answer = timeout(wait + LATE_ANSWER_TIMEOUT, answer).await;
    let Ok(Some((parts, body))) = answer else {
        return Outcome::Cut;
    };
    if !parts.status.is_success() {
        return Outcome::Failed(parts.status);
    }
    let Some(body) = body else {
        return Outcome::Cut;
    };
    let answered_attempt = caller::attempt(&parts.headers);
    if answered_attempt != Some(attempt) {
        return Outcome::Wrong(format!("the answer belongs to {answered_attempt:?}"));
    }
    let text = String::from_utf8_lossy(&body);
    let is_complete = match kind {
        Kind::Stream => {
            let ids = text
                .lines()
                .filter_map(|l| l.strip_prefix("id: ")?.parse::<u64>().ok());
            ids.eq(1..=EVENTS_PER_STREAM)
        }
        Kind::Unsafe | Kind::Safe => text == attempt,
    };
    match is_complete {
        true => Outcome::Complete,
        false => Outcome::Wrong(format!("the answer is not complete: {text}")),
    }
}

/// Sends request after request to one instance until `ended` is set, and returns records of them.
async fn call(
    name: String,
    addr: SocketAddr,
    kind: Kind,
    ended: Arc<AtomicBool>,
) -> Vec<RequestRecord> {
    let client: HttpClient = Client::builder(TokioExecutor::new()).build_http();
    let mut records = Vec::new();
    while !ended.load(Ordering::Relaxed) {
        let attempt = format!("{name}-{}", records.len());
        let outcome = send(&client, addr, kind, &attempt).await;
        if outcome != Outcome::Complete {
            // The caller ignores the `Retry-After` of a refusal, as the platform's rules allow.
            sleep(Duration::from_millis(50)).await;
        }
        records.push(RequestRecord {
            attempt,
            kind,
            outcome,
        });
    }
    records
}

/// Injects one of `faults`, waits until it is over and adds its description to `injected`.
async fn inject_fault(
    fleet: &mut Fleet,
    rng: &mut SmallRng,
    faults: &[InjectedFault],
    injected: &mut Vec<String>,
) {
    let index = rng.random_range(0..fleet.instances.len());
    let engine = rng.random_range(0..fleet.site.engines.len());
    let time = Duration::from_millis(rng.random_range(200..2_500));
    let fault = faults[rng.random_range(0..faults.len())];
    let name = &fleet.instances[index].name;
    injected.push(format!("{fault:?} {name} engine {engine} {time:?}"));
    let server = &fleet.site.servers[engine % fleet.site.servers.len()];
    match fault {
        InjectedFault::Pause => {
            fleet.instances[index].process.signal("STOP");
            sleep(time).await;
            fleet.instances[index].process.signal("CONT");
        }
        InjectedFault::Kill => {
            fleet.instances[index].process.kill();
            sleep(time / 4).await;
            fleet.instances[index].restart();
        }
        InjectedFault::Stop => stop_and_restart(fleet, index).await,
        InjectedFault::StoreDown => set_store_mode_for(fleet, Mode::Down, time).await,
        InjectedFault::StoreAnswersLost => set_store_mode_for(fleet, Mode::AnswersLost, time).await,
        InjectedFault::EngineDead => {
            set_fault_for(&fleet.site.engines[engine], Fault::Dead, time).await
        }
        InjectedFault::ServerLosesAnswers => set_fault_for(server, Fault::LosesAnswers, time).await,
        InjectedFault::ServerConfusesAnswers => {
            set_fault_for(server, Fault::WrongAttempt, time).await
        }
        InjectedFault::StoreDiscardsHistory => fleet.site.store.compact(),
        InjectedFault::KillAll => kill_and_restart_all(fleet, time / 4).await,
        InjectedFault::OddEntries => {
            let odd = ODD_NAMES[rng.random_range(0..ODD_NAMES.len())];
            for i in 0..MAX_PAGE_OBJECTS {
                // Before the names of the servers.
                let name = format!("a{odd}{i}");
                fleet.site.store.write("servers", &name, json!({}));
            }
        }
        InjectedFault::SharedAddresses => share_addresses(fleet),
        InjectedFault::LateRemoval => {
            fleet.site.store.delay_write(Method::DELETE, REMOVAL_DELAY);
            stop_and_restart(fleet, index).await;
        }
    }
    sleep(Duration::from_millis(rng.random_range(0..600))).await;
}

/// Writes an entry of another writer with the address of each server, after and before its own.
fn share_addresses(fleet: &Fleet) {
    let servers = fleet.site.engines.iter().chain(&fleet.site.servers);
    for server in servers {
        let entry = json!({ "service": "monitoring", "address": server.addr.to_string(),
            "zone": "elsewhere", "state": "ready" });
        for prefix in ["0-", "z-"] {
            let name = format!("{prefix}{}", server.name());
            fleet.site.store.write("servers", &name, entry.clone());
        }
    }
}

/// Sets how the store answers for the duration `time`.
async fn set_store_mode_for(fleet: &Fleet, mode: Mode, time: Duration) {
    fleet.site.store.set_mode(mode);
    sleep(time).await;
    fleet.site.store.set_mode(Mode::Up);
}

/// Makes a server deviate from the protocol for the duration `time`.
async fn set_fault_for(server: &Engine, fault: Fault, time: Duration) {
    server.set_fault(fault);
    sleep(time).await;
    server.set_fault(Fault::None);
}

/// Stops an instance as planned and restarts it.
async fn stop_and_restart(fleet: &mut Fleet, index: usize) {
    let instance = &mut fleet.instances[index];
    instance.process.signal("TERM");
    let status = instance.process.wait(GRACE_TIME).await;
    // The exit code is 1 if a request outlasted the grace time, but all requests here are shorter.
    assert_eq!(status.code(), Some(0), "{} cut requests", instance.name);
    instance.restart();
}

/// Kills all instances, waits for `time` and restarts them.
async fn kill_and_restart_all(fleet: &mut Fleet, time: Duration) {
    for instance in &mut fleet.instances {
        instance.process.kill();
    }
    sleep(time).await;
    for instance in &mut fleet.instances {
        instance.restart();
    }
}

/// Returns how often an attempt ran on all servers together.
fn runs(fleet: &Fleet, attempt: &str) -> u32 {
    let all = fleet.site.engines.iter().chain(&fleet.site.servers);
    all.map(|s| s.runs(attempt)).sum()
}

/// Returns a description of each guarantee that was violated for one of the requests.
fn violations(fleet: &Fleet, records: &[RequestRecord]) -> Vec<String> {
    let mut violations = Vec::new();
    for record in records {
        let runs = runs(fleet, &record.attempt);
        if record.kind == Kind::Unsafe && runs > 1 {
            violations.push(format!("{record:?} ran {runs} times"));
        }
        let says_not_run = match &record.outcome {
            Outcome::Failed(status) => matches!(status.as_u16(), 408 | 421 | 429 | 503),
            Outcome::Complete | Outcome::Cut | Outcome::Wrong(_) => false,
        };
        if record.kind == Kind::Unsafe && says_not_run && runs > 0 {
            violations.push(format!(
                "{record:?} ran although its status says that it did not"
            ));
        }
        if let Outcome::Wrong(why) = &record.outcome {
            violations.push(format!("{}: {why}", record.attempt));
        }
    }
    violations
}

/// Runs the test with one seed.
async fn run_seed(seed: u64, seconds: u64) {
    let mut fleet = Fleet::start(&format!("soak-{seed}"), INSTANCES).await;
    let mut rng = SmallRng::seed_from_u64(seed);
    let ended = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for (i, instance) in fleet.instances.iter().enumerate() {
        for kind in [Kind::Stream, Kind::Unsafe, Kind::Safe] {
            for n in 0..CALLERS {
                let name = format!("{seed}-{i}-{kind:?}-{n}");
                callers.spawn(call(name, instance.callers, kind, Arc::clone(&ended)));
            }
        }
    }
    let until = Instant::now() + Duration::from_secs(seconds);
    let mut injected = Vec::new();
    let mut additional_rng = SmallRng::seed_from_u64(!seed);
    while Instant::now() < until {
        inject_fault(&mut fleet, &mut rng, &INJECTED_FAULTS, &mut injected).await;
        if additional_rng.random_ratio(1, ADDITIONAL_DIVISOR) {
            let faults = &ADDITIONAL_FAULTS;
            inject_fault(&mut fleet, &mut additional_rng, faults, &mut injected).await;
        }
    }
    let client: HttpClient = Client::builder(TokioExecutor::new()).build_http();
    let number = std::sync::atomic::AtomicU32::new(0);
    let all_served = async || {
        for instance in &fleet.instances {
            for kind in [Kind::Stream, Kind::Unsafe, Kind::Safe] {
                let n = number.fetch_add(1, Ordering::Relaxed);
                let attempt = format!("{seed}-after-{n}");
                if send(&client, instance.callers, kind, &attempt).await != Outcome::Complete {
                    return false;
                }
            }
        }
        true
    };
    let what = format!("seed {seed}: all requests are served after {injected:?}");
    eventually(&what, MAX_RECOVERY_TIME, all_served).await;
    ended.store(true, Ordering::Relaxed);
    let records: Vec<RequestRecord> = callers.join_all().await.into_iter().flatten().collect();
    let complete = records
        .iter()
        .filter(|r| r.outcome == Outcome::Complete)
        .count();
    println!(
        "seed {seed}: {} requests, {complete} served, {} faults injected",
        records.len(),
        injected.len()
    );
    let violations = violations(&fleet, &records);
    assert!(
        violations.is_empty(),
        "seed {seed}: {violations:?} after {injected:?}"
    );
    assert!(
        complete * 4 > records.len(),
        "seed {seed}: {complete} of {} served",
        records.len()
    );
    // The logs are removed only if all checks passed.
    std::fs::remove_dir_all(&fleet.dir).unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn soak_keeps_guarantees() {
    let seconds = std::env::var("SOAK_SECONDS").ok();
    let seconds = seconds.map_or(SECONDS_PER_SEED, |s| s.parse().expect("whole seconds"));
    let seeds = std::env::var("SOAK_SEEDS").ok();
    let seeds: Vec<u64> = seeds.map_or(SEEDS.to_vec(), |s| {
        let (from, to) = s.split_once("..").expect("seeds as FROM..TO");
        (from.parse().unwrap()..to.parse().unwrap()).collect()
    });
    for seed in seeds {
        run_seed(seed, seconds).await;
    }
}
