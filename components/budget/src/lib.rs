//! The budget for measuring: one gate that every measuring act has to pass.
//!
//! An operator sets, for each hall, how many messages and how much slot time per second may be
//! spent on measuring. Each node takes its share, half the setting divided by the number of
//! nodes it knows of in the hall, without asking the others. So the sum stays within the setting
//! while a hall has less than twice the nodes that its members' lists say.

mod gate;

pub use gate::{Act, Gate, HallBudget, Spent};
