//! Adaptive concurrency limit: the number of attempts that may run at once. It is the number of
//! slots, or less while the upstream is slow or cold.

use names::{Moment, MILLISECOND, SECOND};
use std::collections::HashMap;

/// Weight of a new completion in the recent service time, which averages about the last ten.
const RECENT_WEIGHT: f64 = 0.2;
/// Weight of a new completion in the baseline, which averages about the last hundred.
const BASELINE_WEIGHT: f64 = 0.02;
/// Growth of the baseline with each completion while the upstream is slow, so that a lasting change
/// becomes the new baseline.
const BASELINE_DRIFT: f64 = 1.005;
/// Weight of a new completion in the error rate.
const ERROR_WEIGHT: f64 = 0.1;
/// The upstream counts as slow when the recent service time exceeds the baseline by this factor.
const SLOW_FACTOR: f64 = 2.0;
/// An attempt in flight counts as stalled when its age exceeds the baseline by this factor.
const STALL_FACTOR: f64 = 4.0;
/// Lower bound of baselines, in microseconds, so that short noise is not taken for slowness.
const MIN_BASELINE_US: f64 = 500.0;
/// Service time assumed before the first completion, in microseconds.
const INITIAL_SERVICE_US: f64 = 5.0 * MILLISECOND as f64;
/// A slow upstream keeps at least this share of its slots: when all upstreams of a service are
/// slow, for example because they call a slow service, there is no better upstream to use instead.
const MIN_SLOW_SHARE: f64 = 0.5;
/// Maximum number of classes with separate service times.
const MAX_CLASSES: usize = 64;
/// Slots opened by each successful completion while the upstream is cold.
const RAMP_STEP: f64 = 0.5;
/// An upstream counts as warm after this time in any case, in microseconds: while calls time out
/// because it is cold, no successful completion would ever open its slots.
const WARM_UP_US: u64 = 2 * SECOND;

/// Outcome of an attempt that occupied a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// A complete answer, not an error.
    Good,
    /// A complete answer that reports an error of the upstream.
    Error,
    /// The upstream reported that it did not start the request.
    Shed,
    /// The connection broke, or the answer was incomplete.
    Broken,
    /// The upstream terminated while it ran the attempt: nothing listens at its address any more.
    Ended,
    /// No byte of the request reached the upstream.
    NotSent,
    /// Another upstream took the place of the one that the attempt was for, before any byte of the
    /// request was sent.
    Replaced,
    /// The attempt was cancelled while it ran.
    Cancelled,
}

impl Verdict {
    /// The lower-case name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::Good => "good",
            Verdict::Error => "error",
            Verdict::Shed => "shed",
            Verdict::Broken => "broken",
            Verdict::Ended => "upstream ended",
            Verdict::NotSent => "not sent",
            Verdict::Replaced => "upstream replaced",
            Verdict::Cancelled => "cancelled",
        }
    }
}

/// A class of requests with similar service times: an outer call takes as long as the calls below it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Class {
    /// How many services the call has passed.
    pub level: u32,
    /// Whether it may run more than once: reads and writes take different times.
    pub repeatable: bool,
}

/// The adaptive concurrency limit of one upstream.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    slots: u32,
    recent_us: f64,
    /// Recent service time divided by the baseline.
    ratio: f64,
    baselines_us: HashMap<Class, f64>,
    error_rate: f64,
    ramp: f64,
    cold_since: Option<Moment>,
}

impl ConcurrencyLimit {
    /// A limit for an upstream with `slots` slots, starting cold.
    pub fn new(slots: u32) -> ConcurrencyLimit {
        ConcurrencyLimit {
            slots,
            recent_us: INITIAL_SERVICE_US,
            ratio: 1.0,
            baselines_us: HashMap::new(),
            error_rate: 0.0,
            ramp: cold_slots(slots),
            cold_since: None,
        }
    }

    /// Records that an attempt was offered; the first one starts the warm-up.
    pub fn offered(&mut self, now: Moment) {
        self.cold_since.get_or_insert(now);
    }

    /// Records a completion that occupied its slot for `service_us` microseconds.
    pub fn completed(&mut self, now: Moment, class: Class, service_us: u64, verdict: Verdict) {
        match verdict {
            Verdict::Good => self.record_success(class, service_us as f64),
            Verdict::Error | Verdict::Broken | Verdict::Shed => self.record_error(),
            Verdict::NotSent | Verdict::Ended => {
                self.record_error();
                self.ramp = cold_slots(self.slots);
                self.cold_since = Some(now);
            }
            Verdict::Replaced | Verdict::Cancelled => {}
        }
    }

    /// Attempts that may run at once. `running`: those in flight with their ages in microseconds.
    pub fn current(&self, now: Moment, running: &[(Class, u64)]) -> u32 {
        let slots = self.slots as f64;
        let slow = (SLOW_FACTOR / self.slowness(running)).clamp(MIN_SLOW_SHARE, 1.0);
        let limit = (slots * slow).min(self.opened(now));
        (limit.round() as u32).clamp(1, self.slots)
    }

    /// Recent service time in microseconds, including stalled attempts in flight.
    pub fn service_us(&self, running: &[(Class, u64)]) -> f64 {
        self.recent_us * (self.slowness(running) / self.ratio).max(1.0)
    }

    /// Whether the upstream is slower than its baseline by more than the slow factor.
    pub fn is_slow(&self, running: &[(Class, u64)]) -> bool {
        self.slowness(running) > SLOW_FACTOR
    }

    /// Error rate of recent completions, in thousandths. Errors don't lower the limit: when a
    /// service below fails, all upstreams of this one return errors, and fewer slots would make the
    /// failure worse. Entry duties compare the error rates of upstreams instead.
    pub fn errors_permille(&self) -> u32 {
        (self.error_rate * 1000.0) as u32
    }

    /// Slots opened so far, by completions and by elapsed time.
    fn opened(&self, now: Moment) -> f64 {
        let elapsed_us = self.cold_since.map_or(0, |since| now.since(since));
        let share = (elapsed_us as f64 / WARM_UP_US as f64).min(1.0);
        let by_time = (self.slots as f64 - cold_slots(self.slots)) * share;
        self.ramp + by_time
    }

    /// Recent service time divided by the baseline. When most attempts in flight have stalled,
    /// their ages count before they complete.
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

    fn record_success(&mut self, class: Class, service_us: f64) {
        self.error_rate -= self.error_rate * ERROR_WEIGHT;
        self.ramp = (self.ramp + RAMP_STEP).min(self.slots as f64);
        if self.baselines_us.is_empty() {
            self.recent_us = service_us;
        }
        self.recent_us += (service_us - self.recent_us) * RECENT_WEIGHT;
        if self.baselines_us.len() >= MAX_CLASSES && !self.baselines_us.contains_key(&class) {
            return;
        }
        let first = service_us.max(MIN_BASELINE_US);
        let baseline = self.baselines_us.entry(class).or_insert(first);
        self.ratio += (service_us / *baseline - self.ratio) * RECENT_WEIGHT;
        *baseline = if self.ratio > SLOW_FACTOR {
            *baseline * BASELINE_DRIFT
        } else {
            *baseline + (service_us - *baseline) * BASELINE_WEIGHT
        };
        *baseline = baseline.max(MIN_BASELINE_US);
    }

    fn record_error(&mut self) {
        self.error_rate += (1.0 - self.error_rate) * ERROR_WEIGHT;
    }
}

fn cold_slots(slots: u32) -> f64 {
    (slots as f64 / 2.0).max(1.0)
}
