//! Counters for the operators. Every name the node exports stands here.

use crate::purpose::Purpose;
use entry::HedgeDecision;
use metrics::{counter, gauge, histogram};
use names::{Name, SECOND};
use notices::RequestRate;

/// A caller's request ended with this outcome and reason.
pub fn call_ended(outcome: &'static str, reason: &'static str) {
    counter!("drumwheel_calls_total", "outcome" => outcome, "reason" => reason).increment(1);
}

/// A home duty refused an attempt.
pub fn attempt_refused(reason: &'static str) {
    counter!("drumwheel_attempts_refused_total", "reason" => reason).increment(1);
}

/// A caller came back whose request was refused before.
pub fn caller_retried() {
    counter!("drumwheel_callers_returned_total").increment(1);
}

/// An attempt was offered to a home duty.
pub fn attempt_offered(local: bool) {
    let place = if local { "own" } else { "peer" };
    counter!("drumwheel_attempts_offered_total", "place" => place).increment(1);
}

/// A request was offered that an upstream had seen before, or a call made for one.
pub fn repeat_offered() {
    counter!("drumwheel_repeats_offered_total").increment(1);
}

/// A run was reported because it took much longer than usual.
pub fn straggler_reported() {
    counter!("drumwheel_stragglers_total").increment(1);
}

/// A second attempt was made, or not and why, or one of two attempts brought the answer.
pub fn hedged(decision: HedgeDecision) {
    let (decision, reason) = (decision.as_str(), decision.reason());
    counter!("drumwheel_hedges_total", "decision" => decision, "reason" => reason).increment(1);
}

/// A frame was dropped because the queue of its connection was full.
pub fn frame_dropped(kind: &'static str) {
    counter!("drumwheel_frames_dropped_total", "kind" => kind).increment(1);
}

/// A frame or event came too late to matter.
pub fn late_event(kind: &'static str) {
    counter!("drumwheel_late_total", "kind" => kind).increment(1);
}

/// An attempt ran and has no whole answer.
pub fn upstream_failed(kind: &'static str) {
    counter!("drumwheel_upstream_failures_total", "kind" => kind).increment(1);
}

/// The upstream takes so many requests a second by its own word, or as many as it can.
pub fn request_limit(limit: Option<RequestRate>) {
    let per_s = limit.map_or(f64::INFINITY, RequestRate::per_s);
    gauge!("drumwheel_upstream_request_limit").set(per_s);
}

/// The upstream ended while it ran something.
pub fn upstream_terminated() {
    counter!("drumwheel_upstream_ends_total").increment(1);
}

/// Requests that no upstream may see.
pub fn set_quarantined(count: usize) {
    gauge!("drumwheel_requests_held").set(count as f64);
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

/// A frame was sent to a node of this hall or of another one: its kind and its bytes. Bytes between halls are
/// scarce; those of offers and answers follow the requests, the others are the cost of control.
pub fn frame_sent(kind: &'static str, same_hall: bool, bytes: usize) {
    let hall = if same_hall { "own" } else { "other" };
    counter!("drumwheel_frames_total", "kind" => kind, "hall" => hall).increment(1);
    counter!("drumwheel_frame_bytes_total", "kind" => kind, "hall" => hall).increment(bytes as u64);
}

/// Declarations went to another node: copies, and bytes of their content.
pub fn declarations_sent(bytes: usize) {
    counter!("drumwheel_declarations_sent_total").increment(1);
    counter!("drumwheel_declarations_sent_bytes_total").increment(bytes as u64);
}

/// A call to the platform ended.
pub fn platform_called(purpose: Purpose, answered: bool) {
    let outcome = if answered { "answered" } else { "failed" };
    counter!("drumwheel_platform_calls_total", "purpose" => purpose.as_str(), "outcome" => outcome)
        .increment(1);
}

/// Name of the histograms of [`worked`].
pub const DECLARATIONS_WORK: &str = "drumwheel_declarations_work_seconds";

/// What a change of the declarations costs a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// Reading the operators' object into this product's form.
    Translate,
    /// Checking the declarations and putting them in force; requests are served between the steps.
    Check,
}

/// Work on declarations took so long, in microseconds.
pub fn record_declarations_work(work: Work, us: u64) {
    let step = match work {
        Work::Translate => "translate",
        Work::Check => "check",
    };
    histogram!(DECLARATIONS_WORK, "step" => step).record(us as f64 / SECOND as f64);
}

/// The upstream ended while it was cold.
pub fn overload_crash() {
    counter!("drumwheel_upstream_falls_total").increment(1);
}

/// The platform's store came back from an older copy.
pub fn store_restored() {
    counter!("drumwheel_store_returns_total").increment(1);
}

/// This node's record was offered to the store again, by itself or by another node.
pub fn record_offered(by: &'static str) {
    counter!("drumwheel_records_offered_total", "by" => by).increment(1);
}

/// How a look at the upstream's pace came out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The upstream said how long work takes.
    Answered,
    /// It did not say.
    Failed,
    /// The measuring budget did not allow it.
    Refused,
}

/// The upstream beside this node was to be asked how long work takes.
pub fn probe_finished(look: ProbeOutcome) {
    let outcome = match look {
        ProbeOutcome::Answered => "answered",
        ProbeOutcome::Failed => "failed",
        ProbeOutcome::Refused => "refused",
    };
    counter!("drumwheel_looks_total", "outcome" => outcome).increment(1);
}

/// A log line was left out because too many of its kind came.
pub fn log_line_suppressed() {
    counter!("drumwheel_log_lines_left_out_total").increment(1);
}

/// Name of the histograms of [`took`].
pub const LATENCY: &str = "drumwheel_latency_seconds";
/// Upper bounds of the buckets of latency histograms, in seconds: a factor of about two apart, from
/// what a hop takes to the longest deadline seen at the users' sites.
pub const LATENCY_BUCKETS: &[f64] = &[
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2,
];

/// The parts of a request's time that are measured apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// From the whole request to its outcome, at the node that took it.
    Total,
    /// From the offer to its refusal or answer, as the node that made it saw it.
    Offer,
    /// Waiting for a slot beside the upstream.
    Queue,
    /// At the upstream.
    Upstream,
}

impl Stage {
    fn as_str(self) -> &'static str {
        match self {
            Stage::Total => "whole",
            Stage::Offer => "offer",
            Stage::Queue => "queue",
            Stage::Upstream => "upstream",
        }
    }
}

/// A stage of a request for `service` took so long, in microseconds, and came out as `outcome`.
pub fn record_latency(stage: Stage, service: &Name, outcome: &'static str, us: u64) {
    let seconds = us as f64 / SECOND as f64;
    let service = service.to_string();
    histogram!(LATENCY, "stage" => stage.as_str(), "service" => service, "outcome" => outcome)
        .record(seconds);
}

/// Sets a gauge.
pub fn set_gauge(name: &'static str, value: f64) {
    gauge!(name).set(value);
}
