//! Rollout under races, lost answers, outages, restarts and a store that goes back.

mod differences;
mod fetch;
mod fuzz;
mod returns;
mod reuse;
mod world;
