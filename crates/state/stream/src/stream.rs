//! The state machine of one stream.

use std::time::Duration;

use hemlockwind_core::Error;
use hemlockwind_core::attempt::Attempt;
use hemlockwind_core::attempt::Ran;
use hemlockwind_core::engine::Incarnation;
use hemlockwind_core::engine::Input;
use hemlockwind_core::engine::Output;
use hemlockwind_core::engine::Refusal;
use hemlockwind_core::engine::Step;
use hemlockwind_core::engine::StepId;
use hemlockwind_core::engine::StepResult;
use hemlockwind_core::engine::Token;
use hemlockwind_core::names::BackendServerKey;
use hemlockwind_core::time::Instant;

use crate::Path;
use crate::action::Action;
use crate::action::Finish;
use crate::avoid::Avoid;
use crate::dispatch::Dispatches;
use crate::dispatch::Outstanding;
use crate::event::Event;
use crate::options::Options;
use crate::route::Hop;
use crate::route::Route;

/// The pause before a path is requested again after none was available.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// `Stream` runs one request over the stages of a path.
#[derive(Clone, Debug)]
pub struct Stream {
    options: Options,
    state: State,
    route: Route,
    incarnation: Incarnation,
    /// The number of prefills that were started.
    prefills: u32,
    generated: Vec<u32>,
    avoid: Avoid,
    /// Leaving servers whose replacement was not tried yet.
    leaving: Vec<BackendServerKey>,
    /// Servers that may hold a KV cache of this stream.
    held: Vec<BackendServerKey>,
    dispatches: Dispatches,
}

/// `State` is what a stream waits for.
#[derive(Clone, Copy, Debug)]
enum State {
    /// A path to prefill.
    Choosing,
    /// The time to request a path again.
    Paused { until: Instant },
    /// A path that replaces only a leaving backend server.
    Replacing { from: BackendServerKey },
    /// The import of a KV cache.
    Importing(Import),
    /// The result of a step.
    Running(Outstanding),
    /// Nothing: the stream has ended.
    Done,
}

/// `Import` is an ongoing move of a KV cache.
#[derive(Clone, Copy, Debug)]
struct Import {
    hop: usize,
    to: BackendServerKey,
    incarnation: Incarnation,
    deadline: Instant,
}

impl Stream {
    /// Returns a stream that starts at `now`, with its first actions.
    pub fn new(options: Options, now: Instant) -> (Self, Vec<Action>) {
        let mut stream = Self {
            options,
            state: State::Choosing,
            route: Route::default(),
            incarnation: Incarnation(0),
            prefills: 0,
            generated: Vec::new(),
            avoid: Avoid::default(),
            leaving: Vec::new(),
            held: Vec::new(),
            dispatches: Dispatches::default(),
        };
        let mut actions = Vec::new();
        if stream.options.max_tokens == 0 {
            stream.finish(Finish::Complete { tokens: 0 }, &mut actions);
        } else {
            stream.choose(now, &mut actions);
        }
        (stream, actions)
    }

