//! What instances tell each other of the store.
//!
//! In each data centre a few instances watch the store. They tell its changes to the
//! others there at once. Besides, each instance asks one of those that watch a few times a
//! second, and these ask each other: whoever the store turns away, whoever missed a
//! message or has a watch that fell silent is behind for one such interval at most. So the
//! calls to the store grow with the data centres, not with the instances.

use std::sync::Arc;
use std::time::Duration;

use slog::info;
use tokio::time::sleep;

use hemlockwind_platform::store::Change;
use hemlockwind_platform::store::Object;
use hemlockwind_protocol::peer::Reply;
use hemlockwind_protocol::peer::Request;
use hemlockwind_protocol::peer::store::Answer;
use hemlockwind_protocol::peer::store::Changed;
use hemlockwind_protocol::peer::store::Changes;
use hemlockwind_protocol::peer::store::Kind;
use hemlockwind_protocol::peer::store::Message;

use crate::follow;
use crate::gateway::Gateway;
use crate::peers::Instance;

/// Time between two questions to others: a change reaches an instance that missed the
/// message on it well within half of the platform's bound, and each question is a message
/// of some ten bytes.
const ASK_INTERVAL: Duration = Duration::from_millis(350);
/// Time between two questions before anything is known.
const FIRST_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which an instance that says the store does not serve it is not asked.
const UNSERVED_TIME: Duration = Duration::from_millis(1_500);

/// Asks others for what is newer, until the task is ended.
pub async fn ask(gateway: Arc<Gateway>) {
    loop {
        if let Some(other) = gateway.peers.informed(gateway.now()) {
            ask_one(&gateway, &other).await;
        }
        // Nobody can be served before the first routes are known.
        let interval = match gateway.known.version(Kind::Routes) {
            0 => FIRST_INTERVAL,
            _ => ASK_INTERVAL,
        };
        let jitter = 0.75 + rand::random::<f64>() / 2.0;
        sleep(interval.mul_f64(jitter)).await;
    }
}

async fn ask_one(gateway: &Arc<Gateway>, other: &Instance) {
    let message = Message::Ask(gateway.known.versions());
    let reply = gateway.peers.call(other, Request::Store(message)).await;
    // One that does not answer is passed over; the next round asks another.
    if let Ok(Reply::Store(answer)) = reply {
        heard(gateway, other, answer);
    }
}

/// Takes another instance's answer.
fn heard(gateway: &Arc<Gateway>, other: &Instance, answer: Answer) {
    let now = gateway.now();
    match answer.is_served {
        true => gateway.known.other_is_served(now),
        false => gateway.peers.set_unserved(&other.name, now + UNSERVED_TIME),
    }
    settle(gateway, answer.settling_ms);
    for newer in answer.newer {
        let objects = newer.objects.into_iter();
        let objects = objects.filter_map(|(name, content)| Object::new(name, content));
        let objects: Vec<Object> = objects.collect();
        info!(gateway.log, "heard from another instance"; "kind" => ?newer.kind,
            "other" => &*other.name, "version" => newer.version,
            "before" => gateway.known.version(newer.kind), "is_served" => answer.is_served);
        let is_news = newer.version > gateway.known.version(newer.kind);
        follow::take_all(gateway, newer.kind, newer.version, &objects);
        // Those that ask this instance rely on it: what bounds a change's time goes on at once.
        if is_news && newer.kind == Kind::Routes && gateway.peers.watches(now, newer.kind) {
            let changes = objects.into_iter().map(|object| Change {
                object,
                is_removed: false,
            });
            let changes: Vec<Change> = changes.collect();
            tell(gateway, newer.kind, 0, newer.version, &changes);
        }
    }
}

/// Tells the other instances of this data centre what has changed after a version of the
/// store, up to another.
pub fn tell(gateway: &Arc<Gateway>, kind: Kind, after: u64, version: u64, changes: &[Change]) {
    let settling = gateway.directory.read().settling(gateway.now());
    let objects = changes.iter().map(|change| Changed {
        name: change.object.name.clone(),
        content: (!change.is_removed).then(|| change.object.content.get().to_string()),
    });
    let changes = Changes {
        kind,
        after,
        version,
        settling_ms: u32::try_from(settling.as_millis()).unwrap_or(u32::MAX),
        objects: objects.collect(),
    };
    let gateway = Arc::clone(gateway);
    tokio::spawn(async move {
        let near = gateway.peers.near();
        let calls = near.iter().map(|other| {
            let message = Message::Tell(changes.clone());
            gateway.peers.call(other, Request::Store(message))
        });
        // Who is not reached asks.
        futures::future::join_all(calls).await;
    });
}

/// Answers another instance.
pub fn answer(gateway: &Arc<Gateway>, from: &str, message: Message) -> Answer {
    match message {
        Message::Ask(versions) => {
            let settling = gateway.directory.read().settling(gateway.now());
            gateway.known.answer(&versions, settling)
        }
        Message::Tell(changes) => {
            told(gateway, from, changes);
            Answer::default()
        }
    }
}

/// Takes what another instance tells.
fn told(gateway: &Arc<Gateway>, from: &str, changes: Changes) {
    let known = gateway.known.version(changes.kind);
    if changes.version <= known {
        return;
    }
    // Only the one that watches the store sends this.
    gateway.known.other_is_served(gateway.now());
    settle(gateway, changes.settling_ms);
    if known < changes.after {
        // Something before was missed.
        if let Some(other) = gateway.peers.get(from) {
            let gateway = Arc::clone(gateway);
            tokio::spawn(async move { ask_one(&gateway, &other).await });
        }
        return;
    }
    let objects = changes.objects.into_iter().filter_map(change);
    let objects: Vec<Change> = objects.collect();
    follow::take_changes(gateway, changes.kind, changes.version, &objects);
}

/// The change of one object; `None` when its content is no JSON.
fn change(changed: Changed) -> Option<Change> {
    let is_removed = changed.content.is_none();
    let content = changed.content.unwrap_or_else(|| "null".into());
    Some(Change {
        object: Object::new(changed.name, content)?,
        is_removed,
    })
}

fn settle(gateway: &Gateway, ms: u32) {
    if ms > 0 {
        let until = gateway.now() + Duration::from_millis(ms.into());
        gateway.directory.write().settle(until);
    }
}
