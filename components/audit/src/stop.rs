//! Log lines of the planned stop.

use crate::limit::{allowed, Kind};
use crate::stats;
use names::{AttemptId, Moment, Name, MILLISECOND};
use shutdown::{Arrival, Intake, Refused};

/// An attempt that is in progress when a stopping node exits.
#[derive(Debug, Clone, Copy)]
pub struct Unfinished<'a> {
    /// The attempt.
    pub attempt: AttemptId,
    /// Which duty of this node waits for its end: `entry` or `home`.
    pub duty: &'static str,
    /// Service of the request.
    pub service: &'a Name,
    /// VM at which it runs.
    pub vm: &'a Name,
    /// Time since it was offered, in microseconds.
    pub age_us: u64,
    /// Time for which it has been running at the upstream, in microseconds; none if it has not
    /// started or if that is unknown at this node.
    pub run_us: Option<u64>,
}

/// The planned stop ends while an attempt is in progress.
pub fn stop_interrupts(unfinished: &Unfinished<'_>) {
    stats::stop_interrupted(unfinished.duty);
    if allowed(Kind::Stop) {
        tracing::warn!(
            attempt = %unfinished.attempt,
            duty = unfinished.duty,
            service = %unfinished.service,
            vm = %unfinished.vm,
            age_ms = unfinished.age_us / MILLISECOND,
            run_ms = unfinished.run_us.map(|us| us / MILLISECOND),
            "planned stop interrupts an attempt"
        );
    }
}

/// A stopping node refuses a caller's request.
pub fn stop_refuses(id: &str, now: Moment, arrival: &Arrival, intake: &Intake, refused: Refused) {
    stats::stop_refused(refused.as_str());
    if allowed(Kind::Stop) {
        let plan = intake.plan();
        tracing::info!(
            id,
            cause = refused.as_str(),
            since_signal_ms = now.since(plan.signal()) / MILLISECOND,
            remaining_ms = plan.work_end().since(now) / MILLISECOND,
            longest_ms = arrival.longest_us.map(|us| us / MILLISECOND),
            limit_ms = arrival.limit_us / MILLISECOND,
            "stopping node refuses a request"
        );
    }
}
