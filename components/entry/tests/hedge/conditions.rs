//! When a hedged attempt is made, and which upstream it goes to.

use crate::site::{
    entry_with_repeats, error_answer, find_offer, full_load, good_answer, refusal, treatment,
    Scenario, DEADLINE_US, OTHER_HALL, SAME_HALL, START,
};
use entry::{Event, HedgeRefusal, Treatment, RETURN_TIME_US};
use home::{Load, Reason};
use names::{AttemptId, BootId, Name, MILLISECOND};

/// Guards against a hedged attempt that waits in a queue, goes to the same upstream, or isn't
/// marked as a repeat.
#[test]
fn straggler_is_hedged_once_at_another_upstream_without_queueing() {
    let mut scenario = Scenario::new();
    let (_, to, may_queue, repeat) = scenario.report_straggler().expect("a hedged attempt");
    assert_ne!(to, scenario.first.1);
    assert!(!may_queue && repeat);
    assert!(find_offer(&scenario.step(Event::Straggles(scenario.first.0))).is_none());
    assert_eq!(scenario.call.take_hedge(), None);
}

/// Guards against a second run of a request that may not be repeated, whatever a home node reports.
#[test]
fn non_repeatable_request_is_not_hedged() {
    let non_repeatable = Treatment {
        repeatable: false,
        ..treatment()
    };
    let mut scenario = Scenario::of(non_repeatable, &SAME_HALL, entry_with_repeats(3));
    assert!(!scenario.call.may_hedge());
    assert_eq!(scenario.report_straggler(), Err(HedgeRefusal::NotAllowed));
}

/// Guards against more runs or arrivals than the treatment allows.
#[test]
fn request_limited_to_one_run_or_arrival_is_not_hedged() {
    for (max_runs, max_arrivals) in [(1, 2), (2, 1)] {
        let few = Treatment {
            max_runs,
            max_arrivals,
            ..treatment()
        };
        let mut scenario = Scenario::of(few, &SAME_HALL, entry_with_repeats(3));
        assert_eq!(scenario.report_straggler(), Err(HedgeRefusal::NotAllowed));
    }
}

/// Guards against risking a second upstream for a request that may be harmful.
#[test]
fn suspect_is_not_hedged() {
    let three = Treatment {
        max_runs: 3,
        max_arrivals: 3,
        ..treatment()
    };
    let mut scenario = Scenario::of(three, &SAME_HALL, entry_with_repeats(3));
    let order = vec![Name::from("b"), Name::from("c")];
    let id = scenario.first.0;
    let actions = scenario.step(Event::UpstreamTerminated { id, order });
    let (id, to, ..) = find_offer(&actions).expect("it runs once more");
    scenario.first = (id, to);
    assert_eq!(scenario.report_straggler(), Err(HedgeRefusal::NotAllowed));
}

/// Guards against a second upstream for a request that became a suspect while it ran, because an
/// upstream terminated while running a copy of it.
#[test]
fn request_that_becomes_a_suspect_while_running_is_not_hedged() {
    let mut scenario = Scenario::of(treatment(), &SAME_HALL, entry_with_repeats(3));
    assert!(scenario.call.may_hedge());
    scenario.call.forbid_hedge();
    assert!(!scenario.call.may_hedge());
    assert_eq!(scenario.report_straggler(), Err(HedgeRefusal::NotAllowed));
}

/// Guards against a hedged attempt that crosses to another hall, or goes to an upstream without a
/// free slot.
#[test]
fn hedge_avoids_other_halls_and_full_draining_or_unresponsive_upstreams() {
    let mut scenario = Scenario::of(treatment(), &["a", OTHER_HALL], entry_with_repeats(1));
    if scenario.first.1.as_str() == OTHER_HALL {
        // The first attempt is in the other hall, so the upstream of the same hall could get the
        // hedged one.
        scenario.report("a", full_load());
    }
    assert_eq!(scenario.report_straggler(), Err(HedgeRefusal::NoUpstream));
    for condition in ["full", "draining", "unresponsive"] {
        let mut scenario = Scenario::new();
        for vm in SAME_HALL {
            let name = Name::from(vm);
            match condition {
                "full" => scenario.report(vm, full_load()),
                "draining" => scenario.entry.set_draining(scenario.now, &name, true),
                _ => scenario.entry.mark_unresponsive(scenario.now, &name),
            }
        }
        assert_eq!(
            scenario.report_straggler(),
            Err(HedgeRefusal::NoUpstream),
            "{condition}"
        );
    }
}

