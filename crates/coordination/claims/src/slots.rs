//! The slots that one instance owns or may come to own.

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
use crate::memory::Id;
use crate::memory::Memory;
use crate::memory::State;

/// Requests that may wait for the outcome of one key.
const JOINED_LIMIT: usize = 64;

/// Tries to create the claim of one key.
const CLAIM_TRIES: u32 = 3;

/// `Options` holds what [`Slots`] is told at its start.
#[derive(Clone, Debug)]
pub struct Options {
    /// The number of slots of this data centre, the same on all its instances.
    pub count: u16,
    /// The lease of each slot.
    pub lease: lease::Options,
    /// How far the wall clock of an instance may be from the true time.
    pub skew: Duration,
    /// How far in the future a key's time may lie.
    pub future: Duration,
    /// How long an outcome is kept.
    pub window: Duration,
    /// Keys of one slot at most.
    pub keys: usize,
    /// Keys of one slot at most for one organisation.
    pub organisation_keys: usize,
    /// Bytes of the answers of one slot that are kept at most.
    pub answer_bytes: usize,
}

/// `CallId` names one request inside this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// `ClaimId` names one claim inside this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimId(pub u64);

/// `Request` is a non-idempotent request with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The name that the request's UUIDv7 gives it for ever.
    pub id: Uuid,
    /// The organisation's name.
    pub organisation: Arc<str>,
    /// The caller's key.
    pub key: Key,
    /// What is asked for; see [`crate::key::digest`].
    pub digest: u128,
}

/// `Claimed` is what is known of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claimed {
    /// The platform holds the claim with this nonce.
    By(Nonce),
    /// The platform holds no claim for the key.
    Absent,
    /// The create conflicted, or its outcome is unknown.
    Unsettled,
    /// The platform can't be asked.
    Unavailable,
}

/// `Event` is what [`Slots`] hears.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// News for the lease of a slot.
    Lease(u16, lease::Event),
    /// A request for a key of one of the slots.
    Request(CallId, Request),
    /// The answer to [`Action::Claim`] or [`Action::ReadClaim`].
    Claim(ClaimId, Claimed),
    /// The service answered.
    Answered(CallId, Answer),
    /// The request was sent, and there is no answer.
    Lost(CallId),
    /// The request was not sent, or the service refused before it started.
    Refused(CallId, Error),
    /// The instance is stopping: it gives its slots up.
    Stop,
}

/// `Reply` is what the caller of a request is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The service's answer.
    Answered {
        /// The answer.
        answer: Answer,
        /// Whether it is the answer to an earlier request with this key.
        replayed: bool,
    },
    /// No request with this key ran, and this one won't.
    NotRun(Error),
    /// A request with this key may have run.
    Unknown(Error),
    /// Another instance owns the slot, as far as is known. Nothing was done here.
    NotOwner(Option<Arc<str>>),
}

/// `Action` is what [`Slots`] asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A call to the platform for the lease of a slot.
    Lease(u16, lease::Action),
    /// Create the claim of a key with this nonce, if it is absent.
    Claim(ClaimId, Id, Nonce),
    /// Read the claim of a key.
    ReadClaim(ClaimId, Id),
    /// Send the request to the service, once.
    Send(CallId),
    /// Tell the caller.
    Reply(CallId, Reply),
}

/// `Slot` is one slot with its lease, and its memory while it is owned.
#[derive(Clone, Debug)]
struct Slot {
    holder: Holder,
    term: Option<lease::Fencing>,
    memory: Memory,
}

/// `Running` is the request that runs, or will run, for a key.
#[derive(Clone, Debug)]
struct Running {
    slot: u16,
    term: Option<lease::Fencing>,
    id: Id,
    request: Uuid,
}

/// `Claiming` is a claim that is being made.
#[derive(Clone, Debug)]
struct Claiming {
    call: CallId,
    nonce: Nonce,
    tries: u32,
}

/// `Slots` decides about the requests of all slots on one instance.
#[derive(Clone, Debug)]
pub struct Slots {
    options: Options,
    slots: Vec<Slot>,
    running: HashMap<CallId, Running>,
    claiming: HashMap<ClaimId, Claiming>,
    claims: u64,
}

