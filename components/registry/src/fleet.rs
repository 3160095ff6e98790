//! All records that a node knows.

use crate::digest::Digests;
use crate::incarnation::Incarnation;
use crate::record::{Record, Version};
use names::Name;
use std::collections::{BTreeMap, HashMap};

/// What became of a record that was offered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MergeOutcome {
    /// Newer than what was known; the record before it, if there was one.
    Applied(Option<Record>),
    /// As known.
    Same,
    /// Older than what is known.
    Older,
    /// No node can have come so far: another writer's, or spoiled.
    ImplausibleVersion,
    /// As new as what is known, of the same start, and different: somebody else wrote one of the two.
    Conflict,
    /// Another start of this node's own VM, or another writer, claims a version that isn't below this node's.
    OwnConflict(Version),
}

/// The fleet as one node knows it.
#[derive(Debug, Clone)]
pub struct Fleet {
    me: Name,
    records: BTreeMap<Name, Record>,
    /// VMs with a ready upstream, by service and hall.
    ready: HashMap<Name, BTreeMap<Name, Vec<Name>>>,
    /// Starts of upstreams whose answers said that they leave, by VM. They are not ready, whatever a record says: the node
    /// beside one may have started anew and not know it.
    leaving: HashMap<Name, Incarnation>,
    digests: Digests,
}

impl Fleet {
    /// A fleet that consists of the node that keeps it.
    pub fn new(own: Record) -> Fleet {
        let me = own.vm.clone();
        let mut fleet = Fleet {
            me,
            records: BTreeMap::new(),
            ready: HashMap::new(),
            leaving: HashMap::new(),
            digests: Digests::default(),
        };
        fleet.put(own);
        fleet
    }

    /// This node's own record.
    pub fn own(&self) -> &Record {
        &self.records[&self.me]
    }

    /// Changes this node's own record; its version rises. Returns the new record.
    pub fn change_own(&mut self, change: impl FnOnce(&mut Record)) -> Record {
        let mut own = self.own().clone();
        change(&mut own);
        own.version.change += 1;
        self.put(own.clone());
        own
    }

    /// Starts a new generation of this node's own record above `seen`. Returns the new record.
    pub fn supersede(&mut self, seen: Version) -> Record {
        self.change_own(|own| own.version.generation = seen.generation + 1)
    }

    /// Takes in a record from the store or from another node.
    pub fn merge(&mut self, record: Record) -> MergeOutcome {
        if !record.version.is_plausible() {
            return MergeOutcome::ImplausibleVersion;
        }
        let known = self.records.get(&record.vm);
        if record.vm == self.me {
            let own = self.own();
            // Whoever wrote it: what isn't this node's own word, and others would take for it, is said anew above it.
            let foreign = record != *own && record.version >= own.version;
            return if foreign {
                MergeOutcome::OwnConflict(record.version)
            } else {
                MergeOutcome::Older
            };
        }
        match known {
            Some(known) if record.version < known.version => MergeOutcome::Older,
            // A later start of the VM, which does not know of the one before: it is told, and counts on.
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

    /// The record of a VM.
    pub fn record(&self, vm: &Name) -> Option<&Record> {
        self.records.get(vm)
    }

    /// All records, this node's own included.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// The other nodes.
    pub fn others(&self) -> impl Iterator<Item = &Record> {
        self.records.values().filter(|record| record.vm != self.me)
    }

    /// The nodes of a hall, this one included when it is in it.
    pub fn in_hall<'a>(&'a self, hall: &'a Name) -> impl Iterator<Item = &'a Record> {
        self.records
            .values()
            .filter(move |record| record.hall == *hall)
    }

    /// Number of nodes known, this one included.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Never: a node always knows itself.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// VMs whose upstream takes new work for `service`, by hall.
    pub fn ready(&self, service: &str) -> impl Iterator<Item = (&Name, &[Name])> {
        let halls = self.ready.get(service).into_iter().flatten();
        halls.map(|(hall, vms)| (hall, vms.as_slice()))
    }

    /// Takes in that an answer said that this start of the upstream of `vm` leaves. Returns whether that is news.
    pub fn set_upstream_draining(&mut self, vm: &Name, incarnation: &Incarnation) -> bool {
        let before = self.leaving.insert(vm.clone(), incarnation.clone());
        if self
            .records
            .get(vm)
            .is_some_and(|record| self.leaves(record))
        {
            self.unlist(vm);
        }
        before.as_ref() != Some(incarnation)
    }

    fn leaves(&self, record: &Record) -> bool {
        let leaving = self.leaving.get(&record.vm);
        let upstream = record.upstream.as_ref();
        leaving
            .zip(upstream)
            .is_some_and(|(leaving, upstream)| upstream.incarnation().matches(leaving))
    }

    /// Digests of all records.
    pub fn digests(&self) -> &Digests {
        &self.digests
    }

    /// Forgets a VM that is gone for good.
    pub fn remove(&mut self, vm: &Name) {
        if *vm != self.me {
            self.unlist(vm);
            self.leaving.remove(vm);
            if let Some(record) = self.records.remove(vm) {
                self.digests.toggle(&record);
            }
        }
    }

    fn put(&mut self, record: Record) -> Option<Record> {
        self.unlist(&record.vm);
        let is_ready = record.is_ready() && !self.leaves(&record);
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

    fn unlist(&mut self, vm: &Name) {
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
