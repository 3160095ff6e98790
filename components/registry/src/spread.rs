//! Distribution of records: from each node to all nodes of its hall, and to a few nodes of each
//! other hall.
//!
//! A node sends a changed record to every node of its own hall and to [`CONTACTS_PER_HALL`] nodes
//! of each other hall, which forward it within theirs. Lost messages are made up for by comparison:
//! a node sends the digest of its records; a peer with a different digest replies with its bucket
//! digests and receives the versions in the buckets that differ. Both then receive the records that
//! they lack.

use crate::digest::{is_in, record_digest, BucketSet};
use crate::fleet::Fleet;
use crate::record::{Instance, Record, State, Version};
use membership::rendezvous;
use names::Name;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};
use std::iter;

/// Nodes of each other hall to which a change is sent directly. With two, a change waits for the next
/// comparison only if both messages are lost.
pub const CONTACTS_PER_HALL: usize = 2;

/// Versions of the records that a node has in some buckets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    #[serde(rename = "b")]
    pub buckets: BucketSet,
    /// The version of each record in these buckets.
    #[serde(rename = "k")]
    pub known: Vec<(Name, Version)>,
    /// The digests of the same records in the same order; they distinguish records that have one
    /// version.
    #[serde(rename = "m", default)]
    pub digests: Vec<u32>,
}

/// Result of a comparison with another node's versions.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Comparison {
    /// Records that the other node lacks.
    pub updates: Vec<Record>,
    /// Whether this node lacks records that the other node has.
    pub is_behind: bool,
}

/// The nodes to which a change of this node's record is sent: all nodes of its hall, and contacts
/// in each other hall that are not known to be `unreachable`.
pub fn announcement_targets(fleet: &Fleet, unreachable: impl Fn(&Name) -> bool) -> Vec<Name> {
    let own_hall = &fleet.own().hall;
    let in_hall = fleet.others().filter(|record| record.hall == *own_hall);
    let mut targets: Vec<Name> = in_hall.map(|record| record.vm.clone()).collect();
    targets.extend(cross_hall_contacts(fleet, CONTACTS_PER_HALL, unreachable));
    targets
}

/// The nodes to which a starting node connects next, excluding nodes known to be `unreachable`.
/// Together with those for which `is_connected` holds, they are at most `count`, and one is in
/// another hall if there is one: when all nodes of a hall start at the same time, none of them has
/// more records than this one.
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
    // Existing connections count towards the limit: records arrive one by one, and each changes the
    // order.
    let remaining = count.saturating_sub(connected.len());
    let has_remote = connected.iter().any(|record| record.hall != own.hall);
    let is_usable = |vm: &Name| !is_connected(vm) && !unreachable(vm);
    let mut remote = cross_hall_contacts(fleet, 1, |vm| !is_usable(vm));
    remote.sort_by_cached_key(|vm| rendezvous(own.vm.as_str(), vm));
    let needs_remote = !has_remote && !remote.is_empty();
    let in_hall_count = remaining.saturating_sub(usize::from(needs_remote));
    let in_hall = contacts(fleet, &own.hall).into_iter();
    let mut selected: Vec<Name> = in_hall.filter(is_usable).take(in_hall_count).collect();
    let remote_count = remaining - selected.len();
    selected.extend(remote.into_iter().take(remote_count));
    selected
}

/// Whether the announcement of a starting node's record may be deferred because no other node acts
/// wrongly without it. Not if the upstream is draining or gone, or requests are quarantined.
pub fn can_defer(own: &Record) -> bool {
    let upstream = own.upstream.as_ref();
    let is_ready = upstream.is_none_or(|upstream| upstream.state == State::Ready);
    own.serving && is_ready && own.quarantined.is_empty()
}

/// Whether a node's record no longer contains the upstream that it contained `before`. Other nodes
/// that know the earlier upstream keep sending requests to it until they receive the new record.
pub fn is_replaced(before: Option<&Instance>, after: Option<&Instance>) -> bool {
    let Some(before) = before.map(Instance::incarnation) else {
        return false;
    };
    after.is_none_or(|after| !after.incarnation().matches(&before))
}

/// Up to `count` contacts in each other hall, excluding nodes known to be `unreachable`.
pub fn cross_hall_contacts(
    fleet: &Fleet,
    count: usize,
    unreachable: impl Fn(&Name) -> bool,
) -> Vec<Name> {
    let own_hall = &fleet.own().hall;
    let others = fleet.others().map(|record| &record.hall);
    let halls: BTreeSet<&Name> = others.filter(|hall| *hall != own_hall).collect();
    let mut selected = Vec::new();
    for hall in halls {
        let ranked = contacts(fleet, hall).into_iter();
        selected.extend(ranked.filter(|vm| !unreachable(vm)).take(count));
    }
    selected
}

/// The nodes of a hall in the order in which this node prefers them as contacts. The order differs
/// between nodes, which balances the load.
pub fn contacts(fleet: &Fleet, hall: &Name) -> Vec<Name> {
    let own_vm = &fleet.own().vm;
    let others = fleet.others().filter(|record| record.hall == *hall);
    let mut ranked: Vec<([u8; 32], &Name)> = others
        .map(|record| (rendezvous(own_vm.as_str(), &record.vm), &record.vm))
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, vm)| vm.clone()).collect()
}

/// Whether an update from `sender` is forwarded within the own hall. Nodes of the own hall send
/// their updates to all of its nodes themselves.
pub fn should_forward(fleet: &Fleet, sender: &Name) -> bool {
    let own_hall = &fleet.own().hall;
    let known = fleet.record(sender);
    known.is_some_and(|record| record.hall != *own_hall)
}

/// The versions of all records in these buckets, including this node's own.
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

/// Compares another node's records with those of this node.
pub fn compare(fleet: &Fleet, theirs: &Versions) -> Comparison {
    let digests = theirs.digests.iter().map(Some).chain(iter::repeat(None));
    let known = theirs.known.iter().zip(digests);
    let known: HashMap<&Name, (Version, Option<&u32>)> = known
        .map(|((vm, at), digest)| (vm, (*at, digest)))
        .collect();
    // A record with the same version but different content is exchanged in both directions.
    let differs = |record: &Record, (at, theirs): &(Version, Option<&u32>)| {
        *at == record.version && theirs.is_some_and(|theirs| *theirs != record_digest(record))
    };
    let is_update = |record: &&Record| {
        let at = known.get(&record.vm);
        let is_newer = at.is_none_or(|at| at.0 < record.version || differs(record, at));
        is_in(theirs.buckets, &record.vm) && is_newer
    };
    let lacks = |(vm, at): (&&Name, &(Version, Option<&u32>))| {
        let mine = fleet.record(vm);
        mine.is_none_or(|record| record.version < at.0 || differs(record, at))
    };
    Comparison {
        updates: fleet.records().filter(is_update).cloned().collect(),
        is_behind: known.iter().any(lacks),
    }
}
