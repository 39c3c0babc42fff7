//! Decisions on requests for the slots that one instance owns or may come to own.

use std::sync::Arc;
use std::time::Duration;

use uuid::Uuid;

use hemlockwind_core::Error;
use hemlockwind_core::collections::HashMap;
use hemlockwind_core::edges::Answer;
use hemlockwind_core::time::Instant;
use hemlockwind_core::time::WallTime;
use hemlockwind_lease as lease;
use hemlockwind_lease::Holder;
use hemlockwind_lease::Nonce;

use crate::key::Key;
use crate::key::time_of;
use crate::key_table::KeyTable;
use crate::key_table::ScopedKey;
use crate::key_table::State;

/// Maximum number of requests that wait for the outcome of one key.
const MAX_WAITERS: usize = 64;

/// Maximum number of attempts to create the claim of one key.
const MAX_CLAIM_ATTEMPTS: u32 = 3;

/// `Options` configures [`Slots`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of slots of the data centre, the same on all its instances.
    pub count: u16,
    /// Options of each slot's lease.
    pub lease: lease::Options,
    /// Maximum deviation of an instance's wall clock from the true time.
    pub max_skew: Duration,
    /// Maximum time by which a key's creation time may lie in the future.
    pub max_future: Duration,
    /// Time for which an outcome is kept.
    pub retention: Duration,
    /// Maximum number of keys of one slot.
    pub max_keys: usize,
    /// Maximum number of keys of one slot for one organisation.
    pub max_organisation_keys: usize,
    /// Maximum total size of the answers that are kept for one slot, in bytes.
    pub max_answer_bytes: usize,
}

/// `CallId` identifies one request within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// `ClaimId` identifies one claim within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimId(pub u64);

/// `Request` is a non-idempotent request with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The request's UUIDv7, unique for all time.
    pub id: Uuid,
    /// The organisation's name.
    pub organisation: Arc<str>,
    /// The caller's key.
    pub key: Key,
    /// Digest of the request's content; see [`crate::key::digest`].
    pub digest: u128,
}

/// `Claimed` is the result of creating or reading a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claimed {
    /// The platform holds the claim with this nonce.
    By(Nonce),
    /// The platform holds no claim for the key.
    Absent,
    /// The create conflicted, or its outcome is unknown.
    Unsettled,
    /// The platform doesn't answer, refuses the call or returns an unreadable claim.
    Unavailable,
}

/// `Event` is an input of [`Slots`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The platform showed this era. It is newer than before if the platform was restored from a
    /// snapshot and has lost leases and claims that it had acknowledged. To be passed on before the
    /// answer that showed it.
    Era(u16),
    /// An event for the lease of a slot.
    Lease(u16, lease::Event),
    /// A request for a key of one of the slots.
    Request(CallId, Request),
    /// The answer to [`Action::Claim`] or [`Action::ReadClaim`].
    Claim(ClaimId, Claimed),
    /// The service answered.
    Answered(CallId, Answer),
    /// The request was sent, but there is no answer.
    Lost(CallId),
    /// The request was not sent, or the service refused before it started.
    Refused(CallId, Error),
    /// The instance is stopping: it releases its slots.
    Stop,
}

/// `Reply` is the reply to the caller of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The service's answer.
    Answered {
        /// The answer.
        answer: Answer,
        /// Whether the answer belongs to an earlier request with this key.
        replayed: bool,
    },
    /// Neither this request nor an earlier one with its key and content ran, and this one
    /// won't run.
    NotRun(Error),
    /// A request with this key may have run.
    Unknown(Error),
    /// This instance does not own the slot and did nothing. Contains the name of the
    /// instance that was last seen owning the slot, if any.
    NotOwner(Option<Arc<str>>),
}

/// `Action` is an output of [`Slots`], for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A call to the platform for the lease of a slot.
    Lease(u16, lease::Action),
    /// Create the claim of a key with this nonce if it is absent.
    Claim(ClaimId, ScopedKey, Nonce),
    /// Read the claim of a key.
    ReadClaim(ClaimId, ScopedKey),
    /// Send the request to the service, once.
    Send(CallId),
    /// Reply to the caller.
    Reply(CallId, Reply),
}

