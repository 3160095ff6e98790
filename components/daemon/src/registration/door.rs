//! HTTP endpoint at which the local upstream registers.

use super::{departures, health, matches_settings, on_local_change, Registration};
use crate::home_driver;
use crate::local;
use crate::node::Node;
use crate::places::Places;
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::prelude::*;
use async_std::task;
use futures_util::future::select;
use home::PriorStarts;
use http1::{request_framing, Connection, Fault};
use names::MILLISECOND;
use platform::Registration as Report;
use registry::{Change, Departed, DepartureOutcome, HeartbeatOutcome, Incarnation, Instance};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// Maximum size of a head, in bytes.
const MAX_HEAD_BYTES: usize = 8_000;
/// Maximum size of a body, in bytes.
const MAX_BODY_BYTES: u64 = 64 * 1024;
/// Time without a registration after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of connections.
const MAX_CONNECTIONS: usize = 64;
/// Pause after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Maximum wait of a report until it can be acknowledged. The upstream expects that within a second.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of reports that wait for what an earlier boot has stored.
const MAX_REPORTS_HELD: u32 = 64;
/// Minimum time between two checks of the upstream's identity, in microseconds: twice a second is
/// within its budget of probes.
const IDENTITY_CHECK_INTERVAL_US: u64 = 500 * MILLISECOND;

/// Serves registrations for as long as the node runs.
pub async fn serve(node: Rc<Node>, registration: Rc<Registration>, listener: TcpListener) {
    let places = Places::new("registrations", MAX_CONNECTIONS);
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            task::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let node = node.clone();
        let registration = registration.clone();
        let place = places.enter(peer);
        local::spawn_contained("registration", async move {
            let serving = pin!(serve_connection(&node, &registration, stream));
            select(serving, pin!(place.displaced())).await;
        });
    }
}

async fn serve_connection(node: &Rc<Node>, registration: &Rc<Registration>, stream: TcpStream) {
    let mut connection = Connection::new(stream);
    loop {
        let served = timeout(IDLE_TIMEOUT, exchange(node, registration, &mut connection));
        match served.await {
            Ok(Ok(true)) => {}
            Ok(Ok(false)) | Err(_) => return,
            Ok(Err(error)) => {
                tracing::info!(%error, "failed to read a registration");
                return;
            }
        }
    }
}

/// Handles one registration. Returns false when the connection has ended.
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
        Ok(report) => match apply_once_known(node, registration, report).await {
            ReportOutcome::Acknowledged => (200, "{}".to_string()),
            ReportOutcome::Unconfirmed => (503, "not confirmed; report again".to_string()),
            ReportOutcome::Rejected => (400, "not the upstream of this VM's settings".to_string()),
        },
        Err(error) => {
            tracing::warn!(%error, "a registration was rejected");
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

/// Minimum time between two registrations of an acknowledged upstream, as a fraction of the
/// registration interval.
const MIN_GAP_FRACTION: (u64, u64) = (2, 3);

/// What earlier boots of this node may have sent to the incarnation that registers.
fn derive_prior_starts(node: &Node, sequence: u64, remaining_cold_ms: u64) -> PriorStarts {
    let registration_gap_us =
        node.cfg.registers_every_ms * MILLISECOND * MIN_GAP_FRACTION.0 / MIN_GAP_FRACTION.1;
    PriorStarts::of_registration(
        sequence,
        node.started,
        remaining_cold_ms * MILLISECOND,
        registration_gap_us,
    )
}

/// Result of a registration or departure notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReportOutcome {
    /// Applied, with all its consequences.
    Acknowledged,
    /// Another incarnation may be the one that runs.
    Unconfirmed,
    /// From another upstream than the one that the settings name.
    Rejected,
}

impl ReportOutcome {
    fn acknowledged_unless(is_unconfirmed: bool) -> ReportOutcome {
        if is_unconfirmed {
            ReportOutcome::Unconfirmed
        } else {
            ReportOutcome::Acknowledged
        }
    }
}

/// Applies a report once the departures that an earlier boot has acknowledged are known. If that
/// takes long, the report is not acknowledged, but still applied.
async fn apply_once_known(
    node: &Rc<Node>,
    registration: &Rc<Registration>,
    report: Report,
) -> ReportOutcome {
    if registration.predecessor.is_open() {
        return apply_report(node, registration, report).await;
    }
    if registration.reports_held.get() >= MAX_REPORTS_HELD {
        return ReportOutcome::Unconfirmed;
    }
    registration
        .reports_held
        .set(registration.reports_held.get() + 1);
    let (tx, rx) = async_channel::bounded(1);
    let node = node.clone();
    let registration = registration.clone();
    local::spawn_contained("held-registration", async move {
        registration.predecessor.wait().await;
        registration
            .reports_held
            .set(registration.reports_held.get() - 1);
        let outcome = apply_report(&node, &registration, report).await;
        tx.try_send(outcome).ok();
    });
    match timeout(ACKNOWLEDGEMENT_TIMEOUT, rx.recv()).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(_)) | Err(_) => ReportOutcome::Unconfirmed,
    }
}

