//! Drives one stream: it carries out what the stream's decisions ask for.

use std::collections::VecDeque;
use std::sync::Arc;

use slog::debug;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::sleep;

use hemlockwind_core::attempt::Attempt;
use hemlockwind_core::attempt::Attempts;
use hemlockwind_core::engine::Incarnation;
use hemlockwind_core::engine::Output;
use hemlockwind_core::engine::Step;
use hemlockwind_core::engine::StepId;
use hemlockwind_core::engine::StepResult;
use hemlockwind_core::engine::Token;
use hemlockwind_core::names::BackendServerKey;
use hemlockwind_core::time::Instant;
use hemlockwind_stream::Action;
use hemlockwind_stream::Event;
use hemlockwind_stream::Finish;
use hemlockwind_stream::Options;
use hemlockwind_stream::Stage;
use hemlockwind_stream::Stream;
use hemlockwind_telemetry::histograms::Measure;

use crate::health;
use crate::instance::Instance;
use crate::pool::Slot;
use crate::work::Work;
use crate::work::admit;

/// Paths that a stream may be prefilled over.
const MAX_INCARNATIONS: u32 = 8;

/// Paths that a stream gets without drawing on the retry budget: the first, and
/// one for a stage that failed under many streams at once.
const FREE_INCARNATIONS: Incarnation = Incarnation(2);

/// `Progress` is what a caller's side hears of a stream.
#[derive(Clone, Debug)]
pub enum Progress {
    /// The next token.
    Token(Token),
    /// The stream is over.
    End(Finish),
}

/// Waits for a slot of a pool, then drives the stream until it ends. The stream
/// is cancelled when nobody listens to `out` any more.
pub async fn drive(instance: Arc<Instance>, work: Work, out: UnboundedSender<Progress>) {
    let slot = tokio::select! {
        slot = admit(&instance, &work) => slot,
        () = out.closed() => return,
    };
    match slot {
        Ok(slot) => run(instance, work, slot, out).await,
        Err(error) => {
            instance.metrics.count("requests.refused", 1);
            let ran = Attempts::default().ran();
            // When the caller is gone, nobody needs the error.
            let _ = out.send(Progress::End(Finish::Failed(error, ran)));
        }
    }
}

/// Drives a stream that has a slot.
async fn run(instance: Arc<Instance>, work: Work, slot: Slot, out: UnboundedSender<Progress>) {
    let limits = instance.settings.limits;
    let options = Options {
        request: work.id,
        rank: work.rank,
        prompt: work.prompt.clone(),
        max_tokens: work.max_tokens,
        model_layers: work.model_layers,
        deadline: work.deadline,
        step_timeout: std::time::Duration::from_millis(limits.step_ms),
        prefill_timeout: std::time::Duration::from_millis(limits.prefill_ms),
        max_incarnations: MAX_INCARNATIONS,
    };
    let now = instance.edges.clock.now();
    let (stream, actions) = Stream::new(options, now);
    let (tx, rx) = mpsc::unbounded_channel();
    let driver = Driver {
        last_token_at: work.arrived_at,
        slot,
        instance,
        work,
        stream,
        out,
        tx,
        events: VecDeque::new(),
        counted: Vec::new(),
        outstanding: None,
    };
    driver.run(rx, actions).await;
}

/// `Outstanding` is the step that was sent last.
#[derive(Clone, Copy)]
struct Outstanding {
    id: StepId,
    server: BackendServerKey,
    prefill: bool,
    sent_at: Instant,
}

/// `Driver` is the stream's state with its ways in and out.
struct Driver {
    instance: Arc<Instance>,
    slot: Slot,
    work: Work,
    stream: Stream,
    out: UnboundedSender<Progress>,
    tx: UnboundedSender<Event>,
    events: VecDeque<Event>,
    counted: Vec<BackendServerKey>,
    outstanding: Option<Outstanding>,
    last_token_at: Instant,
}

impl Driver {
    /// Takes events until the stream is over.
    async fn run(mut self, mut rx: UnboundedReceiver<Event>, mut actions: Vec<Action>) {
        let mut left = self.instance.fleet.subscribe();
        loop {
            let mut is_over = false;
            for action in actions {
                is_over |= matches!(action, Action::Finish(_));
                self.perform(action);
            }
            if is_over {
                break;
            }
            let event = match self.events.pop_front() {
                Some(event) => event,
                None => {
                    let now = self.instance.edges.clock.now();
                    let wait = self.stream.next_deadline().since(now);
                    tokio::select! {
                        Some(event) = rx.recv() => event,
                        Ok(server) = left.recv() => Event::Left(server),
                        () = self.out.closed() => Event::Cancel,
                        () = sleep(wait) => Event::Tick,
                    }
                }
            };
            self.learn(&event);
            let may_change_path = matches!(event, Event::Path(_) | Event::Imported { .. });
            actions = self.stream.on_event(self.instance.edges.clock.now(), event);
            if may_change_path {
                // The stream need not take the path that it was given.
                self.count(self.stream.servers().collect());
            }
        }
        self.count(Vec::new());
        let tokens = u64::from(self.stream.tokens()) + self.work.prompt_tokens();
        self.slot.cost = tokens * u64::from(self.work.model_layers);
    }

    /// Carries out one action.
    fn perform(&mut self, action: Action) {
        match action {
            Action::Choose { avoid, keep } => self.choose(&avoid, &keep),
            Action::Send {
                server,
                step,
                deadline,
            } => self.send(server, step, deadline),
            Action::Doubt(server) => health::on_failure(&self.instance, server),
            Action::Move {
                from,
                to,
                incarnation,
            } => self.transfer(from, to, incarnation),
            Action::Emit(token) => self.emit(token),
            Action::Release(server) => self.release(server),
            Action::Finish(finish) => self.finish(finish),
        }
    }

