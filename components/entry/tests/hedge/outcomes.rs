//! Which of two answers is used, what happens when one attempt fails, and what hedged attempts
//! cost.

use crate::site::{
    cancelled_attempts, entry_with_repeats, error_answer, find_offer, find_outcome, good_answer,
    refusal, treatment, Scenario, SAME_HALL,
};
use entry::{Event, HedgeDecision, Outcome, Treatment};
use home::Reason;
use names::{AttemptId, Name};

/// Guards against runs that continue after the caller has its answer, and against a second answer.
#[test]
fn first_good_answer_wins_and_other_attempt_is_cancelled() {
    for hedge_wins in [false, true] {
        let mut scenario = Scenario::new();
        let (first, hedged) = scenario.make_hedge();
        let (winner, loser) = if hedge_wins {
            (hedged, first)
        } else {
            (first, hedged)
        };
        let actions = scenario.step(good_answer(winner, 7));
        assert_eq!(find_outcome(&actions), Some(Outcome::Answered(7)));
        assert_eq!(cancelled_attempts(&actions), [loser]);
        let decision = if hedge_wins {
            HedgeDecision::WonByHedge
        } else {
            HedgeDecision::WonByFirst
        };
        assert_eq!(scenario.take_decision(), Some(decision));
        assert_eq!(scenario.outstanding(), 0);
        assert_eq!(scenario.call.late_events(), 0);
        for event in [good_answer(loser, 8), Event::Broken(loser)] {
            assert!(scenario.step(event).is_empty());
        }
        assert_eq!(scenario.call.late_events(), 2);
        assert!(!scenario.has_budget(), "the loser may have arrived");
    }
}

/// Guards against ending a call whose other attempt still runs.
#[test]
fn other_attempt_continues_alone_when_one_fails() {
    let failures: [fn(AttemptId) -> Event<u64>; 9] = [
        |id| error_answer(id, 1),
        Event::Broken,
        Event::NodeGone,
        Event::ConnectionLost,
        Event::NodeUnresponsive,
        Event::NotSent,
        Event::Revoked,
        |id| Event::Refused(id, refusal(Reason::Shed)),
        |id| Event::Refused(id, refusal(Reason::Leaving)),
    ];
    for (i, failure) in failures.iter().enumerate() {
        for hedge_fails in [false, true] {
            let mut scenario = Scenario::new();
            let (first, hedged) = scenario.make_hedge();
            let (fails, continues) = if hedge_fails {
                (hedged, first)
            } else {
                (first, hedged)
            };
            let actions = scenario.step(failure(fails));
            assert!(find_outcome(&actions).is_none() && find_offer(&actions).is_none());
            let is_unresponsive = matches!(failure(fails), Event::NodeUnresponsive(_));
            assert_eq!(
                cancelled_attempts(&actions).len(),
                usize::from(is_unresponsive),
                "{i}"
            );
            assert_eq!(scenario.outstanding(), 1);
            let actions = scenario.step(good_answer(continues, 7));
            assert_eq!(find_outcome(&actions), Some(Outcome::Answered(7)), "{i}");
            assert!(cancelled_attempts(&actions).is_empty());
            let decision = scenario.take_decision().expect("one attempt won");
            assert_eq!(decision == HedgeDecision::WonByFirst, hedge_fails);
            assert_eq!(scenario.outstanding(), 0);
        }
    }
}

