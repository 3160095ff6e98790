//! Waiting for a word of the upstream, and for the end of its slow phases.

use super::Home;
use crate::cold::ColdAdmission;
use crate::config::{Action, ProbeResult};
use crate::limit::Class;
use names::Moment;

impl<A: Clone> Home<A> {
    /// Takes in what a look brought.
    pub fn probe_finished(&mut self, now: Moment, probed: ProbeResult) -> Vec<Action> {
        let asked = self.looking.take().unwrap_or(now);
        match probed {
            ProbeResult::Reported { percent, cold_us } => {
                match percent {
                    Some(percent) => {
                        self.pace.reported(now, percent);
                    }
                    None => self.pace.probe_failed(now),
                }
                if let Some(left_us) = cold_us {
                    self.cold.reported(asked, left_us);
                }
                // An upstream that answers is there: without this, what waits for its word would be handed
                // back for as long as offers are rare.
                self.down_since = None;
            }
            ProbeResult::NoAnswer => self.pace.probe_failed(now),
            ProbeResult::NoBudget => self.pace.probe_denied(now),
        }
        let mut actions = Vec::new();
        self.fill(now, &mut actions);
        actions
    }

    /// Whether nothing may start before the upstream has said how long work takes there; asks it, once
    /// for all that wait.
    pub(super) fn waits_for_report(&mut self, now: Moment, actions: &mut Vec<Action>) -> bool {
        if !self.cfg.can_probe || !self.pace.needs_probe(now) {
            return false;
        }
        self.probe_once(now, actions);
        true
    }

    /// Asks the upstream, once for all that wait.
    pub(super) fn probe_once(&mut self, now: Moment, actions: &mut Vec<Action>) {
        if self.looking.is_none() {
            self.looking = Some(now);
            self.counters.probes += 1;
            actions.push(Action::Probe);
        }
    }

    /// Whether another attempt may start after `ahead` others, as far as the upstream may be cold. Where it can't be
    /// asked, doubt is a no until the counted starts are a window old.
    pub(super) fn cold_room(&self, now: Moment, ahead: usize) -> ColdAdmission {
        match self.cold.admission(now, ahead) {
            ColdAdmission::Unconfirmed(until) if !self.can_ask(now) => ColdAdmission::Full(until),
            room => room,
        }
    }

    fn can_ask(&self, now: Moment) -> bool {
        self.cfg.can_probe
            && !self.pace.is_probing_suspended(now)
            && !self.pace.is_probe_denied(now)
    }

    /// Whether work of this class should not begin now because the upstream is in a slow phase.
    pub(super) fn is_deferred(&self, now: Moment, class: Class) -> bool {
        if self.cfg.can_probe {
            self.pace.is_deferred(now, class)
        } else {
            self.pace.is_slow(now)
        }
    }

    /// The same for work that may wait. Without a way to see the phase's end it does not.
    pub(super) fn defers_queued(&self, now: Moment, class: Class) -> bool {
        self.cfg.can_probe
            && !self.pace.is_probing_suspended(now)
            && self.pace.is_deferred(now, class)
    }

    /// How long new work is expected to wait for the end of a slow phase, in microseconds.
    pub(super) fn held_us(&self, now: Moment) -> u64 {
        if self.cfg.can_probe {
            self.pace.phase_left_us(now)
        } else {
            0
        }
    }
}