    /// Chooses a path.
    fn choose(&mut self, avoid: &[BackendServerKey], keep: &[Stage]) {
        let now = self.instance.edges.clock.now();
        let is_late_retry = self.stream.incarnation() >= FREE_INCARNATIONS;
        if is_late_retry && !self.instance.health.may_retry(now) {
            self.instance.metrics.count("retries.refused", 1);
            self.events.push_back(Event::NoPath);
            return;
        }
        let fleet = &self.instance.fleet;
        match fleet.choose(now, (self.work.model, self.slot.centre), avoid, keep) {
            Some(path) => self.events.push_back(Event::Path(path)),
            None => self.events.push_back(Event::NoPath),
        }
    }

    /// Counts the stream on `servers` and no others.
    fn count(&mut self, servers: Vec<BackendServerKey>) {
        let fleet = &self.instance.fleet;
        for &server in &servers {
            fleet.begin(server);
        }
        for server in std::mem::replace(&mut self.counted, servers) {
            fleet.end(server);
        }
    }

    /// Sends a step on the lane of its server.
    fn send(&mut self, server: BackendServerKey, step: Step, deadline: Instant) {
        let id = step.id;
        self.outstanding = Some(Outstanding {
            id,
            server,
            prefill: step.prefill,
            sent_at: self.instance.edges.clock.now(),
        });
        let Some(place) = self.instance.fleet.place(server) else {
            let attempt = Attempt::Unsent;
            self.events.push_back(Event::Failed { id, attempt });
            return;
        };
        let lanes = &self.instance.lanes;
        lanes.send(place.addr, step, deadline, self.tx.clone());
    }

    /// Moves the KV cache of this stream, aside from the loop.
    fn transfer(&self, from: BackendServerKey, to: BackendServerKey, incarnation: Incarnation) {
        let failed = Event::ImportFailed { to, incarnation };
        let places = (
            self.instance.fleet.place(from),
            self.instance.fleet.place(to),
        );
        let (Some(source), Some(target)) = places else {
            // The receiver lives as long as this driver.
            let _ = self.tx.send(failed);
            return;
        };
        let engine = Arc::clone(&self.instance.edges.engine);
        let request = self.work.id;
        let tx = self.tx.clone();
        tokio::spawn(async move {
            let moved = async {
                let cache = engine.export(source.addr, request).await?;
                engine
                    .import(target.addr, request, incarnation, cache)
                    .await
            };
            let event = match moved.await {
                Ok(()) => Event::Imported { to, incarnation },
                Err(_) => failed,
            };
            // A stream that has ended needs no cache.
            let _ = tx.send(event);
        });
    }

    /// Frees the stream's cache at a server, without waiting for it.
    fn release(&self, server: BackendServerKey) {
        let Some(place) = self.instance.fleet.place(server) else {
            return;
        };
        let engine = Arc::clone(&self.instance.edges.engine);
        let request = self.work.id;
        self.instance.requests.spawn(async move {
            // An engine that can't be reached frees its cache by its own limits.
            let _ = engine.cancel(place.addr, request).await;
        });
    }

    /// Passes a token on.
    fn emit(&mut self, token: Token) {
        let now = self.instance.edges.clock.now();
        let is_first = self.stream.tokens() <= 1;
        let measure = if is_first {
            Measure::FirstToken
        } else {
            Measure::BetweenTokens
        };
        let time = now.since(self.last_token_at);
        let organisation = &self.work.organisation;
        let histograms = &self.instance.histograms;
        histograms.record(measure, organisation, self.work.rank, time);
        self.last_token_at = now;
        // When nobody listens any more, the loop sees it and cancels.
        let _ = self.out.send(Progress::Token(token));
    }

    /// Tells the caller's side how it ended.
    fn finish(&mut self, finish: Finish) {
        let now = self.instance.edges.clock.now();
        let time = now.since(self.work.arrived_at);
        let organisation = &self.work.organisation;
        let histograms = &self.instance.histograms;
        histograms.record(Measure::Request, organisation, self.work.rank, time);
        let (key, tokens) = match &finish {
            Finish::Complete { tokens } => ("requests.complete", *tokens),
            Finish::Cancelled => ("requests.cancelled", self.stream.tokens()),
            Finish::Failed(..) => ("requests.failed", self.stream.tokens()),
        };
        self.instance.metrics.count(key, 1);
        self.instance.metrics.count("tokens", tokens.into());
        debug!(self.instance.log, "a stream ended"; "request" => %self.work.id.0, "finish" => ?finish, "incarnations" => self.stream.incarnation().0);
        let _ = self.out.send(Progress::End(finish));
    }

    /// Learns from an event about the server of the outstanding step.
    fn learn(&mut self, event: &Event) {
        let Some(outstanding) = self.outstanding else {
            return;
        };
        match event {
            // A refusal takes no step's time.
            Event::Result(StepResult {
                output: Output::Refused(_),
                ..
            }) => {}
            Event::Result(result) if result.id == outstanding.id && !outstanding.prefill => {
                let now = self.instance.edges.clock.now();
                let time = now.since(outstanding.sent_at);
                self.instance.fleet.measured(outstanding.server, time);
                health::on_success(&self.instance, outstanding.server);
            }
            Event::Failed { id, .. } if *id == outstanding.id => {
                health::on_failure(&self.instance, outstanding.server);
            }
            Event::Result(_)
            | Event::Failed { .. }
            | Event::Path(_)
            | Event::NoPath
            | Event::Left(_)
            | Event::Imported { .. }
            | Event::ImportFailed { .. }
            | Event::Cancel
            | Event::Tick => {}
        }
    }
}
