//! Checks when a request is reported as not run.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use hemlockwind_core::attempt::Attempt;
use hemlockwind_core::attempt::Attempts;

/// Generates any state of an attempt.
fn attempt() -> impl Strategy<Value = Attempt> {
    prop_oneof![
        Just(Attempt::Unsent),
        Just(Attempt::Sent),
        Just(Attempt::Refused),
        Just(Attempt::Answered),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Once an attempt was sent without a refusal, the request is never reported as not
    /// run, in whatever order the updates arrive.
    #[test]
    fn not_run_any_order(updates in prop::collection::vec((0..3_usize, attempt()), 0..20)) {
        let mut attempts = Attempts::default();
        for _ in 0..3 {
            attempts.open();
        }
        for &(index, to) in &updates {
            attempts.record(index, to);
        }
        // The first update to `Refused` or `Answered` counts; without one, a sent attempt may
        // have run.
        let may_have_run = (0..3).any(|index| {
            let of_index = updates.iter().filter(|(updated, _)| *updated == index);
            let mut steps = of_index.map(|&(_, to)| to).filter(|&to| to != Attempt::Unsent);
            let was_sent = steps.clone().next().is_some();
            let end = steps.find(|&to| to != Attempt::Sent);
            was_sent && end != Some(Attempt::Refused)
        });
        prop_assert_eq!(attempts.not_run().is_none(), may_have_run);
    }
}