impl Slots {
    /// Slots of which none is owned yet.
    pub fn new(options: Options) -> Self {
        let slot = Slot {
            holder: Holder::new(options.lease.clone()),
            term: None,
            memory: Memory::default(),
        };
        Self {
            slots: vec![slot; usize::from(options.count)],
            options,
            running: HashMap::default(),
            claiming: HashMap::default(),
            claims: 0,
        }
    }

    /// The slots that are owned under a lease in force.
    pub fn owned(&self, now: Instant) -> usize {
        let owned = self.slots.iter().filter(|s| s.holder.holds(now).is_some());
        owned.count()
    }

    /// Whether all slots were given up after [`Event::Stop`].
    pub fn is_released(&self) -> bool {
        self.slots.iter().all(|slot| slot.holder.is_released())
    }

    /// The number of keys that are remembered.
    pub fn keys(&self) -> usize {
        self.slots.iter().map(|s| s.memory.len()).sum()
    }

    /// Takes an event and says what to do. `wall` must be read before `now`: while
    /// the lease is in force at `now`, it was so when `wall` was read, and what the
    /// next owner takes for new lies later.
    pub fn on_event(&mut self, now: Instant, wall: WallTime, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, wall, &mut actions),
            Event::Lease(slot, event) => self.lease(now, wall, slot, event, &mut actions),
            Event::Request(call, req) => self.request(now, wall, call, req, &mut actions),
            Event::Claim(claim, claimed) => self.claimed(claim, claimed, &mut actions),
            Event::Answered(call, answer) => self.answered(call, answer, &mut actions),
            Event::Lost(call) => self.lost(call, &lost(), &mut actions),
            Event::Refused(call, error) => self.refused(call, &error, &mut actions),
            Event::Stop => {
                for slot in 0..self.options.count {
                    self.lease(now, wall, slot, lease::Event::Stop, &mut actions);
                }
            }
        }
        actions
    }

    fn tick(&mut self, now: Instant, wall: WallTime, actions: &mut Vec<Action>) {
        let next = now + self.options.window;
        for slot in 0..self.options.count {
            self.lease(now, wall, slot, lease::Event::Tick, actions);
            self.slots[usize::from(slot)].memory.expire(now, next);
        }
    }

    fn lease(
        &mut self,
        now: Instant,
        wall: WallTime,
        index: u16,
        event: lease::Event,
        actions: &mut Vec<Action>,
    ) {
        // Whatever an earlier owner accepted was made before this time: its clock,
        // ours and the allowed future of a key each add a part.
        let floor = wall + self.options.skew * 2 + self.options.future;
        let Some(slot) = self.slots.get_mut(usize::from(index)) else {
            return;
        };
        let action = slot.holder.on_event(now, event);
        actions.extend(action.map(|action| Action::Lease(index, action)));
        if slot.holder.term() == slot.term {
            return;
        }
        slot.term = slot.holder.term();
        let former = std::mem::replace(&mut slot.memory, Memory::new(floor));
        let unknown = Error::outcome_unknown("the owner of the key's slot changed");
        for call in former.into_joined() {
            actions.push(Action::Reply(call, Reply::Unknown(unknown.clone())));
        }
    }

    fn request(
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
            let other = slot.holder.other().cloned();
            actions.push(Action::Reply(call, Reply::NotOwner(other)));
            return;
        }
        let id = Id {
            organisation: Arc::clone(&req.organisation),
            key: req.key.clone(),
        };
        let known = slot.memory.get_mut(&id).is_some();
        let reply = match known {
            true => known_key(&mut slot.memory, now, &slot.holder, call, &req, &id),
            false => new_key(
                &mut slot.memory,
                now,
                &slot.holder,
                wall,
                &req,
                &self.options,
            ),
        };
        match reply {
            Verdict::Reply(reply) => actions.push(Action::Reply(call, reply)),
            Verdict::Joined => {}
            Verdict::Run => {
                if !known {
                    let expires_at = now + self.options.window;
                    let state = match req.key {
                        Key::Timed(_) => State::Open,
                        Key::Text(_) => State::Claiming,
                    };
                    slot.memory.open(id.clone(), req.digest, state, expires_at);
                }
                let term = slot.term;
                self.start(call, index, term, id, &req, known, actions);
            }
        }
    }

    /// Sends a request that was accepted, after a claim when its key needs one.
    #[expect(
        clippy::too_many_arguments,
        reason = "all parts of one accepted request"
    )]
    fn start(
        &mut self,
        call: CallId,
        slot: u16,
        term: Option<lease::Fencing>,
        id: Id,
        req: &Request,
        claimed: bool,
        actions: &mut Vec<Action>,
    ) {
        let timed = id.key.time().is_some();
        let running = Running {
            slot,
            term,
            id: id.clone(),
            request: req.id,
        };
        self.running.insert(call, running);
        if timed || claimed {
            actions.push(Action::Send(call));
            return;
        }
        self.claims += 1;
        let claim = ClaimId(self.claims);
        let nonce = Nonce {
            process: self.options.lease.process,
            write: self.claims,
        };
        let tries = 1;
        self.claiming.insert(claim, Claiming { call, nonce, tries });
        actions.push(Action::Claim(claim, id, nonce));
    }

    fn claimed(&mut self, claim: ClaimId, claimed: Claimed, actions: &mut Vec<Action>) {
        let Some(claiming) = self.claiming.get_mut(&claim) else {
            return;
        };
        let (call, nonce) = (claiming.call, claiming.nonce);
        let Some(running) = self.running.get(&call) else {
            return;
        };
        match claimed {
            Claimed::Unsettled => {
                actions.push(Action::ReadClaim(claim, running.id.clone()));
                return;
            }
            // The same nonce again: a create that arrives late makes the same claim.
            Claimed::Absent if claiming.tries < CLAIM_TRIES => {
                claiming.tries += 1;
                actions.push(Action::Claim(claim, running.id.clone(), nonce));
                return;
            }
            Claimed::By(owner) if owner == nonce => {
                let slot = &mut self.slots[usize::from(running.slot)];
                if slot.term == running.term
                    && let Some(entry) = slot.memory.get_mut(&running.id)
                {
                    entry.state = State::Open;
                }
                actions.push(Action::Send(call));
            }
            // Perhaps for another request: which one is not known here.
            Claimed::By(_) => {
                let error = Error::outcome_unknown("the key was used before");
                self.unclaimed(call, &error, actions);
            }
            Claimed::Absent | Claimed::Unavailable => {
                let error = Error::claim_unavailable("the platform did not take the key's claim");
                self.unclaimed(call, &error, actions);
            }
        }
        self.claiming.remove(&claim);
    }

    fn answered(&mut self, call: CallId, answer: Answer, actions: &mut Vec<Action>) {
        let limit = self.options.answer_bytes;
        let joined = self.settle(call, |memory, _, _| {
            match memory.answer_bytes() + answer.body.len() <= limit {
                true => State::Answered(answer.clone()),
                false => State::Unknown,
            }
        });
        for (other, _) in joined {
            let answer = answer.clone();
            let replayed = true;
            actions.push(Action::Reply(other, Reply::Answered { answer, replayed }));
        }
        let replayed = false;
        actions.push(Action::Reply(call, Reply::Answered { answer, replayed }));
    }

    fn lost(&mut self, call: CallId, error: &Error, actions: &mut Vec<Action>) {
        let joined = self.settle(call, |_, _, _| State::Unknown);
        reply_all(call, joined, &Reply::Unknown(error.clone()), actions);
    }

    fn refused(&mut self, call: CallId, error: &Error, actions: &mut Vec<Action>) {
        let joined = self.settle(call, |memory, id, request| {
            let joined = memory.get_mut(id).map(|entry| entry.joined.iter());
            let ids = joined.into_iter().flatten().map(|(_, id)| *id);
            State::Refused {
                up_to: ids.fold(request, Ord::max),
            }
        });
        reply_all(call, joined, &Reply::NotRun(error.clone()), actions);
    }

    /// Forgets a key whose claim was not made here; the request was not sent.
    fn unclaimed(&mut self, call: CallId, error: &Error, actions: &mut Vec<Action>) {
        let id = self.running.get(&call).map(|r| (r.slot, r.id.clone()));
        let joined = self.settle(call, |_, _, _| State::Unknown);
        reply_all(call, joined, &Reply::Unknown(error.clone()), actions);
        if let Some((slot, id)) = id {
            self.slots[usize::from(slot)].memory.remove(&id);
        }
    }

    /// Ends the run of `call` and sets the state of its key, unless the slot's term
    /// has ended meanwhile. Gives the requests that waited.
    fn settle(
        &mut self,
        call: CallId,
        state: impl FnOnce(&mut Memory, &Id, Uuid) -> State,
    ) -> Vec<(CallId, Uuid)> {
        let Some(running) = self.running.remove(&call) else {
            return Vec::new();
        };
        let slot = &mut self.slots[usize::from(running.slot)];
        if slot.term != running.term {
            return Vec::new();
        }
        let state = state(&mut slot.memory, &running.id, running.request);
        slot.memory.settle(&running.id, state)
    }
}

