//! Test double of an upstream: slots, a queue, load shedding, draining, injected slowness and
//! failures, and a ledger of every run.

use crate::answer;
use crate::http::{self, Call};
use crate::ledger::Ledger;
use async_std::net::{TcpListener, TcpStream};
use async_std::prelude::*;
use async_std::sync::{Condvar, Mutex};
use async_std::task;
use http_types::{Request, Response, StatusCode};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Size of an answer when the request does not specify one, in bytes.
const DEFAULT_ANSWER_BYTES: usize = 200;

/// Configuration of an upstream.
#[derive(Debug, Clone)]
pub struct Config {
    /// Maximum number of requests processed at once.
    pub slots: usize,
    /// Maximum number of waiting requests; further ones are shed.
    pub queue: usize,
    /// Mean service time, in microseconds.
    pub service_us: u64,
    /// Share of the service time that is drawn from an exponential distribution, 0 to 1.
    pub noise: f64,
    /// Delay after a connection is accepted, in microseconds.
    pub open_us: u64,
    /// Factor by which the first requests are slower, and the number of these requests.
    pub cold: (f64, u64),
    /// Seed of the service times.
    pub seed: u64,
    /// Address of the local node, for nested calls.
    pub node: Option<SocketAddr>,
    /// Host for nested calls.
    pub next_host: String,
}

/// Injected faults, set by the control API.
#[derive(Debug, Default)]
struct Switches {
    slow_percent: AtomicU64,
    draining: AtomicBool,
    failing: AtomicBool,
    truncating: AtomicBool,
}

/// A running upstream.
#[derive(Debug)]
pub struct Upstream {
    cfg: Config,
    switches: Switches,
    busy: Mutex<usize>,
    slot_freed: Condvar,
    waiting: AtomicUsize,
    served: AtomicU64,
    peak_busy: AtomicUsize,
    rng: std::sync::Mutex<SmallRng>,
    ledger: Ledger,
}

impl Upstream {
    /// An upstream that records its runs in `ledger`.
    pub fn new(cfg: Config, ledger: Ledger) -> Arc<Upstream> {
        let switches = Switches::default();
        switches.slow_percent.store(100, Ordering::Relaxed);
        Arc::new(Upstream {
            switches,
            busy: Mutex::new(0),
            slot_freed: Condvar::new(),
            waiting: AtomicUsize::new(0),
            served: AtomicU64::new(0),
            peak_busy: AtomicUsize::new(0),
            rng: std::sync::Mutex::new(SmallRng::seed_from_u64(cfg.seed)),
            cfg,
            ledger,
        })
    }

