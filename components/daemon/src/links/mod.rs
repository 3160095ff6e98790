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
use crate::home_driver::Offered;
use crate::node::{Node, PendingQueries};
use crate::recovery;
use crate::relay::{self, RelayResult};
use async_channel::Sender;
use audit::stats;
use declarations::MAX_BUNDLE_BYTES;
use entry::Event;
use keys::ClaimReply;
use names::{AttemptId, BootId, Moment, Name, MILLISECOND};
use std::cell::Cell;
use std::rc::Rc;
use wire::{Frame, MAX_FRAME_OVERHEAD};

/// Maximum number of frames queued for one connection. A connection whose queue is full counts as
/// broken. Memory for the queue is allocated as frames arrive, since a node has hundreds of
/// connections and their queues are almost always empty.
const MAX_QUEUED_FRAMES: usize = 1_024;
/// After this many frames from one connection, the other tasks of the thread run: a peer may send
/// faster than its frames are handled.
const FRAMES_PER_YIELD: u64 = 32;
/// Minimum pause after a failed dial, in microseconds.
const REDIAL_PAUSE_US: u64 = 100 * MILLISECOND;
/// A node whose dial failed is not chosen as a contact for this time after the pause, in
/// microseconds.
const FAILED_TTL_US: u64 = 2_000 * MILLISECOND;

/// State of the connection to another node.
#[derive(Debug)]
pub enum Link {
    /// Being opened, with the frames that wait for it.
    Connecting(Vec<Frame>),
    Open(Rc<OpenLink>),
    /// Could not be opened; not retried before this moment.
    Failed(Moment),
}

/// Queues frames for one connection.
#[derive(Debug, Clone)]
pub struct FrameSender {
    /// Encoded frames.
    tx: Sender<Vec<u8>>,
    /// Whether the peer is in this node's hall.
    same_hall: bool,
}

impl FrameSender {
    /// Creates a sender to the node on `vm`. A VM whose hall is unknown counts as in the same hall.
    fn new(node: &Node, vm: &Name, tx: Sender<Vec<u8>>) -> FrameSender {
        let same_hall = node.hall_of(vm).is_none_or(|hall| hall == node.cfg.hall);
        FrameSender { tx, same_hall }
    }

    /// Closes the connection after the queued frames have been sent.
    fn close(&self) {
        self.tx.close();
    }

    /// Queues an encoded frame; false if the queue is full or the connection is closed.
    fn send(&self, kind: &'static str, bytes: Vec<u8>) -> bool {
        stats::frame_sent(kind, self.same_hall, bytes.len());
        self.tx.len() < MAX_QUEUED_FRAMES && self.tx.try_send(bytes).is_ok()
    }
}

/// An open connection to another node.
#[derive(Debug)]
pub struct OpenLink {
    pub sender: FrameSender,
    /// Boot of the other node.
    pub boot: BootId,
    /// A message on this channel closes the connection at once.
    pub abort: Sender<()>,
    pub opened_at: Moment,
    /// When the last frame was received.
    pub last_received: Cell<Moment>,
    /// When a heartbeat was sent that has not been answered yet.
    pub heartbeat_sent: Cell<Option<Moment>>,
    /// When the last frame was sent, apart from heartbeats, replies and [`broadcast_to_connected`].
    pub last_sent: Cell<Moment>,
    /// When [`broadcast_to_connected`] last sent a frame. Its frames don't keep an idle connection
    /// open.
    pub last_broadcast: Cell<Moment>,
}

/// Destination of replies.
#[derive(Debug, Clone)]
pub enum Reply {
    /// The entry duty of this node.
    Local,
    /// The node at the other end of a connection.
    Peer(FrameSender),
}

impl Reply {
    /// Sends a frame. If the peer's queue is full, its connection is closed; the peer then queries
    /// the state of its attempts.
    pub fn send(&self, node: &Rc<Node>, frame: Frame) {
        match self {
            Reply::Local => frames::on_frame(node, &node.cfg.vm, frame, &Reply::Local),
            Reply::Peer(sender) => {
                if !enqueue(node, sender, &frame) {
                    sender.close();
                }
            }
        }
    }

    /// Sends a frame that may be lost. If the peer's queue is full, the frame is dropped and the
    /// connection stays open.
    pub fn send_best_effort(&self, node: &Rc<Node>, frame: Frame) {
        match self {
            Reply::Local => self.send(node, frame),
            Reply::Peer(sender) => {
                if !enqueue(node, sender, &frame) {
                    stats::frame_dropped(frame.kind());
                }
            }
        }
    }
}

