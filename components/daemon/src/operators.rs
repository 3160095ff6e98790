//! The operators' address: metrics, health, status, drain, and revisions pushed by `apply`.
//!
//! The routes are tide's; connections are accepted here, since tide's own `listen` starts threads
//! and has no graceful stop. Requests for the node's state go over a bounded channel.

use crate::configuration;
use crate::containment;
use crate::home_driver;
use crate::local;
use crate::node::Node;
use crate::store;
use async_channel::{Receiver, Sender};
use async_std::future::timeout;
use async_std::net::TcpListener;
use async_std::task;
use audit::Origin;
use metrics_exporter_prometheus::PrometheusHandle;
use names::SECOND;
use quarantine::Fingerprint;
use rollout::{Configuration, Offered};
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;
use tide::{Request, Response, StatusCode};

/// Commands that may wait for the node's thread.
const MAX_COMMANDS: usize = 64;
/// Pause after the listener failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for the node's thread.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two rounds of [`run_upkeep`].
const UPKEEP_EVERY: Duration = Duration::from_secs(5);
/// Largest release, in bytes: a fingerprint, a name and a reason.
const MAX_RELEASE_BYTES: usize = 16 * 1024;
/// Largest pushed revision, in bytes.
const MAX_PUSH_BYTES: usize = 16 * 1024 * 1024;

/// A node's state, for operators and scripts.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// VM.
    pub vm: String,
    /// Data hall.
    pub hall: String,
    /// Boot.
    pub boot: String,
    /// Revision in force; 0 for none.
    pub revision: u64,
    /// Identity of the change that made it.
    pub change: String,
    /// Version of the platform's list.
    pub list_version: u64,
    /// Time since the platform was last known to hold nothing newer, in microseconds; none if it never was.
    pub confirmed_us_ago: Option<u64>,
    /// The store's era: how often it came back from an older copy, as it counts itself; none where it tells none.
    pub store_era: Option<u64>,
    /// The store's revision up to which the declarations were read in that era; none when it is not known.
    pub store_revision: Option<u64>,
    /// Whether the platform answered last time.
    pub platform_reachable: bool,
    /// Whether the upstream takes no new work.
    pub leaving: bool,
    /// Attempts running at the upstream.
    pub in_flight: u32,
    /// Attempts queued for the upstream.
    pub queued: u32,
    /// Attempts that may run at once.
    pub limit: u32,
    /// Recent service time, in microseconds.
    pub service_us: u64,
    /// Messages spent on measuring.
    pub measuring_messages: u64,
    /// Slot time spent on measuring, in microseconds.
    pub measuring_slot_us: u64,
    /// Calls made to the platform.
    pub platform_calls: u64,
    /// Ended attempts on record.
    pub records: usize,
    /// Requests held for the upstream; as many as run and wait.
    pub jobs: usize,
    /// Attempts of this node's own calls that have not ended.
    pub waiters: usize,
    /// Idempotency keys on record.
    pub keys: usize,
    /// Attempts started.
    pub started: u64,
    /// Queued attempts handed back or cancelled.
    pub revoked: u64,
    /// Attempts fenced by a question before they were offered.
    pub fenced: u64,
    /// Offers and completions that came too late to matter.
    pub late: u64,
    /// Offers of a revision below the one in force.
    pub revisions_older: u64,
    /// Offers of other content under the number in force.
    pub revisions_differ: u64,
    /// Measuring acts that the budget refused.
    pub measuring_refused: u64,
    /// Looks at the upstream's pace.
    pub looks: u64,
    /// Starts on a word of the pace that was fresh without a look.
    pub probes_saved: u64,
    /// Requests that no upstream sees, because upstreams ended while they ran them.
    pub held: Vec<HeldRequest>,
    /// Learned length of the upstream's slow phases, in microseconds.
    pub slow_phase_us: u64,
    /// How much longer the upstream is cold by its own word, in microseconds; 0 when it is warm.
    pub cold_us: u64,
    /// Attempts refused because the upstream is cold.
    pub refused_cold: u64,
    /// Attempts refused because the upstream takes no more within the limit that it names.
    pub refused_limited: u64,
    /// Client accounts whose attempts wait for the upstream.
    pub accounts_waiting: usize,
    /// Attempts refused in favour of another account's.
    pub refused_for_account: u64,
    /// Halls whose upstreams get no new work.
    pub evacuated: Vec<String>,
}

/// A request to the node's thread.
pub enum Command {
    /// Give the state.
    Status(Sender<Status>),
    /// Take no new work, or take it again.
    Drain(bool, Sender<()>),
    /// Free a request that is held; tells whether anything was known against it.
    Release(Box<Released>, Sender<bool>),
    /// Take in a revision that the platform accepted.
    Push(Box<Configuration>, Sender<Offered>),
}

/// A request that an operator frees.
#[derive(Debug, Clone, Deserialize)]
pub struct Released {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Who frees it.
    pub who: String,
    /// Why.
    pub why: String,
}

/// A request that is held, for operators.
#[derive(Debug, Clone, Serialize)]
pub struct HeldRequest {
    /// The request, as log lines name it.
    pub fingerprint: Fingerprint,
    /// Ends of upstreams under it that this node knows of; 0 where another node's record holds it.
    pub ends: usize,
}

