//! Checks each refusal of a home duty against the free slots of its upstream.

use super::home_side::PROBE_US;
use super::{Job, World};
use home::{Action, Reason};
use names::AttemptId;

impl World {
    /// Counts busy refusals while a usable slot was free.
    pub(super) fn count_avoidable_refusals(&mut self, vm: usize, actions: &[Action]) {
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
            // An offer to an upstream of unknown speed first waits for a health probe.
            if self.now.since(job.arrived_at) <= PROBE_US {
                self.avoidable_refusals.on_arrival += 1;
            } else {
                self.avoidable_refusals.from_queue += 1;
            }
        }
    }

    /// Whether a slot was free that the attempt may use: the upstream runs at normal speed, no
    /// attempt is queued, and a run of typical duration would end before the deadline.
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
        let typical_us =
            self.site.typical_us(self.requests[req].class) * f64::from(percent) / 100.0;
        is_free && !is_closed && typical_us < deadline.since(self.now) as f64
    }
}
