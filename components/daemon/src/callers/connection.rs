//! Connections of callers: requests are answered in the order in which they were read.

use super::pipeline::{Pipeline, PipelineUsage, MAX_PIPELINED};
use super::reading::{wait_for_disconnect, ReadEnd, Reader, ResponseSlot};
use super::response;
use crate::local;
use crate::memory::{limit_socket_buffers, make_room};
use crate::node::Node;
use async_channel::Receiver;
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::prelude::*;
use async_std::task;
use audit::stats;
use buffers::{GatedStream, Holder, Kind};
use futures_util::future::{select, Either};
use futures_util::FutureExt;
use http1::Connection;
use std::panic::AssertUnwindSafe;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// Maximum time for writing an answer; after that, the connection is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after an error of the listener, for example when no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts callers for as long as the node runs. Requests in the last phase of a planned stop are
/// refused.
pub async fn run(node: Rc<Node>, listener: TcpListener) {
    let usage = Rc::new(PipelineUsage::default());
    limit_socket_buffers(&listener);
    loop {
        let Ok((stream, caller)) = listener.accept().await else {
            task::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if !make_room(&node).await {
            stats::bad_input("too many callers");
            local::spawn(reject(stream));
            continue;
        }
        node.caller_connections
            .set(node.caller_connections.get() + 1);
        // Registered at once, so that it counts before its task runs.
        let holder = node.buffers.register(Kind::Caller, caller);
        let (node, usage) = (node.clone(), usage.clone());
        local::spawn(async move {
            let connection = AssertUnwindSafe(connection(&node, usage, stream, &holder));
            let served = pin!(connection.catch_unwind());
            if let Either::Left((Err(_), _)) = select(served, pin!(holder.evicted())).await {
                stats::panicked();
            }
            node.caller_connections
                .set(node.caller_connections.get() - 1);
        });
    }
}

async fn reject(mut stream: TcpStream) {
    let text = response::raw_refusal(503, "Service Unavailable", "busy", "too many connections");
    stream.write_all(text.as_bytes()).await.ok();
}

/// Serves one connection until it ends. Further requests are read while earlier ones are being
/// served.
async fn connection(node: &Rc<Node>, usage: Rc<PipelineUsage>, stream: TcpStream, holder: &Holder) {
    let Ok(address) = stream.peer_addr() else {
        return;
    };
    stream.set_nodelay(true).ok();
    let pipeline = Rc::new(Pipeline::new(usage.clone(), holder.clone()));
    let (slots, answers) = async_channel::bounded(MAX_PIPELINED + 1);
    // The sender is dropped when this function returns, so that requests still in progress are
    // abandoned.
    let (_open, closed) = async_channel::bounded(1);
    let reader = Reader {
        node: node.clone(),
        connection: Connection::new(GatedStream::new(stream.clone(), holder.clone())),
        caller: address.ip(),
        pipeline: pipeline.clone(),
        usage,
        slots,
        closed,
    };
    let reading = pin!(reader.run());
    let writing = pin!(write(node, stream.clone(), &pipeline, answers));
    if let Either::Left((ReadEnd::Finished, writing)) = select(reading, writing).await {
        select(writing, pin!(wait_for_disconnect(stream))).await;
    }
}

/// Writes the answers in the order of their requests, until an answer closes the connection.
async fn write(
    node: &Node,
    mut stream: TcpStream,
    pipeline: &Pipeline,
    answers: Receiver<ResponseSlot>,
) {
    while let Ok(slot) = answers.recv().await {
        let (method, is_last, answer, _open) = match slot {
            ResponseSlot::Request {
                method,
                is_last,
                answer,
                open,
            } => (method, is_last, answer, open),
            ResponseSlot::Refusal(text) => {
                // A caller that doesn't send its request may not read the answer either.
                timeout(WRITE_TIMEOUT, stream.write_all(text.as_bytes()))
                    .await
                    .ok();
                return;
            }
        };
        let Ok(mut buffered) = answer.recv().await else {
            return;
        };
        // On a planned stop, requests that were read already are answered first.
        let is_closing = is_last || node.stopping.get() && answers.is_empty();
        if is_closing {
            pipeline.start_closing();
        }
        buffered.start_writing();
        let (head, body) = buffered.res.to_parts(&method, is_closing);
        let writing = async {
            stream.write_all(&head).await?;
            stream.write_all(body).await
        };
        let written = timeout(WRITE_TIMEOUT, writing).await;
        drop(buffered);
        pipeline.on_answered();
        if is_closing || !matches!(written, Ok(Ok(()))) {
            return;
        }
    }
}