/// Offers an attempt to another node.
pub fn offer(node: &Rc<Node>, to: &Name, offered: Offered) {
    let frame = Frame::Offer {
        offer: offered.offer,
        key: offered.key,
        req: offered.req,
        upstream: offered.upstream,
    };
    transmit(node, to, frame);
}

/// Queries another node about an attempt that was sent to it.
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

/// Sends a frame, opening a connection if there is none.
pub fn send(node: &Rc<Node>, to: &Name, frame: &Frame) {
    transmit(node, to, frame.clone());
}

/// Sends a frame to all other nodes of this hall, opening connections where there are none.
pub fn broadcast_to_hall(node: &Rc<Node>, frame: &Frame) {
    let others = node.other_nodes().into_iter();
    for (vm, _) in others.filter(|(_, same_hall)| *same_hall) {
        send(node, &vm, frame);
    }
}

/// Sends a frame to the other nodes of this hall that are connected.
pub fn broadcast_to_connected(node: &Rc<Node>, frame: &Frame) {
    let in_hall: Vec<Name> = node
        .other_nodes()
        .into_iter()
        .filter(|(_, same_hall)| *same_hall)
        .map(|(vm, _)| vm)
        .collect();
    let now = node.now();
    let bytes = wire::encode(now.0, frame);
    let links = node.links.borrow();
    for vm in in_hall {
        if let Some(Link::Open(link)) = links.get(&vm) {
            // A full queue is ignored here: a party that waits for an answer on the connection
            // closes it.
            link.sender.send(frame.kind(), bytes.clone());
            link.last_broadcast.set(now);
        }
    }
}

/// The quota duty's view of the other nodes.
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
        let present = fleet.records().filter(|record| !record.is_gone());
        present.map(|record| record.vm.clone()).collect()
    }

    fn in_hall(&self) -> Vec<Name> {
        let own = self.own_vm();
        let mut nodes = quota::Peers::nodes(self);
        nodes.retain(|vm| *vm != own && self.0.hall_of(vm).as_ref() == Some(&self.0.cfg.hall));
        nodes
    }

    fn connected_in_hall(&self) -> Vec<Name> {
        let in_hall = self.0.other_nodes().into_iter();
        let in_hall = in_hall.filter(|(vm, same_hall)| *same_hall && is_connected(&self.0, vm));
        in_hall.map(|(vm, _)| vm).collect()
    }

    fn is_connected(&self, vm: &Name) -> bool {
        is_connected(&self.0, vm)
    }

    fn send(&self, to: &Name, message: quota::Message) {
        send(&self.0, to, &Frame::Quota(message));
    }
}

/// Number of other known nodes of this hall, and how many of them are connected.
pub fn hall_connections(node: &Node) -> (usize, usize) {
    let in_hall = node
        .other_nodes()
        .into_iter()
        .filter(|(_, same_hall)| *same_hall);
    let in_hall: Vec<Name> = in_hall.map(|(vm, _)| vm).collect();
    let open = in_hall.iter().filter(|vm| is_connected(node, vm)).count();
    (in_hall.len(), open)
}

/// Whether no connection to a node is open or being opened, and the pause after a failed dial is
/// over.
pub fn can_dial(node: &Node, vm: &Name) -> bool {
    match node.links.borrow().get(vm) {
        Some(Link::Open(_) | Link::Connecting(_)) => false,
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
    matches!(node.links.borrow().get(vm), Some(Link::Open(_)))
}

/// Whether a connection to a node is open or being opened.
pub fn is_connected_or_connecting(node: &Node, vm: &Name) -> bool {
    let links = node.links.borrow();
    matches!(links.get(vm), Some(Link::Open(_) | Link::Connecting(_)))
}

/// Whether the last dial of a node failed recently.
pub fn has_failed(node: &Node, vm: &Name) -> bool {
    let links = node.links.borrow();
    matches!(links.get(vm), Some(Link::Failed(until)) if node.now() < *until + FAILED_TTL_US)
}

/// Opens a connection to a node, unless there is one or the last dial has just failed.
pub fn dial(node: &Rc<Node>, vm: &Name) {
    if !can_dial(node, vm) {
        return;
    }
    let mut links = node.links.borrow_mut();
    links.insert(vm.clone(), Link::Connecting(Vec::new()));
    drop(links);
    crate::local::spawn(dial::run_catching_panics(node.clone(), vm.clone()));
}

/// Closes the connection to a node if it leads to an earlier boot of it or to its former address.
pub fn close_outdated(node: &Rc<Node>, vm: &Name) {
    let links = node.links.borrow();
    let Some(Link::Open(link)) = links.get(vm) else {
        return;
    };
    let boot = node.boot_of(vm);
    if boot.is_some_and(|boot| boot != link.boot) {
        // If the channel is full, the connection is being closed already.
        link.abort.try_send(()).ok();
    }
}

/// Withdraws an offer that still waits for its connection. Returns whether there was one.
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
        Some(Link::Open(link)) => {
            let link = link.clone();
            drop(links);
            transmit_open(node, &link, frame);
        }
        Some(Link::Connecting(pending)) if pending.len() < MAX_QUEUED_FRAMES => {
            pending.push(frame);
        }
        Some(Link::Connecting(_)) => {
            drop(links);
            on_not_sent(node, &frame);
        }
        Some(Link::Failed(until)) if now < *until => {
            drop(links);
            on_not_sent(node, &frame);
        }
        Some(Link::Failed(_)) | None => {
            links.insert(to.clone(), Link::Connecting(vec![frame]));
            drop(links);
            crate::local::spawn(dial::run_catching_panics(node.clone(), to.clone()));
        }
    }
}

