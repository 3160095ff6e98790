//! How a node that replaced a crashed predecessor learns which idempotency keys were used.
//!
//! Every key that ran at the predecessor's upstream is known to its coordinator, and every key that
//! the predecessor coordinated is known where it ran: at other nodes of the same groups. When all
//! of them have answered, this boot knows every key but those that only another crashed boot knew
//! as well. It stays uncertain for as long as the most uncertain of those that answered: by then
//! the windows of such keys have passed.

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

/// Longest wait for one node's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause between two rounds.
const PAUSE: Duration = Duration::from_millis(300);

/// Asks until every other node of the groups has answered, or the key window has passed.
pub async fn run(node: Rc<Node>) {
    while node.now() < node.unclean_until.get() {
        if let Some((keys, uncertain_us)) = round(&node).await {
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
        task::sleep(PAUSE).await;
    }
}

/// A new boot of the VM `from` asks.
pub fn on_recover(node: &Rc<Node>, from: &Name, id: AttemptId, reply: &Reply) {
    if node.was_paused() {
        crate::boot_record::on_pause(node);
    }
    let now = node.now();
    let latest = node.claims.borrow_mut().register_boot(from, id.boot);
    let uncertain_us = node.claims.borrow().uncertain_for_us(now);
    let sure = latest && uncertain_us <= KEY_RETENTION_US;
    let keys = sure.then(|| used_keys(node));
    reply.send(
        node,
        Frame::Recovered {
            id,
            keys,
            uncertain_us,
        },
    );
}

/// Takes in an answer.
pub fn on_recovered(node: &Rc<Node>, id: AttemptId, known: Option<KnownKeys>) {
    if let Some((tx, _)) = node.recoveries.borrow().get(&id) {
        tx.try_send(known).ok();
    }
}

/// One round of questions: all keys and the longest uncertainty, if every node answered.
async fn round(node: &Rc<Node>) -> Option<KnownKeys> {
    let members = members(node)?;
    let answers = join_all(members.iter().map(|vm| ask(node, vm))).await;
    let mut all = Vec::new();
    let mut longest = 0;
    for answer in answers {
        let (keys, uncertain_us) = answer?;
        all.extend(keys);
        longest = longest.max(uncertain_us);
    }
    Some((all, longest))
}

async fn ask(node: &Rc<Node>, vm: &Name) -> Option<KnownKeys> {
    let (tx, rx) = async_channel::bounded(1);
    let id = node.next_query_id();
    node.recoveries.borrow_mut().insert(id, (tx, vm.clone()));
    links::send(node, vm, &Frame::Recover { id });
    let answer = timeout(ANSWER_TIMEOUT, rx.recv()).await;
    node.recoveries.borrow_mut().remove(&id);
    answer.ok()?.ok()?
}

/// The other upstreams of every group that this node's VM is in; none without a configuration.
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
