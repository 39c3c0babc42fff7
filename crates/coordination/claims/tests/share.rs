//! Simulates one data centre in virtual time and reports the platform's calls and the
//! share of requests served. `cargo test -p hemlockwind-claims --test share --
//! --nocapture` prints the table in docs/design/at-most-once.md.

use std::sync::Arc;
use std::time::Duration;

use uuid::Builder;

use hemlockwind_claims::Action;
use hemlockwind_claims::CallId;
use hemlockwind_claims::Claimed;
use hemlockwind_claims::Event;
use hemlockwind_claims::Key;
use hemlockwind_claims::Options;
use hemlockwind_claims::Reply;
use hemlockwind_claims::Request;
use hemlockwind_claims::Slots;
use hemlockwind_core::edges::Answer;
use hemlockwind_core::edges::ObjectVersion;
use hemlockwind_core::edges::Precondition;
use hemlockwind_core::time::Instant;
use hemlockwind_core::time::WallTime;
use hemlockwind_lease as lease;

const SLOTS: u16 = 32;
const INSTANCES: usize = 8;
const LEASE: Duration = Duration::from_secs(20);
const TICK_MS: u64 = 100;
const EPOCH_MS: u64 = 1_700_000_000_000;
/// The requests of one tick: one data centre's part of the target, 478 per second.
const REQUESTS_PER_TICK: u64 = 48;
/// Time of the failure, in milliseconds. The steady state is reached before it.
const FAILURE_MS: u64 = 30_000;
/// Lag of the platform's list of live instances, in milliseconds.
const LIST_LAG_MS: u64 = 5_000;

/// `Failure` is what fails in a simulation.
#[derive(Clone, Copy, PartialEq)]
enum Failure {
    None,
    /// The platform is down for this time, in milliseconds.
    Outage(u64),
    /// An instance is killed.
    Kill,
    /// A planned stop of an instance.
    Stop,
}

/// `KeyKind` is the kind of the requests' keys.
#[derive(Clone, Copy, PartialEq)]
enum KeyKind {
    Timed,
    Text,
}

/// `Outcome` holds the counts since the failure.
#[derive(Debug, Default)]
struct Outcome {
    sent: u64,
    served: u64,
    /// Time of the last request that was not served, in milliseconds after the failure.
    last_unserved_ms: u64,
    puts: u64,
    gets: u64,
    keys: usize,
}

/// `Simulation` holds the instances of a data centre and the platform's objects.
struct Simulation {
    now_ms: u64,
    failure: Failure,
    objects: Vec<Option<(lease::Value, ObjectVersion)>>,
    instances: Vec<Option<Slots>>,
    outcome: Outcome,
    calls: u64,
}

fn options(instance: usize) -> Options {
    Options {
        count: SLOTS,
        lease: lease::Options {
            name: instance.to_string().into(),
            process: instance as u128 + 1,
            duration: LEASE,
            retry: Duration::from_secs(1),
            inherits: false,
        },
        max_skew: Duration::from_millis(250),
        max_future: Duration::from_secs(1),
        retention: Duration::from_secs(600),
        max_keys: 16_384,
        max_organisation_keys: 16_384,
        max_answer_bytes: 16 << 20,
    }
}

impl Simulation {
    fn new(failure: Failure) -> Self {
        let instances = (0..INSTANCES).map(|i| Some(Slots::new(options(i))));
        Self {
            now_ms: 0,
            failure,
            objects: vec![None; usize::from(SLOTS)],
            instances: instances.collect(),
            outcome: Outcome::default(),
            calls: 0,
        }
    }

    fn is_down(&self) -> bool {
        match self.failure {
            Failure::Outage(ms) => (FAILURE_MS..FAILURE_MS + ms).contains(&self.now_ms),
            Failure::None | Failure::Kill | Failure::Stop => false,
        }
    }

