//! Eras of the platform's store, and which state of a node remains valid when the store is restored
//! from an older copy.
//!
//! The store counts its restores and reports the count with every answer ([`Era`]). After a restore it
//! assigns the same revisions again, so a position in its history consists of an era and a revision
//! ([`Position`]). [`Eras`] decides what remains valid when a later era becomes known, and when this
//! node offers its record to the store again.

mod duty;
mod place;

pub use duty::{EraOrder, Eras, LATE_WRITE_US, OFFER_SPREAD_US};
pub use place::{Era, Position};
