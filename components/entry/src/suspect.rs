//! Where a request goes under which an upstream has ended.
//!
//! Copies of a harmful request come at several nodes and again and again; each that runs beside others under
//! suspicion leaves open which of them ended the upstream. So a suspect runs alone where that can be had, at the
//! upstream on which all nodes agree, and once.

use home::Suspicion;
use names::Name;

/// Offers that ask to run alone, before one that may run beside others: upstreams that end together leave many
/// requests under suspicion, most of them innocent, and they have to be served.
const MOST_ALONE_OFFERS: usize = 4;

/// The upstreams at which a suspect may run, and those that were tried.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// The VMs, the best first.
    order: Vec<Name>,
    /// Those that have another suspect, or no room.
    busy: Vec<Name>,
    /// Those that are not asked again.
    closed: Vec<Name>,
}

impl Suspect {
    /// A suspect that may run at these VMs, the best first.
    pub fn new(order: Vec<Name>) -> Suspect {
        Suspect {
            order,
            busy: Vec::new(),
            closed: Vec::new(),
        }
    }

    /// The next VM to ask, and how the request may run there.
    pub fn next(&self) -> Option<(Name, Suspicion)> {
        let is_open = |vm: &&Name| !self.closed.contains(vm);
        let alone = self.order.iter().take(MOST_ALONE_OFFERS);
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

    /// Takes in that a VM had no room for the request as it was offered.
    pub fn on_busy(&mut self, vm: Name, suspicion: Suspicion) {
        match suspicion {
            Suspicion::Alone => self.busy.push(vm),
            Suspicion::None | Suspicion::Shared => self.closed.push(vm),
        }
    }

    /// Takes in that a VM is of no use to the request.
    pub fn exclude(&mut self, vm: Name) {
        self.closed.push(vm);
    }
}
