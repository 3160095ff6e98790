//! What an upstream says of itself in the headers of an answer: how many requests it takes, and that it leaves.
//!
//! An upstream may send anything. A value that can't be read is a [`Problem`] for a log line and changes nothing that is
//! known of the upstream.

mod rate;
mod read;

pub use rate::RequestRate;
pub use read::{read, HeaderNames, Notice, Problem, RateNotice};
