//! Which of two answers counts, what follows when one attempt fails, and what second attempts cost.

use crate::site::{
    answered, cancels, entry, failed, offer, outcome, refusal, treatment, Site, NEAR,
};
use entry::{Event, HedgeDecision, Outcome, Treatment};
use home::Reason;
use names::{AttemptId, Name};

/// Guards against runs that go on though nobody waits for them, and against a second answer.
#[test]
fn the_first_good_answer_wins_and_the_other_attempt_is_cancelled() {
    for second_wins in [false, true] {
        let mut site = Site::new();
        let (first, second) = site.hedged();
        let (winner, loser) = if second_wins {
            (second, first)
        } else {
            (first, second)
        };
        let actions = site.step(answered(winner, 7));
        assert_eq!(outcome(&actions), Some(Outcome::Answered(7)));
        assert_eq!(cancels(&actions), [loser]);
        let decision = if second_wins {
            HedgeDecision::WonByHedge
        } else {
            HedgeDecision::WonByFirst
        };
        assert_eq!(site.decision(), Some(decision));
        assert_eq!(site.outstanding(), 0);
        assert_eq!(site.call.late_events(), 0);
        for event in [answered(loser, 8), Event::Broken(loser)] {
            assert!(site.step(event).is_empty());
        }
        assert_eq!(site.call.late_events(), 2);
        assert!(!site.has_budget(), "the loser may have arrived");
    }
}

/// Guards against giving up a request whose other attempt still runs.
#[test]
fn when_one_of_two_attempts_fails_the_other_goes_on_alone() {
    let failures: [fn(AttemptId) -> Event<u64>; 9] = [
        |id| failed(id, 1),
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
        for second_fails in [false, true] {
            let mut site = Site::new();
            let (first, second) = site.hedged();
            let (fails, goes_on) = if second_fails {
                (second, first)
            } else {
                (first, second)
            };
            let actions = site.step(failure(fails));
            assert!(outcome(&actions).is_none() && offer(&actions).is_none());
            let was_silent = matches!(failure(fails), Event::NodeUnresponsive(_));
            assert_eq!(cancels(&actions).len(), usize::from(was_silent), "{i}");
            assert_eq!(site.outstanding(), 1);
            let actions = site.step(answered(goes_on, 7));
            assert_eq!(outcome(&actions), Some(Outcome::Answered(7)), "{i}");
            assert!(cancels(&actions).is_empty());
            let decision = site.decision().expect("somebody won");
            assert_eq!(decision == HedgeDecision::WonByFirst, second_fails);
            assert_eq!(site.outstanding(), 0);
        }
    }
}

/// Guards against an outcome that says "not run" after a run, and against a third run.
#[test]
fn when_both_attempts_fail_the_call_ends_as_after_its_last_run() {
    let mut site = Site::new();
    let (first, second) = site.hedged();
    site.step(failed(first, 3));
    let actions = site.step(Event::Broken(second));
    assert_eq!(outcome(&actions), Some(Outcome::Answered(3)));
    assert_eq!(actions.len(), 1);
    let mut site = Site::new();
    let (first, second) = site.hedged();
    site.step(Event::Broken(second));
    let actions = site.step(Event::ConnectionLost(first));
    assert_eq!(outcome(&actions), Some(Outcome::Unknown(Reason::Lost)));
    let mut site = Site::new();
    let (first, second) = site.hedged();
    site.step(Event::Broken(first));
    let actions = site.step(Event::Refused(second, refusal(Reason::Shed)));
    assert_eq!(outcome(&actions), Some(Outcome::Unknown(Reason::Shed)));
}

/// Guards against a second attempt that found no slot and ends the call, or leaves the budget short.
#[test]
fn a_second_attempt_that_was_refused_unrun_costs_nothing() {
    for reason in [Reason::Busy, Reason::Leaving, Reason::Down, Reason::KeyUsed] {
        let mut site = Site::new();
        let (first, second) = site.hedged();
        let actions = site.step(Event::Refused(second, refusal(reason)));
        assert!(actions.is_empty());
        assert!(site.has_budget(), "{reason:?}");
        let actions = site.step(answered(first, 7));
        assert_eq!(outcome(&actions), Some(Outcome::Answered(7)));
    }
    let mut site = Site::new();
    let (_, second) = site.hedged();
    site.step(Event::Refused(second, refusal(Reason::Shed)));
    assert!(!site.has_budget(), "an upstream has seen it");
    let mut site = Site::new();
    let (_, second) = site.hedged();
    site.step(Event::ConnectionLost(second));
    assert!(!site.has_budget(), "it may have arrived");
}

/// Guards against a retry at the upstream that broke while another only handed the request back unrun.
#[test]
fn after_one_upstream_handed_it_back_and_the_other_broke_a_request_goes_to_the_first() {
    for is_hedged in [true, false] {
        let mut site = Site::of(treatment(), &["a", "b"], entry(3));
        let (first, first_to) = site.first.clone();
        let mut actions = Vec::new();
        if is_hedged {
            actions.extend(site.step(Event::Straggles(first)));
        }
        actions.extend(site.step(Event::Revoked(first)));
        let (second, second_to, ..) = offer(&actions).expect("a second offer");
        assert_ne!(first_to, second_to);
        let actions = site.step(Event::Broken(second));
        let (_, to, ..) = offer(&actions).expect("a retry");
        assert_eq!(to, first_to, "hedged: {is_hedged}");
    }
}

