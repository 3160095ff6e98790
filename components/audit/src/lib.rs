//! What a node reports for operators: a log line for each decision that affects a request or
//! changes the node's state, and counters and histograms.
//!
//! The lines that load may multiply are limited per second and kind. Suppressed lines are counted,
//! and their number is logged with the next line of the kind. `docs/OPERATIONS.md` explains the
//! lines.

mod buffers;
mod containment;
mod declarations;
mod limit;
mod notices;
mod purpose;
mod registrations;
mod requests;
mod startup_records;
pub mod stats;
mod stop;
mod store;

pub use buffers::{connection_closed, port_connection_closed, request_refused_for_memory};
pub use containment::{
    release_requested, request_cleared, request_quarantined, suspect_recorded, upstream_terminated,
};
pub use declarations::{
    declarations_sent, peer_has_newer, revision_in_force, revision_received, Origin,
};
pub use notices::{bad_notice, drain_advertised, request_limit};
pub use purpose::Purpose;
pub use registrations::{
    departure_elsewhere, departure_restored, implausible_record, own_record_changed,
    peer_record_offered, record_conflict, report_not_stored, upstream_departing, upstream_found,
    upstream_registered, upstream_still_answers, wrong_upstream,
};
pub use requests::{
    attempt_decided, call_ended, caller_changed, cold_state_changed, hedge_decided, no_route,
    offer_misdirected, over_limit, probe_failed, request_denied, request_offered, request_routed,
    straggler_detected, AttemptDecision, Routed,
};
pub use startup_records::{StartupCount, StartupRecords};
pub use stop::{stop_interrupts, stop_refuses, Unfinished};
pub use store::{
    declarations_read, halls_evacuated, object_unreadable, platform_called, records_listed,
    store_has_older_version, store_restored, vm_suspended,
};
