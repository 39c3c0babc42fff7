//! Loans run at most once, and what callers are told of them is true.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures::StreamExt as _;
use hemlockwind_standin::caller::Caller;
use hemlockwind_standin::caller::Failure;
use hemlockwind_standin::service::RunRecord;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;
use uuid::Uuid;

use crate::site::Site;
use crate::site::eventually;
use crate::site::get;
use crate::site::set;

const PATH: &str = "/v1/services/ledger/loans";
/// Instances of the site, two of them in the home data centre.
const INSTANCES: u8 = 4;
/// Callers that send loan after loan.
const CALLERS: usize = 8;
/// Times that a caller sends a loan, each through another instance.
const TRIES: usize = 3;
/// How long slots may take to have an owner after the start.
const START: Duration = Duration::from_secs(30);
/// How long a caller waits before it sends a loan through another instance.
const WAIT_LIMIT: Duration = Duration::from_secs(1);
/// How long the slots of an instance that died may stay without an owner: their
/// leases of 20 s, 2 s until others see the death, two calls to the platform at
/// intervals of 1 s, and 6 s for a busy machine.
const TAKEOVER: Duration = Duration::from_secs(30);
/// Loans that together meet nearly all slots.
const PROBES: usize = 128;
/// Time before, in and after a failure.
const PHASE: Duration = Duration::from_millis(1_500);

/// `Told` is what a caller is told of a loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    /// It ran, as this entry of the service.
    Entry(u64),
    /// Nothing was run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// `Loan` is a loan with all that its caller was told, try by try.
struct Loan {
    key: String,
    body: String,
    told: Vec<Told>,
}

/// A key that tells its time, or one that doesn't.
fn key(number: usize) -> String {
    if number.is_multiple_of(2) {
        Uuid::now_v7().to_string()
    } else {
        format!("loan-{}", Uuid::new_v4())
    }
}

/// Sends a loan. Whoever waits too long gives up, but the call goes on.
async fn lend(caller: &Caller, key: &str, body: &str) -> Told {
    let (caller, key, body) = (caller.clone(), key.to_owned(), body.to_owned());
    let call = tokio::spawn(async move {
        let headers = [("idempotency-key", key.as_str())];
        caller.call("POST", PATH, &headers, body.into()).await
    });
    match tokio::time::timeout(WAIT_LIMIT, call).await {
        Ok(answer) => told(answer.unwrap()),
        Err(_) => Told::Unknown,
    }
}

fn told(answer: Result<(StatusCode, Bytes), Failure>) -> Told {
    let (status, answer) = match answer {
        Ok(answer) => answer,
        Err(Failure::Refused) => return Told::NotRun,
        Err(Failure::Cut(_) | Failure::Status(..)) => return Told::Unknown,
    };
    let answer: Value = serde_json::from_slice(&answer).unwrap();
    if status.is_success() {
        return Told::Entry(answer["entry"].as_u64().unwrap());
    }
    match answer["ran"].as_str() {
        Some("no") => Told::NotRun,
        Some("unknown") => Told::Unknown,
        _ => panic!("{status}: {answer}"),
    }
}

/// How often each loan really ran, by its body.
async fn counts(site: &Site) -> HashMap<String, u64> {
    let ran: RunRecord = get(site.service_addr, "/_standin/ran").await;
    let mut counts = HashMap::new();
    for count in ran.calls {
        *counts.entry(count.call.body).or_default() += count.count;
    }
    counts
}

/// Starts a site whose slots have owners.
async fn start(name: &str) -> Site {
    let site = Site::start_with(name, INSTANCES).await;
    for (index, instance) in site.instances.iter().enumerate() {
        eventually("loans are served", START, || async move {
            let body = format!("first {}", Uuid::new_v4());
            let told = lend(&instance.caller, &key(index), &body).await;
            matches!(told, Told::Entry(_))
        })
        .await;
    }
    site
}

