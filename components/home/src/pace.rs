//! Slowdown that the upstream reports, and how long it is expected to last.
//!
//! A request runs at the slowdown at which it began, and the slowdown changes several times a
//! second. A home duty therefore needs a report that is a few milliseconds old before it starts
//! anything, and defers work during a slow phase that is about to end. Slow phases that don't end
//! (a cold start, a neighbour that stays busy) become the new baseline.

use crate::limit::Class;
use names::{Moment, MILLISECOND, SECOND};
use std::collections::HashMap;

/// The report of an upstream that is not slowed, in hundredths of the typical run time.
const TYPICAL_PERCENT: u32 = 100;
/// How long a report is fresh enough for a start, in microseconds. Phases last 150 to 300 ms; two
/// starts 10 ms apart have the same slowdown in 80% of cases, two starts 50 ms apart in 60%.
const FRESH_US: u64 = 20 * MILLISECOND;
/// How long a report counts when no fresh one is available, in microseconds. After 150 ms it still
/// holds in 87% of cases, after 300 ms in 76%.
const RETAINED_US: u64 = 200 * MILLISECOND;
/// The upstream is in a slow phase when work takes at least this many times as long as at the
/// baseline. Below it most requests still meet their objective; a cold start takes twice the time.
const SLOW_FACTOR: f64 = 2.5;
/// Slowdown factor assumed for slow phases before the first one, relative to the baseline, and the
/// weight of a new report.
const INITIAL_SLOW_FACTOR: f64 = 4.0;
const SLOW_WEIGHT: f64 = 0.1;
/// Length assumed for slow phases before the first one, in microseconds, and the weight of this
/// assumption, in phases.
const INITIAL_PHASE_US: f64 = 200.0 * MILLISECOND as f64;
const INITIAL_PHASES: f64 = 4.0;
/// Two reports further apart than this don't show what happened in between, in microseconds.
const GAP_US: u64 = 60 * MILLISECOND;
/// Number of slow phases over which the learned length is averaged.
const AVERAGED_PHASES: f64 = 64.0;
/// A slow phase that lasts this many times the learned length becomes the baseline. With a factor
/// of 3, work starts in phases that are merely long, which costs 0.006 of the value of requests
/// under low load.
const LASTING_FACTOR: f64 = 5.0;
/// Share of the learned length for which a phase is expected to continue at least, however long it
/// has lasted.
const MIN_LEFT_SHARE: f64 = 0.5;
/// Backoff after a probe that returned no report, in microseconds: the initial value, which doubles
/// with each further one, and the maximum.
const PROBE_BACKOFF_US: (u64, u64) = (SECOND / 4, 4 * SECOND);
/// Weight of a new run in the typical service time of its class.
const SERVICE_WEIGHT: f64 = 0.1;
/// A run counts in the typical service time of its class with at most this many times that time.
/// Where 3% of the runs take seven times as long, each of them would otherwise raise the typical
/// time by more than half, and requests that can be answered in time would be refused as hopeless.
const MAX_RUN_FACTOR: f64 = 2.0;
/// Cost of a start before any run has ended, in microseconds.
const DEFAULT_COST_US: f64 = 5.0 * MILLISECOND as f64;
/// Maximum number of classes with separate service times.
const MAX_CLASSES: usize = 64;

/// A slow phase that has not ended.
#[derive(Debug, Clone, Copy)]
struct Phase {
    since: Moment,
    /// Whether reports have been frequent enough to measure the length of the phase.
    is_measured: bool,
    /// The smallest slowdown reported in the phase, in hundredths.
    min_percent: u32,
}

/// The reported slowdown of one upstream, and what is learned from it.
#[derive(Debug, Clone, Default)]
pub struct Slowdown {
    percent: u32,
    reported_at: Option<Moment>,
    /// The lasting slowdown, in hundredths; at least [`TYPICAL_PERCENT`].
    baseline: u32,
    phase: Option<Phase>,
    /// The slowdown in slow phases relative to the baseline; none before the first phase.
    slow_factor: Option<f64>,
    /// Total length of the phases that were measured to their end, in microseconds, and their number;
    /// both are halved above [`AVERAGED_PHASES`].
    ended_us: f64,
    ended_phases: f64,
    /// Until when the last report counts as fresh because a probe was denied.
    trusted_until: Moment,
    probing_suspended_until: Moment,
    probe_backoff_us: u64,
    /// Typical run time of each class without slowdown, in microseconds.
    services_us: HashMap<Class, f64>,
}

