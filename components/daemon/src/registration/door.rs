//! The door at which the upstream beside this node registers.

use super::{health, matches_settings, on_local_change, Registration};
use crate::home_driver;
use crate::local;
use crate::node::Node;
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::prelude::*;
use async_std::task;
use home::PriorStarts;
use http1::{request_framing, Connection, Fault};
use names::MILLISECOND;
use platform::Registration as Told;
use registry::{Change, DepartureOutcome, HeartbeatOutcome, Instance};
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

/// The upstream is asked who stands there once in this time at most, in microseconds: twice a second within its budget of
/// looks.
const ASK_AGAIN_US: u64 = 500 * MILLISECOND;

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
        Ok(told) => match take_in(node, registration, told).await {
            Taken::Acknowledged => (200, "{}".to_string()),
            Taken::Doubted => (503, "another start stands here".to_string()),
            Taken::NotBelieved => (400, "not the upstream of this VM's settings".to_string()),
        },
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

/// Part of the time between two registrations in which an upstream that was acknowledged surely says nothing.
const SILENT_PART: (u64, u64) = (2, 3);

/// Whether an earlier run of this node may have sent work to the start whose registration came.
fn earlier_run(node: &Node, sequence: u64, left_ms: u64) -> PriorStarts {
    let silent_us = node.cfg.registers_every_ms * MILLISECOND * SILENT_PART.0 / SILENT_PART.1;
    PriorStarts::of_registration(sequence, node.started, left_ms * MILLISECOND, silent_us)
}

/// What became of a word of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Taken {
    /// What follows from it has been done.
    Acknowledged,
    /// Another start may be the one that runs.
    Doubted,
    /// It is about another upstream than the settings name.
    NotBelieved,
}

impl Taken {
    fn acknowledged_unless(doubted: bool) -> Taken {
        if doubted {
            Taken::Doubted
        } else {
            Taken::Acknowledged
        }
    }
}

/// Takes in what the upstream said. What follows from it has been done when this returns, so that
/// the answer may acknowledge it.
async fn take_in(node: &Rc<Node>, registration: &Rc<Registration>, told: Told) -> Taken {
    let mut cold_ms = None;
    let mut earlier = PriorStarts::Until(node.started);
    let (changed, taken) = match told {
        Told::Heartbeat(heartbeat) => {
            if !matches_settings(node, registration, &heartbeat.instance, "heartbeat") {
                return Taken::NotBelieved;
            }
            if let Some(standing) = stands_already(node, registration, &heartbeat.instance).await {
                return standing;
            }
            let instance = heartbeat.instance.clone();
            let sequence = heartbeat.sequence;
            let left_ms = heartbeat.cold_ms;
            let now = node.now();
            let verdict = registration.local.borrow_mut().on_heartbeat(now, heartbeat);
            if verdict != HeartbeatOutcome::Taken(Change::None) {
                audit::upstream_registered(&instance, sequence, verdict);
            }
            let changed = matches!(
                verdict,
                HeartbeatOutcome::Taken(Change::Updated | Change::Replaced)
            );
            earlier = earlier_run(node, sequence, left_ms);
            let is_taken = matches!(verdict, HeartbeatOutcome::Taken(_));
            cold_ms = is_taken.then_some(left_ms);
            let doubted = verdict == HeartbeatOutcome::Doubted;
            (changed, Taken::acknowledged_unless(doubted))
        }
        Told::Departure(incarnation) => {
            let farewell = registration.local.borrow_mut().on_departure(&incarnation);
            audit::upstream_departing(&incarnation, farewell);
            let doubted = farewell == DepartureOutcome::Doubted;
            let changed = farewell == DepartureOutcome::Taken;
            (changed, Taken::acknowledged_unless(doubted))
        }
    };
    if changed {
        on_local_change(node, registration, earlier);
    }
    if let Some(cold_ms) = cold_ms {
        home_driver::cold_reported(node, cold_ms);
    }
    taken
}

/// Asks the upstream itself when another start is said to stand in the place of one that takes work: if that one still
/// answers, the other is none. A false one would take the upstream's work for up to 4 s.
async fn stands_already(
    node: &Rc<Node>,
    registration: &Rc<Registration>,
    told: &Instance,
) -> Option<Taken> {
    let known = registration.local.borrow().replaced_by(told).cloned()?;
    let now = node.now();
    if now < registration.asked_upstream.get() + ASK_AGAIN_US {
        return Some(Taken::Doubted);
    }
    registration.asked_upstream.set(now);
    if !health::still_answers(node, &known).await {
        return None;
    }
    audit::upstream_still_answers(&known, told);
    Some(Taken::NotBelieved)
}
