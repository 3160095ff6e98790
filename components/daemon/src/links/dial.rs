//! Opening a connection to another node and reading from it.

use super::REDIAL_PAUSE_US;
use super::{
    apply_delay, frames, max_message_bytes, on_connection_lost, on_not_sent, socket, transmit_open,
    FrameSender, Link, OpenLink, Reply, FRAMES_PER_YIELD,
};
use crate::node::Node;
use async_channel::Receiver;
use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task;
use audit::stats;
use buffers::{Holder, Kind};
use errors::{Error, Result, Step};
use futures_util::future::{select, Either};
use futures_util::FutureExt;
use home::DelayEstimator;
use names::Name;
use std::cell::Cell;
use std::panic::AssertUnwindSafe;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use wire::{Frame, Handshake, Welcome};

/// Timeout for connecting and authenticating.
const DIAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time spent on one seed.
const SEED_TIMEOUT: Duration = Duration::from_secs(1);

/// An open and authenticated connection.
struct Opened {
    link: OpenLink,
    stream: socket::MessageReader,
    abort: Receiver<()>,
}

/// Calls [`run`] and catches panics: a frame that causes one only closes its connection.
pub async fn run_catching_panics(node: Rc<Node>, vm: Name) {
    let running = AssertUnwindSafe(run(node.clone(), vm.clone()));
    if running.catch_unwind().await.is_err() {
        stats::panicked();
        tracing::error!(peer = %vm, "a panic was contained");
        node.links.borrow_mut().remove(&vm);
        on_connection_lost(&node, &vm);
    }
}

/// Opens a connection to `vm`, sends the frames that wait for it and reads until it breaks.
async fn run(node: Rc<Node>, vm: Name) {
    let opened = timeout(DIAL_TIMEOUT, open(&node, &vm))
        .await
        .unwrap_or_else(|_| Err(Error::new(Step::Handshake, &vm, "connecting timed out")));
    match opened {
        Ok(Opened {
            link,
            mut stream,
            abort,
        }) => {
            tracing::info!(peer = %vm, boot = %link.boot, "connected to a peer");
            stats::link_changed("up");
            let sender = link.sender.clone();
            install(&node, &vm, link);
            send_initial_state(&node, &vm);
            let reading = pin!(read(&node, &vm, &mut stream));
            let error = match select(reading, pin!(abort.recv())).await {
                Either::Left((error, _)) => error,
                Either::Right(_) => Error::new(Step::Frame, &vm, "the peer does not answer"),
            };
            sender.close();
            stats::link_changed("down");
            tracing::info!(peer = %vm, %error, "lost the connection to a peer");
            node.links.borrow_mut().remove(&vm);
            on_connection_lost(&node, &vm);
        }
        Err(error) => {
            stats::link_changed("failed");
            tracing::debug!(%error, "no connection to a peer");
            on_dial_failed(&node, &vm);
        }
    }
}

async fn open(node: &Rc<Node>, vm: &Name) -> Result<Opened> {
    let address = node
        .address_of(vm)
        .ok_or_else(|| Error::new(Step::Connect, vm, "no address is known"))?;
    let stream = TcpStream::connect(&address)
        .await
        .map_err(|error| Error::new(Step::Connect, &address, error))?;
    let (mut socket, holder) = open_socket(node, stream, &address).await?;
    let welcome = authenticate(node, &mut socket, &address).await?;
    if welcome.hello.vm != *vm {
        let cause = format!("{} is at this address now", welcome.hello.vm);
        return Err(Error::new(Step::Handshake, vm, cause));
    }
    let now = node.now();
    if node.view.borrow_mut().record_boot(vm, welcome.hello.boot) {
        node.entry.borrow_mut().forget(vm);
    }
    let (tx, stream) = socket::split(socket, holder);
    let (abort, abort_rx) = async_channel::bounded(1);
    let link = OpenLink {
        sender: FrameSender::new(node, vm, tx),
        abort,
        boot: welcome.hello.boot,
        opened_at: now,
        last_received: Cell::new(now),
        heartbeat_sent: Cell::new(None),
        last_sent: Cell::new(now),
        last_broadcast: Cell::new(now),
    };
    Ok(Opened {
        link,
        stream,
        abort: abort_rx,
    })
}

async fn open_socket(
    node: &Rc<Node>,
    stream: TcpStream,
    peer: &str,
) -> Result<(socket::Socket, Holder)> {
    let address = stream
        .peer_addr()
        .map_err(|error| Error::new(Step::Connect, peer, error))?;
    let holder = node.buffers.register(Kind::Peer, address);
    let socket = socket::open(stream, peer, max_message_bytes(node), holder.clone()).await?;
    Ok((socket, holder))
}

