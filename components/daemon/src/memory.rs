//! Keeps the memory that this node holds for others within its limit, and always has a place for
//! another caller.

use crate::node::Node;
use async_std::net::TcpListener;
use async_std::task;
use home::{Reason, Refusal};
use socket2::SockRef;
use std::os::fd::{AsRawFd, BorrowedFd};
use std::rc::Rc;
use std::time::Duration;
use wire::RelayOutcome;

/// Interval at which memory is checked while it is short.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Size of the receive buffer of a caller's connection, in bytes. What callers send while their
/// connection is not read waits there.
const RECEIVE_BUFFER_BYTES: usize = 32 * 1024;
/// Bytes of answers that may wait unsent in the buffer of a caller's connection.
const UNSENT_BYTES: u32 = 16 * 1024;
/// Retry delay sent to callers whose request finds no memory, in milliseconds.
const RETRY_MS: u64 = 1_000;
/// Turns of the executor within which a displaced connection has ended.
const MAX_TURNS: usize = 16;

/// Closes connections and stops readers for as long as memory is short; runs until the node stops.
pub async fn run(node: Rc<Node>) {
    loop {
        node.buffers.wait_for_pressure().await;
        node.buffers.advance(node.now());
        for closed in node.buffers.relieve() {
            audit::connection_closed("memory", &closed, node.now());
        }
        task::sleep(CHECK_INTERVAL).await;
    }
}

/// Makes room for a new connection of a caller. Returns false if all connections are in use.
pub async fn make_room(node: &Rc<Node>) -> bool {
    let is_full = || node.caller_connections.get() >= node.cfg.max_callers;
    if !is_full() {
        return true;
    }
    node.buffers.advance(node.now());
    let Some(closed) = node.buffers.displace_caller() else {
        return false;
    };
    audit::connection_closed("connections", &closed, node.now());
    for _ in 0..MAX_TURNS {
        if !is_full() {
            break;
        }
        task::yield_now().await;
    }
    true
}

/// Limits what the system buffers for each connection that `listener` accepts. Both options are
/// inherited; without them, connections work with larger buffers.
pub fn limit_socket_buffers(listener: &TcpListener) {
    // SAFETY: the descriptor stays open as long as `listener`, which outlives the borrow.
    let fd = unsafe { BorrowedFd::borrow_raw(listener.as_raw_fd()) };
    let socket = SockRef::from(&fd);
    let set = socket
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .and_then(|()| socket.set_tcp_notsent_lowat(UNSENT_BYTES));
    if let Err(error) = set {
        tracing::warn!(%error, "the buffers of callers' connections are not limited");
    }
}

/// The outcome of a request whose body could not be taken. Whether an earlier try with the same
/// idempotency key ran is unknown here.
pub fn refusal(has_key: bool) -> RelayOutcome {
    if has_key {
        return RelayOutcome::Unknown(Reason::Busy);
    }
    RelayOutcome::NotRun(Refusal {
        reason: Reason::Busy,
        retry_after_ms: RETRY_MS,
    })
}
