//! The slots of idempotency keys that this instance owns: performs the actions of the
//! claims crate's state machine.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use slog::info;
use slog::warn;
use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio::time::timeout;
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
use hemlockwind_claims::key::digest;
use hemlockwind_claims::key_table::ScopedKey;
use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::attempt::Attempt;
use hemlockwind_core::collections::HashMap;
use hemlockwind_core::edges::Call;
use hemlockwind_core::edges::Object;
use hemlockwind_core::edges::ObjectVersion;
use hemlockwind_core::edges::Precondition;
use hemlockwind_core::edges::PutOutcome;
use hemlockwind_core::time::Instant;
use hemlockwind_lease as lease;
use hemlockwind_lease::Nonce;
use hemlockwind_lease::Outcome;
use hemlockwind_membership::Assignment;
use hemlockwind_protocol::lease::Claim;
use hemlockwind_protocol::lease::Lease;
use hemlockwind_protocol::peer::claims::Dispatch;

use crate::instance::Instance;

/// Number of slots of each data centre. Must be the same on all instances.
pub const COUNT: u16 = 32;
/// Number of instances that are candidates for each slot. They read its lease, to take it
/// over once the owner has released it or let it expire.
pub const CANDIDATES: usize = 2;
/// Time after its start in which an instance acquires only the slots for which it is the
/// first candidate, so that the slots of a new deployment are spread over its instances.
const SPREAD_TIME: Duration = Duration::from_millis(3_000);
/// Time for which a slot's lease is valid without a renewal.
const LEASE_DURATION: Duration = Duration::from_secs(20);
/// Interval between attempts to reach the platform.
const RETRY_INTERVAL: Duration = Duration::from_millis(1_000);
/// Maximum deviation of an instance's wall clock from the true time.
const MAX_CLOCK_SKEW: Duration = Duration::from_millis(250);
/// Maximum time by which a key's timestamp may lie in the future.
const MAX_KEY_AHEAD: Duration = Duration::from_millis(1_000);
/// Time for which an outcome is kept.
const OUTCOME_RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of keys of one slot.
const MAX_KEYS: usize = 16_384;
/// Maximum number of keys of one organisation in one slot.
const MAX_ORGANISATION_KEYS: usize = MAX_KEYS / 4;
/// Maximum size of the answers kept for one slot, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Interval between ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time for which a planned stop waits until the slots are released on the platform.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// `OwnedSlots` holds this instance's slots and the requests that wait for a decision.
pub struct OwnedSlots {
    inner: Mutex<Inner>,
}

/// `Inner` is the state of [`OwnedSlots`] under its lock.
struct Inner {
    slots: Slots,
    calls: HashMap<CallId, Pending>,
    next_call: u64,
    /// The newest era of the platform that was logged.
    era: u16,
}

/// `Pending` is a request without a reply yet.
struct Pending {
    reply: oneshot::Sender<Reply>,
    dispatch: Arc<Dispatch>,
    deadline: Instant,
}

impl OwnedSlots {
    /// Creates the state of a process that has just started and owns no slots.
    pub fn new(name: &str) -> Self {
        let slots = Slots::new(Options {
            count: COUNT,
            lease: lease::Options {
                name: name.into(),
                process: Uuid::new_v4().as_u128(),
                duration: LEASE_DURATION,
                retry: RETRY_INTERVAL,
                inherits: false,
            },
            max_skew: MAX_CLOCK_SKEW,
            max_future: MAX_KEY_AHEAD,
            retention: OUTCOME_RETENTION,
            max_keys: MAX_KEYS,
            max_organisation_keys: MAX_ORGANISATION_KEYS,
            max_answer_bytes: MAX_ANSWER_BYTES,
        });
        let inner = Inner {
            slots,
            calls: HashMap::default(),
            next_call: 0,
            era: 0,
        };
        Self {
            inner: Mutex::new(inner),
        }
    }

    /// Returns the number of slots that are owned under a valid lease.
    pub fn count(&self, now: Instant) -> usize {
        self.inner.lock().slots.owned(now)
    }
}

/// Acquires and renews the leases of the slots assigned to this instance, until it ends.
pub async fn run(instance: Arc<Instance>) {
    let take_all_at = instance.edges.clock.now() + SPREAD_TIME;
    loop {
        let is_starting = instance.edges.clock.now() < take_all_at;
        let candidates = if is_starting { 1 } else { CANDIDATES };
        for slot in 0..COUNT {
            let assignment = Assignment::Slot(u32::from(slot));
            let is_candidate =
                instance
                    .assignments
                    .holds(assignment, instance.data_centre, candidates);
            let event = lease::Event::Candidate(is_candidate);
            on_event(&instance, Event::Lease(slot, event));
        }
        // Another call to the platform may have shown a new era.
        on_era(&instance);
        on_event(&instance, Event::Tick);
        sleep(TICK_INTERVAL).await;
    }
}

