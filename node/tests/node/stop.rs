//! Deadlines and the planned stop.

use crate::fleet::{connect, header, read_all, Fleet, UpstreamKind, TIMEOUT};
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Sends a request and waits until it is in flight.
fn start_request(fleet: &Fleet) -> TcpStream {
    let stream = send_request(fleet);
    wait_for_metric(fleet, "drumwheel_in_flight");
    stream
}

/// Waits until a counter or gauge is 1 or more.
fn wait_for_metric(fleet: &Fleet, name: &str) {
    let began = Instant::now();
    while fleet.metric(name) < 1.0 {
        assert!(began.elapsed() < TIMEOUT, "{name} stays below 1");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn send_request(fleet: &Fleet) -> TcpStream {
    let mut stream = connect(fleet.callers);
    stream
        .write_all(b"POST / HTTP/1.1\r\nHost: one.example\r\nContent-Length: 0\r\n\r\n")
        .expect("the request is sent");
    stream
}

#[test]
fn planned_stop_completes_a_request_in_flight_and_then_exits() {
    let mut fleet = Fleet::start("stop", UpstreamKind::Working(1_500_000));
    let mut stream = start_request(&fleet);
    fleet.terminate();
    let response = read_all(&mut stream);
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert_eq!(header(&response, "connection"), Some("close"));
    assert!(fleet.wait(), "the node exits with success");
}

/// Guards against a keyed request whose answer is lost in a stop, and against a later one that runs
/// although the node stops.
#[test]
fn keyed_request_loses_its_answer_in_a_planned_stop() {
    let fleet = Fleet::start("stop-keyed", UpstreamKind::Working(1_500_000));
    let mut stream = connect(fleet.callers);
    stream
        .write_all(
            b"POST / HTTP/1.1\r\nHost: one.example\r\nIdempotency-Key: first\r\n\
              Content-Length: 0\r\n\r\n",
        )
        .expect("the request is sent");
    wait_for_metric(&fleet, "drumwheel_in_flight");
    fleet.terminate();
    wait_for_metric(&fleet, "drumwheel_leaving");
    let response = fleet.request("POST", "Idempotency-Key: second\r\n", "x");
    let outcome = header(&response, "drumwheel-outcome");
    assert!(matches!(outcome, Some("not-run" | "unknown")), "{response}");
    assert_eq!(fleet.metric("drumwheel_started"), 1.0);
    assert!(read_all(&mut stream).starts_with("HTTP/1.1 200"));
}

/// Guards against "not run" for a key with which an earlier try may have run.
#[test]
fn keyed_request_without_its_body_is_told_not_run() {
    let fleet = Fleet::start("stop-keyed-body", UpstreamKind::Working(10_000));
    let mut stream = connect(fleet.callers);
    stream
        .write_all(
            b"POST / HTTP/1.1\r\nHost: one.example\r\nIdempotency-Key: first\r\n\
              Content-Length: 10\r\n\r\npart",
        )
        .expect("the request is sent");
    std::thread::sleep(Duration::from_millis(200));
    fleet.terminate();
    let response = read_all(&mut stream);
    assert_eq!(header(&response, "drumwheel-outcome"), Some("unknown"));
}

/// Guards against a stop that outlasts its grace period because the platform is slow to save the
/// keys.
#[test]
fn stop_outlasts_its_grace_period_while_keys_are_saved() {
    let limits = "stop_wait_ms = 2000\n";
    let mut fleet = Fleet::start_with_limits("stop-keys", UpstreamKind::Working(10_000), limits);
    fleet.slow_platform(10_000);
    let signal = Instant::now();
    fleet.terminate();
    assert!(fleet.wait(), "the node exits with success");
    assert!(
        signal.elapsed() < Duration::from_secs(2),
        "{:?}",
        signal.elapsed()
    );
}

#[test]
fn stopping_node_starts_no_new_work() {
    let fleet = Fleet::start("stopping", UpstreamKind::Working(1_500_000));
    let mut stream = start_request(&fleet);
    fleet.terminate();
    wait_for_metric(&fleet, "drumwheel_leaving");
    let response = fleet.request("POST", "", "x");
    assert_eq!(header(&response, "drumwheel-outcome"), Some("not-run"));
    assert!(read_all(&mut stream).starts_with("HTTP/1.1 200"));
}

#[test]
fn request_that_may_have_run_is_reported_as_unknown_at_its_deadline() {
    let fleet = Fleet::start("deadline", UpstreamKind::Working(2_000_000));
    let response = fleet.request("POST", "Drumwheel-Deadline-Ms: 200\r\n", "x");
    assert!(response.starts_with("HTTP/1.1 504"), "{response}");
    assert_eq!(header(&response, "drumwheel-outcome"), Some("unknown"));
}

#[test]
fn queued_request_is_removed_when_its_caller_disconnects() {
    let fleet = Fleet::start("hang-up", UpstreamKind::Working(700_000));
    let send = |count| (0..count).map(|_| send_request(&fleet)).collect::<Vec<_>>();
    let running = send(4);
    while fleet.metric("drumwheel_in_flight") + fleet.metric("drumwheel_queued") < 4.0 {
        std::thread::sleep(Duration::from_millis(10));
    }
    let queued = send(2);
    while fleet.metric("drumwheel_in_flight") + fleet.metric("drumwheel_queued") < 6.0 {
        std::thread::sleep(Duration::from_millis(10));
    }
    let started = fleet.metric("drumwheel_started");
    drop(queued);
    drop(running);
    while fleet.metric("drumwheel_in_flight") > 0.0 {
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(fleet.metric("drumwheel_started"), started);
}

#[test]
fn answer_to_head_keeps_the_length_declared_by_the_upstream() {
    let bytes = "HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n\r\n";
    let fleet = Fleet::start("head", UpstreamKind::Raw(bytes.as_bytes().to_vec()));
    let response = fleet.request("HEAD", "", "");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert_eq!(header(&response, "content-length"), Some("1234"));
}
