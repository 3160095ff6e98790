//! State machine of one node.

use crate::place::{Era, Position};
use names::{Moment, MILLISECOND, SECOND};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Time over which the nodes spread the offers of their records after a restore, in microseconds. It is
/// half of the 2 s within which the store must hold all records again; the other half allows for one
/// failed call, and for a node that has another one write its record.
pub const OFFER_SPREAD_US: u64 = SECOND;
/// An unanswered write may still take effect within this time, in microseconds: the platform's store
/// applies writes up to 6 s late.
pub const LATE_WRITE_US: u64 = 8 * SECOND;
/// Additional delay of the offer that follows such a write, in microseconds.
const AFTER_LATE_WRITE_US: u64 = 100 * MILLISECOND;

/// How a reported era compares with the highest one that the node knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraOrder {
    /// It is the known era.
    Same,
    /// It has ended: data that was reported with it is out of date.
    Earlier,
    /// It is the first one that this node knows, so nothing that the node holds belongs to another.
    First,
    /// The store was restored since `from`.
    Later {
        /// The previously known era.
        from: Era,
    },
}

/// The store's era as one node knows it, and the pending offer of the node's record to the store.
#[derive(Debug, Clone)]
pub struct Eras {
    known: Option<Era>,
    /// Position up to which the declarations were read.
    read: Option<Position>,
    /// When this node offers its record next.
    offer_at: Option<Moment>,
    /// Until when an unanswered write may still take effect.
    late_write_until: Option<Moment>,
    rng: SmallRng,
}

impl Eras {
    /// The state of a node that has just started. `seed` determines how offers are spread.
    pub fn new(seed: u64) -> Eras {
        Eras {
            known: None,
            read: None,
            offer_at: None,
            late_write_until: None,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// The highest known era. None if the store reports no era.
    pub fn known(&self) -> Option<Era> {
        self.known
    }

    /// Handles an era that the store or another node reported.
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
        let delay_us = self.rng.random_range(0..=OFFER_SPREAD_US);
        self.offer_at = Some(now + delay_us);
        EraOrder::Later { from: known }
    }

    /// Records that the declarations were read up to `at`. Ignored if `at` belongs to another era.
    pub fn read_up_to(&mut self, at: Position) {
        if at.era != self.known {
            return;
        }
        let before = self.read.filter(|before| before.era == at.era);
        if before.is_none_or(|before| before.revision < at.revision) {
            self.read = Some(at);
        }
    }

    /// Discards the position, because the history is no longer known.
    pub fn forget_position(&mut self) {
        self.read = None;
    }

    /// Position up to which the declarations were read in the current era.
    pub fn position(&self) -> Option<Position> {
        self.read.filter(|read| read.era == self.known)
    }

    /// Whether `era` is the current one.
    pub fn is_current(&self, era: Option<Era>) -> bool {
        era == self.known
    }

    /// When this node offers its record to the store again. None if no offer is pending.
    pub fn offer_at(&self) -> Option<Moment> {
        self.offer_at
    }

    /// Records that the store holds the node's record in `era`. If an earlier unanswered write may still
    /// overwrite it, the record is offered once more after that.
    pub fn record_stored(&mut self, now: Moment, era: Option<Era>) {
        if era != self.known {
            return;
        }
        let late_write = self.late_write_until.take().filter(|until| *until > now);
        self.offer_at = match self.offer_at {
            Some(_) => late_write.map(|until| until + AFTER_LATE_WRITE_US),
            None => None,
        };
    }

    /// Records that a write of the node's record was not answered.
    pub fn write_unanswered(&mut self, now: Moment) {
        self.late_write_until = Some(now + LATE_WRITE_US);
    }
}
