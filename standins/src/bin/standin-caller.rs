//! Open-loop callers: requests start at their scheduled times, whether or not earlier ones have ended.

use async_std::task;
use bpaf::Bpaf;
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use standins::answer;
use standins::http::{self, Call, Reply};
use standins::ledger::Ledger;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Open-loop load generator
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Args {
    /// Addresses of nodes, or of one upstream, separated by commas
    #[bpaf(argument::<String>("ADDRESSES"), map(split_addresses))]
    to: Vec<SocketAddr>,
    /// Hosts of the services, separated by commas
    #[bpaf(argument::<String>("HOSTS"), map(split_words))]
    hosts: Vec<String>,
    /// Requests per second, over all callers
    #[bpaf(fallback(100.0))]
    rate: f64,
    /// Duration in seconds
    #[bpaf(fallback(5.0))]
    seconds: f64,
    /// Exponent of the Zipf distribution over services; 0 is uniform
    #[bpaf(fallback(0.0))]
    zipf: f64,
    /// Share of non-repeatable requests (POST)
    #[bpaf(fallback(0.5))]
    posts: f64,
    /// Share of the non-repeatable requests that carry an idempotency key
    #[bpaf(fallback(0.0))]
    keyed: f64,
    /// Maximum tries of a request with a key, through other nodes, until it is answered
    #[bpaf(fallback(1))]
    tries: u32,
    /// Deadline in milliseconds
    #[bpaf(fallback(1_000))]
    deadline_ms: u64,
    /// Size of an answer in bytes
    #[bpaf(fallback(200))]
    answer_bytes: usize,
    /// Requests that start at the same time, once per second; 0 for no bursts
    #[bpaf(fallback(0))]
    burst: u32,
    /// Levels of nested calls
    #[bpaf(fallback(0))]
    depth: u32,
    /// Seed of the arrivals and of the other random choices
    #[bpaf(fallback(1))]
    seed: u64,
    /// Prefix of request ids
    #[bpaf(fallback("c".to_string()))]
    prefix: String,
    /// File that records every outcome
    outcomes: Option<PathBuf>,
}

/// A start that is later than its scheduled time by more than this counts as missed.
const MAX_START_DELAY: Duration = Duration::from_millis(2);
/// Maximum latency that is recorded, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Time after the deadline until a call without an answer times out.
const ANSWER_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

fn split_addresses(text: String) -> Vec<SocketAddr> {
    text.split(',')
        .filter_map(|word| word.parse().ok())
        .collect()
}

fn split_words(text: String) -> Vec<String> {
    text.split(',').map(str::to_string).collect()
}

struct Shared {
    args: Args,
    pools: Vec<Mutex<Vec<async_std::net::TcpStream>>>,
    ledger: Ledger,
    totals: Mutex<Totals>,
}

struct Totals {
    outcomes: BTreeMap<String, u64>,
    answered: Histogram<u64>,
    refused: Histogram<u64>,
    wrong: u64,
    missed: u64,
}

fn main() -> std::io::Result<()> {
    let args = args().run();
    std::env::set_var("ASYNC_STD_THREAD_COUNT", "2");
    let ledger = Ledger::open(args.outcomes.as_deref())?;
    let histogram =
        || Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are in order");
    let shared = Arc::new(Shared {
        pools: args.to.iter().map(|_| Mutex::default()).collect(),
        ledger,
        totals: Mutex::new(Totals {
            outcomes: BTreeMap::new(),
            answered: histogram(),
            refused: histogram(),
            wrong: 0,
            missed: 0,
        }),
        args,
    });
    task::block_on(run(shared.clone()));
    report(&shared);
    Ok(())
}

/// One scheduled request.
struct ScheduledRequest {
    id: String,
    host: String,
    post: bool,
    keyed: bool,
    first_node: usize,
    at: Duration,
    scheduled: Instant,
}

