//! Idempotency keys under lost, late and reordered messages and failing nodes.

mod fuzz;
mod regressions;
mod world;
