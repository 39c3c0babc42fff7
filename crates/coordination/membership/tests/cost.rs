//! What membership costs each instance and how fast it is, in virtual time: run
//! with `--nocapture`.
//!
//! `COST_FLEET=1` measures the target's sizes; use `--release` with it.

mod world;

use std::sync::Arc;
use std::time::Duration;

use hemlockwind_membership::Duty;
use hemlockwind_membership::Event;

use world::World;

/// The budget for control of one instance, in bytes/s.
const BUDGET_BYTES_PER_S: f64 = 2_048.0;
/// The time over which the calm cost is taken, in seconds.
const CALM_S: u64 = 20;
/// Instances that a rack takes with it when it goes.
const RACK: usize = 20;

/// Milliseconds until `done` holds, looked at every 10 ms.
fn wait_for(world: &mut World, done: impl Fn(&World) -> bool) -> u64 {
    for ms in (0..20_000).step_by(10) {
        if done(world) {
            return ms;
        }
        world.run_for(10);
    }
    panic!("not within 20 s");
}

/// Whether all live instances of a data centre agree that only the live hold duties.
fn agreed(world: &World) -> bool {
    let mut live = vec![0; world.cuts.len()];
    let up = world.nodes.iter().filter(|node| node.up);
    up.for_each(|node| live[node.dc] += 1);
    let mut up = world.nodes.iter().filter(|node| node.up);
    up.all(|node| {
        let holders = node.members.holders(Duty::List, usize::MAX);
        holders.len() == live[node.dc] && holders.iter().all(|name| is_up(world, name))
    })
}

fn is_up(world: &World, name: &str) -> bool {
    let index = name
        .rsplit('-')
        .next()
        .and_then(|i| i.parse::<usize>().ok());
    index.is_some_and(|i| world.nodes[i].up)
}

fn rates(world: &mut World, seconds: f64) -> (f64, f64, f64) {
    let n = world.nodes.iter().filter(|node| node.up).count() as f64;
    let bytes: usize = world.nodes.iter().map(|node| node.bytes_out).sum();
    let messages: usize = world.nodes.iter().map(|node| node.messages_out).sum();
    let most = world.nodes.iter().map(|node| node.bytes_out).max();
    for node in &mut world.nodes {
        node.bytes_out = 0;
        node.messages_out = 0;
    }
    let rate = |sum: usize| sum as f64 / seconds;
    (rate(bytes) / n, rate(most.unwrap_or(0)), rate(messages) / n)
}

fn measure(sizes: &[usize], fallen: usize) {
    let mut world = World::new(7, sizes);
    world.run_for(10_000);
    assert!(agreed(&world));
    rates(&mut world, 1.0);
    world.run_for(CALM_S * 1_000);
    let (mean, most, messages) = rates(&mut world, CALM_S as f64);

    world.stop(1);
    let one_dead = wait_for(&mut world, agreed);
    let server: Arc<str> = "server-1".into();
    let backend_server = Arc::clone(&server);
    world.event(
        0,
        Event::Observed {
            backend_server,
            leaving: true,
        },
    );
    let leaving = wait_for(&mut world, |world| {
        let mut up = world.nodes.iter().filter(|node| node.up);
        up.all(|node| node.members.departures().is_leaving(&server))
    });
    world.run_for(5_000);
    rates(&mut world, 1.0);
    (2..2 + fallen).for_each(|i| world.stop(i));
    let rack = wait_for(&mut world, agreed);
    world.run_for(10_000 - rack.min(9_000));
    let (after, _, _) = rates(&mut world, 10.0);
    println!(
        "{:>9} {:>9} {mean:>10.0} {most:>9.0} {messages:>10.1} {one_dead:>11} {leaving:>11} {fallen:>5} {rack:>8} {after:>14.0}",
        world.nodes.len(),
        sizes.len(),
    );
    assert!(mean < BUDGET_BYTES_PER_S);
    assert!(Duration::from_millis(one_dead) <= Duration::from_secs(2));
    assert!(Duration::from_millis(leaving) <= Duration::from_secs(3));
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
    measure(&[289], RACK);
    measure(&[289; 9], RACK);
}
