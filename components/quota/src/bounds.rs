//! How far beyond an account's limit the operators let the fleet go.

use accounts::Limit;

/// Part of the tolerance that is handed out. The rest covers VMs that join while a part of the fleet is cut off and
/// doesn't count them yet.
const USED_PART: f64 = 0.5;

/// The tolerance: in any window an account may have `(rate * window + burst) * (1 + overshoot) + slack` requests.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Bounds {
    /// Part of the limit.
    pub overshoot: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl Bounds {
    /// Tokens a second that the whole fleet gets for an account.
    pub(crate) fn tokens_per_s(&self, limit: Limit) -> f64 {
        f64::from(limit.requests_per_s) * (1.0 + self.overshoot * USED_PART)
    }

    /// Tokens that the whole fleet may hold for an account.
    pub(crate) fn capacity(&self, limit: Limit) -> f64 {
        let burst = f64::from(limit.burst) * (1.0 + self.overshoot * USED_PART);
        burst + self.slack * USED_PART
    }
}
