//! Points in time as plain numbers, so that decisions need no clock.

use std::ops::{Add, Sub};

/// Microseconds in a millisecond.
pub const MILLISECOND: u64 = 1_000;
/// Microseconds in a second.
pub const SECOND: u64 = 1_000_000;

/// Microseconds on the monotonic clock of one process; not comparable between processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Moment(pub u64);

impl Moment {
    /// Microseconds from `earlier` to `self`, or 0 when `earlier` is later.
    pub fn since(self, earlier: Moment) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for Moment {
    type Output = Moment;
    fn add(self, micros: u64) -> Moment {
        Moment(self.0.saturating_add(micros))
    }
}

impl Sub<u64> for Moment {
    type Output = Moment;
    fn sub(self, micros: u64) -> Moment {
        Moment(self.0.saturating_sub(micros))
    }
}
