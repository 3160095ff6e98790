//! Whether work can still be answered in time, by how long runs of its kind take now.
//!
//! The load that this answers: all upstreams of a service work at half their speed for some seconds, because
//! they have just started, and more comes than they can carry. Whoever waits then as long as it may at the
//! usual pace is answered late, and so is everything behind it; upstreams are kept busy with answers that
//! nobody needs any more. At the usual pace these bounds lie beyond the patience and change nothing.

use super::Home;
use crate::attempt::{Attempt, Offered};
use crate::limit::Class;
use crate::message::Offer;
use names::Moment;

/// A run is expected to take this part of the objective at the usual pace before one of its kind has ended.
/// At the users' sites it is 0.24 to 0.47.
const UNKNOWN_RUN_PART: f64 = 0.4;
/// An attempt waits for a slot as long as this many expected runs still fit into its objective. Runs
/// vary, and the calls made for one wait as well: of recorded callers of 295 VMs after a loss of power,
/// with three tenths added, 0.418 of the worth was earned with 1.5, 0.413 with 1.3, 0.389 with 1.1 and 0.328
/// without the bound (means of six seeds).
const ROOM_RUNS: f64 = 1.5;
/// A run is hopeless when its deadline comes within this part of the expected time: one in seven ends so soon
/// where runs deviate by a third.
const HOPELESS_PART: f64 = 0.7;

impl<A: Clone> Home<A> {
    /// Lets an attempt wait only as long as it can still be answered within its objective.
    pub(super) fn in_time<S>(&self, now: Moment, attempt: Attempt<S>) -> Attempt<S> {
        let Some(objective) = attempt.objective().filter(|_| !attempt.is_overdue()) else {
            return attempt;
        };
        let run_us = self.run_us(now, attempt.class()).unwrap_or_else(|| {
            let usual_us = objective.since(now) as f64 * UNKNOWN_RUN_PART;
            self.pace.scaled_us(now, usual_us)
        });
        let latest = objective - (run_us * ROOM_RUNS) as u64;
        attempt.with_latest_start(latest.max(now))
    }

    /// Lets an attempt whose caller was refused before stand behind others when it can't be answered within its objective
    /// any more.
    ///
    /// The load that this answers: a service is short of slots for some seconds, and a third of what comes are callers
    /// that were refused a moment ago. Served late, they keep others from being served in time.
    pub(super) fn ranked(
        &self,
        now: Moment,
        offer: &Offer,
        attempt: Attempt<Offered>,
    ) -> Attempt<Offered> {
        let run_us = self.run_us(now, attempt.class()).unwrap_or(0.0);
        let is_late = |left_us: u64| left_us == 0 || (left_us as f64) < run_us;
        if offer.returned && offer.objective_us.is_some_and(is_late) {
            attempt.into_overdue(now)
        } else {
            attempt
        }
    }

    /// Whether a run that begins now would hardly end before the deadline. Slots of a service that is short of
    /// them would go to work that is lost already.
    pub(super) fn is_hopeless<S>(&self, now: Moment, attempt: &Attempt<S>) -> bool {
        let left_us = attempt.deadline().since(now) as f64;
        let run_us = self.run_us(now, attempt.class());
        run_us.is_some_and(|run_us| left_us < run_us * HOPELESS_PART)
    }

    /// How long a run of this kind takes that begins now, in microseconds; none before one has ended.
    fn run_us(&self, now: Moment, class: Class) -> Option<f64> {
        let usual_us = self.pace.service_us(class)?;
        Some(self.pace.scaled_us(now, usual_us))
    }
}
