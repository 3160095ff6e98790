//! The bound on repeats, and the run times that a home duty must learn before it reports
//! stragglers.

use super::{CallId, World, DEADLINE_US, LEVELS};
use home::{Home, Offer, ProbeResult, Suspicion, Verdict};
use names::{AttemptId, MILLISECOND};

/// Share of a repeat that a request deposits, unless the world sets another.
const DEFAULT_DEPOSIT: f64 = 0.1;
/// Typical run time, learned by home duties.
const TYPICAL_RUN_US: u64 = 30 * MILLISECOND;
/// Number of runs after which a home duty knows the typical run time of a class.
const LEARNING_RUNS: u64 = 20;

impl World {
    /// Checks that no more repeats reach upstreams than were deposited in the retry budgets.
    pub(super) fn check_budgets(&self) {
        let repeats = |arrivals: &u32| arrivals.saturating_sub(1);
        let repeats: u32 = self.oracle.arrivals.values().map(repeats).sum();
        let requests = (self.next_call - 1) as f64;
        let earned = requests * self.deposit.unwrap_or(DEFAULT_DEPOSIT);
        let free = f64::from(self.oracle.shed_reported_as_revoked);
        assert!(
            f64::from(repeats) <= earned + free + 1e-6,
            "{repeats} repeats, but only {earned} were earned"
        );
    }

    /// Lets a home duty run as many typical requests as it needs to recognize a straggler.
    pub(super) fn learn_typical_runs(&mut self, duty: &mut Home<CallId>) {
        let boot = self.boot();
        for seq in 0..LEARNING_RUNS * u64::from(LEVELS) {
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
            if self.can_probe {
                duty.probe_finished(self.now, ProbeResult::percent(100));
            }
            self.now = self.now + TYPICAL_RUN_US;
            duty.completed(self.now, id, Verdict::Good, None);
        }
    }
}
