//! Runs one stream over a network and engines that lose, delay, repeat and misdirect
//! messages, and checks that it emits the model's tokens, each once and in order.

mod simulation;

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use hemlockwind_core::Error;
use hemlockwind_core::attempt::Ran;
use hemlockwind_core::engine::Refusal;

use crate::simulation::LAYOUTS;
use crate::simulation::Op;
use crate::simulation::SERVERS;
use crate::simulation::Simulation;

/// The number of cases, unless `PROPTEST_CASES` sets another.
const CASES: u32 = 800;
/// The seed of the cases.
const SEED: u64 = 0x5eed_0001;

fn config() -> ProptestConfig {
    let cases = std::env::var("PROPTEST_CASES").ok();
    let cases = cases.and_then(|cases| cases.parse().ok());
    ProptestConfig {
        cases: cases.unwrap_or(CASES),
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn refusal() -> impl Strategy<Value = Refusal> {
    prop_oneof![
        Just(Refusal::Leaving),
        Just(Refusal::Busy),
        Just(Refusal::MissingCache),
        Just(Refusal::StaleIncarnation),
        Just(Refusal::WrongLayers),
    ]
}

fn op() -> impl Strategy<Value = Op> {
    let server = 0..SERVERS;
    let pick = any::<usize>();
    prop_oneof![
        12 => (0..LAYOUTS, pick).prop_map(|(layout, pick)| Op::Path { layout, pick }),
        1 => Just(Op::BrokenPath),
        2 => server.clone().prop_map(Op::PathOver),
        1 => Just(Op::NoPath),
        40 => pick.prop_map(Op::Run),
        2 => (pick, refusal()).prop_map(|(step, why)| Op::Refuse(step, why)),
        1 => (pick, any::<bool>()).prop_map(|(step, ran)| Op::Lose { step, ran }),
        2 => (pick, any::<bool>()).prop_map(|(step, sent)| Op::Fail { step, sent }),
        40 => pick.prop_map(Op::Deliver),
        6 => pick.prop_map(Op::Replay),
        2 => Just(Op::Misdirect),
        1 => Just(Op::WrongOutput),
        3 => (0..3u32, 0..3u32, 0..2u16).prop_map(|(incarnation, token, end)| {
            Op::Forge { incarnation, token, end }
        }),
        2 => server.clone().prop_map(Op::Leave),
        4 => any::<bool>().prop_map(Op::Import),
        1 => server.prop_map(Op::LoseCache),
        5 => (1..600u64).prop_map(|ms| Op::Advance(Duration::from_millis(ms))),
        1 => (0..4u8).prop_map(|n| match n {
            0 => Op::Cancel,
            1 => Op::Stop,
            _ => Op::Run(0),
        }),
    ]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn stream_emits_model_tokens(
        ops in prop::collection::vec(op(), 0..90),
        answer_tokens in 1..8u32,
        max_tokens in 0..8u32,
        max_prefills in 1..6u32,
        deadline in 1..5_000u64,
    ) {
        let mut simulation = Simulation::new(answer_tokens, max_tokens, max_prefills, deadline);
        for op in ops {
            simulation.apply(&op);
        }
        simulation.drain();
    }
}

#[test]
fn stream_moves_cache() {
    let mut simulation = Simulation::new(5, 5, 1, 5_000);
    simulation.apply(&Op::Path { layout: 0, pick: 0 });
    simulation.run_token();
    let leaving = simulation.stage_server(1);
    simulation.apply(&Op::Leave(leaving));
    simulation.run_token();
    simulation.apply(&Op::Path { layout: 0, pick: 0 });
    simulation.apply(&Op::Import(true));
    // Only one prefill is allowed, so the cache was moved.
    simulation.drain();
    assert!(simulation.is_complete());
    assert_ne!(simulation.stage_server(1), leaving);
}

#[test]
fn timeout_chooses_at_once() {
    let mut simulation = Simulation::new(5, 5, 3, 5_000);
    simulation.apply(&Op::Path { layout: 0, pick: 0 });
    simulation.run_token();
    simulation.apply(&Op::Lose { step: 0, ran: true });
    simulation.apply(&Op::Advance(Duration::from_millis(100)));
    assert!(simulation.is_choosing());
    simulation.drain();
    assert!(simulation.is_complete());
}

#[test]
fn stream_refuses_unwanted_move() {
    let mut simulation = Simulation::new(5, 5, 1, 5_000);
    simulation.apply(&Op::Path { layout: 0, pick: 0 });
    simulation.run_token();
    let leaving = simulation.stage_server(1);
    let other = (0..SERVERS).find(|&server| (0..3).all(|at| simulation.stage_server(at) != server));
    simulation.apply(&Op::Leave(leaving));
    simulation.apply(&Op::Leave(other.unwrap()));
    simulation.run_token();
    // The path replaces the first leaving server by the other one.
    simulation.apply(&Op::PathOver(6));
    assert_eq!(simulation.stage_server(1), leaving);
    simulation.drain();
    assert!(simulation.is_complete());
}

#[test]
fn stop_before_a_step_not_run() {
    let mut simulation = Simulation::new(5, 5, 3, 5_000);
    simulation.apply(&Op::Stop);
    let (error, ran) = simulation.failure().unwrap();
    assert_eq!(error, Error::Stopping);
    assert!(matches!(ran, Ran::No(_)));
}

#[test]
fn stop_between_two_runs_outcome_unknown() {
    let mut simulation = Simulation::new(5, 5, 3, 5_000);
    simulation.apply(&Op::Path { layout: 0, pick: 0 });
    simulation.run_token();
    simulation.apply(&Op::Fail {
        step: 0,
        sent: true,
    });
    simulation.apply(&Op::NoPath);
    simulation.apply(&Op::Stop);
    let (error, ran) = simulation.failure().unwrap();
    assert_eq!(error.code().number(), 3006);
    assert_eq!(ran, Ran::Unknown);
}
