//! The store of a platform whose nodes register: objects by kind and name, with revisions,
//! conditional writes and watches. An adapter speaks the platform's own words behind it.

use declarations::Bundle;
use era::{Era, Position};
use errors::Result;
use names::Name;
use registry::{Heartbeat, Incarnation};
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

/// The end of a call to the store.
pub type StoreCall<'a, T> = Pin<Box<dyn Future<Output = Result<T>> + 'a>>;

/// An object as it stands in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredObject {
    /// Its name within its kind.
    pub name: Name,
    /// Revision of its last change.
    pub revision: u64,
    /// Its value.
    pub value: Vec<u8>,
}

/// How new an answer has to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// As of now.
    Latest,
    /// It may be seconds old, and costs the platform less: for what other nodes put right. A watch must
    /// not begin at its revision.
    MayLag,
}

/// All objects of a kind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Where the store stood when they were listed.
    pub at: Position,
    /// The objects.
    pub objects: Vec<StoredObject>,
}

/// What came of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchOutcome {
    /// Changes, in their order; none when the wait is over.
    Changes {
        /// Where the next watch begins.
        at: Position,
        /// Objects that were written.
        changed: Vec<StoredObject>,
        /// Objects that were there and are no more.
        removed: Vec<Name>,
    },
    /// The store no longer knows what changed since; all objects have to be listed again.
    HistoryLost,
}

/// What came of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PutOutcome {
    /// It took effect, at this place.
    Written(Position),
    /// The condition did not hold: the object as it stands, or none when it doesn't exist.
    Conflict(Option<StoredObject>),
}

/// A store. Every call has a time limit of its own, and fails if its answer is of an earlier era than is known.
pub trait Store {
    /// Lists all objects of a kind.
    fn list<'a>(&'a self, kind: &'a str, consistency: Consistency) -> StoreCall<'a, Listing>;
    /// Waits up to `wait` for changes of a kind after the revision `after`.
    fn watch<'a>(
        &'a self,
        kind: &'a str,
        after: u64,
        wait: Duration,
    ) -> StoreCall<'a, WatchOutcome>;
    /// Creates an object (`revision` none), or replaces the one that has `revision`.
    fn put<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        revision: Option<u64>,
        value: &'a [u8],
    ) -> StoreCall<'a, PutOutcome>;
    /// Removes an object.
    fn remove<'a>(&'a self, kind: &'a str, name: &'a str) -> StoreCall<'a, ()>;
    /// The highest era that an answer or another node told of; none where the store tells none.
    fn era(&self) -> Option<Era>;
    /// Another node told of `era`: answers of an earlier one are errors from now on.
    fn observe_era(&self, era: Era);
    /// Calls made so far.
    fn calls(&self) -> u64;
    /// Answers of which a part has come, and the end has not.
    fn partial_answers(&self) -> u32;
    /// Whether one of them is about objects of a kind.
    fn has_partial_answer(&self, kind: &str) -> bool;
}

/// What an upstream tells the node beside it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Registration {
    /// It runs.
    Heartbeat(Heartbeat),
    /// This start ends soon.
    Departure(Incarnation),
}

/// Declarations as the platform's operators write them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TranslatedDeclarations {
    /// Rises with each change.
    pub version: u64,
    /// The same in this product's own form.
    pub bundle: Bundle,
}

/// Translates between a platform's words and the product's. Decides nothing.
pub trait Adapter {
    /// The platform's store.
    fn store(&self) -> &dyn Store;
    /// Kind and name of the object that holds the operators' declarations.
    fn declarations(&self) -> (&str, &str);
    /// Translates that object; an error names what is wrong with it.
    fn translate(&self, value: &[u8]) -> Result<TranslatedDeclarations>;
    /// Kind of the objects by which operators evacuate data halls; each is named as its hall.
    fn evacuation_kind(&self) -> &str;
    /// Kind of the objects in which nodes keep their records.
    fn record_kind(&self) -> &str;
    /// Reads what an upstream sent to its node; an error names what is wrong with it.
    fn registration(&self, method: &str, target: &str, body: &[u8]) -> Result<Registration>;
}
