//! Answers of upstreams that are incomplete or invalid, shed the request, or announce a drain.

use crate::fleet::{header, Fleet, UpstreamKind};

/// Name of the case, bytes of the answer.
const INVALID_ANSWERS: &[(&str, &str)] = &[
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
fn incomplete_or_invalid_answer_is_never_forwarded() {
    for (name, bytes) in INVALID_ANSWERS {
        let tag = name.replace(' ', "-");
        let fleet = Fleet::start(&tag, UpstreamKind::Raw(bytes.as_bytes().to_vec()));
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
fn surplus_bytes_after_an_answer_are_not_used_for_the_next_request() {
    let bytes = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\noneHTTP/1.1 200 OK\r\n\
                 Content-Length: 3\r\n\r\ntwo";
    let fleet = Fleet::start("behind", UpstreamKind::Raw(bytes.as_bytes().to_vec()));
    for _ in 0..5 {
        let response = fleet.request("POST", "", "x");
        assert!(response.ends_with("one"), "{response}");
    }
}

#[test]
fn chunked_answer_is_forwarded_completely() {
    let bytes =
        "HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    let fleet = Fleet::start("chunked", UpstreamKind::Raw(bytes.as_bytes().to_vec()));
    let response = fleet.request("POST", "", "x");
    assert!(response.starts_with("HTTP/1.1 201"), "{response}");
    assert!(response.ends_with("\r\n\r\nabcde"), "{response}");
    assert_eq!(header(&response, "drumwheel-outcome"), Some("answered"));
}

#[test]
fn request_shed_by_the_upstream_is_reported_as_not_run() {
    let bytes = "HTTP/1.1 503 Service Unavailable\r\nX-Shed: 1\r\nContent-Length: 0\r\n\r\n";
    let fleet = Fleet::start("shed", UpstreamKind::Raw(bytes.as_bytes().to_vec()));
    let response = fleet.request("POST", "", "x");
    assert_eq!(header(&response, "drumwheel-outcome"), Some("not-run"));
    assert_eq!(header(&response, "drumwheel-reason"), Some("shed"));
    assert!(header(&response, "retry-after").is_some());
}

#[test]
fn the_nodes_own_headers_are_removed_from_an_upstreams_answer() {
    let bytes = "HTTP/1.1 200 OK\r\nDrumwheel-Outcome: not-run\r\nContent-Length: 2\r\n\r\nok";
    let fleet = Fleet::start("speaks", UpstreamKind::Raw(bytes.as_bytes().to_vec()));
    let response = fleet.request("POST", "", "x");
    assert_eq!(header(&response, "drumwheel-outcome"), Some("answered"));
    assert_eq!(response.matches("not-run").count(), 0, "{response}");
}

#[test]
fn upstream_that_announces_a_drain_gets_no_new_work() {
    let bytes = "HTTP/1.1 200 OK\r\nX-Draining: 1\r\nContent-Length: 2\r\n\r\nok";
    let fleet = Fleet::start("leaves", UpstreamKind::Raw(bytes.as_bytes().to_vec()));
    assert!(fleet.request("POST", "", "x").ends_with("ok"));
    for _ in 0..3 {
        let response = fleet.request("POST", "", "x");
        assert_eq!(header(&response, "drumwheel-outcome"), Some("not-run"));
    }
    assert_eq!(fleet.metric("drumwheel_started"), 1.0);
}

/// Guards against a node that reports that it is ready and then refuses a request with `no-upstream`:
/// ready means that the head's declarations are in force, and the node read the head from the
/// platform before it read the list of VMs. A test then waited forever for its request to run.
#[test]
fn node_that_reports_ready_knows_its_upstreams() {
    let slow_ms = 100;
    let fleet = Fleet::start_on_slow_platform("ready", UpstreamKind::Working(1_000), slow_ms);
    let response = fleet.request("POST", "", "x");
    let outcome = header(&response, "drumwheel-outcome");
    assert_eq!(outcome, Some("answered"), "{response}");
}
