//! Stand-in for the platform: object API, list of VMs, and switches for its failures.

use async_std::task;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tide::{Request, Response, StatusCode};

/// Time between two looks of a waiting watch.
const WATCH_LOOK: Duration = Duration::from_millis(5);
/// How long a call whose answer is lost is held before it fails.
const LOST_HOLD: Duration = Duration::from_millis(2_500);
/// Largest value, in bytes.
const MAX_VALUE: usize = 1024 * 1024;

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

/// The stand-in's state.
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

    /// Counts a call; an error is the answer during an outage.
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

/// Answers with what `look` finds once its version is above `after`, or 304 when time is up.
async fn watch(
    req: &Request<Platform>,
    look: impl Fn(&Store) -> Option<(u64, Vec<u8>)>,
) -> tide::Result {
    let after = query(req, "after");
    let wait = Duration::from_millis(query(req, "wait_ms").unwrap_or(0));
    let began = Instant::now();
    loop {
        let (found, outage) = {
            let store = req.state().lock();
            (look(&store), store.outage)
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
            _ if began.elapsed() >= wait => return Ok(Response::new(StatusCode::NotModified)),
            _ => task::sleep(WATCH_LOOK).await,
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
    let absent = req.header("if-none-match").is_some();
    let value = req.body_bytes().await?;
    if value.len() > MAX_VALUE {
        return Ok(Response::new(StatusCode::PayloadTooLarge));
    }
    let (status, lost) = {
        let mut store = req.state().lock();
        store.writes += 1;
        let current = store.objects.get(&key).map(|(version, _)| *version);
        let holds = match (expected, absent) {
            (Some(expected), _) => current == Some(expected),
            (None, true) => current.is_none(),
            (None, false) => true,
        };
        let lost = store.lose_answers > 0;
        store.lose_answers = store.lose_answers.saturating_sub(1);
        if holds {
            store.version += 1;
            let version = store.version;
            store.objects.insert(key, (version, value));
            (StatusCode::Ok, lost)
        } else {
            (StatusCode::PreconditionFailed, lost)
        }
    };
    if lost {
        task::sleep(LOST_HOLD).await;
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

/// Goes back to the snapshot, as a platform restored from an old copy would.
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
