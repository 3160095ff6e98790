//! Exchange of records between nodes.
//!
//! A node keeps a connection to every node of its own hall and sends its own record whenever a
//! connection opens. `registry` describes how changes reach the other halls, and how nodes find the
//! records that they missed.

use super::{departures, health, Registration};
use crate::configuration;
use crate::containment;
use crate::links::{self, Reply};
use crate::local;
use crate::node::Node;
use crate::watching;
use async_std::task;
use audit::stats;
use names::{Name, MILLISECOND};
use quota::Quotas;
use rand::seq::IndexedRandom;
use rand::Rng;
use registry::{Digests, MergeOutcome, Record, Versions};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use watch::{AllowedWork, CONTACT_DIALS};
use wire::Frame;

/// Time between two rounds that connect to nodes which are known but not connected. A node that
/// restarted while the store is unavailable is found within this time.
const DIAL_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of connections to its hall that a node opens at the same time. When all nodes of
/// a large hall open all of their connections at once, most exceed the connect timeout and are
/// retried.
const MAX_DIALS: usize = 32;

/// Time between two checks whether the first declarations are in force.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Nodes that are queried for this node's own record and for evacuated halls while the declarations
/// are being read: two, since one may have just started itself.
const RECORD_DIALS: usize = 2;
/// Time after the start in which records that arrive are logged in one line, in microseconds. In
/// this time, nodes that start together announce their starts and their upstreams to each other.
const STARTUP_RECORDS_US: u64 = 2_000 * MILLISECOND;

/// Number of rounds after which a node compares its records with others: once a second. A node that
/// has not read the records in the store yet compares in each round.
const ROUNDS_PER_COMPARISON: u32 = 4;

/// Mean number of comparisons with other halls by all nodes of a hall together, per comparison of
/// each node. With four, a hall still compares each second when its connections fail one by one; a
/// node that is connected to no node of its hall compares each time. If every node compared each
/// time, comparisons would be a third of the bytes between idle halls.
const CROSS_HALL_COMPARISONS: usize = 4;
/// Number of nodes of the hall that receive the digest after records have arrived by a comparison.
const DIGEST_TARGETS: usize = 4;

/// Announces this node's record to all others, directly or through others. While the first
/// declarations are being read, a record of an upstream that accepts work is sent over open
/// connections only, and to the others afterwards ([`run_dials`]), since an announcement opens
/// connections to the whole hall.
pub fn announce(node: &Rc<Node>, registration: &Registration, own: &Record) {
    let is_deferred = registry::can_defer(own)
        && !registration.upstream_replaced.get()
        && watching::allowed_work(node) != AllowedWork::Everything;
    registration.announcement_deferred.set(is_deferred);
    let fleet = registration.fleet.borrow();
    let mut targets = registry::announcement_targets(&fleet, |vm| links::has_failed(node, vm));
    drop(fleet);
    if is_deferred {
        targets.retain(|vm| links::is_connected(node, vm));
    }
    for vm in targets {
        links::send(node, &vm, &Frame::Registered(Box::new(own.clone())));
    }
}

/// Sends a frame to one node of each other hall.
pub fn send_to_other_halls(node: &Rc<Node>, registration: &Registration, frame: &Frame) {
    let fleet = registration.fleet.borrow();
    let targets = registry::cross_hall_contacts(&fleet, 1, |vm| links::has_failed(node, vm));
    drop(fleet);
    for vm in targets {
        links::send(node, &vm, frame);
    }
}

/// Origin of a record.
#[derive(Debug, Clone, Copy)]
pub enum Source<'a> {
    /// The platform's store. The caller reports once, after it has read the entire list, that the
    /// fleet has changed.
    Store,
    /// A node that announces a change: its own, or one that it forwards.
    Announced(&'a Name, &'a Reply),
    /// A comparison with a node that has newer records. Some nodes of the hall are then sent the
    /// digest, so that they compare as well.
    Compared(&'a Reply),
}

