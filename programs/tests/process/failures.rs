//! Stages that die, freeze or go silent in the middle of streams.

use std::time::Duration;

use hemlockwind_standin::caller::StreamEnd;
use hemlockwind_standin::caller::expected_text;
use hemlockwind_standin::sample;
use serde_json::json;

use crate::site::STEP_MS;
use crate::site::Site;

const TOKENS: u32 = 80;
/// Streams that the failure hits together.
const STREAMS: usize = 4;
/// The longest gap in a stream above the time that detection takes.
const RECOVERY: Duration = Duration::from_millis(1_000);
/// The detection of an engine that does not answer.
const DETECTION: Duration = Duration::from_millis(STEP_MS);

/// `Fault` is what happens to a stage.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Killed,
    Stopped,
    Silent,
}

/// Runs streams, lets `fault` hit `stage` in the middle, and checks the answers.
/// Gives the longest gap in any of them.
async fn strike(name: &str, stage: usize, fault: Fault) -> Duration {
    let mut site = Site::start(name).await;
    let caller = site.instances[0].caller.clone();
    let prompts: Vec<_> = (0..STREAMS)
        .map(|n| sample::long_prompt(&format!("mtiririko {n}"), TOKENS))
        .collect();
    let mut streams = Vec::new();
    for prompt in &prompts {
        streams.push(caller.stream(prompt, TOKENS).await.unwrap());
    }
    for streamed in &mut streams {
        streamed.read_tokens(10).await.unwrap();
    }
    let index = site.engine_in_use(stage).await;
    let engine = &mut site.engines[index];
    match fault {
        Fault::Killed => engine.process.kill(),
        Fault::Stopped => engine.process.signal("STOP"),
        Fault::Silent => engine.set_faults(&json!({"silent": true})).await,
    }
    let finished = streams.iter_mut().map(|streamed| async {
        let from = streamed.token_times.len() - 1;
        let ended = streamed.finish().await;
        (ended, streamed.text.clone(), streamed.longest_gap(from))
    });
    let finished = futures::future::join_all(finished).await;
    let mut longest = Duration::ZERO;
    for ((ended, text, gap), prompt) in finished.into_iter().zip(&prompts) {
        assert_eq!(ended, StreamEnd::Done, "{fault:?}");
        assert_eq!(text, expected_text(prompt, TOKENS), "{fault:?}");
        longest = longest.max(gap);
    }
    println!(
        "stage {stage} {fault:?}: longest gap {} ms",
        longest.as_millis()
    );
    longest
}

#[tokio::test]
async fn stream_first_stage_killed_whole_answer() {
    assert!(strike("killed-first", 0, Fault::Killed).await <= RECOVERY);
}

#[tokio::test]
async fn stream_middle_stage_killed_whole_answer() {
    assert!(strike("killed-middle", 1, Fault::Killed).await <= RECOVERY);
}

#[tokio::test]
async fn stream_last_stage_killed_whole_answer() {
    assert!(strike("killed-last", 2, Fault::Killed).await <= RECOVERY);
}

#[tokio::test]
async fn stream_stage_stopped_whole_answer() {
    assert!(strike("stopped", 1, Fault::Stopped).await <= DETECTION + RECOVERY);
}

#[tokio::test]
async fn stream_connection_silent_whole_answer() {
    assert!(strike("silent", 1, Fault::Silent).await <= DETECTION + RECOVERY);
}
