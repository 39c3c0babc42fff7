//! Tests a limit with arbitrary results, and with a server whose steps slow down above
//! a number of streams that the limit must find.

use std::time::Duration;

use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::config;
use hemlockwind_core::engine::LoadReport;
use hemlockwind_core::time::Instant;
use hemlockwind_limits::Limit;
use hemlockwind_limits::limit::Bounds;

/// The seed of the cases.
const SEED: u64 = 0x5eed_0003;

#[derive(Clone, Debug)]
enum Op {
    Result { delay: u64, in_flight: u32 },
    Refusal { in_flight: u32 },
    Report { streams: u32, limit: u32, own: u32 },
    Advance(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        8 => (1..100u64, 0..60u32).prop_map(|(delay, in_flight)| Op::Result { delay, in_flight }),
        1 => (0..60u32).prop_map(|in_flight| Op::Refusal { in_flight }),
        1 => (0..60u32, 0..60u32, 0..60u32)
            .prop_map(|(streams, limit, own)| Op::Report { streams, limit, own }),
        3 => (0..6_000u64).prop_map(Op::Advance),
    ]
}

/// The time without a quick step after which the limit falls.
const OVERLOAD_PERIOD: Duration = Duration::from_millis(100);

/// `Server` runs steps of `base` time, longer in proportion above `knee` streams.
struct Server {
    base: Duration,
    knee: u32,
}

impl Server {
    fn delay(&self, streams: u32) -> Duration {
        let over = f64::from(streams) / f64::from(self.knee);
        self.base.mul_f64(over.max(1.0))
    }

    /// Keeps the server at its limit for `time`.
    fn saturate(&self, limit: &mut Limit, now: &mut Instant, time: Duration) -> Run {
        let half = *now + time / 2;
        let end = *now + time;
        let (mut steps, mut rounds) = (0.0, 0.0);
        let mut lowest = u32::MAX;
        while *now < end {
            let streams = limit.streams(*now);
            lowest = lowest.min(streams);
            let delay = self.delay(streams);
            *now = *now + delay;
            for _ in 0..streams {
                limit.on_result(*now, delay, streams);
            }
            if *now >= half {
                steps += f64::from(streams);
                rounds += 1.0;
            }
        }
        let seconds = (time / 2).as_secs_f64();
        let most = f64::from(self.knee) * seconds / self.base.as_secs_f64();
        Run {
            throughput: steps / most,
            delay: seconds / rounds / self.base.as_secs_f64(),
            lowest,
        }
    }
}

/// `Run` is the measured result of a period under full load.
#[derive(Debug)]
struct Run {
    /// The steps of the second half, as a share of those that the server could run.
    throughput: f64,
    /// The mean delay of the second half, as a multiple of an idle server's.
    delay: f64,
    /// The lowest limit.
    lowest: u32,
}

proptest! {
    #![proptest_config(config(SEED))]

    #[test]
    fn limit_stays_in_bounds(ops in prop::collection::vec(op(), 0..60), min in 1..5u32, max in 1..60u32) {
        let mut now = Instant::from_millis(1);
        let mut limit = Limit::new(Bounds { min, max });
        let least = min.min(max);
        let mut shortest = Duration::MAX;
        let mut decreased_at = Instant::ZERO;
        let mut last_quick = Instant::ZERO;
        let mut cap = None;
        for op in ops {
            // `before` and `after` are read without the cap of a load report, which would
            // change them when it expires.
            let mut plain = limit.clone();
            let uncapped = LoadReport { streams: 0, limit: u32::MAX, leaving: false };
            plain.on_report(now, uncapped, 0);
            let before = plain.streams(now);
            let searching = plain.is_searching();
            match op {
                Op::Result { delay, in_flight } => {
                    let delay = Duration::from_millis(delay);
                    shortest = shortest.min(delay);
                    plain.on_result(now, delay, in_flight);
                    limit.on_result(now, delay, in_flight);
                    let after = plain.streams(now);
                    let quick = delay <= shortest.mul_f64(1.5);
                    if searching {
                        prop_assert!(after <= before && after + 1 >= before / 2);
                    } else if after < before {
                        prop_assert!(!quick, "a quick step lowered the limit");
                        let quick_at = last_quick.max(decreased_at);
                        prop_assert!(
                            now >= quick_at + OVERLOAD_PERIOD,
                            "the limit fell too soon after a quick step"
                        );
                        prop_assert!(f64::from(after) >= f64::from(before) * 0.8 - 1.0);
                        decreased_at = now;
                    }
                    if quick {
                        last_quick = now;
                    }
                    prop_assert!(after <= before + 1);
                    if f64::from(in_flight) < f64::from(before) * 0.9 {
                        prop_assert!(after <= before, "a limit that is not in use rises");
                    }
                }
                Op::Refusal { in_flight } => {
                    plain.on_refusal(in_flight);
                    limit.on_refusal(in_flight);
                    let after = plain.streams(now);
                    prop_assert!(after <= before && after <= in_flight.max(least));
                }
                Op::Report { streams, limit: all, own } => {
                    let report = LoadReport { streams, limit: all, leaving: false };
                    limit.on_report(now, report, own);
                    let left = all.saturating_sub(streams.saturating_sub(own));
                    cap = Some((left, now + Duration::from_secs(10)));
                }
                Op::Advance(ms) => now = now + Duration::from_millis(ms),
            }
            plain = limit.clone();
            plain.on_report(now, uncapped, 0);
            let expected = match cap {
                Some((left, until)) if now < until => plain.streams(now).min(left).max(least),
                _ => plain.streams(now),
            };
            prop_assert_eq!(limit.streams(now), expected);
            prop_assert!((least..=max).contains(&limit.streams(now)));
        }
    }
}

#[test]
fn limit_finds_knee() {
    for knee in [2, 8, 40, 160] {
        let base = Duration::from_millis(30);
        let mut server = Server { base, knee };
        let mut now = Instant::ZERO;
        let max = knee * 4;
        let mut limit = Limit::new(Bounds { min: 1, max });
        // The tolerance, plus one stream by which the limit exceeds it before it falls.
        let most = 1.5 + 1.0 / f64::from(knee);

        let start = server.saturate(&mut limit, &mut now, Duration::from_secs(2));
        assert!(start.throughput >= 0.9, "start at {knee}: {start:?}");
        assert!(start.lowest >= knee / 2, "start at {knee}: {start:?}");

        let long = server.saturate(&mut limit, &mut now, Duration::from_secs(300));
        let holds = long.throughput >= 0.9 && long.delay <= most;
        assert!(holds, "long at {knee}: {long:?}");

        // The server slows down permanently; the old minimum delay must be replaced.
        server.base *= 3;
        let slow = server.saturate(&mut limit, &mut now, Duration::from_secs(20));
        let holds = slow.throughput >= 0.9 && slow.delay <= most;
        assert!(holds, "slow at {knee}: {slow:?}");
    }
}

#[test]
fn limit_tolerates_jitter() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let base = Duration::from_millis(10);
    let bounds = Bounds { min: 1, max: 64 };
    let mut limit = Limit::new(bounds);
    limit.on_result(Instant::ZERO, base, 1);
    let mut now = Instant::ZERO;
    // The server is not overloaded, but half of the steps take up to ten times as long.
    for _ in 0..10_000 {
        now = now + base;
        for _ in 0..limit.streams(now) {
            let late = rng.random_bool(0.5);
            let factor = if late {
                rng.random_range(1.0..10.0)
            } else {
                1.0
            };
            limit.on_result(now, base.mul_f64(factor), limit.streams(now));
        }
        assert_eq!(limit.streams(now), bounds.max);
    }
}
