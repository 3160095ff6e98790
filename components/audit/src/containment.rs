//! Log lines about harmful requests: those under which upstreams terminate.

use crate::limit::{allowed, Kind};
use errors::Error;
use names::Name;
use quarantine::{Fingerprint, Suspect, Verdict};
use registry::Incarnation;

/// The local upstream terminated while it processed these requests: an exchange broke, and nothing
/// listens at its address any more.
pub fn upstream_terminated(
    instance: Option<&Incarnation>,
    cause: &Error,
    running: &[(String, Suspect)],
) {
    let ids: Vec<&str> = running.iter().map(|(id, _)| id.as_str()).collect();
    let fingerprints = running.iter();
    let fingerprints = fingerprints.map(|(_, suspect)| suspect.fingerprint.to_string());
    let fingerprints: Vec<String> = fingerprints.collect();
    tracing::info!(
        instance = instance.map_or("-", |instance| instance.id.as_str()),
        %cause,
        ids = ids.join(","),
        fingerprints = fingerprints.join(","),
        "the upstream terminated"
    );
}

/// An upstream terminated while it processed a request, which is a suspect from then on.
pub fn suspect_recorded(suspect: &Suspect, verdict: Verdict, termination_count: usize) {
    if allowed(Kind::Contained) {
        tracing::info!(
            fingerprint = %suspect.fingerprint,
            end = %suspect.termination,
            alone = suspect.sole_suspect,
            ends = termination_count,
            standing = ?verdict,
            "an upstream terminated while it processed a request"
        );
    }
}

/// The node on `vm` has put a request into quarantine; `verdict` is how this node treats it.
pub fn request_quarantined(fingerprint: Fingerprint, vm: &Name, verdict: Verdict) {
    if allowed(Kind::Contained) {
        tracing::info!(%fingerprint, %vm, standing = ?verdict, "a request is quarantined");
    }
}

/// An operator releases a request from quarantine.
pub fn release_requested(fingerprint: Fingerprint, who: &str, why: &str) {
    tracing::info!(%fingerprint, who, why, "an operator releases a request from quarantine");
}

/// A request is no longer suspect: an upstream completed it, or an operator released it.
pub fn request_cleared(fingerprint: Fingerprint) {
    if allowed(Kind::Contained) {
        tracing::info!(%fingerprint, "a request is cleared of suspicion");
    }
}
