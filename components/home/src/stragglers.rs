//! Detects stragglers: runs that take much longer than typical for their class.
//!
//! Where 3% of the runs take seven times the typical time, a hedged attempt of the same request
//! takes the typical time. A straggler is reported once to the entry duty of its request, which
//! decides whether to start a hedge elsewhere.
//!
//! Run times are measured at this node and include the calls that the upstream makes. They are kept
//! without slowdown: a run is expected to take longer by the slowdown that the upstream reported
//! when it began, and runs that begin in a slow phase are not learned from.

use crate::attempt::{Attempt, Started};
use crate::limit::{Class, Verdict};
use crate::pace::Slowdown;
use crate::run_times::RunTimes;
use names::{AttemptId, Moment, MILLISECOND};
use std::collections::HashMap;

/// Maximum number of classes with separate run times.
const MAX_CLASSES: usize = 64;
/// The report of an upstream that is not slowed, in hundredths of the typical run time.
const TYPICAL_PERCENT: u64 = 100;
/// Time that a hedge needs in addition to its run, in microseconds: the report may be 5 ms late,
/// and the report, the offer and the answer each cross a data hall once.
const HEDGE_OVERHEAD_US: u64 = 8 * MILLISECOND;

/// A run that is reported to the entry duty if it becomes a straggler.
#[derive(Debug, Clone, Copy)]
struct Watched {
    class: Class,
    began: Moment,
    percent: u64,
    objective: Option<Moment>,
}

/// Detects stragglers among the runs at one upstream.
#[derive(Debug, Clone, Default)]
pub struct Stragglers {
    run_times: HashMap<Class, RunTimes>,
    /// Runs that may still be reported; at most as many as there are slots.
    watched: HashMap<AttemptId, Watched>,
}

impl Stragglers {
    /// Records the start of an attempt.
    pub fn started(&mut self, attempt: &Attempt<Started>) {
        if !attempt.reports_straggler() {
            return;
        }
        let state = attempt.state();
        let watched = Watched {
            class: attempt.class(),
            began: state.at,
            percent: u64::from(state.slow_percent).max(TYPICAL_PERCENT),
            objective: attempt.objective(),
        };
        self.watched.insert(attempt.id(), watched);
    }

    /// Records the end of a run after `service_us` microseconds.
    ///
    /// A run that was cancelled beyond the 90th percentile counts with its age at that point: the
    /// runs that lose to a hedge are the longest ones, and without them the percentile would fall
    /// with each hedge.
    pub fn ended(
        &mut self,
        attempt: &Attempt<Started>,
        service_us: u64,
        verdict: Verdict,
        slowdown: &Slowdown,
    ) {
        self.watched.remove(&attempt.id());
        let percent = attempt.state().slow_percent;
        if slowdown.is_slow_report(percent) {
            return;
        }
        let unslowed_us = service_us * TYPICAL_PERCENT / u64::from(percent).max(TYPICAL_PERCENT);
        let class = attempt.class();
        let is_beyond = || {
            self.p90_us(class)
                .is_some_and(|p90_us| unslowed_us > p90_us)
        };
        let counts = match verdict {
            Verdict::Good => true,
            Verdict::Cancelled => is_beyond(),
            _ => false,
        };
        let is_known = self.run_times.contains_key(&class);
        if counts && (is_known || self.run_times.len() < MAX_CLASSES) {
            self.run_times.entry(class).or_default().record(unslowed_us);
        }
    }

    /// When the run of an attempt becomes due for a report; none if it is not to be reported, or
    /// the run times of its class are unknown.
    ///
    /// This is the later of two times: when the run reaches the 90th percentile of its class, and
    /// the last moment at which a hedge that takes as long can still end within the objective.
    /// `components/entry/tests/hedge_delay` compares the delays.
    pub fn due(&self, id: AttemptId) -> Option<Moment> {
        self.due_at(self.watched.get(&id)?)
    }

    /// Removes and returns the runs that are due for a report.
    pub fn take_due(&mut self, now: Moment) -> Vec<AttemptId> {
        let is_due = |watched: &Watched| self.due_at(watched).is_some_and(|due| due < now);
        let mut due: Vec<AttemptId> = self
            .watched
            .iter()
            .filter(|(_, watched)| is_due(watched))
            .map(|(id, _)| *id)
            .collect();
        due.sort_unstable();
        for id in &due {
            self.watched.remove(id);
        }
        due
    }

    /// The run time beyond which an attempt is a straggler, in microseconds: the 90th percentile of
    /// its class, scaled by the slowdown at which it began; none while that is unknown.
    pub fn typical_us(&self, attempt: &Attempt<Started>) -> Option<u64> {
        let percent = u64::from(attempt.state().slow_percent).max(TYPICAL_PERCENT);
        Some(self.p90_us(attempt.class())? * percent / TYPICAL_PERCENT)
    }

    /// The 90th percentile of the run times of a class without slowdown, in microseconds; none
    /// while too few are known.
    pub fn p90_us(&self, class: Class) -> Option<u64> {
        self.run_times.get(&class)?.p90_us()
    }

    /// Discards the run times when another incarnation replaces the upstream.
    pub fn forget_run_times(&mut self) {
        self.run_times.clear();
    }

    fn due_at(&self, watched: &Watched) -> Option<Moment> {
        let p90_us = self.p90_us(watched.class)?;
        let beyond_typical = watched.began + p90_us * watched.percent / TYPICAL_PERCENT;
        let latest = watched
            .objective
            .map(|objective| Moment(objective.0.saturating_sub(p90_us + HEDGE_OVERHEAD_US)));
        Some(latest.map_or(beyond_typical, |latest| latest.max(beyond_typical)))
    }
}
