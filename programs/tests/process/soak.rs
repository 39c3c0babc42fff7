//! A soak: instances as processes under load, while a seeded series of faults strikes
//! them, the store and the backend servers from outside. The promises are checked from
//! what callers and backend servers see.
//!
//! `SOAK_SEEDS=A..B SOAK_SECONDS=S cargo nextest run -p hemlockwind-programs soak_`
//! plays others than CI's.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hemlockwind_emulator::caller;
use hemlockwind_emulator::engine::Engine;
use hemlockwind_emulator::engine::Fault;
use hemlockwind_emulator::store::Mode;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::fleet::Fleet;
use crate::site::eventually;

/// Instances of the deployment.
const INSTANCES: usize = 4;
/// Callers of each kind at each instance.
const CALLERS: usize = 2;
/// Seeds and seconds that CI plays.
const SEEDS: std::ops::Range<u64> = 1..3;
const SECONDS: u64 = 10;
/// Events of a stream's answer.
const EVENTS: u64 = 20;
/// Time that callers wait, as the platform's callers do.
const STREAM_TIME: Duration = Duration::from_secs(5);
const CALL_TIME: Duration = Duration::from_millis(1_500);
/// Time after that in which a caller still reads an answer that comes late.
const LEAVES_AFTER: Duration = Duration::from_secs(1);
/// Time in which the platform lets a process end.
const GRACE: Duration = Duration::from_secs(8);
/// Time after the last fault in which everything is served again: the bound of the rules.
const RECOVERY: Duration = Duration::from_secs(12);

/// `Strike` is one fault from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Strike {
    /// An instance is paused for a time.
    Pause,
    /// An instance is killed and started again.
    Kill,
    /// An instance is stopped as planned and started again.
    Stop,
    /// The store refuses all calls for a time.
    StoreDown,
    /// The store carries writes out and answers none of them for a time.
    StoreAnswersLost,
    /// An engine is dead for a time.
    EngineDead,
    /// A plain server loses its answers for a time.
    ServerLosesAnswers,
    /// A plain server answers with the name of another attempt for a time.
    ServerCrossesAnswers,
    /// The store forgets its history.
    StoreForgets,
}

const STRIKES: [Strike; 9] = [
    Strike::Pause,
    Strike::Kill,
    Strike::Stop,
    Strike::StoreDown,
    Strike::StoreAnswersLost,
    Strike::EngineDead,
    Strike::ServerLosesAnswers,
    Strike::ServerCrossesAnswers,
    Strike::StoreForgets,
];

/// `Kind` is a kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Stream,
    Unsafe,
    Safe,
}

/// What became of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Outcome {
    /// A whole answer that is the caller's own.
    Whole,
    /// A status of failure.
    Failed(StatusCode),
    /// The connection ended, before or in the answer.
    Cut,
    /// An answer that breaks a promise, and why.
    Wrong(String),
}

/// One request as its caller saw it.
#[derive(Clone, Debug)]
struct Seen {
    attempt: String,
    kind: Kind,
    outcome: Outcome,
}

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Sends one request and reads its answer.
async fn send(client: &HttpClient, addr: SocketAddr, kind: Kind, attempt: &str) -> Outcome {
    let (path, wait) = match kind {
        Kind::Stream => ("/notes/a", STREAM_TIME),
        Kind::Unsafe => ("/writes/a", CALL_TIME),
        Kind::Safe => ("/reads/a", CALL_TIME),
    };
    let req = caller::request(addr, path, attempt, wait, EVENTS).unwrap();
    let answer = async {
        let (parts, body) = client.request(req.map(Full::new)).await.ok()?.into_parts();
        let body = body.collect().await.ok().map(|b| b.to_bytes());
        Some((parts, body))
    };
    let answer = timeout(wait + LEAVES_AFTER, answer).await;
    let Ok(Some((parts, body))) = answer else {
        return Outcome::Cut;
    };
    if !parts.status.is_success() {
        return Outcome::Failed(parts.status);
    }
    let Some(body) = body else {
        return Outcome::Cut;
    };
    let named = caller::attempt(&parts.headers);
    if named != Some(attempt) {
        return Outcome::Wrong(format!("the answer of {named:?}"));
    }
    let text = String::from_utf8_lossy(&body);
    let is_whole = match kind {
        Kind::Stream => {
            let ids = text
                .lines()
                .filter_map(|l| l.strip_prefix("id: ")?.parse::<u64>().ok());
            ids.eq(1..=EVENTS)
        }
        Kind::Unsafe | Kind::Safe => text == attempt,
    };
    match is_whole {
        true => Outcome::Whole,
        false => Outcome::Wrong(format!("not the whole answer: {text}")),
    }
}

/// Sends request after request to one instance until `ended`.
async fn call(name: String, addr: SocketAddr, kind: Kind, ended: Arc<AtomicBool>) -> Vec<Seen> {
    let client: HttpClient = Client::builder(TokioExecutor::new()).build_http();
    let mut seen = Vec::new();
    while !ended.load(Ordering::Relaxed) {
        let attempt = format!("{name}-{}", seen.len());
        let outcome = send(&client, addr, kind, &attempt).await;
        if outcome != Outcome::Whole {
            // The time of a refusal is not waited for: callers of the rules are as bold.
            sleep(Duration::from_millis(50)).await;
        }
        seen.push(Seen {
            attempt,
            kind,
            outcome,
        });
    }
    seen
}

