//! Application of revisions and lists of VMs from any source, and their exchange with peers.

use crate::links::{self, Reply};
use crate::local;
use crate::node::Node;
use crate::registration::Registration;
use crate::{coordinator, home_driver, store, watching};
use async_std::task;
use audit::stats::{self, Work};
use audit::Origin;
use errors::{catch_panic, Step};
use membership::VmList;
use names::Name;
use rand::seq::IndexedRandom;
use rand::Rng;
use rollout::{Advice, LocalState, Offered, Summary, UncheckedRevision};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use watch::AllowedWork;
use wire::Frame;

/// Mean time between two summaries that are sent to a peer chosen at random.
const COMPARISON_INTERVAL: Duration = Duration::from_millis(1_000);
/// Number of peers that are notified at once of a new revision or list.
const NOTIFIED_PEERS: usize = 4;
/// One in this many comparisons is made with a peer of any hall, the others within the own hall.
const CROSS_HALL_INTERVAL: u32 = 4;

/// Pause between two steps of work on declarations, in which requests are served: long enough for
/// sockets to be polled.
pub const STEP_PAUSE: Duration = Duration::from_millis(1);

/// Checks a revision, puts it in force and notifies peers if it is new. Requests are served with
/// the previous revision until the check is complete.
///
/// The check continues if the calling future is dropped: a revision whose check was dropped
/// half-way would count as being checked indefinitely, and would not be accepted from any source.
pub async fn apply_revision(
    node: &Rc<Node>,
    unchecked: impl Into<UncheckedRevision>,
    origin: Origin,
) -> Offered {
    let unchecked = unchecked.into();
    if node.in_force().is_none() {
        // Run in place, so that it is not queued behind other tasks, and without a pause, so that
        // it cannot be dropped.
        return check_and_apply(node, unchecked, origin).await;
    }
    let (tx, rx) = async_channel::bounded(1);
    let node = node.clone();
    local::spawn(async move {
        let offered = check_and_apply(&node, unchecked, origin).await;
        tx.try_send(offered).ok();
    });
    rx.recv().await.unwrap_or(Offered::UnderWay)
}

async fn check_and_apply(node: &Rc<Node>, unchecked: UncheckedRevision, origin: Origin) -> Offered {
    let revision = unchecked.configuration().head.revision;
    let bytes = unchecked.configuration().size();
    let started_at = node.now();
    let check = node.rollout.borrow_mut().begin_check(unchecked);
    let (before, offered) = match check {
        Ok(mut check) => {
            let checked = loop {
                let step = catch_panic(Step::Declarations, "-", || check.step());
                match step {
                    Ok(None) => {}
                    Ok(Some(checked)) => break checked,
                    Err(error) => break Err(error.to_string()),
                }
                // Without declarations no request can be served in the pause, and other work would
                // only delay the check.
                if node.in_force().is_some() {
                    task::sleep(STEP_PAUSE).await;
                }
            };
            let before = node.in_force();
            let offered = node.rollout.borrow_mut().end_check(check, checked);
            (before, offered)
        }
        Err(offered) => (None, offered),
    };
    let check_us = node.now().since(started_at);
    stats::record_declarations_work(Work::Check, check_us);
    audit::revision_received(revision, bytes, &origin, &offered, check_us);
    match &offered {
        Offered::Taken => {
            if let Some(after) = node.in_force() {
                node.fetch.borrow_mut().on_applied();
                node.first_declarations.wake();
                let age_us = node.watch.borrow().age_us(node.now());
                audit::revision_in_force(before.as_deref(), &after, age_us);
                coordinator::record_former_groups(node, before.as_deref(), &after);
            }
            node.refresh_budget();
            home_driver::update_cold_capacity(node);
            notify_peers(node);
        }
        Offered::Same | Offered::UnderWay => {}
        other => tracing::warn!(revision, ?other, "a revision was not applied"),
    }
    offered
}

/// Applies a list of VMs; notifies peers if it is new.
pub fn apply_vm_list(node: &Rc<Node>, list: VmList) {
    let version = list.version;
    if !node.view.borrow_mut().update(list) {
        return;
    }
    node.fetch.borrow_mut().on_applied();
    tracing::info!(version, "a list of VMs was applied");
    node.refresh_budget();
    home_driver::update_drain_state(node);
    notify_peers(node);
}

/// Compares a peer's summary with this node's state: requests newer content from the peer, or
/// reports to it that this node has newer content. The content itself is sent only on request.
pub fn on_summary(node: &Rc<Node>, from: &Name, theirs: &Summary, reply: &Reply) {
    store::on_summary(node, from, theirs);
    let has_newer_evacuations = watching::on_evacuations(node, from, theirs.evacuated.as_ref());
    let mine = node.summary();
    if theirs.is_in_sync_with(&mine) {
        node.rollout.borrow_mut().advance_read_at(theirs.read_at);
        watching::on_confirmation(node, from, theirs);
    }
    if theirs.is_newer_than(&mine) {
        request_newer(node, from, theirs, reply);
    } else if mine.is_newer_than(theirs) || has_newer_evacuations {
        reply.send(node, Frame::Summary(mine));
    }
}

