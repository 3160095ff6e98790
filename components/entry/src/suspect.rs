//! Where a request goes after an upstream terminated while running it.
//!
//! Copies of a harmful request arrive repeatedly and at several nodes. If several suspects run at
//! one upstream at a time, it stays open which of them terminated it. So a suspect runs once, alone
//! if possible, and at the upstream on which all nodes agree.

use home::Suspicion;
use names::Name;

/// Number of VMs at which the request asks to run as the only suspect, before it accepts to run
/// along with others. Upstreams that terminate together leave many suspects; most are harmless and
/// have to be served.
const MAX_ALONE_OFFERS: usize = 4;

/// The VMs at which a suspect may run, and the ones already tried.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// The VMs, in order of preference.
    order: Vec<Name>,
    /// VMs that refused the request as the only suspect: they run another one, or have no free
    /// slot.
    busy: Vec<Name>,
    /// VMs that get no further offer.
    excluded: Vec<Name>,
}

impl Suspect {
    /// A suspect that may run at these VMs, in order of preference.
    pub fn new(order: Vec<Name>) -> Suspect {
        Suspect {
            order,
            busy: Vec::new(),
            excluded: Vec::new(),
        }
    }

    /// The next VM to offer the request to, and how it may run there.
    pub fn next(&self) -> Option<(Name, Suspicion)> {
        let is_open = |vm: &&Name| !self.excluded.contains(vm);
        let alone = self.order.iter().take(MAX_ALONE_OFFERS);
        let alone = alone
            .filter(is_open)
            .find(|vm| !self.busy.contains(vm))
            .map(|vm| (vm.clone(), Suspicion::Alone));
        let shared = || {
            let vm = self.order.iter().find(is_open)?;
            Some((vm.clone(), Suspicion::Shared))
        };
        alone.or_else(shared)
    }

    /// Records that a VM refused the offer as busy.
    pub fn on_busy(&mut self, vm: Name, suspicion: Suspicion) {
        match suspicion {
            Suspicion::Alone => self.busy.push(vm),
            Suspicion::None | Suspicion::Shared => self.excluded.push(vm),
        }
    }

    /// Makes no further offer to a VM.
    pub fn exclude(&mut self, vm: Name) {
        self.excluded.push(vm);
    }
}
