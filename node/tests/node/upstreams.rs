//! What a node makes of an upstream's answer that is not whole, or not an answer.

use crate::fleet::{header, Beside, Fleet};

const NOT_WHOLE: &[(&str, &str)] = &[
    (
        "cut off",
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
    ),
    ("without a length", "HTTP/1.1 200 OK\r\n\r\nabc"),
    (
        "with two lengths",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
    ),
    (
        "with a length and chunks",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
    ),
    (
        "cut off within a chunk",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
    ),
    (
        "cut off between chunks",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
    ),
    ("interim only", "HTTP/1.1 100 Continue\r\n\r\n"),
    ("no HTTP", "what?\r\n\r\n"),
    ("no bytes", ""),
    (
        "with bytes that are not ASCII",
        "HTTP/1.1 200 OK\r\nX: \u{e9}\r\nContent-Length: 0\r\n\r\n",
    ),
    (
        "longer than the limit",
        "HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\nabc",
    ),
];

#[test]
fn an_answer_that_is_not_whole_is_never_passed_on() {
    for (name, bytes) in NOT_WHOLE {
        let tag = name.replace(' ', "-");
        let fleet = Fleet::start(&tag, Beside::Bytes(bytes.as_bytes().to_vec()));
        let response = fleet.request("POST", "", "x");
        assert_eq!(
            header(&response, "drumwheel-outcome"),
            Some("unknown"),
            "{name}: {response}"
        );
        assert!(!response.contains("abc"), "{name}: {response}");
        assert_eq!(fleet.metric("drumwheel_panics_total"), 0.0, "{name}");
    }
}

#[test]
fn bytes_behind_an_answer_are_never_taken_for_the_next_answer() {
    let bytes = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\noneHTTP/1.1 200 OK\r\n\
                 Content-Length: 3\r\n\r\ntwo";
    let fleet = Fleet::start("behind", Beside::Bytes(bytes.as_bytes().to_vec()));
    for _ in 0..5 {
        let response = fleet.request("POST", "", "x");
        assert!(response.ends_with("one"), "{response}");
    }
}

#[test]
fn a_chunked_answer_is_passed_on_whole() {
    let bytes =
        "HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    let fleet = Fleet::start("chunked", Beside::Bytes(bytes.as_bytes().to_vec()));
    let response = fleet.request("POST", "", "x");
    assert!(response.starts_with("HTTP/1.1 201"), "{response}");
    assert!(response.ends_with("\r\n\r\nabcde"), "{response}");
    assert_eq!(header(&response, "drumwheel-outcome"), Some("answered"));
}

#[test]
fn an_upstream_that_sheds_is_told_as_not_run() {
    let bytes = "HTTP/1.1 503 Service Unavailable\r\nX-Shed: 1\r\nContent-Length: 0\r\n\r\n";
    let fleet = Fleet::start("shed", Beside::Bytes(bytes.as_bytes().to_vec()));
    let response = fleet.request("POST", "", "x");
    assert_eq!(header(&response, "drumwheel-outcome"), Some("not-run"));
    assert_eq!(header(&response, "drumwheel-reason"), Some("shed"));
    assert!(header(&response, "retry-after").is_some());
}

#[test]
fn headers_by_which_an_upstream_would_speak_for_the_node_are_dropped() {
    let bytes = "HTTP/1.1 200 OK\r\nDrumwheel-Outcome: not-run\r\nContent-Length: 2\r\n\r\nok";
    let fleet = Fleet::start("speaks", Beside::Bytes(bytes.as_bytes().to_vec()));
    let response = fleet.request("POST", "", "x");
    assert_eq!(header(&response, "drumwheel-outcome"), Some("answered"));
    assert_eq!(response.matches("not-run").count(), 0, "{response}");
}

#[test]
fn an_upstream_that_leaves_gets_no_new_work() {
    let bytes = "HTTP/1.1 200 OK\r\nX-Draining: 1\r\nContent-Length: 2\r\n\r\nok";
    let fleet = Fleet::start("leaves", Beside::Bytes(bytes.as_bytes().to_vec()));
    assert!(fleet.request("POST", "", "x").ends_with("ok"));
    for _ in 0..3 {
        let response = fleet.request("POST", "", "x");
        assert_eq!(header(&response, "drumwheel-outcome"), Some("not-run"));
    }
    assert_eq!(fleet.metric("drumwheel_started"), 1.0);
}

/// *Symptom.* A test waited for ever for its request to run.
/// *Sequence.* The node said that it was ready, and refused the request that came next: `no-upstream`.
/// *Cause.* It asked the platform for the head first and for the list of VMs then; ready means that the head's
/// declarations are in force.
/// *What settled it.* The counters of the node: one call refused for `no-upstream`, none in flight since.
#[test]
fn a_node_that_says_it_is_ready_knows_its_upstreams() {
    let slow_ms = 100;
    let fleet = Fleet::start_on_slow_platform("ready", Beside::Upstream(1_000), slow_ms);
    let response = fleet.request("POST", "", "x");
    let outcome = header(&response, "drumwheel-outcome");
    assert_eq!(outcome, Some("answered"), "{response}");
}
