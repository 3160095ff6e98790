//! What a node that has just started does before it has declarations in force.
//!
//! *Load pattern.* All nodes of a fleet start again at once under full traffic, each on a tenth of a core with a link of
//! 10 Mbit/s. Until declarations are in force a node refuses its callers, and connections to the whole hall, comparisons
//! and records took most of the processor time in between: 38 connections opened and as many taken in, 0.67 s to a revision
//! in force with 1,500 routes against 0.11 s with few.

use names::{Moment, MILLISECOND};

/// The store answers a first read within so long, in microseconds; later, some other nodes are asked as well.
pub const ANSWER_TIMEOUT_US: u64 = 100 * MILLISECOND;
/// Other work waits for the first read so long at most from the start, in microseconds: a set of 8,000 routes takes about
/// this long on a link of 10 Mbit/s.
pub const READ_TIMEOUT_US: u64 = 1_000 * MILLISECOND;
/// Connections that a node opens at the same time while it has no declarations: one contact that has them is enough, and
/// of four that start at the same time some may not.
pub const CONTACT_DIALS: usize = 4;

/// Callers of a node that has no declarations yet wait for them until this long after its start, in
/// microseconds: the store answers within 0.05 to 0.14 s. When all of 295 VMs had lost power, half of the
/// requests of the first half second were told to come back.
pub const STARTUP_WAIT_US: u64 = 250 * MILLISECOND;
/// While the declarations are being read, callers wait for them for so great a part of their time at most: what is left
/// is still enough for most runs.
const READ_WAIT_PART: u64 = 4;

/// Which work beside the first read is allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AllowedWork {
    /// None: the declarations are being read, or the store has had too little time to answer.
    Nothing,
    /// Connections to a few nodes: the store has not answered, and others may have declarations.
    Contacts,
    /// All.
    Everything,
}

/// The first read of the declarations.
#[derive(Debug, Clone, Copy)]
pub struct FirstRead {
    started: Moment,
    has_ended: bool,
}

impl FirstRead {
    /// A node that starts now.
    pub fn new(started: Moment) -> FirstRead {
        FirstRead {
            started,
            has_ended: false,
        }
    }

    /// The read has ended, whatever it brought: declarations are in force, there are none, or the store failed.
    pub fn finish(&mut self) {
        self.has_ended = true;
    }

    /// Whether the read has ended.
    pub fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Whether the read has ended, or taken too long for other work to wait.
    pub fn is_over(&self, now: Moment) -> bool {
        self.has_ended || now.since(self.started) >= READ_TIMEOUT_US
    }

    /// What a node without declarations may do now; `is_coming`: whether the store's answer has begun to arrive or is being
    /// checked.
    pub fn allowed(&self, now: Moment, is_coming: bool) -> AllowedWork {
        if self.is_over(now) {
            AllowedWork::Everything
        } else if is_coming || now.since(self.started) < ANSWER_TIMEOUT_US {
            AllowedWork::Nothing
        } else {
            AllowedWork::Contacts
        }
    }

    /// Until when a caller waits for declarations that came at `arrived` and has so much time; `is_coming`: whether they are
    /// being read.
    pub fn caller_wait_deadline(&self, arrived: Moment, time_us: u64, is_coming: bool) -> Moment {
        let until = self.started + STARTUP_WAIT_US;
        if is_coming {
            until.max(arrived + time_us / READ_WAIT_PART)
        } else {
            until
        }
    }

    /// Until when a caller waits for an upstream of its service while the records of the other nodes are being read. They are
    /// read beside the declarations, and either may come first.
    pub fn upstream_wait_deadline(&self) -> Moment {
        self.started + STARTUP_WAIT_US
    }

    /// When a caller that waits until `until` looks again, if declarations do not come before: at the end of the time after
    /// the start, when it needs a place and the answer may have begun to arrive.
    pub fn next_check(&self, now: Moment, until: Moment) -> Moment {
        let boundary = self.started + STARTUP_WAIT_US;
        if now < boundary {
            until.min(boundary)
        } else {
            until
        }
    }

    /// Whether a caller that still waits does so beyond the time after the start, and needs a place of its own.
    pub fn needs_reservation(&self, now: Moment) -> bool {
        now >= self.started + STARTUP_WAIT_US
    }
}
