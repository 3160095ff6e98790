//! All records that a node knows.

use crate::digest::Digests;
use crate::incarnation::Incarnation;
use crate::record::{Record, Version};
use names::Name;
use std::collections::{BTreeMap, HashMap};

/// Result of merging a record into the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MergeOutcome {
    /// Newer than the known record, or the first of its VM. Contains the record that it replaced.
    Applied(Option<Record>),
    /// Equal to the known record.
    Same,
    /// Older than the known record.
    Older,
    /// The version is higher than any node can reach: the record is corrupt or from another writer.
    ImplausibleVersion,
    /// Same version and boot as the known record, but different content: another writer wrote one
    /// of the two.
    Conflict,
    /// A record of this node's VM from another boot or another writer, with a version that is not
    /// lower than this node's own.
    OwnConflict(Version),
}

/// The records of all nodes, as known to one node.
#[derive(Debug, Clone)]
pub struct Fleet {
    own_vm: Name,
    records: BTreeMap<Name, Record>,
    /// VMs with a ready upstream, by service and hall.
    ready: HashMap<Name, BTreeMap<Name, Vec<Name>>>,
    /// Incarnations of upstreams that announced in an answer that they are draining, by VM. They
    /// are not ready, whatever their record says: their node may have restarted and not know about
    /// the drain.
    draining: HashMap<Name, Incarnation>,
    digests: Digests,
}

impl Fleet {
    /// A fleet that consists of this node only.
    pub fn new(own: Record) -> Fleet {
        let own_vm = own.vm.clone();
        let mut fleet = Fleet {
            own_vm,
            records: BTreeMap::new(),
            ready: HashMap::new(),
            draining: HashMap::new(),
            digests: Digests::default(),
        };
        fleet.put(own);
        fleet
    }

    pub fn own(&self) -> &Record {
        &self.records[&self.own_vm]
    }

    /// Changes this node's own record and increments its version. Returns the new record.
    pub fn change_own(&mut self, change: impl FnOnce(&mut Record)) -> Record {
        let mut own = self.own().clone();
        change(&mut own);
        own.version.change += 1;
        self.put(own.clone());
        own
    }

    /// Moves this node's own record to the generation after that of `seen`. Returns the new record.
    pub fn supersede(&mut self, seen: Version) -> Record {
        self.change_own(|own| own.version.generation = seen.generation + 1)
    }

    /// Merges a record from the store or from another node.
    pub fn merge(&mut self, record: Record) -> MergeOutcome {
        if !record.version.is_plausible() {
            return MergeOutcome::ImplausibleVersion;
        }
        let known = self.records.get(&record.vm);
        if record.vm == self.own_vm {
            let own = self.own();
            // Other nodes would take this record for this node's own, whoever wrote it, so the caller
            // has to supersede it.
            let is_conflict = record != *own && record.version >= own.version;
            return if is_conflict {
                MergeOutcome::OwnConflict(record.version)
            } else {
                MergeOutcome::Older
            };
        }
        match known {
            Some(known) if record.version < known.version => MergeOutcome::Older,
            // Another boot of the VM that has not learned of the earlier one. Its node is sent the
            // known record and then supersedes it.
            Some(known) if record.version == known.version && record.boot != known.boot => {
                MergeOutcome::Older
            }
            Some(known) if record.version == known.version && record != *known => {
                MergeOutcome::Conflict
            }
            Some(known) if record.version == known.version => MergeOutcome::Same,
            _ => MergeOutcome::Applied(self.put(record)),
        }
    }

    pub fn record(&self, vm: &Name) -> Option<&Record> {
        self.records.get(vm)
    }

    /// All records, including this node's own.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// The records of the other nodes.
    pub fn others(&self) -> impl Iterator<Item = &Record> {
        self.records
            .values()
            .filter(|record| record.vm != self.own_vm)
    }

    /// The other VM whose upstream is `incarnation`.
    pub fn vm_of(&self, incarnation: &Incarnation) -> Option<&Name> {
        let runs_there = |record: &&Record| {
            let upstream = record.upstream.as_ref();
            upstream.is_some_and(|upstream| upstream.incarnation().matches(incarnation))
        };
        self.others().find(runs_there).map(|record| &record.vm)
    }

    /// The records of the nodes in a hall, including this node's own if it is in that hall.
    pub fn in_hall<'a>(&'a self, hall: &'a Name) -> impl Iterator<Item = &'a Record> {
        self.records
            .values()
            .filter(move |record| record.hall == *hall)
    }

    /// Number of known nodes, including this one.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Always false, since the fleet contains this node itself.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// VMs whose upstream accepts new work for `service`, by hall.
    pub fn ready(&self, service: &str) -> impl Iterator<Item = (&Name, &[Name])> {
        let halls = self.ready.get(service).into_iter().flatten();
        halls.map(|(hall, vms)| (hall, vms.as_slice()))
    }

    /// Records that this incarnation of the upstream of `vm` announced in an answer that it is
    /// draining. Returns whether this was not known before.
    pub fn set_upstream_draining(&mut self, vm: &Name, incarnation: &Incarnation) -> bool {
        let before = self.draining.insert(vm.clone(), incarnation.clone());
        if self
            .records
            .get(vm)
            .is_some_and(|record| self.is_draining(record))
        {
            self.remove_ready(vm);
        }
        before.as_ref() != Some(incarnation)
    }

    fn is_draining(&self, record: &Record) -> bool {
        let draining = self.draining.get(&record.vm);
        let upstream = record.upstream.as_ref();
        draining
            .zip(upstream)
            .is_some_and(|(draining, upstream)| upstream.incarnation().matches(draining))
    }

    pub fn digests(&self) -> &Digests {
        &self.digests
    }

    /// Removes a VM that no longer exists.
    pub fn remove(&mut self, vm: &Name) {
        if *vm != self.own_vm {
            self.remove_ready(vm);
            self.draining.remove(vm);
            if let Some(record) = self.records.remove(vm) {
                self.digests.toggle(&record);
            }
        }
    }

    fn put(&mut self, record: Record) -> Option<Record> {
        self.remove_ready(&record.vm);
        let is_ready = record.is_ready() && !self.is_draining(&record);
        if let Some(upstream) = record.upstream.as_ref().filter(|_| is_ready) {
            let halls = self.ready.entry(upstream.service.clone()).or_default();
            let vms = halls.entry(record.hall.clone()).or_default();
            vms.push(record.vm.clone());
        }
        self.digests.toggle(&record);
        let before = self.records.insert(record.vm.clone(), record);
        if let Some(before) = &before {
            self.digests.toggle(before);
        }
        before
    }

    fn remove_ready(&mut self, vm: &Name) {
        let Some(record) = self.records.get(vm) else {
            return;
        };
        let Some(upstream) = &record.upstream else {
            return;
        };
        let halls = self.ready.get_mut(&upstream.service);
        if let Some(vms) = halls.and_then(|halls| halls.get_mut(&record.hall)) {
            vms.retain(|other| other != vm);
        }
    }
}
