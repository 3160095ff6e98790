//! Which requests are kept from upstreams, because upstreams ended while they ran them.
//!
//! A request is known by its [`Fingerprint`]: copies that callers send again have it in common.

mod fingerprint;

pub use fingerprint::Fingerprint;
