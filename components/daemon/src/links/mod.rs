//! Connections between nodes: one WebSocket for each direction, opened by the node that sends.

mod accept;
mod dial;
mod frames;
mod heartbeat;
mod socket;

pub use accept::serve;
pub use dial::query_seeds;
pub use heartbeat::run_heartbeats;

use crate::coordinator;
use crate::entry_driver;
use crate::node::{Node, PendingQueries};
use crate::recovery;
use crate::relay::{self, RelayResult};
use async_channel::Sender;
use audit::stats;
use declarations::MAX_BUNDLE_BYTES;
use entry::Event;
use home::Offer;
use keys::{ClaimReply, KeyHash};
use names::{AttemptId, BootId, Moment, Name, MILLISECOND};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use wire::{Frame, Request, MAX_FRAME_OVERHEAD};

/// Frames that may wait for one connection. When it is full the connection counts as broken. Room for them is taken as
/// they come: a node has hundreds of connections, on which hardly ever one waits.
const MAX_WAITING_FRAMES: usize = 1_024;
/// After a failed dial no other is tried for so long, in microseconds.
const REDIAL_US: u64 = 100 * MILLISECOND;
/// A node that could not be reached is passed over as a contact for so long, in microseconds.
const FAILED_KEPT_US: u64 = 2_000 * MILLISECOND;

/// A connection to another node, or the way to one.
#[derive(Debug)]
pub enum Link {
    /// Being opened; frames wait.
    Connecting(Vec<Frame>),
    /// Open.
    Up(Rc<UpLink>),
    /// Could not be opened; not tried again before this moment.
    Failed(Moment),
}

/// The way out over one connection.
#[derive(Debug, Clone)]
pub struct Outlet {
    /// Frames to send, encoded.
    tx: Sender<Vec<u8>>,
    /// Whether the other end stands in this node's hall.
    same_hall: bool,
}

impl Outlet {
    /// The way out to the node on `vm`, as far as it is known where that is.
    fn new(node: &Node, vm: &Name, tx: Sender<Vec<u8>>) -> Outlet {
        let same_hall = node.hall_of(vm).is_none_or(|hall| hall == node.cfg.hall);
        Outlet { tx, same_hall }
    }

    /// Ends the connection once what waits was sent.
    fn close(&self) {
        self.tx.close();
    }

    /// Sends a frame that is encoded already; false when the queue is full or the connection has ended.
    fn send(&self, kind: &'static str, bytes: Vec<u8>) -> bool {
        stats::frame_sent(kind, self.same_hall, bytes.len());
        self.tx.len() < MAX_WAITING_FRAMES && self.tx.try_send(bytes).is_ok()
    }
}

/// An open connection to another node.
#[derive(Debug)]
pub struct UpLink {
    /// Where frames to send go.
    pub out: Outlet,
    /// Boot of the other node.
    pub boot: BootId,
    /// Ends the connection when it is sent to.
    pub cut: Sender<()>,
    /// When it was opened.
    pub opened: Moment,
    /// When the last frame came.
    pub heard: Cell<Moment>,
    /// When an unanswered heartbeat was sent.
    pub asked: Cell<Option<Moment>>,
    /// When the last frame that isn't a heartbeat was sent.
    pub used: Cell<Moment>,
    /// When the last word to the whole hall was sent. Such words don't keep a connection open.
    pub told: Cell<Moment>,
}

/// Where the end of an attempt is told.
#[derive(Debug, Clone)]
pub enum Reply {
    /// The entry duty of this node.
    Local,
    /// The node at the other end of a connection.
    Peer(Outlet),
}

impl Reply {
    /// Sends a frame. When a peer's queue is full its connection is closed: the other side then
    /// asks what became of its attempts.
    pub fn send(&self, node: &Rc<Node>, frame: Frame) {
        match self {
            Reply::Local => frames::take_in(node, &node.cfg.vm, frame, &Reply::Local),
            Reply::Peer(out) => {
                if !push(node, out, &frame) {
                    out.close();
                }
            }
        }
    }

