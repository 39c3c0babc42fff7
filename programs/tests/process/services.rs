//! Non-idempotent calls to a plain service, against the count of what it ran.

use std::time::Duration;
use std::time::Instant;

use hemlockwind_standin::caller::Caller;
use hemlockwind_standin::sample;
use hemlockwind_standin::service::RunRecord;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;
use uuid::Uuid;

use crate::site::Site;
use crate::site::eventually;
use crate::site::get;

/// How long the slots' first owner may take, and the first keys to be new to it.
const START: Duration = Duration::from_secs(30);
/// The time that a call may take, in milliseconds.
const DEADLINE_MS: &str = "5000";
/// Within this time other instances own the slots of one that is gone.
const TAKEOVER: Duration = Duration::from_secs(90);
/// Keys that reach nearly every slot.
const KEYS: usize = 150;

/// Posts a loan, and gives the status, and the code and effect of a refusal.
async fn lend(caller: &Caller, key: &str, body: &str) -> (StatusCode, Value) {
    let path = format!("/v1/services/{}/loans?from=shelf", sample::SERVICE);
    let headers = [
        ("x-hemlockwind-deadline-ms", DEADLINE_MS),
        ("idempotency-key", key),
    ];
    let headers = &headers[..if key.is_empty() { 1 } else { 2 }];
    let answer = caller.call("POST", &path, headers, body.into()).await;
    let (status, body) = answer.expect("an instance answers");
    (status, serde_json::from_slice(&body).unwrap())
}

/// How often the service ran a body.
async fn runs(site: &Site, body: &str) -> u64 {
    let ran: RunRecord = get(site.service_addr, "/_standin/ran").await;
    let calls = ran.calls.iter().filter(|count| count.call.body == body);
    calls.map(|count| count.count).sum()
}

async fn set_faults(site: &Site, faults: Value) {
    let body = serde_json::to_vec(&faults).unwrap();
    let service = Caller::new(site.service_addr, "");
    assert!(service.json("PUT", "/_standin/faults", body).await.is_ok());
}

fn key() -> String {
    Uuid::now_v7().to_string()
}

/// A site whose slots all have an owner that takes new keys.
async fn start(name: &str, instances: u8) -> Site {
    let site = Site::start_with(name, instances).await;
    let caller = site.instances[1].caller.clone();
    eventually("keys are new to their owners", START, || async {
        all_taken(&caller, KEYS).await
    })
    .await;
    site
}

/// Whether so many new keys are taken one after the other.
async fn all_taken(caller: &Caller, keys: usize) -> bool {
    for _ in 0..keys {
        let (status, answer) = lend(caller, &key(), "first").await;
        if status != StatusCode::OK {
            println!("not taken: {status} {answer}");
            return false;
        }
    }
    true
}

#[tokio::test]
async fn service_repeats_run_once() {
    let site = start("repeats", 2).await;
    let [home, other] = [0, 1].map(|i| site.instances[i].caller.clone());
    for (name, key) in [("timed", key()), ("text", "loan-7".into())] {
        let first = lend(&home, &key, name).await;
        assert_eq!(first.0, StatusCode::OK, "{first:?}");
        assert_eq!(lend(&home, &key, name).await, first);
        assert_eq!(lend(&other, &key, name).await, first);
        let (status, problem) = lend(&other, &key, "another loan").await;
        assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
        assert_eq!(
            (&problem["code"], &problem["ran"]),
            (&json!(1009), &json!("no"))
        );
        assert_eq!(runs(&site, name).await, 1);
        assert_eq!(runs(&site, "another loan").await, 0);
    }
    assert_eq!(lend(&other, "", "no key").await.0, StatusCode::OK);
    assert_eq!(runs(&site, "no key").await, 1);
}