/// Guards against giving up a request because the only other upstream handed it back as it leaves.
#[test]
fn after_one_upstream_handed_it_back_to_leave_and_the_other_broke_a_request_goes_to_the_one_that_stays(
) {
    let mut site = Site::of(treatment(), &["a", "b"], entry(3));
    let (first, first_to) = site.first.clone();
    let (second, second_to, ..) = site.straggle().expect("a second attempt");
    site.entry.set_draining(site.now, &first_to, true);
    site.step(Event::Revoked(first));
    let actions = site.step(Event::Broken(second));
    let (_, to, ..) = offer(&actions).expect("a retry");
    assert_eq!(to, second_to);
}

/// Guards against paying twice: the second attempt's repeat is used for the next offer if it reached no upstream.
#[test]
fn a_second_attempt_that_went_on_alone_and_was_refused_goes_elsewhere_for_the_same_price() {
    let three = Treatment {
        max_runs: 3,
        max_arrivals: 3,
        ..treatment()
    };
    let mut site = Site::of(three, &NEAR, entry(1));
    let (first, second) = site.hedged();
    site.step(Event::Broken(first));
    let actions = site.step(Event::Refused(second, refusal(Reason::Busy)));
    let (third, _, _, repeat) = offer(&actions).expect("the next offer");
    assert!(repeat);
    let actions = site.step(answered(third, 7));
    assert_eq!(outcome(&actions), Some(Outcome::Answered(7)));
    assert_eq!(site.decision(), None, "neither of the two won");
    assert!(!site.has_budget());
}

/// Guards against a repeat that is lost to the budget though it reached no upstream.
#[test]
fn a_second_attempt_that_went_on_alone_and_ran_nowhere_costs_nothing() {
    let mut site = Site::new();
    let (first, second) = site.hedged();
    site.step(Event::Broken(first));
    let actions = site.step(Event::Refused(second, refusal(Reason::Deadline)));
    assert_eq!(outcome(&actions), Some(Outcome::Unknown(Reason::Deadline)));
    assert!(site.has_budget());
}

/// Guards against a refund for a repeat that ran: the attempt that straggles may be one itself.
#[test]
fn a_repeat_that_straggles_and_loses_stays_paid_for() {
    let four = Treatment {
        max_runs: 4,
        max_arrivals: 4,
        ..treatment()
    };
    let mut site = Site::of(four, &NEAR, entry(2));
    let id = site.first.0;
    let actions = site.step(failed(id, 1));
    let (id, to, ..) = offer(&actions).expect("a repeat");
    site.first = (id, to);
    let (_, second) = site.hedged();
    assert!(!site.has_budget());
    site.step(answered(second, 7));
    assert!(!site.has_budget());
}

/// Guards against upstreams that work for a caller who has gone.
#[test]
fn a_caller_that_hangs_up_and_a_deadline_that_passes_cancel_both_attempts() {
    let mut site = Site::new();
    let (first, second) = site.hedged();
    let actions = site.step(Event::CallerDisconnected);
    assert_eq!(outcome(&actions), None);
    let mut cancelled = cancels(&actions);
    cancelled.sort_unstable();
    assert_eq!(cancelled, [first, second]);
    assert!(site.call.is_done() && site.outstanding() == 0);
    assert!(!site.has_budget(), "the second attempt may have arrived");
    let mut site = Site::new();
    let (first, second) = site.hedged();
    let actions = site.step(Event::Expired);
    let mut cancelled = cancels(&actions);
    cancelled.sort_unstable();
    assert_eq!(cancelled, [first, second]);
    assert_eq!(outcome(&actions), Some(Outcome::Unknown(Reason::Deadline)));
    assert!(!site.has_budget() && site.outstanding() == 0);
}

/// Guards against a third upstream for a request that ended two.
#[test]
fn when_an_upstream_ends_under_one_of_two_attempts_the_other_is_the_last() {
    for second_ends in [false, true] {
        let many = Treatment {
            max_runs: 4,
            max_arrivals: 4,
            ..treatment()
        };
        let mut site = Site::of(many, &NEAR, entry(3));
        let (first, second) = site.hedged();
        let (ends, goes_on) = if second_ends {
            (second, first)
        } else {
            (first, second)
        };
        let order = vec![Name::from("a"), Name::from("b"), Name::from("c")];
        let ended = |id| Event::UpstreamTerminated {
            id,
            order: order.clone(),
        };
        assert!(site.step(ended(ends)).is_empty());
        let actions = site.step(ended(goes_on));
        assert_eq!(outcome(&actions), Some(Outcome::Unknown(Reason::Lost)));
        assert!(offer(&actions).is_none());
    }
}
