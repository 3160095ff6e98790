//! The way of a request under which an upstream has ended.

use entry::{Action, Call, Candidate, Entry, Event, Origin, Outcome, SelectionRule, Treatment};
use home::{Reason, Refusal, Suspicion};
use names::{AttemptId, BootId, Moment, Name};

const NOW: Moment = Moment(10_000_000);
const VMS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn entry() -> Entry {
    let mut entry = Entry::new(BootId(1), SelectionRule::Priced, 7);
    // Every node has earned a few second runs.
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

/// The offer among the actions.
fn offered(actions: &[Action<u64>]) -> (AttemptId, String, Suspicion) {
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
fn a_request_whose_upstream_ended_runs_once_more_alone_where_all_nodes_would_send_it() {
    let mut entry = entry();
    let mut call = call(true);
    let (id, _, suspicion) = offered(&call.step(NOW, Event::Begin, &mut entry));
    assert_eq!(suspicion, Suspicion::None);
    let order = order(&["d", "e"]);
    let event = Event::UpstreamTerminated { id, order };
    let (id, to, suspicion) = offered(&call.step(NOW, event, &mut entry));
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
fn a_request_under_which_two_upstreams_ended_reaches_no_third_and_is_unknown() {
    let mut entry = entry();
    let mut call = call(true);
    let (id, ..) = offered(&call.step(NOW, Event::Begin, &mut entry));
    let event = Event::UpstreamTerminated {
        id,
        order: order(&["d", "e"]),
    };
    let (id, ..) = offered(&call.step(NOW, event, &mut entry));
    // What the others know of it does not matter: this one call has done enough.
    let event = Event::UpstreamTerminated {
        id,
        order: order(&["e", "f"]),
    };
    let actions = call.step(NOW, event, &mut entry);
    assert_eq!(outcome(actions), Outcome::Unknown(Reason::Lost));
}

#[test]
fn a_request_that_is_held_meanwhile_is_unknown() {
    let mut entry = entry();
    let mut call = call(true);
    let (id, ..) = offered(&call.step(NOW, Event::Begin, &mut entry));
    let event = Event::UpstreamTerminated {
        id,
        order: Vec::new(),
    };
    let actions = call.step(NOW, event, &mut entry);
    assert_eq!(outcome(actions), Outcome::Unknown(Reason::Lost));
}

#[test]
fn a_request_that_may_not_be_repeated_is_unknown_once_its_upstream_has_ended() {
    let mut entry = entry();
    let mut call = call(false);
    let (id, ..) = offered(&call.step(NOW, Event::Begin, &mut entry));
    let event = Event::UpstreamTerminated {
        id,
        order: order(&["d", "e"]),
    };
    let actions = call.step(NOW, event, &mut entry);
    assert_eq!(outcome(actions), Outcome::Unknown(Reason::Lost));
}

#[test]
fn a_copy_is_offered_alone_then_beside_others_and_never_out_of_its_order() {
    let mut entry = entry();
    let mut call = call(true).with_suspect_order(order(&["d", "e"]));
    let busy = |id| Event::Refused(id, refusal(Reason::Busy));
    let (id, to, suspicion) = offered(&call.step(NOW, Event::Begin, &mut entry));
    assert_eq!((to.as_str(), suspicion), ("d", Suspicion::Alone));
    let (id, to, suspicion) = offered(&call.step(NOW, busy(id), &mut entry));
    assert_eq!((to.as_str(), suspicion), ("e", Suspicion::Alone));
    let (id, to, suspicion) = offered(&call.step(NOW, busy(id), &mut entry));
    assert_eq!((to.as_str(), suspicion), ("d", Suspicion::Shared));
    let (id, to, suspicion) = offered(&call.step(NOW, busy(id), &mut entry));
    assert_eq!((to.as_str(), suspicion), ("e", Suspicion::Shared));
    let actions = call.step(NOW, busy(id), &mut entry);
    assert_eq!(
        outcome(actions),
        Outcome::NotRun(refusal(Reason::Busy)),
        "it has not run anywhere"
    );
}

#[test]
fn a_copy_beside_one_that_runs_is_not_run_and_says_so() {
    let mut entry = entry();
    let mut call = call(true).with_suspect_order(order(&["d", "e"]));
    let (id, ..) = offered(&call.step(NOW, Event::Begin, &mut entry));
    let refused = Event::Refused(id, refusal(Reason::Quarantined));
    let actions = call.step(NOW, refused, &mut entry);
    assert_eq!(
        outcome(actions),
        Outcome::NotRun(refusal(Reason::Quarantined))
    );
}

#[test]
fn a_second_run_that_is_refused_leaves_the_request_unknown() {
    let mut entry = entry();
    let mut call = call(true);
    let (id, ..) = offered(&call.step(NOW, Event::Begin, &mut entry));
    let event = Event::UpstreamTerminated {
        id,
        order: order(&["d"]),
    };
    let (id, ..) = offered(&call.step(NOW, event, &mut entry));
    let refused = Event::Refused(id, refusal(Reason::Quarantined));
    let actions = call.step(NOW, refused, &mut entry);
    assert_eq!(outcome(actions), Outcome::Unknown(Reason::Quarantined));
}

#[test]
fn a_vm_that_can_not_be_reached_is_passed_over() {
    let mut entry = entry();
    let mut call = call(true).with_suspect_order(order(&["d", "e"]));
    let (id, ..) = offered(&call.step(NOW, Event::Begin, &mut entry));
    let (_, to, suspicion) = offered(&call.step(NOW, Event::NotSent(id), &mut entry));
    assert_eq!((to.as_str(), suspicion), ("e", Suspicion::Alone));
}

/// Guards against a suspect that is offered again to the upstream that it ended: that upstream was not closed in the
/// order of the suspect when it ended under one of two attempts.
#[test]
fn a_request_that_ended_an_upstream_under_one_of_two_attempts_goes_to_neither_again() {
    for second_ends in [false, true] {
        let mut entry = entry();
        let mut call = call(true);
        let (first, first_to, _) = offered(&call.step(NOW, Event::Begin, &mut entry));
        let (second, second_to, _) =
            offered(&call.step(NOW + 60_000, Event::Straggles(first), &mut entry));
        let (ends, goes_on) = if second_ends {
            (second, first)
        } else {
            (first, second)
        };
        let other = VMS.iter().find(|vm| **vm != first_to && **vm != second_to);
        let other = *other.expect("a third upstream");
        let order = order(&[&first_to, &second_to, other]);
        let event = Event::UpstreamTerminated { id: ends, order };
        assert!(call.step(NOW + 61_000, event, &mut entry).is_empty());
        let busy = Event::Refused(goes_on, refusal(Reason::Busy));
        let (_, to, suspicion) = offered(&call.step(NOW + 62_000, busy, &mut entry));
        assert_eq!((to.as_str(), suspicion), (other, Suspicion::Alone));
    }
}