/// Merges a record that was received.
pub fn on_record(
    node: &Rc<Node>,
    registration: &Rc<Registration>,
    record: Record,
    source: Source<'_>,
) {
    let (sender, reply) = match source {
        Source::Store => (None, None),
        Source::Announced(sender, reply) => (Some(sender), Some(reply)),
        Source::Compared(reply) => (None, Some(reply)),
    };
    let vm = record.vm.clone();
    let boot = record.boot;
    let earlier = record.upstream.clone();
    let offered = record.clone();
    let merged = registration.fleet.borrow_mut().merge(record);
    match merged {
        MergeOutcome::Applied(before) => {
            let fleet = registration.fleet.borrow();
            let Some(after) = fleet.record(&vm) else {
                return;
            };
            let mut startup_records = registration.startup_records.borrow_mut();
            startup_records.record_applied(after, before.as_ref());
            drop(startup_records);
            let after_record = after.clone();
            let address_changed = before
                .as_ref()
                .is_none_or(|before| before.peers != after.peers);
            let restarted = before
                .as_ref()
                .is_some_and(|before| before.boot != after.boot);
            let should_forward =
                sender.is_some_and(|sender| registry::should_forward(&fleet, sender));
            let update = should_forward.then(|| Frame::Registered(Box::new(after.clone())));
            drop(fleet);
            if let Some(update) = update {
                links::broadcast_to_connected(node, &update);
            }
            if matches!(source, Source::Compared(_)) {
                registration.has_new_records.set(true);
            }
            if restarted || address_changed {
                links::close_outdated(node, &vm);
                node.entry.borrow_mut().forget(&vm);
            }
            if !matches!(source, Source::Store) {
                node.fleet_changed();
            }
            containment::on_record(node, &after_record, before.as_ref());
            let direct = reply.filter(|_| sender == Some(&vm));
            if let (Some(before), Some(reply), true) = (before, direct, restarted) {
                // The new boot may not know what the one before it has announced.
                reply.send(node, Frame::Registered(Box::new(before)));
            }
        }
        MergeOutcome::Older => {
            let fleet = registration.fleet.borrow();
            // If the VM's node itself sends an older record, it does not know the newer one that
            // another party distributed in its name.
            let is_unknown_there = |known: &&Record| known.boot != boot || sender == Some(&vm);
            let known = fleet.record(&vm).filter(is_unknown_there).cloned();
            drop(fleet);
            if let (Some(known), Some(reply)) = (known, reply) {
                reply.send(node, Frame::Registered(Box::new(known)));
            }
        }
        MergeOutcome::Conflict => report_conflict(node, registration, offered),
        MergeOutcome::OwnConflict(version) => {
            containment::adopt_predecessor_record(node, registration, &offered);
            departures::restore(node, registration, &offered, &[]);
            if !matches!(source, Source::Store) && boot != node.boot {
                registration.predecessor.open();
            }
            let own = registration.fleet.borrow_mut().supersede(version);
            audit::own_record_changed(&own);
            announce(node, registration, &own);
            registration.request_write();
            if let Some(earlier) = earlier {
                local::spawn(health::restore_upstream(
                    node.clone(),
                    registration.clone(),
                    earlier,
                ));
            }
        }
        MergeOutcome::ImplausibleVersion => audit::implausible_record(&offered),
        MergeOutcome::Same => {}
    }
}

/// Merges the record with which a node refused an offer for an upstream that is not there. This
/// node's other records may be as old, so it compares them with that node at once.
pub fn on_misdirected(
    node: &Rc<Node>,
    registration: &Rc<Registration>,
    record: Record,
    reply: &Reply,
) {
    let sender = record.vm.clone();
    let before = registration.fleet.borrow().digests().combined();
    on_record(
        node,
        registration,
        record,
        Source::Announced(&sender, reply),
    );
    let digest = registration.fleet.borrow().digests().combined();
    if digest != before {
        reply.send_best_effort(node, Frame::RecordsDigest(digest));
    }
}