/// Releases the slots, for a planned stop.
pub async fn release(instance: &Arc<Instance>) {
    on_event(instance, Event::Stop);
    let released = async {
        while !instance.owned_slots.inner.lock().slots.is_released() {
            sleep(TICK_INTERVAL / 10).await;
        }
    };
    if timeout(RELEASE_TIMEOUT, released).await.is_err() {
        warn!(
            instance.log,
            "slots were not released; the next owner waits until their leases expire"
        );
    }
}

/// Handles a request with an idempotency key: runs it if the state of the key's slot permits
/// that, and returns the reply. The reply is `NotOwner` if this instance doesn't own the slot
/// or the organisation's home is another data centre.
///
/// # Errors
///
/// `Error::IdempotencyKey` when the key is malformed.
pub async fn dispatch(instance: &Arc<Instance>, dispatch: Dispatch) -> Result<Reply> {
    let key = Key::parse(&dispatch.key)?;
    if !is_home_centre(instance, &dispatch.organisation) {
        return Ok(Reply::NotOwner(None));
    }
    let req = Request {
        id: dispatch.request,
        organisation: dispatch.organisation.as_str().into(),
        key,
        digest: digest(
            &dispatch.service,
            &dispatch.method,
            &dispatch.path,
            &dispatch.body,
        ),
    };
    let time = Duration::from_millis(dispatch.deadline_ms.into());
    let deadline = instance.edges.clock.now() + time;
    let (tx, rx) = oneshot::channel();
    let call = {
        let mut inner = instance.owned_slots.inner.lock();
        inner.next_call += 1;
        let call = CallId(inner.next_call);
        let pending = Pending {
            reply: tx,
            dispatch: Arc::new(dispatch),
            deadline,
        };
        inner.calls.insert(call, pending);
        call
    };
    on_event(instance, Event::Request(call, req));
    let reply = timeout(time, rx).await;
    Ok(match reply {
        Ok(Ok(reply)) => reply,
        // The request continues. Its outcome is kept for a later request with this key.
        Ok(Err(_)) | Err(_) => {
            Reply::Unknown(Error::outcome_unknown("no answer before the deadline"))
        }
    })
}

/// Whether this data centre is the home of an organisation, so that its slots hold the
/// organisation's keys.
fn is_home_centre(instance: &Instance, organisation: &str) -> bool {
    let key = instance.directory.read().organisations.key(organisation);
    let config = instance.config.load();
    let organisation = key.and_then(|key| config.organisations.get(&key));
    organisation.is_some_and(|organisation| organisation.home == instance.data_centre)
}

/// Passes an event to the slots and performs the resulting actions.
fn on_event(instance: &Arc<Instance>, event: Event) {
    let mut inner = instance.owned_slots.inner.lock();
    // The wall clock is read first: see `Slots::on_event`.
    let wall = instance.edges.clock.wall();
    let now = instance.edges.clock.now();
    let actions = inner.slots.on_event(now, wall, event);
    for action in actions {
        perform(instance, &mut inner, action);
    }
}

/// Passes the newest era of the platform to the slots, before the answer that may have shown it.
fn on_era(instance: &Arc<Instance>) {
    let era = instance.edges.platform.era();
    let before = {
        let mut inner = instance.owned_slots.inner.lock();
        let before = inner.era;
        inner.era = before.max(era);
        before
    };
    if before < era {
        info!(instance.log, "store restored"; "era" => era, "era_before" => before,
            "read_again" => "leases of the slots");
    }
    // Also if another task has just recorded the era: its event may not have been handled yet.
    on_event(instance, Event::Era(era));
}

/// Starts one action of the slots.
fn perform(instance: &Arc<Instance>, inner: &mut Inner, action: Action) {
    let cx = Arc::clone(instance);
    match action {
        Action::Lease(slot, action) => {
            tokio::spawn(async move {
                let event = call_lease(&cx, slot, action).await;
                on_era(&cx);
                on_event(&cx, Event::Lease(slot, event));
            });
        }
        Action::Claim(claim, id, nonce) => {
            tokio::spawn(async move {
                let claimed = create_claim(&cx, &id, nonce).await;
                on_era(&cx);
                on_event(&cx, Event::Claim(claim, claimed));
            });
        }
        Action::ReadClaim(claim, id) => {
            tokio::spawn(async move {
                let claimed = read_claim(&cx, &id).await;
                on_era(&cx);
                on_event(&cx, Event::Claim(claim, claimed));
            });
        }
        Action::Send(call) => {
            let Some(pending) = inner.calls.get(&call) else {
                return;
            };
            let (dispatch, deadline) = (Arc::clone(&pending.dispatch), pending.deadline);
            instance.requests.spawn(async move {
                let event = tokio::select! {
                    event = send(&cx, call, &dispatch, deadline) => event,
                    () = cx.ending.cancelled() => {
                        warn!(cx.log, "the outcome of a request is unknown"; "request" => %dispatch.request, "error" => %stopped());
                        Event::Lost(call)
                    }
                };
                on_event(&cx, event);
            });
        }
        Action::Reply(call, reply) => {
            if let Some(pending) = inner.calls.remove(&call) {
                // Fails if the caller has disconnected; then the reply isn't needed.
                let _ = pending.reply.send(reply);
            }
        }
    }
}

