//! The HTTP endpoint for readiness checks.

use crate::local;
use crate::places::Places;
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::prelude::*;
use async_std::task;
use futures_util::future::select;
use http1::{Connection, Fault};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// Maximum size of a request's head, in bytes.
const MAX_HEAD_BYTES: usize = 8_000;
/// A connection without a request for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of connections.
const MAX_CONNECTIONS: usize = 64;
/// Pause after `accept` has failed, for example because file descriptors ran out.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Whether a node accepts callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// The node accepts requests.
    Ready,
    /// A planned stop has begun.
    Stopping,
    /// No declarations are known yet.
    NoDeclarations,
}

/// Answers readiness checks at `path` for as long as the node runs.
pub async fn serve(path: String, readiness: Rc<dyn Fn() -> Readiness>, listener: TcpListener) {
    let places = Places::new("readiness", MAX_CONNECTIONS);
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            task::sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        let (path, readiness) = (path.clone(), readiness.clone());
        let place = places.enter(peer);
        local::spawn_contained("readiness", async move {
            let serving = pin!(serve_connection(&path, &*readiness, stream));
            select(serving, pin!(place.displaced())).await;
        });
    }
}

async fn serve_connection(path: &str, readiness: &dyn Fn() -> Readiness, stream: TcpStream) {
    let mut connection = Connection::new(stream);
    loop {
        let exchange = exchange(path, readiness, &mut connection);
        let Ok(Ok(true)) = timeout(IDLE_TIMEOUT, exchange).await else {
            return;
        };
    }
}

async fn exchange(
    path: &str,
    readiness: &dyn Fn() -> Readiness,
    connection: &mut Connection<TcpStream>,
) -> Result<bool, Fault> {
    let Some(head) = connection.request_head(MAX_HEAD_BYTES).await? else {
        return Ok(false);
    };
    let requested = head.target.split('?').next().unwrap_or_default();
    let (status, phrase, text) = match readiness() {
        _ if requested != path => (404, "Not Found", "no such path\n"),
        Readiness::Stopping => (503, "Service Unavailable", "stopping\n"),
        Readiness::NoDeclarations => (503, "Service Unavailable", "no configuration yet\n"),
        Readiness::Ready => (200, "OK", "ready\n"),
    };
    let bytes = http1::response_bytes(status, phrase, &[], text.as_bytes(), None);
    let mut stream = connection.stream().clone();
    stream.write_all(&bytes).await.map_err(Fault::Io)?;
    Ok(true)
}
