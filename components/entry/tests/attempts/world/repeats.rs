//! What repeats may cost, and what home duties must know before they report stragglers.

use super::{CallId, World, DEADLINE_US, LEVELS};
use home::{Home, Offer, ProbeResult, Suspicion, Verdict};
use names::{AttemptId, MILLISECOND};

/// Repeats earned by a request where a world sets none.
const USUAL_EARNED: f64 = 0.1;
/// A run that a home duty has seen often takes so long.
const USUAL_RUN_US: u64 = 30 * MILLISECOND;
/// Runs after which a home duty knows what is usual.
const KNOWN_RUNS: u64 = 20;

impl World {
    /// No more requests reach an upstream another time than were earned.
    pub(super) fn check_budgets(&self) {
        let repeats = |arrivals: &u32| arrivals.saturating_sub(1);
        let repeats: u32 = self.oracle.arrivals.values().map(repeats).sum();
        let requests = (self.next_call - 1) as f64;
        let earned = requests * self.earned.unwrap_or(USUAL_EARNED);
        let free = f64::from(self.oracle.shed_untold);
        assert!(
            f64::from(repeats) <= earned + free + 1e-6,
            "{repeats} repeats, and {earned} were earned"
        );
    }

    /// Lets a home duty see as many usual runs as it needs to know a straggler.
    pub(super) fn learn_usual_runs(&mut self, duty: &mut Home<CallId>) {
        let boot = self.boot();
        for seq in 0..KNOWN_RUNS * u64::from(LEVELS) {
            let id = AttemptId { boot, seq };
            let offer = Offer {
                id,
                service: "s".into(),
                remaining_us: DEADLINE_US,
                objective_us: None,
                priority: 1,
                level: (seq % u64::from(LEVELS)) as u32,
                repeatable: true,
                may_queue: true,
                repeat: false,
                suspicion: Suspicion::None,
                returned: false,
                report_straggler: false,
                known_limit: None,
                account: None,
            };
            duty.offer(self.now, &offer);
            if self.looks {
                duty.probe_finished(self.now, ProbeResult::percent(100));
            }
            self.now = self.now + USUAL_RUN_US;
            duty.completed(self.now, id, Verdict::Good, None);
        }
    }
}
