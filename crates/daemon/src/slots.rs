//! The slots of idempotency keys that this instance owns: it carries out what the
//! decisions of the claims crate ask for.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
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
use hemlockwind_claims::memory::Id;
use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::attempt::Attempt;
use hemlockwind_core::collections::HashMap;
use hemlockwind_core::edges::Call;
use hemlockwind_core::edges::Object;
use hemlockwind_core::edges::ObjectVersion;
use hemlockwind_core::edges::Precondition;
use hemlockwind_core::edges::Put;
use hemlockwind_core::time::Instant;
use hemlockwind_lease as lease;
use hemlockwind_lease::Nonce;
use hemlockwind_lease::Outcome;
use hemlockwind_membership::Duty;
use hemlockwind_protocol::lease::Claim;
use hemlockwind_protocol::lease::Lease;
use hemlockwind_protocol::peer::claims::Dispatch;

use crate::instance::Instance;

/// Slots of each data centre. All instances must agree on it.
pub const COUNT: u16 = 32;
/// Instances that read each slot's lease, to take it when its owner is gone.
pub const CANDIDATES: usize = 2;
/// How long after its start an instance takes only slots that it has the first place
/// for, so that the slots spread over the instances of a new site.
const SPREAD_TIME: Duration = Duration::from_millis(3_000);
/// How long a slot's lease lasts without a renewal.
const LEASE: Duration = Duration::from_secs(20);
/// The time between tries to reach the platform.
const RETRY: Duration = Duration::from_millis(1_000);
/// How far the wall clock of an instance may be from the true time.
const SKEW: Duration = Duration::from_millis(250);
/// How far in the future a key's time may lie.
const FUTURE: Duration = Duration::from_millis(1_000);
/// How long an outcome is kept.
const WINDOW: Duration = Duration::from_secs(600);
/// Keys of one slot at most.
const KEYS: usize = 16_384;
/// Keys of one slot at most for one organisation.
const ORGANISATION_KEYS: usize = KEYS / 4;
/// Bytes of the answers of one slot that are kept at most.
const ANSWER_BYTES: usize = 4 << 20;
/// The time between ticks.
const TICK: Duration = Duration::from_millis(100);
/// The time that a call to the platform may take.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The time that a planned stop waits for the platform to take the slots back.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// `Owned` holds this instance's slots and the requests that wait for a decision.
pub struct Owned {
    inner: Mutex<Inner>,
}

struct Inner {
    slots: Slots,
    calls: HashMap<CallId, Pending>,
    next: u64,
}

/// `Pending` is a request that has no reply yet.
struct Pending {
    reply: oneshot::Sender<Reply>,
    dispatch: Arc<Dispatch>,
    deadline: Instant,
}

impl Owned {
    /// No slots yet, for the process that just started.
    pub fn new(name: &str) -> Self {
        let slots = Slots::new(Options {
            count: COUNT,
            lease: lease::Options {
                name: name.into(),
                process: Uuid::new_v4().as_u128(),
                duration: LEASE,
                retry: RETRY,
                inherits: false,
            },
            skew: SKEW,
            future: FUTURE,
            window: WINDOW,
            keys: KEYS,
            organisation_keys: ORGANISATION_KEYS,
            answer_bytes: ANSWER_BYTES,
        });
        let inner = Inner {
            slots,
            calls: HashMap::default(),
            next: 0,
        };
        Self {
            inner: Mutex::new(inner),
        }
    }

    /// The number of slots that are owned under a lease in force.
    pub fn count(&self, now: Instant) -> usize {
        self.inner.lock().slots.owned(now)
    }
}

/// Keeps the leases of the slots that this instance should own.
pub async fn run(instance: Arc<Instance>) {
    let all_at = instance.edges.clock.now() + SPREAD_TIME;
    loop {
        let is_start = instance.edges.clock.now() < all_at;
        let candidates = if is_start { 1 } else { CANDIDATES };
        for slot in 0..COUNT {
            let duty = Duty::Slot(u32::from(slot));
            let may_take = instance
                .duties
                .holds(duty, instance.data_centre, candidates);
            let event = lease::Event::Candidate(may_take);
            on_event(&instance, Event::Lease(slot, event));
        }
        on_event(&instance, Event::Tick);
        sleep(TICK).await;
    }
}

/// Gives the slots up, for a planned stop.
pub async fn release(instance: &Arc<Instance>) {
    on_event(instance, Event::Stop);
    let released = async {
        while !instance.owned.inner.lock().slots.is_released() {
            sleep(TICK / 10).await;
        }
    };
    if timeout(RELEASE_TIMEOUT, released).await.is_err() {
        warn!(
            instance.log,
            "slots were not given up; the next owner waits for their leases"
        );
    }
}

/// Decides about a request for a slot of this data centre, and runs it if it may.
///
/// # Errors
///
/// `Error::IdempotencyKey` when the key can't be read.
pub async fn dispatch(instance: &Arc<Instance>, dispatch: Dispatch) -> Result<Reply> {
    let key = Key::parse(&dispatch.key)?;
    if !is_home(instance, &dispatch.organisation) {
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
        let mut inner = instance.owned.inner.lock();
        inner.next += 1;
        let call = CallId(inner.next);
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
        // The key's run goes on and its outcome is kept for a repeat.
        Ok(Err(_)) | Err(_) => {
            Reply::Unknown(Error::outcome_unknown("no answer before the deadline"))
        }
    })
}

