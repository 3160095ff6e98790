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
pub use fleet::{Fleet, MergeOutcome};
pub use incarnation::Incarnation;
pub use local::{
    Change, DepartureOutcome, Heartbeat, HeartbeatOutcome, LocalUpstream, CONFIRMATION_US,
};
pub use record::{Instance, Record, State, Version};
pub use spread::{
    announcement_targets, can_defer, compare, contacts, cross_hall_contacts, is_replaced,
    should_forward, start_contacts, versions, Comparison, Versions, CONTACTS_PER_HALL,
};
