//! Positions in the store's history.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Number of times that the store was restored from an older copy, as the store counts it.
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

/// A position in the store's history. Positions of different eras have no order in time: both eras may
/// begin with the same changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Position {
    /// The era, if the store reports one.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub era: Option<Era>,
    /// The revision within the era.
    #[serde(rename = "r", default)]
    pub revision: u64,
}

impl Position {
    /// Whether this is the default value, which means that no position is known.
    pub fn is_none(&self) -> bool {
        *self == Position::default()
    }

    /// Whether content read at this position takes precedence over content with the same number that was
    /// read at `other`. Operators rewrite what a restore has lost, and the new content may
    /// differ.
    pub fn supersedes(&self, other: &Position) -> bool {
        (self.era, self.revision) > (other.era, other.revision)
    }
}
