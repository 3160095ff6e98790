//! Quarantine of requests that are suspected of crashing upstreams.
//!
//! A request is identified by its [`Fingerprint`], which is the same for every copy that callers
//! send. When an upstream terminates, its local node reports the requests in progress there to all
//! nodes ([`Suspect`]). From then on copies of such a request are processed apart from other suspects,
//! at an upstream on which all nodes agree ([`suspect_order`]), until one of them completes, which
//! clears the request. A request under which upstreams keep terminating is quarantined: it is not
//! sent to any upstream. A request that completed recently is neither suspect nor quarantined, since
//! requests that many callers send are in progress wherever an upstream terminates.
//!
//! [`Quarantine`] holds the state of one node. Time is passed in; nodes exchange the state in frames,
//! in their records and through the store.

mod fingerprint;
mod order;
mod recent;
mod table;

pub use fingerprint::Fingerprint;
pub use order::suspect_order;
pub use table::{Quarantine, Suspect, Verdict};
