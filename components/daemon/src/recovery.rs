//! Recovery of used idempotency keys by a node whose predecessor crashed.
//!
//! A key that ran at the predecessor's upstream is known to its coordinator, and a key that the
//! predecessor coordinated is known to the node of the upstream where it ran: all are other nodes
//! of the same groups. When all of them have replied, this boot knows every key but those whose
//! only other holder has crashed as well. This boot stays uncertain for the longest uncertainty
//! among the replies: by then the windows of such keys have passed.

use crate::boot_record::{reset_uncertainty, used_keys};
use crate::links::{self, Reply};
use crate::node::{KnownKeys, Node};
use async_std::future::timeout;
use async_std::task;
use futures_util::future::join_all;
use keys::KEY_RETENTION_US;
use names::{AttemptId, Name, SECOND};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use wire::Frame;

/// Time limit for one node's reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause between two rounds of queries.
const ROUND_PAUSE: Duration = Duration::from_millis(300);

/// Repeats the queries until every other node of the groups has replied, or the key window has
/// passed.
pub async fn run(node: Rc<Node>) {
    while node.now() < node.unclean_until.get() {
        if let Some((keys, uncertain_us)) = query_members(&node).await {
            let now = node.now();
            node.keys.borrow_mut().adopt_keys(now, &keys);
            node.claims.borrow_mut().adopt_keys(now, &keys);
            let until = node.unclean_until.get().min(now + uncertain_us);
            node.unclean_until.set(until);
            if !node.checking_pause.get() {
                reset_uncertainty(&node);
            }
            let uncertain_s = uncertain_us / SECOND;
            tracing::info!(
                keys = keys.len(),
                uncertain_s,
                "the predecessor's keys are known"
            );
            return;
        }
        task::sleep(ROUND_PAUSE).await;
    }
}

/// Replies to a new boot of the VM `from` with the keys that this node knows.
pub fn on_recover(node: &Rc<Node>, from: &Name, id: AttemptId, reply: &Reply) {
    if node.was_paused() {
        crate::boot_record::on_pause(node);
    }
    let now = node.now();
    let is_latest = node.claims.borrow_mut().register_boot(from, id.boot);
    let uncertain_us = node.claims.borrow().uncertain_for_us(now);
    let is_known = is_latest && uncertain_us <= KEY_RETENTION_US;
    let keys = is_known.then(|| used_keys(node));
    reply.send(
        node,
        Frame::Recovered {
            id,
            keys,
            uncertain_us,
        },
    );
}

/// Delivers another node's reply to the query that waits for it; `None` if it will not reply.
pub fn on_recovered(node: &Rc<Node>, id: AttemptId, known: Option<KnownKeys>) {
    if let Some((tx, _)) = node.recoveries.borrow().get(&id) {
        tx.try_send(known).ok();
    }
}

/// One round of queries: all keys and the longest uncertainty, if every node has replied.
async fn query_members(node: &Rc<Node>) -> Option<KnownKeys> {
    let members = members(node)?;
    let replies = join_all(members.iter().map(|vm| query(node, vm))).await;
    let mut all_keys = Vec::new();
    let mut max_uncertain_us = 0;
    for reply in replies {
        let (keys, uncertain_us) = reply?;
        all_keys.extend(keys);
        max_uncertain_us = max_uncertain_us.max(uncertain_us);
    }
    Some((all_keys, max_uncertain_us))
}

async fn query(node: &Rc<Node>, vm: &Name) -> Option<KnownKeys> {
    let (tx, rx) = async_channel::bounded(1);
    let id = node.next_query_id();
    node.recoveries.borrow_mut().insert(id, (tx, vm.clone()));
    links::send(node, vm, &Frame::Recover { id });
    let reply = timeout(REPLY_TIMEOUT, rx.recv()).await;
    node.recoveries.borrow_mut().remove(&id);
    reply.ok()?.ok()?
}

/// The other upstreams of all groups that contain this node's VM; none without declarations in
/// force.
fn members(node: &Rc<Node>) -> Option<BTreeSet<Name>> {
    let in_force = node.in_force()?;
    let members = in_force
        .declarations
        .groups
        .values()
        .filter(|group| group.upstreams.contains(&node.cfg.vm))
        .flat_map(|group| group.upstreams.iter().cloned())
        .filter(|vm| *vm != node.cfg.vm)
        .collect();
    Some(members)
}