/// `Verdict` is the decision about a request.
enum Verdict {
    Reply(Reply),
    /// It waits for the outcome of the first request.
    Joined,
    Run,
}

/// Decides about a request whose key is remembered. No lease is needed: a later
/// owner can't run the key.
fn known_key(
    memory: &mut Memory,
    now: Instant,
    holder: &Holder,
    call: CallId,
    req: &Request,
    id: &Id,
) -> Verdict {
    let Some(entry) = memory.get_mut(id) else {
        return Verdict::Reply(Reply::Unknown(lost()));
    };
    if entry.digest != req.digest {
        return Verdict::Reply(match entry.state {
            State::Claiming => Reply::Unknown(Error::KeyReused),
            State::Open | State::Answered(_) | State::Unknown | State::Refused { .. } => {
                Reply::NotRun(Error::KeyReused)
            }
        });
    }
    match &entry.state {
        State::Claiming | State::Open if entry.joined.len() < JOINED_LIMIT => {
            entry.joined.push((call, req.id));
            Verdict::Joined
        }
        State::Claiming | State::Open | State::Unknown => Verdict::Reply(Reply::Unknown(lost())),
        State::Answered(answer) => Verdict::Reply(Reply::Answered {
            answer: answer.clone(),
            replayed: true,
        }),
        State::Refused { up_to } if req.id <= *up_to => {
            let error = Error::backend_refused("this request was refused before");
            Verdict::Reply(Reply::NotRun(error))
        }
        State::Refused { .. } if holder.holds(now).is_none() => {
            Verdict::Reply(Reply::Unknown(lapsed()))
        }
        State::Refused { .. } => {
            entry.state = State::Open;
            Verdict::Run
        }
    }
}

