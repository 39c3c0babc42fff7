//! Planned stops and kills of an instance under load.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hemlockwind_standin::caller::Caller;
use hemlockwind_standin::caller::Failure;
use hemlockwind_standin::caller::StreamEnd;
use hemlockwind_standin::caller::completion_request;
use hemlockwind_standin::caller::expected_text;
use hemlockwind_standin::sample;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

use crate::site::Options;
use crate::site::Site;
use crate::site::eventually;
use crate::site::set;

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
/// Number of streams that a second signal cuts.
const NAMED_STREAMS: usize = 20;
/// Number of requests that the log line about them names.
const MAX_NAMED_REQUESTS: usize = 16;
/// Time that requests have to end in the tests of stops that they outlast, in milliseconds.
const DRAIN_MS: u64 = 3_000;
/// Number of streams that are before the stream which comes during the notice time.
const QUEUED_STREAMS: usize = 4;
/// Notice time of a stop during which requests are sent, in milliseconds.
const LONG_NOTICE_MS: u64 = 3_000;
/// Header with a deadline after the end of such a stop.
const LATE_DEADLINE: (&str, &str) = ("x-hemlockwind-deadline-ms", "50000");
/// Duration of an iteration of engines whose streams outlast such a stop, in milliseconds.
const SLOW_ITERATION_MS: u32 = 60;

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

/// Returns the options of a site whose streams outlast a stop.
fn slow_site(engine_streams: u32) -> Options {
    Options {
        limits: json!({"notice_ms": 200, "drain_ms": DRAIN_MS, "receive_ms": 60_000}),
        engine_streams,
        iteration_ms: SLOW_ITERATION_MS,
        ..Options::default()
    }
}

type Call = JoinHandle<Result<(StatusCode, Bytes), Failure>>;

/// Sends a request for a stream of `TOKENS` tokens.
fn send_stream(caller: &Caller, prompt: &str) -> Call {
    let (caller, body) = (caller.clone(), completion_request(prompt, TOKENS, true));
    tokio::spawn(async move {
        let headers = [LATE_DEADLINE];
        let path = "/v1/completions";
        caller.call("POST", path, &headers, body).await
    })
}

/// Checks that a whole answer refuses its request as not run, with the time of another try.
fn assert_refused(status: StatusCode, body: &[u8]) {
    assert_eq!(status, 503);
    assert_not_run(body);
    let problem: Value = serde_json::from_slice(body).unwrap();
    assert_eq!(problem["code"], 2005, "{problem}");
    assert!(problem["retry_after_ms"].is_u64(), "{problem}");
}

/// Checks that an answer says that the outcome of its request is unknown.
fn assert_outcome_unknown(body: &[u8]) {
    let problem: Value = serde_json::from_slice(body).unwrap();
    assert_eq!(problem["code"], 3006, "{problem}");
    assert_eq!(problem["ran"], "unknown", "{problem}");
}

/// Checks that a streamed answer ends with the error event of an unknown outcome.
fn assert_ended_with_error(status: StatusCode, body: &[u8]) {
    assert_eq!(status, 200);
    let text = std::str::from_utf8(body).unwrap();
    let last = text.trim_end().rsplit("data: ").next().unwrap();
    let last: Value = serde_json::from_str(last).unwrap_or_default();
    assert_eq!(last["error"]["code"], 3006, "{text}");
    assert_eq!(last["error"]["ran"], "unknown", "{text}");
}

// Guards against LOST of the report of issue 41: streams that waited for a slot until the end of the
// process were cut without an answer.
#[tokio::test]
async fn stop_answers_streams_that_wait_for_a_slot() {
    let mut site = Site::start_with("waiting", slow_site(1)).await;
    let prompt = sample::long_prompt("kusubiri", TOKENS);
    let caller = &site.instances[0].caller;
    let calls: Vec<Call> = (0..STREAMS).map(|_| send_stream(caller, &prompt)).collect();
    tokio::time::sleep(Duration::from_secs(1)).await;
    site.instances[0].process.signal("TERM");
    let (mut refused, mut ended) = (0, 0);
    for call in calls {
        let (status, body) = call.await.unwrap().expect("the answer is whole");
        match status {
            StatusCode::OK => {
                assert_ended_with_error(status, &body);
                ended += 1;
            }
            // Its first step was on its way.
            StatusCode::BAD_GATEWAY => assert_outcome_unknown(&body),
            _ => {
                assert_refused(status, &body);
                refused += 1;
            }
        }
    }
    assert!(refused > 0 && ended > 0, "{refused} {ended}");
    let status = site.instances[0].process.wait(STOP_TIMEOUT).await;
    assert_eq!(status.code(), Some(1));
    let line = log_line(&site, "requests were ended by the stop");
    assert_eq!(line["ended"], STREAMS, "{line}");
    assert!(line["waiting"].as_u64() > Some(0), "{line}");
    assert!(line["running"].as_u64() > Some(0), "{line}");
}