/// Guards against second runs whose answer would arrive after the deadline.
#[test]
fn hedge_that_would_end_after_the_deadline_is_not_made() {
    let mut scenario = Scenario::new();
    scenario.now = START + DEADLINE_US - 20 * MILLISECOND;
    for vm in SAME_HALL {
        let load = Load {
            in_flight: 0,
            ..full_load()
        };
        scenario.report(vm, load);
    }
    assert_eq!(scenario.report_straggler(), Err(HedgeRefusal::TooLate));
}

/// The decision `remaining_ms` before the deadline if the other upstreams report this service time.
fn decision_with(service_us: u64, remaining_ms: u64) -> Result<(), HedgeRefusal> {
    let mut scenario = Scenario::new();
    scenario.now = START + DEADLINE_US - remaining_ms * MILLISECOND;
    for vm in SAME_HALL {
        let load = Load {
            in_flight: 0,
            service_us,
            ..full_load()
        };
        scenario.report(vm, load);
    }
    scenario.report_straggler().map(|_| ())
}

/// Guards against an expected run time of zero for an upstream that has reported no service time.
#[test]
fn service_time_of_zero_is_unknown_and_time_since_offer_is_used() {
    // 400 ms have passed and 200 ms remain.
    assert_eq!(decision_with(0, 200), Err(HedgeRefusal::TooLate));
}

/// Guards against an expected run time that is too low because of short requests of other classes:
/// the service time of an upstream is a mean over all its classes.
#[test]
fn expected_run_time_is_at_least_half_of_time_since_offer() {
    // 420 ms have passed, so at least 210 ms are expected, plus the return time.
    assert_eq!(decision_with(MILLISECOND, 180), Err(HedgeRefusal::TooLate));
    assert_eq!(decision_with(MILLISECOND, 260), Ok(()));
    // A longer reported time is used up to the time since the offer.
    assert_eq!(
        decision_with(300 * MILLISECOND, 260),
        Err(HedgeRefusal::TooLate)
    );
    assert_eq!(decision_with(900 * MILLISECOND, 400), Ok(()));
}

/// Guards against a second answer that arrives just after the deadline.
#[test]
fn return_time_is_subtracted_from_remaining_time() {
    // 400 ms have passed, so 200 ms are expected, and exactly as much remains without the return
    // time.
    let return_ms = RETURN_TIME_US / MILLISECOND;
    assert_eq!(decision_with(1, 201), Err(HedgeRefusal::TooLate));
    assert_eq!(decision_with(1, 200 + return_ms), Ok(()));
}

/// Guards against hedged attempts beyond the fleet's bound on repeats.
#[test]
fn no_hedge_without_a_repeat_in_the_budget() {
    let mut scenario = Scenario::of(treatment(), &SAME_HALL, entry_with_repeats(0));
    assert_eq!(
        scenario.report_straggler(),
        Err(HedgeRefusal::BudgetExhausted)
    );
    let mut scenario = Scenario::new();
    assert!(scenario.report_straggler().is_ok());
    assert!(!scenario.has_budget());
}

/// Guards against straggler reports that are counted as the end of an offer in the metric of offer
/// durations.
#[test]
fn straggler_event_is_a_report_and_results_are_not() {
    let id = AttemptId {
        boot: BootId(1),
        seq: 1,
    };
    assert!(Event::<u64>::Straggles(id).is_report());
    let ends = [
        good_answer(id, 1),
        error_answer(id, 1),
        Event::Refused(id, refusal(Reason::Busy)),
        Event::Revoked(id),
        Event::Broken(id),
        Event::NotSent(id),
        Event::NodeGone(id),
        Event::ConnectionLost(id),
    ];
    assert!(ends.iter().all(|event| !event.is_report()));
}
