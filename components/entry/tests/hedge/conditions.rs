//! When a second attempt is made, and where it goes.

use crate::site::{
    answered, entry, failed, full, offer, refusal, treatment, Site, DEADLINE_US, FAR, NEAR, START,
};
use entry::{Event, HedgeRefusal, Treatment, RETURN_TIME_US};
use home::{Load, Reason};
use names::{AttemptId, BootId, Name, MILLISECOND};

/// Guards against a second attempt that waits in a queue, goes to the same upstream, or isn't known to be a repeat.
#[test]
fn a_straggling_request_is_offered_once_more_to_another_upstream_without_queueing() {
    let mut site = Site::new();
    let (_, to, may_queue, repeat) = site.straggle().expect("a second attempt");
    assert_ne!(to, site.first.1);
    assert!(!may_queue && repeat);
    assert!(offer(&site.step(Event::Straggles(site.first.0))).is_none());
    assert_eq!(site.call.take_hedge(), None);
}

/// Guards against a second start of what may run only once, whatever a home node reports.
#[test]
fn a_request_that_may_run_once_gets_no_second_attempt() {
    let once = Treatment {
        repeatable: false,
        ..treatment()
    };
    let mut site = Site::of(once, &NEAR, entry(3));
    assert!(!site.call.may_hedge());
    assert_eq!(site.straggle(), Err(HedgeRefusal::NotAllowed));
}

/// Guards against more runs than the policy allows.
#[test]
fn a_request_whose_policy_allows_one_run_gets_no_second_attempt() {
    for (max_runs, max_arrivals) in [(1, 2), (2, 1)] {
        let few = Treatment {
            max_runs,
            max_arrivals,
            ..treatment()
        };
        let mut site = Site::of(few, &NEAR, entry(3));
        assert_eq!(site.straggle(), Err(HedgeRefusal::NotAllowed));
    }
}

/// Guards against risking a second upstream for a request that may end upstreams.
#[test]
fn a_request_under_suspicion_gets_no_second_attempt() {
    let three = Treatment {
        max_runs: 3,
        max_arrivals: 3,
        ..treatment()
    };
    let mut site = Site::of(three, &NEAR, entry(3));
    let order = vec![Name::from("b"), Name::from("c")];
    let id = site.first.0;
    let actions = site.step(Event::UpstreamTerminated { id, order });
    let (id, to, ..) = offer(&actions).expect("it runs once more");
    site.first = (id, to);
    assert_eq!(site.straggle(), Err(HedgeRefusal::NotAllowed));
}

/// Guards against a second upstream for a request that came under suspicion while it ran: an upstream ended under a copy.
#[test]
fn a_request_that_came_under_suspicion_while_it_ran_gets_no_second_attempt() {
    let mut site = Site::of(treatment(), &NEAR, entry(3));
    assert!(site.call.may_hedge());
    site.call.forbid_hedge();
    assert!(!site.call.may_hedge());
    assert_eq!(site.straggle(), Err(HedgeRefusal::NotAllowed));
}

/// Guards against a second attempt that crosses to another hall, or goes where there is no free slot.
#[test]
fn a_second_attempt_goes_to_no_other_hall_and_to_no_full_leaving_or_suspected_upstream() {
    let mut site = Site::of(treatment(), &["a", FAR], entry(1));
    if site.first.1.as_str() == FAR {
        // The first attempt is in the other hall: the upstream of the own hall may get the second.
        site.report("a", full());
    }
    assert_eq!(site.straggle(), Err(HedgeRefusal::NoUpstream));
    for harm in ["full", "leaving", "suspected"] {
        let mut site = Site::new();
        for vm in NEAR {
            let name = Name::from(vm);
            match harm {
                "full" => site.report(vm, full()),
                "leaving" => site.entry.set_draining(site.now, &name, true),
                _ => site.entry.mark_unresponsive(site.now, &name),
            }
        }
        assert_eq!(site.straggle(), Err(HedgeRefusal::NoUpstream), "{harm}");
    }
}

/// Guards against second runs whose answer nobody waits for.
#[test]
fn a_second_attempt_that_would_end_after_the_deadline_is_not_made() {
    let mut site = Site::new();
    site.now = START + DEADLINE_US - 20 * MILLISECOND;
    for vm in NEAR {
        let load = Load {
            in_flight: 0,
            ..full()
        };
        site.report(vm, load);
    }
    assert_eq!(site.straggle(), Err(HedgeRefusal::TooLate));
}

/// What is decided `left_ms` before the deadline where the other upstreams report this service time.
fn decided_with(service_us: u64, left_ms: u64) -> Result<(), HedgeRefusal> {
    let mut site = Site::new();
    site.now = START + DEADLINE_US - left_ms * MILLISECOND;
    for vm in NEAR {
        let load = Load {
            in_flight: 0,
            service_us,
            ..full()
        };
        site.report(vm, load);
    }
    site.straggle().map(|_| ())
}

/// Guards against an expected time of nothing where an upstream has reported no service time.
#[test]
fn a_service_time_of_zero_is_unknown_and_the_time_since_the_offer_counts() {
    // 400 ms have passed and 200 ms are left.
    assert_eq!(decided_with(0, 200), Err(HedgeRefusal::TooLate));
}

/// Guards against an expected time that short requests of other classes have lowered: the mean at an upstream is one over
/// all classes.
#[test]
fn a_second_run_is_expected_to_take_at_least_half_of_the_time_since_the_offer() {
    // 420 ms have passed: 210 ms are expected at least, beside the way back.
    assert_eq!(decided_with(MILLISECOND, 180), Err(HedgeRefusal::TooLate));
    assert_eq!(decided_with(MILLISECOND, 260), Ok(()));
    // A reported time that is longer holds up to the time since the offer.
    assert_eq!(
        decided_with(300 * MILLISECOND, 260),
        Err(HedgeRefusal::TooLate)
    );
    assert_eq!(decided_with(900 * MILLISECOND, 400), Ok(()));
}

/// Guards against a second answer that arrives just after the deadline.
#[test]
fn the_way_back_is_taken_off_the_time_that_is_left() {
    // 400 ms have passed: 200 ms are expected, and exactly as much is left without the way back.
    let way_ms = RETURN_TIME_US / MILLISECOND;
    assert_eq!(decided_with(1, 201), Err(HedgeRefusal::TooLate));
    assert_eq!(decided_with(1, 200 + way_ms), Ok(()));
}

/// Guards against second attempts beyond the fleet's bound on repeats.
#[test]
fn without_a_repeat_in_the_budget_no_second_attempt_is_made() {
    let mut site = Site::of(treatment(), &NEAR, entry(0));
    assert_eq!(site.straggle(), Err(HedgeRefusal::BudgetExhausted));
    let mut site = Site::new();
    assert!(site.straggle().is_ok());
    assert!(!site.has_budget());
}

/// Guards against reports of stragglers in the durations of offers: only an outcome ends an offer.
#[test]
fn a_straggler_is_a_report_and_every_reply_that_ends_an_attempt_is_none() {
    let id = AttemptId {
        boot: BootId(1),
        seq: 1,
    };
    assert!(Event::<u64>::Straggles(id).is_report());
    let ends = [
        answered(id, 1),
        failed(id, 1),
        Event::Refused(id, refusal(Reason::Busy)),
        Event::Revoked(id),
        Event::Broken(id),
        Event::NotSent(id),
        Event::NodeGone(id),
        Event::ConnectionLost(id),
    ];
    assert!(ends.iter().all(|event| !event.is_report()));
}
