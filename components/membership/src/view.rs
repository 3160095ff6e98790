//! One node's view of the fleet.

use names::{BootId, Name};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};

/// One VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its name.
    pub name: Name,
    /// Its data hall.
    pub hall: Name,
    /// Where its node serves peers, as address and port.
    pub peers: String,
    /// Where its node serves operators, as address and port.
    pub operators: String,
    /// Whether the platform says that it is leaving.
    pub leaving: bool,
}

/// The platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct VmList {
    /// Rises with each change.
    pub version: u64,
    /// The VMs.
    pub vms: Vec<Vm>,
}

/// The list and the facts that this node learned itself.
#[derive(Debug, Clone, Default)]
pub struct View {
    list: VmList,
    by_name: HashMap<Name, Vm>,
    boots: HashMap<Name, BootId>,
    left: HashSet<(Name, BootId)>,
}

impl View {
    /// Takes in a list; an older or equal one changes nothing. Returns whether it was newer.
    pub fn update(&mut self, list: VmList) -> bool {
        if list.version <= self.list.version {
            return false;
        }
        for vm in &list.vms {
            self.by_name.insert(vm.name.clone(), vm.clone());
        }
        self.list = list;
        true
    }

    /// Takes in the boot that answered for a VM. Returns whether another boot stood there before.
    pub fn record_boot(&mut self, vm: &Name, boot: BootId) -> bool {
        let before = self.boots.insert(vm.clone(), boot);
        before.is_some_and(|before| before != boot)
    }

    /// Takes in that the given boot of a VM is leaving. A later boot of the VM is not meant.
    pub fn mark_leaving(&mut self, vm: &Name, boot: BootId) {
        self.left.insert((vm.clone(), boot));
    }

    /// Whether any source says that the VM is leaving.
    pub fn is_leaving(&self, vm: &Name) -> bool {
        let listed = self.by_name.get(vm).is_some_and(|vm| vm.leaving);
        let said = self
            .boots
            .get(vm)
            .is_some_and(|boot| self.left.contains(&(vm.clone(), *boot)));
        listed || said
    }

    /// The VM of this name as last listed. One that vanished from the list is kept: the list may
    /// be wrong, and a connection that can't be opened is the better witness.
    pub fn vm(&self, name: &Name) -> Option<&Vm> {
        self.by_name.get(name)
    }

    /// The list last taken in.
    pub fn list(&self) -> &VmList {
        &self.list
    }

    /// VMs of a hall that are not leaving.
    pub fn in_hall<'a>(&'a self, hall: &'a Name) -> impl Iterator<Item = &'a Vm> {
        self.list
            .vms
            .iter()
            .filter(move |vm| vm.hall == *hall && !vm.leaving)
    }
}
