//! Fuzzes each decision of this crate against a simple oracle.

mod doubt;
mod ejection;
mod limit;
mod retry;

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// The number of cases, unless the environment asks for more.
const CASES: u32 = 500;

/// The configuration with a fixed seed, so that each run gives the same verdict.
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
