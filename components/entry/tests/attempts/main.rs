//! Entry and home duties with lost, late, duplicated and reordered messages.

mod fuzz;
mod hedges;
mod regressions;
mod world;
