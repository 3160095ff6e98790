//! The state machine of one node.

use crate::place::{Era, Position};
use names::{Moment, MILLISECOND, SECOND};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Time over which all nodes offer their records after a return, in microseconds: half of the two seconds within which
/// the records must stand again; the rest is for one failed call, and for a node that asks another one.
pub const OFFER_SPREAD_US: u64 = SECOND;
/// A write that got no answer may still be done for so long, in microseconds: the users' store does so up to 6 s later.
pub const LATE_WRITE_US: u64 = 8 * SECOND;
/// The offer that follows such a write waits so much longer, in microseconds.
const AFTER_LATE_WRITE_US: u64 = 100 * MILLISECOND;

/// What an era that was told is to this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraOrder {
    /// Known.
    Same,
    /// Over: whatever came with it says nothing of the present.
    Earlier,
    /// The first one that this node hears of: nothing that it holds is of another.
    First,
    /// The store came back since `from`.
    Later {
        /// The era known before.
        from: Era,
    },
}

/// What a node knows of the store's era, and what it owes the store since the last return.
#[derive(Debug, Clone)]
pub struct Eras {
    known: Option<Era>,
    /// Up to which the declarations were read.
    read: Option<Position>,
    /// When this node offers its record again.
    offer_at: Option<Moment>,
    /// Until when a write without an answer may still be done.
    in_doubt_until: Option<Moment>,
    rng: SmallRng,
}

impl Eras {
    /// A node that has just started.
    pub fn new(seed: u64) -> Eras {
        Eras {
            known: None,
            read: None,
            offer_at: None,
            in_doubt_until: None,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// The highest era that is known; none where the store tells none.
    pub fn known(&self) -> Option<Era> {
        self.known
    }

    /// Takes in that the store, or another node, told of `era`.
    pub fn observe(&mut self, now: Moment, era: Era) -> EraOrder {
        let Some(known) = self.known else {
            self.known = Some(era);
            return EraOrder::First;
        };
        if era < known {
            return EraOrder::Earlier;
        }
        if era == known {
            return EraOrder::Same;
        }
        self.known = Some(era);
        self.read = None;
        let pause_us = self.rng.random_range(0..=OFFER_SPREAD_US);
        self.offer_at = Some(now + pause_us);
        EraOrder::Later { from: known }
    }

    /// The declarations were read up to `at`. A place of another era says nothing.
    pub fn read_up_to(&mut self, at: Position) {
        if at.era != self.known {
            return;
        }
        let before = self.read.filter(|before| before.era == at.era);
        if before.is_none_or(|before| before.revision < at.revision) {
            self.read = Some(at);
        }
    }

    /// Nothing is known of the history any more.
    pub fn forget_position(&mut self) {
        self.read = None;
    }

    /// Up to which the declarations were read, in the present era.
    pub fn position(&self) -> Option<Position> {
        self.read.filter(|read| read.era == self.known)
    }

    /// Whether a word that belongs to `era` is of the present one.
    pub fn is_current(&self, era: Option<Era>) -> bool {
        era == self.known
    }

    /// When this node offers its record to the store again; none if it owes none.
    pub fn offer_at(&self) -> Option<Moment> {
        self.offer_at
    }

    /// The record stands in the store of `era`. If a write from before may still be done over it, it is offered once
    /// more after that.
    pub fn record_stored(&mut self, now: Moment, era: Option<Era>) {
        if era != self.known {
            return;
        }
        let in_doubt = self.in_doubt_until.take().filter(|until| *until > now);
        self.offer_at = match self.offer_at {
            Some(_) => in_doubt.map(|until| until + AFTER_LATE_WRITE_US),
            None => None,
        };
    }

    /// A write of the record got no answer.
    pub fn write_unanswered(&mut self, now: Moment) {
        self.in_doubt_until = Some(now + LATE_WRITE_US);
    }
}
