//! Identity of one run of an upstream.

use names::Name;
use serde::{Deserialize, Serialize};

/// Identifies one run of an upstream process. A later run may have the same `id`, but none of the
/// state of this one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incarnation {
    /// Identifier of the upstream. Later incarnations may have the same one.
    pub id: Name,
    /// Start time in ms since 1970 by the upstream's own clock; none if the platform does not
    /// report it.
    pub born_ms: Option<u64>,
}

impl Incarnation {
    /// Whether this is the incarnation `other`, as far as is known. The start times are compared
    /// only if both are known.
    pub fn matches(&self, other: &Incarnation) -> bool {
        let same_start = match (self.born_ms, other.born_ms) {
            (Some(mine), Some(theirs)) => mine == theirs,
            _ => true,
        };
        self.id == other.id && same_start
    }

    /// Whether this reports an earlier start time than `other`. The later incarnation reports one
    /// as well if the clock was set back between the two starts.
    pub fn claims_to_precede(&self, other: &Incarnation) -> bool {
        match (self.born_ms, other.born_ms) {
            (Some(mine), Some(theirs)) => mine < theirs,
            _ => false,
        }
    }
}
