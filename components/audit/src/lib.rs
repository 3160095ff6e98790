//! What a node tells of itself: a line for each decision that touches a request or changes what the process believes,
//! and counters and histograms.
//!
//! Every kind of line is bounded in each second; what was left out is told with the next line of the kind and counted.
//! `docs/OPERATIONS.md` reads these lines.

mod containment;
mod declarations;
mod limit;
mod notices;
mod purpose;
mod registrations;
mod requests;
mod startup_records;
pub mod stats;
mod store;

pub use containment::{cleared, held, released, suspected, upstream_ended};
pub use declarations::{declarations_sent, in_force, newer_there, revision_came, Origin};
pub use notices::{bad_notice, leaving_noticed, request_limit};
pub use purpose::Purpose;
pub use registrations::{
    differs, found, leaves, not_beside, own_record, registered, still_stands, stored_for,
    unreachable,
};
pub use requests::{
    barred, call_ended, caller_changed, cold, hedged, home, look_failed, no_route, offered,
    over_limit, routed, straggles, Routed,
};
pub use startup_records::{StartupCount, StartupRecords};
pub use store::{
    copy_is_older, declarations_read, halls_evacuated, listed, platform_called, store_came_back,
    suspended, unreadable,
};
