//! HTTP server for operators: metrics, health, status, drain, release of quarantined requests, and
//! revisions pushed by `apply`.
//!
//! tide routes the requests, but connections are accepted here, since tide's own `listen` starts
//! threads and has no graceful shutdown. Commands reach the node's thread over a bounded channel.

use crate::configuration;
use crate::containment;
use crate::home_driver;
use crate::local;
use crate::node::Node;
use crate::places::Places;
use crate::registration;
use crate::store;
use async_channel::{Receiver, Sender};
use async_h1::server::{ConnectionStatus, Server};
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use audit::{stats, Origin};
use buffers::heap;
use futures_util::future::{select, Either};
use http1::LimitedStream;
use metrics_exporter_prometheus::PrometheusHandle;
use names::SECOND;
use quarantine::Fingerprint;
use rollout::{Configuration, Offered};
use serde::{Deserialize, Serialize};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tide::{Request, Response, StatusCode};

/// Maximum number of commands that wait for the node's thread.
const MAX_COMMANDS: usize = 64;
/// Maximum number of connections.
const MAX_CONNECTIONS: usize = 64;
/// Pause after `accept` failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Timeout for an answer from the node's thread.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two runs of the metrics upkeep.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum size of a release request, in bytes: a fingerprint, a name and a reason.
const MAX_RELEASE_BYTES: usize = 16 * 1024;
/// Maximum size of a pushed revision, in bytes.
const MAX_PUSH_BYTES: usize = 16 * 1024 * 1024;
/// Maximum size of everything else of a request, in bytes.
const MAX_OVERHEAD_BYTES: usize = 32 * 1024;

/// State of a node, for operators and scripts.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    pub vm: String,
    pub hall: String,
    pub boot: String,
    /// Revision in force; 0 for none.
    pub revision: u64,
    /// ID of the change that created this revision.
    pub change: String,
    /// Version of the platform's list of VMs.
    pub list_version: u64,
    /// Time since the platform was last known to have no newer revision, in microseconds; `None` if
    /// it never was.
    pub confirmed_us_ago: Option<u64>,
    /// The store's era: the number of restores from an older copy that the store has counted;
    /// `None` if it reports none.
    pub store_era: Option<u64>,
    /// The store's revision up to which the declarations were read in that era; `None` if unknown.
    pub store_revision: Option<u64>,
    /// Whether the platform answered the last call.
    pub platform_reachable: bool,
    /// Whether the local upstream is draining.
    pub leaving: bool,
    /// Attempts running at the upstream.
    pub in_flight: u32,
    /// Attempts queued for the upstream.
    pub queued: u32,
    /// Maximum number of attempts that run concurrently.
    pub limit: u32,
    /// Recent service time, in microseconds.
    pub service_us: u64,
    /// Messages sent for measuring.
    pub measuring_messages: u64,
    /// Slot time used for measuring, in microseconds.
    pub measuring_slot_us: u64,
    /// Calls made to the platform.
    pub platform_calls: u64,
    /// Recorded attempts that have ended.
    pub records: usize,
    /// Jobs for the local upstream; as many as attempts run and wait.
    pub jobs: usize,
    /// Attempts of this node's own calls that have not ended.
    pub waiters: usize,
    /// Recorded idempotency keys.
    pub keys: usize,
    /// Attempts started.
    pub started: u64,
    /// Queued attempts that were returned or cancelled.
    pub revoked: u64,
    /// Attempts fenced by a query that arrived before their offer.
    pub fenced: u64,
    /// Offers and completions that arrived too late to have an effect.
    pub late: u64,
    /// Offers of a revision older than the one in force.
    pub revisions_older: u64,
    /// Offers of different content with the number of the revision in force.
    pub revisions_differ: u64,
    /// Measuring acts that the budget refused.
    pub measuring_refused: u64,
    /// Health probes of the local upstream.
    pub looks: u64,
    /// Starts that needed no probe because the slowdown had been reported recently.
    pub probes_saved: u64,
    /// Quarantined requests.
    pub held: Vec<QuarantinedRequest>,
    /// Estimated length of the upstream's slow phases, in microseconds.
    pub slow_phase_us: u64,
    /// Remaining time for which the upstream is cold, as it reports, in microseconds; 0 when it is
    /// warm.
    pub cold_us: u64,
    /// Attempts refused because the upstream is cold.
    pub refused_cold: u64,
    /// Attempts refused because of the request limit that the upstream advertises.
    pub refused_limited: u64,
    /// Number of client accounts whose attempts wait for the upstream.
    pub accounts_waiting: usize,
    /// Attempts refused in favour of another account's attempts.
    pub refused_for_account: u64,
    /// Evacuated halls, whose upstreams get no new work.
    pub evacuated: Vec<String>,
}

