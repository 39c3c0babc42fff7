//! A simulated network and engines around one stream, and the checks of what it does.

use std::collections::HashSet;
use std::time::Duration;

use bytes::Bytes;
use slotmap::SlotMap;
use uuid::Uuid;

use hemlockwind_core::Error;
use hemlockwind_core::attempt::Attempt;
use hemlockwind_core::attempt::Ran;
use hemlockwind_core::engine::Incarnation;
use hemlockwind_core::engine::Input;
use hemlockwind_core::engine::Output;
use hemlockwind_core::engine::Refusal;
use hemlockwind_core::engine::RequestId;
use hemlockwind_core::engine::Step;
use hemlockwind_core::engine::StepId;
use hemlockwind_core::engine::StepResult;
use hemlockwind_core::engine::Token;
use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::names::BackendServerKey;
use hemlockwind_core::names::Rank;
use hemlockwind_core::time::Instant;
use hemlockwind_stream::Action;
use hemlockwind_stream::Event;
use hemlockwind_stream::Finish;
use hemlockwind_stream::Options;
use hemlockwind_stream::Path;
use hemlockwind_stream::Stage;
use hemlockwind_stream::Stream;

/// The layers of the model.
const LAYERS: u16 = 6;
/// The ways in which paths split the layers into stages.
const CUTS: [&[u16]; 3] = [&[0, 2, 4, 6], &[0, 3, 6], &[0, 2, 6]];
/// The number of ways in which paths split the layers into stages.
pub const LAYOUTS: usize = CUTS.len();
/// The number of backend servers. Each can hold any layers.
pub const SERVERS: usize = 7;
/// The number of rounds within which a stream on a network without faults must end.
const DRAIN_ROUNDS: u32 = 500;
const PROMPT: &str = "nani amekopa taa";

/// `Op` is one action of the network, an engine or the driver.
#[derive(Clone, Debug)]
pub enum Op {
    Path {
        layout: usize,
        pick: usize,
    },
    BrokenPath,
    PathOver(usize),
    NoPath,
    Run(usize),
    Refuse(usize, Refusal),
    Lose {
        step: usize,
        ran: bool,
    },
    Fail {
        step: usize,
        sent: bool,
    },
    Deliver(usize),
    Replay(usize),
    Misdirect,
    WrongOutput,
    Forge {
        incarnation: u32,
        token: u32,
        end: u16,
    },
    Leave(usize),
    Import(bool),
    LoseCache(usize),
    Advance(Duration),
    Cancel,
    Stop,
}

/// `Cache` is an engine's KV cache of the stream.
#[derive(Clone, Copy, Debug)]
struct Cache {
    incarnation: Incarnation,
    tokens: u32,
}

/// `Sent` is a step in transit.
#[derive(Clone, Debug)]
struct Sent {
    server: BackendServerKey,
    step: Step,
}

/// `Simulation` holds the stream, its simulated surroundings and what its checks need.
pub struct Simulation {
    stream: Stream,
    now: Instant,
    request: RequestId,
    /// The number of tokens that the model generates.
    answer_tokens: u32,
    max_tokens: u32,
    deadline: Instant,
    servers: Vec<BackendServerKey>,
    caches: Vec<Option<Cache>>,
    steps: Vec<Sent>,
    results: Vec<StepResult>,
    history: Vec<StepResult>,
    choose: Option<(Vec<BackendServerKey>, Vec<Stage>)>,
    avoid: Vec<BackendServerKey>,
    moving: Option<(BackendServerKey, BackendServerKey, Incarnation)>,
    /// The stages of the last path that the stream was offered.
    offered: Vec<Stage>,
    /// The stages that the stream runs on.
    path: Vec<Stage>,
    /// The step whose result the stream must accept, with its server and deadline.
    outstanding: Option<(StepId, BackendServerKey, Instant)>,
    leaving: HashSet<BackendServerKey>,
    held: HashSet<BackendServerKey>,
    /// Steps whose result was accepted.
    accepted: HashSet<StepId>,
    /// The number of layers of the next token whose results were accepted, from layer 0 on.
    layers_done: u16,
    emitted: Vec<u32>,
    /// Whether an engine ran something.
    ran: bool,
    /// Sent steps that were not reported to the stream as not run.
    unsettled: HashSet<StepId>,
    finish: Option<Finish>,
}

