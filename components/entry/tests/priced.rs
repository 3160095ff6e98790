//! The choice by expected time with a price for crossing to another hall.

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

/// Where the first offer of a call goes, given reports of the upstreams `near` and `far`.
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

fn goes_to(actions: &[Action<u64>], vm: &str) -> bool {
    matches!(actions, [Action::Offer { to, .. }] if to.as_str() == vm)
}

#[test]
fn an_upstream_of_the_own_hall_is_taken_while_it_is_about_as_good() {
    assert!(goes_to(
        &first_offer(load(3, 0, 100), load(0, 0, 100), 60),
        "near"
    ));
}

#[test]
fn a_slow_upstream_is_left_when_the_way_costs_less_than_the_wait() {
    let slow = load(4, 3, 400);
    assert!(goes_to(&first_offer(slow, load(0, 0, 100), 60), "far"));
    assert!(goes_to(&first_offer(slow, load(0, 0, 100), 2_000), "near"));
}

#[test]
fn a_request_never_crosses_to_an_upstream_that_is_known_to_be_full() {
    let full = load(4, 9, 100);
    assert!(goes_to(&first_offer(load(4, 9, 400), full, 0), "near"));
}

#[test]
fn when_every_upstream_is_known_to_be_full_the_caller_is_told_to_come_back_soon() {
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
fn urgent_requests_cross_sooner_and_calls_of_running_requests_wait_until_their_deadline() {
    let objective = 100 * MILLISECOND;
    let urgent = Price::of(9, objective, false);
    let common = Price::of(7, objective, false);
    assert!(urgent.crossing_us < common.crossing_us);
    assert_eq!(common, Price::of(0, objective, false));
    assert_eq!(urgent.objective_us, Some(objective));
    assert_eq!(Price::of(19, objective, true).objective_us, None);
    assert_eq!(Price::of(5, 0, false).objective_us, None);
}

/// A call with `near` upstreams of the own hall and one of another, about which nothing is known.
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
fn among_several_upstreams_of_the_hall_a_free_slot_is_asked_for_before_any_queue() {
    let mut entry = Entry::new(BootId(1), SelectionRule::Priced, 7);
    let mut call = call_among(4);
    let mut actions = call.step(NOW, Event::Begin, &mut entry);
    let mut asked = Vec::new();
    for _ in 0..4 {
        let [Action::Offer {
            id, to, may_queue, ..
        }] = actions.as_slice()
        else {
            panic!("{actions:?}");
        };
        assert!(!may_queue, "{to} was offered a place in its queue at once");
        assert!(to.as_str().starts_with("near") && !asked.contains(to));
        asked.push(to.clone());
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

/// Where a call goes whose hall has one upstream, which refuses a free slot and tells `news`.
fn after_refusal(news: Load) -> Vec<Action<u64>> {
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
    entry.on_report(NOW, to, news);
    let refusal = Refusal {
        reason: Reason::Busy,
        retry_after_ms: 100,
    };
    call.step(NOW, Event::Refused(*id, refusal), &mut entry)
}

#[test]
fn the_only_upstream_of_the_hall_tells_its_wait_before_its_queue_or_a_crossing_is_chosen() {
    let short = after_refusal(load(4, 0, 100));
    assert!(goes_to(&short, "near-0"), "{short:?}");
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
    let actions = after_refusal(long);
    assert!(goes_to(&actions, "far"), "{actions:?}");
}

#[test]
fn calls_that_know_the_same_spread_over_the_upstreams_of_the_hall() {
    let mut entry = Entry::new(BootId(1), SelectionRule::Priced, 7);
    for (i, service_ms) in [70, 90, 110, 130].iter().enumerate() {
        let known = Load {
            service_us: service_ms * MILLISECOND,
            ..load(0, 0, 100)
        };
        entry.on_report(NOW, &Name::from(format!("near-{i}").as_str()), known);
    }
    let later = NOW + 500 * MILLISECOND;
    let mut chosen = std::collections::BTreeMap::new();
    for _ in 0..1_000 {
        let mut call = call_among(4);
        let actions = call.step(later, Event::Begin, &mut entry);
        let [Action::Offer { to, .. }] = actions.as_slice() else {
            panic!("{actions:?}");
        };
        *chosen.entry(to.to_string()).or_insert(0) += 1;
        call.step(later, Event::CallerDisconnected, &mut entry);
    }
    assert_eq!(chosen.len(), 4, "{chosen:?}");
    assert!(chosen.values().all(|count| *count < 350), "{chosen:?}");
}

#[test]
fn an_upstream_whose_answers_fail_is_asked_after_those_whose_answers_are_good() {
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
        assert!(!goes_to(&actions, "near-0"), "{actions:?}");
        call.step(NOW, Event::CallerDisconnected, &mut entry);
    }
}

/// The only upstream of the own hall was known to leave while its node's record did not say so yet: the offer for a free
/// slot had nowhere to go, and the request was refused as busy though the other hall could serve it.
#[test]
fn while_the_only_upstream_of_the_own_hall_leaves_requests_go_to_another_hall() {
    let leaving = Load {
        leaving: true,
        ..load(0, 0, 100)
    };
    assert!(goes_to(&first_offer(leaving, load(0, 0, 100), 60), "far"));
}

fn limited(milli_per_s: u64, limit_wait_ms: u64) -> Load {
    Load {
        request_limit: Some(RequestRate::from_milli(milli_per_s)),
        limit_wait_us: limit_wait_ms * MILLISECOND,
        ..load(0, 0, 100)
    }
}

#[test]
fn an_upstream_at_its_request_limit_counts_as_full_until_it_takes_another() {
    let idle = load(0, 0, 100);
    assert!(goes_to(&first_offer(limited(5_000, 150), idle, 60), "far"));
    assert!(goes_to(&first_offer(limited(5_000, 0), idle, 60), "near"));
    assert!(goes_to(
        &first_offer(load(4, 9, 400), limited(5_000, 150), 0),
        "near"
    ));
}

#[test]
fn a_limit_is_known_beyond_a_restart_of_the_node_beside_the_upstream_until_that_says_it_ended() {
    let vm = Name::from("near");
    let rate = Some(RequestRate::from_milli(5_000));
    let mut entry = Entry::new(BootId(1), SelectionRule::Priced, 7);
    entry.on_report(NOW, &vm, limited(5_000, 0));
    assert_eq!(entry.view(&vm).known_limit, rate);
    entry.forget(&vm);
    assert_eq!(entry.view(&vm).known_limit, rate);
    // The node that has started anew has not heard of it.
    entry.on_report(NOW, &vm, load(0, 0, 100));
    assert_eq!(entry.view(&vm).known_limit, rate);
    entry.on_report(NOW, &vm, limited(5_000, 0));
    entry.on_report(NOW, &vm, load(0, 0, 100));
    assert_eq!(entry.view(&vm).known_limit, None);
}

/// What a call does when its only candidate refuses it, and an upstream without a connection is in reserve.
fn after_a_refusal(reason: Reason) -> Vec<Action<u64>> {
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
fn an_upstream_without_a_connection_is_asked_when_the_others_are_gone_and_not_when_they_are_busy() {
    assert!(goes_to(&after_a_refusal(Reason::Down), "far"));
    assert!(goes_to(&after_a_refusal(Reason::Leaving), "far"));
    let busy = after_a_refusal(Reason::Busy);
    assert!(matches!(
        &busy[..],
        [Action::Finish(Outcome::NotRun(refusal))] if refusal.reason == Reason::Busy
    ));
}

/// A limit had ended, and an entry node that had last heard of a wait of ten seconds refused what the upstream had room for.
#[test]
fn a_long_wait_for_a_limit_is_not_believed_longer_than_a_second() {
    let vm = Name::from("far");
    let mut entry = Entry::new(BootId(1), SelectionRule::Priced, 7);
    entry.on_report(NOW, &vm, limited(0, 10_000));
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
    let mut offers_at = |now| {
        let candidates = vec![candidate("far", false)];
        let call = Call::<u64>::new("s".into(), treatment.clone(), now + 9_000_000, candidates);
        call.with_price(price).step(now, Event::Begin, &mut entry)
    };
    let soon = offers_at(NOW + 500 * MILLISECOND);
    assert!(matches!(&soon[..], [Action::Finish(Outcome::NotRun(_))]));
    assert!(goes_to(&offers_at(NOW + 1_001 * MILLISECOND), "far"));
}
