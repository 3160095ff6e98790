//! Finding out that another node is frozen, or that a connection has fallen silent.
//!
//! While something waits at a node it is asked a few times a second: such a heartbeat is a measuring act and
//! passes the budget. Where nothing waits, a connection on which something was told and nothing was heard for
//! seconds is asked once, and given up without an answer. That says nothing of the node's load, and has a limit
//! of its own.

use super::{push, questions_lost, Link, UpLink};
use crate::entry_driver;
use crate::node::Node;
use async_std::task;
use budget::Act;
use entry::Event;
use names::{AttemptId, Moment, Name, MILLISECOND};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use wire::Frame;

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(50);
/// A node at which something waits is asked when nothing was heard for so long, in microseconds.
const QUIET_US: u64 = 150 * MILLISECOND;
/// A heartbeat not answered for so long means that the node does not run, in microseconds.
const SILENT_US: u64 = 250 * MILLISECOND;
/// A connection on which nothing was heard for so long, although something waits there and a
/// heartbeat was not answered, is given up, in microseconds: the VM may be gone without a word.
const DEAD_US: u64 = 3_000 * MILLISECOND;
/// A connection on which something was told is asked when nothing was heard for so long, in microseconds, and
/// given up when the answer takes longer than the second time. Words on a connection that has fallen silent go
/// nowhere: without them each node of a site asked the platform for itself until the connections were closed as
/// unused.
const UNHEARD_US: u64 = 2_000 * MILLISECOND;
const UNANSWERED_US: u64 = 1_000 * MILLISECOND;
/// Connections that are asked so in one look at most: 20 a second, so that one that tells a hall of 60 nodes has
/// asked each within 3 s.
const ASKED_PER_LOOK: usize = 1;
/// A connection unused for so long is closed, in microseconds.
const IDLE_US: u64 = 60_000 * MILLISECOND;

/// Looks after the connections to other nodes for as long as the node runs.
pub async fn run_heartbeats(node: Rc<Node>) {
    loop {
        task::sleep(LOOK).await;
        let waiting = waiting_by_vm(&node);
        let questions = vms_with_questions(&node);
        let links: Vec<(Name, Rc<UpLink>)> = node
            .links
            .borrow()
            .iter()
            .filter_map(|(vm, link)| match link {
                Link::Up(up) => Some((vm.clone(), up.clone())),
                _ => None,
            })
            .collect();
        let mut may_ask = ASKED_PER_LOOK;
        for (vm, up) in links {
            let attempts = waiting.get(&vm).map_or(&[][..], |ids| ids.as_slice());
            if attempts.is_empty() && !questions.contains(&vm) {
                look_at_quiet(&node, &up, &mut may_ask);
            } else {
                look(&node, &vm, &up, attempts);
            }
        }
    }
}

/// Looks at a connection at whose end nothing waits.
fn look_at_quiet(node: &Rc<Node>, up: &UpLink, may_ask: &mut usize) {
    let now = node.now();
    if now.since(up.used.get()) > IDLE_US {
        up.out.close();
        return;
    }
    let heard = up.heard.get().max(up.opened);
    match up.asked.get() {
        Some(asked) if now.since(asked) > UNANSWERED_US && now.since(heard) > UNHEARD_US => {
            // A full channel means that the connection is being given up already.
            up.cut.try_send(()).ok();
        }
        Some(_) => {}
        None => {
            let was_told = up.told.get().max(up.used.get()) > heard;
            let is_due = was_told && now.since(heard) > UNHEARD_US && *may_ask > 0;
            if is_due && push(node, &up.out, &Frame::Heartbeat) {
                *may_ask -= 1;
                up.asked.set(Some(now));
            }
        }
    }
}

fn look(node: &Rc<Node>, vm: &Name, up: &UpLink, attempts: &[AttemptId]) {
    let now = node.now();
    match up.asked.get() {
        Some(asked) if now.since(asked) > SILENT_US => {
            for id in attempts {
                entry_driver::deliver(node, *id, Event::NodeUnresponsive(*id));
            }
            node.entry.borrow_mut().mark_unresponsive(now, vm);
            questions_lost(node, vm);
            if now.since(up.heard.get().max(up.opened)) > DEAD_US {
                up.cut.try_send(()).ok();
            }
            up.asked.set(None);
        }
        Some(_) => {}
        None => ask(node, up, now),
    }
}

fn ask(node: &Rc<Node>, up: &UpLink, now: Moment) {
    let quiet = now.since(up.heard.get().max(up.used.get())) > QUIET_US;
    if !quiet || !node.gate.borrow_mut().spend(now, Act::HEARTBEAT) {
        return;
    }
    if push(node, &up.out, &Frame::Heartbeat) {
        up.asked.set(Some(now));
    }
}

fn waiting_by_vm(node: &Rc<Node>) -> HashMap<Name, Vec<AttemptId>> {
    let mut waiting: HashMap<Name, Vec<AttemptId>> = HashMap::new();
    for (id, waiter) in node.waiters.borrow().iter() {
        if waiter.sent_to_boot.is_some() {
            waiting.entry(waiter.vm.clone()).or_default().push(*id);
        }
    }
    waiting
}

/// The nodes from which the outcome of a relay or a claim is awaited.
fn vms_with_questions(node: &Rc<Node>) -> HashSet<Name> {
    let relays = node.relays.borrow();
    let claims = node.claim_waiters.borrow();
    let relayed = relays.values().map(|(_, vm)| vm.clone());
    relayed
        .chain(claims.values().map(|(_, vm)| vm.clone()))
        .collect()
}
