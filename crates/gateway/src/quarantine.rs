//! Keeps requests from engines if a part of their prompts crashes engines, and exchanges what is
//! known of such parts with the other instances.
//!
//! Changes are pushed at once to the instances of the own data centre and to some of each other
//! one, which pass them on. In addition each instance pulls from another one about once a second:
//! one that has just started, missed a message or was cut off is behind by a second or two.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use slog::info;
use slog::warn;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_protocol::peer::Reply;
use hemlockwind_protocol::peer::Request;
use hemlockwind_protocol::peer::quarantine as wire;
use hemlockwind_quarantine::Admission;
use hemlockwind_quarantine::EngineRun;
use hemlockwind_quarantine::PartKey;
use hemlockwind_quarantine::Quarantine;
use hemlockwind_quarantine::Record;
use hemlockwind_quarantine::ServiceKey;

use crate::engine_ends::EngineEnd;
use crate::gateway::Gateway;
use crate::peers::Instance;
use crate::requests::Accepted;

/// Time in which changes are collected into one message.
const GATHER_TIME: Duration = Duration::from_millis(15);
/// Interval of the pulls.
const PULL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval of the pulls before the first one was answered.
const FIRST_PULL_INTERVAL: Duration = Duration::from_millis(50);
/// Number of instances of each other data centre that changes are pushed to.
const REMOTE_RECEIVERS: usize = 2;

/// `SharedQuarantine` holds the records of this instance under a lock.
#[derive(Default)]
pub struct SharedQuarantine {
    state: Mutex<Quarantine>,
    changed: Notify,
}

/// `Cause` says by what this instance found that a part is to be quarantined.
#[derive(Clone, Copy)]
enum Cause<'a> {
    /// The request lost the engine with this id.
    Crash(&'a Accepted, &'a str),
    /// Records of another instance.
    Records,
    /// The request was to be admitted.
    Request(&'a Accepted),
}

impl<'a> Cause<'a> {
    /// Returns the value in log lines.
    const fn text(self) -> &'static str {
        match self {
            Self::Crash(..) => "crash",
            Self::Records => "records",
            Self::Request(_) => "request",
        }
    }

    /// Returns the request, if there is one.
    const fn request(self) -> Option<&'a Accepted> {
        match self {
            Self::Crash(accepted, _) | Self::Request(accepted) => Some(accepted),
            Self::Records => None,
        }
    }
}

/// `PromptParts` holds the keys of a request's shared parts.
#[derive(Clone, Debug)]
pub struct PromptParts {
    service: ServiceKey,
    keys: Vec<PartKey>,
}

impl PromptParts {
    /// Returns the keys of the parts with these ids.
    pub fn new(service: &str, ids: &[Box<str>]) -> Self {
        let service = ServiceKey::new(service);
        Self {
            service,
            keys: ids.iter().map(|id| PartKey::new(service, id)).collect(),
        }
    }
}

impl SharedQuarantine {
    /// Records that the answer to a request began.
    pub fn on_begin(&self, gateway: &Gateway, parts: &PromptParts) {
        let mut state = self.state.lock();
        state.on_begin(gateway.now(), parts.service, &parts.keys);
        if state.has_changed() {
            self.changed.notify_one();
        }
    }

    /// Records that an engine crashed on which a request had not begun.
    pub fn on_crash(&self, gateway: &Gateway, accepted: &Accepted, end: &EngineEnd) {
        let parts = &accepted.parts;
        let Some((id, born_ms)) = &end.run else {
            return;
        };
        let run = EngineRun::new(id, *born_ms);
        let mut state = self.state.lock();
        state.on_crash(gateway.now(), parts.service, run, &parts.keys);
        let quarantined = state.take_quarantined();
        drop(state);
        log_quarantined(gateway, &quarantined, Cause::Crash(accepted, id));
        self.changed.notify_one();
    }

    /// Returns the number of quarantined parts.
    pub fn quarantined_parts(&self) -> usize {
        self.state.lock().quarantined_parts()
    }

    /// Adds records of another instance. Returns whether any was new.
    fn merge(&self, gateway: &Gateway, records: Vec<wire::Record>) -> bool {
        let now = gateway.now();
        let records: Vec<Record> = records.into_iter().map(|r| r.received(now)).collect();
        let mut state = self.state.lock();
        let before = state.quarantined_parts();
        let is_changed = state.merge(now, &records);
        let after = state.quarantined_parts();
        let quarantined = state.take_quarantined();
        drop(state);
        log_quarantined(gateway, &quarantined, Cause::Records);
        if before != after {
            info!(gateway.log, "quarantine received from another instance";
                "parts" => after, "before" => before);
        }
        is_changed
    }
}

/// Decides whether a request may be dispatched: a new one, or one that lost its engine.
///
/// # Errors
///
/// Returns `Error::Quarantined` if a part of its prompt is withheld.
pub fn admit(gateway: &Gateway, accepted: &Accepted) -> Result<()> {
    let now = gateway.now();
    let is_on_turn = |part: PartKey, turn: u64| gateway.peers.is_on_turn(&key_text(part), turn);
    let mut state = gateway.quarantine.state.lock();
    let admission = state.admit(now, &accepted.parts.keys, is_on_turn);
    let quarantined = state.take_quarantined();
    drop(state);
    log_quarantined(gateway, &quarantined, Cause::Request(accepted));
    to_result(gateway, accepted, admission)
}

/// Checks a request that was admitted once more, as a part may have been quarantined while it
/// waited.
///
/// # Errors
///
/// Returns `Error::Quarantined` if a part of its prompt is quarantined.
pub fn recheck(gateway: &Gateway, accepted: &Accepted) -> Result<()> {
    let state = gateway.quarantine.state.lock();
    let admission = state.recheck(gateway.now(), &accepted.parts.keys);
    drop(state);
    to_result(gateway, accepted, admission)
}

