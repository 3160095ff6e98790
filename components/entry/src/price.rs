//! What a call may cost: how long it waits for a slot, and when it crosses to another hall.

/// An upstream of another hall whose known wait is longer than this part of the objective is not asked: an
/// offer waits no longer for a slot there. Measured against 0.5: bytes between halls cost 0.016 less of the
/// worth on a day of high load.
const FAR_WAIT_PART: f64 = 0.22;
/// Price of crossing to another hall, in terms of the objective, for the most urgent requests and
/// for the least urgent ones. Bytes between halls are scarce.
const CROSSING_PART: (f64, f64) = (0.3, 1.0);
/// Cost of an error of the upstream, in terms of the objective: the request is lost, or runs again
/// elsewhere.
const ERROR_PART: f64 = 2.0;
/// The same for calls that are made for a running request: they wait in their hall as long as they
/// can.
const INNER_CROSSING_PART: f64 = 1.0;
/// Highest priority of an outer request; calls made for a running request are above it.
const HIGHEST_PRIORITY: u8 = 9;
/// Priorities over which the price of crossing rises.
const CROSSING_STEPS: f64 = 2.0;

/// What a call allows an offer to cost; for [`crate::SelectionRule::Priced`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Price {
    /// Price of crossing to another hall, in microseconds of waiting.
    pub crossing_us: u64,
    /// Cost of an error of the upstream, in microseconds of waiting.
    pub error_us: u64,
    /// Time within which an answer has its full worth, in microseconds; none: until the deadline.
    pub objective_us: Option<u64>,
}

impl Price {
    /// The price of a call with this priority and objective, in microseconds (0: none is known). A
    /// `patient` call waits until its deadline.
    pub fn of(priority: u8, objective_us: u64, patient: bool) -> Price {
        let objective = objective_us as f64;
        Price {
            crossing_us: (objective * crossing_part(priority)) as u64,
            error_us: (objective * ERROR_PART) as u64,
            objective_us: (!patient && objective_us > 0).then_some(objective_us),
        }
    }

    /// The longest known wait at an upstream of another hall to which the request may still cross, in
    /// microseconds: beyond it the request itself would cross in vain.
    pub(crate) fn most_far_wait_us(&self) -> Option<f64> {
        let objective_us = self.objective_us? as f64;
        Some(objective_us * FAR_WAIT_PART)
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
