//! Client of the platform's object API: versions, conditional updates, watches and the list of VMs.
//!
//! The API, as the platform publishes it: `GET /v1/objects/KEY` answers the value with its version
//! in the header `Object-Version`, and with `?after=V&wait_ms=T` waits for a later version (304
//! when none came). `PUT` with `If-Match: V` or `If-None-Match: *` is conditional (412 when the
//! condition does not hold). `GET /v1/vms` gives the list as JSON, with the same two parameters.

mod client;
mod store;

pub use client::{Client, Object, WriteOutcome};
pub use store::{
    Adapter, Consistency, Listing, PutOutcome, Registration, Store, StoreCall, StoredObject,
    TranslatedDeclarations, WatchOutcome,
};
