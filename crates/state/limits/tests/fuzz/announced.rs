//! Compares announced limits with the requests that each window of four seconds may have.

use std::time::Duration;

use proptest::prelude::*;

use crate::config;
use hemlockwind_core::time::Instant;
use hemlockwind_limits::announced::AnnouncedLimit;
use hemlockwind_limits::announced::Rate;

/// The seed of the cases.
const SEED: u64 = 0x5eed_0005;
/// The length of a window.
const WINDOW: Duration = Duration::from_secs(4);
/// The shortest time between two changes of the owner.
const TENURE: Duration = Duration::from_secs(1);

/// Returns the largest number of requests that a window may have under `millis`, the highest
/// rate in force in it, in thousandths of a request per second.
fn allowed(millis: u64) -> f64 {
    1.5 * 4.0 * millis as f64 / 1_000.0 + 5.0
}

/// `Op` is what happens after a pause.
#[derive(Clone, Copy, Debug)]
enum Op {
    /// A request arrives.
    Request,
    /// The server announces another rate, in thousandths of a request per second.
    Rate(u64),
    /// The other owner takes over, which knows the rate and has saved up requests meanwhile.
    NewOwner,
}

fn op() -> impl Strategy<Value = (u64, Op)> {
    let op = prop_oneof![
        60 => Just(Op::Request),
        1 => (0..40_000u64).prop_map(Op::Rate),
        2 => Just(Op::NewOwner),
    ];
    (0..60_000u64, op)
}

proptest! {
    #![proptest_config(config(SEED))]

    /// No window of four seconds has more requests than the rule allows for the highest rate in
    /// it, even around a change of the rate or of its owner.
    #[test]
    fn try_take_every_window(ops in prop::collection::vec(op(), 0..600), first in 0..40_000u64) {
        let mut now = Instant::from_millis(1_000);
        let mut rates = vec![(now, first)];
        let mut limit = AnnouncedLimit::new(now, Rate { millis: first }, now);
        let mut heir = limit.clone();
        let mut owned_since = now;
        let mut sent: Vec<Instant> = Vec::new();
        for (pause, op) in ops {
            now = now + Duration::from_micros(pause);
            match op {
                Op::Request if limit.try_take(now) => sent.push(now),
                Op::Request => {}
                Op::Rate(millis) => {
                    rates.push((now, millis));
                    limit.observe(now, Rate { millis }, now);
                    heir.observe(now, Rate { millis }, now);
                }
                Op::NewOwner if now.since(owned_since) >= TENURE => {
                    std::mem::swap(&mut limit, &mut heir);
                    owned_since = now;
                }
                Op::NewOwner => {}
            }
            let start = now.before(WINDOW);
            let in_window = sent.iter().filter(|at| **at > start).count();
            let before = rates.iter().rev().find(|(at, _)| *at <= start);
            let within = rates.iter().filter(|(at, _)| *at > start);
            let highest = within.chain(before).map(|(_, millis)| *millis).max();
            prop_assert!(in_window as f64 <= allowed(highest.unwrap_or(first)));
        }
    }

    /// A request may be sent when the stated wait is over, and not before.
    #[test]
    fn wait_exact(millis in 0..40_000u64, taken in 0..5u32, pause in 0..9_000_000u64) {
        let mut now = Instant::from_millis(1_000);
        let mut limit = AnnouncedLimit::new(now, Rate { millis }, now);
        now = now + Duration::from_micros(pause);
        for _ in 0..taken {
            limit.try_take(now);
        }
        let wait = limit.wait(now);
        prop_assert_eq!(wait.is_zero(), limit.available(now) > 0);
        if let Some(early) = wait.checked_sub(Duration::from_micros(1)) {
            prop_assert!(!limit.clone().try_take(now + early));
        }
        prop_assert!(limit.try_take(now + wait));
    }

    /// A steady load gets nearly all that the server takes.
    #[test]
    fn try_take_uses_rate(millis in 1_000..40_000u64) {
        let mut now = Instant::from_millis(1_000);
        let mut limit = AnnouncedLimit::new(now, Rate { millis }, now);
        let mut sent = 0u64;
        for _ in 0..2_000 {
            now = now + Duration::from_millis(10);
            sent += u64::from(limit.try_take(now));
        }
        prop_assert!(sent * 1_000 >= millis * 20 * 9 / 10 - 1_000);
    }

    /// An older observation changes nothing.
    #[test]
    fn observe_older_ignored(millis in 0..u64::MAX, other in 0..u64::MAX) {
        let now = Instant::from_millis(1_000);
        let mut limit = AnnouncedLimit::new(now, Rate { millis }, now);
        limit.observe(now, Rate { millis: other }, now.before(Duration::from_millis(1)));
        prop_assert_eq!(limit.rate(), Rate { millis });
    }
}
