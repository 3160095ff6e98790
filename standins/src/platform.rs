//! Test double of the platform: object API, list of VMs, and controls that inject failures.

use async_std::task;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tide::{Request, Response, StatusCode};

/// Poll interval of a waiting watch.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Delay before a call whose answer is lost fails.
const LOST_ANSWER_DELAY: Duration = Duration::from_millis(2_500);
/// Maximum size of a value, in bytes.
const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Objects by key, with their versions.
type Objects = BTreeMap<String, (u64, Vec<u8>)>;

#[derive(Debug, Default)]
struct Store {
    objects: Objects,
    version: u64,
    vms: Value,
    vms_version: u64,
    snapshot: Option<(Objects, u64)>,
    outage: bool,
    slow_ms: u64,
    lose_answers: u64,
    calls: u64,
    refused: u64,
    writes: u64,
    per_second: BTreeMap<u64, u64>,
}

/// The platform's state, shared by all requests.
#[derive(Debug, Clone)]
pub struct Platform {
    store: Arc<Mutex<Store>>,
    started: Instant,
}

impl Default for Platform {
    fn default() -> Platform {
        Platform {
            store: Arc::default(),
            started: Instant::now(),
        }
    }
}

impl Platform {
    /// The HTTP application.
    pub fn app(self) -> tide::Server<Platform> {
        let mut app = tide::with_state(self);
        app.at("/v1/objects/*key").get(read).put(write);
        app.at("/v1/vms").get(read_vms);
        app.at("/control/vms").post(set_vms);
        app.at("/control/outage/:on").post(outage);
        app.at("/control/slow/:ms").post(slow);
        app.at("/control/lose/:count").post(lose);
        app.at("/control/snapshot").post(snapshot);
        app.at("/control/restore").post(restore);
        app.at("/control/stats").get(stats);
        app
    }

    fn lock(&self) -> MutexGuard<'_, Store> {
        self.store.lock().expect("no holder of the lock panics")
    }

    /// Counts and delays a call. During an outage, returns the error response instead.
    async fn admit(&self) -> Result<(), Response> {
        let slow_ms = {
            let mut store = self.lock();
            store.calls += 1;
            let second = self.started.elapsed().as_secs();
            *store.per_second.entry(second).or_insert(0) += 1;
            if store.outage {
                store.refused += 1;
                return Err(Response::new(StatusCode::ServiceUnavailable));
            }
            store.slow_ms
        };
        task::sleep(Duration::from_millis(slow_ms)).await;
        Ok(())
    }
}

fn query(req: &Request<Platform>, name: &str) -> Option<u64> {
    req.url()
        .query_pairs()
        .find(|(key, _)| key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// Answers with the value that `lookup` finds once its version is above the query parameter `after`, or
/// with 304 after `wait_ms`.
async fn watch(
    req: &Request<Platform>,
    lookup: impl Fn(&Store) -> Option<(u64, Vec<u8>)>,
) -> tide::Result {
    let after = query(req, "after");
    let wait = Duration::from_millis(query(req, "wait_ms").unwrap_or(0));
    let started_at = Instant::now();
    loop {
        let (found, outage) = {
            let store = req.state().lock();
            (lookup(&store), store.outage)
        };
        if outage {
            return Ok(Response::new(StatusCode::ServiceUnavailable));
        }
        match (found, after) {
            (Some((version, value)), after) if after.is_none_or(|after| version > after) => {
                let mut res = Response::new(StatusCode::Ok);
                res.insert_header("object-version", version.to_string());
                res.set_body(value);
                return Ok(res);
            }
            (None, None) => return Ok(Response::new(StatusCode::NotFound)),
            _ if started_at.elapsed() >= wait => return Ok(Response::new(StatusCode::NotModified)),
            _ => task::sleep(WATCH_POLL_INTERVAL).await,
        }
    }
}

async fn read(req: Request<Platform>) -> tide::Result {
    if let Err(res) = req.state().admit().await {
        return Ok(res);
    }
    let key = req.param("key")?.to_string();
    watch(&req, |store| store.objects.get(&key).cloned()).await
}

async fn read_vms(req: Request<Platform>) -> tide::Result {
    if let Err(res) = req.state().admit().await {
        return Ok(res);
    }
    watch(&req, |store| {
        let list = json!({ "version": store.vms_version, "vms": store.vms });
        (store.vms_version > 0).then(|| (store.vms_version, list.to_string().into_bytes()))
    })
    .await
}

async fn write(mut req: Request<Platform>) -> tide::Result {
    if let Err(res) = req.state().admit().await {
        return Ok(res);
    }
    let key = req.param("key")?.to_string();
    let expected = req
        .header("if-match")
        .and_then(|values| values.last().as_str().parse::<u64>().ok());
    let must_be_absent = req.header("if-none-match").is_some();
    let value = req.body_bytes().await?;
    if value.len() > MAX_VALUE_BYTES {
        return Ok(Response::new(StatusCode::PayloadTooLarge));
    }
    let (status, is_answer_lost) = {
        let mut store = req.state().lock();
        store.writes += 1;
        let current = store.objects.get(&key).map(|(version, _)| *version);
        let precondition_holds = match (expected, must_be_absent) {
            (Some(expected), _) => current == Some(expected),
            (None, true) => current.is_none(),
            (None, false) => true,
        };
        let is_answer_lost = store.lose_answers > 0;
        store.lose_answers = store.lose_answers.saturating_sub(1);
        if precondition_holds {
            store.version += 1;
            let version = store.version;
            store.objects.insert(key, (version, value));
            (StatusCode::Ok, is_answer_lost)
        } else {
            (StatusCode::PreconditionFailed, is_answer_lost)
        }
    };
    if is_answer_lost {
        task::sleep(LOST_ANSWER_DELAY).await;
        return Ok(Response::new(StatusCode::GatewayTimeout));
    }
    Ok(Response::new(status))
}

async fn set_vms(mut req: Request<Platform>) -> tide::Result {
    let vms: Value = req.body_json().await?;
    let mut store = req.state().lock();
    store.vms = vms;
    store.vms_version += 1;
    Ok(format!("{}\n", store.vms_version).into())
}

async fn outage(req: Request<Platform>) -> tide::Result {
    req.state().lock().outage = req.param("on")? == "on";
    Ok("ok\n".into())
}

async fn slow(req: Request<Platform>) -> tide::Result {
    req.state().lock().slow_ms = req.param("ms")?.parse()?;
    Ok("ok\n".into())
}

async fn lose(req: Request<Platform>) -> tide::Result {
    req.state().lock().lose_answers = req.param("count")?.parse()?;
    Ok("ok\n".into())
}

async fn snapshot(req: Request<Platform>) -> tide::Result {
    let mut store = req.state().lock();
    store.snapshot = Some((store.objects.clone(), store.version));
    Ok("ok\n".into())
}

/// Restores the snapshot, like a platform that is restored from an older copy.
async fn restore(req: Request<Platform>) -> tide::Result {
    let mut store = req.state().lock();
    if let Some((objects, version)) = store.snapshot.clone() {
        store.objects = objects;
        store.version = version;
    }
    Ok("ok\n".into())
}

async fn stats(req: Request<Platform>) -> tide::Result {
    let store = req.state().lock();
    let peak = store.per_second.values().max().copied().unwrap_or(0);
    let stats = json!({
        "calls": store.calls,
        "refused": store.refused,
        "writes": store.writes,
        "peak_calls_per_s": peak,
        "per_second": store.per_second,
    });
    Ok(Response::builder(StatusCode::Ok)
        .body(tide::Body::from_json(&stats)?)
        .build())
}
