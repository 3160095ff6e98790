//! Records on their way between nodes.
//!
//! A node keeps a connection to every node of its own hall. It tells its own record whenever a
//! connection opens; how changes reach the other halls, and how nodes find what they missed, is told
//! in `registry`.

use super::{health, Registration};
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

/// Time between two looks for nodes that are known and not connected. A node that restarted while
/// the store is away is found within this time.
const DIAL_EVERY: Duration = Duration::from_millis(250);

/// Connections to its hall that a node opens at the same time, at most. When all nodes of a large hall opened all of
/// theirs at once, most took longer than a connection may, and were begun again.
const MOST_DIALS: usize = 32;

/// Time between two looks whether the first declarations are in force.
const START_LOOK: Duration = Duration::from_millis(10);
/// Nodes that are asked for this node's own record and for evacuated halls while the declarations are being read: two, as
/// one may have just started itself.
const RECORD_DIALS: usize = 2;
/// Records that arrive so long after the start are told in one line, in microseconds: nodes that start together tell one
/// another of their starts and of their upstreams in this time.
const STARTUP_RECORDS_US: u64 = 2_000 * MILLISECOND;

/// Every so many looks a node compares what it knows with others: once a second. One that has not read
/// the records in the store yet does so at each look.
const COMPARE_EVERY_LOOKS: u32 = 4;

/// Comparisons that the nodes of a hall together make with other halls in the time of one comparison of a
/// node. Four, so that a hall whose connections fail one by one still compares each second; a node that is
/// connected to nobody in its hall compares each time. When each node did so, comparisons were a third of the
/// bytes between halls at rest.
const FAR_COMPARISONS: usize = 4;
/// Nodes of the hall that are told when a comparison brought something.
const TOLD_OF_NEWS: usize = 4;

/// Tells this node's record to all others, directly or through others. While the first declarations are being read, a
/// record by which the upstream takes work goes over open connections alone, and to the others afterwards ([`run_dials`]):
/// telling it opens connections to the whole hall.
pub fn announce(node: &Rc<Node>, registration: &Registration, own: &Record) {
    let is_deferred = registry::can_defer(own)
        && !registration.upstream_replaced.get()
        && watching::allowed_work(node) != AllowedWork::Everything;
    registration.announcement_deferred.set(is_deferred);
    let fleet = registration.fleet.borrow();
    let mut told = registry::announcement_targets(&fleet, |vm| links::has_failed(node, vm));
    drop(fleet);
    if is_deferred {
        told.retain(|vm| links::is_connected(node, vm));
    }
    for vm in told {
        links::send(node, &vm, &Frame::Registered(Box::new(own.clone())));
    }
}

/// Sends a frame to one node of each other hall.
pub fn send_to_other_halls(node: &Rc<Node>, registration: &Registration, frame: &Frame) {
    let fleet = registration.fleet.borrow();
    let told = registry::cross_hall_contacts(&fleet, 1, |vm| links::has_failed(node, vm));
    drop(fleet);
    for vm in told {
        links::send(node, &vm, frame);
    }
}

/// Where a record came from.
#[derive(Debug, Clone, Copy)]
pub enum Source<'a> {
    /// The platform's store. Whoever reads its list says once that the fleet has changed.
    Store,
    /// A node that tells a change: its own, or one that it passes on.
    Announced(&'a Name, &'a Reply),
    /// A node that was found to know more. Some nodes of the hall are soon told the digest, so that they
    /// compare as well.
    Compared(&'a Reply),
}

/// Takes in a record.
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
            let moved = before
                .as_ref()
                .is_none_or(|before| before.peers != after.peers);
            let renewed = before
                .as_ref()
                .is_some_and(|before| before.boot != after.boot);
            let passed_on = sender.is_some_and(|sender| registry::should_forward(&fleet, sender));
            let news = passed_on.then(|| Frame::Registered(Box::new(after.clone())));
            drop(fleet);
            if let Some(news) = news {
                links::broadcast_to_connected(node, &news);
            }
            if matches!(source, Source::Compared(_)) {
                registration.has_learned.set(true);
            }
            if renewed || moved {
                links::close_outdated(node, &vm);
                node.entry.borrow_mut().forget(&vm);
            }
            if !matches!(source, Source::Store) {
                node.fleet_changed();
            }
            containment::on_record(node, &after_record, before.as_ref());
            let direct = reply.filter(|_| sender == Some(&vm));
            if let (Some(before), Some(reply), true) = (before, direct, renewed) {
                // The new start may not know what the one before it has told.
                reply.send(node, Frame::Registered(Box::new(before)));
            }
        }
        MergeOutcome::Older => {
            let fleet = registration.fleet.borrow();
            // The VM's node itself says what is older: it does not know what somebody else has said for it.
            let is_unknown_there = |known: &&Record| known.boot != boot || sender == Some(&vm);
            let known = fleet.record(&vm).filter(is_unknown_there).cloned();
            drop(fleet);
            if let (Some(known), Some(reply)) = (known, reply) {
                reply.send(node, Frame::Registered(Box::new(known)));
            }
        }
        MergeOutcome::Conflict => ask_its_node(node, registration, offered),
        MergeOutcome::OwnConflict(version) => {
            containment::adopt_predecessor_record(node, registration, &offered);
            let own = registration.fleet.borrow_mut().supersede(version);
            audit::own_record_changed(&own);
            announce(node, registration, &own);
            registration.request_write();
            if let Some(earlier) = earlier {
                local::spawn(health::find(node.clone(), registration.clone(), earlier));
            }
        }
        MergeOutcome::ImplausibleVersion => audit::implausible_record(&offered),
        MergeOutcome::Same => {}
    }
}

