//! How records spread: within a hall from each node to all, between halls through a few.
//!
//! A change is told to every node of the own hall and to [`CONTACTS_PER_HALL`] nodes of each other hall, which
//! pass it on within theirs. What was lost on the way is found by comparison: a node tells the digest
//! of what it knows, one that knows something else answers with the digests of the buckets, gets the
//! versions in those that differ, and both get what they lack.

use crate::digest::{is_in, record_digest, BucketSet};
use crate::fleet::Fleet;
use crate::record::{Instance, Record, State, Version};
use membership::rendezvous;
use names::Name;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};
use std::iter;

/// Nodes of each other hall that are told of a change directly. Two, so that the loss of one during a
/// change delays it to the next comparison only when both are lost.
pub const CONTACTS_PER_HALL: usize = 2;

/// Which record of each VM a node knows, of the VMs in some buckets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// The buckets.
    #[serde(rename = "b")]
    pub buckets: BucketSet,
    /// The records known there.
    #[serde(rename = "k")]
    pub known: Vec<(Name, Version)>,
    /// What tells each of them from another one with its version, in the same order.
    #[serde(rename = "m", default)]
    pub digests: Vec<u32>,
}

/// What follows from another node's versions.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Comparison {
    /// Records that the other node lacks.
    pub updates: Vec<Record>,
    /// Whether the other node knows something that this one lacks.
    pub is_behind: bool,
}

/// The nodes that are told of this node's change: all of its hall, and contacts of each other hall
/// among those that are not known to be `unreachable`.
pub fn announcement_targets(fleet: &Fleet, unreachable: impl Fn(&Name) -> bool) -> Vec<Name> {
    let own_hall = &fleet.own().hall;
    let near = fleet.others().filter(|record| record.hall == *own_hall);
    let mut told: Vec<Name> = near.map(|record| record.vm.clone()).collect();
    told.extend(cross_hall_contacts(fleet, CONTACTS_PER_HALL, unreachable));
    told
}

/// The nodes that one which starts connects to first, beside those to which it `is_connected`, among those that are not
/// known to be `unreachable`: `count` in all at most, one of them in another hall where there is one. When a whole hall
/// starts at once, its nodes know as little as this one.
pub fn start_contacts(
    fleet: &Fleet,
    count: usize,
    is_connected: impl Fn(&Name) -> bool,
    unreachable: impl Fn(&Name) -> bool,
) -> Vec<Name> {
    let own = fleet.own();
    let connected: Vec<&Record> = fleet
        .others()
        .filter(|record| is_connected(&record.vm))
        .collect();
    // Those that are connected count: records arrive one by one, and each changes the order.
    let room = count.saturating_sub(connected.len());
    let has_far = connected.iter().any(|record| record.hall != own.hall);
    let is_usable = |vm: &Name| !is_connected(vm) && !unreachable(vm);
    let mut far = cross_hall_contacts(fleet, 1, |vm| !is_usable(vm));
    far.sort_by_cached_key(|vm| rendezvous(own.vm.as_str(), vm));
    let is_far_due = !has_far && !far.is_empty();
    let near_count = room.saturating_sub(usize::from(is_far_due));
    let near = contacts(fleet, &own.hall).into_iter();
    let mut asked: Vec<Name> = near.filter(is_usable).take(near_count).collect();
    let far_count = room - asked.len();
    asked.extend(far.into_iter().take(far_count));
    asked
}

/// Whether the record of a node that starts may be told a moment later: nobody acts wrongly meanwhile. Not while the
/// upstream leaves or has left, or requests are held.
pub fn can_defer(own: &Record) -> bool {
    let upstream = own.upstream.as_ref();
    let is_ready = upstream.is_none_or(|run| run.state == State::Ready);
    own.serving && is_ready && own.quarantined.is_empty()
}

/// Whether the upstream that a node named before is not the one that it names now. Others that know the earlier one go on
/// sending it requests until they are told.
pub fn is_replaced(before: Option<&Instance>, after: Option<&Instance>) -> bool {
    let Some(before) = before.map(Instance::incarnation) else {
        return false;
    };
    after.is_none_or(|after| !after.incarnation().matches(&before))
}

/// Up to `count` contacts of each other hall among those that are not known to be `unreachable`.
pub fn cross_hall_contacts(
    fleet: &Fleet,
    count: usize,
    unreachable: impl Fn(&Name) -> bool,
) -> Vec<Name> {
    let own_hall = &fleet.own().hall;
    let others = fleet.others().map(|record| &record.hall);
    let halls: BTreeSet<&Name> = others.filter(|hall| *hall != own_hall).collect();
    let mut found = Vec::new();
    for hall in halls {
        let ranked = contacts(fleet, hall).into_iter();
        found.extend(ranked.filter(|vm| !unreachable(vm)).take(count));
    }
    found
}

/// The nodes of a hall in the order in which this node prefers them as contacts. Each node has an
/// order of its own, so that the load is spread.
pub fn contacts(fleet: &Fleet, hall: &Name) -> Vec<Name> {
    let me = &fleet.own().vm;
    let others = fleet.others().filter(|record| record.hall == *hall);
    let mut ranked: Vec<([u8; 32], &Name)> = others
        .map(|record| (rendezvous(me.as_str(), &record.vm), &record.vm))
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, vm)| vm.clone()).collect()
}

/// Whether news from `sender` is passed on within the own hall: nodes of the hall tell all of it
/// themselves.
pub fn should_forward(fleet: &Fleet, sender: &Name) -> bool {
    let own_hall = &fleet.own().hall;
    let known = fleet.record(sender);
    known.is_some_and(|record| record.hall != *own_hall)
}

/// The version of every record known in these buckets, this node's own included.
pub fn versions(fleet: &Fleet, buckets: BucketSet) -> Versions {
    let records = fleet.records().filter(|record| is_in(buckets, &record.vm));
    let (known, digests) = records
        .map(|record| ((record.vm.clone(), record.version), record_digest(record)))
        .unzip();
    Versions {
        buckets,
        known,
        digests,
    }
}

/// Compares what another node knows with what this one does.
pub fn compare(fleet: &Fleet, theirs: &Versions) -> Comparison {
    let digests = theirs.digests.iter().map(Some).chain(iter::repeat(None));
    let known = theirs.known.iter().zip(digests);
    let known: HashMap<&Name, (Version, Option<&u32>)> = known
        .map(|((vm, at), record_digest)| (vm, (*at, record_digest)))
        .collect();
    // Of the same version and not the same: both nodes learn of it.
    let differs = |record: &Record, (at, theirs): &(Version, Option<&u32>)| {
        *at == record.version && theirs.is_some_and(|theirs| *theirs != record_digest(record))
    };
    let is_news = |record: &&Record| {
        let at = known.get(&record.vm);
        let is_newer = at.is_none_or(|at| at.0 < record.version || differs(record, at));
        is_in(theirs.buckets, &record.vm) && is_newer
    };
    let lacks = |(vm, at): (&&Name, &(Version, Option<&u32>))| {
        let mine = fleet.record(vm);
        mine.is_none_or(|record| record.version < at.0 || differs(record, at))
    };
    Comparison {
        updates: fleet.records().filter(is_news).cloned().collect(),
        is_behind: known.iter().any(lacks),
    }
}
