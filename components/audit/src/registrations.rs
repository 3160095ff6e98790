//! Lines of upstreams that register, and of the nodes' records.

use crate::limit::{allowed, Kind};
use crate::stats;
use names::Name;
use registry::{
    ConfiguredUpstream, DepartureOutcome, HeartbeatOutcome, Incarnation, Instance, Mismatch, Record,
};

/// The upstream beside this node registered something new.
pub fn upstream_registered(instance: &Instance, sequence: u64, verdict: HeartbeatOutcome) {
    tracing::info!(
        instance = %instance.id,
        born_ms = instance.born_ms,
        service = %instance.service,
        address = instance.address,
        slots = instance.slots,
        state = instance.state.as_str(),
        sequence,
        ?verdict,
        "registration taken in"
    );
}

/// A word about the upstream beside this node was not believed: `source` is where it came from.
pub fn wrong_upstream(
    told: &Instance,
    beside: &ConfiguredUpstream,
    mismatch: Mismatch,
    source: &'static str,
) {
    stats::bad_input(source);
    if allowed(Kind::NotBelieved) {
        tracing::warn!(
            source,
            mismatch = mismatch.as_str(),
            instance = %told.id,
            born_ms = told.born_ms,
            service = %told.service,
            address = told.address,
            settings_service = beside.service.as_ref().map_or("-", Name::as_str),
            settings_address = ?beside.address,
            "not believed: it is about another upstream than the settings name"
        );
    }
}

/// Another start was said to stand where one that takes work still answers.
pub fn upstream_still_answers(known: &Instance, told: &Instance) {
    stats::bad_input("heartbeat");
    if allowed(Kind::NotBelieved) {
        tracing::warn!(
            instance = %told.id,
            known = %known.id,
            address = known.address,
            "not believed: another upstream still answers at this address"
        );
    }
}

/// Two records of a VM have one version and say different things: somebody else wrote one of them.
pub fn record_conflict(known: &Record, offered: &Record) {
    stats::bad_input("peer");
    if allowed(Kind::NotBelieved) {
        let upstream = |record: &Record| {
            let upstream = record.upstream.as_ref();
            upstream.map(|upstream| format!("{} {}", upstream.service, upstream.state.as_str()))
        };
        tracing::warn!(
            vm = %known.vm,
            generation = known.version.generation,
            change = known.version.change,
            known = upstream(known),
            offered = upstream(offered),
            "two records with one version differ; their VM's node is asked"
        );
    }
}

/// Another node passed on a record with a version that no node can have.
pub fn implausible_record(record: &Record) {
    stats::bad_input("peer");
    if allowed(Kind::NotBelieved) {
        tracing::warn!(
            vm = %record.vm,
            generation = record.version.generation,
            change = record.version.change,
            "a record was refused: no node comes so far"
        );
    }
}

/// The upstream beside this node said that it ends.
pub fn upstream_departing(incarnation: &Incarnation, farewell: DepartureOutcome) {
    tracing::info!(instance = %incarnation.id, born_ms = incarnation.born_ms, ?farewell, "an upstream leaves");
}

/// The run that an earlier start of this node knew was found again.
pub fn upstream_found(instance: &Instance, taken: bool) {
    tracing::info!(instance = %instance.id, taken, "an upstream was found at its address");
}

/// Another node's record was offered to the store for it.
pub fn peer_record_offered(record: &Record) {
    tracing::info!(
        vm = %record.vm,
        generation = record.version.generation,
        change = record.version.change,
        "another node's record was offered to the store"
    );
}

/// This node's record changed.
pub fn own_record_changed(own: &Record) {
    tracing::info!(
        generation = own.version.generation,
        change = own.version.change,
        serving = own.serving,
        instance = own
            .upstream
            .as_ref()
            .map_or("-", |upstream| upstream.id.as_str()),
        state = own
            .upstream
            .as_ref()
            .map_or("-", |upstream| upstream.state.as_str()),
        service = own
            .upstream
            .as_ref()
            .map_or("-", |upstream| upstream.service.as_str()),
        "this node's record changed"
    );
}

/// Another node's record was taken in.
pub fn record_applied(after: &Record, before: Option<&Record>) {
    tracing::info!(
        vm = %after.vm,
        generation = after.version.generation,
        change = after.version.change,
        before_generation = before.map_or(0, |before| before.version.generation),
        before_change = before.map_or(0, |before| before.version.change),
        serving = after.serving,
        instance = after.upstream.as_ref().map_or("-", |upstream| upstream.id.as_str()),
        state = after.upstream.as_ref().map_or("-", |upstream| upstream.state.as_str()),
        "record taken in"
    );
}
