//! The record of requests in progress, as the log line of a planned stop shows it.

use std::sync::Arc;

use http_body::Body;

use hemlockwind_gateway::answers;
use hemlockwind_gateway::in_progress::InProgress;
use hemlockwind_gateway::in_progress::Phase;
use hemlockwind_gateway::in_progress::TrackedBody;

#[tokio::test]
async fn describe_requests_without_a_running_server_first() {
    let requests = InProgress::default();
    let running = requests.begin(Some("a".into()));
    running.set_phase(Phase::Running);
    let resuming = requests.begin(Some("b".into()));
    resuming.set_phase(Phase::Resuming);
    let _reading = requests.begin(None);
    assert_eq!(requests.count_by_phase(), "reading:1 running:1 resuming:1");
    let listed = requests.describe();
    let names: Vec<&str> = listed.split(' ').collect();
    assert!(names[0].starts_with("b:resuming:"), "{listed}");
    assert!(names[1].starts_with("-:reading:"), "{listed}");
    assert!(names[2].starts_with("a:running:"), "{listed}");
}

#[tokio::test]
async fn describe_many_requests_is_bounded() {
    let requests = InProgress::default();
    let guards: Vec<_> = (0..40)
        .map(|i| requests.begin(Some(i.to_string())))
        .collect();
    assert_eq!(requests.describe().split(' ').count(), 16);
    assert_eq!(requests.len(), 40);
    drop(guards);
    assert!(requests.is_empty());
}

#[tokio::test]
async fn wait_until_the_last_guard_is_dropped() {
    let requests = InProgress::default();
    let guard = requests.begin(None);
    let waiting = requests.wait();
    tokio::pin!(waiting);
    assert!(futures::poll!(&mut waiting).is_pending());
    drop(guard);
    waiting.await;
}

#[tokio::test]
async fn tracked_body_length_is_known() {
    let requests = InProgress::default();
    let guard = Arc::new(requests.begin(None));
    let body = TrackedBody::new(answers::full("text".into()), guard);
    assert_eq!(body.size_hint().exact(), Some(4));
    assert_eq!(requests.len(), 1);
    drop(body);
    assert!(requests.is_empty());
}
