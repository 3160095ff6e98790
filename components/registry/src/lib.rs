//! Upstreams that register themselves: what the node beside one learns, and what all nodes know.
//!
//! An upstream tells the node beside it of every run of its own ([`LocalUpstream`]). Each node keeps one
//! [`Record`] of itself and its upstream, which it alone writes and tells the others ([`Fleet`]).

mod beside;
mod digest;
mod fleet;
mod incarnation;
mod local;
mod record;
mod spread;

pub use beside::{ConfiguredUpstream, Declared, LocalService, Mismatch, Origin};
pub use digest::{BucketSet, Digests, BUCKETS};
pub use fleet::{Fleet, Merged};
pub use incarnation::Incarnation;
pub use local::{
    Change, DepartureOutcome, Heartbeat, HeartbeatOutcome, LocalUpstream, CONFIRMATION_US,
};
pub use record::{Instance, Record, State, Version};
pub use spread::{
    can_wait, compare, contacts, far_contacts, is_passed_on, is_replaced, start_contacts,
    told_of_change, versions, Comparison, Versions, CONTACTS,
};
