//! Connections of callers.

use super::request::{self, BadRequest};
use super::{response, serve};
use crate::guard::{Guard, HeadFault};
use crate::node::Node;
use crate::stats;
use async_h1::server::{ConnectionStatus, Server, ServerOptions};
use async_std::net::{TcpListener, TcpStream};
use async_std::prelude::*;
use async_std::task;
use futures_util::FutureExt;
use std::cell::Cell;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::Duration;

/// A connection on which no whole head arrived for so long is closed.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after the listener failed, for example because descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts callers for as long as the node runs; the last moments of a planned stop excepted.
pub async fn run(node: Rc<Node>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            task::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if node.open_callers.get() >= node.cfg.max_callers {
            stats::bad_input("too many callers");
            task::spawn_local(turn_away(stream));
            continue;
        }
        node.open_callers.set(node.open_callers.get() + 1);
        let node = node.clone();
        task::spawn_local(async move {
            let connection = AssertUnwindSafe(connection(&node, stream));
            if connection.catch_unwind().await.is_err() {
                stats::panicked();
            }
            node.open_callers.set(node.open_callers.get() - 1);
        });
    }
}

async fn turn_away(mut stream: TcpStream) {
    let text = response::raw(503, "Service Unavailable", "busy", "too many connections");
    stream.write_all(text.as_bytes()).await.ok();
}

async fn connection(node: &Rc<Node>, stream: TcpStream) {
    let Ok(address) = stream.peer_addr() else {
        return;
    };
    stream.set_nodelay(true).ok();
    let guard = Guard::new(stream);
    let caller = address.ip().to_string();
    let served = Rc::new(Cell::new(false));
    let endpoint = |req: http_types::Request| {
        served.set(true);
        endpoint(node.clone(), guard.clone(), caller.clone(), req)
    };
    let options = ServerOptions::default();
    let mut server = Server::new(guard.clone(), endpoint).with_opts(options);
    loop {
        guard.expect_head();
        served.set(false);
        let accepted = async_std::future::timeout(
            HEAD_TIMEOUT + Duration::from_millis(node.cfg.stop_wait_ms) + MAX_SERVE,
            server.accept_one(),
        );
        match accepted.await {
            Ok(Ok(ConnectionStatus::KeepAlive)) if guard.is_reusable() => {}
            Ok(Ok(_)) | Err(_) => return,
            Ok(Err(error)) => {
                if !served.get() {
                    refuse_head(&guard, &error.to_string()).await;
                }
                return;
            }
        }
    }
}

/// Longest time a request may take from its head to the end of its answer.
const MAX_SERVE: Duration = Duration::from_secs(660);

async fn endpoint(
    node: Rc<Node>,
    guard: Guard,
    caller: String,
    mut req: http_types::Request,
) -> http_types::Result<http_types::Response> {
    node.open_calls.set(node.open_calls.get() + 1);
    let read = request::read(&node, &guard, &caller, &mut req).await;
    let mut res = match read {
        Ok(call) => {
            let hung_up = hung_up(guard.stream());
            serve::serve(&node, call, hung_up).await
        }
        Err(bad) => refuse(&guard, &bad),
    };
    if node.stopping.get() {
        res.insert_header("connection", "close");
    }
    node.open_calls.set(node.open_calls.get() - 1);
    Ok(res)
}

fn refuse(guard: &Guard, bad: &BadRequest) -> http_types::Response {
    stats::bad_input("caller");
    guard.expect_body(0);
    response::bad_request(bad)
}

/// Answers a head that could not be read; the library gives no answer of its own.
async fn refuse_head(guard: &Guard, error: &str) {
    stats::bad_input("caller");
    let text = match guard.fault() {
        Some(HeadFault::TooLong) => response::raw(
            431,
            "Request Header Fields Too Large",
            "bad-request",
            "head too long",
        ),
        Some(HeadFault::CutOff) => return,
        _ => response::raw(400, "Bad Request", "bad-request", error),
    };
    let mut stream = guard.stream();
    stream.write_all(text.as_bytes()).await.ok();
}

/// Ends when the caller closes its connection. A caller that sends on is not watched any further.
async fn hung_up(stream: TcpStream) {
    let mut byte = [0];
    match stream.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        Ok(_) => std::future::pending().await,
    }
}
