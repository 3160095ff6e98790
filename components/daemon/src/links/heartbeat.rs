//! Finding out that another node is frozen, while something waits there.
//!
//! A heartbeat is a measuring act and passes the budget. Nothing is sent to a node at which
//! nothing waits, or from which anything was heard lately.

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
        for (vm, up) in links {
            let attempts = waiting.get(&vm).map_or(&[][..], |ids| ids.as_slice());
            look(&node, &vm, &up, attempts, questions.contains(&vm));
        }
    }
}

fn look(node: &Rc<Node>, vm: &Name, up: &UpLink, attempts: &[AttemptId], questions: bool) {
    let now = node.now();
    if attempts.is_empty() && !questions {
        up.asked.set(None);
        if now.since(up.used.get()) > IDLE_US {
            up.out.close();
        }
        return;
    }
    match up.asked.get() {
        Some(asked) if now.since(asked) > SILENT_US => {
            for id in attempts {
                entry_driver::deliver(node, *id, Event::Silent(*id));
            }
            node.entry.borrow_mut().suspect(now, vm);
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
        if waiter.sent_to.is_some() {
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
