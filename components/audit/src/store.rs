//! Log lines about the platform's store: calls to it, what was read from it, and its restores from
//! older copies.

use crate::limit::{allowed, Kind};
use crate::purpose::Purpose;
use era::{Era, Position};
use errors::Error;
use names::{Name, MILLISECOND};
use platform::StoredObject;
use std::collections::BTreeSet;

/// The platform's store was restored from an older copy after the era `before`, as one of its
/// answers or the node `from` reported. The declarations had been read up to `position`; this
/// node's record is written again in `offer_in_us`.
pub fn store_restored(
    before: Era,
    era: Era,
    from: Option<&Name>,
    position: Option<Position>,
    offer_in_us: u64,
) {
    tracing::info!(
        before = before.0,
        era = era.0,
        told_by = from.map_or("the store", Name::as_str),
        read_up_to = position.map(|position| position.revision),
        offer_in_ms = offer_in_us / MILLISECOND,
        "the store was restored from an older copy"
    );
}

/// The set of evacuated data halls changed, as the store or the node `from` reported; it is known
/// up to `as_of`.
pub fn halls_evacuated(halls: &BTreeSet<Name>, as_of: Option<Position>, from: Option<&Name>) {
    let names: Vec<&str> = halls.iter().map(Name::as_str).collect();
    tracing::info!(
        halls = names.join(" "),
        revision = as_of.map(|as_of| as_of.revision),
        told_by = from.map_or("the store", Name::as_str),
        "the evacuated halls have changed"
    );
}

/// The store has an older version of the declarations than the one in force here: it was restored
/// from an older copy, or its answer is stale.
pub fn store_has_older_version(version: u64, in_force: u64, era: Option<Era>) {
    if allowed(Kind::Declarations) {
        tracing::info!(
            version,
            in_force,
            era = era.map(|era| era.0),
            "the store has an older version; the revision in force is kept"
        );
    }
}

/// The VM was suspended and has resumed. All earlier information has aged by that time, and
/// deadlines have passed.
pub fn vm_suspended(us: u64) {
    tracing::warn!(for_ms = us / 1_000, "the VM was suspended");
}

/// The nodes' records were read from the store.
pub fn records_listed(count: usize, at: Position) {
    tracing::info!(
        count,
        at = at.revision,
        era = at.era.map(|era| era.0),
        "the nodes' records were listed"
    );
}

/// The operators' declarations were read from the store; translating them into this product's form
/// took `translate_us`.
pub fn declarations_read(version: u64, object: &StoredObject, translate_us: u64) {
    tracing::info!(
        version,
        store_revision = object.revision,
        bytes = object.value.len(),
        translate_ms = translate_us / 1_000,
        "declarations read from the store"
    );
}

/// An object from the store is invalid; the state in force is kept.
pub fn object_unreadable(object: &StoredObject, error: &Error) {
    if allowed(Kind::Declarations) {
        tracing::warn!(
            name = %object.name,
            store_revision = object.revision,
            bytes = object.value.len(),
            %error,
            "invalid object in the store"
        );
    }
}

/// A call to the platform ended.
pub fn platform_called(purpose: Purpose, took_us: u64, error: Option<&Error>) {
    if allowed(Kind::Platform) {
        let took_ms = took_us / 1_000;
        let error = error.map_or_else(|| "-".to_string(), Error::to_string);
        tracing::info!(
            purpose = purpose.as_str(),
            took_ms,
            error,
            "the platform was called"
        );
    }
}
