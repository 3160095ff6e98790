//! Whether work can still be answered in time, by the expected run times of its class.
//!
//! Load pattern: all upstreams of a service run at half speed for some seconds, because they have just
//! started, and the load exceeds their capacity. An attempt that waits as long as it may at the typical
//! speed is then answered late, and so is everything behind it: upstreams are kept busy with answers
//! that no caller needs any more. At the typical speed these bounds lie beyond the maximum wait and
//! change nothing.

use super::Home;
use crate::attempt::{Attempt, Offered};
use crate::limit::Class;
use crate::message::Offer;
use names::Moment;

/// Expected run time before any run of the class has ended, as a fraction of the objective, at the typical
/// speed. In deployments it is 0.24 to 0.47.
const UNKNOWN_RUN_FRACTION: f64 = 0.4;
/// An attempt waits for a slot as long as this many expected run times are left of its objective. Run
/// times vary, and calls made by a run wait as well. With the recorded callers of 295 VMs after a loss of
/// power, and three tenths more, 0.418 of the possible value was reached at 1.5, 0.413 at 1.3, 0.389 at
/// 1.1 and 0.328 without this bound (means of six seeds).
const MIN_RUNS_LEFT: f64 = 1.5;
/// A run likely misses its deadline if less than this fraction of the expected run time is left: where
/// run times deviate by a third, one run in seven is that short.
const MIN_RUN_FRACTION: f64 = 0.7;

impl<A: Clone> Home<A> {
    /// Limits the wait of an attempt to the time in which it can still be answered within its objective.
    pub(super) fn limit_wait_to_objective<S>(
        &self,
        now: Moment,
        attempt: Attempt<S>,
    ) -> Attempt<S> {
        let Some(objective) = attempt.objective().filter(|_| !attempt.is_overdue()) else {
            return attempt;
        };
        let run_us = self
            .expected_run_us(now, attempt.class())
            .unwrap_or_else(|| {
                let typical_us = objective.since(now) as f64 * UNKNOWN_RUN_FRACTION;
                self.slowdown.scaled_us(now, typical_us)
            });
        let latest_start = objective - (run_us * MIN_RUNS_LEFT) as u64;
        attempt.with_latest_start(latest_start.max(now))
    }

    /// Marks the attempt of a caller that was refused before as overdue if it can't be answered within its
    /// objective any more: it is then queued behind those that can.
    ///
    /// Load pattern: a service is short of slots for some seconds, and a third of its requests are from
    /// callers that were refused recently. Served late, they keep others from being served in time.
    pub(super) fn demote_if_overdue(
        &self,
        now: Moment,
        offer: &Offer,
        attempt: Attempt<Offered>,
    ) -> Attempt<Offered> {
        let run_us = self.expected_run_us(now, attempt.class()).unwrap_or(0.0);
        let is_late = |left_us: u64| left_us == 0 || (left_us as f64) < run_us;
        if offer.returned && offer.objective_us.is_some_and(is_late) {
            attempt.into_overdue(now)
        } else {
            attempt
        }
    }

    /// Whether a run that begins now is unlikely to end before the deadline. On a service that is short of
    /// slots, such a run would waste one.
    pub(super) fn likely_misses_deadline<S>(&self, now: Moment, attempt: &Attempt<S>) -> bool {
        let left_us = attempt.deadline().since(now) as f64;
        let run_us = self.expected_run_us(now, attempt.class());
        run_us.is_some_and(|run_us| left_us < run_us * MIN_RUN_FRACTION)
    }

    /// Expected time of a run of this class that begins now, in microseconds; none before one has ended.
    fn expected_run_us(&self, now: Moment, class: Class) -> Option<f64> {
        let typical_us = self.slowdown.service_us(class)?;
        Some(self.slowdown.scaled_us(now, typical_us))
    }
}
