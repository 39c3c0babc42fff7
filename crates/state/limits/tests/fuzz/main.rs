//! Compares each module of this crate with a simple oracle on random inputs.

mod announced;
mod ejection;
mod failure_detector;
mod limit;
mod retry;

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// The number of cases, unless `PROPTEST_CASES` sets another.
const CASES: u32 = 500;

/// Returns the configuration with a fixed seed, so that each run gives the same result.
fn config(seed: u64) -> Config {
    let cases = std::env::var("PROPTEST_CASES").ok();
    let cases = cases.and_then(|cases| cases.parse().ok());
    Config {
        cases: cases.unwrap_or(CASES),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}
