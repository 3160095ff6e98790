//! How far beyond an account's limit the operators let the fleet go.

use accounts::Limit;

/// Part of the tolerance that is handed out. The rest covers VMs that join while a part of the fleet is cut off and
/// doesn't count them yet.
const USED_PART: f64 = 0.5;
/// Part of the tolerance that collectors have at once after a start: when the whole fleet has lost power, callers come
/// back all together. With the part above it leaves room for two such starts in a window.
const START_PART: f64 = 0.25;

/// The tolerance: in any window an account may have `(rate * window + burst) * (1 + overshoot) + slack` requests.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Bounds {
    /// Part of the limit.
    pub overshoot: f64,
    /// Requests beyond that.
    pub slack: f64,
    /// The window, in seconds.
    pub window_s: f64,
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

    /// Tokens that the whole fleet has for an account when all of it has just started again.
    pub(crate) fn at_start(&self, limit: Limit) -> f64 {
        let window = f64::from(limit.requests_per_s) * self.window_s + f64::from(limit.burst);
        (window * self.overshoot + self.slack) * START_PART
    }
}
