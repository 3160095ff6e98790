//! Settings of a node: one INI file that is checked completely at startup.

mod accounts;
mod cold;
mod headers;
mod millis;
mod node;
mod shortage;

pub use accounts::AccountBounds;
pub use cold::ColdLimit;
pub use headers::Headers;
pub use millis::{Millis, MILLIS_FORMAT};
pub use node::{FleetSource, LogFormat, RetryLimit, Settings};
pub use shortage::{Admission, Hedging, Mode};
