//! One line for each decision that touches a request or changes what this process believes.
//!
//! Every kind of line is bounded in each second; what was left out is told with the next line of
//! the kind and counted. `docs/OPERATIONS.md` reads these lines.

use crate::caller_name::{self, Named};
use crate::callers::{CallerRequest, Told};
use crate::clock::Clock;
use crate::node::Node;
use crate::stats;
use crate::watching::Purpose;
use declarations::Route;
use entry::View;
use era::{Era, Place};
use errors::Error;
use home::{Load, Offer, Reason};
use logs::Limiter;
use names::{AttemptId, Name, MILLISECOND};
use platform::Stored;
use quarantine::{Fingerprint, Standing, Suspect};
use registry::{Beside, Farewell, Incarnation, Instance, Mismatch, Record, Verdict};
use rollout::{Advice, InForce, Offered, Summary};
use std::cell::RefCell;
use wire::{RelayOutcome, Request};

/// Lines of one kind in each second.
const LINES_PER_SECOND: u32 = 200;

/// The kinds of lines that load may multiply, each with a bound of its own.
#[derive(Debug, Clone, Copy)]
enum Kind {
    Routed,
    Offered,
    Home,
    Ended,
    Declarations,
    Platform,
    Contained,
    CallerName,
    NotBelieved,
}

const KINDS: usize = 9;

thread_local! {
    static LIMITERS: RefCell<([Limiter; KINDS], Option<Clock>)> =
        const { RefCell::new(([const { Limiter::new(LINES_PER_SECOND) }; KINDS], None)) };
}

/// Whether a line of this kind may be written now.
fn allowed(kind: Kind) -> bool {
    if !tracing::enabled!(tracing::Level::INFO) {
        return false;
    }
    LIMITERS.with_borrow_mut(|(limiters, start)| {
        let now_us = start.get_or_insert_with(Clock::start).now().0;
        match limiters[kind as usize].pass(now_us) {
            Some(missed) => {
                if missed > 0 {
                    tracing::warn!(?kind, missed, "lines left out");
                }
                true
            }
            None => {
                stats::line_left_out();
                false
            }
        }
    })
}

/// A route and a service were found for a request.
pub fn routed(node: &Node, req: &Request, route: &Route, in_force: &InForce, told: &Told) {
    if allowed(Kind::Routed) {
        let caller = caller_name::of(node);
        tracing::info!(
            id = %req.id,
            route = %route.name,
            service = %req.service,
            fingerprint = %req.fingerprint(),
            caller = caller.as_ref().map_or("-", |named| named.service.as_str()),
            caller_from = caller.as_ref().map_or("-", |named| named.origin.as_str()),
            caller_told = told.service.as_deref().unwrap_or("-"),
            revision = in_force.configuration.head.revision,
            level = req.level,
            deadline_ms = told.deadline_ms.unwrap_or(0),
            timeout_ms = route.treatment.deadline_ms,
            objective_ms = route.objective_ms,
            open = node.open_calls.get(),
            "request routed"
        );
    }
}

/// Calls from this VM are made in another name than before.
pub fn caller_changed(
    before: Option<&Named>,
    next: Option<&Named>,
    settings: Option<&Name>,
    registered: Option<&Name>,
) {
    let service = |named: Option<&Named>| {
        named
            .map_or("-", |named| named.service.as_str())
            .to_string()
    };
    if allowed(Kind::CallerName) {
        tracing::info!(
            from = service(before),
            to = service(next),
            origin = next.map_or("-", |named| named.origin.as_str()),
            settings = settings.map_or("-", Name::as_str),
            registered = registered.map_or("-", Name::as_str),
            "calls from this VM are made in another name"
        );
    }
}

/// No route fits a request.
pub fn no_route(call: &CallerRequest, revision: u64) {
    if allowed(Kind::Routed) {
        tracing::info!(id = %call.id, host = %call.host, path = %call.path, revision, "no route");
    }
}

