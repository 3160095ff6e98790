//! Runs that take much longer than usual for their class.
//!
//! The load that this answers: 3% of the runs take seven times as long as usual, and a second run of the same request
//! takes the usual time. The entry duty of such a request is told, once, and decides whether to start it once more
//! elsewhere.
//!
//! Run times are those seen here, with the calls that the upstream makes. They are kept at the usual pace: a run is
//! expected to take as much longer as the upstream said when it began, and runs that begin in a slow phase are not
//! learned from.

use crate::attempt::{Attempt, Started};
use crate::limit::{Class, Verdict};
use crate::pace::Slowdown;
use crate::run_times::RunTimes;
use names::{AttemptId, Moment, MILLISECOND};
use std::collections::HashMap;

/// Classes whose run times are told apart at most.
const MOST_CLASSES: usize = 64;
/// The upstream's word for the usual pace, in hundredths.
const USUAL_PERCENT: u64 = 100;
/// Time that a second start needs beside its run, in microseconds: the report may be 5 ms late, and it, the offer and
/// the answer each cross a hall once.
const WAY_US: u64 = 8 * MILLISECOND;

/// A run of which the entry duty wants to know when it takes much longer than usual.
#[derive(Debug, Clone, Copy)]
struct Watched {
    class: Class,
    began: Moment,
    percent: u64,
    objective: Option<Moment>,
}

/// Detects straggling runs.
#[derive(Debug, Clone, Default)]
pub struct Stragglers {
    run_times: HashMap<Class, RunTimes>,
    /// Runs that may be reported and have not been; at most as many as there are slots.
    watched: HashMap<AttemptId, Watched>,
}

impl Stragglers {
    /// Takes in a start.
    pub fn started(&mut self, attempt: &Attempt<Started>) {
        if !attempt.reports_straggler() {
            return;
        }
        let state = attempt.state();
        let watched = Watched {
            class: attempt.class(),
            began: state.at,
            percent: u64::from(state.slow_percent).max(USUAL_PERCENT),
            objective: attempt.objective(),
        };
        self.watched.insert(attempt.id(), watched);
    }

    /// Takes in the end of a run after `service_us` microseconds.
    ///
    /// A run that was cut off beyond the 90th percentile counts with the age that it had: the losers of second starts
    /// are the longest runs, and without them the percentile would fall with each second start.
    pub fn ended(
        &mut self,
        attempt: &Attempt<Started>,
        service_us: u64,
        verdict: Verdict,
        pace: &Slowdown,
    ) {
        self.watched.remove(&attempt.id());
        let percent = attempt.state().slow_percent;
        if pace.is_slow_report(percent) {
            return;
        }
        let at_usual_us = service_us * USUAL_PERCENT / u64::from(percent).max(USUAL_PERCENT);
        let class = attempt.class();
        let is_beyond = || {
            self.p90_us(class)
                .is_some_and(|p90_us| at_usual_us > p90_us)
        };
        let counts = match verdict {
            Verdict::Good => true,
            Verdict::Cancelled => is_beyond(),
            _ => false,
        };
        let is_known = self.run_times.contains_key(&class);
        if counts && (is_known || self.run_times.len() < MOST_CLASSES) {
            self.run_times.entry(class).or_default().record(at_usual_us);
        }
    }

    /// When the run of an attempt is to be reported; none when it is not to be, or its class is not known yet.
    ///
    /// Not before the 90th percentile of its class, and not before the last moment at which a second run that takes as
    /// long can still end within the objective. The table of
    /// `components/entry/tests/hedge_delay` compares the delays.
    pub fn due(&self, id: AttemptId) -> Option<Moment> {
        self.due_of(self.watched.get(&id)?)
    }

    /// Takes out the runs that are to be reported now.
    pub fn take_due(&mut self, now: Moment) -> Vec<AttemptId> {
        let is_due = |watched: &Watched| self.due_of(watched).is_some_and(|due| due < now);
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

    /// How long a run may take that is not to be reported, in microseconds: the 90th percentile of its class at the pace at
    /// which it began; none while that is not known.
    pub fn typical_us(&self, attempt: &Attempt<Started>) -> Option<u64> {
        let percent = u64::from(attempt.state().slow_percent).max(USUAL_PERCENT);
        Some(self.p90_us(attempt.class())? * percent / USUAL_PERCENT)
    }

    /// The 90th percentile of the run times of a class at the usual pace, in microseconds; none while too few are known.
    pub fn p90_us(&self, class: Class) -> Option<u64> {
        self.run_times.get(&class)?.p90_us()
    }

    /// Forgets run times: another run of the upstream stands here.
    pub fn forget_run_times(&mut self) {
        self.run_times.clear();
    }

    fn due_of(&self, watched: &Watched) -> Option<Moment> {
        let p90_us = self.p90_us(watched.class)?;
        let beyond_usual = watched.began + p90_us * watched.percent / USUAL_PERCENT;
        let latest = watched
            .objective
            .map(|objective| Moment(objective.0.saturating_sub(p90_us + WAY_US)));
        Some(latest.map_or(beyond_usual, |latest| latest.max(beyond_usual)))
    }
}
