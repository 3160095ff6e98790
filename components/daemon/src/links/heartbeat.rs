//! Detection of frozen nodes and dead connections by heartbeats.
//!
//! While work waits at a node, it gets a heartbeat a few times a second; such a heartbeat is a
//! measuring act and is charged to the budget. On an idle connection, one heartbeat is sent when
//! frames were sent but none received for seconds, and the connection is closed if there is no
//! answer. That measures no load, and has a limit of its own.

use super::{enqueue, fail_pending_queries, Link, OpenLink};
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

/// Time between two checks of all connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// A node at which work waits gets a heartbeat after this time without a frame in either direction,
/// in microseconds.
const HEARTBEAT_AFTER_US: u64 = 150 * MILLISECOND;
/// A node that does not answer a heartbeat within this time counts as unresponsive, in
/// microseconds.
const HEARTBEAT_TIMEOUT_US: u64 = 250 * MILLISECOND;
/// A connection with waiting work and an unanswered heartbeat is closed after this time without a
/// frame received, in microseconds: a VM may be gone without having closed its connections.
const DEAD_AFTER_US: u64 = 3_000 * MILLISECOND;
/// An idle connection on which frames were sent gets a heartbeat after the first time without a
/// frame received, and is closed if the answer takes longer than the second; both in microseconds.
/// Frames on a dead connection are lost: without this check, each node of a site queried the
/// platform itself until the connections were closed as idle.
const IDLE_HEARTBEAT_AFTER_US: u64 = 2_000 * MILLISECOND;
const IDLE_HEARTBEAT_TIMEOUT_US: u64 = 1_000 * MILLISECOND;
/// Maximum number of heartbeats on idle connections per check: 20 per second, so that a node which
/// sends a frame to a hall of 60 nodes has checked each connection within 3 s.
const IDLE_HEARTBEATS_PER_CHECK: usize = 1;
/// A connection unused for this time is closed, in microseconds.
const IDLE_CLOSE_US: u64 = 60_000 * MILLISECOND;

/// Checks the connections to other nodes; runs until the node stops.
pub async fn run_heartbeats(node: Rc<Node>) {
    loop {
        task::sleep(CHECK_INTERVAL).await;
        let waiting = waiting_by_vm(&node);
        let queries = vms_with_queries(&node);
        let links: Vec<(Name, Rc<OpenLink>)> = node
            .links
            .borrow()
            .iter()
            .filter_map(|(vm, link)| match link {
                Link::Open(link) => Some((vm.clone(), link.clone())),
                _ => None,
            })
            .collect();
        let mut heartbeats_left = IDLE_HEARTBEATS_PER_CHECK;
        for (vm, link) in links {
            let attempts = waiting.get(&vm).map_or(&[][..], |ids| ids.as_slice());
            if attempts.is_empty() && !queries.contains(&vm) {
                check_idle(&node, &link, &mut heartbeats_left);
            } else {
                check_waiting(&node, &vm, &link, attempts);
            }
        }
    }
}

/// Checks a connection to a node at which no work waits.
fn check_idle(node: &Rc<Node>, link: &OpenLink, heartbeats_left: &mut usize) {
    let now = node.now();
    if now.since(link.last_sent.get()) > IDLE_CLOSE_US {
        link.sender.close();
        return;
    }
    let last_received = link.last_received.get().max(link.opened_at);
    match link.heartbeat_sent.get() {
        Some(sent)
            if now.since(sent) > IDLE_HEARTBEAT_TIMEOUT_US
                && now.since(last_received) > IDLE_HEARTBEAT_AFTER_US =>
        {
            // If the channel is full, the connection is being closed already.
            link.abort.try_send(()).ok();
        }
        Some(_) => {}
        None => {
            let sent_since_received =
                link.last_broadcast.get().max(link.last_sent.get()) > last_received;
            let is_due = sent_since_received
                && now.since(last_received) > IDLE_HEARTBEAT_AFTER_US
                && *heartbeats_left > 0;
            if is_due && enqueue(node, &link.sender, &Frame::Heartbeat) {
                *heartbeats_left -= 1;
                link.heartbeat_sent.set(Some(now));
            }
        }
    }
}

fn check_waiting(node: &Rc<Node>, vm: &Name, link: &OpenLink, attempts: &[AttemptId]) {
    let now = node.now();
    match link.heartbeat_sent.get() {
        Some(sent) if now.since(sent) > HEARTBEAT_TIMEOUT_US => {
            for id in attempts {
                entry_driver::deliver(node, *id, Event::NodeUnresponsive(*id));
            }
            node.entry.borrow_mut().mark_unresponsive(now, vm);
            fail_pending_queries(node, vm);
            if now.since(link.last_received.get().max(link.opened_at)) > DEAD_AFTER_US {
                link.abort.try_send(()).ok();
            }
            link.heartbeat_sent.set(None);
        }
        Some(_) => {}
        None => send_heartbeat_if_due(node, link, now),
    }
}

fn send_heartbeat_if_due(node: &Rc<Node>, link: &OpenLink, now: Moment) {
    let is_due = now.since(link.last_received.get().max(link.last_sent.get())) > HEARTBEAT_AFTER_US;
    if !is_due || !node.gate.borrow_mut().spend(now, Act::HEARTBEAT) {
        return;
    }
    if enqueue(node, &link.sender, &Frame::Heartbeat) {
        link.heartbeat_sent.set(Some(now));
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

/// The nodes that have not answered a relay or a claim yet.
fn vms_with_queries(node: &Rc<Node>) -> HashSet<Name> {
    let relays = node.relays.borrow();
    let claims = node.claim_waiters.borrow();
    let relayed = relays.values().map(|(_, vm)| vm.clone());
    relayed
        .chain(claims.values().map(|(_, vm)| vm.clone()))
        .collect()
}
