//! What a cold upstream bears beyond the declared rate.

use sections::Reader;

/// Starts that are kept back, because one may reach the upstream a second time: a request that went out over a
/// connection that was just closing is sent again.
const KEPT_BACK: u32 = 2;

/// How far above the declared rate a cold upstream may be loaded in any one second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Times the declared rate.
    pub overshoot: f64,
    /// Starts beyond that.
    pub slack: f64,
}

impl ColdLimit {
    /// Where the operators say nothing: the declared rate.
    pub const STRICT: ColdLimit = ColdLimit {
        overshoot: 1.0,
        slack: 0.0,
    };

    /// Most starts in any one second of an upstream that bears `starts_per_s` while it is cold.
    pub fn max_starts_per_s(&self, starts_per_s: u32) -> u32 {
        let bound = f64::from(starts_per_s) * self.overshoot + self.slack;
        (bound as u32).saturating_sub(KEPT_BACK).max(1)
    }
}

pub(crate) fn read(reader: &mut Reader) -> ColdLimit {
    let number = "a number, 0 or more";
    let ColdLimit { overshoot, slack } = ColdLimit::STRICT;
    ColdLimit {
        overshoot: reader.value_or("upstream", "cold_overshoot", number, overshoot),
        slack: reader.value_or("upstream", "cold_slack", number, slack),
    }
}
