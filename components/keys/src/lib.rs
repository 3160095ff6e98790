//! Idempotency keys: a request that may not be repeated runs at most once per key.
//!
//! Each key of a service has a coordinator: the first in a ranking of the service's declared
//! upstreams by rendezvous hashing. Its node makes the attempts and records the key ([`KeyTable`]).
//! A coordinator never runs its keys on its local upstream, and the local node of the upstream that
//! runs one records it as well ([`Claims`]), so the failure of one VM loses no key. While the first
//! in the ranking can't be reached, the next may act as coordinator once the node of every other
//! upstream has granted it the key. See `docs/DESIGN.md`.

mod claims;
mod rank;
mod standing;
mod table;

pub use claims::{ClaimReply, Claims};
pub use rank::ranked;
pub use standing::{combine_replies, CoordinatorView};
pub use table::{
    KeyAction, KeyHash, KeyOutcome, KeyTable, KEY_RETENTION_US, KEY_WINDOW_US, MAX_KEY_DEADLINE_US,
};