/// `Slot` holds a slot's lease, and its keys while it is owned.
#[derive(Clone, Debug)]
struct Slot {
    holder: Holder,
    /// The term in which the keys of the table were accepted.
    term: Option<lease::FencingToken>,
    key_table: KeyTable,
}

/// `Running` describes the request that runs, or will run, for a key.
#[derive(Clone, Debug)]
struct Running {
    slot: u16,
    term: Option<lease::FencingToken>,
    scoped_key: ScopedKey,
    /// The request's id.
    request: Uuid,
}

/// `PendingClaim` is a claim that is being created.
#[derive(Clone, Debug)]
struct PendingClaim {
    call: CallId,
    nonce: Nonce,
    attempts: u32,
    /// The newest era of the platform when the request was accepted.
    era: u16,
}

/// `Slots` decides, for one instance, about the requests for all slots.
#[derive(Clone, Debug)]
pub struct Slots {
    options: Options,
    slots: Vec<Slot>,
    running: HashMap<CallId, Running>,
    pending_claims: HashMap<ClaimId, PendingClaim>,
    last_claim: u64,
}

impl Slots {
    /// Returns slots of which none is owned yet.
    pub fn new(options: Options) -> Self {
        let slot = Slot {
            holder: Holder::new(options.lease.clone()),
            term: None,
            key_table: KeyTable::default(),
        };
        Self {
            slots: vec![slot; usize::from(options.count)],
            options,
            running: HashMap::default(),
            pending_claims: HashMap::default(),
            last_claim: 0,
        }
    }

    /// Returns the number of slots that are owned under a lease in force.
    pub fn owned(&self, now: Instant) -> usize {
        let owned = self.slots.iter().filter(|s| s.holder.holds(now).is_some());
        owned.count()
    }

    /// Whether all slots were released after [`Event::Stop`].
    pub fn is_released(&self) -> bool {
        self.slots.iter().all(|slot| slot.holder.is_released())
    }

    /// Returns the number of keys in the tables of all slots.
    pub fn keys(&self) -> usize {
        self.slots.iter().map(|s| s.key_table.len()).sum()
    }