/// Applies a registration or departure notice. All its consequences have taken effect on return, and
/// outlive this node, so that the answer may acknowledge it.
async fn apply_report(
    node: &Rc<Node>,
    registration: &Rc<Registration>,
    report: Report,
) -> ReportOutcome {
    let departing = departing_incarnation(&report);
    let outcome = apply_in_memory(node, registration, report).await;
    let (Some(incarnation), ReportOutcome::Acknowledged) = (departing, outcome) else {
        return outcome;
    };
    if departures::store(node, registration, &incarnation).await {
        return outcome;
    }
    audit::report_not_stored(&incarnation);
    ReportOutcome::Unconfirmed
}

/// The incarnation that a report says accepts no more work.
fn departing_incarnation(report: &Report) -> Option<Incarnation> {
    match report {
        Report::Heartbeat(heartbeat) => {
            let departed = Departed::of(&heartbeat.instance);
            departed.map(|departed| departed.incarnation())
        }
        Report::Departure(incarnation) => Some(incarnation.clone()),
    }
}

/// Applies a registration or departure notice to the state of this node.
async fn apply_in_memory(
    node: &Rc<Node>,
    registration: &Rc<Registration>,
    report: Report,
) -> ReportOutcome {
    let mut cold_ms = None;
    let mut prior_starts = PriorStarts::Until(node.started);
    let (changed, outcome) = match report {
        Report::Heartbeat(heartbeat) => {
            if !matches_settings(node, registration, &heartbeat.instance, "heartbeat") {
                return ReportOutcome::Rejected;
            }
            if let Some(outcome) = check_replacement(node, registration, &heartbeat.instance).await
            {
                return outcome;
            }
            let instance = heartbeat.instance.clone();
            let sequence = heartbeat.sequence;
            let remaining_cold_ms = heartbeat.cold_ms;
            let now = node.now();
            let verdict = registration.local.borrow_mut().on_heartbeat(now, heartbeat);
            if verdict != HeartbeatOutcome::Taken(Change::None) {
                audit::upstream_registered(&instance, sequence, verdict);
            }
            let changed = matches!(
                verdict,
                HeartbeatOutcome::Taken(Change::Updated | Change::Replaced)
            );
            prior_starts = derive_prior_starts(node, sequence, remaining_cold_ms);
            let is_applied = matches!(verdict, HeartbeatOutcome::Taken(_));
            cold_ms = is_applied.then_some(remaining_cold_ms);
            let is_unconfirmed = verdict == HeartbeatOutcome::Doubted;
            (changed, ReportOutcome::acknowledged_unless(is_unconfirmed))
        }
        Report::Departure(incarnation) => {
            if is_elsewhere(registration, &incarnation) {
                return ReportOutcome::Rejected;
            }
            let departure = registration.local.borrow_mut().on_departure(&incarnation);
            audit::upstream_departing(&incarnation, departure);
            let is_unconfirmed = departure == DepartureOutcome::Doubted;
            let changed = departure == DepartureOutcome::Taken;
            (changed, ReportOutcome::acknowledged_unless(is_unconfirmed))
        }
    };
    if changed {
        on_local_change(node, registration, prior_starts);
    }
    if let Some(cold_ms) = cold_ms {
        home_driver::cold_reported(node, cold_ms);
    }
    outcome
}

/// Whether a departure notice is about the upstream of another VM. Only that VM's node can keep work
/// from it.
fn is_elsewhere(registration: &Registration, incarnation: &Incarnation) -> bool {
    if registration.local.borrow().knows(incarnation) {
        return false;
    }
    let fleet = registration.fleet.borrow();
    let vm = fleet.vm_of(incarnation);
    if let Some(vm) = vm {
        audit::departure_elsewhere(incarnation, vm);
    }
    vm.is_some()
}

/// Checks the current upstream's identity when another incarnation registers at the address of one
/// that is ready: if the current one still answers, the registration is false. A false registration
/// would deprive the upstream of work for up to 4 s.
async fn check_replacement(
    node: &Rc<Node>,
    registration: &Rc<Registration>,
    reported: &Instance,
) -> Option<ReportOutcome> {
    let known = registration.local.borrow().replaced_by(reported).cloned()?;
    let now = node.now();
    if now < registration.identity_checked_at.get() + IDENTITY_CHECK_INTERVAL_US {
        return Some(ReportOutcome::Unconfirmed);
    }
    registration.identity_checked_at.set(now);
    if !health::still_answers(node, &known).await {
        return None;
    }
    audit::upstream_still_answers(&known, reported);
    Some(ReportOutcome::Rejected)
}