/// Guards against the outcome "not run" after a run, and against a third run.
#[test]
fn call_ends_as_after_its_last_run_when_both_attempts_fail() {
    let mut scenario = Scenario::new();
    let (first, hedged) = scenario.make_hedge();
    scenario.step(error_answer(first, 3));
    let actions = scenario.step(Event::Broken(hedged));
    assert_eq!(find_outcome(&actions), Some(Outcome::Answered(3)));
    assert_eq!(actions.len(), 1);
    let mut scenario = Scenario::new();
    let (first, hedged) = scenario.make_hedge();
    scenario.step(Event::Broken(hedged));
    let actions = scenario.step(Event::ConnectionLost(first));
    assert_eq!(find_outcome(&actions), Some(Outcome::Unknown(Reason::Lost)));
    let mut scenario = Scenario::new();
    let (first, hedged) = scenario.make_hedge();
    scenario.step(Event::Broken(first));
    let actions = scenario.step(Event::Refused(hedged, refusal(Reason::Shed)));
    assert_eq!(find_outcome(&actions), Some(Outcome::Unknown(Reason::Shed)));
}

/// Guards against a hedged attempt that gets no slot and ends the call, or is not refunded.
#[test]
fn hedge_refused_unrun_costs_nothing() {
    for reason in [Reason::Busy, Reason::Leaving, Reason::Down, Reason::KeyUsed] {
        let mut scenario = Scenario::new();
        let (first, hedged) = scenario.make_hedge();
        let actions = scenario.step(Event::Refused(hedged, refusal(reason)));
        assert!(actions.is_empty());
        assert!(scenario.has_budget(), "{reason:?}");
        let actions = scenario.step(good_answer(first, 7));
        assert_eq!(find_outcome(&actions), Some(Outcome::Answered(7)));
    }
    let mut scenario = Scenario::new();
    let (_, hedged) = scenario.make_hedge();
    scenario.step(Event::Refused(hedged, refusal(Reason::Shed)));
    assert!(!scenario.has_budget(), "an upstream has received it");
    let mut scenario = Scenario::new();
    let (_, hedged) = scenario.make_hedge();
    scenario.step(Event::ConnectionLost(hedged));
    assert!(!scenario.has_budget(), "it may have arrived");
}

/// Guards against a retry at the upstream that broke the exchange, although another only revoked
/// its attempt.
#[test]
fn retry_goes_to_upstream_that_revoked_rather_than_to_broken_one() {
    for is_hedged in [true, false] {
        let mut scenario = Scenario::of(treatment(), &["a", "b"], entry_with_repeats(3));
        let (first, first_to) = scenario.first.clone();
        let mut actions = Vec::new();
        if is_hedged {
            actions.extend(scenario.step(Event::Straggles(first)));
        }
        actions.extend(scenario.step(Event::Revoked(first)));
        let (second, second_to, ..) = find_offer(&actions).expect("a second offer");
        assert_ne!(first_to, second_to);
        let actions = scenario.step(Event::Broken(second));
        let (_, to, ..) = find_offer(&actions).expect("a retry");
        assert_eq!(to, first_to, "hedged: {is_hedged}");
    }
}

/// Guards against ending a call because the only other upstream revoked its attempt and is
/// draining.
#[test]
fn retry_goes_to_broken_upstream_if_the_one_that_revoked_is_draining() {
    let mut scenario = Scenario::of(treatment(), &["a", "b"], entry_with_repeats(3));
    let (first, first_to) = scenario.first.clone();
    let (hedged, hedged_to, ..) = scenario.report_straggler().expect("a hedged attempt");
    scenario.entry.set_draining(scenario.now, &first_to, true);
    scenario.step(Event::Revoked(first));
    let actions = scenario.step(Event::Broken(hedged));
    let (_, to, ..) = find_offer(&actions).expect("a retry");
    assert_eq!(to, hedged_to);
}

/// Guards against charging twice: if the hedged attempt reached no upstream, its repeat is used for
/// the next offer.
#[test]
fn hedge_left_alone_and_refused_moves_on_at_no_further_cost() {
    let three = Treatment {
        max_runs: 3,
        max_arrivals: 3,
        ..treatment()
    };
    let mut scenario = Scenario::of(three, &SAME_HALL, entry_with_repeats(1));
    let (first, hedged) = scenario.make_hedge();
    scenario.step(Event::Broken(first));
    let actions = scenario.step(Event::Refused(hedged, refusal(Reason::Busy)));
    let (third, _, _, repeat) = find_offer(&actions).expect("the next offer");
    assert!(repeat);
    let actions = scenario.step(good_answer(third, 7));
    assert_eq!(find_outcome(&actions), Some(Outcome::Answered(7)));
    assert_eq!(
        scenario.take_decision(),
        None,
        "neither of the two attempts won"
    );
    assert!(!scenario.has_budget());
}