/// Strikes once, and waits until what it did is over.
async fn strike_once(fleet: &mut Fleet, rng: &mut SmallRng, log: &mut Vec<String>) {
    let at = rng.random_range(0..fleet.instances.len());
    let engine = rng.random_range(0..fleet.site.engines.len());
    let time = Duration::from_millis(rng.random_range(200..2_500));
    let strike = STRIKES[rng.random_range(0..STRIKES.len())];
    let name = &fleet.instances[at].name;
    log.push(format!("{strike:?} {name} engine {engine} {time:?}"));
    let server = &fleet.site.servers[engine % fleet.site.servers.len()];
    match strike {
        Strike::Pause => {
            fleet.instances[at].process.signal("STOP");
            sleep(time).await;
            fleet.instances[at].process.signal("CONT");
        }
        Strike::Kill => {
            fleet.instances[at].process.kill();
            sleep(time / 4).await;
            fleet.instances[at].restart();
        }
        Strike::Stop => stop(fleet, at).await,
        Strike::StoreDown => store(fleet, Mode::Down, time).await,
        Strike::StoreAnswersLost => store(fleet, Mode::AnswersLost, time).await,
        Strike::EngineDead => fault(&fleet.site.engines[engine], Fault::Dead, time).await,
        Strike::ServerLosesAnswers => fault(server, Fault::LosesAnswers, time).await,
        Strike::ServerCrossesAnswers => fault(server, Fault::WrongAttempt, time).await,
        Strike::StoreForgets => fleet.site.store.compact(),
    }
    sleep(Duration::from_millis(rng.random_range(0..600))).await;
}

async fn store(fleet: &Fleet, mode: Mode, time: Duration) {
    fleet.site.store.set_mode(mode);
    sleep(time).await;
    fleet.site.store.set_mode(Mode::Up);
}

async fn fault(server: &Engine, fault: Fault, time: Duration) {
    server.set_fault(fault);
    sleep(time).await;
    server.set_fault(Fault::None);
}

/// Stops an instance as planned, and starts it again.
async fn stop(fleet: &mut Fleet, at: usize) {
    let instance = &mut fleet.instances[at];
    instance.process.signal("TERM");
    let status = instance.process.wait(GRACE).await;
    // 1 says that a request outlasted the grace time; all of these are shorter.
    assert_eq!(status.code(), Some(0), "{} cut requests", instance.name);
    instance.restart();
}

/// How often an attempt ran, over all servers.
fn runs(fleet: &Fleet, attempt: &str) -> u32 {
    let all = fleet.site.engines.iter().chain(&fleet.site.servers);
    all.map(|s| s.runs(attempt)).sum()
}

/// The promises that the requests broke.
fn broken(fleet: &Fleet, seen: &[Seen]) -> Vec<String> {
    let mut broken = Vec::new();
    for one in seen {
        let runs = runs(fleet, &one.attempt);
        if one.kind == Kind::Unsafe && runs > 1 {
            broken.push(format!("{one:?} ran {runs} times"));
        }
        let promises_not_run = match &one.outcome {
            Outcome::Failed(status) => matches!(status.as_u16(), 408 | 421 | 429 | 503),
            Outcome::Whole | Outcome::Cut | Outcome::Wrong(_) => false,
        };
        if one.kind == Kind::Unsafe && promises_not_run && runs > 0 {
            broken.push(format!("{one:?} is said not to have run and ran"));
        }
        if let Outcome::Wrong(why) = &one.outcome {
            broken.push(format!("{}: {why}", one.attempt));
        }
    }
    broken
}

/// Plays one seed.
async fn play(seed: u64, seconds: u64) {
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
    let mut strikes = Vec::new();
    while Instant::now() < until {
        strike_once(&mut fleet, &mut rng, &mut strikes).await;
    }
    let client: HttpClient = Client::builder(TokioExecutor::new()).build_http();
    let number = std::sync::atomic::AtomicU32::new(0);
    let is_served = async || {
        for instance in &fleet.instances {
            for kind in [Kind::Stream, Kind::Unsafe, Kind::Safe] {
                let n = number.fetch_add(1, Ordering::Relaxed);
                let attempt = format!("{seed}-after-{n}");
                if send(&client, instance.callers, kind, &attempt).await != Outcome::Whole {
                    return false;
                }
            }
        }
        true
    };
    let what = format!("seed {seed}: all served after {strikes:?}");
    eventually(&what, RECOVERY, is_served).await;
    ended.store(true, Ordering::Relaxed);
    let seen: Vec<Seen> = callers.join_all().await.into_iter().flatten().collect();
    let whole = seen.iter().filter(|s| s.outcome == Outcome::Whole).count();
    println!(
        "seed {seed}: {} requests, {whole} served, {} strikes",
        seen.len(),
        strikes.len()
    );
    let broken = broken(&fleet, &seen);
    assert!(
        broken.is_empty(),
        "seed {seed}: {broken:?} after {strikes:?}"
    );
    assert!(
        whole * 4 > seen.len(),
        "seed {seed}: {whole} of {} served",
        seen.len()
    );
    // Logs are kept where something failed.
    std::fs::remove_dir_all(&fleet.dir).unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn soak_keeps_the_promises() {
    let seconds = std::env::var("SOAK_SECONDS").ok();
    let seconds = seconds.map_or(SECONDS, |s| s.parse().expect("whole seconds"));
    let seeds = std::env::var("SOAK_SEEDS").ok().map_or(SEEDS, |s| {
        let (from, to) = s.split_once("..").expect("seeds as FROM..TO");
        from.parse().unwrap()..to.parse().unwrap()
    });
    for seed in seeds {
        play(seed, seconds).await;
    }
}