/// Returns the error of a request whose outcome is unknown, since the process is about to end.
pub fn stopped() -> Error {
    Error::outcome_unknown("the instance stopped before the answer")
}

/// Sends a request to the service, without retries.
async fn send(instance: &Instance, call: CallId, dispatch: &Dispatch, deadline: Instant) -> Event {
    let to = {
        let config = instance.config.load();
        let service = config.service_names.get(dispatch.service.as_str());
        service.and_then(|&service| instance.fleet.service_servers(service).first().copied())
    };
    let Some((_, to)) = to else {
        let error = Error::no_path(format!("the service {}", dispatch.service));
        return Event::Refused(call, error);
    };
    let headers = dispatch.headers.iter();
    let headers = headers.map(|(name, value)| (name.clone(), Bytes::from(value.clone())));
    let req = Call {
        method: dispatch.method.clone(),
        path: dispatch.path.clone(),
        headers: headers.collect(),
        body: dispatch.body.clone().into(),
    };
    match instance.edges.service.call(to, req, deadline).await {
        Ok(answer) => Event::Answered(call, answer),
        Err((Attempt::Unsent | Attempt::Refused, error)) => Event::Refused(call, error),
        Err((Attempt::Sent | Attempt::Answered, error)) => {
            warn!(instance.log, "the outcome of a request is unknown"; "request" => %dispatch.request, "code" => error.code().number(), "error" => %error);
            Event::Lost(call)
        }
    }
}

/// Returns the name of the object that holds a slot's lease.
fn lease_name(instance: &Instance, slot: u16) -> String {
    format!("slots/{}/{slot}", instance.me.data_centre)
}

/// Returns the name of the object that holds a key's claim.
fn claim_name(id: &ScopedKey) -> String {
    format!("claims/{}", id.key.claim_name(&id.organisation))
}

/// Reads an object from the platform within the timeout.
async fn get(instance: &Instance, name: &str) -> Result<Option<Object>> {
    let got = timeout(PLATFORM_TIMEOUT, instance.edges.platform.get(name)).await;
    got.unwrap_or_else(|_| Err(Error::platform_unavailable("no answer")))
}

/// Writes an object to the platform within the timeout.
async fn put(instance: &Instance, name: &str, value: Vec<u8>, when: Precondition) -> PutOutcome {
    let put = instance.edges.platform.put(name, value.into(), when);
    let put = timeout(PLATFORM_TIMEOUT, put).await;
    put.unwrap_or_else(|_| PutOutcome::Unknown(Error::platform_unknown("no answer")))
}

/// Makes a call to the platform for a slot's lease.
async fn call_lease(instance: &Instance, slot: u16, action: lease::Action) -> lease::Event {
    let name = lease_name(instance, slot);
    match action {
        lease::Action::Get => match get(instance, &name).await.and_then(read_lease) {
            Ok(object) => lease::Event::Read(object),
            Err(_) => lease::Event::PlatformDown,
        },
        lease::Action::Put { write, value, when } => {
            let value = serde_json::to_vec(&Lease::from(value)).unwrap_or_default();
            let outcome = match put(instance, &name, value, when).await {
                PutOutcome::Done(version) => Outcome::Done(version),
                PutOutcome::Conflict => Outcome::Conflict,
                PutOutcome::Refused(_) => Outcome::Refused,
                PutOutcome::Unknown(_) => Outcome::Unknown,
            };
            lease::Event::Put { write, outcome }
        }
    }
}

/// Decodes the lease in an object.
fn read_lease(object: Option<Object>) -> Result<Option<(lease::Value, ObjectVersion)>> {
    let Some(object) = object else {
        return Ok(None);
    };
    let lease: Lease =
        serde_json::from_slice(&object.value).map_err(|e| Error::platform_answer(e.to_string()))?;
    Ok(Some((lease.try_into()?, object.version)))
}

/// Creates the claim object of a key if it is absent.
async fn create_claim(instance: &Instance, id: &ScopedKey, nonce: Nonce) -> Claimed {
    let claim = Claim {
        nonce: nonce.into(),
    };
    let value = serde_json::to_vec(&claim).unwrap_or_default();
    match put(instance, &claim_name(id), value, Precondition::Absent).await {
        PutOutcome::Done(_) => Claimed::By(nonce),
        PutOutcome::Conflict | PutOutcome::Unknown(_) => Claimed::Unsettled,
        PutOutcome::Refused(_) => Claimed::Unavailable,
    }
}

/// Reads the claim of a key.
async fn read_claim(instance: &Instance, id: &ScopedKey) -> Claimed {
    match get(instance, &claim_name(id)).await {
        Ok(None) => Claimed::Absent,
        Ok(Some(object)) => match serde_json::from_slice::<Claim>(&object.value) {
            Ok(claim) => Claimed::By(claim.nonce.into()),
            Err(_) => Claimed::Unavailable,
        },
        Err(_) => Claimed::Unavailable,
    }
}
