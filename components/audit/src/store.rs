//! Lines of the platform's store: calls to it, what was read there, and its returns from older copies.

use crate::limit::{allowed, Kind};
use crate::purpose::Purpose;
use era::{Era, Position};
use errors::Error;
use names::{Name, MILLISECOND};
use platform::StoredObject;
use std::collections::BTreeSet;

/// The platform's store came back from an older copy since the era `before`, as its answer or `from` told. The
/// declarations had been read up to `place`; this node's record is offered again in `offer_in_us`.
pub fn store_restored(
    before: Era,
    era: Era,
    from: Option<&Name>,
    place: Option<Position>,
    offer_in_us: u64,
) {
    tracing::info!(
        before = before.0,
        era = era.0,
        told_by = from.map_or("the store", Name::as_str),
        read_up_to = place.map(|place| place.revision),
        offer_in_ms = offer_in_us / MILLISECOND,
        "the store came back from an older copy"
    );
}

/// Other halls are evacuated than before, as the store or `from` told; known up to `as_of`.
pub fn halls_evacuated(halls: &BTreeSet<Name>, as_of: Option<Position>, from: Option<&Name>) {
    let names: Vec<&str> = halls.iter().map(Name::as_str).collect();
    tracing::info!(
        halls = names.join(" "),
        revision = as_of.map(|as_of| as_of.revision),
        told_by = from.map_or("the store", Name::as_str),
        "the evacuated halls have changed"
    );
}

/// The store holds an older version of the declarations than is in force here: it came back from an older copy, or
/// its answer lags.
pub fn store_has_older_version(version: u64, in_force: u64, era: Option<Era>) {
    if allowed(Kind::Declarations) {
        tracing::info!(
            version,
            in_force,
            era = era.map(|era| era.0),
            "the store holds an older version; what is in force stays"
        );
    }
}

/// The VM was suspended, and is back. What was known before is older by that time, and deadlines have passed.
pub fn vm_suspended(us: u64) {
    tracing::warn!(for_ms = us / 1_000, "the VM was suspended");
}

/// The records in the store were read.
pub fn records_listed(count: usize, at: Position) {
    tracing::info!(
        count,
        at = at.revision,
        era = at.era.map(|era| era.0),
        "the nodes' records were listed"
    );
}

/// The operators' declarations were read from the store; reading them into this product's form took
/// `translate_us`.
pub fn declarations_read(version: u64, object: &StoredObject, translate_us: u64) {
    tracing::info!(
        version,
        store_revision = object.revision,
        bytes = object.value.len(),
        translate_ms = translate_us / 1_000,
        "declarations read from the store"
    );
}

/// An object of the store could not be read; what is in force stays.
pub fn object_unreadable(object: &StoredObject, error: &Error) {
    if allowed(Kind::Declarations) {
        tracing::warn!(
            name = %object.name,
            store_revision = object.revision,
            bytes = object.value.len(),
            %error,
            "an object in the store can't be read"
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
