//! Watch: selects the nodes of a hall that query the platform for updates on behalf of the others.
//!
//! Two nodes of each hall hold a watch on the platform and send keep-alive notices to the others
//! several times a second ([`WatchNotice`]); nodes that receive them don't query the platform.
//! There is no election: a node that knows too few watchers becomes one after a random delay, and a
//! watcher stops when enough others precede it in the rendezvous ranking ([`Watch`]). A node that
//! receives no notices, because the watchers are gone or unreachable, queries the platform itself
//! within a fraction of the time within which a change must be in force ([`Timing`]).

mod duty;
mod first_read;
mod freshness;
mod postponed;
mod timing;
mod waiting;
mod word;

pub use duty::{Advice, Watch, WATCHERS_PER_HALL};
pub use first_read::{
    AllowedWork, FirstRead, ANSWER_TIMEOUT_US, CONTACT_DIALS, READ_TIMEOUT_US, STARTUP_WAIT_US,
};
pub use freshness::Freshness;
pub use postponed::{PostponedPeers, MAX_POSTPONED};
pub use timing::Timing;
pub use waiting::{WaitReservation, WaitingCallers, MAX_WAITING, MAX_WAITING_BYTES};
pub use word::WatchNotice;