// Guards against streams that a stopping instance took although they could not start before its end.
#[tokio::test]
async fn stop_refuses_streams_that_cannot_start_before_it() {
    let mut options = slow_site(1);
    options.limits["notice_ms"] = LONG_NOTICE_MS.into();
    let mut site = Site::start_with("late", options).await;
    let caller = site.instances[0].caller.clone();
    // The pools measure their speed by requests that ended.
    let prompt = sample::long_prompt("mwendo", TOKENS);
    let first = (0..STREAMS).map(|_| caller.complete(&prompt, 4));
    futures::future::join_all(first).await;
    // The wait for them is longer than the stop and shorter than the deadline.
    let calls: Vec<Call> = (0..QUEUED_STREAMS)
        .map(|_| send_stream(&caller, &prompt))
        .collect();
    tokio::time::sleep(Duration::from_secs(1)).await;
    site.instances[0].process.signal("TERM");
    tokio::time::sleep(MIN_NOTICE_TIME).await;
    let sent_at = Instant::now();
    let (status, body) = send_stream(&caller, &prompt).await.unwrap().unwrap();
    assert_refused(status, &body);
    assert!(sent_at.elapsed() < Duration::from_millis(LONG_NOTICE_MS / 2));
    for call in calls {
        call.await.unwrap().expect("the answer is whole");
    }
    site.instances[0].process.wait(STOP_TIMEOUT).await;
}

