//! Watch: which nodes ask the platform for news, on behalf of the others of their hall.
//!
//! Two nodes of each hall hold a watch on the platform and say so several times a second to the others,
//! which ask nothing as long as they hear that ([`WatchNotice`]). Who watches is not agreed: a node that hears of
//! too few watchers becomes one after a random time, and one that hears of enough better placed ones stops
//! ([`Watch`]). A node that hears nobody, because the watchers are gone or it is cut off from them, asks the
//! platform itself within a part of the time that a change may take ([`Timing`]).

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
