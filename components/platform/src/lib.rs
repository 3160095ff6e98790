//! Client of the platform's object API: versions, conditional updates, watches and the list of VMs.
//!
//! The API, as documented by the platform: `GET /v1/objects/KEY` returns the value, with its version
//! in the header `Object-Version`; with `?after=V&wait_ms=T` it waits for a later version (304 if
//! there is none in time). `PUT` with `If-Match: V` or `If-None-Match: *` is conditional (412 if the
//! condition does not hold). `GET /v1/vms` returns the list as JSON, with the same two parameters.

mod client;
mod store;

pub use client::{Client, Object, WriteOutcome};
pub use store::{
    Adapter, Consistency, Listing, PutOutcome, Registration, Store, StoreCall, StoredObject,
    TranslatedDeclarations, WatchOutcome,
};
