//! A leaving backend server gets no new requests, whichever source announces that it leaves.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use hemlockwind_standin::caller::StreamEnd;
use hemlockwind_standin::caller::completion_request;
use hemlockwind_standin::caller::expected_text;
use hemlockwind_standin::sample;
use serde_json::Value;
use serde_json::json;
use uuid::Uuid;

use crate::site::Options;
use crate::site::STEP_MS;
use crate::site::Site;
use crate::site::eventually;

/// Maximum time until a leaving server gets no new requests.
const MAX_LEAVE_TIME: Duration = Duration::from_secs(3);
/// Maximum number of tokens of the stream that runs while its server leaves.
const TOKENS: u32 = 100;
/// How long a planned stop may take. It ends when the answers in progress are complete.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);
/// Duration of an iteration of engines whose streams outlast the notice of a leaving server.
const STAYING_ITERATION_MS: u32 = 12;
/// Header with a deadline that a stream meets unless it waits for a path.
const LATE_DEADLINE: (&str, &str) = ("x-hemlockwind-deadline-ms", "20000");
/// Number of requests that are sent after that time.
const REQUESTS: usize = 24;

/// `Source` is what announces to the instances that a server is leaving.
#[derive(Clone, Copy, Debug)]
enum Source {
    Report,
    List,
    Configuration,
}

/// Has `source` announce that an engine of the middle stage is leaving while a stream runs on it,
/// and checks that the stream ends as usual and later requests don't reach the engine.
async fn check_leaving(name: &str, source: Source) {
    let site = Site::start(name).await;
    let caller = &site.instances[0].caller;
    let prompt = sample::long_prompt("kuondoka", TOKENS);
    let mut streamed = caller.stream(&prompt, TOKENS).await.unwrap();
    streamed.read_tokens(2).await.unwrap();
    let index = site.engine_in_use(1).await;
    announce_leaving(&site, index, source).await;
    tokio::time::sleep(MAX_LEAVE_TIME).await;
    assert_eq!(streamed.finish().await, StreamEnd::Done);
    assert_eq!(streamed.text, expected_text(&prompt, TOKENS));

    let before = requests(&site, index).await;
    let calls = (0..REQUESTS).map(|n| {
        let caller = site.instances[n % 2].caller.clone();
        async move {
            let prompt = format!("baada ya {n}");
            let text = caller.complete(&prompt, 4).await.unwrap();
            assert_eq!(text, expected_text(&prompt, 4));
        }
    });
    futures::future::join_all(calls).await;
    let after = requests(&site, index).await;
    assert_eq!(after.difference(&before).count(), 0, "{source:?}");
}

/// Has `source` announce that the engine at `index` is leaving.
async fn announce_leaving(site: &Site, index: usize, source: Source) {
    let engine = &site.engines[index];
    let name = format!("runner-{index}");
    match source {
        Source::Report => engine.set_faults(&json!({"leaving": true})).await,
        Source::List => site.set_instance_list(Some(index)).await,
        Source::Configuration => {
            let status = tokio::process::Command::new(env!("CARGO_BIN_EXE_hemlockwind"))
                .args([
                    "drain",
                    "--settings",
                    site.settings.to_str().unwrap(),
                    &name,
                ])
                .status();
            assert!(status.await.unwrap().success());
        }
    }
}

/// Returns the requests that ran on an engine.
async fn requests(site: &Site, index: usize) -> HashSet<Uuid> {
    let runs = site.engines[index].ran().await.runs;
    runs.iter().map(|run| run.id.request).collect()
}

#[tokio::test]
async fn leave_load_report() {
    check_leaving("leaving-report", Source::Report).await;
}

#[tokio::test]
async fn leave_platform_list() {
    check_leaving("leaving-list", Source::List).await;
}

#[tokio::test]
async fn leave_operator_drain() {
    check_leaving("leaving-drain", Source::Configuration).await;
}

/// What keeps the streams of a leaving engine from moving to its twin.
#[derive(Clone, Copy, Debug)]
enum Obstacle {
    Killed,
    Silent,
    Full,
    Leaving,
}

