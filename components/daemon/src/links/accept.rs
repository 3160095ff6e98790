//! Connections that other nodes open to this one.

use super::{apply_delay, frames, max_message_bytes, socket, FrameSender, Reply, FRAMES_PER_YIELD};
use crate::local;
use crate::node::Node;
use crate::places::{Place, Places};
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use audit::stats;
use buffers::{Holder, Kind};
use errors::{Error, Result, Step};
use futures_util::future::{select, Either};
use futures_util::FutureExt;
use home::DelayEstimator;
use names::Name;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use wire::{Handshake, Hello, Proof};

/// Timeout of the WebSocket and authentication handshakes.
const AUTHENTICATION_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of connections that are not authenticated yet. A further one takes the place of the
/// oldest.
const MAX_UNAUTHENTICATED: usize = 64;
/// Pause after `accept` failed, for example for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections from peers; runs until the node stops.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    let mut serial = 0;
    let places = Places::new("peers", MAX_UNAUTHENTICATED);
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            task::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        serial += 1;
        let place = places.enter(address);
        let node = node.clone();
        local::spawn(async move {
            let served = AssertUnwindSafe(serve_peer(&node, stream, address, serial, place));
            if served.catch_unwind().await.is_err() {
                stats::panicked();
            }
            node.incoming.borrow_mut().remove(&serial);
        });
    }
}

async fn serve_peer(
    node: &Rc<Node>,
    stream: TcpStream,
    address: SocketAddr,
    serial: u64,
    place: Place,
) {
    let peer = address.to_string();
    let holder = node.buffers.register(Kind::Peer, address);
    let authenticating = pin!(timeout(
        AUTHENTICATION_TIMEOUT,
        authenticate(node, stream, &peer, holder.clone()),
    ));
    let authenticated = match select(authenticating, pin!(place.displaced())).await {
        Either::Left((Ok(authenticated), _)) => authenticated,
        Either::Left((Err(_), _)) => Err(Error::new(Step::Handshake, &peer, "handshake timed out")),
        Either::Right(_) => Err(Error::new(Step::Handshake, &peer, "too many handshakes")),
    };
    drop(place);
    let (socket, vm) = match authenticated {
        Ok(authenticated) => authenticated,
        Err(error) => {
            stats::bad_input("peer");
            tracing::debug!(%error, "a connection failed to authenticate");
            return;
        }
    };
    let (tx, mut stream) = socket::split(socket, holder);
    let reply = Reply::Peer(FrameSender::new(node, &vm, tx.clone()));
    node.incoming.borrow_mut().insert(serial, reply.clone());
    let error = read(node, &vm, &mut stream, &reply).await;
    tx.close();
    node.fetch.borrow_mut().on_connection_lost(&vm);
    tracing::debug!(peer = %vm, %error, "a peer's connection ended");
}

async fn authenticate(
    node: &Rc<Node>,
    stream: TcpStream,
    peer: &str,
    holder: Holder,
) -> Result<(socket::Socket, Name)> {
    let mut socket = socket::accept(stream, peer, max_message_bytes(node), holder).await?;
    let bytes = socket::receive(&mut socket, peer).await?;
    let hello: Hello = wire::decode_message(peer, &bytes)?;
    let handshake = Handshake::new(
        &node.cfg.fleet_key,
        node.cfg.vm.clone(),
        node.boot,
        rand::random(),
    );
    let welcome = handshake.welcome(&hello)?;
    socket::send_now(&mut socket, peer, wire::encode_message(&welcome)).await?;
    let bytes = socket::receive(&mut socket, peer).await?;
    let proof: Proof = wire::decode_message(peer, &bytes)?;
    handshake.check(&hello, &proof)?;
    Ok((socket, hello.vm))
}

async fn read(
    node: &Rc<Node>,
    vm: &Name,
    stream: &mut socket::MessageReader,
    reply: &Reply,
) -> Error {
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
        let mut envelope = match wire::decode(vm.as_str(), &bytes) {
            Ok(envelope) => envelope,
            Err(error) => {
                stats::bad_input("peer");
                return error;
            }
        };
        let delay_us = delay.observe(envelope.sent_us, node.now());
        apply_delay(&mut envelope.frame, delay_us);
        frames::on_frame(node, vm, envelope.frame, reply);
    }
}
