//! Test doubles of the systems that drumwheel communicates with: the platform, upstreams and callers.
//!
//! The product does not depend on this crate. The test doubles use only the published protocols.

pub mod answer;
pub mod http;
pub mod ledger;
pub mod platform;
pub mod upstream;