/// The upstream beside this node ended while it ran these requests: an exchange broke, and nothing stands at its
/// address any more.
pub fn upstream_ended(
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
pub fn suspected(suspect: &Suspect, standing: Standing, ends: usize) {
    if allowed(Kind::Contained) {
        tracing::info!(
            fingerprint = %suspect.fingerprint,
            end = %suspect.end,
            alone = suspect.alone,
            ends,
            ?standing,
            "an upstream ended under a request"
        );
    }
}

/// Another node holds a request; `standing` is how this one treats it.
pub fn held(fingerprint: Fingerprint, vm: &Name, standing: Standing) {
    if allowed(Kind::Contained) {
        tracing::info!(%fingerprint, %vm, ?standing, "a request is held");
    }
}

/// An operator frees a request.
pub fn released(fingerprint: Fingerprint, who: &str, why: &str) {
    tracing::info!(%fingerprint, who, why, "an operator frees a request");
}

/// A request under suspicion has run to its end.
pub fn cleared(fingerprint: Fingerprint) {
    if allowed(Kind::Contained) {
        tracing::info!(%fingerprint, "a request is cleared");
    }
}

/// A look at the upstream's pace brought nothing; work starts without a word for a while.
pub fn look_failed(cause: &str) {
    if allowed(Kind::Home) {
        tracing::info!(cause, "the upstream's pace is not known");
    }
}

/// A request was offered to the node beside an upstream. `view` is what was known of it then, and
/// `age_us` how old that was.
pub fn offered(id: &str, offer: &Offer, to: &Name, view: &View, age_us: u64) {
    if allowed(Kind::Offered) {
        let load = view.load.unwrap_or_default();
        tracing::info!(
            id,
            attempt = %offer.id,
            to = %to,
            may_queue = offer.may_queue,
            repeat = offer.repeat,
            outstanding = view.outstanding,
            load_age_ms = age_us / 1_000,
            in_flight = load.in_flight,
            queued = load.queued,
            limit = load.limit,
            service_ms = load.service_us / 1_000,
            slow_percent = load.slow_percent,
            held_ms = load.held_us / 1_000,
            "request offered"
        );
    }
}

/// The node beside an upstream decided about an attempt.
/// `pace_age_us` is how old the upstream's word on its pace was; none when it never said.
pub fn home(
    id: &str,
    attempt: AttemptId,
    decision: &str,
    reason: Option<Reason>,
    load: Load,
    pace_age_us: Option<u64>,
) {
    if allowed(Kind::Home) {
        tracing::info!(
            id,
            attempt = %attempt,
            decision,
            reason = reason.map_or("-", Reason::as_str),
            in_flight = load.in_flight,
            queued = load.queued,
            limit = load.limit,
            service_ms = load.service_us / 1_000,
            slow_percent = load.slow_percent,
            pace_age_ms = pace_age_us.map(|age_us| age_us / 1_000),
            held_ms = load.held_us / 1_000,
            "attempt decided"
        );
    }
}

/// A caller was given its outcome.
pub fn call_ended(id: &str, outcome: &RelayOutcome, took_us: u64) {
    if !allowed(Kind::Ended) {
        return;
    }
    let took_ms = took_us / 1_000;
    match outcome {
        RelayOutcome::Answered(answer) => {
            let status = answer.status;
            tracing::info!(id, outcome = "answered", status, took_ms, "request ended");
        }
        RelayOutcome::NotRun(refusal) => {
            let reason = refusal.reason.as_str();
            let retry_after_ms = refusal.retry_after_ms;
            tracing::info!(
                id,
                outcome = "not-run",
                reason,
                retry_after_ms,
                took_ms,
                "request ended"
            );
        }
        RelayOutcome::Unknown(reason) => {
            let reason = reason.as_str();
            tracing::info!(id, outcome = "unknown", reason, took_ms, "request ended");
        }
    }
}

/// The upstream beside this node registered something new.
pub fn registered(instance: &Instance, sequence: u64, verdict: Verdict) {
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
pub fn not_beside(told: &Instance, beside: &Beside, mismatch: Mismatch, source: &'static str) {
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

/// Two records of a VM have one version and say different things: somebody else wrote one of them.
pub fn differs(known: &Record, offered: &Record) {
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
pub fn unreachable(record: &Record) {
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
pub fn leaves(incarnation: &Incarnation, farewell: Farewell) {
    tracing::info!(instance = %incarnation.id, born_ms = incarnation.born_ms, ?farewell, "an upstream leaves");
}

/// The run that an earlier start of this node knew was found again.
pub fn found(instance: &Instance, taken: bool) {
    tracing::info!(instance = %instance.id, taken, "an upstream was found at its address");
}

/// The platform's store came back from an older copy since the era `before`, as its answer or `from` told. The
/// declarations had been read up to `place`; this node's record is offered again in `offer_in_us`.
pub fn store_came_back(
    before: Era,
    era: Era,
    from: Option<&Name>,
    place: Option<Place>,
    offer_in_us: u64,
) {
    tracing::info!(
        before = before.0,
        era = era.0,
        told_by = from.map_or("the store", Name::as_str),
        read_up_to = place.map(|place| place.revision),
        offer_in_ms = offer_in_us / MILLISECOND,
        "the store came back from an older copy"
    );
}

/// The store holds an older version of the declarations than is in force here: it came back from an older copy, or
/// its answer lags.
pub fn copy_is_older(version: u64, in_force: u64, era: Option<Era>) {
    if allowed(Kind::Declarations) {
        tracing::info!(
            version,
            in_force,
            era = era.map(|era| era.0),
            "the store holds an older version; what is in force stays"
        );
    }
}

/// Another node's record was offered to the store for it.
pub fn stored_for(record: &Record) {
    tracing::info!(
        vm = %record.vm,
        generation = record.version.generation,
        change = record.version.change,
        "another node's record was offered to the store"
    );
}

/// This node's record changed.
pub fn own_record(own: &Record) {
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
pub fn record_taken(after: &Record, before: Option<&Record>) {
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

/// The VM was suspended, and is back. What was known before is older by that time, and deadlines have passed.
pub fn suspended(us: u64) {
    tracing::warn!(for_ms = us / 1_000, "the VM was suspended");
}

/// The records in the store were read.
pub fn listed(count: usize, at: Place) {
    tracing::info!(
        count,
        at = at.revision,
        era = at.era.map(|era| era.0),
        "the nodes' records were listed"
    );
}

/// The operators' declarations were read from the store; reading them into this product's form took
/// `translate_us`.
pub fn declarations_read(version: u64, object: &Stored, translate_us: u64) {
    tracing::info!(
        version,
        store_revision = object.revision,
        bytes = object.value.len(),
        translate_ms = translate_us / 1_000,
        "declarations read from the store"
    );
}

/// An object of the store could not be read; what is in force stays.
pub fn unreadable(object: &Stored, error: &Error) {
    if allowed(Kind::Declarations) {
        tracing::warn!(
            name = %object.name,
            store_revision = object.revision,
            bytes = object.value.len(),
            %error,
            "an object in the store can't be read"
        );
    }
}

/// A call to the platform ended.
pub fn platform_called(purpose: Purpose, took_us: u64, error: Option<&Error>) {
    if allowed(Kind::Platform) {
        let took_ms = took_us / 1_000;
        let error = error.map_or_else(|| "-".to_string(), Error::to_string);
        tracing::info!(
            purpose = purpose.as_str(),
            took_ms,
            error,
            "the platform was called"
        );
    }
}

/// Where a revision came from.
#[derive(Debug, Clone)]
pub enum Origin {
    /// The platform's store.
    Store,
    /// Another node.
    Peer(Name),
    /// An operator's tool.
    Operator,
}

/// A revision with its content arrived; checking it took `check_us`, with the pauses between its steps.
pub fn revision_came(
    revision: u64,
    bytes: usize,
    origin: &Origin,
    offered: &Offered,
    check_us: u64,
) {
    if !allowed(Kind::Declarations) {
        return;
    }
    let origin = match origin {
        Origin::Store => "the store",
        Origin::Peer(vm) => vm.as_str(),
        Origin::Operator => "an operator",
    };
    let check_ms = check_us / 1_000;
    tracing::info!(
        revision,
        bytes,
        origin,
        ?offered,
        check_ms,
        "a revision came"
    );
}

/// Another node knows something newer, and this is what is done about it. `missed` copies were asked for in vain.
pub fn newer_there(peer: &Name, mine: &Summary, theirs: &Summary, advice: Advice, missed: u32) {
    if allowed(Kind::Declarations) {
        tracing::info!(
            peer = %peer,
            revision = mine.revision,
            theirs = theirs.revision,
            list_version = mine.list_version,
            their_list_version = theirs.list_version,
            ?advice,
            missed,
            "a peer knows something newer"
        );
    }
}

/// A revision with its content was sent to a node that has an older one.
pub fn declarations_sent(to: &Name, theirs: u64, revision: u64, bytes: usize) {
    stats::declarations_sent(bytes);
    if allowed(Kind::Declarations) {
        tracing::info!(to = %to, theirs, revision, bytes, "declarations sent to a peer");
    }
}

/// A revision is in force from now on. The one before it was last confirmed `age_us` ago, if ever.
pub fn in_force(before: Option<&InForce>, after: &InForce, age_us: Option<u64>) {
    tracing::info!(
        revision = after.configuration.head.revision,
        before = before.map_or(0, |before| before.configuration.head.revision),
        hosts = after.declarations.routes.len(),
        confirmed_ms_ago = age_us.map(|age_us| age_us / 1_000),
        "a revision is in force"
    );
}