    /// Sends a frame without which nothing is wrong. When a peer's queue is full the frame is dropped, and its
    /// connection stays open.
    pub fn send_best_effort(&self, node: &Rc<Node>, frame: Frame) {
        match self {
            Reply::Local => self.send(node, frame),
            Reply::Peer(out) => {
                if !push(node, out, &frame) {
                    stats::frame_dropped(frame.kind());
                }
            }
        }
    }
}

/// Offers an attempt to another node.
pub fn offer(node: &Rc<Node>, to: &Name, offer: Offer, key: Option<KeyHash>, req: Arc<Request>) {
    transmit(node, to, Frame::Offer { offer, key, req });
}

/// Asks another node about an attempt that was sent to it.
pub fn query(node: &Rc<Node>, to: &Name, id: AttemptId) {
    let boot = node
        .waiters
        .borrow()
        .get(&id)
        .and_then(|waiter| waiter.sent_to_boot);
    match boot {
        Some(boot) => transmit(node, to, Frame::Ask { id, boot }),
        None => entry_driver::deliver(node, id, Event::NotSent(id)),
    }
}

/// Sends a frame that needs no answer.
pub fn send(node: &Rc<Node>, to: &Name, frame: &Frame) {
    transmit(node, to, frame.clone());
}

/// Sends a frame that needs no answer to the other nodes of this hall.
pub fn broadcast_to_hall(node: &Rc<Node>, frame: &Frame) {
    let others = node.other_nodes().into_iter();
    for (vm, _) in others.filter(|(_, same_hall)| *same_hall) {
        send(node, &vm, frame);
    }
}

/// Sends a frame to the other nodes of this hall to which a connection is open.
pub fn broadcast_to_connected(node: &Rc<Node>, frame: &Frame) {
    let near: Vec<Name> = node
        .other_nodes()
        .into_iter()
        .filter(|(_, same_hall)| *same_hall)
        .map(|(vm, _)| vm)
        .collect();
    let now = node.now();
    let bytes = wire::encode(now.0, frame);
    let links = node.links.borrow();
    for vm in near {
        if let Some(Link::Up(up)) = links.get(&vm) {
            // A connection whose queue is full is given up by whoever waits there for an answer.
            up.out.send(frame.kind(), bytes.clone());
            up.told.set(now);
        }
    }
}

/// What the quota duty sees of the other nodes.
pub struct Peers(pub Rc<Node>);

impl quota::Peers for Peers {
    fn now(&self) -> Moment {
        self.0.now()
    }

    fn own_vm(&self) -> Name {
        self.0.cfg.vm.clone()
    }

    fn nodes(&self) -> Vec<Name> {
        let Some(registration) = &self.0.registration else {
            let others = self.0.other_nodes().into_iter().map(|(vm, _)| vm);
            return others.chain([self.own_vm()]).collect();
        };
        let fleet = registration.fleet.borrow();
        let staying = fleet.records().filter(|record| !record.is_gone());
        staying.map(|record| record.vm.clone()).collect()
    }

    fn in_hall(&self) -> Vec<Name> {
        let me = self.own_vm();
        let mut nodes = quota::Peers::nodes(self);
        nodes.retain(|vm| *vm != me && self.0.hall_of(vm).as_ref() == Some(&self.0.cfg.hall));
        nodes
    }

    fn connected_in_hall(&self) -> Vec<Name> {
        let near = self.0.other_nodes().into_iter();
        let near = near.filter(|(vm, same_hall)| *same_hall && is_connected(&self.0, vm));
        near.map(|(vm, _)| vm).collect()
    }

    fn is_connected(&self, vm: &Name) -> bool {
        is_connected(&self.0, vm)
    }

    fn send(&self, to: &Name, message: quota::Message) {
        send(&self.0, to, &Frame::Quota(message));
    }
}

