//! Bounds on what client accounts get.

use crate::millis::{Millis, MILLIS_FORMAT};
use sections::Reader;

/// How closely the fleet keeps to what is declared of client accounts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountBounds {
    /// A key that was withdrawn lets nobody in after this time, in milliseconds, anywhere: a node whose news is older
    /// refuses what needs a key. None: it goes on with what it knows.
    pub withdrawn_within_ms: Option<u64>,
    /// The window in which requests of an account are counted, in milliseconds.
    pub window_ms: u64,
    /// How far beyond its limit an account may get in any window, as a part of what it may have there.
    pub overshoot: f64,
    /// Requests beyond that.
    pub slack: f64,
}

pub(crate) fn read(reader: &mut Reader) -> AccountBounds {
    let number = "a number, 0 or more";
    let Millis(withdrawn_within_ms) =
        reader.value_or("accounts", "withdrawn_within", MILLIS_FORMAT, Millis(0));
    let Millis(window_ms) = reader.value_or("accounts", "window", MILLIS_FORMAT, Millis(0));
    AccountBounds {
        window_ms,
        withdrawn_within_ms: (withdrawn_within_ms > 0).then_some(withdrawn_within_ms),
        overshoot: tolerance(reader, "overshoot", number),
        slack: tolerance(reader, "slack", number),
    }
}

fn tolerance(reader: &mut Reader, key: &str, allowed: &str) -> f64 {
    let value: f64 = reader.value_or("accounts", key, allowed, 0.0);
    if value.is_finite() && value >= 0.0 {
        return value;
    }
    let must = format!("must be {allowed}");
    reader.problem("accounts", key, &value.to_string(), &must);
    0.0
}
