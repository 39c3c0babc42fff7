//! Background tasks of a process, which ends if one of them panics.
//!
//! The runtime catches the panic of a task, and the process would live on without the task. What the
//! task has left half done is not known, so it is not started again: the process stops, and its
//! successor reads everything anew.

use std::any::Any;
use std::panic::AssertUnwindSafe;
use std::panic::resume_unwind;

use futures::FutureExt;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// `Panic` describes the panic of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Panic {
    /// The name of the task.
    pub task: &'static str,
    /// The message of the panic.
    pub message: String,
}

/// `Tasks` starts tasks and reports the first panic of any of them. Clones share the report.
#[derive(Clone, Debug, Default)]
pub struct Tasks {
    panicked: watch::Sender<Option<Panic>>,
}

impl Tasks {
    /// Starts the task `name`, without which the process can't go on.
    pub fn spawn(
        &self,
        name: &'static str,
        task: impl Future<Output = ()> + Send + 'static,
    ) -> JoinHandle<()> {
        let panicked = self.panicked.clone();
        tokio::spawn(async move {
            // What the task shares with others may be half changed; see the crate's documentation.
            if let Err(payload) = AssertUnwindSafe(task).catch_unwind().await {
                let panic = Panic {
                    task: name,
                    message: message(&*payload),
                };
                panicked.send_if_modified(|first| {
                    let is_first = first.is_none();
                    first.get_or_insert(panic);
                    is_first
                });
                resume_unwind(payload);
            }
        })
    }

    /// Waits until a task has panicked.
    pub async fn panicked(&self) -> Panic {
        let mut panicked = self.panicked.subscribe();
        let first = panicked.wait_for(Option::is_some).await;
        let first = first.ok().and_then(|panic| panic.clone());
        match first {
            Some(panic) => panic,
            // The sender is in `self`, so it is not dropped meanwhile.
            None => std::future::pending().await,
        }
    }
}

/// Returns the message of a panic.
fn message(payload: &(dyn Any + Send)) -> String {
    let text = payload.downcast_ref::<&str>().copied();
    let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or("a panic without a message").to_string()
}
