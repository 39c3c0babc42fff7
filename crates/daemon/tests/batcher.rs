//! Batches of steps whose task panics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use tokio::sync::mpsc;
use tokio::time::timeout;
use uuid::Uuid;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::attempt::Attempt;
use hemlockwind_core::edges::Engine;
use hemlockwind_core::edges::KvExport;
use hemlockwind_core::edges::Order;
use hemlockwind_core::engine::Incarnation;
use hemlockwind_core::engine::Input;
use hemlockwind_core::engine::LoadReport;
use hemlockwind_core::engine::Output;
use hemlockwind_core::engine::RequestId;
use hemlockwind_core::engine::Step;
use hemlockwind_core::engine::StepId;
use hemlockwind_core::engine::StepResult;
use hemlockwind_core::engine::Token;
use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::names::Rank;
use hemlockwind_core::time::Instant;
use hemlockwind_daemon::batcher::StepBatcher;
use hemlockwind_stream::Event;

/// More calls than the batcher makes at a time to one engine.
const PANICS: usize = 6;

/// `PanickingEngine` panics in its first calls.
#[derive(Default)]
struct PanickingEngine {
    calls: AtomicUsize,
}

#[async_trait]
impl Engine for PanickingEngine {
    async fn steps(
        &self,
        _to: SocketAddr,
        steps: Vec<Step>,
        _deadline: Instant,
    ) -> Result<Vec<StepResult>, (Attempt, Error)> {
        assert!(self.calls.fetch_add(1, Ordering::Relaxed) >= PANICS, "odd");
        let results = steps.into_iter().map(|step| StepResult {
            id: step.id,
            output: Output::Token(Token {
                id: 1,
                text: "a".into(),
                end: false,
            }),
        });
        Ok(results.collect())
    }

    async fn cancel(&self, _to: SocketAddr, _request: RequestId) -> Result<()> {
        Ok(())
    }

    async fn export(&self, _from: SocketAddr, _request: RequestId) -> Result<KvExport> {
        Err(Error::DeadlinePassed)
    }

    async fn import(
        &self,
        _to: SocketAddr,
        _request: RequestId,
        _incarnation: Incarnation,
        _cache: KvExport,
    ) -> Result<()> {
        Ok(())
    }

    async fn load(&self, _at: SocketAddr, _fresh: bool) -> Result<LoadReport> {
        Err(Error::DeadlinePassed)
    }

    async fn order(&self, _to: SocketAddr, _order: Order) -> Result<()> {
        Ok(())
    }
}

// Guards against an engine that gets no more steps, as its calls are counted for ever.
#[tokio::test]
async fn send_after_calls_that_panicked() {
    let batcher = StepBatcher::new(Arc::new(PanickingEngine::default()));
    for token in 0..=PANICS as u32 {
        let step = Step {
            id: StepId {
                request: RequestId(Uuid::nil()),
                incarnation: Incarnation(1),
                token,
                layers: LayerRange::new(0, 4).unwrap(),
            },
            rank: Rank(0),
            prefill: false,
            input: Input::Token(1),
        };
        let (tx, mut rx) = mpsc::unbounded_channel();
        let addr = "127.0.0.1:9".parse().unwrap();
        batcher.send(addr, step, Instant::NEVER, tx);
        let answer = timeout(Duration::from_secs(5), rx.recv()).await;
        let answer = answer.expect("the step's call ends");
        let is_answered = matches!(answer, Some(Event::Result(_)));
        assert_eq!(is_answered, token as usize == PANICS, "{token}: {answer:?}");
    }
}
