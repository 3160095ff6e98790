//! Where a request is offered after an upstream terminated while running it.

use entry::{Action, Call, Candidate, Entry, Event, Origin, Outcome, SelectionRule, Treatment};
use home::{Reason, Refusal, Suspicion};
use names::{AttemptId, BootId, Moment, Name};

const NOW: Moment = Moment(10_000_000);
const VMS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn entry() -> Entry {
    let mut entry = Entry::new(BootId(1), SelectionRule::Priced, 7);
    // Fills the retry budget.
    for _ in 0..50 {
        let mut call = call(true);
        call.step(NOW, Event::Begin, &mut entry);
        call.step(NOW, Event::CallerDisconnected, &mut entry);
    }
    entry
}

fn call(repeatable: bool) -> Call<u64> {
    let candidates = VMS.map(|vm| Candidate {
        vm: Name::from(vm),
        same_hall: true,
        local: false,
    });
    let treatment = Treatment {
        repeatable,
        priority: 5,
        max_runs: 3,
        max_arrivals: 3,
        origin: Origin::Client,
    };
    Call::new("s".into(), treatment, NOW + 9_000_000, candidates.to_vec())
}

fn order(vms: &[&str]) -> Vec<Name> {
    vms.iter().map(|vm| Name::from(*vm)).collect()
}

/// The only action, which must be an offer.
fn single_offer(actions: &[Action<u64>]) -> (AttemptId, String, Suspicion) {
    match actions {
        [Action::Offer {
            id, to, suspicion, ..
        }] => (*id, to.to_string(), *suspicion),
        other => panic!("no offer: {other:?}"),
    }
}

fn outcome(actions: Vec<Action<u64>>) -> Outcome<u64> {
    match actions.into_iter().next() {
        Some(Action::Finish(outcome)) => outcome,
        other => panic!("no outcome: {other:?}"),
    }
}

fn refusal(reason: Reason) -> Refusal {
    Refusal {
        reason,
        retry_after_ms: 500,
    }
}

#[test]
fn request_of_a_terminated_upstream_runs_again_alone_at_the_first_vm_of_its_order() {
    let mut entry = entry();
    let mut call = call(true);
    let (id, _, suspicion) = single_offer(&call.step(NOW, Event::Begin, &mut entry));
    assert_eq!(suspicion, Suspicion::None);
    let order = order(&["d", "e"]);
    let event = Event::UpstreamTerminated { id, order };
    let (id, to, suspicion) = single_offer(&call.step(NOW, event, &mut entry));
    assert_eq!((to.as_str(), suspicion), ("d", Suspicion::Alone));
    let answered = Event::Answered {
        id,
        answer: 5,
        error: false,
    };
    let actions = call.step(NOW, answered, &mut entry);
    assert_eq!(outcome(actions), Outcome::Answered(5));
}

#[test]
fn request_that_terminated_two_upstreams_is_unknown_and_reaches_no_third() {
    let mut entry = entry();
    let mut call = call(true);
    let (id, ..) = single_offer(&call.step(NOW, Event::Begin, &mut entry));
    let event = Event::UpstreamTerminated {
        id,
        order: order(&["d", "e"]),
    };
    let (id, ..) = single_offer(&call.step(NOW, event, &mut entry));
    // The order is not empty, but a second termination ends the call in any case.
    let event = Event::UpstreamTerminated {
        id,
        order: order(&["e", "f"]),
    };
    let actions = call.step(NOW, event, &mut entry);
    assert_eq!(outcome(actions), Outcome::Unknown(Reason::Lost));
}

#[test]
fn request_quarantined_while_it_ran_is_unknown() {
    let mut entry = entry();
    let mut call = call(true);
    let (id, ..) = single_offer(&call.step(NOW, Event::Begin, &mut entry));
    let event = Event::UpstreamTerminated {
        id,
        order: Vec::new(),
    };
    let actions = call.step(NOW, event, &mut entry);
    assert_eq!(outcome(actions), Outcome::Unknown(Reason::Lost));
}

#[test]
fn non_repeatable_request_of_a_terminated_upstream_is_unknown() {
    let mut entry = entry();
    let mut call = call(false);
    let (id, ..) = single_offer(&call.step(NOW, Event::Begin, &mut entry));
    let event = Event::UpstreamTerminated {
        id,
        order: order(&["d", "e"]),
    };
    let actions = call.step(NOW, event, &mut entry);
    assert_eq!(outcome(actions), Outcome::Unknown(Reason::Lost));
}