    /// Handles an event and returns the actions to carry out.
    ///
    /// `wall` must be read before `now`: a lease in force at `now` was then also in
    /// force when `wall` was read, so the keys that the next owner accepts as new have
    /// later creation times than those accepted here.
    pub fn on_event(&mut self, now: Instant, wall: WallTime, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.on_tick(now, wall, &mut actions),
            Event::Era(era) => {
                for slot in 0..self.options.count {
                    let event = lease::Event::Era(era);
                    self.on_lease_event(now, wall, slot, event, &mut actions);
                }
            }
            Event::Lease(slot, event) => self.on_lease_event(now, wall, slot, event, &mut actions),
            Event::Request(call, req) => self.on_request(now, wall, call, req, &mut actions),
            Event::Claim(claim, claimed) => self.on_claimed(claim, claimed, &mut actions),
            Event::Answered(call, answer) => self.on_answered(call, answer, &mut actions),
            Event::Lost(call) => self.on_lost(call, &sent_before(), &mut actions),
            Event::Refused(call, error) => self.on_refused(call, &error, &mut actions),
            Event::Stop => {
                for slot in 0..self.options.count {
                    self.on_lease_event(now, wall, slot, lease::Event::Stop, &mut actions);
                }
            }
        }
        actions
    }

    fn on_tick(&mut self, now: Instant, wall: WallTime, actions: &mut Vec<Action>) {
        let next = now + self.options.retention;
        for slot in 0..self.options.count {
            self.on_lease_event(now, wall, slot, lease::Event::Tick, actions);
            self.slots[usize::from(slot)].key_table.expire(now, next);
        }
    }

    fn on_lease_event(
        &mut self,
        now: Instant,
        wall: WallTime,
        index: u16,
        event: lease::Event,
        actions: &mut Vec<Action>,
    ) {
        // Every key that an earlier owner accepted was created before this time, even if
        // the key's creation time lay in the future, the earlier owner's clock was fast
        // and this one is slow, each as far as allowed.
        let cutoff = wall + self.options.max_skew * 2 + self.options.max_future;
        let Some(slot) = self.slots.get_mut(usize::from(index)) else {
            return;
        };
        let action = slot.holder.on_event(now, event);
        actions.extend(action.map(|action| Action::Lease(index, action)));
        if slot.holder.term() == slot.term {
            return;
        }
        slot.term = slot.holder.term();
        let former_table = std::mem::replace(&mut slot.key_table, KeyTable::new(cutoff));
        let unknown = Error::outcome_unknown("the owner of the key's slot changed");
        for call in former_table.into_waiters() {
            actions.push(Action::Reply(call, Reply::Unknown(unknown.clone())));
        }
    }

    fn on_request(
        &mut self,
        now: Instant,
        wall: WallTime,
        call: CallId,
        req: Request,
        actions: &mut Vec<Action>,
    ) {
        let index = req.key.slot(&req.organisation, self.options.count);
        let Some(slot) = self.slots.get_mut(usize::from(index)) else {
            return;
        };
        if slot.term.is_none() {
            let owner = slot.holder.other_holder().cloned();
            actions.push(Action::Reply(call, Reply::NotOwner(owner)));
            return;
        }
        let scoped_key = ScopedKey {
            organisation: Arc::clone(&req.organisation),
            key: req.key.clone(),
        };
        let is_recorded = slot.key_table.get_mut(&scoped_key).is_some();
        let decision = match is_recorded {
            true => decide_recorded_key(
                &mut slot.key_table,
                now,
                &slot.holder,
                call,
                &req,
                &scoped_key,
            ),
            false => decide_new_key(
                &mut slot.key_table,
                now,
                &slot.holder,
                wall,
                &req,
                &self.options,
            ),
        };
        match decision {
            Decision::Reply(reply) => actions.push(Action::Reply(call, reply)),
            Decision::Wait => {}
            Decision::Run => {
                if !is_recorded {
                    let expires_at = now + self.options.retention;
                    let state = match req.key {
                        Key::Timed(_) => State::InFlight,
                        Key::Text(_) => State::Claiming,
                    };
                    slot.key_table
                        .insert(scoped_key.clone(), req.digest, state, expires_at);
                }
                let term = slot.term;
                self.start(call, index, term, scoped_key, &req, is_recorded, actions);
            }
        }
    }

    /// Sends an accepted request. A key without a creation time needs a claim, which is
    /// created first unless `has_claim` is set.
    #[expect(
        clippy::too_many_arguments,
        reason = "all parts of one accepted request"
    )]
    fn start(
        &mut self,
        call: CallId,
        slot: u16,
        term: Option<lease::FencingToken>,
        scoped_key: ScopedKey,
        req: &Request,
        has_claim: bool,
        actions: &mut Vec<Action>,
    ) {
        let is_timed = scoped_key.key.time().is_some();
        let running = Running {
            slot,
            term,
            scoped_key: scoped_key.clone(),
            request: req.id,
        };
        self.running.insert(call, running);
        if is_timed || has_claim {
            actions.push(Action::Send(call));
            return;
        }
        self.last_claim += 1;
        let claim = ClaimId(self.last_claim);
        let nonce = Nonce {
            process: self.options.lease.process,
            write: self.last_claim,
        };
        let attempts = 1;
        self.pending_claims.insert(
            claim,
            PendingClaim {
                call,
                nonce,
                attempts,
                era: self.slots[usize::from(slot)].holder.era(),
            },
        );
        actions.push(Action::Claim(claim, scoped_key, nonce));
    }

    fn on_claimed(&mut self, claim: ClaimId, claimed: Claimed, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending_claims.get_mut(&claim) else {
            return;
        };
        let (call, nonce) = (pending.call, pending.nonce);
        let Some(running) = self.running.get(&call) else {
            return;
        };
        let is_restored = self.slots[usize::from(running.slot)].holder.era() != pending.era;
        match claimed {
            // An earlier claim of the key may have been lost.
            Claimed::By(_) | Claimed::Absent if is_restored => {
                self.abandon_claim(call, &claims_lost(), actions);
            }
            Claimed::Unsettled => {
                actions.push(Action::ReadClaim(claim, running.scoped_key.clone()));
                return;
            }
            // With the same nonce, an earlier create that arrives late makes the same
            // claim.
            Claimed::Absent if pending.attempts < MAX_CLAIM_ATTEMPTS => {
                pending.attempts += 1;
                actions.push(Action::Claim(claim, running.scoped_key.clone(), nonce));
                return;
            }
            Claimed::By(stored) if stored == nonce => {
                let slot = &mut self.slots[usize::from(running.slot)];
                if slot.term == running.term
                    && let Some(entry) = slot.key_table.get_mut(&running.scoped_key)
                {
                    entry.state = State::InFlight;
                }
                actions.push(Action::Send(call));
            }
            // The claim may be for a copy of this request or for another one: it does not say
            // which.
            Claimed::By(_) => {
                let error = Error::outcome_unknown("the key was used before");
                self.abandon_claim(call, &error, actions);
            }
            Claimed::Absent | Claimed::Unavailable => {
                let error = Error::claim_unavailable("the platform did not accept the key's claim");
                self.abandon_claim(call, &error, actions);
            }
        }
        self.pending_claims.remove(&claim);
    }

    fn on_answered(&mut self, call: CallId, answer: Answer, actions: &mut Vec<Action>) {
        let limit = self.options.max_answer_bytes;
        let waiters = self.finish_run(call, |key_table, _, _| {
            match key_table.answer_bytes() + answer.body.len() <= limit {
                true => State::Answered(answer.clone()),
                false => State::Unknown,
            }
        });
        for (waiter, _) in waiters {
            let answer = answer.clone();
            let replayed = true;
            actions.push(Action::Reply(waiter, Reply::Answered { answer, replayed }));
        }
        let replayed = false;
        actions.push(Action::Reply(call, Reply::Answered { answer, replayed }));
    }

    fn on_lost(&mut self, call: CallId, error: &Error, actions: &mut Vec<Action>) {
        let waiters = self.finish_run(call, |_, _, _| State::Unknown);
        reply_all(call, waiters, &Reply::Unknown(error.clone()), actions);
    }

    fn on_refused(&mut self, call: CallId, error: &Error, actions: &mut Vec<Action>) {
        let waiters = self.finish_run(call, |key_table, scoped_key, request| {
            let waiters = key_table
                .get_mut(scoped_key)
                .map(|entry| entry.waiters.iter());
            let requests = waiters.into_iter().flatten().map(|(_, request)| *request);
            State::Refused {
                up_to: requests.fold(request, Ord::max),
            }
        });
        reply_all(call, waiters, &Reply::NotRun(error.clone()), actions);
    }

    /// Ends a request that was not sent, as its claim was not confirmed, and removes its
    /// key.
    fn abandon_claim(&mut self, call: CallId, error: &Error, actions: &mut Vec<Action>) {
        let ended = self
            .running
            .get(&call)
            .map(|r| (r.slot, r.scoped_key.clone()));
        let waiters = self.finish_run(call, |_, _, _| State::Unknown);
        reply_all(call, waiters, &Reply::Unknown(error.clone()), actions);
        if let Some((slot, scoped_key)) = ended {
            self.slots[usize::from(slot)].key_table.remove(&scoped_key);
        }
    }

    /// Ends the run of `call` and sets the state of its key, unless the slot's term
    /// has ended meanwhile. Returns the requests that waited for it.
    fn finish_run(
        &mut self,
        call: CallId,
        state: impl FnOnce(&mut KeyTable, &ScopedKey, Uuid) -> State,
    ) -> Vec<(CallId, Uuid)> {
        let Some(running) = self.running.remove(&call) else {
            return Vec::new();
        };
        let slot = &mut self.slots[usize::from(running.slot)];
        if slot.term != running.term {
            return Vec::new();
        }
        let state = state(&mut slot.key_table, &running.scoped_key, running.request);
        slot.key_table.complete(&running.scoped_key, state)
    }
}

