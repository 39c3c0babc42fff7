//! A leaving backend server gets no new requests, whichever source announces that it leaves.

use std::collections::HashSet;
use std::time::Duration;

use hemlockwind_standin::caller::StreamEnd;
use hemlockwind_standin::caller::expected_text;
use hemlockwind_standin::sample;
use serde_json::json;
use uuid::Uuid;

use crate::site::Site;

/// Maximum time until a leaving server gets no new requests.
const MAX_LEAVE_TIME: Duration = Duration::from_secs(3);
/// Maximum number of tokens of the stream that runs while its server leaves.
const TOKENS: u32 = 100;
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