/// Sends over an open connection. A query about an attempt is sent only if the peer is still the
/// boot that received the attempt.
fn transmit_open(node: &Rc<Node>, link: &OpenLink, frame: Frame) {
    if let Frame::Ask { id, boot } = &frame {
        if *boot != link.boot {
            entry_driver::deliver(node, *id, Event::NodeGone(*id));
            return;
        }
    }
    if !enqueue(node, &link.sender, &frame) {
        on_not_sent(node, &frame);
        return;
    }
    link.last_sent.set(node.now());
    if let Frame::Offer { offer, .. } = &frame {
        if let Some(waiter) = node.waiters.borrow_mut().get_mut(&offer.id) {
            waiter.sent_to_boot = Some(link.boot);
        }
    }
}

fn enqueue(node: &Node, sender: &FrameSender, frame: &Frame) -> bool {
    sender.send(frame.kind(), wire::encode(node.now().0, frame))
}

/// Reports to the party waiting for an answer to `frame` that no byte of it left this node.
fn on_not_sent(node: &Rc<Node>, frame: &Frame) {
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

/// Reports that the connection to `vm` broke to everything that waits for that node.
fn on_connection_lost(node: &Rc<Node>, vm: &Name) {
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
    fail_pending_queries(node, vm);
}

/// Ends the queries that wait for an answer from `vm`.
fn fail_pending_queries(node: &Rc<Node>, vm: &Name) {
    for id in pending_at(&node.relays.borrow(), vm) {
        relay::on_relayed(node, id, RelayResult::Lost);
    }
    for id in pending_at(&node.claim_waiters.borrow(), vm) {
        coordinator::on_claim_reply(node, id, ClaimReply::Uncertain);
    }
    for id in pending_at(&node.recoveries.borrow(), vm) {
        recovery::on_recovered(node, id, None);
    }
}

fn pending_at<T>(queries: &PendingQueries<T>, vm: &Name) -> Vec<AttemptId> {
    queries
        .iter()
        .filter(|(_, (_, queried))| queried == vm)
        .map(|(id, _)| *id)
        .collect()
}

/// Subtracts the time that a frame was delayed on the way from the remaining time that it gives,
/// and adds it to the ages that it gives.
fn apply_delay(frame: &mut Frame, delay_us: u64) {
    match frame {
        Frame::Offer { offer, .. } => {
            offer.remaining_us = offer.remaining_us.saturating_sub(delay_us);
        }
        Frame::Relay {
            remaining_us,
            waited_us,
            ..
        } => {
            *remaining_us = remaining_us.saturating_sub(delay_us);
            *waited_us = waited_us.saturating_add(delay_us);
        }
        Frame::Summary(summary) | Frame::Watch { summary, .. } => {
            let confirmed_us_ago = summary.confirmed_us_ago;
            summary.confirmed_us_ago = confirmed_us_ago.map(|us| us.saturating_add(delay_us));
        }
        Frame::Quota(message) => message.subtract_delay(delay_us),
        _ => {}
    }
}

/// Maximum size of a message between nodes, in bytes: a full body or a full set of declarations.
fn max_message_bytes(node: &Node) -> usize {
    node.cfg.max_body_bytes.max(MAX_BUNDLE_BYTES) + MAX_FRAME_OVERHEAD
}