/// `Decision` is the decision about a request.
enum Decision {
    Reply(Reply),
    /// The request waits for the outcome of the first request with its key.
    Wait,
    Run,
}

/// Decides about a request whose key is in the table. Only a new run after a refusal
/// needs a lease in force. The recorded outcome holds after the lease has lapsed, as a
/// later owner can't run the key.
fn decide_recorded_key(
    key_table: &mut KeyTable,
    now: Instant,
    holder: &Holder,
    call: CallId,
    req: &Request,
    scoped_key: &ScopedKey,
) -> Decision {
    let Some(entry) = key_table.get_mut(scoped_key) else {
        return Decision::Reply(Reply::Unknown(sent_before()));
    };
    if entry.digest != req.digest {
        return Decision::Reply(match entry.state {
            State::Claiming => Reply::Unknown(Error::KeyReused),
            State::InFlight | State::Answered(_) | State::Unknown | State::Refused { .. } => {
                Reply::NotRun(Error::KeyReused)
            }
        });
    }
    match &entry.state {
        State::Claiming | State::InFlight if entry.waiters.len() < MAX_WAITERS => {
            entry.waiters.push((call, req.id));
            Decision::Wait
        }
        State::Claiming | State::InFlight | State::Unknown => {
            Decision::Reply(Reply::Unknown(sent_before()))
        }
        State::Answered(answer) => Decision::Reply(Reply::Answered {
            answer: answer.clone(),
            replayed: true,
        }),
        State::Refused { up_to } if req.id <= *up_to => {
            let error =
                Error::backend_refused("this request or a newer one with its key was refused");
            Decision::Reply(Reply::NotRun(error))
        }
        State::Refused { .. } if holder.holds(now).is_none() => {
            Decision::Reply(Reply::Unknown(lease_lapsed()))
        }
        State::Refused { .. } => {
            entry.state = State::InFlight;
            Decision::Run
        }
    }
}

