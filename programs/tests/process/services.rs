//! Non-idempotent calls to a plain service, checked against how often the service ran each of
//! them.

use std::time::Duration;
use std::time::Instant;

use hemlockwind_standin::caller::Caller;
use hemlockwind_standin::sample;
use hemlockwind_standin::service::RunRecord;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;
use uuid::Uuid;

use crate::site::Options;
use crate::site::Site;
use crate::site::eventually;
use crate::site::get;

/// How long it may take until the slots have their first owners and these accept new keys. For a
/// key that was created before its slot had this owner, or shortly after, the owner answers that
/// the outcome is unknown.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// The deadline of a call, in milliseconds.
const DEADLINE_MS: &str = "5000";
/// Time within which other instances own the slots of an instance that failed.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(90);
/// Number of keys that cover nearly every slot.
const KEYS: usize = 150;

/// Submits a loan, without an idempotency key if `key` is empty, and returns the status and JSON of
/// the response.
async fn submit(caller: &Caller, key: &str, body: &str) -> (StatusCode, Value) {
    let path = format!("/v1/services/{}/loans?from=shelf", sample::SERVICE);
    let headers = [
        ("x-hemlockwind-deadline-ms", DEADLINE_MS),
        ("idempotency-key", key),
    ];
    let headers = &headers[..if key.is_empty() { 1 } else { 2 }];
    let response = caller.call("POST", &path, headers, body.into()).await;
    let (status, body) = response.expect("the instance responds");
    (status, serde_json::from_slice(&body).unwrap())
}

/// Returns how often the service ran a call with this body.
async fn runs(site: &Site, body: &str) -> u64 {
    let ran: RunRecord = get(site.service_addr, "/_standin/ran").await;
    let calls = ran.calls.iter().filter(|count| count.call.body == body);
    calls.map(|count| count.count).sum()
}

/// Sets all fault switches of the service.
async fn set_faults(site: &Site, faults: Value) {
    let body = serde_json::to_vec(&faults).unwrap();
    let service = Caller::new(site.service_addr, "");
    assert!(service.json("PUT", "/_standin/faults", body).await.is_ok());
}

/// Returns a new key that contains its time of creation.
fn key() -> String {
    Uuid::now_v7().to_string()
}

/// Starts a site and waits until nearly every slot has an owner that accepts new keys.
async fn start(name: &str, instances: u8) -> Site {
    let options = Options {
        instances,
        ..Options::default()
    };
    let site = Site::start_with(name, options).await;
    let caller = site.instances[1].caller.clone();
    eventually(
        "the owners of the slots accept new keys",
        START_TIMEOUT,
        || async { all_new_keys_accepted(&caller, KEYS).await },
    )
    .await;
    site
}

