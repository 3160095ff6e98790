//! How long work takes at the upstream now, by its own word, and for how long that will last.
//!
//! A request keeps the pace at which it began, and the pace changes several times a second. A home duty
//! therefore wants a word that is a few milliseconds old before it starts anything, and lets work wait
//! while a slow phase lasts that will soon pass. Phases that don't pass (a cold start, a neighbour that
//! stays busy) become the usual pace.

use crate::limit::Class;
use names::{Moment, MILLISECOND, SECOND};
use std::collections::HashMap;

/// The usual pace, in the unit of the upstream's word: hundredths.
const USUAL_PERCENT: u32 = 100;
/// A word counts for a start for so long, in microseconds. At the users' sites phases last 150 to 300 ms,
/// and of two starts 10 ms apart four in five have the same pace, of two 50 ms apart three in five.
const FRESH_US: u64 = 20 * MILLISECOND;
/// For how long a word counts when no fresh one can be had, in microseconds: measured on the users'
/// sites, it still holds in 87 of 100 cases after 150 ms, in 76 after 300 ms.
const KEPT_US: u64 = 200 * MILLISECOND;
/// The upstream is in a slow phase when work takes this many times as long as usual; up to there most
/// requests still meet their objective, and a cold start takes twice the time.
const SLOW_FACTOR: f64 = 2.5;
/// Pace assumed of slow phases before any was seen, in terms of the usual one, and the weight of a new
/// word.
const FIRST_SLOW_FACTOR: f64 = 4.0;
const SLOW_WEIGHT: f64 = 0.1;
/// Length assumed of a slow phase before any was seen, in microseconds, and the weight of the
/// assumption, in phases.
const FIRST_PHASE_US: f64 = 200.0 * MILLISECOND as f64;
const FIRST_PHASES: f64 = 4.0;
/// Two words further apart than this say nothing of what was between them, in microseconds.
const GAP_US: u64 = 60 * MILLISECOND;
/// Slow phases that the learned length remembers.
const REMEMBERED_PHASES: f64 = 64.0;
/// A slow phase that lasts this many times the learned length is the usual pace from then on. Measured
/// against 3, after which work began in phases that were only long: 0.006 of worth on quiet days.
const LASTING: f64 = 5.0;
/// Part of the learned length that a phase is expected to go on for, however long it has lasted.
const LEAST_LEFT: f64 = 0.5;
/// After a look that brought no word none is made for so long, in microseconds; twice as long after each
/// further one, up to the second figure.
const BLIND_US: (u64, u64) = (SECOND / 4, 4 * SECOND);
/// Weight of a new run in the usual service time of its class.
const SERVICE_WEIGHT: f64 = 0.1;
/// A run counts in the usual service time of its class with this many times that time at most. Where 3% of the runs take
/// seven times as long, each of them would otherwise raise the usual time by more than half, and requests that can be
/// answered in time would be refused as hopeless.
const MOST_RUN_FACTOR: f64 = 2.0;
/// Cost of a start before any run has ended, in microseconds.
const DEFAULT_COST_US: f64 = 5.0 * MILLISECOND as f64;
/// Classes whose service times are told apart at most.
const MOST_CLASSES: usize = 64;

/// A slow phase that has not ended.
#[derive(Debug, Clone, Copy)]
struct Phase {
    since: Moment,
    /// Whether every word since came soon enough after the one before to tell the phase's length.
    is_watched: bool,
    /// The least word since, in hundredths.
    least: u32,
}

/// What is known of the pace of one upstream.
#[derive(Debug, Clone, Default)]
pub struct Slowdown {
    percent: u32,
    told: Option<Moment>,
    /// The pace that has lasted, in hundredths; at least [`USUAL_PERCENT`].
    usual: u32,
    phase: Option<Phase>,
    /// The pace in slow phases, in terms of the usual one; none before there was a phase.
    slow_factor: Option<f64>,
    /// Length of the phases that were watched to their end, in microseconds, and their number.
    ended_us: f64,
    ended: f64,
    /// Until when the last word is taken for a fresh one, because no look was allowed.
    trusted_until: Moment,
    blind_until: Moment,
    blind_us: u64,
    /// Time that a run of each class takes at the usual pace, in microseconds.
    services_us: HashMap<Class, f64>,
}