/// A command to the node's thread, with the channel for its answer.
pub enum Command {
    /// Returns the node's state.
    Status(Sender<Status>),
    /// Starts (`true`) or ends a drain of the local upstream; the answer is whether that outlives
    /// this process.
    Drain(bool, Sender<bool>),
    /// Releases a quarantined request; the answer is whether anything was recorded against it.
    Release(Box<Released>, Sender<bool>),
    /// Applies a revision that the platform accepted.
    Push(Box<Configuration>, Sender<Offered>),
}

/// A request that an operator releases from quarantine.
#[derive(Debug, Clone, Deserialize)]
pub struct Released {
    pub fingerprint: Fingerprint,
    /// Name of the operator.
    pub who: String,
    /// Reason for the release.
    pub why: String,
}

/// A quarantined request, for operators.
#[derive(Debug, Clone, Serialize)]
pub struct QuarantinedRequest {
    /// The request's fingerprint, as in log lines.
    pub fingerprint: Fingerprint,
    /// Number of upstream terminations during it that this node knows of; 0 if it is quarantined by
    /// another node's record.
    pub ends: usize,
}

#[derive(Clone)]
struct AppState {
    tx: Sender<Command>,
    prometheus: PrometheusHandle,
    fleet_key: String,
}

/// Creates the channel for commands.
pub fn channel() -> (Sender<Command>, Receiver<Command>) {
    async_channel::bounded(MAX_COMMANDS)
}

/// Serves operators; runs until the process exits.
pub async fn serve(
    listener: TcpListener,
    tx: Sender<Command>,
    prometheus: PrometheusHandle,
    fleet_key: String,
) {
    let mut app = tide::with_state(AppState {
        tx,
        prometheus,
        fleet_key,
    });
    app.at("/metrics").get(metrics);
    app.at("/livez").get(livez);
    app.at("/readyz").get(readyz);
    app.at("/status").get(status);
    app.at("/drain").post(|req| drain(req, true));
    app.at("/undrain").post(|req| drain(req, false));
    app.at("/release").post(release);
    app.at("/configuration").post(push);
    let places = Places::new("operators", MAX_CONNECTIONS);
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            task::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let app = app.clone();
        let place = places.enter(peer);
        local::spawn(async move {
            let serving = pin!(serve_connection(app, stream));
            let displaced = pin!(place.displaced());
            if let Either::Left((Err(error), _)) = select(serving, displaced).await {
                tracing::debug!(%error, "an operator's connection ended");
            }
        });
    }
}

/// Serves one connection until it ends. async-h1 reads the rest of a body that no endpoint has read,
/// without a limit of its own.
async fn serve_connection(
    app: tide::Server<AppState>,
    stream: TcpStream,
) -> Result<(), http_types::Error> {
    let overhead_bytes = MAX_OVERHEAD_BYTES as u64;
    let stream = LimitedStream::new(stream, overhead_bytes);
    let fleet_key = &app.state().fleet_key;
    let mut server = Server::new(stream.clone(), |req: http_types::Request| {
        stream.allow(overhead_bytes + max_body_bytes(&req, fleet_key) as u64);
        app.respond(req)
    });
    while server.accept_one().await? == ConnectionStatus::KeepAlive {
        stream.allow(overhead_bytes);
    }
    Ok(())
}

/// Maximum size of a request's body, in bytes.
fn max_body_bytes(req: &http_types::Request, fleet_key: &str) -> usize {
    match req.len() {
        Some(length) if has_fleet_key(req, fleet_key) => length.min(MAX_PUSH_BYTES),
        _ => 0,
    }
}

/// Moves recorded histogram samples into their buckets. Otherwise the samples would accumulate
/// until the metrics are scraped.
pub async fn run_upkeep(prometheus: PrometheusHandle) {
    loop {
        task::sleep(UPKEEP_INTERVAL).await;
        stats::set_gauge("drumwheel_heap_bytes", heap::allocated_bytes() as f64);
        prometheus.run_upkeep();
    }
}

/// Executes commands on the node's thread.
pub async fn run_commands(node: Rc<Node>, rx: Receiver<Command>) {
    while let Ok(command) = rx.recv().await {
        match command {
            Command::Status(tx) => {
                tx.try_send(node_status(&node)).ok();
            }
            Command::Drain(drained, tx) => {
                node.drained_by_operator.set(drained);
                if !drained {
                    node.drained_by_upstream.set(false);
                }
                home_driver::update_drain_state(&node);
                local::spawn(confirm_drain(node.clone(), tx));
            }
            Command::Release(released, tx) => {
                audit::release_requested(released.fingerprint, &released.who, &released.why);
                let was_known = containment::release(&node, released.fingerprint);
                tx.try_send(was_known).ok();
            }
            Command::Push(configuration, tx) => {
                let offered =
                    configuration::apply_revision(&node, *configuration, Origin::Operator).await;
                tx.try_send(offered).ok();
            }
        }
    }
}

