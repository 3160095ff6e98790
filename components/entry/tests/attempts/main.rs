//! Entry and home duties under lost, late, doubled and reordered messages.

mod fuzz;
mod hedges;
mod regressions;
mod world;
