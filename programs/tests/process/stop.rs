//! Planned stops and kills of an instance under load.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hemlockwind_standin::caller::Failure;
use hemlockwind_standin::caller::StreamEnd;
use hemlockwind_standin::caller::completion_request;
use hemlockwind_standin::caller::expected_text;
use hemlockwind_standin::sample;
use serde_json::Value;
use tokio::task::JoinSet;

use crate::site::Site;
use crate::site::eventually;

/// Maximum number of tokens of each stream.
const TOKENS: u32 = 60;
/// Number of streams, or of open connections, when the instance receives the stop signal.
const STREAMS: usize = 10;
/// Number of callers that send request after request, each on a new connection, until the
/// instance refuses one because it stops. The platform's load balancer does the same.
const LOOPING_CALLERS: usize = 24;
/// How long the callers may take to get their first answers on a busy machine.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Minimum time that the platform's load balancer needs to notice a stop.
const MIN_NOTICE_TIME: Duration = Duration::from_millis(100);
/// How long a planned stop may take. It ends when the answers in progress are complete.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

#[tokio::test]
async fn stop_under_load_cuts_nothing() {
    let mut site = Site::start("stop").await;
    let caller = site.instances[0].caller.clone();
    let prompt = sample::long_prompt("mwisho", TOKENS);
    let mut streams = Vec::new();
    for _ in 0..STREAMS {
        let mut streamed = caller.stream(&prompt, TOKENS).await.unwrap();
        streamed.read_tokens(1).await.unwrap();
        streams.push(streamed);
    }
    let answered = Arc::new(AtomicUsize::new(0));
    let mut loops = JoinSet::new();
    for n in 0..LOOPING_CALLERS {
        let caller = caller.clone();
        let answered = Arc::clone(&answered);
        loops.spawn(async move {
            let mut cut = Vec::new();
            for round in 0.. {
                let body = completion_request(&format!("mzunguko {n} {round}"), 3, false);
                match caller.call("POST", "/v1/completions", &[], body).await {
                    Ok((status, _)) if status.is_success() => {
                        answered.fetch_add(1, Ordering::Relaxed);
                    }
                    Ok((_, body)) => {
                        assert_not_run(&body);
                        break;
                    }
                    Err(Failure::Refused) => break,
                    Err(Failure::Cut(why)) => cut.push(why),
                    Err(Failure::Status(..)) => unreachable!("a call returns every status"),
                }
            }
            cut
        });
    }
    eventually("the callers get answers", START_TIMEOUT, || async {
        answered.load(Ordering::Relaxed) >= 5 * LOOPING_CALLERS
    })
    .await;
    site.instances[0].process.signal("TERM");
    for streamed in &mut streams {
        assert_eq!(streamed.finish().await, StreamEnd::Done);
        assert_eq!(streamed.text, expected_text(&prompt, TOKENS));
    }
    let cut = loops.join_all().await.concat();
    println!(
        "planned stop: {STREAMS} streams whole, {} answered, {} cut",
        answered.load(Ordering::Relaxed),
        cut.len()
    );
    assert!(cut.is_empty(), "{cut:?}");
    let status = site.instances[0].process.wait(STOP_TIMEOUT).await;
    assert_eq!(status.code(), Some(0));
}

#[tokio::test]
async fn stop_open_connections_are_answered() {
    let mut site = Site::start("open").await;
    let caller = site.instances[0].caller.clone();
    let mut open = Vec::new();
    for _ in 0..STREAMS {
        open.push(caller.connect().await.unwrap());
    }
    site.instances[0].process.signal("TERM");
    tokio::time::sleep(MIN_NOTICE_TIME).await;
    // The load balancer has not noticed the stop yet, so it still uses its open connections. All
    // requests are sent at once, as an idle connection may be closed after the notice period.
    let answers = open.into_iter().map(|open| async move {
        let body = completion_request("mlango", 3, false);
        open.call("POST", "/v1/completions", &[], body).await
    });
    for answer in futures::future::join_all(answers).await {
        let (status, body) = answer.expect("the connection is answered");
        if !status.is_success() {
            assert_not_run(&body);
        }
    }
    let status = site.instances[0].process.wait(STOP_TIMEOUT).await;
    assert_eq!(status.code(), Some(0));
}

/// Checks that a refusal says that the request did not run.
fn assert_not_run(body: &[u8]) {
    let problem: Value = serde_json::from_slice(body).unwrap();
    assert_eq!(problem["ran"], "no", "{problem}");
}

// Guards against LOST of the report of issue 36: calls that may not be repeated were taken after the
// signal although they might last longer than the process.
#[tokio::test]
async fn stop_refuses_unsafe_calls_that_would_outlast_it() {
    let mut site = Site::start("outlast").await;
    let caller = site.instances[0].caller.clone();
    let path = format!("/v1/services/{}/loans", sample::SERVICE);
    let call = |deadline_ms: &'static str| {
        let headers = [("x-hemlockwind-deadline-ms", deadline_ms)];
        let (caller, path) = (caller.clone(), path.clone());
        async move { caller.call("POST", &path, &headers, "loan".into()).await }
    };
    let (status, _) = call("3000").await.unwrap();
    assert!(status.is_success());
    site.instances[0].process.signal("TERM");
    tokio::time::sleep(MIN_NOTICE_TIME).await;
    let (status, body) = call("3600000").await.unwrap();
    assert!(!status.is_success(), "{status}");
    assert_not_run(&body);
    let (status, _) = call("3000").await.unwrap();
    assert!(status.is_success());
    let status = site.instances[0].process.wait(STOP_TIMEOUT).await;
    assert_eq!(status.code(), Some(0));
}

#[tokio::test]
async fn kill_cuts_streams_and_other_instance_serves() {
    let mut site = Site::start("kill").await;
    let caller = site.instances[0].caller.clone();
    let prompt = sample::long_prompt("ghafla", 100);
    let mut streamed = caller.stream(&prompt, 100).await.unwrap();
    streamed.read_tokens(5).await.unwrap();
    site.instances[0].process.kill();
    // The stream does not claim to be complete, and contains no wrong token.
    assert_eq!(streamed.finish().await, StreamEnd::Cut);
    assert!(expected_text(&prompt, 100).starts_with(&streamed.text));
    assert!(matches!(
        caller.stream(&prompt, 2).await,
        Err(Failure::Refused)
    ));
    let other = &site.instances[1].caller;
    eventually(
        "the other instance serves",
        Duration::from_secs(5),
        || async { other.complete(&prompt, 5).await == Ok(expected_text(&prompt, 5)) },
    )
    .await;
}