/// Answers whether the start or end of a drain is stored. Where the platform lists the VMs, it is in
/// this node's memory only.
async fn confirm_drain(node: Rc<Node>, tx: Sender<bool>) {
    let is_stored = match &node.registration {
        Some(registration) => registration::store_operator_drain(&node, registration).await,
        None => true,
    };
    tx.try_send(is_stored).ok();
}

fn node_status(node: &Rc<Node>) -> Status {
    let load = node.load();
    let spent = node.gate.borrow().spent();
    let in_force = node.in_force();
    let rollout = node.rollout.borrow().counters();
    let home = node.home.borrow();
    let counters = home
        .as_ref()
        .map(|home| home.counters())
        .unwrap_or_default();
    Status {
        vm: node.cfg.vm.to_string(),
        hall: node.cfg.hall.to_string(),
        boot: node.boot.to_string(),
        revision: node.rollout.borrow().revision(),
        change: in_force
            .map(|in_force| in_force.configuration.head.change.id.clone())
            .unwrap_or_default(),
        list_version: node.view.borrow().list().version,
        confirmed_us_ago: node.watch.borrow().age_us(node.now()),
        store_era: store::known_era(node).map(|era| era.0),
        store_revision: store::read_position(node).map(|position| position.revision),
        platform_reachable: node.platform_state.borrow().reachable,
        leaving: load.leaving,
        in_flight: load.in_flight,
        queued: load.queued,
        limit: load.limit,
        service_us: load.service_us,
        measuring_messages: spent.messages,
        measuring_slot_us: spent.slot_us,
        platform_calls: node.platform.calls(),
        records: home.as_ref().map_or(0, |home| home.records()),
        jobs: node.jobs.borrow().len(),
        waiters: node.waiters.borrow().len(),
        keys: node.keys.borrow().len(),
        started: counters.started,
        revoked: counters.revoked,
        fenced: counters.fenced,
        late: counters.late_offers + counters.late_completions,
        revisions_older: rollout.older,
        revisions_differ: rollout.differs,
        measuring_refused: spent.refused,
        looks: spent.probes,
        probes_saved: counters.probes_saved,
        held: quarantined_requests(node),
        slow_phase_us: home
            .as_ref()
            .map_or(0, |home| home.slowdown().phase_us() as u64),
        cold_us: home
            .as_ref()
            .map_or(0, |home| home.cold_limiter().left_us(node.now())),
        refused_cold: counters.refused_cold,
        refused_limited: counters.refused_limited,
        accounts_waiting: home.as_ref().map_or(0, |home| home.accounts_waiting()),
        refused_for_account: counters.refused_for_account,
        evacuated: evacuated(node),
    }
}

fn evacuated(node: &Node) -> Vec<String> {
    let Some(registration) = &node.registration else {
        return Vec::new();
    };
    let halls = registration.evacuations.borrow().halls(node.now());
    halls.iter().map(|hall| hall.to_string()).collect()
}

fn quarantined_requests(node: &Node) -> Vec<QuarantinedRequest> {
    let quarantined = containment::quarantined_requests(node).into_iter();
    quarantined
        .map(|(fingerprint, ends)| QuarantinedRequest { fingerprint, ends })
        .collect()
}

async fn send_command<T>(
    app: &AppState,
    command: impl FnOnce(Sender<T>) -> Command,
) -> tide::Result<T> {
    let (tx, rx) = async_channel::bounded(1);
    let busy = || tide::Error::from_str(StatusCode::ServiceUnavailable, "the node is busy");
    app.tx.try_send(command(tx)).map_err(|_| busy())?;
    match timeout(ANSWER_TIMEOUT, rx.recv()).await {
        Ok(Ok(answer)) => Ok(answer),
        _ => Err(busy()),
    }
}

async fn metrics(req: Request<AppState>) -> tide::Result {
    let app = req.state();
    let state = send_command(app, Command::Status).await?;
    export_gauges(&state);
    Ok(Response::builder(StatusCode::Ok)
        .body(app.prometheus.render())
        .content_type("text/plain")
        .build())
}

