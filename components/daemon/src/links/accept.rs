//! The peers' door: connections that other nodes open to this one.

use super::{age, frames, max_bytes, socket, Outlet, Reply};
use crate::local;
use crate::node::Node;
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use audit::stats;
use errors::{Error, Result, Step};
use futures_util::FutureExt;
use home::DelayEstimator;
use names::Name;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::Duration;
use wire::{Handshake, Hello, Proof};

/// Longest time a stranger may take to prove itself.
const PROOF_TIMEOUT: Duration = Duration::from_secs(2);
/// Connections that have not proved themselves at most; further ones are closed.
const MAX_STRANGERS: usize = 64;
/// Pause after the listener failed, for example because descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts peers for as long as the node runs.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    let mut serial = 0;
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            task::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if node.unauthenticated_peers.get() >= MAX_STRANGERS {
            stats::bad_input("peer");
            continue;
        }
        serial += 1;
        let node = node.clone();
        let peer = address.to_string();
        local::spawn(async move {
            let served = AssertUnwindSafe(serve_peer(&node, stream, &peer, serial));
            if served.catch_unwind().await.is_err() {
                stats::panicked();
            }
            node.incoming.borrow_mut().remove(&serial);
        });
    }
}

async fn serve_peer(node: &Rc<Node>, stream: TcpStream, peer: &str, serial: u64) {
    node.unauthenticated_peers
        .set(node.unauthenticated_peers.get() + 1);
    let admitted = timeout(PROOF_TIMEOUT, admit(node, stream, peer))
        .await
        .unwrap_or_else(|_| Err(Error::new(Step::Handshake, peer, "no proof in time")));
    node.unauthenticated_peers
        .set(node.unauthenticated_peers.get() - 1);
    let (socket, vm) = match admitted {
        Ok(admitted) => admitted,
        Err(error) => {
            stats::bad_input("peer");
            tracing::debug!(%error, "a stranger was turned away");
            return;
        }
    };
    let (tx, mut stream) = socket::split(socket);
    let reply = Reply::Peer(Outlet::new(node, &vm, tx.clone()));
    node.incoming.borrow_mut().insert(serial, reply.clone());
    let error = read(node, &vm, &mut stream, &reply).await;
    tx.close();
    node.fetch.borrow_mut().on_connection_lost(&vm);
    tracing::debug!(peer = %vm, %error, "a peer's connection ended");
}

async fn admit(node: &Rc<Node>, stream: TcpStream, peer: &str) -> Result<(socket::Socket, Name)> {
    let mut socket = socket::accept(stream, peer, max_bytes(node)).await?;
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
    stream: &mut futures_util::stream::SplitStream<socket::Socket>,
    reply: &Reply,
) -> Error {
    let mut delay = DelayEstimator::default();
    loop {
        let bytes = match socket::receive(stream, vm.as_str()).await {
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
        let late_us = delay.observe(envelope.sent_us, node.now());
        age(&mut envelope.frame, late_us);
        frames::take_in(node, vm, envelope.frame, reply);
    }
}