/// Decides about a request whose key is not remembered.
fn new_key(
    memory: &mut Memory,
    now: Instant,
    holder: &Holder,
    wall: WallTime,
    req: &Request,
    options: &Options,
) -> Verdict {
    if holder.holds(now).is_none() {
        return Verdict::Reply(Reply::Unknown(lapsed()));
    }
    let made = req.key.time();
    let sent = time_of(req.id).unwrap_or_default();
    // A key without time is guarded by its claim instead.
    if made.is_some_and(|made| made.min(sent) < memory.floor()) {
        let error = Error::outcome_unknown("the key is older than what its owner remembers");
        return Verdict::Reply(Reply::Unknown(error));
    }
    let refusal = if made.is_some_and(|made| made > wall + options.future) {
        Some(Error::idempotency_key("the key's time lies in the future"))
    } else if memory.len() >= options.keys
        || memory.len_of(&req.organisation) >= options.organisation_keys
    {
        Some(Error::QueueFull(Duration::from_secs(1)))
    } else if memory.is_refused(&req.organisation, req.id) {
        Some(Error::claim_unavailable("a request as old was refused"))
    } else {
        None
    };
    let Some(error) = refusal else {
        return Verdict::Run;
    };
    if made.is_none() {
        // Only the platform knows whether an earlier owner ran such a key.
        return Verdict::Reply(Reply::Unknown(error));
    }
    memory.refuse(&req.organisation, req.id);
    Verdict::Reply(Reply::NotRun(error))
}

fn reply_all(call: CallId, joined: Vec<(CallId, Uuid)>, reply: &Reply, actions: &mut Vec<Action>) {
    actions.push(Action::Reply(call, reply.clone()));
    for (other, _) in joined {
        actions.push(Action::Reply(other, reply.clone()));
    }
}

fn lost() -> Error {
    Error::outcome_unknown("a request with this key was sent")
}

fn lapsed() -> Error {
    Error::claim_unavailable("the lease of the key's slot has lapsed")
}