/// Returns the token that the model generates at `index`. The stream must emit these tokens
/// in the order of their indices.
fn model_token(index: u32) -> u32 {
    index.wrapping_mul(2_654_435_761) % 50_000
}

/// Returns the output of the layers below `end` for a token.
fn activation(token: u32, end: u16) -> Bytes {
    Bytes::from(format!("{token}/{end}"))
}

impl Simulation {
    pub fn new(answer_tokens: u32, max_tokens: u32, max_prefills: u32, deadline_ms: u64) -> Self {
        let mut arena: SlotMap<BackendServerKey, ()> = SlotMap::with_key();
        let servers: Vec<_> = (0..SERVERS).map(|_| arena.insert(())).collect();
        let request = RequestId(Uuid::from_u128(7));
        let deadline = Instant::from_millis(deadline_ms);
        let options = Options {
            request,
            rank: Rank(1),
            prompt: PROMPT.into(),
            max_tokens,
            model_layers: LAYERS,
            deadline,
            step_timeout: Duration::from_millis(100),
            prefill_timeout: Duration::from_millis(300),
            max_prefills,
        };
        let (stream, actions) = Stream::new(options, Instant::ZERO);
        let mut simulation = Self {
            stream,
            now: Instant::ZERO,
            request,
            answer_tokens,
            max_tokens,
            deadline,
            caches: vec![None; servers.len()],
            servers,
            steps: Vec::new(),
            results: Vec::new(),
            history: Vec::new(),
            choose: None,
            avoid: Vec::new(),
            moving: None,
            offered: Vec::new(),
            path: Vec::new(),
            outstanding: None,
            leaving: HashSet::new(),
            held: HashSet::new(),
            accepted: HashSet::new(),
            layers_done: 0,
            emitted: Vec::new(),
            ran: false,
            unsettled: HashSet::new(),
            finish: None,
        };
        simulation.perform(actions);
        simulation
    }

    pub fn apply(&mut self, op: &Op) {
        match op {
            Op::Path { layout, pick } => self.offer_path(*layout, *pick),
            Op::BrokenPath => self.offer_broken_path(),
            Op::PathOver(server) => self.offer_path_over(*server),
            Op::NoPath => self.offer_no_path(),
            Op::Run(step) => self.run(*step),
            Op::Refuse(step, why) => self.refuse(*step, *why),
            Op::Lose { step, ran } => self.lose(*step, *ran),
            Op::Fail { step, sent } => self.fail(*step, *sent),
            Op::Deliver(result) => self.deliver(*result),
            Op::Replay(result) => self.replay(*result),
            Op::Misdirect => self.misdirect(),
            Op::WrongOutput => self.give_wrong_output(),
            Op::Forge {
                incarnation,
                token,
                end,
            } => self.forge(*incarnation, *token, *end),
            Op::Leave(server) => self.leave(self.servers[*server]),
            Op::Import(succeeds) => self.import(*succeeds),
            Op::LoseCache(server) => self.caches[*server] = None,
            Op::Advance(by) => self.advance(*by),
            Op::Cancel => self.event(Event::Cancel),
            Op::Stop => self.event(Event::Stopping),
        }
    }

