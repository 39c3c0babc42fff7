//! Detects which data centres can't be reached from this instance.
//!
//! A few probes a second detect a network partition soon; streams across it stall until then.
//! A data centre counts as cut off when none of its instances answers and neither does any
//! engine of a random sample. Engines are probed, too, since all instances of a data centre may
//! have been replaced at once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use slog::info;
use tokio::time::sleep;
use tokio::time::timeout;

use hemlockwind_platform::engine;

use crate::gateway::EngineFault;
use crate::gateway::Gateway;
use crate::merge;

/// Interval of the probes. Streams across a partition stall until it is detected; each
/// round costs a message of a few hundred bytes to each other data centre.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Number of engines that are probed before a data centre counts as cut off.
const PROBED_ENGINES: usize = 2;
/// Time limit of an engine's answer: well above the latency inside a region.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(200);

/// Probes the other data centres until the task is ended.
pub async fn run(gateway: Arc<Gateway>) {
    let mut previous: Vec<Arc<str>> = Vec::new();
    loop {
        sleep(PROBE_INTERVAL).await;
        gateway.peers.probe_data_centres().await;
        let mut cut_off = Vec::new();
        for data_centre in gateway.peers.silent_data_centres() {
            if !any_engine_answers(&gateway, &data_centre).await {
                cut_off.push(data_centre);
            }
        }
        if cut_off == previous {
            continue;
        }
        info!(gateway.log, "unreachable data centres changed"; "names" => cut_off.join(","),
            "before" => previous.join(","));
        let new: Vec<&Arc<str>> = cut_off.iter().filter(|d| !previous.contains(d)).collect();
        gateway.queue_owners.set_cut_off(&cut_off);
        for addr in new.into_iter().flat_map(|d| engines(&gateway, d)) {
            // Sending fails when no stream runs.
            let _ = gateway.faults.send(EngineFault::Dead(addr));
        }
        previous = cut_off;
        merge::refresh_queue_owners(&gateway);
    }
}

/// Returns the addresses of the engines in a data centre.
fn engines(gateway: &Gateway, data_centre: &str) -> Vec<SocketAddr> {
    let directory = gateway.directory.read();
    let in_data_centre = directory
        .iter()
        .filter(|s| *s.data_centre == *data_centre && s.card.is_some());
    in_data_centre.map(|s| s.addr).collect()
}

async fn any_engine_answers(gateway: &Gateway, data_centre: &str) -> bool {
    let probed = engines(gateway, data_centre)
        .into_iter()
        .choose_multiple(&mut rand::rng(), PROBED_ENGINES);
    let calls = probed.into_iter().map(|addr| async move {
        let report = timeout(ENGINE_TIMEOUT, engine::report(&gateway.http, addr)).await;
        matches!(report, Ok(Ok(_)))
    });
    let answers = futures::future::join_all(calls).await;
    answers.contains(&true)
}