async fn run(shared: Arc<Shared>) {
    let args = &shared.args;
    let mut rng = SmallRng::seed_from_u64(args.seed);
    let weights = zipf_weights(args.hosts.len(), args.zipf);
    let arrivals = arrivals(args, &mut rng);
    let started_at = Instant::now();
    let mut calls = Vec::new();
    for (number, at) in arrivals.into_iter().enumerate() {
        let host = args.hosts[pick(&weights, rng.random())].clone();
        let post = rng.random::<f64>() < args.posts;
        let keyed = post && rng.random::<f64>() < args.keyed;
        let first_node = rng.random_range(0..args.to.len());
        let now = started_at.elapsed();
        if at > now {
            task::sleep(at - now).await;
        }
        let scheduled = started_at + at;
        if scheduled.elapsed() > MAX_START_DELAY {
            shared.totals.lock().expect("no holder panics").missed += 1;
        }
        let request = ScheduledRequest {
            id: format!("{}-{}-{number}", args.prefix, args.seed),
            host,
            post,
            keyed,
            first_node,
            at,
            scheduled,
        };
        calls.push(task::spawn(run_request(shared.clone(), request)));
    }
    for call in calls {
        call.await;
    }
}

/// Start times of the requests: a Poisson process, and a burst at each full second.
fn arrivals(args: &Args, rng: &mut SmallRng) -> Vec<Duration> {
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / args.rate;
        if at >= args.seconds {
            break;
        }
        arrivals.push(Duration::from_secs_f64(at));
    }
    for second in 1..args.seconds as u64 {
        arrivals.extend(vec![Duration::from_secs(second); args.burst as usize]);
    }
    arrivals.sort();
    arrivals
}

async fn run_request(shared: Arc<Shared>, request: ScheduledRequest) {
    let ScheduledRequest {
        id,
        host,
        post,
        keyed,
        first_node,
        at,
        scheduled,
    } = request;
    let at_us = at.as_micros();
    let tries = if keyed { shared.args.tries } else { 1 };
    for try_index in 0..tries.max(1) {
        let node = (first_node + try_index as usize) % shared.args.to.len();
        let call = build_call(&shared.args, &id, &host, post, keyed);
        let timeout = Duration::from_millis(shared.args.deadline_ms) + ANSWER_TIMEOUT_MARGIN;
        let result = async_std::future::timeout(timeout, send(&shared, node, &call)).await;
        let result = result.unwrap_or_else(|_| Err("no answer in time".to_string()));
        let (outcome, reason) = classify(&shared, &id, result);
        let us = scheduled.elapsed().as_micros() as u64;
        let kind = if post { "once" } else { "repeatable" };
        shared.ledger.append(&format!(
            "{id} {kind} {outcome} {reason} {us} {} {at_us} {host}",
            try_index + 1
        ));
        count_outcome(&shared, &outcome, &reason, us);
        let should_retry = outcome != "answered" && try_index + 1 < tries;
        if !should_retry {
            return;
        }
        task::sleep(Duration::from_millis(100)).await;
    }
}

fn build_call(args: &Args, id: &str, host: &str, post: bool, keyed: bool) -> Call {
    let mut headers = vec![
        ("request-id".to_string(), id.to_string()),
        ("answer-bytes".to_string(), args.answer_bytes.to_string()),
        (
            "drumwheel-deadline-ms".to_string(),
            args.deadline_ms.to_string(),
        ),
    ];
    if args.depth > 0 {
        headers.push(("depth".to_string(), args.depth.to_string()));
    }
    if keyed {
        headers.push(("idempotency-key".to_string(), id.to_string()));
    }
    Call {
        method: if post { "POST" } else { "GET" },
        host: host.to_string(),
        path: "/".to_string(),
        headers,
        body: if post {
            id.as_bytes().to_vec()
        } else {
            Vec::new()
        },
    }
}

