//! Tests the ejection of one layer range and checks its invariants after each step.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use slotmap::SlotMap;

use crate::config;
use hemlockwind_core::names::BackendServerKey;
use hemlockwind_core::time::Instant;
use hemlockwind_limits::Ejection;
use hemlockwind_limits::ejection::Policy;
use hemlockwind_limits::ejection::Standing;

/// The seed of the cases.
const SEED: u64 = 0x5eed_0005;
/// The number of servers.
const SERVERS: usize = 6;

#[derive(Clone, Copy, Debug)]
enum Op {
    Add(usize),
    Remove(usize),
    Success(usize),
    Failure(usize),
    Try(usize),
    Advance(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let server = 0..SERVERS;
    prop_oneof![
        2 => server.clone().prop_map(Op::Add),
        1 => server.clone().prop_map(Op::Remove),
        2 => server.clone().prop_map(Op::Success),
        10 => server.clone().prop_map(Op::Failure),
        4 => server.prop_map(Op::Try),
        3 => (0..5_000u64).prop_map(Op::Advance),
    ]
}

/// `Expected` is the expected state of a server.
#[derive(Clone, Copy, Debug, Default)]
struct Expected {
    /// Failures since the last success or admission.
    failures: u32,
    /// Ejections since the last success or admission.
    ejections: u32,
    /// Whether it is ejected or on trial.
    unavailable: bool,
    trial: bool,
    until: Instant,
}

fn standing(expected: Expected) -> Standing {
    match expected {
        Expected { trial: true, .. } => Standing::Trial,
        Expected {
            unavailable: true,
            until,
            ..
        } => Standing::Ejected { until },
        Expected { .. } => Standing::Admitted,
    }
}

proptest! {
    #![proptest_config(config(SEED))]

    #[test]
    fn ejection_keeps_cap(
        ops in prop::collection::vec(op(), 0..150),
        failures in 1..4u32,
        max_share in 0.0..1.0f64,
    ) {
        let first_duration = Duration::from_millis(500);
        let max_duration = Duration::from_secs(3);
        let mut arena: SlotMap<BackendServerKey, ()> = SlotMap::with_key();
        let keys: Vec<_> = (0..SERVERS).map(|_| arena.insert(())).collect();
        let mut ejection = Ejection::new(Policy {
            failures,
            first_duration,
            max_duration,
            max_share,
        });
        let mut oracle: BTreeMap<BackendServerKey, Expected> = BTreeMap::new();
        let mut now = Instant::ZERO;
        for op in ops.into_iter().chain((0..SERVERS).map(Op::Add)) {
            let max_unavailable = (oracle.len() as f64 * max_share) as usize;
            let unavailable = oracle.values().filter(|server| server.unavailable).count();
            match op {
                Op::Add(index) => {
                    ejection.add(keys[index]);
                    oracle.entry(keys[index]).or_default();
                }
                Op::Remove(index) => {
                    oracle.remove(&keys[index]);
                    for key in ejection.remove(keys[index]) {
                        prop_assert!(oracle[&key].unavailable, "the server was not ejected");
                        oracle.insert(key, Expected::default());
                    }
                }
                Op::Success(index) => {
                    ejection.on_success(keys[index]);
                    oracle.entry(keys[index]).and_modify(|expected| {
                        if expected.trial || !expected.unavailable {
                            *expected = Expected::default();
                        }
                    });
                }
                Op::Failure(index) => {
                    let ejected = ejection.on_failure(now, keys[index]);
                    let Some(expected) = oracle.get_mut(&keys[index]) else {
                        prop_assert!(!ejected);
                        continue;
                    };
                    expected.failures += u32::from(!expected.unavailable);
                    let due = !expected.unavailable
                        && expected.failures >= failures
                        && unavailable < max_unavailable;
                    prop_assert_eq!(ejected, due || expected.trial);
                    if ejected {
                        let duration = (first_duration * 2u32.pow(expected.ejections.min(5)))
                            .min(max_duration);
                        expected.until = now + duration;
                        expected.ejections += 1;
                        expected.unavailable = true;
                        expected.trial = false;
                    }
                }
                Op::Try(index) => {
                    let tried = ejection.begin_trial(now, keys[index]);
                    let expected = oracle.get_mut(&keys[index]);
                    let due = expected
                        .filter(|s| s.unavailable && !s.trial && now >= s.until);
                    prop_assert_eq!(tried, due.is_some(), "a trial begins once, when it is due");
                    if let Some(expected) = due {
                        expected.trial = true;
                    }
                }
                Op::Advance(ms) => now = now + Duration::from_millis(ms),
            }
            prop_assert!(
                ejection.unavailable() <= ejection.max_unavailable(),
                "too many servers are ejected"
            );
            for &key in &keys {
                prop_assert_eq!(ejection.standing(key), oracle.get(&key).copied().map(standing));
            }
        }
        // Servers that work again are eventually all admitted.
        now = now + max_duration;
        for &key in &keys {
            ejection.begin_trial(now, key);
            ejection.on_success(key);
        }
        prop_assert_eq!(ejection.unavailable(), 0);
    }
}
