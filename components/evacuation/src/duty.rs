//! State machine of one node.

use era::Position;
use names::{Moment, Name, SECOND};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// How long an evacuation that a restore of the store has lost stays in effect, in microseconds. Operators
/// rewrite what a restore has lost; without this time the hall's upstreams would get work until then.
pub const RESTORE_GRACE_US: u64 = 5 * SECOND;

/// The evacuated halls, as nodes exchange them.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Evacuated {
    /// Position in the store's history up to which this is known.
    #[serde(rename = "w")]
    pub as_of: Position,
    #[serde(rename = "h", default, skip_serializing_if = "BTreeSet::is_empty")]
    pub halls: BTreeSet<Name>,
}

/// The evacuations that one node knows.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    /// None until the store was read or another node reported something.
    known: Option<Evacuated>,
    /// Halls whose evacuation a restore of the store has lost, and until when they stay evacuated.
    retained: BTreeMap<Name, Moment>,
}

impl Evacuations {
    /// The state to send to other nodes. None if nothing is known yet.
    pub fn known(&self) -> Option<&Evacuated> {
        self.known.as_ref()
    }

    /// Position up to which the store was read.
    pub fn as_of(&self) -> Option<Position> {
        self.known.as_ref().map(|known| known.as_of)
    }

    /// The halls that get no new work at present.
    pub fn halls(&self, now: Moment) -> BTreeSet<Name> {
        let known = self.known.iter().flat_map(|known| known.halls.iter());
        let retained = self.retained.iter().filter(|(_, until)| **until > now);
        known
            .chain(retained.map(|(hall, _)| hall))
            .cloned()
            .collect()
    }

    /// Whether a hall gets no new work at present.
    pub fn is_evacuated(&self, now: Moment, hall: &Name) -> bool {
        let is_known = |known: &Evacuated| known.halls.contains(hall);
        let is_retained = self.retained.get(hall).is_some_and(|until| *until > now);
        is_retained || self.known.as_ref().is_some_and(is_known)
    }

    /// Applies the complete set of evacuations at a position, as read from the store or reported by another
    /// node. A set older than the known one is ignored. Returns whether the evacuated halls changed.
    pub fn apply(&mut self, now: Moment, reported: Evacuated) -> bool {
        let before = self.halls(now);
        match &self.known {
            Some(known) if !reported.as_of.supersedes(&known.as_of) => return false,
            Some(known) if reported.as_of.era != known.as_of.era => {
                let lost = known.halls.difference(&reported.halls).cloned();
                let until = now + RESTORE_GRACE_US;
                self.retained.extend(lost.map(|hall| (hall, until)));
            }
            _ => {}
        }
        // An evacuation that operators have rewritten no longer needs the grace period.
        self.retained
            .retain(|hall, until| *until > now && !reported.halls.contains(hall));
        self.known = Some(reported);
        self.halls(now) != before
    }

    /// Applies the changes since the position up to which the store was read. Returns whether the evacuated
    /// halls changed.
    pub fn apply_changes(
        &mut self,
        now: Moment,
        as_of: Position,
        evacuated: impl IntoIterator<Item = Name>,
        lifted: &[Name],
    ) -> bool {
        let mut halls = self
            .known
            .as_ref()
            .map(|known| known.halls.clone())
            .unwrap_or_default();
        halls.extend(evacuated);
        halls.retain(|hall| !lifted.contains(hall));
        self.apply(now, Evacuated { as_of, halls })
    }

    /// Whether the other node knows a different and older set of halls.
    pub fn is_newer_than(&self, theirs: Option<&Evacuated>) -> bool {
        let Some(known) = &self.known else {
            return false;
        };
        match theirs {
            None => !known.halls.is_empty(),
            Some(theirs) => known.halls != theirs.halls && known.as_of.supersedes(&theirs.as_of),
        }
    }
}
