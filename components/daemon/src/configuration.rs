//! Taking in revisions and lists of VMs from any source, and passing them on.

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

/// Mean time between two comparisons with a peer chosen at random.
const COMPARE_EVERY: Duration = Duration::from_millis(1_000);
/// Peers told at once of something new.
const TOLD_AT_ONCE: usize = 4;
/// One comparison in so many is made with a peer of any hall, the others within the own hall.
const FAR_COMPARISON: u32 = 4;

/// Pause between two steps of work on declarations, in which requests are served: long enough that
/// sockets are probed at.
pub const STEP_PAUSE: Duration = Duration::from_millis(1);

/// Takes in a revision; tells peers when it is new. Requests are served by the one before it until it
/// is checked.
///
/// The check goes on when the caller is given up meanwhile: a revision whose check was dropped half-way would
/// count as being checked for ever, and be taken from nobody.
pub async fn apply_revision(
    node: &Rc<Node>,
    unchecked: impl Into<UncheckedRevision>,
    origin: Origin,
) -> Offered {
    let unchecked = unchecked.into();
    if node.in_force().is_none() {
        // Not queued behind the work of others, and carried through without a pause, so that it is never given up.
        return check_and_take(node, unchecked, origin).await;
    }
    let (tx, rx) = async_channel::bounded(1);
    let node = node.clone();
    local::spawn(async move {
        let offered = check_and_take(&node, unchecked, origin).await;
        tx.try_send(offered).ok();
    });
    rx.recv().await.unwrap_or(Offered::UnderWay)
}

async fn check_and_take(node: &Rc<Node>, unchecked: UncheckedRevision, origin: Origin) -> Offered {
    let revision = unchecked.configuration().head.revision;
    let bytes = unchecked.configuration().size();
    let began = node.now();
    let begun = node.rollout.borrow_mut().begin_check(unchecked);
    let (before, offered) = match begun {
        Ok(mut checking) => {
            let checked = loop {
                let step = catch_panic(Step::Declarations, "-", || checking.step());
                match step {
                    Ok(None) => {}
                    Ok(Some(checked)) => break checked,
                    Err(error) => break Err(error.to_string()),
                }
                // Without declarations no request can be served in the pause, and other work would only delay them.
                if node.in_force().is_some() {
                    task::sleep(STEP_PAUSE).await;
                }
            };
            let before = node.in_force();
            let offered = node.rollout.borrow_mut().end_check(checking, checked);
            (before, offered)
        }
        Err(offered) => (None, offered),
    };
    let check_us = node.now().since(began);
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
            tell_some(node);
        }
        Offered::Same | Offered::UnderWay => {}
        other => tracing::warn!(revision, ?other, "a revision was not taken"),
    }
    offered
}

/// Takes in a list of VMs; tells peers when it is new.
pub fn apply_vm_list(node: &Rc<Node>, list: VmList) {
    let version = list.version;
    if !node.view.borrow_mut().update(list) {
        return;
    }
    node.fetch.borrow_mut().on_applied();
    tracing::info!(version, "a list of VMs was taken in");
    node.refresh_budget();
    home_driver::update_drain_state(node);
    tell_some(node);
}

/// Takes in what a peer knows: asks for what is newer there, or tells it that something is newer here.
/// Content is sent only to who wants it.
pub fn on_summary(node: &Rc<Node>, from: &Name, theirs: &Summary, reply: &Reply) {
    store::on_summary(node, from, theirs);
    let has_newer_evacuations = watching::on_evacuations(node, from, theirs.evacuated.as_ref());
    let mine = node.summary();
    if theirs.is_in_sync_with(&mine) {
        node.rollout.borrow_mut().advance_read_at(theirs.read_at);
        watching::on_confirmation(node, from, theirs);
    }
    if theirs.is_newer_than(&mine) {
        ask(node, from, theirs, reply);
    } else if mine.is_newer_than(theirs) || has_newer_evacuations {
        reply.send(node, Frame::Summary(mine));
    }
}

