//! Checks each refusal of a home duty against what its upstream could have done.

use super::home_side::LOOK_US;
use super::{Job, World};
use home::{Action, Reason};
use names::AttemptId;

impl World {
    /// Counts refusals as busy beside a free slot.
    pub(super) fn check_refusals(&mut self, vm: usize, actions: &[Action]) {
        for action in actions {
            let Action::Refuse(id, refusal) = action else {
                continue;
            };
            if refusal.reason != Reason::Busy || !self.has_usable_slot(vm, *id) {
                continue;
            }
            let Some(job) = self.nodes[vm].jobs.get(id) else {
                continue;
            };
            // An offer that came without a word on the upstream's pace waited for it.
            if self.now.since(job.arrived) <= LOOK_US {
                self.refused_beside_free.offered += 1;
            } else {
                self.refused_beside_free.queued += 1;
            }
        }
    }

    /// Whether a slot was free that the attempt may use: the upstream is at its usual pace and nobody waits there, and a
    /// run of usual length would end before the deadline.
    fn has_usable_slot(&self, vm: usize, id: AttemptId) -> bool {
        let node = &self.nodes[vm];
        let Some(Job { req, deadline, .. }) = node.jobs.get(&id).copied() else {
            return false;
        };
        let load = node.home.load(self.now);
        let is_free = load.in_flight < load.limit && load.queued == 0;
        let is_closed =
            load.leaving || load.cold_wait_us > 0 || node.home.slowdown().is_slow(self.now);
        let percent = load.slow_percent.max(100);
        let usual_us = self.site.usual_us(self.requests[req].class) * f64::from(percent) / 100.0;
        is_free && !is_closed && usual_us < deadline.since(self.now) as f64
    }
}