/// Sends loans through all instances until `stop`; a loan that was not answered
/// is sent again with its key through another instance.
fn send_loans(site: &Site, stop: &Arc<AtomicBool>) -> JoinSet<Vec<Loan>> {
    let callers: Vec<_> = site.instances.iter().map(|i| i.caller.clone()).collect();
    let mut tasks = JoinSet::new();
    for n in 0..CALLERS {
        let callers = callers.clone();
        let stop = Arc::clone(stop);
        tasks.spawn(async move {
            let mut loans = Vec::new();
            while !stop.load(Ordering::Relaxed) {
                let number = loans.len();
                let key = key(number);
                let body = format!("loan {n} {number}");
                let mut told = Vec::new();
                for turn in 0..TRIES {
                    let caller = &callers[(n + number + turn) % callers.len()];
                    told.push(lend(caller, &key, &body).await);
                    if matches!(told.last(), Some(Told::Entry(_))) {
                        break;
                    }
                }
                loans.push(Loan { key, body, told });
            }
            loans
        });
    }
    tasks
}

/// Whether loans of nearly all slots are served within the time of a takeover.
async fn all_served(caller: &Caller) -> bool {
    let deadline = Instant::now() + TAKEOVER;
    while Instant::now() < deadline {
        let probes = (0..PROBES).map(|number| async move {
            let body = format!("probe {}", Uuid::new_v4());
            matches!(lend(caller, &key(number), &body).await, Told::Entry(_))
        });
        let probes = futures::future::join_all(probes).await;
        if probes.into_iter().all(|served| served) {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    false
}

/// Sends each loan without an answer once more, after the time of a takeover.
async fn come_back(caller: &Caller, loans: &mut [Loan]) {
    let served = all_served(caller).await;
    println!("loans of all slots are served: {served}");
    let open = loans
        .iter_mut()
        .filter(|loan| !matches!(loan.told.last(), Some(Told::Entry(_))));
    let sent = open.map(|loan| async {
        let told = lend(caller, &loan.key, &loan.body).await;
        loan.told.push(told);
    });
    futures::stream::iter(sent)
        .buffer_unordered(CALLERS)
        .collect::<()>()
        .await;
}

/// Checks what was told against what ran, when callers have come back by `caller`.
async fn check(name: &str, site: &Site, caller: &Caller, tasks: JoinSet<Vec<Loan>>) {
    let mut loans = tasks
        .join_all()
        .await
        .into_iter()
        .flatten()
        .collect::<Vec<_>>();
    let in_time = loans
        .iter()
        .filter(|loan| matches!(loan.told.last(), Some(Told::Entry(_))));
    let in_time = in_time.count();
    come_back(caller, &mut loans).await;
    // What is still on its way runs now or never.
    tokio::time::sleep(PHASE).await;
    let counts = counts(site).await;
    let mut answered = 0;
    for loan in &loans {
        let count = counts.get(&loan.body).copied().unwrap_or_default();
        assert!(
            count <= 1,
            "{} with key {} ran {count} times: {:?}",
            loan.body,
            loan.key,
            loan.told
        );
        if loan.told.iter().all(|told| *told == Told::NotRun) {
            assert_eq!(count, 0, "{}: {:?}", loan.body, loan.told);
        }
        if let Some(Told::Entry(_)) = loan.told.last() {
            assert_eq!(count, 1, "{}: {:?}", loan.body, loan.told);
            answered += 1;
        }
    }
    println!(
        "{name}: {} loans, {in_time} answered within {TRIES} tries, {answered} after coming back",
        loans.len()
    );
    assert!(in_time > 0);
}

#[tokio::test]
async fn loan_repeated_at_all_instances_runs_once() {
    let site = start("repeated").await;
    for number in 0..6 {
        let key = key(number);
        let body = format!("repeated {number}");
        let callers = site.instances.iter().chain(&site.instances);
        let sent = callers.map(|instance| lend(&instance.caller, &key, &body));
        let told = futures::future::join_all(sent).await;
        let entries = told.iter().filter(|told| matches!(told, Told::Entry(_)));
        let entries: Vec<_> = entries.collect();
        assert!(!entries.is_empty(), "{told:?}");
        assert!(entries.iter().all(|entry| *entry == entries[0]), "{told:?}");
        assert_eq!(counts(&site).await.get(&body), Some(&1));
    }
}

#[tokio::test]
async fn loan_answer_lost_is_unknown_for_ever() {
    let site = start("lost").await;
    for number in 0..2 {
        set(
            site.service_addr,
            "/_standin/faults",
            &json!({"lose_answers": 1}),
        )
        .await;
        let key = key(number);
        let body = format!("lost {number}");
        for instance in site.instances.iter().chain(&site.instances) {
            let told = lend(&instance.caller, &key, &body).await;
            assert_eq!(told, Told::Unknown);
            assert_eq!(counts(&site).await.get(&body), Some(&1));
        }
    }
}

#[tokio::test]
async fn loan_instances_killed_at_most_once() {
    let mut site = start("loans-killed").await;
    set(
        site.service_addr,
        "/_standin/faults",
        &json!({"delay_ms": 5}),
    )
    .await;
    let stop = Arc::new(AtomicBool::new(false));
    let tasks = send_loans(&site, &stop);
    tokio::time::sleep(PHASE).await;
    // Both data centres lose one; instance 0 is of the home data centre.
    for index in [0, 1] {
        site.instances[index].process.kill();
        tokio::time::sleep(PHASE).await;
    }
    stop.store(true, Ordering::Relaxed);
    check(
        "two instances killed",
        &site,
        &site.instances[3].caller,
        tasks,
    )
    .await;
}

#[tokio::test]
async fn slots_owner_killed_others_take_over() {
    let mut site = start("takeover").await;
    site.instances[0].process.kill();
    let killed_at = Instant::now();
    assert!(all_served(&site.instances[3].caller).await);
    println!("takeover: {} ms", killed_at.elapsed().as_millis());
}

#[tokio::test]
async fn loan_platform_down_at_most_once() {
    let site = start("loans-outage").await;
    let stop = Arc::new(AtomicBool::new(false));
    let tasks = send_loans(&site, &stop);
    for faults in [
        json!({}),
        json!({"outage": "reset"}),
        json!({"lose_probability": 0.3}),
    ] {
        set(site.platform_addr, "/_standin/faults", &faults).await;
        tokio::time::sleep(PHASE).await;
    }
    stop.store(true, Ordering::Relaxed);
    set(site.platform_addr, "/_standin/faults", &json!({})).await;
    check("platform down", &site, &site.instances[3].caller, tasks).await;
}

#[tokio::test]
async fn loan_instance_paused_at_most_once() {
    let site = start("loans-paused").await;
    set(
        site.service_addr,
        "/_standin/faults",
        &json!({"delay_ms": 5}),
    )
    .await;
    let stop = Arc::new(AtomicBool::new(false));
    let tasks = send_loans(&site, &stop);
    for _ in 0..2 {
        tokio::time::sleep(PHASE).await;
        site.instances[0].process.signal("STOP");
        tokio::time::sleep(3 * PHASE).await;
        site.instances[0].process.signal("CONT");
    }
    tokio::time::sleep(PHASE).await;
    stop.store(true, Ordering::Relaxed);
    check(
        "instance paused twice",
        &site,
        &site.instances[3].caller,
        tasks,
    )
    .await;
}

#[tokio::test]
async fn loan_failures_together_at_most_once() {
    let mut site = start("loans-together").await;
    set(
        site.service_addr,
        "/_standin/faults",
        &json!({"delay_ms": 5}),
    )
    .await;
    let stop = Arc::new(AtomicBool::new(false));
    let tasks = send_loans(&site, &stop);
    tokio::time::sleep(PHASE).await;
    // Both instances of the home data centre fail while the platform is down.
    set(
        site.platform_addr,
        "/_standin/faults",
        &json!({"outage": "reset"}),
    )
    .await;
    site.instances[0].process.signal("STOP");
    tokio::time::sleep(PHASE).await;
    site.instances[2].process.kill();
    tokio::time::sleep(PHASE).await;
    let faults = json!({"lose_probability": 0.3, "delay_ms": 50});
    set(site.platform_addr, "/_standin/faults", &faults).await;
    tokio::time::sleep(PHASE).await;
    site.instances[0].process.signal("CONT");
    tokio::time::sleep(2 * PHASE).await;
    stop.store(true, Ordering::Relaxed);
    set(site.platform_addr, "/_standin/faults", &json!({})).await;
    check(
        "paused, killed, platform down",
        &site,
        &site.instances[3].caller,
        tasks,
    )
    .await;
}
