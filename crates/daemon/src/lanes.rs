//! Batches of steps on their way to engines.
//!
//! Steps that wait for the same engine travel in one call. A prefill takes long
//! and would hold the decode steps of its batch, so it travels alone.

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

/// Calls with decode steps that may be under way to one engine.
const CALLS: usize = 4;
/// Steps that travel in one call at most.
const BATCH: usize = 256;

/// `Ticket` is one step with the stream that waits for its result.
struct Ticket {
    step: Step,
    deadline: Instant,
    reply: UnboundedSender<Event>,
}

/// `Lane` is the way to one engine.
#[derive(Default)]
struct Lane {
    waiting: VecDeque<Ticket>,
    calls: usize,
}

/// `Lanes` holds the ways to all engines.
pub struct Lanes {
    engine: Arc<dyn Engine>,
    lanes: Mutex<HashMap<SocketAddr, Arc<Mutex<Lane>>>>,
}

impl Lanes {
    /// Lanes over `engine`.
    pub fn new(engine: Arc<dyn Engine>) -> Self {
        Self {
            engine,
            lanes: Mutex::default(),
        }
    }

    /// Sends a step; its result or failure goes to `reply`.
    pub fn send(
        &self,
        addr: SocketAddr,
        step: Step,
        deadline: Instant,
        reply: UnboundedSender<Event>,
    ) {
        let ticket = Ticket {
            step,
            deadline,
            reply,
        };
        if ticket.step.prefill {
            let engine = Arc::clone(&self.engine);
            tokio::spawn(async move { call(&*engine, addr, vec![ticket]).await });
            return;
        }
        let lane = Arc::clone(self.lanes.lock().entry(addr).or_default());
        {
            let mut lane = lane.lock();
            lane.waiting.push_back(ticket);
            if lane.calls >= CALLS {
                return;
            }
            lane.calls += 1;
        }
        let engine = Arc::clone(&self.engine);
        tokio::spawn(async move { drain(&*engine, addr, &lane).await });
    }
}

/// Sends what waits in a lane until nothing does.
async fn drain(engine: &dyn Engine, addr: SocketAddr, lane: &Mutex<Lane>) {
    // Steps that become ready in the same turn of the scheduler share a call.
    tokio::task::yield_now().await;
    loop {
        let batch: Vec<Ticket> = {
            let mut lane = lane.lock();
            let len = lane.waiting.len().min(BATCH);
            if len == 0 {
                lane.calls -= 1;
                return;
            }
            lane.waiting.drain(..len).collect()
        };
        call(engine, addr, batch).await;
    }
}

/// Makes one call and gives each stream what became of its step.
async fn call(engine: &dyn Engine, addr: SocketAddr, batch: Vec<Ticket>) {
    let deadline = batch.iter().map(|ticket| ticket.deadline).max();
    let mut replies: HashMap<StepId, UnboundedSender<Event>> = HashMap::default();
    let mut steps = Vec::with_capacity(batch.len());
    for ticket in batch {
        replies.insert(ticket.step.id, ticket.reply);
        steps.push(ticket.step);
    }
    let answer = engine.steps(addr, steps, deadline.unwrap_or(Instant::ZERO));
    let attempt = match answer.await {
        Ok(results) => {
            for result in results {
                if let Some(reply) = replies.remove(&result.id) {
                    // A stream that has ended needs no result.
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
