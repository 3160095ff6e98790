//! Prices by which a call weighs waiting for a slot against crossing to another hall.

/// Longest known wait at an upstream of another hall to which a request may cross, as a fraction of
/// the objective: an offer waits no longer for a slot there. Compared with 0.5, traffic between
/// halls costs 0.016 less of the value of requests on a day of high load.
const MAX_REMOTE_WAIT_FRACTION: f64 = 0.22;
/// Price of crossing to another hall, as a fraction of the objective, for the most urgent requests
/// and for the least urgent ones. Bandwidth between halls is scarce.
const CROSSING_FRACTION: (f64, f64) = (0.3, 1.0);
/// Cost of an error of the upstream, as a multiple of the objective: the request is lost or runs
/// again elsewhere.
const ERROR_FACTOR: f64 = 2.0;
/// Price of crossing for calls made by a running request, as a fraction of the objective: they wait
/// in their hall for as long as they can.
const INNER_CROSSING_FRACTION: f64 = 1.0;
/// Highest priority of a request from outside; calls made by a running request are above it.
const HIGHEST_PRIORITY: u8 = 9;
/// Number of priority steps below the highest over which the price of crossing rises to its
/// maximum.
const CROSSING_STEPS: f64 = 2.0;

/// The prices of one call, for [`crate::SelectionRule::Priced`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Price {
    /// Price of crossing to another hall, in microseconds of waiting.
    pub crossing_us: u64,
    /// Cost of an error of the upstream, in microseconds of waiting.
    pub error_us: u64,
    /// Time within which an answer has its full value, in microseconds; none: until the deadline.
    pub objective_us: Option<u64>,
}

impl Price {
    /// The prices for a priority and an objective in microseconds (0: no objective is known). A
    /// call that `waits_until_deadline` has no objective.
    pub fn of(priority: u8, objective_us: u64, waits_until_deadline: bool) -> Price {
        let objective = objective_us as f64;
        Price {
            crossing_us: (objective * crossing_fraction(priority)) as u64,
            error_us: (objective * ERROR_FACTOR) as u64,
            objective_us: (!waits_until_deadline && objective_us > 0).then_some(objective_us),
        }
    }

    /// Longest known wait at an upstream of another hall to which the request may cross, in
    /// microseconds. With a longer one it would cross without getting a slot.
    pub(crate) fn max_remote_wait_us(&self) -> Option<f64> {
        let objective_us = self.objective_us? as f64;
        Some(objective_us * MAX_REMOTE_WAIT_FRACTION)
    }
}

fn crossing_fraction(priority: u8) -> f64 {
    if priority > HIGHEST_PRIORITY {
        return INNER_CROSSING_FRACTION;
    }
    let steps = f64::from(HIGHEST_PRIORITY - priority);
    let (most_urgent, least_urgent) = CROSSING_FRACTION;
    most_urgent + (least_urgent - most_urgent) * (steps / CROSSING_STEPS).min(1.0)
}