/// Number of other nodes of this hall that are known, and to how many of them a connection is open.
pub fn hall_connections(node: &Node) -> (usize, usize) {
    let near = node
        .other_nodes()
        .into_iter()
        .filter(|(_, same_hall)| *same_hall);
    let near: Vec<Name> = near.map(|(vm, _)| vm).collect();
    let open = near.iter().filter(|vm| is_connected(node, vm)).count();
    (near.len(), open)
}

/// Whether there is neither a connection to a node nor a try to open one.
pub fn can_dial(node: &Node, vm: &Name) -> bool {
    match node.links.borrow().get(vm) {
        Some(Link::Up(_) | Link::Connecting(_)) => false,
        Some(Link::Failed(until)) => node.now() >= *until,
        None => true,
    }
}

/// Number of connections that are being opened.
pub fn connecting_count(node: &Node) -> usize {
    let links = node.links.borrow();
    let connecting = links
        .values()
        .filter(|link| matches!(link, Link::Connecting(_)));
    connecting.count()
}

/// Whether a connection to a node is open.
pub fn is_connected(node: &Node, vm: &Name) -> bool {
    matches!(node.links.borrow().get(vm), Some(Link::Up(_)))
}

/// Whether a connection to a node is open or being opened.
pub fn is_connected_or_connecting(node: &Node, vm: &Name) -> bool {
    let links = node.links.borrow();
    matches!(links.get(vm), Some(Link::Up(_) | Link::Connecting(_)))
}

/// Whether the last try to open a connection to a node failed a moment ago.
pub fn has_failed(node: &Node, vm: &Name) -> bool {
    let links = node.links.borrow();
    matches!(links.get(vm), Some(Link::Failed(until)) if node.now() < *until + FAILED_KEPT_US)
}

/// Opens a connection to a node, unless there is one or the last try has just failed.
pub fn dial(node: &Rc<Node>, vm: &Name) {
    if !can_dial(node, vm) {
        return;
    }
    let mut links = node.links.borrow_mut();
    links.insert(vm.clone(), Link::Connecting(Vec::new()));
    drop(links);
    crate::local::spawn(dial::run_contained(node.clone(), vm.clone()));
}

/// Gives a connection up that leads to an earlier start of a node, or to an address it has left.
pub fn close_outdated(node: &Rc<Node>, vm: &Name) {
    let links = node.links.borrow();
    let Some(Link::Up(up)) = links.get(vm) else {
        return;
    };
    let boot = node.boot_of(vm);
    if boot.is_some_and(|boot| boot != up.boot) {
        // A full channel means that the connection is being given up already.
        up.cut.try_send(()).ok();
    }
}

/// Takes an offer back that still waits for its connection. Returns whether it did.
pub fn withdraw(node: &Rc<Node>, id: AttemptId) -> bool {
    let mut links = node.links.borrow_mut();
    for link in links.values_mut() {
        let Link::Connecting(pending) = link else {
            continue;
        };
        let before = pending.len();
        pending.retain(|frame| !matches!(frame, Frame::Offer { offer, .. } if offer.id == id));
        if pending.len() < before {
            return true;
        }
    }
    false
}

fn transmit(node: &Rc<Node>, to: &Name, frame: Frame) {
    let now = node.now();
    let mut links = node.links.borrow_mut();
    match links.get_mut(to) {
        Some(Link::Up(up)) => {
            let up = up.clone();
            drop(links);
            transmit_up(node, &up, frame);
        }
        Some(Link::Connecting(pending)) if pending.len() < MAX_WAITING_FRAMES => {
            pending.push(frame);
        }
        Some(Link::Connecting(_)) => {
            drop(links);
            not_sent(node, &frame);
        }
        Some(Link::Failed(until)) if now < *until => {
            drop(links);
            not_sent(node, &frame);
        }
        Some(Link::Failed(_)) | None => {
            links.insert(to.clone(), Link::Connecting(vec![frame]));
            drop(links);
            crate::local::spawn(dial::run_contained(node.clone(), to.clone()));
        }
    }
}

