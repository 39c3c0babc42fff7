//! Registers this instance in the store and parses the entries of the others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use slog::warn;
use tokio::time::sleep;

use hemlockwind_core::edges::Precondition;
use hemlockwind_core::edges::PutOutcome;
use hemlockwind_platform::store::Object;

use crate::gateway::Gateway;
use crate::peers::Instance;

/// The kind of the instances' entries.
pub const KIND: &str = "hemlockwind-instances";
/// Pause after a failure; no caller waits for the registration.
const RETRY_PAUSE: Duration = Duration::from_millis(800);

/// Registers this instance, with retries until it succeeds.
pub async fn register(gateway: Arc<Gateway>) {
    while !try_register(&gateway).await {
        sleep(RETRY_PAUSE).await;
    }
}

/// Writes this instance's entry. Returns whether the store has it.
async fn try_register(gateway: &Gateway) -> bool {
    let me = gateway.peers.me();
    let content = json!({ "address": me.addr, "data_centre": &*me.data_centre,
        "processor_share": me.processor_share });
    let first = gateway
        .store
        .put(KIND, &me.name, &content, Precondition::Absent);
    let put = match first.await {
        // An earlier process of this name left its entry.
        PutOutcome::Conflict => {
            gateway
                .store
                .put(KIND, &me.name, &content, Precondition::None)
                .await
        }
        put => put,
    };
    match put {
        PutOutcome::Done(_) => true,
        PutOutcome::Conflict => false,
        PutOutcome::Refused(e) | PutOutcome::Unknown(e) => {
            warn!(gateway.log, "not registered"; "code" => e.code().number(), "error" => %e);
            false
        }
    }
}

/// Removes this instance's entry if the store can be reached.
pub async fn deregister(gateway: &Gateway) {
    if let Err(e) = gateway.store.remove(KIND, &gateway.peers.me().name).await {
        warn!(gateway.log, "entry not removed"; "code" => e.code().number(), "error" => %e);
    }
}

/// Returns the instance of an entry, or `None` if the entry can't be parsed.
pub fn parse(object: &Object) -> Option<Instance> {
    let content: Value = serde_json::from_str(object.content.get()).ok()?;
    let addr: SocketAddr = content.get("address")?.as_str()?.parse().ok()?;
    let data_centre = content.get("data_centre")?.as_str()?;
    let share = content.get("processor_share").and_then(Value::as_f64);
    Some(Instance {
        name: object.name.as_str().into(),
        data_centre: data_centre.into(),
        addr,
        // An instance of a version without this field is not preferred for any
        // assignment.
        processor_share: share.unwrap_or_default(),
    })
}
