//! How a node that replaced a crashed predecessor learns which idempotency keys were used.
//!
//! Every key that ran at the predecessor's upstream is known to its coordinator, and every key that
//! the predecessor coordinated is known where it ran: at other nodes of the same groups. When all
//! of them have answered, and none is itself uncertain, this boot knows every key. Until then, or
//! until the key window has passed, it is uncertain.

use crate::boot_record::{certain, used_keys};
use crate::links::{self, Reply};
use crate::node::Node;
use async_std::future::timeout;
use async_std::task;
use futures_util::future::join_all;
use keys::KeyHash;
use names::{AttemptId, Moment, Name};
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
        if let Some(keys) = round(&node).await {
            let now = node.now();
            node.keys.borrow_mut().take_over(now, &keys);
            node.claims.borrow_mut().take_over(now, &keys);
            node.unclean_until.set(Moment(0));
            if !node.checking_pause.get() {
                certain(&node);
            }
            tracing::info!(keys = keys.len(), "the predecessor's keys are known");
            return;
        }
        task::sleep(PAUSE).await;
    }
}

/// A new boot of the VM `from` asks.
pub fn asked(node: &Rc<Node>, from: &Name, id: AttemptId, reply: &Reply) {
    if node.was_paused() {
        crate::boot_record::paused(node);
    }
    let now = node.now();
    let latest = node.claims.borrow_mut().replaced(from, id.boot);
    let whole = latest && !node.claims.borrow().is_uncertain(now);
    let keys = whole.then(|| used_keys(node));
    reply.send(node, Frame::Recovered { id, keys });
}

/// Takes in an answer.
pub fn answered(node: &Rc<Node>, id: AttemptId, keys: Option<Vec<KeyHash>>) {
    if let Some((tx, _)) = node.recoveries.borrow().get(&id) {
        tx.try_send(keys).ok();
    }
}

/// One round of questions: all keys, if every node answered with all that it knows.
async fn round(node: &Rc<Node>) -> Option<Vec<KeyHash>> {
    let members = members(node)?;
    let answers = join_all(members.iter().map(|vm| ask(node, vm))).await;
    let mut all = Vec::new();
    for answer in answers {
        all.extend(answer?);
    }
    Some(all)
}

async fn ask(node: &Rc<Node>, vm: &Name) -> Option<Vec<KeyHash>> {
    let (tx, rx) = async_channel::bounded(1);
    let id = node.next_question();
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
