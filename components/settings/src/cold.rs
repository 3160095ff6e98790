//! How far a cold upstream may be loaded beyond its declared rate.

use sections::Reader;

/// Starts that are held in reserve, because one may reach the upstream twice: a request is sent again
/// if its connection was just being closed.
const RESERVED_STARTS: u32 = 2;

/// How far the starts at a cold upstream may exceed the declared rate in any one second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Factor on the declared rate.
    pub overshoot: f64,
    /// Further starts.
    pub slack: f64,
}

impl ColdLimit {
    /// Default: the declared rate itself.
    pub const STRICT: ColdLimit = ColdLimit {
        overshoot: 1.0,
        slack: 0.0,
    };

    /// Maximum starts in any one second at an upstream that sustains `starts_per_s` while it is cold.
    pub fn max_starts_per_s(&self, starts_per_s: u32) -> u32 {
        let bound = f64::from(starts_per_s) * self.overshoot + self.slack;
        (bound as u32).saturating_sub(RESERVED_STARTS).max(1)
    }
}

pub(crate) fn read(reader: &mut Reader) -> ColdLimit {
    let allowed = "a number, 0 or more";
    let ColdLimit { overshoot, slack } = ColdLimit::STRICT;
    ColdLimit {
        overshoot: reader.value_or("upstream", "cold_overshoot", allowed, overshoot),
        slack: reader.value_or("upstream", "cold_slack", allowed, slack),
    }
}
