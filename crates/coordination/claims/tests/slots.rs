//! Several instances that come to own one slot, before a platform and a service that
//! fail, against the count that the service really ran.

use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;
use uuid::Builder;
use uuid::Uuid;

use hemlockwind_claims::Action;
use hemlockwind_claims::CallId;
use hemlockwind_claims::Claimed;
use hemlockwind_claims::Event;
use hemlockwind_claims::Key;
use hemlockwind_claims::Options;
use hemlockwind_claims::Reply;
use hemlockwind_claims::Request;
use hemlockwind_claims::Slots;
use hemlockwind_core::Error;
use hemlockwind_core::collections::HashMap;
use hemlockwind_core::edges::Answer;
use hemlockwind_core::edges::ObjectVersion;
use hemlockwind_core::edges::Precondition;
use hemlockwind_core::time::Instant;
use hemlockwind_core::time::WallTime;
use hemlockwind_lease as lease;
use hemlockwind_lease::Nonce;
use hemlockwind_lease::Outcome;

const INSTANCES: usize = 3;
/// The wall time at the start of a history, in milliseconds.
const EPOCH_MS: i64 = 1_700_000_000_000;
/// The bound on how far an instance's wall clock is from the true time.
const SKEW_MS: i64 = 100;
const FUTURE_MS: i64 = 150;
/// The bound on how fast or slow a monotonic clock runs, in parts per thousand.
const DRIFT_PER_MILLE: i64 = 15;
/// The time between ticks of an instance.
const TICK_US: u64 = 50_000;
/// How far a caller's clock may be off. Nothing depends on it.
const CALLER_SKEW_MS: i64 = 3_000;

#[derive(Clone, Copy, Debug)]
enum Mode {
    Up,
    Down,
    LoseAnswer,
    Late,
    Slow,
}

/// `Fate` is what becomes of a request on its way to the service.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Answer,
    /// It runs, the answer is lost.
    LoseAnswer,
    Refuse,
    /// The sender gives up; the request arrives later.
    GiveUp,
}

#[derive(Clone, Debug)]
enum Op {
    Advance(u32),
    Platform(Mode),
    Land(u8),
    Deliver(u8),
    Pause(usize),
    Resume(usize),
    /// A paused instance reads its monotonic clock for the request it works on.
    ReadNow(usize),
    Restart(usize),
    /// The owner stops and is started anew.
    StopOwner,
    Skew(usize, i64),
    Mint(i64),
    MintText,
    /// To the instance that the platform names as owner when `to` is none.
    Request {
        to: Option<usize>,
        key: u8,
        body: bool,
        entry_skew: i64,
        pause: bool,
    },
    /// An earlier message arrives again, perhaps at another instance.
    Duplicate {
        to: Option<usize>,
        pick: u8,
    },
    Service(Option<Fate>),
    Serve(u8, Fate),
}

fn rarely() -> impl Strategy<Value = bool> {
    prop_oneof![9 => Just(false), 1 => Just(true)]
}

