//! Idempotency keys: a request that may not be repeated runs at most once for each key.
//!
//! Each key of a service has a coordinator, the first in a ranking of the service's declared
//! upstreams by rendezvous hashing: its node makes the attempts and remembers the key
//! ([`KeyTable`]). A coordinator never runs its own keys on its own upstream, and the node beside the
//! upstream that does run one remembers it too ([`Claims`]), so the failure of one VM loses no key.
//! While the first in the ranking can't be reached, the next may act, once every other upstream's
//! node has granted it the key. See `docs/DESIGN.md`.

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
