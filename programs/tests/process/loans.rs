//! Loans, which are non-idempotent calls, run at most once, and callers get their true outcome.

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

use crate::site::Options;
use crate::site::Site;
use crate::site::eventually;
use crate::site::get;
use crate::site::set;

/// The path of the service's loans.
const PATH: &str = "/v1/services/ledger/loans";
/// Number of instances of the site. Two of them are in the organisation's home data centre, whose
/// instances own the slots of its keys.
const INSTANCES: u8 = 4;
/// Number of callers that submit loan after loan.
const CALLERS: usize = 8;
/// Maximum number of times that a caller submits a loan, each time to another instance.
const MAX_ATTEMPTS: usize = 3;
/// How long it may take after the start until all slots have an owner.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a caller waits for a response before it submits the loan to another instance.
const WAIT_LIMIT: Duration = Duration::from_secs(1);
/// How long the slots of a dead instance may stay without an owner: their leases of 20 s, 2 s
/// until others detect the death, two calls to the platform at intervals of 1 s, and 6 s for a
/// busy machine.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of loans whose keys together cover nearly all slots.
const PROBES: usize = 128;
/// Duration of each phase: before, during and after a failure.
const PHASE_TIME: Duration = Duration::from_millis(1_500);

/// `Outcome` is what became of a loan, as its caller observes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// It ran, and this is its number among all runs of the service, from 1.
    Entry(u64),
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// `Loan` holds a loan and the outcome of each time that it was submitted.
struct Loan {
    key: String,
    body: String,
    outcomes: Vec<Outcome>,
}

/// Returns a key that contains its time of creation if `number` is even, else one that doesn't.
fn key(number: usize) -> String {
    if number.is_multiple_of(2) {
        Uuid::now_v7().to_string()
    } else {
        format!("loan-{}", Uuid::new_v4())
    }
}

/// Submits a loan and returns its outcome. After the wait limit the outcome is unknown, and the
/// call continues in the background.
async fn submit(caller: &Caller, key: &str, body: &str) -> Outcome {
    let (caller, key, body) = (caller.clone(), key.to_owned(), body.to_owned());
    let call = tokio::spawn(async move {
        let headers = [("idempotency-key", key.as_str())];
        caller.call("POST", PATH, &headers, body.into()).await
    });
    match tokio::time::timeout(WAIT_LIMIT, call).await {
        Ok(response) => outcome(response.unwrap()),
        Err(_) => Outcome::Unknown,
    }
}

/// Returns the outcome that the result of a call shows.
fn outcome(response: Result<(StatusCode, Bytes), Failure>) -> Outcome {
    let (status, response) = match response {
        Ok(response) => response,
        Err(Failure::Refused) => return Outcome::NotRun,
        Err(Failure::Cut(_) | Failure::Status(..)) => return Outcome::Unknown,
    };
    let response: Value = serde_json::from_slice(&response).unwrap();
    if status.is_success() {
        return Outcome::Entry(response["entry"].as_u64().unwrap());
    }
    match response["ran"].as_str() {
        Some("no") => Outcome::NotRun,
        Some("unknown") => Outcome::Unknown,
        _ => panic!("{status}: {response}"),
    }
}

/// Returns how often the service ran each loan, by the loan's body.
async fn counts(site: &Site) -> HashMap<String, u64> {
    let ran: RunRecord = get(site.service_addr, "/_standin/ran").await;
    let mut counts = HashMap::new();
    for count in ran.calls {
        *counts.entry(count.call.body).or_default() += count.count;
    }
    counts
}

/// Starts a site and waits until all instances serve loans.
async fn start(name: &str) -> Site {
    let options = Options {
        instances: INSTANCES,
        ..Options::default()
    };
    let site = Site::start_with(name, options).await;
    for (index, instance) in site.instances.iter().enumerate() {
        eventually("loans are served", START_TIMEOUT, || async move {
            let body = format!("first {}", Uuid::new_v4());
            let outcome = submit(&instance.caller, &key(index), &body).await;
            matches!(outcome, Outcome::Entry(_))
        })
        .await;
    }
    site
}

/// Submits loans to all instances until `stop` is set. A loan without an entry is submitted again
/// with the same key to another instance.
fn submit_loans(site: &Site, stop: &Arc<AtomicBool>) -> JoinSet<Vec<Loan>> {
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
                let mut outcomes = Vec::new();
                for attempt in 0..MAX_ATTEMPTS {
                    let caller = &callers[(n + number + attempt) % callers.len()];
                    outcomes.push(submit(caller, &key, &body).await);
                    if matches!(outcomes.last(), Some(Outcome::Entry(_))) {
                        break;
                    }
                }
                loans.push(Loan {
                    key,
                    body,
                    outcomes,
                });
            }
            loans
        });
    }
    tasks
}

