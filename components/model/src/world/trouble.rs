//! What happens to upstreams while a load is played.

use super::World;
use crate::message::Happening;
use crate::site::TroubleKind;
use home::Verdict;
use names::Moment;
use rand::seq::IndexedRandom;
use std::collections::BTreeMap;

impl World {
    /// Draws the upstreams that will be gone, by service and hall.
    pub(super) fn plan_troubles(&mut self) {
        for trouble in self.troubles.clone() {
            let TroubleKind::Gone(share) = trouble.kind else {
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
                    let until = trouble.until;
                    self.at(trouble.from, Happening::Gone { vm, until });
                }
            }
        }
    }

    /// An upstream is gone until a moment: what runs there breaks off.
    pub(super) fn gone(&mut self, vm: usize, until: Moment) {
        let node = &mut self.nodes[vm];
        let lost = node.upstream.fall(until);
        let actions = node.home.start_drain(self.now);
        self.site.vms[vm].up_at = until;
        self.at(until, Happening::Back { vm });
        self.perform(vm, actions);
        for id in lost {
            self.end(vm, id, Verdict::Broken);
        }
    }
}
