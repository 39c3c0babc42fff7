//! Completions over three stages: without failures, with the platform down, and with callers that
//! disconnect.

use std::collections::HashMap;
use std::time::Duration;

use hemlockwind_standin::caller::StreamEnd;
use hemlockwind_standin::caller::expected_text;
use hemlockwind_standin::sample;

use crate::site::Site;
use crate::site::eventually;

/// Maximum number of tokens of an answer.
const TOKENS: u32 = 20;
const CALLERS: usize = 12;

#[tokio::test]
async fn completion_three_stages_equals_oracle() {
    let site = Site::start("whole").await;
    let calls = (0..CALLERS).map(|n| {
        let caller = site.instances[n % 2].caller.clone();
        async move {
            let prompt = format!("taa {n}");
            let text = caller.complete(&prompt, TOKENS).await.unwrap();
            assert_eq!(text, expected_text(&prompt, TOKENS));
            let mut streamed = caller.stream(&prompt, TOKENS).await.unwrap();
            assert_eq!(streamed.finish().await, StreamEnd::Done);
            assert_eq!(streamed.text, text);
            2 * streamed.token_times.len()
        }
    });
    let tokens: usize = futures::future::join_all(calls).await.iter().sum();

    // Each layer ran once for each token.
    let mut layers_run: HashMap<_, u64> = HashMap::new();
    for engine in &site.engines {
        for run in engine.ran().await.runs {
            assert_eq!(run.count, 1, "{run:?}");
            for layer in run.id.start..run.id.end {
                *layers_run
                    .entry((run.id.request, run.id.token, layer))
                    .or_default() += 1;
            }
        }
    }
    assert!(layers_run.values().all(|&count| count == 1));
    assert_eq!(layers_run.len(), tokens * usize::from(sample::MODEL_LAYERS));
}

#[tokio::test]
async fn completion_platform_killed_succeeds() {
    let mut site = Site::start("outage").await;
    let prompt = sample::long_prompt("lampa", 60);
    let caller = site.instances[0].caller.clone();
    let mut streamed = caller.stream(&prompt, 60).await.unwrap();
    streamed.read_tokens(10).await.unwrap();
    site.platform.kill();
    assert_eq!(streamed.finish().await, StreamEnd::Done);
    assert_eq!(streamed.text, expected_text(&prompt, 60));
    for instance in &site.instances {
        for n in 0..4 {
            let prompt = format!("bila jukwaa {n}");
            let text = instance.caller.complete(&prompt, TOKENS).await;
            assert_eq!(text, Ok(expected_text(&prompt, TOKENS)));
        }
    }
}

#[tokio::test]
async fn completion_caller_disconnect_cancels_streams() {
    let site = Site::start("gone").await;
    // Uncancelled, the streams would take more than twice the time allowed below.
    let prompt = sample::long_prompt("nimeondoka", 400);
    let mut streams = Vec::new();
    for n in 0..6 {
        let caller = &site.instances[n % 2].caller;
        let mut streamed = caller.stream(&prompt, 400).await.unwrap();
        streamed.read_tokens(2).await.unwrap();
        streams.push(streamed);
    }
    site.engine_in_use(1).await;
    drop(streams);
    eventually(
        "no engine holds a stream",
        Duration::from_secs(2),
        || async {
            let mut left = 0;
            for engine in &site.engines {
                left += engine.streams().await.len();
            }
            left == 0
        },
    )
    .await;
}
