//! Eras of the platform's store: what its return from an older copy makes of what a node holds.
//!
//! The store counts its returns and tells the count with every answer ([`Era`]). Revisions are given out again after
//! one, so a place in its history is an era with a revision ([`Position`]). [`Eras`] decides what still holds once a later
//! era is known, and when this node offers its record to the store again.

mod duty;
mod place;

pub use duty::{EraOrder, Eras, LATE_WRITE_US, OFFER_SPREAD_US};
pub use place::{Era, Position};
