//! Counters for the operators. Every name the node exports stands here.

use metrics::{counter, gauge};

/// A caller's request ended with this outcome and reason.
pub fn call_ended(outcome: &'static str, reason: &'static str) {
    counter!("drumwheel_calls_total", "outcome" => outcome, "reason" => reason).increment(1);
}

/// A home duty refused an attempt.
pub fn attempt_refused(reason: &'static str) {
    counter!("drumwheel_attempts_refused_total", "reason" => reason).increment(1);
}

/// An attempt was offered to a home duty.
pub fn attempt_offered(local: bool) {
    let place = if local { "own" } else { "peer" };
    counter!("drumwheel_attempts_offered_total", "place" => place).increment(1);
}

/// A frame or event came too late to matter.
pub fn late(kind: &'static str) {
    counter!("drumwheel_late_total", "kind" => kind).increment(1);
}

/// An attempt ran and has no whole answer.
pub fn upstream_failed(kind: &'static str) {
    counter!("drumwheel_upstream_failures_total", "kind" => kind).increment(1);
}

/// Input that was refused at a door.
pub fn bad_input(door: &'static str) {
    counter!("drumwheel_bad_input_total", "door" => door).increment(1);
}

/// A policy failed at run time; the safest treatment was used.
pub fn policy_failed() {
    counter!("drumwheel_policy_failures_total").increment(1);
}

/// A task panicked and its connection was closed.
pub fn panicked() {
    counter!("drumwheel_panics_total").increment(1);
}

/// A connection between nodes opened or closed.
pub fn link_changed(change: &'static str) {
    counter!("drumwheel_links_total", "change" => change).increment(1);
}

/// Bytes of control frames sent: everything between nodes but requests and answers.
pub fn control_bytes(bytes: usize) {
    counter!("drumwheel_control_bytes_total").increment(bytes as u64);
}

/// A log line was left out because too many of its kind came.
pub fn line_left_out() {
    counter!("drumwheel_log_lines_left_out_total").increment(1);
}

/// Sets a gauge.
pub fn set(name: &'static str, value: f64) {
    gauge!(name).set(value);
}