    /// Runs the stream to its end on a network without faults.
    pub fn drain(&mut self) {
        for round in 0..DRAIN_ROUNDS {
            if self.finish.is_some() {
                break;
            }
            if self.choose.is_some() {
                self.offer_path(0, 0);
            } else if self.moving.is_some() {
                self.import(true);
            } else if !self.steps.is_empty() {
                self.run(0);
            } else if !self.results.is_empty() {
                self.deliver(0);
            } else {
                self.advance(self.stream.next_deadline().since(self.now));
            }
            assert!(
                round + 1 < DRAIN_ROUNDS,
                "the stream did not end in {DRAIN_ROUNDS} rounds"
            );
        }
        assert_eq!(self.stream.next_deadline(), Instant::NEVER);
        self.event(Event::Tick);
    }

    /// Runs the steps of one token.
    pub fn run_token(&mut self) {
        let tokens = self.emitted.len();
        while self.emitted.len() == tokens {
            self.run(0);
            self.deliver(0);
        }
    }

    pub fn is_complete(&self) -> bool {
        matches!(self.finish, Some(Finish::Complete { .. }))
    }

    /// Returns the error with which the stream failed, and whether a step may have run.
    pub fn failure(&self) -> Option<(Error, Ran)> {
        match &self.finish {
            Some(Finish::Failed(error, ran)) => Some((error.clone(), *ran)),
            Some(Finish::Complete { .. } | Finish::Cancelled) | None => None,
        }
    }

    pub fn is_choosing(&self) -> bool {
        self.choose.is_some()
    }

    /// Returns the index of the server at this stage of the path.
    pub fn stage_server(&self, stage: usize) -> usize {
        self.index(self.path[stage].server)
    }

    fn index(&self, server: BackendServerKey) -> usize {
        let mut servers = self.servers.iter();
        servers.position(|&key| key == server).unwrap()
    }

