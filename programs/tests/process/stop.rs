//! Planned stops and kills of an instance under load.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hemlockwind_standin::sample;
use serde_json::Value;
use tokio::task::JoinSet;

use crate::caller::Ended;
use crate::caller::Failure;
use crate::caller::expected;
use crate::site::Site;
use crate::site::eventually;

const TOKENS: u32 = 60;
const STREAMS: usize = 10;
/// Callers that send request after request, each on a new connection.
const LOOPS: usize = 6;
/// How long the loops may take to be under way on a busy machine.
const START: Duration = Duration::from_secs(30);
/// A stop must end within the time of the answers in progress.
const STOP: Duration = Duration::from_secs(30);

#[tokio::test]
async fn stop_under_load_cuts_nothing() {
    let mut site = Site::start("stop").await;
    let caller = site.instances[0].caller.clone();
    let prompt = sample::long_prompt("mwisho", TOKENS);
    let mut streams = Vec::new();
    for _ in 0..STREAMS {
        let mut streamed = caller.stream(&prompt, TOKENS).await.unwrap();
        streamed.read_tokens(1).await;
        streams.push(streamed);
    }
    // These go on until the instance takes no connection any more.
    let answered = Arc::new(AtomicUsize::new(0));
    let mut loops = JoinSet::new();
    for n in 0..LOOPS {
        let caller = caller.clone();
        let answered = Arc::clone(&answered);
        loops.spawn(async move {
            let mut cut = Vec::new();
            for round in 0.. {
                let body = serde_json::json!({
                    "model": sample::PIPELINE,
                    "prompt": format!("mzunguko {n} {round}"),
                    "max_tokens": 3,
                });
                let body = body.to_string().into_bytes();
                match caller.call("POST", "/v1/completions", &[], body).await {
                    Ok((status, _)) if status.is_success() => {
                        answered.fetch_add(1, Ordering::Relaxed);
                    }
                    // Refused in words, with nothing run.
                    Ok((_, body)) => {
                        let problem: Value = serde_json::from_slice(&body).unwrap();
                        assert_eq!(problem["ran"], "no", "{problem}");
                    }
                    Err(Failure::Refused) => break,
                    Err(Failure::Cut(why)) => cut.push(why),
                }
            }
            cut
        });
    }
    eventually("the loops are under way", START, || async {
        answered.load(Ordering::Relaxed) >= 5 * LOOPS
    })
    .await;
    site.instances[0].process.signal("TERM");
    for streamed in &mut streams {
        assert_eq!(streamed.finish().await, Ended::Done);
        assert_eq!(streamed.text, expected(&prompt, TOKENS));
    }
    let cut = loops.join_all().await.concat();
    println!(
        "planned stop: {STREAMS} streams whole, {} answered, {} cut",
        answered.load(Ordering::Relaxed),
        cut.len()
    );
    assert!(cut.is_empty(), "{cut:?}");
    let status = site.instances[0].process.wait(STOP).await;
    assert_eq!(status.code(), Some(0));
}

#[tokio::test]
async fn kill_callers_see_cut_streams_end() {
    let mut site = Site::start("kill").await;
    let caller = site.instances[0].caller.clone();
    let prompt = sample::long_prompt("ghafla", 100);
    let mut streamed = caller.stream(&prompt, 100).await.unwrap();
    streamed.read_tokens(5).await;
    site.instances[0].process.kill();
    // No word of an end that did not come, and no token that is wrong.
    assert_eq!(streamed.finish().await, Ended::Cut);
    assert!(expected(&prompt, 100).starts_with(&streamed.text));
    assert!(matches!(
        caller.stream(&prompt, 2).await,
        Err(Failure::Refused)
    ));
    let other = &site.instances[1].caller;
    eventually(
        "the other instance serves",
        Duration::from_secs(5),
        || async { other.complete(&prompt, 5).await == Ok(expected(&prompt, 5)) },
    )
    .await;
}