#[tokio::test]
async fn service_lost_answer_is_unknown() {
    let site = start("lost", 2).await;
    let caller = site.instances[1].caller.clone();
    let (with_key, without) = (key(), "");
    for (key, body) in [
        (with_key.as_str(), "lost with key"),
        (without, "lost without"),
    ] {
        set_faults(&site, json!({"lose_answers": 1})).await;
        let (status, problem) = lend(&caller, key, body).await;
        assert_eq!(status, StatusCode::BAD_GATEWAY, "{problem}");
        assert_eq!(problem["ran"], "unknown");
        assert_eq!(runs(&site, body).await, 1);
    }
    let (_, problem) = lend(&caller, &with_key, "lost with key").await;
    assert_eq!(problem["ran"], "unknown");
    assert_eq!(runs(&site, "lost with key").await, 1);
}

#[tokio::test]
async fn service_refusal_is_not_run() {
    let site = start("refusal", 2).await;
    let caller = site.instances[1].caller.clone();
    let key = key();
    set_faults(&site, json!({"refuse": true})).await;
    let (_, problem) = lend(&caller, &key, "refused").await;
    assert_eq!(problem["ran"], "no", "{problem}");
    assert_eq!(runs(&site, "refused").await, 0);
    set_faults(&site, json!({})).await;
    assert_eq!(lend(&caller, &key, "refused").await.0, StatusCode::OK);
    assert_eq!(runs(&site, "refused").await, 1);
}

#[tokio::test]
async fn service_without_platform_or_owner() {
    let mut site = start("ownerless", 2).await;
    let [home, other] = [0, 1].map(|i| site.instances[i].caller.clone());
    let before = key();
    assert_eq!(lend(&home, &before, "before").await.0, StatusCode::OK);
    site.platform.kill();
    // The lease is still in force; a key without time needs the platform.
    assert_eq!(
        lend(&other, &key(), "in the outage").await.0,
        StatusCode::OK
    );
    assert_eq!(lend(&other, &before, "before").await.0, StatusCode::OK);
    let (_, problem) = lend(&other, "loan-8", "needs a claim").await;
    assert_eq!(
        (&problem["code"], &problem["ran"]),
        (&json!(2006), &json!("unknown"))
    );
    site.instances[0].process.kill();
    let (_, problem) = lend(&other, &before, "before").await;
    assert_eq!(problem["ran"], "unknown", "{problem}");
    assert_eq!(lend(&other, "", "no key").await.0, StatusCode::OK);
    let [before, needs] = ["before", "needs a claim"];
    assert_eq!(runs(&site, before).await, 1);
    assert_eq!(runs(&site, needs).await, 0);
}

/// The owner of about half of the slots is frozen for longer than its leases, with
/// requests on their way to it, and then goes on.
#[tokio::test]
async fn service_owner_frozen_runs_once() {
    let site = start("frozen", 4).await;
    let callers: Vec<_> = site.instances.iter().map(|i| i.caller.clone()).collect();
    let mut loans = Vec::new();
    for n in 0..12 {
        let loan = (key(), format!("before {n}"));
        assert_eq!(lend(&callers[1], &loan.0, &loan.1).await.0, StatusCode::OK);
        loans.push(loan);
    }
    site.instances[0].process.signal("STOP");
    let frozen = (0..12).map(|n| (key(), format!("frozen {n}")));
    let frozen: Vec<_> = frozen.collect();
    let calls = frozen
        .iter()
        .map(|(key, body)| lend(&callers[3], key, body));
    let answers = futures::future::join_all(calls).await;
    let served = answers.iter().filter(|a| a.0 == StatusCode::OK).count();
    loans.extend(frozen);
    let frozen_at = Instant::now();
    eventually("the slots have another owner", TAKEOVER, || async {
        all_taken(&callers[1], 12).await
    })
    .await;
    println!(
        "frozen owner: {served} of 12 served, all again after {:?}",
        frozen_at.elapsed()
    );
    site.instances[0].process.signal("CONT");
    for (key, body) in &loans {
        for caller in [&callers[0], &callers[1]] {
            let (status, answer) = lend(caller, key, body).await;
            let ran = runs(&site, body).await;
            assert!(ran <= 1, "{body} ran {ran} times");
            match status {
                StatusCode::OK => assert_eq!(ran, 1),
                _ => assert_eq!(answer["ran"], "unknown", "{answer}"),
            }
        }
    }
    assert!(all_taken(&callers[0], 12).await);
}