/// Sends a VM's node two records with one version, of which it wrote at most one. The node then
/// announces its present record with a version above both. If a false record were kept, the VM's
/// upstream would get no work from the nodes that have read it.
fn report_conflict(node: &Rc<Node>, registration: &Registration, offered: Record) {
    let known = registration.fleet.borrow().record(&offered.vm).cloned();
    let Some(known) = known else {
        return;
    };
    audit::record_conflict(&known, &offered);
    let vm = offered.vm.clone();
    for record in [known, offered] {
        links::send(node, &vm, &Frame::Registered(Box::new(record)));
    }
}

/// Replies with the bucket digests to a node whose records differ.
pub fn on_digest(node: &Rc<Node>, registration: &Registration, digest: u64, reply: &Reply) {
    let fleet = registration.fleet.borrow();
    let digests = fleet.digests();
    if digests.combined() == digest {
        return;
    }
    let bytes = digests.to_bytes();
    drop(fleet);
    reply.send(node, Frame::RecordBuckets(bytes));
}

/// Replies with the versions of the records in the buckets that differ.
pub fn on_buckets(node: &Rc<Node>, registration: &Registration, bytes: &[u8], reply: &Reply) {
    let Some(theirs) = Digests::from_bytes(bytes) else {
        stats::bad_input("peer");
        return;
    };
    let fleet = registration.fleet.borrow();
    let differing = fleet.digests().differing(&theirs);
    let versions = registry::versions(&fleet, differing);
    drop(fleet);
    if differing != 0 {
        reply.send(node, Frame::RecordVersions(versions));
    }
}

/// Sends the records that another node lacks, and requests those that this one lacks.
pub fn on_versions(node: &Rc<Node>, registration: &Registration, theirs: &Versions, reply: &Reply) {
    let fleet = registration.fleet.borrow();
    let compared = registry::compare(&fleet, theirs);
    let mine = compared
        .is_behind
        .then(|| registry::versions(&fleet, theirs.buckets));
    drop(fleet);
    tracing::debug!(
        news = compared.updates.len(),
        lacks = compared.is_behind,
        "records compared with a peer"
    );
    if !compared.updates.is_empty() {
        reply.send(node, Frame::Records(compared.updates));
    }
    if let Some(mine) = mine {
        reply.send(node, Frame::RecordVersions(mine));
    }
}

/// Keeps a connection to every node of the own hall and compares records with others, for as long
/// as the node runs.
pub async fn run_dials(node: Rc<Node>, registration: Rc<Registration>) {
    dial_contacts(&node, &registration).await;
    // Token holders first: without them no request of a limited account is admitted. Announcing the
    // record connects to the whole hall.
    for vm in Quotas::token_holders(&links::Peers(node.clone())) {
        links::dial(&node, &vm);
    }
    if registration.announcement_deferred.take() {
        let own = registration.fleet.borrow().own().clone();
        announce(&node, &registration, &own);
    }
    local::spawn(log_startup_records(node.clone(), registration.clone()));
    let mut round = 0;
    loop {
        let to_dial: Vec<_> = {
            let fleet = registration.fleet.borrow();
            let others = fleet.others();
            let in_hall = others.filter(|record| record.hall == node.cfg.hall);
            let in_hall = in_hall.map(|record| record.vm.clone());
            in_hall.filter(|vm| links::can_dial(&node, vm)).collect()
        };
        let capacity = MAX_DIALS.saturating_sub(links::connecting_count(&node));
        for vm in to_dial.choose_multiple(&mut rand::rng(), capacity) {
            links::dial(&node, vm);
        }
        round += 1;
        if round % ROUNDS_PER_COMPARISON == 0 || !registration.has_read_records.get() {
            compare(&node, &registration);
        }
        if registration.has_new_records.take() {
            send_digest(&node, &registration);
        }
        task::sleep(DIAL_INTERVAL).await;
    }
}