impl Slowdown {
    /// Takes in the upstream's word, in hundredths of the usual time. Returns whether it changed.
    pub fn reported(&mut self, now: Moment, percent: u32) -> bool {
        let changed = self.percent != percent;
        self.usual = self.usual.min(percent).max(USUAL_PERCENT);
        if self.is_slow_report(percent) {
            self.slow_report(now, percent);
        } else if let Some(phase) = self.phase.take() {
            self.phase_ended(now, phase);
        }
        self.percent = percent;
        self.told = Some(now);
        self.blind_us = 0;
        changed
    }

    /// Begins a slow phase or goes on with it; one that lasts becomes the usual pace.
    fn slow_report(&mut self, now: Moment, percent: u32) {
        let is_near = self.is_near(now);
        let factor = f64::from(percent) / f64::from(self.usual());
        let slow = self.slow_factor.get_or_insert(FIRST_SLOW_FACTOR);
        *slow += (factor - *slow) * SLOW_WEIGHT;
        let phase = self.phase.get_or_insert(Phase {
            since: now,
            is_watched: true,
            least: percent,
        });
        phase.is_watched &= is_near || phase.since == now;
        phase.least = phase.least.min(percent);
        let phase = *phase;
        if now.since(phase.since) as f64 > self.phase_us() * LASTING {
            self.usual = phase.least;
            self.phase = None;
        }
    }

    fn phase_ended(&mut self, now: Moment, phase: Phase) {
        if !phase.is_watched || !self.is_near(now) {
            return;
        }
        self.ended_us += now.since(phase.since) as f64;
        self.ended += 1.0;
        if self.ended > REMEMBERED_PHASES {
            self.ended_us /= 2.0;
            self.ended /= 2.0;
        }
    }

    /// Whether the last word came so lately that nothing was between.
    fn is_near(&self, now: Moment) -> bool {
        self.age_us(now).is_some_and(|age| age <= GAP_US)
    }

    /// Takes in that a look brought no word.
    pub fn probe_failed(&mut self, now: Moment) {
        let (least, most) = BLIND_US;
        self.blind_us = (self.blind_us * 2).clamp(least, most);
        self.blind_until = now + self.blind_us;
    }

    /// Takes in that no look was allowed: the last word has to do for a moment, as long as it counts at all.
    pub fn probe_denied(&mut self, now: Moment) {
        self.trusted_until = now + FRESH_US;
    }

    /// Whether a look was refused a moment ago.
    pub fn is_probe_denied(&self, now: Moment) -> bool {
        now < self.trusted_until
    }

    /// Takes in how long a whole run took that began on the word `percent`.
    pub fn record_run(&mut self, class: Class, service_us: u64, percent: u32) {
        let pace = f64::from(percent.max(USUAL_PERCENT)) / f64::from(USUAL_PERCENT);
        let at_usual = service_us as f64 / pace;
        let known = self.services_us.len();
        if known >= MOST_CLASSES && !self.services_us.contains_key(&class) {
            return;
        }
        let service = self.services_us.entry(class).or_insert(at_usual);
        let at_usual = at_usual.min(*service * MOST_RUN_FACTOR);
        *service += (at_usual - *service) * SERVICE_WEIGHT;
    }

    /// How long a run of this class takes at the usual pace, in microseconds; none before one has ended.
    pub fn service_us(&self, class: Class) -> Option<f64> {
        self.services_us.get(&class).copied()
    }

