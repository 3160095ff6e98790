//! Log lines about requests and attempts.

use crate::limit::{allowed, Kind};
use declarations::Route;
use entry::{Hedge, UpstreamView};
use home::{AccountLoad, Load, Offer, Reason, Refusal};
use names::{AttemptId, Name};
use notices::RequestRate;
use registry::{Incarnation, Instance, LocalService, Misdirection};
use wire::{RelayOutcome, Request};

/// A request whose route and service are known.
#[derive(Debug)]
pub struct Routed<'a> {
    /// The request.
    pub req: &'a Request,
    /// Its route.
    pub route: &'a Route,
    /// Revision of the declarations by which it is routed.
    pub revision: u64,
    /// The calling service on this VM, and how it is known.
    pub caller: Option<&'a LocalService>,
    /// The calling service that a header of the request names; logged only, never trusted.
    pub claimed_caller: Option<&'a str>,
    /// How long the caller waits for the answer, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// How long ago the caller first tried, in milliseconds; 0 where that is not known.
    pub since_first_try_ms: u64,
    /// Callers' requests in progress on this node.
    pub calls_in_progress: usize,
}

/// The route and the service of a request were determined.
pub fn request_routed(routed: &Routed<'_>) {
    if !allowed(Kind::Routed) {
        return;
    }
    let (req, route) = (routed.req, routed.route);
    tracing::info!(
        id = %req.id,
        route = %route.name,
        service = %req.service,
        fingerprint = %req.fingerprint(),
        caller = routed.caller.map_or("-", |caller| caller.service.as_str()),
        caller_from = routed.caller.map_or("-", |caller| caller.origin.as_str()),
        caller_told = routed.claimed_caller.unwrap_or("-"),
        account = req.account.as_ref().map_or("-", Name::as_str),
        revision = routed.revision,
        level = req.level,
        deadline_ms = routed.deadline_ms.unwrap_or(0),
        timeout_ms = route.treatment.deadline_ms,
        objective_ms = route.objective_ms,
        since_first_try_ms = routed.since_first_try_ms,
        open = routed.calls_in_progress,
        "request routed"
    );
}

/// Calls from this VM count as calls of another service than before.
pub fn caller_changed(
    before: Option<&LocalService>,
    next: Option<&LocalService>,
    settings: Option<&Name>,
    registered: Option<&Name>,
) {
    let service = |caller: Option<&LocalService>| {
        caller
            .map_or("-", |caller| caller.service.as_str())
            .to_string()
    };
    if allowed(Kind::CallerName) {
        tracing::info!(
            from = service(before),
            to = service(next),
            origin = next.map_or("-", |caller| caller.origin.as_str()),
            settings = settings.map_or("-", Name::as_str),
            registered = registered.map_or("-", Name::as_str),
            "calls from this VM are made in another name"
        );
    }
}

/// A request was rejected because of its account key. `revision` and `age_us` give the declarations
/// used and how long ago they were last known to be the newest. The key itself is never logged.
pub fn request_denied(id: &str, refusal: &Refusal, revision: u64, age_us: Option<u64>) {
    if allowed(Kind::Routed) {
        let age_ms = age_us.map(|age_us| age_us / 1_000);
        let reason = refusal.reason.as_str();
        tracing::info!(id, reason, revision, age_ms, "request denied");
    }
}

/// A request of an account with a limit got no token. `share` is this node's share of every limit.
pub fn over_limit(id: &str, account: &Name, refusal: &Refusal, share: f64) {
    if allowed(Kind::Routed) {
        tracing::info!(
            id,
            account = %account,
            reason = refusal.reason.as_str(),
            retry_after_ms = refusal.retry_after_ms,
            part = share,
            "no token for a request"
        );
    }
}

/// No route matches a request.
pub fn no_route(id: &str, host: &str, path: &str, revision: u64) {
    if allowed(Kind::Routed) {
        tracing::info!(id, host, path, revision, "no route");
    }
}

/// A health probe did not learn the upstream's slowdown; until a later probe does, work starts
/// without it.
pub fn probe_failed(cause: &str) {
    if allowed(Kind::Home) {
        tracing::info!(cause, "the upstream's slowdown is not known");
    }
}

/// An attempt was offered to an upstream's local node. `upstream` is the incarnation that was chosen,
/// `view` what was known of it, `age_us` its age.
pub fn request_offered(
    id: &str,
    offer: &Offer,
    to: &Name,
    upstream: Option<&Incarnation>,
    view: &UpstreamView,
    age_us: u64,
) {
    if allowed(Kind::Offered) {
        let load = view.load.unwrap_or_default();
        tracing::info!(
            id,
            attempt = %offer.id,
            to = %to,
            instance = upstream.map(|upstream| upstream.id.as_str()),
            may_queue = offer.may_queue,
            repeat = offer.repeat,
            returned = offer.returned,
            objective_left_ms = offer.objective_us.map(|us| us / 1_000),
            outstanding = view.outstanding,
            load_age_ms = age_us / 1_000,
            in_flight = load.in_flight,
            queued = load.queued,
            limit = load.limit,
            service_ms = load.service_us / 1_000,
            slow_percent = load.slow_percent,
            held_ms = load.deferred_us / 1_000,
            cold_wait_ms = load.cold_wait_us / 1_000,
            request_limit = view.known_limit.map(RequestRate::per_s),
            limit_wait_ms = load.request_limit.map(|_| load.limit_wait_us / 1_000),
            "request offered"
        );
    }
}