impl Slowdown {
    /// Records the upstream's report, in hundredths of the typical run time. Returns whether it
    /// changed.
    pub fn reported(&mut self, now: Moment, percent: u32) -> bool {
        let changed = self.percent != percent;
        self.baseline = self.baseline.min(percent).max(TYPICAL_PERCENT);
        if self.is_slow_report(percent) {
            self.slow_report(now, percent);
        } else if let Some(phase) = self.phase.take() {
            self.phase_ended(now, phase);
        }
        self.percent = percent;
        self.reported_at = Some(now);
        self.probe_backoff_us = 0;
        changed
    }

    /// Begins or continues a slow phase; a lasting one becomes the baseline.
    fn slow_report(&mut self, now: Moment, percent: u32) {
        let is_continuous = self.is_continuous(now);
        let factor = f64::from(percent) / f64::from(self.baseline());
        let slow = self.slow_factor.get_or_insert(INITIAL_SLOW_FACTOR);
        *slow += (factor - *slow) * SLOW_WEIGHT;
        let phase = self.phase.get_or_insert(Phase {
            since: now,
            is_measured: true,
            min_percent: percent,
        });
        phase.is_measured &= is_continuous || phase.since == now;
        phase.min_percent = phase.min_percent.min(percent);
        let phase = *phase;
        if now.since(phase.since) as f64 > self.phase_us() * LASTING_FACTOR {
            self.baseline = phase.min_percent;
            self.phase = None;
        }
    }

    fn phase_ended(&mut self, now: Moment, phase: Phase) {
        if !phase.is_measured || !self.is_continuous(now) {
            return;
        }
        self.ended_us += now.since(phase.since) as f64;
        self.ended_phases += 1.0;
        if self.ended_phases > AVERAGED_PHASES {
            self.ended_us /= 2.0;
            self.ended_phases /= 2.0;
        }
    }

    /// Whether the last report is recent enough to exclude a change since.
    fn is_continuous(&self, now: Moment) -> bool {
        self.age_us(now).is_some_and(|age| age <= GAP_US)
    }

    /// Records that a probe returned no report.
    pub fn probe_failed(&mut self, now: Moment) {
        let (shortest, longest) = PROBE_BACKOFF_US;
        self.probe_backoff_us = (self.probe_backoff_us * 2).clamp(shortest, longest);
        self.probing_suspended_until = now + self.probe_backoff_us;
    }

    /// Records that a probe was denied by the budget: the last report counts as fresh for a short
    /// time, if it still counts at all.
    pub fn probe_denied(&mut self, now: Moment) {
        self.trusted_until = now + FRESH_US;
    }

    /// Whether a probe was denied recently.
    pub fn is_probe_denied(&self, now: Moment) -> bool {
        now < self.trusted_until
    }

    /// Records the duration of a complete run that began while the upstream reported `percent`.
    pub fn record_run(&mut self, class: Class, service_us: u64, percent: u32) {
        let slowdown = f64::from(percent.max(TYPICAL_PERCENT)) / f64::from(TYPICAL_PERCENT);
        let unslowed_us = service_us as f64 / slowdown;
        let known = self.services_us.len();
        if known >= MAX_CLASSES && !self.services_us.contains_key(&class) {
            return;
        }
        let service = self.services_us.entry(class).or_insert(unslowed_us);
        let unslowed_us = unslowed_us.min(*service * MAX_RUN_FACTOR);
        *service += (unslowed_us - *service) * SERVICE_WEIGHT;
    }

    /// Typical run time of this class without slowdown, in microseconds; none before a run has ended.
    pub fn service_us(&self, class: Class) -> Option<f64> {
        self.services_us.get(&class).copied()
    }

