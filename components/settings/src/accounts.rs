//! Precision with which limits and keys of client accounts are enforced.

use crate::millis::{Millis, MILLIS_FORMAT};
use sections::Reader;

/// How precisely the fleet enforces the declarations of client accounts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountBounds {
    /// Time after which a withdrawn key must be rejected by all nodes, in milliseconds. A node whose
    /// declarations are older rejects requests that need a key. `None`: it continues with the
    /// declarations that it has.
    pub withdrawn_within_ms: Option<u64>,
    /// Window in which the requests of an account are counted, in milliseconds.
    pub window_ms: u64,
    /// How far an account may exceed its limit in any window, as a fraction of the requests that the
    /// limit allows there.
    pub overshoot: f64,
    /// Further requests by which an account may exceed its limit.
    pub slack: f64,
}

pub(crate) fn read(reader: &mut Reader) -> AccountBounds {
    let allowed = "a number, 0 or more";
    let Millis(withdrawn_within_ms) =
        reader.value_or("accounts", "withdrawn_within", MILLIS_FORMAT, Millis(0));
    let Millis(window_ms) = reader.value_or("accounts", "window", MILLIS_FORMAT, Millis(0));
    AccountBounds {
        window_ms,
        withdrawn_within_ms: (withdrawn_within_ms > 0).then_some(withdrawn_within_ms),
        overshoot: tolerance(reader, "overshoot", allowed),
        slack: tolerance(reader, "slack", allowed),
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
