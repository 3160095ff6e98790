//! Configuration of the workspace's property tests and fuzzers. Runs are reproducible by default;
//! long runs and other seeds are set by environment variables.

use proptest::test_runner::{Config, RngSeed};

/// Seed of runs without `FUZZ_SEED`.
const DEFAULT_SEED: u64 = 20_261_202;

/// A configuration with `cases` cases and a fixed seed. The environment variables `FUZZ_CASES` and
/// `FUZZ_SEED` override them.
pub fn config(cases: u32) -> Config {
    Config {
        cases: number_from_env("FUZZ_CASES", cases.into()) as u32,
        rng_seed: RngSeed::Fixed(number_from_env("FUZZ_SEED", DEFAULT_SEED)),
        failure_persistence: None,
        ..Config::default()
    }
}

/// The number in an environment variable, or `default` if it is unset or not a number.
fn number_from_env(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}
