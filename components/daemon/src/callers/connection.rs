//! Connections of callers: what was read is answered in its order.

use super::pipeline::{Pipeline, Pipelines, MOST_PIPELINED};
use super::reading::{hung_up, Ended, Reader, ResponseSlot};
use super::response;
use crate::local;
use crate::node::Node;
use async_channel::Receiver;
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::prelude::*;
use async_std::task;
use audit::stats;
use futures_util::future::{select, Either};
use futures_util::FutureExt;
use http1::Connection;
use std::panic::AssertUnwindSafe;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// A caller that does not take its answer for so long is cut off.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after the listener failed, for example because descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts callers for as long as the node runs; the last moments of a planned stop excepted.
pub async fn run(node: Rc<Node>, listener: TcpListener) {
    let pipelines = Rc::new(Pipelines::default());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            task::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if node.caller_connections.get() >= node.cfg.max_callers {
            stats::bad_input("too many callers");
            local::spawn(turn_away(stream));
            continue;
        }
        node.caller_connections
            .set(node.caller_connections.get() + 1);
        let (node, pipelines) = (node.clone(), pipelines.clone());
        local::spawn(async move {
            let connection = AssertUnwindSafe(connection(&node, pipelines, stream));
            if connection.catch_unwind().await.is_err() {
                stats::panicked();
            }
            node.caller_connections
                .set(node.caller_connections.get() - 1);
        });
    }
}

async fn turn_away(mut stream: TcpStream) {
    let text = response::raw(503, "Service Unavailable", "busy", "too many connections");
    stream.write_all(text.as_bytes()).await.ok();
}

/// Serves one connection until it ends. Requests are read while earlier ones are served.
async fn connection(node: &Rc<Node>, pipelines: Rc<Pipelines>, stream: TcpStream) {
    let Ok(address) = stream.peer_addr() else {
        return;
    };
    stream.set_nodelay(true).ok();
    let pipeline = Rc::new(Pipeline::new(pipelines.clone()));
    let (slots, answers) = async_channel::bounded(MOST_PIPELINED + 1);
    // Dropped at the end, so that what is served still is given up.
    let (_here, gone) = async_channel::bounded(1);
    let reader = Reader {
        node: node.clone(),
        connection: Connection::new(stream.clone()),
        caller: address.ip(),
        pipeline: pipeline.clone(),
        pipelines,
        slots,
        gone,
    };
    let reading = pin!(reader.run());
    let writing = pin!(write(node, stream.clone(), &pipeline, answers));
    if let Either::Left((Ended::Done, writing)) = select(reading, writing).await {
        select(writing, pin!(hung_up(stream))).await;
    }
}

/// Writes the answers in the order of their requests, until one closes the connection.
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
                // Who does not send may not read either.
                timeout(WRITE_TIMEOUT, stream.write_all(text.as_bytes()))
                    .await
                    .ok();
                return;
            }
        };
        let Ok(held) = answer.recv().await else {
            return;
        };
        // What was read behind it is answered first.
        let closes = is_last || node.stopping.get() && answers.is_empty();
        if closes {
            pipeline.close();
        }
        let bytes = held.res.bytes(&method, closes);
        drop(held);
        let written = timeout(WRITE_TIMEOUT, stream.write_all(&bytes)).await;
        pipeline.answered();
        if closes || !matches!(written, Ok(Ok(()))) {
            return;
        }
    }
}