// Guards against the same cut of streams that had lost their path.
#[tokio::test]
async fn stop_ends_streams_between_two_runs() {
    let mut site = Site::start_with("between", slow_site(sample::MAX_IN_FLIGHT)).await;
    let prompt = sample::long_prompt("katikati", TOKENS);
    let mut calls = Vec::new();
    for _ in 0..STREAMS {
        calls.push(send_stream(&site.instances[0].caller, &prompt));
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    for engine in &mut site.engines {
        if engine.server.layers.as_ref() == Some(&sample::STAGES[1]) {
            engine.process.kill();
        }
    }
    site.instances[0].process.signal("TERM");
    for call in calls {
        let (status, body) = call.await.unwrap().expect("the answer is whole");
        assert_ended_with_error(status, &body);
    }
    site.instances[0].process.wait(STOP_TIMEOUT).await;
}

// Guards against the same cut of calls to a service that doesn't answer before the end.
#[tokio::test]
async fn stop_answers_calls_in_progress() {
    let mut site = Site::start_with("calls", slow_site(sample::MAX_IN_FLIGHT)).await;
    let path = format!("/v1/services/{}/loans", sample::SERVICE);
    let key = uuid::Uuid::now_v7().to_string();
    let caller = site.instances[0].caller.clone();
    eventually("the key's slot has an owner", START_TIMEOUT, || async {
        let key = uuid::Uuid::now_v7().to_string();
        let headers = [("idempotency-key", key.as_str())];
        let answer = caller.call("POST", &path, &headers, "mkopo".into()).await;
        answer.unwrap().0.is_success()
    })
    .await;
    set(
        site.service_addr,
        "/_standin/faults",
        &json!({"freeze": true}),
    )
    .await;
    let mut calls = JoinSet::new();
    for (method, key) in [("GET", None), ("POST", None), ("POST", Some(key))] {
        let (caller, path) = (caller.clone(), path.clone());
        calls.spawn(async move {
            let mut headers = vec![LATE_DEADLINE];
            headers.extend(key.as_ref().map(|key| ("idempotency-key", key.as_str())));
            let answer = caller.call(method, &path, &headers, "mkopo".into()).await;
            (method, key.is_some(), answer)
        });
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    site.instances[0].process.signal("TERM");
    for (method, has_key, answer) in calls.join_all().await {
        let (status, body) = answer.expect("the answer is whole");
        assert_eq!(status, 502, "{method} {has_key}");
        assert_outcome_unknown(&body);
    }
    site.instances[0].process.wait(STOP_TIMEOUT).await;
}

// Guards against the same cut of a request whose body has not arrived whole.
#[tokio::test]
async fn stop_answers_request_with_incomplete_body() {
    let mut site = Site::start_with("body", slow_site(sample::MAX_IN_FLIGHT)).await;
    let instance = &mut site.instances[0];
    let mut tcp = TcpStream::connect(instance.definition.callers)
        .await
        .unwrap();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {}\r\n\
         content-length: 1000\r\n\r\n{{",
        sample::API_KEY
    );
    tcp.write_all(head.as_bytes()).await.unwrap();
    tokio::time::sleep(MIN_NOTICE_TIME).await;
    instance.process.signal("TERM");
    let mut answer = String::new();
    let read = tcp.read_to_string(&mut answer);
    let read = tokio::time::timeout(STOP_TIMEOUT, read).await.unwrap();
    read.expect("the answer is whole");
    let (head, body) = answer.split_once("\r\n\r\n").expect("there is an answer");
    assert!(head.starts_with("HTTP/1.1 503 "), "{head}");
    assert!(head.contains("\r\nretry-after: "), "{head}");
    assert_refused(StatusCode::SERVICE_UNAVAILABLE, body.as_bytes());
    instance.process.wait(STOP_TIMEOUT).await;
}

// Guards against a stop whose log doesn't show which requests it cut, nor what they waited for.
#[tokio::test]
async fn stop_cut_short_names_requests_and_states() {
    let mut site = Site::start_with("names", slow_site(1)).await;
    let prompt = sample::long_prompt("majina", TOKENS);
    let calls: Vec<Call> = (0..NAMED_STREAMS)
        .map(|_| send_stream(&site.instances[0].caller, &prompt))
        .collect();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let process = &mut site.instances[0].process;
    process.signal("TERM");
    tokio::time::sleep(MIN_NOTICE_TIME).await;
    process.signal("INT");
    let status = process.wait(STOP_TIMEOUT).await;
    assert_eq!(status.code(), Some(1));
    for call in calls {
        assert!(matches!(call.await.unwrap(), Err(Failure::Cut(_))));
    }
    let cut = log_line(&site, "requests were cut");
    assert_eq!(cut["cut"], NAMED_STREAMS, "{cut}");
    let count = |state: &str| cut[state].as_u64().unwrap();
    assert!(count("waiting") > 0 && count("running") > 0, "{cut}");
    let states = ["waiting", "running", "between_runs", "answering"];
    let sum: u64 = states.into_iter().map(count).sum();
    assert_eq!(sum, NAMED_STREAMS as u64, "{cut}");
    let named = cut["requests"].as_str().unwrap().split(' ').count();
    assert_eq!(named, MAX_NAMED_REQUESTS, "{cut}");
}

/// Returns the line of the first instance's log with this message.
fn log_line(site: &Site, message: &str) -> Value {
    let mut lines = site.log_lines(0).into_iter();
    let line = lines.find(|line| line["msg"] == message);
    line.expect("the log has the line")
}

// Guards against a count of requests whose answers their callers had received.
#[tokio::test]
async fn stop_cut_short_ignores_answered_requests() {
    let mut site = Site::start_with("answered", slow_site(sample::MAX_IN_FLIGHT)).await;
    let instance = &mut site.instances[0];
    let mut tcp = TcpStream::connect(instance.definition.callers)
        .await
        .unwrap();
    let head = format!(
        "GET /v1/services/{}/loans HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {}\r\n\r\n",
        sample::SERVICE,
        sample::API_KEY
    );
    tcp.write_all(head.as_bytes()).await.unwrap();
    let mut head = [0; 1_024];
    let len = tcp.read(&mut head).await.unwrap();
    let head = String::from_utf8_lossy(&head[..len]).into_owned();
    assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
    instance.process.signal("TERM");
    tokio::time::sleep(MIN_NOTICE_TIME).await;
    instance.process.signal("INT");
    let status = instance.process.wait(STOP_TIMEOUT).await;
    assert_eq!(status.code(), Some(0));
}

// Guards against a stop that logs no cut request although an answer was on its way to its caller.
#[tokio::test]
async fn stop_counts_answers_on_their_way_as_cut() {
    let mut options = slow_site(sample::MAX_IN_FLIGHT);
    options.limits["body_bytes"] = (8 << 20).into();
    let mut site = Site::start_with("way", options).await;
    let mut tcp = TcpStream::connect(site.instances[0].definition.callers)
        .await
        .unwrap();
    // The service returns the body, which is more than the system buffers for the connection.
    let body = "x".repeat(7 << 20);
    let head = format!(
        "POST /v1/services/{}/echo HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {}\r\n\
         content-length: {}\r\n\r\n",
        sample::SERVICE,
        sample::API_KEY,
        body.len()
    );
    tcp.write_all(head.as_bytes()).await.unwrap();
    tcp.write_all(body.as_bytes()).await.unwrap();
    tcp.readable().await.unwrap();
    let mut head = [0; 1_024];
    let len = tcp.peek(&mut head).await.unwrap();
    let head = String::from_utf8_lossy(&head[..len]).into_owned();
    assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
    let id = head
        .lines()
        .find_map(|line| line.strip_prefix("x-request-id: "));
    let id = id.expect("the answer has an id").to_string();
    site.instances[0].process.signal("TERM");
    let status = site.instances[0].process.wait(STOP_TIMEOUT).await;
    assert_eq!(status.code(), Some(1));
    let cut = log_line(&site, "requests were cut");
    assert_eq!(cut["cut"], 1, "{cut}");
    assert_eq!(cut["answering"], 1, "{cut}");
    assert_eq!(cut["requests"], format!("{id}=answering"), "{cut}");
}

// Guards against a supervisor's repeated signal that cuts the answers in progress.
#[tokio::test]
async fn stop_signalled_again_cuts_nothing() {
    let mut site = Site::start("again").await;
    let prompt = sample::long_prompt("tena", TOKENS);
    let caller = &site.instances[0].caller;
    let mut streamed = caller.stream(&prompt, TOKENS).await.unwrap();
    streamed.read_tokens(5).await.unwrap();
    for _ in 0..3 {
        site.instances[0].process.signal("TERM");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(streamed.finish().await, StreamEnd::Done);
    assert_eq!(streamed.text, expected_text(&prompt, TOKENS));
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