/// Whether the keys of an organisation belong to this data centre's slots.
fn is_home(instance: &Instance, organisation: &str) -> bool {
    let key = instance.directory.read().organisations.key(organisation);
    let config = instance.config.load();
    let organisation = key.and_then(|key| config.organisations.get(&key));
    organisation.is_some_and(|organisation| organisation.home == instance.data_centre)
}

/// Hands an event to the decisions and begins what they ask for.
fn on_event(instance: &Arc<Instance>, event: Event) {
    let mut inner = instance.owned.inner.lock();
    // The wall clock first: see `Slots::on_event`.
    let wall = instance.edges.clock.wall();
    let now = instance.edges.clock.now();
    let actions = inner.slots.on_event(now, wall, event);
    for action in actions {
        begin(instance, &mut inner, action);
    }
}

fn begin(instance: &Arc<Instance>, inner: &mut Inner, action: Action) {
    let cx = Arc::clone(instance);
    match action {
        Action::Lease(slot, action) => {
            tokio::spawn(async move {
                let event = call_lease(&cx, slot, action).await;
                on_event(&cx, Event::Lease(slot, event));
            });
        }
        Action::Claim(claim, id, nonce) => {
            tokio::spawn(async move {
                let claimed = create_claim(&cx, &id, nonce).await;
                on_event(&cx, Event::Claim(claim, claimed));
            });
        }
        Action::ReadClaim(claim, id) => {
            tokio::spawn(async move {
                let claimed = read_claim(&cx, &id).await;
                on_event(&cx, Event::Claim(claim, claimed));
            });
        }
        Action::Send(call) => {
            let Some(pending) = inner.calls.get(&call) else {
                return;
            };
            let (dispatch, deadline) = (Arc::clone(&pending.dispatch), pending.deadline);
            instance.requests.spawn(async move {
                let event = send(&cx, call, &dispatch, deadline).await;
                on_event(&cx, event);
            });
        }
        Action::Reply(call, reply) => {
            if let Some(pending) = inner.calls.remove(&call) {
                // When the caller is gone, nobody needs the reply.
                let _ = pending.reply.send(reply);
            }
        }
    }
}

/// Sends a request to the service, once.
async fn send(instance: &Instance, call: CallId, dispatch: &Dispatch, deadline: Instant) -> Event {
    let to = {
        let config = instance.config.load();
        let service = config.service_names.get(dispatch.service.as_str());
        service.and_then(|&service| instance.fleet.service(service).first().copied())
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

/// The name of the object of a slot's lease.
fn lease_name(instance: &Instance, slot: u16) -> String {
    format!("slots/{}/{slot}", instance.me.data_centre)
}

fn claim_name(id: &Id) -> String {
    format!("claims/{}", id.key.claim_name(&id.organisation))
}

async fn get(instance: &Instance, name: &str) -> Result<Option<Object>> {
    let got = timeout(PLATFORM_TIMEOUT, instance.edges.platform.get(name)).await;
    got.unwrap_or_else(|_| Err(Error::platform_unavailable("no answer")))
}

async fn put(instance: &Instance, name: &str, value: Vec<u8>, when: Precondition) -> Put {
    let put = instance.edges.platform.put(name, value.into(), when);
    let put = timeout(PLATFORM_TIMEOUT, put).await;
    put.unwrap_or_else(|_| Put::Unknown(Error::platform_unknown("no answer")))
}

/// Carries out a call to the platform for a slot's lease.
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
                Put::Done(version) => Outcome::Done(version),
                Put::Conflict => Outcome::Conflict,
                Put::Refused(_) => Outcome::Refused,
                Put::Unknown(_) => Outcome::Unknown,
            };
            lease::Event::Put { write, outcome }
        }
    }
}

fn read_lease(object: Option<Object>) -> Result<Option<(lease::Value, ObjectVersion)>> {
    let Some(object) = object else {
        return Ok(None);
    };
    let lease: Lease =
        serde_json::from_slice(&object.value).map_err(|e| Error::platform_answer(e.to_string()))?;
    Ok(Some((lease.try_into()?, object.version)))
}

async fn create_claim(instance: &Instance, id: &Id, nonce: Nonce) -> Claimed {
    let claim = Claim {
        nonce: nonce.into(),
    };
    let value = serde_json::to_vec(&claim).unwrap_or_default();
    match put(instance, &claim_name(id), value, Precondition::Absent).await {
        Put::Done(_) => Claimed::By(nonce),
        Put::Conflict | Put::Unknown(_) => Claimed::Unsettled,
        Put::Refused(_) => Claimed::Unavailable,
    }
}

async fn read_claim(instance: &Instance, id: &Id) -> Claimed {
    match get(instance, &claim_name(id)).await {
        Ok(None) => Claimed::Absent,
        Ok(Some(object)) => match serde_json::from_slice::<Claim>(&object.value) {
            Ok(claim) => Claimed::By(claim.nonce.into()),
            Err(_) => Claimed::Unavailable,
        },
        Err(_) => Claimed::Unavailable,
    }
}
