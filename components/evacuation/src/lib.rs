//! Data halls whose upstreams get no new work because operators evacuated the hall.
//!
//! Operators evacuate a hall in the platform's store and lift the evacuation there. Nodes that watch the
//! store notify the others with [`Evacuated`]: the evacuated halls, and the position in the store's
//! history up to which this is known. [`Evacuations`] decides which evacuations apply at this node.

mod duty;

pub use duty::{Evacuated, Evacuations, RESTORE_GRACE_US};