/// Requests newer content from a peer, unless the content is arriving already or the store is about
/// to send it.
fn request_newer(node: &Rc<Node>, from: &Name, theirs: &Summary, reply: &Reply) {
    if watching::allowed_work(node) == AllowedWork::Nothing {
        // The first read from the store is in progress, and a second transfer of the same content
        // would use the same link. The peer sends this summary only once, so it is queried later.
        if let Some(registration) = &node.registration {
            let mut postponed = registration.postponed.borrow_mut();
            postponed.add(from, reply.clone());
        }
        return;
    }
    let mine = node.summary();
    let newest = node.rollout.borrow().newest_revision();
    let known = Summary {
        revision: newest,
        ..mine.clone()
    };
    let is_being_checked = newest > mine.revision && theirs.revision <= newest;
    if is_being_checked || !theirs.is_newer_than(&known) {
        return;
    }
    let state = LocalState {
        revision: mine.revision,
        awaits_store: node.watch.borrow().is_watching(),
        // No second read is sent to a store that has not answered the first one.
        can_read_store: node.registration.is_some() && !watching::awaits_first_read(node),
    };
    let now = node.now();
    let advice = node
        .fetch
        .borrow_mut()
        .on_newer(now, from, state, theirs.bytes_for(&mine));
    let failures = node.fetch.borrow().failures();
    audit::peer_has_newer(from, &mine, theirs, advice, failures);
    match advice {
        Advice::Ask => reply.send(node, Frame::Want(known)),
        Advice::Read => {
            local::spawn(read_from_store(node.clone()));
        }
        Advice::Hold(until) => {
            let node = node.clone();
            let reply = reply.clone();
            local::spawn(async move {
                task::sleep(Duration::from_micros(until.since(now))).await;
                // The peer replies with its own summary if that is still newer.
                reply.send(&node, Frame::Summary(node.summary()));
            });
        }
        Advice::Wait => {}
    }
}

/// Sends this node's summary to the peers that reported newer content while it could not be
/// requested; they reply with theirs if that is still newer.
pub fn query_postponed(node: &Rc<Node>, registration: &Registration) {
    let allowed = watching::allowed_work(node);
    let due = registration.postponed.borrow_mut().take_due(allowed);
    for reply in due {
        reply.send(node, Frame::Summary(node.summary()));
    }
}

/// Reads a large revision from the store. If that fails, it is requested from the next peer that
/// reports it.
async fn read_from_store(node: Rc<Node>) {
    if let Err(error) = watching::read_declarations(&node).await {
        tracing::info!(%error, "reading a peer's newer revision from the store failed");
        node.fetch.borrow_mut().store_failed();
    }
}

/// Sends a peer the revision and the list of VMs that are newer here.
pub fn on_want(node: &Rc<Node>, from: &Name, theirs: &Summary, reply: &Reply) {
    let mine = node.summary();
    if mine.has_newer_content_than(theirs) {
        let delta = node.rollout.borrow().delta_for(theirs.content_id);
        if let Some(configuration) = delta.map(Arc::new) {
            audit::declarations_sent(from, theirs.revision, mine.revision, configuration.size());
            reply.send(node, Frame::Configuration(configuration));
        }
    }
    if mine.list_version > theirs.list_version {
        let list = Arc::new(node.view.borrow().list().clone());
        reply.send(node, Frame::Vms(list));
    }
}

/// Sends summaries to peers chosen at random, for as long as the node runs.
pub async fn run_comparisons(node: Rc<Node>) {
    loop {
        let millis = COMPARISON_INTERVAL.as_millis() as u64;
        let pause = rand::rng().random_range(millis / 2..millis * 3 / 2);
        task::sleep(Duration::from_millis(pause)).await;
        let any_hall = rand::rng().random_range(0..CROSS_HALL_INTERVAL) == 0;
        if let Some(peer) = choose_peers(&node, any_hall, 1).pop() {
            links::send(&node, &peer, &Frame::Summary(node.summary()));
        }
    }
}

/// Sends this node's summary to a few peers, which request the content that they lack.
fn notify_peers(node: &Rc<Node>) {
    let summary = node.summary();
    let mut peers = choose_peers(node, false, NOTIFIED_PEERS - 1);
    peers.extend(choose_peers(node, true, 1));
    for peer in peers {
        links::send(node, &peer, &Frame::Summary(summary.clone()));
    }
}

fn choose_peers(node: &Rc<Node>, any_hall: bool, count: usize) -> Vec<Name> {
    let mut peers = node.other_nodes();
    // Where nodes register, connections to other halls are few.
    let is_usable = |vm: &Name| node.registration.is_none() || links::is_connected(node, vm);
    peers.retain(|(vm, same_hall)| *same_hall || (any_hall && is_usable(vm)));
    peers
        .choose_multiple(&mut rand::rng(), count)
        .map(|(name, _)| name.clone())
        .collect()
}