/// Guards against a repeat that is not refunded although it reached no upstream.
#[test]
fn hedge_left_alone_and_not_run_costs_nothing() {
    let mut scenario = Scenario::new();
    let (first, hedged) = scenario.make_hedge();
    scenario.step(Event::Broken(first));
    let actions = scenario.step(Event::Refused(hedged, refusal(Reason::Deadline)));
    assert_eq!(
        find_outcome(&actions),
        Some(Outcome::Unknown(Reason::Deadline))
    );
    assert!(scenario.has_budget());
}

/// Guards against a refund for a repeat that ran: the attempt that straggles may itself be a
/// repeat.
#[test]
fn straggling_repeat_that_loses_is_not_refunded() {
    let four = Treatment {
        max_runs: 4,
        max_arrivals: 4,
        ..treatment()
    };
    let mut scenario = Scenario::of(four, &SAME_HALL, entry_with_repeats(2));
    let id = scenario.first.0;
    let actions = scenario.step(error_answer(id, 1));
    let (id, to, ..) = find_offer(&actions).expect("a repeat");
    scenario.first = (id, to);
    let (_, hedged) = scenario.make_hedge();
    assert!(!scenario.has_budget());
    scenario.step(good_answer(hedged, 7));
    assert!(!scenario.has_budget());
}

/// Guards against upstreams that keep working for a caller that no longer waits.
#[test]
fn disconnect_and_deadline_cancel_both_attempts() {
    let mut scenario = Scenario::new();
    let (first, hedged) = scenario.make_hedge();
    let actions = scenario.step(Event::CallerDisconnected);
    assert_eq!(find_outcome(&actions), None);
    let mut cancelled = cancelled_attempts(&actions);
    cancelled.sort_unstable();
    assert_eq!(cancelled, [first, hedged]);
    assert!(scenario.call.is_done() && scenario.outstanding() == 0);
    assert!(
        !scenario.has_budget(),
        "the hedged attempt may have arrived"
    );
    let mut scenario = Scenario::new();
    let (first, hedged) = scenario.make_hedge();
    let actions = scenario.step(Event::Expired);
    let mut cancelled = cancelled_attempts(&actions);
    cancelled.sort_unstable();
    assert_eq!(cancelled, [first, hedged]);
    assert_eq!(
        find_outcome(&actions),
        Some(Outcome::Unknown(Reason::Deadline))
    );
    assert!(!scenario.has_budget() && scenario.outstanding() == 0);
}

/// Guards against a third upstream for a request during whose run two upstreams have terminated.
#[test]
fn other_attempt_is_the_last_after_an_upstream_terminates() {
    for hedge_terminates in [false, true] {
        let many = Treatment {
            max_runs: 4,
            max_arrivals: 4,
            ..treatment()
        };
        let mut scenario = Scenario::of(many, &SAME_HALL, entry_with_repeats(3));
        let (first, hedged) = scenario.make_hedge();
        let (terminates, continues) = if hedge_terminates {
            (hedged, first)
        } else {
            (first, hedged)
        };
        let order = vec![Name::from("a"), Name::from("b"), Name::from("c")];
        let terminated = |id| Event::UpstreamTerminated {
            id,
            order: order.clone(),
        };
        assert!(scenario.step(terminated(terminates)).is_empty());
        let actions = scenario.step(terminated(continues));
        assert_eq!(find_outcome(&actions), Some(Outcome::Unknown(Reason::Lost)));
        assert!(find_offer(&actions).is_none());
    }
}