/// Reads the list of VMs and the revision from the peers at the seed addresses in the settings.
pub async fn query_seeds(node: &Rc<Node>) {
    for address in node.cfg.seeds.clone() {
        let peer = address.to_string();
        if let Err(error) = timeout(SEED_TIMEOUT, query_seed(node, &peer))
            .await
            .unwrap_or(Ok(()))
        {
            tracing::debug!(%error, "a seed gave no answer");
        }
    }
}

/// Reads the newer state that one seed has, until it closes the connection or the timeout ends.
async fn query_seed(node: &Rc<Node>, peer: &str) -> Result<()> {
    let stream = TcpStream::connect(peer)
        .await
        .map_err(|error| Error::new(Step::Connect, peer, error))?;
    let (mut socket, holder) = open_socket(node, stream, peer).await?;
    let welcome = authenticate(node, &mut socket, peer).await?;
    let summary = wire::encode(node.now().0, &Frame::Summary(node.summary()));
    socket::send_now(&mut socket, peer, summary).await?;
    let (tx, mut stream) = socket::split(socket, holder);
    let reply = Reply::Peer(FrameSender::new(node, &welcome.hello.vm, tx));
    loop {
        let bytes = stream.receive(peer).await?;
        let envelope = wire::decode(peer, &bytes)?;
        frames::on_frame(node, &welcome.hello.vm, envelope.frame, &reply);
    }
}

async fn authenticate(node: &Rc<Node>, socket: &mut socket::Socket, peer: &str) -> Result<Welcome> {
    let handshake = Handshake::new(
        &node.cfg.fleet_key,
        node.cfg.vm.clone(),
        node.boot,
        rand::random(),
    );
    socket::send_now(socket, peer, wire::encode_message(&handshake.hello())).await?;
    let bytes = socket::receive(socket, peer).await?;
    let welcome: Welcome = wire::decode_message(peer, &bytes)?;
    let proof = handshake.prove_to(&welcome)?;
    socket::send_now(socket, peer, wire::encode_message(&proof)).await?;
    Ok(welcome)
}

fn install(node: &Rc<Node>, vm: &Name, link: OpenLink) {
    let link = Rc::new(link);
    let before = node
        .links
        .borrow_mut()
        .insert(vm.clone(), Link::Open(link.clone()));
    if let Some(Link::Connecting(pending)) = before {
        for frame in pending {
            transmit_open(node, &link, frame);
        }
    }
}

async fn read(node: &Rc<Node>, vm: &Name, stream: &mut socket::MessageReader) -> Error {
    let (sender, link) = match node.links.borrow().get(vm) {
        Some(Link::Open(link)) => (link.sender.clone(), link.clone()),
        _ => return Error::new(Step::Frame, vm, "the connection was replaced"),
    };
    let reply = Reply::Peer(sender);
    let mut delay = DelayEstimator::default();
    let mut received: u64 = 0;
    loop {
        received += 1;
        if received % FRAMES_PER_YIELD == 0 {
            task::yield_now().await;
        }
        let bytes = match stream.receive(vm.as_str()).await {
            Ok(bytes) => bytes,
            Err(error) => return error,
        };
        link.last_received.set(node.now());
        link.heartbeat_sent.set(None);
        let mut envelope = match wire::decode(vm.as_str(), &bytes) {
            Ok(envelope) => envelope,
            Err(error) => {
                stats::bad_input("peer");
                return error;
            }
        };
        let delay_us = delay.observe(envelope.sent_us, node.now());
        apply_delay(&mut envelope.frame, delay_us);
        frames::on_frame(node, vm, envelope.frame, &reply);
    }
}

/// Sends this node's record and its summary, in a fleet whose nodes register themselves.
fn send_initial_state(node: &Rc<Node>, vm: &Name) {
    let Some(registration) = &node.registration else {
        return;
    };
    let own = registration.fleet.borrow().own().clone();
    super::send(node, vm, &Frame::Registered(Box::new(own)));
    super::send(node, vm, &Frame::Summary(node.summary()));
}

fn on_dial_failed(node: &Rc<Node>, vm: &Name) {
    let until = node.now() + REDIAL_PAUSE_US;
    let before = node
        .links
        .borrow_mut()
        .insert(vm.clone(), Link::Failed(until));
    if let Some(Link::Connecting(pending)) = before {
        let pending: Vec<Frame> = pending;
        for frame in &pending {
            on_not_sent(node, frame);
        }
    }
}
