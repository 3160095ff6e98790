//! Small stand-ins for the systems that drumwheel meets: the platform, upstreams and callers.
//!
//! The product never depends on this crate. The stand-ins speak the published protocols only.

pub mod answer;
pub mod http;
pub mod ledger;
pub mod platform;
pub mod upstream;