#[derive(Clone)]
struct Shared {
    tx: Sender<Command>,
    prometheus: PrometheusHandle,
    fleet_key: String,
}

/// A channel for commands.
pub fn channel() -> (Sender<Command>, Receiver<Command>) {
    async_channel::bounded(MAX_COMMANDS)
}

/// Serves operators for as long as the process runs.
pub async fn serve(
    listener: TcpListener,
    tx: Sender<Command>,
    prometheus: PrometheusHandle,
    fleet_key: String,
) {
    let mut app = tide::with_state(Shared {
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
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            task::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let app = app.clone();
        local::spawn(async move {
            let served = async_h1::accept(stream, |req| app.respond(req));
            if let Err(error) = served.await {
                tracing::debug!(%error, "an operator's connection ended");
            }
        });
    }
}

/// Folds what histograms have taken in into their buckets. Without it they would grow for as long as
/// nobody reads them.
pub async fn run_upkeep(prometheus: PrometheusHandle) {
    loop {
        task::sleep(UPKEEP_EVERY).await;
        prometheus.run_upkeep();
    }
}

/// Carries out commands on the node's thread.
pub async fn run_commands(node: Rc<Node>, rx: Receiver<Command>) {
    while let Ok(command) = rx.recv().await {
        match command {
            Command::Status(tx) => {
                tx.try_send(state(&node)).ok();
            }
            Command::Drain(drained, tx) => {
                node.drained_by_operator.set(drained);
                if !drained {
                    node.drained_by_upstream.set(false);
                }
                home_driver::update_drain_state(&node);
                tx.try_send(()).ok();
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

fn state(node: &Rc<Node>) -> Status {
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
        held: held(node),
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

fn held(node: &Node) -> Vec<HeldRequest> {
    let held = containment::quarantined_requests(node).into_iter();
    held.map(|(fingerprint, ends)| HeldRequest { fingerprint, ends })
        .collect()
}

async fn ask<T>(shared: &Shared, command: impl FnOnce(Sender<T>) -> Command) -> tide::Result<T> {
    let (tx, rx) = async_channel::bounded(1);
    let busy = || tide::Error::from_str(StatusCode::ServiceUnavailable, "the node is busy");
    shared.tx.try_send(command(tx)).map_err(|_| busy())?;
    match timeout(ANSWER_TIMEOUT, rx.recv()).await {
        Ok(Ok(answer)) => Ok(answer),
        _ => Err(busy()),
    }
}

async fn metrics(req: Request<Shared>) -> tide::Result {
    let shared = req.state();
    let state = ask(shared, Command::Status).await?;
    export(&state);
    Ok(Response::builder(StatusCode::Ok)
        .body(shared.prometheus.render())
        .content_type("text/plain")
        .build())
}

fn export(state: &Status) {
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

async fn livez(req: Request<Shared>) -> tide::Result {
    ask(req.state(), Command::Status).await?;
    Ok("live\n".into())
}

async fn readyz(req: Request<Shared>) -> tide::Result {
    let state = ask(req.state(), Command::Status).await?;
    if state.revision == 0 {
        let mut res = Response::new(StatusCode::ServiceUnavailable);
        res.set_body("no configuration yet\n");
        return Ok(res);
    }
    Ok("ready\n".into())
}

async fn status(req: Request<Shared>) -> tide::Result {
    let state = ask(req.state(), Command::Status).await?;
    Ok(Response::builder(StatusCode::Ok)
        .body(tide::Body::from_json(&state)?)
        .build())
}

async fn drain(req: Request<Shared>, drained: bool) -> tide::Result {
    authorise(&req)?;
    ask(req.state(), |tx| Command::Drain(drained, tx)).await?;
    Ok(if drained { "drained\n" } else { "undrained\n" }.into())
}

async fn release(mut req: Request<Shared>) -> tide::Result {
    authorise(&req)?;
    if req.len().is_none_or(|length| length > MAX_RELEASE_BYTES) {
        return Err(tide::Error::from_str(
            StatusCode::PayloadTooLarge,
            "a release needs a length within the limit",
        ));
    }
    let released: Released = req.body_json().await?;
    let was_known = ask(req.state(), |tx| Command::Release(Box::new(released), tx)).await?;
    Ok(if was_known {
        "released
"
    } else {
        "not held
"
    }
    .into())
}

async fn push(mut req: Request<Shared>) -> tide::Result {
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
    let offered = ask(req.state(), |tx| Command::Push(Box::new(configuration), tx)).await?;
    Ok(format!("{offered:?}\n").into())
}

/// Changes need the fleet's key as a bearer token.
fn authorise(req: &Request<Shared>) -> tide::Result<()> {
    let expected = format!("Bearer {}", req.state().fleet_key);
    let given = req
        .header("authorization")
        .map(|values| values.last().as_str().to_string());
    if given.as_deref() == Some(expected.as_str()) {
        return Ok(());
    }
    Err(tide::Error::from_str(
        StatusCode::Unauthorized,
        "needs the fleet's key",
    ))
}
