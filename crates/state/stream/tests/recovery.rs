//! Drives one stream through a network and engines that lose, delay, repeat and
//! cross everything, and compares what it emits with a fold over the tokens.

mod world;

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use hemlockwind_core::engine::Refusal;

use crate::world::LAYOUTS;
use crate::world::Op;
use crate::world::SERVERS;
use crate::world::World;

/// The number of cases, unless the environment asks for more.
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
        2 => Just(Op::Cross),
        1 => Just(Op::Garble),
        3 => (0..3u32, 0..3u32, 0..2u16).prop_map(|(incarnation, token, end)| {
            Op::Forge { incarnation, token, end }
        }),
        2 => server.clone().prop_map(Op::Leave),
        4 => any::<bool>().prop_map(Op::Import),
        1 => server.prop_map(Op::LoseCache),
        5 => (1..600u64).prop_map(|ms| Op::Advance(Duration::from_millis(ms))),
        1 => (0..4u8).prop_map(|n| if n == 0 { Op::Cancel } else { Op::Run(0) }),
    ]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn stream_emits_fold(
        ops in prop::collection::vec(op(), 0..90),
        answer in 1..8u32,
        max_tokens in 0..8u32,
        max_incarnations in 1..6u32,
        deadline in 1..5_000u64,
    ) {
        let mut world = World::new(answer, max_tokens, max_incarnations, deadline);
        for op in ops {
            world.apply(&op);
        }
        world.drain();
    }
}

#[test]
fn stream_moves_cache() {
    let mut world = World::new(5, 5, 1, 5_000);
    world.apply(&Op::Path { layout: 0, pick: 0 });
    world.run_token();
    let leaving = world.stage_server(1);
    world.apply(&Op::Leave(leaving));
    world.run_token();
    world.apply(&Op::Path { layout: 0, pick: 0 });
    world.apply(&Op::Import(true));
    // One incarnation allows no second prefill, so only the move can have worked.
    world.drain();
    assert!(world.is_complete());
    assert_ne!(world.stage_server(1), leaving);
}

#[test]
fn timeout_chooses_at_once() {
    let mut world = World::new(5, 5, 3, 5_000);
    world.apply(&Op::Path { layout: 0, pick: 0 });
    world.run_token();
    world.apply(&Op::Lose { step: 0, ran: true });
    world.apply(&Op::Advance(Duration::from_millis(100)));
    assert!(world.is_choosing());
    world.drain();
    assert!(world.is_complete());
}

#[test]
fn stream_refuses_unwanted_move() {
    let mut world = World::new(5, 5, 1, 5_000);
    world.apply(&Op::Path { layout: 0, pick: 0 });
    world.run_token();
    let leaving = world.stage_server(1);
    let other = (0..SERVERS).find(|&server| (0..3).all(|at| world.stage_server(at) != server));
    world.apply(&Op::Leave(leaving));
    world.apply(&Op::Leave(other.unwrap()));
    world.run_token();
    // The path has the other leaving server in place of the first one.
    world.apply(&Op::PathOver(6));
    assert_eq!(world.stage_server(1), leaving);
    world.drain();
    assert!(world.is_complete());
}
