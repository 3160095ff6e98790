//! An upstream: slots, work, and a pace that changes.

use crate::message::RequestId;
use crate::site::{Class, Pace, Trouble, TroubleKind};
use names::{AttemptId, Moment, SECOND};
use rand::rngs::SmallRng;
use rand::Rng;
use rand_distr::{Distribution, LogNormal};
use std::collections::{HashMap, VecDeque};

/// The usual pace, in hundredths.
const USUAL_PERCENT: f64 = 100.0;

/// One attempt at work.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) req: RequestId,
    pub(crate) deadline: Moment,
    /// Calls that have not been answered.
    pub(crate) waits_for: u32,
    /// Calls that are made when the one before has been answered.
    pub(crate) in_turn: u32,
    /// Calls made for it.
    pub(crate) calls: Vec<RequestId>,
    /// When it took its slot.
    pub(crate) started: Moment,
}

/// One upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) up_at: Moment,
    /// Starts of the last second.
    starts: VecDeque<Moment>,
    pub(crate) runs: HashMap<AttemptId, Run>,
    phase: u64,
    is_slow: bool,
    rng: SmallRng,
}

impl Upstream {
    pub(crate) fn new(up_at: Moment, rng: SmallRng) -> Upstream {
        Upstream {
            up_at,
            starts: VecDeque::new(),
            runs: HashMap::new(),
            phase: u64::MAX,
            is_slow: false,
            rng,
        }
    }

    /// How long work takes that begins now, in hundredths of the usual.
    pub(crate) fn percent(&mut self, now: Moment, pace: &Pace, troubles: &[Trouble]) -> u32 {
        let phase = now.0 / pace.phase_us;
        if phase != self.phase {
            self.phase = phase;
            self.is_slow = self.rng.random_bool(pace.slow_share);
        }
        let slow = if self.is_slow { pace.slow_factor } else { 1.0 };
        let is_cold = now.since(self.up_at) < pace.cold_us;
        let cold = if is_cold { pace.cold_factor } else { 1.0 };
        (USUAL_PERCENT * slow * cold * slowness(now, troubles)) as u32
    }

    /// How long the own work on a request takes that begins now at the pace `percent`, in microseconds.
    pub(crate) fn work_us(&mut self, class: &Class, percent: u32) -> u64 {
        let percent = f64::from(percent);
        let variance = (1.0 + class.spread * class.spread).ln();
        let mean = class.work_us.ln() - variance / 2.0;
        let drawn = match LogNormal::new(mean, variance.sqrt()) {
            Ok(work) => work.sample(&mut self.rng),
            Err(_) => class.work_us,
        };
        (drawn * percent / USUAL_PERCENT) as u64
    }

    /// How much longer it is cold, in microseconds.
    pub(crate) fn cold_us(&self, now: Moment, pace: &Pace) -> u64 {
        (self.up_at + pace.cold_us).since(now)
    }

    /// Takes in a start; returns how many there were within a second.
    pub(crate) fn started(&mut self, now: Moment) -> usize {
        let is_over = |at: &Moment| now.since(*at) >= SECOND;
        while self.starts.front().is_some_and(is_over) {
            self.starts.pop_front();
        }
        self.starts.push_back(now);
        self.starts.len()
    }

    /// Falls over, to be back at `up_at`; returns what it was at work on.
    pub(crate) fn fall(&mut self, up_at: Moment) -> Vec<AttemptId> {
        self.up_at = up_at;
        self.starts.clear();
        // In one order: what a map gives differs from run to run, and so did reports of one seed.
        let mut lost: Vec<AttemptId> = self.runs.keys().copied().collect();
        lost.sort_unstable();
        lost
    }

    /// Whether a run takes much longer than usual.
    pub(crate) fn is_long(&mut self, share: f64) -> bool {
        self.rng.random_bool(share)
    }

    /// Whether calls are made for a request.
    pub(crate) fn makes_calls(&mut self, share: f64) -> bool {
        self.rng.random_bool(share)
    }
}

/// How much longer work takes because of what happens to all upstreams.
fn slowness(now: Moment, troubles: &[Trouble]) -> f64 {
    let factors = troubles.iter().map(|trouble| match trouble.kind {
        TroubleKind::Slow(factor) if (trouble.from..trouble.until).contains(&now) => factor,
        TroubleKind::Slow(_) | TroubleKind::Gone(_) => 1.0,
    });
    factors.product()
}
