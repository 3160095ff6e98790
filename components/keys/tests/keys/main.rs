//! Idempotency keys under lost, delayed and reordered messages and node failures.

mod fuzz;
mod regressions;
mod world;
