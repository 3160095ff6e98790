//! Settings of the property tests and fuzzers of this workspace: the same verdict every run, and
//! long runs with other seeds on demand.

use proptest::test_runner::{Config, RngSeed};

/// Seed of every run that names no other.
const SEED: u64 = 20_261_202;

/// A configuration with `cases` cases and a fixed seed. The environment variables `FUZZ_CASES` and
/// `FUZZ_SEED` replace them.
pub fn config(cases: u32) -> Config {
    Config {
        cases: number("FUZZ_CASES", cases.into()) as u32,
        rng_seed: RngSeed::Fixed(number("FUZZ_SEED", SEED)),
        failure_persistence: None,
        ..Config::default()
    }
}

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}