    /// Serves connections for as long as the process runs.
    pub async fn serve(self: Arc<Upstream>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            task::spawn(self.clone().connection(stream));
        }
    }

    async fn connection(self: Arc<Upstream>, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        task::sleep(Duration::from_micros(self.cfg.open_us)).await;
        let this = self.clone();
        let raw = stream.clone();
        async_h1::accept(stream, move |req| {
            let this = this.clone();
            let raw = raw.clone();
            async move { Ok(this.answer(req, raw).await) }
        })
        .await
        .ok();
    }

    async fn answer(&self, mut req: Request, raw: TcpStream) -> Response {
        if let Some(switch) = req.url().path().strip_prefix("/control/") {
            return self.control(switch);
        }
        let id = header(&req, "request-id").unwrap_or("-").to_string();
        let length = header(&req, "answer-bytes")
            .and_then(|text| text.parse().ok())
            .unwrap_or(DEFAULT_ANSWER_BYTES);
        req.body_bytes().await.ok();
        if self.switches.failing.load(Ordering::Relaxed) {
            self.ledger.append(&format!("{id} failed"));
            return Response::new(StatusCode::InternalServerError);
        }
        if !self.acquire_slot().await {
            let mut res = Response::new(StatusCode::ServiceUnavailable);
            res.insert_header("x-shed", "1");
            return res;
        }
        self.ledger.append(&format!("{id} ran"));
        self.simulate_work().await;
        let mut res = Response::new(StatusCode::Ok);
        let nested_result = self.call_next_level(&req, &id).await;
        self.release_slot().await;
        if self.switches.truncating.load(Ordering::Relaxed) {
            raw.shutdown(std::net::Shutdown::Both).ok();
        }
        if let Err(error) = nested_result {
            res = Response::new(StatusCode::BadGateway);
            res.set_body(error);
            return self.add_drain_header(res);
        }
        res.set_body(answer::body(&id, length));
        self.add_drain_header(res)
    }

    fn add_drain_header(&self, mut res: Response) -> Response {
        if self.switches.draining.load(Ordering::Relaxed) {
            res.insert_header("x-draining", "1");
        }
        res
    }

    /// Calls the next level through the local node.
    async fn call_next_level(&self, req: &Request, id: &str) -> Result<(), String> {
        let depth: u32 = header(req, "depth")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let Some(node) = self.cfg.node.filter(|_| depth > 0) else {
            return Ok(());
        };
        let mut headers = vec![
            ("request-id".to_string(), format!("{id}.{depth}")),
            ("depth".to_string(), (depth - 1).to_string()),
        ];
        for name in ["drumwheel-level", "drumwheel-deadline-ms"] {
            if let Some(value) = header(req, name) {
                headers.push((name.to_string(), value.to_string()));
            }
        }
        let call = Call {
            method: "GET",
            host: self.cfg.next_host.clone(),
            path: "/next".to_string(),
            headers,
            body: Vec::new(),
        };
        let stream = http::connect(node).await?;
        let reply = http::exchange(stream, &call).await?;
        if reply.status == 200 {
            Ok(())
        } else {
            Err(format!("the next level answered {}", reply.status))
        }
    }

    async fn acquire_slot(&self) -> bool {
        let mut busy = self.busy.lock().await;
        if *busy >= self.cfg.slots {
            if self.waiting.load(Ordering::Relaxed) >= self.cfg.queue {
                return false;
            }
            self.waiting.fetch_add(1, Ordering::Relaxed);
            while *busy >= self.cfg.slots {
                busy = self.slot_freed.wait(busy).await;
            }
            self.waiting.fetch_sub(1, Ordering::Relaxed);
        }
        *busy += 1;
        self.peak_busy.fetch_max(*busy, Ordering::Relaxed);
        true
    }

    async fn release_slot(&self) {
        *self.busy.lock().await -= 1;
        self.slot_freed.notify_one();
        self.served.fetch_add(1, Ordering::Relaxed);
    }

    async fn simulate_work(&self) {
        let draw: f64 = self.rng.lock().expect("no holder panics").random();
        let exponential = -(1.0 - draw).ln();
        let mean = self.cfg.service_us as f64;
        let mut us = mean * (1.0 - self.cfg.noise) + mean * self.cfg.noise * exponential;
        us *= self.switches.slow_percent.load(Ordering::Relaxed) as f64 / 100.0;
        if self.served.load(Ordering::Relaxed) < self.cfg.cold.1 {
            us *= self.cfg.cold.0;
        }
        task::sleep(Duration::from_micros(us as u64)).await;
    }

    /// Applies a control: `slow=1000` makes the upstream ten times slower (the value is in percent);
    /// `drain`, `fail` and `cut` take `on` or `off`. Answers with counters.
    fn control(&self, switch: &str) -> Response {
        let (name, value) = switch.split_once('=').unwrap_or((switch, ""));
        let on = value == "on";
        match name {
            "slow" => {
                let percent = value.parse().unwrap_or(100);
                self.switches.slow_percent.store(percent, Ordering::Relaxed);
            }
            "drain" => self.switches.draining.store(on, Ordering::Relaxed),
            "fail" => self.switches.failing.store(on, Ordering::Relaxed),
            "cut" => self.switches.truncating.store(on, Ordering::Relaxed),
            _ => {}
        }
        let mut res = Response::new(StatusCode::Ok);
        res.set_body(format!(
            "{{\"served\":{},\"most_busy\":{}}}\n",
            self.served.load(Ordering::Relaxed),
            self.peak_busy.load(Ordering::Relaxed)
        ));
        res
    }
}

fn header<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.header(name).map(|values| values.last().as_str())
}

/// Answers every connection with `bytes` and closes it, for tests with an upstream that answers
/// incorrectly.
pub async fn serve_raw(listener: TcpListener, bytes: Vec<u8>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let bytes = bytes.clone();
        task::spawn(async move {
            let mut buf = [0; 4096];
            stream.read(&mut buf).await.ok();
            stream.write_all(&bytes).await.ok();
        });
    }
}