fn export_gauges(state: &Status) {
    let gauges = [
        ("drumwheel_revision", state.revision as f64),
        ("drumwheel_list_version", state.list_version as f64),
        ("drumwheel_in_flight", state.in_flight as f64),
        ("drumwheel_queued", state.queued as f64),
        ("drumwheel_limit", state.limit as f64),
        ("drumwheel_service_us", state.service_us as f64),
        ("drumwheel_leaving", f64::from(u8::from(state.leaving))),
        (
            "drumwheel_measuring_messages",
            state.measuring_messages as f64,
        ),
        (
            "drumwheel_measuring_slot_us",
            state.measuring_slot_us as f64,
        ),
        ("drumwheel_platform_calls", state.platform_calls as f64),
        ("drumwheel_records", state.records as f64),
        ("drumwheel_jobs", state.jobs as f64),
        ("drumwheel_waiters", state.waiters as f64),
        ("drumwheel_keys", state.keys as f64),
        ("drumwheel_started", state.started as f64),
        ("drumwheel_revoked", state.revoked as f64),
        ("drumwheel_fenced", state.fenced as f64),
        ("drumwheel_late", state.late as f64),
        ("drumwheel_revisions_older", state.revisions_older as f64),
        ("drumwheel_revisions_differ", state.revisions_differ as f64),
        (
            "drumwheel_measuring_refused",
            state.measuring_refused as f64,
        ),
        ("drumwheel_looks", state.looks as f64),
        ("drumwheel_looks_saved", state.probes_saved as f64),
        ("drumwheel_slow_phase_us", state.slow_phase_us as f64),
        ("drumwheel_cold_us", state.cold_us as f64),
        ("drumwheel_refused_cold", state.refused_cold as f64),
        ("drumwheel_refused_limited", state.refused_limited as f64),
        ("drumwheel_accounts_waiting", state.accounts_waiting as f64),
        (
            "drumwheel_refused_for_account",
            state.refused_for_account as f64,
        ),
    ];
    for (name, value) in gauges {
        audit::stats::set_gauge(name, value);
    }
    if let Some(us) = state.confirmed_us_ago {
        audit::stats::set_gauge("drumwheel_confirmed_seconds_ago", us as f64 / SECOND as f64);
    }
}

async fn livez(req: Request<AppState>) -> tide::Result {
    send_command(req.state(), Command::Status).await?;
    Ok("live\n".into())
}

async fn readyz(req: Request<AppState>) -> tide::Result {
    let state = send_command(req.state(), Command::Status).await?;
    if state.revision == 0 {
        let mut res = Response::new(StatusCode::ServiceUnavailable);
        res.set_body("no configuration yet\n");
        return Ok(res);
    }
    Ok("ready\n".into())
}

async fn status(req: Request<AppState>) -> tide::Result {
    let state = send_command(req.state(), Command::Status).await?;
    Ok(Response::builder(StatusCode::Ok)
        .body(tide::Body::from_json(&state)?)
        .build())
}

async fn drain(req: Request<AppState>, drained: bool) -> tide::Result {
    authorise(&req)?;
    let is_stored = send_command(req.state(), |tx| Command::Drain(drained, tx)).await?;
    if !is_stored {
        return Err(tide::Error::from_str(
            StatusCode::ServiceUnavailable,
            "in effect, but not stored: a restart of the node may undo it; try again",
        ));
    }
    Ok(if drained { "drained\n" } else { "undrained\n" }.into())
}

async fn release(mut req: Request<AppState>) -> tide::Result {
    authorise(&req)?;
    if req.len().is_none_or(|length| length > MAX_RELEASE_BYTES) {
        return Err(tide::Error::from_str(
            StatusCode::PayloadTooLarge,
            "a release needs a length within the limit",
        ));
    }
    let released: Released = req.body_json().await?;
    let was_known =
        send_command(req.state(), |tx| Command::Release(Box::new(released), tx)).await?;
    Ok(if was_known {
        "released
"
    } else {
        "not held
"
    }
    .into())
}

async fn push(mut req: Request<AppState>) -> tide::Result {
    authorise(&req)?;
    if req.len().is_none_or(|length| length > MAX_PUSH_BYTES) {
        return Err(tide::Error::from_str(
            StatusCode::PayloadTooLarge,
            "a revision needs a length within the limit",
        ));
    }
    let bytes = req.body_bytes().await?;
    let configuration: Configuration = wire::decode_message("operator", &bytes)
        .map_err(|error| tide::Error::from_str(StatusCode::BadRequest, error.to_string()))?;
    let offered =
        send_command(req.state(), |tx| Command::Push(Box::new(configuration), tx)).await?;
    Ok(format!("{offered:?}\n").into())
}

/// Checks that the request carries the fleet's key as a bearer token; all changes require it.
fn authorise(req: &Request<AppState>) -> tide::Result<()> {
    if has_fleet_key(req.as_ref(), &req.state().fleet_key) {
        return Ok(());
    }
    Err(tide::Error::from_str(
        StatusCode::Unauthorized,
        "needs the fleet's key",
    ))
}

fn has_fleet_key(req: &http_types::Request, fleet_key: &str) -> bool {
    let given = req.header("authorization").map(|values| values.last());
    given.is_some_and(|given| given.as_str() == format!("Bearer {fleet_key}"))
}