    /// Passes an event to the stream and checks the actions that it returns.
    fn event(&mut self, event: Event) {
        let actions = self.stream.on_event(self.now, event);
        assert!(
            self.finish.is_none() || actions.is_empty(),
            "{actions:?} after the end of the stream"
        );
        self.perform(actions);
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            assert!(
                self.finish.is_none(),
                "{action:?} after the end of the stream"
            );
            match action {
                Action::Choose { avoid, keep } => {
                    assert!(keep.iter().all(|stage| !avoid.contains(&stage.server)));
                    assert!(self.leaving.iter().all(|server| avoid.contains(server)));
                    self.outstanding = None;
                    self.avoid.clone_from(&avoid);
                    self.choose = Some((avoid, keep));
                }
                Action::Send {
                    server,
                    step,
                    deadline,
                } => self.send(server, step, deadline),
                Action::Suspect(server) => {
                    let (_, suspected, deadline) = self.outstanding.unwrap();
                    assert!(server == suspected && deadline <= self.now);
                }
                Action::Move {
                    from,
                    to,
                    incarnation,
                } => {
                    assert!(
                        !self.avoid.contains(&to),
                        "a move to a server that must be avoided"
                    );
                    let mut moved = self.path.clone();
                    let stage = moved.iter_mut().find(|stage| stage.server == from);
                    stage.unwrap().server = to;
                    assert_eq!(moved, self.offered, "a move to a path that was not offered");
                    self.held.insert(to);
                    self.moving = Some((from, to, incarnation));
                }
                Action::Emit(token) => self.emit(&token),
                Action::Release(server) => {
                    self.held.remove(&server);
                }
                Action::Finish(finish) => self.end(finish),
            }
        }
    }

    fn send(&mut self, server: BackendServerKey, step: Step, deadline: Instant) {
        assert!(deadline > self.now && deadline <= self.deadline);
        assert_eq!(step.id.token as usize, self.emitted.len());
        assert_eq!(step.id.request, self.request);
        let unwanted = self.leaving.contains(&server) || self.avoid.contains(&server);
        assert!(
            !(step.prefill && unwanted),
            "a prefill on a server that must be avoided"
        );
        if step.id.layers.start() == 0 {
            self.layers_done = 0;
            if step.prefill {
                self.path.clone_from(&self.offered);
            }
        }
        assert_eq!(step.id.layers.start(), self.layers_done);
        assert!(self.unsettled.insert(step.id), "a step is sent twice");
        self.outstanding = Some((step.id, server, deadline));
        self.held.insert(server);
        self.steps.push(Sent { server, step });
    }

    fn emit(&mut self, token: &Token) {
        assert_eq!(token.id, model_token(self.emitted.len() as u32));
        assert_eq!(
            self.layers_done, LAYERS,
            "a token was emitted before all layers ran"
        );
        self.emitted.push(token.id);
    }

    fn end(&mut self, finish: Finish) {
        assert!(
            self.held.is_empty(),
            "{:?} still hold a KV cache",
            self.held
        );
        match &finish {
            Finish::Complete { tokens } => {
                let expected: Vec<u32> = (0..self.answer_tokens.min(self.max_tokens))
                    .map(model_token)
                    .collect();
                assert_eq!(self.emitted, expected);
                assert_eq!(*tokens as usize, expected.len());
            }
            Finish::Cancelled => {}
            Finish::Failed(_, Ran::No(_)) => {
                assert!(!self.ran, "reported as not run, but a step ran");
                assert!(
                    self.steps.is_empty(),
                    "reported as not run, but a step may still run"
                );
            }
            Finish::Failed(error, Ran::Unknown) => {
                assert!(
                    !self.unsettled.is_empty(),
                    "{error}: reported as unknown, but no step ran"
                );
            }
        }
        self.outstanding = None;
        self.finish = Some(finish);
    }

    /// Offers a path of kept stages and servers that need not be avoided.
    fn offer_path(&mut self, layout: usize, pick: usize) {
        let Some((avoid, keep)) = self.choose.take() else {
            return;
        };
        let mut servers = self.servers.clone();
        servers.retain(|server| !avoid.contains(server));
        self.offer(build_path(layout, pick, servers, &keep));
    }

    /// Offers a path over servers that the stream avoids, or over any if it avoids none.
    fn offer_path_over(&mut self, pick: usize) {
        let Some((avoid, keep)) = self.choose.take() else {
            return;
        };
        let servers = if avoid.is_empty() {
            self.servers.clone()
        } else {
            avoid
        };
        self.offer(build_path(pick % LAYOUTS, pick, servers, &keep));
    }

    fn offer(&mut self, path: Option<Path>) {
        let Some(path) = path else {
            self.event(Event::NoPath);
            return;
        };
        self.offered.clone_from(&path.stages);
        self.event(Event::Path(path));
    }

    fn offer_broken_path(&mut self) {
        if self.choose.take().is_none() {
            return;
        }
        let layers = LayerRange::new(0, LAYERS - 1).unwrap();
        let server = self.servers[0];
        let stages = vec![Stage { server, layers }];
        self.event(Event::Path(Path { stages }));
    }

    fn offer_no_path(&mut self) {
        if self.choose.take().is_some() {
            self.event(Event::NoPath);
        }
    }

    fn take_step(&mut self, step: usize) -> Option<Sent> {
        let len = self.steps.len();
        (len > 0).then(|| self.steps.remove(step % len))
    }

    /// Runs a step on its engine.
    fn run(&mut self, step: usize) {
        let Some(sent) = self.take_step(step) else {
            return;
        };
        let id = sent.step.id;
        let output = self.engine(&sent);
        self.ran |= !matches!(output, Output::Refused(_));
        self.results.push(StepResult { id, output });
    }

    /// Returns the output of an engine, which keeps one cache of the stream and refuses
    /// steps that don't match it.
    fn engine(&mut self, sent: &Sent) -> Output {
        let id = sent.step.id;
        let index = self.index(sent.server);
        if self.caches[index].is_some_and(|cache| cache.incarnation > id.incarnation) {
            return Output::Refused(Refusal::StaleIncarnation);
        }
        let fits = self.caches[index]
            .is_some_and(|cache| cache.incarnation == id.incarnation && cache.tokens == id.token);
        if !sent.step.prefill && !fits {
            return Output::Refused(Refusal::MissingCache);
        }
        self.caches[index] = Some(Cache {
            incarnation: id.incarnation,
            tokens: id.token + 1,
        });
        check_input(&sent.step);
        if id.layers.end() < LAYERS {
            return Output::Activation(activation(id.token, id.layers.end()));
        }
        Output::Token(Token {
            id: model_token(id.token),
            text: "x".into(),
            end: id.token + 1 == self.answer_tokens,
        })
    }

    fn refuse(&mut self, step: usize, why: Refusal) {
        if let Some(sent) = self.take_step(step) {
            let id = sent.step.id;
            let output = Output::Refused(why);
            self.results.push(StepResult { id, output });
        }
    }

    fn lose(&mut self, step: usize, ran: bool) {
        if let Some(sent) = self.take_step(step) {
            if ran {
                self.engine(&sent);
            }
            self.ran |= ran;
        }
    }

    fn fail(&mut self, step: usize, sent: bool) {
        let Some(failed) = self.take_step(step) else {
            return;
        };
        let id = failed.step.id;
        let attempt = if sent { Attempt::Sent } else { Attempt::Unsent };
        self.ran |= sent;
        if !self.is_outstanding(id) {
            self.ignored_failure(id, attempt);
            return;
        }
        if !sent {
            self.unsettled.remove(&id);
        }
        self.event(Event::Failed { id, attempt });
    }

    /// Returns whether the stream still waits for this step.
    fn is_outstanding(&self, id: StepId) -> bool {
        self.outstanding.is_some_and(|(step, ..)| step == id)
    }

    fn deliver(&mut self, result: usize) {
        let len = self.results.len();
        if len > 0 {
            let result = self.results.remove(result % len);
            self.history.push(result.clone());
            self.deliver_result(result);
        }
    }

    fn replay(&mut self, result: usize) {
        let len = self.history.len();
        if len > 0 {
            self.deliver_result(self.history[result % len].clone());
        }
    }

    /// Delivers a result that equals the outstanding step in all but the request.
    fn misdirect(&mut self) {
        if let Some((mut id, ..)) = self.outstanding {
            id.request = RequestId(Uuid::from_u128(8));
            self.deliver_unexpected(id);
        }
    }

    /// Answers the outstanding step with the wrong kind of output.
    fn give_wrong_output(&mut self) {
        let Some((id, server, _)) = self.outstanding else {
            return;
        };
        let last = id.layers.end() == LAYERS;
        let output = wrong_output(!last);
        self.ran = true;
        self.event(Event::Result(StepResult { id, output }));
        assert!(!self.is_outstanding(id));
        assert!(self.finish.is_some() || self.avoid.contains(&server));
    }

    /// Delivers a result of another incarnation, token or range of layers.
    fn forge(&mut self, incarnation: u32, token: u32, end: u16) {
        let Some((mut id, ..)) = self.outstanding else {
            return;
        };
        id.incarnation.0 = id.incarnation.0.saturating_sub(incarnation);
        id.token = id.token.saturating_sub(token);
        id.layers = LayerRange::new(id.layers.start(), id.layers.end() + end).unwrap();
        if !self.is_outstanding(id) {
            self.deliver_unexpected(id);
        }
    }

    /// Delivers a result and a failure of a step that is not outstanding.
    fn deliver_unexpected(&mut self, id: StepId) {
        self.deliver_result(wrong_result(id));
        self.ignored_failure(id, Attempt::Unsent);
    }

    fn ignored_failure(&mut self, id: StepId, attempt: Attempt) {
        let event = Event::Failed { id, attempt };
        let actions = self.stream.on_event(self.now, event);
        assert_eq!(actions, [], "{id:?} is not outstanding");
    }

    /// Delivers a result and checks that the stream accepts it if its step is
    /// outstanding, and ignores it otherwise.
    fn deliver_result(&mut self, result: StepResult) {
        let id = result.id;
        if !self.is_outstanding(id) {
            let actions = self.stream.on_event(self.now, Event::Result(result));
            assert_eq!(actions, [], "{id:?} is not outstanding");
            return;
        }
        if matches!(result.output, Output::Refused(_)) {
            self.unsettled.remove(&id);
        } else {
            assert!(
                self.accepted.insert(id),
                "the result of {id:?} is accepted twice"
            );
            assert_eq!(self.layers_done, id.layers.start());
            self.layers_done = id.layers.end();
        }
        self.event(Event::Result(result));
        assert!(!self.is_outstanding(id));
    }

    fn leave(&mut self, server: BackendServerKey) {
        self.leaving.insert(server);
        self.event(Event::Leaving(server));
    }

    fn import(&mut self, succeeds: bool) {
        let Some((from, to, incarnation)) = self.moving.take() else {
            return;
        };
        self.forge_import(from, incarnation);
        self.forge_import(to, Incarnation(incarnation.0 - 1));
        let cache = self.caches[self.index(from)];
        let Some(Cache { tokens, .. }) = cache.filter(|_| succeeds) else {
            self.event(Event::ImportFailed { to, incarnation });
            return;
        };
        let index = self.index(to);
        self.caches[index] = Some(Cache {
            incarnation,
            tokens,
        });
        for stage in &mut self.path {
            if stage.server == from {
                stage.server = to;
            }
        }
        self.event(Event::Imported { to, incarnation });
    }

    /// Delivers an import that is not the ongoing one.
    fn forge_import(&mut self, to: BackendServerKey, incarnation: Incarnation) {
        let event = Event::Imported { to, incarnation };
        assert_eq!(self.stream.on_event(self.now, event), []);
    }

    fn advance(&mut self, by: Duration) {
        self.now = self.now + by;
        self.event(Event::Tick);
        assert!(self.stream.next_deadline() > self.now);
        let outstanding = self.outstanding.as_ref();
        assert!(outstanding.is_none_or(|&(.., deadline)| deadline > self.now));
    }
}

