//! The number of attempts that may run at once: the slots, or fewer while the upstream is slow,
//! failing or cold.

use names::MILLISECOND;

/// Weight of a new completion in the recent service time; about the last ten count.
const RECENT_WEIGHT: f64 = 0.2;
/// Weight of a new completion in the baseline; about the last hundred count.
const BASELINE_WEIGHT: f64 = 0.02;
/// Growth of the baseline for each completion while the upstream is slow, so that a lasting
/// change becomes the new normal.
const BASELINE_DRIFT: f64 = 1.005;
/// Weight of a new completion in the share of errors.
const ERROR_WEIGHT: f64 = 0.1;
/// The upstream counts as slow when the recent service time exceeds the baseline by this factor.
const SLOW_FACTOR: f64 = 2.0;
/// An attempt in flight counts as stalled when its age exceeds the baseline by this factor.
const STALL_FACTOR: f64 = 4.0;
/// Baselines below this are taken as this, so that short noise doesn't look like slowness.
const LEAST_BASELINE_US: f64 = 500.0;
/// Service time assumed before the first completion.
const FIRST_GUESS_US: f64 = 5.0 * MILLISECOND as f64;
/// Slots opened by each good completion while the upstream is cold.
const RAMP_STEP: f64 = 0.5;

/// How an attempt that occupied a slot came out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// A whole answer, not an error.
    Good,
    /// A whole answer that reports an error of the upstream.
    Error,
    /// The upstream said that it did not start the request.
    Shed,
    /// The connection broke, or the answer was not whole.
    Broken,
    /// No byte of the request reached the upstream.
    NotSent,
    /// The attempt was cancelled while it ran.
    Cancelled,
}

/// The adaptive limit of one upstream.
#[derive(Debug, Clone)]
pub struct Limit {
    slots: u32,
    recent_us: f64,
    baseline_us: Option<f64>,
    errors: f64,
    ramp: f64,
}

impl Limit {
    /// A limit for an upstream with `slots` slots, starting cold.
    pub fn new(slots: u32) -> Limit {
        Limit {
            slots,
            recent_us: FIRST_GUESS_US,
            baseline_us: None,
            errors: 0.0,
            ramp: cold(slots),
        }
    }

    /// Takes in a completion that occupied its slot for `service_us` microseconds.
    pub fn completed(&mut self, service_us: u64, verdict: Verdict) {
        match verdict {
            Verdict::Good => self.good(service_us as f64),
            Verdict::Error | Verdict::Broken | Verdict::Shed => self.error(),
            Verdict::NotSent => {
                self.error();
                self.ramp = cold(self.slots);
            }
            Verdict::Cancelled => {}
        }
    }

    /// Attempts that may run at once, given the ages of those in flight in microseconds.
    pub fn current(&self, ages: &[u64]) -> u32 {
        let slow = self.slow_share(ages);
        let healthy = (1.0 - self.errors) * (1.0 - self.errors);
        let limit = (self.slots as f64 * slow * healthy).min(self.ramp);
        (limit.round() as u32).clamp(1, self.slots)
    }

    /// Recent service time in microseconds, counting attempts in flight that have stalled.
    pub fn service_us(&self, ages: &[u64]) -> f64 {
        let Some(baseline) = self.baseline_us else {
            return self.recent_us;
        };
        let mut stalled: Vec<u64> = ages
            .iter()
            .copied()
            .filter(|age| *age as f64 > baseline * STALL_FACTOR)
            .collect();
        if stalled.is_empty() || stalled.len() * 2 < ages.len() {
            return self.recent_us;
        }
        stalled.sort_unstable();
        self.recent_us.max(stalled[stalled.len() / 2] as f64)
    }

    /// Whether the upstream is now slower than its baseline by more than the slow factor.
    pub fn is_slow(&self, ages: &[u64]) -> bool {
        self.slow_share(ages) < 1.0
    }

    /// Share of recent completions that were errors, in thousandths.
    pub fn errors_permille(&self) -> u32 {
        (self.errors * 1000.0) as u32
    }

    fn slow_share(&self, ages: &[u64]) -> f64 {
        let Some(baseline) = self.baseline_us else {
            return 1.0;
        };
        (SLOW_FACTOR * baseline / self.service_us(ages)).min(1.0)
    }

    fn good(&mut self, service_us: f64) {
        self.errors -= self.errors * ERROR_WEIGHT;
        self.ramp = (self.ramp + RAMP_STEP).min(self.slots as f64);
        let Some(baseline) = self.baseline_us else {
            self.recent_us = service_us;
            self.baseline_us = Some(service_us.max(LEAST_BASELINE_US));
            return;
        };
        self.recent_us += (service_us - self.recent_us) * RECENT_WEIGHT;
        let next = if self.recent_us > SLOW_FACTOR * baseline {
            baseline * BASELINE_DRIFT
        } else {
            baseline + (service_us - baseline) * BASELINE_WEIGHT
        };
        self.baseline_us = Some(next.max(LEAST_BASELINE_US));
    }

    fn error(&mut self) {
        self.errors += (1.0 - self.errors) * ERROR_WEIGHT;
    }
}

fn cold(slots: u32) -> f64 {
    (slots as f64 / 3.0).max(1.0)
}