    /// Handles an event. Returns the actions that the driver must carry out in order.
    pub fn on_event(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Path(path) => self.on_path(now, path, &mut actions),
            Event::NoPath => self.on_no_path(now, &mut actions),
            Event::Result(result) => self.on_result(now, result, &mut actions),
            Event::Failed { id, attempt } => self.on_failed(now, id, attempt, &mut actions),
            Event::Leaving(server) => self.on_leaving(server),
            Event::Imported { to, incarnation } => {
                self.on_imported(now, to, incarnation, true, &mut actions);
            }
            Event::ImportFailed { to, incarnation } => {
                self.on_imported(now, to, incarnation, false, &mut actions);
            }
            Event::Cancel => self.on_cancel(&mut actions),
            Event::Stopping => self.on_stopping(&mut actions),
            Event::Tick => self.on_tick(now, &mut actions),
        }
        actions
    }

    /// Returns when [`Event::Tick`] is due at the latest: [`Instant::NEVER`] after the end.
    pub fn next_deadline(&self) -> Instant {
        let next = match self.state {
            State::Choosing | State::Replacing { .. } => self.options.deadline,
            State::Paused { until } => until,
            State::Importing(import) => import.deadline,
            State::Running(outstanding) => outstanding.deadline,
            State::Done => return Instant::NEVER,
        };
        next.min(self.options.deadline)
    }

    /// Returns the number of tokens emitted.
    pub fn tokens(&self) -> u32 {
        // The number of tokens is at most `max_tokens`, which is a `u32`.
        self.generated.len() as u32
    }

    /// Returns the incarnation of the last path chosen or KV cache move started, 0 before
    /// the first path. A move that failed counts too.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns whether the stream waits for a path on which it can start or start again.
    pub fn waits_for_path(&self) -> bool {
        match self.state {
            State::Choosing | State::Paused { .. } => true,
            State::Replacing { .. } | State::Importing(_) | State::Running(_) | State::Done => {
                false
            }
        }
    }

    /// Returns the backend servers of the current path.
    pub fn servers(&self) -> impl Iterator<Item = BackendServerKey> {
        self.route.stages().map(|stage| stage.server)
    }

    fn on_path(&mut self, now: Instant, path: Path, actions: &mut Vec<Action>) {
        match self.state {
            State::Choosing => self.prefill(now, path, actions),
            State::Replacing { from } => self.replace(now, from, &path, actions),
            State::Paused { .. } | State::Importing(_) | State::Running(_) | State::Done => {}
        }
    }

    fn on_no_path(&mut self, now: Instant, actions: &mut Vec<Action>) {
        match self.state {
            State::Choosing if self.prefills == 0 => self.fail(no_path(&self.options), actions),
            State::Choosing => self.pause(now),
            // The leaving backend server can finish the stream.
            State::Replacing { .. } => self.decode(now, actions),
            State::Paused { .. } | State::Importing(_) | State::Running(_) | State::Done => {}
        }
    }

    fn on_result(&mut self, now: Instant, result: StepResult, actions: &mut Vec<Action>) {
        let State::Running(outstanding) = self.state else {
            return;
        };
        if outstanding.id != result.id {
            return;
        }
        let last = self.route.is_last(outstanding.hop);
        match result.output {
            Output::Refused(refusal) => self.on_refusal(now, outstanding, refusal, actions),
            Output::Activation(data) if !last => {
                self.dispatches.close(Attempt::Answered);
                let input = Input::Activation(data);
                let hop = outstanding.hop + 1;
                self.send(now, hop, outstanding.prefill, input, actions);
            }
            Output::Token(token) if last => {
                self.dispatches.close(Attempt::Answered);
                self.emit(now, token, actions);
            }
            Output::Activation(_) | Output::Token(_) => {
                self.dispatches.close(Attempt::Answered);
                self.avoid.add_failed(outstanding.server);
                let why = format!(
                    "stage {} returned the wrong kind of output",
                    outstanding.id.layers
                );
                self.recover(now, Error::backend_answer(why), actions);
            }
        }
    }

    fn on_refusal(
        &mut self,
        now: Instant,
        outstanding: Outstanding,
        refusal: Refusal,
        actions: &mut Vec<Action>,
    ) {
        self.dispatches.close(Attempt::Refused);
        match refusal {
            Refusal::Leaving => {
                self.avoid.add_leaving(outstanding.server);
            }
            Refusal::Busy | Refusal::WrongLayers => self.avoid.add_failed(outstanding.server),
            // The server works; only its KV cache is missing or out of date.
            Refusal::MissingCache | Refusal::StaleIncarnation => {}
        }
        let why = format!("stage {}: {refusal:?}", outstanding.id.layers);
        self.recover(now, Error::backend_refused(why), actions);
    }

    fn on_failed(&mut self, now: Instant, id: StepId, attempt: Attempt, actions: &mut Vec<Action>) {
        let State::Running(outstanding) = self.state else {
            return;
        };
        if outstanding.id != id {
            return;
        }
        self.dispatches.close(attempt);
        self.avoid.add_failed(outstanding.server);
        let why = format!("stage {} of token {}", id.layers, id.token);
        let cause = match attempt {
            Attempt::Unsent => Error::backend_unreachable(why),
            Attempt::Refused => Error::backend_refused(why),
            Attempt::Sent | Attempt::Answered => Error::backend_failed(why),
        };
        self.recover(now, cause, actions);
    }

    /// Records a leaving server, whose KV cache is moved between two tokens.
    fn on_leaving(&mut self, server: BackendServerKey) {
        if self.avoid.add_leaving(server) {
            self.leaving.push(server);
        }
    }

    fn on_imported(
        &mut self,
        now: Instant,
        to: BackendServerKey,
        incarnation: Incarnation,
        succeeded: bool,
        actions: &mut Vec<Action>,
    ) {
        let State::Importing(import) = self.state else {
            return;
        };
        if import.incarnation != incarnation || import.to != to {
            return;
        }
        if succeeded {
            self.switch_server(import, actions);
        }
        // Without the import, the leaving backend server can finish the stream.
        self.next_token(now, actions);
    }

    fn on_cancel(&mut self, actions: &mut Vec<Action>) {
        if !matches!(self.state, State::Done) {
            self.finish(Finish::Cancelled, actions);
        }
    }

    /// Ends the stream while its caller can still get the error.
    fn on_stopping(&mut self, actions: &mut Vec<Action>) {
        if matches!(self.state, State::Done) {
            return;
        }
        let error = match self.dispatches.ran() {
            Ran::No(_) => Error::Stopping,
            Ran::Unknown => {
                let tokens = self.tokens();
                Error::outcome_unknown(format!("the instance stopped after {tokens} tokens"))
            }
        };
        self.fail(error, actions);
    }

    fn on_tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if matches!(self.state, State::Done) {
            return;
        }
        if self.end_if_expired(now, actions) {
            return;
        }
        match self.state {
            State::Paused { until } if now >= until => self.choose(now, actions),
            State::Importing(import) if now >= import.deadline => self.next_token(now, actions),
            State::Running(outstanding) if now >= outstanding.deadline => {
                self.on_timeout(now, outstanding, actions);
            }
            State::Choosing
            | State::Replacing { .. }
            | State::Paused { .. }
            | State::Importing(_)
            | State::Running(_)
            | State::Done => {}
        }
    }

    /// Abandons a step. Recovery does not wait for the probe of its server.
    fn on_timeout(&mut self, now: Instant, outstanding: Outstanding, actions: &mut Vec<Action>) {
        self.dispatches.close(Attempt::Sent);
        actions.push(Action::Suspect(outstanding.server));
        self.avoid.add_failed(outstanding.server);
        let why = format!("stage {} timed out", outstanding.id.layers);
        self.recover(now, Error::backend_unreachable(why), actions);
    }

    /// Requests a path that avoids the failed and the leaving servers.
    fn choose(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.end_if_expired(now, actions) {
            return;
        }
        self.state = State::Choosing;
        self.request_path(actions);
    }

    fn request_path(&self, actions: &mut Vec<Action>) {
        let stages = self.route.stages();
        actions.push(Action::Choose {
            avoid: self.avoid.list(),
            keep: stages.filter(|s| !self.avoid.contains(s.server)).collect(),
        });
    }

    /// Waits before the next request for a path, which then allows failed servers too.
    fn pause(&mut self, now: Instant) {
        self.avoid.clear_failed();
        let until = now + RETRY_PAUSE;
        self.state = State::Paused { until };
    }

    /// Requests another path, or fails with `cause` if the maximum number of prefills is
    /// reached.
    fn recover(&mut self, now: Instant, cause: Error, actions: &mut Vec<Action>) {
        if self.prefills >= self.options.max_prefills {
            self.fail(cause, actions);
        } else {
            self.choose(now, actions);
        }
    }

    /// Starts to fill the KV caches of all stages of `path`, or pauses if the path can't be
    /// used.
    fn prefill(&mut self, now: Instant, path: Path, actions: &mut Vec<Action>) {
        let is_avoided = path.stages.iter().any(|s| self.avoid.contains(s.server));
        if is_avoided || !path.covers(self.options.model_layers) {
            self.pause(now);
            return;
        }
        self.release_all_but(&path, actions);
        self.incarnation.0 += 1;
        self.prefills += 1;
        self.route = Route::new(path, self.incarnation);
        self.leaving.clear();
        let input = Input::Prompt {
            text: self.options.prompt.clone(),
            generated: self.generated.clone(),
        };
        self.send(now, 0, true, input, actions);
    }

    /// Emits a token, then ends the stream or continues with the next token.
    fn emit(&mut self, now: Instant, token: Token, actions: &mut Vec<Action>) {
        let end = token.end;
        self.generated.push(token.id);
        actions.push(Action::Emit(token));
        if end || self.tokens() >= self.options.max_tokens {
            let tokens = self.tokens();
            self.finish(Finish::Complete { tokens }, actions);
        } else {
            self.next_token(now, actions);
        }
    }

    /// Starts to replace a leaving server if there is one, else runs the next token.
    fn next_token(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.end_if_expired(now, actions) {
            return;
        }
        while let Some(from) = self.leaving.pop() {
            if self.servers().any(|server| server == from) {
                self.state = State::Replacing { from };
                self.request_path(actions);
                return;
            }
        }
        self.decode(now, actions);
    }

    /// Sends the last token to the first stage.
    fn decode(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let last = self.generated.last().copied();
        let last = last.expect("decoding starts after the prefill gave a token");
        self.send(now, 0, false, Input::Token(last), actions);
    }

    /// Moves the KV cache from a leaving server if `path` differs only in that server.
    fn replace(
        &mut self,
        now: Instant,
        from: BackendServerKey,
        path: &Path,
        actions: &mut Vec<Action>,
    ) {
        let replacement = self.route.replacement(from, path);
        let Some((hop, to)) = replacement.filter(|&(_, to)| !self.avoid.contains(to)) else {
            self.decode(now, actions);
            return;
        };
        self.incarnation.0 += 1;
        let incarnation = self.incarnation;
        self.hold(to);
        self.state = State::Importing(Import {
            hop,
            to,
            incarnation,
            deadline: now + self.options.prefill_timeout,
        });
        actions.push(Action::Move {
            from,
            to,
            incarnation,
        });
    }

    /// Replaces the old backend server by the one that holds the KV cache now.
    fn switch_server(&mut self, import: Import, actions: &mut Vec<Action>) {
        let from = self
            .route
            .replace(import.hop, import.to, import.incarnation);
        self.held.retain(|&server| server != from);
        actions.push(Action::Release(from));
    }

    /// Sends the step of stage `hop` for the next token.
    fn send(
        &mut self,
        now: Instant,
        hop: usize,
        prefill: bool,
        input: Input,
        actions: &mut Vec<Action>,
    ) {
        if self.end_if_expired(now, actions) {
            return;
        }
        let Hop { stage, incarnation } = self.route.hop(hop);
        if prefill && self.avoid.is_leaving(stage.server) {
            let why = format!("stage {} is leaving", stage.layers);
            self.recover(now, Error::backend_refused(why), actions);
            return;
        }
        let id = StepId {
            request: self.options.request,
            incarnation,
            token: self.tokens(),
            layers: stage.layers,
        };
        let timeout = if prefill {
            self.options.prefill_timeout
        } else {
            self.options.step_timeout
        };
        let outstanding = Outstanding {
            id,
            server: stage.server,
            hop,
            prefill,
            deadline: (now + timeout).min(self.options.deadline),
        };
        self.hold(stage.server);
        self.dispatches.open();
        self.state = State::Running(outstanding);
        actions.push(Action::Send {
            server: stage.server,
            step: Step {
                id,
                rank: self.options.rank,
                prefill,
                input,
            },
            deadline: outstanding.deadline,
        });
    }

    fn hold(&mut self, server: BackendServerKey) {
        if !self.held.contains(&server) {
            self.held.push(server);
        }
    }

    fn release_all_but(&mut self, path: &Path, actions: &mut Vec<Action>) {
        self.held.retain(|&server| {
            let kept = path.contains(server);
            if !kept {
                actions.push(Action::Release(server));
            }
            kept
        });
    }

    /// Ends the stream if its deadline has passed. Returns whether it has.
    fn end_if_expired(&mut self, now: Instant, actions: &mut Vec<Action>) -> bool {
        let is_expired = now >= self.options.deadline;
        if is_expired {
            let error = match self.dispatches.ran() {
                Ran::No(_) => Error::DeadlinePassed,
                Ran::Unknown => {
                    let tokens = self.tokens();
                    Error::outcome_unknown(format!("the deadline passed after {tokens} tokens"))
                }
            };
            self.fail(error, actions);
        }
        is_expired
    }

    fn fail(&mut self, error: Error, actions: &mut Vec<Action>) {
        let ran = self.dispatches.ran();
        self.finish(Finish::Failed(error, ran), actions);
    }

    fn finish(&mut self, finish: Finish, actions: &mut Vec<Action>) {
        let held = std::mem::take(&mut self.held);
        actions.extend(held.into_iter().map(Action::Release));
        actions.push(Action::Finish(finish));
        self.state = State::Done;
    }
}

/// Returns the error for a model whose layers no path covers.
fn no_path(options: &Options) -> Error {
    Error::no_path(format!("layers 0..{}", options.model_layers))
}