/// An offer from the node on `from` was refused, because its entry duty chose another upstream than
/// the local one, `current`.
pub fn offer_misdirected(
    id: &str,
    offer: &Offer,
    from: &Name,
    chosen: Option<&Incarnation>,
    current: Option<&Instance>,
    misdirection: Misdirection,
) {
    if allowed(Kind::Home) {
        tracing::info!(
            id,
            attempt = %offer.id,
            from = %from,
            mismatch = misdirection.as_str(),
            service = %offer.service,
            instance = chosen.map_or("-", |chosen| chosen.id.as_str()),
            born_ms = chosen.and_then(|chosen| chosen.born_ms),
            current_service = current.map_or("-", |current| current.service.as_str()),
            current_instance = current.map_or("-", |current| current.id.as_str()),
            current_born_ms = current.and_then(|current| current.born_ms),
            "offer refused: another upstream is here"
        );
    }
}

/// An attempt has run longer than the 90th percentile of comparable runs; this is reported to its
/// entry duty.
pub fn straggler_detected(
    id: &str,
    attempt: AttemptId,
    run_time_us: u64,
    typical_us: u64,
    load: &Load,
) {
    if allowed(Kind::Hedged) {
        tracing::info!(
            id,
            attempt = %attempt,
            ran_ms = run_time_us / 1_000,
            p90_ms = typical_us / 1_000,
            in_flight = load.in_flight,
            limit = load.limit,
            slow_percent = load.slow_percent,
            "straggler detected"
        );
    }
}

/// A decision about a hedged attempt: it was made or not, or one of the two attempts gave the
/// answer. `to` is the VM that it was offered to or would have been.
pub fn hedge_decided(id: &str, hedge: &Hedge) {
    if allowed(Kind::Hedged) {
        let hedged = hedge.hedged.map(|hedged| hedged.to_string());
        let ms = |us: Option<u64>| us.map(|us| us / 1_000);
        tracing::info!(
            id,
            decision = hedge.decision.as_str(),
            reason = hedge.decision.reason(),
            first = %hedge.first,
            second = hedged.as_deref().unwrap_or("-"),
            to = hedge.to.as_ref().map_or("-", Name::as_str),
            since_offer_ms = hedge.since_offer_us / 1_000,
            left_ms = hedge.remaining_us / 1_000,
            expected_ms = ms(hedge.expected_us),
            load_age_ms = ms(hedge.load_age_us),
            since_busy_ms = ms(hedge.since_busy_us),
            "hedged attempt"
        );
    }
}

/// A decision of the home duty about an attempt.
#[derive(Debug)]
pub struct AttemptDecision<'a> {
    /// The attempt.
    pub attempt: AttemptId,
    /// What was decided.
    pub decision: &'a str,
    /// Why it was refused, if it was.
    pub reason: Option<Reason>,
    /// The incarnation of the upstream that the attempt is for.
    pub upstream: Option<&'a Incarnation>,
    /// State of the upstream.
    pub load: Load,
    /// Age of the upstream's reported slowdown in microseconds; none when it has never reported one.
    pub slowdown_age_us: Option<u64>,
    /// The account whose share of the slots the attempt uses; none where slots are not shared among
    /// accounts.
    pub account: Option<(&'a Name, AccountLoad)>,
}

/// The home duty decided about an attempt of the request `id`.
pub fn attempt_decided(id: &str, decided: &AttemptDecision<'_>) {
    if allowed(Kind::Home) {
        let load = decided.load;
        let account_load = decided.account.map(|(_, load)| load);
        tracing::info!(
            id,
            attempt = %decided.attempt,
            decision = decided.decision,
            reason = decided.reason.map_or("-", Reason::as_str),
            instance = decided.upstream.map(|upstream| upstream.id.as_str()),
            in_flight = load.in_flight,
            queued = load.queued,
            limit = load.limit,
            service_ms = load.service_us / 1_000,
            slow_percent = load.slow_percent,
            pace_age_ms = decided.slowdown_age_us.map(|age_us| age_us / 1_000),
            held_ms = load.deferred_us / 1_000,
            cold_wait_ms = load.cold_wait_us / 1_000,
            request_limit = load.request_limit.map(RequestRate::per_s),
            limit_wait_ms = load.request_limit.map(|_| load.limit_wait_us / 1_000),
            account = decided.account.map(|(name, _)| name.as_str()),
            account_running = account_load.map(|load| load.running),
            account_queued = account_load.map(|load| load.queued),
            "attempt decided"
        );
    }
}

/// The upstream reports that it stays cold for another `remaining_us`, or that it is warm when that
/// is 0.
pub fn cold_state_changed(remaining_us: u64, source: &'static str) {
    if remaining_us > 0 {
        tracing::info!(
            left_ms = remaining_us / 1_000,
            source,
            "the upstream is cold"
        );
    } else {
        tracing::info!(source, "the upstream is warm");
    }
}

/// A caller's request ended with an outcome.
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
