//! Log lines about the registration of upstreams and about the nodes' records.

use crate::limit::{allowed, Kind};
use crate::stats;
use names::Name;
use registry::{
    ConfiguredUpstream, Departed, DepartureOutcome, HeartbeatOutcome, Incarnation, Instance,
    Mismatch, Record,
};

/// A heartbeat of the local upstream registered a change.
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

/// A report about the local upstream was rejected because the settings describe another one;
/// `source` is where it came from.
pub fn wrong_upstream(
    reported: &Instance,
    configured: &ConfiguredUpstream,
    mismatch: Mismatch,
    source: &'static str,
) {
    stats::bad_input(source);
    if allowed(Kind::NotBelieved) {
        tracing::warn!(
            source,
            mismatch = mismatch.as_str(),
            instance = %reported.id,
            born_ms = reported.born_ms,
            service = %reported.service,
            address = reported.address,
            settings_service = configured.service.as_ref().map_or("-", Name::as_str),
            settings_address = ?configured.address,
            "report rejected: the settings name another upstream"
        );
    }
}

/// A heartbeat of another incarnation was rejected, because the known one still answers and accepts
/// work.
pub fn upstream_still_answers(known: &Instance, reported: &Instance) {
    stats::bad_input("heartbeat");
    if allowed(Kind::NotBelieved) {
        tracing::warn!(
            instance = %reported.id,
            known = %known.id,
            address = known.address,
            "heartbeat rejected: another upstream still answers at this address"
        );
    }
}

/// Two records of a VM have the same version but different content: another writer has written one
/// of them.
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
            "two records with the same version differ; querying their VM's node"
        );
    }
}

/// Another node forwarded a record with a version that no node can have reached.
pub fn implausible_record(record: &Record) {
    stats::bad_input("peer");
    if allowed(Kind::NotBelieved) {
        tracing::warn!(
            vm = %record.vm,
            generation = record.version.generation,
            change = record.version.change,
            "a record was rejected: its version is implausibly high"
        );
    }
}

/// The local upstream has sent a departure notice.
pub fn upstream_departing(incarnation: &Incarnation, outcome: DepartureOutcome) {
    tracing::info!(
        instance = %incarnation.id,
        born_ms = incarnation.born_ms,
        farewell = ?outcome,
        "departure notice from the upstream"
    );
}

/// A departure notice was rejected, because the upstream is that of another VM.
pub fn departure_elsewhere(incarnation: &Incarnation, vm: &Name) {
    tracing::info!(
        instance = %incarnation.id,
        born_ms = incarnation.born_ms,
        vm = %vm,
        "departure notice is rejected: the upstream is on another VM"
    );
}

/// A departure notice or a registration was not acknowledged, since what it says would not outlive
/// this node.
pub fn report_not_stored(incarnation: &Incarnation) {
    tracing::info!(
        instance = %incarnation.id,
        born_ms = incarnation.born_ms,
        "departure is not acknowledged: the store has not accepted it in time"
    );
}

/// An earlier boot of this node has stored that an incarnation accepts no more work.
pub fn departure_restored(departed: &Departed) {
    tracing::info!(
        instance = %departed.id,
        born_ms = departed.born_ms,
        state = departed.state.as_str(),
        "departure read from this node's stored record"
    );
}

/// The incarnation that a previous boot of this node had registered still answers at its address.
pub fn upstream_found(instance: &Instance, adopted: bool) {
    tracing::info!(instance = %instance.id, taken = adopted, "a known upstream was found at its address");
}

/// This node tried to write another node's record to the store on its behalf.
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

/// Another node's record was applied.
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