    /// Passes an event to an instance and carries out the resulting actions.
    fn event(&mut self, i: usize, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let wall = WallTime::from_millis(EPOCH_MS + self.now_ms);
            let now = Instant::from_millis(self.now_ms);
            let Some(slots) = &mut self.instances[i] else {
                return;
            };
            for action in slots.on_event(now, wall, event) {
                events.extend(self.act(action));
            }
        }
    }

    fn act(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Lease(slot, lease::Action::Get) => {
                self.outcome.gets += 1;
                let object = self.objects[usize::from(slot)].clone();
                let event = match self.is_down() {
                    true => lease::Event::PlatformDown,
                    false => lease::Event::Read(object),
                };
                Some(Event::Lease(slot, event))
            }
            Action::Lease(slot, lease::Action::Put { write, value, when }) => {
                self.outcome.puts += 1;
                let outcome = self.put(slot, value, when);
                Some(Event::Lease(slot, lease::Event::Put { write, outcome }))
            }
            Action::Claim(claim, _, nonce) => {
                self.outcome.puts += 1;
                let claimed = match self.is_down() {
                    true => Claimed::Unavailable,
                    false => Claimed::By(nonce),
                };
                Some(Event::Claim(claim, claimed))
            }
            Action::ReadClaim(claim, _) => Some(Event::Claim(claim, Claimed::Unavailable)),
            Action::Send(call) => {
                let answer = Answer {
                    status: 201,
                    content_type: "application/json".into(),
                    body: vec![0; 200].into(),
                };
                Some(Event::Answered(call, answer))
            }
            Action::Reply(_, Reply::Answered { .. }) => {
                self.outcome.served += 1;
                None
            }
            Action::Reply(_, Reply::NotRun(_) | Reply::Unknown(_) | Reply::NotOwner(_)) => {
                self.record_unserved();
                None
            }
        }
    }

    fn record_unserved(&mut self) {
        self.outcome.last_unserved_ms = self.now_ms - FAILURE_MS;
    }

    fn put(&mut self, slot: u16, value: lease::Value, when: Precondition) -> lease::Outcome {
        if self.is_down() {
            return lease::Outcome::Refused;
        }
        let object = &mut self.objects[usize::from(slot)];
        let version = object.as_ref().map(|(_, version)| *version);
        let holds = match when {
            Precondition::Absent => version.is_none(),
            Precondition::Version(expected) => version == Some(expected),
            Precondition::None => true,
        };
        if !holds {
            return lease::Outcome::Conflict;
        }
        let version = ObjectVersion(version.unwrap_or_default().0 + 1);
        *object = Some((value, version));
        lease::Outcome::Done(version)
    }

    /// Whether an instance may take a slot. The candidates are the first two listed
    /// instances, counted from the slot's number. Until one lease duration has passed,
    /// only the first of them is a candidate.
    fn is_candidate(&self, slot: u16, i: usize) -> bool {
        let first = usize::from(slot) % INSTANCES;
        let is_listed = |i: usize| {
            let ends_instance_0 = matches!(self.failure, Failure::Kill | Failure::Stop);
            i != 0 || !ends_instance_0 || self.now_ms < FAILURE_MS + LIST_LAG_MS
        };
        let next = (first..first + INSTANCES).map(|i| i % INSTANCES);
        let count = if self.now_ms < LEASE.as_millis() as u64 {
            1
        } else {
            2
        };
        let mut candidates = next.filter(|&i| is_listed(i)).take(count);
        candidates.any(|candidate| candidate == i)
    }

    fn request(&mut self, key_kind: KeyKind) {
        self.calls += 1;
        let mut random = [0_u8; 10];
        random[2..].copy_from_slice(&self.calls.to_be_bytes());
        let id = Builder::from_unix_timestamp_millis(EPOCH_MS + self.now_ms, &random).into_uuid();
        let key = match key_kind {
            KeyKind::Timed => Key::Timed(id),
            KeyKind::Text => Key::parse(&format!("loan-{}", self.calls)).expect("visible ASCII"),
        };
        let organisation: Arc<str> = format!("organisation-{}", self.calls % 100).into();
        let slot = usize::from(key.slot(&organisation, SLOTS));
        let owner = self.objects[slot].as_ref().map(|(value, _)| &value.holder);
        let owner = owner.and_then(|name| name.parse::<usize>().ok());
        self.outcome.sent += 1;
        let request = Request {
            id,
            organisation,
            key,
            digest: 0,
        };
        match owner.filter(|&i| self.instances[i].is_some()) {
            Some(owner) => self.event(owner, Event::Request(CallId(self.calls), request)),
            None => self.record_unserved(),
        }
    }

    fn run(mut self, key_kind: KeyKind, after_ms: u64) -> Outcome {
        while self.now_ms < FAILURE_MS + after_ms {
            if self.now_ms == FAILURE_MS {
                match self.failure {
                    Failure::Kill => self.instances[0] = None,
                    Failure::Stop => self.event(0, Event::Stop),
                    Failure::None | Failure::Outage(_) => {}
                }
                self.outcome = Outcome::default();
            }
            for slot in 0..SLOTS {
                for i in 0..INSTANCES {
                    let candidate = lease::Event::Candidate(self.is_candidate(slot, i));
                    self.event(i, Event::Lease(slot, candidate));
                }
            }
            for i in 0..INSTANCES {
                self.event(i, Event::Tick);
            }
            if self.now_ms >= FAILURE_MS {
                (0..REQUESTS_PER_TICK).for_each(|_| self.request(key_kind));
            }
            self.now_ms += TICK_MS;
        }
        let keys = self.instances.iter().flatten().map(Slots::keys);
        self.outcome.keys = keys.sum();
        self.outcome
    }
}

