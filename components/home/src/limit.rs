//! The number of attempts that may run at once: the slots, or fewer while the upstream is slow or
//! cold.

use names::{Moment, MILLISECOND, SECOND};
use std::collections::HashMap;

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
/// A slow upstream keeps this share of its slots: when all upstreams of a service are slow, for
/// example because a service below is, there is nowhere else to go.
const LEAST_SLOW_SHARE: f64 = 0.5;
/// Classes whose service times are told apart at most.
const MOST_CLASSES: usize = 64;
/// Slots opened by each good completion while the upstream is cold.
const RAMP_STEP: f64 = 0.5;
/// An upstream counts as warm after so long in any case, in microseconds: when calls time out
/// because it is cold, no good completion would ever warm it.
const WARM_US: u64 = 2 * SECOND;

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
    /// The upstream ended while it ran the attempt: nothing stands at its address any more.
    Ended,
    /// No byte of the request reached the upstream.
    NotSent,
    /// The attempt was cancelled while it ran.
    Cancelled,
}

impl Verdict {
    /// A fixed lower-case name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::Good => "good",
            Verdict::Error => "error",
            Verdict::Shed => "shed",
            Verdict::Broken => "broken",
            Verdict::Ended => "upstream ended",
            Verdict::NotSent => "not sent",
            Verdict::Cancelled => "cancelled",
        }
    }
}

/// Requests whose service times are alike: an outer call takes as long as the calls below it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Class {
    /// How many services the call has passed.
    pub level: u32,
    /// Whether it may run more than once: look-ups differ from changes.
    pub repeatable: bool,
}

/// The adaptive limit of one upstream.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    slots: u32,
    recent_us: f64,
    /// Recent service time in terms of the baseline.
    ratio: f64,
    baselines_us: HashMap<Class, f64>,
    errors: f64,
    ramp: f64,
    cold_since: Option<Moment>,
}

impl ConcurrencyLimit {
    /// A limit for an upstream with `slots` slots, starting cold.
    pub fn new(slots: u32) -> ConcurrencyLimit {
        ConcurrencyLimit {
            slots,
            recent_us: FIRST_GUESS_US,
            ratio: 1.0,
            baselines_us: HashMap::new(),
            errors: 0.0,
            ramp: cold(slots),
            cold_since: None,
        }
    }

    /// Takes in that an attempt was offered; the first begins to warm the upstream.
    pub fn offered(&mut self, now: Moment) {
        self.cold_since.get_or_insert(now);
    }

    /// Takes in a completion that occupied its slot for `service_us` microseconds.
    pub fn completed(&mut self, now: Moment, class: Class, service_us: u64, verdict: Verdict) {
        match verdict {
            Verdict::Good => self.good(class, service_us as f64),
            Verdict::Error | Verdict::Broken | Verdict::Shed => self.error(),
            Verdict::NotSent | Verdict::Ended => {
                self.error();
                self.ramp = cold(self.slots);
                self.cold_since = Some(now);
            }
            Verdict::Cancelled => {}
        }
    }

    /// Attempts that may run at once, given those in flight with their ages in microseconds.
    pub fn current(&self, now: Moment, running: &[(Class, u64)]) -> u32 {
        let slots = self.slots as f64;
        let slow = (SLOW_FACTOR / self.slowness(running)).clamp(LEAST_SLOW_SHARE, 1.0);
        let limit = (slots * slow).min(self.opened(now));
        (limit.round() as u32).clamp(1, self.slots)
    }

    /// Recent service time in microseconds, counting attempts in flight that have stalled.
    pub fn service_us(&self, running: &[(Class, u64)]) -> f64 {
        self.recent_us * (self.slowness(running) / self.ratio).max(1.0)
    }

    /// Whether the upstream is now slower than its baseline by more than the slow factor.
    pub fn is_slow(&self, running: &[(Class, u64)]) -> bool {
        self.slowness(running) > SLOW_FACTOR
    }

    /// Share of recent completions that were errors, in thousandths. Errors don't lower the limit:
    /// when a service below fails, all upstreams of this one do, and fewer slots would only add to
    /// the failure. Entry duties weigh errors between upstreams.
    pub fn errors_permille(&self) -> u32 {
        (self.errors * 1000.0) as u32
    }

    /// Slots opened so far, by completions and by time.
    fn opened(&self, now: Moment) -> f64 {
        let since = self.cold_since.map_or(0, |since| now.since(since));
        let share = (since as f64 / WARM_US as f64).min(1.0);
        let by_time = (self.slots as f64 - cold(self.slots)) * share;
        self.ramp + by_time
    }

    /// Recent service time in terms of the baseline. When most of what is in flight has stalled,
    /// its age counts before it completes.
    fn slowness(&self, running: &[(Class, u64)]) -> f64 {
        let mut stalled: Vec<f64> = running
            .iter()
            .filter_map(|(class, age)| Some(*age as f64 / self.baselines_us.get(class)?))
            .filter(|ratio| *ratio > STALL_FACTOR)
            .collect();
        if stalled.is_empty() || stalled.len() * 2 < running.len() {
            return self.ratio;
        }
        stalled.sort_by(f64::total_cmp);
        self.ratio.max(stalled[stalled.len() / 2])
    }

    fn good(&mut self, class: Class, service_us: f64) {
        self.errors -= self.errors * ERROR_WEIGHT;
        self.ramp = (self.ramp + RAMP_STEP).min(self.slots as f64);
        if self.baselines_us.is_empty() {
            self.recent_us = service_us;
        }
        self.recent_us += (service_us - self.recent_us) * RECENT_WEIGHT;
        if self.baselines_us.len() >= MOST_CLASSES && !self.baselines_us.contains_key(&class) {
            return;
        }
        let first = service_us.max(LEAST_BASELINE_US);
        let baseline = self.baselines_us.entry(class).or_insert(first);
        self.ratio += (service_us / *baseline - self.ratio) * RECENT_WEIGHT;
        *baseline = if self.ratio > SLOW_FACTOR {
            *baseline * BASELINE_DRIFT
        } else {
            *baseline + (service_us - *baseline) * BASELINE_WEIGHT
        };
        *baseline = baseline.max(LEAST_BASELINE_US);
    }

    fn error(&mut self) {
        self.errors += (1.0 - self.errors) * ERROR_WEIGHT;
    }
}

fn cold(slots: u32) -> f64 {
    (slots as f64 / 2.0).max(1.0)
}