/// Asks a peer for what is newer there, unless it is on its way or the store is about to give it.
fn ask(node: &Rc<Node>, from: &Name, theirs: &Summary, reply: &Reply) {
    if watching::allowed_work(node) == AllowedWork::Nothing {
        // Asked again, the store would send the same once more over the same link. The peer tells this only once, so
        // it is asked later.
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
    let is_checked = newest > mine.revision && theirs.revision <= newest;
    if is_checked || !theirs.is_newer_than(&known) {
        return;
    }
    let standing = LocalState {
        revision: mine.revision,
        awaits_store: node.watch.borrow().is_watching(),
        // A store that has not answered the first read is not asked beside it.
        can_read_store: node.registration.is_some() && !watching::awaits_first_read(node),
    };
    let now = node.now();
    let told = node
        .fetch
        .borrow_mut()
        .on_newer(now, from, standing, theirs.bytes_for(&mine));
    let missed = node.fetch.borrow().failures();
    audit::peer_has_newer(from, &mine, theirs, told, missed);
    match told {
        Advice::Ask => reply.send(node, Frame::Want(known)),
        Advice::Read => {
            local::spawn(read(node.clone()));
        }
        Advice::Hold(until) => {
            let node = node.clone();
            let reply = reply.clone();
            local::spawn(async move {
                task::sleep(Duration::from_micros(until.since(now))).await;
                // The peer answers with its own summary if that is still newer.
                reply.send(&node, Frame::Summary(node.summary()));
            });
        }
        Advice::Wait => {}
    }
}

/// Sends this node's summary to the peers that told of something newer while nobody was asked; they answer with theirs if
/// that is still newer.
pub fn query_postponed(node: &Rc<Node>, registration: &Registration) {
    let allowed = watching::allowed_work(node);
    let due = registration.postponed.borrow_mut().take_due(allowed);
    for reply in due {
        reply.send(node, Frame::Summary(node.summary()));
    }
}

/// Reads a large revision from the store; if that fails, a peer that tells of it again is asked.
async fn read(node: Rc<Node>) {
    if let Err(error) = watching::read_declarations(&node).await {
        tracing::info!(%error, "the store did not give what a peer knows");
        node.fetch.borrow_mut().store_failed();
    }
}

/// Sends a peer the content of what is newer here.
pub fn on_want(node: &Rc<Node>, from: &Name, theirs: &Summary, reply: &Reply) {
    let mine = node.summary();
    if mine.has_newer_content_than(theirs) {
        let lacking = node.rollout.borrow().delta_for(theirs.content_id);
        if let Some(configuration) = lacking.map(Arc::new) {
            audit::declarations_sent(from, theirs.revision, mine.revision, configuration.size());
            reply.send(node, Frame::Configuration(configuration));
        }
    }
    if mine.list_version > theirs.list_version {
        let list = Arc::new(node.view.borrow().list().clone());
        reply.send(node, Frame::Vms(list));
    }
}

/// Compares knowledge with a peer now and then, for as long as the node runs.
pub async fn run_comparisons(node: Rc<Node>) {
    loop {
        let millis = COMPARE_EVERY.as_millis() as u64;
        let pause = rand::rng().random_range(millis / 2..millis * 3 / 2);
        task::sleep(Duration::from_millis(pause)).await;
        let far = rand::rng().random_range(0..FAR_COMPARISON) == 0;
        if let Some(peer) = pick(&node, far, 1).pop() {
            links::send(&node, &peer, &Frame::Summary(node.summary()));
        }
    }
}

/// Tells a few peers what this node knows; they ask for what they lack.
fn tell_some(node: &Rc<Node>) {
    let summary = node.summary();
    let mut peers = pick(node, false, TOLD_AT_ONCE - 1);
    peers.extend(pick(node, true, 1));
    for peer in peers {
        links::send(node, &peer, &Frame::Summary(summary.clone()));
    }
}

fn pick(node: &Rc<Node>, any_hall: bool, count: usize) -> Vec<Name> {
    let mut peers = node.other_nodes();
    // Where nodes register, connections to other halls are few.
    let open = |vm: &Name| node.registration.is_none() || links::is_connected(node, vm);
    peers.retain(|(vm, same_hall)| *same_hall || (any_hall && open(vm)));
    peers
        .choose_multiple(&mut rand::rng(), count)
        .map(|(name, _)| name.clone())
        .collect()
}
