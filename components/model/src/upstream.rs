//! An upstream with slots, work, and varying speed.

use crate::message::RequestId;
use crate::site::{Class, Fault, FaultKind, SpeedModel};
use names::{AttemptId, Moment, SECOND};
use rand::rngs::SmallRng;
use rand::Rng;
use rand_distr::{Distribution, LogNormal};
use std::collections::{HashMap, VecDeque};

/// Normal speed in percent.
const NORMAL_PERCENT: f64 = 100.0;

/// A running attempt.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) req: RequestId,
    pub(crate) deadline: Moment,
    /// Concurrent calls without an answer.
    pub(crate) pending_calls: u32,
    /// Calls still to be made, one after another.
    pub(crate) remaining_calls: u32,
    /// Calls made for the attempt.
    pub(crate) calls: Vec<RequestId>,
    /// When it started to occupy a slot.
    pub(crate) started_at: Moment,
}

#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) up_at: Moment,
    /// Starts of the last second.
    recent_starts: VecDeque<Moment>,
    pub(crate) runs: HashMap<AttemptId, Run>,
    phase: u64,
    is_slow: bool,
    rng: SmallRng,
}

impl Upstream {
    pub(crate) fn new(up_at: Moment, rng: SmallRng) -> Upstream {
        Upstream {
            up_at,
            recent_starts: VecDeque::new(),
            runs: HashMap::new(),
            phase: u64::MAX,
            is_slow: false,
            rng,
        }
    }

    /// Duration of work that begins now, in percent of normal.
    pub(crate) fn slow_percent(
        &mut self,
        now: Moment,
        speed: &SpeedModel,
        faults: &[Fault],
    ) -> u32 {
        let phase = now.0 / speed.phase_us;
        if phase != self.phase {
            self.phase = phase;
            self.is_slow = self.rng.random_bool(speed.slow_share);
        }
        let slow = if self.is_slow { speed.slow_factor } else { 1.0 };
        let is_cold = now.since(self.up_at) < speed.cold_us;
        let cold = if is_cold { speed.cold_factor } else { 1.0 };
        (NORMAL_PERCENT * slow * cold * fault_slowdown(now, faults)) as u32
    }

    /// Draws the duration of a request's own work that begins now at `percent` of the normal
    /// duration, in microseconds.
    pub(crate) fn work_us(&mut self, class: &Class, slow_percent: u32) -> u64 {
        let slow_percent = f64::from(slow_percent);
        let variance = (1.0 + class.spread * class.spread).ln();
        let mean = class.work_us.ln() - variance / 2.0;
        let drawn = match LogNormal::new(mean, variance.sqrt()) {
            Ok(work) => work.sample(&mut self.rng),
            Err(_) => class.work_us,
        };
        (drawn * slow_percent / NORMAL_PERCENT) as u64
    }

    /// Remaining time for which the upstream is cold, in microseconds.
    pub(crate) fn remaining_cold_us(&self, now: Moment, speed: &SpeedModel) -> u64 {
        (self.up_at + speed.cold_us).since(now)
    }

    /// Records a start; returns the number of starts within the last second.
    pub(crate) fn record_start(&mut self, now: Moment) -> usize {
        let is_over = |at: &Moment| now.since(*at) >= SECOND;
        while self.recent_starts.front().is_some_and(is_over) {
            self.recent_starts.pop_front();
        }
        self.recent_starts.push_back(now);
        self.recent_starts.len()
    }

    /// Crashes and restarts at `up_at`; returns the attempts that were running.
    pub(crate) fn crash(&mut self, up_at: Moment) -> Vec<AttemptId> {
        self.up_at = up_at;
        self.recent_starts.clear();
        // Sorted, because the order of a map differs between runs and one seed must give one
        // report.
        let mut lost: Vec<AttemptId> = self.runs.keys().copied().collect();
        lost.sort_unstable();
        lost
    }

    /// Draws whether a run belongs to the long tail.
    pub(crate) fn is_tail_run(&mut self, share: f64) -> bool {
        self.rng.random_bool(share)
    }

    /// Draws whether calls are made for a request.
    pub(crate) fn makes_calls(&mut self, share: f64) -> bool {
        self.rng.random_bool(share)
    }
}

/// Factor on the duration of work due to faults of all upstreams.
fn fault_slowdown(now: Moment, faults: &[Fault]) -> f64 {
    let factors = faults.iter().map(|fault| match fault.kind {
        FaultKind::Slow(factor) if (fault.from..fault.until).contains(&now) => factor,
        FaultKind::Slow(_) | FaultKind::Down(_) => 1.0,
    });
    factors.product()
}
