//! Continuous batching: each iteration runs waiting steps, the most urgent first.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use hemlockwind_core::engine::Output;
use hemlockwind_core::engine::RequestId;
use hemlockwind_core::engine::Step;
use hemlockwind_core::names::Rank;

use super::Engine;

/// `Job` is a step and the channel for its result.
#[derive(Debug)]
pub struct Job {
    pub step: Step,
    pub result: oneshot::Sender<Output>,
}

/// `Batch` holds the steps that wait for an iteration.
#[derive(Debug, Default)]
pub struct Batch {
    waiting: Mutex<Waiting>,
    added: Notify,
    iterations: AtomicU64,
}

#[derive(Debug, Default)]
struct Waiting {
    /// The steps by rank and sequence number.
    jobs: BTreeMap<(Rank, u64), Job>,
    next_sequence: u64,
}

impl Batch {
    /// Adds a step and returns the receiver of its result, which fails if the step is removed.
    pub fn push(&self, step: Step) -> oneshot::Receiver<Output> {
        let (result, rx) = oneshot::channel();
        let mut waiting = self.waiting.lock();
        let key = (step.rank, waiting.next_sequence);
        waiting.next_sequence += 1;
        waiting.jobs.insert(key, Job { step, result });
        drop(waiting);
        self.added.notify_one();
        rx
    }

    /// Removes the waiting steps of a request.
    pub fn remove(&self, request: RequestId) {
        let mut waiting = self.waiting.lock();
        waiting.jobs.retain(|_, job| job.step.id.request != request);
    }

    /// Returns the number of iterations so far.
    pub fn iterations(&self) -> u64 {
        self.iterations.load(Ordering::Relaxed)
    }

    /// Removes and returns at most `limit` steps, the most urgent and then the oldest first.
    fn take(&self, limit: usize) -> Vec<Job> {
        let mut waiting = self.waiting.lock();
        let mut jobs = Vec::new();
        while jobs.len() < limit {
            let Some((_, job)) = waiting.jobs.pop_first() else {
                break;
            };
            jobs.push(job);
        }
        jobs
    }
}

/// Runs iterations forever.
pub async fn run(engine: Arc<Engine>) {
    let limit = engine.options.limit.max(1) as usize;
    loop {
        let jobs = engine.batch.take(limit);
        if jobs.is_empty() {
            engine.batch.added.notified().await;
            continue;
        }
        let time = iteration_time(&engine, &jobs);
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
        engine.batch.iterations.fetch_add(1, Ordering::Relaxed);
        engine.iterate(jobs);
    }
}

/// Returns the duration of an iteration with these steps.
fn iteration_time(engine: &Engine, jobs: &[Job]) -> Duration {
    let prefills = jobs.iter().filter(|job| job.step.prefill);
    let prefill_ms: f64 = prefills.map(|_| engine.options.prefill_ms).sum();
    let ms = engine.options.step_ms + prefill_ms;
    Duration::try_from_secs_f64(ms / 1_000.0).unwrap_or_default()
}