fn op() -> impl Strategy<Value = Op> {
    let instance = 0..INSTANCES;
    let skew = -SKEW_MS..=SKEW_MS;
    let fate = prop_oneof![
        3 => Just(Fate::Answer),
        1 => Just(Fate::LoseAnswer),
        2 => Just(Fate::Refuse),
        1 => Just(Fate::GiveUp),
    ];
    prop_oneof![
        16 => (1_u32..200_000).prop_map(Op::Advance),
        4 => (1_u32..800_000).prop_map(Op::Advance),
        3 => prop_oneof![
            16 => Just(Mode::Up),
            1 => Just(Mode::Down),
            1 => Just(Mode::LoseAnswer),
            1 => Just(Mode::Late),
            1 => Just(Mode::Slow),
        ].prop_map(Op::Platform),
        1 => any::<u8>().prop_map(Op::Land),
        16 => any::<u8>().prop_map(Op::Deliver),
        1 => instance.clone().prop_map(Op::Pause),
        8 => instance.clone().prop_map(Op::Resume),
        1 => instance.clone().prop_map(Op::ReadNow),
        1 => instance.clone().prop_map(Op::Restart),
        1 => Just(Op::StopOwner),
        1 => (instance.clone(), skew.clone()).prop_map(|(i, ms)| Op::Skew(i, ms)),
        10 => (-100..FUTURE_MS + SKEW_MS).prop_map(Op::Mint),
        1 => (-CALLER_SKEW_MS..=CALLER_SKEW_MS).prop_map(Op::Mint),
        2 => (0..=CALLER_SKEW_MS).prop_map(Op::Mint),
        2 => Just(Op::MintText),
        30 => (proptest::option::weighted(0.2, instance.clone()), any::<u8>(), rarely(), skew, rarely())
            .prop_map(|(to, key, body, entry_skew, pause)| Op::Request { to, key, body, entry_skew, pause }),
        8 => (proptest::option::weighted(0.2, instance), any::<u8>()).prop_map(|(to, pick)| Op::Duplicate { to, pick }),
        4 => proptest::option::weighted(0.7, fate.clone()).prop_map(Op::Service),
        6 => (any::<u8>(), fate).prop_map(|(pick, fate)| Op::Serve(pick, fate)),
    ]
}

/// `Stuck` is a request whose decision is held up after a reading of the clocks.
struct Stuck {
    wall: WallTime,
    /// The monotonic clock, and when it was read in the order of events.
    now: Option<(Instant, u64)>,
    event: Event,
}

/// `Process` is one run of an instance.
struct Process {
    slots: Slots,
    number: u128,
    skew_ms: i64,
    drift: i64,
    paused: bool,
    stopping: bool,
    /// A request between the reading of the clocks and the decision.
    stuck: Option<Stuck>,
    inbox: Vec<Event>,
}

/// `Sent` is a request on its way to the service.
#[derive(Clone)]
struct Sent {
    at: u64,
    call: CallId,
    process: u128,
    req: Request,
    given_up: bool,
}

/// `Run` is one run of the service.
struct Run {
    at: u64,
    digest: u128,
    answer: Answer,
}

/// `NotRunTold` is one "not run" that a caller was told.
struct NotRunTold {
    at: u64,
    req: Request,
}

/// `Totals` counts what happened, to show that histories reach the cases.
#[derive(Default)]
struct Totals {
    ran: u64,
    replayed: u64,
    unknown: u64,
    not_run: u64,
    not_owner: u64,
    terms: u64,
}

#[derive(Clone)]
enum Write {
    Lease(lease::Value, Precondition),
    Claim(String, Nonce),
}

