//! Waiting for reports of the upstream, and for the end of its slow phases.

use super::Home;
use crate::cold::ColdAdmission;
use crate::config::{Action, ProbeResult};
use crate::limit::Class;
use names::Moment;

impl<A: Clone> Home<A> {
    /// Applies the result of a probe and starts what it permits.
    pub fn probe_finished(&mut self, now: Moment, result: ProbeResult) -> Vec<Action> {
        let probed_at = self.probe_started_at.take().unwrap_or(now);
        match result {
            ProbeResult::Reported { percent, cold_us } => {
                match percent {
                    Some(percent) => {
                        self.slowdown.reported(now, percent);
                    }
                    None => self.slowdown.probe_failed(now),
                }
                if let Some(left_us) = cold_us {
                    self.cold_limiter.reported(probed_at, left_us);
                }
                // An upstream that answers is not down. Otherwise attempts that waited for its report would
                // be revoked as long as offers are rare.
                self.down_since = None;
            }
            ProbeResult::NoAnswer => self.slowdown.probe_failed(now),
            ProbeResult::NoBudget => self.slowdown.probe_denied(now),
        }
        let mut actions = Vec::new();
        self.dispatch(now, &mut actions);
        actions
    }

    /// Whether nothing may start before the upstream reports its service time; if so, requests one probe
    /// for all attempts that wait.
    pub(super) fn must_wait_for_report(&mut self, now: Moment, actions: &mut Vec<Action>) -> bool {
        if !self.cfg.can_probe || !self.slowdown.needs_probe(now) {
            return false;
        }
        self.probe_once(now, actions);
        true
    }

    /// Requests a probe, unless one is in progress.
    pub(super) fn probe_once(&mut self, now: Moment, actions: &mut Vec<Action>) {
        if self.probe_started_at.is_none() {
            self.probe_started_at = Some(now);
            self.counters.probes += 1;
            actions.push(Action::Probe);
        }
    }

    /// Whether another attempt may start after `ahead` others, given that the upstream may be cold. Where it
    /// can't be probed, an unconfirmed result counts as full until the counted starts leave the window.
    pub(super) fn cold_admission(&self, now: Moment, ahead: usize) -> ColdAdmission {
        match self.cold_limiter.admission(now, ahead) {
            ColdAdmission::Unconfirmed(until) if !self.can_probe_now(now) => {
                ColdAdmission::Full(until)
            }
            admission => admission,
        }
    }

    fn can_probe_now(&self, now: Moment) -> bool {
        self.cfg.can_probe
            && !self.slowdown.is_probing_suspended(now)
            && !self.slowdown.is_probe_denied(now)
    }

    /// Whether work of this class should not start now because the upstream is in a slow phase.
    pub(super) fn is_deferred(&self, now: Moment, class: Class) -> bool {
        if self.cfg.can_probe {
            self.slowdown.is_deferred(now, class)
        } else {
            self.slowdown.is_slow(now)
        }
    }

    /// The same for work that may be queued. It is not deferred where the end of the phase can't be seen.
    pub(super) fn is_deferred_in_queue(&self, now: Moment, class: Class) -> bool {
        self.cfg.can_probe
            && !self.slowdown.is_probing_suspended(now)
            && self.slowdown.is_deferred(now, class)
    }

    /// Expected wait of new work for the end of a slow phase, in microseconds.
    pub(super) fn deferred_us(&self, now: Moment) -> u64 {
        if self.cfg.can_probe {
            self.slowdown.phase_left_us(now)
        } else {
            0
        }
    }
}
