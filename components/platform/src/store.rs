//! The store of a platform on which nodes register: objects by kind and name, with revisions,
//! conditional writes and watches. An adapter implements it with the platform's own API.

use declarations::Bundle;
use era::{Era, Position};
use errors::Result;
use names::Name;
use registry::{Heartbeat, Incarnation};
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

/// The result of a call to the store.
pub type StoreCall<'a, T> = Pin<Box<dyn Future<Output = Result<T>> + 'a>>;

/// An object of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredObject {
    /// Its name within its kind.
    pub name: Name,
    /// Revision of its last change.
    pub revision: u64,
    /// Its value.
    pub value: Vec<u8>,
}

/// How recent an answer must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// The current state.
    Latest,
    /// The answer may be seconds old and costs the platform less. For state that other nodes correct.
    /// A watch must not start at the revision of such an answer.
    MayLag,
}

/// All objects of a kind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Position of the store at which they were listed.
    pub at: Position,
    /// The objects.
    pub objects: Vec<StoredObject>,
}

/// Outcome of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchOutcome {
    /// Changes, in their order; none when the wait is over.
    Changes {
        /// Position at which the next watch starts.
        at: Position,
        /// Objects that were written.
        changed: Vec<StoredObject>,
        /// Objects that were removed.
        removed: Vec<Name>,
    },
    /// The store no longer has the changes since that revision; all objects must be listed again.
    HistoryLost,
}

/// Outcome of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PutOutcome {
    /// It took effect, at this position.
    Written(Position),
    /// The condition did not hold; the current object, or none if it doesn't exist.
    Conflict(Option<StoredObject>),
}

/// A store. Every call has its own timeout, and fails if its answer is of an earlier era than the
/// known one.
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
    /// The highest era that an answer or another node has reported; none where the store reports
    /// none.
    fn era(&self) -> Option<Era>;
    /// Records an era that another node reported: answers of an earlier one are errors from now on.
    fn observe_era(&self, era: Era);
    /// Number of calls since the start.
    fn calls(&self) -> u64;
    /// Number of answers of which a part has been received, but not the end.
    fn partial_answers(&self) -> u32;
    /// Whether one of these answers is about objects of a kind.
    fn has_partial_answer(&self, kind: &str) -> bool;
}

/// What an upstream reports to its local node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Registration {
    /// The upstream is running.
    Heartbeat(Heartbeat),
    /// This incarnation is about to exit.
    Departure(Incarnation),
}

/// Declarations that the platform's operators have written, in translated form.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TranslatedDeclarations {
    /// Increases with each change.
    pub version: u64,
    /// The declarations in this product's form.
    pub bundle: Bundle,
}

/// Translates between a platform's formats and this product's. Makes no decisions.
pub trait Adapter {
    /// The platform's store.
    fn store(&self) -> &dyn Store;
    /// Kind and name of the object with the operators' declarations.
    fn declarations(&self) -> (&str, &str);
    /// Translates that object; the error describes what is invalid.
    fn translate(&self, value: &[u8]) -> Result<TranslatedDeclarations>;
    /// Kind of the objects by which operators evacuate data halls; each has the name of its hall.
    fn evacuation_kind(&self) -> &str;
    /// Kind of the objects in which nodes keep their records.
    fn record_kind(&self) -> &str;
    /// Parses what an upstream sent to its local node; the error describes what is invalid.
    fn registration(&self, method: &str, target: &str, body: &[u8]) -> Result<Registration>;
}
