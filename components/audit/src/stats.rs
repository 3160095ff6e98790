//! Counters, gauges and histograms for operators. Names of gauges come also from the callers of
//! [`set_gauge`].

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

/// An offer reached a home duty whose upstream is not the one that was chosen. `mismatch`: what
/// differs.
pub fn offer_misdirected(mismatch: &'static str) {
    counter!("drumwheel_offers_misdirected_total", "mismatch" => mismatch).increment(1);
}

/// A caller retried a request that had been refused.
pub fn caller_retried() {
    counter!("drumwheel_callers_returned_total").increment(1);
}

/// An attempt was offered to a home duty.
pub fn attempt_offered(local: bool) {
    let home = if local { "own" } else { "peer" };
    counter!("drumwheel_attempts_offered_total", "place" => home).increment(1);
}

/// An offer of a request that an upstream may have received before, or of a call made for such a
/// request.
pub fn repeat_offered() {
    counter!("drumwheel_repeats_offered_total").increment(1);
}

/// A run was reported as a straggler: it took much longer than is typical.
pub fn straggler_reported() {
    counter!("drumwheel_stragglers_total").increment(1);
}

/// A decision about a hedged attempt: it was made, or not and why, or one of the two attempts gave
/// the answer.
pub fn hedged(decision: HedgeDecision) {
    let (decision, reason) = (decision.as_str(), decision.reason());
    counter!("drumwheel_hedges_total", "decision" => decision, "reason" => reason).increment(1);
}

/// A frame was dropped because the queue of its connection was full.
pub fn frame_dropped(kind: &'static str) {
    counter!("drumwheel_frames_dropped_total", "kind" => kind).increment(1);
}

/// A frame or event arrived too late to have an effect.
pub fn late_event(kind: &'static str) {
    counter!("drumwheel_late_total", "kind" => kind).increment(1);
}

/// A stopping node refused a caller's request.
pub fn stop_refused(cause: &'static str) {
    counter!("drumwheel_stop_refused_total", "cause" => cause).increment(1);
}

/// A planned stop ended while `duty` waited for an attempt.
pub fn stop_interrupted(duty: &'static str) {
    counter!("drumwheel_stop_interrupted_total", "duty" => duty).increment(1);
}

/// An attempt ran but gave no complete answer.
pub fn upstream_failed(kind: &'static str) {
    counter!("drumwheel_upstream_failures_total", "kind" => kind).increment(1);
}

/// The upstream advertises a limit in requests per second, or none.
pub fn request_limit(limit: Option<RequestRate>) {
    let per_s = limit.map_or(f64::INFINITY, RequestRate::per_s);
    gauge!("drumwheel_upstream_request_limit").set(per_s);
}

/// The upstream terminated while it processed requests.
pub fn upstream_terminated() {
    counter!("drumwheel_upstream_ends_total").increment(1);
}

/// Number of quarantined requests, which no upstream may receive.
pub fn set_quarantined(count: usize) {
    gauge!("drumwheel_requests_held").set(count as f64);
}

/// A connection to a peer of this `kind` was closed because of `cause`.
pub fn connection_closed(cause: &'static str, kind: &'static str, activity: &'static str) {
    counter!("drumwheel_connections_closed_total", "cause" => cause, "kind" => kind, "activity" => activity)
        .increment(1);
}

/// A request was refused because there was no memory for its body.
pub fn memory_refused() {
    counter!("drumwheel_memory_refused_total").increment(1);
}

/// Invalid input was rejected; `door` is the interface or kind of sender.
pub fn bad_input(door: &'static str) {
    counter!("drumwheel_bad_input_total", "door" => door).increment(1);
}

/// A policy failed at run time, and the safest treatment was used.
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

/// A frame was sent to a node of this data hall or of another one. Bandwidth between halls is
/// scarce: the bytes of offers and answers grow with the requests, the others are control traffic.
pub fn frame_sent(kind: &'static str, same_hall: bool, bytes: usize) {
    let hall = if same_hall { "own" } else { "other" };
    counter!("drumwheel_frames_total", "kind" => kind, "hall" => hall).increment(1);
    counter!("drumwheel_frame_bytes_total", "kind" => kind, "hall" => hall).increment(bytes as u64);
}

/// A copy of the declarations, of `bytes` bytes, was sent to another node.
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

/// Name of the histograms of [`record_declarations_work`].
pub const DECLARATIONS_WORK: &str = "drumwheel_declarations_work_seconds";

/// The steps of the work that a change of the declarations causes on a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// Translating the operators' object into this product's form.
    Translate,
    /// Checking the declarations and bringing them into force, including the pauses in which
    /// requests are served.
    Check,
}

/// Records the duration of work on declarations.
pub fn record_declarations_work(work: Work, duration_us: u64) {
    let step = match work {
        Work::Translate => "translate",
        Work::Check => "check",
    };
    histogram!(DECLARATIONS_WORK, "step" => step).record(duration_us as f64 / SECOND as f64);
}

/// The upstream terminated while it was cold.
pub fn overload_crash() {
    counter!("drumwheel_upstream_falls_total").increment(1);
}

/// The platform's store was restored from an older copy.
pub fn store_restored() {
    counter!("drumwheel_store_returns_total").increment(1);
}

/// A node's record was stored again after a restore of the store: this node's own, or another's on
/// its behalf.
pub fn record_offered(by: &'static str) {
    counter!("drumwheel_records_offered_total", "by" => by).increment(1);
}

/// Outcome of a health probe, which queries the upstream for its slowdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The upstream reported its slowdown.
    Answered,
    /// There was no usable answer.
    Failed,
    /// The measuring budget did not allow the probe.
    Refused,
}

/// A health probe of the local upstream ended, or was not allowed.
pub fn probe_finished(outcome: ProbeOutcome) {
    let outcome = match outcome {
        ProbeOutcome::Answered => "answered",
        ProbeOutcome::Failed => "failed",
        ProbeOutcome::Refused => "refused",
    };
    counter!("drumwheel_looks_total", "outcome" => outcome).increment(1);
}

/// A log line was suppressed because its kind had reached its limit.
pub fn log_line_suppressed() {
    counter!("drumwheel_log_lines_left_out_total").increment(1);
}

/// Name of the histograms of [`record_latency`].
pub const LATENCY: &str = "drumwheel_latency_seconds";
/// Upper bounds of the buckets of latency histograms, in seconds: about a factor of two apart, from
/// the duration of a hop to the longest deadline in the deployments.
pub const LATENCY_BUCKETS: &[f64] = &[
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2,
];

/// The parts of a request's time that are measured separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// From the complete request to its outcome, at the node that the caller contacted.
    Total,
    /// From an offer to its refusal or answer, at the node that made the offer.
    Offer,
    /// Waiting for a slot at the upstream's local node.
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

/// Records the duration of a stage of a request for `service` that ended with `outcome`.
pub fn record_latency(stage: Stage, service: &Name, outcome: &'static str, duration_us: u64) {
    let seconds = duration_us as f64 / SECOND as f64;
    let service = service.to_string();
    histogram!(LATENCY, "stage" => stage.as_str(), "service" => service, "outcome" => outcome)
        .record(seconds);
}

/// Sets a gauge.
pub fn set_gauge(name: &'static str, value: f64) {
    gauge!(name).set(value);
}
