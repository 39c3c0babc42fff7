//! Batching of steps per engine.
//!
//! Decode steps that wait for the same engine are sent in one call. A prefill takes long and
//! would delay the decode steps of its batch, so it is sent in a call of its own.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::mpsc::UnboundedSender;

use hemlockwind_core::attempt::Attempt;
use hemlockwind_core::collections::HashMap;
use hemlockwind_core::edges::Engine;
use hemlockwind_core::engine::Step;
use hemlockwind_core::engine::StepId;
use hemlockwind_core::time::Instant;
use hemlockwind_stream::Event;

/// Maximum number of concurrent calls with decode steps to one engine.
const MAX_CALLS: usize = 4;
/// Maximum number of steps in one call.
const MAX_BATCH_STEPS: usize = 256;

/// `QueuedStep` is a step with the channel to the stream that waits for its result.
struct QueuedStep {
    step: Step,
    deadline: Instant,
    reply: UnboundedSender<Event>,
}

/// `EngineQueue` holds the steps that wait for one engine.
#[derive(Default)]
struct EngineQueue {
    waiting: VecDeque<QueuedStep>,
    calls: usize,
}

/// `StepBatcher` sends steps to engines in batches, with one queue per engine.
pub struct StepBatcher {
    engine: Arc<dyn Engine>,
    queues: Mutex<HashMap<SocketAddr, Arc<Mutex<EngineQueue>>>>,
}

impl StepBatcher {
    /// Creates a batcher that sends its calls through `engine`.
    pub fn new(engine: Arc<dyn Engine>) -> Self {
        Self {
            engine,
            queues: Mutex::default(),
        }
    }

    /// Sends a step to the engine at `addr`. Its result or failure is sent to `reply`.
    pub fn send(
        &self,
        addr: SocketAddr,
        step: Step,
        deadline: Instant,
        reply: UnboundedSender<Event>,
    ) {
        let queued = QueuedStep {
            step,
            deadline,
            reply,
        };
        if queued.step.prefill {
            let engine = Arc::clone(&self.engine);
            tokio::spawn(async move { call(&*engine, addr, vec![queued]).await });
            return;
        }
        let queue = Arc::clone(self.queues.lock().entry(addr).or_default());
        {
            let mut queue = queue.lock();
            queue.waiting.push_back(queued);
            if queue.calls >= MAX_CALLS {
                return;
            }
            queue.calls += 1;
        }
        let engine = Arc::clone(&self.engine);
        tokio::spawn(async move { drain(&*engine, addr, &queue).await });
    }
}

/// `CountedCall` is one of the calls that a queue counts. If its task panics, it is no longer counted:
/// the steps come from callers, so the process goes on.
struct CountedCall<'a>(&'a Mutex<EngineQueue>);

impl Drop for CountedCall<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.0.lock().calls -= 1;
        }
    }
}

/// Sends the steps of a queue until it is empty.
async fn drain(engine: &dyn Engine, addr: SocketAddr, queue: &Mutex<EngineQueue>) {
    let _call = CountedCall(queue);
    // Lets other tasks that are ready queue their steps first, so that these share a call.
    tokio::task::yield_now().await;
    loop {
        let batch: Vec<QueuedStep> = {
            let mut queue = queue.lock();
            let len = queue.waiting.len().min(MAX_BATCH_STEPS);
            if len == 0 {
                queue.calls -= 1;
                return;
            }
            queue.waiting.drain(..len).collect()
        };
        call(engine, addr, batch).await;
    }
}

/// Makes one call and reports to each stream the outcome of its step.
async fn call(engine: &dyn Engine, addr: SocketAddr, batch: Vec<QueuedStep>) {
    let deadline = batch.iter().map(|queued| queued.deadline).max();
    let mut replies: HashMap<StepId, UnboundedSender<Event>> = HashMap::default();
    let mut steps = Vec::with_capacity(batch.len());
    for queued in batch {
        replies.insert(queued.step.id, queued.reply);
        steps.push(queued.step);
    }
    let answer = engine.steps(addr, steps, deadline.unwrap_or(Instant::ZERO));
    let attempt = match answer.await {
        Ok(results) => {
            for result in results {
                if let Some(reply) = replies.remove(&result.id) {
                    // Fails if the stream has ended; then the result isn't needed.
                    let _ = reply.send(Event::Result(result));
                }
            }
            Attempt::Sent
        }
        Err((attempt, _)) => attempt,
    };
    for (id, reply) in replies {
        let _ = reply.send(Event::Failed { id, attempt });
    }
}
