//! Drives one stream: performs the actions of its state machine and passes it the events.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use slog::debug;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::sleep;

use hemlockwind_core::Error;
use hemlockwind_core::attempt::Attempt;
use hemlockwind_core::attempt::Attempts;
use hemlockwind_core::collections::HashMap;
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
use crate::in_progress::RequestState;
use crate::instance::Instance;
use crate::pool::Slot;
use crate::work::Work;
use crate::work::admit;

/// Maximum number of paths over which one stream is prefilled.
const MAX_PREFILLS: u32 = 8;

/// Number of incarnations that a stream gets without using the retry budget: the first one,
/// and one more, since the failure of one stage may affect many streams at once. A move of
/// the KV cache to another server counts as an incarnation too.
const FREE_INCARNATIONS: Incarnation = Incarnation(2);

/// `Progress` is an update of a stream for the task that answers its caller.
#[derive(Clone, Debug)]
pub enum Progress {
    /// The next token.
    Token(Token),
    /// The stream is over.
    End(Finish),
}

/// Waits for a slot of a pool, then drives the stream until it ends. The stream is
/// cancelled when the receiver of `out` is dropped.
pub async fn drive(instance: Arc<Instance>, work: Work, out: UnboundedSender<Progress>) {
    let slot = tokio::select! {
        slot = admit(&instance, &work) => slot,
        () = instance.ending.cancelled() => Err(Error::Stopping),
        () = out.closed() => return,
    };
    match slot {
        Ok(slot) => run(instance, work, slot, out).await,
        Err(error) => {
            instance.metrics.count("requests.refused", 1);
            instance.in_progress.set(work.id.0, RequestState::Answering);
            let ran = Attempts::default().ran();
            // Fails if the caller has disconnected; then the error isn't needed.
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
        max_prefills: MAX_PREFILLS,
    };
    let now = instance.edges.clock.now();
    let (stream, actions) = Stream::new(options, now);
    let (tx, rx) = mpsc::unbounded_channel();
    let driver = StreamDriver {
        last_token_at: work.arrived_at,
        slot,
        instance,
        work,
        stream,
        out,
        tx,
        events: VecDeque::new(),
        addrs: HashMap::default(),
        counted_on: Vec::new(),
        last_step: None,
        state: RequestState::Waiting,
    };
    driver.run(rx, actions).await;
}

/// `LastStep` describes the step that was sent last.
#[derive(Clone, Copy)]
struct LastStep {
    id: StepId,
    server: BackendServerKey,
    prefill: bool,
    sent_at: Instant,
}

/// `StreamDriver` holds the state machine of one stream with its channels. The driver of a
/// pool, which holds queue entries, is [`hemlockwind_queueing::Driver`].
struct StreamDriver {
    instance: Arc<Instance>,
    slot: Slot,
    work: Work,
    stream: Stream,
    out: UnboundedSender<Progress>,
    tx: UnboundedSender<Event>,
    events: VecDeque<Event>,
    /// The addresses of the servers that this stream has used. A server may be removed from the
    /// configuration while the stream is still running on it.
    addrs: HashMap<BackendServerKey, SocketAddr>,
    /// The servers on which the fleet counts this stream.
    counted_on: Vec<BackendServerKey>,
    last_step: Option<LastStep>,
    last_token_at: Instant,
    /// The state that was recorded last.
    state: RequestState,
}

impl StreamDriver {
    /// Processes events until the stream has ended.
    async fn run(mut self, mut rx: UnboundedReceiver<Event>, mut actions: Vec<Action>) {
        let mut leaving = self.instance.fleet.subscribe();
        loop {
            let mut is_over = false;
            for action in actions {
                is_over |= matches!(action, Action::Finish(_));
                self.perform(action);
            }
            if is_over {
                break;
            }
            self.record_state();
            let event = match self.events.pop_front() {
                Some(event) => event,
                None => {
                    let now = self.instance.edges.clock.now();
                    let wait = self.stream.next_deadline().since(now);
                    tokio::select! {
                        Some(event) = rx.recv() => event,
                        Ok(server) = leaving.recv() => Event::Leaving(server),
                        () = self.instance.ending.cancelled() => Event::Stopping,
                        () = self.out.closed() => Event::Cancel,
                        () = sleep(wait) => Event::Tick,
                    }
                }
            };
            self.update_server(&event);
            let may_change_path = matches!(event, Event::Path(_) | Event::Imported { .. });
            actions = self.stream.on_event(self.instance.edges.clock.now(), event);
            if may_change_path {
                // The stream may decline the path that it was offered.
                self.count_on(self.stream.servers().collect());
            }
        }
        self.count_on(Vec::new());
        let tokens = u64::from(self.stream.tokens()) + self.work.prompt_tokens();
        self.slot.cost = tokens * u64::from(self.work.model_layers);
    }

    /// Performs one action of the stream.
    fn perform(&mut self, action: Action) {
        match action {
            Action::Choose { avoid, keep } => self.choose(&avoid, &keep),
            Action::Send {
                server,
                step,
                deadline,
            } => self.send(server, step, deadline),
            Action::Suspect(server) => health::on_failure(&self.instance, server),
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

    /// Chooses a path and passes it to the stream, or reports that there is none.
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

    /// Counts the stream as running on `servers`, and no longer on any other server.
    fn count_on(&mut self, servers: Vec<BackendServerKey>) {
        let fleet = &self.instance.fleet;
        for &server in &servers {
            fleet.begin_stream(server);
        }
        for server in std::mem::replace(&mut self.counted_on, servers) {
            fleet.end_stream(server);
        }
    }

    /// Returns the address of a server, also of one that this stream used before its removal from
    /// the configuration.
    fn addr(&mut self, server: BackendServerKey) -> Option<SocketAddr> {
        if let Some(endpoint) = self.instance.fleet.endpoint(server) {
            self.addrs.insert(server, endpoint.addr);
        }
        self.addrs.get(&server).copied()
    }

    /// Sends a step to its server, in a batch with steps of other streams.
    fn send(&mut self, server: BackendServerKey, step: Step, deadline: Instant) {
        let id = step.id;
        self.last_step = Some(LastStep {
            id,
            server,
            prefill: step.prefill,
            sent_at: self.instance.edges.clock.now(),
        });
        let Some(addr) = self.addr(server) else {
            let attempt = Attempt::Unsent;
            self.events.push_back(Event::Failed { id, attempt });
            return;
        };
        let step_batcher = &self.instance.step_batcher;
        step_batcher.send(addr, step, deadline, self.tx.clone());
    }

    /// Copies the KV cache of this stream between two servers, in a task of its own.
    fn transfer(&mut self, from: BackendServerKey, to: BackendServerKey, incarnation: Incarnation) {
        let failed = Event::ImportFailed { to, incarnation };
        let (Some(source), Some(target)) = (self.addr(from), self.addr(to)) else {
            // Can't fail: the receiver lives as long as this driver.
            let _ = self.tx.send(failed);
            return;
        };
        let engine = Arc::clone(&self.instance.edges.engine);
        let request = self.work.id;
        let tx = self.tx.clone();
        tokio::spawn(async move {
            let moved = async {
                let cache = engine.export(source, request).await?;
                engine.import(target, request, incarnation, cache).await
            };
            let event = match moved.await {
                Ok(()) => Event::Imported { to, incarnation },
                Err(_) => failed,
            };
            // Fails if the stream has ended; then the cache isn't needed.
            let _ = tx.send(event);
        });
    }

    /// Frees the stream's cache on a server, without waiting for the answer.
    fn release(&mut self, server: BackendServerKey) {
        let Some(addr) = self.addr(server) else {
            return;
        };
        let engine = Arc::clone(&self.instance.edges.engine);
        let request = self.work.id;
        self.instance.requests.spawn(async move {
            // An engine that can't be reached frees the cache itself when it reaches its limits.
            let _ = engine.cancel(addr, request).await;
        });
    }

    /// Records the token's latency and passes the token to the caller.
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
        // Fails if the caller has disconnected; the event loop then cancels the stream.
        let _ = self.out.send(Progress::Token(token));
    }

    /// Records the request's metrics and reports to the caller how the stream ended.
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
        let in_progress = &self.instance.in_progress;
        in_progress.set(self.work.id.0, RequestState::Answering);
        let _ = self.out.send(Progress::End(finish));
    }

    /// Records whether the stream runs or waits for a path.
    fn record_state(&mut self) {
        let state = match (self.stream.waits_for_path(), self.stream.incarnation()) {
            (true, Incarnation(0)) => RequestState::Waiting,
            (true, _) => RequestState::BetweenRuns,
            (false, _) => RequestState::Running,
        };
        if state != self.state {
            self.state = state;
            self.instance.in_progress.set(self.work.id.0, state);
        }
    }

    /// Updates the step time and health of the server of the last step from an event.
    fn update_server(&mut self, event: &Event) {
        let Some(last_step) = self.last_step else {
            return;
        };
        match event {
            // A refused step was not computed, so its time is no measure of a step.
            Event::Result(StepResult {
                output: Output::Refused(_),
                ..
            }) => {}
            Event::Result(result) if result.id == last_step.id && !last_step.prefill => {
                let now = self.instance.edges.clock.now();
                let time = now.since(last_step.sent_at);
                self.instance.fleet.record_step_time(last_step.server, time);
                health::on_success(&self.instance, last_step.server);
            }
            Event::Failed { id, .. } if *id == last_step.id => {
                health::on_failure(&self.instance, last_step.server);
            }
            Event::Result(_)
            | Event::Failed { .. }
            | Event::Path(_)
            | Event::NoPath
            | Event::Leaving(_)
            | Event::Imported { .. }
            | Event::ImportFailed { .. }
            | Event::Cancel
            | Event::Stopping
            | Event::Tick => {}
        }
    }
}