/// Submits `keys` loans with new keys, one after the other, and returns whether all of them ran.
async fn all_new_keys_accepted(caller: &Caller, keys: usize) -> bool {
    for _ in 0..keys {
        let (status, response) = submit(caller, &key(), "first").await;
        if status != StatusCode::OK {
            println!("new key not accepted: {status} {response}");
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
        let first = submit(&home, &key, name).await;
        assert_eq!(first.0, StatusCode::OK, "{first:?}");
        assert_eq!(submit(&home, &key, name).await, first);
        assert_eq!(submit(&other, &key, name).await, first);
        let (status, problem) = submit(&other, &key, "another loan").await;
        assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
        assert_eq!(
            (&problem["code"], &problem["ran"]),
            (&json!(1009), &json!("no"))
        );
        assert_eq!(runs(&site, name).await, 1);
        assert_eq!(runs(&site, "another loan").await, 0);
    }
    assert_eq!(submit(&other, "", "no key").await.0, StatusCode::OK);
    assert_eq!(runs(&site, "no key").await, 1);
}

#[tokio::test]
async fn service_lost_answer_is_unknown() {
    let site = start("lost", 2).await;
    let caller = site.instances[1].caller.clone();
    let (with_key, without_key) = (key(), "");
    for (key, body) in [
        (with_key.as_str(), "lost with key"),
        (without_key, "lost without"),
    ] {
        set_faults(&site, json!({"lose_answers": 1})).await;
        let (status, problem) = submit(&caller, key, body).await;
        assert_eq!(status, StatusCode::BAD_GATEWAY, "{problem}");
        assert_eq!(problem["ran"], "unknown");
        assert_eq!(runs(&site, body).await, 1);
    }
    let (_, problem) = submit(&caller, &with_key, "lost with key").await;
    assert_eq!(problem["ran"], "unknown");
    assert_eq!(runs(&site, "lost with key").await, 1);
}

#[tokio::test]
async fn service_refusal_is_not_run() {
    let site = start("refusal", 2).await;
    let caller = site.instances[1].caller.clone();
    let key = key();
    set_faults(&site, json!({"refuse": true})).await;
    let (_, problem) = submit(&caller, &key, "refused").await;
    assert_eq!(problem["ran"], "no", "{problem}");
    assert_eq!(runs(&site, "refused").await, 0);
    set_faults(&site, json!({})).await;
    assert_eq!(submit(&caller, &key, "refused").await.0, StatusCode::OK);
    assert_eq!(runs(&site, "refused").await, 1);
}

#[tokio::test]
async fn service_without_platform_or_owner() {
    let mut site = start("ownerless", 2).await;
    let [home, other] = [0, 1].map(|i| site.instances[i].caller.clone());
    let before = key();
    assert_eq!(submit(&home, &before, "before").await.0, StatusCode::OK);
    site.platform.kill();
    // The owner's lease is still in force. A key that doesn't contain its time needs a claim on the
    // platform.
    assert_eq!(
        submit(&other, &key(), "in the outage").await.0,
        StatusCode::OK
    );
    assert_eq!(submit(&other, &before, "before").await.0, StatusCode::OK);
    let (_, problem) = submit(&other, "loan-8", "needs a claim").await;
    assert_eq!(
        (&problem["code"], &problem["ran"]),
        (&json!(2006), &json!("unknown"))
    );
    site.instances[0].process.kill();
    let (_, problem) = submit(&other, &before, "before").await;
    assert_eq!(problem["ran"], "unknown", "{problem}");
    assert_eq!(submit(&other, "", "no key").await.0, StatusCode::OK);
    let [before, claimed] = ["before", "needs a claim"];
    assert_eq!(runs(&site, before).await, 1);
    assert_eq!(runs(&site, claimed).await, 0);
}

/// The owner of about half of the slots is paused for longer than its leases while requests to it
/// are in flight, and then continues. Each loan runs at most once.
#[tokio::test]
async fn service_owner_frozen_runs_once() {
    let site = start("frozen", 4).await;
    let callers: Vec<_> = site.instances.iter().map(|i| i.caller.clone()).collect();
    let mut loans = Vec::new();
    for n in 0..12 {
        let loan = (key(), format!("before {n}"));
        assert_eq!(
            submit(&callers[1], &loan.0, &loan.1).await.0,
            StatusCode::OK
        );
        loans.push(loan);
    }
    site.instances[0].process.signal("STOP");
    let in_pause = (0..12).map(|n| (key(), format!("frozen {n}")));
    let in_pause: Vec<_> = in_pause.collect();
    let calls = in_pause
        .iter()
        .map(|(key, body)| submit(&callers[3], key, body));
    let responses = futures::future::join_all(calls).await;
    let served = responses.iter().filter(|r| r.0 == StatusCode::OK).count();
    loans.extend(in_pause);
    let responded_at = Instant::now();
    eventually(
        "other instances own the slots",
        TAKEOVER_TIMEOUT,
        || async { all_new_keys_accepted(&callers[1], 12).await },
    )
    .await;
    println!(
        "paused owner: {served} of 12 loans served, new keys accepted again after {:?}",
        responded_at.elapsed()
    );
    site.instances[0].process.signal("CONT");
    for (key, body) in &loans {
        for caller in [&callers[0], &callers[1]] {
            let (status, response) = submit(caller, key, body).await;
            let ran = runs(&site, body).await;
            assert!(ran <= 1, "{body} ran {ran} times");
            match status {
                StatusCode::OK => assert_eq!(ran, 1),
                _ => assert_eq!(response["ran"], "unknown", "{response}"),
            }
        }
    }
    assert!(all_new_keys_accepted(&callers[0], 12).await);
}