/// Decides about a request whose key is not in the table.
fn decide_new_key(
    key_table: &mut KeyTable,
    now: Instant,
    holder: &Holder,
    wall: WallTime,
    req: &Request,
    options: &Options,
) -> Decision {
    if holder.holds(now).is_none() {
        return Decision::Reply(Reply::Unknown(lease_lapsed()));
    }
    let created_at = req.key.time();
    // Nothing shows whether such a key is older than the restore, which may have undone its claim.
    if created_at.is_none() && holder.era() > 0 {
        return Decision::Reply(Reply::Unknown(claims_lost()));
    }
    let sent_at = time_of(req.id).unwrap_or_default();
    // A key without a creation time is protected by its claim instead.
    if created_at.is_some_and(|created_at| created_at.min(sent_at) < key_table.cutoff()) {
        let error = Error::outcome_unknown("the key is older than the records of its slot's owner");
        return Decision::Reply(Reply::Unknown(error));
    }
    let refusal = if created_at.is_some_and(|created_at| created_at > wall + options.max_future) {
        Some(Error::idempotency_key(
            "the key's creation time lies in the future",
        ))
    } else if key_table.len() >= options.max_keys
        || key_table.organisation_len(&req.organisation) >= options.max_organisation_keys
    {
        Some(Error::QueueFull(Duration::from_secs(1)))
    } else if key_table.was_refused(&req.organisation, req.id) {
        Some(Error::claim_unavailable(
            "this request or a newer one of its organisation was refused",
        ))
    } else {
        None
    };
    let Some(error) = refusal else {
        return Decision::Run;
    };
    if created_at.is_none() {
        // An earlier owner may have run such a key, which only its claim in the platform
        // would show.
        return Decision::Reply(Reply::Unknown(error));
    }
    key_table.record_refusal(&req.organisation, req.id);
    Decision::Reply(Reply::NotRun(error))
}

fn reply_all(call: CallId, waiters: Vec<(CallId, Uuid)>, reply: &Reply, actions: &mut Vec<Action>) {
    actions.push(Action::Reply(call, reply.clone()));
    for (waiter, _) in waiters {
        actions.push(Action::Reply(waiter, reply.clone()));
    }
}

fn sent_before() -> Error {
    Error::outcome_unknown("a request with this key was sent")
}

fn claims_lost() -> Error {
    Error::outcome_unknown("the platform was restored and may have lost the claim of the key")
}

fn lease_lapsed() -> Error {
    Error::claim_unavailable("the lease of the key's slot has lapsed")
}
