//! What a call may cost: how long it waits for a slot, and when it crosses to another hall.

/// Part of a request's objective that it may spend waiting for a slot, over all its offers. A caller
/// that is refused within a quarter of its objective can still come back in time. Measured against
/// 0.12 and 0.4 (`docs/PLATFORM.md`).
const PATIENCE_PART: f64 = 0.22;
/// Price of crossing to another hall, in terms of the objective, for the most urgent requests and
/// for the least urgent ones. Bytes between halls are scarce.
const CROSSING_PART: (f64, f64) = (0.3, 1.0);
/// The same for calls that are made for a running request: they wait in their hall as long as they
/// can.
const INNER_CROSSING_PART: f64 = 1.0;
/// Highest priority of an outer request; calls made for a running request are above it.
const HIGHEST_PRIORITY: u8 = 9;
/// Priorities over which the price of crossing rises.
const CROSSING_STEPS: f64 = 2.0;

/// What a call allows an offer to cost; for [`crate::Rule::Priced`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Price {
    /// Price of crossing to another hall, in microseconds of waiting.
    pub crossing_us: u64,
    /// Longest wait for a slot, in microseconds; none: until the deadline. An upstream of another hall
    /// that is known to need longer is not asked: the request itself would cross in vain.
    pub patience_us: Option<u64>,
}

impl Price {
    /// The price of a call with this priority and objective, in microseconds (0: none is known). A
    /// `patient` call waits until its deadline.
    pub fn of(priority: u8, objective_us: u64, patient: bool) -> Price {
        let objective = objective_us as f64;
        let patience_us = (objective * PATIENCE_PART) as u64;
        Price {
            crossing_us: (objective * crossing_part(priority)) as u64,
            patience_us: (!patient && objective_us > 0).then_some(patience_us),
        }
    }
}

fn crossing_part(priority: u8) -> f64 {
    if priority > HIGHEST_PRIORITY {
        return INNER_CROSSING_PART;
    }
    let steps = f64::from(HIGHEST_PRIORITY - priority);
    let (least, most) = CROSSING_PART;
    least + (most - least) * (steps / CROSSING_STEPS).min(1.0)
}
