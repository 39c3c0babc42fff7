//! Drives the ejection of one layer range and checks its promises after each step.

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

/// `Known` is what the oracle knows of a server.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    /// Failures since the last success or admission.
    failures: u32,
    /// Ejections since then.
    ejections: u32,
    out: bool,
    trial: bool,
    until: Instant,
}

fn standing(known: Known) -> Standing {
    match known {
        Known { trial: true, .. } => Standing::Trial,
        Known {
            out: true, until, ..
        } => Standing::Ejected { until },
        Known { .. } => Standing::Admitted,
    }
}

proptest! {
    #![proptest_config(config(SEED))]

    #[test]
    fn ejection_keeps_cap(
        ops in prop::collection::vec(op(), 0..150),
        failures in 1..4u32,
        most in 0.0..1.0f64,
    ) {
        let first = Duration::from_millis(500);
        let longest = Duration::from_secs(3);
        let mut arena: SlotMap<BackendServerKey, ()> = SlotMap::with_key();
        let keys: Vec<_> = (0..SERVERS).map(|_| arena.insert(())).collect();
        let mut ejection = Ejection::new(Policy { failures, first, longest, most });
        let mut oracle: BTreeMap<BackendServerKey, Known> = BTreeMap::new();
        let mut now = Instant::ZERO;
        for op in ops.into_iter().chain((0..SERVERS).map(Op::Add)) {
            let room = (oracle.len() as f64 * most) as usize;
            let out = oracle.values().filter(|known| known.out).count();
            match op {
                Op::Add(index) => {
                    ejection.add(keys[index]);
                    oracle.entry(keys[index]).or_default();
                }
                Op::Remove(index) => {
                    oracle.remove(&keys[index]);
                    for key in ejection.remove(keys[index]) {
                        prop_assert!(oracle[&key].out, "it was not out");
                        oracle.insert(key, Known::default());
                    }
                }
                Op::Success(index) => {
                    ejection.on_success(keys[index]);
                    oracle.entry(keys[index]).and_modify(|known| {
                        if known.trial || !known.out {
                            *known = Known::default();
                        }
                    });
                }
                Op::Failure(index) => {
                    let ejected = ejection.on_failure(now, keys[index]);
                    let Some(known) = oracle.get_mut(&keys[index]) else {
                        prop_assert!(!ejected);
                        continue;
                    };
                    known.failures += u32::from(!known.out);
                    let due = !known.out && known.failures >= failures && out < room;
                    prop_assert_eq!(ejected, due || known.trial);
                    if ejected {
                        let lasts = (first * 2u32.pow(known.ejections.min(5))).min(longest);
                        known.until = now + lasts;
                        known.ejections += 1;
                        known.out = true;
                        known.trial = false;
                    }
                }
                Op::Try(index) => {
                    let tried = ejection.try_again(now, keys[index]);
                    let known = oracle.get_mut(&keys[index]);
                    let due = known.filter(|known| known.out && !known.trial && now >= known.until);
                    prop_assert_eq!(tried, due.is_some(), "one trial, and when it is due");
                    if let Some(known) = due {
                        known.trial = true;
                    }
                }
                Op::Advance(ms) => now = now + Duration::from_millis(ms),
            }
            prop_assert!(ejection.out() <= ejection.most_out(), "more out than may be");
            for &key in &keys {
                prop_assert_eq!(ejection.standing(key), oracle.get(&key).copied().map(standing));
            }
        }
        // Servers that work again are all admitted in the end.
        now = now + longest;
        for &key in &keys {
            ejection.try_again(now, key);
            ejection.on_success(key);
        }
        prop_assert_eq!(ejection.out(), 0);
    }
}
