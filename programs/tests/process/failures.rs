//! Streams during which a stage is killed or paused, or its connection becomes silent.

use std::time::Duration;

use hemlockwind_standin::caller::StreamEnd;
use hemlockwind_standin::caller::expected_text;
use hemlockwind_standin::sample;
use serde_json::json;

use crate::site::STEP_MS;
use crate::site::Site;

/// Maximum number of tokens of each stream.
const TOKENS: u32 = 80;
/// Number of streams that run when the fault occurs.
const STREAMS: usize = 4;
/// Maximum gap between two tokens of a stream, in addition to the time for detection.
const MAX_RECOVERY_GAP: Duration = Duration::from_millis(1_000);
/// Time after which an engine that does not answer is considered failed.
const DETECTION_TIME: Duration = Duration::from_millis(STEP_MS);

/// `Fault` is how a stage fails.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Killed,
    Paused,
    Silent,
}

/// Runs streams, injects `fault` into `stage` while they run, and checks that all answers are
/// complete and correct. Returns the longest gap between two tokens of a stream.
async fn run_with_fault(name: &str, stage: usize, fault: Fault) -> Duration {
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
        Fault::Paused => engine.process.signal("STOP"),
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
    assert!(run_with_fault("killed-first", 0, Fault::Killed).await <= MAX_RECOVERY_GAP);
}

#[tokio::test]
async fn stream_middle_stage_killed_whole_answer() {
    assert!(run_with_fault("killed-middle", 1, Fault::Killed).await <= MAX_RECOVERY_GAP);
}

#[tokio::test]
async fn stream_last_stage_killed_whole_answer() {
    assert!(run_with_fault("killed-last", 2, Fault::Killed).await <= MAX_RECOVERY_GAP);
}

#[tokio::test]
async fn stream_stage_paused_whole_answer() {
    assert!(run_with_fault("stopped", 1, Fault::Paused).await <= DETECTION_TIME + MAX_RECOVERY_GAP);
}

#[tokio::test]
async fn stream_connection_silent_whole_answer() {
    assert!(run_with_fault("silent", 1, Fault::Silent).await <= DETECTION_TIME + MAX_RECOVERY_GAP);
}
