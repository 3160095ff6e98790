//! The state machine of one node.

use era::Position;
use names::{Moment, Name, SECOND};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// After the store came back from an older copy, operators write again what it lost. A hall that was evacuated before
/// stays so for this time, in microseconds: otherwise its upstreams got work between the loss and the second writing.
pub const RESTORE_GRACE_US: u64 = 5 * SECOND;

/// The halls that are evacuated, as nodes tell one another.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Evacuated {
    /// Up to where in the store's history this is known.
    #[serde(rename = "w")]
    pub as_of: Position,
    /// The halls.
    #[serde(rename = "h", default, skip_serializing_if = "BTreeSet::is_empty")]
    pub halls: BTreeSet<Name>,
}

/// What one node knows of evacuations.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    /// None before anything was read or told.
    known: Option<Evacuated>,
    /// Halls that a return of the store has lost, and until when they stay evacuated all the same.
    kept: BTreeMap<Name, Moment>,
}

impl Evacuations {
    /// What this node knows, for others; none before it knows anything.
    pub fn known(&self) -> Option<&Evacuated> {
        self.known.as_ref()
    }

    /// Up to where the store was read.
    pub fn as_of(&self) -> Option<Position> {
        self.known.as_ref().map(|known| known.as_of)
    }

    /// The halls that get no new work now.
    pub fn halls(&self, now: Moment) -> BTreeSet<Name> {
        let known = self.known.iter().flat_map(|known| known.halls.iter());
        let kept = self.kept.iter().filter(|(_, until)| **until > now);
        known.chain(kept.map(|(hall, _)| hall)).cloned().collect()
    }

    /// Whether a hall gets no new work now.
    pub fn is_evacuated(&self, now: Moment, hall: &Name) -> bool {
        let is_known = |known: &Evacuated| known.halls.contains(hall);
        let is_kept = self.kept.get(hall).is_some_and(|until| *until > now);
        is_kept || self.known.as_ref().is_some_and(is_known)
    }

    /// Takes in all that the store held at `as_of`, as read here or told by another node. Returns whether other halls get
    /// no new work by that; what is older than what is known changes nothing.
    pub fn apply(&mut self, now: Moment, told: Evacuated) -> bool {
        let before = self.halls(now);
        match &self.known {
            Some(known) if !told.as_of.supersedes(&known.as_of) => return false,
            Some(known) if told.as_of.era != known.as_of.era => {
                let lost = known.halls.difference(&told.halls).cloned();
                let until = now + RESTORE_GRACE_US;
                self.kept.extend(lost.map(|hall| (hall, until)));
            }
            _ => {}
        }
        // What is written again holds by that, until it is taken back.
        self.kept
            .retain(|hall, until| *until > now && !told.halls.contains(hall));
        self.known = Some(told);
        self.halls(now) != before
    }

    /// Takes in what has changed since the place up to which the store was read. Returns whether other halls get no new
    /// work by that.
    pub fn apply_changes(
        &mut self,
        now: Moment,
        as_of: Position,
        evacuated: impl IntoIterator<Item = Name>,
        taken_back: &[Name],
    ) -> bool {
        let mut halls = self
            .known
            .as_ref()
            .map(|known| known.halls.clone())
            .unwrap_or_default();
        halls.extend(evacuated);
        halls.retain(|hall| !taken_back.contains(hall));
        self.apply(now, Evacuated { as_of, halls })
    }

    /// Whether the other node knows another set of halls, and an older one.
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