/// Returns a result that no engine returns for this step.
fn wrong_result(id: StepId) -> StepResult {
    let output = wrong_output(id.layers.end() == LAYERS);
    StepResult { id, output }
}

fn wrong_output(last: bool) -> Output {
    if !last {
        return Output::Activation(Bytes::from("wrong"));
    }
    Output::Token(Token {
        id: 1,
        text: "wrong".into(),
        end: true,
    })
}

/// Returns a path of kept stages, and of `servers` where no stage is kept.
fn build_path(
    layout: usize,
    pick: usize,
    mut servers: Vec<BackendServerKey>,
    keep: &[Stage],
) -> Option<Path> {
    let mut stages = Vec::new();
    for (index, cut) in CUTS[layout].windows(2).enumerate() {
        let layers = LayerRange::new(cut[0], cut[1]).unwrap();
        if let Some(&stage) = keep.iter().find(|stage| stage.layers == layers) {
            servers.retain(|&server| server != stage.server);
            stages.push(stage);
        } else if !servers.is_empty() {
            let server = servers.remove(pick.wrapping_add(index) % servers.len());
            stages.push(Stage { server, layers });
        }
    }
    Path::new(stages, LAYERS).ok()
}

/// Checks that the input of a step is the output of the layers before it for this token.
fn check_input(step: &Step) {
    let token = step.id.token;
    match &step.input {
        Input::Prompt { text, generated } => {
            let expected: Vec<u32> = (0..token).map(model_token).collect();
            assert!(step.prefill && step.id.layers.start() == 0);
            assert_eq!((text.as_str(), generated), (PROMPT, &expected));
        }
        Input::Token(id) => {
            assert!(!step.prefill && step.id.layers.start() == 0);
            assert_eq!(*id, model_token(token - 1));
        }
        Input::Activation(data) => {
            assert_eq!(*data, activation(token, step.id.layers.start()));
        }
    }
}