// Guards against LOST of the report of issue 41: a stream gave up its place on a leaving server before
// another server had accepted it.
async fn check_stays_until_accepted(name: &str, obstacle: Obstacle) {
    let options = Options {
        engine_streams: match obstacle {
            Obstacle::Full => 1,
            Obstacle::Killed | Obstacle::Silent | Obstacle::Leaving => sample::MAX_IN_FLIGHT,
        },
        iteration_ms: STAYING_ITERATION_MS,
        ..Options::default()
    };
    let mut site = Site::start_with(name, options).await;
    let prompt = sample::long_prompt("kubaki", TOKENS);
    let mut streams = Vec::new();
    // Streams of the second instance run on the twin.
    let instances = match obstacle {
        Obstacle::Killed => 1,
        Obstacle::Silent | Obstacle::Full | Obstacle::Leaving => 2,
    };
    for index in 0..instances {
        let caller = site.instances[index].caller.clone();
        let mut streamed = caller.stream(&prompt, TOKENS).await.unwrap();
        streamed.read_tokens(2).await.unwrap();
        streams.push(streamed);
    }
    let index = site.engine_in_use(1).await;
    let twin = (index + sample::STAGES.len()) % site.engines.len();
    match obstacle {
        Obstacle::Killed => site.engines[twin].process.kill(),
        Obstacle::Silent => {
            let faults = json!({"silent_moves": true});
            site.engines[twin].set_faults(&faults).await;
        }
        Obstacle::Full => {}
        Obstacle::Leaving => announce_leaving(&site, twin, Source::Report).await,
    }
    announce_leaving(&site, index, Source::Report).await;
    site.instances[0].process.signal("TERM");
    let name = format!("runner-{index}");
    let admin = &site.instances[0].admin;
    eventually("the leaving is noticed", MAX_LEAVE_TIME, || async {
        let status = admin.json("GET", "/v1/status", vec![]).await.unwrap();
        let status: Value = serde_json::from_slice(&status).unwrap();
        let leaving = status["leaving"].as_array().unwrap();
        leaving.iter().any(|leaving| *leaving == name)
    })
    .await;
    let noticed = Instant::now();
    for streamed in &mut streams {
        assert_eq!(streamed.finish().await, StreamEnd::Done, "{obstacle:?}");
        assert_eq!(streamed.text, expected_text(&prompt, TOKENS));
        assert!(streamed.token_times.last() > Some(&noticed));
    }
    if !matches!(obstacle, Obstacle::Killed) {
        let runs = site.engines[index].ran().await.runs;
        assert!(runs.iter().all(|run| run.count == 1), "{obstacle:?}");
    }
    let status = site.instances[0].process.wait(STOP_TIMEOUT).await;
    assert_eq!(status.code(), Some(0));
}

#[tokio::test]
async fn leave_other_server_killed_streams_stay() {
    check_stays_until_accepted("stay-killed", Obstacle::Killed).await;
}

#[tokio::test]
async fn leave_other_server_silent_streams_stay() {
    check_stays_until_accepted("stay-silent", Obstacle::Silent).await;
}

#[tokio::test]
async fn leave_other_server_full_streams_stay() {
    check_stays_until_accepted("stay-full", Obstacle::Full).await;
}

#[tokio::test]
async fn leave_other_server_leaves_too_streams_stay() {
    check_stays_until_accepted("stay-leaving", Obstacle::Leaving).await;
}

// Guards against the same loss when the leaving server is removed from the configuration.
#[tokio::test]
async fn leave_removed_streams_stay() {
    let options = Options {
        iteration_ms: STAYING_ITERATION_MS,
        ..Options::default()
    };
    let mut site = Site::start_with("stay-removed", options).await;
    let caller = site.instances[0].caller.clone();
    let prompt = sample::long_prompt("kuondolewa", TOKENS);
    let mut streamed = caller.stream(&prompt, TOKENS).await.unwrap();
    streamed.read_tokens(2).await.unwrap();
    let index = site.engine_in_use(1).await;
    let twin = (index + sample::STAGES.len()) % site.engines.len();
    site.engines[twin].process.kill();
    site.remove_engine(index).await;
    let removed = Instant::now();
    assert_eq!(streamed.finish().await, StreamEnd::Done);
    assert_eq!(streamed.text, expected_text(&prompt, TOKENS));
    assert!(streamed.token_times.last() > Some(&removed));
}

// Guards against the same loss when one answer of the leaving server comes too late: it refuses the
// prefill of another run, but its KV cache is still there.
#[tokio::test]
async fn leave_late_answer_streams_stay() {
    let options = Options {
        iteration_ms: STAYING_ITERATION_MS,
        ..Options::default()
    };
    let mut site = Site::start_with("stay-late", options).await;
    let caller = site.instances[0].caller.clone();
    let prompt = sample::long_prompt("kuchelewa", TOKENS);
    let body = completion_request(&prompt, TOKENS, false);
    let call = tokio::spawn(async move {
        let headers = [LATE_DEADLINE];
        let path = "/v1/completions";
        caller.call("POST", path, &headers, body).await
    });
    tokio::time::sleep(Duration::from_millis(500)).await;
    let index = site.engine_in_use(1).await;
    let twin = (index + sample::STAGES.len()) % site.engines.len();
    site.engines[twin].process.kill();
    let late = json!({"every": 60, "delay_ms": 2 * STEP_MS});
    let faults = json!({"leaving": true, "late": late});
    site.engines[index].set_faults(&faults).await;
    let (status, body) = call.await.unwrap().unwrap();
    let body: Value = serde_json::from_slice(&body).unwrap();
    assert!(status.is_success(), "{status} {body}");
    assert_eq!(body["choices"][0]["text"], expected_text(&prompt, TOKENS));
}