/// Returns whether loans of nearly all slots are served within the time of a takeover.
async fn all_served(caller: &Caller) -> bool {
    let deadline = Instant::now() + TAKEOVER_TIMEOUT;
    while Instant::now() < deadline {
        let probes = (0..PROBES).map(|number| async move {
            let body = format!("probe {}", Uuid::new_v4());
            matches!(submit(caller, &key(number), &body).await, Outcome::Entry(_))
        });
        let probes = futures::future::join_all(probes).await;
        if probes.into_iter().all(|served| served) {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    false
}

/// Submits each loan without an entry once more, when loans of nearly all slots are served again or
/// the time of a takeover is over.
async fn retry_open_loans(caller: &Caller, loans: &mut [Loan]) {
    let served = all_served(caller).await;
    println!("loans of all slots are served: {served}");
    let open = loans
        .iter_mut()
        .filter(|loan| !matches!(loan.outcomes.last(), Some(Outcome::Entry(_))));
    let retried = open.map(|loan| async {
        let outcome = submit(caller, &loan.key, &loan.body).await;
        loan.outcomes.push(outcome);
    });
    futures::stream::iter(retried)
        .buffer_unordered(CALLERS)
        .collect::<()>()
        .await;
}

/// Submits the loans without an entry once more through `caller`, and then checks the outcome of
/// each loan against what the service ran.
async fn check_outcomes(name: &str, site: &Site, caller: &Caller, tasks: JoinSet<Vec<Loan>>) {
    let mut loans = tasks
        .join_all()
        .await
        .into_iter()
        .flatten()
        .collect::<Vec<_>>();
    let in_time = loans
        .iter()
        .filter(|loan| matches!(loan.outcomes.last(), Some(Outcome::Entry(_))));
    let in_time = in_time.count();
    retry_open_loans(caller, &mut loans).await;
    // Calls that are still in flight run within this time or not at all.
    tokio::time::sleep(PHASE_TIME).await;
    let counts = counts(site).await;
    let mut with_entry = 0;
    for loan in &loans {
        let count = counts.get(&loan.body).copied().unwrap_or_default();
        assert!(
            count <= 1,
            "{} with key {} ran {count} times: {:?}",
            loan.body,
            loan.key,
            loan.outcomes
        );
        if loan
            .outcomes
            .iter()
            .all(|outcome| *outcome == Outcome::NotRun)
        {
            assert_eq!(count, 0, "{}: {:?}", loan.body, loan.outcomes);
        }
        if let Some(Outcome::Entry(_)) = loan.outcomes.last() {
            assert_eq!(count, 1, "{}: {:?}", loan.body, loan.outcomes);
            with_entry += 1;
        }
    }
    println!(
        "{name}: {} loans, {in_time} with an entry within {MAX_ATTEMPTS} attempts, {with_entry} after the retry",
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
        let submitted = callers.map(|instance| submit(&instance.caller, &key, &body));
        let outcomes = futures::future::join_all(submitted).await;
        let entries = outcomes
            .iter()
            .filter(|outcome| matches!(outcome, Outcome::Entry(_)));
        let entries: Vec<_> = entries.collect();
        assert!(!entries.is_empty(), "{outcomes:?}");
        assert!(
            entries.iter().all(|entry| *entry == entries[0]),
            "{outcomes:?}"
        );
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
            let outcome = submit(&instance.caller, &key, &body).await;
            assert_eq!(outcome, Outcome::Unknown);
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
    let tasks = submit_loans(&site, &stop);
    tokio::time::sleep(PHASE_TIME).await;
    // Each data centre loses one instance. Instance 0 is in the organisation's home data centre.
    for index in [0, 1] {
        site.instances[index].process.kill();
        tokio::time::sleep(PHASE_TIME).await;
    }
    stop.store(true, Ordering::Relaxed);
    check_outcomes(
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
    let tasks = submit_loans(&site, &stop);
    for faults in [
        json!({}),
        json!({"outage": "reset"}),
        json!({"lose_probability": 0.3}),
    ] {
        set(site.platform_addr, "/_standin/faults", &faults).await;
        tokio::time::sleep(PHASE_TIME).await;
    }
    stop.store(true, Ordering::Relaxed);
    set(site.platform_addr, "/_standin/faults", &json!({})).await;
    check_outcomes("platform down", &site, &site.instances[3].caller, tasks).await;
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
    let tasks = submit_loans(&site, &stop);
    for _ in 0..2 {
        tokio::time::sleep(PHASE_TIME).await;
        site.instances[0].process.signal("STOP");
        tokio::time::sleep(3 * PHASE_TIME).await;
        site.instances[0].process.signal("CONT");
    }
    tokio::time::sleep(PHASE_TIME).await;
    stop.store(true, Ordering::Relaxed);
    check_outcomes(
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
    let tasks = submit_loans(&site, &stop);
    tokio::time::sleep(PHASE_TIME).await;
    // Both instances of the organisation's home data centre fail while the platform is down.
    set(
        site.platform_addr,
        "/_standin/faults",
        &json!({"outage": "reset"}),
    )
    .await;
    site.instances[0].process.signal("STOP");
    tokio::time::sleep(PHASE_TIME).await;
    site.instances[2].process.kill();
    tokio::time::sleep(PHASE_TIME).await;
    let faults = json!({"lose_probability": 0.3, "delay_ms": 50});
    set(site.platform_addr, "/_standin/faults", &faults).await;
    tokio::time::sleep(PHASE_TIME).await;
    site.instances[0].process.signal("CONT");
    tokio::time::sleep(2 * PHASE_TIME).await;
    stop.store(true, Ordering::Relaxed);
    set(site.platform_addr, "/_standin/faults", &json!({})).await;
    check_outcomes(
        "paused, killed, platform down",
        &site,
        &site.instances[3].caller,
        tasks,
    )
    .await;
}
