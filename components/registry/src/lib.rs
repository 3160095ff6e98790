//! Upstreams that register themselves: what the node beside one learns, and what all nodes know.
//!
//! An upstream tells the node beside it of every run of its own ([`Local`]). Each node keeps one
//! [`Record`] of itself and its upstream, which it alone writes and tells the others ([`Fleet`]).

mod digest;
mod fleet;
mod local;
mod record;
mod spread;

pub use digest::{BucketSet, Digests, BUCKETS};
pub use fleet::{Fleet, Merged};
pub use local::{Change, Heartbeat, Local, Verdict};
pub use record::{Instance, Record, State, Version};
pub use spread::{
    compare, contacts, far_contacts, is_passed_on, told_of_change, versions, Comparison, Versions,
    CONTACTS,
};
