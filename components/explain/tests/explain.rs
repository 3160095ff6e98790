//! The path of a request, from log lines of several nodes.

const FIRST_NODE: &str = r#"{"timestamp":"2026-12-02T10:00:00.100Z","level":"INFO","message":"request routed","id":"r1","route":"bids","service":"a","revision":7}
{"timestamp":"2026-12-02T10:00:00.100Z","level":"INFO","message":"request routed","id":"r11","route":"bids","service":"a","revision":7}
not a line of a log
{"timestamp":"2026-12-02T10:00:00.190Z","level":"INFO","message":"request ended","id":"r1","outcome":"not-run","reason":"busy","detail":50,"took_ms":90}"#;
const SECOND_NODE: &str = r#"vm-2 {"timestamp":"2026-12-02T10:00:00.101Z","level":"INFO","message":"attempt decided","id":"r1","attempt":"x-1","decision":"queued","in_flight":6,"queued":3}
vm-2 {"timestamp":"2026-12-02T10:00:00.150Z","level":"INFO","message":"request routed","id":"r1.c9","route":"checks"}
vm-2 {"timestamp":"2026-12-02T10:00:00.189Z","level":"INFO","message":"attempt decided","id":"r1","attempt":"x-1","decision":"refused","reason":"busy"}"#;

#[test]
fn steps_of_a_request_and_its_calls_are_ordered_over_all_nodes() {
    let lines = FIRST_NODE
        .lines()
        .map(|line| ("one.log", line))
        .chain(SECOND_NODE.lines().map(|line| ("two.log", line)));
    let steps = explain::steps("r1", lines);
    insta::assert_snapshot!(explain::to_text(&steps));
}

#[test]
fn request_without_log_lines_has_no_steps() {
    let lines = FIRST_NODE.lines().map(|line| ("one.log", line));
    assert!(explain::steps("r2", lines).is_empty());
}
