//! Data halls whose upstreams get no new work, because operators say so.
//!
//! Operators evacuate a hall in the platform's store and take it back there; nodes that watch the store tell the
//! others. [`Evacuated`] is what they tell: the halls, and the place in the store's history up to which that is known.
//! [`Evacuations`] decides what of it holds here.

mod duty;

pub use duty::{Evacuated, Evacuations, RESTORE_GRACE_US};
