//! Selection by expected time with a price for crossing to another hall.

use entry::{
    Action, Call, Candidate, Entry, Event, Origin, Outcome, Price, SelectionRule, Treatment,
};
use home::{Load, Reason, Refusal};
use names::{BootId, Moment, Name, MILLISECOND};
use notices::RequestRate;

const NOW: Moment = Moment(10_000_000);

fn candidate(vm: &str, same_hall: bool) -> Candidate {
    Candidate {
        vm: Name::from(vm),
        same_hall,
        local: false,
    }
}

fn load(in_flight: u32, queued: u32, slow_percent: u32) -> Load {
    Load {
        in_flight,
        queued,
        limit: 4,
        service_us: 60 * MILLISECOND,
        slow_percent,
        ..Load::default()
    }
}

/// The first actions of a call, given load reports of the upstreams `near` and `far`.
fn first_offer(near: Load, far: Load, crossing_ms: u64) -> Vec<Action<u64>> {
    let mut entry = Entry::new(BootId(1), SelectionRule::Priced, 7);
    entry.on_report(NOW, &Name::from("near"), near);
    entry.on_report(NOW, &Name::from("far"), far);
    let candidates = vec![candidate("near", true), candidate("far", false)];
    let treatment = Treatment {
        repeatable: true,
        priority: 5,
        max_runs: 2,
        max_arrivals: 2,
        origin: Origin::Client,
    };
    let price = Price {
        crossing_us: crossing_ms * MILLISECOND,
        objective_us: Some(180 * MILLISECOND),
        ..Price::default()
    };
    let mut call = Call::new("s".into(), treatment, NOW + 9_000_000, candidates).with_price(price);
    call.step(NOW, Event::Begin, &mut entry)
}

fn is_offered_to(actions: &[Action<u64>], vm: &str) -> bool {
    matches!(actions, [Action::Offer { to, .. }] if to.as_str() == vm)
}

#[test]
fn upstream_of_the_own_hall_is_selected_at_similar_cost() {
    assert!(is_offered_to(
        &first_offer(load(3, 0, 100), load(0, 0, 100), 60),
        "near"
    ));
}

#[test]
fn request_leaves_a_slow_upstream_when_crossing_costs_less_than_waiting() {
    let slow = load(4, 3, 400);
    assert!(is_offered_to(
        &first_offer(slow, load(0, 0, 100), 60),
        "far"
    ));
    assert!(is_offered_to(
        &first_offer(slow, load(0, 0, 100), 2_000),
        "near"
    ));
}

#[test]
fn request_does_not_cross_to_a_full_upstream() {
    let full = load(4, 9, 100);
    assert!(is_offered_to(
        &first_offer(load(4, 9, 400), full, 0),
        "near"
    ));
}

#[test]
fn caller_gets_a_short_retry_after_when_all_upstreams_are_full() {
    let mut entry = Entry::new(BootId(1), SelectionRule::Priced, 7);
    entry.on_report(NOW, &Name::from("far"), load(4, 9, 100));
    let treatment = Treatment {
        repeatable: true,
        priority: 5,
        max_runs: 2,
        max_arrivals: 2,
        origin: Origin::Client,
    };
    let candidates = vec![candidate("far", false)];
    let mut call: Call<u64> = Call::new("s".into(), treatment, NOW + 9_000_000, candidates)
        .with_price(Price {
            crossing_us: 0,
            objective_us: Some(0),
            ..Price::default()
        });
    let actions = call.step(NOW, Event::Begin, &mut entry);
    let [Action::Finish(Outcome::NotRun(refusal))] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    assert_eq!(refusal.reason, Reason::Busy);
    assert!(refusal.retry_after_ms < 500);
}

#[test]
fn urgent_requests_cross_at_a_lower_price_and_inner_calls_wait_until_their_deadline() {
    let objective = 100 * MILLISECOND;
    let urgent = Price::of(9, objective, false);
    let common = Price::of(7, objective, false);
    assert!(urgent.crossing_us < common.crossing_us);
    assert_eq!(common, Price::of(0, objective, false));
    assert_eq!(urgent.objective_us, Some(objective));
    assert_eq!(Price::of(19, objective, true).objective_us, None);
    assert_eq!(Price::of(5, 0, false).objective_us, None);
}

/// A call with `near` upstreams of its own hall and one of another hall.
fn call_among(near: usize) -> Call<u64> {
    let mut candidates: Vec<Candidate> = (0..near)
        .map(|i| candidate(&format!("near-{i}"), true))
        .collect();
    candidates.push(candidate("far", false));
    let treatment = Treatment {
        repeatable: false,
        priority: 5,
        max_runs: 2,
        max_arrivals: 2,
        origin: Origin::Client,
    };
    let price = Price {
        crossing_us: 60 * MILLISECOND,
        objective_us: Some(180 * MILLISECOND),
        ..Price::default()
    };
    Call::new("s".into(), treatment, NOW + 9_000_000, candidates).with_price(price)
}

