//! Panics of background tasks are reported, and nothing else is.

use std::time::Duration;

use tokio::time::timeout;

use hemlockwind_tasks::Panic;
use hemlockwind_tasks::Tasks;

const WAIT: Duration = Duration::from_secs(5);

#[tokio::test]
async fn panicked_reports_the_first_panic() {
    let tasks = Tasks::default();
    let waiting = tokio::spawn({
        let tasks = tasks.clone();
        async move { tasks.panicked().await }
    });
    let first = tasks.spawn("first", async { panic!("odd entry {}", 7) });
    assert!(first.await.unwrap_err().is_panic());
    let second = tasks.clone().spawn("second", async { panic!("another") });
    assert!(second.await.unwrap_err().is_panic());
    let expected = Panic {
        task: "first",
        message: "odd entry 7".into(),
    };
    assert_eq!(timeout(WAIT, waiting).await.unwrap().unwrap(), expected);
    // Also to who asks later.
    assert_eq!(timeout(WAIT, tasks.panicked()).await.unwrap(), expected);
}

#[tokio::test]
async fn panicked_ignores_tasks_that_end_or_are_aborted() {
    let tasks = Tasks::default();
    tasks.spawn("ends", async {}).await.unwrap();
    let aborted = tasks.spawn("aborted", std::future::pending());
    aborted.abort();
    assert!(aborted.await.unwrap_err().is_cancelled());
    let panicked = timeout(Duration::from_millis(50), tasks.panicked());
    assert!(panicked.await.is_err());
}
