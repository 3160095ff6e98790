//! The door at which the upstream beside this node registers.

use super::{local_changed, Registration};
use crate::audit;
use crate::local;
use crate::node::Node;
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::prelude::*;
use async_std::task;
use http1::{request_framing, Connection, Fault};
use platform::Registration as Told;
use registry::{Change, Farewell, Verdict};
use std::rc::Rc;
use std::time::Duration;

/// Largest head, in bytes.
const MAX_HEAD_BYTES: usize = 8_000;
/// Largest body, in bytes.
const MAX_BODY_BYTES: u64 = 64 * 1024;
/// A connection on which nothing comes for so long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after the listener failed, for example because descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves registrations for as long as the node runs.
pub async fn serve(node: Rc<Node>, registration: Rc<Registration>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            task::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let node = node.clone();
        let registration = registration.clone();
        local::spawn_contained("registration", async move {
            let mut connection = Connection::new(stream);
            loop {
                let served = timeout(
                    IDLE_TIMEOUT,
                    exchange(&node, &registration, &mut connection),
                );
                match served.await {
                    Ok(Ok(true)) => {}
                    Ok(Ok(false)) | Err(_) => return,
                    Ok(Err(error)) => {
                        tracing::info!(%error, "a registration could not be read");
                        return;
                    }
                }
            }
        });
    }
}

/// One registration; false when the connection has ended.
async fn exchange(
    node: &Rc<Node>,
    registration: &Rc<Registration>,
    connection: &mut Connection<TcpStream>,
) -> Result<bool, Fault> {
    let Some(head) = connection.request_head(MAX_HEAD_BYTES).await? else {
        return Ok(false);
    };
    let framing = request_framing(&head.headers)?;
    let body = connection.body(framing, MAX_BODY_BYTES).await?;
    let read = registration
        .adapter
        .registration(&head.method, &head.target, &body);
    let (status, text) = match read {
        Ok(told) => {
            if take_in(node, registration, told) {
                (200, "{}".to_string())
            } else {
                (503, "another start stands here".to_string())
            }
        }
        Err(error) => {
            tracing::warn!(%error, "a registration was refused");
            (400, error.to_string())
        }
    };
    let phrase = match status {
        200 => "OK",
        503 => "Service Unavailable",
        _ => "Bad Request",
    };
    let json = [("Content-Type".to_string(), "application/json".to_string())];
    let bytes = http1::response_bytes(status, phrase, &json, text.as_bytes(), None);
    let mut stream = connection.stream().clone();
    stream.write_all(&bytes).await.map_err(Fault::Io)?;
    Ok(true)
}

/// Takes in what the upstream said. What follows from it has been done when this returns, so that
/// the answer may acknowledge it; false when it must not, since another start may be the one that runs.
fn take_in(node: &Rc<Node>, registration: &Rc<Registration>, told: Told) -> bool {
    let (changed, acknowledged) = match told {
        Told::Heartbeat(heartbeat) => {
            let instance = heartbeat.instance.clone();
            let sequence = heartbeat.sequence;
            let now = node.now();
            let verdict = registration.local.borrow_mut().heartbeat(now, heartbeat);
            if verdict != Verdict::Taken(Change::None) {
                audit::registered(&instance, sequence, verdict);
            }
            let changed = matches!(verdict, Verdict::Taken(Change::Updated | Change::Replaced));
            (changed, verdict != Verdict::Doubted)
        }
        Told::Leaves(incarnation) => {
            let farewell = registration.local.borrow_mut().leaves(&incarnation);
            audit::leaves(&incarnation, farewell);
            (farewell == Farewell::Taken, farewell != Farewell::Doubted)
        }
    };
    if changed {
        local_changed(node, registration);
    }
    acknowledged
}
