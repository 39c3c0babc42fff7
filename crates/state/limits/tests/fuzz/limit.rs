//! Drives a limit with arbitrary results, and with a server whose steps slow down
//! beyond a number of streams that the limit must find.

use std::time::Duration;

use proptest::prelude::*;

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

    /// Keeps the server full for `time`, and returns the steps that it ran in the
    /// second half against those that it can run at most, and the mean delay
    /// against `base`.
    fn saturate(&self, limit: &mut Limit, now: &mut Instant, time: Duration) -> (f64, f64) {
        let half = *now + time / 2;
        let end = *now + time;
        let (mut steps, mut rounds) = (0.0, 0.0);
        while *now < end {
            let streams = limit.streams(*now);
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
        (steps / most, seconds / rounds / self.base.as_secs_f64())
    }
}

proptest! {
    #![proptest_config(config(SEED))]

    #[test]
    fn limit_stays_in_bounds(ops in prop::collection::vec(op(), 0..60), min in 1..5u32, max in 1..60u32) {
        let mut now = Instant::from_millis(1);
        let mut limit = Limit::new(Bounds { min, max });
        let least = min.min(max);
        let mut shortest = Duration::MAX;
        let mut fell = None;
        let mut cap = None;
        for op in ops {
            // Both are read without the cap of a report, whose age would change it.
            let mut plain = limit.clone();
            let none = LoadReport { streams: 0, limit: u32::MAX, leaving: false };
            plain.on_report(now, none, 0);
            let before = plain.streams(now);
            match op {
                Op::Result { delay, in_flight } => {
                    let delay = Duration::from_millis(delay);
                    shortest = shortest.min(delay);
                    plain.on_result(now, delay, in_flight);
                    limit.on_result(now, delay, in_flight);
                    let after = plain.streams(now);
                    prop_assert!(after <= before + 1);
                    if delay <= shortest.mul_f64(1.5) {
                        prop_assert!(after >= before, "a quick step lowers the limit");
                    }
                    if after < before {
                        prop_assert!(fell.is_none_or(|until| now >= until), "falls twice a step");
                        prop_assert!(f64::from(after) >= f64::from(before) * 0.9 - 1.0);
                        fell = Some(now + delay);
                    }
                }
                Op::Refusal { in_flight } => {
                    plain.on_refusal(now, in_flight);
                    limit.on_refusal(now, in_flight);
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
            plain.on_report(now, none, 0);
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
        let mut limit = Limit::new(Bounds {
            min: 1,
            max: knee * 4,
        });
        let time = Duration::from_secs(300);
        let (share, delay) = server.saturate(&mut limit, &mut now, time);
        assert!(share >= 0.9, "{share} of the throughput at knee {knee}");
        assert!(delay <= 1.6, "{delay} of the delay at knee {knee}");
        // The server slows down for good; the old shortest delay must go.
        server.base *= 3;
        let time = Duration::from_secs(60);
        let (share, delay) = server.saturate(&mut limit, &mut now, time);
        assert!(
            share >= 0.9,
            "{share} of the throughput after knee {knee} slowed"
        );
        assert!(
            delay <= 1.6,
            "{delay} of the delay after knee {knee} slowed"
        );
    }
}