/// Until declarations are in force, connects to only a few nodes while they are read from the
/// store, and to a few more once the store has failed to answer. Each receives this node's record
/// and a summary when its connection opens, and replies with what is newer: a later record of this
/// node, which may report that its upstream is draining, and the evacuated halls.
async fn dial_contacts(node: &Rc<Node>, registration: &Registration) {
    loop {
        configuration::query_postponed(node, registration);
        let count = match watching::allowed_work(node) {
            AllowedWork::Everything => return,
            AllowedWork::Nothing => RECORD_DIALS,
            AllowedWork::Contacts => CONTACT_DIALS,
        };
        for vm in start_contacts(node, registration, count) {
            links::dial(node, &vm);
        }
        task::sleep(START_CHECK_INTERVAL).await;
    }
}

/// The nodes to connect to now, so that `count` are connected.
fn start_contacts(node: &Node, registration: &Registration, count: usize) -> Vec<Name> {
    registry::start_contacts(
        &registration.fleet.borrow(),
        count,
        |vm| links::is_connected_or_connecting(node, vm),
        |vm| links::has_failed(node, vm),
    )
}

/// Logs how many records arrived at the start, once [`STARTUP_RECORDS_US`] have passed.
async fn log_startup_records(node: Rc<Node>, registration: Rc<Registration>) {
    let until = node.started + STARTUP_RECORDS_US;
    task::sleep(Duration::from_micros(until.since(node.now()))).await;
    registration.startup_records.borrow_mut().finish();
}

/// Sends the digest and the summary to one node of the hall and, at random, to a contact in another
/// hall.
fn compare(node: &Rc<Node>, registration: &Registration) {
    let fleet = registration.fleet.borrow();
    let in_hall = connected_in_hall(node, &fleet);
    let includes_cross_hall = rand::rng().random_range(0..=in_hall.len()) < CROSS_HALL_COMPARISONS;
    let cross_hall = includes_cross_hall
        .then(|| cross_hall_contact(node, &fleet))
        .flatten();
    let digest = fleet.digests().combined();
    drop(fleet);
    let in_hall = in_hall.choose(&mut rand::rng()).cloned();
    for vm in in_hall.into_iter().chain(cross_hall) {
        links::send(node, &vm, &Frame::RecordsDigest(digest));
        links::send(node, &vm, &Frame::Summary(node.summary()));
    }
}

/// Sends the digest to a few nodes of the hall after records have arrived by a comparison. Records
/// that one node receives reach the entire hall within three or four rounds.
fn send_digest(node: &Rc<Node>, registration: &Registration) {
    let fleet = registration.fleet.borrow();
    let in_hall = connected_in_hall(node, &fleet);
    let digest = fleet.digests().combined();
    drop(fleet);
    for vm in in_hall.choose_multiple(&mut rand::rng(), DIGEST_TARGETS) {
        links::send(node, vm, &Frame::RecordsDigest(digest));
    }
}

/// The other nodes of this hall to which a connection is open.
fn connected_in_hall(node: &Rc<Node>, fleet: &registry::Fleet) -> Vec<Name> {
    fleet
        .others()
        .filter(|record| record.hall == node.cfg.hall && links::is_connected(node, &record.vm))
        .map(|record| record.vm.clone())
        .collect()
}

/// A random contact of this node in a random other hall.
fn cross_hall_contact(node: &Rc<Node>, fleet: &registry::Fleet) -> Option<Name> {
    let halls: BTreeSet<&Name> = fleet.others().map(|record| &record.hall).collect();
    let halls: Vec<&Name> = halls
        .into_iter()
        .filter(|hall| **hall != node.cfg.hall)
        .collect();
    let hall = halls.choose(&mut rand::rng())?;
    let mut ranked = registry::contacts(fleet, hall);
    ranked.retain(|vm| !links::has_failed(node, vm));
    ranked.truncate(registry::CONTACTS_PER_HALL);
    ranked.choose(&mut rand::rng()).cloned()
}