    /// The cost of a start of this class to its account, in microseconds. A class of which no run
    /// has ended costs as much as the longest known one: its runs may be too long ever to succeed.
    pub(crate) fn cost_us(&self, class: Class) -> u64 {
        let longest_us = || self.services_us.values().copied().reduce(f64::max);
        let typical_us = self.service_us(class).or_else(longest_us);
        (typical_us.unwrap_or(DEFAULT_COST_US) as u64).max(1)
    }

    /// Expected run time of work that begins now and takes `typical_us` without slowdown, in
    /// microseconds.
    pub fn scaled_us(&self, now: Moment, typical_us: f64) -> f64 {
        let percent = match self.reported_percent(now) {
            0 => self.baseline(),
            reported => reported,
        };
        typical_us * f64::from(percent) / f64::from(TYPICAL_PERCENT)
    }

    /// Whether a start has to wait for a new report.
    pub fn needs_probe(&self, now: Moment) -> bool {
        let is_fresh = self.reported_at.is_some_and(|at| now.since(at) <= FRESH_US);
        !is_fresh && now >= self.trusted_until && !self.is_probing_suspended(now)
    }

    /// Whether the last probes failed, so that starts don't wait for one.
    pub fn is_probing_suspended(&self, now: Moment) -> bool {
        now < self.probing_suspended_until
    }

    /// Whether work of this class ends sooner if it begins after the slow phase.
    pub fn is_deferred(&self, now: Moment, class: Class) -> bool {
        if !self.is_slow(now) {
            return false;
        }
        let Some(service_us) = self.services_us.get(&class) else {
            return true;
        };
        let extra = f64::from(self.percent - self.baseline()) / f64::from(TYPICAL_PERCENT);
        extra * service_us > self.phase_left_us(now) as f64
    }

    /// Whether work of this class would wait for the end of a slow phase, so that a report is
    /// useful before it starts. Saves 23% of the probes where slow phases last 300 ms, calls take
    /// 15 ms and the load is low.
    pub fn may_defer(&self, class: Class) -> bool {
        let Some(service_us) = self.services_us.get(&class) else {
            return true;
        };
        let slow = self.slow_factor.unwrap_or(INITIAL_SLOW_FACTOR);
        let extra = (slow - 1.0) * f64::from(self.baseline()) / f64::from(TYPICAL_PERCENT);
        extra * service_us > self.phase_us() * MIN_LEFT_SHARE
    }

    /// Whether the upstream is in a slow phase according to a report that still counts.
    pub fn is_slow(&self, now: Moment) -> bool {
        self.reported_percent(now) > 0 && self.is_slow_report(self.percent)
    }

    /// How much longer the slow phase is expected to last, in microseconds; 0 when there is none.
    pub fn phase_left_us(&self, now: Moment) -> u64 {
        let Some(phase) = self.phase.filter(|_| self.is_slow(now)) else {
            return 0;
        };
        let length = self.phase_us();
        (length - now.since(phase.since) as f64).max(length * MIN_LEFT_SHARE) as u64
    }

    /// The last report while it counts, in hundredths of the typical run time; 0 when there is none.
    pub fn reported_percent(&self, now: Moment) -> u32 {
        let counts = self
            .reported_at
            .is_some_and(|at| now.since(at) < RETAINED_US);
        if counts {
            self.percent
        } else {
            0
        }
    }

    /// Age of the last report, in microseconds; none before the first.
    pub fn age_us(&self, now: Moment) -> Option<u64> {
        self.reported_at.map(|at| now.since(at))
    }

    /// The learned length of slow phases, in microseconds.
    pub fn phase_us(&self) -> f64 {
        (self.ended_us + INITIAL_PHASE_US * INITIAL_PHASES) / (self.ended_phases + INITIAL_PHASES)
    }

    fn baseline(&self) -> u32 {
        self.baseline.max(TYPICAL_PERCENT)
    }

    /// Whether a report means that the upstream is in a slow phase.
    pub(crate) fn is_slow_report(&self, percent: u32) -> bool {
        f64::from(percent) >= SLOW_FACTOR * f64::from(self.baseline())
    }
}
