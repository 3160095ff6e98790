//! Connections of callers.

use super::request::{self, BadRequest};
use super::{response, serve};
use crate::guard::{Guard, HeadFault};
use crate::local;
use crate::node::Node;
use crate::stats;
use async_h1::server;
use async_std::future::timeout;
use async_std::io;
use async_std::net::{TcpListener, TcpStream};
use async_std::prelude::*;
use async_std::task;
use futures_util::FutureExt;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::Duration;

/// A connection on which no whole head arrived for so long is closed.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// A caller that does not take its answer for so long is cut off.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
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
            local::spawn(turn_away(stream));
            continue;
        }
        node.open_callers.set(node.open_callers.get() + 1);
        let node = node.clone();
        local::spawn(async move {
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
    while exchange(node, &guard, &caller).await.unwrap_or(false) {}
}

/// Serves one request; returns whether the connection may carry another.
///
/// The library's own accept loop is not used: it sets a timer of another reactor for each request,
/// which wakes that reactor's thread.
async fn exchange(node: &Rc<Node>, guard: &Guard, caller: &str) -> http_types::Result<bool> {
    guard.expect_head();
    let decoded = match timeout(HEAD_TIMEOUT, server::decode(guard.clone())).await {
        Ok(Ok(decoded)) => decoded,
        Ok(Err(error)) => {
            refuse_head(guard, &error.to_string()).await;
            return Ok(false);
        }
        Err(_) => return Ok(false),
    };
    let Some((req, _)) = decoded else {
        return Ok(false);
    };
    let method = req.method();
    let asked_to_close = has_close(req.header("connection"));
    node.open_calls.set(node.open_calls.get() + 1);
    let res = answer(node, guard, caller, req).await;
    let close = asked_to_close || has_close(res.header("connection"));
    let mut encoder = server::Encoder::new(res, method);
    let written = timeout(WRITE_TIMEOUT, io::copy(&mut encoder, &mut guard.clone())).await;
    node.open_calls.set(node.open_calls.get() - 1);
    written??;
    Ok(!close && guard.is_reusable())
}

fn has_close(connection: Option<&http_types::headers::HeaderValues>) -> bool {
    connection.is_some_and(|values| values.as_str().eq_ignore_ascii_case("close"))
}

async fn answer(
    node: &Rc<Node>,
    guard: &Guard,
    caller: &str,
    mut req: http_types::Request,
) -> http_types::Response {
    let read = request::read(node, guard, caller, &mut req).await;
    let mut res = match read {
        Ok(call) => {
            let hung_up = hung_up(guard.stream());
            serve::serve(node, call, hung_up).await
        }
        Err(bad) => refuse(guard, &bad),
    };
    if node.stopping.get() {
        res.insert_header("connection", "close");
    }
    res
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
