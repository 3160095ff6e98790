//! The fleet as known to one node.

use names::{BootId, Name};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};

/// A VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    pub name: Name,
    pub hall: Name,
    /// Address and port on which its node accepts connections from peers.
    pub peers: String,
    /// Address and port on which its node serves operators.
    pub operators: String,
    /// Whether the platform reports that it is leaving.
    pub leaving: bool,
}

/// The platform's list of VMs.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct VmList {
    /// Increases with each change.
    pub version: u64,
    pub vms: Vec<Vm>,
}

/// The platform's list, and the facts that this node learned itself.
#[derive(Debug, Clone, Default)]
pub struct View {
    list: VmList,
    by_name: HashMap<Name, Vm>,
    boots: HashMap<Name, BootId>,
    leaving: HashSet<(Name, BootId)>,
}

impl View {
    /// Applies a list, unless its version is equal or lower. Returns whether it was applied.
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

    /// Records the boot that answered for a VM. Returns whether another boot was recorded before.
    pub fn record_boot(&mut self, vm: &Name, boot: BootId) -> bool {
        let before = self.boots.insert(vm.clone(), boot);
        before.is_some_and(|before| before != boot)
    }

    /// Records that this boot of a VM is leaving. Later boots of the VM are not affected.
    pub fn mark_leaving(&mut self, vm: &Name, boot: BootId) {
        self.leaving.insert((vm.clone(), boot));
    }

    /// Whether the VM is leaving according to the list or to its own notice.
    pub fn is_leaving(&self, vm: &Name) -> bool {
        let listed = self.by_name.get(vm).is_some_and(|vm| vm.leaving);
        let announced = self
            .boots
            .get(vm)
            .is_some_and(|boot| self.leaving.contains(&(vm.clone(), *boot)));
        listed || announced
    }

    /// The VM of this name as last listed. A VM that is no longer listed is kept, since the list
    /// may be wrong and a failing connection is stronger evidence.
    pub fn vm(&self, name: &Name) -> Option<&Vm> {
        self.by_name.get(name)
    }

    /// The list that was applied last.
    pub fn list(&self) -> &VmList {
        &self.list
    }

    /// VMs of a hall that the list does not mark as leaving.
    pub fn in_hall<'a>(&'a self, hall: &'a Name) -> impl Iterator<Item = &'a Vm> {
        self.list
            .vms
            .iter()
            .filter(move |vm| vm.hall == *hall && !vm.leaving)
    }
}