/// Runs a simulation, prints its row of the table and returns the share served.
fn print_row(name: &str, failure: Failure, key_kind: KeyKind, after_ms: u64) -> f64 {
    let outcome = Simulation::new(failure).run(key_kind, after_ms);
    let share = outcome.served as f64 / outcome.sent as f64;
    let seconds = after_ms as f64 / 1000.0;
    println!(
        "{name:<44} {share:>6.3} {:>9.1} {:>8.1} {:>8.1} {:>9.2} {:>7}",
        outcome.last_unserved_ms as f64 / 1000.0,
        outcome.puts as f64 / seconds,
        outcome.gets as f64 / seconds,
        1000.0 * outcome.puts as f64 / outcome.sent as f64,
        outcome.keys,
    );
    share
}

#[test]
fn share_served_under_failures() {
    println!(
        "{:<44} {:>6} {:>9} {:>8} {:>8} {:>9} {:>7}",
        "case", "served", "until s", "writes/s", "reads/s", "w/1000", "keys"
    );
    let timed = KeyKind::Timed;
    let steady = print_row("steady, keys with time", Failure::None, timed, 60_000);
    print_row(
        "steady, keys without time",
        Failure::None,
        KeyKind::Text,
        20_000,
    );
    let short = Failure::Outage(10_000);
    let short = print_row("outage of 10 s, over 60 s", short, timed, 60_000);
    print_row(
        "outage of 30 s, during it",
        Failure::Outage(30_000),
        timed,
        30_000,
    );
    print_row(
        "outage of 300 s, during it",
        Failure::Outage(300_000),
        timed,
        300_000,
    );
    print_row(
        "outage of 30 s, over 60 s",
        Failure::Outage(30_000),
        timed,
        60_000,
    );
    print_row(
        "outage of 10 s, during it, keys without time",
        Failure::Outage(10_000),
        KeyKind::Text,
        10_000,
    );
    print_row(
        "kill of 1 of 8 instances, over 60 s",
        Failure::Kill,
        timed,
        60_000,
    );
    print_row(
        "planned stop of 1 of 8 instances, over 60 s",
        Failure::Stop,
        timed,
        60_000,
    );
    assert!(steady > 0.999 && short > 0.999);
}
