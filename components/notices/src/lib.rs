//! Notices that an upstream sends in the headers of its answers: its request limit, and that it is
//! draining.
//!
//! An upstream may send anything. An invalid value is reported as a [`Problem`], to be logged, and leaves
//! the known state of the upstream unchanged.

mod rate;
mod read;

pub use rate::RequestRate;
pub use read::{read, HeaderNames, Notice, Problem, RateNotice};