async fn send(shared: &Shared, node: usize, call: &Call) -> Result<Reply, String> {
    let pooled = shared.pools[node].lock().expect("no holder panics").pop();
    let stream = match pooled.filter(is_open) {
        Some(stream) => stream,
        None => http::connect(shared.args.to[node])
            .await
            .map_err(|error| format!("connect: {error}"))?,
    };
    let reply = http::exchange(stream.clone(), call).await?;
    if reply.header("connection") != Some("close") {
        shared.pools[node]
            .lock()
            .expect("no holder panics")
            .push(stream);
    }
    Ok(reply)
}

/// Whether there is no unread data and the other side has not closed the connection.
fn is_open(stream: &async_std::net::TcpStream) -> bool {
    use std::os::fd::{AsRawFd, BorrowedFd};
    // SAFETY: the descriptor is open as long as `stream` is borrowed.
    let fd = unsafe { BorrowedFd::borrow_raw(stream.as_raw_fd()) };
    let Ok(copy) = fd.try_clone_to_owned() else {
        return false;
    };
    let mut byte = [0];
    matches!(
        std::net::TcpStream::from(copy).peek(&mut byte),
        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock
    )
}

/// The outcome of the call as the caller sees it, and the reason.
fn classify(shared: &Shared, id: &str, result: Result<Reply, String>) -> (String, String) {
    let reply = match result {
        Ok(reply) => reply,
        Err(error) if error.starts_with("connect") => {
            return ("no-connection".to_string(), "-".to_string())
        }
        Err(error) => return ("broken".to_string(), error.replace(' ', "_")),
    };
    let reason = reply.header("drumwheel-reason").unwrap_or("-").to_string();
    let outcome = reply.header("drumwheel-outcome").unwrap_or("answered");
    if outcome == "answered" && reply.status == 200 {
        let length = shared.args.answer_bytes;
        if !answer::is_complete(id, length, &reply.body) {
            shared.totals.lock().expect("no holder panics").wrong += 1;
            return ("wrong".to_string(), reason);
        }
    }
    let reason = if outcome == "answered" && reply.status != 200 {
        reply.status.to_string()
    } else {
        reason
    };
    (outcome.to_string(), reason)
}

fn count_outcome(shared: &Shared, outcome: &str, reason: &str, us: u64) {
    let mut totals = shared.totals.lock().expect("no holder panics");
    let name = if reason == "-" {
        outcome.to_string()
    } else {
        format!("{outcome}:{reason}")
    };
    *totals.outcomes.entry(name).or_insert(0) += 1;
    if outcome == "answered" {
        totals.answered.saturating_record(us);
    } else {
        totals.refused.saturating_record(us);
    }
}

fn report(shared: &Shared) {
    let totals = shared.totals.lock().expect("no holder panics");
    let quantiles = |histogram: &Histogram<u64>| {
        json!({
            "count": histogram.len(),
            "mean_us": histogram.mean() as u64,
            "p50_us": histogram.value_at_quantile(0.5),
            "p99_us": histogram.value_at_quantile(0.99),
            "p999_us": histogram.value_at_quantile(0.999),
            "max_us": histogram.max(),
        })
    };
    let report = json!({
        "outcomes": totals.outcomes,
        "answered": quantiles(&totals.answered),
        "others": quantiles(&totals.refused),
        "wrong": totals.wrong,
        "missed_starts": totals.missed,
    });
    println!("{report}");
}

fn zipf_weights(count: usize, exponent: f64) -> Vec<f64> {
    let weights: Vec<f64> = (1..=count)
        .map(|rank| 1.0 / (rank as f64).powf(exponent))
        .collect();
    let sum: f64 = weights.iter().sum();
    weights.into_iter().map(|weight| weight / sum).collect()
}

fn pick(weights: &[f64], draw: f64) -> usize {
    let mut remaining = draw;
    for (i, weight) in weights.iter().enumerate() {
        if remaining < *weight {
            return i;
        }
        remaining -= weight;
    }
    weights.len() - 1
}