struct World {
    real_us: u64,
    /// Orders sends, runs and replies.
    at: u64,
    mode: Mode,
    service: Option<Fate>,
    object: Option<(lease::Value, ObjectVersion)>,
    claims: HashMap<String, Nonce>,
    processes: Vec<Process>,
    started: u128,
    late_writes: Vec<Write>,
    slow_answers: Vec<(u128, Event)>,
    keys: Vec<Key>,
    requests: Vec<Request>,
    calls: HashMap<CallId, Request>,
    sent: Vec<Sent>,
    /// The only run of each key.
    ran: HashMap<Key, Run>,
    told: Vec<NotRunTold>,
    /// When the clocks were read for a decision that was held up. A repeat that
    /// runs between then and the reply is like one that crosses with the reply.
    decided_at: Option<u64>,
    totals: Totals,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            real_us: 0,
            at: 0,
            mode: Mode::Up,
            service: Some(Fate::Answer),
            object: None,
            claims: HashMap::default(),
            processes: Vec::new(),
            started: 0,
            late_writes: Vec::new(),
            slow_answers: Vec::new(),
            keys: Vec::new(),
            requests: Vec::new(),
            calls: HashMap::default(),
            sent: Vec::new(),
            ran: HashMap::default(),
            told: Vec::new(),
            decided_at: None,
            totals: Totals::default(),
        };
        for (skew_ms, drift) in [
            (-SKEW_MS, -DRIFT_PER_MILLE),
            (0, 0),
            (SKEW_MS, DRIFT_PER_MILLE),
        ] {
            let process = world.start(skew_ms, drift);
            world.processes.push(process);
        }
        world
    }

    fn start(&mut self, skew_ms: i64, drift: i64) -> Process {
        self.started += 1;
        let options = Options {
            count: 1,
            lease: lease::Options {
                name: format!("instance-{}", self.started).into(),
                process: self.started,
                duration: Duration::from_secs(1),
                retry: Duration::from_millis(50),
                inherits: false,
            },
            skew: Duration::from_millis(SKEW_MS as u64),
            future: Duration::from_millis(FUTURE_MS as u64),
            window: Duration::from_millis(1_500),
            keys: 12,
            organisation_keys: 10,
            answer_bytes: 40,
        };
        Process {
            slots: Slots::new(options),
            number: self.started,
            skew_ms,
            drift,
            paused: false,
            stopping: false,
            stuck: None,
            inbox: vec![Event::Lease(0, lease::Event::Candidate(true))],
        }
    }

    fn wall_ms(&self, skew_ms: i64) -> u64 {
        (EPOCH_MS + (self.real_us / 1000) as i64 + skew_ms) as u64
    }

    fn wall(&self, i: usize) -> WallTime {
        WallTime::from_millis(self.wall_ms(self.processes[i].skew_ms))
    }

    fn clock(&self, i: usize) -> Instant {
        let us = self.real_us as i64;
        let us = us + us * self.processes[i].drift / 1000;
        Instant::from_micros(us as u64)
    }

    /// A UUIDv7 of a clock that is `skew_ms` off.
    fn mint(&mut self, skew_ms: i64) -> Uuid {
        self.at += 1;
        let mut random = [0_u8; 10];
        random[2..].copy_from_slice(&self.at.to_be_bytes());
        Builder::from_unix_timestamp_millis(self.wall_ms(skew_ms), &random).into_uuid()
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Advance(us) => self.advance(u64::from(us)),
            Op::Platform(mode) => self.mode = mode,
            Op::Land(pick) => {
                if let Some(at) = place(pick, self.late_writes.len()) {
                    let write = self.late_writes.remove(at);
                    self.write(write);
                }
            }
            Op::Deliver(pick) => {
                if let Some(at) = place(pick, self.slow_answers.len()) {
                    let (number, event) = self.slow_answers.remove(at);
                    self.deliver(number, event);
                }
            }
            Op::Pause(i) => self.processes[i].paused = true,
            Op::Resume(i) => self.resume(i),
            Op::ReadNow(i) => {
                let read = (self.clock(i), self.at);
                if let Some(stuck) = &mut self.processes[i].stuck {
                    stuck.now.get_or_insert(read);
                }
            }
            Op::Restart(i) => self.restart(i),
            Op::StopOwner => {
                let i = self.owner();
                self.processes[i].inbox.push(Event::Stop);
                self.processes[i].stopping = true;
            }
            Op::Skew(i, ms) => self.processes[i].skew_ms = ms,
            Op::Mint(skew_ms) => {
                let key = Key::Timed(self.mint(skew_ms));
                self.keys.push(key);
            }
            Op::MintText => {
                let text = format!("loan-{}", self.keys.len());
                self.keys.push(Key::parse(&text).expect("visible ASCII"));
            }
            Op::Request {
                to,
                key,
                body,
                entry_skew,
                pause,
            } => {
                self.request(to, key, body, entry_skew, pause);
            }
            Op::Duplicate { to, pick } => {
                if let Some(back) = place(pick, self.requests.len().min(8)) {
                    let req = self.requests[self.requests.len() - 1 - back].clone();
                    let event = self.open(req);
                    let to = to.unwrap_or_else(|| self.owner());
                    self.processes[to].inbox.push(event);
                }
            }
            Op::Service(fate) => self.service = fate,
            Op::Serve(pick, fate) => {
                if let Some(at) = place(pick, self.sent.len()) {
                    let sent = self.sent.remove(at);
                    self.serve(sent, fate);
                }
            }
        }
        self.run();
    }

    fn advance(&mut self, us: u64) {
        for _ in 0..us / TICK_US {
            self.real_us += TICK_US;
            self.run();
        }
        self.real_us += us % TICK_US;
    }

    /// A caller asks with one of the newest keys.
    fn request(&mut self, to: Option<usize>, key: u8, body: bool, entry_skew: i64, pause: bool) {
        let to = to.unwrap_or_else(|| self.owner());
        let newest = self.keys.len().min(if key < 160 { 6 } else { 40 });
        let Some(back) = place(key, newest) else {
            return;
        };
        let req = Request {
            id: self.mint(entry_skew),
            organisation: Arc::from("mwangaza"),
            key: self.keys[self.keys.len() - 1 - back].clone(),
            digest: u128::from(body),
        };
        self.requests.push(req.clone());
        let event = self.open(req);
        if pause && !self.processes[to].paused {
            let wall = self.wall(to);
            self.processes[to].paused = true;
            let now = None;
            self.processes[to].stuck = Some(Stuck { wall, now, event });
        } else {
            self.processes[to].inbox.push(event);
        }
    }

    /// The instance that the platform names as owner.
    fn owner(&self) -> usize {
        let owner = self.object.as_ref().map(|(value, _)| value.nonce.process);
        let owner = self.processes.iter().position(|p| Some(p.number) == owner);
        owner.unwrap_or(0)
    }

    fn open(&mut self, req: Request) -> Event {
        self.at += 1;
        let call = CallId(self.at);
        self.calls.insert(call, req.clone());
        Event::Request(call, req)
    }

    fn resume(&mut self, i: usize) {
        self.processes[i].paused = false;
        if let Some(Stuck { wall, now, event }) = self.processes[i].stuck.take() {
            let (now, read_at) = now.unwrap_or_else(|| (self.clock(i), self.at));
            let actions = self.processes[i].slots.on_event(now, wall, event);
            self.decided_at = Some(read_at);
            self.act(i, actions);
            self.decided_at = None;
        }
    }

    fn restart(&mut self, i: usize) {
        let (skew_ms, drift) = (self.processes[i].skew_ms, self.processes[i].drift);
        self.processes[i] = self.start(skew_ms, drift);
    }

    fn deliver(&mut self, number: u128, event: Event) {
        let process = self.processes.iter_mut().find(|p| p.number == number);
        if let Some(process) = process {
            process.inbox.push(event);
        }
    }

    fn run(&mut self) {
        for i in 0..INSTANCES {
            if self.processes[i].paused {
                continue;
            }
            if self.processes[i].stopping && self.processes[i].inbox.is_empty() {
                self.restart(i);
            }
            self.processes[i].inbox.push(Event::Tick);
            for turn in 0.. {
                assert!(turn < 200, "the instance asks without end");
                if self.processes[i].inbox.is_empty() {
                    break;
                }
                let event = self.processes[i].inbox.remove(0);
                let (wall, now) = (self.wall(i), self.clock(i));
                let actions = self.processes[i].slots.on_event(now, wall, event);
                self.act(i, actions);
            }
        }
    }

    fn act(&mut self, i: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Lease(slot, action) => {
                    let event = self.lease_call(action);
                    self.answer(i, Event::Lease(slot, event));
                }
                Action::Claim(claim, id, nonce) => {
                    let name = id.key.claim_name(&id.organisation);
                    let claimed = self.claim(name, nonce);
                    self.answer(i, Event::Claim(claim, claimed));
                }
                Action::ReadClaim(claim, id) => {
                    let name = id.key.claim_name(&id.organisation);
                    let claimed = match self.mode {
                        Mode::Up | Mode::Slow => {
                            let nonce = self.claims.get(&name);
                            nonce.map_or(Claimed::Absent, |nonce| Claimed::By(*nonce))
                        }
                        Mode::Down | Mode::LoseAnswer | Mode::Late => Claimed::Unavailable,
                    };
                    self.answer(i, Event::Claim(claim, claimed));
                }
                Action::Send(call) => self.send(i, call),
                Action::Reply(call, reply) => self.reply(call, reply),
            }
        }
    }

    fn answer(&mut self, i: usize, event: Event) {
        let number = self.processes[i].number;
        match self.mode {
            Mode::Slow => self.slow_answers.push((number, event)),
            Mode::Up | Mode::Down | Mode::LoseAnswer | Mode::Late => self.deliver(number, event),
        }
    }

    fn lease_call(&mut self, action: lease::Action) -> lease::Event {
        let (write, value, when) = match action {
            lease::Action::Get => {
                return match self.mode {
                    Mode::Up | Mode::Slow => lease::Event::Read(self.object.clone()),
                    Mode::Down | Mode::LoseAnswer | Mode::Late => lease::Event::PlatformDown,
                };
            }
            lease::Action::Put { write, value, when } => (write, value, when),
        };
        let effect = Write::Lease(value, when);
        let outcome = match self.mode {
            Mode::Up | Mode::Slow => match self.write(effect) {
                Some(version) => Outcome::Done(version),
                None => Outcome::Conflict,
            },
            Mode::Down => Outcome::Refused,
            Mode::LoseAnswer => {
                self.write(effect);
                Outcome::Unknown
            }
            Mode::Late => {
                self.late_writes.push(effect);
                Outcome::Unknown
            }
        };
        lease::Event::Put { write, outcome }
    }

    fn claim(&mut self, name: String, nonce: Nonce) -> Claimed {
        let effect = Write::Claim(name, nonce);
        match self.mode {
            Mode::Up | Mode::Slow => match self.write(effect) {
                Some(_) => Claimed::By(nonce),
                None => Claimed::Unsettled,
            },
            Mode::Down => Claimed::Unavailable,
            Mode::LoseAnswer => {
                self.write(effect);
                Claimed::Unsettled
            }
            Mode::Late => {
                self.late_writes.push(effect);
                Claimed::Unsettled
            }
        }
    }

    /// The platform takes a write when its precondition holds.
    fn write(&mut self, write: Write) -> Option<ObjectVersion> {
        match write {
            Write::Claim(name, nonce) => {
                let absent = !self.claims.contains_key(&name);
                absent.then(|| self.claims.insert(name, nonce));
                absent.then_some(ObjectVersion(1))
            }
            Write::Lease(value, when) => {
                let version = self.object.as_ref().map(|(_, version)| *version);
                let holds = match when {
                    Precondition::Absent => version.is_none(),
                    Precondition::Version(expected) => version == Some(expected),
                    Precondition::None => true,
                };
                let former = self.object.as_ref().map(|(value, _)| value.nonce.process);
                let next = ObjectVersion(version.unwrap_or_default().0 + 1);
                if holds {
                    self.totals.terms += u64::from(former != Some(value.nonce.process));
                    self.object = Some((value, next));
                }
                holds.then_some(next)
            }
        }
    }

    fn send(&mut self, i: usize, call: CallId) {
        self.at += 1;
        let sent = Sent {
            at: self.at,
            call,
            process: self.processes[i].number,
            req: self.calls[&call].clone(),
            given_up: false,
        };
        match self.service {
            Some(fate) => self.serve(sent, fate),
            None => self.sent.push(sent),
        }
    }

    fn serve(&mut self, mut sent: Sent, fate: Fate) {
        let event = match fate {
            Fate::Answer => Event::Answered(sent.call, self.run_service(&sent)),
            Fate::LoseAnswer => {
                self.run_service(&sent);
                Event::Lost(sent.call)
            }
            Fate::Refuse => Event::Refused(sent.call, Error::backend_refused("busy")),
            Fate::GiveUp => Event::Lost(sent.call),
        };
        if !sent.given_up {
            self.deliver(sent.process, event);
        }
        if fate == Fate::GiveUp {
            sent.given_up = true;
            self.sent.push(sent);
        }
    }

    /// The service runs a request. Here the oracle looks at what was promised.
    fn run_service(&mut self, sent: &Sent) -> Answer {
        self.at += 1;
        self.totals.ran += 1;
        let req = &sent.req;
        for told in &self.told {
            assert_ne!(told.req.id, req.id, "told not run, then it ran");
            let same = told.req.key == req.key && told.req.digest == req.digest;
            assert!(!same || told.at < sent.at, "told not run while on its way");
        }
        let answer = Answer {
            status: 201,
            content_type: "text/plain".into(),
            body: self.at.to_string().into(),
        };
        let run = Run {
            at: self.at,
            digest: req.digest,
            answer: answer.clone(),
        };
        let first = self.ran.insert(req.key.clone(), run);
        assert!(first.is_none(), "ran twice: {:?}", req.key);
        answer
    }

    fn reply(&mut self, call: CallId, reply: Reply) {
        self.at += 1;
        let req = self.calls[&call].clone();
        let ran = self.ran.get(&req.key);
        match reply {
            Reply::Answered { answer, replayed } => {
                self.totals.replayed += u64::from(replayed);
                let first = ran.expect("an answer without a run");
                assert_eq!((req.digest, &answer), (first.digest, &first.answer));
            }
            Reply::NotRun(error) => {
                self.totals.not_run += 1;
                let at = self.decided_at.unwrap_or(self.at);
                let same = ran.is_some_and(|run| run.digest == req.digest && run.at <= at);
                assert!(!same, "told not run after it ran: {error}");
                self.told.push(NotRunTold { at, req });
            }
            Reply::Unknown(_) => self.totals.unknown += 1,
            Reply::NotOwner(_) => self.totals.not_owner += 1,
        }
    }
}

