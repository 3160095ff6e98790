//! Registration of upstreams: what a node learns about its local upstream and about the other nodes.
//!
//! An upstream registers with its local node and repeats the registration periodically
//! ([`LocalUpstream`]). Each node maintains one [`Record`] that describes itself and its upstream.
//! Only the node itself writes this record, and it distributes the record to all other nodes
//! ([`Fleet`]).

mod beside;
mod digest;
mod fleet;
mod incarnation;
mod local;
mod misdirected;
mod record;
mod spread;

pub use beside::{ConfiguredUpstream, Declared, LocalService, Mismatch, Origin};
pub use digest::{BucketSet, Digests, BUCKETS};
pub use fleet::{Fleet, MergeOutcome};
pub use incarnation::Incarnation;
pub use local::{
    Change, DepartureOutcome, Heartbeat, HeartbeatOutcome, LocalUpstream, CONFIRMATION_US,
};
pub use misdirected::Misdirection;
pub use record::{Departed, Instance, Record, State, StoredRecord, Version};
pub use spread::{
    announcement_targets, can_defer, compare, contacts, cross_hall_contacts, is_replaced,
    should_forward, start_contacts, versions, Comparison, Versions, CONTACTS_PER_HALL,
};
