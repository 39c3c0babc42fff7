//! Registers this instance in the store, and hears of the others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use slog::info;
use slog::warn;
use tokio::time::sleep;

use hemlockwind_core::edges::Precondition;
use hemlockwind_core::edges::Put;
use hemlockwind_platform::store::Object;
use hemlockwind_platform::store::Watched;

use crate::gateway::Gateway;
use crate::peers::Instance;

/// The kind of the instances' entries.
const KIND: &str = "hemlockwind-instances";
/// Time that a watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Pause after a failure; nothing that a caller waits for depends on it.
const PAUSE: Duration = Duration::from_millis(800);

/// Registers this instance and follows the others, until the task is ended.
pub async fn run(gateway: Arc<Gateway>) {
    while !register(&gateway).await {
        sleep(PAUSE).await;
    }
    let mut version = None;
    loop {
        match step(&gateway, version).await {
            Ok(next) => version = next,
            Err(_) => sleep(PAUSE).await,
        }
    }
}

/// Writes this instance's entry. Returns whether the store has it.
async fn register(gateway: &Gateway) -> bool {
    let me = gateway.peers.me();
    let content = json!({ "address": me.addr, "data_centre": &*me.data_centre });
    let first = gateway
        .store
        .put(KIND, &me.name, &content, Precondition::Absent);
    let put = match first.await {
        // An earlier process of this name left its entry.
        Put::Conflict => {
            gateway
                .store
                .put(KIND, &me.name, &content, Precondition::None)
                .await
        }
        put => put,
    };
    match put {
        Put::Done(_) => true,
        Put::Conflict => false,
        Put::Refused(e) | Put::Unknown(e) => {
            warn!(gateway.log, "not registered"; "code" => e.code().number(), "error" => %e);
            false
        }
    }
}

/// Removes this instance's entry, as far as the store can be reached.
pub async fn leave(gateway: &Gateway) {
    if let Err(e) = gateway.store.remove(KIND, &gateway.peers.me().name).await {
        warn!(gateway.log, "entry not removed"; "code" => e.code().number(), "error" => %e);
    }
}

async fn step(gateway: &Gateway, version: Option<u64>) -> hemlockwind_core::Result<Option<u64>> {
    let Some(version) = version else {
        let listing = gateway.store.list(KIND, false).await?;
        for object in &listing.objects {
            take(gateway, object, false);
        }
        gateway.peers.set_known();
        return Ok(Some(listing.version));
    };
    match gateway.store.watch(KIND, version, WATCH_WAIT).await? {
        Watched::Lost => Ok(None),
        Watched::Changes(changes, next) => {
            for change in &changes {
                take(gateway, &change.object, change.is_removed);
            }
            Ok(Some(next))
        }
    }
}

fn take(gateway: &Gateway, object: &Object, is_removed: bool) {
    info!(gateway.log, "instance"; "name" => &object.name, "removed" => is_removed,
        "object_version" => object.version.0);
    if is_removed {
        gateway.peers.remove(&object.name);
    } else if let Some(instance) = parse(object) {
        gateway.peers.put(instance);
    }
}

/// The instance of an entry; one that can't be read names none.
fn parse(object: &Object) -> Option<Instance> {
    let content: serde_json::Value = serde_json::from_str(object.content.get()).ok()?;
    let addr: SocketAddr = content.get("address")?.as_str()?.parse().ok()?;
    let data_centre = content.get("data_centre")?.as_str()?;
    Some(Instance {
        name: object.name.as_str().into(),
        data_centre: data_centre.into(),
        addr,
    })
}