/// Sends over an open connection, after a look whether the other side is still the same boot.
fn transmit_up(node: &Rc<Node>, up: &UpLink, frame: Frame) {
    if let Frame::Ask { id, boot } = &frame {
        if *boot != up.boot {
            entry_driver::deliver(node, *id, Event::NodeGone(*id));
            return;
        }
    }
    if !push(node, &up.out, &frame) {
        not_sent(node, &frame);
        return;
    }
    up.used.set(node.now());
    if let Frame::Offer { offer, .. } = &frame {
        if let Some(waiter) = node.waiters.borrow_mut().get_mut(&offer.id) {
            waiter.sent_to_boot = Some(up.boot);
        }
    }
}

fn push(node: &Node, out: &Outlet, frame: &Frame) -> bool {
    out.send(frame.kind(), wire::encode(node.now().0, frame))
}

/// Tells whoever waits for an answer to `frame` that no byte of it left this node.
fn not_sent(node: &Rc<Node>, frame: &Frame) {
    match frame {
        Frame::Offer { offer, .. } => {
            entry_driver::deliver(node, offer.id, Event::NotSent(offer.id));
        }
        Frame::Ask { id, .. } => entry_driver::deliver(node, *id, Event::NodeGone(*id)),
        Frame::Relay { id, .. } => relay::on_relayed(node, *id, RelayResult::NotSent),
        Frame::Recover { id } => recovery::on_recovered(node, *id, None),
        Frame::Claim { id, .. } => coordinator::on_claim_reply(node, *id, ClaimReply::Uncertain),
        _ => {}
    }
}

/// The connection to `vm` broke: whoever has something there is told.
fn lost(node: &Rc<Node>, vm: &Name) {
    node.fetch.borrow_mut().on_connection_lost(vm);
    let lost: Vec<AttemptId> = node
        .waiters
        .borrow()
        .iter()
        .filter(|(_, waiter)| waiter.vm == *vm && waiter.sent_to_boot.is_some())
        .map(|(id, _)| *id)
        .collect();
    for id in lost {
        entry_driver::deliver(node, id, Event::ConnectionLost(id));
    }
    questions_lost(node, vm);
}

/// Ends the questions that wait for an answer of `vm`.
fn questions_lost(node: &Rc<Node>, vm: &Name) {
    for id in waiting_at(&node.relays.borrow(), vm) {
        relay::on_relayed(node, id, RelayResult::Lost);
    }
    for id in waiting_at(&node.claim_waiters.borrow(), vm) {
        coordinator::on_claim_reply(node, id, ClaimReply::Uncertain);
    }
    for id in waiting_at(&node.recoveries.borrow(), vm) {
        recovery::on_recovered(node, id, None);
    }
}

fn waiting_at<T>(waiting: &PendingQueries<T>, vm: &Name) -> Vec<AttemptId> {
    waiting
        .iter()
        .filter(|(_, (_, at))| at == vm)
        .map(|(id, _)| *id)
        .collect()
}

/// Takes the time that a frame spent waiting on the way off the time that is left, and adds it to the age of
/// what the frame tells.
fn age(frame: &mut Frame, late_us: u64) {
    match frame {
        Frame::Offer { offer, .. } => {
            offer.remaining_us = offer.remaining_us.saturating_sub(late_us);
        }
        Frame::Relay {
            remaining_us,
            waited_us,
            ..
        } => {
            *remaining_us = remaining_us.saturating_sub(late_us);
            *waited_us = waited_us.saturating_add(late_us);
        }
        Frame::Summary(summary) | Frame::Watch { summary, .. } => {
            let confirmed_us_ago = summary.confirmed_us_ago;
            summary.confirmed_us_ago = confirmed_us_ago.map(|us| us.saturating_add(late_us));
        }
        Frame::Quota(message) => message.subtract_delay(late_us),
        _ => {}
    }
}

/// Largest message between nodes, in bytes: a whole body or a whole set of declarations.
fn max_bytes(node: &Node) -> usize {
    node.cfg.max_body_bytes.max(MAX_BUNDLE_BYTES) + MAX_FRAME_OVERHEAD
}
