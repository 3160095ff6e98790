//! Tolerance for exceeding an account's limit.

use accounts::Limit;

/// Fraction of the tolerance that is handed out as tokens. The rest covers VMs that join while a
/// part of the fleet is partitioned off and doesn't count them yet.
const USED_FRACTION: f64 = 0.5;
/// Fraction of the tolerance that token holders get at once after a restart: when the whole fleet
/// has lost power, all callers return at the same time. Together with [`USED_FRACTION`] it leaves
/// tolerance for two such restarts in a window.
const RESTART_FRACTION: f64 = 0.25;

/// The tolerance that operators set. In any window an account may get
/// `(rate * window + burst) * (1 + overshoot) + slack` requests.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Bounds {
    /// As a fraction of the limit.
    pub overshoot: f64,
    /// Additional requests.
    pub slack: f64,
    /// Length of the window, in seconds.
    pub window_s: f64,
}

impl Bounds {
    /// Tokens per second of an account in the whole fleet.
    pub(crate) fn tokens_per_s(&self, limit: Limit) -> f64 {
        f64::from(limit.requests_per_s) * (1.0 + self.overshoot * USED_FRACTION)
    }

    /// Tokens of an account that may accumulate in the whole fleet.
    pub(crate) fn capacity(&self, limit: Limit) -> f64 {
        let burst = f64::from(limit.burst) * (1.0 + self.overshoot * USED_FRACTION);
        burst + self.slack * USED_FRACTION
    }

    /// Tokens of an account in the whole fleet right after all of it has restarted.
    pub(crate) fn restart_tokens(&self, limit: Limit) -> f64 {
        let window = f64::from(limit.requests_per_s) * self.window_s + f64::from(limit.burst);
        (window * self.overshoot + self.slack) * RESTART_FRACTION
    }
}
