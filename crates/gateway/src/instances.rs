//! Registers this instance in the store and parses the entries of the others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use slog::info;
use slog::warn;
use tokio::time::Instant;
use tokio::time::sleep;

use hemlockwind_core::Result;
use hemlockwind_core::edges::ObjectVersion;
use hemlockwind_core::edges::Precondition;
use hemlockwind_core::edges::PutOutcome;
use hemlockwind_platform::store::Object;
use hemlockwind_platform::store::Removal;
use hemlockwind_protocol::peer::store::Kind;

use crate::gateway::Gateway;
use crate::peers::Instance;

/// The kind of the instances' entries.
pub const KIND: &str = "hemlockwind-instances";
/// Pause after a failure; no caller waits for the registration.
const RETRY_PAUSE: Duration = Duration::from_millis(800);
/// Interval at which an instance checks whether the store still has its entry.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause before an entry that was lost is written again. It doubles with each loss that follows
/// soon, as two processes of one name would replace each other's entries endlessly.
const MIN_RENEWAL_PAUSE: Duration = Duration::from_millis(50);
/// The longest such pause.
const MAX_RENEWAL_PAUSE: Duration = Duration::from_secs(30);
/// An entry that was kept for this time was not replaced by a running process.
const KEPT_TIME: Duration = Duration::from_secs(10);

/// Registers this instance, with retries until it succeeds, and again whenever the store has lost its
/// entry, until the instance stops: a removal or a write of an earlier process may be executed late,
/// and a restore may undo the registration.
pub async fn register(gateway: Arc<Gateway>) {
    let mut pause = MIN_RENEWAL_PAUSE;
    while !gateway.stopping.is_cancelled() {
        let Some(version) = write_entry(&gateway).await else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        *gateway.registered.lock() = Some(version);
        let written_at = Instant::now();
        wait_until_lost(&gateway, version).await;
        if gateway.stopping.is_cancelled() {
            // It may be this process that has removed it.
            return;
        }
        pause = match written_at.elapsed() >= KEPT_TIME {
            true => MIN_RENEWAL_PAUSE,
            false => (pause * 2).min(MAX_RENEWAL_PAUSE),
        };
        gateway.counters.add("registrations_lost");
        warn!(gateway.log, "registration lost"; "registered_version" => version.0,
            "listed_version" => gateway.store_cache.version(Kind::Instances),
            "listed_addr" => listed_entry(&gateway).map(|i| i.addr.to_string()),
            "renewed_in_ms" => pause.as_millis() as u64);
        sleep(pause).await;
    }
}

/// Waits until a list that is at least as new as `version` lacks the entry of this process.
async fn wait_until_lost(gateway: &Gateway, version: ObjectVersion) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let listed = ObjectVersion(gateway.store_cache.version(Kind::Instances));
        let is_kept = listed_entry(gateway).is_some_and(|entry| is_own(gateway, &entry));
        if listed >= version && !is_kept {
            return;
        }
    }
}

/// Returns the entry under the name of this instance, as last received.
fn listed_entry(gateway: &Gateway) -> Option<Instance> {
    let name = &gateway.peers.me().name;
    let content = gateway.store_cache.content(Kind::Instances, name)?;
    parse(&Object::new(name.to_string(), content)?)
}

/// Whether an entry under the name of this instance is that of this process.
fn is_own(gateway: &Gateway, entry: &Instance) -> bool {
    entry.process == gateway.peers.me().process
}

/// Writes the entry of this process. Returns its version, or `None` after a failure.
async fn write_entry(gateway: &Gateway) -> Option<ObjectVersion> {
    let me = gateway.peers.me();
    // Without the process, an entry at the same address would be equal to the one before: writing it
    // would not change its version, on which removals depend.
    let content = json!({ "address": me.addr, "data_centre": &*me.data_centre,
        "processor_share": me.processor_share, "process": me.process.to_string() });
    let put = |when| gateway.store.put(KIND, &me.name, &content, when);
    let put = match put(Precondition::Absent).await {
        PutOutcome::Conflict => match gateway.store.get(KIND, &me.name, false).await {
            Ok(Some(found)) if parse(&found).is_some_and(|entry| is_own(gateway, &entry)) => {
                // An earlier call without an answer was executed.
                return Some(found.version);
            }
            // An earlier process of this name left its entry.
            Ok(Some(found)) => put(Precondition::Version(found.version)).await,
            Ok(None) => PutOutcome::Conflict,
            Err(e) => PutOutcome::Refused(e),
        },
        put => put,
    };
    match put {
        PutOutcome::Done(version) => {
            info!(gateway.log, "registered"; "object_version" => version.0);
            Some(version)
        }
        PutOutcome::Conflict => {
            info!(gateway.log, "not registered"; "error" => "the entry has changed meanwhile");
            None
        }
        PutOutcome::Refused(e) | PutOutcome::Unknown(e) => {
            warn!(gateway.log, "not registered"; "code" => e.code().number(), "error" => %e);
            None
        }
    }
}

/// Removes the entry of this process if the store can be reached.
pub async fn deregister(gateway: &Gateway) {
    if let Err(e) = remove_entry(gateway).await {
        warn!(gateway.log, "entry not removed"; "code" => e.code().number(), "error" => %e);
    }
}

/// Removes the entry of this process. The removal depends on the version: executed late, it must not
/// remove the entry of the next process.
async fn remove_entry(gateway: &Gateway) -> Result<()> {
    let name = &gateway.peers.me().name;
    let registered = *gateway.registered.lock();
    if let Some(version) = registered
        && gateway.store.remove(KIND, name, version).await? == Removal::Done
    {
        return Ok(());
    }
    // The version is unknown: a write got no answer, or the entry is that of another process.
    let found = gateway.store.get(KIND, name, false).await?;
    let own = found.filter(|o| parse(o).is_some_and(|entry| is_own(gateway, &entry)));
    if let Some(own) = own {
        gateway.store.remove(KIND, name, own.version).await?;
    }
    Ok(())
}

/// Returns the instance of an entry, or `None` if the entry can't be parsed.
pub fn parse(object: &Object) -> Option<Instance> {
    let content: Value = serde_json::from_str(object.content.get()).ok()?;
    let addr: SocketAddr = content.get("address")?.as_str()?.parse().ok()?;
    let data_centre = content.get("data_centre")?.as_str()?;
    let share = content.get("processor_share").and_then(Value::as_f64);
    let process = content.get("process").and_then(Value::as_str);
    Some(Instance {
        name: object.name.as_str().into(),
        data_centre: data_centre.into(),
        addr,
        // An instance of a version without this field is not preferred for any
        // assignment.
        processor_share: share.unwrap_or_default(),
        process: process.and_then(|p| p.parse().ok()).unwrap_or_default(),
    })
}
