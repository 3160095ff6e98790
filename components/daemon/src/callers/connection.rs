//! Connections of callers.

use super::request::{self, BadRequest, Limits};
use super::response::{self, Response};
use super::serve;
use crate::local;
use crate::node::Node;
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::prelude::*;
use async_std::task;
use audit::stats;
use futures_util::FutureExt;
use home::Reason;
use http1::{Connection, Fault, RequestHead};
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::Duration;

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
    let mut connection = Connection::new(stream);
    while exchange(node, &mut connection, address.ip()).await {}
}

/// Serves one request; returns whether the connection may carry another.
async fn exchange(
    node: &Rc<Node>,
    connection: &mut Connection<TcpStream>,
    caller: std::net::IpAddr,
) -> bool {
    let limits = limits(node);
    if !matches!(
        timeout(limits.idle, connection.begins()).await,
        Ok(Ok(true))
    ) {
        return false;
    }
    let head = match timeout(limits.head, connection.request_head(limits.header_bytes)).await {
        Ok(Ok(Some(head))) => head,
        Ok(Ok(None)) => return false,
        Ok(Err(fault)) => {
            refuse_head(connection.stream(), &fault).await;
            return false;
        }
        Err(_) => {
            refuse_late_head(connection.stream()).await;
            return false;
        }
    };
    node.open_calls.set(node.open_calls.get() + 1);
    let asked_to_close = request::has_token(&head.headers, "connection", "close");
    let method = head.method.clone();
    let (res, read_whole) = answer(node, connection, caller, head, limits).await;
    let close = asked_to_close || !read_whole || node.stopping.get();
    let bytes = res.bytes(&method, close);
    let mut stream = connection.stream().clone();
    let written = timeout(WRITE_TIMEOUT, stream.write_all(&bytes)).await;
    node.open_calls.set(node.open_calls.get() - 1);
    matches!(written, Ok(Ok(()))) && !close
}

/// The bounds in force on one request.
fn limits(node: &Node) -> Limits {
    let in_force = node.in_force();
    let declared = in_force.and_then(|in_force| in_force.declarations.limits);
    Limits::of(node.cfg.max_body_bytes as u64, declared)
}

/// The answer, and whether the request was read to its end.
async fn answer(
    node: &Rc<Node>,
    connection: &mut Connection<TcpStream>,
    caller: std::net::IpAddr,
    head: RequestHead,
    limits: Limits,
) -> (Response, bool) {
    let parent_of = |id: &str| node.parent_of(id);
    let names = &node.cfg.headers;
    match request::read(names, parent_of, connection, caller, head, limits).await {
        Ok(call) => {
            let hung_up = hung_up(connection.stream().clone());
            (serve::serve(node, call, hung_up).await, true)
        }
        Err(bad) => {
            stats::bad_input("caller");
            (response::bad_request(&bad), false)
        }
    }
}

/// Answers a caller whose head did not arrive in time.
async fn refuse_late_head(stream: &TcpStream) {
    stats::bad_input("caller");
    tracing::info!(status = 408, "a head did not arrive in time");
    let reason = Reason::BadRequest.as_str();
    let cause = "the head did not arrive in time";
    let text = response::raw(408, response::phrase(408), reason, cause);
    // Who does not send may not read either.
    stream.clone().write_all(text.as_bytes()).await.ok();
}

/// Answers a head that could not be read.
async fn refuse_head(stream: &TcpStream, fault: &Fault) {
    stats::bad_input("caller");
    let bad = match fault {
        Fault::CutOff | Fault::Io(_) => return,
        fault => BadRequest::from(fault),
    };
    let reason = Reason::BadRequest.as_str();
    let text = response::raw(bad.status, response::phrase(bad.status), reason, &bad.cause);
    stream.clone().write_all(text.as_bytes()).await.ok();
}

/// Ends when the caller closes its connection. A caller that sends on is not watched any further.
async fn hung_up(stream: TcpStream) {
    let mut byte = [0];
    match stream.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        Ok(_) => std::future::pending().await,
    }
}
