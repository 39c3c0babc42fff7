//! Measures the traffic of membership per instance and its latency, in virtual time. Run
//! with `--nocapture` to see the results.
//!
//! `COST_FLEET=1` measures the target sizes; use `--release` with it.

mod simulation;

use std::sync::Arc;
use std::time::Duration;

use hemlockwind_membership::Assignment;
use hemlockwind_membership::Event;

use simulation::Simulation;

/// The control traffic budget of one instance, in bytes/s.
const BUDGET_BYTES_PER_S: f64 = 2_048.0;
/// How long the steady-state traffic is measured, in seconds.
const STEADY_S: u64 = 20;
/// The number of instances in a rack, which fail together.
const RACK_SIZE: usize = 20;

/// Returns the milliseconds until `done` holds, checked every 10 ms.
fn wait_for(simulation: &mut Simulation, done: impl Fn(&Simulation) -> bool) -> u64 {
    for ms in (0..20_000).step_by(10) {
        if done(simulation) {
            return ms;
        }
        simulation.run_for(10);
    }
    panic!("the condition did not hold within 20 s");
}

/// Whether every live instance records exactly the live instances of its data centre as
/// holders of assignments.
fn agreed(simulation: &Simulation) -> bool {
    let mut live = vec![0; simulation.cuts.len()];
    let up = simulation.nodes.iter().filter(|node| node.up);
    up.for_each(|node| live[node.dc] += 1);
    let mut up = simulation.nodes.iter().filter(|node| node.up);
    up.all(|node| {
        let holders = node.members.holders(Assignment::List, usize::MAX);
        holders.len() == live[node.dc] && holders.iter().all(|name| is_up(simulation, name))
    })
}

fn is_up(simulation: &Simulation, name: &str) -> bool {
    let index = name
        .rsplit('-')
        .next()
        .and_then(|i| i.parse::<usize>().ok());
    index.is_some_and(|i| simulation.nodes[i].up)
}

/// Returns the mean and the maximum of the bytes/s of an instance and the mean of its
/// messages/s over the past `seconds`, and resets the counters.
fn rates(simulation: &mut Simulation, seconds: f64) -> (f64, f64, f64) {
    let n = simulation.nodes.iter().filter(|node| node.up).count() as f64;
    let bytes: usize = simulation.nodes.iter().map(|node| node.bytes_out).sum();
    let messages: usize = simulation.nodes.iter().map(|node| node.messages_out).sum();
    let most = simulation.nodes.iter().map(|node| node.bytes_out).max();
    for node in &mut simulation.nodes {
        node.bytes_out = 0;
        node.messages_out = 0;
    }
    let rate = |sum: usize| sum as f64 / seconds;
    (rate(bytes) / n, rate(most.unwrap_or(0)), rate(messages) / n)
}

fn measure(sizes: &[usize], dead: usize) {
    let mut simulation = Simulation::new(7, sizes);
    simulation.run_for(10_000);
    assert!(agreed(&simulation));
    rates(&mut simulation, 1.0);
    simulation.run_for(STEADY_S * 1_000);
    let (mean, most, messages) = rates(&mut simulation, STEADY_S as f64);

    simulation.stop(1);
    let one_dead_ms = wait_for(&mut simulation, agreed);
    let server: Arc<str> = "server-1".into();
    let backend_server = Arc::clone(&server);
    simulation.event(
        0,
        Event::Observed {
            backend_server,
            leaving: true,
        },
    );
    let leaving_ms = wait_for(&mut simulation, |simulation| {
        let mut up = simulation.nodes.iter().filter(|node| node.up);
        up.all(|node| node.members.departures().is_leaving(&server))
    });
    simulation.run_for(5_000);
    rates(&mut simulation, 1.0);
    (2..2 + dead).for_each(|i| simulation.stop(i));
    let rack_ms = wait_for(&mut simulation, agreed);
    simulation.run_for(10_000 - rack_ms.min(9_000));
    let (after, _, _) = rates(&mut simulation, 10.0);
    println!(
        "{:>9} {:>9} {mean:>10.0} {most:>9.0} {messages:>10.1} {one_dead_ms:>11} {leaving_ms:>11} {dead:>5} {rack_ms:>8} {after:>14.0}",
        simulation.nodes.len(),
        sizes.len(),
    );
    assert!(mean < BUDGET_BYTES_PER_S);
    assert!(Duration::from_millis(one_dead_ms) <= Duration::from_secs(2));
    assert!(Duration::from_millis(leaving_ms) <= Duration::from_secs(3));
}

#[test]
fn cost_within_budget() {
    println!(
        "instances   centres   mean B/s  most B/s messages/s one dead ms leaving ms  rack  rack ms  B/s after rack"
    );
    if std::env::var_os("COST_FLEET").is_none() {
        measure(&[4, 3, 2], 1);
        measure(&[40], 3);
        return;
    }
    measure(&[4, 3, 2], 1);
    measure(&[289], RACK_SIZE);
    measure(&[289; 9], RACK_SIZE);
}
