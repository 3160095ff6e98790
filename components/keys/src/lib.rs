//! Idempotency keys: a request that may not be repeated runs at most once for each key.
//!
//! Each key of a service has one owner among the service's declared upstreams, found by rendezvous
//! hashing. The owner's node keeps the key's record and makes the attempts. An owner that can't
//! know whether a key was used, because its predecessor died, answers "unknown" for the key window
//! and never runs the request.

mod owner;
mod table;

pub use owner::owner;
pub use table::{Begin, End, KeyHash, Table, KEY_WINDOW_US};
