//! Measures the traffic of distribution per instance, in virtual time. Run with
//! `--nocapture` to see the results.
//!
//! `COST_FLEET=1` measures the target sizes instead; use `--release` with it.

mod simulation;

use std::time::Duration;

use bytes::Bytes;
use hemlockwind_core::config::Version;
use hemlockwind_core::time::Instant;

use simulation::Simulation;

/// The control traffic budget of one instance, in bytes/s.
const BUDGET_BYTES_PER_S: f64 = 2_048.0;
/// The time between two changes, in seconds: about 22,000 changes a day.
const CHANGE_INTERVAL_S: u64 = 4;
/// The number of changes in one measurement.
const CHANGES: u64 = 16;

/// Returns a document of `organisations` records after `changes` changes of one record
/// each.
fn body(organisations: usize, changes: u64) -> Bytes {
    let changed = |i| (1..=changes).any(|change| change as usize * 997 % organisations == i);
    let records = (0..organisations).map(|i| {
        let share = if changed(i) { i + 10 } else { i % 7 };
        format!(
            "{{\"name\":\"organisation-{i}\",\"share\":{share},\"rank\":\"urgent\",\
             \"home\":\"data-centre-{}\",\"api_keys_sha256\":[\"{:064x}\"]}}\n",
            i % 9,
            i * 2_654_435_761
        )
    });
    records.collect::<String>().into()
}

fn measure(sizes: &[usize], organisations: usize) -> f64 {
    let mut simulation = Simulation::new(11, sizes);
    let first = body(organisations, 0);
    let size = first.len();
    simulation.publish(0, Version(0), Version(0), first);
    simulation.run_for(20_000);
    for node in &mut simulation.nodes {
        node.bytes_out = 0;
        node.messages_out = 0;
    }
    simulation.platform_calls = 0;
    let mut slowest = Duration::ZERO;
    for change in 0..CHANGES {
        let base = simulation.head().expect("published").version;
        simulation.publish(0, base, base, body(organisations, change + 1));
        simulation.run_for(CHANGE_INTERVAL_S * 1_000);
        let done_at = simulation.operators.last().expect("published").done_at;
        assert!(done_at < Instant::NEVER);
        let last = simulation.nodes.iter().map(|n| n.in_force_at).max();
        slowest = slowest.max(last.expect("there are instances").since(done_at));
        let head = simulation.head().expect("published").version;
        assert!(simulation.nodes.iter().all(|n| n.replica.version() == head));
    }
    let seconds = (CHANGES * CHANGE_INTERVAL_S) as f64;
    let rate = |bytes: usize| bytes as f64 / seconds;
    let n = simulation.nodes.len() as f64;
    let bytes: usize = simulation.nodes.iter().map(|n| n.bytes_out).sum();
    let messages: usize = simulation.nodes.iter().map(|n| n.messages_out).sum();
    let most = simulation.nodes.iter().map(|n| n.bytes_out).max();
    let mean = rate(bytes) / n;
    println!(
        "{:>9} {:>9} {size:>9} {mean:>10.0} {:>9.0} {:>10.2} {:>11.1} {:>8.0}",
        simulation.nodes.len(),
        sizes.len(),
        rate(most.unwrap_or(0)),
        rate(messages) / n,
        rate(simulation.platform_calls),
        slowest.as_secs_f64() * 1_000.0,
    );
    mean
}

#[test]
fn cost_within_budget() {
    println!(
        "{:>9} {:>9} {:>9} {:>10} {:>9} {:>10} {:>11} {:>8}",
        "instances",
        "centres",
        "document",
        "mean B/s",
        "most B/s",
        "messages/s",
        "platform/s",
        "last ms"
    );
    let mut runs = vec![
        (vec![3, 3, 2], 10),
        (vec![3, 3, 2], 1_000),
        (vec![289], 500),
    ];
    if std::env::var_os("COST_FLEET").is_some() {
        runs = vec![
            (vec![3, 3, 2], 10),
            (vec![3, 3, 2], 23_000),
            (vec![289], 23_000),
            (vec![289; 9], 5_000),
        ];
    }
    for (sizes, organisations) in runs {
        assert!(measure(&sizes, organisations) < BUDGET_BYTES_PER_S);
    }
}
