//! The planned stop of a node: which requests a stopping node still accepts, and for how long
//! accepted work may run.
//!
//! Both are derived from one [`Plan`], which is made when the stop signal arrives. Load pattern: the
//! nodes of a hall are stopped one after the other, and callers keep sending requests to a node until
//! they notice that it is not ready. A request is accepted only if the time that such requests need
//! ends before the process has to exit, and upstreams are given no deadline beyond that time. A
//! request that is refused has not run and can be sent to another node.

mod durations;
mod intake;
mod plan;

pub use durations::Durations;
pub use intake::{need_us, Arrival, Intake, Refused};
pub use plan::{Limits, Plan};

/// Retry delay sent to callers that are refused because the node is stopping, in milliseconds: a
/// restart takes about this long.
pub const RETRY_AFTER_MS: u64 = 300;
