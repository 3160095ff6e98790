//! Opening a connection to another node and reading from it.

use super::REDIAL_US;
use super::{
    age, frames, lost, max_bytes, not_sent, socket, transmit_up, Link, Outlet, Reply, UpLink,
};
use crate::node::Node;
use async_channel::Receiver;
use async_std::future::timeout;
use async_std::net::TcpStream;
use audit::stats;
use errors::{Error, Result, Step};
use futures_util::future::{select, Either};
use futures_util::stream::SplitStream;
use futures_util::FutureExt;
use home::DelayEstimator;
use names::Name;
use std::cell::Cell;
use std::panic::AssertUnwindSafe;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use wire::{Frame, Handshake, Welcome};

/// Longest time for connecting and proving.
const DIAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time spent with one seed.
const SEED_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection that was opened and proved.
struct Opened {
    up: UpLink,
    stream: SplitStream<socket::Socket>,
    cut: Receiver<()>,
}

/// Does the same as [`run`]; a frame that makes this node panic ends the connection alone.
pub async fn run_contained(node: Rc<Node>, vm: Name) {
    let running = AssertUnwindSafe(run(node.clone(), vm.clone()));
    if running.catch_unwind().await.is_err() {
        stats::panicked();
        tracing::error!(peer = %vm, "a panic was contained");
        node.links.borrow_mut().remove(&vm);
        lost(&node, &vm);
    }
}

/// Opens a connection to `vm`, sends what waits for it and reads until it breaks.
async fn run(node: Rc<Node>, vm: Name) {
    let opened = timeout(DIAL_TIMEOUT, open(&node, &vm))
        .await
        .unwrap_or_else(|_| Err(Error::new(Step::Handshake, &vm, "no answer in time")));
    match opened {
        Ok(Opened {
            up,
            mut stream,
            cut,
        }) => {
            tracing::info!(peer = %vm, boot = %up.boot, "connected to a peer");
            stats::link_changed("up");
            let out = up.out.clone();
            install(&node, &vm, up);
            greet(&node, &vm);
            let reading = pin!(read(&node, &vm, &mut stream));
            let error = match select(reading, pin!(cut.recv())).await {
                Either::Left((error, _)) => error,
                Either::Right(_) => Error::new(Step::Frame, &vm, "the peer does not answer"),
            };
            out.close();
            stats::link_changed("down");
            tracing::info!(peer = %vm, %error, "lost the connection to a peer");
            node.links.borrow_mut().remove(&vm);
            lost(&node, &vm);
        }
        Err(error) => {
            stats::link_changed("failed");
            tracing::debug!(%error, "no connection to a peer");
            fail(&node, &vm);
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
    let mut socket = socket::open(stream, &address, max_bytes(node)).await?;
    let welcome = prove(node, &mut socket, &address).await?;
    if welcome.hello.vm != *vm {
        let cause = format!("{} stands at this address now", welcome.hello.vm);
        return Err(Error::new(Step::Handshake, vm, cause));
    }
    let now = node.now();
    if node.view.borrow_mut().record_boot(vm, welcome.hello.boot) {
        node.entry.borrow_mut().forget(vm);
    }
    let (tx, stream) = socket::split(socket);
    let (cut, cut_rx) = async_channel::bounded(1);
    let up = UpLink {
        out: Outlet::new(node, vm, tx),
        cut,
        boot: welcome.hello.boot,
        opened: now,
        heard: Cell::new(now),
        asked: Cell::new(None),
        used: Cell::new(now),
        told: Cell::new(now),
    };
    Ok(Opened {
        up,
        stream,
        cut: cut_rx,
    })
}

/// Learns from the peers at the addresses in the settings: the list of VMs and the revision.
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

/// Reads what one seed has that is newer, until it has nothing more to say.
async fn query_seed(node: &Rc<Node>, peer: &str) -> Result<()> {
    let stream = TcpStream::connect(peer)
        .await
        .map_err(|error| Error::new(Step::Connect, peer, error))?;
    let mut socket = socket::open(stream, peer, max_bytes(node)).await?;
    let welcome = prove(node, &mut socket, peer).await?;
    let summary = wire::encode(node.now().0, &Frame::Summary(node.summary()));
    socket::send_now(&mut socket, peer, summary).await?;
    let (tx, mut stream) = socket::split(socket);
    let reply = Reply::Peer(Outlet::new(node, &welcome.hello.vm, tx));
    loop {
        let bytes = socket::receive(&mut stream, peer).await?;
        let envelope = wire::decode(peer, &bytes)?;
        frames::take_in(node, &welcome.hello.vm, envelope.frame, &reply);
    }
}

async fn prove(node: &Rc<Node>, socket: &mut socket::Socket, peer: &str) -> Result<Welcome> {
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

fn install(node: &Rc<Node>, vm: &Name, up: UpLink) {
    let up = Rc::new(up);
    let before = node
        .links
        .borrow_mut()
        .insert(vm.clone(), Link::Up(up.clone()));
    if let Some(Link::Connecting(pending)) = before {
        for frame in pending {
            transmit_up(node, &up, frame);
        }
    }
}

async fn read(node: &Rc<Node>, vm: &Name, stream: &mut SplitStream<socket::Socket>) -> Error {
    let (out, up) = match node.links.borrow().get(vm) {
        Some(Link::Up(up)) => (up.out.clone(), up.clone()),
        _ => return Error::new(Step::Frame, vm, "the connection was replaced"),
    };
    let reply = Reply::Peer(out);
    let mut delay = DelayEstimator::default();
    loop {
        let bytes = match socket::receive(stream, vm.as_str()).await {
            Ok(bytes) => bytes,
            Err(error) => return error,
        };
        up.heard.set(node.now());
        up.asked.set(None);
        let mut envelope = match wire::decode(vm.as_str(), &bytes) {
            Ok(envelope) => envelope,
            Err(error) => {
                stats::bad_input("peer");
                return error;
            }
        };
        let late_us = delay.observe(envelope.sent_us, node.now());
        age(&mut envelope.frame, late_us);
        frames::take_in(node, vm, envelope.frame, &reply);
    }
}

/// Tells a registered fleet's node who this is and which revision is in force here.
fn greet(node: &Rc<Node>, vm: &Name) {
    let Some(registration) = &node.registration else {
        return;
    };
    let own = registration.fleet.borrow().own().clone();
    super::send(node, vm, &Frame::Registered(Box::new(own)));
    super::send(node, vm, &Frame::Summary(node.summary()));
}

fn fail(node: &Rc<Node>, vm: &Name) {
    let until = node.now() + REDIAL_US;
    let before = node
        .links
        .borrow_mut()
        .insert(vm.clone(), Link::Failed(until));
    if let Some(Link::Connecting(pending)) = before {
        let pending: Vec<Frame> = pending;
        for frame in &pending {
            not_sent(node, frame);
        }
    }
}
