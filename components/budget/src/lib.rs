//! Rate limit for measurements (heartbeats, health probes, connection checks): each has to pass a
//! [`Gate`].
//!
//! An operator sets, for each data hall, how many messages and how much slot time per second may be
//! spent on measurements. Each node uses half the setting divided by the number of nodes that it
//! knows in the hall, without coordination. The sum stays within the setting as long as the hall
//! has less than twice the nodes that each of its nodes knows.

mod gate;

pub use gate::{Act, Gate, HallBudget, Spent};