/// Returns the error for a withheld request, and logs it.
fn to_result(gateway: &Gateway, accepted: &Accepted, admission: Admission) -> Result<()> {
    let (index, retry_at) = match admission {
        Admission::Admitted => return Ok(()),
        Admission::Withheld { index, retry_at } => (index, retry_at),
    };
    let names = &accepted.client.shared_parts;
    let name = names.get(index).map(ToString::to_string);
    let retry = retry_at.since(gateway.now());
    gateway.counters.add("requests_quarantined");
    let error = Error::Quarantined(name.unwrap_or_default(), retry);
    if let Some(left_out) = gateway.lines.take(gateway.now(), "withheld") {
        let key = accepted.parts.keys.get(index).copied();
        info!(gateway.log, "request withheld"; "id" => &accepted.attempt,
            "code" => error.code().number(), "part" => key.map(key_text),
            "error" => %error, "left_out" => left_out);
    }
    Err(error)
}

/// Logs the parts that this instance has quarantined. Their names are known only if they are parts
/// of the request.
fn log_quarantined(gateway: &Gateway, parts: &[PartKey], cause: Cause) {
    for part in parts {
        let Some(left_out) = gateway.lines.take(gateway.now(), "quarantined") else {
            continue;
        };
        let accepted = cause.request();
        let name = accepted.and_then(|a| {
            let index = a.parts.keys.iter().position(|key| key == part)?;
            a.client.shared_parts.get(index)
        });
        let server = match cause {
            Cause::Crash(_, id) => Some(id),
            Cause::Records | Cause::Request(_) => None,
        };
        warn!(gateway.log, "part quarantined"; "id" => accepted.map(|a| &*a.attempt),
            "part" => key_text(*part), "name" => name.map(|n| n.to_string()),
            "service" => accepted.map(|a| &*a.service), "server" => server,
            "by" => cause.text(), "left_out" => left_out);
    }
}

/// Returns the text form of a part's key, for log lines and assignments.
fn key_text(part: PartKey) -> String {
    format!("{:016x}", part.0)
}

/// Pushes changes and pulls from other instances, until the task is ended.
pub async fn exchange(gateway: Arc<Gateway>) {
    let mut pull_at = Instant::now();
    let mut is_answered = false;
    let mut is_near = true;
    loop {
        tokio::select! {
            () = gateway.quarantine.changed.notified() => {
                sleep(GATHER_TIME).await;
                let receivers = gateway.peers.fan_out(REMOTE_RECEIVERS);
                push(&gateway, receivers);
            }
            () = sleep_until(pull_at) => {
                gateway.quarantine.state.lock().expire(gateway.now());
                if let Some(other) = gateway.peers.random_peer(is_near) {
                    is_answered |= pull(&gateway, &other).await;
                }
                is_near = !is_near;
                let interval = if is_answered { PULL_INTERVAL } else { FIRST_PULL_INTERVAL };
                let jitter = 0.75 + rand::random::<f64>() / 2.0;
                pull_at = Instant::now() + interval.mul_f64(jitter);
            }
        }
    }
}

/// Pushes the records that have changed since the last push.
fn push(gateway: &Arc<Gateway>, receivers: Vec<Instance>) {
    let now = gateway.now();
    let changed = gateway.quarantine.state.lock().take_changed();
    if changed.is_empty() {
        return;
    }
    let records: Vec<wire::Record> = changed.iter().map(|r| wire::Record::at(now, r)).collect();
    send(gateway, receivers, records);
}

fn send(gateway: &Arc<Gateway>, receivers: Vec<Instance>, records: Vec<wire::Record>) {
    let gateway = Arc::clone(gateway);
    tokio::spawn(async move {
        let calls = receivers.iter().map(|other| {
            let message = wire::Message::Update(records.clone());
            gateway.peers.call(other, Request::Quarantine(message))
        });
        // An instance that is not reached pulls the records later.
        futures::future::join_all(calls).await;
    });
}

/// Pulls the records of another instance. Returns whether it answered.
async fn pull(gateway: &Arc<Gateway>, other: &Instance) -> bool {
    let digest = gateway.quarantine.state.lock().digest();
    let req = Request::Quarantine(wire::Message::Query(digest));
    match gateway.peers.call(other, req).await {
        Ok(Reply::Quarantine(wire::Answer::Records(records))) => {
            gateway.quarantine.merge(gateway, records);
            true
        }
        // An instance of an older version has no records.
        Ok(_) => true,
        Err(_) => false,
    }
}

/// Answers a message of another instance.
pub fn answer(gateway: &Arc<Gateway>, from: &str, message: wire::Message) -> wire::Answer {
    match message {
        wire::Message::Query(digest) => {
            let state = gateway.quarantine.state.lock();
            if state.digest() == digest {
                return wire::Answer::Done;
            }
            let now = gateway.now();
            let records = state.records();
            wire::Answer::Records(records.iter().map(|r| wire::Record::at(now, r)).collect())
        }
        wire::Message::Update(records) => {
            let sender = gateway.peers.get(from);
            let is_remote = sender.is_some_and(|i| i.data_centre != gateway.peers.me().data_centre);
            if gateway.quarantine.merge(gateway, records.clone()) && is_remote {
                send(gateway, gateway.peers.same_data_centre(), records);
            }
            // A part that the received records confirm here is new to the others.
            gateway.quarantine.changed.notify_one();
            wire::Answer::Done
        }
    }
}
