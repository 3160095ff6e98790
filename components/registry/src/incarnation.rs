//! One start of an upstream.

use names::Name;
use serde::{Deserialize, Serialize};

/// One start of an upstream: another start under the same identity holds and knows nothing of this one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incarnation {
    /// Identity, which the next start may have again.
    pub id: Name,
    /// When it started, in ms since 1970 by its own clock; none if its platform doesn't say.
    pub born_ms: Option<u64>,
}

impl Incarnation {
    /// Whether this is the start `other`, as far as is known: one that doesn't say when it started is told apart
    /// by its identity alone.
    pub fn matches(&self, other: &Incarnation) -> bool {
        let same_start = match (self.born_ms, other.born_ms) {
            (Some(mine), Some(theirs)) => mine == theirs,
            _ => true,
        };
        self.id == other.id && same_start
    }

    /// Whether this says that it started before `other`. A clock that was set back between two starts makes the
    /// later one say so as well.
    pub fn claims_to_precede(&self, other: &Incarnation) -> bool {
        match (self.born_ms, other.born_ms) {
            (Some(mine), Some(theirs)) => mine < theirs,
            _ => false,
        }
    }
}