/// Shows a VM's node two records with one version, of which it wrote one at most: it says anew what holds, above both.
/// When such a record was kept, the VM's upstream got no work from the nodes that had read it.
fn ask_its_node(node: &Rc<Node>, registration: &Registration, offered: Record) {
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

/// Answers a node that knows other records than this one.
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

/// Tells a node the versions of the records that it may know otherwise.
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

/// Sends what another node lacks, and asks for what this one lacks.
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

/// Keeps a connection to every node of the own hall and compares with others, for as long as the node
/// runs.
pub async fn run_dials(node: Rc<Node>, registration: Rc<Registration>) {
    dial_contacts(&node, &registration).await;
    // First those without which no request of a limited account is let through. Telling the record connects to the whole
    // hall.
    for vm in Quotas::token_holders(&links::Peers(node.clone())) {
        links::dial(&node, &vm);
    }
    if registration.announcement_deferred.take() {
        let own = registration.fleet.borrow().own().clone();
        announce(&node, &registration, &own);
    }
    local::spawn(log_startup_records(node.clone(), registration.clone()));
    let mut look = 0;
    loop {
        let apart: Vec<_> = {
            let fleet = registration.fleet.borrow();
            let others = fleet.others();
            let near = others.filter(|record| record.hall == node.cfg.hall);
            let near = near.map(|record| record.vm.clone());
            near.filter(|vm| links::can_dial(&node, vm)).collect()
        };
        let room = MOST_DIALS.saturating_sub(links::connecting_count(&node));
        for vm in apart.choose_multiple(&mut rand::rng(), room) {
            links::dial(&node, vm);
        }
        look += 1;
        if look % COMPARE_EVERY_LOOKS == 0 || !registration.has_read_records.get() {
            compare(&node, &registration);
        }
        if registration.has_learned.take() {
            tell_digest(&node, &registration);
        }
        task::sleep(DIAL_EVERY).await;
    }
}

/// Before declarations are in force: only a few nodes are dialled while the store gives them, and a few more once it has not
/// answered. Each is told this node's record and a summary when its connection opens, and answers with what it knows
/// better: a later record of this node, by which its upstream may be drained, and which halls are evacuated.
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
        task::sleep(START_LOOK).await;
    }
}

/// The nodes to dial now, so that `count` are connected.
fn start_contacts(node: &Node, registration: &Registration, count: usize) -> Vec<Name> {
    registry::start_contacts(
        &registration.fleet.borrow(),
        count,
        |vm| links::is_connected_or_connecting(node, vm),
        |vm| links::has_failed(node, vm),
    )
}

/// Writes how many records arrived at the start, once they have arrived.
async fn log_startup_records(node: Rc<Node>, registration: Rc<Registration>) {
    let until = node.started + STARTUP_RECORDS_US;
    task::sleep(Duration::from_micros(until.since(node.now()))).await;
    registration.startup_records.borrow_mut().finish();
}

/// Tells what this node knows to one node of its hall and, now and then, to a contact in another.
fn compare(node: &Rc<Node>, registration: &Registration) {
    let fleet = registration.fleet.borrow();
    let near = near_peers(node, &fleet);
    let is_far_turn = rand::rng().random_range(0..=near.len()) < FAR_COMPARISONS;
    let far = is_far_turn.then(|| far_contact(node, &fleet)).flatten();
    let digest = fleet.digests().combined();
    drop(fleet);
    let near = near.choose(&mut rand::rng()).cloned();
    for vm in near.into_iter().chain(far) {
        links::send(node, &vm, &Frame::RecordsDigest(digest));
        links::send(node, &vm, &Frame::Summary(node.summary()));
    }
}

/// Tells a few nodes of the hall that this one has learned something by a comparison. What one node finds out
/// is known to the hall within three or four looks.
fn tell_digest(node: &Rc<Node>, registration: &Registration) {
    let fleet = registration.fleet.borrow();
    let near = near_peers(node, &fleet);
    let digest = fleet.digests().combined();
    drop(fleet);
    for vm in near.choose_multiple(&mut rand::rng(), TOLD_OF_NEWS) {
        links::send(node, vm, &Frame::RecordsDigest(digest));
    }
}

/// The other nodes of this hall to which a connection is open.
fn near_peers(node: &Rc<Node>, fleet: &registry::Fleet) -> Vec<Name> {
    fleet
        .others()
        .filter(|record| record.hall == node.cfg.hall && links::is_connected(node, &record.vm))
        .map(|record| record.vm.clone())
        .collect()
}

/// One of this node's contacts in a hall drawn at random.
fn far_contact(node: &Rc<Node>, fleet: &registry::Fleet) -> Option<Name> {
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
