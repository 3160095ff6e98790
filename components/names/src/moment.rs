//! Points in time as plain numbers, so that decision logic does not read a clock.

use std::ops::{Add, Sub};

/// Microseconds in a millisecond.
pub const MILLISECOND: u64 = 1_000;
/// Microseconds in a second.
pub const SECOND: u64 = 1_000_000;

/// Monotonic time of one process in microseconds. Not comparable between processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Moment(pub u64);

impl Moment {
    /// Microseconds from `earlier` to `self`, or 0 if `earlier` is later.
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