#[test]
fn all_upstreams_of_the_hall_get_an_offer_for_a_free_slot_before_one_that_may_queue() {
    let mut entry = Entry::new(BootId(1), SelectionRule::Priced, 7);
    let mut call = call_among(4);
    let mut actions = call.step(NOW, Event::Begin, &mut entry);
    let mut offered = Vec::new();
    for _ in 0..4 {
        let [Action::Offer {
            id, to, may_queue, ..
        }] = actions.as_slice()
        else {
            panic!("{actions:?}");
        };
        assert!(!may_queue, "{to}: the offer may queue at once");
        assert!(to.as_str().starts_with("near") && !offered.contains(to));
        offered.push(to.clone());
        entry.on_report(NOW, to, load(4, 2, 100));
        let refusal = Refusal {
            reason: Reason::Busy,
            retry_after_ms: 100,
        };
        let refused = Event::Refused(*id, refusal);
        actions = call.step(NOW, refused, &mut entry);
    }
    assert!(matches!(
        actions[..],
        [Action::Offer {
            may_queue: true,
            ..
        }]
    ));
}

/// The next actions of a call whose hall has one upstream, which refuses the offer as busy and
/// reports `load_report`.
fn after_busy_refusal(load_report: Load) -> Vec<Action<u64>> {
    let mut entry = Entry::new(BootId(1), SelectionRule::Priced, 7);
    entry.on_report(NOW, &Name::from("far"), load(0, 0, 100));
    let mut call = call_among(1);
    let actions = call.step(NOW, Event::Begin, &mut entry);
    let [Action::Offer {
        id,
        to,
        may_queue: false,
        ..
    }] = actions.as_slice()
    else {
        panic!("{actions:?}");
    };
    assert_eq!(to.as_str(), "near-0");
    entry.on_report(NOW, to, load_report);
    let refusal = Refusal {
        reason: Reason::Busy,
        retry_after_ms: 100,
    };
    call.step(NOW, Event::Refused(*id, refusal), &mut entry)
}

#[test]
fn report_of_the_only_upstream_of_the_hall_decides_between_its_queue_and_crossing() {
    let short = after_busy_refusal(load(4, 0, 100));
    assert!(is_offered_to(&short, "near-0"), "{short:?}");
    assert!(matches!(
        short[..],
        [Action::Offer {
            may_queue: true,
            ..
        }]
    ));
    let long = Load {
        deferred_us: 300 * MILLISECOND,
        ..load(1, 0, 400)
    };
    let actions = after_busy_refusal(long);
    assert!(is_offered_to(&actions, "far"), "{actions:?}");
}

#[test]
fn calls_with_the_same_reports_spread_over_the_upstreams_of_the_hall() {
    let mut entry = Entry::new(BootId(1), SelectionRule::Priced, 7);
    for (i, service_ms) in [70, 90, 110, 130].iter().enumerate() {
        let known = Load {
            service_us: service_ms * MILLISECOND,
            ..load(0, 0, 100)
        };
        entry.on_report(NOW, &Name::from(format!("near-{i}").as_str()), known);
    }
    let later = NOW + 500 * MILLISECOND;
    let mut offers_per_vm = std::collections::BTreeMap::new();
    for _ in 0..1_000 {
        let mut call = call_among(4);
        let actions = call.step(later, Event::Begin, &mut entry);
        let [Action::Offer { to, .. }] = actions.as_slice() else {
            panic!("{actions:?}");
        };
        *offers_per_vm.entry(to.to_string()).or_insert(0) += 1;
        call.step(later, Event::CallerDisconnected, &mut entry);
    }
    assert_eq!(offers_per_vm.len(), 4, "{offers_per_vm:?}");
    assert!(
        offers_per_vm.values().all(|count| *count < 350),
        "{offers_per_vm:?}"
    );
}

#[test]
fn failing_upstream_is_not_selected_before_the_others() {
    let mut entry = Entry::new(BootId(1), SelectionRule::Priced, 7);
    for _ in 0..200 {
        for (vm, errors_permille) in [("near-0", 450), ("near-1", 4), ("near-2", 4)] {
            let known = Load {
                errors_permille,
                ..load(1, 0, 100)
            };
            entry.on_report(NOW, &Name::from(vm), known);
        }
        let mut call = call_among(3).with_price(Price::of(5, 180 * MILLISECOND, false));
        let actions = call.step(NOW, Event::Begin, &mut entry);
        assert!(!is_offered_to(&actions, "near-0"), "{actions:?}");
        call.step(NOW, Event::CallerDisconnected, &mut entry);
    }
}

