//! Places in the store's history.

use serde::{Deserialize, Serialize};
use std::fmt;

/// How often the store has come back from an older copy, as it counts itself.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A place in the store's history. Two places of different eras have no order in time: both eras may begin with the
/// same changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Position {
    /// The era; none where the store tells none.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub era: Option<Era>,
    /// The revision within it.
    #[serde(rename = "r", default)]
    pub revision: u64,
}

impl Position {
    /// Whether this is the default: no place at all.
    pub fn is_none(&self) -> bool {
        *self == Position::default()
    }

    /// Whether what was read here goes before what was read at `other`, where both have the same number: operators
    /// write again what a return has lost, and need not write the same.
    pub fn supersedes(&self, other: &Position) -> bool {
        (self.era, self.revision) > (other.era, other.revision)
    }
}
