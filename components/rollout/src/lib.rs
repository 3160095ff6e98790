//! Rollout: bringing an accepted set of declarations into force on every node, and never going
//! back to an earlier one.
//!
//! [`Head`] is the small object that names the revision in force; its chain is the audit trail.
//! [`Rollout`] is a node's side, [`Fetch`] says whom it asks for what it lacks, [`Apply`] is an operator's.
//! All are pure state machines.

mod apply;
mod diff;
mod fetch;
mod head;
mod made;
mod node;
mod recent;

pub use apply::{Apply, ApplyAction, ApplyEvent, ApplyOutcome, Plan};
pub use diff::diff;
pub use fetch::{
    Advice, Fetch, LocalState, FETCH_TIMEOUT_US, LARGE_BYTES, SMALL_FETCH_TIMEOUT_US,
    SMALL_STORE_WAIT_US, STORE_WAIT_US,
};
pub use head::{
    content_key, digest, split, split_sections, Change, Digest, FileRef, Head, HEAD_KEY,
    MAX_OBJECT_BYTES,
};
pub use made::UncheckedRevision;
pub use node::{Configuration, InForce, Offered, RevisionCheck, Rollout, RolloutCounters, Summary};
