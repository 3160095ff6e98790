//! Health probes of the local upstream, sent when the start of an attempt depends on what it reports.
//!
//! A probe is a measuring act and counts against the measuring budget. It is sent over a connection
//! that is kept open, and the upstream answers at the path of the health check without using a
//! slot.

use crate::exchange;
use crate::home_driver;
use crate::local;
use crate::node::Node;
use crate::registration::{self, Registration};
use async_std::future::timeout;
use audit::stats::{self, ProbeOutcome};
use budget::Act;
use home::ProbeResult;
use names::MILLISECOND;
use std::rc::Rc;
use std::time::Duration;
use upstream::{ExchangeOptions, Failure};
use wire::{Answer, Request};

/// Timeout for the answer. A start may be delayed by this much when the upstream does not answer at
/// once; upstreams normally answer in 1 to 2 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(15);
/// Status by which an upstream answers that it accepts work.
const HEALTHY: u16 = 200;

/// Probes the upstream and passes the result to the home duty.
pub fn start(node: &Rc<Node>) {
    let node = node.clone();
    local::spawn(async move {
        let result = probe(&node).await;
        home_driver::probe_finished(&node, result);
    });
}

async fn probe(node: &Rc<Node>) -> ProbeResult {
    let Some(registration) = node.registration.clone() else {
        return ProbeResult::NoAnswer;
    };
    let Some(pool) = node.probe_pool.clone() else {
        return ProbeResult::NoAnswer;
    };
    let Some(req) = request(node, &registration) else {
        return failed("the declarations name no health path");
    };
    let now = node.now();
    if !node.gate.borrow_mut().spend(now, Act::PROBE) {
        stats::probe_finished(ProbeOutcome::Refused);
        return ProbeResult::NoBudget;
    }
    let options = ExchangeOptions {
        repeatable: true,
        ..ExchangeOptions::default()
    };
    let answer = match timeout(ANSWER_TIMEOUT, pool.exchange(&req, &options)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(Failure::NotSent(error) | Failure::Broken(error))) => {
            return failed(&error.to_string());
        }
        Ok(Err(Failure::Replaced)) => return failed("another upstream has replaced this one"),
        Err(_) => return failed("no answer in time"),
    };
    read_answer(node, &registration, &answer)
}

/// The request for the path of the health check, if the declarations name one.
fn request(node: &Rc<Node>, registration: &Registration) -> Option<Request> {
    let service = {
        let local = registration.local.borrow();
        local.current()?.service.clone()
    };
    let in_force = node.in_force()?;
    let registered = in_force.declarations.registered.get(&service)?;
    Some(Request {
        service,
        method: "GET".to_string(),
        target: registered.health_path.clone(),
        headers: vec![("Host".to_string(), "upstream".to_string())],
        body: Vec::new(),
        level: 0,
        id: "-".to_string(),
        account: None,
    })
}

/// Reads the slowdown and the remaining cold time from an answer of the expected upstream.
fn read_answer(node: &Rc<Node>, registration: &Registration, answer: &Answer) -> ProbeResult {
    let names = &node.cfg.headers;
    let instance = names
        .instance
        .as_deref()
        .and_then(|name| http1::header_value(&answer.headers, name));
    let expected = registration::local_incarnation(registration);
    let expected = expected.as_ref().map(|expected| expected.id.as_str());
    if instance.is_some() && instance != expected {
        return failed("the answer is from another instance of the upstream");
    }
    let percent = exchange::reported_slow_percent(node, answer);
    let cold_us = reported_cold_us(node, answer);
    if percent.is_none() && cold_us.is_none() {
        return failed("the answer reports neither load nor remaining cold time");
    }
    stats::probe_finished(ProbeOutcome::Answered);
    ProbeResult::Reported { percent, cold_us }
}

/// Remaining time for which the upstream is cold, as its answer reports it, in microseconds. A
/// healthy upstream that does not report it is warm.
fn reported_cold_us(node: &Node, answer: &Answer) -> Option<u64> {
    let name = node.cfg.headers.cold_ms.as_deref()?;
    match http1::header_value(&answer.headers, name) {
        Some(text) => text.trim().parse::<u64>().ok().map(|ms| ms * MILLISECOND),
        None => (answer.status == HEALTHY).then_some(0),
    }
}

fn failed(cause: &str) -> ProbeResult {
    stats::probe_finished(ProbeOutcome::Failed);
    audit::probe_failed(cause);
    ProbeResult::NoAnswer
}