fn place(pick: u8, len: usize) -> Option<usize> {
    (len > 0).then(|| usize::from(pick) % len)
}

fn config(cases: u32) -> Config {
    let default = Config::default();
    let long = std::env::var_os("PROPTEST_CASES").is_some();
    Config {
        cases: if long { default.cases } else { cases },
        rng_seed: RngSeed::Fixed(0xc1a1_0005),
        failure_persistence: None,
        ..default
    }
}

#[test]
fn slots_run_each_key_at_most_once() {
    let totals = RefCell::new(Totals::default());
    let ops = proptest::collection::vec(op(), 1..300);
    let result = TestRunner::new(config(400)).run(&ops, |ops| {
        let mut world = World::new();
        for op in ops {
            world.apply(op);
        }
        let mut totals = totals.borrow_mut();
        totals.ran += world.totals.ran;
        totals.replayed += world.totals.replayed;
        totals.unknown += world.totals.unknown;
        totals.not_run += world.totals.not_run;
        totals.not_owner += world.totals.not_owner;
        totals.terms += world.totals.terms;
        Ok(())
    });
    let Totals {
        ran,
        replayed,
        unknown,
        not_run,
        not_owner,
        terms,
    } = totals.into_inner();
    println!(
        "ran {ran}, replayed {replayed}, unknown {unknown}, not run {not_run}, \
         not owner {not_owner}, terms {terms}"
    );
    if let Err(e) = result {
        panic!("{e}");
    }
}
