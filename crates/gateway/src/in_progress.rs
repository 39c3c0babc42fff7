//! The requests in progress, and what each of them waits for.

use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body::Frame;
use http_body::SizeHint;
use parking_lot::Mutex;
use slotmap::SlotMap;
use slotmap::new_key_type;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;
use tokio_util::task::task_tracker::TaskTrackerToken;

use crate::answers::Body;

/// Largest number of requests that [`InProgress::describe`] lists.
const MAX_DESCRIBED: usize = 16;

new_key_type! {
    /// `RequestKey` identifies a request in progress.
    struct RequestKey;
}

/// `Phase` is what a request in progress waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The rest of its body.
    Reading,
    /// A path or a server.
    Waiting,
    /// The begin of an answer: it was sent to a server.
    Starting,
    /// The rest of its answer: a server runs it.
    Running,
    /// The rest of its answer, or another run: the present one may have failed.
    Searching,
    /// Another run, as the latest one ended before its last event.
    Resuming,
    /// Its caller, who is still reading the answer.
    Answering,
}

impl Phase {
    /// Returns the name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Reading => "reading",
            Self::Waiting => "waiting",
            Self::Starting => "starting",
            Self::Running => "running",
            Self::Searching => "searching",
            Self::Resuming => "resuming",
            Self::Answering => "answering",
        }
    }
}

/// `Entry` describes one request in progress.
#[derive(Debug)]
struct Entry {
    /// The id of the caller's attempt.
    attempt: Option<String>,
    phase: Phase,
    arrived: Instant,
}

type Entries = Arc<Mutex<SlotMap<RequestKey, Entry>>>;

/// `InProgress` holds the requests in progress.
#[derive(Debug, Default)]
pub struct InProgress {
    entries: Entries,
    tracker: TaskTracker,
}

/// `RequestGuard` is held while a request is in progress; dropping it ends the request.
#[derive(Debug)]
pub struct RequestGuard {
    key: RequestKey,
    entries: Entries,
    _token: TaskTrackerToken,
}

/// `TrackedBody` is the body of an answer. It holds guards until it was read.
pub struct TrackedBody<G> {
    body: Body,
    _guards: G,
}

impl InProgress {
    /// Adds a request that is being read.
    pub fn begin(&self, attempt: Option<String>) -> RequestGuard {
        let entry = Entry {
            attempt,
            phase: Phase::Reading,
            arrived: Instant::now(),
        };
        RequestGuard {
            key: self.entries.lock().insert(entry),
            entries: Arc::clone(&self.entries),
            _token: self.tracker.token(),
        }
    }

    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.entries.lock().len()
    }

    /// Returns whether there are no requests.
    pub fn is_empty(&self) -> bool {
        self.entries.lock().is_empty()
    }

    /// Waits until there are no requests.
    pub async fn wait(&self) {
        self.tracker.close();
        self.tracker.wait().await;
    }

    /// Returns how many requests are in each phase, as `phase:number` separated by spaces.
    pub fn count_by_phase(&self) -> String {
        let mut counts: BTreeMap<Phase, usize> = BTreeMap::new();
        for entry in self.entries.lock().values() {
            *counts.entry(entry.phase).or_default() += 1;
        }
        let texts = counts.iter().map(|(p, n)| format!("{}:{n}", p.name()));
        texts.collect::<Vec<_>>().join(" ")
    }

    /// Returns up to 16 requests, those without a running server first, as `attempt:phase:age`
    /// with the age in milliseconds, separated by spaces.
    pub fn describe(&self) -> String {
        let entries = self.entries.lock();
        let mut listed: Vec<&Entry> = entries.values().collect();
        listed.sort_by_key(|e| (e.phase == Phase::Running, e.arrived));
        let texts = listed.iter().take(MAX_DESCRIBED).map(|e| {
            let attempt = e.attempt.as_deref().unwrap_or("-");
            let age = e.arrived.elapsed().as_millis();
            format!("{attempt}:{}:{age}", e.phase.name())
        });
        texts.collect::<Vec<_>>().join(" ")
    }
}

impl RequestGuard {
    /// Records what the request waits for from now on.
    pub fn set_phase(&self, phase: Phase) {
        if let Some(entry) = self.entries.lock().get_mut(self.key) {
            entry.phase = phase;
        }
    }
}

impl<G> TrackedBody<G> {
    /// Returns `body`, which holds `guards` until it is dropped.
    pub const fn new(body: Body, guards: G) -> Self {
        Self {
            body,
            _guards: guards,
        }
    }
}

impl<G: Unpin> http_body::Body for TrackedBody<G> {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.entries.lock().remove(self.key);
    }
}