    /// What a start of this class costs its account, in microseconds. A class of which no run has ended costs as much as
    /// the longest that is known: its runs may be too long ever to end well.
    pub(crate) fn cost_us(&self, class: Class) -> u64 {
        let longest_us = || self.services_us.values().copied().reduce(f64::max);
        let usual_us = self.service_us(class).or_else(longest_us);
        (usual_us.unwrap_or(DEFAULT_COST_US) as u64).max(1)
    }

    /// How long work takes that begins now and takes `usual_us` at the usual pace, in microseconds.
    pub fn scaled_us(&self, now: Moment, usual_us: f64) -> f64 {
        let percent = match self.reported_percent(now) {
            0 => self.usual(),
            word => word,
        };
        usual_us * f64::from(percent) / f64::from(USUAL_PERCENT)
    }

    /// Whether a start has to wait for a new word.
    pub fn needs_probe(&self, now: Moment) -> bool {
        let is_fresh = self.told.is_some_and(|told| now.since(told) <= FRESH_US);
        !is_fresh && now >= self.trusted_until && !self.is_probing_suspended(now)
    }

    /// Whether the last looks brought nothing, so that starts don't wait for one.
    pub fn is_probing_suspended(&self, now: Moment) -> bool {
        now < self.blind_until
    }

    /// Whether work of this class ends sooner if it begins after the slow phase.
    pub fn is_deferred(&self, now: Moment, class: Class) -> bool {
        if !self.is_slow(now) {
            return false;
        }
        let Some(service_us) = self.services_us.get(&class) else {
            return true;
        };
        let extra = f64::from(self.percent - self.usual()) / f64::from(USUAL_PERCENT);
        extra * service_us > self.phase_left_us(now) as f64
    }

    /// Whether work of this class would wait for the end of a slow phase, so that a word is of use before
    /// it starts. Saves 23 of 100 looks at a site with slow phases of 300 ms and calls of 15 ms (quiet day, mean
    /// of three).
    pub fn may_defer(&self, class: Class) -> bool {
        let Some(service_us) = self.services_us.get(&class) else {
            return true;
        };
        let slow = self.slow_factor.unwrap_or(FIRST_SLOW_FACTOR);
        let extra = (slow - 1.0) * f64::from(self.usual()) / f64::from(USUAL_PERCENT);
        extra * service_us > self.phase_us() * LEAST_LEFT
    }

    /// Whether the upstream is in a slow phase by a word that still counts.
    pub fn is_slow(&self, now: Moment) -> bool {
        self.reported_percent(now) > 0 && self.is_slow_report(self.percent)
    }

    /// How much longer the slow phase is expected to last, in microseconds; 0 when there is none.
    pub fn phase_left_us(&self, now: Moment) -> u64 {
        let Some(phase) = self.phase.filter(|_| self.is_slow(now)) else {
            return 0;
        };
        let length = self.phase_us();
        (length - now.since(phase.since) as f64).max(length * LEAST_LEFT) as u64
    }

    /// The word while it counts, in hundredths of the usual; 0 when there is none.
    pub fn reported_percent(&self, now: Moment) -> u32 {
        let counts = self.told.is_some_and(|told| now.since(told) < KEPT_US);
        if counts {
            self.percent
        } else {
            0
        }
    }

    /// Age of the last word, in microseconds; none when there never was one.
    pub fn age_us(&self, now: Moment) -> Option<u64> {
        self.told.map(|told| now.since(told))
    }

    /// The learned length of slow phases, in microseconds.
    pub fn phase_us(&self) -> f64 {
        (self.ended_us + FIRST_PHASE_US * FIRST_PHASES) / (self.ended + FIRST_PHASES)
    }

    fn usual(&self) -> u32 {
        self.usual.max(USUAL_PERCENT)
    }

    /// Whether a word of the upstream means that it is in a slow phase.
    pub(crate) fn is_slow_report(&self, percent: u32) -> bool {
        f64::from(percent) >= SLOW_FACTOR * f64::from(self.usual())
    }
}
