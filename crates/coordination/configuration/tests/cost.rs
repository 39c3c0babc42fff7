//! What the spread costs each instance, in virtual time: run with `--nocapture`.
//!
//! `COST_FLEET=1` measures the target's sizes instead; use `--release` with it.

mod world;

use std::time::Duration;

use bytes::Bytes;
use hemlockwind_core::config::Version;
use hemlockwind_core::time::Instant;

use world::World;

/// The budget for control of one instance, in bytes/s.
const BUDGET_BYTES_PER_S: f64 = 2_048.0;
/// One change in so many seconds: 22,000 a day.
const CHANGE_PERIOD_S: u64 = 4;
/// The changes of one measurement.
const CHANGES: u64 = 16;

/// A document of `organisations` records after `changes` changes of one record.
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
    let mut world = World::new(11, sizes);
    let first = body(organisations, 0);
    let size = first.len();
    world.publish(0, Version(0), Version(0), first);
    world.run_for(20_000);
    for node in &mut world.nodes {
        node.bytes_out = 0;
        node.messages_out = 0;
    }
    world.platform_calls = 0;
    let mut slowest = Duration::ZERO;
    for change in 0..CHANGES {
        let base = world.head().expect("published").version;
        world.publish(0, base, base, body(organisations, change + 1));
        world.run_for(CHANGE_PERIOD_S * 1_000);
        let done_at = world.operators.last().expect("published").done_at;
        assert!(done_at < Instant::NEVER);
        let last = world.nodes.iter().map(|n| n.in_force_at).max();
        slowest = slowest.max(last.expect("some").since(done_at));
        let head = world.head().expect("published").version;
        assert!(world.nodes.iter().all(|n| n.replica.version() == head));
    }
    let seconds = (CHANGES * CHANGE_PERIOD_S) as f64;
    let rate = |bytes: usize| bytes as f64 / seconds;
    let n = world.nodes.len() as f64;
    let bytes: usize = world.nodes.iter().map(|n| n.bytes_out).sum();
    let messages: usize = world.nodes.iter().map(|n| n.messages_out).sum();
    let most = world.nodes.iter().map(|n| n.bytes_out).max();
    let mean = rate(bytes) / n;
    println!(
        "{:>9} {:>9} {size:>9} {mean:>10.0} {:>9.0} {:>10.2} {:>11.1} {:>8.0}",
        world.nodes.len(),
        sizes.len(),
        rate(most.unwrap_or(0)),
        rate(messages) / n,
        rate(world.platform_calls),
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