#[test]
fn copy_is_offered_alone_then_shared_and_only_to_vms_of_its_order() {
    let mut entry = entry();
    let mut call = call(true).with_suspect_order(order(&["d", "e"]));
    let busy = |id| Event::Refused(id, refusal(Reason::Busy));
    let (id, to, suspicion) = single_offer(&call.step(NOW, Event::Begin, &mut entry));
    assert_eq!((to.as_str(), suspicion), ("d", Suspicion::Alone));
    let (id, to, suspicion) = single_offer(&call.step(NOW, busy(id), &mut entry));
    assert_eq!((to.as_str(), suspicion), ("e", Suspicion::Alone));
    let (id, to, suspicion) = single_offer(&call.step(NOW, busy(id), &mut entry));
    assert_eq!((to.as_str(), suspicion), ("d", Suspicion::Shared));
    let (id, to, suspicion) = single_offer(&call.step(NOW, busy(id), &mut entry));
    assert_eq!((to.as_str(), suspicion), ("e", Suspicion::Shared));
    let actions = call.step(NOW, busy(id), &mut entry);
    assert_eq!(
        outcome(actions),
        Outcome::NotRun(refusal(Reason::Busy)),
        "no attempt has run"
    );
}

#[test]
fn copy_refused_as_quarantined_is_reported_as_not_run() {
    let mut entry = entry();
    let mut call = call(true).with_suspect_order(order(&["d", "e"]));
    let (id, ..) = single_offer(&call.step(NOW, Event::Begin, &mut entry));
    let refused = Event::Refused(id, refusal(Reason::Quarantined));
    let actions = call.step(NOW, refused, &mut entry);
    assert_eq!(
        outcome(actions),
        Outcome::NotRun(refusal(Reason::Quarantined))
    );
}

#[test]
fn request_whose_second_run_is_refused_is_unknown() {
    let mut entry = entry();
    let mut call = call(true);
    let (id, ..) = single_offer(&call.step(NOW, Event::Begin, &mut entry));
    let event = Event::UpstreamTerminated {
        id,
        order: order(&["d"]),
    };
    let (id, ..) = single_offer(&call.step(NOW, event, &mut entry));
    let refused = Event::Refused(id, refusal(Reason::Quarantined));
    let actions = call.step(NOW, refused, &mut entry);
    assert_eq!(outcome(actions), Outcome::Unknown(Reason::Quarantined));
}

#[test]
fn unreachable_vm_is_skipped() {
    let mut entry = entry();
    let mut call = call(true).with_suspect_order(order(&["d", "e"]));
    let (id, ..) = single_offer(&call.step(NOW, Event::Begin, &mut entry));
    let (_, to, suspicion) = single_offer(&call.step(NOW, Event::NotSent(id), &mut entry));
    assert_eq!((to.as_str(), suspicion), ("e", Suspicion::Alone));
}

/// Guards against a suspect that is offered again to the upstream that it terminated. An
/// upstream that terminated while it ran one of two attempts was not excluded from the suspect's
/// order.
#[test]
fn hedged_request_that_terminated_an_upstream_returns_to_neither_vm() {
    for hedge_terminates in [false, true] {
        let mut entry = entry();
        let mut call = call(true);
        let (first, first_to, _) = single_offer(&call.step(NOW, Event::Begin, &mut entry));
        let (hedge, hedge_to, _) =
            single_offer(&call.step(NOW + 60_000, Event::Straggles(first), &mut entry));
        let (terminated, remaining) = if hedge_terminates {
            (hedge, first)
        } else {
            (first, hedge)
        };
        let other = VMS.iter().find(|vm| **vm != first_to && **vm != hedge_to);
        let other = *other.expect("there are six upstreams");
        let order = order(&[&first_to, &hedge_to, other]);
        let event = Event::UpstreamTerminated {
            id: terminated,
            order,
        };
        assert!(call.step(NOW + 61_000, event, &mut entry).is_empty());
        let busy = Event::Refused(remaining, refusal(Reason::Busy));
        let (_, to, suspicion) = single_offer(&call.step(NOW + 62_000, busy, &mut entry));
        assert_eq!((to.as_str(), suspicion), (other, Suspicion::Alone));
    }
}
