//! Lines of requests under which upstreams end.

use crate::limit::{allowed, Kind};
use errors::Error;
use names::Name;
use quarantine::{Fingerprint, Suspect, Verdict};
use registry::Incarnation;

/// The upstream beside this node ended while it ran these requests: an exchange broke, and nothing stands at its
/// address any more.
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
        "the upstream ended"
    );
}

/// An upstream ended while it ran a request; `ends` are known now.
pub fn suspect_recorded(suspect: &Suspect, standing: Verdict, ends: usize) {
    if allowed(Kind::Contained) {
        tracing::info!(
            fingerprint = %suspect.fingerprint,
            end = %suspect.termination,
            alone = suspect.sole_suspect,
            ends,
            ?standing,
            "an upstream ended under a request"
        );
    }
}

/// Another node holds a request; `standing` is how this one treats it.
pub fn request_quarantined(fingerprint: Fingerprint, vm: &Name, standing: Verdict) {
    if allowed(Kind::Contained) {
        tracing::info!(%fingerprint, %vm, ?standing, "a request is held");
    }
}

/// An operator frees a request.
pub fn release_requested(fingerprint: Fingerprint, who: &str, why: &str) {
    tracing::info!(%fingerprint, who, why, "an operator frees a request");
}

/// A request under suspicion has run to its end.
pub fn request_cleared(fingerprint: Fingerprint) {
    if allowed(Kind::Contained) {
        tracing::info!(%fingerprint, "a request is cleared");
    }
}
