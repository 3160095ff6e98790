//! Distributes accepted declarations to all nodes and puts them in force there. A node never goes
//! back to an earlier revision.
//!
//! [`Head`] is the small object that names the revision in force; the chain of heads is the audit
//! trail. [`Rollout`] tracks and checks the revisions of one node, [`Fetch`] decides from whom a node
//! fetches a newer revision, and [`Apply`] carries out an operator's change. All three are state
//! machines without I/O.

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
