//! Faults of upstreams during a simulation.

use super::World;
use crate::message::ScheduledEvent;
use crate::site::FaultKind;
use home::Verdict;
use names::Moment;
use rand::seq::IndexedRandom;
use std::collections::BTreeMap;

impl World {
    /// Draws the upstreams that go down, by service and hall.
    pub(super) fn schedule_faults(&mut self) {
        for fault in self.faults.clone() {
            let FaultKind::Down(share) = fault.kind else {
                continue;
            };
            let mut groups: BTreeMap<(usize, usize), Vec<usize>> = BTreeMap::new();
            for (index, vm) in self.site.vms.iter().enumerate() {
                groups.entry((vm.service, vm.hall)).or_default().push(index);
            }
            for vms in groups.into_values() {
                let count = (vms.len() as f64 * share).round() as usize;
                let drawn: Vec<usize> =
                    vms.choose_multiple(&mut self.rng, count).copied().collect();
                for vm in drawn {
                    let until = fault.until;
                    self.schedule(fault.from, ScheduledEvent::UpstreamDown { vm, until });
                }
            }
        }
    }

    /// An upstream is down until the given time; its running attempts are lost.
    pub(super) fn on_upstream_down(&mut self, vm: usize, until: Moment) {
        let node = &mut self.nodes[vm];
        let lost = node.upstream.crash(until);
        let actions = node.home.start_drain(self.now);
        self.site.vms[vm].up_at = until;
        self.schedule(until, ScheduledEvent::UpstreamUp { vm });
        self.apply_actions(vm, actions);
        for id in lost {
            self.end_run(vm, id, Verdict::Broken);
        }
    }
}
