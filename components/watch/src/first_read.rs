//! Work of a node that has just started and has no declarations in force yet.
//!
//! *Load pattern.* All nodes of a fleet restart at once under full traffic, each on a tenth of a
//! core with a link of 10 Mbit/s. A node refuses its callers until declarations are in force.
//! Connections to the whole hall, comparisons and records took most of the processor time before
//! that: with 38 connections opened and as many accepted, a revision with 1,500 routes was in force
//! after 0.67 s, against 0.11 s for one with few routes.

use names::{Moment, MILLISECOND};

/// Time within which the store answers a first read, in microseconds. After that, some other nodes
/// are queried as well.
pub const ANSWER_TIMEOUT_US: u64 = 100 * MILLISECOND;
/// Longest time after the start for which other work waits for the first read, in microseconds: a
/// set of 8,000 routes takes about this long on a link of 10 Mbit/s.
pub const READ_TIMEOUT_US: u64 = 1_000 * MILLISECOND;
/// Connections that a node without declarations opens at the same time: one contact that has them
/// is enough, and of four that start at the same time some may have none.
pub const CONTACT_DIALS: usize = 4;

/// Time after the start until which callers wait for the first declarations, in microseconds: the
/// store answers within 0.05 to 0.14 s. Without the wait, after a power loss of all 295 VMs, half
/// of the requests of the first half second were refused with the advice to retry.
pub const STARTUP_WAIT_US: u64 = 250 * MILLISECOND;
/// While the declarations are being read, a caller waits for them for at most its time divided by
/// this: the rest is still enough for most runs.
const READ_WAIT_DIVISOR: u64 = 4;

/// Work that is allowed in addition to the first read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AllowedWork {
    /// None: the declarations are being read, or the store may still answer in time.
    Nothing,
    /// Connections to a few nodes: the store has not answered, and they may have declarations.
    Contacts,
    /// All work.
    Everything,
}

/// The first read of the declarations.
#[derive(Debug, Clone, Copy)]
pub struct FirstRead {
    started: Moment,
    has_ended: bool,
}

impl FirstRead {
    /// Creates the state of a node that started at `started`.
    pub fn new(started: Moment) -> FirstRead {
        FirstRead {
            started,
            has_ended: false,
        }
    }

    /// Marks the read as ended: declarations are in force, there are none, or the store failed.
    pub fn finish(&mut self) {
        self.has_ended = true;
    }

    pub fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Whether the read has ended or exceeded [`READ_TIMEOUT_US`], so that other work no longer
    /// waits.
    pub fn is_over(&self, now: Moment) -> bool {
        self.has_ended || now.since(self.started) >= READ_TIMEOUT_US
    }

    /// Work that a node without declarations may do now. `is_receiving`: the store's answer has
    /// begun to arrive or is being checked.
    pub fn allowed(&self, now: Moment, is_receiving: bool) -> AllowedWork {
        if self.is_over(now) {
            AllowedWork::Everything
        } else if is_receiving || now.since(self.started) < ANSWER_TIMEOUT_US {
            AllowedWork::Nothing
        } else {
            AllowedWork::Contacts
        }
    }

    /// Until when a caller that arrived at `arrived` and has `time_us` left waits for declarations.
    /// `is_receiving`: they are being read.
    pub fn caller_wait_deadline(
        &self,
        arrived: Moment,
        time_us: u64,
        is_receiving: bool,
    ) -> Moment {
        let until = self.started + STARTUP_WAIT_US;
        if is_receiving {
            until.max(arrived + time_us / READ_WAIT_DIVISOR)
        } else {
            until
        }
    }

    /// Until when a caller waits for an upstream of its service while the other nodes' records are
    /// being read. They are read concurrently with the declarations, and either may arrive first.
    pub fn upstream_wait_deadline(&self) -> Moment {
        self.started + STARTUP_WAIT_US
    }

    /// When a caller that waits until `until` checks again if no declarations arrive before: at the
    /// end of [`STARTUP_WAIT_US`], when it needs a reservation and the answer may have begun to
    /// arrive.
    pub fn next_check(&self, now: Moment, until: Moment) -> Moment {
        let startup_wait_end = self.started + STARTUP_WAIT_US;
        if now < startup_wait_end {
            until.min(startup_wait_end)
        } else {
            until
        }
    }

    /// Whether a caller that still waits does so beyond [`STARTUP_WAIT_US`] and needs a reservation.
    pub fn needs_reservation(&self, now: Moment) -> bool {
        now >= self.started + STARTUP_WAIT_US
    }
}
