//! Which data centres can't be reached from this instance.
//!
//! A few probes a second notice a cut before streams stall over it. A data centre counts
//! as cut off when none of its instances answers, and none of some of its engines either:
//! all its instances may have been replaced at once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use slog::info;
use tokio::time::sleep;
use tokio::time::timeout;

use hemlockwind_platform::engine;

use crate::follow;
use crate::gateway::Fault;
use crate::gateway::Gateway;

/// Time between two rounds of probes. Streams over a cut stall; each round costs a message
/// of some hundred bytes to each other data centre.
const ROUND: Duration = Duration::from_millis(400);
/// Engines that are asked before a data centre counts as cut off.
const ENGINES_ASKED: usize = 2;
/// Time in which an engine must answer: well beyond the delay inside a region.
const ENGINE_TIME: Duration = Duration::from_millis(200);

/// Probes the other data centres until the task is ended.
pub async fn run(gateway: Arc<Gateway>) {
    let mut known: Vec<Arc<str>> = Vec::new();
    loop {
        sleep(ROUND).await;
        gateway.peers.sample().await;
        let mut cut_off = Vec::new();
        for data_centre in gateway.peers.silent_data_centres() {
            if !any_engine_answers(&gateway, &data_centre).await {
                cut_off.push(data_centre);
            }
        }
        if cut_off == known {
            continue;
        }
        info!(gateway.log, "data centres cut off"; "names" => cut_off.join(","),
            "before" => known.join(","));
        let new: Vec<&Arc<str>> = cut_off.iter().filter(|d| !known.contains(d)).collect();
        gateway.homes.set_cut_off(&cut_off);
        for addr in new.into_iter().flat_map(|d| engines(&gateway, d)) {
            // Nobody listens when no stream runs.
            let _ = gateway.faults.send(Fault::Dead(addr));
        }
        known = cut_off;
        follow::changed(&gateway);
    }
}

/// The addresses of the engines in a data centre.
fn engines(gateway: &Gateway, data_centre: &str) -> Vec<SocketAddr> {
    let directory = gateway.directory.read();
    let there = directory
        .iter()
        .filter(|s| *s.data_centre == *data_centre && s.card.is_some());
    there.map(|s| s.addr).collect()
}

async fn any_engine_answers(gateway: &Gateway, data_centre: &str) -> bool {
    let asked = engines(gateway, data_centre)
        .into_iter()
        .choose_multiple(&mut rand::rng(), ENGINES_ASKED);
    let calls = asked.into_iter().map(|addr| async move {
        let report = timeout(ENGINE_TIME, engine::report(&gateway.http, addr)).await;
        matches!(report, Ok(Ok(_)))
    });
    let answers = futures::future::join_all(calls).await;
    answers.contains(&true)
}