/// Guards against a refusal as busy although another hall can serve the request. The only upstream
/// of the own hall drained, its node's record did not show it yet, and no upstream was left for an
/// offer that may not queue.
#[test]
fn requests_cross_while_the_only_upstream_of_their_hall_drains() {
    let leaving = Load {
        leaving: true,
        ..load(0, 0, 100)
    };
    assert!(is_offered_to(
        &first_offer(leaving, load(0, 0, 100), 60),
        "far"
    ));
}

fn load_with_limit(milli_per_s: u64, limit_wait_ms: u64) -> Load {
    Load {
        request_limit: Some(RequestRate::from_milli(milli_per_s)),
        limit_wait_us: limit_wait_ms * MILLISECOND,
        ..load(0, 0, 100)
    }
}

#[test]
fn upstream_counts_as_full_until_its_request_limit_permits_another() {
    let idle = load(0, 0, 100);
    assert!(is_offered_to(
        &first_offer(load_with_limit(5_000, 150), idle, 60),
        "far"
    ));
    assert!(is_offered_to(
        &first_offer(load_with_limit(5_000, 0), idle, 60),
        "near"
    ));
    assert!(is_offered_to(
        &first_offer(load(4, 9, 400), load_with_limit(5_000, 150), 0),
        "near"
    ));
}

#[test]
fn request_limit_is_known_after_a_restart_of_the_local_node_until_it_is_reported_lifted() {
    let vm = Name::from("near");
    let rate = Some(RequestRate::from_milli(5_000));
    let mut entry = Entry::new(BootId(1), SelectionRule::Priced, 7);
    entry.on_report(NOW, &vm, load_with_limit(5_000, 0));
    assert_eq!(entry.view(&vm).known_limit, rate);
    entry.forget(&vm);
    assert_eq!(entry.view(&vm).known_limit, rate);
    // The node has restarted and does not know the limit.
    entry.on_report(NOW, &vm, load(0, 0, 100));
    assert_eq!(entry.view(&vm).known_limit, rate);
    entry.on_report(NOW, &vm, load_with_limit(5_000, 0));
    entry.on_report(NOW, &vm, load(0, 0, 100));
    assert_eq!(entry.view(&vm).known_limit, None);
}

/// The actions of a call after its only candidate refuses it, with an unconnected upstream in
/// reserve.
fn after_refusal_with_reserve(reason: Reason) -> Vec<Action<u64>> {
    let mut entry = Entry::new(BootId(1), SelectionRule::Priced, 7);
    let treatment = Treatment {
        repeatable: false,
        priority: 5,
        max_runs: 1,
        max_arrivals: 1,
        origin: Origin::Client,
    };
    let candidates = vec![candidate("near", true)];
    let mut call = Call::new("s".into(), treatment, NOW + 9_000_000, candidates)
        .with_reserve(vec![candidate("far", false)]);
    let mut actions = call.step(NOW, Event::Begin, &mut entry);
    while let [Action::Offer { id, to, .. }] = &actions[..] {
        if to.as_str() == "far" {
            break;
        }
        let refusal = Refusal {
            reason,
            retry_after_ms: 10,
        };
        actions = call.step(NOW, Event::Refused(*id, refusal), &mut entry);
    }
    actions
}

#[test]
fn unconnected_upstream_gets_an_offer_when_the_others_are_gone_but_not_when_they_are_busy() {
    assert!(is_offered_to(
        &after_refusal_with_reserve(Reason::Down),
        "far"
    ));
    assert!(is_offered_to(
        &after_refusal_with_reserve(Reason::Leaving),
        "far"
    ));
    let busy = after_refusal_with_reserve(Reason::Busy);
    assert!(matches!(
        &busy[..],
        [Action::Finish(Outcome::NotRun(refusal))] if refusal.reason == Reason::Busy
    ));
}

/// Guards against refusals after a limit was lifted: an entry node whose last report showed a wait
/// of ten seconds refused requests for which the upstream had capacity.
#[test]
fn long_wait_for_a_request_limit_is_valid_for_a_second_at_most() {
    let vm = Name::from("far");
    let mut entry = Entry::new(BootId(1), SelectionRule::Priced, 7);
    entry.on_report(NOW, &vm, load_with_limit(0, 10_000));
    let treatment = Treatment {
        repeatable: true,
        priority: 5,
        max_runs: 2,
        max_arrivals: 2,
        origin: Origin::Client,
    };
    let price = Price {
        objective_us: Some(180 * MILLISECOND),
        ..Price::default()
    };
    let mut first_offer_at = |now| {
        let candidates = vec![candidate("far", false)];
        let call = Call::<u64>::new("s".into(), treatment.clone(), now + 9_000_000, candidates);
        call.with_price(price).step(now, Event::Begin, &mut entry)
    };
    let soon = first_offer_at(NOW + 500 * MILLISECOND);
    assert!(matches!(&soon[..], [Action::Finish(Outcome::NotRun(_))]));
    assert!(is_offered_to(
        &first_offer_at(NOW + 1_001 * MILLISECOND),
        "far"
    ));
}
